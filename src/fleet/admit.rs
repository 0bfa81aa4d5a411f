//! Decides at once which submissions cannot be served.

use super::model::Queue;
use super::model::Spec;
use super::scheduler::Scheduler;
use crate::prelude::*;

/// Why a job is not accepted, and when to come back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Refusal {
    /// When to come back, in milliseconds.
    pub(super) wait_ms: u64,
    /// The reason.
    pub(super) why: &'static str,
}

impl Scheduler {
    /// Decides whether a job is refused.
    pub(super) fn admit(
        &self,
        _now: u64,
        _queue: &Arc<Queue>,
        _workspace: &Name,
        _spec: &Spec,
    ) -> Option<Refusal> {
        None
    }
}
