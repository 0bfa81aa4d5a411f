//! The report of `trefoil-bench scale`: the cost of an event and of a decision at growing sizes.

use crate::configs::GangsConfig;
use crate::model::Adjacency;
use crate::model::Job;
use crate::prelude::*;
use crate::records::Batch;
use crate::records::BatchId;
use crate::records::CONTROL_SCHEMA;
use crate::records::Entry;
use crate::records::MemberState;
use crate::records::Slot;
use crate::records::WorkerState;
use crate::reducer::ledger::Ledger;
use crate::reducer::ledger::Staged;
use crate::reducer::ledger::StagedRecord;
use crate::reducer::plan::round;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use std::time::Instant;

/// The sizes that are measured, as divisors of the target.
const DIVISORS: [usize; 4] = [64, 16, 4, 1];
/// The workers of the target.
const WORKERS: usize = 8_700;
/// The accelerators of the target.
const ACCELERATORS: usize = 9_000;
/// The running tasks of the target.
const TASKS: usize = 42_000;
/// The jobs submitted per day at the target.
const JOBS_PER_DAY: usize = 23_000;
/// The workspaces of the target.
const WORKSPACES: usize = 50;
/// The workers of a rack.
const RACK_WORKERS: usize = 40;
/// The members of each gang that runs in the background during the measurement.
const GANG_MEMBERS: usize = 8;
/// The measured jobs, each with a planning round, a placement and two member reports.
const CYCLES: usize = 300;
/// The jobs between two configuration changes while events are measured.
const CHANGE_EVERY: usize = 2;
/// The jobs between two lost workers while events are measured.
const LOSS_EVERY: usize = 25;

/// The cost at one size.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ScaleRow {
    /// The process that was measured.
    pub role: &'static str,
    /// The workers.
    pub workers: usize,
    /// The running tasks.
    pub tasks: usize,
    /// The mean time to apply one control record, in microseconds.
    pub event_us: f64,
    /// The 99th percentile of the duration of a planning round, in milliseconds.
    pub decision_ms_p99: f64,
    /// The size of the ledger as a checkpoint, in megabytes.
    pub state_mb: f64,
    /// The control records of a day, averaged, in kilobytes per second.
    pub log_kb_s: f64,
    /// What this process sends to its peers, in kilobytes per second; nothing if not measured.
    pub peer_kb_s: Option<f64>,
}

/// The scale report.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ScaleReport {
    /// One row for each size.
    pub rows: Vec<ScaleRow>,
}

/// Measures all sizes.
pub fn run() -> ScaleReport {
    let rows = DIVISORS.into_iter().map(|divisor| measure(divisor, CYCLES));
    ScaleReport {
        rows: rows.collect(),
    }
}

/// Measures one size with `cycles` jobs.
pub fn measure(divisor: usize, cycles: usize) -> ScaleRow {
    let mut fleet = Fleet::new(divisor);
    fleet.fill();
    let mut decisions = Vec::new();
    let mut events = 0_u32;
    let mut total_us = 0.0;
    fleet.bytes = 0;
    for i in 0..cycles {
        let first_record = fleet.records;
        if i % CHANGE_EVERY == 0 {
            fleet.change_kind();
        }
        if i % LOSS_EVERY == 0 {
            total_us += fleet.lose_worker(i);
        }
        total_us += fleet.append(Entry::Submit {
            job: fleet.job(&format!("new-{i}"), 1, 1),
        });
        let start = Instant::now();
        let wall_ms = fleet.ledger.clock_ms;
        let entries = round::propose(&fleet.ledger, &GangsConfig::default(), wall_ms);
        decisions.push(start.elapsed().as_secs_f64() * 1_000.0);
        for entry in entries {
            total_us += fleet.append(entry);
        }
        total_us += fleet.report(&format!("new-{i}"), MemberState::Ready);
        total_us += fleet.report(&format!("new-{i}"), MemberState::Done);
        events += (fleet.records - first_record) as u32;
    }
    decisions.sort_by(f64::total_cmp);
    let jobs_s = (JOBS_PER_DAY / divisor) as f64 / 86_400.0;
    let bytes = fleet.bytes as f64 / cycles as f64;
    let state = serde_json::to_vec(&fleet.ledger).map_or(0, |text| text.len());
    ScaleRow {
        role: "placer",
        workers: fleet.names.len(),
        tasks: TASKS / divisor,
        event_us: rounded(total_us / f64::from(events.max(1))),
        decision_ms_p99: rounded(decisions[(decisions.len() - 1) * 99 / 100]),
        state_mb: rounded(state as f64 / 1e6),
        log_kb_s: rounded(bytes * jobs_s / 1e3),
        peer_kb_s: None,
    }
}

fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

/// A ledger of one size, and the records that are applied to it.
struct Fleet {
    ledger: Ledger,
    staged: Staged,
    names: Vec<Name>,
    tasks: usize,
    records: u64,
    bytes: usize,
}

impl Fleet {
    fn new(divisor: usize) -> Self {
        let workers = WORKERS / divisor;
        let names = (0..workers).map(|i| Name::from(format!("worker-{i:05}")));
        let mut fleet = Self {
            ledger: Ledger::default(),
            staged: Staged::default(),
            names: names.collect(),
            tasks: TASKS / divisor,
            records: 0,
            bytes: 0,
        };
        fleet.publish("pool/main", 0, json!({}));
        fleet.publish("kind/work", 0, kind(1_000));
        let extra_accelerators = ACCELERATORS / divisor - workers;
        for (rack, list) in fleet.names.clone().chunks(RACK_WORKERS).enumerate() {
            let first = rack * RACK_WORKERS;
            let workers = list.iter().enumerate().map(|(i, name)| {
                json!({"name": &**name, "addr": "127.0.0.1:1", "cores": 64, "memory_gb": 256,
                    "accelerators": 1 + u32::from(first + i < extra_accelerators)})
            });
            let workers: Vec<Value> = workers.collect();
            let body = json!({"centre": format!("centre-{}", rack % 9), "workers": workers});
            fleet.publish(&format!("rack/rack-{rack:04}"), 0, body);
        }
        let share = (workers / WORKSPACES / 2).max(1);
        for i in 0..WORKSPACES {
            let guarantees = json!([{"accelerators": 1, "adjacency": "worker", "count": share}]);
            let body = json!({"quota": 1_000_000, "kinds": ["work"], "guarantees": guarantees});
            fleet.publish(&format!("workspace/team-{i:02}"), 0, body);
        }
        fleet.append_all(Vec::new());
        fleet
    }

    /// Starts gangs that need only cores until the number of running tasks is reached.
    fn fill(&mut self) {
        for i in 0..self.tasks / GANG_MEMBERS {
            let id = format!("job-{i}");
            let job = self.job(&id, GANG_MEMBERS as u32, 0);
            self.append(Entry::Submit { job });
            let slots = (0..GANG_MEMBERS).map(|member| Slot {
                worker: self.names[(i * GANG_MEMBERS + member) % self.names.len()].clone(),
                mask: 0,
            });
            let slots = slots.collect();
            self.append(Entry::Place {
                job: id.as_str().into(),
                attempt: 0,
                slots,
            });
            self.report(&id, MemberState::Ready);
        }
    }

    fn job(&self, id: &str, members: u32, accelerators: u32) -> Job {
        let team = self.records as usize % WORKSPACES;
        Job {
            id: id.into(),
            workspace: format!("team-{team:02}").into(),
            kind: "work".into(),
            members,
            accelerators,
            cores: 1,
            memory_gb: 1,
            adjacency: Adjacency::Any,
            run_ms: 3_600_000,
        }
    }

    fn lose_worker(&mut self, i: usize) -> f64 {
        let worker = self.names[i % self.names.len()].clone();
        let report = |state| Entry::Worker {
            worker: worker.clone(),
            state,
            reason: "measured".into(),
        };
        self.append(report(WorkerState::Lost)) + self.append(report(WorkerState::Up))
    }

    fn change_kind(&mut self) {
        let version = self.ledger.catalog.kinds["work"].version;
        self.publish("kind/work", version, kind(1_000 + version % 1_000));
    }

    fn publish(&mut self, object: &str, replaces: u64, body: Value) {
        let offset = self.staged.next;
        let record = json!({"schema": 2, "change": format!("change-{offset}"),
            "object": object, "replaces": replaces, "body": body});
        self.staged.next += 1;
        self.staged.records.push_back(StagedRecord {
            offset,
            data: record.to_string().into_bytes(),
        });
    }

    fn report(&mut self, job: &str, state: MemberState) -> f64 {
        let Some(gang) = self.ledger.gangs.all.get(job) else {
            return 0.0;
        };
        let token = gang.token;
        let workers: Vec<Name> = gang.slots.iter().map(|s| s.worker.clone()).collect();
        let reports = workers.into_iter().map(|worker| Entry::Member {
            job: job.into(),
            token,
            worker,
            state,
            kept_ms: 0,
        });
        let reports: Vec<Entry> = reports.collect();
        reports.into_iter().map(|entry| self.append(entry)).sum()
    }

    fn append(&mut self, entry: Entry) -> f64 {
        self.append_all(vec![entry])
    }

    /// Applies one record, and returns how long this took, in microseconds.
    fn append_all(&mut self, entries: Vec<Entry>) -> f64 {
        self.records += 1;
        let batch = Batch {
            schema: CONTROL_SCHEMA,
            id: BatchId {
                writer: "vm-1/placer".into(),
                boot: 1,
                seq: self.records,
            },
            at_ms: 1_000_000 + self.records,
            cfg: self.staged.next,
            entries,
        };
        self.bytes += serde_json::to_vec(&batch).map_or(0, |text| text.len());
        let offset = self.ledger.next;
        let start = Instant::now();
        self.ledger.apply(offset, &batch, &mut self.staged);
        start.elapsed().as_secs_f64() * 1e6
    }
}

fn kind(deadline_ms: u64) -> Value {
    json!({"pool": "main", "deadline_ms": deadline_ms, "idempotent": true})
}
