//! Preemption: chooses the borrowing gangs to stop, at the least cost, so that a waiting gang fits.

use super::capacity::Capacity;
use super::capacity::Resources;
use super::pack;
use super::pack::Choice;
use super::pack::Search;
use super::round::Round;
use crate::prelude::*;
use crate::records::Slot;
use crate::reducer::ledger::gangs::Gang;
use crate::reducer::ledger::gangs::Phase;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The time that a stop and a restart cost the stopped gang, in milliseconds.
pub const RESTART_MS: u64 = 30_000;
/// The limit of victims of one plan that are checked again, to spare those that are not needed.
const MAX_PRUNED: usize = 16;
/// The limit of domains considered for one gang.
const MAX_DOMAINS: usize = 32;

/// Why a waiting gang may stop others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PreemptReason {
    /// It is within its workspace's guarantee: it may stop any borrowing gang.
    Guaranteed,
    /// It is urgent: it may stop any borrowing gang that is not.
    Urgent,
    /// Gangs that started after its submission overtook it: it may stop them if that is worth the
    /// cost.
    Overtaken,
}

/// The gangs to stop, and the slots that the waiting gang then gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The gangs to stop.
    pub victims: Vec<Name>,
    /// The slots of the waiting gang.
    pub slots: Vec<Slot>,
    /// The accelerator milliseconds that are lost by the stops.
    pub cost: u64,
}

/// Finds the domain in which the stops cost the least.
pub fn find(
    round: &Round<'_>,
    capacity: &Capacity<'_>,
    gang: &Gang,
    reason: PreemptReason,
    stopped: &BTreeSet<Name>,
) -> Option<Plan> {
    let victims = candidates(round, gang, reason, stopped);
    if victims.is_empty() {
        return None;
    }
    let mut extra: BTreeMap<usize, Resources> = BTreeMap::new();
    for victim in &victims {
        add_victim(capacity, &mut extra, victim);
    }
    let available = |i: usize, worker: &super::capacity::WorkerCapacity<'_>| {
        sum(worker.after_stops, extra.get(&i))
    };
    let search = Search {
        job: &gang.job,
        available: &available,
        avoid: &|worker| gang.failed_on.contains(worker),
    };
    let choices = pack::choices(capacity, &search);
    let plans = choices.iter().take(MAX_DOMAINS);
    let plans = plans.filter_map(|choice| plan_domain(round, capacity, gang, choice, &victims));
    let plans = plans
        .filter(|plan| reason != PreemptReason::Overtaken || is_worthwhile(round, gang, plan.cost));
    plans.min_by_key(|plan| plan.cost)
}

/// Returns the cost of stopping a gang, in accelerator milliseconds; each placement that it already
/// had adds a restart, so that the same gang is not stopped repeatedly.
pub fn stop_cost(round: &Round<'_>, gang: &Gang) -> u64 {
    let kind = round.ledger.catalog.kind(&gang.job.kind);
    let ran_ms = match gang.started {
        true => round.now_ms.saturating_sub(gang.start_ms),
        false => 0,
    };
    let lost_ms = match kind.is_some_and(|kind| kind.checkpoint) {
        true => ran_ms.min(RESTART_MS),
        false => ran_ms,
    };
    let lost_ms = lost_ms + RESTART_MS * u64::from(gang.attempt);
    lost_ms * u64::from(gang.accelerators().max(1))
}

/// Returns whether the waiting time of a gang outweighs the cost, by the policy's weights.
fn is_worthwhile(round: &Round<'_>, gang: &Gang, cost: u64) -> bool {
    let waited_ms = round.now_ms.saturating_sub(gang.submitted_ms);
    let gain = waited_ms * u64::from(gang.accelerators());
    let share = u64::from(round.ledger.catalog.weights().completion);
    cost * (50 + share / 2) <= gain * 100
}

fn candidates<'a>(
    round: &Round<'a>,
    waiter: &Gang,
    reason: PreemptReason,
    stopped: &BTreeSet<Name>,
) -> Vec<&'a Gang> {
    let all = round.ledger.gangs.holding.iter();
    let all = all.filter_map(|job| round.ledger.gangs.all.get(job));
    let mut found: Vec<&Gang> = all
        .filter(|gang| gang.cover.is_empty() && gang.reclaimable())
        .filter(|gang| gang.accelerators() > 0 && !stopped.contains(&gang.job.id))
        .filter(|gang| may_stop(round, waiter, gang, reason))
        .collect();
    found.sort_by_key(|gang| {
        let lost = stop_cost(round, gang) / u64::from(gang.accelerators().max(1));
        (lost, gang.job.id.clone())
    });
    found
}

fn may_stop(round: &Round<'_>, waiter: &Gang, victim: &Gang, reason: PreemptReason) -> bool {
    let class = round.rank(victim).class;
    match reason {
        PreemptReason::Guaranteed => victim.job.workspace != waiter.job.workspace || class > 0,
        PreemptReason::Urgent => class > 0,
        PreemptReason::Overtaken => {
            let from_ms = match victim.phase {
                Phase::Running => victim.start_ms,
                _ => victim.since_ms,
            };
            class > 0 && from_ms > waiter.submitted_ms && round.rank(waiter) < round.rank(victim)
        }
    }
}

/// Chooses as few gangs to stop as needed in one domain, the cheapest first.
fn plan_domain(
    round: &Round<'_>,
    capacity: &Capacity<'_>,
    gang: &Gang,
    choice: &Choice,
    victims: &[&Gang],
) -> Option<Plan> {
    let inside: BTreeSet<usize> = choice.workers.iter().copied().collect();
    let uses_domain = |victim: &Gang| {
        let mut workers = victim.slots.iter();
        workers.any(|slot| {
            let i = capacity.index(&slot.worker);
            i.is_some_and(|i| inside.contains(&i))
        })
    };
    let mut chosen: Vec<&Gang> = Vec::new();
    let mut available: BTreeMap<usize, Resources> = BTreeMap::new();
    let mut room = 0_u64;
    for i in &inside {
        let resources = capacity.workers[*i].after_stops;
        room += u64::from(resources.room(&gang.job));
        available.insert(*i, resources);
    }
    let need = u64::from(gang.job.members);
    for victim in victims.iter().filter(|victim| uses_domain(victim)) {
        if room >= need {
            break;
        }
        chosen.push(victim);
        for slot in &victim.slots {
            let resources = capacity
                .index(&slot.worker)
                .and_then(|i| available.get_mut(&i));
            if let Some(resources) = resources {
                room -= u64::from(resources.room(&gang.job));
                resources.add(&victim.job, slot.mask);
                room += u64::from(resources.room(&gang.job));
            }
        }
    }
    let mut slots = slots_with(capacity, gang, choice, &chosen)?;
    for i in (0..chosen.len()).rev().take(MAX_PRUNED) {
        let mut fewer = chosen.clone();
        fewer.remove(i);
        if let Some(found) = slots_with(capacity, gang, choice, &fewer) {
            chosen = fewer;
            slots = found;
        }
    }
    Some(Plan {
        cost: chosen.iter().map(|victim| stop_cost(round, victim)).sum(),
        victims: chosen.iter().map(|victim| victim.job.id.clone()).collect(),
        slots,
    })
}

fn slots_with(
    capacity: &Capacity<'_>,
    gang: &Gang,
    choice: &Choice,
    victims: &[&Gang],
) -> Option<Vec<Slot>> {
    let mut extra = BTreeMap::new();
    for victim in victims {
        add_victim(capacity, &mut extra, victim);
    }
    let available = |i: usize, worker: &super::capacity::WorkerCapacity<'_>| {
        sum(worker.after_stops, extra.get(&i))
    };
    let search = Search {
        job: &gang.job,
        available: &available,
        avoid: &|_| false,
    };
    pack::fill(capacity, &search, choice)
}

fn add_victim(capacity: &Capacity<'_>, extra: &mut BTreeMap<usize, Resources>, victim: &Gang) {
    for slot in &victim.slots {
        if let Some(i) = capacity.index(&slot.worker) {
            let resources = extra.entry(i).or_default();
            resources.add(&victim.job, slot.mask);
        }
    }
}

fn sum(mut resources: Resources, extra: Option<&Resources>) -> Resources {
    if let Some(extra) = extra {
        resources.mask |= extra.mask;
        resources.cores += extra.cores;
        resources.memory_gb += extra.memory_gb;
    }
    resources
}
