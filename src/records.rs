//! The records of the system's own control stream.
//!
//! A record is one [`Batch`] in JSON. Its entries are in force or void by a pure function of the
//! stream's prefix, so every VM comes to the same verdict.

use crate::model::Job;
use crate::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// The schema of the control stream that this version writes.
pub const CONTROL_SCHEMA: u32 = 1;

/// Identifies a batch for good, so that it counts once however often it was appended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BatchId {
    /// The process that wrote it, such as `vm-3/entry`.
    pub writer: Name,
    /// The start of that process, in milliseconds of wall time; grows with each restart.
    pub boot: u64,
    /// Counts the batches of this boot from 1, without gaps.
    pub seq: u64,
}

/// Entries that were appended together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The schema of the entries.
    pub schema: u32,
    /// Its identifier.
    pub id: BatchId,
    /// The writer's wall time in milliseconds; the fold bounds how far it can move the clock.
    pub at_ms: u64,
    /// The configuration offset that the writer had read up to; puts all before it in force.
    pub cfg: Offset,
    /// The entries, in order.
    pub entries: Vec<Entry>,
}

/// Accelerators of one worker that one member holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Slot {
    /// The worker.
    pub worker: Name,
    /// One bit for each accelerator held, bit 0 for the worker's first.
    pub mask: u64,
}

/// What became of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum Outcome {
    /// It ran, and this was the answer.
    Done(Kept),
    /// It never reached an upstream; the key may be claimed again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The first run's answer, kept for retries of its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body, empty if none.
    pub media: String,
    /// The body as hexadecimal text, or nothing if it was too large to keep.
    pub body: Option<String>,
}

/// What one worker says of all members of a gang that it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Accelerators are reserved, the task has not begun.
    Ready,
    /// The task ran to its end.
    Done,
    /// The task ended with a fault of its own.
    Failed,
    /// The worker could not take or keep the task.
    Lost,
    /// The task is stopped and its accelerators are free; its checkpoint is kept if it has one.
    Stopped,
    /// The worker is gone for longer than its lease, so the task cannot be running.
    Lapsed,
}

/// What is known of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerState {
    /// It answers.
    Up,
    /// It has not answered anyone for a while.
    Lost,
    /// It failed too much work of different jobs.
    Quarantined,
    /// It is leaving and takes no new work.
    Leaving,
}

/// One entry of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "entry", rename_all = "snake_case")]
pub enum Entry {
    /// Claims the key of a non-idempotent request; the first claim of a key wins.
    Claim {
        /// The request's identifier.
        req: Name,
        /// The workspace.
        workspace: Name,
        /// The kind of work.
        kind: Name,
        /// The caller's idempotency key.
        key: Name,
        /// A hash of the request, so that a key is not used for two different requests.
        print: u64,
    },
    /// Tells what became of a claimed request; only the claimant's counts.
    Settle {
        /// The request's identifier.
        req: Name,
        /// The workspace.
        workspace: Name,
        /// The caller's idempotency key.
        key: Name,
        /// What became of it.
        outcome: Outcome,
    },
    /// Submits a gang.
    Submit {
        /// The gang.
        job: Job,
    },
    /// Cancels a gang.
    Cancel {
        /// The gang's identifier.
        job: Name,
    },
    /// Places a queued gang; the record's offset is the placement's token.
    Place {
        /// The gang's identifier.
        job: Name,
        /// How many times it was placed before.
        attempt: u32,
        /// One slot for each member.
        slots: Vec<Slot>,
    },
    /// Takes a gang off its accelerators so that others can have them; it is queued again.
    Reclaim {
        /// The gang's identifier.
        job: Name,
        /// The placement that is meant.
        token: Offset,
        /// The gang that needs the room, if it is one.
        waiter: Option<Name>,
    },
    /// Ends a queued gang that can never run.
    Reject {
        /// The gang's identifier.
        job: Name,
        /// Why it can never run.
        reason: String,
    },
    /// Reports the members of a gang on one worker.
    Member {
        /// The gang's identifier.
        job: Name,
        /// The placement that is meant.
        token: Offset,
        /// The worker.
        worker: Name,
        /// What the worker says of them.
        state: MemberState,
        /// The work done so far, in milliseconds of run time, as kept by a checkpoint.
        kept_ms: u64,
    },
    /// Reports a worker.
    Worker {
        /// The worker.
        worker: Name,
        /// What is known of it.
        state: WorkerState,
        /// The evidence, for the auditor.
        reason: String,
    },
}

/// Why an entry is void.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, displaydoc::Display)]
#[serde(rename_all = "snake_case")]
pub enum Void {
    /// the batch was read before
    Repeated,
    /// the key is claimed by request {0}
    Claimed(Name),
    /// the key was used for another request
    Mismatch,
    /// the claim is not the writer's
    NotClaimant,
    /// there is no such object: {0}
    Unknown(String),
    /// the identifier is taken
    Taken,
    /// the gang is not in a phase that allows this
    Phase,
    /// the placement is not the present one
    Token,
    /// not allowed by the configuration in force: {0}
    Policy(String),
    /// accelerators are not free: {0}
    Busy(String),
    /// a guarantee could no longer be met: {0}
    Guarantee(String),
    /// a bound is reached: {0}
    Full(String),
}

/// The verdict on one entry.
pub type Verdict = std::result::Result<(), Void>;
