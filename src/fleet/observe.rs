//! Learns how long tasks work from the runs that end.

use super::decide::as_ms;
use super::decide::millis;
use super::decide::predict::Kind;
use super::decide::predict::Outcome;
use super::gauge;
use super::model::How;
use super::model::RunId;
use super::scheduler::Scheduler;
use super::scheduler::position_of;
use super::task::LiveRun;
use super::task::Stage;

/// The factor up to which a difference of an upstream's speed counts as none, either way: progress
/// is reported in whole percents, and one report of a short run is uncertain by an eighth.
const SPEED_NOISE: f64 = 1.2;

/// The work of a run that ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct Observation {
    /// What it would have been on an upstream of usual speed, in milliseconds.
    ms: u64,
    outcome: Outcome,
}

impl Scheduler {
    /// Returns the work of a run that is reported to have ended and is not settled yet, none if it
    /// tells nothing of others.
    ///
    /// Each task counts once, with its first run: later ones may have resumed from a checkpoint, and
    /// only say how long the rest took. A gang counts once, by its last member to start and its
    /// slowest upstream, as its members only progress together.
    pub(super) fn observation(&self, now: u64, run: &RunId, how: How) -> Option<Observation> {
        if run.number != 1 || !matches!(how, How::Done | How::Failed | How::Stopped) {
            return None;
        }
        let job = self.jobs.get(&run.task.job)?;
        let position = position_of(&run.task);
        let step = job.spec.steps.get(position.step as usize)?;
        let tasks = &job.step_state(position.turn, position.step)?.tasks;
        let task = tasks.get(position.index as usize)?;
        if step.long_running || task.done || job.closed.is_some() {
            return None;
        }
        let members = if step.gang {
            &tasks[..]
        } else {
            std::slice::from_ref(task)
        };
        let mut began = 0;
        let mut factor: f64 = 0.0;
        let mut whole = true;
        let mut until = now;
        for member in members {
            let live = member.live.as_ref()?;
            began = began.max(live.began?);
            factor = factor.max(self.time_factor(now, live));
            let changed_pace = live.pace_at > live.since;
            if changed_pace || step.fills && live.pace.is_none() {
                return None;
            }
            // What an earlier leader started has worked for longer than this one knows of.
            whole &= live.pace.is_some();
            if live.stage == Stage::Stopping {
                until = until.min(live.stop_at);
            }
        }
        // A clock that stands still tells nothing.
        let worked = until.checked_sub(began).filter(|ms| *ms > 0)?;
        let work = millis(worked) / factor;
        let outcome = if how == How::Done && whole {
            Outcome::Done
        } else {
            Outcome::Cut
        };
        Some(Observation {
            ms: as_ms(work + 0.5),
            outcome,
        })
    }

    /// Returns how many times as long as usual work takes on the upstream of a run.
    pub(super) fn time_factor(&self, now: u64, live: &LiveRun) -> f64 {
        let upstream = self.upstreams.get(&live.at);
        let factor = upstream.map_or(1.0, |upstream| upstream.slowness.factor(now));
        if (SPEED_NOISE.recip()..=SPEED_NOISE).contains(&factor) {
            1.0
        } else {
            factor
        }
    }

    /// Learns from the work of a run.
    pub(super) fn learn_duration(&mut self, run: &RunId, seen: Observation) {
        let Some(job) = self.jobs.get(&run.task.job) else {
            return;
        };
        let Some(step) = job.spec.steps.get(run.task.step as usize) else {
            return;
        };
        let kind = Kind {
            queue: &job.queue,
            workspace: &job.workspace,
            step,
        };
        if seen.outcome == Outcome::Done && self.durations.completions(kind) >= 1.0 {
            let longest_ms = self.durations.quantile_ms(kind, self.durations.longest());
            gauge::predicted(seen.ms <= longest_ms);
        }
        if let Some(change) = self.durations.record(kind, seen.ms, seen.outcome) {
            gauge::duration_changed();
            log::info!(
                "TG1801 job={} step={} queue={} image={:?} work changed before_ms={} after_ms={} completions={}",
                run.task.job,
                run.task.step,
                job.queue,
                step.image,
                change.before_ms,
                change.after_ms,
                change.completions
            );
        }
    }
}
