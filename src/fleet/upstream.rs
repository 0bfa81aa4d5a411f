//! The scheduler's state of one upstream.

use super::decide::learn::Knowledge;
use super::decide::quarantine::Quarantine;
use super::decide::speed::Slowness;
use super::decide::trust::Health;
use super::event::Held;
use super::event::Reading;
use super::model::Listing;
use super::model::ResourceAmounts;
use super::model::RunId;
use super::timing::CLOCK_SLOW_PART;
use super::timing::MAX_MISSES;
use super::timing::Timing;
use crate::prelude::*;
use std::collections::HashMap;

/// How far the clock of an upstream may be behind its estimate beyond its slowness, in milliseconds:
/// responses are read late, and a paused upstream's clock stands still.
const CLOCK_SLACK_MS: u64 = 3_000;
/// The interval between renewals while reported ends are not stored yet, in milliseconds: well
/// below the lease.
const UNSTORED_INTERVAL_MS: u64 = 1_000;
/// The longest time that an upstream may delay its report where serving tasks may be disturbed,
/// in milliseconds: their reported tail latencies are those of the last half second.
const MAX_MIXED_WAIT_MS: u64 = 500;
/// The time after the last renewal from which on an upstream without runs is asked for a report, in
/// milliseconds: its clock is then known so well that a lease is at most 1.4 s shorter than asked for.
const IDLE_LOOK_MS: u64 = 60_000;
/// The shortest time between two renewals of one upstream while one is under way, in milliseconds.
const MIN_REPORT_GAP_MS: u64 = 60;

/// The next action on an upstream's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Renewal {
    /// None for now.
    None,
    /// Drop the upstream from the state.
    Drop,
    /// Send a renewal, with these fields of [`Effect::Hold`](super::effect::Effect::Hold).
    Send { until_ms: u64, wait_ms: u64 },
}

/// An upstream.
#[derive(Debug, Clone)]
pub(super) struct Upstream {
    /// Its entry in service discovery.
    pub(super) listing: Listing,
    /// Its rack.
    pub(super) rack: Name,
    /// When the process that its entry describes started, Unix milliseconds; 0 if not given.
    pub(super) entry_born: u64,
    /// Whether service discovery has an entry for it.
    pub(super) listed: bool,
    /// Whether its data centre is being evacuated.
    pub(super) evacuated: bool,
    /// The resources that its live runs use.
    pub(super) used: ResourceAmounts,
    /// Its live runs, with the resources of each.
    pub(super) runs: HashMap<RunId, ResourceAmounts>,
    /// Those of its live runs that are ordered to stop.
    pub(super) stopping: HashMap<RunId, ResourceAmounts>,
    /// The last reading of its clock.
    pub(super) clock: Reading,
    /// When every lease that this leader requested has certainly expired, local clock.
    pub(super) lease_end: u64,
    /// When every lease that earlier leaders requested has certainly expired, local clock.
    pub(super) inherited_end: u64,
    /// When every lease by the clock of an earlier process has certainly expired, local clock.
    pub(super) foreign_end: u64,
    /// When the process started that holds the runs of an earlier leader, Unix milliseconds; 0 if
    /// there are none, or if it is not known.
    pub(super) holder_born: u64,
    /// After how many restarts of upstreams its present process became known to this leader; part of
    /// the fencing token of its orders.
    pub(super) life: u64,
    /// The mark at which that changed last.
    pub(super) life_mark: u64,
    /// How many renewals are under way.
    pub(super) holds: u32,
    /// When the last renewal was sent, local clock.
    pub(super) renewed_at: u64,
    /// How many renewals in a row went unanswered.
    pub(super) misses: u32,
    /// Whether to request a report without waiting for the renewal under way.
    pub(super) report_wanted: bool,
    /// When to request an additional report, local clock.
    pub(super) report_at: Option<u64>,
    /// When it is asked for a report although no run of this leader is there, local clock: to tell it
    /// the fencing token, to read its clock, and to find runs that no leader knows.
    pub(super) look_at: Option<u64>,
    /// When it is polled again if it does not respond, local clock.
    pub(super) retry_at: u64,
    /// The number of the last end that is stored.
    pub(super) seen: u64,
    /// The number of the last end that was handled.
    pub(super) handled: u64,
    /// The mark of the last renewal sent.
    pub(super) renewal_mark: u64,
    /// The mark at which a run there was last settled; a report that was requested later lists none
    /// of the settled runs unless they still run.
    pub(super) settled_mark: u64,
    /// The mark at which its present process became known; earlier renewals may have reached
    /// another one.
    pub(super) process_mark: u64,
    /// The number of the last end that the last renewal sent acknowledges, 0 if none.
    pub(super) acknowledging: u64,
    /// The number of the last end whose acknowledgement it has responded to.
    pub(super) acknowledged: u64,
    /// Set while it is drained for maintenance: when its machine goes down at the latest, local
    /// clock.
    pub(super) drain_until: Option<u64>,
    /// Whether serving tasks and tasks that use idle cores run there together, or may.
    pub(super) mixed: bool,
    /// When the speed of its tasks that use idle cores was last adapted, local clock.
    pub(super) paced_at: u64,
    /// Until when it gets no new work, local clock.
    pub(super) blocked_until: u64,
    /// The jobs that failed there since a run was last done.
    pub(super) quarantine: Quarantine,
    /// How its runs ended recently.
    pub(super) health: Health,
    /// How much longer than usual work takes there.
    pub(super) slowness: Slowness,
    /// Until when changes of `health` and `slowness` are stored or too small to store, local clock.
    pub(super) learned_at: u64,
    /// The start of the process that has announced that it leaves, or is drained for maintenance.
    pub(super) leaving: Option<u64>,
}

impl Upstream {
    /// Makes an upstream from its entry in service discovery, read at `now`.
    pub(super) fn new(listing: Listing, now: u64) -> Self {
        Self {
            rack: listing.rack(),
            entry_born: listing.born,
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
            inherited_end: 0,
            foreign_end: 0,
            holder_born: 0,
            life: 0,
            life_mark: 0,
            holds: 0,
            renewed_at: 0,
            misses: 0,
            report_wanted: false,
            report_at: None,
            look_at: None,
            retry_at: 0,
            renewal_mark: 0,
            settled_mark: 0,
            process_mark: 0,
            acknowledging: 0,
            acknowledged: 0,
            seen: 0,
            handled: 0,
            drain_until: None,
            mixed: false,
            paced_at: 0,
            blocked_until: 0,
            quarantine: Quarantine::default(),
            health: Health::default(),
            slowness: Slowness::default(),
            learned_at: 0,
            leaving: None,
        }
    }

    /// Makes a placeholder for an upstream that only the store's rows name; no lease that an earlier
    /// leader requested lasts beyond `inherited_end`.
    pub(super) fn unlisted(id: &Name, now: u64, inherited_end: u64) -> Self {
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
            inherited_end,
            ..Self::new(listing, now)
        }
    }

    /// Returns what is known of its machine.
    pub(super) fn knowledge(&self) -> Knowledge {
        Knowledge {
            slowness: self.slowness,
            health: self.health,
        }
    }

    /// Replaces the reading of its clock by a newer one. A clock that went back belongs to a new
    /// process: it gets no new work until a report has shown which. Returns whether it went back.
    pub(super) fn read_clock(&mut self, now: u64, reading: Option<Reading>) -> bool {
        let Some(reading) = reading.filter(|reading| reading.at >= self.clock.at) else {
            return false;
        };
        let passed = reading.at.saturating_sub(self.clock.at);
        let least = self.clock.clock_ms + passed - passed / CLOCK_SLOW_PART;
        let went_back = reading.clock_ms + CLOCK_SLACK_MS < least;
        if went_back {
            log::info!(
                "TG1520 upstream={} its clock went back reading={} expected={least} born={}",
                self.listing.id,
                reading.clock_ms,
                self.listing.born
            );
            self.suspect(now);
        }
        self.clock = reading;
        went_back
    }

    /// Returns whether another process than that of its entry held the runs of an earlier leader
    /// when they were stored; known only before the first entry is applied.
    pub(super) fn has_replaced_holder(&self, listing: &Listing) -> bool {
        let unlisted = self.listing.born == 0;
        let known = self.holder_born != 0 && listing.born != 0;
        unlisted && known && self.holder_born != listing.born
    }

    /// Returns the end of a lease of at most `lease_ms` from now, on its clock, and records when that
    /// lease has certainly expired.
    ///
    /// It is counted from the least that the clock may show: the next leader does not know how old
    /// the reading is, and waits for `lease_ms` alone.
    pub(super) fn grant(&mut self, now: u64, lease_ms: u64) -> u64 {
        let passed = now.saturating_sub(self.clock.at);
        let least = self.clock.clock_ms + passed - passed.div_ceil(CLOCK_SLOW_PART);
        let end = now + Timing::max_local_ms(lease_ms);
        self.lease_end = self.lease_end.max(end);
        least + lease_ms
    }

    /// Returns from when on it may be gone, local clock; none if it is not about to leave.
    pub(super) fn leaves_at(&self) -> Option<u64> {
        let left = self.listing.left_ms.map(|left| {
            let end = self.listing.clock_ms + left;
            self.clock.at + end.saturating_sub(self.clock.clock_ms)
        });
        match (left, self.drain_until) {
            (Some(left), Some(drain_until)) => Some(left.min(drain_until)),
            (left, drain_until) => left.or(drain_until),
        }
    }

    /// Records whether its process leaves, as its entry and the maintenance say.
    pub(super) fn note_leaving(&mut self) {
        let born = self.listing.born;
        if !self.listing.ready || self.leaves_at().is_some() {
            self.leaving = Some(born);
        } else if self.leaving == Some(born) {
            self.leaving = None;
        }
    }

    /// Returns whether the process that started at `born` has announced that it leaves.
    pub(super) fn is_leaving(&self, born: u64) -> bool {
        self.drain_until.is_some() || self.leaving == Some(born)
    }

    /// Returns whether its entry describes its present process: after a restart its room and labels
    /// may be others.
    fn is_described(&self) -> bool {
        self.entry_born == 0 || self.entry_born == self.listing.born
    }

    /// Returns whether it may get new work now.
    pub(super) fn is_open(&self, now: u64) -> bool {
        self.listed
            && self.is_described()
            && !self.evacuated
            && self.listing.ready
            && self.drain_until.is_none()
            && self.misses == 0
            && now >= self.blocked_until
    }

    /// Returns whether it counts as silent: several renewals in a row went unanswered.
    pub(super) fn is_silent(&self) -> bool {
        self.misses >= MAX_MISSES
    }

    /// Returns the resources that its live runs do not use.
    pub(super) fn free(&self) -> ResourceAmounts {
        let mut free = self.listing.room;
        free.sub(&self.used);
        free
    }

    /// Reserves the resources of a run.
    pub(super) fn reserve(&mut self, run: RunId, need: ResourceAmounts) {
        if self.runs.insert(run, need).is_none() {
            self.used.add(&need);
        }
    }

    /// Records that a run is ordered to stop.
    pub(super) fn mark_stopping(&mut self, run: &RunId) {
        if let Some(need) = self.runs.get(run) {
            self.stopping.insert(run.clone(), *need);
        }
    }

    /// Returns the resources of the runs that are ordered to stop.
    pub(super) fn ending(&self) -> ResourceAmounts {
        let mut sum = ResourceAmounts::default();
        for need in self.stopping.values() {
            sum.add(need);
        }
        sum
    }

    /// Releases the resources of a run.
    pub(super) fn release(&mut self, run: &RunId) {
        self.stopping.remove(run);
        if let Some(need) = self.runs.remove(run) {
            self.used.sub(&need);
        }
    }

    /// Decides whether to send a renewal now, and if so, records it as sent.
    pub(super) fn renewal(&mut self, now: u64, timing: &Timing) -> Renewal {
        let has_runs = !self.runs.is_empty();
        let look_due = self.look_at.is_some_and(|at| at <= now);
        let needs_renewal = has_runs
            || self.acknowledged < self.handled
            || self.listed && (self.misses > 0 || look_due);
        if !needs_renewal || !has_runs && !self.listed && self.is_silent() {
            let unused = !self.listed && self.holds == 0;
            return if unused { Renewal::Drop } else { Renewal::None };
        }
        if self.listing.addr.is_empty() {
            return Renewal::None;
        }
        let unstored = self.seen < self.handled;
        let due = match self.holds {
            0 if self.misses > 0 => self.retry_at <= now,
            0 => !unstored || self.renewed_at + UNSTORED_INTERVAL_MS <= now,
            1 => self.report_wanted && self.renewed_at + MIN_REPORT_GAP_MS <= now,
            _ => false,
        };
        if !due {
            return Renewal::None;
        }
        let routine = self.holds == 0 && self.misses == 0 && !self.report_wanted;
        let may_wait = routine && has_runs && !unstored;
        let until_ms = if self.is_silent() || !has_runs {
            0
        } else {
            self.grant(now, timing.lease_ms())
        };
        self.holds += 1;
        self.renewed_at = now;
        self.look_at = Some(now + IDLE_LOOK_MS);
        // Not sent again once answered, nor before a report after silence: it would mean other ends
        // to a process that has taken the place of this one.
        self.acknowledging = if self.misses == 0 && self.acknowledged < self.seen {
            self.seen
        } else {
            0
        };
        self.report_wanted = false;
        Renewal::Send {
            until_ms,
            wait_ms: match (may_wait, self.mixed) {
                (false, _) => 0,
                (true, false) => timing.wait_ms(),
                (true, true) => timing.wait_ms().min(MAX_MIXED_WAIT_MS),
            },
        }
    }

    /// Records that the renewal that carried `mark` was answered.
    pub(super) fn note_answer(&mut self, mark: u64) {
        if mark >= self.renewal_mark {
            self.acknowledged = self.acknowledged.max(self.acknowledging);
        }
    }

    /// Returns whether the response to the renewal that carried `mark` is about an earlier process,
    /// or is that of the present one to a renewal that was meant for an earlier one.
    pub(super) fn is_outdated(&self, mark: u64, answer: &Held) -> bool {
        match answer {
            Held::Report(report) => {
                mark < self.process_mark && report.born != 0 && report.born != self.listing.born
            }
            Held::OtherLife | Held::Silent => mark < self.process_mark,
            Held::Fenced => mark <= self.life_mark,
        }
    }

    /// Raises the token of its orders: another process of it is known, at `mark`.
    pub(super) fn begin_life(&mut self, life: u64, mark: u64) {
        self.life = life;
        self.life_mark = mark;
    }

    /// Resets what was counted for an earlier process of the upstream; `mark` is the present one.
    pub(super) fn reset_process(&mut self, mark: u64) {
        self.process_mark = mark;
        self.seen = 0;
        self.handled = 0;
        self.acknowledging = 0;
        self.acknowledged = 0;
        self.health = Health::default();
        self.slowness = Slowness::default();
    }

    /// Gives it no new work until a report has shown its clock again.
    pub(super) fn suspect(&mut self, now: u64) {
        self.misses = self.misses.max(1);
        self.retry_at = now;
    }

    /// Gives it no new work until `until`, local clock.
    pub(super) fn block_until(&mut self, until: u64) {
        self.blocked_until = self.blocked_until.max(until);
    }
}
