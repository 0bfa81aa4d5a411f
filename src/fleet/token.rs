//! Fencing tokens of orders to upstreams.
//!
//! An upstream refuses orders with a token below the highest that it has seen, so tokens rise with
//! each leader. They also rise with each restart of an upstream that the leader notices: once the
//! new process has heard from the leader, it refuses what was meant for an earlier one and was held
//! up on its way. An epoch therefore reserves a range of tokens that ends with its own number, which
//! is also what a leader of an earlier build counts on: it claims the number after it.

/// The number of tokens that an epoch reserves: as many restarts are told apart under one leader.
pub const EPOCH_STEP: u64 = 1_000_000;

/// Returns the token of orders in an epoch after `life` restarts.
pub fn order_token(epoch: u64, life: u64) -> u64 {
    let step = EPOCH_STEP - 1;
    epoch.saturating_sub(step) + life.min(step)
}
