//! The messages of the platform's services: the log, the list of VMs and the workers.
//!
//! They are JSON over HTTP; `docs/PLATFORM.md` describes each call.

use crate::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its offset.
    pub offset: Offset,
    /// Its content, a text of at most 1 MiB.
    pub data: String,
}

/// Answers `GET /v1/streams/{stream}?from=N&max=M&wait_ms=W`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// The offset of the oldest record that is still kept.
    pub first: Offset,
    /// The offset that the next appended record will have.
    pub next: Offset,
    /// Records from `from` on, without gaps; empty if there are none or `from` is below `first`.
    pub records: Vec<LogRecord>,
}

/// Answers `POST /v1/streams/{stream}`, whose body is the record's content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The record's offset.
    pub offset: Offset,
}

/// What runs on a VM of the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry process of trefoilgauge.
    Entry,
    /// A placer process of trefoilgauge.
    Placer,
    /// An upstream.
    Runner,
    /// A worker.
    Worker,
}

/// One entry of the list of VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM's name.
    pub name: Name,
    /// What runs on it.
    pub role: Role,
    /// Its data centre.
    pub centre: Name,
    /// Its address, `IP:port`: the peer port for a process of trefoilgauge.
    pub addr: Name,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Answers `GET /v1/vms`; the list may lag by seconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    /// Grows with each change of the list; an answer with a lower one is older.
    pub revision: u64,
    /// The live and leaving VMs.
    pub vms: Vec<Member>,
}

/// What a worker should do with a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Want {
    /// Reserve what it needs, and wait.
    Prepare,
    /// Run it; never without having prepared it under the same token.
    Run,
    /// Checkpoint it if it can be, then stop it.
    Stop,
}

/// One task that a worker should hold: a member of a gang.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedTask {
    /// The gang.
    pub job: Name,
    /// The member's number.
    pub index: u32,
    /// The placement's token; a task of a lower token is another placement's.
    pub token: Offset,
    /// What to do.
    pub want: Want,
    /// The accelerators, one bit each.
    pub mask: u64,
    /// Cores.
    pub cores: u32,
    /// Memory in gigabytes.
    pub memory_gb: u32,
    /// Whether it can be checkpointed.
    pub checkpoint: bool,
    /// The run time done in earlier placements, in milliseconds, from which it resumes.
    pub kept_ms: u64,
}

/// The body of `POST /v1/sync` to a worker: all that it should hold, and nothing else.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncCall {
    /// The control offset that this follows from; a worker refuses a lower one than it has seen.
    pub as_of: Offset,
    /// The lease of every task, from the receipt of this call, in milliseconds.
    pub lease_ms: u64,
    /// The tasks.
    pub tasks: Vec<WantedTask>,
}

/// How far a task is on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Reserved, not begun.
    Prepared,
    /// Running.
    Running,
    /// Being checkpointed or stopped.
    Stopping,
    /// Stopped before its end; what it needs is free.
    Stopped,
    /// Ran to its end.
    Done,
    /// Ended with a fault of its own.
    Failed,
    /// The worker could not take it, or no longer has it (a restart, a lapsed lease).
    Absent,
}

/// What a worker says of one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The gang.
    pub job: Name,
    /// The member's number.
    pub index: u32,
    /// The placement's token.
    pub token: Offset,
    /// How far it is.
    pub state: TaskState,
    /// Run time done, as kept by its last checkpoint, in milliseconds.
    pub kept_ms: u64,
    /// What it uses; lags by seconds.
    pub usage: Usage,
}

/// What a task used, by the worker's last count.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Cores in percent of one.
    pub core_pct: u32,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Run time so far, in milliseconds.
    pub run_ms: u64,
}

/// Answers `POST /v1/sync`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncAnswer {
    /// The worker's boot, which changes with each restart.
    pub boot: u64,
    /// The highest `as_of` that the worker has seen; above the call's if the call was refused.
    pub as_of: Offset,
    /// Every task of the call, and those beside it that are not stopped yet.
    pub tasks: Vec<TaskReport>,
}
