//! The capacity of the workers during a round of planning: what is free now, and what will be
//! free once the stops in progress end.

use crate::model::Adjacency;
use crate::model::Job;
use crate::prelude::*;
use crate::records::Slot;
use crate::reducer::ledger::Ledger;
use crate::reducer::ledger::fleet::Host;
use crate::reducer::ledger::gangs::Gang;
use crate::reducer::ledger::gangs::Phase;
use std::collections::BTreeMap;

/// The time after which a stop that has not ended no longer counts as capacity, in milliseconds.
pub const STOP_WAIT_MS: u64 = 4_000;

/// Free resources of one worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Resources {
    /// Accelerators, one bit each.
    pub mask: u64,
    /// Cores.
    pub cores: u32,
    /// Memory in gigabytes.
    pub memory_gb: u32,
}

impl Resources {
    /// Returns the number of members of `job` that fit.
    pub fn room(&self, job: &Job) -> u32 {
        let by_accelerators = quotient(self.mask.count_ones(), job.accelerators);
        let by_cores = quotient(self.cores, job.cores);
        let by_memory = quotient(self.memory_gb, job.memory_gb);
        by_accelerators.min(by_cores).min(by_memory)
    }

    /// Adds the resources of one member of `job`.
    pub fn add(&mut self, job: &Job, mask: u64) {
        self.mask |= mask;
        self.cores += job.cores;
        self.memory_gb += job.memory_gb;
    }

    fn subtract(&mut self, job: &Job, mask: u64) {
        self.mask &= !mask;
        self.cores = self.cores.saturating_sub(job.cores);
        self.memory_gb = self.memory_gb.saturating_sub(job.memory_gb);
    }
}

/// The capacity of one usable worker.
#[derive(Debug, Clone)]
pub struct WorkerCapacity<'a> {
    /// Its name.
    pub name: &'a Name,
    /// The worker.
    pub host: &'a Host,
    /// The resources that are free now.
    pub free: Resources,
    /// The resources that are free now or once the stops in progress end.
    pub after_stops: Resources,
    /// When its earliest reservation starts, in milliseconds of wall time; only work that can be
    /// stopped may run beyond that.
    pub reserved_ms: Option<u64>,
}

/// The capacity of all usable workers.
#[derive(Debug, Clone)]
pub struct Capacity<'a> {
    /// The workers, sorted by name.
    pub workers: Vec<WorkerCapacity<'a>>,
}

impl<'a> Capacity<'a> {
    /// Computes the capacity from a ledger.
    pub fn new(ledger: &'a Ledger, now_ms: u64) -> Self {
        let usable = ledger.fleet.hosts.iter().filter(|(_, host)| host.usable());
        let workers = usable.map(|(name, host)| {
            let free = Resources {
                mask: host.free(),
                cores: host.cores.saturating_sub(host.held_cores),
                memory_gb: host.memory_gb.saturating_sub(host.held_gb),
            };
            WorkerCapacity {
                name,
                host,
                free,
                after_stops: free,
                reserved_ms: None,
            }
        });
        let mut capacity = Self {
            workers: workers.collect(),
        };
        for job in &ledger.gangs.holding {
            if let Some(gang) = ledger.gangs.all.get(job) {
                capacity.add_stopping(ledger, gang, now_ms);
            }
        }
        capacity
    }

    /// Returns the index of a worker, if it is usable.
    pub fn index(&self, name: &Name) -> Option<usize> {
        self.workers
            .binary_search_by(|worker| worker.name.cmp(name))
            .ok()
    }

    /// Subtracts slots from the resources that are free now and from those after the stops.
    pub fn subtract(&mut self, job: &Job, slots: &[Slot]) {
        for slot in slots {
            if let Some(i) = self.index(&slot.worker) {
                self.workers[i].free.subtract(job, slot.mask);
                self.workers[i].after_stops.subtract(job, slot.mask);
            }
        }
    }

    /// Groups the workers by the domains of an adjacency level.
    pub fn groups(&self, level: Adjacency) -> Vec<Vec<usize>> {
        if level == Adjacency::Worker {
            return (0..self.workers.len()).map(|i| vec![i]).collect();
        }
        let mut groups: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (i, worker) in self.workers.iter().enumerate() {
            let domain: &str = match level {
                Adjacency::Worker => worker.name,
                Adjacency::Rack => &worker.host.rack,
                Adjacency::Centre => &worker.host.centre,
                Adjacency::Any => "",
            };
            groups.entry(domain).or_default().push(i);
        }
        groups.into_values().collect()
    }

    fn add_stopping(&mut self, ledger: &Ledger, gang: &Gang, now_ms: u64) {
        let stopping = matches!(gang.phase, Phase::Stopping(_));
        if !stopping || now_ms > gang.since_ms + STOP_WAIT_MS {
            return;
        }
        let hosts = &ledger.fleet.hosts;
        let not_lost = |slot: &Slot| {
            let host = hosts.get(&slot.worker);
            host.is_some_and(|host| host.state != crate::records::WorkerState::Lost)
        };
        if !gang.slots.iter().all(not_lost) {
            return;
        }
        for slot in &gang.slots {
            if let Some(i) = self.index(&slot.worker) {
                self.workers[i].after_stops.add(&gang.job, slot.mask);
            }
        }
    }
}

fn quotient(have: u32, need: u32) -> u32 {
    match need {
        0 => u32::MAX,
        _ => have / need,
    }
}
