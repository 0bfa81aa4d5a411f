//! How the simulated runners, workers and log handle the messages of processes.

use super::call::Call;
use super::call::Operation;
use super::checkers::LEAVE_MS;
use super::fault::Fault;
use super::runner::Admission;
use super::runner::Work;
use super::vm::TryId;
use super::world::CALL_MS;
use super::world::Sent;
use super::world::SimEvent;
use crate::platform::SyncCall;
use crate::prelude::*;
use crate::records::Batch;
use crate::records::Kept;
use crate::reducer::Event;
use crate::reducer::effect::Dispatch;
use crate::reducer::event::TryEnd;

/// The delay of a late response of a runner, in milliseconds.
const LATE_MS: u64 = 2_500;
/// The time after which an attempt to connect fails, in milliseconds.
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
            list_current: self.now_ms >= self.old_list_ms + LEAVE_MS || self.vms[vm].revision > 1,
        });
        let process = &mut self.vms[vm];
        process.tries.insert(id.clone(), dispatch.runner.clone());
        let boot = process.ctx.boot;
        if self.now_ms < process.cuts.runners_out {
            self.record_hit(Fault::CutRunners);
            let end = TryEnd::NotSent {
                cause: "no connection".into(),
            };
            self.end_try(vm, boot, self.now_ms + CONNECT_MS, id, end, None);
            return;
        }
        let cause = "no whole answer in time".into();
        let end = TryEnd::Broken { cause };
        let timeout_ms = self.now_ms + dispatch.left_ms;
        self.end_try(vm, boot, timeout_ms, id.clone(), end, None);
        let call = self.calls.iter().find(|call| call.req == id.req);
        let Some(Call {
            operation: Operation::Request { key, run_ms, .. },
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
        let at_ms = self.arrival_ms(1);
        let event = FromVm::Work {
            vm,
            boot,
            runner,
            work,
        };
        self.schedule_event(at_ms, SimEvent::ToPlatform(Box::new(event)));
    }

    pub(super) fn run_work(&mut self, vm: usize, boot: u64, runner: &Name, work: &Work) {
        let now_ms = self.now_ms;
        let found = self.runners.iter_mut().find(|one| one.name == *runner);
        let Some(found) = found else {
            return;
        };
        let admission = found.admit(now_ms, work);
        let id = TryId {
            req: work.req.clone(),
            attempt: work.attempt,
        };
        let body = match admission {
            Admission::Runs(_) => format!("ran {}", work.req),
            Admission::Busy => format!("busy {}", work.req),
            Admission::Leaving => String::new(),
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
        let (wait_ms, end) = match admission {
            Admission::Runs(run_ms) => (run_ms, answered(200)),
            Admission::Busy => (0, answered(429)),
            Admission::Leaving => (0, TryEnd::Leaving),
        };
        let mut at_ms = self.arrival_ms(1) + wait_ms;
        if at_ms < self.vms[vm].cuts.runners_in {
            self.record_hit(Fault::CutRunnersIn);
            return;
        }
        if now_ms < self.late_ms {
            self.record_hit(Fault::LateAnswer);
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
        let content = Inbound::Try { id, end, body };
        self.post(at_ms, ToVm { vm, boot, content });
    }

    pub(super) fn call_worker(&mut self, vm: usize, worker: Name, call: SyncCall) {
        let boot = self.vms[vm].ctx.boot;
        if self.now_ms < self.vms[vm].cuts.workers_out {
            self.record_hit(Fault::CutWorkers);
            self.time_out_sync(vm, boot, worker);
            return;
        }
        let at_ms = self.arrival_ms(1);
        let event = FromVm::Sync {
            vm,
            boot,
            worker,
            call,
        };
        self.schedule_event(at_ms, SimEvent::ToPlatform(Box::new(event)));
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
        self.checks.record_prepared(found);
        let fails = found.failed > failed;
        self.record_hit_if(Fault::WorkerFreeze, frozen);
        self.record_hit_if(Fault::WorkerFails, fails);
        let cut = now_ms < self.vms[vm].cuts.workers_in;
        self.record_hit_if(Fault::CutWorkersIn, cut);
        let Some(answer) = answer.filter(|_| !cut) else {
            self.time_out_sync(vm, boot, worker.clone());
            return;
        };
        let event = Event::SyncEnded {
            worker: worker.clone(),
            answer: Some(answer),
        };
        let content = Inbound::Event(event);
        let at_ms = self.arrival_ms(1);
        self.post(at_ms, ToVm { vm, boot, content });
    }

    pub(super) fn time_out_sync(&mut self, vm: usize, boot: u64, worker: Name) {
        let event = Event::SyncEnded {
            worker,
            answer: None,
        };
        let content = Inbound::Event(event);
        self.post(self.now_ms + CALL_MS, ToVm { vm, boot, content });
    }

    pub(super) fn send_batch(&mut self, vm: usize, batch: Batch) {
        let boot = self.vms[vm].ctx.boot;
        if self.now_ms < self.vms[vm].cuts.appends || self.log.is_down(self.now_ms) {
            self.record_hit_if(Fault::LogOutage, self.log.is_down(self.now_ms));
            self.record_hit_if(
                Fault::CutLogAppends,
                self.now_ms < self.vms[vm].cuts.appends,
            );
            self.record_hit_if(Fault::CutLog, self.now_ms < self.vms[vm].cuts.appends);
            let seq = batch.id.seq;
            let content = Inbound::Append { seq, done: false };
            self.post(self.now_ms + 50, ToVm { vm, boot, content });
            return;
        }
        let slow = self.now_ms < self.log.slow_ms;
        self.record_hit_if(Fault::LogSlow, slow);
        let at_ms = self.arrival_ms(2) + 300 * u64::from(slow);
        let twice = self.now_ms < self.duplicate_ms;
        let event = SimEvent::ToPlatform(Box::new(FromVm::Batch { vm, boot, batch }));
        if twice {
            self.record_hit(Fault::Duplicate);
            self.schedule_event(at_ms + 90, event.clone());
        }
        self.schedule_event(at_ms, event);
    }

    pub(super) fn append_batch(&mut self, vm: usize, boot: u64, batch: Batch) {
        let seq = batch.id.seq;
        self.append(batch);
        let mut done = true;
        if self.log.lost_answers > 0 {
            self.log.lost_answers -= 1;
            self.record_hit(Fault::AnswerLost);
            done = false;
        }
        let at_ms = self.arrival_ms(1);
        let content = Inbound::Append { seq, done };
        self.post(at_ms, ToVm { vm, boot, content });
    }
}
