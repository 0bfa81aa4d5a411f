//! Retries: their limit, the retry budget, and the final error that a caller gets.
//!
//! The budget is a token bucket filled by first attempts, as in Google's *Site Reliability
//! Engineering* (Beyer et al., 2016, "Handling Overload"), so that an outage can't multiply the
//! traffic by the number of attempts.

use super::reply::refuse;
use crate::prelude::*;
use crate::reducer::effect::Code;
use crate::reducer::effect::Ran;
use crate::reducer::effect::Reply;

/// The most attempts of one request, including those that never left this VM.
pub(super) const MAX_SENDS: u32 = 16;

/// The cost of one retry, in hundredths of a retry.
const RETRY_COST: u64 = 100;
/// The most that a budget holds, in hundredths of a retry.
const MAX_BUDGET: u64 = 1_000;
/// The delay before a retry that a caller is advised of when there is no estimate, in milliseconds.
const DEFAULT_RETRY_MS: u64 = 1_000;

/// The token bucket of retries.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Budget {
    held: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { held: MAX_BUDGET }
    }
}

impl Budget {
    /// Adds the tokens of one first attempt, in percent of a retry.
    pub(super) fn deposit(&mut self, percent: u64) {
        self.held = (self.held + percent).min(MAX_BUDGET);
    }

    /// Takes the tokens of one retry; returns whether there were enough.
    pub(super) fn withdraw(&mut self) -> bool {
        let paid = self.held >= RETRY_COST;
        if paid {
            self.held -= RETRY_COST;
        }
        paid
    }
}

/// A complete error response, which the caller gets if no other attempt succeeds.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Held {
    /// Whether the upstream was busy and asked for a retry.
    pub(super) busy: bool,
    /// The HTTP status.
    pub(super) status: u16,
    /// The number of the attempt.
    pub(super) attempt: u32,
    /// The upstream.
    pub(super) runner: Name,
}

impl Held {
    /// Returns the reply that forwards the response.
    pub(super) fn reply(&self) -> Reply {
        Reply::Upstream {
            attempt: self.attempt,
            runner: self.runner.clone(),
        }
    }
}

/// The failures of one request's attempts, independent of their order.
///
/// The final error depends on the set of failures and not on the last one, as in the health-aware
/// failover of the auth proxy zendext ("deterministic final errors").
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Faults {
    /// Whether an attempt may have reached an upstream.
    pub(super) touched: bool,
    held: Option<Held>,
}

impl Faults {
    /// Keeps an error response; of several, the most specific one: an error rather than a busy
    /// response, then the lowest status.
    pub(super) fn hold(&mut self, answer: Held) {
        self.touched = true;
        let preferred = self.held.as_ref().is_none_or(|known| answer < *known);
        if preferred {
            self.held = Some(answer);
        }
    }

    /// Returns the response that the caller gets if no other attempt succeeds.
    pub(super) fn held(&self) -> Option<&Held> {
        self.held.as_ref()
    }

    /// Returns the final error of a request that got no complete response.
    pub(super) fn error(&self) -> Reply {
        let retry_ms = Some(DEFAULT_RETRY_MS);
        match self.touched {
            true => refuse(502, Code::UpstreamBroken, Ran::Unknown, retry_ms),
            false => refuse(503, Code::UpstreamUnavailable, Ran::No, retry_ms),
        }
    }
}
