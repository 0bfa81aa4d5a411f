//! Decides which changes of what is known of the machines are worth storing for the next leader.

use super::speed::Slowness;
use super::trust::Health;

/// The ratio of two speed factors from which they differ by enough to change a placement.
const FACTOR_RATIO: f64 = 1.1;
/// The difference of two estimated failure rates from which they differ by enough to change a
/// placement, per mille: about half of the distance from a usual to a suspect upstream.
const FAILURE_PER_MILLE: f64 = 50.0;

/// The bytes that may accumulate however low the setting is: the largest row of a digest fits.
pub(in crate::fleet) const MAX_ROW_BYTES: u16 = 512;

/// What is known of a machine.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::fleet) struct Knowledge {
    /// How much longer than usual work takes there.
    pub(in crate::fleet) slowness: Slowness,
    /// How its runs ended recently.
    pub(in crate::fleet) health: Health,
}

impl Knowledge {
    /// Returns when it changed last other than by decay, local clock; 0 if nothing is known.
    pub(in crate::fleet) fn changed_at(&self) -> u64 {
        self.slowness.sampled_at().max(self.health.ended_at())
    }

    /// Returns how much it differs from `stored`; from 1 on, the difference may change a decision.
    pub(in crate::fleet) fn change(&self, stored: &Self, now: u64) -> f64 {
        let ratio = self.slowness.factor(now) / stored.slowness.factor(now);
        let speed = ratio.log2().abs() / FACTOR_RATIO.log2();
        let rates = [self, stored].map(|known| known.health.failure_rate(now));
        let failures = (rates[0] - rates[1]).abs() / FAILURE_PER_MILLE;
        // Among unequal upstreams, a known one is preferred to an unknown one.
        let known = self.slowness.is_known() && !stored.slowness.is_known();
        speed.max(failures).max(if known { 1.0 } else { 0.0 })
    }
}

/// The rows that may be handed over at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::fleet) struct Allowance {
    /// How many rows.
    pub(in crate::fleet) rows: usize,
    /// How many bytes.
    pub(in crate::fleet) bytes: usize,
}

impl Allowance {
    /// Takes a row of `bytes` out of the allowance; returns whether it fitted.
    pub(in crate::fleet) fn take(&mut self, bytes: usize) -> bool {
        let fits = self.rows > 0 && self.bytes >= bytes;
        if fits {
            self.rows -= 1;
            self.bytes -= bytes;
        }
        fits
    }
}

/// The bytes that may be handed over in a second on average, as a token bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::fleet) struct ByteRate {
    /// The bytes that were not used yet, in thousandths.
    unused: u64,
    /// When they were last increased, local clock.
    at: u64,
}

impl ByteRate {
    /// Begins without unused bytes, so that a succession of leaders does not exceed the average.
    pub(in crate::fleet) fn new(now: u64) -> Self {
        Self { unused: 0, at: now }
    }

    /// Adds the bytes since the last call, up to those of a second, or of the largest row; returns
    /// how many are unused.
    pub(in crate::fleet) fn add(&mut self, now: u64, bytes_s: u64) -> usize {
        let passed = now.saturating_sub(self.at);
        let most = bytes_s.max(u64::from(MAX_ROW_BYTES)).saturating_mul(1_000);
        let more = bytes_s.saturating_mul(passed);
        self.unused = self.unused.saturating_add(more).min(most);
        self.at = now;
        usize::try_from(self.unused / 1_000).unwrap_or(usize::MAX)
    }

    /// Records that `bytes` were used.
    pub(in crate::fleet) fn spend(&mut self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.unused = self.unused.saturating_sub(bytes.saturating_mul(1_000));
    }
}
