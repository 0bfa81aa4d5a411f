//! Admission control: a request that can't be answered in time is refused at once.

use super::Requests;
use super::View;
use super::reply::refuse;
use crate::model::Kind;
use crate::model::Pool;
use crate::reducer::effect::Code;
use crate::reducer::effect::Ran;
use crate::reducer::effect::Reply;
use crate::reducer::event::Arrival;

/// The longest deadline that is granted, in milliseconds.
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// The longest delay before a retry that a refusal advises, in milliseconds.
const MAX_RETRY_MS: u64 = 60_000;

/// Returns the kind of an admissible request.
///
/// # Errors
///
/// The refusal.
pub(super) fn check(view: &View<'_>, arrival: &Arrival) -> std::result::Result<Kind, Reply> {
    if view.draining {
        return Err(refuse(503, Code::Draining, Ran::No, Some(0)));
    }
    if !view.ready {
        return Err(refuse(503, Code::NotReady, Ran::No, Some(1_000)));
    }
    let kind = allowed(view, arrival)?;
    Ok(kind.clone())
}

/// Checks that the queue has room and the request is predicted to be answered in time.
///
/// # Errors
///
/// The refusal.
pub(super) fn check_load(
    requests: &Requests,
    view: &View<'_>,
    arrival: &Arrival,
    kind: &Kind,
) -> std::result::Result<(), Reply> {
    let left_ms = deadline_ms(arrival, kind);
    if left_ms == 0 {
        return Err(refuse(503, Code::TooLate, Ran::No, None));
    }
    let Some(queue) = requests.queues.get(&kind.name) else {
        return Ok(());
    };
    let now_ms = view.now.mono_ms;
    if queue.depth() >= view.ctx.settings.requests.queue {
        let retry_ms = Some(retry_after_ms(queue.drain_ms(now_ms) / 2));
        return Err(refuse(503, Code::QueueFull, Ran::No, retry_ms));
    }
    let wait_ms = queue.wait_ms(now_ms + left_ms, now_ms);
    let done_ms = wait_ms + queue.service_ms();
    if wait_ms > 0 && done_ms > left_ms {
        let retry_ms = Some(retry_after_ms(done_ms - left_ms));
        return Err(refuse(503, Code::TooLate, Ran::No, retry_ms));
    }
    Ok(())
}

/// Returns the time from a request's arrival to its deadline, in milliseconds.
pub(super) fn deadline_ms(arrival: &Arrival, kind: &Kind) -> u64 {
    arrival
        .deadline_ms
        .unwrap_or(kind.deadline_ms)
        .min(MAX_DEADLINE_MS)
}

/// Bounds the delay before a retry that a refusal advises, in milliseconds.
pub(super) fn retry_after_ms(wait_ms: u64) -> u64 {
    wait_ms.clamp(100, MAX_RETRY_MS)
}

/// Returns the pool of a kind.
pub(super) fn pool_of<'a>(view: &View<'a>, kind: &Kind) -> Option<&'a Pool> {
    view.ledger.catalog.pool(&kind.pool)
}

fn allowed<'a>(view: &View<'a>, arrival: &Arrival) -> std::result::Result<&'a Kind, Reply> {
    let catalog = &view.ledger.catalog;
    if catalog.workspace(&arrival.workspace).is_none() {
        return Err(refuse(404, Code::UnknownWorkspace, Ran::No, None));
    }
    let kind = catalog.allows(&arrival.workspace, &arrival.kind);
    kind.map_err(|_| refuse(404, Code::UnknownKind, Ran::No, None))
}
