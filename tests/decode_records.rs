//! Configuration records: all findings are reported with their place, and changes are atomic.

#![expect(clippy::unwrap_used, reason = "A set-up that fails fails the test.")]

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeSet;
use trefoilgauge::findings::SHORT_MAX_BYTES;
use trefoilgauge::model::Adjacency;
use trefoilgauge::model::Job;
use trefoilgauge::prelude::*;
use trefoilgauge::records::Batch;
use trefoilgauge::records::BatchId;
use trefoilgauge::records::CONTROL_SCHEMA;
use trefoilgauge::records::Entry;
use trefoilgauge::reducer::ledger::Ledger;
use trefoilgauge::reducer::ledger::Staged;
use trefoilgauge::reducer::ledger::StagedRecord;
use trefoilgauge::reducer::ledger::catalog::Catalog;
use trefoilgauge::reducer::ledger::catalog::ChangeVerdict;
use trefoilgauge::reducer::ledger::catalog::MAX_FINDINGS;
use trefoilgauge::reducer::ledger::change;
use trefoilgauge::reducer::ledger::change::DecodeError;

/// A configuration log and the ledger that applies it; starts with one pool, kind, rack and workspace.
struct Log {
    ledger: Ledger,
    staged: Staged,
    seq: u64,
}

impl Log {
    fn open() -> Self {
        let mut log = Self {
            ledger: Ledger::default(),
            staged: Staged::default(),
            seq: 0,
        };
        let bodies = [
            ("pool/p", json!({"runners": [runner("r1")]})),
            (
                "kind/k",
                json!({"pool": "p", "deadline_ms": 1000, "idempotent": true}),
            ),
            (
                "rack/a",
                json!({"centre": "c", "workers": [worker("w1"), worker("w2")]}),
            ),
            ("workspace/w", json!({"quota": 8, "kinds": ["k"]})),
        ];
        for (object, body) in bodies {
            assert_eq!("", log.publish(object, body).refused.to_string());
        }
        log
    }

    /// Publishes a change to the current version of an object, and returns its verdict.
    fn publish(&mut self, object: &str, body: Value) -> ChangeVerdict {
        let (class, name) = object.split_once('/').unwrap();
        let class = serde_json::from_value(json!(class)).unwrap();
        let replaces = self.ledger.catalog.version(class, name);
        let record = json!({"schema": 2, "change": "c", "object": object, "replaces": replaces,
            "body": body});
        self.rule(record.to_string().into_bytes())
    }

    /// Stages a configuration record, puts it in force and returns its verdict.
    fn rule(&mut self, data: Vec<u8>) -> ChangeVerdict {
        let offset = self.staged.next;
        self.staged.next += 1;
        self.staged.records.push_back(StagedRecord { offset, data });
        self.append(Vec::new());
        self.ledger.catalog.ruled.back().unwrap().clone()
    }

    fn append(&mut self, entries: Vec<Entry>) {
        self.seq += 1;
        let batch = Batch {
            schema: CONTROL_SCHEMA,
            id: BatchId {
                writer: "vm-1/entry".into(),
                boot: 1,
                seq: self.seq,
            },
            at_ms: 1_000,
            cfg: self.staged.next,
            entries,
        };
        let offset = self.ledger.next;
        self.ledger.apply(offset, &batch, &mut self.staged);
    }
}

fn runner(name: &str) -> Value {
    json!({"name": name, "centre": "c", "addr": "10.0.0.1:1"})
}

fn worker(name: &str) -> Value {
    json!({"name": name, "addr": "10.0.0.1:1", "accelerators": 8, "cores": 8, "memory_gb": 8})
}

fn findings(record: &Value) -> String {
    match change::decode(record.to_string().as_bytes()) {
        Ok(_) => String::new(),
        Err(DecodeError::Invalid(findings)) => findings.to_string(),
        Err(DecodeError::TooNew(schema)) => format!("schema {schema}"),
    }
}

fn record(schema: u64, object: &str, body: Value) -> Value {
    json!({"schema": schema, "change": "c", "object": object, "replaces": 0, "body": body})
}

#[test]
fn all_findings_of_a_record_are_reported_together() {
    let twice = json!([runner("r"), runner("r"), {"name": "R", "addr": "host:1"}]);
    let record = json!({"schema": 2, "change": "", "object": "pool/p", "replaces": -1,
        "body": {"slots": 0, "runners": twice, "size": 1}, "more": true});
    insta::assert_snapshot!(findings(&record), @r"
    /change: must be 1 to 64 lower-case letters, digits, '.', '_' or '-'
    /replaces: must be a whole number from 0 to 18446744073709551615
    /more: is not known here
    /body/slots: must be a whole number from 1 to 4096
    /body/runners/1/name: r stands twice in the list
    /body/runners/2/name: must be 1 to 64 lower-case letters, digits, '.', '_' or '-'
    /body/runners/2/centre: is missing: a text
    /body/runners/2/addr: must be IP:port
    /body/size: is not known here
    ");
}

#[test]
fn each_schema_has_its_own_fields() {
    let cases = [
        (
            1,
            "workspace/w",
            json!({"quota": 1, "guarantees": []}),
            "/body/guarantees",
        ),
        (
            2,
            "workspace/w",
            json!({"quota": 1, "guaranteed": {}}),
            "/body/guaranteed",
        ),
        (
            1,
            "kind/k",
            json!({"pool": "p", "deadline_ms": 1, "checkpoint": true}),
            "/body/check",
        ),
        (3, "kind/k", json!({}), "schema 3"),
        (0, "kind/k", json!({}), "/schema: must be"),
        (
            2,
            "rack/a",
            json!({"centre": "c", "workers": [worker("x"), worker("x")]}),
            "twice",
        ),
        (
            2,
            "workspace/w",
            json!({"quota": 1, "kinds": ["k", "k"]}),
            "/body/kinds/1: k stands",
        ),
        (
            2,
            "pool/p",
            json!({"runners": vec![1; 4_097]}),
            "must have at most 4096 items",
        ),
        (
            2,
            "weights/other",
            json!({"completion": 1}),
            "must be weights/main",
        ),
        (2, "pool/a/b", json!({}), "/object: must be 1 to 64"),
        (2, "pool/p", json!([]), "/body: must be an object"),
    ];
    for (schema, object, body, expected) in cases {
        let actual = findings(&record(schema, object, body));
        assert!(actual.contains(expected), "{object}: {actual}");
    }
    let without = json!({"schema": 2, "change": "c", "object": "pool/p", "replaces": 0});
    assert!(findings(&without).starts_with("/body: is missing"));
}

#[test]
fn empty_lists_are_accepted() {
    let mut log = Log::open();
    let cases = [
        ("pool/p", json!({"runners": []})),
        (
            "workspace/w",
            json!({"quota": 0, "kinds": [], "guarantees": []}),
        ),
        ("rack/a", json!({"centre": "c", "workers": []})),
    ];
    for (object, body) in cases {
        assert_eq!(
            "",
            log.publish(object, body).refused.to_string(),
            "{object}"
        );
    }
    assert!(log.ledger.fleet.hosts.is_empty());
}

#[test]
fn references_from_and_to_a_changed_object_are_checked() {
    let mut log = Log::open();
    let cases = [
        (
            "kind/x",
            json!({"pool": "q", "deadline_ms": 1}),
            "/body/pool: there is no pool q",
        ),
        (
            "workspace/x",
            json!({"quota": 1, "kinds": ["k", "x"]}),
            "/body/kinds/1: there is no",
        ),
        (
            "workspace/x",
            json!({"quota": 1, "guarantees": [{"accelerators": 2}]}),
            "/body/quota",
        ),
        (
            "workspace/x",
            json!({"quota": 99, "guarantees": [{"accelerators": 17}]}),
            "17 acc",
        ),
        (
            "rack/b",
            json!({"centre": "c", "workers": [worker("w2")]}),
            "w2 is in rack a",
        ),
        ("pool/p", Value::Null, "/object: is in use by kind/k"),
        ("kind/k", Value::Null, "/object: is in use by workspace/w"),
        ("kind/x", Value::Null, "/object: there is nothing to remove"),
    ];
    for (object, body, expected) in cases {
        let before = log.ledger.catalog.clone();
        let actual = log.publish(object, body).refused.to_string();
        assert!(actual.contains(expected), "{object}: {actual}");
        assert_same(&before, &log.ledger.catalog);
    }
}

#[test]
fn a_workspace_is_removed_only_once_its_jobs_have_ended() {
    let mut log = Log::open();
    let job = Job {
        id: "j1".into(),
        workspace: "w".into(),
        kind: "k".into(),
        members: 1,
        accelerators: 1,
        cores: 1,
        memory_gb: 1,
        adjacency: Adjacency::Any,
        run_ms: 1,
    };
    log.append(vec![Entry::Submit { job }]);
    let refused = log.publish("workspace/w", Value::Null).refused;
    assert_eq!("/object: is in use by job j1", refused.to_string());
    log.append(vec![Entry::Cancel { job: "j1".into() }]);
    for object in ["workspace/w", "kind/k", "pool/p", "rack/a"] {
        let refused = log.publish(object, Value::Null).refused;
        assert_eq!("", refused.to_string(), "{object}");
    }
}

#[test]
fn a_worker_moves_to_another_rack_in_two_changes() {
    let mut log = Log::open();
    let rest = json!({"centre": "c", "workers": [worker("w1")]});
    assert_eq!("", log.publish("rack/a", rest).refused.to_string());
    let other = json!({"centre": "d", "workers": [worker("w2")]});
    assert_eq!("", log.publish("rack/b", other).refused.to_string());
    assert_eq!("d", &*log.ledger.fleet.hosts["w2"].centre);
}

#[test]
fn no_change_is_decided_after_an_unknown_schema() {
    let mut log = Log::open();
    let newer = json!({"schema": 3, "change": "n", "object": "pool/p", "replaces": 1, "body": {}});
    let data = newer.to_string().into_bytes();
    let offset = log.staged.next;
    log.staged.next += 1;
    log.staged.records.push_back(StagedRecord { offset, data });
    let before = log.ledger.catalog.clone();
    let entry = Entry::Claim {
        req: "r1".into(),
        workspace: "w".into(),
        kind: "k".into(),
        key: "x".into(),
        print: 1,
    };
    let ruled = log.publish("pool/p", json!({"slots": 1}));
    assert_eq!(Some(3), ruled.newer);
    for _ in 0..2 {
        log.append(vec![entry.clone()]);
    }
    assert_eq!(None, log.ledger.claims.get(&"w".into(), &"x".into()));
    let expected = Catalog {
        too_new: Some(offset),
        ..before
    };
    assert_same(&expected, &log.ledger.catalog);
}

#[test]
fn the_stored_findings_of_a_refusal_are_bounded() {
    let mut log = Log::open();
    let unknown: serde_json::Map<String, Value> =
        (0..1_000).map(|i| (format!("k{i}"), json!(1))).collect();
    let refused = log.publish("pool/p", Value::Object(unknown)).refused;
    assert_eq!(MAX_FINDINGS + 1, refused.list.len());
    let more = format!("{} more findings are not listed", 1_000 - MAX_FINDINGS);
    assert_eq!(more, refused.list[MAX_FINDINGS].text);
    let long = json!({"é".repeat(100_000): 1});
    let refused = log.publish("pool/p", long).refused;
    assert!(refused.list[0].place.len() <= SHORT_MAX_BYTES + 3);
}

/// Checks that two catalogues have the same objects.
fn assert_same(expected: &Catalog, actual: &Catalog) {
    let strip = |catalog: &Catalog| Catalog {
        next: 0,
        ruled: Default::default(),
        ..catalog.clone()
    };
    assert_eq!(strip(expected), strip(actual));
}

/// Checks the invariants that hold after every change.
fn assert_consistent(ledger: &Ledger) {
    let catalog = &ledger.catalog;
    for kind in catalog.kinds.values() {
        assert!(catalog.pools.contains_key(&kind.value.pool));
    }
    let mut promised = 0;
    for workspace in catalog.workspaces.values() {
        let workspace = &workspace.value;
        assert!(
            workspace
                .kinds
                .iter()
                .all(|kind| catalog.kinds.contains_key(kind))
        );
        let shapes = workspace.guarantees.iter();
        promised += shapes
            .map(|one| one.count * one.shape.accelerators)
            .sum::<u32>();
    }
    let workers: Vec<_> = catalog
        .racks
        .values()
        .flat_map(|rack| &rack.value.workers)
        .collect();
    let have: u32 = workers.iter().map(|worker| worker.accelerators).sum();
    assert!(promised <= have);
    let names: BTreeSet<&Name> = workers.iter().map(|worker| &worker.name).collect();
    assert_eq!(workers.len(), names.len());
    let hosts: BTreeSet<&Name> = ledger.fleet.hosts.keys().collect();
    assert_eq!(names, hosts);
}

/// Generates a change with a valid body for one of a few objects.
fn arbitrary_change(u: &mut Unstructured<'_>) -> Result<(String, Value)> {
    let name = *u.choose(&["a", "b", "c"])?;
    let other = *u.choose(&["a", "b", "c"])?;
    let class = *u.choose(&["pool", "kind", "rack", "workspace"])?;
    let body = match class {
        _ if u.ratio(1, 4)? => Value::Null,
        "pool" => json!({"slots": u.int_in_range(1..=9)?}),
        "kind" => json!({"pool": other, "deadline_ms": 1}),
        "rack" => {
            let first = u.int_in_range(0..=3)?;
            let workers: Vec<Value> = (first..first + u.int_in_range(0..=3)?)
                .map(|i| worker(&format!("w{i}")))
                .collect();
            json!({"centre": "c", "workers": workers})
        }
        _ => json!({"quota": 32, "kinds": [other],
            "guarantees": [{"accelerators": u.int_in_range(1..=16)?}]}),
    };
    Ok((format!("{class}/{name}"), body))
}

#[test]
fn changes_are_atomic_and_keep_the_configuration_consistent() {
    let mut accepted = 0;
    for seed in 0..64_u64 {
        let run = |u: &mut Unstructured<'_>| {
            let mut log = Log::open();
            let mut twin = Log::open();
            while !u.is_empty() {
                let (object, body) = arbitrary_change(u)?;
                let before = log.ledger.catalog.clone();
                let ruled = log.publish(&object, body.clone());
                if ruled.refused.is_empty() {
                    accepted += 1;
                } else {
                    assert_same(&before, &log.ledger.catalog);
                }
                assert_eq!(ruled, twin.publish(&object, body));
                assert_consistent(&log.ledger);
            }
            assert_eq!(log.ledger.digest(), twin.ledger.digest());
            Ok(())
        };
        arbtest::arbtest(run).seed(seed << 32 | 512).run();
    }
    assert!(accepted > 500, "{accepted}");
}
