//! The numbered events that report what a control record changed.

use super::effect::Effect;
use super::ledger::Applied;
use super::ledger::Ledger;
use super::ledger::catalog::ChangeVerdict;
use super::ledger::gangs::Phase;
use crate::events;
use crate::events::Note;
use crate::records::Entry;

/// Pushes the events about an applied control record.
///
/// Only the record's writer reports them, so that the audit stream holds each decision once.
pub(super) fn push(ledger: &Ledger, applied: &Applied, effects: &mut Vec<Effect>) {
    push_changes(applied, effects);
    push_verdicts(ledger, applied, effects);
    push_phases(ledger, applied, effects);
}

fn push_changes(applied: &Applied, effects: &mut Vec<Effect>) {
    for change in &applied.changes {
        effects.push(Effect::Note(change_note(change)));
    }
}

fn change_note(change: &ChangeVerdict) -> Note {
    let kind = match (&change.newer, change.refused.is_empty()) {
        (Some(_), _) => &events::CONFIG_TOO_NEW,
        (None, true) => &events::CONFIG_IN_FORCE,
        (None, false) => &events::CONFIG_REFUSED,
    };
    let note = Note::new(kind, &change.change, change.offset + 1).with("object", &change.object);
    match change.refused.is_empty() {
        true => note,
        false => note.with("reason", &change.refused),
    }
}

fn push_verdicts(ledger: &Ledger, applied: &Applied, effects: &mut Vec<Effect>) {
    let cfg = ledger.catalog.next;
    for result in &applied.verdicts {
        let note = match (&result.entry, &result.verdict) {
            (
                Entry::Worker {
                    worker,
                    state,
                    reason,
                },
                Ok(()),
            ) => Note::new(&events::WORKER_STATE, worker, cfg)
                .with("state", format!("{state:?}"))
                .with("reason", reason),
            (Entry::Place { job, .. } | Entry::Reclaim { job, .. }, Err(void)) => {
                Note::new(&events::JOB_VOID, job, cfg).with("reason", void)
            }
            _ => continue,
        };
        effects.push(Effect::Note(note));
    }
}

fn push_phases(ledger: &Ledger, applied: &Applied, effects: &mut Vec<Effect>) {
    for job in &applied.phase_changes {
        let Some(gang) = ledger.gangs.all.get(job) else {
            continue;
        };
        let kind = match &gang.phase {
            Phase::Queued if gang.attempt == 0 => &events::JOB_SUBMITTED,
            Phase::Queued => &events::JOB_QUEUED,
            Phase::Preparing => &events::JOB_PLACED,
            Phase::Running => &events::JOB_RUNNING,
            Phase::Stopping(_) => &events::JOB_STOPPING,
            Phase::Ended(_) => &events::JOB_ENDED,
        };
        let note = Note::new(kind, job, gang.cfg)
            .with("token", gang.token)
            .with("phase", format!("{:?}", gang.phase));
        effects.push(Effect::Note(note));
    }
}
