//! The simulation of a run: processes, workers, runners and callers under one virtual clock.

use super::call::Call;
use super::checkers::Checkers;
use super::fault::Fault;
use super::log::MemoryLog;
use super::runner::FakeRunner;
use super::vm::Life;
use super::vm::Vm;
use super::worker::FakeWorker;
use super::workload::LEAVING_RUNNER;
use super::workload::worker_name;
use crate::configs::Settings;
use crate::context::Context;
use crate::context::Process;
use crate::platform::Member;
use crate::platform::Role;
use crate::prelude::*;
use crate::records::Batch;
use crate::reducer::Event;
use crate::reducer::Now;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// The wall time at the start of a run, in milliseconds.
const WALL_MS: u64 = 1_000_000_000;
/// The time between two polls of a process, in milliseconds.
const POLL_MS: u64 = 10;
/// The time between two reads of the list of VMs, in milliseconds.
const LIST_MS: u64 = 500;
/// The age of the list of VMs when it is read, in milliseconds.
const LIST_LAG_MS: u64 = 1_000;
/// The timeout of a call to a worker, in milliseconds.
pub const CALL_MS: u64 = 500;

/// A scheduled action of an operator, a caller or another VM.
#[derive(Debug, Clone)]
pub enum Action {
    /// An operator publishes a change.
    Publish {
        /// Its text.
        text: String,
    },
    /// A caller makes a call.
    Call {
        /// The call.
        call: Call,
    },
    /// The planner of another VM reclaims the accelerators of a gang.
    Reclaim {
        /// The gang.
        job: Name,
    },
    /// A runner begins to leave.
    LeaveRunner,
    /// A process begins a planned stop.
    Drain {
        /// The process.
        vm: usize,
    },
}

/// A scheduled event of the simulation.
#[derive(Debug, Clone)]
pub enum SimEvent {
    /// A process reads the log and the clock.
    Poll {
        /// The process.
        vm: usize,
    },
    /// The workers update their tasks to the current time.
    AdvanceWorkers,
    /// A scheduled action is performed.
    Action(Box<Action>),
    /// A message arrives at a process.
    ToVm(Box<super::network::ToVm>),
    /// A message arrives at the platform.
    ToPlatform(Box<super::network::FromVm>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DueTime {
    at_ms: u64,
    seq: u64,
}

/// One dispatch of a request by a process.
#[derive(Debug, Clone)]
pub struct Sent {
    /// The request.
    pub req: Name,
    /// The runner.
    pub runner: Name,
    /// The process.
    pub vm: usize,
    /// When, in milliseconds.
    pub at_ms: u64,
    /// Whether the list of VMs had time to show the process that the runner is leaving.
    pub list_current: bool,
}

/// One proposal of a placement.
#[derive(Debug, Clone)]
struct Proposal {
    vm: usize,
    job: Name,
}

/// The simulated system.
#[derive(Debug)]
pub struct World {
    /// The virtual time, in milliseconds.
    pub now_ms: u64,
    /// The log.
    pub log: MemoryLog,
    /// The processes: two entry processes, then two placers, each pair on the same two VMs.
    pub vms: Vec<Vm>,
    /// The workers.
    pub workers: Vec<FakeWorker>,
    /// The runners.
    pub runners: Vec<FakeRunner>,
    /// All calls.
    pub calls: Vec<Call>,
    /// All dispatches.
    pub sent: Vec<Sent>,
    /// The checkers and their findings.
    pub checks: Checkers,
    /// How often each fault took effect.
    pub hits: BTreeMap<Fault, u32>,
    /// The boot of each process at the start of the run.
    pub first_boot: u64,
    /// When the leaving runner began to leave, in milliseconds.
    pub left_ms: Option<u64>,
    /// Until when messages are delivered twice, in milliseconds.
    pub duplicate_ms: u64,
    /// Until when messages overtake each other, in milliseconds.
    pub reorder_ms: u64,
    /// Until when the responses of runners are delayed, in milliseconds.
    pub late_ms: u64,
    /// Until when reads of the list of VMs return an old one, in milliseconds.
    pub old_list_ms: u64,
    /// When retention removes records, in milliseconds.
    pub expire_at: Option<u64>,
    /// The offset of the first of the two racing changes.
    pub racing_offset: Option<Offset>,
    proposals: Vec<Proposal>,
    queue: BTreeMap<DueTime, SimEvent>,
    seq: u64,
    rng: Pcg64Mcg,
}

impl World {
    /// Creates the simulation in its initial state.
    pub fn new(seed: u64) -> Self {
        let vms = [
            (Process::Entry, "vm-1"),
            (Process::Entry, "vm-2"),
            (Process::Placer, "vm-1"),
            (Process::Placer, "vm-2"),
        ];
        let vms = vms.map(|(process, vm)| {
            let ctx = Context::new(process, settings(vm), WALL_MS);
            Vm::new(ctx, 0)
        });
        let mut world = Self {
            now_ms: 0,
            log: MemoryLog::default(),
            vms: vms.into(),
            workers: (0..4)
                .map(|i| FakeWorker::new(&worker_name(i), 1_500))
                .collect(),
            runners: (1..=3)
                .map(|i| FakeRunner::new(&format!("runner-{i}"), 3))
                .collect(),
            calls: Vec::new(),
            sent: Vec::new(),
            checks: Checkers::default(),
            hits: BTreeMap::new(),
            first_boot: WALL_MS,
            left_ms: None,
            duplicate_ms: 0,
            reorder_ms: 0,
            late_ms: 0,
            old_list_ms: 0,
            expire_at: None,
            racing_offset: None,
            proposals: Vec::new(),
            queue: BTreeMap::new(),
            seq: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        for vm in 0..world.vms.len() {
            world.schedule_event(1 + vm as u64, SimEvent::Poll { vm });
        }
        world.schedule_event(5, SimEvent::AdvanceWorkers);
        world
    }

    /// Schedules `action` at a time in milliseconds.
    pub fn schedule(&mut self, at_ms: u64, action: Action) {
        self.schedule_event(at_ms, SimEvent::Action(Box::new(action)));
    }

    /// Advances the clock to the next event, and handles it.
    pub fn advance(&mut self) {
        let Some((due, event)) = self.queue.pop_first() else {
            return;
        };
        self.now_ms = self.now_ms.max(due.at_ms);
        match event {
            SimEvent::Poll { vm } => {
                self.schedule_event(self.now_ms + POLL_MS, SimEvent::Poll { vm });
                self.poll(vm);
            }
            SimEvent::AdvanceWorkers => {
                self.schedule_event(self.now_ms + POLL_MS, SimEvent::AdvanceWorkers);
                self.advance_workers();
            }
            SimEvent::Action(action) => self.perform(*action),
            SimEvent::ToVm(message) => self.deliver_to_vm(*message),
            SimEvent::ToPlatform(message) => self.deliver_to_platform(*message),
        }
    }

    /// Publishes a change.
    pub fn publish(&mut self, text: String) {
        let offset = self.log.publish(self.now_ms, text);
        self.checks.record_change(self.now_ms, offset);
    }

    /// Appends a batch, and checks the reference ledger.
    pub fn append(&mut self, batch: Batch) {
        let applied = self.log.append(self.now_ms, batch);
        self.checks
            .check_record(self.now_ms, &self.log.reference, &applied);
    }

    /// Counts one effect of a fault.
    pub fn record_hit(&mut self, fault: Fault) {
        *self.hits.entry(fault).or_insert(0) += 1;
    }

    /// Counts one effect of a fault if `done`.
    pub fn record_hit_if(&mut self, fault: Fault, done: bool) {
        if done {
            self.record_hit(fault);
        }
    }

    /// Kills a process; it restarts at `restart_ms`.
    pub fn kill(&mut self, vm: usize, restart_ms: u64) {
        self.vms[vm].life = Life::Down(restart_ms);
        let boot = self.vms[vm].ctx.boot;
        for call in &mut self.calls {
            if call.vm == vm && call.boot == boot && call.is_open() {
                call.aborted = true;
            }
        }
    }

    /// Returns the other process of the same kind.
    pub fn sibling(&self, vm: usize) -> usize {
        vm ^ 1
    }

    /// Returns the process that last proposed a placement of the gang.
    pub fn proposer(&self, job: &str) -> Option<usize> {
        let mut proposals = self.proposals.iter().rev();
        let last = proposals.find(|one| *one.job == *job);
        last.map(|one| one.vm)
    }

    /// Returns a worker on which the gang is placed, or else one with tasks, or the first.
    pub fn target_worker(&self, job: &str) -> usize {
        let gang = self.log.reference.gangs.all.get(job);
        let slot = gang.and_then(|gang| gang.slots.first());
        let mut workers = self.workers.iter();
        let at = slot.and_then(|slot| workers.position(|one| one.name == slot.worker));
        let busy = || self.workers.iter().position(|one| !one.tasks.is_empty());
        at.or_else(busy).unwrap_or(0)
    }

    /// Records the proposal of a placement.
    pub fn record_proposal(&mut self, vm: usize, job: &Name) {
        let job = job.clone();
        self.proposals.push(Proposal { vm, job });
    }

    /// Returns when a message arrives that is sent now: after `base_ms` and a random delay.
    pub fn arrival_ms(&mut self, base_ms: u64) -> u64 {
        let spread_ms = match self.now_ms < self.reorder_ms {
            true => 150,
            false => 2,
        };
        self.record_hit_if(Fault::Reorder, spread_ms > 2);
        self.now_ms + base_ms + self.rng.next_u64() % spread_ms
    }

    /// Schedules an event.
    pub fn schedule_event(&mut self, at_ms: u64, event: SimEvent) {
        self.seq += 1;
        let seq = self.seq;
        self.queue.insert(DueTime { at_ms, seq }, event);
    }

    /// Returns the monotonic and the wall time.
    pub fn now(&self) -> Now {
        Now {
            mono_ms: self.now_ms + 1,
            wall_ms: WALL_MS + self.now_ms,
        }
    }

    /// Returns the list of VMs as a process reads it now, with its revision.
    pub fn list(&mut self) -> Listed {
        let mut seen_ms = self.now_ms.saturating_sub(LIST_LAG_MS);
        if self.now_ms < self.old_list_ms {
            self.record_hit(Fault::ListBack);
            seen_ms = 0;
        }
        let leaving = self.left_ms.is_some_and(|left_ms| left_ms <= seen_ms);
        let runners = self.runners.iter().map(|runner| Member {
            name: runner.name.clone(),
            role: Role::Runner,
            centre: "c1".into(),
            addr: "127.0.0.1:1".into(),
            leaving: leaving && *runner.name == *LEAVING_RUNNER,
        });
        let own = self.vms.iter().map(|vm| Member {
            name: vm.ctx.settings.vm.clone(),
            role: match vm.ctx.process {
                Process::Entry => Role::Entry,
                Process::Placer => Role::Placer,
            },
            centre: "c1".into(),
            addr: "127.0.0.1:1".into(),
            leaving: false,
        });
        Listed {
            revision: 1 + u64::from(leaving),
            vms: runners.chain(own).collect(),
        }
    }

    fn advance_workers(&mut self) {
        for worker in &mut self.workers {
            worker.advance(self.now_ms);
        }
        self.checks.check_workers(self.now_ms, &self.workers);
        if self.expire_at.is_some_and(|at_ms| self.now_ms >= at_ms) {
            self.expire_at = None;
            self.log.expire();
        }
        let reloads: u32 = self.vms.iter().map(|vm| vm.reloads).sum();
        if reloads > 0 {
            self.hits.insert(Fault::Retention, reloads);
        }
    }

    /// Passes an event to a process, or queues it until a paused process resumes.
    pub fn deliver(&mut self, vm: usize, event: Event) {
        match self.vms[vm].life {
            Life::Up => self.step(vm, event),
            Life::Frozen(_) => {
                self.record_hit(Fault::Freeze);
                self.vms[vm].backlog.push(event);
            }
            Life::Down(_) => {}
        }
    }

    /// Returns whether the processes read the list of VMs at this time.
    pub fn list_due(&self) -> bool {
        self.now_ms % LIST_MS < POLL_MS
    }
}

/// The list of VMs as it was read.
#[derive(Debug, Clone)]
pub struct Listed {
    /// Grows with each change.
    pub revision: u64,
    /// The entries.
    pub vms: Vec<Member>,
}

fn settings(vm: &str) -> Settings {
    let mut settings = Settings {
        vm: vm.into(),
        ..Settings::default()
    };
    settings.keeper.sync_ms = 300;
    settings.keeper.busy_ms = 100;
    settings.keeper.idle_ms = 300;
    settings.keeper.call_ms = CALL_MS;
    settings.keeper.lease_ms = 2_000;
    settings.keeper.lost_ms = 1_000;
    settings.keeper.lapse_ms = 4_500;
    settings.keeper.isolated_ms = 2_000;
    settings.requests.fleet = 2;
    settings.requests.spare = 1;
    settings.log.checkpoint_every = 10;
    settings
}
