//! The events that a control record gives rise to.

use super::effect::Effect;
use super::ledger::Applied;
use super::ledger::Ledger;
use super::ledger::catalog::ChangeVerdict;
use super::ledger::gangs::Phase;
use crate::events;
use crate::events::Note;
use crate::records::Entry;

/// Notes what a control record did.
///
/// Only the record's writer does so, so that the audit stream holds each decision once.
pub(super) fn note(ledger: &Ledger, applied: &Applied, effects: &mut Vec<Effect>) {
    note_changes(applied, effects);
    note_rulings(ledger, applied, effects);
    note_moves(ledger, applied, effects);
}

fn note_changes(applied: &Applied, effects: &mut Vec<Effect>) {
    for change in &applied.changes {
        effects.push(Effect::Note(note_change(change)));
    }
}

fn note_change(change: &ChangeVerdict) -> Note {
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

fn note_rulings(ledger: &Ledger, applied: &Applied, effects: &mut Vec<Effect>) {
    let cfg = ledger.catalog.next;
    for ruling in &applied.verdicts {
        let note = match (&ruling.entry, &ruling.verdict) {
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

fn note_moves(ledger: &Ledger, applied: &Applied, effects: &mut Vec<Effect>) {
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
