//! The inputs of the reducer.

use super::ledger::Ledger;
use crate::model::Job;
use crate::platform::Member;
use crate::platform::SyncAnswer;
use crate::prelude::*;
use crate::records::Batch;

/// The time of an event, by two clocks of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time in milliseconds; for time-outs and intervals.
    pub mono_ms: u64,
    /// Wall time in milliseconds since 1970; for timestamps in records and for the age of what they
    /// hold.
    pub wall_ms: u64,
}

/// A request as received from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Its identifier, assigned by this VM.
    pub req: Name,
    /// The workspace that it names.
    pub workspace: Name,
    /// The kind of work that it names.
    pub kind: Name,
    /// The caller's idempotency key.
    pub key: Option<Name>,
    /// When the caller first sent the request, in milliseconds of wall time, if it says so.
    pub issued_ms: Option<u64>,
    /// The deadline that the caller sets, in milliseconds from the arrival.
    pub deadline_ms: Option<u64>,
    /// A hash of workspace, kind and body.
    pub print: u64,
    /// The length of its body in bytes.
    pub bytes: u64,
}

/// The result of one attempt to send a request to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TryEnd {
    /// A complete response arrived; the runtime holds its body for the caller.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The upstream's Retry-After, in milliseconds.
        retry_ms: Option<u64>,
        /// The response to store for retries with the same key, if it is small enough.
        kept: crate::records::Kept,
    },
    /// No byte of the request was sent.
    NotSent {
        /// The cause.
        cause: String,
    },
    /// The request may have reached the upstream, but no complete response arrived.
    Broken {
        /// The cause.
        cause: String,
    },
    /// The upstream responded that it is leaving and did not run the request.
    Leaving,
}

/// The state that a process sends to its peers at regular intervals.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sending process, such as `vm-3/entry`.
    pub from: Name,
    /// Its data centre.
    pub centre: Name,
    /// When it started, in milliseconds of wall time.
    pub boot: u64,
    /// The next control offset that it will read.
    pub control: Offset,
    /// The highest configuration offset that it has seen.
    pub cfg: Offset,
    /// Whether it can reach the log.
    pub log_up: bool,
    /// Whether it is leaving.
    pub draining: bool,
    /// Its own requests in flight at each runner.
    pub loads: Vec<Load>,
    /// A hash of its ledger, with the offset at which it was taken.
    pub digest: Option<Digest>,
}

/// One process's requests in flight at one runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Load {
    /// The runner.
    pub runner: Name,
    /// Requests in flight.
    pub flight: u32,
}

/// A hash of a ledger at one control offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Digest {
    /// The next control offset when the hash was taken.
    pub at: Offset,
    /// The hash.
    pub hash: u64,
}

/// An input of the reducer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Sent at a regular interval; drives time-outs and planning.
    Tick,
    /// The newest checkpoint was loaded; the ledger is empty if there is none.
    Restore {
        /// The ledger that it holds.
        ledger: Box<Ledger>,
    },
    /// A configuration record was read from the log.
    Config {
        /// Its offset.
        offset: Offset,
        /// Its content.
        data: Vec<u8>,
    },
    /// A control record was read from the log.
    Control {
        /// Its offset.
        offset: Offset,
        /// Its content.
        batch: Batch,
    },
    /// A control record has a newer schema than this version supports.
    NewerSchema {
        /// Its offset.
        offset: Offset,
    },
    /// A control record could not be decoded; every VM skips it, so that their ledgers stay equal.
    Garbled {
        /// Its offset.
        offset: Offset,
    },
    /// The log was read up to its end, or could not be reached.
    Log {
        /// `true` if it was read up to its end.
        up: bool,
    },
    /// A caller sent a request.
    Arrive(Arrival),
    /// A caller no longer waits for its reply.
    CallerGone {
        /// The request.
        req: Name,
    },
    /// An attempt to send a request to an upstream ended.
    TryEnd {
        /// The request.
        req: Name,
        /// The number of the attempt, from 1.
        attempt: u32,
        /// Its result.
        end: TryEnd,
    },
    /// A caller submitted a gang.
    Submit {
        /// The call to reply to.
        req: Name,
        /// The gang.
        job: Job,
    },
    /// A caller cancelled a gang.
    Cancel {
        /// The call to reply to.
        req: Name,
        /// The workspace that the call names.
        workspace: Name,
        /// The gang.
        job: Name,
    },
    /// The platform's list of VMs was read.
    Members {
        /// Its entries.
        list: Vec<Member>,
    },
    /// A peer sent a heartbeat.
    Peer(Heartbeat),
    /// A sync call to a worker ended, with or without a response.
    SyncEnded {
        /// The worker.
        worker: Name,
        /// Its response; nothing if the call failed.
        answer: Option<SyncAnswer>,
    },
    /// A planned shutdown began: this VM is taken out of load balancing but still accepts work.
    Leave,
    /// This VM no longer accepts work.
    Drain,
    /// The process's state may be out of date: it was paused, or it lags behind the log.
    MaybeStale,
}
