//! Clocks: one that counts suspended time, and the time of day.

use nix::time::ClockId;
use nix::time::clock_gettime;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Milliseconds since the machine started, suspended time included.
pub fn boot_ms() -> u64 {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(0, |time| millis(Duration::from(time)))
}

/// Unix milliseconds; jumps with the machine's time of day.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, millis)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
