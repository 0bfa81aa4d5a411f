//! Checkpoints: snapshots of the ledger in the platform's log, so that a VM can start without
//! replaying the whole control stream.
//!
//! A checkpoint is split into chunks that fit into the log's records. It is used only if all chunks
//! are present and the hash of their concatenation matches.

use super::engine::EffectHandler;
use super::log::CHECKPOINT_STREAM;
use super::log::Log;
use super::log::Result;
use crate::events;
use crate::events::Note;
use crate::prelude::*;
use crate::reducer::Effect;
use crate::reducer::State;
use crate::reducer::ledger::Ledger;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The schema of the checkpoint stream.
const CHECKPOINT_SCHEMA: u32 = 1;
/// The maximum size of a chunk, in bytes of text before JSON escaping.
const CHUNK_BYTES: usize = 262_144;
/// The maximum number of attempts to append one chunk.
const MAX_ATTEMPTS: u32 = 120;
/// The delay after a failed append, in milliseconds.
const RETRY_DELAY_MS: u64 = 500;
/// The maximum number of records that one read of the stream returns.
const PAGE_RECORDS: u64 = 64;

/// One chunk of a checkpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Chunk {
    schema: u32,
    writer: Name,
    boot: u64,
    at: Offset,
    index: u32,
    count: u32,
    hash: u64,
    data: String,
}

/// Identifies a checkpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct CheckpointId {
    at: Offset,
    writer: Name,
    boot: u64,
    hash: u64,
}

/// Writes checkpoints; an effect that arrives while one is being written is ignored.
pub struct Checkpoints {
    log: Arc<dyn Log>,
    writer: Name,
    boot: u64,
    writing: Arc<AtomicBool>,
}

impl std::fmt::Debug for Checkpoints {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Checkpoints")
    }
}

impl Checkpoints {
    /// Creates a checkpoint writer.
    pub fn new(log: Arc<dyn Log>, writer: Name, boot: u64) -> Self {
        Self {
            log,
            writer,
            boot,
            writing: Arc::new(AtomicBool::new(false)),
        }
    }
}

impl EffectHandler for Checkpoints {
    fn handle(&mut self, _effect: Effect, state: &State) {
        if self.writing.swap(true, Ordering::AcqRel) {
            return;
        }
        let ledger = state.ledger.clone();
        let boot = self.boot;
        let log = self.log.clone();
        let writing = self.writing.clone();
        let writer = self.writer.clone();
        let cfg = state.ledger.catalog.next;
        let at = state.ledger.next;
        tokio::spawn(async move {
            let own = writer.clone();
            let encoding = tokio::task::spawn_blocking(move || to_chunks(&own, boot, &ledger));
            let chunks = encoding.await.unwrap_or_default();
            if append_chunks(&*log, &chunks).await {
                let note = Note::new(&events::CHECKPOINT_WRITTEN, &writer, cfg);
                note.with("at", at).with("chunks", chunks.len()).log();
            }
            writing.store(false, Ordering::Release);
        });
    }
}

/// Serializes a ledger and splits it into chunks; too slow to run on the reducer's task.
fn to_chunks(writer: &Name, boot: u64, ledger: &Ledger) -> Vec<Chunk> {
    let Ok(text) = serde_json::to_string(ledger) else {
        return Vec::new();
    };
    let hash = xxh3_64(text.as_bytes());
    let parts = split(&text);
    let count = parts.len() as u32;
    let chunks = parts.into_iter().enumerate().map(|(i, data)| Chunk {
        schema: CHECKPOINT_SCHEMA,
        writer: writer.clone(),
        boot,
        at: ledger.next,
        index: i as u32,
        count,
        hash,
        data: data.to_owned(),
    });
    chunks.collect()
}

async fn append_chunks(log: &dyn Log, chunks: &[Chunk]) -> bool {
    if chunks.is_empty() {
        return false;
    }
    for chunk in chunks {
        let Ok(text) = serde_json::to_vec(chunk) else {
            return false;
        };
        if !append_chunk(log, text).await {
            return false;
        }
    }
    true
}

/// Appends one chunk, with retries; a duplicate chunk in the stream is harmless.
async fn append_chunk(log: &dyn Log, text: Vec<u8>) -> bool {
    for _ in 0..MAX_ATTEMPTS {
        if log
            .append(CHECKPOINT_STREAM, text.clone().into())
            .await
            .is_ok()
        {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
    false
}

/// Reads the newest complete checkpoint; returns an empty ledger if there is none.
///
/// # Errors
///
/// The log cannot be read.
pub async fn load(log: &dyn Log) -> Result<Ledger> {
    let end = log.read(CHECKPOINT_STREAM, 0, 1, 0).await?;
    let mut sets: BTreeMap<CheckpointId, BTreeMap<u32, Chunk>> = BTreeMap::new();
    let mut to = end.next;
    while to > end.first {
        let from = to.saturating_sub(PAGE_RECORDS).max(end.first);
        let page = log.read(CHECKPOINT_STREAM, from, to - from, 0).await?;
        for record in &page.records {
            add_chunk(&mut sets, &record.data);
        }
        if let Some(ledger) = newest_complete(&sets) {
            return Ok(ledger);
        }
        to = from;
    }
    Ok(Ledger::default())
}

fn add_chunk(sets: &mut BTreeMap<CheckpointId, BTreeMap<u32, Chunk>>, data: &str) {
    let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
        return;
    };
    if chunk.schema != CHECKPOINT_SCHEMA || chunk.index >= chunk.count {
        return;
    }
    let id = CheckpointId {
        at: chunk.at,
        writer: chunk.writer.clone(),
        boot: chunk.boot,
        hash: chunk.hash,
    };
    sets.entry(id).or_default().insert(chunk.index, chunk);
}

fn newest_complete(sets: &BTreeMap<CheckpointId, BTreeMap<u32, Chunk>>) -> Option<Ledger> {
    sets.iter().rev().find_map(|(id, chunks)| {
        let count = chunks.values().next()?.count;
        if chunks.len() != count as usize {
            return None;
        }
        let text: String = chunks.values().map(|chunk| chunk.data.as_str()).collect();
        if xxh3_64(text.as_bytes()) != id.hash {
            return None;
        }
        serde_json::from_str(&text).ok()
    })
}

fn split(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while rest.len() > CHUNK_BYTES {
        let mut at = CHUNK_BYTES;
        while !rest.is_char_boundary(at) {
            at -= 1;
        }
        let (part, tail) = rest.split_at(at);
        parts.push(part);
        rest = tail;
    }
    parts.push(rest);
    parts
}
