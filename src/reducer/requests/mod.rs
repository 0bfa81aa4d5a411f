//! The requests of this entry VM, from arrival to the one final reply.

mod admission;
mod claim;
mod health;
mod queue;
mod reply;
mod request;
mod retry;
mod routing;
mod sending;

pub use claim::KEY_MARGIN_MS;

use super::effect::Code;
use super::effect::Effect;
use super::effect::Ran;
use super::effect::Reply;
use super::event::Arrival;
use super::event::Load;
use super::event::Now;
use super::event::TryEnd;
use super::ledger::EntryVerdict;
use super::ledger::Ledger;
use super::peers::Peers;
use crate::context::Context;
use crate::events;
use crate::model::Kind;
use crate::prelude::*;
use crate::records::Entry;
use crate::records::Outcome;
use crate::records::Void;
use queue::Place;
use queue::Queues;
use reply::answer;
use reply::note;
use reply::refuse;
use request::Request;
use request::Stage;
use retry::Budget;
use retry::Faults;
use routing::Routing;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The inputs of a decision about requests, besides the requests themselves.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The settings and the process.
    pub ctx: &'a Context,
    /// The replicated state.
    pub ledger: &'a Ledger,
    /// The peers.
    pub peers: &'a Peers,
    /// The time.
    pub now: Now,
    /// Whether this VM may accept work.
    pub ready: bool,
    /// Whether this VM is draining.
    pub draining: bool,
    /// Whether the log is reachable.
    pub log_up: bool,
}

/// When a request must be checked next.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    due_ms: u64,
    req: Name,
}

/// All requests in progress.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Requests {
    all: BTreeMap<Name, Request>,
    timers: BTreeSet<Timer>,
    queues: Queues,
    routing: Routing,
    budget: Budget,
    arrived: u64,
}

impl Requests {
    /// Returns how many requests are in progress.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Returns whether no request is in progress.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns this process's requests in flight at each runner.
    pub fn loads(&self) -> Vec<Load> {
        self.routing.loads()
    }

    /// Handles a new request: replies at once if it is refused.
    pub fn arrive(&mut self, view: &View<'_>, arrival: Arrival, effects: &mut Vec<Effect>) {
        self.refresh(view, effects);
        if self.all.contains_key(&arrival.req) {
            return;
        }
        match self.admit(view, &arrival, effects) {
            Ok(kind) => self.accept(view, arrival, kind, effects),
            Err(reply) => answer(view, &arrival, reply, None, effects),
        }
        self.dispatch_queued(view, effects);
    }

    /// Handles a new list of VMs.
    pub fn vm_list_changed(&mut self, view: &View<'_>, effects: &mut Vec<Effect>) {
        self.refresh(view, effects);
        self.dispatch_queued(view, effects);
    }

    /// Handles the verdict on an entry, if it is a claim of this process.
    pub fn claim_verdict(
        &mut self,
        view: &View<'_>,
        decided: &EntryVerdict,
        effects: &mut Vec<Effect>,
    ) {
        let id = &decided.origin.id;
        let own = id.writer == view.ctx.writer && id.boot == view.ctx.boot;
        let Entry::Claim {
            req,
            workspace,
            key,
            ..
        } = &decided.entry
        else {
            return;
        };
        if !own {
            return;
        }
        let found = self.all.get(req);
        let awaiting = found.filter(|found| found.stage == Stage::Claiming);
        let late = awaiting.is_some_and(|found| found.is_late(view));
        match (&decided.verdict, awaiting.is_some()) {
            (Ok(()), true) => {
                self.claim_won(view, req, decided.origin.offset, effects);
                if late {
                    self.give_up(view, req, effects);
                }
            }
            (Ok(()), false) if found.is_none() => {
                // The request has ended, so it will not be run.
                effects.push(claim::settle(req, workspace, key, Outcome::NotRun));
            }
            (Err(void), true) => self.claim_lost(view, req, void, effects),
            (Ok(()) | Err(_), false) => {}
        }
        self.refresh(view, effects);
        self.dispatch_queued(view, effects);
    }

    /// Handles the end of an attempt; ignored if the attempt was abandoned.
    pub fn try_ended(
        &mut self,
        view: &View<'_>,
        req: &Name,
        attempt: u32,
        end: TryEnd,
        effects: &mut Vec<Effect>,
    ) {
        self.refresh(view, effects);
        self.end_try(view, req, attempt, end, effects);
        self.dispatch_queued(view, effects);
    }

    /// Handles a caller that disconnected.
    ///
    /// A request that was not sent is dropped, an idempotent attempt is abandoned, and any other
    /// attempt goes on so that its response is recorded.
    pub fn caller_gone(&mut self, view: &View<'_>, req: &Name, effects: &mut Vec<Effect>) {
        let Some(found) = self.all.get_mut(req) else {
            return;
        };
        found.gone = true;
        if matches!(found.stage, Stage::Sent(_)) && !found.kind.idempotent {
            return;
        }
        self.abandon(view, req, health::HealthSignal::Neutral, effects);
        let Some(found) = self.all.get(req) else {
            return;
        };
        let reply = refuse(499, Code::CallerGone, found.ran(), None);
        let outcome = found.outcome();
        self.finish(view, req, reply, None, outcome, effects);
        self.dispatch_queued(view, effects);
    }

    /// Handles the timers that are due.
    pub fn tick(&mut self, view: &View<'_>, effects: &mut Vec<Effect>) {
        self.refresh(view, effects);
        while let Some(timer) = self.timers.first() {
            if timer.due_ms > view.now.mono_ms {
                break;
            }
            let req = timer.req.clone();
            self.timers.pop_first();
            self.expire(view, &req, effects);
        }
        self.dispatch_queued(view, effects);
    }

    fn admit(
        &self,
        view: &View<'_>,
        arrival: &Arrival,
        effects: &mut Vec<Effect>,
    ) -> std::result::Result<Kind, Reply> {
        let kind = admission::check(view, arrival)?;
        if !kind.idempotent {
            claim::check(view, arrival, effects)?;
        }
        admission::check_load(self, view, arrival, &kind)?;
        Ok(kind)
    }

    fn accept(&mut self, view: &View<'_>, arrival: Arrival, kind: Kind, effects: &mut Vec<Effect>) {
        let left_ms = admission::deadline_ms(&arrival, &kind);
        let accepted = note(view, &events::REQUEST_ACCEPTED, &arrival);
        effects.push(Effect::Note(accepted.with("deadline_ms", left_ms)));
        self.arrived += 1;
        let req = arrival.req.clone();
        let request = Request {
            stage: Stage::Claiming,
            attempt: 0,
            reached: 0,
            claimed: false,
            gone: false,
            faults: Faults::default(),
            since_ms: view.now.mono_ms,
            end_ms: view.now.mono_ms + left_ms,
            due_ms: 0,
            seq: self.arrived,
            tried: Vec::new(),
            arrival,
            kind,
        };
        self.queues.add_claiming(&request.kind);
        if !request.kind.idempotent {
            claim::append_claim(&request.arrival, effects);
        }
        let idempotent = request.kind.idempotent;
        self.all.insert(req.clone(), request);
        match idempotent {
            true => self.enqueue(view, &req),
            false => self.schedule(view, &req),
        }
    }

    fn claim_won(
        &mut self,
        view: &View<'_>,
        req: &Name,
        offset: Offset,
        effects: &mut Vec<Effect>,
    ) {
        let Some(found) = self.all.get_mut(req) else {
            return;
        };
        found.claimed = true;
        let claimed = note(view, &events::REQUEST_CLAIMED, &found.arrival);
        effects.push(Effect::Note(claimed.with("offset", offset)));
        self.enqueue(view, req);
    }

    fn claim_lost(&mut self, view: &View<'_>, req: &Name, void: &Void, effects: &mut Vec<Effect>) {
        let Some(found) = self.all.get(req) else {
            return;
        };
        let key = found.arrival.key.as_ref();
        let first = key.and_then(|key| view.ledger.claims.get(&found.arrival.workspace, key));
        if let Some(first) = first
            && matches!(void, Void::Claimed(_) | Void::Mismatch)
        {
            let duplicate = claim::note_duplicate(view, &found.arrival, first);
            effects.push(Effect::Note(duplicate));
        }
        let reply = claim::reply_to_void(view, void, first);
        self.finish(view, req, reply, None, Outcome::NotRun, effects);
    }

    /// Queues a request for a runner.
    fn enqueue(&mut self, view: &View<'_>, req: &Name) {
        let Some(found) = self.all.get_mut(req) else {
            return;
        };
        if found.stage == Stage::Claiming {
            self.queues.remove_claiming(&found.kind);
        }
        found.stage = Stage::Queued;
        let pool = admission::pool_of(view, &found.kind);
        let servers = pool.map_or(1, |pool| self.routing.servers(pool, view.now.mono_ms));
        let place = place_of(found);
        self.queues
            .push(&found.kind, place, servers, view.now.mono_ms);
        self.schedule(view, req);
    }

    /// Sets the time at which a request is checked next.
    fn schedule(&mut self, view: &View<'_>, req: &Name) {
        let Some(found) = self.all.get_mut(req) else {
            return;
        };
        let due_ms = found.next_due(view);
        self.timers.remove(&Timer {
            due_ms: found.due_ms,
            req: req.clone(),
        });
        found.due_ms = due_ms;
        self.timers.insert(Timer {
            due_ms,
            req: req.clone(),
        });
    }

    /// Replies to the caller, and settles the claim if there is one.
    fn finish(
        &mut self,
        view: &View<'_>,
        req: &Name,
        reply: Reply,
        status: Option<u16>,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(found) = self.all.remove(req) else {
            return;
        };
        match found.stage {
            Stage::Claiming => self.queues.remove_claiming(&found.kind),
            Stage::Queued => self.queues.remove(&found.kind.name, &place_of(&found)),
            Stage::Sent(_) => {}
        }
        self.timers.remove(&Timer {
            due_ms: found.due_ms,
            req: req.clone(),
        });
        if found.claimed
            && let Some(key) = &found.arrival.key
        {
            let workspace = &found.arrival.workspace;
            effects.push(claim::settle(req, workspace, key, outcome));
        }
        answer(view, &found.arrival, reply, status, effects);
    }

    /// Ends a request that can no longer be answered in time, or may no longer be sent.
    fn give_up(&mut self, view: &View<'_>, req: &Name, effects: &mut Vec<Effect>) {
        let Some(found) = self.all.get(req) else {
            return;
        };
        let queue = self.queues.get(&found.kind.name);
        let drain_ms = queue.map_or(0, |queue| queue.drain_ms(view.now.mono_ms));
        let retry_ms = Some(admission::retry_after_ms(drain_ms));
        let awaiting = found.stage == Stage::Claiming;
        self.abandon(view, req, health::HealthSignal::Neutral, effects);
        let Some(found) = self.all.get(req) else {
            return;
        };
        let outcome = found.outcome();
        let (reply, status) = match found.faults.held() {
            Some(held) => (held.reply(), Some(held.status)),
            None if awaiting => (refuse(503, Code::LogDown, Ran::No, retry_ms), None),
            None => (refuse(504, Code::TooLate, found.ran(), retry_ms), None),
        };
        self.finish(view, req, reply, status, outcome, effects);
    }
}

fn place_of(request: &Request) -> Place {
    Place {
        end_ms: request.end_ms,
        seq: request.seq,
        req: request.arrival.req.clone(),
    }
}
