//! The steps of a request, job or change, read from the log alone, without asking a VM.

use super::entries::concerns;
use super::entries::describe;
use super::entries::kind_name;
use super::log::Stream;
use crate::modules::audit::AuditNote;
use crate::modules::audit::AuditRecord;
use crate::platform::LogRecord;
use crate::prelude::*;
use crate::records::Batch;
use crate::records::CONTROL_SCHEMA;
use crate::records::Entry;
use crate::reducer::ledger::Applied;
use crate::reducer::ledger::EntryVerdict;
use crate::reducer::ledger::Ledger;
use crate::reducer::ledger::Staged;
use crate::reducer::ledger::StagedRecord;
use serde::Serialize;
use std::collections::BTreeSet;

/// One step of a request, job, change, worker or key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct Step {
    /// The wall-clock time, in milliseconds since 1970.
    pub(super) at_ms: u64,
    /// The stream that it was read from.
    pub(super) stream: &'static str,
    /// The record's offset in the stream.
    pub(super) offset: Offset,
    /// The processes that recorded it.
    pub(super) vms: Vec<Name>,
    /// What was decided.
    pub(super) decision: String,
    /// The reason, and other details.
    pub(super) reason: String,
    /// The configuration offset in force.
    pub(super) cfg: Offset,
}

/// All steps, and what may be missing as the log no longer has it.
#[derive(Debug, Default, Serialize)]
pub(super) struct Steps {
    /// The steps, ordered by time.
    pub(super) list: Vec<Step>,
    /// What may be missing, one sentence each.
    pub(super) gaps: Vec<String>,
}

/// Collects the steps of one identifier, record by record.
#[derive(Debug)]
pub(super) struct Collector {
    ids: BTreeSet<Name>,
    ledger: Ledger,
    staged: Staged,
    replay_start: Offset,
    complete: bool,
    unresolved: usize,
    steps: Steps,
}

impl Collector {
    /// Starts from the ledger `base` and all retained configuration records.
    pub(super) fn open(id: Name, base: Ledger, config: Stream) -> Self {
        Self {
            ids: BTreeSet::from([id]),
            replay_start: base.next,
            complete: config.first <= base.catalog.next,
            ledger: base,
            staged: stage(config),
            unresolved: 0,
            steps: Steps::default(),
        }
    }

    /// Adds the next control record, and replays it if no earlier record is missing.
    pub(super) fn add_control(&mut self, record: &LogRecord) {
        let next = self.complete && record.offset == self.ledger.next;
        let Some(batch) = decode(&record.data) else {
            if next {
                self.ledger.skip(record.offset);
            }
            return;
        };
        add_claimants(&batch, &mut self.ids);
        if next && self.ledger.can_apply(&self.staged, &batch) {
            let ledger = &mut self.ledger;
            let applied = ledger.apply(record.offset, &batch, &mut self.staged);
            add_verdicts(ledger, &batch, &applied, &self.ids, &mut self.steps);
            return;
        }
        let before = self.steps.list.len();
        add_proposed(record.offset, &batch, &self.ids, &mut self.steps);
        self.unresolved += self.steps.list.len() - before;
    }

    /// Adds the next audit record; all control records must have been added before.
    pub(super) fn add_audit(&mut self, record: &LogRecord) {
        let steps = &mut self.steps;
        let Ok(found) = serde_json::from_str::<AuditRecord>(&record.data) else {
            let text = format!("audit record {} cannot be decoded", record.offset);
            steps.gaps.push(text);
            return;
        };
        if found.dropped > 0 {
            let text = format!(
                "{} dropped {} audit notes before record {}",
                found.vm, found.dropped, record.offset
            );
            steps.gaps.push(text);
        }
        let mut notes = found.notes;
        notes.retain(|note| self.ids.contains(&note.id));
        for note in &notes {
            add_note(record.offset, &found.vm, note, steps);
        }
    }

    /// Returns the steps; `control` and `audit` are the first offsets that were read.
    pub(super) fn finish(self, control: Offset, audit: Offset) -> Steps {
        let mut steps = self.steps;
        if self.unresolved > 0 {
            steps.gaps.push(format!(
                "the verdicts on {} proposed entries are not known: control records can be \
                 replayed only from {} on",
                self.unresolved, self.replay_start
            ));
        }
        for (stream, first) in [("control", control), ("audit", audit)] {
            if first > 0 {
                let text = format!("{stream} records below {first} are gone");
                steps.gaps.push(text);
            }
        }
        let list = &mut steps.list;
        list.sort_by_key(|step| (step.at_ms, step.stream, step.offset));
        steps
    }
}

/// Decodes a control record as every VM does; returns `None` for one that the VMs skip.
fn decode(data: &str) -> Option<Batch> {
    let batch: Batch = serde_json::from_str(data).ok()?;
    (batch.schema <= CONTROL_SCHEMA).then_some(batch)
}

fn stage(config: Stream) -> Staged {
    let records = config.records.into_iter().map(|record| StagedRecord {
        offset: record.offset,
        data: record.data.into_bytes(),
    });
    let records: std::collections::VecDeque<StagedRecord> = records.collect();
    Staged {
        next: records.back().map_or(0, |last| last.offset + 1),
        records,
    }
}

/// Adds to `ids` the requests that claim a key in `ids`, so that entries which name only the
/// request are found too.
fn add_claimants(batch: &Batch, ids: &mut BTreeSet<Name>) {
    for entry in &batch.entries {
        if let Entry::Claim { req, key, .. } = entry
            && ids.contains(key)
        {
            ids.insert(req.clone());
        }
    }
}

/// Adds the entries of a record that cannot be replayed, without verdicts.
fn add_proposed(offset: Offset, batch: &Batch, ids: &BTreeSet<Name>, steps: &mut Steps) {
    let entries = batch.entries.iter();
    for entry in entries.filter(|entry| concerns(entry, ids)) {
        steps.list.push(Step {
            at_ms: batch.at_ms,
            stream: "control",
            offset,
            vms: vec![batch.id.writer.clone()],
            decision: format!("{} proposed", kind_name(entry)),
            reason: describe(entry),
            cfg: batch.cfg,
        });
    }
}

/// Adds the verdicts on a replayed record: on entries, phases of gangs, and changes.
fn add_verdicts(
    ledger: &Ledger,
    batch: &Batch,
    applied: &Applied,
    ids: &BTreeSet<Name>,
    steps: &mut Steps,
) {
    for verdict in &applied.verdicts {
        if concerns(&verdict.entry, ids) {
            steps.list.push(verdict_step(batch, verdict));
        }
    }
    let offset = ledger.next.saturating_sub(1);
    for job in applied
        .phase_changes
        .iter()
        .filter(|job| ids.contains(*job))
    {
        let Some(gang) = ledger.gangs.all.get(job) else {
            continue;
        };
        steps.list.push(Step {
            at_ms: batch.at_ms,
            stream: "control",
            offset,
            vms: vec![batch.id.writer.clone()],
            decision: "phase".to_owned(),
            reason: format!("{:?}", gang.phase),
            cfg: gang.cfg,
        });
    }
    for change in applied.changes.iter().filter(|c| ids.contains(&c.change)) {
        let verdict = match change.refused.is_empty() {
            true => "change in force",
            false => "change refused",
        };
        steps.list.push(Step {
            at_ms: batch.at_ms,
            stream: "control",
            offset,
            vms: vec![batch.id.writer.clone()],
            decision: verdict.to_owned(),
            reason: format!("{} {}", change.object, change.refused),
            cfg: change.offset + 1,
        });
    }
}

fn verdict_step(batch: &Batch, judged: &EntryVerdict) -> Step {
    let kind = kind_name(&judged.entry);
    let detail = describe(&judged.entry);
    let (decision, reason) = match &judged.verdict {
        Ok(()) => (format!("{kind} in force"), detail),
        Err(void) => (format!("{kind} void"), format!("{void}; {detail}")),
    };
    Step {
        at_ms: batch.at_ms,
        stream: "control",
        offset: judged.origin.offset,
        vms: vec![judged.origin.id.writer.clone()],
        decision,
        reason,
        cfg: judged.origin.cfg,
    }
}

/// Adds an event; the same event from several processes becomes one step.
fn add_note(offset: Offset, vm: &Name, note: &AuditNote, steps: &mut Steps) {
    let fields = note.fields.iter();
    let texts: Vec<String> = fields.map(|f| format!("{}={}", f.key, f.value)).collect();
    let step = Step {
        at_ms: note.at_ms,
        stream: "audit",
        offset,
        vms: vec![vm.clone()],
        decision: format!("TG{:04} {}", note.code, note.name),
        reason: texts.join(" "),
        cfg: note.cfg,
    };
    let mut list = steps.list.iter_mut();
    let same = list.find(|other| {
        other.stream == step.stream
            && other.decision == step.decision
            && other.reason == step.reason
            && other.cfg == step.cfg
            && !other.vms.contains(vm)
    });
    match same {
        Some(other) => {
            other.at_ms = other.at_ms.min(step.at_ms);
            other.vms.push(vm.clone());
        }
        None => steps.list.push(step),
    }
}
