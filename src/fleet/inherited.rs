//! What a new leader has yet to hear about the work that it took over.
//!
//! The load it answers: a change of the leader while everything is in use. Much of the work that the
//! rows name has ended meanwhile, and its room is free; to stop other work for an urgent gang before
//! the upstreams have reported wastes it.

use crate::prelude::*;
use std::collections::HashSet;

/// How long stops for urgent work wait for reports, in milliseconds: a new leader has most of them
/// within a third of a second, and guaranteed work has 2.7 s to begin.
const HEAR_MS: u64 = 600;
/// One upstream in so many may be silent.
const SILENT_PART: usize = 10;

/// Upstreams with work of earlier leaders.
#[derive(Debug)]
pub(super) struct Inherited {
    /// Those that have not reported to this leader.
    unheard: HashSet<Name>,
    all: usize,
    /// When the wait for the others ends, own time.
    until: u64,
}

impl Inherited {
    /// Makes the state of a leader that begins at `now`.
    pub(super) fn new(now: u64) -> Self {
        Self {
            unheard: HashSet::new(),
            all: 0,
            until: now + HEAR_MS,
        }
    }

    /// Counts an upstream that has work by the rows.
    pub(super) fn expect_report(&mut self, at: &Name) {
        if self.unheard.insert(at.clone()) {
            self.all += 1;
        }
    }

    /// Notes that an upstream has reported.
    pub(super) fn record_report(&mut self, at: &Name) {
        self.unheard.remove(at);
    }

    /// Tells whether enough is known to stop work for other work.
    pub(super) fn allows_preemption(&self, now: u64) -> bool {
        now >= self.until || self.unheard.len() * SILENT_PART <= self.all
    }
}
