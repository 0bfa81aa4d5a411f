//! What operators, callers and other VMs do in a run.

use super::call::Ask;
use super::call::Call;
use super::fault::Fault;
use super::plan::LEAVER;
use super::vm::Life;
use super::vm::Vm;
use crate::prelude::*;
use crate::records::Batch;
use crate::records::BatchId;
use crate::records::CONTROL_SCHEMA;
use crate::records::Entry;
use crate::reducer::Event;

use super::world::Act;
use super::world::World;

impl World {
    /// Lets every caller that waits go away, and cancels the gangs.
    pub fn cancel_all(&mut self) {
        let open: Vec<Call> = self.calls.iter().filter(|c| c.open()).cloned().collect();
        for call in open {
            if matches!(call.ask, Ask::Request { .. }) && self.vms[call.vm].is_up() {
                self.hit(Fault::Cancel);
                self.give(call.vm, Event::CallerGone { req: call.req });
            }
        }
        let gangs = self.log.truth.gangs.all.values();
        let jobs: Vec<(Name, Name)> = gangs
            .filter(|gang| !matches!(gang.phase, crate::reducer::ledger::gangs::Phase::Ended(_)))
            .map(|gang| (gang.job.workspace.clone(), gang.job.id.clone()))
            .collect();
        for (workspace, job) in jobs {
            self.hit(Fault::Cancel);
            let req = format!("cancel-{job}");
            let call = Call::new(&req, 0, Ask::Cancel { workspace, job });
            self.act(Act::Call { call });
        }
    }

    pub(super) fn act(&mut self, act: Act) {
        match act {
            Act::Publish { text } => self.publish(text),
            Act::Call { call } => self.call(call),
            Act::Reclaim { job } => self.reclaim(job),
            Act::LeaveRunner => {
                self.left_ms = Some(self.now_ms);
                let leaver = self.runners.iter_mut().find(|one| *one.name == *LEAVER);
                if let Some(runner) = leaver {
                    runner.leaving = true;
                }
            }
            Act::Drain { vm } => {
                if self.vms[vm].is_up() {
                    self.vms[vm].drain_ms = Some(self.now_ms);
                    self.give(vm, Event::Drain);
                }
            }
        }
    }

    /// Hands a call to its process, or to the other one if the balancer sees that it is gone.
    pub(super) fn call(&mut self, mut call: Call) {
        let fit = |vm: &Vm| !matches!(vm.life, Life::Down(_)) && !vm.state.draining;
        if !fit(&self.vms[call.vm]) {
            call.vm = self.sibling(call.vm);
        }
        if !fit(&self.vms[call.vm]) {
            return;
        }
        call.sent_ms = Some(self.now_ms);
        call.boot = self.vms[call.vm].ctx.boot;
        let vm = call.vm;
        let event = super::network::event_of(&call, self.now().wall_ms);
        self.calls.push(call);
        self.give(vm, event);
    }

    pub(super) fn reclaim(&mut self, job: Name) {
        let Some(gang) = self.log.truth.gangs.all.get(&job) else {
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
            cfg: self.log.truth.catalog.next,
            entries: vec![entry],
        };
        self.append(batch);
    }
}
