//! Clocks: since boot (with suspended time), since process start, and the time of day.

use nix::time::ClockId;
use nix::time::clock_gettime;
use std::sync::OnceLock;
use std::time::Duration;
use tokio::time::Instant;

pub use crate::modules::engine::wall_ms;

/// Returns the milliseconds since the VM booted, suspended time included.
pub fn boot_ms() -> u64 {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(0, |time| millis(Duration::from(time)))
}

/// Returns the milliseconds since the first call in this process, at least 1; suspended time is not
/// included.
pub fn steady_ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    let start = START.get_or_init(Instant::now);
    millis(Instant::now().saturating_duration_since(*start)).saturating_add(1)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
