//! The world of a run: processes, workers, runners and callers on one virtual clock.

use super::call::Call;
use super::checkers::Checkers;
use super::fault::Fault;
use super::log::MemoryLog;
use super::plan::LEAVER;
use super::plan::worker_name;
use super::runner::FakeRunner;
use super::vm::Life;
use super::vm::Vm;
use super::worker::FakeWorker;
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
/// The time between two looks of a process, in milliseconds.
const POLL_MS: u64 = 10;
/// The time between two reads of the list of VMs, in milliseconds.
const LIST_MS: u64 = 500;
/// How much the list of VMs lags, in milliseconds.
const LIST_LAG_MS: u64 = 1_000;
/// The time in which a worker must answer, in milliseconds.
pub const CALL_MS: u64 = 500;

/// Something planned.
#[derive(Debug, Clone)]
pub enum Act {
    /// An operator publishes a change.
    Publish {
        /// Its text.
        text: String,
    },
    /// A caller calls.
    Call {
        /// The call.
        call: Call,
    },
    /// The planner of another VM takes a gang off its accelerators.
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

/// Something that is under way.
#[derive(Debug, Clone)]
pub enum Item {
    /// A process looks at the log and the clock.
    Poll {
        /// The process.
        vm: usize,
    },
    /// The workers let time pass.
    Pass,
    /// A plan comes true.
    Act(Box<Act>),
    /// Something reaches a process.
    Vm(Box<super::network::ToVm>),
    /// Something reaches the platform.
    Out(Box<super::network::FromVm>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at_ms: u64,
    seq: u64,
}

/// One dispatch, as a process sent it.
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
    /// Whether the list of VMs could tell the process of every leaving.
    pub told: bool,
}

/// One proposal of a placement.
#[derive(Debug, Clone)]
struct Proposal {
    vm: usize,
    job: Name,
}

/// The world.
#[derive(Debug)]
pub struct World {
    /// The virtual time, in milliseconds.
    pub now_ms: u64,
    /// The log.
    pub log: MemoryLog,
    /// The processes: two entries, then two placers.
    pub vms: Vec<Vm>,
    /// The workers.
    pub workers: Vec<FakeWorker>,
    /// The runners.
    pub runners: Vec<FakeRunner>,
    /// All calls.
    pub calls: Vec<Call>,
    /// All dispatches.
    pub sent: Vec<Sent>,
    /// What the checkers found.
    pub checks: Checkers,
    /// How often each fault took effect.
    pub hits: BTreeMap<Fault, u32>,
    /// The boot of the first processes.
    pub first_boot: u64,
    /// When the leaving runner began to leave, in milliseconds.
    pub left_ms: Option<u64>,
    /// Until when messages come twice, in milliseconds.
    pub twice_ms: u64,
    /// Until when messages overtake each other, in milliseconds.
    pub jitter_ms: u64,
    /// Until when the answers of runners come late, in milliseconds.
    pub late_ms: u64,
    /// Until when the list of VMs is an old one, in milliseconds.
    pub list_back: u64,
    /// When retention passes, in milliseconds.
    pub expire_at: Option<u64>,
    /// The first of the racing changes.
    pub race_from: Option<Offset>,
    proposals: Vec<Proposal>,
    queue: BTreeMap<Due, Item>,
    seq: u64,
    rng: Pcg64Mcg,
}

impl World {
    /// Makes a world in which nothing has happened.
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
            twice_ms: 0,
            jitter_ms: 0,
            late_ms: 0,
            list_back: 0,
            expire_at: None,
            race_from: None,
            proposals: Vec::new(),
            queue: BTreeMap::new(),
            seq: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        for vm in 0..world.vms.len() {
            world.push(1 + vm as u64, Item::Poll { vm });
        }
        world.push(5, Item::Pass);
        world
    }

    /// Plans `act` at a time in milliseconds.
    pub fn at(&mut self, at_ms: u64, act: Act) {
        self.push(at_ms, Item::Act(Box::new(act)));
    }

    /// Lets the next thing happen.
    pub fn advance(&mut self) {
        let Some((due, item)) = self.queue.pop_first() else {
            return;
        };
        self.now_ms = self.now_ms.max(due.at_ms);
        match item {
            Item::Poll { vm } => {
                self.push(self.now_ms + POLL_MS, Item::Poll { vm });
                self.poll(vm);
            }
            Item::Pass => {
                self.push(self.now_ms + POLL_MS, Item::Pass);
                self.pass();
            }
            Item::Act(act) => self.act(*act),
            Item::Vm(message) => self.reach_vm(*message),
            Item::Out(message) => self.reach_platform(*message),
        }
    }

    /// Publishes a change.
    pub fn publish(&mut self, text: String) {
        let offset = self.log.publish(self.now_ms, text);
        self.checks.published(self.now_ms, offset);
    }

    /// Appends a batch, and checks what the whole stream now gives.
    pub fn append(&mut self, batch: Batch) {
        let applied = self.log.append(self.now_ms, batch);
        self.checks.appended(self.now_ms, &self.log.truth, &applied);
    }

    /// Counts that a fault took effect.
    pub fn hit(&mut self, fault: Fault) {
        *self.hits.entry(fault).or_insert(0) += 1;
    }

    /// Counts that a fault took effect if `done`.
    pub fn hit_if(&mut self, fault: Fault, done: bool) {
        if done {
            self.hit(fault);
        }
    }

    /// Lets a process die; it starts again at `again_ms`.
    pub fn kill(&mut self, vm: usize, again_ms: u64) {
        self.vms[vm].life = Life::Down(again_ms);
        let boot = self.vms[vm].ctx.boot;
        for call in &mut self.calls {
            if call.vm == vm && call.boot == boot && call.open() {
                call.cut = true;
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

    /// Returns a worker that the gang is placed on, or the first.
    pub fn victim(&self, job: &str) -> usize {
        let gang = self.log.truth.gangs.all.get(job);
        let slot = gang.and_then(|gang| gang.slots.first());
        let mut workers = self.workers.iter();
        let at = slot.and_then(|slot| workers.position(|one| one.name == slot.worker));
        let busy = || self.workers.iter().position(|one| !one.tasks.is_empty());
        at.or_else(busy).unwrap_or(0)
    }

    /// Notes a proposal.
    pub fn proposed(&mut self, vm: usize, job: &Name) {
        let job = job.clone();
        self.proposals.push(Proposal { vm, job });
    }

    /// Returns a time a little after now, by which a message has arrived.
    pub fn arrival(&mut self, base_ms: u64) -> u64 {
        let spread_ms = match self.now_ms < self.jitter_ms {
            true => 150,
            false => 2,
        };
        self.hit_if(Fault::Reorder, spread_ms > 2);
        self.now_ms + base_ms + self.rng.next_u64() % spread_ms
    }

    /// Plans an item.
    pub fn push(&mut self, at_ms: u64, item: Item) {
        self.seq += 1;
        let seq = self.seq;
        self.queue.insert(Due { at_ms, seq }, item);
    }

    /// Returns both clocks.
    pub fn now(&self) -> Now {
        Now {
            mono_ms: self.now_ms + 1,
            wall_ms: WALL_MS + self.now_ms,
        }
    }

    /// Returns the list of VMs as a process reads it now, with its revision.
    pub fn list(&mut self) -> Listed {
        let mut seen_ms = self.now_ms.saturating_sub(LIST_LAG_MS);
        if self.now_ms < self.list_back {
            self.hit(Fault::ListBack);
            seen_ms = 0;
        }
        let leaving = self.left_ms.is_some_and(|left_ms| left_ms <= seen_ms);
        let runners = self.runners.iter().map(|runner| Member {
            name: runner.name.clone(),
            role: Role::Runner,
            centre: "c1".into(),
            addr: "127.0.0.1:1".into(),
            leaving: leaving && *runner.name == *LEAVER,
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

    fn pass(&mut self) {
        for worker in &mut self.workers {
            worker.pass(self.now_ms);
        }
        self.checks.workers(self.now_ms, &self.workers);
        if self.expire_at.is_some_and(|at_ms| self.now_ms >= at_ms) {
            self.expire_at = None;
            self.log.expire();
        }
        let passed: u32 = self.vms.iter().map(|vm| vm.passed).sum();
        if passed > 0 {
            self.hits.insert(Fault::Retention, passed);
        }
    }

    /// Gives an event to a process now, or when it wakes.
    pub fn give(&mut self, vm: usize, event: Event) {
        match self.vms[vm].life {
            Life::Up => self.step(vm, event),
            Life::Frozen(_) => {
                self.hit(Fault::Freeze);
                self.vms[vm].backlog.push(event);
            }
            Life::Down(_) => {}
        }
    }

    /// Tells whether the list of VMs is due at a process now.
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
    settings.keeper.call_ms = CALL_MS;
    settings.keeper.lease_ms = 2_000;
    settings.keeper.lost_ms = 1_000;
    settings.keeper.lapse_ms = 3_000;
    settings.keeper.isolated_ms = 2_000;
    settings.requests.fleet = 2;
    settings.requests.spare = 1;
    settings.log.checkpoint_every = 10;
    settings
}
