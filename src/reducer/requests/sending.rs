//! Dispatch of queued requests, and the handling of attempts that end.

use super::Requests;
use super::View;
use super::admission;
use super::claim;
use super::health::HealthSignal;
use super::health::Transition;
use super::queue::Head;
use super::reply::note;
use super::request::Request;
use super::request::Sent;
use super::request::Stage;
use super::retry::Held;
use super::retry::MAX_SENDS;
use crate::events;
use crate::events::Note;
use crate::prelude::*;
use crate::records::Kept;
use crate::records::Outcome;
use crate::reducer::effect::Dispatch;
use crate::reducer::effect::Effect;
use crate::reducer::effect::Reply;
use crate::reducer::event::TryEnd;

/// The multiple of the usual service time above which an abandoned attempt is an error of the
/// runner.
const LATE_FACTOR: u64 = 4;
/// The least time for which an upstream is assumed to keep running an abandoned request, in
/// milliseconds.
const MIN_ABANDONED_MS: u64 = 1_000;

impl Requests {
    /// Updates the routing from the peers, the list of VMs and the configuration.
    pub(super) fn refresh(&mut self, view: &View<'_>, effects: &mut Vec<Effect>) {
        for (runner, transition) in self.routing.refresh(view) {
            effects.push(Effect::Note(note_transition(view, &runner, transition)));
        }
    }

    /// Dispatches queued requests, those of the highest priority first, while runners have room.
    pub(super) fn dispatch_queued(&mut self, view: &View<'_>, effects: &mut Vec<Effect>) {
        if !view.ready {
            return;
        }
        for pool in self.queues.pools() {
            while self.dispatch_one(view, &pool, effects) {}
        }
        let waiting = self.queues.pools();
        self.routing.update_backlogs(waiting, view.now.mono_ms);
    }

    /// Dispatches or ends one request of a pool; returns whether there was one.
    fn dispatch_one(&mut self, view: &View<'_>, pool: &Name, effects: &mut Vec<Effect>) -> bool {
        for head in self.queues.heads(pool) {
            let req = head.place.req.clone();
            if self.should_end(view, &req) {
                self.give_up(view, &req, effects);
                return true;
            }
            if self.send(view, pool, &head, effects) {
                return true;
            }
        }
        false
    }

    /// Returns whether a waiting request can no longer be answered in time, or may not be sent.
    fn should_end(&self, view: &View<'_>, req: &Name) -> bool {
        let Some(found) = self.all.get(req) else {
            return false;
        };
        if found.is_late(view) || !claim::may_send(view, found) {
            return true;
        }
        let Some(queue) = self.queues.get(&found.kind.name) else {
            return false;
        };
        let waited = view.now.mono_ms > found.since_ms;
        let whole_ms = found.end_ms - found.since_ms;
        let left_ms = found.end_ms - view.now.mono_ms;
        let usual_ms = queue.service_ms();
        waited && queue.has_enough_samples() && usual_ms < whole_ms && left_ms < usual_ms
    }

    fn send(
        &mut self,
        view: &View<'_>,
        pool: &Name,
        head: &Head,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let req = &head.place.req;
        let Some(found) = self.all.get_mut(req) else {
            return false;
        };
        let Some(pool) = view.ledger.catalog.pool(pool) else {
            return false;
        };
        let chosen = self
            .routing
            .choose(view, pool, &found.tried, found.kind.idempotent);
        let Some(runner) = chosen else {
            return false;
        };
        let config = &view.ctx.settings.requests;
        if found.attempt == 0 {
            self.budget.deposit(config.retry_pct);
        }
        found.attempt += 1;
        found.tried.push(runner.name.clone());
        found.stage = Stage::Sent(Sent {
            runner: runner.name.clone(),
            at_ms: view.now.mono_ms,
        });
        let mut left_ms = found.end_ms.saturating_sub(view.now.mono_ms);
        if found.kind.idempotent {
            left_ms = left_ms.min(config.try_ms);
        }
        let vms = (config.fleet + config.spare).max(self.routing.members());
        let dispatch = Dispatch {
            req: req.clone(),
            attempt: found.attempt,
            runner: runner.name.clone(),
            addr: runner.addr.clone(),
            left_ms,
            // A configured service time may be far off, so it must not end an attempt early.
            usual_ms: self
                .queues
                .get(&found.kind.name)
                .filter(|queue| queue.has_enough_samples())
                .map_or(left_ms, |queue| queue.service_ms()),
            check_live: !found.kind.idempotent,
            connections: (u64::from(pool.connections) / vms.max(1)).max(1) as u32,
        };
        let dispatched = note(view, &events::REQUEST_DISPATCHED, &found.arrival)
            .with("runner", &runner.name)
            .with("attempt", found.attempt)
            .with("left_ms", left_ms);
        effects.push(Effect::Note(dispatched));
        effects.push(Effect::Dispatch(dispatch));
        self.routing.sent(&runner.name);
        self.queues.take(&head.kind, &head.place, view.now.mono_ms);
        self.queues.account(&pool.name, head, config.patient_pct);
        self.schedule(view, req);
        true
    }

    /// Handles the end of an attempt.
    pub(super) fn end_try(
        &mut self,
        view: &View<'_>,
        req: &Name,
        attempt: u32,
        end: TryEnd,
        effects: &mut Vec<Effect>,
    ) {
        let Some(found) = self.all.get_mut(req) else {
            return;
        };
        let Stage::Sent(sent) = found.stage.clone() else {
            return;
        };
        if found.attempt != attempt {
            return;
        }
        effects.push(Effect::Note(note_end(view, found, &sent, &end)));
        let signal = self.health_signal(view, req, &sent, &end);
        self.record_end(view, req, &sent, signal, effects);
        match end {
            TryEnd::Answered {
                status,
                retry_ms,
                kept,
            } => self.answered(view, req, &sent, status, retry_ms, kept, effects),
            TryEnd::NotSent { .. } | TryEnd::Leaving => {
                self.retry_or_fail(view, req, false, effects)
            }
            TryEnd::Broken { .. } => self.retry_or_fail(view, req, true, effects),
        }
    }

    /// Handles the timer of a request.
    pub(super) fn expire(&mut self, view: &View<'_>, req: &Name, effects: &mut Vec<Effect>) {
        let Some(found) = self.all.get(req) else {
            return;
        };
        if found.is_late(view) {
            self.give_up(view, req, effects);
            return;
        }
        if found.next_due(view) > view.now.mono_ms {
            self.schedule(view, req);
            return;
        }
        self.abandon(view, req, HealthSignal::Broken, effects);
        self.retry_or_fail(view, req, true, effects);
    }

    /// Abandons the attempt in flight, if there is one; its end is then ignored.
    pub(super) fn abandon(
        &mut self,
        view: &View<'_>,
        req: &Name,
        signal: HealthSignal,
        effects: &mut Vec<Effect>,
    ) {
        let Some(found) = self.all.get_mut(req) else {
            return;
        };
        let Stage::Sent(sent) = found.stage.clone() else {
            return;
        };
        found.faults.touched = true;
        effects.push(Effect::Abandon {
            req: req.clone(),
            attempt: found.attempt,
        });
        let took_ms = view.now.mono_ms.saturating_sub(sent.at_ms);
        let queue = self.queues.get(&found.kind.name);
        let usual_ms = queue.map_or(0, |queue| queue.service_ms());
        let reliable = queue.is_some_and(|queue| queue.has_enough_samples());
        let left_ms = usual_ms.saturating_sub(took_ms).max(MIN_ABANDONED_MS);
        self.routing
            .abandoned(&sent.runner, view.now.mono_ms, left_ms);
        let signal = match signal {
            HealthSignal::Neutral if reliable && took_ms > LATE_FACTOR * usual_ms => {
                HealthSignal::Error
            }
            signal => signal,
        };
        self.record_end(view, req, &sent, signal, effects);
    }

    /// Counts the end of an attempt at its runner, and reports a change of the runner's health.
    fn record_end(
        &mut self,
        view: &View<'_>,
        req: &Name,
        sent: &Sent,
        signal: HealthSignal,
        effects: &mut Vec<Effect>,
    ) {
        let found = self.all.get(req);
        let pool = found.and_then(|found| admission::pool_of(view, &found.kind));
        let runner = &sent.runner;
        let transition = self.routing.ended(view, pool, runner, signal, sent.at_ms);
        if let Some(transition) = transition {
            effects.push(Effect::Note(note_transition(view, runner, transition)));
        }
    }

    /// Returns what the end of an attempt indicates about the runner, and updates the service time.
    fn health_signal(
        &mut self,
        view: &View<'_>,
        req: &Name,
        sent: &Sent,
        end: &TryEnd,
    ) -> HealthSignal {
        let Some(found) = self.all.get(req) else {
            return HealthSignal::Neutral;
        };
        match end {
            TryEnd::Answered {
                status: 429 | 503,
                retry_ms: Some(wait_ms),
                ..
            } => HealthSignal::Busy(*wait_ms),
            TryEnd::Answered { status, .. } if *status >= 500 => HealthSignal::Error,
            TryEnd::Answered { .. } => {
                let took_ms = view.now.mono_ms.saturating_sub(sent.at_ms);
                let queue = self.queues.open(&found.kind);
                // A configured service time may be far off, so no response counts as slow by it.
                let usual_ms = match queue.has_enough_samples() {
                    true => queue.service_ms(),
                    false => took_ms,
                };
                self.queues.record_response(&found.kind, took_ms);
                HealthSignal::Good { took_ms, usual_ms }
            }
            TryEnd::NotSent { .. } if found.gone => HealthSignal::Neutral,
            TryEnd::NotSent { .. } => HealthSignal::Broken,
            TryEnd::Broken { .. } => {
                let took_ms = view.now.mono_ms.saturating_sub(sent.at_ms);
                self.queues.record_unanswered(&found.kind, took_ms);
                HealthSignal::Broken
            }
            TryEnd::Leaving => HealthSignal::Leaving,
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "takes each field of an answered try"
    )]
    fn answered(
        &mut self,
        view: &View<'_>,
        req: &Name,
        sent: &Sent,
        status: u16,
        retry_ms: Option<u64>,
        kept: Kept,
        effects: &mut Vec<Effect>,
    ) {
        let Some(found) = self.all.get_mut(req) else {
            return;
        };
        let busy = is_busy(status, retry_ms);
        let fails = busy || status >= 500;
        let may_retry = !found.gone && found.reached + 1 < found.kind.attempts;
        if fails && found.kind.idempotent {
            found.faults.hold(Held {
                busy,
                status,
                attempt: found.attempt,
                runner: sent.runner.clone(),
            });
            if may_retry && self.budget.withdraw() {
                found.reached += 1;
                self.enqueue(view, req);
                return;
            }
            self.fail(view, req, effects);
            return;
        }
        let outcome = match busy {
            // A busy response is not worth storing for retries with the same key.
            true => Outcome::Unknown,
            false => Outcome::Done(kept),
        };
        let reply = Reply::Upstream {
            attempt: found.attempt,
            runner: sent.runner.clone(),
        };
        self.finish(view, req, reply, Some(status), outcome, effects);
    }

    /// Retries a request after an attempt without a response, or ends it.
    fn retry_or_fail(
        &mut self,
        view: &View<'_>,
        req: &Name,
        touched: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(found) = self.all.get_mut(req) else {
            return;
        };
        found.faults.touched |= touched;
        found.reached += u32::from(touched);
        let unsafe_retry = touched && !found.kind.idempotent;
        let exhausted = found.reached >= found.kind.attempts || found.attempt >= MAX_SENDS;
        let mut ended = unsafe_retry || exhausted || found.gone;
        // An attempt that never left this VM adds no load, so its retry costs no budget.
        if !ended && touched {
            ended = !self.budget.withdraw();
        }
        if !ended {
            self.enqueue(view, req);
            return;
        }
        self.fail(view, req, effects);
    }

    /// Ends a request with the final error of all its attempts.
    fn fail(&mut self, view: &View<'_>, req: &Name, effects: &mut Vec<Effect>) {
        let Some(found) = self.all.get(req) else {
            return;
        };
        let outcome = found.outcome();
        let (reply, status) = match found.faults.held() {
            Some(held) => (held.reply(), Some(held.status)),
            None => (found.faults.error(), None),
        };
        self.finish(view, req, reply, status, outcome, effects);
    }
}

/// Returns whether a response says that the upstream is busy: a 429 or 503 with `Retry-After`.
fn is_busy(status: u16, retry_ms: Option<u64>) -> bool {
    retry_ms.is_some() && matches!(status, 429 | 503)
}

fn note_end(view: &View<'_>, request: &Request, sent: &Sent, end: &TryEnd) -> Note {
    let ended = note(view, &events::REQUEST_TRY_ENDED, &request.arrival)
        .with("runner", &sent.runner)
        .with("attempt", request.attempt);
    match end {
        TryEnd::Answered { status, .. } => ended.with("end", "answered").with("status", status),
        TryEnd::NotSent { cause } => ended.with("end", "not_sent").with("cause", cause),
        TryEnd::Broken { cause } => ended.with("end", "broken").with("cause", cause),
        TryEnd::Leaving => ended.with("end", "leaving"),
    }
}

fn note_transition(view: &View<'_>, runner: &Name, transition: Transition) -> Note {
    let cfg = view.ledger.catalog.next;
    match transition {
        Transition::Cooled(wait_ms) => {
            Note::new(&events::UPSTREAM_COOLED, runner, cfg).with("wait_ms", wait_ms)
        }
        Transition::Back => Note::new(&events::UPSTREAM_BACK, runner, cfg),
        Transition::Left => Note::new(&events::UPSTREAM_LEAVING, runner, cfg),
    }
}
