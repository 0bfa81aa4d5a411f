//! A VM that leads: the scheduler, its pending append and its orders without response.

use super::orders::Answer;
use super::orders::Order;
use super::world::WALL_MS;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use trefoilgauge::fleet::Effect;
use trefoilgauge::fleet::Scheduler;
use trefoilgauge::fleet::leases::Takeover;
use trefoilgauge::fleet::mandate::Mandate;
use trefoilgauge::fleet::row::Row;
use trefoilgauge::fleet::timing::Policy;
use trefoilgauge::fleet::timing::Timing;
use trefoilgauge::prelude::*;

/// The age of the last confirmation from which on an empty append confirms the lead, in
/// milliseconds.
pub(crate) const CONFIRM_MS: u64 = 700;
/// The time between two checks for what is due, in milliseconds.
pub(crate) const TICK_MS: u64 = 50;

/// The time after a disruption from which on rules with a time bound hold again, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// The time limits of all worlds.
pub(crate) fn timing() -> Timing {
    Timing {
        max_lease_ms: super::upstream::MAX_LEASE_MS,
        stop_ms: 200,
        keep_ms: 120_000,
        restore_ms: 600,
        upkeep_ms: 2_000,
        advice: false,
        reclaim_ms: 2_700,
        machine_lease_ms: 3_000,
        // The rules hold with every decision under load turned on.
        policy: Policy {
            gang_reservations: 2,
            share_half_life_ms: 30_000,
            ..Policy::default()
        },
    }
}

/// What a leader received while it was suspended.
#[derive(Debug, Clone)]
pub(crate) enum Received {
    /// The response to an order.
    Answer(u64, Answer),
    /// The result of the append attempt with this number: whether the epoch is in force.
    Appended(u64, bool),
}

/// Whether a leader runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Life {
    Running,
    Suspended,
    Gone,
}

/// An append without answer.
#[derive(Debug)]
pub(crate) struct Append {
    pub sequence: u64,
    pub rows: Vec<Row>,
    /// Effects to carry out once it is stored.
    pub effects: Vec<Effect>,
    /// The number of the last attempt, and when it was sent.
    pub attempt: u64,
    pub sent: u64,
}

/// What a caller waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ask {
    Submit,
    State,
    Cancel,
}

/// A leader.
#[derive(Debug)]
pub(crate) struct Leader {
    pub epoch: u64,
    pub scheduler: Scheduler,
    /// Its local clock minus the time of the world, in milliseconds.
    pub offset: u64,
    pub life: Life,
    /// Whether it gave up the lead.
    pub resigned: bool,
    /// When its VM runs another process, if it was killed.
    pub back_at: Option<u64>,
    pub rows: Vec<Row>,
    pub gated: Vec<Effect>,
    pub append: Option<Append>,
    pub sequence: u64,
    pub confirmed_at: u64,
    pub mandate: Mandate,
    /// Orders that wait until the store has confirmed the lead again.
    pub unconfirmed: Vec<Effect>,
    /// Until when its calls of the store get no answer.
    pub cut_until: u64,
    /// When it had loaded the rows.
    pub loaded_at: u64,
    /// When it last resumed.
    pub resumed_at: u64,
    /// The orders without response.
    pub pending: BTreeMap<u64, Order>,
    pub inbox: Vec<Received>,
    /// Orders whose time limit passed while it was suspended.
    pub overdue: Vec<u64>,
    /// The calls without reply: the job and what was asked.
    pub callers: HashMap<u64, (usize, Ask)>,
    pub calls: u64,
    /// Where it continues to read discovery, and the upstreams that it knows.
    pub feed: usize,
    pub known: BTreeSet<Name>,
}

impl Leader {
    /// Returns whether rules with a time bound hold for what it sent at `time`.
    pub(crate) fn is_in_touch(&self, time: u64) -> bool {
        self.cut_until.max(self.resumed_at) + CONTACT_MS <= time
            || self.cut_until == 0 && self.resumed_at == 0
    }

    /// Makes a leader of an epoch that has loaded the rows.
    pub(crate) fn new(takeover: Takeover, rows: Vec<Row>, now: u64, offset: u64) -> Self {
        let local = now + offset;
        Self {
            epoch: takeover.epoch,
            scheduler: Scheduler::load(timing(), rows, local, WALL_MS + now, takeover),
            offset,
            life: Life::Running,
            resigned: false,
            back_at: None,
            rows: Vec::new(),
            gated: Vec::new(),
            append: None,
            sequence: 0,
            confirmed_at: now,
            mandate: Mandate::new(now),
            unconfirmed: Vec::new(),
            cut_until: 0,
            loaded_at: now,
            resumed_at: 0,
            pending: BTreeMap::new(),
            inbox: Vec::new(),
            overdue: Vec::new(),
            callers: HashMap::new(),
            calls: 0,
            feed: 0,
            known: BTreeSet::new(),
        }
    }
}
