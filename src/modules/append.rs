//! Appends entries to the control stream in batches.
//!
//! Only one batch is in flight at a time. If an append fails, it may still have taken effect, so the
//! log is read to its end to look for the batch's identifier. Only if it is absent is the same batch
//! appended again. The ledger applies each identifier once, in case both appends take effect.

use super::engine::EffectHandler;
use super::log::CONTROL_STREAM;
use super::log::Log;
use super::tail::Position;
use crate::context::Context;
use crate::events;
use crate::events::Note;
use crate::prelude::*;
use crate::records::Batch;
use crate::records::BatchId;
use crate::records::CONTROL_SCHEMA;
use crate::records::Entry;
use crate::reducer::Effect;
use crate::reducer::State;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The maximum number of entries that wait to be appended.
pub const ENTRIES_MAX: usize = 16_384;
/// The maximum size of the entries of one batch, in bytes; leaves room for the other fields within
/// the log's limit for a record.
pub const BATCH_MAX_BYTES: usize = 1_000_000;

/// The sending half of the queue to the append task.
#[derive(Debug, Clone)]
pub struct AppendQueue {
    /// The number of entries that are queued and not yet appended.
    pub pending: Arc<AtomicUsize>,
    entries: mpsc::Sender<Option<Entry>>,
}

impl AppendQueue {
    /// Returns whether any entries are queued and not yet appended.
    pub fn has_pending(&self) -> bool {
        self.pending.load(Ordering::Acquire) > 0
    }
}

impl EffectHandler for AppendQueue {
    fn handle(&mut self, effect: Effect, _state: &State) {
        let entry = match effect {
            Effect::Append(entry) => Some(entry),
            _ => None,
        };
        self.pending.fetch_add(1, Ordering::AcqRel);
        if self.entries.try_send(entry).is_err() {
            self.pending.fetch_sub(1, Ordering::AcqRel);
            metrics::counter!("append_dropped").increment(1);
        }
    }
}

struct Appender {
    log: Arc<dyn Log>,
    ctx: Arc<Context>,
    seq: u64,
    position: watch::Receiver<Position>,
    pending: Arc<AtomicUsize>,
    deferred: Option<QueuedEntry>,
}

/// A queued entry with its serialised size; `None` for a flush or an entry that is too large.
#[derive(Debug, Default)]
struct QueuedEntry {
    entry: Option<Entry>,
    bytes: usize,
}

/// Creates the queue of the append task.
pub fn channel() -> (AppendQueue, mpsc::Receiver<Option<Entry>>) {
    let (tx, rx) = mpsc::channel(ENTRIES_MAX);
    let queue = AppendQueue {
        pending: Arc::default(),
        entries: tx,
    };
    (queue, rx)
}

/// Starts the append task, which ends once every [`AppendQueue`] is dropped.
pub fn spawn(
    log: Arc<dyn Log>,
    ctx: Arc<Context>,
    position: watch::Receiver<Position>,
    entries: mpsc::Receiver<Option<Entry>>,
    pending: Arc<AtomicUsize>,
) -> JoinHandle<()> {
    let appender = Appender {
        log,
        ctx,
        seq: 0,
        position,
        pending,
        deferred: None,
    };
    tokio::spawn(appender.run(entries))
}

impl Appender {
    async fn run(mut self, mut entries: mpsc::Receiver<Option<Entry>>) {
        loop {
            let first = match self.deferred.take() {
                Some(deferred) => deferred,
                None => match entries.recv().await {
                    Some(entry) => self.measure(entry),
                    None => return,
                },
            };
            let group_ms = self.ctx.settings.log.group_ms;
            tokio::time::sleep(Duration::from_millis(group_ms)).await;
            let mut taken = 1;
            let mut bytes = first.bytes;
            let mut batch: Vec<Entry> = first.entry.into_iter().collect();
            while batch.len() < self.ctx.settings.log.group_entries as usize {
                let Ok(entry) = entries.try_recv() else {
                    break;
                };
                let queued = self.measure(entry);
                if bytes + queued.bytes > BATCH_MAX_BYTES {
                    self.deferred = Some(queued);
                    break;
                }
                taken += 1;
                bytes += queued.bytes;
                batch.extend(queued.entry);
            }
            self.append(batch).await;
            self.pending.fetch_sub(taken, Ordering::AcqRel);
        }
    }

    /// Measures an entry; one that is too large for a record is dropped, counted and logged.
    fn measure(&self, entry: Option<Entry>) -> QueuedEntry {
        let Some(entry) = entry else {
            return QueuedEntry::default();
        };
        let bytes = serde_json::to_vec(&entry).map_or(usize::MAX, |text| text.len() + 1);
        if bytes <= BATCH_MAX_BYTES {
            return QueuedEntry {
                entry: Some(entry),
                bytes,
            };
        }
        metrics::counter!("append_dropped").increment(1);
        let note = Note::new(&events::APPEND_UNCERTAIN, &self.ctx.writer, 0);
        note.with("cause", format!("an entry of {bytes} bytes fits no record"))
            .log();
        QueuedEntry::default()
    }

    async fn append(&mut self, entries: Vec<Entry>) {
        self.seq += 1;
        let batch = Batch {
            schema: CONTROL_SCHEMA,
            id: BatchId {
                writer: self.ctx.writer.clone(),
                boot: self.ctx.boot,
                seq: self.seq,
            },
            at_ms: super::engine::wall_ms(),
            cfg: self.position.borrow().config,
            entries,
        };
        let Ok(text) = serde_json::to_vec(&batch) else {
            return;
        };
        metrics::counter!("append_batches").increment(1);
        metrics::counter!("append_bytes").increment(text.len() as u64);
        while let Err(error) = self.log.append(CONTROL_STREAM, text.clone().into()).await {
            let note = Note::new(&events::APPEND_UNCERTAIN, &self.ctx.writer, batch.cfg);
            note.with("seq", self.seq).with("cause", error).log();
            if self.read_back().await {
                return;
            }
        }
    }

    /// Waits until the log is read to its current end, and returns whether the batch is in it.
    async fn read_back(&mut self) -> bool {
        tokio::time::sleep(Duration::from_millis(self.ctx.settings.log.retry_ms)).await;
        let seq = self.seq;
        loop {
            let position = *self.position.borrow();
            if position.own_seq >= seq {
                return true;
            }
            let page = self.log.read(CONTROL_STREAM, position.control, 1, 0).await;
            if page.is_ok_and(|page| page.next <= position.control) {
                return self.position.borrow().own_seq >= seq;
            }
            tokio::time::sleep(Duration::from_millis(self.ctx.settings.log.retry_ms)).await;
        }
    }
}
