//! The workers as one round of planning sees them: what is free, and what soon will be.

use crate::model::Adjacency;
use crate::model::Job;
use crate::prelude::*;
use crate::records::Slot;
use crate::reducer::ledger::Ledger;
use crate::reducer::ledger::fleet::Host;
use crate::reducer::ledger::gangs::Gang;
use crate::reducer::ledger::gangs::Phase;
use std::collections::BTreeMap;

/// The time after which a stop that has not ended is no longer waited for, in milliseconds.
pub const STOP_WAIT_MS: u64 = 4_000;

/// What one worker can still give.
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
    /// Returns how many members of `job` fit.
    pub fn room(&self, job: &Job) -> u32 {
        let by_accelerators = ratio(self.mask.count_ones(), job.accelerators);
        let by_cores = ratio(self.cores, job.cores);
        let by_memory = ratio(self.memory_gb, job.memory_gb);
        by_accelerators.min(by_cores).min(by_memory)
    }

    /// Adds what one member of `job` holds.
    pub fn give(&mut self, job: &Job, mask: u64) {
        self.mask |= mask;
        self.cores += job.cores;
        self.memory_gb += job.memory_gb;
    }

    fn take(&mut self, job: &Job, mask: u64) {
        self.mask &= !mask;
        self.cores = self.cores.saturating_sub(job.cores);
        self.memory_gb = self.memory_gb.saturating_sub(job.memory_gb);
    }
}

/// One worker that can be used.
#[derive(Debug, Clone)]
pub struct WorkerCapacity<'a> {
    /// Its name.
    pub name: &'a Name,
    /// The worker.
    pub host: &'a Host,
    /// What is free now.
    pub free: Resources,
    /// What is free now or once the present stops end.
    pub soon: Resources,
    /// Until when it is reserved, in milliseconds; work beyond that must be stoppable.
    pub until_ms: Option<u64>,
}

/// All workers that can be used.
#[derive(Debug, Clone)]
pub struct Capacity<'a> {
    /// The workers, by name.
    pub workers: Vec<WorkerCapacity<'a>>,
}

impl<'a> Capacity<'a> {
    /// Makes the board of a ledger.
    pub fn new(ledger: &'a Ledger, now_ms: u64) -> Self {
        let usable = ledger.fleet.hosts.iter().filter(|(_, host)| host.usable());
        let spots = usable.map(|(name, host)| {
            let free = Resources {
                mask: host.free(),
                cores: host.cores.saturating_sub(host.held_cores),
                memory_gb: host.memory_gb.saturating_sub(host.held_gb),
            };
            WorkerCapacity {
                name,
                host,
                free,
                soon: free,
                until_ms: None,
            }
        });
        let mut board = Self {
            workers: spots.collect(),
        };
        for job in &ledger.gangs.holding {
            if let Some(gang) = ledger.gangs.all.get(job) {
                board.expect_stop(ledger, gang, now_ms);
            }
        }
        board
    }

    /// Returns the worker of that name, if it can be used.
    pub fn index(&self, name: &Name) -> Option<usize> {
        self.workers
            .binary_search_by(|spot| spot.name.cmp(name))
            .ok()
    }

    /// Takes slots away, from what is free and from what soon will be.
    pub fn take(&mut self, job: &Job, slots: &[Slot]) {
        for slot in slots {
            if let Some(i) = self.index(&slot.worker) {
                self.workers[i].free.take(job, slot.mask);
                self.workers[i].soon.take(job, slot.mask);
            }
        }
    }

    /// Groups the workers by the domains of a level.
    pub fn groups(&self, level: Adjacency) -> Vec<Vec<usize>> {
        if level == Adjacency::Worker {
            return (0..self.workers.len()).map(|i| vec![i]).collect();
        }
        let mut groups: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (i, spot) in self.workers.iter().enumerate() {
            let place: &str = match level {
                Adjacency::Worker => spot.name,
                Adjacency::Rack => &spot.host.rack,
                Adjacency::Centre => &spot.host.centre,
                Adjacency::Any => "",
            };
            groups.entry(place).or_default().push(i);
        }
        groups.into_values().collect()
    }

    fn expect_stop(&mut self, ledger: &Ledger, gang: &Gang, now_ms: u64) {
        let stopping = matches!(gang.phase, Phase::Stopping(_));
        if !stopping || now_ms > gang.since_ms + STOP_WAIT_MS {
            return;
        }
        let hosts = &ledger.fleet.hosts;
        let answers = |slot: &Slot| {
            let host = hosts.get(&slot.worker);
            host.is_some_and(|host| host.state != crate::records::WorkerState::Lost)
        };
        if !gang.slots.iter().all(answers) {
            return;
        }
        for slot in &gang.slots {
            if let Some(i) = self.index(&slot.worker) {
                self.workers[i].soon.give(&gang.job, slot.mask);
            }
        }
    }
}

fn ratio(have: u32, need: u32) -> u32 {
    match need {
        0 => u32::MAX,
        _ => have / need,
    }
}
