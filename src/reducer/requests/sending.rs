//! Dispatch of queued requests, and what follows from the end of a try.

use super::Requests;
use super::View;
use super::admission;
use super::claim;
use super::health::Mark;
use super::health::Turn;
use super::queue::Head;
use super::reply::note;
use super::request::Request;
use super::request::Sent;
use super::request::Stage;
use super::retry::Held;
use super::retry::SENDS_MAX;
use crate::events;
use crate::events::Note;
use crate::prelude::*;
use crate::records::Kept;
use crate::records::Outcome;
use crate::reducer::effect::Dispatch;
use crate::reducer::effect::Effect;
use crate::reducer::effect::Reply;
use crate::reducer::event::TryEnd;

/// How many times the usual service time a try may take before it counts against the runner.
const LATE_FACTOR: u64 = 4;
/// The least time that an upstream is taken to run an abandoned request on, in milliseconds.
const GHOST_MS: u64 = 1_000;

impl Requests {
    /// Takes over what the peers, the list and the configuration say by now.
    pub(super) fn refresh(&mut self, view: &View<'_>, effects: &mut Vec<Effect>) {
        for (runner, turn) in self.routing.refresh(view) {
            effects.push(Effect::Note(note_turn(view, &runner, turn)));
        }
    }

    /// Sends queued requests, the most pressing first, while runners have room.
    pub(super) fn pump(&mut self, view: &View<'_>, effects: &mut Vec<Effect>) {
        if !view.ready {
            return;
        }
        for pool in self.queues.pools() {
            while self.pump_one(view, &pool, effects) {}
        }
        let waiting = self.queues.pools();
        self.routing.note_backlogs(waiting, view.now.mono_ms);
    }

    /// Sends or gives up one request of a pool; tells whether there was one.
    fn pump_one(&mut self, view: &View<'_>, pool: &Name, effects: &mut Vec<Effect>) -> bool {
        for head in self.queues.heads(pool) {
            let req = head.place.req.clone();
            if self.is_hopeless(view, &req) {
                self.give_up(view, &req, effects);
                return true;
            }
            if self.send(view, pool, &head, effects) {
                return true;
            }
        }
        false
    }

    /// Tells whether a waiting request can no longer be answered in time, or may not be sent.
    fn is_hopeless(&self, view: &View<'_>, req: &Name) -> bool {
        let Some(found) = self.all.get(req) else {
            return false;
        };
        if found.is_late(view) || !claim::holds(view, found) {
            return true;
        }
        let Some(queue) = self.queues.get(&found.kind.name) else {
            return false;
        };
        let waited = view.now.mono_ms > found.since_ms;
        let whole_ms = found.end_ms - found.since_ms;
        let left_ms = found.end_ms - view.now.mono_ms;
        let usual_ms = queue.service_ms();
        waited && queue.is_trusted() && usual_ms < whole_ms && left_ms < usual_ms
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
            self.budget.earn(config.retry_pct);
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
            // A configured service time may be far off, so no try is given up early by that one.
            usual_ms: self
                .queues
                .get(&found.kind.name)
                .filter(|queue| queue.is_trusted())
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
        self.queues.count_turn(&pool.name, head, config.patient_pct);
        self.schedule(view, req);
        true
    }

    /// Takes in the end of a try.
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
        let mark = self.mark_of(view, req, &sent, &end);
        self.judge(view, req, &sent, mark, effects);
        match end {
            TryEnd::Answered {
                status,
                retry_ms,
                kept,
            } => self.answered(view, req, &sent, status, retry_ms, kept, effects),
            TryEnd::NotSent { .. } | TryEnd::Leaving => self.again(view, req, false, effects),
            TryEnd::Broken { .. } => self.again(view, req, true, effects),
        }
    }

    /// Looks at a request whose timer ran out.
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
        self.abandon(view, req, Mark::Broken, effects);
        self.again(view, req, true, effects);
    }

    /// Gives up the try in flight, if there is one; its end no longer counts.
    pub(super) fn abandon(
        &mut self,
        view: &View<'_>,
        req: &Name,
        mark: Mark,
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
        let trusted = queue.is_some_and(|queue| queue.is_trusted());
        let left_ms = usual_ms.saturating_sub(took_ms).max(GHOST_MS);
        self.routing
            .abandoned(&sent.runner, view.now.mono_ms, left_ms);
        let mark = match mark {
            Mark::Neutral if trusted && took_ms > LATE_FACTOR * usual_ms => Mark::Error,
            mark => mark,
        };
        self.judge(view, req, &sent, mark, effects);
    }

    fn judge(
        &mut self,
        view: &View<'_>,
        req: &Name,
        sent: &Sent,
        mark: Mark,
        effects: &mut Vec<Effect>,
    ) {
        let found = self.all.get(req);
        let pool = found.and_then(|found| admission::pool_of(view, &found.kind));
        let runner = &sent.runner;
        let turn = self.routing.ended(view, pool, runner, mark, sent.at_ms);
        if let Some(turn) = turn {
            effects.push(Effect::Note(note_turn(view, runner, turn)));
        }
    }

    /// Judges the runner by the end of a try, and learns the service time.
    fn mark_of(&mut self, view: &View<'_>, req: &Name, sent: &Sent, end: &TryEnd) -> Mark {
        let Some(found) = self.all.get(req) else {
            return Mark::Neutral;
        };
        match end {
            TryEnd::Answered {
                status: 429 | 503,
                retry_ms: Some(wait_ms),
                ..
            } => Mark::Busy(*wait_ms),
            TryEnd::Answered { status, .. } if *status >= 500 => Mark::Error,
            TryEnd::Answered { .. } => {
                let took_ms = view.now.mono_ms.saturating_sub(sent.at_ms);
                let queue = self.queues.open(&found.kind);
                // A configured service time may be far off, so nothing is slow by that one.
                let usual_ms = match queue.is_trusted() {
                    true => queue.service_ms(),
                    false => took_ms,
                };
                self.queues.served(&found.kind, took_ms);
                Mark::Good { took_ms, usual_ms }
            }
            TryEnd::NotSent { .. } if found.gone => Mark::Neutral,
            TryEnd::NotSent { .. } => Mark::Broken,
            TryEnd::Broken { .. } => {
                let took_ms = view.now.mono_ms.saturating_sub(sent.at_ms);
                self.queues.outlasted(&found.kind, took_ms);
                Mark::Broken
            }
            TryEnd::Leaving => Mark::Leaving,
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "the parts of an answer arrive apart"
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
        let spare = !found.gone && found.reached + 1 < found.kind.attempts;
        if fails && found.kind.idempotent {
            found.faults.hold(Held {
                busy,
                status,
                attempt: found.attempt,
                runner: sent.runner.clone(),
            });
            if spare && self.budget.spend() {
                found.reached += 1;
                self.enqueue(view, req);
                return;
            }
            self.fail(view, req, effects);
            return;
        }
        let outcome = match busy {
            // A busy upstream gives no answer that is worth keeping.
            true => Outcome::Unknown,
            false => Outcome::Done(kept),
        };
        let reply = Reply::Upstream {
            attempt: found.attempt,
            runner: sent.runner.clone(),
        };
        self.finish(view, req, reply, Some(status), outcome, effects);
    }

    /// Lets a request be tried again after a try without an answer, or ends it.
    fn again(&mut self, view: &View<'_>, req: &Name, touched: bool, effects: &mut Vec<Effect>) {
        let Some(found) = self.all.get_mut(req) else {
            return;
        };
        found.faults.touched |= touched;
        found.reached += u32::from(touched);
        let barred = touched && !found.kind.idempotent;
        let spent = found.reached >= found.kind.attempts || found.attempt >= SENDS_MAX;
        let mut ended = barred || spent || found.gone;
        // A try that never left this VM adds no load, and so costs no retry.
        if !ended && touched {
            ended = !self.budget.spend();
        }
        if !ended {
            self.enqueue(view, req);
            return;
        }
        self.fail(view, req, effects);
    }

    /// Ends a request with the error that follows from all of its tries.
    fn fail(&mut self, view: &View<'_>, req: &Name, effects: &mut Vec<Effect>) {
        let Some(found) = self.all.get(req) else {
            return;
        };
        let outcome = found.unanswered();
        let (reply, status) = match found.faults.held() {
            Some(held) => (held.reply(), Some(held.status)),
            None => (found.faults.error(), None),
        };
        self.finish(view, req, reply, status, outcome, effects);
    }
}

/// Tells whether an answer says that the upstream is busy, which it does with a `Retry-After`.
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

fn note_turn(view: &View<'_>, runner: &Name, turn: Turn) -> Note {
    let cfg = view.ledger.catalog.next;
    match turn {
        Turn::Cooled(wait_ms) => {
            Note::new(&events::UPSTREAM_COOLED, runner, cfg).with("wait_ms", wait_ms)
        }
        Turn::Back => Note::new(&events::UPSTREAM_BACK, runner, cfg),
        Turn::Left => Note::new(&events::UPSTREAM_LEAVING, runner, cfg),
    }
}
