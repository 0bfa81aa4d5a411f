//! The lifecycle steps of requests, gangs, configuration changes and processes, and how each is
//! detected.

use super::call::Call;
use super::vm::Life;
use super::workload::CANCELLED_JOB;
use super::workload::MAIN_JOB;
use super::workload::MAIN_KEY;
use super::workload::MAIN_MS;
use super::workload::MAIN_REQ;
use super::world::World;
use crate::platform::TaskState;
use crate::prelude::*;
use crate::records::Entry;
use crate::reducer::ledger::gangs::After;
use crate::reducer::ledger::gangs::Ending;
use crate::reducer::ledger::gangs::Phase;
use serde::Deserialize;
use serde::Serialize;

/// The kind of object whose lifecycle a step is part of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// A request.
    Request,
    /// A gang.
    Gang,
    /// A change of configuration.
    Config,
    /// A process of a VM.
    Vm,
}

macro_rules! steps {
    ($($class:ident: $($name:ident $text:literal,)*;)*) => {
        /// A step of a lifecycle.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Step {
            $($(#[doc = $text] $name,)*)*
        }

        /// All steps.
        pub const STEPS: &[Step] = &[$($(Step::$name,)*)*];

        impl Step {
            /// Returns the kind of object whose step this is.
            pub fn class(self) -> Class {
                match self {
                    $($(Step::$name => Class::$class,)*)*
                }
            }
        }
    };
}

steps! {
    Request:
        Accepted "A process has accepted a request.",
        Queued "A request waits for a runner.",
        Claimed "The claim of a request is in the log.",
        Dispatched "A request was sent to a runner.",
        Executing "A runner runs a request.",
        Answering "The answer of a runner is in flight.",
        Answered "The caller has received the answer.",
    ;
    Gang:
        Submitted "The submission of a gang is in the log.",
        Proposed "A placement was proposed.",
        Placed "A placement is in force.",
        Preparing "Some of the workers have prepared a gang.",
        Started "A gang may run, but not all of its members run yet.",
        Running "A gang runs on all of its workers.",
        Checkpointing "A member is being checkpointed.",
        Reclaimed "The reclaim of a gang is in force.",
        Finished "Some of the members have completed, and the gang has not ended.",
        Cancelled "The cancellation of a gang is in force.",
    ;
    Config:
        Published "A change is in the log.",
        InForce "A change is in force according to the log.",
        Applied "At least one process has applied a change.",
        Checkpointed "A change is covered by a checkpoint.",
    ;
    Vm:
        Draining "A process accepts no new work.",
        Stopped "A process has completed a planned stop.",
        Starting "A restarted process has not loaded a checkpoint yet.",
        CatchingUp "A restarted process has not read the log to its end yet.",
        Ready "A restarted process is ready to serve.",
    ;
}

impl Step {
    /// Returns whether the simulation is at this step now.
    pub fn reached(self, world: &World) -> bool {
        if world.now_ms < MAIN_MS {
            return false;
        }
        match self.class() {
            Class::Request => request(self, world),
            Class::Gang => gang(self, world),
            Class::Config => config(self, world),
            Class::Vm => vm(self, world),
        }
    }

    /// Returns the process into which a fault at this step is injected.
    pub fn subject(self, world: &World) -> usize {
        match self.class() {
            Class::Request => 0,
            Class::Gang => world.proposer(MAIN_JOB).unwrap_or(2),
            Class::Config => 3,
            Class::Vm => 1,
        }
    }
}

fn main_call(world: &World) -> Option<&Call> {
    let mut calls = world.calls.iter();
    calls.find(|call| *call.req == *MAIN_REQ && call.sent_ms.is_some())
}

fn request(step: Step, world: &World) -> bool {
    let Some(call) = main_call(world) else {
        return false;
    };
    let sent = world.sent.iter().any(|one| *one.req == *MAIN_REQ);
    let mut runs = world.runners.iter().flat_map(|runner| &runner.executions);
    let run = runs.find(|run| *run.req == *MAIN_REQ);
    let claims = &world.vms[0].state.ledger.claims;
    match step {
        Step::Accepted => call.is_open(),
        Step::Queued => {
            let key: Name = MAIN_KEY.into();
            claims.get(&"owner".into(), &key).is_some() && !sent && call.is_open()
        }
        Step::Claimed => world.log.control.iter().any(|record| {
            let mut entries = record.batch.entries.iter();
            entries.any(|entry| matches!(entry, Entry::Claim { req, .. } if **req == *MAIN_REQ))
        }),
        Step::Dispatched => sent,
        Step::Executing => run.is_some_and(|run| run.at_ms <= world.now_ms),
        Step::Answering => run.is_some_and(|run| run.end_ms <= world.now_ms) && call.is_open(),
        _ => !call.replies.is_empty(),
    }
}

fn gang(step: Step, world: &World) -> bool {
    if step == Step::Cancelled {
        let gang = world.log.reference.gangs.all.get(CANCELLED_JOB);
        let phase = gang.map(|gang| &gang.phase);
        let ending = Ending::Cancelled;
        return phase == Some(&Phase::Stopping(After::End(ending.clone())))
            || phase == Some(&Phase::Ended(ending));
    }
    let Some(gang) = world.log.reference.gangs.all.get(MAIN_JOB) else {
        return false;
    };
    let has = |state| {
        world
            .workers
            .iter()
            .filter(move |one| one.has(MAIN_JOB, state))
    };
    match step {
        Step::Submitted => true,
        Step::Proposed => world.proposer(MAIN_JOB).is_some(),
        Step::Placed => gang.phase == Phase::Preparing,
        Step::Preparing => has(TaskState::Prepared).count() > 0,
        Step::Started => gang.phase == Phase::Running,
        Step::Running => has(TaskState::Running).count() == 2,
        Step::Checkpointing => has(TaskState::Stopping).count() > 0,
        Step::Reclaimed => gang.phase == Phase::Stopping(After::Queue),
        _ => has(TaskState::Done).count() > 0 && !matches!(gang.phase, Phase::Ended(_)),
    }
}

fn config(step: Step, world: &World) -> bool {
    let last = world.log.config.len() as Offset;
    let applied = |vm: &super::vm::Vm| vm.state.ledger.catalog.next >= last;
    match step {
        Step::Published => true,
        Step::InForce => world.log.reference.catalog.next >= last,
        Step::Applied => world.vms.iter().any(applied),
        _ => {
            let newest = world.log.checkpoints.last();
            newest.is_some_and(|ledger| ledger.catalog.next >= last)
        }
    }
}

fn vm(step: Step, world: &World) -> bool {
    let vm = &world.vms[1];
    let restarted = vm.ctx.boot > world.first_boot;
    match step {
        Step::Draining => vm.state.draining,
        Step::Stopped => matches!(vm.life, Life::Down(_)),
        Step::Starting => restarted && !vm.state.restored,
        Step::CatchingUp => restarted && vm.state.restored && !vm.state.caught_up,
        _ => restarted && vm.state.ready(),
    }
}
