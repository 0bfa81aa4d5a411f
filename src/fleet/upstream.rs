//! What the scheduler knows of one upstream.

use super::event::Reading;
use super::health::Health;
use super::model::Listing;
use super::model::ResourceAmounts;
use super::model::RunId;
use super::timing::MAX_MISSES;
use super::timing::Timing;
use crate::prelude::*;
use std::collections::HashMap;

/// The wait between two renewals while ends wait for the store, in milliseconds: well below the
/// lease.
const UNSTORED_MS: u64 = 1_000;
/// The longest wait of a renewal where tasks that serve may be disturbed, in milliseconds: their
/// tails are those of the last half second.
const MIXED_WAIT_MS: u64 = 500;
/// The shortest time between two reports of one upstream, in milliseconds.
const LOOK_GAP_MS: u64 = 60;

/// What is to be done about an upstream's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Renewal {
    /// Nothing now.
    None,
    /// Forget the upstream.
    Drop,
    /// Renew it.
    Send { until_ms: u64, wait_ms: u64 },
}

/// One upstream.
#[derive(Debug, Clone)]
pub(super) struct Upstream {
    /// What discovery says of it.
    pub(super) listing: Listing,
    /// Its rack.
    pub(super) rack: Name,
    /// Whether discovery has it.
    pub(super) listed: bool,
    /// Whether its data centre is being evacuated.
    pub(super) evacuated: bool,
    /// What its live runs take.
    pub(super) used: ResourceAmounts,
    /// Its live runs.
    pub(super) runs: HashMap<RunId, ResourceAmounts>,
    /// Its live runs that are to stop.
    pub(super) stopping: HashMap<RunId, ResourceAmounts>,
    /// Its clock.
    pub(super) clock: Reading,
    /// The own time at which every lease that was asked for has surely expired.
    pub(super) lease_end: u64,
    /// Renewals on their way.
    pub(super) holds: u32,
    /// When the last renewal was sent, own time.
    pub(super) held_at: u64,
    /// Unanswered renewals in a row.
    pub(super) misses: u32,
    /// Whether a report is wanted before the renewal under way returns.
    pub(super) report_wanted: bool,
    /// When a silent upstream is asked again, own time.
    pub(super) retry_at: u64,
    /// The last end that is stored.
    pub(super) seen: u64,
    /// The last end that was handled.
    pub(super) handled: u64,
    /// The mark of the last renewal.
    pub(super) asked_at: u64,
    /// The last end that the renewal under way acknowledges.
    pub(super) asked: u64,
    /// The last end whose acknowledgement it has answered.
    pub(super) told: u64,
    /// When its machine goes down for maintenance at the latest, own time.
    pub(super) clearing: Option<u64>,
    /// Whether tasks that serve and tasks that fill run there, or may.
    pub(super) mixed: bool,
    /// When its filling tasks were last paced, own time.
    pub(super) paced_at: u64,
    /// Until when it gets no new work, own time.
    pub(super) blocked_until: u64,
    /// Jobs that failed here in a row.
    pub(super) failed: Vec<Name>,
    /// How its runs ended lately.
    pub(super) health: Health,
    /// How often it was put in quarantine.
    pub(super) quarantines: u32,
}

impl Upstream {
    /// Makes an upstream from its entry, read at `now`.
    pub(super) fn new(listing: Listing, now: u64) -> Self {
        Self {
            rack: listing.rack(),
            clock: Reading {
                clock_ms: listing.clock_ms,
                at: now,
            },
            listing,
            listed: true,
            evacuated: false,
            used: ResourceAmounts::default(),
            runs: HashMap::new(),
            stopping: HashMap::new(),
            lease_end: 0,
            holds: 0,
            held_at: 0,
            misses: 0,
            report_wanted: false,
            retry_at: 0,
            asked_at: 0,
            asked: 0,
            told: 0,
            seen: 0,
            handled: 0,
            clearing: None,
            mixed: false,
            paced_at: 0,
            blocked_until: 0,
            failed: Vec::new(),
            health: Health::default(),
            quarantines: 0,
        }
    }

    /// Makes a stand-in for an upstream that only the store's rows name; no lease asked for by
    /// another VM outlives `lease_end`.
    pub(super) fn unlisted(id: &Name, now: u64, lease_end: u64) -> Self {
        let listing = Listing {
            id: id.clone(),
            addr: "".into(),
            service: "".into(),
            centre: "".into(),
            born: 0,
            room: ResourceAmounts::default(),
            labels: Vec::new(),
            clock_ms: 0,
            ready: false,
            left_ms: None,
        };
        Self {
            listed: false,
            lease_end,
            ..Self::new(listing, now)
        }
    }

    /// Takes a newer reading of its clock.
    pub(super) fn read_clock(&mut self, reading: Option<Reading>) {
        if let Some(reading) = reading.filter(|reading| reading.at >= self.clock.at) {
            self.clock = reading;
        }
    }

    /// Returns a lease that ends `lease_ms` from now on its clock, and remembers when it has
    /// surely expired.
    pub(super) fn grant(&mut self, now: u64, lease_ms: u64) -> u64 {
        let passed = now.saturating_sub(self.clock.at);
        let until = self.clock.clock_ms + passed + lease_ms;
        let end = self.clock.at + Timing::max_local_ms(passed + lease_ms);
        self.lease_end = self.lease_end.max(end);
        until
    }

    /// Returns the own time from which on it may be gone, if it is about to leave.
    pub(super) fn leaves_at(&self) -> Option<u64> {
        let left = self.listing.left_ms.map(|left| {
            let end = self.listing.clock_ms + left;
            self.clock.at + end.saturating_sub(self.clock.clock_ms)
        });
        match (left, self.clearing) {
            (Some(left), Some(clearing)) => Some(left.min(clearing)),
            (left, clearing) => left.or(clearing),
        }
    }

    /// Tells whether it takes new work now.
    pub(super) fn is_open(&self, now: u64) -> bool {
        self.listed
            && !self.evacuated
            && self.listing.ready
            && self.clearing.is_none()
            && self.misses == 0
            && now >= self.blocked_until
    }

    /// Tells whether renewals go unanswered.
    pub(super) fn is_silent(&self) -> bool {
        self.misses >= MAX_MISSES
    }

    /// Returns the room that its live runs leave.
    pub(super) fn free(&self) -> ResourceAmounts {
        let mut free = self.listing.room;
        free.sub(&self.used);
        free
    }

    /// Counts a run.
    pub(super) fn reserve(&mut self, run: RunId, need: ResourceAmounts) {
        if self.runs.insert(run, need).is_none() {
            self.used.add(&need);
        }
    }

    /// Counts a run as one that is to stop.
    pub(super) fn mark_stopping(&mut self, run: &RunId) {
        if let Some(need) = self.runs.get(run) {
            self.stopping.insert(run.clone(), *need);
        }
    }

    /// Returns what stops under way give back.
    pub(super) fn ending(&self) -> ResourceAmounts {
        let mut sum = ResourceAmounts::default();
        for need in self.stopping.values() {
            sum.add(need);
        }
        sum
    }

    /// Gives back what a run took.
    pub(super) fn release(&mut self, run: &RunId) {
        self.stopping.remove(run);
        if let Some(need) = self.runs.remove(run) {
            self.used.sub(&need);
        }
    }

    /// Decides on the next renewal.
    pub(super) fn renewal(&mut self, now: u64, timing: &Timing) -> Renewal {
        let busy = !self.runs.is_empty();
        let asks = busy || self.told < self.handled || self.listed && self.misses > 0;
        if !asks || !busy && !self.listed && self.is_silent() {
            let done = !self.listed && self.holds == 0;
            return if done { Renewal::Drop } else { Renewal::None };
        }
        if self.listing.addr.is_empty() {
            return Renewal::None;
        }
        let unstored = self.seen < self.handled;
        let due = match self.holds {
            0 if self.misses > 0 => self.retry_at <= now,
            0 => !unstored || self.held_at + UNSTORED_MS <= now,
            1 => self.report_wanted && self.held_at + LOOK_GAP_MS <= now,
            _ => false,
        };
        if !due {
            return Renewal::None;
        }
        let calm = self.holds == 0 && self.misses == 0 && !self.report_wanted;
        let patient = calm && busy && !unstored;
        let until_ms = if self.is_silent() || !busy {
            0
        } else {
            self.grant(now, timing.lease_ms())
        };
        self.holds += 1;
        self.held_at = now;
        self.asked = self.seen;
        self.report_wanted = false;
        Renewal::Send {
            until_ms,
            wait_ms: match (patient, self.mixed) {
                (false, _) => 0,
                (true, false) => timing.wait_ms(),
                (true, true) => timing.wait_ms().min(MIXED_WAIT_MS),
            },
        }
    }

    /// Notes that the renewal of `mark` was answered.
    pub(super) fn told(&mut self, mark: u64) {
        if mark >= self.asked_at {
            self.told = self.told.max(self.asked);
        }
    }

    /// Forgets what was counted in an earlier life.
    pub(super) fn reborn(&mut self) {
        self.seen = 0;
        self.handled = 0;
        self.asked = 0;
        self.told = 0;
        self.health = Health::default();
    }

    /// Takes no new work until a report has shown its clock again.
    pub(super) fn doubt(&mut self, now: u64) {
        self.misses = self.misses.max(1);
        self.retry_at = now;
    }

    /// Shuts it for new work until `until`.
    pub(super) fn block_until(&mut self, until: u64) {
        self.blocked_until = self.blocked_until.max(until);
    }
}
