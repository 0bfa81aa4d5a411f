//! The steps of a request, job or change, read from the log alone.

use super::log::Stream;
use crate::modules::audit::AuditNote;
use crate::modules::audit::AuditRecord;
use crate::prelude::*;
use crate::records::Batch;
use crate::records::CONTROL_SCHEMA;
use crate::records::Entry;
use crate::records::Outcome;
use crate::reducer::ledger::Applied;
use crate::reducer::ledger::Ledger;
use crate::reducer::ledger::Ruling;
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

/// The streams that the steps are read from.
#[derive(Debug)]
pub(super) struct Streams {
    /// The ledger from which the control stream is replayed.
    pub(super) base: Ledger,
    pub(super) audit: Stream,
    pub(super) control: Stream,
    pub(super) config: Stream,
}

/// Collects every step of `id`, which is a request, job, change, worker or idempotency key.
pub(super) fn collect(streams: &Streams, id: &Name) -> Steps {
    let mut steps = Steps::default();
    let mut ids = BTreeSet::from([id.clone()]);
    replay(streams, &mut ids, &mut steps);
    read_audit(&streams.audit, &ids, &mut steps);
    steps
        .list
        .sort_by_key(|step| (step.at_ms, step.stream, step.offset));
    steps
}

/// Applies the control stream to the base, so that each entry from there on has its verdict.
fn replay(streams: &Streams, ids: &mut BTreeSet<Name>, steps: &mut Steps) {
    let mut ledger = streams.base.clone();
    let mut staged = stage(&streams.config);
    let whole = streams.config.first <= ledger.catalog.next;
    let mut without = 0;
    for record in &streams.control.records {
        let next = whole && record.offset == ledger.next;
        let Some(batch) = decode(&record.data) else {
            if next {
                ledger.skip(record.offset);
            }
            continue;
        };
        follow_keys(&batch, ids);
        if next && ledger.can_apply(&staged, &batch) {
            let applied = ledger.apply(record.offset, &batch, &mut staged);
            ruled(&ledger, &batch, &applied, ids, steps);
            continue;
        }
        let before = steps.list.len();
        raw(record.offset, &batch, ids, steps);
        without += steps.list.len() - before;
    }
    if without > 0 {
        steps.gaps.push(format!(
            "the verdicts on {without} proposed entries are not known: they can be replayed from \
             control record {} on",
            streams.base.next
        ));
    }
    if streams.control.first > 0 {
        let first = streams.control.first;
        steps
            .gaps
            .push(format!("control records below {first} are gone"));
    }
}

/// Decodes a control record as every VM does; one that cannot be is passed over.
fn decode(data: &str) -> Option<Batch> {
    let batch: Batch = serde_json::from_str(data).ok()?;
    (batch.schema <= CONTROL_SCHEMA).then_some(batch)
}

fn stage(config: &Stream) -> Staged {
    let records = config.records.iter().map(|record| StagedRecord {
        offset: record.offset,
        data: record.data.clone().into_bytes(),
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
    for ruling in &applied.rulings {
        if concerns(&ruling.entry, ids) {
            steps.list.push(rule(batch, ruling));
        }
    }
    let offset = ledger.next.saturating_sub(1);
    for job in applied.moved.iter().filter(|job| ids.contains(*job)) {
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

fn rule(batch: &Batch, ruling: &Ruling) -> Step {
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

fn concerns(entry: &Entry, ids: &BTreeSet<Name>) -> bool {
    match entry {
        Entry::Claim { req, key, .. } | Entry::Settle { req, key, .. } => {
            ids.contains(req) || ids.contains(key)
        }
        Entry::Submit { job } => ids.contains(&job.id),
        Entry::Reclaim { job, waiter, .. } => {
            ids.contains(job) || waiter.as_ref().is_some_and(|waiter| ids.contains(waiter))
        }
        Entry::Cancel { job }
        | Entry::Place { job, .. }
        | Entry::Reject { job, .. }
        | Entry::Member { job, .. } => ids.contains(job),
        Entry::Worker { worker, .. } => ids.contains(worker),
    }
}

fn name(entry: &Entry) -> &'static str {
    match entry {
        Entry::Claim { .. } => "claim",
        Entry::Settle { .. } => "settle",
        Entry::Submit { .. } => "submit",
        Entry::Cancel { .. } => "cancel",
        Entry::Place { .. } => "place",
        Entry::Reclaim { .. } => "reclaim",
        Entry::Reject { .. } => "reject",
        Entry::Member { .. } => "member",
        Entry::Worker { .. } => "worker",
    }
}

/// Says what an entry holds besides its identifier.
fn detail(entry: &Entry) -> String {
    match entry {
        Entry::Claim {
            req,
            workspace,
            kind,
            key,
            ..
        } => format!("{req} claims key {key} of {workspace} for {kind}"),
        Entry::Settle { req, outcome, .. } => format!("{req} {}", outcome_text(outcome)),
        Entry::Submit { job } => format!(
            "{} of {}: {} members of {} accelerators",
            job.kind, job.workspace, job.members, job.accelerators
        ),
        Entry::Cancel { .. } => "asked by the caller".to_owned(),
        Entry::Place { attempt, slots, .. } => {
            let workers: BTreeSet<&Name> = slots.iter().map(|slot| &slot.worker).collect();
            let workers: Vec<&str> = workers.into_iter().map(|worker| &**worker).collect();
            format!("attempt {attempt} on {}", workers.join(" "))
        }
        Entry::Reclaim { token, waiter, .. } => match waiter {
            Some(waiter) => format!("placement {token} makes room for {waiter}"),
            None => format!("placement {token} makes room"),
        },
        Entry::Reject { reason, .. } => reason.clone(),
        Entry::Member {
            token,
            worker,
            state,
            kept_ms,
            ..
        } => format!("{worker}: {state:?} in placement {token}, {kept_ms} ms kept"),
        Entry::Worker {
            worker,
            state,
            reason,
        } => format!("{worker}: {state:?}: {reason}"),
    }
}

fn outcome_text(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Done(kept) if kept.body.is_some() => {
            format!("ran: status {}, its answer is kept", kept.status)
        }
        Outcome::Done(kept) => format!("ran: status {}, its answer is not kept", kept.status),
        Outcome::NotRun => "did not run".to_owned(),
        Outcome::Unknown => "may have run".to_owned(),
    }
}

/// Adds the events of `ids`; one that several processes saw is one step.
fn read_audit(audit: &Stream, ids: &BTreeSet<Name>, steps: &mut Steps) {
    if audit.first > 0 {
        let text = format!("audit records below {} are gone", audit.first);
        steps.gaps.push(text);
    }
    for record in &audit.records {
        let Ok(found) = serde_json::from_str::<AuditRecord>(&record.data) else {
            let text = format!("audit record {} cannot be read", record.offset);
            steps.gaps.push(text);
            continue;
        };
        if found.dropped > 0 {
            let text = format!(
                "{} dropped {} audit notes before record {}",
                found.vm, found.dropped, record.offset
            );
            steps.gaps.push(text);
        }
        for note in found.notes.iter().filter(|note| ids.contains(&note.id)) {
            add_note(record.offset, &found.vm, note, steps);
        }
    }
}

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
