//! The claims of non-idempotent requests: one is sent only while its own claim is in force.

use super::View;
use super::reply::note;
use super::reply::refuse;
use super::request::Request;
use crate::events::Note;
use crate::events::REQUEST_DUPLICATE;
use crate::prelude::*;
use crate::records::Entry;
use crate::records::Outcome;
use crate::records::Void;
use crate::reducer::effect::Code;
use crate::reducer::effect::Effect;
use crate::reducer::effect::Ran;
use crate::reducer::effect::Reply;
use crate::reducer::event::Arrival;
use crate::reducer::ledger::claims::Claim;
use crate::reducer::ledger::claims::KEY_TTL_MS;

/// How long before its expiry a key is refused as too old, in milliseconds.
pub const KEY_MARGIN_MS: u64 = 3_600_000;
/// The longest time from the arrival of a request with a claim to its dispatch, in milliseconds.
const MAX_CLAIM_AGE_MS: u64 = KEY_TTL_MS / 2;

/// Checks that the key of a request is present, not claimed yet, and not so old that an earlier
/// claim may have expired.
///
/// # Errors
///
/// The reply to a request that fails the check.
pub(super) fn check(
    view: &View<'_>,
    arrival: &Arrival,
    effects: &mut Vec<Effect>,
) -> std::result::Result<(), Reply> {
    let Some(key) = &arrival.key else {
        return Err(refuse(400, Code::KeyMissing, Ran::No, None));
    };
    let first = view.ledger.claims.get(&arrival.workspace, key);
    if let Some(first) = first
        && !may_claim_again(first, arrival.print)
    {
        let void = match first.print == arrival.print {
            true => Void::Claimed(first.req.clone()),
            false => Void::Mismatch,
        };
        // This entry will be void; it only lists the duplicate for the chief judge.
        effects.push(Effect::Append(claim_entry(arrival, key)));
        effects.push(Effect::Note(note_duplicate(view, arrival, first)));
        return Err(reply_to_void(view, &void, Some(first)));
    }
    if is_too_old(view, arrival) {
        return Err(refuse(409, Code::KeyTooOld, Ran::Unknown, None));
    }
    if !view.log_up {
        return Err(refuse(503, Code::LogDown, Ran::No, Some(1_000)));
    }
    Ok(())
}

/// Appends the claim of a request's key to the log.
pub(super) fn append_claim(arrival: &Arrival, effects: &mut Vec<Effect>) {
    if let Some(key) = &arrival.key {
        effects.push(Effect::Append(claim_entry(arrival, key)));
    }
}

/// Returns the reply to a request whose claim is void.
pub(super) fn reply_to_void(view: &View<'_>, void: &Void, first: Option<&Claim>) -> Reply {
    match (void, first) {
        (Void::Mismatch, _) => refuse(422, Code::KeyMismatch, Ran::No, None),
        (Void::Claimed(_), Some(first)) => reply_to_claimed(view, first),
        (Void::Claimed(_), None) => refuse(409, Code::OutcomeUnknown, Ran::Unknown, None),
        (Void::Full(_), _) => refuse(503, Code::QueueFull, Ran::No, Some(5_000)),
        (Void::Unknown(_) | Void::Policy(_), _) => refuse(404, Code::UnknownKind, Ran::No, None),
        _ => refuse(503, Code::LogDown, Ran::No, Some(1_000)),
    }
}

/// Builds the event of a request whose key is already claimed by `first`.
pub(super) fn note_duplicate(view: &View<'_>, arrival: &Arrival, first: &Claim) -> Note {
    note(view, &REQUEST_DUPLICATE, arrival)
        .with("first", &first.req)
        .with("differs", first.print != arrival.print)
}

/// Returns whether a request may be sent: it needs no claim, or its own claim is in force, recent
/// enough and not settled.
pub(super) fn may_send(view: &View<'_>, request: &Request) -> bool {
    if request.kind.idempotent {
        return true;
    }
    let Some(key) = &request.arrival.key else {
        return false;
    };
    let claim = view.ledger.claims.get(&request.arrival.workspace, key);
    let own = claim.is_some_and(|claim| {
        claim.req == request.arrival.req
            && claim.writer == view.ctx.writer
            && claim.boot == view.ctx.boot
            && claim.outcome.is_none()
    });
    let age_ms = view.now.mono_ms.saturating_sub(request.since_ms);
    request.claimed && own && age_ms < MAX_CLAIM_AGE_MS
}

/// Builds the effect that records the outcome of a claimed request.
pub(super) fn settle(req: &Name, workspace: &Name, key: &Name, outcome: Outcome) -> Effect {
    Effect::Append(Entry::Settle {
        req: req.clone(),
        workspace: workspace.clone(),
        key: key.clone(),
        outcome,
    })
}

fn claim_entry(arrival: &Arrival, key: &Name) -> Entry {
    Entry::Claim {
        req: arrival.req.clone(),
        workspace: arrival.workspace.clone(),
        kind: arrival.kind.clone(),
        key: key.clone(),
        print: arrival.print,
    }
}

fn may_claim_again(first: &Claim, print: u64) -> bool {
    first.outcome == Some(Outcome::NotRun) && first.print == print
}

/// Returns whether the key may have expired already, so that an earlier run would go unnoticed.
fn is_too_old(view: &View<'_>, arrival: &Arrival) -> bool {
    let now_ms = view.now.wall_ms.max(view.ledger.clock_ms);
    arrival
        .issued_ms
        .is_some_and(|issued_ms| issued_ms.saturating_add(KEY_TTL_MS - KEY_MARGIN_MS) <= now_ms)
}

fn reply_to_claimed(view: &View<'_>, first: &Claim) -> Reply {
    match &first.outcome {
        Some(Outcome::Done(kept)) if kept.body.is_some() => Reply::Kept(kept.clone()),
        Some(Outcome::Done(_)) => refuse(409, Code::AnswerNotKept, Ran::Yes, None),
        Some(Outcome::Unknown) => refuse(409, Code::OutcomeUnknown, Ran::Unknown, None),
        Some(Outcome::NotRun) => refuse(503, Code::NotReady, Ran::No, Some(0)),
        None if claimant_is_alive(view, first) => {
            refuse(409, Code::KeyInProgress, Ran::Unknown, Some(1_000))
        }
        None => refuse(409, Code::OutcomeUnknown, Ran::Unknown, None),
    }
}

fn claimant_is_alive(view: &View<'_>, claim: &Claim) -> bool {
    if claim.writer == view.ctx.writer {
        return claim.boot == view.ctx.boot;
    }
    let mut live = view.peers.live(view.ctx, view.now);
    live.any(|peer| peer.beat.from == claim.writer && peer.beat.boot == claim.boot)
}
