//! Moves work off upstreams that are about to leave.
//!
//! The load it answers: upstreams taken away at short notice. Work that is lost with its upstream
//! starts again only after its lease has expired, so a stop in time saves that wait, and for work
//! that can be saved its progress.

use super::model::RunId;
use super::model::Step;
use super::scheduler::Scheduler;
use super::scheduler::position_of;
use super::task::Stage;
use super::task::TaskPosition;
use crate::prelude::*;

/// The time for an order to stop to arrive and its end to be listed, in milliseconds: one look at
/// all runs, and an order that is sent again.
const ORDER_MS: u64 = 400;
/// The progress from which on it tells the end better than durations do, in percent.
const TELLING_PERCENT: u32 = 10;

/// What is known of a run on an upstream that leaves.
#[derive(Debug, Clone, Copy)]
struct Outlook {
    /// When the upstream may be gone, own time.
    leaves: u64,
    /// When the run is predicted to end, own time; none if it lasts.
    ends: Option<u64>,
    /// Whether a stop saves its progress.
    saves: bool,
    /// Whether it leaves for maintenance, which waits for what may not be missed.
    waits: bool,
    /// The longest time that a stop takes, in milliseconds.
    stop_ms: u64,
}

impl Outlook {
    /// Tells whether the run is to be stopped now: one whose progress is lost anyway at once, any
    /// other as late as possible.
    fn is_due(&self, now: u64) -> bool {
        if self.ends.is_some_and(|ends| ends <= self.leaves) {
            return false;
        }
        let last = self.leaves.saturating_sub(self.stop_ms + ORDER_MS);
        match self.ends {
            Some(_) => now >= last || !self.saves,
            None => now >= last || self.waits,
        }
    }
}

impl Scheduler {
    /// Stops the runs that cannot end before their upstream leaves.
    pub(super) fn evacuate(&mut self, now: u64) {
        let mut due: Vec<(Name, TaskPosition, bool)> = Vec::new();
        for (at, upstream) in &self.upstreams {
            let Some(leaves) = upstream.leaves_at().filter(|_| !upstream.runs.is_empty()) else {
                continue;
            };
            for run in upstream.runs.keys() {
                let waits = upstream.listing.left_ms.is_none();
                let Some(outlook) = self.outlook(now, run, leaves, waits) else {
                    continue;
                };
                if outlook.is_due(now) {
                    log::info!(
                        "TG1608 job={} step={} index={} run={} upstream={at} leaves_in_ms={} ends_in_ms={:?} moved",
                        run.task.job,
                        run.task.step,
                        run.task.index,
                        run.number,
                        leaves.saturating_sub(now),
                        outlook.ends.map(|ends| ends.saturating_sub(now))
                    );
                    let limited = waits && self.is_limited(run);
                    due.push((run.task.job.clone(), position_of(&run.task), limited));
                }
            }
        }
        for (id, place, limited) in due {
            let job = self.jobs.get(&id);
            if limited && job.is_some_and(|job| job.spare(place) == 0) {
                continue;
            }
            self.stop_run_or_gang(now, &id, place);
        }
    }

    /// Tells whether only some tasks of a run's step may be away at once.
    pub(super) fn is_limited(&self, run: &RunId) -> bool {
        self.step_of(&run.task).is_some_and(Step::is_limited)
    }

    fn outlook(&self, now: u64, run: &RunId, leaves: u64, waits: bool) -> Option<Outlook> {
        let job = self.jobs.get(&run.task.job)?;
        let step = job.spec.steps.get(run.task.step as usize)?;
        let live = job.task(position_of(&run.task))?.live.as_ref()?;
        if live.number != run.number || live.stage != Stage::Running {
            return None;
        }
        let ends = if live.percent >= TELLING_PERCENT {
            let percent = u64::from(live.percent.min(100));
            let worked = live.progress_at.saturating_sub(live.since);
            live.progress_at + worked * (100 - percent) / percent
        } else {
            now.max(live.since + self.durations.predict(&job.queue, step))
        };
        Some(Outlook {
            leaves,
            ends: (!step.long_running).then_some(ends),
            saves: step.checkpointing,
            waits,
            stop_ms: self.timing.stop_ms,
        })
    }
}
