//! Simulated workers of a replay: they run the tasks that a sync asks for, for their true run time.

use super::trace::FaultKind;
use super::trace::Trace;
use super::trace::TraceJob;
use crate::platform::SyncAnswer;
use crate::platform::SyncCall;
use crate::platform::TaskReport;
use crate::platform::TaskState;
use crate::platform::Usage;
use crate::platform::Want;
use crate::platform::WantedTask;
use crate::prelude::*;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The time from the call that asks a task to run until it starts, in milliseconds.
pub const START_MS: u64 = 500;
/// The time that a checkpoint takes, in milliseconds.
pub const CHECKPOINT_MS: u64 = 1_500;
/// The time that a stop without a checkpoint takes, in milliseconds.
pub const STOP_MS: u64 = 200;
/// The run time after which a task fails on a failing worker, in milliseconds.
pub const FAIL_MS: u64 = 2_000;
/// The lag of usage reports, in milliseconds.
pub const USAGE_LAG_MS: u64 = 5_000;

/// One member of a gang on a worker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct TaskKey {
    job: Name,
    index: u32,
}

#[derive(Debug, Clone, PartialEq)]
struct Task {
    token: Offset,
    state: TaskState,
    run_ms: Option<u64>,
    stop_ms: Option<u64>,
    kept_ms: u64,
    checkpoint: bool,
    lease_ms: u64,
}

/// A worker.
#[derive(Debug, Clone, Default)]
struct Worker {
    boot: u64,
    as_of: Offset,
    tasks: BTreeMap<TaskKey, Task>,
    fault: Option<(FaultKind, u64)>,
}

/// What the workers observed: when and how often gangs started, and violations of the protocol.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Observations {
    /// When the last member of a gang's first placement started, by gang.
    pub begun_ms: BTreeMap<Name, u64>,
    /// The placements that started, by gang.
    pub tokens: BTreeMap<Name, BTreeSet<Offset>>,
    /// The number of members that started, by placement.
    pub members: BTreeMap<Offset, u32>,
    /// Calls to run a task that was not prepared.
    pub unprepared: u64,
}

/// All workers.
#[derive(Debug)]
pub struct Workers<'a> {
    all: BTreeMap<Name, Worker>,
    jobs: BTreeMap<Name, &'a TraceJob>,
    slow_pct: BTreeMap<Offset, u64>,
    /// What they observed.
    pub observed: Observations,
}

impl<'a> Workers<'a> {
    /// Makes the workers of a trace.
    pub fn new(trace: &'a Trace) -> Self {
        let jobs = trace.jobs.iter().map(|one| (one.job.id.clone(), one));
        Self {
            all: BTreeMap::new(),
            jobs: jobs.collect(),
            slow_pct: BTreeMap::new(),
            observed: Observations::default(),
        }
    }

    /// Makes the tasks of a placement take `pct` percent of their true run time.
    pub fn set_slowdown(&mut self, token: Offset, pct: u64) {
        self.slow_pct.insert(token, pct);
    }

    /// Begins a fault of a worker.
    pub fn inject_fault(&mut self, worker: &Name, kind: FaultKind, end_ms: u64) {
        let found = self.all.entry(worker.clone()).or_default();
        found.fault = Some((kind, end_ms));
        if kind == FaultKind::Crash {
            found.tasks.clear();
            found.as_of = 0;
            found.boot += 1;
        }
    }

    /// Handles a sync at `now_ms`; returns nothing if the worker does not respond.
    pub fn sync(&mut self, name: &Name, call: &SyncCall, now_ms: u64) -> Option<SyncAnswer> {
        let worker = self.all.entry(name.clone()).or_default();
        worker.fault.take_if(|(_, end_ms)| now_ms >= *end_ms);
        let kind = worker.fault.map(|(kind, _)| kind);
        if matches!(kind, Some(FaultKind::Crash | FaultKind::Freeze)) {
            return None;
        }
        worker.tasks.retain(|_, task| task.lease_ms > now_ms);
        let failing = kind == Some(FaultKind::Fail);
        for (key, task) in &mut worker.tasks {
            let job = self.jobs.get(&key.job);
            let slow_pct = self.slow_pct.get(&task.token).copied().unwrap_or(100);
            if let Some(job) = job {
                advance(task, job, slow_pct, failing, now_ms);
            }
        }
        if call.as_of >= worker.as_of {
            worker.as_of = call.as_of;
            apply_call(worker, &mut self.observed, call, now_ms);
        }
        let tasks = call.tasks.iter().map(|want| report(worker, want, now_ms));
        Some(SyncAnswer {
            boot: worker.boot,
            as_of: worker.as_of,
            tasks: tasks.collect(),
        })
    }
}

fn apply_call(worker: &mut Worker, observed: &mut Observations, call: &SyncCall, now_ms: u64) {
    let named: BTreeSet<TaskKey> = call.tasks.iter().map(key).collect();
    worker.tasks.retain(|key, _| named.contains(key));
    for want in &call.tasks {
        let lease_ms = now_ms + call.lease_ms;
        let stale = worker
            .tasks
            .get(&key(want))
            .is_some_and(|task| task.token != want.token);
        if stale {
            worker.tasks.remove(&key(want));
        }
        let found = worker.tasks.get_mut(&key(want));
        match (want.want, found) {
            (Want::Prepare, None) => {
                let task = Task {
                    token: want.token,
                    state: TaskState::Prepared,
                    run_ms: None,
                    stop_ms: None,
                    kept_ms: want.kept_ms,
                    checkpoint: want.checkpoint,
                    lease_ms,
                };
                worker.tasks.insert(key(want), task);
            }
            (Want::Run, Some(task)) if task.state == TaskState::Prepared => {
                task.state = TaskState::Running;
                task.run_ms = Some(now_ms + START_MS);
                task.lease_ms = lease_ms;
                record_start(observed, want, now_ms + START_MS);
            }
            (Want::Run, None) => observed.unprepared += 1,
            (Want::Stop, Some(task)) => stop(task, now_ms, lease_ms),
            (_, Some(task)) => task.lease_ms = lease_ms,
            (_, None) => {}
        }
    }
}

fn record_start(observed: &mut Observations, want: &WantedTask, at_ms: u64) {
    let tokens = observed.tokens.entry(want.job.clone()).or_default();
    tokens.insert(want.token);
    let first = tokens.len() == 1;
    *observed.members.entry(want.token).or_insert(0) += 1;
    let begun_ms = observed.begun_ms.entry(want.job.clone()).or_insert(at_ms);
    if first {
        *begun_ms = (*begun_ms).max(at_ms);
    }
}

fn stop(task: &mut Task, now_ms: u64, lease_ms: u64) {
    task.lease_ms = lease_ms;
    if task.state == TaskState::Prepared {
        task.state = TaskState::Stopped;
    }
    if task.state == TaskState::Running && task.stop_ms.is_none() {
        let span_ms = match task.checkpoint {
            true => CHECKPOINT_MS,
            false => STOP_MS,
        };
        task.stop_ms = Some(now_ms + span_ms);
        task.state = TaskState::Stopping;
        let ran_ms = now_ms.saturating_sub(task.run_ms.unwrap_or(now_ms));
        if task.checkpoint {
            task.kept_ms += ran_ms;
        }
    }
}

/// Updates the state of a task to `now_ms`.
fn advance(task: &mut Task, job: &TraceJob, slow_pct: u64, failing: bool, now_ms: u64) {
    if task.state == TaskState::Stopping && task.stop_ms.is_some_and(|at_ms| now_ms >= at_ms) {
        task.state = TaskState::Stopped;
    }
    let (TaskState::Running, Some(run_ms)) = (task.state, task.run_ms) else {
        return;
    };
    let ran_ms = now_ms.saturating_sub(run_ms);
    let true_ms = job.true_ms * slow_pct / 100;
    if failing && ran_ms >= FAIL_MS || job.faulty && ran_ms >= true_ms / 10 {
        task.state = TaskState::Failed;
    } else if ran_ms + task.kept_ms >= true_ms {
        task.state = TaskState::Done;
    }
}

fn report(worker: &Worker, want: &WantedTask, now_ms: u64) -> TaskReport {
    let found = worker.tasks.get(&key(want));
    let found = found.filter(|task| task.token == want.token);
    let run_ms = found.and_then(|task| task.run_ms);
    let ran_ms = run_ms.map_or(0, |ms| now_ms.saturating_sub(ms + USAGE_LAG_MS));
    TaskReport {
        job: want.job.clone(),
        index: want.index,
        token: want.token,
        state: found.map_or(TaskState::Absent, |task| task.state),
        kept_ms: found.map_or(0, |task| task.kept_ms),
        usage: Usage {
            core_pct: 100,
            memory_mb: 1_024,
            run_ms: ran_ms,
        },
    }
}

fn key(want: &WantedTask) -> TaskKey {
    TaskKey {
        job: want.job.clone(),
        index: want.index,
    }
}
