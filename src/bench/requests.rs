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
use replay::Fate;
use replay::Replay;
use replay::Seen;
use std::sync::Mutex;
use std::sync::PoisonError;
use trace::Phase;
use trace::Trace;
use trace::USUAL;

/// The age of the peers' hints in the report, in milliseconds.
const HINT_MS: u64 = 0;
/// The phases that measure the useful work at capacity.
const AT_CAPACITY: [Phase; 1] = [Phase::calm(90_000, 100)];
/// The phases that measure the useful work at twice the capacity.
const TWICE: [Phase; 1] = [Phase::calm(90_000, 200)];

/// What the baseline did with one trace.
#[derive(Debug)]
struct Kept {
    deployment: Deployment,
    seed: u64,
    outcome: Outcome,
}

/// The requests' part.
#[derive(Debug, Default)]
pub struct Requests {
    /// Backfill does the same as first come, first served: every request takes one slot of one
    /// pool, so that there is nothing to fill.
    plain: Mutex<Option<Kept>>,
}

impl Part for Requests {
    fn replay(&self, deployment: Deployment, seed: u64, policy: Policy) -> Outcome {
        if policy == Policy::Trefoil {
            return outcome(deployment, seed, true);
        }
        let mut plain = self.plain.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(kept) = plain.as_ref()
            && (kept.deployment, kept.seed) == (deployment, seed)
        {
            return kept.outcome.clone();
        }
        let outcome = outcome(deployment, seed, false);
        *plain = Some(Kept {
            deployment,
            seed,
            outcome: outcome.clone(),
        });
        outcome
    }
}

fn outcome(deployment: Deployment, seed: u64, real: bool) -> Outcome {
    let trace = Trace::make(deployment, seed, &USUAL);
    let seen = Replay::run(&trace, real, HINT_MS);
    Outcome {
        completions: completions(&trace, &seen),
        goodput: Some(goodput(deployment, seed, real)),
        refused: count(&seen, |fate| matches!(fate, Fate::Refused(_))),
        lost: count(&seen, |fate| *fate == Fate::Open),
        doubled: doubled(&trace, &seen),
        ..Outcome::default()
    }
}

/// Returns the completion times of the requests that were answered, by kind.
pub fn completions(trace: &Trace, seen: &Seen) -> Vec<Completion> {
    let mut found: Vec<Completion> = trace
        .kinds
        .iter()
        .map(|spec| Completion {
            gang: false,
            kind: spec.name.into(),
            samples_ms: Vec::new(),
        })
        .collect();
    for (job, fate) in trace.jobs.iter().zip(&seen.fates) {
        if let Fate::Answered(took_ms) = fate {
            found[job.kind].samples_ms.push(*took_ms);
        }
    }
    found
}

/// Counts the requests with such a fate.
pub fn count(seen: &Seen, is: impl Fn(&Fate) -> bool) -> u64 {
    seen.fates.iter().filter(|fate| is(fate)).count() as u64
}

/// Counts the non-idempotent requests that ran more than once.
pub fn doubled(trace: &Trace, seen: &Seen) -> u64 {
    let jobs = trace.jobs.iter().zip(&seen.runs);
    jobs.filter(|(job, runs)| !trace.kinds[job.kind].idempotent && **runs > 1)
        .count() as u64
}

/// Counts the refusals that said "not run" of a request that ran.
pub fn untrue(seen: &Seen) -> u64 {
    let fates = seen.fates.iter().zip(&seen.runs);
    fates
        .filter(|(fate, runs)| **fate == Fate::Refused(Ran::No) && **runs > 0)
        .count() as u64
}

/// Returns the service time of all answers that came within their deadline and within the trace,
/// in milliseconds.
pub fn useful_ms(trace: &Trace, seen: &Seen) -> u64 {
    let len_ms = trace.len_ms();
    let jobs = trace.jobs.iter().zip(&seen.fates);
    let useful = jobs.filter(|(job, fate)| match fate {
        Fate::Answered(took_ms) => {
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
        let trace = Trace::make(deployment, seed, phases);
        useful_ms(&trace, &Replay::run(&trace, real, HINT_MS)) as f64
    };
    useful(&TWICE) / useful(&AT_CAPACITY).max(1.0)
}
