//! The steps of a request, job or change, read from the log alone.

use super::entries::concerns;
use super::entries::detail;
use super::entries::name;
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

/// One step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct Step {
    /// When, in milliseconds of wall time.
    pub(super) at_ms: u64,
    /// The stream that it was read from.
    pub(super) stream: &'static str,
    /// Its offset there.
    pub(super) offset: Offset,
    /// The processes that recorded it.
    pub(super) vms: Vec<Name>,
    /// What was decided.
    pub(super) decision: String,
    /// Why, and what it says besides.
    pub(super) reason: String,
    /// The configuration offset in force.
    pub(super) cfg: Offset,
}

/// All steps, and what the log no longer tells.
#[derive(Debug, Default, Serialize)]
pub(super) struct Steps {
    /// The steps in the order of time.
    pub(super) list: Vec<Step>,
    /// What may be missing, in sentences.
    pub(super) gaps: Vec<String>,
}

/// Collects the steps of one identifier, record by record.
#[derive(Debug)]
pub(super) struct Collector {
    ids: BTreeSet<Name>,
    ledger: Ledger,
    staged: Staged,
    from: Offset,
    whole: bool,
    without: usize,
    steps: Steps,
}

impl Collector {
    /// Starts from the ledger `base` and all configuration records that are kept.
    pub(super) fn open(id: Name, base: Ledger, config: Stream) -> Self {
        Self {
            ids: BTreeSet::from([id]),
            from: base.next,
            whole: config.first <= base.catalog.next,
            ledger: base,
            staged: stage(config),
            without: 0,
            steps: Steps::default(),
        }
    }

    /// Takes in the next control record, and replays it if nothing before it is missing.
    pub(super) fn take_control(&mut self, record: &LogRecord) {
        let next = self.whole && record.offset == self.ledger.next;
        let Some(batch) = decode(&record.data) else {
            if next {
                self.ledger.skip(record.offset);
            }
            return;
        };
        follow_keys(&batch, &mut self.ids);
        if next && self.ledger.can_apply(&self.staged, &batch) {
            let ledger = &mut self.ledger;
            let applied = ledger.apply(record.offset, &batch, &mut self.staged);
            ruled(ledger, &batch, &applied, &self.ids, &mut self.steps);
            return;
        }
        let before = self.steps.list.len();
        raw(record.offset, &batch, &self.ids, &mut self.steps);
        self.without += self.steps.list.len() - before;
    }

    /// Takes in the next audit record; the control records must have been taken in before.
    pub(super) fn take_audit(&mut self, record: &LogRecord) {
        let steps = &mut self.steps;
        let Ok(found) = serde_json::from_str::<AuditRecord>(&record.data) else {
            let text = format!("audit record {} cannot be read", record.offset);
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

    /// Returns the steps; the streams were read from these offsets on.
    pub(super) fn finish(self, control: Offset, audit: Offset) -> Steps {
        let mut steps = self.steps;
        if self.without > 0 {
            steps.gaps.push(format!(
                "the verdicts on {} proposed entries are not known: they can be replayed from \
                 control record {} on",
                self.without, self.from
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

/// Decodes a control record as every VM does; one that cannot be is passed over.
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

/// Adds the requests that claim or settle a key that is asked for.
fn follow_keys(batch: &Batch, ids: &mut BTreeSet<Name>) {
    for entry in &batch.entries {
        if let Entry::Claim { req, key, .. } = entry
            && ids.contains(key)
        {
            ids.insert(req.clone());
        }
    }
}

fn raw(offset: Offset, batch: &Batch, ids: &BTreeSet<Name>, steps: &mut Steps) {
    let entries = batch.entries.iter();
    for entry in entries.filter(|entry| concerns(entry, ids)) {
        steps.list.push(Step {
            at_ms: batch.at_ms,
            stream: "control",
            offset,
            vms: vec![batch.id.writer.clone()],
            decision: format!("{} proposed", name(entry)),
            reason: detail(entry),
            cfg: batch.cfg,
        });
    }
}

fn ruled(
    ledger: &Ledger,
    batch: &Batch,
    applied: &Applied,
    ids: &BTreeSet<Name>,
    steps: &mut Steps,
) {
    for ruling in &applied.verdicts {
        if concerns(&ruling.entry, ids) {
            steps.list.push(rule(batch, ruling));
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

fn rule(batch: &Batch, ruling: &EntryVerdict) -> Step {
    let entry = name(&ruling.entry);
    let detail = detail(&ruling.entry);
    let (decision, reason) = match &ruling.verdict {
        Ok(()) => (format!("{entry} in force"), detail),
        Err(void) => (format!("{entry} void"), format!("{void}; {detail}")),
    };
    Step {
        at_ms: batch.at_ms,
        stream: "control",
        offset: ruling.origin.offset,
        vms: vec![ruling.origin.id.writer.clone()],
        decision,
        reason,
        cfg: ruling.origin.cfg,
    }
}

/// Adds an event; one that several processes saw is one step.
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
