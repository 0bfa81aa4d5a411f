//! What goes between the processes and the platform, and what becomes of each effect.

use super::call::Ask;
use super::call::Call;
use super::call::Told;
use super::checkers::Finding as Broken;
use super::checkers::Promise;
use super::fault::Fault;
use super::runner::Taken;
use super::runner::Work;
use super::vm::Life;
use super::vm::TryId;
use super::vm::Vm;
use super::world::CALL_MS;
use super::world::Item;
use super::world::Sent;
use super::world::World;
use crate::context::Context;
use crate::events;
use crate::modules::peers::heartbeat;
use crate::platform::SyncCall;
use crate::prelude::*;
use crate::records::Batch;
use crate::records::Entry;
use crate::records::Kept;
use crate::reducer::Effect;
use crate::reducer::Event;
use crate::reducer::effect::Dispatch;
use crate::reducer::event::Arrival;
use crate::reducer::event::TryEnd;
use crate::reducer::ledger::Ledger;
use crate::reducer::step;

/// How late the answers of runners come, in milliseconds.
const LATE_MS: u64 = 2_500;
/// The time in which a connection must be made, in milliseconds.
const CONNECT_MS: u64 = 300;
/// The longest time that a planned stop waits, in milliseconds.
const DRAIN_MS: u64 = 10_000;
/// How long a stopped process is gone, in milliseconds.
const STOPPED_MS: u64 = 300;

/// What reaches a process.
#[derive(Debug, Clone)]
pub struct ToVm {
    /// The process.
    pub vm: usize,
    /// Its boot; another one never sees this.
    pub boot: u64,
    /// What it is.
    pub what: Inbound,
}

/// The kinds of what reaches a process.
#[derive(Debug, Clone)]
pub enum Inbound {
    /// An event for the reducer.
    Event(Event),
    /// The end of a try, with the body of its answer.
    Try {
        /// The try.
        id: TryId,
        /// How it ended.
        end: TryEnd,
        /// The body.
        body: Option<String>,
    },
    /// The end of an append.
    Append {
        /// The batch's number.
        seq: u64,
        /// Whether it was acknowledged.
        done: bool,
    },
}

/// What reaches the platform.
#[derive(Debug, Clone)]
pub enum FromVm {
    /// A request reaches a runner.
    Work {
        /// The process.
        vm: usize,
        /// Its boot.
        boot: u64,
        /// The runner.
        runner: Name,
        /// The request.
        work: Work,
    },
    /// A call reaches a worker.
    Sync {
        /// The process.
        vm: usize,
        /// Its boot.
        boot: u64,
        /// The worker.
        worker: Name,
        /// The call.
        call: SyncCall,
    },
    /// A batch reaches the log.
    Batch {
        /// The process.
        vm: usize,
        /// Its boot.
        boot: u64,
        /// The batch.
        batch: Batch,
    },
    /// A checkpoint reaches the log.
    Checkpoint(Box<Ledger>),
}

/// Makes the event that a call is to its process.
pub fn event_of(call: &Call, wall_ms: u64) -> Event {
    let req = call.req.clone();
    match call.ask.clone() {
        Ask::Request { kind, key, .. } => Event::Arrive(Arrival {
            req,
            workspace: "owner".into(),
            kind,
            print: 1,
            bytes: 100,
            issued_ms: Some(wall_ms),
            deadline_ms: None,
            key,
        }),
        Ask::Submit { job } => Event::Submit { req, job },
        Ask::Cancel { workspace, job } => Event::Cancel {
            req,
            workspace,
            job,
        },
    }
}

impl World {
    /// Lets a process look at the log, the clock and the list of VMs.
    pub(super) fn poll(&mut self, vm: usize) {
        let now_ms = self.now_ms;
        match self.vms[vm].life {
            Life::Frozen(until) if now_ms < until => return,
            Life::Frozen(_) => self.wake(vm),
            Life::Down(until) if now_ms < until => return,
            Life::Down(_) => self.restart(vm),
            Life::Up => {}
        }
        self.count_reads(vm);
        for event in self.vms[vm].read(now_ms, &self.log) {
            self.step(vm, event);
        }
        let wall_ms = self.now().wall_ms;
        if let Some(batch) = self.vms[vm].next_batch(now_ms, wall_ms, &self.log) {
            self.send_batch(vm, batch);
        }
        if now_ms % 20 < 10 {
            self.step(vm, Event::Tick);
        }
        if now_ms % 250 < 10 {
            self.beat(vm);
        }
        if self.list_due() {
            let list = self.list();
            if list.revision >= self.vms[vm].revision {
                self.vms[vm].revision = list.revision;
                self.step(vm, Event::Members { list: list.vms });
            }
        }
        self.end_drain(vm);
    }

    /// Takes in what reaches a process.
    pub(super) fn reach_vm(&mut self, message: ToVm) {
        let vm = &mut self.vms[message.vm];
        if vm.ctx.boot != message.boot || matches!(vm.life, Life::Down(_)) {
            return;
        }
        if let Life::Frozen(until) = vm.life {
            self.hit(Fault::Freeze);
            let item = Item::Vm(Box::new(message));
            self.push(until.max(self.now_ms + 1), item);
            return;
        }
        match message.what {
            Inbound::Event(event) => self.step(message.vm, event),
            Inbound::Append { seq, done } => vm.appended(self.now_ms, seq, done),
            Inbound::Try { id, end, body } => {
                if vm.tries.remove(&id).is_none() {
                    return;
                }
                if let Some(body) = body {
                    vm.answers.insert(id.clone(), body);
                }
                let event = Event::TryEnd {
                    req: id.req,
                    attempt: id.attempt,
                    end,
                };
                self.step(message.vm, event);
            }
        }
    }

    /// Takes in what reaches the platform.
    pub(super) fn reach_platform(&mut self, message: FromVm) {
        match message {
            FromVm::Work {
                vm,
                boot,
                runner,
                work,
            } => self.run_work(vm, boot, &runner, &work),
            FromVm::Sync {
                vm,
                boot,
                worker,
                call,
            } => self.sync_worker(vm, boot, &worker, &call),
            FromVm::Batch { vm, boot, batch } => self.take_batch(vm, boot, batch),
            FromVm::Checkpoint(ledger) => {
                let newest = self.log.checkpoints.last().map_or(0, |one| one.next);
                if ledger.next > newest && !self.log.is_down(self.now_ms) {
                    self.log.checkpoints.push(*ledger);
                }
            }
        }
    }

    /// Gives an event to the reducer of a process, and carries out the effects.
    pub(super) fn step(&mut self, vm: usize, event: Event) {
        let now = self.now();
        let before = self.vms[vm].state.ledger.next;
        let own = &mut self.vms[vm];
        let effects = step(&own.ctx, &mut own.state, now, event);
        let own = &self.vms[vm];
        if own.state.ledger.next != before {
            self.checks.stepped(vm, own, &self.log);
        }
        self.checks.ready(self.now_ms, vm, own, &self.log);
        for effect in effects {
            self.carry(vm, effect);
        }
    }

    fn carry(&mut self, vm: usize, effect: Effect) {
        match effect {
            Effect::Append(entry) => {
                if let Entry::Place { job, .. } = &entry {
                    self.proposed(vm, job);
                }
                self.vms[vm].appender.queue.push_back(Some(entry));
            }
            Effect::Touch => self.vms[vm].appender.queue.push_back(None),
            Effect::Dispatch(dispatch) => self.dispatch(vm, dispatch),
            Effect::Abandon { req, attempt } => {
                self.vms[vm].tries.remove(&TryId { req, attempt });
            }
            Effect::Reply { req, cfg, reply } => {
                let body = match &reply {
                    crate::reducer::effect::Reply::Upstream { attempt, .. } => {
                        let id = TryId {
                            req: req.clone(),
                            attempt: *attempt,
                        };
                        self.vms[vm].answers.remove(&id)
                    }
                    _ => None,
                };
                let told = Told {
                    at_ms: self.now_ms,
                    cfg,
                    reply,
                    body,
                };
                self.checks.replied(&mut self.calls, &req, told);
            }
            Effect::Sync { worker, call, .. } => self.call_worker(vm, worker, call),
            Effect::Note(note) => {
                if *note.kind == events::LEDGER_DIVERGED {
                    let text = "a process says that ledgers differ";
                    self.checks.broken(Broken::new(Promise::EqualLedgers, text));
                }
            }
            Effect::Checkpoint => {
                let ledger = Box::new(self.vms[vm].state.ledger.clone());
                let item = Item::Out(Box::new(FromVm::Checkpoint(ledger)));
                self.push(self.now_ms + 30, item);
            }
        }
    }

    fn dispatch(&mut self, vm: usize, dispatch: Dispatch) {
        let id = TryId {
            req: dispatch.req.clone(),
            attempt: dispatch.attempt,
        };
        self.sent.push(Sent {
            req: id.req.clone(),
            runner: dispatch.runner.clone(),
            vm,
            at_ms: self.now_ms,
        });
        let own = &mut self.vms[vm];
        own.tries.insert(id.clone(), dispatch.runner.clone());
        let boot = own.ctx.boot;
        if self.now_ms < own.cuts.runners_out {
            self.hit(Fault::CutRunners);
            let end = TryEnd::NotSent {
                cause: "no connection".into(),
            };
            self.end_try(vm, boot, self.now_ms + CONNECT_MS, id, end, None);
            return;
        }
        let cause = "no whole answer in time".into();
        let end = TryEnd::Broken { cause };
        let late_ms = self.now_ms + dispatch.left_ms;
        self.end_try(vm, boot, late_ms, id.clone(), end, None);
        let call = self.calls.iter().find(|call| call.req == id.req);
        let Some(Call {
            ask: Ask::Request { key, run_ms, .. },
            ..
        }) = call
        else {
            return;
        };
        let work = Work {
            req: id.req,
            attempt: id.attempt,
            key: key.clone(),
            run_ms: *run_ms,
        };
        let runner = dispatch.runner;
        let at_ms = self.arrival(1);
        let item = FromVm::Work {
            vm,
            boot,
            runner,
            work,
        };
        self.push(at_ms, Item::Out(Box::new(item)));
    }

    fn run_work(&mut self, vm: usize, boot: u64, runner: &Name, work: &Work) {
        let now_ms = self.now_ms;
        let found = self.runners.iter_mut().find(|one| one.name == *runner);
        let Some(found) = found else {
            return;
        };
        let taken = found.take(now_ms, work);
        let id = TryId {
            req: work.req.clone(),
            attempt: work.attempt,
        };
        let body = match taken {
            Taken::Runs(_) => format!("ran {}", work.req),
            Taken::Busy => format!("busy {}", work.req),
            Taken::Leaving => String::new(),
        };
        let answered = |status| TryEnd::Answered {
            status,
            retry_ms: (status == 429).then_some(100),
            kept: Kept {
                status,
                media: String::new(),
                body: Some(body.clone()),
            },
        };
        let (wait_ms, end) = match taken {
            Taken::Runs(run_ms) => (run_ms, answered(200)),
            Taken::Busy => (0, answered(429)),
            Taken::Leaving => (0, TryEnd::Leaving),
        };
        let mut at_ms = self.arrival(1) + wait_ms;
        if at_ms < self.vms[vm].cuts.runners_in {
            self.hit(Fault::CutRunnersIn);
            return;
        }
        if now_ms < self.late_ms {
            self.hit(Fault::LateAnswer);
            at_ms += LATE_MS;
        }
        self.end_try(vm, boot, at_ms, id, end, Some(body));
    }

    fn end_try(
        &mut self,
        vm: usize,
        boot: u64,
        at_ms: u64,
        id: TryId,
        end: TryEnd,
        body: Option<String>,
    ) {
        let what = Inbound::Try { id, end, body };
        self.post(at_ms, ToVm { vm, boot, what });
    }

    fn call_worker(&mut self, vm: usize, worker: Name, call: SyncCall) {
        let boot = self.vms[vm].ctx.boot;
        if self.now_ms < self.vms[vm].cuts.workers_out {
            self.hit(Fault::CutWorkers);
            self.no_answer(vm, boot, worker);
            return;
        }
        let at_ms = self.arrival(1);
        let item = FromVm::Sync {
            vm,
            boot,
            worker,
            call,
        };
        self.push(at_ms, Item::Out(Box::new(item)));
    }

    fn sync_worker(&mut self, vm: usize, boot: u64, worker: &Name, call: &SyncCall) {
        let now_ms = self.now_ms;
        let found = self.workers.iter_mut().find(|one| one.name == *worker);
        let Some(found) = found else {
            return;
        };
        let frozen = now_ms < found.frozen_ms;
        let failed = found.failed;
        let answer = (!frozen).then(|| found.sync(now_ms, call));
        let fails = found.failed > failed;
        self.hit_if(Fault::WorkerFreeze, frozen);
        self.hit_if(Fault::WorkerFails, fails);
        let cut = now_ms < self.vms[vm].cuts.workers_in;
        self.hit_if(Fault::CutWorkersIn, cut);
        let Some(answer) = answer.filter(|_| !cut) else {
            self.no_answer(vm, boot, worker.clone());
            return;
        };
        let event = Event::Synced {
            worker: worker.clone(),
            answer: Some(answer),
        };
        let what = Inbound::Event(event);
        let at_ms = self.arrival(1);
        self.post(at_ms, ToVm { vm, boot, what });
    }

    fn no_answer(&mut self, vm: usize, boot: u64, worker: Name) {
        let event = Event::Synced {
            worker,
            answer: None,
        };
        let what = Inbound::Event(event);
        self.post(self.now_ms + CALL_MS, ToVm { vm, boot, what });
    }

    fn send_batch(&mut self, vm: usize, batch: Batch) {
        let boot = self.vms[vm].ctx.boot;
        if self.now_ms < self.vms[vm].cuts.appends || self.log.is_down(self.now_ms) {
            self.hit_if(Fault::LogOutage, self.log.is_down(self.now_ms));
            self.hit_if(
                Fault::CutLogAppends,
                self.now_ms < self.vms[vm].cuts.appends,
            );
            self.hit_if(Fault::CutLog, self.now_ms < self.vms[vm].cuts.appends);
            let seq = batch.id.seq;
            let what = Inbound::Append { seq, done: false };
            self.post(self.now_ms + 50, ToVm { vm, boot, what });
            return;
        }
        let slow = self.now_ms < self.log.slow_ms;
        self.hit_if(Fault::LogSlow, slow);
        let at_ms = self.arrival(2) + 300 * u64::from(slow);
        let twice = self.now_ms < self.twice_ms;
        let item = Item::Out(Box::new(FromVm::Batch { vm, boot, batch }));
        if twice {
            self.hit(Fault::Duplicate);
            self.push(at_ms + 90, item.clone());
        }
        self.push(at_ms, item);
    }

    fn take_batch(&mut self, vm: usize, boot: u64, batch: Batch) {
        let seq = batch.id.seq;
        self.append(batch);
        let mut done = true;
        if self.log.lose > 0 {
            self.log.lose -= 1;
            self.hit(Fault::AnswerLost);
            done = false;
        }
        let at_ms = self.arrival(1);
        let what = Inbound::Append { seq, done };
        self.post(at_ms, ToVm { vm, boot, what });
    }

    fn beat(&mut self, vm: usize) {
        let to = self.sibling(vm);
        let own = &self.vms[vm];
        let beat = heartbeat(&own.ctx, &own.state, self.now());
        let out = self.now_ms < own.cuts.peers_out;
        let lost = out || self.now_ms < self.vms[to].cuts.peers_in;
        if lost {
            self.hit(Fault::CutPeers);
            self.hit_if(Fault::CutPeersOut, out);
            return;
        }
        let what = Inbound::Event(Event::Peer(beat));
        let boot = self.vms[to].ctx.boot;
        let at_ms = self.arrival(1);
        self.post(at_ms, ToVm { vm: to, boot, what });
    }

    /// Sends to a process, twice while messages are doubled.
    fn post(&mut self, at_ms: u64, message: ToVm) {
        let item = Item::Vm(Box::new(message));
        if self.now_ms < self.twice_ms {
            self.hit(Fault::Duplicate);
            self.push(at_ms + 120, item.clone());
        }
        self.push(at_ms, item);
    }

    fn wake(&mut self, vm: usize) {
        self.vms[vm].life = Life::Up;
        self.step(vm, Event::Woke);
        for event in std::mem::take(&mut self.vms[vm].backlog) {
            self.step(vm, event);
        }
    }

    fn restart(&mut self, vm: usize) {
        let old = &self.vms[vm].ctx;
        let settings = (*old.settings).clone();
        let ctx = Context::new(old.process, settings, old.boot + 1);
        self.vms[vm] = Vm::new(ctx, self.now_ms);
        self.checks.restarted(vm);
    }

    fn end_drain(&mut self, vm: usize) {
        let Some(drain_ms) = self.vms[vm].drain_ms else {
            return;
        };
        let late = self.now_ms >= drain_ms + DRAIN_MS;
        if self.vms[vm].is_idle() || late {
            self.checks.stopped(&self.calls, vm, self.vms[vm].ctx.boot);
            self.kill(vm, self.now_ms + STOPPED_MS);
        }
    }

    fn count_reads(&mut self, vm: usize) {
        let lost = self.now_ms < self.vms[vm].cuts.reads;
        self.hit_if(Fault::CutLogReads, lost);
        self.hit_if(Fault::CutLog, lost);
    }
}
