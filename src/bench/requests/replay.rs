//! The replay: arrivals, the ordered log, heartbeats and runners under a virtual clock.

use super::trace::Fault;
use super::trace::RUNNERS;
use super::trace::SLOTS;
use super::trace::Trace;
use super::trace::number_in;
use super::vm::Vm;
use super::vm::WALL_MS;
use super::vm::fleet;
use crate::prelude::*;
use crate::records::Batch;
use crate::records::BatchId;
use crate::records::CONTROL_SCHEMA;
use crate::records::Entry;
use crate::records::Kept;
use crate::reducer::Effect;
use crate::reducer::Event;
use crate::reducer::effect::Dispatch;
use crate::reducer::effect::Ran;
use crate::reducer::effect::Reply;
use crate::reducer::event::Arrival;
use crate::reducer::event::Heartbeat;
use crate::reducer::event::TryEnd;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

const TICK_INTERVAL_MS: u64 = 50;
const HEARTBEAT_INTERVAL_MS: u64 = 250;
const BATCH_DELAY_MS: u64 = 10;
const LOG_DELAY_MS: u64 = 5;
const NET_DELAY_MS: u64 = 2;
const SAMPLE_INTERVAL_MS: u64 = 100;
const SLOW_FACTOR: u64 = 4;
const RETRY_LATER_MS: u64 = 1_000;
const MAX_DRAIN_MS: u64 = 900_000;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// It has no final reply.
    Unanswered,
    /// It was answered after this time, in milliseconds.
    Answered(u64),
    /// The upstream's error was returned to the caller.
    Failed,
    /// It was refused.
    Refused(Ran),
}

/// The results of a replay.
#[derive(Debug, Clone)]
pub struct Results {
    /// How each request ended, in the order of the trace.
    pub ends: Vec<RequestEnd>,
    /// How often each request ran on an upstream.
    pub runs: Vec<u32>,
    /// How many attempts of each request reached an upstream, including those refused as busy.
    pub tries: Vec<u32>,
    /// Attempts that a runner refused because all its slots were in use.
    pub busy: u64,
    /// Samples of the requests at the busiest runner divided by the mean, in thousandths.
    pub peaks: Vec<u64>,
}

#[derive(Debug)]
enum SimEvent {
    Arrive(usize),
    ReachRunner(usize, Dispatch),
    FreeSlot(usize),
    EndTry(usize, Name, u32, TryEnd),
    Flush(usize),
    Append(Batch),
    Deliver(usize),
    Tick,
    SendHeartbeats,
    Heartbeats(Vec<Heartbeat>),
    Sample,
}

/// The state of one replay.
#[derive(Debug)]
pub struct Replay<'a> {
    trace: &'a Trace,
    hint_ms: u64,
    vms: Vec<Box<dyn Vm>>,
    events: BTreeMap<(u64, u64), SimEvent>,
    scheduled: u64,
    cfg: Offset,
    now_ms: u64,
    log: Vec<Batch>,
    outboxes: Vec<Vec<Entry>>,
    seqs: Vec<u64>,
    flight: Vec<u32>,
    statuses: BTreeMap<(usize, u32), u16>,
    abandoned: BTreeSet<(Name, u32)>,
    open: usize,
    results: Results,
}

impl<'a> Replay<'a> {
    /// Replays a trace with the reducer if `real`, else the baseline; load hints are `hint_ms` old.
    pub fn run(trace: &'a Trace, real: bool, hint_ms: u64) -> Results {
        let count = trace.jobs.len();
        let vms = fleet(real);
        let mut replay = Self {
            trace,
            hint_ms,
            events: BTreeMap::new(),
            scheduled: 0,
            cfg: trace.changes().len() as u64,
            now_ms: 0,
            log: Vec::new(),
            outboxes: vms.iter().map(|_| Vec::new()).collect(),
            seqs: vec![0; vms.len()],
            vms,
            flight: vec![0; RUNNERS],
            statuses: BTreeMap::new(),
            abandoned: BTreeSet::new(),
            open: count,
            results: Results {
                ends: vec![RequestEnd::Unanswered; count],
                runs: vec![0; count],
                tries: vec![0; count],
                busy: 0,
                peaks: Vec::new(),
            },
        };
        replay.start();
        let end_ms = trace.len_ms() + MAX_DRAIN_MS;
        while replay.open > 0 && replay.now_ms < end_ms {
            let Some(((at_ms, _), event)) = replay.events.pop_first() else {
                break;
            };
            replay.now_ms = at_ms;
            replay.handle_event(event);
        }
        replay.results
    }

    fn start(&mut self) {
        let changes = self.trace.changes();
        for vm in 0..self.vms.len() {
            for (offset, data) in changes.iter().enumerate() {
                let data = data.clone().into_bytes();
                let offset = offset as u64;
                self.handle(vm, Event::Config { offset, data });
            }
        }
        let first = self.batch("vm-0/placer".into(), 1, Vec::new());
        self.log.push(first);
        self.deliver(0);
        for vm in 0..self.vms.len() {
            self.handle(vm, Event::Log { up: true });
        }
        let heartbeats = self.heartbeats();
        self.deliver_heartbeats(&heartbeats);
        for (i, job) in self.trace.jobs.iter().enumerate() {
            self.scheduled += 1;
            self.events
                .insert((job.at_ms, self.scheduled), SimEvent::Arrive(i));
        }
        self.schedule(TICK_INTERVAL_MS, SimEvent::Tick);
        self.schedule(HEARTBEAT_INTERVAL_MS, SimEvent::SendHeartbeats);
        self.schedule(SAMPLE_INTERVAL_MS, SimEvent::Sample);
    }

    fn schedule(&mut self, after_ms: u64, event: SimEvent) {
        self.scheduled += 1;
        self.events
            .insert((self.now_ms + after_ms, self.scheduled), event);
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(i) => self.arrive(i),
            SimEvent::ReachRunner(vm, dispatch) => self.reach_runner(vm, dispatch),
            SimEvent::FreeSlot(runner) => self.flight[runner] -= 1,
            SimEvent::EndTry(vm, req, attempt, end) => self.end_try(vm, req, attempt, end),
            SimEvent::Flush(vm) => self.flush(vm),
            SimEvent::Append(batch) => {
                self.log.push(batch);
                self.schedule(LOG_DELAY_MS / 2, SimEvent::Deliver(self.log.len() - 1));
            }
            SimEvent::Deliver(at) => self.deliver(at),
            SimEvent::Tick => {
                for vm in 0..self.vms.len() {
                    self.handle(vm, Event::Tick);
                }
                self.schedule(TICK_INTERVAL_MS, SimEvent::Tick);
            }
            SimEvent::SendHeartbeats => {
                let heartbeats = self.heartbeats();
                self.schedule(
                    self.hint_ms + NET_DELAY_MS,
                    SimEvent::Heartbeats(heartbeats),
                );
                self.schedule(HEARTBEAT_INTERVAL_MS, SimEvent::SendHeartbeats);
            }
            SimEvent::Heartbeats(heartbeats) => self.deliver_heartbeats(&heartbeats),
            SimEvent::Sample => self.sample(),
        }
    }

    fn heartbeats(&self) -> Vec<Heartbeat> {
        self.vms.iter().map(|vm| vm.heartbeat()).collect()
    }

    fn deliver_heartbeats(&mut self, heartbeats: &[Heartbeat]) {
        for vm in 0..self.vms.len() {
            for (from, beat) in heartbeats.iter().enumerate() {
                if from != vm {
                    self.handle(vm, Event::Peer(beat.clone()));
                }
            }
        }
    }

    fn arrive(&mut self, i: usize) {
        let job = self.trace.jobs[i];
        let spec = &self.trace.kinds[job.kind];
        let req: Name = format!("r{i}").into();
        let arrival = Arrival {
            key: (!spec.idempotent).then(|| req.clone()),
            req,
            workspace: "w".into(),
            kind: spec.name.into(),
            issued_ms: Some(WALL_MS + self.now_ms),
            deadline_ms: None,
            print: 0,
            bytes: 1_000,
        };
        self.handle(job.vm, Event::Arrive(arrival));
    }

    fn handle(&mut self, vm: usize, event: Event) {
        for effect in self.vms[vm].handle(self.now_ms, event) {
            self.execute(vm, effect);
        }
    }

    fn execute(&mut self, vm: usize, effect: Effect) {
        match effect {
            Effect::Append(entry) => {
                if self.outboxes[vm].is_empty() {
                    self.schedule(BATCH_DELAY_MS, SimEvent::Flush(vm));
                }
                self.outboxes[vm].push(entry);
            }
            Effect::Dispatch(dispatch) => {
                self.schedule(NET_DELAY_MS, SimEvent::ReachRunner(vm, dispatch))
            }
            Effect::Abandon { req, attempt } => drop(self.abandoned.insert((req, attempt))),
            Effect::Reply { req, reply, .. } => self.record_reply(&req, &reply),
            _ => {}
        }
    }

    fn flush(&mut self, vm: usize) {
        let entries = std::mem::take(&mut self.outboxes[vm]);
        self.seqs[vm] += 1;
        let batch = self.batch(self.vms[vm].writer(), self.seqs[vm], entries);
        self.schedule(LOG_DELAY_MS, SimEvent::Append(batch));
    }

    fn batch(&self, writer: Name, seq: u64, entries: Vec<Entry>) -> Batch {
        let boot = WALL_MS;
        Batch {
            schema: CONTROL_SCHEMA,
            id: BatchId { writer, boot, seq },
            at_ms: WALL_MS + self.now_ms,
            cfg: self.cfg,
            entries,
        }
    }

    fn deliver(&mut self, at: usize) {
        for vm in 0..self.vms.len() {
            let batch = self.log[at].clone();
            let offset = at as u64;
            self.handle(vm, Event::Control { offset, batch });
        }
        self.log[at].entries.clear();
    }

    /// Handles the arrival of an attempt at its runner.
    fn reach_runner(&mut self, vm: usize, dispatch: Dispatch) {
        let (Some(i), Some(runner)) = (number_in(&dispatch.req), number_in(&dispatch.runner))
        else {
            return;
        };
        self.results.tries[i] += 1;
        let fault = self.trace.fault(runner, self.now_ms);
        let service_ms = self.trace.jobs[i].service_ms;
        let (after_ms, end) = match fault {
            Fault::Unreachable => (NET_DELAY_MS, not_sent()),
            Fault::Error => (NET_DELAY_MS + 1, answer(500, None)),
            Fault::None | Fault::Slow if self.flight[runner] >= SLOTS => {
                self.results.busy += 1;
                (NET_DELAY_MS, answer(429, Some(RETRY_LATER_MS)))
            }
            Fault::Disconnect => {
                self.results.runs[i] += 1;
                (NET_DELAY_MS, broken())
            }
            Fault::None | Fault::Slow => {
                let factor = if fault == Fault::Slow { SLOW_FACTOR } else { 1 };
                self.results.runs[i] += 1;
                self.flight[runner] += 1;
                self.schedule(service_ms * factor, SimEvent::FreeSlot(runner));
                (service_ms * factor + NET_DELAY_MS, answer(200, None))
            }
        };
        let event = SimEvent::EndTry(vm, dispatch.req, dispatch.attempt, end);
        self.schedule(after_ms, event);
    }

    fn end_try(&mut self, vm: usize, req: Name, attempt: u32, end: TryEnd) {
        if self.abandoned.remove(&(req.clone(), attempt)) {
            return;
        }
        if let (Some(i), TryEnd::Answered { status, .. }) = (number_in(&req), &end) {
            self.statuses.insert((i, attempt), *status);
        }
        self.handle(vm, Event::TryEnd { req, attempt, end });
    }

    fn record_reply(&mut self, req: &Name, reply: &Reply) {
        let Some(i) = number_in(req) else {
            return;
        };
        let took_ms = self.now_ms - self.trace.jobs[i].at_ms;
        self.results.ends[i] = match reply {
            Reply::Upstream { attempt, .. } => match self.statuses.get(&(i, *attempt)) {
                Some(200) => RequestEnd::Answered(took_ms),
                _ => RequestEnd::Failed,
            },
            Reply::Refused(refusal) => RequestEnd::Refused(refusal.ran),
            _ => RequestEnd::Failed,
        };
        self.open -= 1;
    }

    fn sample(&mut self) {
        let total: u32 = self.flight.iter().sum();
        let max = self.flight.iter().max().copied().unwrap_or(0);
        if total > 0 && self.now_ms < self.trace.len_ms() {
            let peak = u64::from(max) * 1_000 * RUNNERS as u64 / u64::from(total);
            self.results.peaks.push(peak);
        }
        self.schedule(SAMPLE_INTERVAL_MS, SimEvent::Sample);
    }
}

fn answer(status: u16, retry_ms: Option<u64>) -> TryEnd {
    TryEnd::Answered {
        status,
        retry_ms,
        kept: Kept {
            status,
            media: String::new(),
            body: None,
        },
    }
}

fn broken() -> TryEnd {
    TryEnd::Broken {
        cause: "cut".into(),
    }
}

fn not_sent() -> TryEnd {
    TryEnd::NotSent {
        cause: "refused".into(),
    }
}
