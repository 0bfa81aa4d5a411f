//! Everything that can happen to the reducer.

use super::ledger::Ledger;
use crate::model::Job;
use crate::platform::Member;
use crate::platform::SyncAnswer;
use crate::prelude::*;
use crate::records::Batch;

/// When an event happened, by two clocks of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time in milliseconds; measures waits.
    pub mono_ms: u64,
    /// Wall time in milliseconds since 1970; only stamps records.
    pub wall_ms: u64,
}

/// A caller's request as it came in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Its identifier, given by this VM.
    pub req: Name,
    /// The workspace that it names.
    pub workspace: Name,
    /// The kind of work that it names.
    pub kind: Name,
    /// The caller's idempotency key.
    pub key: Option<Name>,
    /// When the caller first sent the request, in milliseconds of wall time, if it says so.
    pub issued_ms: Option<u64>,
    /// The time that the caller gives it, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// A hash of workspace, kind and body.
    pub print: u64,
    /// The length of its body in bytes.
    pub bytes: u64,
}

/// How one try at an upstream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TryEnd {
    /// A whole answer came back; `kept` says whether the runtime holds its body for the caller.
    Answered {
        /// The HTTP status.
        status: u16,
        /// When the upstream asks to be tried again, in milliseconds.
        retry_ms: Option<u64>,
        /// The answer for later retries of the key, if it is small enough.
        kept: crate::records::Kept,
    },
    /// No byte of the request left this VM.
    NotSent {
        /// The cause.
        cause: String,
    },
    /// The request may have reached the upstream, but no whole answer came back.
    Broken {
        /// The cause.
        cause: String,
    },
    /// The upstream says that it is leaving and that it did not run the request.
    Leaving,
}

/// What a peer VM says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The peer's process, such as `vm-3/entry`.
    pub from: Name,
    /// Its data centre.
    pub centre: Name,
    /// Its boot, in milliseconds of wall time.
    pub boot: u64,
    /// The next control offset that it will read.
    pub control: Offset,
    /// The highest configuration offset that it has seen.
    pub cfg: Offset,
    /// Whether it reaches the log.
    pub log_up: bool,
    /// Whether it is leaving.
    pub draining: bool,
    /// Its own requests in flight at each runner.
    pub loads: Vec<Load>,
    /// A hash of its ledger with the offset at which it holds.
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
    /// The next control offset at that point.
    pub at: Offset,
    /// The hash.
    pub hash: u64,
}

/// What the reducer is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The newest checkpoint was loaded; an empty ledger if there is none.
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
    /// A control record has a schema that is newer than this version knows.
    NewerSchema {
        /// Its offset.
        offset: Offset,
    },
    /// A control record could not be decoded; every VM passes over it alike.
    Garbled {
        /// Its offset.
        offset: Offset,
    },
    /// The log was read up to its end (`true`) or could not be reached (`false`).
    Log {
        /// Whether it was reached.
        up: bool,
    },
    /// A caller sent a request.
    Arrive(Arrival),
    /// A caller no longer waits.
    CallerGone {
        /// The request.
        req: Name,
    },
    /// A try at an upstream ended.
    TryEnd {
        /// The request.
        req: Name,
        /// The number of the try, from 1.
        attempt: u32,
        /// How it ended.
        end: TryEnd,
    },
    /// A caller submitted a gang.
    Submit {
        /// The caller's call, to be replied to.
        req: Name,
        /// The gang.
        job: Job,
    },
    /// A caller cancelled a gang.
    Cancel {
        /// The caller's call, to be replied to.
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
    /// A peer told about itself.
    Peer(Heartbeat),
    /// A worker answered, or did not.
    SyncEnded {
        /// The worker.
        worker: Name,
        /// Its answer, or nothing if it gave none.
        answer: Option<SyncAnswer>,
    },
    /// A planned stop began: this VM leaves rotation, and still accepts.
    Leave,
    /// This VM accepts nothing more.
    Drain,
    /// What the process knows may be out of date: it was paused, or it lags behind the log.
    MaybeStale,
}
