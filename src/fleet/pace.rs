//! Slows tasks that fill upstreams down while tasks that serve there miss their target.
//!
//! The load it answers: filling work that disturbs serving tasks by amounts that nobody knows
//! beforehand and that change within seconds. The shares are halved while a tail is over its target
//! and given back in small steps while all are well below, as congestion control of TCP does
//! (additive increase, multiplicative decrease).

use super::effect::Effect;
use super::event::OrderOutcome;
use super::event::Report;
use super::model::RunId;
use super::scheduler::Scheduler;
use crate::prelude::*;

/// The time between two changes on one upstream, in milliseconds: an order works within 100 ms, and
/// tails are those of the last half second.
const CHANGE_MS: u64 = 700;
/// The share of the target up to which filling tasks get more again, in percent.
const CALM_PERCENT: u64 = 70;
/// What filling tasks get more at each step, in percent of their full speed.
const STEP_PERCENT: u32 = 10;
/// Below this share, in percent, a task is paused: three halvings, so that even a task that
/// disturbs at any speed is paused within four changes.
const MIN_PERCENT: u32 = 12;
/// The time after which paused tasks are tried again though the tail is still over its target, in
/// milliseconds: then they are hardly its cause.
const PROBE_MS: u64 = 6_000;

/// What the reports of one upstream call for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Course {
    /// A tail is over its target.
    Slower,
    /// All tails are well below.
    Faster,
    /// Neither.
    Steady,
}

impl Course {
    /// Judges tails and targets, in milliseconds.
    fn of(tails: &[(u64, u64)]) -> Self {
        if tails.iter().any(|(tail, target)| tail > target) {
            Self::Slower
        } else if tails
            .iter()
            .all(|(tail, target)| tail * 100 <= target * CALM_PERCENT)
        {
            Self::Faster
        } else {
            Self::Steady
        }
    }

    /// Returns the next share of a task whose share is `now`, none if it is unknown.
    fn next(self, now: Option<u32>, paused_ms: u64) -> Option<u32> {
        let now_or = now.unwrap_or(50);
        let next = match self {
            Self::Slower if now == Some(0) && paused_ms >= PROBE_MS => STEP_PERCENT + MIN_PERCENT,
            Self::Slower if now_or / 2 < MIN_PERCENT => 0,
            Self::Slower => now_or / 2,
            Self::Faster => (now_or + STEP_PERCENT).min(100),
            Self::Steady => now_or,
        };
        // What is unknown, and a pause that may have been lost, is ordered again.
        let again = now.is_none() || self == Self::Slower && next == 0;
        (now != Some(next) || again).then_some(next)
    }
}

impl Scheduler {
    /// Adapts the filling tasks of an upstream to the tails that its report shows.
    pub(super) fn pace(&mut self, now: u64, at: &Name, report: &Report) {
        let mut tails = Vec::new();
        let mut fills = Vec::new();
        for work in &report.running {
            match self.step_of(&work.run.task) {
                Some(step) if step.fills => fills.push(work.run.clone()),
                Some(step) if step.long_running && step.target_ms > 0 => {
                    tails.push((work.metric, step.target_ms));
                }
                _ => {}
            }
        }
        let Some(upstream) = self.upstreams.get_mut(at) else {
            return;
        };
        upstream.mixed = !tails.is_empty() && !fills.is_empty();
        if fills.is_empty() || now < upstream.paced_at + CHANGE_MS {
            return;
        }
        upstream.paced_at = now;
        let course = Course::of(&tails);
        for run in fills {
            self.pace_run(now, at, run, course, &tails);
        }
    }

    fn pace_run(&mut self, now: u64, at: &Name, run: RunId, course: Course, tails: &[(u64, u64)]) {
        let Some(live) = self.live_run(at, &run) else {
            return;
        };
        let before = live.pace;
        let Some(percent) = course.next(before, now.saturating_sub(live.pace_at)) else {
            return;
        };
        if before != Some(percent) {
            live.pace_at = now;
            log::info!(
                "TG1609 job={} step={} index={} run={} upstream={at} pace={percent} before={before:?} \
                 tails_and_targets_ms={tails:?}",
                run.task.job,
                run.task.step,
                run.task.index,
                run.number
            );
        }
        live.pace = Some(percent);
        let Some(upstream) = self.upstreams.get(at) else {
            return;
        };
        self.out.immediate.push(Effect::Pace {
            at: at.clone(),
            addr: upstream.listing.addr.clone(),
            run,
            percent,
        });
    }

    /// Handles the response to an order to pace a run.
    pub(super) fn paced(&mut self, now: u64, at: &Name, run: &RunId, answer: OrderOutcome) {
        match answer {
            OrderOutcome::Yes => {}
            OrderOutcome::Fenced => self.resign(format!("upstream {at} has seen a higher token")),
            OrderOutcome::OtherLife => self.process_gone(now, at),
            OrderOutcome::Silent => {
                if let Some(live) = self.live_run(at, run) {
                    live.pace = None;
                }
            }
        }
    }
}
