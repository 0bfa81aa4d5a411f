//! The claims of non-idempotent requests: a request is sent only while its own claim holds.

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

/// How much earlier than it is forgotten a key counts as too old, in milliseconds.
pub const KEY_MARGIN_MS: u64 = 3_600_000;
/// The longest time from a claim to the dispatch of its request, in milliseconds.
const CLAIM_AGE_MS: u64 = KEY_TTL_MS / 2;

/// Answers a request whose key is missing, taken, or too old to be sure of.
///
/// # Errors
///
/// The reply.
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
        // The record of the duplicate is for the chief judge; it is void by itself.
        effects.push(Effect::Append(entry(arrival, key)));
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

/// Claims the key of a request.
pub(super) fn append(arrival: &Arrival, effects: &mut Vec<Effect>) {
    if let Some(key) = &arrival.key {
        effects.push(Effect::Append(entry(arrival, key)));
    }
}

/// Says what becomes of a request whose claim is void.
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

/// Makes the event of a request whose key is taken by `first`.
pub(super) fn note_duplicate(view: &View<'_>, arrival: &Arrival, first: &Claim) -> Note {
    note(view, &REQUEST_DUPLICATE, arrival)
        .with("first", &first.req)
        .with("differs", first.print != arrival.print)
}

/// Returns whether the claim that a request needs is in force, its own and fresh enough.
pub(super) fn holds(view: &View<'_>, request: &Request) -> bool {
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
    request.claimed && own && age_ms < CLAIM_AGE_MS
}

/// Records what became of a claimed request.
pub(super) fn settle(req: &Name, workspace: &Name, key: &Name, outcome: Outcome) -> Effect {
    Effect::Append(Entry::Settle {
        req: req.clone(),
        workspace: workspace.clone(),
        key: key.clone(),
        outcome,
    })
}

fn entry(arrival: &Arrival, key: &Name) -> Entry {
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

/// Returns whether the key may already be forgotten, so that an earlier run would not show.
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
        None if claimant_lives(view, first) => {
            refuse(409, Code::KeyInProgress, Ran::Unknown, Some(1_000))
        }
        None => refuse(409, Code::OutcomeUnknown, Ran::Unknown, None),
    }
}

fn claimant_lives(view: &View<'_>, claim: &Claim) -> bool {
    if claim.writer == view.ctx.writer {
        return claim.boot == view.ctx.boot;
    }
    let mut live = view.peers.live(view.ctx, view.now);
    live.any(|peer| peer.beat.from == claim.writer && peer.beat.boot == claim.boot)
}
