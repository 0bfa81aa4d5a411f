//! One request in progress.

use super::View;
use super::retry::Faults;
use crate::model::Kind;
use crate::prelude::*;
use crate::records::Outcome;
use crate::reducer::effect::Ran;
use crate::reducer::event::Arrival;

/// The stage of a request.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Stage {
    /// Its claim was appended but is not read back yet.
    Claiming,
    /// It waits for a runner.
    Queued,
    /// It was sent to a runner.
    Sent(Sent),
}

/// An attempt in flight.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Sent {
    /// The runner.
    pub(super) runner: Name,
    /// When it was dispatched, in milliseconds of monotonic time.
    pub(super) at_ms: u64,
}

/// A request in progress.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Request {
    /// The request as it arrived.
    pub(super) arrival: Arrival,
    /// Its kind, as configured when it arrived.
    pub(super) kind: Kind,
    /// Its current stage.
    pub(super) stage: Stage,
    /// The number of the last attempt, 0 before the first.
    pub(super) attempt: u32,
    /// The attempts that may have reached an upstream.
    pub(super) reached: u32,
    /// Whether its claim was read back and won.
    pub(super) claimed: bool,
    /// Whether the caller disconnected.
    pub(super) gone: bool,
    /// The failures of its attempts.
    pub(super) faults: Faults,
    /// When it arrived, in milliseconds of monotonic time.
    pub(super) since_ms: u64,
    /// Its deadline, in milliseconds of monotonic time.
    pub(super) end_ms: u64,
    /// When it must be checked next, in milliseconds of monotonic time.
    pub(super) due_ms: u64,
    /// Its arrival number, which orders requests with the same deadline.
    pub(super) seq: u64,
    /// The runners that were tried.
    pub(super) tried: Vec<Name>,
}

impl Request {
    /// Returns whether its deadline passed, or its claim was not read back in time.
    pub(super) fn is_late(&self, view: &View<'_>) -> bool {
        let claim_ms = view.ctx.settings.requests.claim_ms;
        let claiming = self.stage == Stage::Claiming;
        view.now.mono_ms >= self.end_ms
            || (claiming && view.now.mono_ms >= self.since_ms + claim_ms)
    }

    /// Returns when it must be checked next, in milliseconds of monotonic time.
    pub(super) fn next_due(&self, view: &View<'_>) -> u64 {
        let config = &view.ctx.settings.requests;
        match &self.stage {
            Stage::Claiming => self.end_ms.min(self.since_ms + config.claim_ms),
            Stage::Queued => self.end_ms,
            Stage::Sent(_) if !self.kind.idempotent => self.end_ms,
            Stage::Sent(sent) => self.end_ms.min(sent.at_ms + config.try_ms),
        }
    }

    /// Returns whether it ran, as far as is known without a response.
    pub(super) fn ran(&self) -> Ran {
        match self.faults.touched {
            true => Ran::Unknown,
            false => Ran::No,
        }
    }

    /// Returns the outcome that is recorded for its key if it ends without a response.
    pub(super) fn outcome(&self) -> Outcome {
        match self.faults.touched {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        }
    }
}
