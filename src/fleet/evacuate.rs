//! Moves work off upstreams that are about to leave.
//!
//! Upstreams are taken away at short notice. Work that is lost with its upstream starts again only
//! after its lease has expired. Stopping it in time avoids that wait, and keeps the progress of
//! work that can save it.

use super::decide::as_ms;
use super::decide::millis;
use super::decide::predict;
use super::decide::predict::Kind;
use super::model::RunId;
use super::model::Step;
use super::scheduler::Scheduler;
use super::scheduler::position_of;
use super::task::Stage;
use super::task::TaskPosition;
use crate::prelude::*;

/// The time for an order to stop to arrive and for the end to be reported, in milliseconds: one
/// check of all runs, and one retry of the order.
const ORDER_MS: u64 = 400;
/// The progress from which it predicts the end better than earlier durations do, in percent.
pub(super) const MIN_PROGRESS_PERCENT: u32 = 10;

/// A run on an upstream that is about to leave.
#[derive(Debug, Clone, Copy)]
struct LeavingRun {
    /// The earliest time at which the upstream may be gone, local clock.
    leaves: u64,
    /// When the run is predicted to end, local clock; none for a long-running task.
    ends: Option<u64>,
    /// Whether a stop saves its progress.
    checkpointing: bool,
    /// Whether the upstream leaves for maintenance, which waits for tasks that must not be missing.
    maintenance: bool,
    /// The longest time that a stop takes, in milliseconds.
    stop_ms: u64,
}

impl LeavingRun {
    /// Returns whether the run is to be stopped now. If its progress is lost in any case, or if it
    /// is long-running and the upstream leaves for maintenance, that is at once; otherwise as late
    /// as possible.
    fn is_due(&self, now: u64) -> bool {
        if self.ends.is_some_and(|ends| ends <= self.leaves) {
            return false;
        }
        let last = self.leaves.saturating_sub(self.stop_ms + ORDER_MS);
        match self.ends {
            Some(_) => now >= last || !self.checkpointing,
            None => now >= last || self.maintenance,
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
                let maintenance = upstream.listing.left_ms.is_none();
                let Some(leaving) = self.leaving_run(now, run, leaves, maintenance) else {
                    continue;
                };
                if leaving.is_due(now) {
                    log::info!(
                        "TG1608 job={} step={} index={} run={} upstream={at} leaves_in_ms={} ends_in_ms={:?} due to move",
                        run.task.job,
                        run.task.step,
                        run.task.index,
                        run.number,
                        leaves.saturating_sub(now),
                        leaving.ends.map(|ends| ends.saturating_sub(now))
                    );
                    let limited = maintenance && self.is_limited(run);
                    due.push((run.task.job.clone(), position_of(&run.task), limited));
                }
            }
        }
        for (id, position, limited) in due {
            let job = self.jobs.get(&id);
            if limited && job.is_some_and(|job| job.spare(position) == 0) {
                continue;
            }
            self.stop_run_or_gang(now, &id, position);
        }
    }

    /// Returns whether only some tasks of a run's step may be missing at once.
    pub(super) fn is_limited(&self, run: &RunId) -> bool {
        self.step_of(&run.task).is_some_and(Step::is_limited)
    }

    fn leaving_run(
        &self,
        now: u64,
        run: &RunId,
        leaves: u64,
        maintenance: bool,
    ) -> Option<LeavingRun> {
        let job = self.jobs.get(&run.task.job)?;
        let step = job.spec.steps.get(run.task.step as usize)?;
        let live = job.task(position_of(&run.task))?.live.as_ref()?;
        if live.number != run.number || live.stage != Stage::Running {
            return None;
        }
        let ends = if live.percent >= MIN_PROGRESS_PERCENT {
            let percent = u64::from(live.percent.min(100));
            let worked = live.progress_at.saturating_sub(live.since);
            live.progress_at + worked * (100 - percent) / percent
        } else {
            let kind = Kind {
                queue: &job.queue,
                workspace: &job.workspace,
                step,
            };
            let factor = self.time_factor(now, live);
            let worked = millis(now.saturating_sub(live.began.unwrap_or(live.since))) / factor;
            let rest_ms = self.durations.rest_ms(kind, as_ms(worked), predict::MEDIAN);
            now + as_ms(millis(rest_ms) * factor)
        };
        Some(LeavingRun {
            leaves,
            ends: (!step.long_running).then_some(ends),
            checkpointing: step.checkpointing,
            maintenance,
            stop_ms: self.timing.stop_ms,
        })
    }
}
