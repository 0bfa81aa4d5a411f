//! Bounded queues, one per kind of work, and the order in which they are served.
//!
//! Within a kind the earliest deadline goes first. Between kinds the higher priority goes first,
//! but each lower priority with waiting requests gets a configured share of the runners' time.

use crate::model::Kind;
use crate::model::Priority;
use crate::prelude::*;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The weight of the old value in the moving averages, where a new sample weighs 1.
const OLD_WEIGHT: u64 = 7;
/// The divisor of the moving averages: one more than [`OLD_WEIGHT`].
const TOTAL_WEIGHT: u64 = 8;
/// The samples from which the observed service time is reliable enough to end requests early or
/// to judge runners by.
const MIN_SAMPLES: u64 = 8;
/// The service time is assumed to be at least the time of an attempt without a response divided by
/// this.
const UNANSWERED_DIVISOR: u64 = 2;
/// The credit with which a priority below urgent goes first, and which its dispatch costs, for
/// each millisecond of service time.
const CREDIT_COST: u64 = 100;
/// The most dispatches for which a priority saves credit.
const MAX_SAVED_DISPATCHES: u64 = 2;

/// The position of a waiting request; the earliest deadline is first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    /// The deadline, in milliseconds of monotonic time.
    pub(super) end_ms: u64,
    /// The order of arrival.
    pub(super) seq: u64,
    /// The request.
    pub(super) req: Name,
}

/// The waiting requests of one kind, and estimates of their service and dispatch times.
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

    /// Returns how many requests wait, including those whose claim is not read back yet.
    pub(super) fn depth(&self) -> u64 {
        self.waiting.len() as u64 + self.claiming
    }

    /// Returns the observed mean service time, or the configured one before the first response.
    pub(super) fn service_ms(&self) -> u64 {
        self.service_us / 1_000
    }

    /// Returns whether the observed service time is reliable; see [`MIN_SAMPLES`].
    pub(super) fn has_enough_samples(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Predicts the wait of a request with the deadline `end_ms`, in milliseconds.
    pub(super) fn wait_ms(&self, end_ms: u64, now_ms: u64) -> u64 {
        let ahead = self.waiting.iter().take_while(|at| at.end_ms <= end_ms);
        self.predict_ms(ahead.count() as u64, now_ms)
    }

    /// Predicts the time until all waiting requests are dispatched, in milliseconds.
    pub(super) fn drain_ms(&self, now_ms: u64) -> u64 {
        self.predict_ms(self.waiting.len() as u64, now_ms)
    }

    /// Returns the credit with which a request goes first, and which its dispatch costs.
    fn cost(&self) -> u64 {
        CREDIT_COST * self.service_ms().max(1)
    }

    fn predict_ms(&self, ahead: u64, now_ms: u64) -> u64 {
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
        self.drain_us = (self.drain_us * OLD_WEIGHT + gap_us) / TOTAL_WEIGHT;
        self.drained_ms = now_ms;
    }
}

/// The credit of the priorities below urgent at one pool.
#[derive(Debug, Clone, Default, PartialEq)]
struct Turns {
    normal: u64,
    patient: u64,
}

impl Turns {
    fn credit(&mut self, priority: Priority) -> Option<&mut u64> {
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
    /// Returns the queue of a kind, created if there is none.
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

    /// Counts a request whose claim is not read back yet.
    pub(super) fn add_claiming(&mut self, kind: &Kind) {
        self.open(kind).claiming += 1;
    }

    /// Stops counting a request whose claim was read back, or that ended before.
    pub(super) fn remove_claiming(&mut self, kind: &Kind) {
        let queue = self.open(kind);
        queue.claiming = queue.claiming.saturating_sub(1);
    }

    /// Queues a request; `servers` is how many requests this VM can have at runners at once.
    pub(super) fn push(&mut self, kind: &Kind, place: Place, servers: u64, now_ms: u64) {
        self.open(kind).push(place, servers, now_ms);
    }

    /// Removes a request that is dispatched.
    pub(super) fn take(&mut self, kind: &str, place: &Place, now_ms: u64) {
        if let Some(queue) = self.kinds.get_mut(kind) {
            queue.take(place, now_ms);
        }
    }

    /// Removes a request that ends without being dispatched.
    pub(super) fn remove(&mut self, kind: &str, place: &Place) {
        if let Some(queue) = self.kinds.get_mut(kind) {
            queue.waiting.remove(place);
        }
    }

    /// Updates the service time with that of one response.
    pub(super) fn record_response(&mut self, kind: &Kind, took_ms: u64) {
        let queue = self.open(kind);
        let took_us = took_ms * 1_000;
        queue.service_us = match queue.samples {
            0 => took_us.max(1),
            _ => (queue.service_us * OLD_WEIGHT + took_us) / TOTAL_WEIGHT,
        };
        queue.samples += 1;
    }

    /// Raises the service time after an attempt without a response within `took_ms`, as the service
    /// may take that long.
    pub(super) fn record_unanswered(&mut self, kind: &Kind, took_ms: u64) {
        let queue = self.open(kind);
        let least_us = took_ms * 1_000 / UNANSWERED_DIVISOR;
        queue.service_us = queue.service_us.max(least_us);
    }

    /// Returns the pools for which requests wait.
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
            let has_credit = turns
                .credit(queue.priority)
                .is_some_and(|credit| *credit >= queue.cost());
            heads.push(Head {
                lacks_credit: !has_credit,
                priority: queue.priority,
                place: place.clone(),
                kind: kind.clone(),
            });
        }
        heads.sort();
        heads
    }

    /// Accounts for the dispatch of `sent`: each priority below urgent with waiting requests gains
    /// `percent` of its cost as credit, and then the priority of `sent` pays the cost.
    pub(super) fn account(&mut self, pool: &Name, sent: &Head, percent: u64) {
        let turns = self.turns.entry(pool.clone()).or_default();
        let cost = self.kinds.get(&sent.kind).map_or(0, Queue::cost);
        let gain = cost * percent / 100;
        let mut limits: BTreeMap<Priority, u64> = BTreeMap::new();
        for queue in self.kinds.values() {
            if queue.pool == *pool && !queue.waiting.is_empty() {
                let limit = limits.entry(queue.priority).or_default();
                *limit = (*limit).max(queue.cost() * MAX_SAVED_DISPATCHES);
            }
        }
        for (priority, limit) in limits {
            if let Some(credit) = turns.credit(priority) {
                *credit = (*credit + gain).min(limit);
            }
        }
        if let Some(credit) = turns.credit(sent.priority) {
            *credit = credit.saturating_sub(cost);
        }
    }
}

/// The first waiting request of a kind; the order is that of service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Head {
    lacks_credit: bool,
    priority: Priority,
    /// Its place.
    pub(super) place: Place,
    /// Its kind.
    pub(super) kind: Name,
}
