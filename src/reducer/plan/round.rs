//! One round of planning: the entries to propose for the queued gangs.

use super::capacity::Capacity;
use super::guarantee;
use super::pack;
use super::pack::Search;
use super::queue;
use super::queue::Rank;
use super::reserve;
use super::standing::Assignment;
use super::victims;
use super::victims::PreemptReason;
use crate::configs::GangsConfig;
use crate::model::Job;
use crate::prelude::*;
use crate::records::Entry;
use crate::records::Slot;
use crate::reducer::ledger::Ledger;
use crate::reducer::ledger::gangs::Gang;
use crate::reducer::ledger::gangs::fit;
use crate::reducer::ledger::gangs::stoppable;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The limit of queued gangs considered in one round.
const MAX_QUEUED: usize = 128;
/// The limit of reservations made in one round.
const MAX_RESERVATIONS: usize = 8;
/// The limit of domains tried for one gang; the best fit may not be within its guarantee.
const MAX_DOMAINS: usize = 32;

/// The inputs of one round.
#[derive(Debug, Clone, Copy)]
pub struct Round<'a> {
    /// The ledger.
    pub ledger: &'a Ledger,
    /// The settings.
    pub config: &'a GangsConfig,
    /// The wall time in milliseconds.
    pub now_ms: u64,
}

impl Round<'_> {
    /// Computes the rank of a gang; the lowest goes first.
    pub fn rank<'b>(&self, gang: &'b Gang) -> Rank<'b> {
        queue::rank(self.ledger, self.config, self.now_ms, gang)
    }
}

/// The decisions of a round so far.
struct RoundState<'a> {
    round: Round<'a>,
    capacity: Capacity<'a>,
    standing: Assignment,
    held: BTreeMap<Name, u64>,
    /// The queued gangs that are within the guarantees of their workspaces.
    entitled: BTreeSet<Name>,
    /// The gangs to stop.
    stopped: BTreeSet<Name>,
    /// Keys of gangs that fit nowhere, so that equal ones are skipped.
    unplaceable: BTreeSet<FitKey>,
    reserved: usize,
    entries: Vec<Entry>,
}

/// The properties that decide whether a gang fits.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct FitKey {
    entitled: bool,
    workspace: Name,
    kind: Name,
    shape: [u32; 4],
    adjacency: crate::model::Adjacency,
}

/// Proposes entries for the queued gangs; the log decides whether they take effect.
pub fn propose(ledger: &Ledger, config: &GangsConfig, wall_ms: u64) -> Vec<Entry> {
    let now_ms = wall_ms.max(ledger.clock_ms);
    let round = Round {
        ledger,
        config,
        now_ms,
    };
    let waiting = ledger.gangs.queued.iter();
    let waiting = waiting.filter_map(|job| ledger.gangs.all.get(job));
    let mut waiting: Vec<&Gang> = waiting.collect();
    waiting.sort_by_cached_key(|gang| round.rank(gang));
    let entitled = entitled(ledger, &waiting);
    waiting.sort_by_key(|gang| {
        let urgent = round.rank(gang).class == 0;
        (!urgent, !entitled.contains(&gang.job.id))
    });
    let mut state = RoundState {
        round,
        capacity: Capacity::new(ledger, now_ms),
        standing: ledger.gangs.standing.clone(),
        held: ledger.gangs.held.clone(),
        entitled,
        stopped: BTreeSet::new(),
        unplaceable: BTreeSet::new(),
        reserved: 0,
        entries: Vec::new(),
    };
    for gang in waiting.into_iter().take(MAX_QUEUED) {
        if state.entries.len() >= config.batch as usize {
            break;
        }
        state.plan(gang);
    }
    state.entries
}

/// Returns the gangs that fit within the unused part of their workspace's guarantees, in order.
fn entitled(ledger: &Ledger, waiting: &[&Gang]) -> BTreeSet<Name> {
    let mut taken: BTreeMap<&Name, u64> = BTreeMap::new();
    let mut found = BTreeSet::new();
    for gang in waiting {
        let workspace = &gang.job.workspace;
        let standing = &ledger.gangs.standing;
        let taken = taken.entry(workspace).or_insert(0);
        let size = guarantee::gang_accelerators(&gang.job);
        let unused = standing.unused(workspace, guarantee::max_cell_size(&gang.job));
        if *taken + size <= unused {
            *taken += size;
            found.insert(gang.job.id.clone());
        }
    }
    found
}

impl RoundState<'_> {
    fn plan(&mut self, gang: &Gang) {
        let job = &gang.job;
        let key = self.fit_key(job);
        if self.unplaceable.contains(&key) {
            return;
        }
        if let Err(void) = fit::can_run(self.round.ledger, job) {
            self.entries.push(Entry::Reject {
                job: job.id.clone(),
                reason: void.to_string(),
            });
            return;
        }
        if self.over_quota(job) {
            return;
        }
        if let Some(slots) = self.find_free(gang) {
            self.place(gang, slots);
            return;
        }
        if self.wait_for_stops(gang) {
            return;
        }
        if !self.reclaim(gang) {
            self.reserve(gang);
        }
        self.unplaceable.insert(key);
    }

    fn over_quota(&self, job: &Job) -> bool {
        let Some(workspace) = self.round.ledger.catalog.workspace(&job.workspace) else {
            return true;
        };
        let held = self.held.get(&job.workspace).copied().unwrap_or(0);
        held + guarantee::gang_accelerators(job) > u64::from(workspace.quota)
    }

    /// Finds slots that are free now and respect the reservations.
    fn find_free(&mut self, gang: &Gang) -> Option<Vec<Slot>> {
        let firm = self.firm(&gang.job);
        let latest_ms = self.latest_ms(gang, firm);
        let search = Search {
            job: &gang.job,
            available: &|_, worker| match (worker.reserved_ms, latest_ms) {
                (Some(reserved_ms), Some(latest_ms)) if latest_ms > reserved_ms => {
                    Default::default()
                }
                _ => worker.free,
            },
            avoid: &|worker| gang.failed_on.contains(worker),
        };
        for choice in pack::choices(&self.capacity, &search)
            .iter()
            .take(MAX_DOMAINS)
        {
            let Some(slots) = pack::fill(&self.capacity, &search, choice) else {
                continue;
            };
            if self.admit(&gang.job, firm, &slots) {
                return Some(slots);
            }
        }
        None
    }

    /// Sets aside free accelerators and those of stops in progress for a gang, if they suffice.
    fn wait_for_stops(&mut self, gang: &Gang) -> bool {
        let search = Search {
            job: &gang.job,
            available: &|_, worker| worker.after_stops,
            avoid: &|worker| gang.failed_on.contains(worker),
        };
        let choices = pack::choices(&self.capacity, &search);
        let Some(choice) = choices.first() else {
            return false;
        };
        let Some(slots) = pack::fill(&self.capacity, &search, choice) else {
            return false;
        };
        let firm = self.firm(&gang.job);
        if !self.admit(&gang.job, firm, &slots) {
            return false;
        }
        self.capacity.subtract(&gang.job, &slots);
        true
    }

    /// Stops other gangs for a gang that has a reason to preempt them.
    fn reclaim(&mut self, gang: &Gang) -> bool {
        let ledger = self.round.ledger;
        let urgent = self.round.rank(gang).class == 0;
        let reason = match self.entitled.contains(&gang.job.id) {
            true => PreemptReason::Guaranteed,
            false if urgent => PreemptReason::Urgent,
            false => PreemptReason::Overtaken,
        };
        let found = victims::find(&self.round, &self.capacity, gang, reason, &self.stopped);
        let Some(plan) = found else {
            return false;
        };
        let firm = self.firm(&gang.job);
        if !self.admit(&gang.job, firm, &plan.slots) {
            return false;
        }
        for victim in plan.victims {
            let Some(token) = ledger.gangs.all.get(&victim).map(|found| found.token) else {
                continue;
            };
            self.stopped.insert(victim.clone());
            self.entries.push(Entry::Reclaim {
                job: victim,
                token,
                waiter: Some(gang.job.id.clone()),
            });
        }
        self.capacity.subtract(&gang.job, &plan.slots);
        true
    }

    /// Reserves the domain in which a gang is expected to fit first.
    fn reserve(&mut self, gang: &Gang) {
        if self.reserved >= MAX_RESERVATIONS {
            return;
        }
        let Some(found) = reserve::find(&self.round, &self.capacity, gang) else {
            return;
        };
        self.reserved += 1;
        for i in found.workers {
            let reserved_ms = &mut self.capacity.workers[i].reserved_ms;
            *reserved_ms =
                Some(reserved_ms.map_or(found.from_ms, |at_ms| at_ms.min(found.from_ms)));
        }
    }

    fn place(&mut self, gang: &Gang, slots: Vec<Slot>) {
        self.capacity.subtract(&gang.job, &slots);
        let held = self.held.entry(gang.job.workspace.clone()).or_insert(0);
        *held += guarantee::gang_accelerators(&gang.job);
        self.entries.push(Entry::Place {
            job: gang.job.id.clone(),
            attempt: gang.attempt,
            slots,
        });
    }

    /// Counts slots in the standing assignment; `false` if they must not be used.
    fn admit(&mut self, job: &Job, firm: bool, slots: &[Slot]) -> bool {
        let fleet = &self.round.ledger.fleet;
        guarantee::admit_placement(&mut self.standing, fleet, job, firm, slots).is_ok()
    }

    fn firm(&self, job: &Job) -> bool {
        !stoppable(self.round.ledger.catalog.kind(&job.kind))
    }

    /// Returns the latest expected end of a gang that cannot be stopped for a reservation, in
    /// milliseconds of wall time.
    fn latest_ms(&self, gang: &Gang, firm: bool) -> Option<u64> {
        if !firm {
            return None;
        }
        let bound_ms = self.round.ledger.gangs.learned.bound_ms(&gang.job);
        let bound_ms = bound_ms.unwrap_or(gang.job.run_ms.saturating_mul(10));
        Some(self.round.now_ms + bound_ms)
    }

    fn fit_key(&self, job: &Job) -> FitKey {
        FitKey {
            entitled: self.entitled.contains(&job.id),
            workspace: job.workspace.clone(),
            kind: job.kind.clone(),
            shape: [job.members, job.accelerators, job.cores, job.memory_gb],
            adjacency: job.adjacency,
        }
    }
}
