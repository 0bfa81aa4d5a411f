//! Distinguishes a store that declines the appends of this VM from one that is slow.

use crate::fleet::clock::boot_ms;
use crate::fleet::ports::Error;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// How long the store may decline every append of this VM before the lead is reported as
/// unconfirmed, in milliseconds: about ten appends. A store that does not respond may just be slow;
/// one that declines is not.
const DECLINED_MS: u64 = 300;

/// Since when the store has declined every append (local clock); 0 if the last was not declined.
#[derive(Debug, Default)]
pub(super) struct Declines(AtomicU64);

impl Declines {
    /// Records the result of an append that was sent at `sent` (local clock).
    pub(super) fn record<T>(&self, sent: u64, result: &Result<T, Error>) {
        if !matches!(result, Err(Error::Declined(_))) {
            self.0.store(0, Ordering::Relaxed);
        } else if self.0.load(Ordering::Relaxed) == 0 {
            self.0.store(sent, Ordering::Relaxed);
        }
    }

    /// Returns whether the store has declined every append for at least [`DECLINED_MS`].
    pub(super) fn is_persistent(&self) -> bool {
        let since = self.0.load(Ordering::Relaxed);
        since != 0 && boot_ms() >= since + DECLINED_MS
    }
}
