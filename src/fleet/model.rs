//! Jobs, steps and configuration as the scheduler sees them.

use crate::prelude::*;
use std::collections::HashMap;

/// What one task takes of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResourceAmounts {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory, in MB.
    pub memory: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl ResourceAmounts {
    /// Tells whether `self` fits into `room`.
    pub fn fits(&self, room: &ResourceAmounts) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &ResourceAmounts) {
        self.cpu = self.cpu.saturating_add(other.cpu);
        self.memory = self.memory.saturating_add(other.memory);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }

    /// Returns what `count` of it need.
    pub fn times(&self, count: u32) -> Self {
        let count = u64::from(count);
        Self {
            cpu: self.cpu.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Takes `other` away; stops at zero.
    pub fn sub(&mut self, other: &ResourceAmounts) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory = self.memory.saturating_sub(other.memory);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }
}

/// A step of a job: tasks that are alike.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Step {
    /// Number of tasks.
    #[prost(uint32, tag = "1")]
    pub count: u32,
    /// Thousandths of a core of each task.
    #[prost(uint64, tag = "2")]
    pub cpu: u64,
    /// Memory of each task, in MB.
    #[prost(uint64, tag = "3")]
    pub memory: u64,
    /// Accelerators of each task.
    #[prost(uint64, tag = "4")]
    pub accelerators: u64,
    /// The caller's estimate of a task's duration, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub estimate_ms: u64,
    /// Earlier steps that must be done first.
    #[prost(uint32, repeated, tag = "6")]
    pub after: Vec<u32>,
    /// Whether the tasks work only together.
    #[prost(bool, tag = "7")]
    pub gang: bool,
    /// Whether tasks on more than one rack are slowed.
    #[prost(bool, tag = "8")]
    pub one_rack: bool,
    /// The rack of the data, empty if any will do.
    #[prost(string, tag = "9")]
    pub data_rack: String,
    /// The label that an upstream must have, empty if none.
    #[prost(string, tag = "10")]
    pub label: String,
    /// The most tasks of the step on one upstream, 0 for no limit.
    #[prost(uint32, tag = "11")]
    pub upstream_limit: u32,
    /// Whether tasks save their progress.
    #[prost(bool, tag = "12")]
    pub checkpointing: bool,
    /// Whether tasks run until the job is cancelled.
    #[prost(bool, tag = "13")]
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    #[prost(string, tag = "14")]
    pub image: String,
    /// Whether the tasks use what others leave, and their cores are not counted.
    #[prost(bool, tag = "15")]
    pub fills: bool,
    /// Whether a task may run as several copies at the same time.
    #[prost(bool, tag = "16")]
    pub speculative: bool,
    /// The tail of response times that a serving task must keep, in milliseconds; 0 for none.
    #[prost(uint64, tag = "17")]
    pub target_ms: u64,
    /// How many tasks of a lasting step may be away through the system's own actions.
    #[prost(uint32, tag = "18")]
    pub may_miss: u32,
}

impl Step {
    /// Tells whether only some of its tasks may be away at once through actions of the system.
    pub fn is_limited(&self) -> bool {
        self.long_running && self.may_miss > 0
    }

    /// Returns what a task takes; the cores of a filling task are not counted.
    pub fn need(&self) -> ResourceAmounts {
        ResourceAmounts {
            cpu: if self.fills { 0 } else { self.cpu },
            memory: self.memory,
            accelerators: self.accelerators,
        }
    }
}

/// What a caller submitted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Spec {
    /// The caller's text, passed to each task.
    #[prost(string, tag = "1")]
    pub text: String,
    /// The steps.
    #[prost(message, repeated, tag = "2")]
    pub steps: Vec<Step>,
    /// The Unix time of the first occurrence, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub first_ms: u64,
    /// The time between two occurrences, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub interval_ms: u64,
    /// Number of timed occurrences, 0 for a job that runs once at once.
    #[prost(uint32, tag = "5")]
    pub times: u32,
}

impl Spec {
    /// Returns a reason why the job can never be run as it is written.
    pub fn fault(&self) -> Option<&'static str> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Some("a job needs 1 to 64 steps");
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_TASKS {
                return Some("a step needs 1 to 4096 tasks");
            }
            if step.after.iter().any(|&before| before as usize >= number) {
                return Some("a step may only follow earlier steps");
            }
        }
        None
    }
}

/// The most steps of a job; a row of the store must hold them all.
const MAX_STEPS: usize = 64;
/// The most tasks of a step: four times the largest gang of the target (1024).
const MAX_TASKS: u32 = 4_096;

/// A queue of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: Name,
    /// The host that callers name.
    pub host: Name,
    /// The start of the path that callers name.
    pub prefix: Name,
    /// The service whose upstreams run its tasks.
    pub service: Name,
    /// Its priority; 0 goes first.
    pub priority: u32,
    /// How often a task may fail.
    pub attempts: u32,
    /// The factor on the longest chain of work in the objective.
    pub stretch: f64,
    /// The constant part of the objective, in milliseconds.
    pub base_ms: u64,
    /// Whether calls need no key.
    pub public: bool,
    /// How an outside service is asked which upstreams may run a step, if it must be.
    pub advice: Option<Advice>,
}

/// How an outside service answers which upstreams may run a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Advice {
    /// The time for each call, in milliseconds.
    pub decide_ms: u64,
    /// The time for each upstream that a call names, in milliseconds.
    pub each_ms: u64,
}

impl Advice {
    /// Returns how long a call about `count` upstreams takes, in milliseconds.
    pub fn call_ms(&self, count: u64) -> u64 {
        self.decide_ms + self.each_ms * count
    }
}

/// A step of one occurrence of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepId {
    /// The job.
    pub job: Name,
    /// The occurrence, from 0.
    pub turn: u32,
    /// The step, from 0.
    pub step: u32,
}

/// A workspace of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: Name,
    /// Accelerators that are always its own at priority 0.
    pub guaranteed: u64,
}

/// A whole version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    /// Its version; later ones are higher.
    pub version: u64,
    /// The queues, longest prefix first.
    pub queues: Vec<Arc<Queue>>,
    /// The workspaces by key.
    pub keys: HashMap<String, Arc<Workspace>>,
}

impl Config {
    /// Finds the queue of a host and path, and the rest of the path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Arc<Queue>, &'a str)> {
        self.queues
            .iter()
            .filter(|queue| &*queue.host == host)
            .find_map(|queue| Some((queue, path.strip_prefix(&*queue.prefix)?)))
    }

    /// Finds a queue by its name.
    pub fn queue(&self, name: &str) -> Option<&Arc<Queue>> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }
}

/// A task's name.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The job.
    pub job: Name,
    /// The occurrence, from 0.
    pub turn: u32,
    /// The step, from 0.
    pub step: u32,
    /// The task of the step, from 0.
    pub index: u32,
}

impl TaskId {
    /// Names its step.
    pub fn step_id(&self) -> StepId {
        StepId {
            job: self.job.clone(),
            turn: self.turn,
            step: self.step,
        }
    }
}

/// One run of a task.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// The number of its start, from 1.
    pub number: u32,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum How {
    /// It did its work.
    Done,
    /// It failed, through its own fault or the upstream's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The rest of its gang never came.
    Alone,
}

/// Maintenance of some machines that the operators order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// The machines.
    pub machines: Vec<Name>,
    /// The time for all of them, in milliseconds.
    pub within_ms: u64,
    /// How many may be down at once.
    pub maximum: u32,
}

/// A machine on which an upstream runs, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// Its identity, which outlives its upstreams.
    pub id: Name,
    /// Whether it is neither moving nor under maintenance nor off.
    pub up: bool,
    /// The upstream that it runs now, empty if none.
    pub upstream: Name,
}

/// What an upstream says of itself in discovery.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// Its identity, which a restarted process may keep.
    pub id: Name,
    /// Where it is reached.
    pub addr: Name,
    /// The service that it belongs to.
    pub service: Name,
    /// Its data centre.
    pub centre: Name,
    /// When its process started, Unix milliseconds; 0 if it does not say.
    pub born: u64,
    /// What it can hold.
    pub room: ResourceAmounts,
    /// Its labels.
    pub labels: Vec<Name>,
    /// Its steady clock, in milliseconds.
    pub clock_ms: u64,
    /// Whether it takes new work.
    pub ready: bool,
    /// How long it stays at least from `clock_ms` on if it is about to leave, in milliseconds.
    pub left_ms: Option<u64>,
}

impl Listing {
    /// Returns its rack: the label that names one, empty if none does.
    pub fn rack(&self) -> Name {
        let named = self.labels.iter().find(|label| is_rack(label));
        named.cloned().unwrap_or_else(|| Name::from(""))
    }
}

/// Racks are labelled `rROOM-NUMBER`, kinds by a word.
fn is_rack(label: &str) -> bool {
    label
        .strip_prefix('r')
        .and_then(|rest| rest.split_once('-'))
        .is_some_and(|(room, number)| {
            let digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
            digits(room) && digits(number)
        })
}
