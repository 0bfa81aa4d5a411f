//! Replies and the numbered events of requests.

use super::View;
use crate::events::Note;
use crate::events::NoteKind;
use crate::events::REQUEST_ANSWERED;
use crate::events::REQUEST_REFUSED;
use crate::reducer::effect::Code;
use crate::reducer::effect::Effect;
use crate::reducer::effect::Ran;
use crate::reducer::effect::Refusal;
use crate::reducer::effect::Reply;
use crate::reducer::event::Arrival;

/// Builds a refusal with the standard text of its code.
pub(super) fn refuse(status: u16, code: Code, ran: Ran, retry_ms: Option<u64>) -> Reply {
    Reply::Refused(Refusal::new(status, code, ran, retry_ms))
}

/// Builds an event of a request, with the fields by which an auditor finds it.
pub(super) fn note(view: &View<'_>, kind: &'static NoteKind, arrival: &Arrival) -> Note {
    let note = Note::new(kind, &arrival.req, view.ledger.catalog.next)
        .with("workspace", &arrival.workspace)
        .with("kind", &arrival.kind);
    match &arrival.key {
        Some(key) => note.with("key", key),
        None => note,
    }
}

/// Replies to the caller, and logs the reply as an event.
pub(super) fn answer(
    view: &View<'_>,
    arrival: &Arrival,
    reply: Reply,
    status: Option<u16>,
    effects: &mut Vec<Effect>,
) {
    effects.push(Effect::Note(note_reply(view, arrival, &reply, status)));
    effects.push(Effect::Reply {
        req: arrival.req.clone(),
        cfg: view.ledger.catalog.next,
        reply,
    });
}

fn note_reply(view: &View<'_>, arrival: &Arrival, reply: &Reply, status: Option<u16>) -> Note {
    let answered = note(view, &REQUEST_ANSWERED, arrival);
    match reply {
        Reply::Upstream { attempt, runner } => answered
            .with("runner", runner)
            .with("attempt", attempt)
            .with("status", status.unwrap_or(0)),
        Reply::Kept(kept) => answered
            .with("status", kept.status)
            .with("reason", "the first run's answer was kept"),
        Reply::Refused(refusal) => note(view, &REQUEST_REFUSED, arrival)
            .with("status", refusal.status)
            .with("code", code_name(refusal.code))
            .with("ran", ran_name(refusal.ran))
            .with("reason", &refusal.detail),
        Reply::JobAccepted { .. } | Reply::JobCancelled { .. } => answered,
    }
}

/// Returns the name of a code, as in the JSON of refusals.
fn code_name(code: Code) -> String {
    let text = serde_json::to_value(code).unwrap_or_default();
    text.as_str().unwrap_or_default().to_owned()
}

fn ran_name(ran: Ran) -> &'static str {
    match ran {
        Ran::No => "no",
        Ran::Unknown => "unknown",
        Ran::Yes => "yes",
    }
}
