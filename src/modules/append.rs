//! Appends entries to the control stream, gathered into batches.
//!
//! One batch is under way at a time. If its answer is lost, the log is read back up to its end
//! for the batch's identifier; only if it is not there is the same batch appended again, and the
//! ledger counts an identifier once.

use super::engine::Carry;
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

/// The most entries that wait for the log.
pub const ENTRIES_MAX: usize = 16_384;
/// The most bytes of the entries of one batch, which leaves room for the rest of its record.
pub const BATCH_MAX_BYTES: usize = 1_000_000;

/// Hands entries to the appending task.
#[derive(Debug, Clone)]
pub struct Appends {
    /// The entries that were given and not appended.
    pub pending: Arc<AtomicUsize>,
    entries: mpsc::Sender<Option<Entry>>,
}

impl Appends {
    /// Tells whether something was given and not appended.
    pub fn waits(&self) -> bool {
        self.pending.load(Ordering::Acquire) > 0
    }
}

impl Carry for Appends {
    fn carry(&mut self, effect: Effect, _state: &State) {
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
    rest: Option<Given>,
}

/// What was given to be appended, with its size.
#[derive(Debug, Default)]
struct Given {
    entry: Option<Entry>,
    bytes: usize,
}

/// Makes the handle that entries are given to.
pub fn channel() -> (Appends, mpsc::Receiver<Option<Entry>>) {
    let (tx, rx) = mpsc::channel(ENTRIES_MAX);
    let appends = Appends {
        pending: Arc::default(),
        entries: tx,
    };
    (appends, rx)
}

/// Appends what `entries` brings until every handle is gone; then the task ends.
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
        rest: None,
    };
    tokio::spawn(appender.run(entries))
}

impl Appender {
    async fn run(mut self, mut entries: mpsc::Receiver<Option<Entry>>) {
        loop {
            let first = match self.rest.take() {
                Some(rest) => rest,
                None => match entries.recv().await {
                    Some(entry) => self.weigh(entry),
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
                let given = self.weigh(entry);
                if bytes + given.bytes > BATCH_MAX_BYTES {
                    self.rest = Some(given);
                    break;
                }
                taken += 1;
                bytes += given.bytes;
                batch.extend(given.entry);
            }
            self.append(batch).await;
            self.pending.fetch_sub(taken, Ordering::AcqRel);
        }
    }

    /// Measures an entry; one that fits no record is dropped, counted and said.
    fn weigh(&self, entry: Option<Entry>) -> Given {
        let Some(entry) = entry else {
            return Given::default();
        };
        let bytes = serde_json::to_vec(&entry).map_or(usize::MAX, |text| text.len() + 1);
        if bytes <= BATCH_MAX_BYTES {
            return Given {
                entry: Some(entry),
                bytes,
            };
        }
        metrics::counter!("append_dropped").increment(1);
        let note = Note::new(&events::APPEND_UNCERTAIN, &self.ctx.writer, 0);
        note.with("cause", format!("an entry of {bytes} bytes fits no record"))
            .log();
        Given::default()
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

    /// Reads the log up to its present end, and tells whether the batch is there.
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
