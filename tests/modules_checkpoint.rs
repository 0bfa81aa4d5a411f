//! Checkpoints that are incomplete, interleaved or corrupt, over real sockets.

#![expect(clippy::unwrap_used, reason = "helpers of tests")]

use serde_json::Value;
use std::time::Duration;
use trefoilgauge::configs::LogConfig;
use trefoilgauge::modules::checkpoint;
use trefoilgauge::modules::checkpoint::Checkpoints;
use trefoilgauge::modules::engine::EffectHandler;
use trefoilgauge::modules::log;
use trefoilgauge::modules::log::HttpLog;
use trefoilgauge::prelude::*;
use trefoilgauge::records::Batch;
use trefoilgauge::records::BatchId;
use trefoilgauge::records::CONTROL_SCHEMA;
use trefoilgauge::records::Entry;
use trefoilgauge::reducer::Effect;
use trefoilgauge::reducer::State;
use trefoilgauge::reducer::ledger::Ledger;
use trefoilgauge::reducer::ledger::Staged;
use trefoilgauge::reducer::ledger::StagedRecord;
use trefoilgauge_standins::log::LogHandle;
use trefoilgauge_standins::log::LogOptions;

const CONFIG: [&str; 3] = [
    r#"{"schema":1,"change":"a","object":"pool/p","replaces":0,"body":{}}"#,
    r#"{"schema":1,"change":"b","object":"kind/k","replaces":0,"body":{"pool":"p","deadline_ms":1000}}"#,
    r#"{"schema":2,"change":"c","object":"workspace/w","replaces":0,"body":{"quota":8,"kinds":["k"]}}"#,
];

fn staged() -> Staged {
    let mut staged = Staged::default();
    for (i, text) in CONFIG.into_iter().enumerate() {
        staged.next = i as Offset + 1;
        staged.records.push_back(StagedRecord {
            offset: i as Offset,
            data: text.as_bytes().to_vec(),
        });
    }
    staged
}

fn batch(seq: u64) -> Batch {
    Batch {
        schema: CONTROL_SCHEMA,
        id: BatchId {
            writer: "vm-1/entry".into(),
            boot: 1,
            seq,
        },
        at_ms: 1_000 + seq,
        cfg: CONFIG.len() as Offset,
        entries: vec![Entry::Claim {
            req: format!("req-{seq}-{}", "r".repeat(100)).into(),
            workspace: "w".into(),
            kind: "k".into(),
            key: format!("key-{seq}-é").into(),
            print: seq,
        }],
    }
}

/// Applies the control records from the ledger's offset up to `end`.
fn replay(ledger: &mut Ledger, end: Offset) {
    let mut staged = staged();
    for offset in ledger.next..end {
        ledger.apply(offset, &batch(offset + 1), &mut staged);
    }
}

fn ledger_at(end: Offset) -> Ledger {
    let mut ledger = Ledger::default();
    replay(&mut ledger, end);
    ledger
}

async fn serve() -> (LogHandle, HttpLog) {
    let server = LogHandle::spawn(LogOptions::default()).await.unwrap();
    let http = log::open(&LogConfig {
        addr: server.addr().to_string().into(),
        ..LogConfig::default()
    });
    (server, http)
}

/// Returns the records of a checkpoint of the ledger at `end`.
async fn chunks(writer: &str, end: Offset) -> Vec<String> {
    let (server, http) = serve().await;
    let mut checkpoints = Checkpoints::new(Arc::new(http.clone()), writer.into(), 1);
    let mut state = State::default();
    state.ledger = ledger_at(end);
    checkpoints.handle(Effect::Checkpoint, &state);
    loop {
        if checkpoint::load(&http).await.unwrap().next == end {
            let records = server.records("checkpoint").into_iter();
            return records.map(|record| record.data).collect();
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns the offset of the checkpoint that is loaded from `records`.
async fn loaded(records: &[String]) -> Offset {
    let (server, http) = serve().await;
    for record in records {
        server.append("checkpoint", record.clone());
    }
    checkpoint::load(&http).await.unwrap().next
}

/// Returns `record` with one field replaced.
fn with(record: &str, key: &str, value: Value) -> String {
    let mut chunk: Value = serde_json::from_str(record).unwrap();
    chunk[key] = value;
    chunk.to_string()
}

#[tokio::test]
async fn the_newest_complete_checkpoint_is_loaded_despite_invalid_records() {
    let old = chunks("vm-1/placer", 1_500).await;
    let new = chunks("vm-2/placer", 2_000).await;
    assert!(old.len() > 1 && new.len() > 1);
    let mut interleaved = Vec::new();
    for (i, chunk) in new.iter().enumerate() {
        interleaved.push(chunk.clone());
        interleaved.extend(old.get(i).cloned());
    }
    let incomplete = new[..new.len() - 1].to_vec();
    let mut corrupt = new.clone();
    corrupt[0] = with(&new[0], "data", "{".into());
    let mut newer = new.clone();
    newer[0] = with(&new[0], "schema", 99.into());
    let mut duplicated = new.clone();
    duplicated.extend(new.clone());
    duplicated.reverse();
    let cases = [
        ("interleaved", interleaved, 2_000),
        ("incomplete", [old.clone(), incomplete].concat(), 1_500),
        (
            "hash mismatch",
            [old.clone(), corrupt.clone()].concat(),
            1_500,
        ),
        ("newer schema", [old.clone(), newer].concat(), 1_500),
        ("not JSON", [old.clone(), vec!["{".into()]].concat(), 1_500),
        ("older one last", [new.clone(), old.clone()].concat(), 2_000),
        ("duplicated and reversed", duplicated, 2_000),
        ("only a corrupt one", corrupt, 0),
    ];
    for (name, records, expected) in cases {
        assert_eq!(expected, loaded(&records).await, "{name}");
    }
}

#[tokio::test]
async fn a_checkpoint_plus_later_records_equals_a_replay_of_the_whole_log() {
    let (server, http) = serve().await;
    for record in chunks("vm-1/placer", 1_500).await {
        server.append("checkpoint", record);
    }
    let mut ledger = checkpoint::load(&http).await.unwrap();
    assert_eq!(1_500, ledger.next);
    replay(&mut ledger, 1_700);
    assert_eq!(ledger_at(1_700).digest(), ledger.digest());
}
