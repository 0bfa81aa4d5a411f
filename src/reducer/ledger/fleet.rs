//! The workers: the resources of each, which of them are free, and whether it is usable.

use super::Origin;
use super::catalog::Catalog;
use crate::model::Adjacency;
use crate::model::Job;
use crate::prelude::*;
use crate::records::Slot;
use crate::records::Verdict;
use crate::records::Void;
use crate::records::WorkerState;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The jobs that must fail on a worker, without a success in between, before it is quarantined,
/// if they are of several workspaces.
pub const QUARANTINE_JOBS: usize = 3;
/// As [`QUARANTINE_JOBS`], if all jobs are of one workspace.
pub const QUARANTINE_JOBS_ONE_WORKSPACE: usize = 5;
/// The most failures of a worker that are remembered.
pub const MAX_FAULTS: usize = 8;
/// The length of a worker's first quarantine in milliseconds, which doubles with each further one.
pub const QUARANTINE_MS: u64 = 600_000;
/// The most times that the length of a quarantine is doubled.
pub const MAX_QUARANTINE_DOUBLINGS: u32 = 5;

/// The state of a worker.
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
    /// A mask of the accelerators that gangs hold, one bit each.
    pub held: u64,
    /// The cores that gangs hold.
    pub held_cores: u32,
    /// The memory that gangs hold, in gigabytes.
    pub held_gb: u32,
    /// The number of gang members placed on it.
    pub members: u32,
    /// Whether it can be used.
    pub state: WorkerState,
    /// Whether it was removed from the configuration; it is dropped once it holds no members.
    pub retired: bool,
    /// The ledger's clock when the state changed, in milliseconds.
    pub since_ms: u64,
    /// The gangs that have members on it.
    pub jobs: BTreeSet<Name>,
    /// The failures on it since its last success or quarantine, at most [`MAX_FAULTS`].
    pub faults: Vec<Fault>,
    /// How often it was quarantined since its last success.
    pub strikes: u32,
    /// The end of its quarantine, in milliseconds of the ledger's clock.
    pub until_ms: u64,
}

/// A failure of a gang's members on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The gang.
    pub job: Name,
    /// Its workspace.
    pub workspace: Name,
}

impl Host {
    /// Returns a mask of the accelerators that exist and are not held, one bit each.
    pub fn free(&self) -> u64 {
        full_mask(self.accelerators) & !self.held
    }

    /// Returns whether new work may be placed on it.
    pub fn usable(&self) -> bool {
        self.state == WorkerState::Up && !self.retired
    }

    /// Returns whether enough jobs in a row failed on it for the worker to be considered faulty.
    ///
    /// After a quarantine one failure is enough, until a job completes on it.
    pub fn should_quarantine(&self) -> bool {
        let first = self.faults.first().map(|fault| &fault.workspace);
        let mut workspaces = self.faults.iter().map(|fault| &fault.workspace);
        let several = workspaces.any(|workspace| Some(workspace) != first);
        let need = match (self.strikes, several) {
            (0, true) => QUARANTINE_JOBS,
            (0, false) => QUARANTINE_JOBS_ONE_WORKSPACE,
            _ => 1,
        };
        self.faults.len() >= need
    }

    /// Returns how many members of `job` fit when it is empty.
    pub fn max_members(&self, job: &Job) -> u32 {
        let by_accelerators = fit_count(self.accelerators, job.accelerators);
        let by_cores = fit_count(self.cores, job.cores);
        let by_memory = fit_count(self.memory_gb, job.memory_gb);
        by_accelerators.min(by_cores).min(by_memory)
    }

    /// Returns how many members of `job` fit now.
    pub fn room(&self, job: &Job) -> u32 {
        if !self.usable() {
            return 0;
        }
        let by_accelerators = fit_count(self.free().count_ones(), job.accelerators);
        let by_cores = fit_count(self.cores.saturating_sub(self.held_cores), job.cores);
        let by_memory = fit_count(self.memory_gb.saturating_sub(self.held_gb), job.memory_gb);
        by_accelerators.min(by_cores).min(by_memory)
    }
}

/// All workers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// The workers, by name.
    pub hosts: BTreeMap<Name, Host>,
    /// The racks of the configuration, by name.
    pub racks: BTreeMap<Name, RackSize>,
    /// The accelerators of each data centre.
    pub centres: BTreeMap<Name, u32>,
    total: u64,
    followed: u64,
}

/// The size of a configured rack.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RackSize {
    /// Its data centre.
    pub centre: Name,
    /// Its accelerators.
    pub accelerators: u32,
}

impl Fleet {
    /// Updates the workers and racks from the configuration; held slots stay held.
    pub(super) fn update(&mut self, catalog: &Catalog) {
        if self.followed == catalog.rack_changes {
            return;
        }
        self.followed = catalog.rack_changes;
        for host in self.hosts.values_mut() {
            host.retired = true;
        }
        for current in catalog.racks.values() {
            let rack = &current.value;
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
                    jobs: BTreeSet::new(),
                    faults: Vec::new(),
                    strikes: 0,
                    until_ms: 0,
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
        self.recount();
        self.drop_retired();
    }

    /// Returns the fleet under another configuration, or `None` if its racks are the same.
    pub fn with_catalog(&self, catalog: &Catalog) -> Option<Self> {
        if self.followed == catalog.rack_changes {
            return None;
        }
        let mut fleet = self.clone();
        fleet.update(catalog);
        Some(fleet)
    }

    /// Returns the accelerators of all configured workers.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the data centre of a configured rack.
    pub fn centre_of(&self, rack: &Name) -> Option<Name> {
        self.racks.get(rack).map(|rack| rack.centre.clone())
    }

    /// Returns the configured accelerators of a domain, 0 if there is none.
    pub fn size(&self, level: Adjacency, place: &Name) -> u32 {
        let size = match level {
            Adjacency::Worker => {
                let host = self.hosts.get(place).filter(|host| !host.retired);
                host.map(|host| host.accelerators)
            }
            Adjacency::Rack => self.racks.get(place).map(|rack| rack.accelerators),
            Adjacency::Centre => self.centres.get(place).copied(),
            Adjacency::Any => None,
        };
        size.unwrap_or(0)
    }

    /// Iterates over the names of all domains of a level.
    pub fn domains(&self, level: Adjacency) -> Box<dyn Iterator<Item = &Name> + '_> {
        match level {
            Adjacency::Worker => Box::new(self.hosts.keys()),
            Adjacency::Rack => Box::new(self.racks.keys()),
            _ => Box::new(self.centres.keys()),
        }
    }

    fn recount(&mut self) {
        self.racks.clear();
        self.centres.clear();
        self.total = 0;
        for host in self.hosts.values().filter(|host| !host.retired) {
            let rack = self.racks.entry(host.rack.clone()).or_insert(RackSize {
                centre: host.centre.clone(),
                accelerators: 0,
            });
            rack.accelerators += host.accelerators;
            *self.centres.entry(host.centre.clone()).or_insert(0) += host.accelerators;
            self.total += u64::from(host.accelerators);
        }
    }

    /// Records a failure of a gang on a worker.
    pub(super) fn record_fault(&mut self, worker: &Name, job: &Job) {
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        let known = host.faults.iter().any(|fault| fault.job == job.id);
        if !known && host.faults.len() < MAX_FAULTS {
            host.faults.push(Fault {
                job: job.id.clone(),
                workspace: job.workspace.clone(),
            });
        }
    }

    /// Removes the failures of a gang that is itself faulty from a worker.
    pub(super) fn remove_job_faults(&mut self, worker: &Name, job: &Name) {
        if let Some(host) = self.hosts.get_mut(worker) {
            host.faults.retain(|fault| fault.job != *job);
        }
    }

    /// Clears all failures of a worker on which a gang completed.
    pub(super) fn clear_faults(&mut self, worker: &Name) {
        if let Some(host) = self.hosts.get_mut(worker) {
            host.faults.clear();
            host.strikes = 0;
        }
    }

    pub(super) fn set_state(
        &mut self,
        worker: &Name,
        state: WorkerState,
        _reason: &str,
        origin: &Origin,
    ) -> Verdict {
        let Some(host) = self.hosts.get_mut(worker) else {
            return Err(Void::Unknown(format!("worker {worker}")));
        };
        let in_quarantine = host.until_ms > origin.at_ms && host.state == WorkerState::Lost;
        let state = match state {
            WorkerState::Up if in_quarantine => WorkerState::Quarantined,
            state => state,
        };
        if host.state == state {
            return Err(Void::Phase);
        }
        if state == WorkerState::Up && host.until_ms > origin.at_ms {
            return Err(Void::Policy("its quarantine has not ended".into()));
        }
        if state == WorkerState::Quarantined && !in_quarantine {
            if !host.should_quarantine() {
                return Err(Void::Policy("too few jobs failed on it".into()));
            }
            let doublings = host.strikes.min(MAX_QUARANTINE_DOUBLINGS);
            host.until_ms = origin.at_ms + (QUARANTINE_MS << doublings);
            host.strikes += 1;
            host.faults.clear();
        }
        host.state = state;
        host.since_ms = origin.at_ms;
        Ok(())
    }

    /// Checks that every slot is free and can take its member.
    pub(super) fn check_slots(&self, job: &Job, slots: &[Slot]) -> Verdict {
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
            occupy(host, job, slot);
        }
        Ok(())
    }

    /// Marks the slots as held by the gang.
    pub(super) fn hold(&mut self, job: &Job, slots: &[Slot]) {
        for slot in slots {
            if let Some(host) = self.hosts.get_mut(&slot.worker) {
                occupy(host, job, slot);
                host.jobs.insert(job.id.clone());
            }
        }
    }

    /// Marks the slots as free, and drops retired workers that hold nothing any more.
    pub(super) fn free(&mut self, job: &Job, slots: &[Slot]) {
        let mut emptied = false;
        for slot in slots {
            if let Some(host) = self.hosts.get_mut(&slot.worker) {
                host.held &= !slot.mask;
                host.held_cores = host.held_cores.saturating_sub(job.cores);
                host.held_gb = host.held_gb.saturating_sub(job.memory_gb);
                host.members = host.members.saturating_sub(1);
                host.jobs.remove(&job.id);
                emptied |= host.retired && host.members == 0;
            }
        }
        if emptied {
            self.drop_retired();
        }
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

fn occupy(host: &mut Host, job: &Job, slot: &Slot) {
    host.held |= slot.mask;
    host.held_cores += job.cores;
    host.held_gb += job.memory_gb;
    host.members += 1;
}

fn fit_count(have: u32, need: u32) -> u32 {
    match need {
        0 => u32::MAX,
        _ => have / need,
    }
}
