//! The audit stream: every decision, appended in batches, so that it outlives the VM.
//!
//! While the log is down, records wait in a bounded buffer; what does not fit is counted, and the
//! count stands in the next record.

use super::engine::Carry;
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

/// The most notes that wait for the log.
const NOTES_MAX: usize = 32_768;
/// The most notes of one record.
const RECORD_NOTES: usize = 512;
/// The time in which notes gather for one record, in milliseconds.
const GATHER_MS: u64 = 500;
/// The wait after a failed append, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// One value of an audited event.
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
    /// The request, job, worker or change.
    pub id: Name,
    /// The configuration offset in force.
    pub cfg: Offset,
    /// Further values.
    pub fields: Vec<AuditField>,
}

/// One record of the audit stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The process that decided, such as `vm-1/entry`.
    pub vm: Name,
    /// Its boot, in milliseconds of wall time.
    pub boot: u64,
    /// The notes that were dropped since the record before.
    pub dropped: u64,
    /// The events.
    pub notes: Vec<AuditNote>,
}

/// Logs notes, and hands decisions to the auditing task.
#[derive(Debug)]
pub struct Audit {
    notes: mpsc::Sender<AuditNote>,
    dropped: Arc<AtomicU64>,
    pending: Pending,
}

/// Counts the notes that were given and not appended.
#[derive(Debug, Clone, Default)]
pub struct Pending {
    count: Arc<AtomicU64>,
}

impl Pending {
    /// Tells whether something was given and not appended.
    pub fn waits(&self) -> bool {
        self.count.load(Ordering::Acquire) > 0
    }
}

impl Carry for Audit {
    fn carry(&mut self, effect: Effect, _state: &State) {
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

/// Starts the auditing task, which ends once the handle is gone and all is appended.
pub fn spawn(ctx: Arc<Context>, log: Arc<dyn Log>) -> (Audit, Pending, JoinHandle<()>) {
    let (tx, rx) = mpsc::channel(NOTES_MAX);
    let dropped = Arc::new(AtomicU64::new(0));
    let pending = Pending::default();
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
    pending: Pending,
) {
    while let Some(first) = notes.recv().await {
        let mut record = AuditRecord {
            vm: ctx.writer.clone(),
            boot: ctx.boot,
            dropped: 0,
            notes: vec![first],
        };
        gather(&mut notes, &mut record.notes).await;
        record.dropped = dropped.swap(0, Ordering::Relaxed);
        if record.dropped > 0 {
            let note = Note::new(&events::AUDIT_DROPPED, &ctx.writer, 0);
            note.with("count", record.dropped).log();
        }
        let Ok(text) = serde_json::to_vec(&record) else {
            continue;
        };
        while log.append(AUDIT_STREAM, text.clone().into()).await.is_err() {
            tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
        }
        let count = record.notes.len() as u64;
        pending.count.fetch_sub(count, Ordering::AcqRel);
    }
}

async fn gather(notes: &mut mpsc::Receiver<AuditNote>, batch: &mut Vec<AuditNote>) {
    let end = tokio::time::Instant::now() + Duration::from_millis(GATHER_MS);
    while batch.len() < RECORD_NOTES {
        match tokio::time::timeout_at(end, notes.recv()).await {
            Ok(Some(note)) => batch.push(note),
            Ok(None) | Err(_) => return,
        }
    }
}
