//! How many upstreams a call for advice names, and for how long its tickets are used.

use crate::fleet::model::Advice;

/// The most upstreams in one call.
pub(in crate::fleet) const MAX_ASKED: usize = 100;
/// How long before its expiry a ticket is no longer used, in milliseconds: the order that carries
/// it must arrive in time.
const TICKET_SLACK_MS: u64 = 300;
/// How long a ticket is used at least, in milliseconds: longer than the pause between two planning
/// passes. A response can take longer than its tickets are valid by the time of the call; whether
/// it was decided late or delivered late, asking again would gain nothing.
const MIN_USE_MS: u64 = 400;
/// The shortest validity of a ticket that can be used, in milliseconds: an order is sent once the
/// store has its row, which takes nearly as long.
const MIN_VALID_MS: u64 = 10;
/// The divisor of the validity that gives the longest part of a call in which upstreams are decided
/// on: the service may decide on one after the other, and the first ticket must not be old by the
/// time of the response.
const VALIDITY_DIVISOR: u64 = 2;
/// The longest wait before a step whose calls led to no start asks again, in milliseconds.
const MAX_REST_MS: u64 = 5_000;
/// The number of calls without a start after which a step waits even if no other step asks.
const MAX_EAGER: u32 = 3;

/// Returns until when the tickets of a response may be used (local clock), for a call that was sent
/// at `sent`, takes `call_ms` at the service, and was answered at `now`.
///
/// A ticket is valid from the decision on. The service takes `call_ms` to decide, so that the
/// decision is not older than `sent + call_ms`, however long the response was on its way.
pub(in crate::fleet) fn usable_until(sent: u64, call_ms: u64, now: u64, valid_ms: u64) -> u64 {
    let decided = now.min(sent.saturating_add(call_ms));
    let until = decided.saturating_add(valid_ms.saturating_sub(TICKET_SLACK_MS));
    until.max(now + valid_ms.min(MIN_USE_MS))
}

/// Returns the most upstreams that one call should name if tickets are valid for `valid_ms`, none if
/// that is not known.
pub(in crate::fleet) fn width(advice: &Advice, valid_ms: Option<u64>) -> usize {
    let fits = valid_ms.and_then(|valid| (valid / VALIDITY_DIVISOR).checked_div(advice.each_ms));
    fits.map_or(MAX_ASKED, |fits| {
        usize::try_from(fits)
            .unwrap_or(MAX_ASKED)
            .clamp(1, MAX_ASKED)
    })
}

/// Returns the most upstreams of a call sent at `now` whose response arrives before `until`.
pub(in crate::fleet) fn width_until(advice: &Advice, now: u64, until: u64) -> usize {
    let left = until.saturating_sub(now).checked_sub(advice.decide_ms);
    left.map_or(0, |left| {
        let fits = left.saturating_sub(1).checked_div(advice.each_ms);
        fits.map_or(MAX_ASKED, |fits| {
            usize::try_from(fits).unwrap_or(MAX_ASKED).min(MAX_ASKED)
        })
    })
}

/// Returns the most upstreams for which tickets can be valid at the same time: those of one call, and
/// of a second one that is answered before the tickets of the first expire.
pub(in crate::fleet) fn reach(advice: &Advice, valid_ms: u64) -> usize {
    let usable = valid_ms.saturating_sub(TICKET_SLACK_MS);
    MAX_ASKED + width_until(advice, 0, usable)
}

/// Returns for how long a step leaves the service to other steps after `unrewarded` calls in a row
/// that led to no start, the last of which took `took_ms`, in milliseconds.
pub(in crate::fleet) fn rest_ms(unrewarded: u32, took_ms: u64) -> u64 {
    let doublings = unrewarded.saturating_sub(1).min(u64::BITS - 1);
    took_ms.saturating_mul(1 << doublings).min(MAX_REST_MS)
}

/// Returns whether a step that rests may ask if no other step does.
pub(in crate::fleet) fn is_eager(unrewarded: u32) -> bool {
    unrewarded <= MAX_EAGER
}

/// Returns whether tickets that are valid for `valid_ms` can be used at all.
pub(in crate::fleet) fn is_usable(valid_ms: u64) -> bool {
    valid_ms >= MIN_VALID_MS
}
