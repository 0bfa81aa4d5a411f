//! Mutated inputs: decoding never panics, never applies part of a change, and errors name the place.

#![expect(
    clippy::unwrap_used,
    reason = "A sample that cannot be read fails the test."
)]

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use serde_json::Value;
use serde_json::json;
use std::path::Path;
use trefoilgauge::configs::file;
use trefoilgauge::modules::callers::parse_job;
use trefoilgauge::modules::wire;
use trefoilgauge::prelude::*;
use trefoilgauge::records::Batch;
use trefoilgauge::reducer::event::Heartbeat;
use trefoilgauge::reducer::ledger::Ledger;
use trefoilgauge::reducer::ledger::Staged;
use trefoilgauge::reducer::ledger::StagedRecord;
use trefoilgauge::reducer::ledger::change;
use trefoilgauge::reducer::ledger::change::DecodeError;

const SEEDS: u64 = 1_000;
const SEED_BYTES: u64 = 256;

/// Checks a property on generated inputs; deterministic.
fn check(mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
    for seed in 0..SEEDS {
        arbtest::arbtest(&mut property)
            .seed(seed << 32 | SEED_BYTES)
            .run();
    }
}

fn sample(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/instituto");
    std::fs::read_to_string(root.join(name)).unwrap()
}

/// Mutates a few bytes: inserts, removes, replaces or repeats some.
fn mutate_bytes(u: &mut Unstructured<'_>, bytes: &mut Vec<u8>) -> Result<()> {
    for _ in 0..u.int_in_range(1..=4)? {
        let end = bytes.len().saturating_sub(1);
        let at = u.int_in_range(0..=end)?;
        match u.int_in_range(0..=3)? {
            0 => bytes.insert(at, u.arbitrary()?),
            1 if !bytes.is_empty() => drop(bytes.remove(at)),
            2 if !bytes.is_empty() => bytes[at] = *u.choose(b"{}[],:\"\\/*-0\xff")?,
            _ => {
                let to = (at + u.int_in_range(0..=40)?).min(bytes.len());
                let part = bytes[at..to].to_vec();
                bytes.splice(at..at, part);
            }
        }
    }
    Ok(())
}

/// Mutates one value somewhere inside: replaces, removes or adds it.
fn mutate_value(u: &mut Unstructured<'_>, value: &mut Value) -> Result<()> {
    let deeper = u.ratio(3, 4)?;
    match value {
        Value::Object(map) if deeper && !map.is_empty() => {
            let keys: Vec<String> = map.keys().cloned().collect();
            let key = u.choose(&keys)?;
            if u.ratio(1, 8)? {
                map.remove(key);
                return Ok(());
            }
            if u.ratio(1, 8)? {
                map.insert(format!("{key}/~"), json!(1));
                return Ok(());
            }
            mutate_value(u, map.get_mut(key).unwrap())
        }
        Value::Array(list) if deeper && !list.is_empty() => {
            let at = u.choose_index(list.len())?;
            mutate_value(u, &mut list[at])
        }
        _ => {
            let texts = ["", "w1", "k", "é", "a/b", "127.0.0.1:1"];
            let fault = match value {
                Value::Number(_) if u.ratio(1, 2)? => 2,
                Value::String(_) if u.ratio(1, 2)? => 5,
                _ => u.int_in_range(0..=7)?,
            };
            *value = match fault {
                0 => Value::Null,
                1 => json!(u.arbitrary::<bool>()?),
                2 => json!(*u.choose(&[0, 1, 63, 64, 65, u64::from(u32::MAX), u64::MAX])?),
                3 => json!(-1),
                4 => json!(0.5),
                5 => json!(u.choose(&texts)?),
                6 => json!([u.arbitrary::<u8>()?]),
                _ => json!({"k": 1}),
            };
            Ok(())
        }
    }
}

/// Checks that there are findings, and that each place starts with `prefix` or is the root.
fn assert_placed(findings: &Findings, prefix: &str) {
    assert!(!findings.is_empty());
    for finding in &findings.list {
        let whole = finding.place.is_empty() || finding.place.starts_with(prefix);
        assert!(whole && !finding.text.is_empty(), "{finding:?}");
    }
}

#[test]
fn mutated_settings_are_refused_with_file_and_line_or_are_valid() {
    let text = sample("vm-1.jsonc");
    let mut refused = 0;
    check(|u| {
        let mut bytes = text.clone().into_bytes();
        mutate_bytes(u, &mut bytes)?;
        let mutated = String::from_utf8_lossy(&bytes);
        match file::parse("vm.jsonc", &mutated) {
            Err(findings) => {
                refused += 1;
                assert_placed(&findings, "vm.jsonc:");
                assert!(findings.list.iter().all(|one| one.place.contains(':')));
            }
            Ok(settings) => {
                let again = serde_json::to_string(&settings).unwrap();
                assert_eq!(Ok(settings), file::parse("again", &again));
            }
        }
        Ok(())
    });
    assert!(refused > SEEDS / 2, "{refused}");
}

#[test]
fn mutated_changes_of_both_schemas_apply_completely_or_not_at_all() {
    let names = [
        "config/01-pool-scoring.json",
        "config/03-kind-entry_submission.json",
        "config/04-kind-relief_scan.json",
        "config/06-rack-rack-1.json",
        "config/13-workspace-judges.json",
        "config/14-workspace-sculptors.json",
    ];
    let records: Vec<Value> = names
        .iter()
        .map(|name| serde_json::from_str(&sample(name)).unwrap())
        .collect();
    let mut refused = 0;
    check(|u| {
        let mut record = u.choose(&records)?.clone();
        mutate_value(u, &mut record)?;
        let mut data = record.to_string().into_bytes();
        if u.ratio(1, 4)? {
            mutate_bytes(u, &mut data)?;
        }
        let decoded = change::decode(&data);
        if let Err(DecodeError::Invalid(findings)) = &decoded {
            refused += 1;
            assert_placed(findings, "/");
        }
        let mut ledger = Ledger::default();
        let mut staged = Staged::default();
        staged.records.push_back(StagedRecord { offset: 0, data });
        staged.next = 1;
        let batch = batch(&json!([]), 1);
        ledger.apply(0, &batch, &mut staged);
        let ruled = ledger.catalog.ruled.back().unwrap();
        if ruled.refused.is_empty() && ruled.newer.is_none() {
            assert!(decoded.is_ok());
            return Ok(());
        }
        let catalog = &ledger.catalog;
        let objects = catalog.pools.len()
            + catalog.kinds.len()
            + catalog.racks.len()
            + catalog.workspaces.len();
        assert_eq!((0, 0), (objects, ledger.fleet.hosts.len()));
        Ok(())
    });
    assert!(refused > SEEDS / 4, "{refused}");
}

fn batch(entries: &Value, cfg: u64) -> Batch {
    serde_json::from_value(
        json!({"schema": 1, "at_ms": 1_000, "cfg": cfg, "entries": entries,
        "id": {"writer": "vm-1/placer", "boot": 1, "seq": cfg}}),
    )
    .unwrap()
}

/// Returns a ledger with a placed gang, a queued gang and a claimed request.
fn ledger() -> Ledger {
    let mut ledger = Ledger::default();
    let mut staged = Staged::default();
    let bodies = [
        ("pool/p", json!({})),
        (
            "kind/k",
            json!({"pool": "p", "deadline_ms": 1000, "idempotent": true}),
        ),
        (
            "rack/a",
            json!({"centre": "c", "workers": [
            {"name": "w1", "addr": "10.0.0.1:1", "accelerators": 8, "cores": 8, "memory_gb": 8}]}),
        ),
        ("workspace/w", json!({"quota": 8, "kinds": ["k"]})),
    ];
    for (offset, (object, body)) in (0..).zip(bodies) {
        let record = json!({"schema": 2, "change": "c", "object": object, "replaces": 0,
            "body": body});
        let data = record.to_string().into_bytes();
        staged.records.push_back(StagedRecord { offset, data });
        staged.next = offset + 1;
    }
    let first = batch(
        &json!([
            {"entry": "submit", "job": job("j1")},
            {"entry": "submit", "job": job("j2")},
            {"entry": "place", "job": "j1", "attempt": 0, "slots": [{"worker": "w1", "mask": 3}]},
            {"entry": "claim", "req": "r1", "workspace": "w", "kind": "k", "key": "x", "print": 1},
        ]),
        4,
    );
    let applied = ledger.apply(0, &first, &mut staged);
    assert!(applied.verdicts.iter().all(|ruling| ruling.verdict.is_ok()));
    ledger
}

fn job(id: &str) -> Value {
    json!({"id": id, "workspace": "w", "kind": "k", "members": 1, "accelerators": 2, "cores": 1,
        "memory_gb": 1, "adjacency": "worker", "run_ms": 1000})
}

#[test]
fn mutated_control_entries_that_are_void_change_no_gang_or_worker() {
    let base = ledger();
    let entries = [
        json!({"entry": "submit", "job": job("j3")}),
        json!({"entry": "cancel", "job": "j1"}),
        json!({"entry": "place", "job": "j2", "attempt": 0,
            "slots": [{"worker": "w1", "mask": 12}]}),
        json!({"entry": "reclaim", "job": "j1", "token": 0, "waiter": "j2"}),
        json!({"entry": "reject", "job": "j2", "reason": "never"}),
        json!({"entry": "member", "job": "j1", "token": 0, "worker": "w1", "state": "ready",
            "kept_ms": 5}),
        json!({"entry": "worker", "worker": "w1", "state": "lost", "reason": "silent"}),
        json!({"entry": "settle", "req": "r1", "workspace": "w", "key": "x",
            "outcome": {"is": "done", "status": 200, "media": "", "body": "00"}}),
    ];
    let mut void = 0;
    let mut garbled = 0;
    check(|u| {
        let entry = u.choose(&entries)?;
        let mut record = serde_json::to_value(batch(&json!([entry]), 5)).unwrap();
        mutate_value(u, &mut record["entries"][0])?;
        let Ok(batch) = serde_json::from_value::<Batch>(record) else {
            garbled += 1;
            return Ok(());
        };
        let mut ledger = base.clone();
        let mut staged = Staged::default();
        let applied = ledger.apply(1, &batch, &mut staged);
        if applied
            .verdicts
            .iter()
            .all(|ruling| ruling.verdict.is_err())
        {
            void += 1;
            assert_eq!(base.gangs, ledger.gangs);
            assert_eq!(base.fleet, ledger.fleet);
        }
        Ok(())
    });
    assert!(void > 100 && garbled > 100, "{void} {garbled}");
}

#[test]
fn mutated_bytes_of_a_control_record_are_decoded_or_refused() {
    let text = serde_json::to_vec(&batch(&json!([{"entry": "submit", "job": job("j")}]), 1));
    let text = text.unwrap();
    check(|u| {
        let mut bytes = text.clone();
        mutate_bytes(u, &mut bytes)?;
        if let Err(error) = serde_json::from_slice::<Batch>(&bytes) {
            assert!(error.to_string().contains("column"), "{error}");
        }
        Ok(())
    });
}

#[test]
fn mutated_job_bodies_are_refused_with_the_field() {
    let body = json!({"id": "j", "kind": "k", "members": 2, "accelerators": 2, "cores": 1,
        "memory_gb": 1, "adjacency": "rack", "run_ms": 1000});
    let mut refused = 0;
    check(|u| {
        let mut value = body.clone();
        mutate_value(u, &mut value)?;
        let mut findings = Findings::default();
        let job = parse_job(&value, "w", &"req-1".into(), &mut findings);
        if job.is_none() || !findings.is_empty() {
            refused += 1;
            assert_placed(&findings, "body");
        }
        Ok(())
    });
    assert!(refused > SEEDS / 4, "{refused}");
}

#[test]
fn mutated_peer_frames_are_decoded_or_refused() {
    let beat = wire::Heartbeat {
        from: "vm-1/entry".to_owned(),
        centre: "c".to_owned(),
        boot: 7,
        loads: vec![wire::Load {
            runner: "r1".to_owned(),
            flight: 3,
        }],
        digest_at: 9,
        ..wire::Heartbeat::default()
    };
    let bytes = prost::Message::encode_to_vec(&beat);
    let mut whole = 0;
    check(|u| {
        let mut mutated = bytes.clone();
        mutate_bytes(u, &mut mutated)?;
        if let Ok(decoded) = <wire::Heartbeat as prost::Message>::decode(mutated.as_slice()) {
            whole += 1;
            let beat = Heartbeat::from(decoded);
            assert!(beat.digest.is_none_or(|digest| digest.at > 0));
        }
        Ok(())
    });
    assert!(whole > 0);
}
