//! Everything that the reducer asks for.

use crate::events::Note;
use crate::platform::SyncCall;
use crate::prelude::*;
use crate::records::Entry;
use crate::records::Kept;
use serde::Deserialize;
use serde::Serialize;

/// Whether a request ran, as far as can be said truthfully.
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

/// A stable code for each reason to refuse a request or job.
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

/// A refusal, or a failure that is said truthfully.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The HTTP status.
    pub status: u16,
    /// The stable code.
    pub code: Code,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back, in milliseconds.
    pub retry_ms: Option<u64>,
    /// What happened, in a sentence.
    pub detail: String,
}

impl Refusal {
    /// Makes a refusal whose detail is that of its code.
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

/// The final answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The answer of this try at an upstream, which the runtime holds.
    Upstream {
        /// The number of the try.
        attempt: u32,
        /// The upstream.
        runner: Name,
    },
    /// The answer of the first run with the same key.
    Kept(Kept),
    /// A refusal.
    Refused(Refusal),
    /// The job was accepted, and its record was read back.
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

/// One try at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The request.
    pub req: Name,
    /// The number of the try, from 1.
    pub attempt: u32,
    /// The upstream.
    pub runner: Name,
    /// Its address.
    pub addr: Name,
    /// The time left for the try, in milliseconds.
    pub left_ms: u64,
    /// The usual service time of its kind, in milliseconds; the time left while it is not known.
    pub usual_ms: u64,
    /// Whether the connection must be proven live first, as for non-idempotent work.
    pub check_live: bool,
    /// The most connections that this VM may hold to the upstream.
    pub connections: u32,
}

/// What the reducer asks the runtime to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Append an entry to the control stream with the next batch.
    Append(Entry),
    /// Append a batch even if no entry waits, to put a configuration offset in force.
    FlushBatch,
    /// Send a request to an upstream.
    Dispatch(Dispatch),
    /// Give up a try; its end is not reported.
    Abandon {
        /// The request.
        req: Name,
        /// The number of the try.
        attempt: u32,
    },
    /// Answer a call.
    Reply {
        /// The call.
        req: Name,
        /// The configuration offset in force when this was decided.
        cfg: Offset,
        /// The answer.
        reply: Reply,
    },
    /// Tell a worker what it should run.
    Sync {
        /// The worker.
        worker: Name,
        /// Its address.
        addr: Name,
        /// What it should run.
        call: SyncCall,
    },
    /// Write a numbered event to the log and, if it is a decision, to the audit stream.
    Note(Note),
    /// Write a checkpoint of the ledger.
    Checkpoint,
}
