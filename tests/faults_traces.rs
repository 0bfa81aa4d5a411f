//! Replays each recorded failure, and compares the result with the verdict in its file.

use serde::Deserialize;
use std::fs;
use trefoilgauge::bench::faults::checkers::Promise;
use trefoilgauge::bench::faults::fault::Fault;
use trefoilgauge::bench::faults::matrix;
use trefoilgauge::bench::faults::matrix::Verdict;
use trefoilgauge::bench::faults::steps::Step;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Trace {
    /// What was observed when the failure was recorded.
    seen: String,
    /// The cause of the failure.
    cause: String,
    seed: u64,
    step: Step,
    faults: Vec<Fault>,
    promise: Promise,
    /// The expected verdict.
    verdict: Verdict,
}

#[test]
fn every_recorded_failure_has_its_expected_verdict() {
    let mut count = 0;
    for entry in fs::read_dir("traces").unwrap() {
        let path = entry.unwrap().path();
        let trace: Trace = serde_json::from_slice(&fs::read(&path).unwrap()).unwrap();
        assert!(!trace.seen.is_empty() && !trace.cause.is_empty());
        let row = matrix::row(trace.step, &trace.faults, trace.seed);
        let cell = row.iter().find(|cell| cell.promise == trace.promise);
        let actual = cell.map(|cell| cell.verdict);
        assert_eq!(Some(trace.verdict), actual, "{path:?}: {cell:?}");
        count += 1;
    }
    assert!(count > 0);
}
