//! The outputs of the reducer.

use crate::events::Note;
use crate::platform::SyncCall;
use crate::prelude::*;
use crate::records::Entry;
use crate::records::Kept;
use serde::Deserialize;
use serde::Serialize;

/// Whether a request ran, as far as this process can know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It did not run and will not.
    No,
    /// It may have run.
    Unknown,
    /// It ran.
    Yes,
}

/// The stable code of each reason to refuse a request or job; callers may match on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, displaydoc::Display)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// the workspace is not known
    UnknownWorkspace,
    /// the kind of work is not known or not open to the workspace
    UnknownKind,
    /// the kind of work needs an Idempotency-Key
    KeyMissing,
    /// the key is older than keys are remembered
    KeyTooOld,
    /// the key was used for another request
    KeyMismatch,
    /// a request with this key is in progress
    KeyInProgress,
    /// a request with this key may have run
    OutcomeUnknown,
    /// a request with this key ran, and its answer is no longer kept
    AnswerNotKept,
    /// this VM is not ready
    NotReady,
    /// this VM is leaving
    Draining,
    /// the log cannot be reached, so the key cannot be claimed
    LogDown,
    /// the queue is full
    QueueFull,
    /// the request would miss its deadline
    TooLate,
    /// no upstream can be reached
    UpstreamUnavailable,
    /// the upstream was reached and gave no whole answer
    UpstreamBroken,
    /// every upstream asks to be tried later
    UpstreamBusy,
    /// the caller went away
    CallerGone,
    /// the job is not known
    UnknownJob,
    /// the job's identifier is taken by another job
    JobTaken,
    /// the job has ended
    JobEnded,
    /// the job can never run
    NeverRuns,
    /// too many jobs are waiting
    JobsFull,
}

/// A refused or failed call, as reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The HTTP status.
    pub status: u16,
    /// The stable code.
    pub code: Code,
    /// Whether the request ran.
    pub ran: Ran,
    /// The suggested time to the next retry, in milliseconds, if there is one.
    pub retry_ms: Option<u64>,
    /// The cause, in a sentence.
    pub detail: String,
}

impl Refusal {
    /// Makes a refusal with the detail text of its code.
    pub fn new(status: u16, code: Code, ran: Ran, retry_ms: Option<u64>) -> Self {
        Self {
            status,
            code,
            ran,
            retry_ms,
            detail: code.to_string(),
        }
    }
}

/// The final reply to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The upstream's response to this attempt, which the runtime holds.
    Upstream {
        /// The number of the attempt.
        attempt: u32,
        /// The upstream.
        runner: Name,
    },
    /// The stored response of the first run with the same key.
    Kept(Kept),
    /// A refusal.
    Refused(Refusal),
    /// The job was accepted, and its record was read back from the log.
    JobAccepted {
        /// The job.
        job: Name,
        /// The offset of its record.
        offset: Offset,
    },
    /// The cancellation is in force.
    JobCancelled {
        /// The job.
        job: Name,
    },
}

/// One attempt to send a request to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The request.
    pub req: Name,
    /// The number of the attempt, from 1.
    pub attempt: u32,
    /// The upstream.
    pub runner: Name,
    /// Its address.
    pub addr: Name,
    /// The time left for the attempt, in milliseconds.
    pub left_ms: u64,
    /// The usual service time of its kind, in milliseconds; while that is not known, the time left.
    pub usual_ms: u64,
    /// Whether the connection must be checked to be live first, as for non-idempotent work.
    pub check_live: bool,
    /// The limit of this VM's connections to the upstream.
    pub connections: u32,
}

/// An operation that the reducer asks the runtime to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Append an entry to the control stream with the next batch.
    Append(Entry),
    /// Append a batch even if it is empty, to put a configuration offset in force.
    FlushBatch,
    /// Send a request to an upstream.
    Dispatch(Dispatch),
    /// Abandon an attempt; its result is not reported.
    Abandon {
        /// The request.
        req: Name,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Reply to a call.
    Reply {
        /// The call.
        req: Name,
        /// The configuration offset in force at the decision.
        cfg: Offset,
        /// The reply.
        reply: Reply,
    },
    /// Send a worker the list of tasks that it should hold.
    Sync {
        /// The worker.
        worker: Name,
        /// Its address.
        addr: Name,
        /// The tasks and their lease.
        call: SyncCall,
    },
    /// Write a numbered event to the process's log and, if it is a decision, to the audit stream.
    Note(Note),
    /// Write a checkpoint of the ledger.
    Checkpoint,
}
