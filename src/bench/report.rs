//! The report of `trefoil-bench policy`.

use super::Deployment;
use super::Outcome;
use super::POLICIES;
use super::Part;
use super::Policy;
use serde::Serialize;
use std::collections::BTreeMap;

/// Two quantiles of a set of values; of times in milliseconds, unless the field says otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Quantiles {
    /// The median.
    pub p50: u64,
    /// The 99th percentile.
    pub p99: u64,
}

/// One policy's row.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyRow {
    /// The policy.
    pub name: Policy,
    /// The completion times by kind; those of gangs under the kind's name with `_gang`.
    pub completion_ms: BTreeMap<String, Quantiles>,
    /// The time-weighted share of free accelerators that cannot serve the largest shape.
    pub fragmentation: Option<f64>,
    /// The share of time in which a guaranteed shape fits without stopping work, over all shapes.
    pub shape_fit: Option<f64>,
    /// The 99th percentile of the waits of urgent gangs, in milliseconds.
    pub urgent_start_ms_p99: Option<u64>,
    /// The lowest goodput of all parts.
    pub goodput: Option<f64>,
    /// Work whose final reply was a refusal.
    pub refused: u64,
    /// Work that was accepted and got no final reply.
    pub lost: u64,
    /// Non-idempotent work that ran twice.
    pub doubled: u64,
    /// Gangs that ran with only some of their members.
    pub partial: u64,
    /// Checks that found a guaranteed shape that could not be reclaimed.
    pub guarantee_breaches: u64,
}

/// The policy report.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyReport {
    /// The deployment.
    pub deployment: Deployment,
    /// The seed of the trace.
    pub seed: u64,
    /// One row for each policy.
    pub policies: Vec<PolicyRow>,
}

/// Replays all parts under each policy.
pub fn run(parts: &[Box<dyn Part>], deployment: Deployment, seed: u64) -> PolicyReport {
    let row = |policy: Policy| {
        let outcomes = parts.iter();
        let outcomes = outcomes.map(|part| part.replay(deployment, seed, policy));
        combine(policy, &outcomes.collect::<Vec<_>>())
    };
    PolicyReport {
        deployment,
        seed,
        policies: POLICIES.into_iter().map(row).collect(),
    }
}

/// Returns the quantiles of `samples_ms`, or nothing if there are none.
pub fn quantiles(samples_ms: &[u64]) -> Option<Quantiles> {
    let mut sorted = samples_ms.to_vec();
    sorted.sort_unstable();
    let last = sorted.len().checked_sub(1)?;
    Some(Quantiles {
        p50: sorted[last / 2],
        p99: sorted[last * 99 / 100],
    })
}

fn combine(policy: Policy, outcomes: &[Outcome]) -> PolicyRow {
    let sum = |count: fn(&Outcome) -> u64| outcomes.iter().map(count).sum();
    let shares = outcomes.iter().filter_map(|outcome| outcome.goodput);
    let urgent_ms: Vec<u64> = outcomes
        .iter()
        .flat_map(|outcome| outcome.urgent_ms.iter().copied())
        .collect();
    PolicyRow {
        name: policy,
        completion_ms: completions(outcomes),
        fragmentation: outcomes.iter().find_map(|outcome| outcome.fragmentation),
        shape_fit: outcomes.iter().find_map(|outcome| outcome.shape_fit),
        urgent_start_ms_p99: quantiles(&urgent_ms).map(|found| found.p99),
        goodput: shares.reduce(f64::min),
        refused: sum(|outcome| outcome.refused),
        lost: sum(|outcome| outcome.lost),
        doubled: sum(|outcome| outcome.doubled),
        partial: sum(|outcome| outcome.partial),
        guarantee_breaches: sum(|outcome| outcome.breaches),
    }
}

fn completions(outcomes: &[Outcome]) -> BTreeMap<String, Quantiles> {
    let mut all = BTreeMap::new();
    for one in outcomes.iter().flat_map(|outcome| &outcome.completions) {
        let Some(found) = quantiles(&one.samples_ms) else {
            continue;
        };
        let kind = match one.gang {
            true => format!("{}_gang", one.kind),
            false => one.kind.to_string(),
        };
        all.insert(kind, found);
    }
    all
}
