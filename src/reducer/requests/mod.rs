//! The requests of this entry VM, from arrival to the one final answer.

use super::effect::Code;
use super::effect::Dispatch;
use super::effect::Effect;
use super::effect::Ran;
use super::effect::Refusal;
use super::effect::Reply;
use super::event::Arrival;
use super::event::Load;
use super::event::Now;
use super::event::TryEnd;
use super::ledger::Ledger;
use super::ledger::Ruling;
use super::ledger::claims::Claim;
use super::peers::Peers;
use crate::context::Context;
use crate::model::Kind;
use crate::model::Priority;
use crate::platform::Role;
use crate::prelude::*;
use crate::records::Entry;
use crate::records::Outcome;
use crate::records::Void;
use std::collections::BTreeMap;

/// How far a request is.
#[derive(Debug, Clone, PartialEq)]
enum Stage {
    /// Its claim was appended and not read back.
    Claiming,
    /// It waits for a runner.
    Queued,
    /// It was sent.
    Sent {
        /// To which runner.
        runner: Name,
    },
}

/// A request in progress.
#[derive(Debug, Clone, PartialEq)]
struct Request {
    arrival: Arrival,
    kind: Kind,
    stage: Stage,
    attempt: u32,
    claimed: bool,
    /// Whether a try may have reached an upstream.
    touched: bool,
    gone: bool,
    since_ms: u64,
    end_ms: u64,
    tried: Vec<Name>,
}

/// Everything that a decision about requests looks at.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The settings and the process.
    pub ctx: &'a Context,
    /// What the log says.
    pub ledger: &'a Ledger,
    /// The peers.
    pub peers: &'a Peers,
    /// The time.
    pub now: Now,
    /// Whether this VM may accept work.
    pub ready: bool,
    /// Whether this VM is leaving.
    pub draining: bool,
    /// Whether the log is reached.
    pub log_up: bool,
}

/// All requests in progress.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Requests {
    all: BTreeMap<Name, Request>,
    flight: BTreeMap<Name, u32>,
}

impl Requests {
    /// Returns how many requests are in progress.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Tells whether no request is in progress.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns this process's requests in flight at each runner.
    pub fn loads(&self) -> Vec<Load> {
        let loads = self.flight.iter().filter(|(_, flight)| **flight > 0);
        loads
            .map(|(runner, flight)| Load {
                runner: runner.clone(),
                flight: *flight,
            })
            .collect()
    }

    /// Takes in a request.
    pub fn arrive(&mut self, view: &View<'_>, arrival: Arrival, effects: &mut Vec<Effect>) {
        let req = arrival.req.clone();
        if let Err(reply) = self.admit(view, arrival, effects) {
            answer(view, &req, reply, effects);
        }
        self.pump(view, effects);
    }

    /// Takes in the verdict on a claim.
    pub fn ruled(&mut self, view: &View<'_>, ruling: &Ruling, effects: &mut Vec<Effect>) {
        let own =
            ruling.origin.id.writer == view.ctx.writer && ruling.origin.id.boot == view.ctx.boot;
        let Entry::Claim {
            req,
            workspace,
            key,
            ..
        } = &ruling.entry
        else {
            return;
        };
        if !own {
            return;
        }
        let waits = self
            .all
            .get(req)
            .is_some_and(|found| found.stage == Stage::Claiming);
        match (&ruling.verdict, waits) {
            (Ok(()), true) => {
                if let Some(found) = self.all.get_mut(req) {
                    found.stage = Stage::Queued;
                    found.claimed = true;
                }
            }
            (Ok(()), false) => {
                effects.push(settle(req, workspace, key, Outcome::NotRun));
            }
            (Err(void), true) => {
                self.all.remove(req);
                let claim = view.ledger.claims.get(workspace, key);
                answer(view, req, claim_reply(view, void, claim), effects);
            }
            (Err(_), false) => {}
        }
        self.pump(view, effects);
    }

    /// Takes in the end of a try.
    pub fn try_ended(
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
        let Stage::Sent { runner } = found.stage.clone() else {
            return;
        };
        if found.attempt != attempt {
            return;
        }
        if let Some(flight) = self.flight.get_mut(&runner) {
            *flight = flight.saturating_sub(1);
        }
        match end {
            TryEnd::Answered { kept, .. } => {
                let reply = Reply::Upstream { attempt, runner };
                self.finish(view, req, reply, Outcome::Done(kept), effects);
            }
            TryEnd::NotSent { .. } | TryEnd::Leaving => self.again(view, req, false, effects),
            TryEnd::Broken { .. } => self.again(view, req, true, effects),
        }
        self.pump(view, effects);
    }

    /// Notes that the caller no longer waits.
    pub fn gone(&mut self, view: &View<'_>, req: &Name, effects: &mut Vec<Effect>) {
        let Some(found) = self.all.get_mut(req) else {
            return;
        };
        found.gone = true;
        if found.stage == Stage::Queued {
            let reply = refuse(499, Code::CallerGone, ran(found), None);
            let outcome = unsent_outcome(found);
            self.finish(view, req, reply, outcome, effects);
        }
    }

    /// Refuses what can no longer be answered in time.
    pub fn tick(&mut self, view: &View<'_>, effects: &mut Vec<Effect>) {
        let late: Vec<Name> = self
            .all
            .iter()
            .filter(|(_, found)| found.is_late(view))
            .map(|(req, _)| req.clone())
            .collect();
        for req in late {
            self.give_up(view, &req, effects);
        }
        self.pump(view, effects);
    }

    fn admit(
        &mut self,
        view: &View<'_>,
        arrival: Arrival,
        effects: &mut Vec<Effect>,
    ) -> std::result::Result<(), Reply> {
        if view.draining {
            return Err(refuse(503, Code::Draining, Ran::No, Some(0)));
        }
        if !view.ready {
            return Err(refuse(503, Code::NotReady, Ran::No, Some(1_000)));
        }
        let kind = allowed(view, &arrival)?;
        let queued = self
            .all
            .values()
            .filter(|found| found.kind.name == kind.name);
        if queued.count() as u64 >= view.ctx.settings.requests.queue {
            return Err(refuse(503, Code::QueueFull, Ran::No, Some(1_000)));
        }
        let mut stage = Stage::Queued;
        if !kind.idempotent {
            stage = Stage::Claiming;
            claim(view, &arrival, effects)?;
        }
        let deadline_ms = arrival.deadline_ms.unwrap_or(kind.deadline_ms);
        let request = Request {
            kind,
            stage,
            attempt: 0,
            claimed: false,
            touched: false,
            gone: false,
            since_ms: view.now.mono_ms,
            end_ms: view.now.mono_ms + deadline_ms,
            tried: Vec::new(),
            arrival,
        };
        self.all.insert(request.arrival.req.clone(), request);
        Ok(())
    }

    fn again(&mut self, view: &View<'_>, req: &Name, touched: bool, effects: &mut Vec<Effect>) {
        let Some(found) = self.all.get_mut(req) else {
            return;
        };
        found.touched |= touched;
        let barred = touched && !found.kind.idempotent;
        if barred || found.gone || found.attempt >= found.kind.attempts {
            let (status, code) = match found.touched {
                true => (502, Code::UpstreamBroken),
                false => (503, Code::UpstreamUnavailable),
            };
            let reply = refuse(status, code, ran(found), Some(1_000));
            let outcome = unsent_outcome(found);
            self.finish(view, req, reply, outcome, effects);
            return;
        }
        found.stage = Stage::Queued;
    }

    fn give_up(&mut self, view: &View<'_>, req: &Name, effects: &mut Vec<Effect>) {
        let Some(found) = self.all.get_mut(req) else {
            return;
        };
        if let Stage::Sent { runner } = &found.stage {
            found.touched = true;
            if let Some(flight) = self.flight.get_mut(runner) {
                *flight = flight.saturating_sub(1);
            }
            effects.push(Effect::Abandon {
                req: req.clone(),
                attempt: found.attempt,
            });
        }
        let reply = match found.stage {
            Stage::Claiming => refuse(503, Code::LogDown, Ran::No, Some(1_000)),
            _ => refuse(504, Code::TooLate, ran(found), Some(1_000)),
        };
        let outcome = unsent_outcome(found);
        self.finish(view, req, reply, outcome, effects);
    }

    /// Answers the caller, and settles the claim if there is one.
    fn finish(
        &mut self,
        view: &View<'_>,
        req: &Name,
        reply: Reply,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(found) = self.all.remove(req) else {
            return;
        };
        if found.claimed
            && let Some(key) = &found.arrival.key
        {
            effects.push(settle(req, &found.arrival.workspace, key, outcome));
        }
        answer(view, req, reply, effects);
    }

    /// Sends queued requests, the most pressing first, while runners have room.
    fn pump(&mut self, view: &View<'_>, effects: &mut Vec<Effect>) {
        let mut queued: Vec<(Priority, u64, Name)> = self
            .all
            .iter()
            .filter(|(_, found)| found.stage == Stage::Queued)
            .map(|(req, found)| (found.kind.priority, found.since_ms, req.clone()))
            .collect();
        queued.sort();
        for (_, _, req) in queued {
            self.send(view, &req, effects);
        }
    }

    fn send(&mut self, view: &View<'_>, req: &Name, effects: &mut Vec<Effect>) {
        let Some(found) = self.all.get_mut(req) else {
            return;
        };
        let Some(pool) = view.ledger.catalog.pool(&found.kind.pool) else {
            return;
        };
        let open = pool.runners.iter().filter(|runner| {
            let own = self.flight.get(&runner.name).copied().unwrap_or(0);
            own + peer_load(view, &runner.name) < pool.slots
                && !view.peers.leaving(Role::Runner, &runner.name)
        });
        let best = open.min_by_key(|runner| {
            let own = self.flight.get(&runner.name).copied().unwrap_or(0);
            let again = found.tried.contains(&runner.name);
            (
                again,
                own + peer_load(view, &runner.name),
                runner.name.clone(),
            )
        });
        let Some(runner) = best else {
            return;
        };
        found.attempt += 1;
        found.tried.push(runner.name.clone());
        found.stage = Stage::Sent {
            runner: runner.name.clone(),
        };
        *self.flight.entry(runner.name.clone()).or_insert(0) += 1;
        let vms = view.ctx.settings.requests.fleet + view.ctx.settings.requests.spare;
        effects.push(Effect::Dispatch(Dispatch {
            req: req.clone(),
            attempt: found.attempt,
            runner: runner.name.clone(),
            addr: runner.addr.clone(),
            left_ms: found.end_ms.saturating_sub(view.now.mono_ms),
            proven: !found.kind.idempotent,
            connections: (u64::from(pool.connections) / vms).max(1) as u32,
        }));
    }
}

impl Request {
    fn is_late(&self, view: &View<'_>) -> bool {
        let claim_ms = view.ctx.settings.requests.claim_ms;
        let claiming = self.stage == Stage::Claiming;
        view.now.mono_ms >= self.end_ms
            || (claiming && view.now.mono_ms >= self.since_ms + claim_ms)
    }
}

fn allowed(view: &View<'_>, arrival: &Arrival) -> std::result::Result<Kind, Reply> {
    let catalog = &view.ledger.catalog;
    if catalog.workspace(&arrival.workspace).is_none() {
        return Err(refuse(404, Code::UnknownWorkspace, Ran::No, None));
    }
    let kind = catalog.allows(&arrival.workspace, &arrival.kind);
    let Ok(kind) = kind else {
        return Err(refuse(404, Code::UnknownKind, Ran::No, None));
    };
    Ok(kind.clone())
}

fn claim(
    view: &View<'_>,
    arrival: &Arrival,
    effects: &mut Vec<Effect>,
) -> std::result::Result<(), Reply> {
    let Some(key) = &arrival.key else {
        return Err(refuse(400, Code::KeyMissing, Ran::No, None));
    };
    let entry = Entry::Claim {
        req: arrival.req.clone(),
        workspace: arrival.workspace.clone(),
        kind: arrival.kind.clone(),
        key: key.clone(),
        print: arrival.print,
    };
    let first = view.ledger.claims.get(&arrival.workspace, key);
    if let Some(first) = first
        && first.outcome != Some(Outcome::NotRun)
    {
        effects.push(Effect::Append(entry));
        let void = match first.print == arrival.print {
            true => Void::Claimed(first.req.clone()),
            false => Void::Mismatch,
        };
        return Err(claim_reply(view, &void, Some(first)));
    }
    if !view.log_up {
        return Err(refuse(503, Code::LogDown, Ran::No, Some(1_000)));
    }
    effects.push(Effect::Append(entry));
    Ok(())
}

/// Says what became of the first request with the same key.
fn claim_reply(view: &View<'_>, void: &Void, first: Option<&Claim>) -> Reply {
    let Some(first) = first else {
        return refuse(503, Code::LogDown, Ran::No, Some(1_000));
    };
    if *void == Void::Mismatch {
        return refuse(422, Code::KeyMismatch, Ran::No, None);
    }
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

fn peer_load(view: &View<'_>, runner: &Name) -> u32 {
    let live = view.peers.live(view.ctx, view.now);
    let loads = live.flat_map(|peer| &peer.beat.loads);
    let own = loads.filter(|load| load.runner == *runner);
    own.map(|load| load.flight).sum()
}

fn ran(request: &Request) -> Ran {
    match request.touched {
        true => Ran::Unknown,
        false => Ran::No,
    }
}

fn unsent_outcome(request: &Request) -> Outcome {
    match request.touched {
        true => Outcome::Unknown,
        false => Outcome::NotRun,
    }
}

fn settle(req: &Name, workspace: &Name, key: &Name, outcome: Outcome) -> Effect {
    Effect::Append(Entry::Settle {
        req: req.clone(),
        workspace: workspace.clone(),
        key: key.clone(),
        outcome,
    })
}

fn refuse(status: u16, code: Code, ran: Ran, retry_ms: Option<u64>) -> Reply {
    Reply::Refused(Refusal {
        status,
        code,
        ran,
        retry_ms,
        detail: code.to_string(),
    })
}

fn answer(view: &View<'_>, req: &Name, reply: Reply, effects: &mut Vec<Effect>) {
    effects.push(Effect::Reply {
        req: req.clone(),
        cfg: view.ledger.catalog.next,
        reply,
    });
}
