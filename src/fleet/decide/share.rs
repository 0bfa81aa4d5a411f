//! Weighted dominant shares of workspaces.
//!
//! Answers overload by one workspace: without shares, a burst of one workspace delays all others,
//! as the order is priority and deadline alone. Shares are whole numbers, in millionths of the
//! resource of which a workspace uses the largest part.

use crate::fleet::model::ResourceAmounts;

/// All of a resource, in the unit of shares.
pub(in crate::fleet) const WHOLE: u64 = 1_000_000;
/// Limit on a share: a step may ask for more than there is, and sums must not overflow.
const MAX_SHARE: u64 = 1_000 * WHOLE;
/// The levels in one share: a finer order would place by shares alone where workspaces use about
/// the same, and serve fewer callers in time than the order by deadline.
const LEVELS: u128 = 5;
/// The fifths of its share below which a workspace is clearly within it.
const WITHIN: u128 = 4;
/// The highest level: workspaces that use more than twice their share are not told apart.
const MAX_LEVEL: u32 = 6;
/// The steps in which a share decays, per half-life.
const DECAY_STEPS: u64 = 16;
/// What is left of a share after one such step, in millionths: 2^(-1/16).
const STEP_LEFT: u64 = 957_603;
/// The part of a share that decays in a time far below the half-life, per half-life, in millionths:
/// ln 2.
const DECAY_RATE: u64 = 693_147;

/// What one workspace uses and asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::fleet) struct Party {
    /// Its weight, at least 1.
    pub(in crate::fleet) weight: u32,
    /// What it uses now.
    pub(in crate::fleet) present: u64,
    /// The use that it is charged for.
    pub(in crate::fleet) charged: u64,
    /// What it would use if none of its work waited, at least `charged`.
    pub(in crate::fleet) demand: u64,
}

/// How a workspace stands to its share.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(in crate::fleet) struct Standing {
    /// Its place in the order, the one furthest below its share lowest.
    pub(in crate::fleet) level: u32,
    /// Whether it uses about its share, or more, now.
    pub(in crate::fleet) served: bool,
}

/// Returns the largest of the parts that `used` is of each resource of `total`.
pub(in crate::fleet) fn dominant(used: &ResourceAmounts, total: &ResourceAmounts) -> u64 {
    let part = |used: u64, total: u64| {
        let part = used.saturating_mul(WHOLE).checked_div(total);
        part.unwrap_or(0).min(MAX_SHARE)
    };
    part(used.accelerators, total.accelerators)
        .max(part(used.cpu, total.cpu))
        .max(part(used.memory, total.memory))
}

/// Returns what is left of `share` after `ms` milliseconds.
fn decay(share: u64, ms: u64, half_life_ms: u64) -> u64 {
    let halvings = ms / half_life_ms.max(1);
    let mut left = share
        .checked_shr(u32::try_from(halvings).unwrap_or(u32::MAX))
        .unwrap_or(0);
    let rest = (ms % half_life_ms.max(1)).saturating_mul(DECAY_STEPS);
    for _ in 0..rest / half_life_ms.max(1) {
        left = left * STEP_LEFT / WHOLE;
    }
    let rest = rest % half_life_ms.max(1);
    let part = rest.saturating_mul(DECAY_RATE) / (half_life_ms.max(1) * DECAY_STEPS);
    // Rounded down, so that the rest of a small share ends.
    left * WHOLE.saturating_sub(part) / WHOLE
}

/// Returns the moving average of a share `ms` milliseconds after it was `average`, where `present`
/// was used in this time.
pub(in crate::fleet) fn average(average: u64, present: u64, ms: u64, half_life_ms: u64) -> u64 {
    decay(average, ms, half_life_ms) + present - decay(present, ms, half_life_ms)
}

/// Returns how each workspace stands; none if all have the same level, or if none asks for more than
/// it is charged for.
///
/// The shares divide what all are charged for: in proportion to the weights, except that none
/// counts for more than it asks for. Level 0 is up to four fifths of the share, level 1 up to six
/// fifths, and each further fifth is one level more.
pub(in crate::fleet) fn standings(parties: &[Party]) -> Option<Vec<Standing>> {
    let unit = unit(parties)?;
    let fifths = |party: &Party, used: u64| {
        let used = u128::from(used) * LEVELS * unit.weights;
        let share = u128::from(party.weight) * unit.amount;
        // Nothing is left for the weight: all use is beyond it.
        used.checked_div(share).unwrap_or(u128::MAX)
    };
    let standings = parties.iter().map(|party| Standing {
        level: match fifths(party, party.charged) {
            0..WITHIN => 0,
            fifths => {
                let over = u32::try_from(fifths.saturating_sub(LEVELS)).unwrap_or(MAX_LEVEL);
                over.saturating_add(1).min(MAX_LEVEL)
            }
        },
        served: fifths(party, party.present) >= WITHIN,
    });
    let standings: Vec<Standing> = standings.collect();
    let first = standings.first()?.level;
    let differ = standings.iter().any(|standing| standing.level != first);
    differ.then_some(standings)
}

/// The share of a weight: `amount / weights` for each 1.
#[derive(Debug, Clone, Copy)]
struct Unit {
    amount: u128,
    weights: u128,
}

/// Divides what all are charged for; none if that is all that they ask for.
fn unit(parties: &[Party]) -> Option<Unit> {
    let mut order: Vec<&Party> = parties.iter().collect();
    order.sort_by(|a, b| {
        let left = u128::from(a.demand) * u128::from(b.weight);
        left.cmp(&(u128::from(b.demand) * u128::from(a.weight)))
    });
    let mut unit = Unit {
        amount: parties.iter().map(|party| u128::from(party.charged)).sum(),
        weights: parties.iter().map(|party| u128::from(party.weight)).sum(),
    };
    for party in order {
        let demand = u128::from(party.demand);
        let weight = u128::from(party.weight);
        if demand * unit.weights > unit.amount * weight {
            return Some(unit);
        }
        unit.amount -= demand;
        unit.weights -= weight;
    }
    None
}
