//! Simulated entry processes over one log, with every fault chosen by the test.

#![expect(clippy::expect_used, reason = "tests may panic")]

use std::collections::BTreeMap;
use std::collections::VecDeque;
use trefoilgauge::configs::Settings;
use trefoilgauge::context::Context;
use trefoilgauge::context::Process;
use trefoilgauge::events::Note;
use trefoilgauge::prelude::*;
use trefoilgauge::records::Batch;
use trefoilgauge::records::BatchId;
use trefoilgauge::records::CONTROL_SCHEMA;
use trefoilgauge::records::Entry;
use trefoilgauge::records::Kept;
use trefoilgauge::reducer::Effect;
use trefoilgauge::reducer::Event;
use trefoilgauge::reducer::Now;
use trefoilgauge::reducer::State;
use trefoilgauge::reducer::effect::Dispatch;
use trefoilgauge::reducer::effect::Ran;
use trefoilgauge::reducer::effect::Reply;
use trefoilgauge::reducer::event::Arrival;
use trefoilgauge::reducer::event::Heartbeat;
use trefoilgauge::reducer::event::TryEnd;
use trefoilgauge::reducer::step;

pub(crate) const WALL_MS: u64 = 1_700_000_000_000;

/// A request that a caller sent.
#[derive(Debug, Clone)]
pub(crate) struct Arrived {
    pub(crate) req: Name,
    pub(crate) vm: usize,
    pub(crate) boot: u64,
    pub(crate) key: Option<Name>,
    pub(crate) end_ms: u64,
}

/// A run of a request at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Execution {
    pub(crate) req: Name,
    pub(crate) key: Option<Name>,
}

/// The events of a run that the checkers need.
#[derive(Debug, Clone, Default)]
pub(crate) struct History {
    pub(crate) arrivals: Vec<Arrived>,
    pub(crate) executions: Vec<Execution>,
    pub(crate) replies: Vec<(Name, Reply)>,
    pub(crate) late: Vec<Name>,
    pub(crate) killed: Vec<(usize, u64)>,
}

impl History {
    /// Returns every violation of the guarantees to callers.
    pub(crate) fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        let runs_of = |req: &Name| self.executions.iter().filter(|run| run.req == *req).count();
        for arrived in &self.arrivals {
            let replies = self.replies.iter().filter(|(req, _)| *req == arrived.req);
            let count = replies.count();
            let killed = self.killed.contains(&(arrived.vm, arrived.boot));
            if count > 1 || (count == 0 && !killed) {
                found.push(format!("{} got {count} replies", arrived.req));
            }
        }
        let mut keyed: BTreeMap<&Name, Vec<&Name>> = BTreeMap::new();
        for run in &self.executions {
            if let Some(key) = &run.key {
                keyed.entry(key).or_default().push(&run.req);
            }
        }
        for (key, runs) in keyed.iter().filter(|(_, runs)| runs.len() > 1) {
            found.push(format!("key {key} ran for {runs:?}"));
        }
        for (req, reply) in &self.replies {
            let key = self.arrivals.iter().find(|arrived| arrived.req == *req);
            let key = key.and_then(|arrived| arrived.key.as_ref());
            let key_runs = key.and_then(|key| keyed.get(key));
            match reply {
                Reply::Refused(refusal) if refusal.ran == Ran::No && runs_of(req) > 0 => {
                    found.push(format!("{req} ran and was told no: {refusal:?}"));
                }
                Reply::Refused(refusal) if refusal.ran == Ran::Yes && key_runs.is_none() => {
                    found.push(format!("{req} did not run and was told yes"));
                }
                Reply::Upstream { .. } if runs_of(req) == 0 => {
                    found.push(format!("{req} was answered and did not run"));
                }
                Reply::Kept(kept) => {
                    let own = key_runs.is_some_and(|runs| kept.body.as_deref() == Some(runs[0]));
                    if !own {
                        found.push(format!("{req} got another's answer: {kept:?}"));
                    }
                }
                _ => {}
            }
        }
        for req in &self.late {
            found.push(format!("{req} was dispatched after its deadline"));
        }
        found
    }
}

/// An attempt in flight.
#[derive(Debug, Clone)]
pub(crate) struct Try {
    pub(crate) dispatch: Dispatch,
    pub(crate) abandoned: bool,
}

/// One entry process.
#[derive(Debug)]
pub(crate) struct Vm {
    pub(crate) ctx: Context,
    pub(crate) state: State,
    pub(crate) read: usize,
    pub(crate) outbox: VecDeque<Batch>,
    pub(crate) tries: Vec<Try>,
    pub(crate) ended: Vec<Try>,
    pub(crate) notes: Vec<Note>,
    seq: u64,
}

/// The entry processes and the log.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) log: Vec<Batch>,
    pub(crate) vms: Vec<Vm>,
    pub(crate) now_ms: u64,
    pub(crate) history: History,
    pub(crate) changes: Vec<String>,
    pub(crate) settings: Settings,
    next_req: u64,
}

impl World {
    /// Starts `count` processes over a pool of `runners` with `slots` slots each.
    pub(crate) fn start(count: usize, runners: usize, slots: u32) -> Self {
        let mut settings = Settings::default();
        settings.requests.fleet = count as u64;
        settings.requests.spare = 0;
        Self::start_with(settings, count, runners, slots)
    }

    /// Starts processes with these settings.
    pub(crate) fn start_with(settings: Settings, count: usize, runners: usize, slots: u32) -> Self {
        let list: Vec<String> = (0..runners)
            .map(|i| {
                format!(
                    r#"{{"name":"s{i}","centre":"centre-{}","addr":"127.0.0.1:9"}}"#,
                    i % 3
                )
            })
            .collect();
        let pool = format!(r#"{{"slots":{slots},"runners":[{}]}}"#, list.join(","));
        let change = |id: u32, object: &str, body: &str| {
            format!(
                r#"{{"schema":2,"change":"c{id}","object":"{object}","replaces":0,"body":{body}}}"#
            )
        };
        let kind = |idempotent: bool, priority: &str, ms: u32| {
            format!(
                r#"{{"pool":"p","idempotent":{idempotent},"priority":"{priority}",
                "deadline_ms":{ms},"service_ms":100}}"#
            )
        };
        let changes = vec![
            change(0, "pool/p", &pool),
            change(1, "kind/entry", &kind(false, "urgent", 5_000)),
            change(2, "kind/scan", &kind(true, "patient", 8_000)),
            change(3, "workspace/w", r#"{"quota":8,"kinds":["entry","scan"]}"#),
        ];
        let mut world = Self {
            log: Vec::new(),
            vms: Vec::new(),
            now_ms: 1_000,
            history: History::default(),
            changes,
            settings,
            next_req: 0,
        };
        world.log.push(world.batch("vm-0/placer", 1, 1, Vec::new()));
        for i in 0..count {
            let vm = world.start_process(i, 1);
            world.vms.push(vm);
            world.catch_up(i);
        }
        world
    }

    fn batch(&self, writer: &str, boot: u64, seq: u64, entries: Vec<Entry>) -> Batch {
        let id = BatchId {
            writer: writer.into(),
            boot,
            seq,
        };
        Batch {
            schema: CONTROL_SCHEMA,
            id,
            at_ms: WALL_MS + self.now_ms,
            cfg: self.changes.len() as u64,
            entries,
        }
    }

    fn start_process(&self, i: usize, boot: u64) -> Vm {
        let mut settings = self.settings.clone();
        settings.vm = format!("vm-{}", i + 1).into();
        Vm {
            ctx: Context::new(Process::Entry, settings, boot),
            state: State::default(),
            read: 0,
            outbox: VecDeque::new(),
            tries: Vec::new(),
            ended: Vec::new(),
            notes: Vec::new(),
            seq: 0,
        }
    }

    /// Makes a process read all records, and reports to it that the log is reachable.
    pub(crate) fn catch_up(&mut self, vm: usize) {
        for (offset, data) in self.changes.clone().into_iter().enumerate() {
            let data = data.into_bytes();
            let offset = offset as u64;
            self.deliver(vm, Event::Config { offset, data });
        }
        self.read(vm, usize::MAX);
        self.deliver(vm, Event::Log { up: true });
    }

    /// Delivers one event to a process, and executes the effects.
    pub(crate) fn deliver(&mut self, i: usize, event: Event) {
        let now = Now {
            mono_ms: self.now_ms,
            wall_ms: WALL_MS + self.now_ms,
        };
        let vm = &mut self.vms[i];
        let effects = step(&vm.ctx, &mut vm.state, now, event);
        for effect in effects {
            self.execute_effect(i, effect);
        }
    }

    fn execute_effect(&mut self, i: usize, effect: Effect) {
        match effect {
            Effect::Append(entry) => {
                let vm = &mut self.vms[i];
                vm.seq += 1;
                let (writer, boot, seq) = (vm.ctx.writer.clone(), vm.ctx.boot, vm.seq);
                let batch = self.batch(&writer, boot, seq, vec![entry]);
                self.vms[i].outbox.push_back(batch);
            }
            Effect::Dispatch(dispatch) => {
                let arrived = self.arrived(&dispatch.req);
                if self.now_ms >= arrived.end_ms {
                    self.history.late.push(dispatch.req.clone());
                }
                self.vms[i].tries.push(Try {
                    dispatch,
                    abandoned: false,
                });
            }
            Effect::Abandon { req, attempt } => {
                for open in &mut self.vms[i].tries {
                    let dispatch = &open.dispatch;
                    open.abandoned |= dispatch.req == req && dispatch.attempt == attempt;
                }
            }
            Effect::Reply { req, reply, .. } => self.history.replies.push((req, reply)),
            Effect::Note(note) => self.vms[i].notes.push(note),
            _ => {}
        }
    }

    pub(crate) fn arrived(&self, req: &Name) -> Arrived {
        let found = self
            .history
            .arrivals
            .iter()
            .find(|arrived| arrived.req == *req);
        found.cloned().expect("a request that arrived")
    }

    /// Sends a request; returns its name.
    pub(crate) fn arrive(&mut self, vm: usize, kind: &str, key: Option<&str>, print: u64) -> Name {
        self.arrive_with(vm, kind, key, print, |_| ())
    }

    /// Sends a request after applying `change` to it.
    pub(crate) fn arrive_with(
        &mut self,
        vm: usize,
        kind: &str,
        key: Option<&str>,
        print: u64,
        change: impl FnOnce(&mut Arrival),
    ) -> Name {
        self.next_req += 1;
        let req: Name = format!("r{}", self.next_req).into();
        let mut arrival = Arrival {
            req: req.clone(),
            workspace: "w".into(),
            kind: kind.into(),
            key: key.map(Name::from),
            issued_ms: None,
            deadline_ms: None,
            print,
            bytes: 1,
        };
        change(&mut arrival);
        let usual_ms = if kind == "entry" { 5_000 } else { 8_000 };
        self.history.arrivals.push(Arrived {
            req: req.clone(),
            vm,
            boot: self.vms[vm].ctx.boot,
            key: arrival.key.clone(),
            end_ms: self.now_ms + arrival.deadline_ms.unwrap_or(usual_ms),
        });
        self.deliver(vm, Event::Arrive(arrival));
        req
    }

    /// Appends the oldest batch of the outbox to the log; if the answer is lost, the batch stays in
    /// the outbox and is appended again.
    pub(crate) fn flush(&mut self, vm: usize, answer_lost: bool) {
        let vm = &mut self.vms[vm];
        if let Some(batch) = vm.outbox.front().cloned() {
            self.log.push(batch);
            if !answer_lost {
                vm.outbox.pop_front();
            }
        }
    }

    /// Makes a process read at most `most` records.
    pub(crate) fn read(&mut self, vm: usize, most: usize) {
        for _ in 0..most {
            let at = self.vms[vm].read;
            let Some(batch) = self.log.get(at).cloned() else {
                return;
            };
            self.vms[vm].read += 1;
            let offset = at as u64;
            self.deliver(vm, Event::Control { offset, batch });
        }
    }

    /// Flushes the outboxes of all processes, then makes all read the whole log.
    pub(crate) fn sync(&mut self) {
        for vm in 0..self.vms.len() {
            while !self.vms[vm].outbox.is_empty() {
                self.flush(vm, false);
            }
        }
        for vm in 0..self.vms.len() {
            self.read(vm, usize::MAX);
        }
    }

    /// Records that the upstream ran the request of an attempt.
    pub(crate) fn execute(&mut self, dispatch: &Dispatch) {
        let arrived = self.arrived(&dispatch.req);
        self.history.executions.push(Execution {
            req: dispatch.req.clone(),
            key: arrived.key,
        });
    }

    /// Ends the `at`th attempt of a process.
    pub(crate) fn end(&mut self, vm: usize, at: usize, end: TryEnd, executed: bool) {
        let done = self.vms[vm].tries.remove(at);
        if executed {
            self.execute(&done.dispatch);
        }
        let req = done.dispatch.req.clone();
        let attempt = done.dispatch.attempt;
        self.vms[vm].ended.push(done);
        self.deliver(vm, Event::TryEnd { req, attempt, end });
    }

    /// Kills a process and starts it again; `executed` returns whether each of its attempts ran.
    pub(crate) fn kill(&mut self, vm: usize, mut executed: impl FnMut() -> bool) {
        let boot = self.vms[vm].ctx.boot;
        self.history.killed.push((vm, boot));
        for open in std::mem::take(&mut self.vms[vm].tries) {
            if executed() {
                self.execute(&open.dispatch);
            }
        }
        self.vms[vm] = self.start_process(vm, boot + 1);
        self.catch_up(vm);
    }

    /// Returns the heartbeat that a process would send.
    pub(crate) fn heartbeat(&self, vm: usize) -> Heartbeat {
        let vm = &self.vms[vm];
        Heartbeat {
            from: vm.ctx.writer.clone(),
            centre: vm.ctx.settings.centre.clone(),
            boot: vm.ctx.boot,
            control: vm.state.ledger.next,
            cfg: vm.state.ledger.catalog.next,
            log_up: vm.state.log_up,
            draining: vm.state.draining,
            loads: vm.state.requests.loads(),
            digest: None,
        }
    }

    /// Advances the clock and ticks every process.
    pub(crate) fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        for vm in 0..self.vms.len() {
            self.deliver(vm, Event::Tick);
        }
    }

    /// Sends the heartbeat of each process to every other.
    pub(crate) fn exchange_heartbeats(&mut self) {
        for from in 0..self.vms.len() {
            let beat = self.heartbeat(from);
            for to in (0..self.vms.len()).filter(|to| *to != from) {
                self.deliver(to, Event::Peer(beat.clone()));
            }
        }
    }

    /// Returns the reply to a request.
    pub(crate) fn reply(&self, req: &Name) -> Option<&Reply> {
        let found = self.history.replies.iter().find(|(of, _)| of == req);
        found.map(|(_, reply)| reply)
    }

    /// Returns the status, code and `ran` of a refusal as one text.
    pub(crate) fn refusal(&self, req: &Name) -> String {
        match self.reply(req) {
            Some(Reply::Refused(refused)) => {
                format!("{} {:?} {:?}", refused.status, refused.code, refused.ran)
            }
            other => format!("{other:?}"),
        }
    }
}

/// Returns the end of an attempt with a complete response, whose body names the request.
pub(crate) fn answered(req: &Name, status: u16) -> TryEnd {
    let kept = Kept {
        status,
        media: String::new(),
        body: Some(req.to_string()),
    };
    TryEnd::Answered {
        status,
        retry_ms: None,
        kept,
    }
}

/// Returns the end of an attempt that broke.
pub(crate) fn broken() -> TryEnd {
    TryEnd::Broken {
        cause: "cut".into(),
    }
}

/// Returns the end of an attempt that never left the VM.
pub(crate) fn not_sent() -> TryEnd {
    TryEnd::NotSent {
        cause: "refused".into(),
    }
}
