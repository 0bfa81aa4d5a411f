//! The scheduler's model of jobs, steps, upstreams and configuration.

use super::stored;
use crate::prelude::*;
use prost::Message;
use std::collections::HashMap;

/// Amounts of each kind of resource: what a task needs, or what an upstream has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResourceAmounts {
    /// CPU, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in MB.
    pub memory: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl ResourceAmounts {
    /// Returns whether `self` fits into `room`.
    pub fn fits(&self, room: &ResourceAmounts) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// Adds `other`, saturating.
    pub fn add(&mut self, other: &ResourceAmounts) {
        self.cpu = self.cpu.saturating_add(other.cpu);
        self.memory = self.memory.saturating_add(other.memory);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }

    /// Multiplies each amount by `count`, saturating.
    pub fn times(&self, count: u32) -> Self {
        let count = u64::from(count);
        Self {
            cpu: self.cpu.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Subtracts `other`; no amount falls below zero.
    pub fn sub(&mut self, other: &ResourceAmounts) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory = self.memory.saturating_sub(other.memory);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }
}

/// A step of a job: a number of identical tasks.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Step {
    /// Number of tasks.
    #[prost(uint32, tag = "1")]
    pub count: u32,
    /// CPU of each task, in thousandths of a core.
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
    /// Indices of the steps that must be done before this one starts.
    #[prost(uint32, repeated, tag = "6")]
    pub after: Vec<u32>,
    /// Whether the tasks are a gang: they only make progress while all of them run.
    #[prost(bool, tag = "7")]
    pub gang: bool,
    /// Whether the tasks are slower when placed on more than one rack.
    #[prost(bool, tag = "8")]
    pub one_rack: bool,
    /// The rack that holds the step's data, empty for no preference.
    #[prost(string, tag = "9")]
    pub data_rack: String,
    /// The label that an upstream must have, empty if none.
    #[prost(string, tag = "10")]
    pub label: String,
    /// At most this many tasks of the step may share one upstream; 0 for no limit.
    #[prost(uint32, tag = "11")]
    pub upstream_limit: u32,
    /// Whether tasks write checkpoints and can resume from them.
    #[prost(bool, tag = "12")]
    pub checkpointing: bool,
    /// Whether tasks run until the job is cancelled.
    #[prost(bool, tag = "13")]
    pub long_running: bool,
    /// The image that the tasks run; tasks of one image are expected to take equally long.
    #[prost(string, tag = "14")]
    pub image: String,
    /// Whether the tasks only use cores that others leave idle; their cores are not counted.
    #[prost(bool, tag = "15")]
    pub fills: bool,
    /// Whether a task may run as several copies at the same time.
    #[prost(bool, tag = "16")]
    pub speculative: bool,
    /// The limit on a serving task's tail latency, in milliseconds; 0 for none.
    #[prost(uint64, tag = "17")]
    pub target_ms: u64,
    /// How many tasks of a long-running step may be down at once through the system's own actions;
    /// 0 for no limit.
    #[prost(uint32, tag = "18")]
    pub may_miss: u32,
}

impl Step {
    /// Returns whether the number of its tasks that the system may take down at once is limited.
    pub fn is_limited(&self) -> bool {
        self.long_running && self.may_miss > 0
    }

    /// Returns whether the pace of its tasks depends on their upstreams alone: not on what others
    /// leave idle, and not on a serving task's load.
    pub fn has_own_speed(&self) -> bool {
        !self.fills && !self.long_running
    }

    /// Returns what a task needs; the cores of a task that only uses idle cores are not counted.
    pub fn need(&self) -> ResourceAmounts {
        ResourceAmounts {
            cpu: if self.fills { 0 } else { self.cpu },
            memory: self.memory,
            accelerators: self.accelerators,
        }
    }
}

/// A job as its caller submitted it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Spec {
    /// Opaque text from the caller, passed to each task.
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
    /// Number of scheduled occurrences, 0 for a job that runs once, immediately.
    #[prost(uint32, tag = "5")]
    pub times: u32,
}

impl Spec {
    /// Returns why the job is invalid, none if it is valid.
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

impl Spec {
    /// Returns why the job is too large to be stored, none if it is not; occurrences that are due
    /// by `wall_ms`, Unix milliseconds, begin together.
    pub fn excess(&self, wall_ms: u64) -> Option<&'static str> {
        if self.encoded_len() > MAX_SPEC_BYTES {
            return Some("a job must fit into 200000 bytes");
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        let due = self.due_by(wall_ms);
        if tasks.saturating_mul(due) > MAX_JOB_TASKS {
            return Some("a job needs at most 8192 tasks at once");
        }
        if !stored::fits(tasks, due) {
            return Some("too many occurrences of the job are due at once");
        }
        None
    }

    /// Returns the number of occurrences that are due by `wall_ms`, Unix milliseconds, at least 1.
    fn due_by(&self, wall_ms: u64) -> u64 {
        let passed = wall_ms.saturating_sub(self.first_ms);
        let due = match passed.checked_div(self.interval_ms) {
            Some(intervals) => intervals.saturating_add(1),
            None => u64::MAX,
        };
        due.min(u64::from(self.times)).max(1)
    }
}

/// Limit on the encoded size of a specification, in bytes: three quarters of the largest record of
/// the store.
const MAX_SPEC_BYTES: usize = 200_000;
/// Limit on the tasks of a job that are begun together: their state, of about 30 bytes each, must
/// fit into one record of the store.
pub(super) const MAX_JOB_TASKS: u64 = 8_192;
/// The most steps of a job; all must fit into one row of the store.
const MAX_STEPS: usize = 64;
/// The most tasks of a step: four times the largest gang that must be supported (1024).
const MAX_TASKS: u32 = 4_096;

/// A queue of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: Name,
    /// The host of the calls that it serves.
    pub host: Name,
    /// The path prefix of the calls that it serves.
    pub prefix: Name,
    /// The service whose upstreams run its tasks.
    pub service: Name,
    /// Its priority; 0 goes first.
    pub priority: u32,
    /// How often a task may fail.
    pub attempts: u32,
    /// The latency objective's factor on the longest chain of dependent steps.
    pub stretch: f64,
    /// The constant part of the latency objective, in milliseconds.
    pub base_ms: u64,
    /// Whether calls are accepted without a key.
    pub public: bool,
    /// How long the external advice service takes; none if the queue needs no advice.
    pub advice: Option<Advice>,
}

/// How long an external service takes to decide which upstreams may run a step, and how long its
/// decisions hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Advice {
    /// The fixed time of each call, in milliseconds.
    pub decide_ms: u64,
    /// The additional time for each upstream that a call names, in milliseconds.
    pub each_ms: u64,
    /// How long its tickets are valid, in milliseconds; none if the configuration does not say.
    pub valid_ms: Option<u64>,
}

impl Advice {
    /// Returns how long a call about `count` upstreams takes, in milliseconds.
    pub fn call_ms(&self, count: u64) -> u64 {
        self.each_ms
            .saturating_mul(count)
            .saturating_add(self.decide_ms)
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
    /// Accelerators guaranteed to its work at priority 0.
    pub guaranteed: u64,
    /// Its weight in the division of what is not guaranteed, at least 1.
    pub weight: u32,
}

/// One version of the whole configuration.
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

/// Identifies a task.
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
    /// Returns the identity of its step.
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
    /// The number of this attempt, from 1.
    pub number: u32,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum How {
    /// It completed its work.
    Done,
    /// It failed, because of the task or of the upstream.
    Failed,
    /// It was ordered to stop.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
}

/// A maintenance order for a set of machines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// The machines.
    pub machines: Vec<Name>,
    /// The time limit for all of them together, in milliseconds.
    pub within_ms: u64,
    /// The maximum number of machines that may be down at once.
    pub maximum: u32,
}

/// A machine that upstreams run on, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// Its identity; it stays the same when the upstream is replaced. Empty if the platform lists a
    /// machine without a readable one.
    pub id: Name,
    /// Whether it is in service: not off, not under maintenance and not being moved.
    pub up: bool,
    /// The upstream that runs on it now, empty if none.
    pub upstream: Name,
}

/// An upstream's entry in service discovery.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// Its identity; a restarted process may keep it.
    pub id: Name,
    /// Its network address.
    pub addr: Name,
    /// The service that it belongs to.
    pub service: Name,
    /// Its data centre.
    pub centre: Name,
    /// When its process started, Unix milliseconds; 0 if not given.
    pub born: u64,
    /// Its capacity.
    pub room: ResourceAmounts,
    /// Its labels.
    pub labels: Vec<Name>,
    /// The reading of its steady clock in the entry, in milliseconds.
    pub clock_ms: u64,
    /// Whether it accepts new work.
    pub ready: bool,
    /// The time after `clock_ms` for which it stays at least, in milliseconds; none if it is not
    /// about to leave.
    pub left_ms: Option<u64>,
}

impl Listing {
    /// Returns the first label that names a rack, empty if none does.
    pub fn rack(&self) -> Name {
        let named = self.labels.iter().find(|label| is_rack(label));
        named.cloned().unwrap_or_else(|| Name::from(""))
    }
}

/// Racks are labelled `rROOM-NUMBER`; a word labels the kind of upstream.
fn is_rack(label: &str) -> bool {
    label
        .strip_prefix('r')
        .and_then(|rest| rest.split_once('-'))
        .is_some_and(|(room, number)| {
            let digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
            digits(room) && digits(number)
        })
}
