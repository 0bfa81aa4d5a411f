//! Tells a store that turns this VM away from one that is slow.

use crate::fleet::clock::boot_ms;
use crate::fleet::ports::Error;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// How long the store may decline every append of this VM before other VMs are told so, in
/// milliseconds: some ten appends. A store that is silent may be slow; one that declines is not.
const DECLINED_MS: u64 = 300;

/// Since when the store has declined every append, own time; 0 if it has not.
#[derive(Debug, Default)]
pub(super) struct Declines(AtomicU64);

impl Declines {
    /// Notes the result of an append that was sent at `sent`, own time.
    pub(super) fn note<T>(&self, sent: u64, result: &Result<T, Error>) {
        if !matches!(result, Err(Error::Declined(_))) {
            self.0.store(0, Ordering::Relaxed);
        } else if self.0.load(Ordering::Relaxed) == 0 {
            self.0.store(sent, Ordering::Relaxed);
        }
    }

    /// Tells whether the store turns this VM away.
    pub(super) fn is_turned_away(&self) -> bool {
        let since = self.0.load(Ordering::Relaxed);
        since != 0 && boot_ms() >= since + DECLINED_MS
    }
}
