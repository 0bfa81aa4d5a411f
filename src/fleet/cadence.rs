//! When the next planning pass and the next periodic checks of the scheduler are due.
//!
//! All times are of the local clock, in milliseconds.

use super::timing::Timing;
use std::time::Duration;

/// Waiting steps per millisecond of the pause between two planning passes: planning then takes a
/// small part of the time even on an eighth of a core.
const STEPS_PER_PLAN_MS: u64 = 4;
/// The interval at which waiting tasks are planned even without an event, in milliseconds: an
/// upstream may become available again, and reservations and the wait for a place near the data
/// expire.
const PLAN_CHECK_INTERVAL_MS: u64 = 200;
/// The longest pause between two planning passes, in milliseconds.
const MAX_PLAN_WAIT_MS: u64 = 60;
/// The pause after a planning pass, as a multiple of the time that it took: this leaves time for
/// orders, reports and calls, however small the VM is.
const PLAN_PAUSE_FACTOR: u32 = 5;
/// The divisor of the time limit for guaranteed work that gives the longest pause after a planning
/// pass.
const PAUSE_DIVISOR: u64 = 8;
/// The interval of checks for pending stops, expired leases and due renewals, in milliseconds.
const WATCH_INTERVAL_MS: u64 = 40;
/// The interval between the first looks at upstreams that are listed together, in milliseconds: all
/// of 350 are called within the 2 s after which late orders arrive.
const LOOK_INTERVAL_MS: u64 = 5;

/// The times at which planning passes and periodic checks are next due.
#[derive(Debug)]
pub(super) struct Cadence {
    /// When waiting tasks are next planned even without an event.
    next_check: u64,
    /// The earliest time of the next planning pass.
    next_plan: u64,
    /// When the last planning pass began.
    planned_at: u64,
    /// The time between the last two planning passes.
    plan_gap: u64,
    /// The earliest time of the first look at the next upstream.
    next_look: u64,
    /// When all upstreams are next checked for due renewals.
    next_renew: u64,
    /// When runs with pending stops or expired leases are next checked.
    next_watch: u64,
}

impl Cadence {
    /// Makes the times of a scheduler that starts at `now`: everything is due.
    pub(super) const fn new(now: u64) -> Self {
        Self {
            next_check: 0,
            next_plan: 0,
            planned_at: now,
            plan_gap: 0,
            next_look: 0,
            next_renew: 0,
            next_watch: 0,
        }
    }

    /// Returns whether waiting tasks are to be planned even without an event, at most once per
    /// interval.
    pub(super) const fn take_plan_check(&mut self, now: u64) -> bool {
        take(&mut self.next_check, now, PLAN_CHECK_INTERVAL_MS)
    }

    /// Returns whether the pause after the last planning pass is over.
    pub(super) const fn may_plan(&self, now: u64) -> bool {
        now >= self.next_plan
    }

    /// Notes that a planning pass begins.
    pub(super) const fn begin_plan(&mut self, now: u64) {
        self.plan_gap = now.saturating_sub(self.planned_at);
        self.planned_at = now;
    }

    /// Sets the pause after a planning pass that began at `now` and found `waiting` steps.
    pub(super) fn end_plan(&mut self, now: u64, waiting: u64) {
        self.next_plan = now + (waiting / STEPS_PER_PLAN_MS).min(MAX_PLAN_WAIT_MS);
    }

    /// Delays the next planning pass after one that took `took` and ended at `now`.
    pub(super) fn delay_plan(&mut self, now: u64, took: Duration, timing: &Timing) {
        let pause = (took * PLAN_PAUSE_FACTOR).as_millis();
        let pause = u64::try_from(pause).unwrap_or(u64::MAX);
        let max = timing.reclaim_ms / PAUSE_DIVISOR;
        self.next_plan = self.next_plan.max(now + pause.min(max));
    }

    /// Returns the time between the last two planning passes.
    pub(super) const fn plan_gap(&self) -> u64 {
        self.plan_gap
    }

    /// Returns the time of the first look at an upstream that is listed at `now`.
    pub(super) fn take_look(&mut self, now: u64) -> u64 {
        let look_at = self.next_look.max(now);
        self.next_look = look_at + LOOK_INTERVAL_MS;
        look_at
    }

    /// Returns whether all upstreams are to be checked for due renewals, at most once per interval.
    pub(super) const fn take_renew(&mut self, now: u64) -> bool {
        take(&mut self.next_renew, now, WATCH_INTERVAL_MS)
    }

    /// Returns whether runs are to be checked for pending stops and expired leases, at most once
    /// per interval.
    pub(super) const fn take_watch(&mut self, now: u64) -> bool {
        take(&mut self.next_watch, now, WATCH_INTERVAL_MS)
    }

    /// Makes the next check for pending stops and expired leases due at `now`.
    pub(super) const fn watch_now(&mut self, now: u64) {
        self.next_watch = now;
    }
}

/// Returns whether `now` has reached `next`; if so, `next` moves to an interval after `now`.
const fn take(next: &mut u64, now: u64, interval_ms: u64) -> bool {
    if now < *next {
        return false;
    }
    *next = now + interval_ms;
    true
}
