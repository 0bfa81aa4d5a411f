//! Whom to stop: the borrowed work whose stop costs the least and completes a shape.

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

/// The time that a stop and a later start cost the stopped gang, in milliseconds.
pub const RESTART_MS: u64 = 30_000;
/// The most victims of one plan that are looked at again, to spare those that are not needed.
const PRUNE_MAX: usize = 16;
/// The most domains that are looked at for one gang.
const DOMAINS_MAX: usize = 32;

/// What a waiting gang may stop others for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claim {
    /// It is within its workspace's guarantee: any borrowed work.
    Guaranteed,
    /// It is urgent: any borrowed work that is not.
    Urgent,
    /// It was passed by work that started after it came: such work, where that pays.
    Passed,
}

/// Gangs to stop, and the slots that the waiter then gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The gangs to stop.
    pub victims: Vec<Name>,
    /// The slots of the waiter.
    pub slots: Vec<Slot>,
    /// The accelerator milliseconds that are lost.
    pub cost: u64,
}

/// Finds the domain where stopping costs the least.
pub fn find(
    round: &Round<'_>,
    board: &Capacity<'_>,
    gang: &Gang,
    claim: Claim,
    taken: &BTreeSet<Name>,
) -> Option<Plan> {
    let victims = candidates(round, gang, claim, taken);
    if victims.is_empty() {
        return None;
    }
    let mut extra: BTreeMap<usize, Resources> = BTreeMap::new();
    for victim in &victims {
        give(board, &mut extra, victim);
    }
    let rest =
        |i: usize, spot: &super::capacity::WorkerCapacity<'_>| with(spot.soon, extra.get(&i));
    let search = Search {
        job: &gang.job,
        rest: &rest,
        avoid: &|worker| gang.failed_on.contains(worker),
    };
    let choices = pack::choices(board, &search);
    let plans = choices.iter().take(DOMAINS_MAX);
    let plans = plans.filter_map(|choice| within(round, board, gang, choice, &victims));
    let plans = plans.filter(|plan| claim != Claim::Passed || pays(round, gang, plan.cost));
    plans.min_by_key(|plan| plan.cost)
}

/// Returns the accelerator milliseconds that stopping a gang loses; each placement that it already
/// had adds a restart, so that the same gang is not stopped over and over.
pub fn lost_ms(round: &Round<'_>, gang: &Gang) -> u64 {
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

/// Tells whether what a waiter has waited for outweighs what is lost, by the policy's weights.
fn pays(round: &Round<'_>, gang: &Gang, cost: u64) -> bool {
    let waited_ms = round.now_ms.saturating_sub(gang.submitted_ms);
    let gain = waited_ms * u64::from(gang.accelerators());
    let share = u64::from(round.ledger.catalog.weights().completion);
    cost * (50 + share / 2) <= gain * 100
}

fn candidates<'a>(
    round: &Round<'a>,
    waiter: &Gang,
    claim: Claim,
    taken: &BTreeSet<Name>,
) -> Vec<&'a Gang> {
    let all = round.ledger.gangs.holding.iter();
    let all = all.filter_map(|job| round.ledger.gangs.all.get(job));
    let mut found: Vec<&Gang> = all
        .filter(|gang| gang.cover.is_empty() && gang.reclaimable())
        .filter(|gang| gang.accelerators() > 0 && !taken.contains(&gang.job.id))
        .filter(|gang| may_stop(round, waiter, gang, claim))
        .collect();
    found.sort_by_key(|gang| {
        let lost = lost_ms(round, gang) / u64::from(gang.accelerators().max(1));
        (lost, gang.job.id.clone())
    });
    found
}

fn may_stop(round: &Round<'_>, waiter: &Gang, victim: &Gang, claim: Claim) -> bool {
    let above = round.rank(victim).class;
    match claim {
        Claim::Guaranteed => victim.job.workspace != waiter.job.workspace || above > 0,
        Claim::Urgent => above > 0,
        Claim::Passed => {
            let from_ms = match victim.phase {
                Phase::Running => victim.start_ms,
                _ => victim.since_ms,
            };
            above > 0 && from_ms > waiter.submitted_ms && round.rank(waiter) < round.rank(victim)
        }
    }
}

/// Stops as few gangs as needed in one domain, the cheapest first.
fn within(
    round: &Round<'_>,
    board: &Capacity<'_>,
    gang: &Gang,
    choice: &Choice,
    victims: &[&Gang],
) -> Option<Plan> {
    let inside: BTreeSet<usize> = choice.spots.iter().copied().collect();
    let touches = |victim: &Gang| {
        let mut spots = victim.slots.iter();
        spots.any(|slot| {
            let i = board.index(&slot.worker);
            i.is_some_and(|i| inside.contains(&i))
        })
    };
    let mut chosen: Vec<&Gang> = Vec::new();
    let mut rests: BTreeMap<usize, Resources> = BTreeMap::new();
    let mut room = 0_u64;
    for i in &inside {
        let rest = board.workers[*i].soon;
        room += u64::from(rest.room(&gang.job));
        rests.insert(*i, rest);
    }
    let need = u64::from(gang.job.members);
    for victim in victims.iter().filter(|victim| touches(victim)) {
        if room >= need {
            break;
        }
        chosen.push(victim);
        for slot in &victim.slots {
            let rest = board.index(&slot.worker).and_then(|i| rests.get_mut(&i));
            if let Some(rest) = rest {
                room -= u64::from(rest.room(&gang.job));
                rest.give(&victim.job, slot.mask);
                room += u64::from(rest.room(&gang.job));
            }
        }
    }
    let mut slots = slots_with(board, gang, choice, &chosen)?;
    for i in (0..chosen.len()).rev().take(PRUNE_MAX) {
        let mut fewer = chosen.clone();
        fewer.remove(i);
        if let Some(found) = slots_with(board, gang, choice, &fewer) {
            chosen = fewer;
            slots = found;
        }
    }
    Some(Plan {
        cost: chosen.iter().map(|victim| lost_ms(round, victim)).sum(),
        victims: chosen.iter().map(|victim| victim.job.id.clone()).collect(),
        slots,
    })
}

fn slots_with(
    board: &Capacity<'_>,
    gang: &Gang,
    choice: &Choice,
    victims: &[&Gang],
) -> Option<Vec<Slot>> {
    let mut extra = BTreeMap::new();
    for victim in victims {
        give(board, &mut extra, victim);
    }
    let rest =
        |i: usize, spot: &super::capacity::WorkerCapacity<'_>| with(spot.soon, extra.get(&i));
    let search = Search {
        job: &gang.job,
        rest: &rest,
        avoid: &|_| false,
    };
    pack::fill(board, &search, choice)
}

fn give(board: &Capacity<'_>, extra: &mut BTreeMap<usize, Resources>, victim: &Gang) {
    for slot in &victim.slots {
        if let Some(i) = board.index(&slot.worker) {
            let rest = extra.entry(i).or_default();
            rest.give(&victim.job, slot.mask);
        }
    }
}

fn with(mut rest: Resources, extra: Option<&Resources>) -> Resources {
    if let Some(extra) = extra {
        rest.mask |= extra.mask;
        rest.cores += extra.cores;
        rest.memory_gb += extra.memory_gb;
    }
    rest
}
