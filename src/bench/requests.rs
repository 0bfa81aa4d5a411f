//! The requests' part of the policy report: entry VMs and runners under a virtual clock.

pub mod details;
pub mod replay;
pub mod trace;
pub mod vm;

use super::Completion;
use super::Deployment;
use super::Outcome;
use super::Part;
use super::Policy;
use crate::reducer::effect::Ran;
use replay::Replay;
use replay::RequestEnd;
use replay::Results;
use std::sync::Mutex;
use std::sync::PoisonError;
use trace::Phase;
use trace::Trace;
use trace::USUAL;

/// The age of the peers' load hints in the report, in milliseconds.
const HINT_MS: u64 = 0;
/// A load equal to the capacity, the reference of the goodput.
const AT_CAPACITY: [Phase; 1] = [Phase::without_faults(90_000, 100)];
/// A load of twice the capacity, at which the goodput is measured.
const TWICE: [Phase; 1] = [Phase::without_faults(90_000, 200)];

/// The cached outcome of the baseline on one trace.
#[derive(Debug)]
struct CachedOutcome {
    deployment: Deployment,
    seed: u64,
    outcome: Outcome,
}

/// The requests' part of the report.
#[derive(Debug, Default)]
pub struct Requests {
    /// The cached outcome of both baselines. Backfill equals first come, first served here: every
    /// request takes one slot of one pool, so there are no gaps to fill.
    baseline: Mutex<Option<CachedOutcome>>,
}

impl Part for Requests {
    fn replay(&self, deployment: Deployment, seed: u64, policy: Policy) -> Outcome {
        if policy == Policy::Trefoil {
            return outcome(deployment, seed, true);
        }
        let mut baseline = self.baseline.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(cached) = baseline.as_ref()
            && (cached.deployment, cached.seed) == (deployment, seed)
        {
            return cached.outcome.clone();
        }
        let outcome = outcome(deployment, seed, false);
        *baseline = Some(CachedOutcome {
            deployment,
            seed,
            outcome: outcome.clone(),
        });
        outcome
    }
}

fn outcome(deployment: Deployment, seed: u64, real: bool) -> Outcome {
    let trace = Trace::generate(deployment, seed, &USUAL);
    let results = Replay::run(&trace, real, HINT_MS);
    Outcome {
        completions: completions(&trace, &results),
        goodput: Some(goodput(deployment, seed, real)),
        refused: count(&results, |end| matches!(end, RequestEnd::Refused(_))),
        lost: count(&results, |end| *end == RequestEnd::Unanswered),
        doubled: doubled(&trace, &results),
        ..Outcome::default()
    }
}

/// Returns the completion times of the requests that were answered, by kind.
pub fn completions(trace: &Trace, results: &Results) -> Vec<Completion> {
    let mut found: Vec<Completion> = trace
        .kinds
        .iter()
        .map(|spec| Completion {
            gang: false,
            kind: spec.name.into(),
            samples_ms: Vec::new(),
        })
        .collect();
    for (job, end) in trace.jobs.iter().zip(&results.ends) {
        if let RequestEnd::Answered(took_ms) = end {
            found[job.kind].samples_ms.push(*took_ms);
        }
    }
    found
}

/// Counts the requests whose end matches `is`.
pub fn count(results: &Results, is: impl Fn(&RequestEnd) -> bool) -> u64 {
    results.ends.iter().filter(|end| is(end)).count() as u64
}

/// Counts the non-idempotent requests that ran more than once.
pub fn doubled(trace: &Trace, results: &Results) -> u64 {
    let jobs = trace.jobs.iter().zip(&results.runs);
    jobs.filter(|(job, runs)| !trace.kinds[job.kind].idempotent && **runs > 1)
        .count() as u64
}

/// Counts the requests that ran although their refusal said "not run".
pub fn untrue(results: &Results) -> u64 {
    let ends = results.ends.iter().zip(&results.runs);
    ends.filter(|(end, runs)| **end == RequestEnd::Refused(Ran::No) && **runs > 0)
        .count() as u64
}

/// Returns the total service time of the requests that were answered within their deadline and
/// before the trace ends, in milliseconds.
pub fn useful_ms(trace: &Trace, results: &Results) -> u64 {
    let len_ms = trace.len_ms();
    let jobs = trace.jobs.iter().zip(&results.ends);
    let useful = jobs.filter(|(job, end)| match end {
        RequestEnd::Answered(took_ms) => {
            let in_time = *took_ms <= trace.kinds[job.kind].deadline_ms;
            in_time && job.at_ms + took_ms <= len_ms
        }
        _ => false,
    });
    useful.map(|(job, _)| job.service_ms).sum()
}

/// Returns the useful work at twice the capacity as a share of that at capacity.
pub fn goodput(deployment: Deployment, seed: u64, real: bool) -> f64 {
    let useful = |phases: &[Phase]| {
        let trace = Trace::generate(deployment, seed, phases);
        useful_ms(&trace, &Replay::run(&trace, real, HINT_MS)) as f64
    };
    useful(&TWICE) / useful(&AT_CAPACITY).max(1.0)
}
