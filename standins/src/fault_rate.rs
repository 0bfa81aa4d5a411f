//! How often an injected fault occurs.

use rand::Rng;
use rand::RngExt;

/// How often a fault occurs: on the next few calls, or on a percentage of all calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FaultRate {
    /// The number of next calls on which it always occurs.
    pub next: u32,
    /// The probability that it occurs on any other call, in percent.
    pub pct: u32,
}

impl FaultRate {
    /// The fault never occurs.
    pub const OFF: Self = Self { next: 0, pct: 0 };

    /// The fault occurs on the next `next` calls.
    pub const fn next(next: u32) -> Self {
        Self { next, pct: 0 }
    }

    /// The fault occurs on `pct` percent of all calls.
    pub const fn share(pct: u32) -> Self {
        Self { next: 0, pct }
    }

    /// Returns whether the fault occurs on this call; uses up one of `next` if any are left.
    pub fn trigger(&mut self, rng: &mut impl Rng) -> bool {
        if self.next > 0 {
            self.next -= 1;
            return true;
        }
        self.pct > 0 && rng.random_range(0..100) < self.pct
    }
}
