//! Bounded queues, one per kind of work, and the order in which they are served.
//!
//! Within a kind the earliest deadline goes first. Between kinds the more pressing goes first,
//! but each less pressing priority that waits gets a stated share of the runners' time.

use crate::model::Kind;
use crate::model::Priority;
use crate::prelude::*;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The weight of an old estimate against a new sample.
const KEEP: u64 = 7;
/// One more than [`KEEP`]: the divisor of the moving averages.
const WHOLE: u64 = 8;
/// The samples from which the observed service time is trusted to refuse by.
const TRUSTED: u64 = 8;
/// The part of the time of a try without an answer that the service time is taken to be at least.
const OUTLAST_SHARE: u64 = 2;
/// The credit that a dispatch out of turn costs, for each millisecond of its service time.
const TURN_PRICE: u64 = 100;
/// The most dispatches that a priority saves up credit for.
const TURNS_MOST: u64 = 2;

/// A waiting request's place; the earliest deadline is first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    /// The deadline, in milliseconds of monotonic time.
    pub(super) end_ms: u64,
    /// The order of arrival.
    pub(super) seq: u64,
    /// The request.
    pub(super) req: Name,
}

/// The requests of one kind that wait, and what is known of their speed.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Queue {
    pool: Name,
    priority: Priority,
    waiting: BTreeSet<Place>,
    claiming: u64,
    service_us: u64,
    samples: u64,
    drain_us: u64,
    drained_ms: u64,
}

impl Queue {
    fn new(kind: &Kind) -> Self {
        Self {
            pool: kind.pool.clone(),
            priority: kind.priority,
            waiting: BTreeSet::new(),
            claiming: 0,
            service_us: kind.service_ms * 1_000,
            samples: 0,
            drain_us: 0,
            drained_ms: 0,
        }
    }

    /// Returns how many requests wait, those whose claim is not read back included.
    pub(super) fn depth(&self) -> u64 {
        self.waiting.len() as u64 + self.claiming
    }

    /// Returns the observed mean service time, or the configured one before any answer came.
    pub(super) fn service_ms(&self) -> u64 {
        self.service_us / 1_000
    }

    /// Returns whether enough answers came to refuse by their service time.
    pub(super) fn is_trusted(&self) -> bool {
        self.samples >= TRUSTED
    }

    /// Predicts the wait of a request with the deadline `end_ms`, in milliseconds.
    pub(super) fn wait_ms(&self, end_ms: u64, now_ms: u64) -> u64 {
        let ahead = self.waiting.iter().take_while(|at| at.end_ms <= end_ms);
        self.spread_ms(ahead.count() as u64, now_ms)
    }

    /// Returns the time in which all that waits is predicted to be dispatched, in milliseconds.
    pub(super) fn drain_ms(&self, now_ms: u64) -> u64 {
        self.spread_ms(self.waiting.len() as u64, now_ms)
    }

    /// Returns the credit that a dispatch out of turn costs.
    fn price(&self) -> u64 {
        TURN_PRICE * self.service_ms().max(1)
    }

    fn spread_ms(&self, ahead: u64, now_ms: u64) -> u64 {
        if ahead == 0 {
            return 0;
        }
        let stalled_us = now_ms.saturating_sub(self.drained_ms) * 1_000 / 4;
        ahead * self.drain_us.max(stalled_us) / 1_000
    }

    fn push(&mut self, place: Place, servers: u64, now_ms: u64) {
        if self.waiting.is_empty() {
            self.drained_ms = now_ms;
            self.drain_us = self.service_us / servers.max(1);
        }
        self.waiting.insert(place);
    }

    fn take(&mut self, place: &Place, now_ms: u64) {
        if !self.waiting.remove(place) {
            return;
        }
        let gap_us = now_ms.saturating_sub(self.drained_ms) * 1_000;
        self.drain_us = (self.drain_us * KEEP + gap_us) / WHOLE;
        self.drained_ms = now_ms;
    }
}

/// The credit of the less pressing priorities at one pool.
#[derive(Debug, Clone, Default, PartialEq)]
struct Turns {
    normal: u64,
    patient: u64,
}

impl Turns {
    fn of(&mut self, priority: Priority) -> Option<&mut u64> {
        match priority {
            Priority::Urgent => None,
            Priority::Normal => Some(&mut self.normal),
            Priority::Patient => Some(&mut self.patient),
        }
    }
}

/// All queues.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Queues {
    kinds: BTreeMap<Name, Queue>,
    turns: BTreeMap<Name, Turns>,
}

impl Queues {
    /// Returns the queue of a kind, made if there is none.
    pub(super) fn open(&mut self, kind: &Kind) -> &mut Queue {
        let queue = self
            .kinds
            .entry(kind.name.clone())
            .or_insert_with(|| Queue::new(kind));
        queue.pool = kind.pool.clone();
        queue.priority = kind.priority;
        queue
    }

    /// Returns the queue of a kind.
    pub(super) fn get(&self, kind: &str) -> Option<&Queue> {
        self.kinds.get(kind)
    }

    /// Counts a request whose claim is under way.
    pub(super) fn claiming(&mut self, kind: &Kind) {
        self.open(kind).claiming += 1;
    }

    /// Counts a request whose claim is settled.
    pub(super) fn claimed(&mut self, kind: &Kind) {
        let queue = self.open(kind);
        queue.claiming = queue.claiming.saturating_sub(1);
    }

    /// Lets a request wait; `servers` is how many this VM can serve at once.
    pub(super) fn push(&mut self, kind: &Kind, place: Place, servers: u64, now_ms: u64) {
        self.open(kind).push(place, servers, now_ms);
    }

    /// Takes out a request that is dispatched.
    pub(super) fn take(&mut self, kind: &str, place: &Place, now_ms: u64) {
        if let Some(queue) = self.kinds.get_mut(kind) {
            queue.take(place, now_ms);
        }
    }

    /// Takes out a request that is given up.
    pub(super) fn drop(&mut self, kind: &str, place: &Place) {
        if let Some(queue) = self.kinds.get_mut(kind) {
            queue.waiting.remove(place);
        }
    }

    /// Takes in the service time of one answer.
    pub(super) fn served(&mut self, kind: &Kind, took_ms: u64) {
        let queue = self.open(kind);
        let took_us = took_ms * 1_000;
        queue.service_us = match queue.samples {
            0 => took_us.max(1),
            _ => (queue.service_us * KEEP + took_us) / WHOLE,
        };
        queue.samples += 1;
    }

    /// Takes in a try that had no answer after `took_ms`: the service time may be as long.
    pub(super) fn outlasted(&mut self, kind: &Kind, took_ms: u64) {
        let queue = self.open(kind);
        let least_us = took_ms * 1_000 / OUTLAST_SHARE;
        queue.service_us = queue.service_us.max(least_us);
    }

    /// Returns the pools for which something waits.
    pub(super) fn pools(&self) -> BTreeSet<Name> {
        let busy = self
            .kinds
            .values()
            .filter(|queue| !queue.waiting.is_empty());
        busy.map(|queue| queue.pool.clone()).collect()
    }

    /// Returns the first request of each kind that waits for `pool`, in the order of service.
    pub(super) fn heads(&mut self, pool: &Name) -> Vec<Head> {
        let turns = self.turns.entry(pool.clone()).or_default();
        let mut heads = Vec::new();
        for (kind, queue) in &self.kinds {
            let first = queue.waiting.first().filter(|_| queue.pool == *pool);
            let Some(place) = first else {
                continue;
            };
            let due = turns
                .of(queue.priority)
                .is_some_and(|credit| *credit >= queue.price());
            heads.push(Head {
                waits: !due,
                priority: queue.priority,
                place: place.clone(),
                kind: kind.clone(),
            });
        }
        heads.sort();
        heads
    }

    /// Counts a dispatch of `sent`, so that the others that wait gain `percent` of its time each.
    pub(super) fn count_turn(&mut self, pool: &Name, sent: &Head, percent: u64) {
        let turns = self.turns.entry(pool.clone()).or_default();
        let price = self.kinds.get(&sent.kind).map_or(0, Queue::price);
        let gain = price * percent / 100;
        let mut owed: BTreeMap<Priority, u64> = BTreeMap::new();
        for queue in self.kinds.values() {
            if queue.pool == *pool && !queue.waiting.is_empty() {
                let most = owed.entry(queue.priority).or_default();
                *most = (*most).max(queue.price() * TURNS_MOST);
            }
        }
        for (priority, most) in owed {
            if let Some(credit) = turns.of(priority) {
                *credit = (*credit + gain).min(most);
            }
        }
        if let Some(credit) = turns.of(sent.priority) {
            *credit = credit.saturating_sub(price);
        }
    }
}

/// The first waiting request of a kind; the order is that of service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Head {
    waits: bool,
    priority: Priority,
    /// Its place.
    pub(super) place: Place,
    /// Its kind.
    pub(super) kind: Name,
}
