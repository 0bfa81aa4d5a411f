//! Tests every promise at every step under every fault and pair of faults, with a fixed seed.

use trefoilgauge::bench::faults::matrix;
use trefoilgauge::bench::faults::matrix::Cell;
use trefoilgauge::bench::faults::matrix::Verdict;

const SEED: u64 = 1;
const THREADS: usize = 4;

#[test]
fn no_promise_is_broken_at_any_step_by_any_fault_or_pair() {
    let report = matrix::run(SEED, true, THREADS);
    let broken: Vec<&Cell> = report
        .cells
        .iter()
        .filter(|cell| cell.verdict == Verdict::Broken)
        .collect();
    assert!(broken.is_empty(), "{broken:#?}");
    let held = report.count(Verdict::Held);
    let not_run = report.count(Verdict::NotRun);
    assert!(held > 8 * not_run, "{held} held, {not_run} not run");
}
