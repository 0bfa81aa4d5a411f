//! Tracks which upstreams have yet to report on the work that a new leader took over.
//!
//! When the leader changes while all accelerators are in use, much of the work in the stored rows
//! has ended meanwhile, and its room is free. Preemption before the upstreams have reported would
//! stop work for room that is free already.

use crate::prelude::*;
use std::collections::HashSet;

/// How long preemption waits for reports, in milliseconds: a new leader has most of them within a
/// third of a second, and guaranteed work must begin within 2.7 s.
const REPORT_WAIT_MS: u64 = 600;
/// Preemption does not wait for the last reports: the number of upstreams divided by this is how
/// many reports may be missing.
const SILENT_PART: usize = 10;

/// The upstreams with work that an earlier leader started.
#[derive(Debug)]
pub(super) struct Inherited {
    /// Those that have not yet reported to this leader.
    unreported: HashSet<Name>,
    /// The number of all.
    total: usize,
    /// When preemption stops waiting for reports, local clock.
    until: u64,
}

impl Inherited {
    /// Creates the state of a VM that takes the lead at `now`.
    pub(super) fn new(now: u64) -> Self {
        Self {
            unreported: HashSet::new(),
            total: 0,
            until: now + REPORT_WAIT_MS,
        }
    }

    /// Adds an upstream that has work according to the stored rows.
    pub(super) fn expect_report(&mut self, at: &Name) {
        if self.unreported.insert(at.clone()) {
            self.total += 1;
        }
    }

    /// Records that an upstream has reported.
    pub(super) fn record_report(&mut self, at: &Name) {
        self.unreported.remove(at);
    }

    /// Returns whether enough upstreams have reported to preempt work.
    pub(super) fn allows_preemption(&self, now: u64) -> bool {
        now >= self.until || self.unreported.len() * SILENT_PART <= self.total
    }
}
