//! The entry VMs of a replay: one kind runs the reducer, the other is a baseline.

use super::trace::RUNNERS;
use super::trace::SLOTS;
use super::trace::VMS;
use super::trace::number_in;
use super::trace::runner_name;
use crate::configs::Settings;
use crate::context::Context;
use crate::context::Process;
use crate::prelude::*;
use crate::reducer::Effect;
use crate::reducer::Event;
use crate::reducer::Now;
use crate::reducer::State;
use crate::reducer::effect::Code;
use crate::reducer::effect::Dispatch;
use crate::reducer::effect::Ran;
use crate::reducer::effect::Refusal;
use crate::reducer::effect::Reply;
use crate::reducer::event::Heartbeat;
use crate::reducer::event::Load;
use crate::reducer::event::TryEnd;
use crate::reducer::step;
use std::collections::BTreeMap;
use std::collections::VecDeque;

/// Wall time at the start of a replay, in milliseconds.
pub const WALL_MS: u64 = 1_700_000_000_000;
/// The baseline's wait before it retries a request that its runner did not accept, in milliseconds.
const BUSY_RETRY_MS: u64 = 100;

/// An entry VM as a replay drives it.
pub trait Vm: std::fmt::Debug {
    /// Handles an event, and returns the effects to carry out.
    fn handle(&mut self, now_ms: u64, event: Event) -> Vec<Effect>;
    /// Returns its heartbeat for its peers.
    fn heartbeat(&self) -> Heartbeat;
    /// Returns the writer name of its batches.
    fn writer(&self) -> Name;
}

/// An entry VM that runs the reducer.
#[derive(Debug)]
pub struct ReducerVm {
    ctx: Context,
    state: State,
}

impl ReducerVm {
    /// Creates the VM with this number.
    pub fn start(vm: usize) -> Self {
        let settings = Settings {
            vm: format!("vm-{vm}").into(),
            centre: format!("centre-{}", vm % 3 + 1).into(),
            ..Settings::default()
        };
        Self {
            ctx: Context::new(Process::Entry, settings, WALL_MS),
            state: State::default(),
        }
    }
}

impl Vm for ReducerVm {
    fn handle(&mut self, now_ms: u64, event: Event) -> Vec<Effect> {
        let now = Now {
            mono_ms: now_ms,
            wall_ms: WALL_MS + now_ms,
        };
        step(&self.ctx, &mut self.state, now, event)
    }

    fn heartbeat(&self) -> Heartbeat {
        let loads = self.state.requests.loads();
        beat(&self.ctx.writer, self.state.ledger.next, loads)
    }

    fn writer(&self) -> Name {
        self.ctx.writer.clone()
    }
}

/// The baseline: first come, first served on the least loaded runner, without priorities,
/// admission control or cooldown.
#[derive(Debug)]
pub struct BaselineVm {
    writer: Name,
    own_loads: Vec<u32>,
    peer_loads: BTreeMap<Name, Vec<u32>>,
    waiting: VecDeque<Name>,
    sent: BTreeMap<Name, DispatchedTry>,
    retries: VecDeque<DelayedRetry>,
}

#[derive(Debug)]
struct DispatchedTry {
    runner: usize,
    attempt: u32,
}

#[derive(Debug)]
struct DelayedRetry {
    at_ms: u64,
    req: Name,
}

impl BaselineVm {
    /// Creates the VM with this number.
    pub fn start(vm: usize) -> Self {
        Self {
            writer: format!("vm-{vm}/entry").into(),
            own_loads: vec![0; RUNNERS],
            peer_loads: BTreeMap::new(),
            waiting: VecDeque::new(),
            sent: BTreeMap::new(),
            retries: VecDeque::new(),
        }
    }

    fn load(&self, runner: usize) -> u32 {
        let peer_loads: u32 = self.peer_loads.values().map(|loads| loads[runner]).sum();
        self.own_loads[runner] + peer_loads
    }

    fn record_heartbeat(&mut self, beat: Heartbeat) {
        let mut loads = vec![0; RUNNERS];
        for load in beat.loads {
            if let Some(runner) = number_in(&load.runner) {
                loads[runner] = load.flight;
            }
        }
        self.peer_loads.insert(beat.from, loads);
    }

    fn dispatch_waiting(&mut self, effects: &mut Vec<Effect>) {
        if self.waiting.is_empty() {
            return;
        }
        let mut loads: Vec<u32> = (0..RUNNERS).map(|runner| self.load(runner)).collect();
        while let Some(req) = self.waiting.front().cloned() {
            let best = (0..RUNNERS).min_by_key(|runner| loads[*runner]);
            let Some(runner) = best.filter(|runner| loads[*runner] < SLOTS) else {
                return;
            };
            loads[runner] += 1;
            self.waiting.pop_front();
            self.own_loads[runner] += 1;
            let sent = self
                .sent
                .entry(req.clone())
                .or_insert(DispatchedTry { runner, attempt: 0 });
            sent.runner = runner;
            sent.attempt += 1;
            effects.push(Effect::Dispatch(Dispatch {
                req,
                attempt: sent.attempt,
                runner: runner_name(runner),
                addr: "127.0.0.1:9".into(),
                left_ms: u64::MAX,
                usual_ms: 0,
                check_live: false,
                connections: 1,
            }));
        }
    }

    fn end_try(&mut self, now_ms: u64, req: Name, end: &TryEnd, effects: &mut Vec<Effect>) {
        let Some(sent) = self.sent.get(&req) else {
            return;
        };
        self.own_loads[sent.runner] -= 1;
        let reply = match end {
            TryEnd::Answered { status: 429, .. } | TryEnd::NotSent { .. } | TryEnd::Leaving => {
                let at_ms = now_ms + BUSY_RETRY_MS;
                self.retries.push_back(DelayedRetry { at_ms, req });
                return;
            }
            TryEnd::Answered { .. } => Reply::Upstream {
                attempt: sent.attempt,
                runner: runner_name(sent.runner),
            },
            TryEnd::Broken { .. } => Reply::Refused(Refusal {
                status: 502,
                code: Code::UpstreamBroken,
                ran: Ran::Unknown,
                retry_ms: None,
                detail: String::new(),
            }),
        };
        self.sent.remove(&req);
        effects.push(Effect::Reply { req, cfg: 0, reply });
    }
}

impl Vm for BaselineVm {
    fn handle(&mut self, now_ms: u64, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Arrive(arrival) => self.waiting.push_back(arrival.req),
            Event::TryEnd { req, end, .. } => self.end_try(now_ms, req, &end, &mut effects),
            Event::Peer(beat) => self.record_heartbeat(beat),
            _ => {}
        }
        while self
            .retries
            .front()
            .is_some_and(|next| next.at_ms <= now_ms)
        {
            let next = self.retries.pop_front();
            self.waiting.extend(next.map(|next| next.req));
        }
        self.dispatch_waiting(&mut effects);
        effects
    }

    fn heartbeat(&self) -> Heartbeat {
        let busy = self
            .own_loads
            .iter()
            .enumerate()
            .filter(|(_, own_loads)| **own_loads > 0);
        let loads = busy.map(|(runner, own_loads)| Load {
            runner: runner_name(runner),
            flight: *own_loads,
        });
        beat(&self.writer, 0, loads.collect())
    }

    fn writer(&self) -> Name {
        self.writer.clone()
    }
}

fn beat(from: &Name, control: Offset, loads: Vec<Load>) -> Heartbeat {
    Heartbeat {
        from: from.clone(),
        centre: "centre-1".into(),
        boot: WALL_MS,
        control,
        cfg: 0,
        log_up: true,
        draining: false,
        loads,
        digest: None,
    }
}

/// Creates all entry VMs, with the reducer or as the baseline.
pub fn fleet(real: bool) -> Vec<Box<dyn Vm>> {
    let start = |vm: usize| -> Box<dyn Vm> {
        match real {
            true => Box::new(ReducerVm::start(vm)),
            false => Box::new(BaselineVm::start(vm)),
        }
    };
    (0..VMS).map(start).collect()
}
