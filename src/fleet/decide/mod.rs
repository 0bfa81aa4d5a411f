//! The scheduler's decisions, each a function of values: no network, no clock, no open state.
//!
//! The planner gathers the values, asks the decisions in turn, and turns their results into
//! effects.

pub(super) mod admit;
pub(super) mod advise;
pub(super) mod crash;
pub(super) mod evict;
pub(super) mod learn;
pub(super) mod order;
pub(super) mod place;
pub(super) mod predict;
pub(super) mod quarantine;
pub(super) mod reserve;
pub(super) mod restart;
pub(super) mod share;
pub(super) mod speed;
pub(super) mod trust;
pub(super) mod victims;

/// Converts milliseconds, capped at `u32::MAX` (49 days); durations here are far below 2^52 ms, up
/// to which `f64` is exact.
pub(super) fn millis(ms: u64) -> f64 {
    u32::try_from(ms).map_or(f64::from(u32::MAX), f64::from)
}

/// Rounds down to whole milliseconds; negative values become 0, and so do values that are too large
/// for a `Duration`.
pub(super) fn as_ms(ms: f64) -> u64 {
    std::time::Duration::try_from_secs_f64((ms / 1_000.0).max(0.0)).map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
