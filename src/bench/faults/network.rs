//! Messages between the processes and the simulated platform, and the execution of effects.

use super::call::Call;
use super::call::Operation;
use super::call::ReceivedReply;
use super::checkers::Finding;
use super::checkers::Promise;
use super::fault::Fault;
use super::runner::Work;
use super::vm::Life;
use super::vm::TryId;
use super::vm::Vm;
use super::world::SimEvent;
use super::world::World;
use crate::context::Context;
use crate::events;
use crate::modules::peers::heartbeat;
use crate::platform::SyncCall;
use crate::prelude::*;
use crate::records::Batch;
use crate::records::Entry;
use crate::reducer::Effect;
use crate::reducer::Event;
use crate::reducer::event::Arrival;
use crate::reducer::event::TryEnd;
use crate::reducer::ledger::Ledger;
use crate::reducer::step;

/// The longest time that a planned stop waits for open work, in milliseconds.
const DRAIN_MS: u64 = 10_000;
/// The time from a planned stop to the restart of the process, in milliseconds.
const STOPPED_MS: u64 = 300;

/// A message to a process.
#[derive(Debug, Clone)]
pub struct ToVm {
    /// The process.
    pub vm: usize,
    /// Its boot; a process with another boot drops the message.
    pub boot: u64,
    /// Its content.
    pub content: Inbound,
}

/// The content of a message to a process.
#[derive(Debug, Clone)]
pub enum Inbound {
    /// An event for the reducer.
    Event(Event),
    /// The end of an attempt, with the body of its response.
    Try {
        /// The attempt.
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

/// A message to the platform.
#[derive(Debug, Clone)]
pub enum FromVm {
    /// A request to a runner.
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
    /// A sync call to a worker.
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
    /// A batch to append to the log.
    Batch {
        /// The process.
        vm: usize,
        /// Its boot.
        boot: u64,
        /// The batch.
        batch: Batch,
    },
    /// A checkpoint to store in the log.
    Checkpoint(Box<Ledger>),
}

/// Returns the reducer event of a call.
pub fn event_of(call: &Call, wall_ms: u64) -> Event {
    let req = call.req.clone();
    match call.operation.clone() {
        Operation::Request {
            kind,
            key,
            deadline_ms,
            ..
        } => Event::Arrive(Arrival {
            req,
            workspace: "owner".into(),
            kind,
            print: 1,
            bytes: 100,
            issued_ms: Some(wall_ms),
            deadline_ms,
            key,
        }),
        Operation::Submit { job } => Event::Submit { req, job },
        Operation::Cancel { workspace, job } => Event::Cancel {
            req,
            workspace,
            job,
        },
    }
}

impl World {
    /// Lets a process read the log, the clock and the list of VMs, and send its next batch.
    pub(super) fn poll(&mut self, vm: usize) {
        let now_ms = self.now_ms;
        match self.vms[vm].life {
            Life::Frozen(until) if now_ms < until => return,
            Life::Frozen(_) => self.resume(vm),
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
            self.send_heartbeat(vm);
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

    /// Delivers a message to its process; a paused process receives it when it resumes.
    pub(super) fn deliver_to_vm(&mut self, message: ToVm) {
        let vm = &mut self.vms[message.vm];
        if vm.ctx.boot != message.boot || matches!(vm.life, Life::Down(_)) {
            return;
        }
        if let Life::Frozen(until) = vm.life {
            self.record_hit(Fault::Freeze);
            let event = SimEvent::ToVm(Box::new(message));
            self.schedule_event(until.max(self.now_ms + 1), event);
            return;
        }
        match message.content {
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

    /// Delivers a message to the platform.
    pub(super) fn deliver_to_platform(&mut self, message: FromVm) {
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
            FromVm::Batch { vm, boot, batch } => self.append_batch(vm, boot, batch),
            FromVm::Checkpoint(ledger) => {
                let newest = self.log.checkpoints.last().map_or(0, |one| one.next);
                if ledger.next > newest && !self.log.is_down(self.now_ms) {
                    self.log.checkpoints.push(*ledger);
                }
            }
        }
    }

    /// Passes an event to the reducer of a process, and executes the effects.
    pub(super) fn step(&mut self, vm: usize, event: Event) {
        let now = self.now();
        let before = self.vms[vm].state.ledger.next;
        let process = &mut self.vms[vm];
        let effects = step(&process.ctx, &mut process.state, now, event);
        let process = &self.vms[vm];
        if process.state.ledger.next != before {
            self.checks.check_ledger(vm, process, &self.log);
        }
        self.checks.check_ready(self.now_ms, vm, process, &self.log);
        for effect in effects {
            self.execute(vm, effect);
        }
    }

    fn execute(&mut self, vm: usize, effect: Effect) {
        match effect {
            Effect::Append(entry) => {
                if let Entry::Place { job, .. } = &entry {
                    self.record_proposal(vm, job);
                }
                self.vms[vm].appender.queue.push_back(Some(entry));
            }
            Effect::FlushBatch => self.vms[vm].appender.queue.push_back(None),
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
                let received = ReceivedReply {
                    at_ms: self.now_ms,
                    cfg,
                    reply,
                    body,
                };
                self.checks.record_reply(&mut self.calls, &req, received);
            }
            Effect::Sync { worker, call, .. } => self.call_worker(vm, worker, call),
            Effect::Note(note) => {
                if *note.kind == events::LEDGER_DIVERGED {
                    let text = "a process says that ledgers differ";
                    self.checks
                        .add_finding(Finding::new(Promise::EqualLedgers, text));
                }
            }
            Effect::Checkpoint => {
                let ledger = Box::new(self.vms[vm].state.ledger.clone());
                let event = SimEvent::ToPlatform(Box::new(FromVm::Checkpoint(ledger)));
                self.schedule_event(self.now_ms + 30, event);
            }
        }
    }

    fn send_heartbeat(&mut self, vm: usize) {
        let to = self.sibling(vm);
        let process = &self.vms[vm];
        let beat = heartbeat(&process.ctx, &process.state, self.now());
        let out = self.now_ms < process.cuts.peers_out;
        let lost = out || self.now_ms < self.vms[to].cuts.peers_in;
        if lost {
            self.record_hit(Fault::CutPeers);
            self.record_hit_if(Fault::CutPeersOut, out);
            return;
        }
        let content = Inbound::Event(Event::Peer(beat));
        let boot = self.vms[to].ctx.boot;
        let at_ms = self.arrival_ms(1);
        self.post(
            at_ms,
            ToVm {
                vm: to,
                boot,
                content,
            },
        );
    }

    /// Sends a message to a process, twice while the duplication fault is active.
    pub(super) fn post(&mut self, at_ms: u64, message: ToVm) {
        let event = SimEvent::ToVm(Box::new(message));
        if self.now_ms < self.duplicate_ms {
            self.record_hit(Fault::Duplicate);
            self.schedule_event(at_ms + 120, event.clone());
        }
        self.schedule_event(at_ms, event);
    }

    fn resume(&mut self, vm: usize) {
        self.vms[vm].life = Life::Up;
        self.step(vm, Event::MaybeStale);
        for event in std::mem::take(&mut self.vms[vm].backlog) {
            self.step(vm, event);
        }
    }

    fn restart(&mut self, vm: usize) {
        let old = &self.vms[vm].ctx;
        let settings = (*old.settings).clone();
        let ctx = Context::new(old.process, settings, old.boot + 1);
        self.vms[vm] = Vm::new(ctx, self.now_ms);
        self.checks.forget_process(vm);
    }

    fn end_drain(&mut self, vm: usize) {
        let Some(drain_ms) = self.vms[vm].drain_ms else {
            return;
        };
        let late = self.now_ms >= drain_ms + DRAIN_MS;
        if self.vms[vm].is_idle() || late {
            self.checks
                .check_planned_stop(&self.calls, vm, self.vms[vm].ctx.boot);
            self.kill(vm, self.now_ms + STOPPED_MS);
        }
    }

    fn count_reads(&mut self, vm: usize) {
        let lost = self.now_ms < self.vms[vm].cuts.reads;
        self.record_hit_if(Fault::CutLogReads, lost);
        self.record_hit_if(Fault::CutLog, lost);
        self.record_hit_if(Fault::LogOutage, self.log.is_down(self.now_ms));
    }
}
