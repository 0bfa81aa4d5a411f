//! How often a fault strikes.

use rand::Rng;
use rand::RngExt;

/// How often a fault strikes: the next few times, or a share of all times.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FaultRate {
    /// How many times it strikes for certain from now on.
    pub next: u32,
    /// The share of all other times in which it strikes, in percent.
    pub pct: u32,
}

impl FaultRate {
    /// Never.
    pub const OFF: Self = Self { next: 0, pct: 0 };

    /// The next `next` times.
    pub const fn next(next: u32) -> Self {
        Self { next, pct: 0 }
    }

    /// In `pct` percent of all times.
    pub const fn share(pct: u32) -> Self {
        Self { next: 0, pct }
    }

    /// Tells whether it strikes now, and counts that.
    pub fn take(&mut self, rng: &mut impl Rng) -> bool {
        if self.next > 0 {
            self.next -= 1;
            return true;
        }
        self.pct > 0 && rng.random_range(0..100) < self.pct
    }
}
