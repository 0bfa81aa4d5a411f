//! What the platform does with what reaches it.

use super::call::Ask;
use super::call::Call;
use super::checkers::LEAVE_MS;
use super::fault::Fault;
use super::runner::Taken;
use super::runner::Work;
use super::vm::TryId;
use super::world::CALL_MS;
use super::world::Item;
use super::world::Sent;
use crate::platform::SyncCall;
use crate::prelude::*;
use crate::records::Batch;
use crate::records::Kept;
use crate::reducer::Event;
use crate::reducer::effect::Dispatch;
use crate::reducer::event::TryEnd;

/// How late the answers of runners come, in milliseconds.
const LATE_MS: u64 = 2_500;
/// The time in which a connection must be made, in milliseconds.
const CONNECT_MS: u64 = 300;

use super::network::FromVm;
use super::network::Inbound;
use super::network::ToVm;
use super::world::World;

impl World {
    pub(super) fn dispatch(&mut self, vm: usize, dispatch: Dispatch) {
        let id = TryId {
            req: dispatch.req.clone(),
            attempt: dispatch.attempt,
        };
        self.sent.push(Sent {
            req: id.req.clone(),
            runner: dispatch.runner.clone(),
            vm,
            at_ms: self.now_ms,
            told: self.now_ms >= self.list_back + LEAVE_MS || self.vms[vm].revision > 1,
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

    pub(super) fn run_work(&mut self, vm: usize, boot: u64, runner: &Name, work: &Work) {
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

    pub(super) fn end_try(
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

    pub(super) fn call_worker(&mut self, vm: usize, worker: Name, call: SyncCall) {
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

    pub(super) fn sync_worker(&mut self, vm: usize, boot: u64, worker: &Name, call: &SyncCall) {
        let now_ms = self.now_ms;
        let found = self.workers.iter_mut().find(|one| one.name == *worker);
        let Some(found) = found else {
            return;
        };
        let frozen = now_ms < found.frozen_ms;
        let failed = found.failed;
        let answer = (!frozen).then(|| found.sync(now_ms, call));
        self.checks.synced(found);
        let fails = found.failed > failed;
        self.hit_if(Fault::WorkerFreeze, frozen);
        self.hit_if(Fault::WorkerFails, fails);
        let cut = now_ms < self.vms[vm].cuts.workers_in;
        self.hit_if(Fault::CutWorkersIn, cut);
        let Some(answer) = answer.filter(|_| !cut) else {
            self.no_answer(vm, boot, worker.clone());
            return;
        };
        let event = Event::SyncEnded {
            worker: worker.clone(),
            answer: Some(answer),
        };
        let what = Inbound::Event(event);
        let at_ms = self.arrival(1);
        self.post(at_ms, ToVm { vm, boot, what });
    }

    pub(super) fn no_answer(&mut self, vm: usize, boot: u64, worker: Name) {
        let event = Event::SyncEnded {
            worker,
            answer: None,
        };
        let what = Inbound::Event(event);
        self.post(self.now_ms + CALL_MS, ToVm { vm, boot, what });
    }

    pub(super) fn send_batch(&mut self, vm: usize, batch: Batch) {
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

    pub(super) fn take_batch(&mut self, vm: usize, boot: u64, batch: Batch) {
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
}
