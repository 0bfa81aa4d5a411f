//! Replays a trace of gangs through the reducer of one placer, with a virtual clock.
//!
//! The replay plays the log, which orders batches after a delay, and the workers. It knows
//! nothing of networks.

use super::Deployment;
use super::Outcome;
use super::Part;
use super::Policy;
use super::measures::Measures;
use super::policies;
use super::policies::Chooser;
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
const TICK_MS: u64 = 100;
/// The time between two samples of the state, in milliseconds.
const SAMPLE_MS: u64 = 1_000;
/// The time from an entry to its append, and from there to its reading, in milliseconds.
const LOG_MS: u64 = 20;
/// The time from a sync to its receipt, and from there to the answer, in milliseconds.
const NET_MS: u64 = 2;
/// The longest time that is replayed after the last submission, in milliseconds.
const DRAIN_MS: u64 = 14_400_000;
/// The run time of a gang that is not as adjacent as it needs, in percent of its own.
const SCATTERED_PCT: u64 = 150;

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
    replay.measures.finish(&replay.state, &replay.workers.seen)
}

/// Something that happens at a moment of the virtual clock.
#[derive(Debug)]
enum Moment {
    Tick,
    Sample,
    Submit(usize),
    Cancel(usize),
    Upset(usize),
    Flush,
    Deliver(Batch),
    Receive(Name, SyncCall),
    Answer(Name, Option<SyncAnswer>),
}

/// The order of moments: by time, then by the order in which they were planned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct At {
    ms: u64,
    count: u64,
}

struct Replay<'a> {
    trace: &'a Trace,
    policy: Policy,
    chooser: Option<Box<dyn Chooser>>,
    ctx: Context,
    state: State,
    workers: Workers<'a>,
    measures: Measures<'a>,
    moments: BTreeMap<At, Moment>,
    count: u64,
    now_ms: u64,
    waiting: Vec<Entry>,
    flushing: bool,
    seq: u64,
    /// The next control offset when the chooser last chose.
    chosen: Offset,
}

impl<'a> Replay<'a> {
    fn new(trace: &'a Trace, policy: Policy) -> Self {
        let chooser = policies::chooser(policy);
        let mut settings = Settings::default();
        if chooser.is_some() {
            settings.gangs.plan_ms = u64::MAX / 2;
        }
        let mut replay = Self {
            trace,
            policy,
            chooser,
            ctx: Context::new(Process::Placer, settings, START_MS),
            state: State::default(),
            workers: Workers::new(trace),
            measures: Measures::new(trace),
            moments: BTreeMap::new(),
            count: 0,
            now_ms: 0,
            waiting: Vec::new(),
            flushing: false,
            seq: 0,
            chosen: 0,
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
        self.plan(TICK_MS, Moment::Tick);
        self.plan(SAMPLE_MS, Moment::Sample);
        for (i, one) in self.trace.jobs.iter().enumerate() {
            self.plan(one.at_ms, Moment::Submit(i));
            if let Some(at_ms) = one.cancel_ms {
                self.plan(at_ms, Moment::Cancel(i));
            }
        }
        for (i, fault) in self.trace.faults.iter().enumerate() {
            self.plan(fault.at_ms, Moment::Upset(i));
        }
    }

    fn run(&mut self) {
        let last_ms = self.trace.end_ms + DRAIN_MS;
        while let Some((at, moment)) = self.moments.pop_first() {
            self.now_ms = at.ms;
            let settled = self.state.ledger.gangs.live() == 0;
            if at.ms > last_ms || (at.ms > self.trace.end_ms && settled) {
                break;
            }
            self.happen(moment);
        }
    }

    fn happen(&mut self, moment: Moment) {
        match moment {
            Moment::Tick => {
                self.step(Event::Tick);
                self.choose();
                self.plan(self.now_ms + TICK_MS, Moment::Tick);
            }
            Moment::Sample => {
                let seen = &self.workers.seen;
                self.measures
                    .sample(&self.state.ledger, seen, self.now_ms, SAMPLE_MS);
                self.plan(self.now_ms + SAMPLE_MS, Moment::Sample);
            }
            Moment::Submit(i) => {
                let mut job = self.trace.jobs[i].job.clone();
                job.adjacency = policies::submitted(self.policy, job.adjacency);
                let req = job.id.clone();
                self.step(Event::Submit { req, job });
            }
            Moment::Cancel(i) => {
                let job = &self.trace.jobs[i].job;
                self.step(Event::Cancel {
                    req: format!("cancel-{}", job.id).into(),
                    workspace: job.workspace.clone(),
                    job: job.id.clone(),
                });
            }
            Moment::Upset(i) => {
                let fault = &self.trace.faults[i];
                self.workers.upset(&fault.worker, fault.upset, fault.end_ms);
            }
            Moment::Flush => self.flush(),
            Moment::Deliver(batch) => self.deliver(batch),
            Moment::Receive(worker, call) => {
                let answer = self.workers.sync(&worker, &call, self.now_ms);
                let back_ms = match answer {
                    Some(_) => NET_MS,
                    None => self.ctx.settings.keeper.call_ms,
                };
                self.plan(self.now_ms + back_ms, Moment::Answer(worker, answer));
            }
            Moment::Answer(worker, answer) => self.step(Event::SyncEnded { worker, answer }),
        }
    }

    fn choose(&mut self) {
        let Some(chooser) = &self.chooser else {
            return;
        };
        let next = self.state.ledger.next;
        if self.flushing || self.chosen == next {
            return;
        }
        self.chosen = next;
        for entry in chooser.propose(&self.state.ledger) {
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
            entries: std::mem::take(&mut self.waiting),
        };
        self.plan(self.now_ms + LOG_MS, Moment::Deliver(batch));
    }

    fn deliver(&mut self, batch: Batch) {
        self.flushing = false;
        let offset = self.state.ledger.next;
        let entries = batch.entries.clone();
        self.step(Event::Control { offset, batch });
        for entry in &entries {
            self.measures.follow(&self.state.ledger, entry, self.now_ms);
            if let Entry::Place { job, slots, .. } = entry {
                self.check_scatter(offset, job, slots);
            }
        }
        if !self.waiting.is_empty() {
            self.schedule_flush();
        }
    }

    /// Slows a placement that is not as adjacent as its gang truly needs.
    fn check_scatter(&mut self, token: Offset, job: &Name, slots: &[crate::records::Slot]) {
        let Some(one) = self.measures.job(job) else {
            return;
        };
        let ledger = &self.state.ledger;
        if fit::check_adjacent(&ledger.fleet, &one.job, slots).is_err() {
            self.workers.slow(token, SCATTERED_PCT);
        }
    }

    fn append(&mut self, entry: Entry) {
        self.waiting.push(entry);
        self.schedule_flush();
    }

    fn schedule_flush(&mut self) {
        if !self.flushing {
            self.flushing = true;
            self.plan(self.now_ms + LOG_MS, Moment::Flush);
        }
    }

    fn step(&mut self, event: Event) {
        let now = Now {
            mono_ms: self.now_ms,
            wall_ms: START_MS + self.now_ms,
        };
        for effect in step(&self.ctx, &mut self.state, now, event) {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Append(entry) => self.append(entry),
            Effect::FlushBatch => self.schedule_flush(),
            Effect::Sync { worker, call, .. } => {
                self.plan(self.now_ms + NET_MS, Moment::Receive(worker, call));
            }
            Effect::Reply {
                reply: Reply::Refused(_),
                ..
            } => self.measures.refused += 1,
            _ => {}
        }
    }

    fn plan(&mut self, ms: u64, moment: Moment) {
        self.count += 1;
        let count = self.count;
        self.moments.insert(At { ms, count }, moment);
    }
}
