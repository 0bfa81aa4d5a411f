//! The records of the control stream.
//!
//! A record is one [`Batch`] as JSON. Whether an entry is in force or void is a pure function of
//! the stream's prefix, so every VM reaches the same verdict.

use crate::model::Job;
use crate::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// The schema of the control stream that this version writes.
pub const CONTROL_SCHEMA: u32 = 1;

/// Uniquely identifies a batch, so that it is applied once even if it was appended repeatedly.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BatchId {
    /// The process that wrote it, such as `vm-3/entry`.
    pub writer: Name,
    /// The start time of that process, in milliseconds of wall time; increases with each restart.
    pub boot: u64,
    /// The number of the batch within this boot, from 1 without gaps.
    pub seq: u64,
}

/// Entries that are appended together as one record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The schema version of the entries.
    pub schema: u32,
    /// Its identifier.
    pub id: BatchId,
    /// The writer's wall time in milliseconds; the ledger bounds how far it can move its clock.
    pub at_ms: u64,
    /// The next configuration offset that the writer will read; applying the batch puts all records
    /// below it in force.
    pub cfg: Offset,
    /// The entries, in order.
    pub entries: Vec<Entry>,
}

/// The accelerators of one worker that are assigned to one member.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Slot {
    /// The worker.
    pub worker: Name,
    /// A bit mask of the assigned accelerators; bit 0 is the worker's first.
    pub mask: u64,
}

/// The outcome of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum Outcome {
    /// It ran and gave this answer.
    Done(Kept),
    /// It did not run; the key may be claimed again.
    NotRun,
    /// Unknown: it may or may not have run.
    Unknown,
}

/// The answer of the first run, stored for retries with the same idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body; empty if there is none.
    pub media: String,
    /// The body as hexadecimal text; `None` if it was too large to store.
    pub body: Option<String>,
}

/// The state of a gang's members on one worker, as the worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The accelerators are reserved; the task has not started.
    Ready,
    /// The task completed.
    Done,
    /// The task itself failed.
    Failed,
    /// The worker could not accept the task, or no longer has it.
    Lost,
    /// The task is stopped and its accelerators are free; its checkpoint, if any, is preserved.
    Stopped,
    /// The worker has been unreachable for longer than the lease, so the task cannot be running.
    Lapsed,
}

/// The state of a worker as seen by the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerState {
    /// It responds.
    Up,
    /// It has not responded to any VM for a while.
    Lost,
    /// It failed work of too many different jobs.
    Quarantined,
    /// It is leaving and accepts no new work.
    Leaving,
}

/// One entry of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "entry", rename_all = "snake_case")]
pub enum Entry {
    /// Claims the idempotency key of a non-idempotent request; the first claim of a key wins.
    Claim {
        /// The request's identifier.
        req: Name,
        /// The workspace.
        workspace: Name,
        /// The kind of work.
        kind: Name,
        /// The caller's idempotency key.
        key: Name,
        /// A hash of the request, which detects a key that is reused for a different request.
        print: u64,
    },
    /// Records the outcome of a claimed request; only the claimant's entry counts.
    Settle {
        /// The request's identifier.
        req: Name,
        /// The workspace.
        workspace: Name,
        /// The caller's idempotency key.
        key: Name,
        /// The outcome.
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
    /// Places a queued gang; the offset of the record is the placement's token.
    Place {
        /// The gang's identifier.
        job: Name,
        /// The number of earlier placements of the gang.
        attempt: u32,
        /// One slot per member.
        slots: Vec<Slot>,
    },
    /// Preempts a gang to free its accelerators; the gang is queued again.
    Reclaim {
        /// The gang's identifier.
        job: Name,
        /// The token of the placement that the entry refers to.
        token: Offset,
        /// The gang that the accelerators are reclaimed for, if any.
        waiter: Option<Name>,
    },
    /// Rejects a queued gang that can never run.
    Reject {
        /// The gang's identifier.
        job: Name,
        /// Why it can never run.
        reason: String,
    },
    /// Reports the state of a gang's members on one worker.
    Member {
        /// The gang's identifier.
        job: Name,
        /// The token of the placement that the entry refers to.
        token: Offset,
        /// The worker.
        worker: Name,
        /// The state of these members.
        state: MemberState,
        /// The progress that a checkpoint preserves, in milliseconds of run time.
        kept_ms: u64,
    },
    /// Reports the state of a worker.
    Worker {
        /// The worker.
        worker: Name,
        /// Its state.
        state: WorkerState,
        /// The evidence for this state, for auditors.
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
