//! How long leases that earlier leaders requested may last.
//!
//! An upstream that does not respond to a new leader may still work for an earlier one: a leader that
//! is cut off sends orders until its lead is too long unconfirmed. Its runs are settled only when
//! every lease has expired, wherever the order came from. The wait is shorter once it is certain that
//! the earlier leaders have sent their last order.

use super::row::LeadersRow;
use super::row::Row;
use super::row::leaders_key;
use super::scheduler::Scheduler;
use super::timing::Timing;
use super::token::EPOCH_STEP;
use super::upstream::Upstream;
use prost::Message;

/// The longest time from the decision on an order to its arrival, in milliseconds.
pub const TRANSIT_MS: u64 = 1_000;

/// What a new leader knows of the earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Takeover {
    /// The epoch in which it leads; those of earlier leaders are lower.
    pub epoch: u64,
    /// How long an earlier leader that lives may still send orders, in milliseconds.
    pub order_ms: u64,
    /// Whether the leader before it has certainly ended, or there was none.
    pub ended: bool,
}

/// The earlier leaders.
#[derive(Debug)]
pub(super) struct EarlierLeaders {
    /// The epoch of the present leader.
    epoch: u64,
    /// When the last of them has sent its last order, local clock.
    ended_at: u64,
    /// Whether all but the last one had sent their last order when that one led.
    only_last: bool,
    /// Whether their end is stored.
    noted: bool,
}

impl EarlierLeaders {
    /// Returns the state of a leader without earlier ones.
    pub(super) fn none() -> Self {
        Self {
            epoch: 0,
            ended_at: 0,
            only_last: true,
            noted: true,
        }
    }

    /// Returns the state at `now`, when the rows have been loaded; all leaders before the epoch
    /// `ended_before` had sent their last order when that was stored.
    pub(super) fn new(takeover: Takeover, ended_before: u64, now: u64) -> Self {
        let only_last = ended_before + EPOCH_STEP >= takeover.epoch;
        let wait_ms = if takeover.ended && only_last {
            0
        } else {
            takeover.order_ms
        };
        Self {
            epoch: takeover.epoch,
            ended_at: now + wait_ms,
            only_last,
            noted: false,
        }
    }

    /// Returns whether this leader may order machines: every order that they sent has arrived at a
    /// receiver that checks no tokens, and their holds on the machines have passed.
    pub(super) fn have_ordered(&self, now: u64, timing: &Timing) -> bool {
        now >= self.ended_at + TRANSIT_MS.max(timing.machine_lease_ms)
    }

    /// Returns when each lease that they requested has certainly expired, local clock.
    pub(super) fn lease_end(&self, timing: &Timing) -> u64 {
        self.ended_at + Timing::max_local_ms(timing.lease_ms())
    }
}

impl Scheduler {
    /// Handles that the leader before this one has certainly ended.
    pub(super) fn predecessor_ended(&mut self, now: u64) {
        let earlier = &mut self.earlier;
        if now >= earlier.ended_at {
            return;
        }
        if !earlier.only_last {
            log::info!(
                "TG1323 epoch={} its predecessor has ended, but leaders before it may send orders for {} ms",
                earlier.epoch,
                earlier.ended_at - now
            );
            return;
        }
        let before = earlier.lease_end(&self.timing);
        earlier.ended_at = now;
        let end = earlier.lease_end(&self.timing);
        for upstream in self.upstreams.values_mut() {
            upstream.inherited_end = upstream.inherited_end.min(end);
        }
        log::info!(
            "TG1322 epoch={} its predecessor has ended: its leases end in {} ms, not in {} ms",
            earlier.epoch,
            end.saturating_sub(now),
            before.saturating_sub(now)
        );
    }

    /// Stores that the earlier leaders have ended once that is so: the next leader then has this one
    /// alone to wait for.
    pub(super) fn note_earlier_leaders(&mut self, now: u64) {
        if self.earlier.noted || now < self.earlier.ended_at {
            return;
        }
        self.earlier.noted = true;
        let row = LeadersRow {
            ended_before: self.earlier.epoch,
        };
        self.out.rows.push(Row {
            key: leaders_key(),
            value: row.encode_to_vec(),
        });
    }
}

impl Upstream {
    /// Returns when every lease has certainly expired, local clock.
    pub(super) fn leases_end(&self) -> u64 {
        self.lease_end.max(self.inherited_end).max(self.foreign_end)
    }
}
