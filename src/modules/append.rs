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
const ENTRIES_MAX: usize = 16_384;

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
    };
    tokio::spawn(appender.run(entries))
}

impl Appender {
    async fn run(mut self, mut entries: mpsc::Receiver<Option<Entry>>) {
        while let Some(first) = entries.recv().await {
            let config = &self.ctx.settings.log;
            let mut taken = 1;
            let mut batch: Vec<Entry> = first.into_iter().collect();
            tokio::time::sleep(Duration::from_millis(config.group_ms)).await;
            while batch.len() < config.group_entries as usize {
                match entries.try_recv() {
                    Ok(entry) => {
                        taken += 1;
                        batch.extend(entry);
                    }
                    Err(_) => break,
                }
            }
            self.append(batch).await;
            self.pending.fetch_sub(taken, Ordering::AcqRel);
        }
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
