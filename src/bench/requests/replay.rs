//! The replay: arrivals, the log's order, heartbeats and runners under a virtual clock.

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

const TICK_MS: u64 = 50;
const BEAT_MS: u64 = 250;
const GROUP_MS: u64 = 10;
const LOG_MS: u64 = 5;
const NET_MS: u64 = 2;
const SAMPLE_MS: u64 = 100;
const SLOW_FACTOR: u64 = 4;
const RETRY_LATER_MS: u64 = 1_000;
const DRAIN_MS: u64 = 900_000;

/// What became of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It has no final answer.
    Open,
    /// It was answered after this time, in milliseconds.
    Answered(u64),
    /// The upstream's error was passed on.
    Failed,
    /// It was refused.
    Refused(Ran),
}

/// What a replay saw.
#[derive(Debug, Clone)]
pub struct Seen {
    /// What became of each request, in the order of the trace.
    pub fates: Vec<Fate>,
    /// The runs of each request at an upstream.
    pub runs: Vec<u32>,
    /// The tries of each request that reached an upstream, busy ones included.
    pub tries: Vec<u32>,
    /// Tries that a runner refused because its slots were taken.
    pub busy: u64,
    /// The busiest runner's requests divided by the mean, sampled, in thousandths.
    pub peaks: Vec<u64>,
}

#[derive(Debug)]
enum What {
    Arrive(usize),
    Reach(usize, Dispatch),
    Free(usize),
    End(usize, Name, u32, TryEnd),
    Flush(usize),
    Land(Batch),
    Deliver(usize),
    Tick,
    Beat,
    Hear(Vec<Heartbeat>),
    Sample,
}

/// One run of a trace.
#[derive(Debug)]
pub struct Replay<'a> {
    trace: &'a Trace,
    hint_ms: u64,
    vms: Vec<Box<dyn Vm>>,
    agenda: BTreeMap<(u64, u64), What>,
    planned: u64,
    cfg: Offset,
    now_ms: u64,
    log: Vec<Batch>,
    outboxes: Vec<Vec<Entry>>,
    seqs: Vec<u64>,
    flight: Vec<u32>,
    statuses: BTreeMap<(usize, u32), u16>,
    abandoned: BTreeSet<(Name, u32)>,
    open: usize,
    seen: Seen,
}

impl<'a> Replay<'a> {
    /// Replays a trace with the real reducer or the plain baseline, and hints of the given age.
    pub fn run(trace: &'a Trace, real: bool, hint_ms: u64) -> Seen {
        let count = trace.jobs.len();
        let vms = fleet(real);
        let mut replay = Self {
            trace,
            hint_ms,
            agenda: BTreeMap::new(),
            planned: 0,
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
            seen: Seen {
                fates: vec![Fate::Open; count],
                runs: vec![0; count],
                tries: vec![0; count],
                busy: 0,
                peaks: Vec::new(),
            },
        };
        replay.start();
        let end_ms = trace.len_ms() + DRAIN_MS;
        while replay.open > 0 && replay.now_ms < end_ms {
            let Some(((at_ms, _), what)) = replay.agenda.pop_first() else {
                break;
            };
            replay.now_ms = at_ms;
            replay.happen(what);
        }
        replay.seen
    }

    fn start(&mut self) {
        let changes = self.trace.changes();
        for vm in 0..self.vms.len() {
            for (offset, data) in changes.iter().enumerate() {
                let data = data.clone().into_bytes();
                let offset = offset as u64;
                self.tell(vm, Event::Config { offset, data });
            }
        }
        let first = self.batch("vm-0/placer".into(), 1, Vec::new());
        self.log.push(first);
        self.deliver(0);
        for vm in 0..self.vms.len() {
            self.tell(vm, Event::Log { up: true });
        }
        let beats = self.beats();
        self.hear(&beats);
        for (i, job) in self.trace.jobs.iter().enumerate() {
            self.planned += 1;
            self.agenda
                .insert((job.at_ms, self.planned), What::Arrive(i));
        }
        self.plan(TICK_MS, What::Tick);
        self.plan(BEAT_MS, What::Beat);
        self.plan(SAMPLE_MS, What::Sample);
    }

    fn plan(&mut self, after_ms: u64, what: What) {
        self.planned += 1;
        self.agenda
            .insert((self.now_ms + after_ms, self.planned), what);
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Arrive(i) => self.arrive(i),
            What::Reach(vm, dispatch) => self.reach(vm, dispatch),
            What::Free(runner) => self.flight[runner] -= 1,
            What::End(vm, req, attempt, end) => self.end(vm, req, attempt, end),
            What::Flush(vm) => self.flush(vm),
            What::Land(batch) => {
                self.log.push(batch);
                self.plan(LOG_MS / 2, What::Deliver(self.log.len() - 1));
            }
            What::Deliver(at) => self.deliver(at),
            What::Tick => {
                for vm in 0..self.vms.len() {
                    self.tell(vm, Event::Tick);
                }
                self.plan(TICK_MS, What::Tick);
            }
            What::Beat => {
                let beats = self.beats();
                self.plan(self.hint_ms + NET_MS, What::Hear(beats));
                self.plan(BEAT_MS, What::Beat);
            }
            What::Hear(beats) => self.hear(&beats),
            What::Sample => self.sample(),
        }
    }

    fn beats(&self) -> Vec<Heartbeat> {
        self.vms.iter().map(|vm| vm.beat()).collect()
    }

    fn hear(&mut self, beats: &[Heartbeat]) {
        for vm in 0..self.vms.len() {
            for (from, beat) in beats.iter().enumerate() {
                if from != vm {
                    self.tell(vm, Event::Peer(beat.clone()));
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
        self.tell(job.vm, Event::Arrive(arrival));
    }

    fn tell(&mut self, vm: usize, event: Event) {
        for effect in self.vms[vm].tell(self.now_ms, event) {
            self.carry(vm, effect);
        }
    }

    fn carry(&mut self, vm: usize, effect: Effect) {
        match effect {
            Effect::Append(entry) => {
                if self.outboxes[vm].is_empty() {
                    self.plan(GROUP_MS, What::Flush(vm));
                }
                self.outboxes[vm].push(entry);
            }
            Effect::Dispatch(dispatch) => self.plan(NET_MS, What::Reach(vm, dispatch)),
            Effect::Abandon { req, attempt } => drop(self.abandoned.insert((req, attempt))),
            Effect::Reply { req, reply, .. } => self.replied(&req, &reply),
            _ => {}
        }
    }

    fn flush(&mut self, vm: usize) {
        let entries = std::mem::take(&mut self.outboxes[vm]);
        self.seqs[vm] += 1;
        let batch = self.batch(self.vms[vm].writer(), self.seqs[vm], entries);
        self.plan(LOG_MS, What::Land(batch));
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
            self.tell(vm, Event::Control { offset, batch });
        }
        self.log[at].entries.clear();
    }

    /// Lets a try reach its runner.
    fn reach(&mut self, vm: usize, dispatch: Dispatch) {
        let (Some(i), Some(runner)) = (number_in(&dispatch.req), number_in(&dispatch.runner))
        else {
            return;
        };
        self.seen.tries[i] += 1;
        let fault = self.trace.fault(runner, self.now_ms);
        let service_ms = self.trace.jobs[i].service_ms;
        let (after_ms, end) = match fault {
            Fault::Refuses => (NET_MS, not_sent()),
            Fault::Fails => (NET_MS + 1, answer(500, None)),
            Fault::None | Fault::Slow if self.flight[runner] >= SLOTS => {
                self.seen.busy += 1;
                (NET_MS, answer(429, Some(RETRY_LATER_MS)))
            }
            Fault::Cuts => {
                self.seen.runs[i] += 1;
                (NET_MS, broken())
            }
            Fault::None | Fault::Slow => {
                let factor = if fault == Fault::Slow { SLOW_FACTOR } else { 1 };
                self.seen.runs[i] += 1;
                self.flight[runner] += 1;
                self.plan(service_ms * factor, What::Free(runner));
                (service_ms * factor + NET_MS, answer(200, None))
            }
        };
        let what = What::End(vm, dispatch.req, dispatch.attempt, end);
        self.plan(after_ms, what);
    }

    fn end(&mut self, vm: usize, req: Name, attempt: u32, end: TryEnd) {
        if self.abandoned.remove(&(req.clone(), attempt)) {
            return;
        }
        if let (Some(i), TryEnd::Answered { status, .. }) = (number_in(&req), &end) {
            self.statuses.insert((i, attempt), *status);
        }
        self.tell(vm, Event::TryEnd { req, attempt, end });
    }

    fn replied(&mut self, req: &Name, reply: &Reply) {
        let Some(i) = number_in(req) else {
            return;
        };
        let took_ms = self.now_ms - self.trace.jobs[i].at_ms;
        self.seen.fates[i] = match reply {
            Reply::Upstream { attempt, .. } => match self.statuses.get(&(i, *attempt)) {
                Some(200) => Fate::Answered(took_ms),
                _ => Fate::Failed,
            },
            Reply::Refused(refusal) => Fate::Refused(refusal.ran),
            _ => Fate::Failed,
        };
        self.open -= 1;
    }

    fn sample(&mut self) {
        let total: u32 = self.flight.iter().sum();
        let most = self.flight.iter().max().copied().unwrap_or(0);
        if total > 0 && self.now_ms < self.trace.len_ms() {
            let peak = u64::from(most) * 1_000 * RUNNERS as u64 / u64::from(total);
            self.seen.peaks.push(peak);
        }
        self.plan(SAMPLE_MS, What::Sample);
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
