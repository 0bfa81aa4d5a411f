//! The order in which waiting steps are placed.
//!
//! Answers overload, when there is more work than room: guaranteed urgent work goes first, then
//! work that can still meet its objective, by priority, then late work. A result that can be in
//! time never waits behind one that is of no use any more. Within such a class, the workspaces
//! furthest below their shares go first while work finds no room; see `share.rs`.

use super::predict::Durations;
use super::predict::Kind;
use crate::fleet::model::Queue;
use crate::fleet::model::Spec;
use crate::prelude::*;

/// The offset of the rank of late work, which puts it after all work that can be in time.
const LATE_RANK: u32 = 1_000;
/// The multiple of its objective after which shares no longer delay work.
const MAX_OBJECTIVES: u64 = 3;
/// The number of upstreams about which a step typically asks for advice before it starts;
/// objectives include the time of such a call.
const TYPICAL_ASKED: u64 = 30;

/// What decides when a waiting step is placed.
#[derive(Debug, Clone, Copy)]
pub(in crate::fleet) struct Claim {
    /// The priority of its queue; 0 goes first.
    pub(in crate::fleet) priority: u32,
    /// Whether it is urgent work within its workspace's guarantee.
    pub(in crate::fleet) entitled: bool,
    /// When one of its tasks would end if it started now, local clock.
    pub(in crate::fleet) ends: u64,
    /// When it has to end to be in time, local clock.
    pub(in crate::fleet) objective: u64,
    /// Whether it is a gang that has waited for its whole objective and may still be of use: it
    /// keeps its place before steps of lower priority, so that it does not starve behind them.
    pub(in crate::fleet) aged: bool,
    /// How long after it was due that is, in milliseconds.
    pub(in crate::fleet) objective_ms: u64,
    /// The level of its workspace, the one furthest below its share lowest; none, which goes first,
    /// while shares do not delay it.
    pub(in crate::fleet) level: Option<u32>,
}

impl Claim {
    /// Returns the order of placement, lowest first: the class, then the level of the workspace,
    /// then the time of the objective. Work within a guarantee has no level.
    pub(in crate::fleet) fn rank(&self) -> (u32, u32, u64) {
        let late = self.ends > self.objective;
        let class = match (self.priority, late) {
            (0, _) if self.entitled => 0,
            (priority, false) => priority + 1,
            (0, true) => 1,
            (priority, true) if self.aged => priority + 2,
            (priority, true) => LATE_RANK + priority,
        };
        let level = match self.level {
            Some(level) if !self.entitled => level + 1,
            _ => 0,
        };
        (class, level, self.objective)
    }

    /// Returns whether it has waited at `now` for [`MAX_OBJECTIVES`] times its objective.
    pub(in crate::fleet) fn is_overdue(&self, now: u64) -> bool {
        let beyond = self.objective_ms.saturating_mul(MAX_OBJECTIVES - 1);
        now >= self.objective.saturating_add(beyond)
    }
}

/// Predicts the duration of the longest chain of dependent steps of a job of `queue`, in
/// milliseconds on upstreams of usual speed; of each step the longest task counts.
pub(in crate::fleet) fn chain_ms(
    durations: &Durations,
    workspace: &Name,
    queue: &Queue,
    spec: &Spec,
) -> u64 {
    let advice_ms = queue
        .advice
        .map_or(0, |advice| advice.call_ms(TYPICAL_ASKED));
    let mut ends: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for step in &spec.steps {
        let before = step.after.iter().filter_map(|&at| ends.get(at as usize));
        let start = before.max().copied().unwrap_or(0);
        let kind = Kind {
            queue: &queue.name,
            workspace,
            step,
        };
        ends.push(start + advice_ms + durations.longest_ms(kind));
    }
    ends.into_iter().max().unwrap_or(0)
}

/// Returns the objective of a job of `queue`: the milliseconds after its due time within which its
/// end counts as in time.
pub(in crate::fleet) fn objective_ms(queue: &Queue, chain_ms: u64) -> u64 {
    let chain = std::time::Duration::from_millis(chain_ms).mul_f64(queue.stretch.clamp(0.0, 1e3));
    let chain_ms = u64::try_from(chain.as_millis()).unwrap_or(u64::MAX);
    chain_ms.saturating_add(queue.base_ms)
}
