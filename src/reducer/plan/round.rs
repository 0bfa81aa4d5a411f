//! One round of planning: what to propose for the queued gangs.

use super::capacity::Capacity;
use super::guarantee;
use super::pack;
use super::pack::Search;
use super::queue;
use super::queue::Rank;
use super::reserve;
use super::standing::Assignment;
use super::victims;
use super::victims::Claim;
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

/// The most queued gangs that one round looks at.
const LOOK_MAX: usize = 128;
/// The most gangs that one round keeps a domain for.
const RESERVE_MAX: usize = 8;
/// The most domains that are tried for a gang that must be within its guarantee.
const TRIES_MAX: usize = 32;

/// What one round looks at.
#[derive(Debug, Clone, Copy)]
pub struct Round<'a> {
    /// The ledger.
    pub ledger: &'a Ledger,
    /// The options.
    pub config: &'a GangsConfig,
    /// The wall time in milliseconds.
    pub now_ms: u64,
}

impl Round<'_> {
    /// Ranks a gang; lower goes first.
    pub fn rank<'b>(&self, gang: &'b Gang) -> Rank<'b> {
        queue::rank(self.ledger, self.config, self.now_ms, gang)
    }
}

/// What a round has decided so far.
struct Draft<'a> {
    round: Round<'a>,
    board: Capacity<'a>,
    standing: Assignment,
    held: BTreeMap<Name, u64>,
    /// The waiting gangs that are within the guarantees of their workspaces.
    entitled: BTreeSet<Name>,
    stopped: BTreeSet<Name>,
    /// Sizes of gangs that fit nowhere, so that the like of them are passed over.
    stuck: BTreeSet<Size>,
    reserved: usize,
    entries: Vec<Entry>,
}

/// Everything that decides whether a gang fits.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Size {
    entitled: bool,
    workspace: Name,
    kind: Name,
    shape: [u32; 4],
    adjacency: crate::model::Adjacency,
}

/// Proposes entries for the queued gangs; the log decides whether they are in force.
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
    let mut draft = Draft {
        round,
        board: Capacity::new(ledger, now_ms),
        standing: ledger.gangs.standing.clone(),
        held: ledger.gangs.held.clone(),
        entitled,
        stopped: BTreeSet::new(),
        stuck: BTreeSet::new(),
        reserved: 0,
        entries: Vec::new(),
    };
    for gang in waiting.into_iter().take(LOOK_MAX) {
        if draft.entries.len() >= config.batch as usize {
            break;
        }
        draft.plan(gang);
    }
    draft.entries
}

/// Returns the gangs that the open part of their workspace's guarantees covers, in their order.
fn entitled(ledger: &Ledger, waiting: &[&Gang]) -> BTreeSet<Name> {
    let mut taken: BTreeMap<&Name, u64> = BTreeMap::new();
    let mut found = BTreeSet::new();
    for gang in waiting {
        let workspace = &gang.job.workspace;
        let standing = &ledger.gangs.standing;
        let taken = taken.entry(workspace).or_insert(0);
        let size = guarantee::gang_accelerators(&gang.job);
        let open = standing.open(workspace, guarantee::cover_max(&gang.job));
        if *taken + size <= open {
            *taken += size;
            found.insert(gang.job.id.clone());
        }
    }
    found
}

impl Draft<'_> {
    fn plan(&mut self, gang: &Gang) {
        let job = &gang.job;
        let size = self.size(job);
        if self.stuck.contains(&size) {
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
        self.stuck.insert(size);
    }

    fn over_quota(&self, job: &Job) -> bool {
        let Some(workspace) = self.round.ledger.catalog.workspace(&job.workspace) else {
            return true;
        };
        let held = self.held.get(&job.workspace).copied().unwrap_or(0);
        held + guarantee::gang_accelerators(job) > u64::from(workspace.quota)
    }

    /// Finds slots that are free now and keep to the reservations.
    fn find_free(&mut self, gang: &Gang) -> Option<Vec<Slot>> {
        let firm = self.firm(&gang.job);
        let late_ms = self.late_ms(gang, firm);
        let search = Search {
            job: &gang.job,
            rest: &|_, spot| match (spot.until_ms, late_ms) {
                (Some(until_ms), Some(late_ms)) if late_ms > until_ms => Default::default(),
                _ => spot.free,
            },
            avoid: &|worker| gang.failed_on.contains(worker),
        };
        for choice in pack::choices(&self.board, &search).iter().take(TRIES_MAX) {
            let Some(slots) = pack::fill(&self.board, &search, choice) else {
                continue;
            };
            if self.count(&gang.job, firm, &slots) {
                return Some(slots);
            }
        }
        None
    }

    /// Keeps free accelerators and those of ending stops for a gang that they suffice for.
    fn wait_for_stops(&mut self, gang: &Gang) -> bool {
        let search = Search {
            job: &gang.job,
            rest: &|_, spot| spot.soon,
            avoid: &|worker| gang.failed_on.contains(worker),
        };
        let choices = pack::choices(&self.board, &search);
        let Some(choice) = choices.first() else {
            return false;
        };
        let Some(slots) = pack::fill(&self.board, &search, choice) else {
            return false;
        };
        let firm = self.firm(&gang.job);
        if !self.count(&gang.job, firm, &slots) {
            return false;
        }
        self.board.take(&gang.job, &slots);
        true
    }

    /// Stops other work for a gang that has a claim to its room.
    fn reclaim(&mut self, gang: &Gang) -> bool {
        let ledger = self.round.ledger;
        let urgent = self.round.rank(gang).class == 0;
        let claim = match self.entitled.contains(&gang.job.id) {
            true => Claim::Guaranteed,
            false if urgent => Claim::Urgent,
            false => Claim::Passed,
        };
        let found = victims::find(&self.round, &self.board, gang, claim, &self.stopped);
        let Some(plan) = found else {
            return false;
        };
        let firm = self.firm(&gang.job);
        if !self.count(&gang.job, firm, &plan.slots) {
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
        self.board.take(&gang.job, &plan.slots);
        true
    }

    /// Keeps the domain where a gang fits soonest.
    fn reserve(&mut self, gang: &Gang) {
        if self.reserved >= RESERVE_MAX {
            return;
        }
        let Some(found) = reserve::find(&self.round, &self.board, gang) else {
            return;
        };
        self.reserved += 1;
        for i in found.spots {
            let until_ms = &mut self.board.workers[i].until_ms;
            *until_ms = Some(until_ms.map_or(found.from_ms, |at_ms| at_ms.min(found.from_ms)));
        }
    }

    fn place(&mut self, gang: &Gang, slots: Vec<Slot>) {
        self.board.take(&gang.job, &slots);
        let held = self.held.entry(gang.job.workspace.clone()).or_insert(0);
        *held += guarantee::gang_accelerators(&gang.job);
        self.entries.push(Entry::Place {
            job: gang.job.id.clone(),
            attempt: gang.attempt,
            slots,
        });
    }

    /// Counts slots in the standing assignment; `false` if they may not be used.
    fn count(&mut self, job: &Job, firm: bool, slots: &[Slot]) -> bool {
        let fleet = &self.round.ledger.fleet;
        guarantee::admit_placement(&mut self.standing, fleet, job, firm, slots).is_ok()
    }

    fn firm(&self, job: &Job) -> bool {
        !stoppable(self.round.ledger.catalog.kind(&job.kind))
    }

    /// Returns when a gang that cannot be stopped for a reservation would end at the latest.
    fn late_ms(&self, gang: &Gang, firm: bool) -> Option<u64> {
        if !firm {
            return None;
        }
        let bound_ms = self.round.ledger.gangs.learned.bound_ms(&gang.job);
        let bound_ms = bound_ms.unwrap_or(gang.job.run_ms.saturating_mul(10));
        Some(self.round.now_ms + bound_ms)
    }

    fn size(&self, job: &Job) -> Size {
        Size {
            entitled: self.entitled.contains(&job.id),
            workspace: job.workspace.clone(),
            kind: job.kind.clone(),
            shape: [job.members, job.accelerators, job.cores, job.memory_gb],
            adjacency: job.adjacency,
        }
    }
}
