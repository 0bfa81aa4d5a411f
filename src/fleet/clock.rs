//! Clocks: one that counts suspended time, and the time of day.

use nix::time::ClockId;
use nix::time::clock_gettime;
use std::time::Duration;

pub use crate::modules::engine::wall_ms;

/// Milliseconds since the machine started, suspended time included.
pub fn boot_ms() -> u64 {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(0, |time| millis(Duration::from(time)))
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
