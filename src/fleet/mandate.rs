//! Whether a leader may still send orders that nothing but its lead makes safe.
//!
//! The store's response to an append confirms the lead at the time at which the append was sent. A
//! process that was suspended since then may have been replaced meanwhile, however recent the
//! response seems to it: orders that begin something new wait until the store has confirmed the lead
//! after the suspension. An upstream that has heard the next leader would decline them, but one that
//! has restarted since knows no fencing token.

use super::effect::Effect;

/// The time without a sign of life from which on a process counts as suspended, in milliseconds: a
/// leader that is challenged has at least as long to answer.
pub const MIN_SUSPENSION_MS: u64 = 250;
/// The age of the last confirmation above which no order is sent, in milliseconds: with the lease
/// added, running work survives a store outage of 10 s. The next leader waits as long for upstreams
/// that it cannot reach.
pub const MAX_ORDER_AGE_MS: u64 = 7_000;

/// What a leader may do with an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// Send it.
    Send,
    /// Keep it until the store has confirmed the lead again.
    Confirm,
    /// Give the lead up, which has been unconfirmed for this long, in milliseconds.
    Resign(u64),
}

/// What a leader knows of its lead; times of the local clock, which counts suspended time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mandate {
    /// When the last append that was answered was sent.
    confirmed_at: u64,
    /// When the process last gave a sign of life.
    awake_at: u64,
    /// When it was last found to have been suspended.
    resumed_at: u64,
}

impl Mandate {
    /// Makes the mandate of a leader whose lead was confirmed by an append sent at `confirmed_at`.
    pub fn new(confirmed_at: u64) -> Self {
        Self {
            confirmed_at,
            awake_at: confirmed_at,
            resumed_at: 0,
        }
    }

    /// Records that the process runs at `now`. Returns for how long it was suspended, if it was, in
    /// milliseconds.
    pub fn note_awake(&mut self, now: u64) -> Option<u64> {
        let gap = now.saturating_sub(self.awake_at);
        self.awake_at = self.awake_at.max(now);
        if gap < MIN_SUSPENSION_MS {
            return None;
        }
        self.resumed_at = now;
        Some(gap)
    }

    /// Records that the store has answered an append sent at `sent`.
    pub fn confirm(&mut self, sent: u64) {
        self.confirmed_at = self.confirmed_at.max(sent);
    }

    /// Returns whether the lead was confirmed after the last suspension.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed_at >= self.resumed_at
    }

    /// Decides on an order at `now`.
    ///
    /// Orders that keep up or end what runs are sent without waiting: they need no store, and the next
    /// leader allows for them until [`MAX_ORDER_AGE_MS`] have passed.
    pub fn permit(&self, order: &Effect, now: u64) -> Permit {
        let age = now.saturating_sub(self.confirmed_at);
        match order {
            Effect::Start { .. } | Effect::TakeDown { .. } | Effect::Announce { .. }
                if age <= MAX_ORDER_AGE_MS && !self.is_confirmed() =>
            {
                Permit::Confirm
            }
            Effect::Start { .. }
            | Effect::Stop { .. }
            | Effect::Pace { .. }
            | Effect::Hold { .. }
            | Effect::TakeDown { .. }
            | Effect::Announce { .. }
                if age > MAX_ORDER_AGE_MS =>
            {
                Permit::Resign(age)
            }
            _ => Permit::Send,
        }
    }
}
