//! The fault matrix: tests every promise at every step under every fault.

use super::checkers::Bounds;
use super::checkers::Checkers;
use super::checkers::Promise;
use super::fault::FAULTS;
use super::fault::Fault;
use super::fault::PAIRS;
use super::fault::inject;
use super::steps::Class;
use super::steps::STEPS;
use super::steps::Step;
use super::workload;
use super::world::World;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;

/// The longest run, in virtual milliseconds.
const RUN_MS: u64 = 14_500;
/// The time from a fault to the change that is published under it, in milliseconds.
const CHANGE_MS: u64 = 100;

/// Whether a promise held under a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The fault took effect, the promise was tested, and it held.
    Held,
    /// It did not hold.
    Broken,
    /// The fault did not take effect, or the run did not test the promise.
    NotRun,
}

/// One cell of the matrix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Cell {
    /// The promise.
    pub promise: Promise,
    /// The step.
    pub step: Step,
    /// The fault, or two joined by `+`.
    pub fault: String,
    /// Whether the promise held.
    pub verdict: Verdict,
    /// What the run showed.
    pub detail: String,
}

/// The whole matrix.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The seed of the runs.
    pub seed: u64,
    /// The cells.
    pub cells: Vec<Cell>,
    /// The longest times over all runs.
    pub bounds: Bounds,
}

impl Report {
    /// Returns how many cells have this verdict.
    pub fn count(&self, verdict: Verdict) -> usize {
        let cells = self.cells.iter();
        cells.filter(|cell| cell.verdict == verdict).count()
    }
}

/// The result of one run of the simulation.
#[derive(Debug)]
pub struct Run {
    /// Whether the step was reached.
    pub reached: bool,
    /// How often each fault took effect.
    pub hits: BTreeMap<Fault, u32>,
    /// What the checkers found.
    pub checks: Checkers,
}

#[derive(Debug, Clone)]
struct Case {
    step: Step,
    faults: Vec<Fault>,
}

/// Runs one row of the matrix: one step under some faults.
pub fn row(step: Step, faults: &[Fault], seed: u64) -> Vec<Cell> {
    let case = Case {
        step,
        faults: faults.to_vec(),
    };
    cells_of(&case, &run_step(step, faults, seed))
}

/// Runs the whole matrix with `threads` threads.
pub fn run(seed: u64, pairs: bool, threads: usize) -> Report {
    let cases = cases(pairs);
    let found: Mutex<BTreeMap<usize, Run>> = Mutex::default();
    let next = std::sync::atomic::AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                loop {
                    let i = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    let Some(case) = cases.get(i) else {
                        return;
                    };
                    let run = run_step(case.step, &case.faults, seed);
                    let mut found = found.lock().unwrap_or_else(PoisonError::into_inner);
                    found.insert(i, run);
                }
            });
        }
    });
    let found = found.into_inner().unwrap_or_else(PoisonError::into_inner);
    let mut report = Report {
        seed,
        ..Report::default()
    };
    for (i, run) in &found {
        report.bounds.merge(&run.checks.bounds);
        if let Some(case) = cases.get(*i) {
            report.cells.extend(cells_of(case, run));
        }
    }
    report
}

/// A fault that is injected at a given time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimedFault {
    /// When it is injected, in virtual milliseconds.
    pub at_ms: u64,
    /// The fault.
    pub fault: Fault,
    /// The process that it affects, if it affects one.
    pub subject: usize,
    /// The worker that it affects, if it affects one.
    pub worker: usize,
}

/// Runs the simulation with faults at given times, the earliest first.
pub fn run_timed(timed_faults: &[TimedFault], seed: u64) -> Run {
    let mut world = World::new(seed);
    workload::schedule(&mut world, Step::Ready);
    let mut rest = timed_faults;
    while world.now_ms < RUN_MS {
        world.advance();
        while let Some((next, later)) = rest.split_first()
            && world.now_ms >= next.at_ms
        {
            inject(&mut world, next.fault, next.subject, next.worker);
            rest = later;
        }
    }
    finish_run(world, true)
}

/// Runs the simulation and injects the faults when the step is reached.
pub fn run_step(step: Step, faults: &[Fault], seed: u64) -> Run {
    let mut world = World::new(seed);
    workload::schedule(&mut world, step);
    let mut injected_ms = None;
    let mut changed = false;
    while world.now_ms < RUN_MS {
        world.advance();
        if injected_ms.is_none() && step.reached(&world) {
            injected_ms = Some(world.now_ms);
            let subject = step.subject(&world);
            let worker = world.target_worker(workload::MAIN_JOB);
            for fault in faults {
                inject(&mut world, *fault, subject, worker);
            }
        }
        let due = injected_ms.is_some_and(|at_ms| world.now_ms >= at_ms + CHANGE_MS);
        if due && !changed {
            changed = true;
            workload::change_under_fault(&mut world);
        }
    }
    finish_run(world, injected_ms.is_some())
}

fn finish_run(mut world: World, reached: bool) -> Run {
    let mut checks = std::mem::take(&mut world.checks);
    if checks.finish(&world) {
        world.record_hit(Fault::RacingOperators);
    }
    Run {
        reached,
        hits: std::mem::take(&mut world.hits),
        checks,
    }
}

fn cases(pairs: bool) -> Vec<Case> {
    let mut cases = Vec::new();
    for step in STEPS {
        for fault in FAULTS {
            cases.push(Case {
                step: *step,
                faults: vec![fault],
            });
        }
        for pair in PAIRS.iter().filter(|_| pairs) {
            cases.push(Case {
                step: *step,
                faults: pair.to_vec(),
            });
        }
    }
    cases
}

/// Returns the promises that are tested by runs for a step of this class.
fn promises(class: Class) -> &'static [Promise] {
    match class {
        Class::Request => &[
            Promise::RightAnswer,
            Promise::TrueRefusal,
            Promise::AtMostOnce,
            Promise::Leaving,
            Promise::EqualLedgers,
        ],
        Class::Gang => &[
            Promise::Guarantee,
            Promise::WholeGang,
            Promise::EqualLedgers,
        ],
        Class::Config => &[Promise::Configuration, Promise::EqualLedgers],
        Class::Vm => &[
            Promise::Guarantee,
            Promise::WholeGang,
            Promise::RightAnswer,
            Promise::TrueRefusal,
            Promise::AtMostOnce,
            Promise::Leaving,
            Promise::PlannedStop,
            Promise::Configuration,
            Promise::EqualLedgers,
        ],
    }
}

fn cells_of(case: &Case, run: &Run) -> Vec<Cell> {
    let names = case.faults.iter().map(|fault| name(*fault));
    let fault = names.collect::<Vec<_>>().join("+");
    let cells = promises(case.step.class()).iter().map(|promise| {
        let (verdict, detail) = verdict(case, run, *promise);
        Cell {
            promise: *promise,
            step: case.step,
            fault: fault.clone(),
            verdict,
            detail,
        }
    });
    cells.collect()
}

fn verdict(case: &Case, run: &Run, promise: Promise) -> (Verdict, String) {
    if !run.reached {
        return (Verdict::NotRun, "the step was not reached".into());
    }
    let found = run.checks.findings.iter();
    let broken: Vec<&str> = found
        .filter(|one| one.promise == promise)
        .map(|one| one.text.as_str())
        .collect();
    if !broken.is_empty() {
        return (Verdict::Broken, broken.join("; "));
    }
    let without_effect = case.faults.iter().find(|one| !run.hits.contains_key(one));
    if let Some(fault) = without_effect {
        let text = format!("{} did not take effect", name(*fault));
        return (Verdict::NotRun, text);
    }
    match run.checks.tested.get(&promise) {
        Some(count) => (Verdict::Held, format!("put to the test {count} times")),
        None => (Verdict::NotRun, "nothing put it to the test".into()),
    }
}

/// Returns the name of a fault as the report prints it.
pub fn name(fault: Fault) -> String {
    let value = serde_json::to_value(fault).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}
