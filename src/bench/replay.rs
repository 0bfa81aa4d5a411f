//! Replays a trace of gangs through the reducer of one placer, with a virtual clock.
//!
//! The replay simulates the workers and the log, which orders batches after a delay. It has no
//! model of the network beyond a fixed delay.

use super::Deployment;
use super::Outcome;
use super::Part;
use super::Policy;
use super::measures::Measures;
use super::policies;
use super::policies::BaselinePlanner;
use super::trace;
use super::trace::Trace;
use super::workers::Workers;
use crate::configs::Settings;
use crate::context::Context;
use crate::context::Process;
use crate::platform::SyncAnswer;
use crate::platform::SyncCall;
use crate::prelude::*;
use crate::records::Batch;
use crate::records::BatchId;
use crate::records::CONTROL_SCHEMA;
use crate::records::Entry;
use crate::reducer::Effect;
use crate::reducer::Event;
use crate::reducer::Now;
use crate::reducer::State;
use crate::reducer::effect::Reply;
use crate::reducer::ledger::gangs::fit;
use crate::reducer::step;
use std::collections::BTreeMap;

/// The wall time at which a replay starts, in milliseconds.
pub const START_MS: u64 = 1_700_000_000_000;
/// The time between two ticks, in milliseconds.
const TICK_INTERVAL_MS: u64 = 100;
/// The time between two samples of the state, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 1_000;
/// The time from an entry to its append, and from the append to its reading, in milliseconds.
const LOG_DELAY_MS: u64 = 20;
/// The network delay of a sync call, and of its response, in milliseconds.
const NET_DELAY_MS: u64 = 2;
/// The longest replayed time after the end of the trace, in milliseconds.
const MAX_DRAIN_MS: u64 = 14_400_000;
/// The run time of a gang placed without the adjacency it needs, in percent of its true run time.
const NON_ADJACENT_PCT: u64 = 150;

/// The gangs of a deployment.
#[derive(Debug)]
pub struct GangPart;

impl Part for GangPart {
    fn replay(&self, deployment: Deployment, seed: u64, policy: Policy) -> Outcome {
        let trace = trace::trace(deployment, seed);
        replay(&trace, policy)
    }
}

/// Replays a trace under a policy.
pub fn replay(trace: &Trace, policy: Policy) -> Outcome {
    let mut replay = Replay::new(trace, policy);
    replay.run();
    replay
        .measures
        .finish(&replay.state, &replay.workers.observed)
}

/// An event of the simulation.
#[derive(Debug)]
enum SimEvent {
    Tick,
    Sample,
    Submit(usize),
    Cancel(usize),
    Fault(usize),
    Flush,
    Deliver(Batch),
    Receive(Name, SyncCall),
    Answer(Name, Option<SyncAnswer>),
}

/// The order of events: by time, then by the order in which they were scheduled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DueTime {
    ms: u64,
    count: u64,
}

struct Replay<'a> {
    trace: &'a Trace,
    policy: Policy,
    baseline: Option<Box<dyn BaselinePlanner>>,
    ctx: Context,
    state: State,
    workers: Workers<'a>,
    measures: Measures<'a>,
    events: BTreeMap<DueTime, SimEvent>,
    count: u64,
    now_ms: u64,
    pending: Vec<Entry>,
    flush_due: bool,
    seq: u64,
    /// The next control offset when the baseline planner last ran.
    planned_at: Offset,
}

impl<'a> Replay<'a> {
    fn new(trace: &'a Trace, policy: Policy) -> Self {
        let baseline = policies::baseline(policy);
        let mut settings = Settings::default();
        if baseline.is_some() {
            settings.gangs.plan_ms = u64::MAX / 2;
        }
        let mut replay = Self {
            trace,
            policy,
            baseline,
            ctx: Context::new(Process::Placer, settings, START_MS),
            state: State::default(),
            workers: Workers::new(trace),
            measures: Measures::new(trace),
            events: BTreeMap::new(),
            count: 0,
            now_ms: 0,
            pending: Vec::new(),
            flush_due: false,
            seq: 0,
            planned_at: 0,
        };
        replay.begin();
        replay
    }

    fn begin(&mut self) {
        for (i, record) in self.trace.config.iter().enumerate() {
            let data = record.clone().into_bytes();
            let offset = i as Offset;
            self.step(Event::Config { offset, data });
        }
        self.step(Event::Log { up: true });
        self.schedule(TICK_INTERVAL_MS, SimEvent::Tick);
        self.schedule(SAMPLE_INTERVAL_MS, SimEvent::Sample);
        for (i, one) in self.trace.jobs.iter().enumerate() {
            self.schedule(one.at_ms, SimEvent::Submit(i));
            if let Some(at_ms) = one.cancel_ms {
                self.schedule(at_ms, SimEvent::Cancel(i));
            }
        }
        for (i, fault) in self.trace.faults.iter().enumerate() {
            self.schedule(fault.at_ms, SimEvent::Fault(i));
        }
    }

    fn run(&mut self) {
        let last_ms = self.trace.end_ms + MAX_DRAIN_MS;
        while let Some((at, event)) = self.events.pop_first() {
            self.now_ms = at.ms;
            let settled = self.state.ledger.gangs.live() == 0;
            if at.ms > last_ms || (at.ms > self.trace.end_ms && settled) {
                break;
            }
            self.handle(event);
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Tick => {
                self.step(Event::Tick);
                self.run_baseline();
                self.schedule(self.now_ms + TICK_INTERVAL_MS, SimEvent::Tick);
            }
            SimEvent::Sample => {
                let observed = &self.workers.observed;
                self.measures.sample(
                    &self.state.ledger,
                    observed,
                    self.now_ms,
                    SAMPLE_INTERVAL_MS,
                );
                self.schedule(self.now_ms + SAMPLE_INTERVAL_MS, SimEvent::Sample);
            }
            SimEvent::Submit(i) => {
                let mut job = self.trace.jobs[i].job.clone();
                job.adjacency = policies::submitted_adjacency(self.policy, job.adjacency);
                let req = job.id.clone();
                self.step(Event::Submit { req, job });
            }
            SimEvent::Cancel(i) => {
                let job = &self.trace.jobs[i].job;
                self.step(Event::Cancel {
                    req: format!("cancel-{}", job.id).into(),
                    workspace: job.workspace.clone(),
                    job: job.id.clone(),
                });
            }
            SimEvent::Fault(i) => {
                let fault = &self.trace.faults[i];
                self.workers
                    .inject_fault(&fault.worker, fault.kind, fault.end_ms);
            }
            SimEvent::Flush => self.flush(),
            SimEvent::Deliver(batch) => self.deliver(batch),
            SimEvent::Receive(worker, call) => {
                let answer = self.workers.sync(&worker, &call, self.now_ms);
                let back_ms = match answer {
                    Some(_) => NET_DELAY_MS,
                    None => self.ctx.settings.keeper.call_ms,
                };
                self.schedule(self.now_ms + back_ms, SimEvent::Answer(worker, answer));
            }
            SimEvent::Answer(worker, answer) => self.step(Event::SyncEnded { worker, answer }),
        }
    }

    fn run_baseline(&mut self) {
        let Some(baseline) = &self.baseline else {
            return;
        };
        let next = self.state.ledger.next;
        if self.flush_due || self.planned_at == next {
            return;
        }
        self.planned_at = next;
        for entry in baseline.propose(&self.state.ledger) {
            self.append(entry);
        }
    }

    fn flush(&mut self) {
        self.seq += 1;
        let batch = Batch {
            schema: CONTROL_SCHEMA,
            id: BatchId {
                writer: self.ctx.writer.clone(),
                boot: self.ctx.boot,
                seq: self.seq,
            },
            at_ms: START_MS + self.now_ms,
            cfg: self.state.staged.next,
            entries: std::mem::take(&mut self.pending),
        };
        self.schedule(self.now_ms + LOG_DELAY_MS, SimEvent::Deliver(batch));
    }

    fn deliver(&mut self, batch: Batch) {
        self.flush_due = false;
        let offset = self.state.ledger.next;
        let entries = batch.entries.clone();
        self.step(Event::Control { offset, batch });
        for entry in &entries {
            self.measures
                .record_entry(&self.state.ledger, entry, self.now_ms);
            if let Entry::Place { job, slots, .. } = entry {
                self.check_adjacency(offset, job, slots);
            }
        }
        if !self.pending.is_empty() {
            self.schedule_flush();
        }
    }

    /// Slows a placement that lacks the adjacency that its gang really needs.
    fn check_adjacency(&mut self, token: Offset, job: &Name, slots: &[crate::records::Slot]) {
        let Some(one) = self.measures.job(job) else {
            return;
        };
        let ledger = &self.state.ledger;
        if fit::check_adjacent(&ledger.fleet, &one.job, slots).is_err() {
            self.workers.set_slowdown(token, NON_ADJACENT_PCT);
        }
    }

    fn append(&mut self, entry: Entry) {
        self.pending.push(entry);
        self.schedule_flush();
    }

    fn schedule_flush(&mut self) {
        if !self.flush_due {
            self.flush_due = true;
            self.schedule(self.now_ms + LOG_DELAY_MS, SimEvent::Flush);
        }
    }

    fn step(&mut self, event: Event) {
        let now = Now {
            mono_ms: self.now_ms,
            wall_ms: START_MS + self.now_ms,
        };
        for effect in step(&self.ctx, &mut self.state, now, event) {
            self.execute(effect);
        }
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Append(entry) => self.append(entry),
            Effect::FlushBatch => self.schedule_flush(),
            Effect::Sync { worker, call, .. } => {
                self.schedule(self.now_ms + NET_DELAY_MS, SimEvent::Receive(worker, call));
            }
            Effect::Reply {
                reply: Reply::Refused(_),
                ..
            } => self.measures.refused += 1,
            _ => {}
        }
    }

    fn schedule(&mut self, ms: u64, event: SimEvent) {
        self.count += 1;
        let count = self.count;
        self.events.insert(DueTime { ms, count }, event);
    }
}
