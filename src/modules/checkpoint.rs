//! Checkpoints: the ledger in the platform's log, so that a VM starts without the whole past.
//!
//! A checkpoint is cut into chunks that fit the log's records. It counts only if every chunk is
//! there and the hash of the whole agrees.

use super::engine::Carry;
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
/// The size of a chunk, in bytes of text before it is escaped.
const CHUNK_BYTES: usize = 262_144;
/// The tries at one chunk.
const TRIES: u32 = 120;
/// The wait after a failed try, in milliseconds.
const RETRY_MS: u64 = 500;
/// The records of the stream that are read at once.
const PAGE: u64 = 64;

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
struct ChunkSet {
    at: Offset,
    writer: Name,
    boot: u64,
    hash: u64,
}

/// Writes checkpoints, one at a time.
pub struct Checkpoints {
    log: Arc<dyn Log>,
    writer: Name,
    boot: u64,
    busy: Arc<AtomicBool>,
}

impl std::fmt::Debug for Checkpoints {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Checkpoints")
    }
}

impl Checkpoints {
    /// Makes a writer of checkpoints.
    pub fn new(log: Arc<dyn Log>, writer: Name, boot: u64) -> Self {
        Self {
            log,
            writer,
            boot,
            busy: Arc::new(AtomicBool::new(false)),
        }
    }
}

impl Carry for Checkpoints {
    fn carry(&mut self, _effect: Effect, state: &State) {
        if self.busy.swap(true, Ordering::AcqRel) {
            return;
        }
        let ledger = state.ledger.clone();
        let boot = self.boot;
        let log = self.log.clone();
        let busy = self.busy.clone();
        let writer = self.writer.clone();
        let cfg = state.ledger.catalog.next;
        let at = state.ledger.next;
        tokio::spawn(async move {
            let own = writer.clone();
            let cutting = tokio::task::spawn_blocking(move || cut(&own, boot, &ledger));
            let chunks = cutting.await.unwrap_or_default();
            if write(&*log, &chunks).await {
                let note = Note::new(&events::CHECKPOINT_WRITTEN, &writer, cfg);
                note.with("at", at).with("chunks", chunks.len()).log();
            }
            busy.store(false, Ordering::Release);
        });
    }
}

/// Serializes a ledger and cuts it, which takes too long for the reducer's task.
fn cut(writer: &Name, boot: u64, ledger: &Ledger) -> Vec<Chunk> {
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

async fn write(log: &dyn Log, chunks: &[Chunk]) -> bool {
    if chunks.is_empty() {
        return false;
    }
    for chunk in chunks {
        let Ok(text) = serde_json::to_vec(chunk) else {
            return false;
        };
        if !write_one(log, text).await {
            return false;
        }
    }
    true
}

/// Appends one chunk; a chunk that is there twice does no harm.
async fn write_one(log: &dyn Log, text: Vec<u8>) -> bool {
    for _ in 0..TRIES {
        if log
            .append(CHECKPOINT_STREAM, text.clone().into())
            .await
            .is_ok()
        {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
    }
    false
}

/// Reads the newest whole checkpoint; an empty ledger if there is none.
///
/// # Errors
///
/// The log cannot be read.
pub async fn load(log: &dyn Log) -> Result<Ledger> {
    let end = log.read(CHECKPOINT_STREAM, 0, 1, 0).await?;
    let mut sets: BTreeMap<ChunkSet, BTreeMap<u32, Chunk>> = BTreeMap::new();
    let mut to = end.next;
    while to > end.first {
        let from = to.saturating_sub(PAGE).max(end.first);
        let page = log.read(CHECKPOINT_STREAM, from, to - from, 0).await?;
        for record in &page.records {
            collect(&mut sets, &record.data);
        }
        if let Some(ledger) = newest_whole(&sets) {
            return Ok(ledger);
        }
        to = from;
    }
    Ok(Ledger::default())
}

fn collect(sets: &mut BTreeMap<ChunkSet, BTreeMap<u32, Chunk>>, data: &str) {
    let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
        return;
    };
    if chunk.schema != CHECKPOINT_SCHEMA || chunk.index >= chunk.count {
        return;
    }
    let set = ChunkSet {
        at: chunk.at,
        writer: chunk.writer.clone(),
        boot: chunk.boot,
        hash: chunk.hash,
    };
    sets.entry(set).or_default().insert(chunk.index, chunk);
}

fn newest_whole(sets: &BTreeMap<ChunkSet, BTreeMap<u32, Chunk>>) -> Option<Ledger> {
    sets.iter().rev().find_map(|(set, chunks)| {
        let count = chunks.values().next()?.count;
        if chunks.len() != count as usize {
            return None;
        }
        let text: String = chunks.values().map(|chunk| chunk.data.as_str()).collect();
        if xxh3_64(text.as_bytes()) != set.hash {
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
