//! Throttles filling tasks while serving tasks on the same upstream miss their latency target.
//!
//! Filling tasks (`Step::fills`) only use cores that others leave idle. By how much they disturb
//! serving tasks is not known beforehand and changes within seconds. Their share of full speed is
//! halved while a tail latency is over its target, and raised in small steps while all are well
//! below, as in TCP congestion control (additive increase, multiplicative decrease).

use super::effect::Effect;
use super::event::OrderOutcome;
use super::event::Report;
use super::model::RunId;
use super::scheduler::Scheduler;
use crate::prelude::*;

/// The time between two changes on one upstream, in milliseconds: an order takes effect within
/// 100 ms, and tail latencies cover the last half second.
const CHANGE_MS: u64 = 700;
/// The share of its target that no tail latency may exceed for filling tasks to speed up, in
/// percent.
const CALM_PERCENT: u64 = 70;
/// The increase of a filling task at each step, in percent of its full speed.
const STEP_PERCENT: u32 = 10;
/// The share below which a task is paused, in percent: three halvings of full speed stay above it,
/// so that even a task that disturbs at any speed is paused within four changes.
const MIN_PERCENT: u32 = 12;
/// The time after which paused tasks are resumed though the tail latency is still over its target,
/// in milliseconds: by then they are hardly its cause.
const PROBE_MS: u64 = 6_000;

/// The change of pace that the report of an upstream calls for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Adjustment {
    /// A tail latency is over its target.
    Slower,
    /// All tail latencies are well below their targets.
    Faster,
    /// Neither holds.
    Steady,
}

impl Adjustment {
    /// Decides by pairs of tail latency and target, in milliseconds.
    fn of(tails: &[(u64, u64)]) -> Self {
        if tails.iter().any(|(tail, target)| tail > target) {
            Self::Slower
        } else if tails
            .iter()
            .all(|(tail, target)| tail.saturating_mul(100) <= target.saturating_mul(CALM_PERCENT))
        {
            Self::Faster
        } else {
            Self::Steady
        }
    }

    /// Returns the share to order for a task whose share is `current` (none if it is unknown), or
    /// none if no order is needed; `paused_ms` is the time since its share last changed.
    fn next(self, current: Option<u32>, paused_ms: u64) -> Option<u32> {
        let share = current.unwrap_or(50);
        let next = match self {
            Self::Slower if current == Some(0) && paused_ms >= PROBE_MS => {
                STEP_PERCENT + MIN_PERCENT
            }
            Self::Slower if share / 2 < MIN_PERCENT => 0,
            Self::Slower => share / 2,
            Self::Faster => (share + STEP_PERCENT).min(100),
            Self::Steady => share,
        };
        // Repeat the order if the share is unknown, or if the order to pause may have been lost.
        let again = current.is_none() || self == Self::Slower && next == 0;
        (current != Some(next) || again).then_some(next)
    }
}

impl Scheduler {
    /// Adjusts the filling tasks of an upstream to the tail latencies in its report.
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
        let adjustment = Adjustment::of(&tails);
        for run in fills {
            self.pace_run(now, at, run, adjustment, &tails);
        }
    }

    fn pace_run(
        &mut self,
        now: u64,
        at: &Name,
        run: RunId,
        adjustment: Adjustment,
        tails: &[(u64, u64)],
    ) {
        let mark = self.mark;
        let life = self.life_of(at);
        let Some(live) = self.live_run(at, &run) else {
            return;
        };
        let before = live.pace;
        let Some(percent) = adjustment.next(before, now.saturating_sub(live.pace_at)) else {
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
        live.order_mark = mark;
        live.order_life = life;
        let Some(upstream) = self.upstreams.get(at) else {
            return;
        };
        self.out.immediate.push(Effect::Pace {
            at: at.clone(),
            addr: upstream.listing.addr.clone(),
            life,
            run,
            percent,
        });
    }

    /// Handles the response to an order that sets the pace of a run.
    pub(super) fn paced(&mut self, now: u64, at: &Name, run: &RunId, answer: OrderOutcome) {
        match answer {
            OrderOutcome::Yes => {}
            OrderOutcome::Fenced => self.refused(at, run),
            OrderOutcome::OtherLife => {
                if self.was_sent_to_present(at, run) {
                    self.process_gone(now, at);
                }
            }
            OrderOutcome::Silent => {
                if let Some(live) = self.live_run(at, run) {
                    live.pace = None;
                }
            }
        }
    }
}
