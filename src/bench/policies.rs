//! The baseline policies that the scheduler's own policy is compared with.

use super::Policy;
use crate::model::Adjacency;
use crate::prelude::*;
use crate::records::Entry;
use crate::records::Slot;
use crate::reducer::ledger::Ledger;
use crate::reducer::ledger::fleet::Host;
use crate::reducer::ledger::gangs::Gang;
use crate::reducer::ledger::gangs::stoppable;
use crate::reducer::plan::guarantee;
use crate::reducer::plan::pack::lowest_bits;
use crate::reducer::plan::standing::Assignment;
use crate::reducer::plan::standing::domain;
use std::collections::BTreeMap;

/// Proposes placements in place of the reducer's planner.
pub trait BaselinePlanner {
    /// Returns the proposals for the queued gangs.
    fn propose(&self, ledger: &Ledger) -> Vec<Entry>;
}

/// Returns the baseline planner of a policy; nothing for the reducer's own planner.
pub fn baseline(policy: Policy) -> Option<Box<dyn BaselinePlanner>> {
    match policy {
        Policy::Trefoil => None,
        Policy::Fifo => Some(Box::new(FirstFit { backfill: false })),
        Policy::Backfill => Some(Box::new(FirstFit { backfill: true })),
    }
}

/// First come, first fit.
#[derive(Debug)]
struct FirstFit {
    /// Whether gangs behind one that does not fit may be placed before it.
    backfill: bool,
}

impl BaselinePlanner for FirstFit {
    fn propose(&self, ledger: &Ledger) -> Vec<Entry> {
        let waiting = ledger.gangs.queued.iter();
        let mut waiting: Vec<&Gang> = waiting
            .filter_map(|job| ledger.gangs.all.get(job))
            .collect();
        waiting.sort_by_key(|gang| (gang.submitted_ms, gang.job.id.clone()));
        let mut trial = TrialState {
            hosts: ledger.fleet.hosts.clone(),
            standing: ledger.gangs.standing.clone(),
        };
        let mut entries = Vec::new();
        for gang in waiting {
            if guarantee::check_quota(ledger, &gang.job).is_err() {
                continue;
            }
            let Some(slots) = first_fit(ledger, &mut trial, gang) else {
                if self.backfill {
                    continue;
                }
                break;
            };
            entries.push(Entry::Place {
                job: gang.job.id.clone(),
                attempt: gang.attempt,
                slots,
            });
        }
        entries
    }
}

/// A copy of the state that a baseline changes as it places gangs.
#[derive(Debug, Clone)]
struct TrialState {
    hosts: BTreeMap<Name, Host>,
    standing: Assignment,
}

fn first_fit(ledger: &Ledger, trial: &mut TrialState, gang: &Gang) -> Option<Vec<Slot>> {
    let job = &gang.job;
    let unstoppable = !stoppable(ledger.catalog.kind(&job.kind));
    let mut groups: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
    for name in trial.hosts.keys() {
        let group = domain(&ledger.fleet, job.adjacency, name)?;
        groups.entry(group).or_default().push(name.clone());
    }
    for group in groups.values() {
        let Some(slots) = fill(trial, gang, group) else {
            continue;
        };
        let standing = &mut trial.standing;
        if guarantee::admit_placement(standing, &ledger.fleet, job, unstoppable, &slots).is_err() {
            continue;
        }
        for slot in &slots {
            if let Some(host) = trial.hosts.get_mut(&slot.worker) {
                host.held |= slot.mask;
                host.held_cores += job.cores;
                host.held_gb += job.memory_gb;
            }
        }
        return Some(slots);
    }
    None
}

fn fill(trial: &TrialState, gang: &Gang, group: &[Name]) -> Option<Vec<Slot>> {
    let job = &gang.job;
    let mut slots = Vec::new();
    for name in group {
        let host = &trial.hosts[name];
        let mut free = host.free();
        for _ in 0..host.room(job) {
            if slots.len() == job.members as usize {
                return Some(slots);
            }
            let mask = lowest_bits(free, job.accelerators);
            free &= !mask;
            slots.push(Slot {
                worker: name.clone(),
                mask,
            });
        }
    }
    (slots.len() == job.members as usize).then_some(slots)
}

/// Returns the adjacency with which a policy submits a gang.
pub fn submitted_adjacency(policy: Policy, adjacency: Adjacency) -> Adjacency {
    match policy {
        Policy::Backfill => Adjacency::Any,
        _ => adjacency,
    }
}
