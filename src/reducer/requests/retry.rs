//! Retries: which failures may be tried again, how many retries the traffic pays for, and the
//! error that a caller gets in the end.
//!
//! The budget is a token bucket filled by first tries, as in Google's *Site Reliability
//! Engineering* (Beyer et al., 2016, "Handling Overload"), so that an outage can't multiply the
//! traffic by the number of tries.

use super::reply::refuse;
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

/// What the tries of one request met, whatever their order.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Faults {
    /// Whether a try may have reached an upstream.
    pub(super) touched: bool,
    /// The earliest time at which an upstream asked to be tried again, in monotonic milliseconds.
    pub(super) busy_ms: Option<u64>,
}

impl Faults {
    /// Notes that an upstream asked to be tried again at `at_ms`.
    pub(super) fn busy(&mut self, at_ms: u64) {
        self.busy_ms = Some(self.busy_ms.map_or(at_ms, |known_ms| known_ms.min(at_ms)));
    }

    /// Returns the final error, which depends on the set of failures and not on their order.
    pub(super) fn error(&self, now_ms: u64) -> Reply {
        let later_ms = Some(RETRY_LATER_MS);
        match (self.touched, self.busy_ms) {
            (true, _) => refuse(502, Code::UpstreamBroken, Ran::Unknown, later_ms),
            (false, Some(at_ms)) => {
                let retry_ms = Some(at_ms.saturating_sub(now_ms).max(1));
                refuse(503, Code::UpstreamBusy, Ran::No, retry_ms)
            }
            (false, None) => refuse(503, Code::UpstreamUnavailable, Ran::No, later_ms),
        }
    }
}
