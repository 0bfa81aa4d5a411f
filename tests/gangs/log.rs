//! A log for tests, which publishes configuration, appends entries and checks the invariants.

use serde_json::Value;
use serde_json::json;
use std::collections::BTreeMap;
use trefoilgauge::configs::GangsConfig;
use trefoilgauge::model::Adjacency;
use trefoilgauge::model::Job;
use trefoilgauge::prelude::*;
use trefoilgauge::records::Batch;
use trefoilgauge::records::BatchId;
use trefoilgauge::records::CONTROL_SCHEMA;
use trefoilgauge::records::Entry;
use trefoilgauge::records::MemberState;
use trefoilgauge::records::Slot;
use trefoilgauge::records::Verdict;
use trefoilgauge::records::WorkerState;
use trefoilgauge::reducer::ledger::Ledger;
use trefoilgauge::reducer::ledger::Staged;
use trefoilgauge::reducer::ledger::StagedRecord;
use trefoilgauge::reducer::ledger::gangs::Gang;
use trefoilgauge::reducer::plan::guarantee;
use trefoilgauge::reducer::plan::round;

/// The wall time at which every test log starts, in milliseconds.
pub(crate) const START_MS: u64 = 1_000_000;

#[derive(Debug, Default)]
pub(crate) struct Log {
    pub(crate) ledger: Ledger,
    pub(crate) staged: Staged,
    pub(crate) now_ms: u64,
    pub(crate) config: GangsConfig,
    seq: u64,
}

impl Log {
    /// Opens a log with `racks` racks of `workers` workers with 8 accelerators each, and four kinds:
    /// `scan` can be checkpointed, `check` is urgent and idempotent, `sweep` is patient and
    /// idempotent, `invoice` cannot be stopped.
    pub(crate) fn open(racks: usize, workers: usize) -> Self {
        let mut log = Self {
            now_ms: START_MS,
            ..Self::default()
        };
        log.publish("pool/p", 0, json!({}));
        let kinds = [
            ("scan", json!({"priority": "normal", "checkpoint": true})),
            ("check", json!({"priority": "urgent", "idempotent": true})),
            ("sweep", json!({"priority": "patient", "idempotent": true})),
            ("invoice", json!({"priority": "normal"})),
        ];
        for (name, mut body) in kinds {
            body["pool"] = json!("p");
            body["deadline_ms"] = json!(1000);
            log.publish(&format!("kind/{name}"), 0, body);
        }
        for rack in 0..racks {
            log.rack(rack, workers);
        }
        log
    }

    pub(crate) fn rack(&mut self, rack: usize, workers: usize) {
        let list: Vec<Value> = (0..workers)
            .map(|i| {
                json!({"name": format!("w{rack}-{i}"), "addr": "127.0.0.1:1",
                    "accelerators": 8, "cores": 64, "memory_gb": 128})
            })
            .collect();
        let body = json!({"centre": format!("c{}", rack % 2), "workers": list});
        self.publish(&format!("rack/r{rack}"), 0, body);
    }

    pub(crate) fn workspace(&mut self, name: &str, quota: u32, guarantees: Value) {
        let body = json!({"quota": quota, "guarantees": guarantees,
            "kinds": ["scan", "check", "sweep", "invoice"]});
        let object = format!("workspace/{name}");
        let held = self.ledger.catalog.workspaces.get(name);
        let version = held.map_or(0, |held| held.version);
        self.publish(&object, version, body);
    }

    pub(crate) fn publish(&mut self, object: &str, replaces: u64, body: Value) {
        let offset = self.staged.next;
        let record = json!({"schema": 2, "change": format!("c{offset}"), "object": object,
            "replaces": replaces, "body": body});
        self.staged.next += 1;
        self.staged.records.push_back(StagedRecord {
            offset,
            data: record.to_string().into_bytes(),
        });
    }

    /// Puts the published configuration in force; returns the findings of the last change.
    pub(crate) fn enforce(&mut self) -> String {
        self.batch(Vec::new());
        let last = self.ledger.catalog.ruled.back().unwrap();
        last.refused.to_string()
    }

    pub(crate) fn batch(&mut self, entries: Vec<Entry>) -> Vec<Verdict> {
        self.seq += 1;
        let batch = Batch {
            schema: CONTROL_SCHEMA,
            id: BatchId {
                writer: "vm-1/placer".into(),
                boot: 1,
                seq: self.seq,
            },
            at_ms: self.now_ms,
            cfg: self.staged.next,
            entries,
        };
        let offset = self.ledger.next;
        let applied = self.ledger.apply(offset, &batch, &mut self.staged);
        applied
            .verdicts
            .into_iter()
            .map(|one| one.verdict)
            .collect()
    }

    pub(crate) fn append(&mut self, entry: Entry) -> Verdict {
        self.batch(vec![entry]).remove(0)
    }

    pub(crate) fn submit(&mut self, job: Job) -> Verdict {
        self.append(Entry::Submit { job })
    }

    /// Runs rounds of planning until nothing more is proposed; returns the entries.
    pub(crate) fn plan(&mut self) -> Vec<Entry> {
        let mut accepted = Vec::new();
        for _ in 0..8 {
            let entries = round::propose(&self.ledger, &self.config, self.now_ms);
            if entries.is_empty() {
                break;
            }
            for entry in entries {
                let verdict = self.append(entry.clone());
                assert_eq!(Ok(()), verdict, "a proposed entry is void: {entry:?}");
                accepted.push(entry);
            }
        }
        accepted
    }

    pub(crate) fn place(&mut self, job: &str, slots: &[(&str, u64)]) -> Verdict {
        let attempt = self.gang(job).attempt;
        let slots = slots.iter().map(|(worker, mask)| Slot {
            worker: (*worker).into(),
            mask: *mask,
        });
        let slots = slots.collect();
        let job = job.into();
        self.append(Entry::Place {
            job,
            attempt,
            slots,
        })
    }

    /// Reports the same state from each worker of a gang.
    pub(crate) fn report(&mut self, job: &str, state: MemberState, kept_ms: u64) {
        let gang = self.gang(job);
        let token = gang.token;
        let mut workers: Vec<Name> = gang.slots.iter().map(|s| s.worker.clone()).collect();
        workers.dedup();
        for worker in workers {
            let _verdict = self.append(Entry::Member {
                job: job.into(),
                token,
                worker,
                state,
                kept_ms,
            });
        }
    }

    pub(crate) fn start(&mut self, job: &str) {
        self.report(job, MemberState::Ready, 0);
    }

    pub(crate) fn worker(&mut self, worker: &str, state: WorkerState) -> Verdict {
        self.append(Entry::Worker {
            worker: worker.into(),
            state,
            reason: "test".into(),
        })
    }

    pub(crate) fn gang(&self, job: &str) -> &Gang {
        self.ledger.gangs.all.get(job).unwrap()
    }

    /// Returns the invariant of the gangs that is violated, if there is one.
    pub(crate) fn violation(&self) -> Option<String> {
        if let Err(text) = guarantee::verify(&self.ledger) {
            return Some(text);
        }
        let mut held: BTreeMap<&Name, u64> = BTreeMap::new();
        let mut quota: BTreeMap<&Name, u64> = BTreeMap::new();
        for (name, gang) in &self.ledger.gangs.all {
            if gang.holds_slots() && gang.slots.len() != gang.job.members as usize {
                return Some(format!("{name} holds only some of its slots"));
            }
            if gang.holds_slots() != self.ledger.gangs.holding.contains(name)
                || gang.is_queued() != self.ledger.gangs.queued.contains(name)
            {
                return Some(format!("{name} is in the wrong index"));
            }
            for slot in &gang.slots {
                let mask = held.entry(&slot.worker).or_insert(0);
                if *mask & slot.mask != 0 {
                    return Some(format!("{} is held twice", slot.worker));
                }
                *mask |= slot.mask;
                *quota.entry(&gang.job.workspace).or_insert(0) += u64::from(slot.mask.count_ones());
            }
        }
        for (name, host) in &self.ledger.fleet.hosts {
            if host.held != held.get(name).copied().unwrap_or(0) {
                return Some(format!(
                    "the held accelerators of worker {name} are counted wrongly"
                ));
            }
        }
        let counts = &self.ledger.gangs.held;
        let wrong = counts
            .iter()
            .find(|(name, count)| **count != quota.get(name).copied().unwrap_or(0));
        wrong.map(|(name, _)| {
            format!("the held accelerators of workspace {name} are counted wrongly")
        })
    }
}

pub(crate) fn job(id: &str, workspace: &str, kind: &str, members: u32, accelerators: u32) -> Job {
    Job {
        id: id.into(),
        workspace: workspace.into(),
        kind: kind.into(),
        members,
        accelerators,
        cores: 1,
        memory_gb: 1,
        adjacency: Adjacency::Any,
        run_ms: 60_000,
    }
}

pub(crate) fn with_adjacency(mut job: Job, adjacency: Adjacency) -> Job {
    job.adjacency = adjacency;
    job
}

pub(crate) fn shapes(list: &[(u32, &str, u32)]) -> Value {
    let list = list.iter().map(|(accelerators, adjacency, count)| {
        json!({"accelerators": accelerators, "adjacency": adjacency, "count": count})
    });
    list.collect()
}
