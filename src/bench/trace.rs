//! Seeded traces of gangs: submissions, true run times, cancellations and worker faults.

use super::Deployment;
use crate::model::Adjacency;
use crate::model::Job;
use crate::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeMap;

/// The length of the steady phase, in milliseconds.
pub const STEADY_MS: u64 = 3_600_000;
/// The length of the burst phase, in milliseconds.
pub const BURST_MS: u64 = 900_000;
/// The length of the fault phase, in milliseconds.
pub const FAULT_MS: u64 = 3_600_000;
/// The workers of a deployment.
pub const WORKERS: usize = 50;
/// The workers of a rack.
pub const RACK_WORKERS: usize = 8;
/// The accelerators of a worker.
pub const WORKER_ACCELERATORS: u32 = 8;

/// One gang of a trace.
#[derive(Debug, Clone, PartialEq)]
pub struct TraceJob {
    /// What is submitted.
    pub job: Job,
    /// When, in milliseconds from the start.
    pub at_ms: u64,
    /// Its true run time in milliseconds.
    pub true_ms: u64,
    /// Whether it fails on every run because of an error of its own.
    pub faulty: bool,
    /// When its caller cancels it, if it has not ended by then, in milliseconds from the start.
    pub cancel_ms: Option<u64>,
}

/// How a worker fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// It loses all tasks and does not respond until the fault ends.
    Crash,
    /// It does not respond until the fault ends, and then continues with its tasks.
    Freeze,
    /// Every task that it runs fails.
    Fail,
}

/// A fault of one worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceFault {
    /// The worker.
    pub worker: Name,
    /// How it fails.
    pub kind: FaultKind,
    /// When, in milliseconds from the start.
    pub at_ms: u64,
    /// When the fault ends, in milliseconds from the start.
    pub end_ms: u64,
}

/// A trace of gangs and worker faults.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Trace {
    /// The configuration records.
    pub config: Vec<String>,
    /// The gangs, in the order of their submission.
    pub jobs: Vec<TraceJob>,
    /// The faults of workers.
    pub faults: Vec<TraceFault>,
    /// When the last phase ends, in milliseconds from the start.
    pub end_ms: u64,
}

/// A kind of gang, with its share of the accelerator time, median run time and possible sizes.
struct JobClass {
    kind: &'static str,
    share_pct: u64,
    median_ms: u64,
    sizes: &'static [GangSize],
}

/// The size of a gang.
struct GangSize {
    members: u32,
    accelerators: u32,
    adjacency: Adjacency,
}

const fn size(members: u32, accelerators: u32, adjacency: Adjacency) -> GangSize {
    GangSize {
        members,
        accelerators,
        adjacency,
    }
}

const LONG: &[GangSize] = &[
    size(1, 4, Adjacency::Worker),
    size(1, 8, Adjacency::Worker),
    size(1, 8, Adjacency::Worker),
    size(2, 8, Adjacency::Rack),
    size(4, 8, Adjacency::Rack),
];
const SMALL: &[GangSize] = &[
    size(1, 1, Adjacency::Any),
    size(1, 2, Adjacency::Worker),
    size(4, 1, Adjacency::Centre),
];
const URGENT: &[GangSize] = &[size(1, 4, Adjacency::Worker), size(1, 8, Adjacency::Worker)];
const SEALED: &[GangSize] = &[size(1, 2, Adjacency::Worker), size(1, 4, Adjacency::Worker)];

/// Generates the trace of a deployment; the same seed gives the same trace.
pub fn trace(deployment: Deployment, seed: u64) -> Trace {
    let mut rng = Pcg64::seed_from_u64(seed);
    let classes = classes(deployment);
    let workspaces = workspaces(deployment);
    let mut trace = Trace {
        config: config(deployment, &classes, &workspaces),
        end_ms: STEADY_MS + BURST_MS + FAULT_MS,
        ..Trace::default()
    };
    let phases = [
        (0, STEADY_MS, 70),
        (STEADY_MS, STEADY_MS + BURST_MS, 200),
        (STEADY_MS + BURST_MS, trace.end_ms, 65),
    ];
    let mut biases = BTreeMap::new();
    for (from_ms, to_ms, load_pct) in phases {
        for class in &classes {
            let span_ms = to_ms - from_ms;
            let capacity = u64::from(WORKER_ACCELERATORS) * WORKERS as u64;
            let mut left = capacity * span_ms * load_pct / 100 * class.share_pct / 100;
            loop {
                let made = job(&mut rng, class, &workspaces, &mut biases);
                let work =
                    made.true_ms * crate::reducer::plan::guarantee::gang_accelerators(&made.job);
                if work > left {
                    break;
                }
                left -= work;
                let at_ms = rng.random_range(from_ms..to_ms);
                trace.jobs.push(TraceJob { at_ms, ..made });
            }
        }
    }
    trace.jobs.sort_by_key(|one| one.at_ms);
    for (i, one) in trace.jobs.iter_mut().enumerate() {
        one.job.id = format!("{}-{i}", one.job.kind).into();
    }
    cancel_wave(&mut rng, &mut trace);
    faults(&mut rng, &mut trace);
    trace
}

fn classes(deployment: Deployment) -> [JobClass; 4] {
    let names = match deployment {
        Deployment::Instituto => [
            "relief_scan",
            "erosion_sweep",
            "urgent_scan",
            "sealed_entry",
        ],
        Deployment::Atlas => [
            "annual_ledger",
            "payroll_run",
            "urgent_ledger",
            "sealed_invoice",
        ],
    };
    let class = |i: usize, share_pct, median_ms, sizes| JobClass {
        kind: names[i],
        share_pct,
        median_ms,
        sizes,
    };
    [
        class(0, 62, 360_000, LONG),
        class(1, 26, 120_000, SMALL),
        class(2, 4, 60_000, URGENT),
        class(3, 8, 120_000, SEALED),
    ]
}

/// A workspace of a trace: its share of the submissions and its guarantees.
struct WorkspaceLoad {
    name: &'static str,
    share_pct: u64,
    shapes: Vec<Value>,
}

fn workspaces(deployment: Deployment) -> [WorkspaceLoad; 4] {
    let names = match deployment {
        Deployment::Instituto => ["north", "coast", "judges", "festival"],
        Deployment::Atlas => ["ledgers", "schools", "cooperatives", "counter"],
    };
    let shape = |accelerators: u32, adjacency: &str, count: u32| json!({"accelerators": accelerators, "adjacency": adjacency, "count": count});
    let workspace = |i: usize, share_pct, shapes| WorkspaceLoad {
        name: names[i],
        share_pct,
        shapes,
    };
    [
        workspace(0, 45, vec![shape(32, "rack", 2), shape(4, "worker", 4)]),
        workspace(1, 30, vec![shape(16, "rack", 2), shape(4, "worker", 4)]),
        workspace(2, 15, vec![shape(8, "worker", 2), shape(4, "worker", 2)]),
        workspace(3, 10, vec![shape(8, "worker", 2), shape(4, "worker", 2)]),
    ]
}

fn job(
    rng: &mut Pcg64,
    class: &JobClass,
    workspaces: &[WorkspaceLoad],
    biases: &mut BTreeMap<(&'static str, &'static str), f64>,
) -> TraceJob {
    let mut draw = rng.random_range(0..100);
    let found = workspaces.iter().find(|workspace| {
        let hit = draw < workspace.share_pct;
        draw = draw.saturating_sub(workspace.share_pct);
        hit
    });
    let workspace = found.unwrap_or(&workspaces[0]);
    let size = &class.sizes[rng.random_range(0..class.sizes.len())];
    // Run times range from a quarter of the median to 4 times the median.
    let spread = 4_f64.powf(rng.random_range(-1.0..1.0));
    let true_ms = (class.median_ms as f64 * spread) as u64;
    let bias = *biases
        .entry((workspace.name, class.kind))
        .or_insert_with(|| 5_f64.powf(rng.random_range(-1.0..1.0)));
    let estimate_factor = (bias * 2_f64.powf(rng.random_range(-1.0..1.0))).clamp(0.1, 10.0);
    TraceJob {
        job: Job {
            id: "".into(),
            workspace: workspace.name.into(),
            kind: class.kind.into(),
            members: size.members,
            accelerators: size.accelerators,
            cores: 6 * size.accelerators,
            memory_gb: 12 * size.accelerators,
            adjacency: size.adjacency,
            run_ms: ((true_ms as f64 * estimate_factor) as u64).max(1),
        },
        at_ms: 0,
        true_ms,
        faulty: rng.random_ratio(1, 50),
        cancel_ms: None,
    }
}

/// A quarter into the fault phase, cancels a third of the gangs submitted in the last 10 minutes.
fn cancel_wave(rng: &mut Pcg64, trace: &mut Trace) {
    let wave_ms = STEADY_MS + BURST_MS + FAULT_MS / 4;
    for one in &mut trace.jobs {
        let recent = (wave_ms.saturating_sub(600_000)..wave_ms).contains(&one.at_ms);
        if recent && rng.random_ratio(1, 3) {
            one.cancel_ms = Some(wave_ms + rng.random_range(0..2_000));
        }
    }
}

fn faults(rng: &mut Pcg64, trace: &mut Trace) {
    let from_ms = STEADY_MS + BURST_MS;
    let kinds = [
        (FaultKind::Fail, FAULT_MS),
        (FaultKind::Fail, FAULT_MS / 2),
        (FaultKind::Crash, 120_000),
        (FaultKind::Crash, 300_000),
        (FaultKind::Freeze, 8_000),
        (FaultKind::Freeze, 20_000),
        (FaultKind::Freeze, 90_000),
    ];
    for (kind, span_ms) in kinds {
        let latest_ms = from_ms + FAULT_MS / 2;
        let at_ms = rng.random_range(from_ms..latest_ms);
        trace.faults.push(TraceFault {
            worker: worker_name(rng.random_range(0..WORKERS)),
            kind,
            at_ms,
            end_ms: at_ms + span_ms,
        });
    }
}

fn worker_name(i: usize) -> Name {
    format!("worker-{:02}", i).into()
}

fn config(
    deployment: Deployment,
    classes: &[JobClass],
    workspaces: &[WorkspaceLoad],
) -> Vec<String> {
    let (cores, memory_gb, completion) = match deployment {
        Deployment::Instituto => (130, 250, 80),
        Deployment::Atlas => (60, 130, 20),
    };
    let mut objects = vec![
        ("pool/main".to_owned(), json!({})),
        ("weights/main".to_owned(), json!({"completion": completion})),
    ];
    for (i, class) in classes.iter().enumerate() {
        let priority = ["normal", "patient", "urgent", "normal"][i];
        let body = json!({"pool": "main", "priority": priority, "deadline_ms": 86_400_000,
            "idempotent": i == 1, "checkpoint": i == 0 || i == 2});
        objects.push((format!("kind/{}", class.kind), body));
    }
    for first in (0..WORKERS).step_by(RACK_WORKERS) {
        let rack = first / RACK_WORKERS;
        let last = (first + RACK_WORKERS).min(WORKERS);
        let workers = (first..last).map(|i| {
            json!({"name": &*worker_name(i), "addr": "127.0.0.1:1", "cores": cores,
                "memory_gb": memory_gb, "accelerators": WORKER_ACCELERATORS})
        });
        let workers: Vec<Value> = workers.collect();
        let centre = format!("centre-{}", rack % 3);
        let body = json!({"centre": centre, "workers": workers});
        objects.push((format!("rack/rack-{rack}"), body));
    }
    let kinds: Vec<&str> = classes.iter().map(|class| class.kind).collect();
    for workspace in workspaces {
        let body = json!({"quota": 400, "kinds": kinds, "guarantees": workspace.shapes});
        objects.push((format!("workspace/{}", workspace.name), body));
    }
    let numbered = objects.into_iter().enumerate();
    let records = numbered.map(|(i, (object, body))| {
        json!({"schema": 2, "change": format!("change-{i}"), "object": object,
            "replaces": 0, "body": body})
        .to_string()
    });
    records.collect()
}
