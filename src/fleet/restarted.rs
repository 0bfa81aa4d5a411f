//! Leases by the clock of an earlier process.
//!
//! The end of a lease is a time of the upstream's clock. An order that was meant for an earlier
//! process names a time of that one's clock; the next process under the same identity takes it for
//! a time of its own, and grants at most its longest lease. A leader that notices a restart allows
//! for such a lease, and stores that, as the next leader has no other way to know of it.

use super::leases::TRANSIT_MS;
use super::row::MAX_KEY_BYTES;
use super::row::RestartRow;
use super::row::Row;
use super::row::restart_key;
use super::timing::Timing;
use crate::prelude::*;
use prost::Message;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The upstreams that may hold a lease by the clock of an earlier process.
#[derive(Debug, Default)]
pub(super) struct Restarted {
    /// When such a lease has certainly expired, local clock.
    ends: BTreeMap<Name, u64>,
    /// Those that are to be stored.
    unstored: BTreeSet<Name>,
}

impl Restarted {
    /// Adds an upstream whose restart an earlier leader stored, at `now`.
    pub(super) fn load(&mut self, at: Name, now: u64, timing: &Timing) {
        self.ends.insert(at, expiry(now, timing));
    }

    /// Adds an upstream whose restart is noticed at `now`; returns when such a lease has expired.
    pub(super) fn notice(&mut self, at: &Name, now: u64, timing: &Timing) -> u64 {
        let end = expiry(now, timing);
        if restart_key(at).len() <= MAX_KEY_BYTES {
            self.ends.insert(at.clone(), end);
            self.unstored.insert(at.clone());
        }
        end
    }

    /// Returns when such a lease of an upstream has certainly expired, local clock.
    pub(super) fn lease_end(&self, at: &Name) -> u64 {
        self.ends.get(at).copied().unwrap_or(0)
    }

    /// Returns the rows to store: the restarts that were noticed, and the deletion of those that
    /// matter no longer.
    pub(super) fn take_rows(&mut self, now: u64, wall_ms: u64) -> Vec<Row> {
        let row = RestartRow {
            noticed_ms: wall_ms,
        };
        let noticed = std::mem::take(&mut self.unstored);
        let mut rows: Vec<Row> = noticed
            .iter()
            .map(|at| Row {
                key: restart_key(at),
                value: row.encode_to_vec(),
            })
            .collect();
        let over = self.ends.extract_if(.., |_, end| *end <= now);
        rows.extend(over.map(|(at, _)| Row {
            key: restart_key(&at),
            value: Vec::new(),
        }));
        rows
    }
}

/// Returns when a lease by an order that was sent until `now` has certainly expired.
fn expiry(now: u64, timing: &Timing) -> u64 {
    now + TRANSIT_MS + Timing::max_local_ms(timing.max_lease_ms)
}
