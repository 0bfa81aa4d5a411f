//! The scheduler's decisions, each a function of values: no network, no clock, no open state.
//!
//! The planner gathers the values, asks the decisions in turn, and turns their results into
//! effects.

pub(super) mod admit;
pub(super) mod evict;
pub(super) mod order;
pub(super) mod place;
pub(super) mod predict;
pub(super) mod restart;
pub(super) mod speed;
pub(super) mod trust;
pub(super) mod victims;

/// Converts milliseconds, capped at `u32::MAX` (49 days); durations here are far below 2^52 ms, up
/// to which `f64` is exact.
pub(super) fn millis(ms: u64) -> f64 {
    u32::try_from(ms).map_or(f64::from(u32::MAX), f64::from)
}
