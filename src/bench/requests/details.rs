//! Request measurements beyond the policy report: refusals, spread over runners, and retries in an
//! outage.

use super::AT_CAPACITY;
use super::TWICE;
use super::completions;
use super::count;
use super::doubled;
use super::replay::Replay;
use super::replay::RequestEnd;
use super::replay::Results;
use super::trace::Phase;
use super::trace::RUNNERS;
use super::trace::SLOTS;
use super::trace::Trace;
use super::trace::USUAL;
use super::untrue;
use super::useful_ms;
use crate::bench::Deployment;
use crate::bench::report::Quantiles;
use crate::bench::report::quantiles;
use crate::reducer::effect::Ran;
use serde::Serialize;
use std::collections::BTreeMap;

/// The compared ages of the peers' load hints, in milliseconds.
const HINTS_MS: [u64; 3] = [0, 1_000, 5_000];
/// A steady trace, to measure the spread over runners.
const STEADY: [Phase; 1] = [Phase::without_faults(30_000, 70)];
/// An outage of every runner between steady phases.
const OUTAGE: [Phase; 3] = [
    Phase::without_faults(10_000, 70),
    Phase {
        len_ms: 15_000,
        load_pct: 70,
        faults: false,
        outage: true,
    },
    Phase::without_faults(30_000, 70),
];

/// One replay.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The trace.
    pub trace: &'static str,
    /// Whether the reducer decided; otherwise the baseline did.
    pub real: bool,
    /// The age of the load hints, in milliseconds.
    pub hint_ms: u64,
    /// The requests of the trace.
    pub requests: usize,
    /// Those that were answered.
    pub answered: u64,
    /// Those whose upstream's error was returned to the caller.
    pub failed: u64,
    /// Those that were refused and not run.
    pub refused: u64,
    /// Those that were refused and may have run.
    pub unknown: u64,
    /// Those without a final reply.
    pub lost: u64,
    /// Non-idempotent ones that ran twice.
    pub doubled: u64,
    /// Those that ran although their refusal said "not run".
    pub untrue: u64,
    /// Attempts that reached a runner without a free slot.
    pub busy: u64,
    /// The attempts that reached an upstream, in percent of the requests.
    pub tries_pct: u64,
    /// The service time of requests answered within their deadline, in percent of the time of all
    /// slots.
    pub useful_pct: u64,
    /// The completion times of the answered requests, by kind.
    pub completion_ms: BTreeMap<String, Quantiles>,
    /// The requests at the busiest runner, in thousandths of the mean.
    pub peak: Option<Quantiles>,
}

/// Replays the traces of a deployment that the policy report leaves out.
pub fn run(deployment: Deployment, seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    let mut add = |name: &'static str, phases: &[Phase], real: bool, hint_ms: u64| {
        let trace = Trace::generate(deployment, seed, phases);
        let results = Replay::run(&trace, real, hint_ms);
        rows.push(row(name, &trace, &results, real, hint_ms));
    };
    for real in [true, false] {
        for hint_ms in HINTS_MS {
            add("steady", &STEADY, real, hint_ms);
        }
        add("capacity", &AT_CAPACITY, real, 0);
        add("twice", &TWICE, real, 0);
        add("outage", &OUTAGE, real, 0);
        add("usual", &USUAL, real, 0);
    }
    rows
}

fn row(name: &'static str, trace: &Trace, results: &Results, real: bool, hint_ms: u64) -> Row {
    let tries: u64 = results.tries.iter().map(|tries| u64::from(*tries)).sum();
    let slots_ms = RUNNERS as u64 * u64::from(SLOTS) * trace.len_ms();
    Row {
        trace: name,
        real,
        hint_ms,
        requests: trace.jobs.len(),
        answered: count(results, |end| matches!(end, RequestEnd::Answered(_))),
        failed: count(results, |end| *end == RequestEnd::Failed),
        refused: count(results, |end| *end == RequestEnd::Refused(Ran::No)),
        unknown: count(results, |end| *end == RequestEnd::Refused(Ran::Unknown)),
        lost: count(results, |end| *end == RequestEnd::Unanswered),
        doubled: doubled(trace, results),
        untrue: untrue(results),
        busy: results.busy,
        tries_pct: tries * 100 / (trace.jobs.len() as u64).max(1),
        useful_pct: useful_ms(trace, results) * 100 / slots_ms.max(1),
        completion_ms: completions(trace, results)
            .iter()
            .filter_map(|one| Some((one.kind.to_string(), quantiles(&one.samples_ms)?)))
            .collect(),
        peak: quantiles(&results.peaks),
    }
}
