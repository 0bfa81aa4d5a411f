//! Retries: which failures may be tried again, how many retries the traffic pays for, and the
//! error that a caller gets in the end.
//!
//! The budget is a token bucket filled by first tries, as in Google's *Site Reliability
//! Engineering* (Beyer et al., 2016, "Handling Overload"), so that an outage can't multiply the
//! traffic by the number of tries.

use super::reply::refuse;
use crate::prelude::*;
use crate::reducer::effect::Code;
use crate::reducer::effect::Ran;
use crate::reducer::effect::Reply;

/// The tries of one request at most, those included that never left this VM.
pub(super) const SENDS_MAX: u32 = 16;

/// The price of one retry, in hundredths.
const RETRY_PRICE: u64 = 100;
/// The most that a budget holds, in hundredths of a retry.
const BUDGET_MOST: u64 = 1_000;
/// The wait that is suggested when nothing better is known, in milliseconds.
const RETRY_LATER_MS: u64 = 1_000;

/// The retries that the traffic has paid for.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Budget {
    held: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { held: BUDGET_MOST }
    }
}

impl Budget {
    /// Adds what one first try pays for, in percent of a retry.
    pub(super) fn earn(&mut self, percent: u64) {
        self.held = (self.held + percent).min(BUDGET_MOST);
    }

    /// Takes one retry, if there is one.
    pub(super) fn spend(&mut self) -> bool {
        let paid = self.held >= RETRY_PRICE;
        if paid {
            self.held -= RETRY_PRICE;
        }
        paid
    }
}

/// A whole answer that is passed on if no try does better.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Held {
    /// Whether the upstream only asked to be tried again.
    pub(super) busy: bool,
    /// The HTTP status.
    pub(super) status: u16,
    /// The number of the try.
    pub(super) attempt: u32,
    /// The upstream.
    pub(super) runner: Name,
}

impl Held {
    /// Returns the reply that passes the answer on.
    pub(super) fn reply(&self) -> Reply {
        Reply::Upstream {
            attempt: self.attempt,
            runner: self.runner.clone(),
        }
    }
}

/// What the tries of one request met, whatever their order.
///
/// That the final error follows from the set of failures, and not from the one that came last, is
/// taken from the health-aware failover of the auth proxy zendext ("deterministic final errors").
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Faults {
    /// Whether a try may have reached an upstream.
    pub(super) touched: bool,
    held: Option<Held>,
}

impl Faults {
    /// Holds an error answer; of several the one that says most is kept.
    pub(super) fn hold(&mut self, answer: Held) {
        self.touched = true;
        let better = self.held.as_ref().is_none_or(|known| answer < *known);
        if better {
            self.held = Some(answer);
        }
    }

    /// Returns the answer that is passed on if no try does better.
    pub(super) fn held(&self) -> Option<&Held> {
        self.held.as_ref()
    }

    /// Returns the error of a request without any answer.
    pub(super) fn error(&self) -> Reply {
        let later_ms = Some(RETRY_LATER_MS);
        match self.touched {
            true => refuse(502, Code::UpstreamBroken, Ran::Unknown, later_ms),
            false => refuse(503, Code::UpstreamUnavailable, Ran::No, later_ms),
        }
    }
}
