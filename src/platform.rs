//! The messages of the platform's services: the log, the list of VMs and the workers.
//!
//! All are JSON over HTTP; `docs/PLATFORM.md` describes each call.

use crate::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its offset.
    pub offset: Offset,
    /// Its content; text of at most 1 MiB.
    pub data: String,
}

/// The response to `GET /v1/streams/{stream}?from=N&max=M&wait_ms=W`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// The offset of the oldest retained record.
    pub first: Offset,
    /// The offset that the next appended record will have.
    pub next: Offset,
    /// The records starting at `from`, without gaps; empty if there are none or `from` is below
    /// `first`.
    pub records: Vec<LogRecord>,
}

/// The response to `POST /v1/streams/{stream}`, whose body is the record's content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The record's offset.
    pub offset: Offset,
}

/// The role of a VM in the list.
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
    /// Its role.
    pub role: Role,
    /// Its data centre.
    pub centre: Name,
    /// Its address, `IP:port`: the peer port for a process of trefoilgauge.
    pub addr: Name,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The response to `GET /v1/vms`; the list may lag by seconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    /// Increases with each change of the list; a response with a lower revision is older.
    pub revision: u64,
    /// All VMs that are live or leaving.
    pub vms: Vec<Member>,
}

/// The state that the scheduler wants a task to reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Want {
    /// Reserve its resources and wait.
    Prepare,
    /// Run it; only after it was prepared under the same token.
    Run,
    /// Checkpoint it if possible, then stop it.
    Stop,
}

/// The desired state of one task, which is a member of a gang.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedTask {
    /// The gang.
    pub job: Name,
    /// The member's index in the gang.
    pub index: u32,
    /// The placement's token; a task with a lower token belongs to an earlier placement.
    pub token: Offset,
    /// The desired state.
    pub want: Want,
    /// A bit mask of its accelerators.
    pub mask: u64,
    /// The number of processor cores.
    pub cores: u32,
    /// The memory in gigabytes.
    pub memory_gb: u32,
    /// Whether it can be checkpointed.
    pub checkpoint: bool,
    /// The run time completed in earlier placements, in milliseconds, from which it resumes.
    pub kept_ms: u64,
}

/// The body of `POST /v1/sync` to a worker: the complete set of tasks that it should have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncCall {
    /// The control offset that the call is based on; a worker refuses a call with a lower one than
    /// it has seen.
    pub as_of: Offset,
    /// The lease of every task, in milliseconds from receipt of this call.
    pub lease_ms: u64,
    /// The tasks.
    pub tasks: Vec<WantedTask>,
}

/// The state of a task on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Its resources are reserved; it has not started.
    Prepared,
    /// Running.
    Running,
    /// Being checkpointed or stopped.
    Stopping,
    /// Stopped before completion; its resources are free.
    Stopped,
    /// Completed.
    Done,
    /// Failed by itself.
    Failed,
    /// The worker could not accept it, or no longer has it (after a restart or a lapsed lease).
    Absent,
}

/// A worker's report on one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The gang.
    pub job: Name,
    /// The member's index in the gang.
    pub index: u32,
    /// The placement's token.
    pub token: Offset,
    /// Its state.
    pub state: TaskState,
    /// The run time that its last checkpoint preserves, in milliseconds.
    pub kept_ms: u64,
    /// Its resource usage; lags by seconds.
    pub usage: Usage,
}

/// The resource usage of a task, as the worker last sampled it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Processor usage, in percent of one core.
    pub core_pct: u32,
    /// Memory usage in megabytes.
    pub memory_mb: u64,
    /// The run time so far, in milliseconds.
    pub run_ms: u64,
}

/// The response to `POST /v1/sync`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncAnswer {
    /// The worker's boot identifier, which changes with each restart.
    pub boot: u64,
    /// The highest `as_of` that the worker has seen; higher than the call's if the call was refused.
    pub as_of: Offset,
    /// The tasks of the call, and any other tasks that are not stopped yet.
    pub tasks: Vec<TaskReport>,
}
