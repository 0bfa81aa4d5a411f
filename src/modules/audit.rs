//! The audit stream: every decision, appended to the log in batches so that it outlives the VM.
//!
//! While the log is unavailable, notes wait in a bounded buffer. Notes that do not fit are dropped,
//! and the next record states their number.

use super::engine::EffectHandler;
use super::engine::wall_ms;
use super::log::AUDIT_STREAM;
use super::log::Log;
use crate::context::Context;
use crate::events;
use crate::events::Note;
use crate::prelude::*;
use crate::reducer::Effect;
use crate::reducer::State;
use serde::Deserialize;
use serde::Serialize;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// The maximum number of notes that wait to be appended.
const NOTES_MAX: usize = 32_768;
/// The maximum number of notes in one record.
const MAX_RECORD_NOTES: usize = 512;
/// How long notes are collected for one record, in milliseconds.
const BATCH_WINDOW_MS: u64 = 500;
/// The delay before a failed append is retried, in milliseconds.
const RETRY_DELAY_MS: u64 = 1_000;

/// A field of an audited event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditField {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
}

/// One audited event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditNote {
    /// The wall time, in milliseconds.
    pub at_ms: u64,
    /// The event's number.
    pub code: u16,
    /// The event's name.
    pub name: String,
    /// The identifier of the request, job, worker or configuration change.
    pub id: Name,
    /// The configuration offset in force.
    pub cfg: Offset,
    /// Additional fields.
    pub fields: Vec<AuditField>,
}

/// One record of the audit stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The process that made the decisions, such as `vm-1/entry`.
    pub vm: Name,
    /// Its start time, in milliseconds of wall time.
    pub boot: u64,
    /// The number of notes that were dropped since the previous record.
    pub dropped: u64,
    /// The events.
    pub notes: Vec<AuditNote>,
}

/// Logs notes, and queues decisions for the audit task.
#[derive(Debug)]
pub struct Audit {
    notes: mpsc::Sender<AuditNote>,
    dropped: Arc<AtomicU64>,
    pending: PendingNotes,
}

/// Counts the notes that are queued and not yet appended.
#[derive(Debug, Clone, Default)]
pub struct PendingNotes {
    count: Arc<AtomicU64>,
}

impl PendingNotes {
    /// Returns whether any notes are queued and not yet appended.
    pub fn has_pending(&self) -> bool {
        self.count.load(Ordering::Acquire) > 0
    }
}

impl EffectHandler for Audit {
    fn handle(&mut self, effect: Effect, _state: &State) {
        let Effect::Note(note) = effect else {
            return;
        };
        note.log();
        if !note.kind.audit {
            return;
        }
        self.pending.count.fetch_add(1, Ordering::AcqRel);
        if self.notes.try_send(audit_note(note)).is_err() {
            self.pending.count.fetch_sub(1, Ordering::AcqRel);
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("audit_dropped").increment(1);
        }
    }
}

fn audit_note(note: Note) -> AuditNote {
    let fields = note.fields.into_iter().map(|field| AuditField {
        key: field.key.to_owned(),
        value: field.value,
    });
    AuditNote {
        at_ms: wall_ms(),
        code: note.kind.code,
        name: note.kind.name.to_owned(),
        id: note.id,
        cfg: note.cfg,
        fields: fields.collect(),
    }
}

/// Starts the audit task, which ends once the [`Audit`] is dropped and all notes are appended.
pub fn spawn(ctx: Arc<Context>, log: Arc<dyn Log>) -> (Audit, PendingNotes, JoinHandle<()>) {
    let (tx, rx) = mpsc::channel(NOTES_MAX);
    let dropped = Arc::new(AtomicU64::new(0));
    let pending = PendingNotes::default();
    let audit = Audit {
        notes: tx,
        dropped: dropped.clone(),
        pending: pending.clone(),
    };
    let task = tokio::spawn(run(ctx, log, rx, dropped, pending.clone()));
    (audit, pending, task)
}

async fn run(
    ctx: Arc<Context>,
    log: Arc<dyn Log>,
    mut notes: mpsc::Receiver<AuditNote>,
    dropped: Arc<AtomicU64>,
    pending: PendingNotes,
) {
    while let Some(first) = notes.recv().await {
        let mut record = AuditRecord {
            vm: ctx.writer.clone(),
            boot: ctx.boot,
            dropped: 0,
            notes: vec![first],
        };
        collect_notes(&mut notes, &mut record.notes).await;
        record.dropped = dropped.swap(0, Ordering::Relaxed);
        if record.dropped > 0 {
            let note = Note::new(&events::AUDIT_DROPPED, &ctx.writer, 0);
            note.with("count", record.dropped).log();
        }
        let Ok(text) = serde_json::to_vec(&record) else {
            continue;
        };
        while log.append(AUDIT_STREAM, text.clone().into()).await.is_err() {
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
        let count = record.notes.len() as u64;
        pending.count.fetch_sub(count, Ordering::AcqRel);
    }
}

async fn collect_notes(notes: &mut mpsc::Receiver<AuditNote>, batch: &mut Vec<AuditNote>) {
    let end = tokio::time::Instant::now() + Duration::from_millis(BATCH_WINDOW_MS);
    while batch.len() < MAX_RECORD_NOTES {
        match tokio::time::timeout_at(end, notes.recv()).await {
            Ok(Some(note)) => batch.push(note),
            Ok(None) | Err(_) => return,
        }
    }
}
