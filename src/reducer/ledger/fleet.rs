//! The workers: what each has, what is free, and whether it can be used.

use super::Origin;
use super::catalog::Catalog;
use crate::model::Job;
use crate::prelude::*;
use crate::records::Slot;
use crate::records::Verdict;
use crate::records::Void;
use crate::records::WorkerState;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;

/// A worker as the ledger knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its rack.
    pub rack: Name,
    /// Its data centre.
    pub centre: Name,
    /// Its address.
    pub addr: Name,
    /// Its accelerators.
    pub accelerators: u32,
    /// Its cores.
    pub cores: u32,
    /// Its memory in gigabytes.
    pub memory_gb: u32,
    /// The accelerators that gangs hold, one bit each.
    pub held: u64,
    /// The cores that gangs hold.
    pub held_cores: u32,
    /// The memory that gangs hold, in gigabytes.
    pub held_gb: u32,
    /// The members that it holds.
    pub members: u32,
    /// Whether it can be used.
    pub state: WorkerState,
    /// Whether the configuration no longer names it; it goes once it holds nothing.
    pub retired: bool,
    /// The ledger's clock when the state changed, in milliseconds.
    pub since_ms: u64,
}

impl Host {
    /// Returns the accelerators that exist and are not held, one bit each.
    pub fn free(&self) -> u64 {
        full_mask(self.accelerators) & !self.held
    }

    /// Tells whether new work may be placed on it.
    pub fn usable(&self) -> bool {
        self.state == WorkerState::Up && !self.retired
    }

    /// Returns how many members of `job` fit now.
    pub fn room(&self, job: &Job) -> u32 {
        if !self.usable() {
            return 0;
        }
        let by_accelerators = ratio(self.free().count_ones(), job.accelerators);
        let by_cores = ratio(self.cores.saturating_sub(self.held_cores), job.cores);
        let by_memory = ratio(self.memory_gb.saturating_sub(self.held_gb), job.memory_gb);
        by_accelerators.min(by_cores).min(by_memory)
    }
}

/// All workers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// The workers, by name.
    pub hosts: BTreeMap<Name, Host>,
    followed: u64,
}

impl Fleet {
    /// Takes over the racks of the configuration; what is held stays held.
    pub(super) fn follow(&mut self, catalog: &Catalog) {
        if self.followed == catalog.rack_changes {
            return;
        }
        self.followed = catalog.rack_changes;
        for host in self.hosts.values_mut() {
            host.retired = true;
        }
        for held in catalog.racks.values() {
            let rack = &held.value;
            for worker in &rack.workers {
                let host = self.hosts.entry(worker.name.clone()).or_insert(Host {
                    rack: rack.name.clone(),
                    centre: rack.centre.clone(),
                    addr: worker.addr.clone(),
                    accelerators: 0,
                    cores: 0,
                    memory_gb: 0,
                    held: 0,
                    held_cores: 0,
                    held_gb: 0,
                    members: 0,
                    state: WorkerState::Up,
                    retired: false,
                    since_ms: 0,
                });
                host.rack = rack.name.clone();
                host.centre = rack.centre.clone();
                host.addr = worker.addr.clone();
                host.accelerators = worker.accelerators;
                host.cores = worker.cores;
                host.memory_gb = worker.memory_gb;
                host.retired = false;
            }
        }
        self.drop_retired();
    }

    pub(super) fn report(
        &mut self,
        worker: &Name,
        state: WorkerState,
        _reason: &str,
        origin: &Origin,
    ) -> Verdict {
        let Some(host) = self.hosts.get_mut(worker) else {
            return Err(Void::Unknown(format!("worker {worker}")));
        };
        if host.state == state {
            return Err(Void::Phase);
        }
        host.state = state;
        host.since_ms = origin.at_ms;
        Ok(())
    }

    /// Checks that every slot is free and can take its member.
    pub(super) fn check(&self, job: &Job, slots: &[Slot]) -> Verdict {
        let mut trial: BTreeMap<&Name, Host> = BTreeMap::new();
        for slot in slots {
            let Some(host) = self.hosts.get(&slot.worker) else {
                return Err(Void::Unknown(format!("worker {}", slot.worker)));
            };
            let host = trial.entry(&slot.worker).or_insert_with(|| host.clone());
            let fits = slot.mask.count_ones() == job.accelerators
                && slot.mask & host.free() == slot.mask
                && host.room(job) > 0;
            if !fits {
                return Err(Void::Busy(slot.worker.to_string()));
            }
            take(host, job, slot);
        }
        Ok(())
    }

    /// Holds the slots.
    pub(super) fn hold(&mut self, job: &Job, slots: &[Slot]) {
        for slot in slots {
            if let Some(host) = self.hosts.get_mut(&slot.worker) {
                take(host, job, slot);
            }
        }
    }

    /// Frees the slots.
    pub(super) fn free(&mut self, job: &Job, slots: &[Slot]) {
        for slot in slots {
            if let Some(host) = self.hosts.get_mut(&slot.worker) {
                host.held &= !slot.mask;
                host.held_cores = host.held_cores.saturating_sub(job.cores);
                host.held_gb = host.held_gb.saturating_sub(job.memory_gb);
                host.members = host.members.saturating_sub(1);
            }
        }
        self.drop_retired();
    }

    fn drop_retired(&mut self) {
        self.hosts
            .retain(|_, host| !host.retired || host.members > 0);
    }
}

/// Returns a mask with one bit for each of `count` accelerators.
pub fn full_mask(count: u32) -> u64 {
    match count {
        0 => 0,
        1..=63 => (1 << count) - 1,
        _ => u64::MAX,
    }
}

fn take(host: &mut Host, job: &Job, slot: &Slot) {
    host.held |= slot.mask;
    host.held_cores += job.cores;
    host.held_gb += job.memory_gb;
    host.members += 1;
}

fn ratio(have: u32, need: u32) -> u32 {
    match need {
        0 => u32::MAX,
        _ => have / need,
    }
}
