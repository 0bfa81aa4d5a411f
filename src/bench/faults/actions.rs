//! The actions of operators, callers and other VMs in a run.

use super::call::Call;
use super::call::Operation;
use super::fault::Fault;
use super::vm::Life;
use super::vm::Vm;
use super::workload::LEAVING_RUNNER;
use crate::prelude::*;
use crate::records::Batch;
use crate::records::BatchId;
use crate::records::CONTROL_SCHEMA;
use crate::records::Entry;
use crate::reducer::Event;

use super::world::Action;
use super::world::World;

impl World {
    /// Disconnects every waiting caller, and cancels all gangs that have not ended.
    pub fn cancel_all(&mut self) {
        let open: Vec<Call> = self.calls.iter().filter(|c| c.is_open()).cloned().collect();
        for call in open {
            if matches!(call.operation, Operation::Request { .. }) && self.vms[call.vm].is_up() {
                self.record_hit(Fault::Cancel);
                self.deliver(call.vm, Event::CallerGone { req: call.req });
            }
        }
        let gangs = self.log.reference.gangs.all.values();
        let jobs: Vec<(Name, Name)> = gangs
            .filter(|gang| !matches!(gang.phase, crate::reducer::ledger::gangs::Phase::Ended(_)))
            .map(|gang| (gang.job.workspace.clone(), gang.job.id.clone()))
            .collect();
        for (workspace, job) in jobs {
            self.record_hit(Fault::Cancel);
            let req = format!("cancel-{job}");
            let call = Call::new(&req, 0, Operation::Cancel { workspace, job });
            self.perform(Action::Call { call });
        }
    }

    pub(super) fn perform(&mut self, action: Action) {
        match action {
            Action::Publish { text } => self.publish(text),
            Action::Call { call } => self.call(call),
            Action::Reclaim { job } => self.reclaim(job),
            Action::LeaveRunner => {
                self.left_ms = Some(self.now_ms);
                let runner = self
                    .runners
                    .iter_mut()
                    .find(|one| *one.name == *LEAVING_RUNNER);
                if let Some(runner) = runner {
                    runner.leaving = true;
                }
            }
            Action::Drain { vm } => {
                if self.vms[vm].is_up() {
                    self.vms[vm].drain_ms = Some(self.now_ms);
                    self.deliver(vm, Event::Drain);
                }
            }
        }
    }

    /// Sends a call to its process, or to the sibling if that process is down or draining, as a
    /// load balancer would.
    pub(super) fn call(&mut self, mut call: Call) {
        let available = |vm: &Vm| !matches!(vm.life, Life::Down(_)) && !vm.state.draining;
        if !available(&self.vms[call.vm]) {
            call.vm = self.sibling(call.vm);
        }
        if !available(&self.vms[call.vm]) {
            return;
        }
        call.sent_ms = Some(self.now_ms);
        call.boot = self.vms[call.vm].ctx.boot;
        let vm = call.vm;
        let event = super::network::event_of(&call, self.now().wall_ms);
        self.calls.push(call);
        self.deliver(vm, event);
    }

    pub(super) fn reclaim(&mut self, job: Name) {
        let Some(gang) = self.log.reference.gangs.all.get(&job) else {
            return;
        };
        let entry = Entry::Reclaim {
            token: gang.token,
            job,
            waiter: None,
        };
        let batch = Batch {
            schema: CONTROL_SCHEMA,
            id: BatchId {
                writer: "vm-9/placer".into(),
                boot: 1,
                seq: 1,
            },
            at_ms: self.now().wall_ms,
            cfg: self.log.reference.catalog.next,
            entries: vec![entry],
        };
        self.append(batch);
    }
}
