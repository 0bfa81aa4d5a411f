//! The stored digests of durations.

use super::stored::StoredKnowledge;
use crate::fleet::decide::learn::Allowance;
use crate::fleet::decide::predict::Durations;
use crate::fleet::decide::predict::MAX_KINDS;
use crate::fleet::row::KIND_PREFIX;
use crate::fleet::row::KindRow;
use crate::fleet::row::Row;
use prost::Message;
use std::collections::BTreeMap;

/// The most bytes of a row beside the key and the value of its digest: 8 of the row itself, 2 of
/// the prefix, 11 of the time and 3 before the digest.
const MAX_OVERHEAD_BYTES: usize = 24;
/// The age assumed of a row from the future, in milliseconds: a half-life of a digest.
const FUTURE_MS: u64 = 600_000;

/// The kinds with a stored digest.
#[derive(Debug, Default)]
pub(super) struct Kinds {
    /// When the row of each was stored, Unix milliseconds, by its key without the prefix.
    stored: BTreeMap<String, u64>,
}

impl Kinds {
    /// Takes over the digests that earlier leaders stored; returns how many.
    pub(super) fn load(
        &mut self,
        stored: &mut StoredKnowledge,
        durations: &mut Durations,
        wall_ms: u64,
    ) -> usize {
        let mut rows = std::mem::take(&mut stored.kinds);
        // The newest last: the oldest are evicted first if there are too many.
        rows.sort_by_key(|(_, row)| row.wall_ms.min(wall_ms));
        let mut count = 0;
        for (key, row) in rows {
            let age_ms = wall_ms.checked_sub(row.wall_ms).unwrap_or(FUTURE_MS);
            match durations.merge_digest(&key, &row.digest, age_ms) {
                Ok(()) => count += 1,
                Err(error) => stored.note_fault(&format!("{KIND_PREFIX}{key}"), error),
            }
            self.stored.insert(key, row.wall_ms.min(wall_ms));
        }
        count
    }

    /// Returns the rows of the kinds that have changed most.
    pub(super) fn rows(
        &mut self,
        durations: &mut Durations,
        wall_ms: u64,
        allowance: &mut Allowance,
    ) -> Vec<Row> {
        let fits = |bytes| allowance.take(bytes + MAX_OVERHEAD_BYTES);
        let digests = durations.take_digests(fits).into_iter();
        let rows = digests.map(|digest| {
            let row = KindRow {
                wall_ms,
                digest: digest.value,
            };
            let key = format!("{KIND_PREFIX}{}", digest.key);
            self.stored.insert(digest.key, wall_ms);
            Row {
                key,
                value: row.encode_to_vec(),
            }
        });
        rows.collect()
    }

    /// Returns when the rows were stored, Unix milliseconds.
    pub(super) fn times(&self) -> impl Iterator<Item = u64> {
        self.stored.values().copied()
    }

    /// Forgets the oldest kinds beyond the limit; returns the keys of their rows.
    pub(super) fn limit(&mut self) -> Vec<String> {
        let surplus = self.stored.len().saturating_sub(MAX_KINDS);
        if surplus == 0 {
            return Vec::new();
        }
        let mut all: Vec<(&String, &u64)> = self.stored.iter().collect();
        all.sort_by_key(|(_, wall_ms)| **wall_ms);
        let oldest = all.into_iter().take(surplus);
        let oldest: Vec<String> = oldest.map(|(key, _)| key.clone()).collect();
        for key in &oldest {
            self.stored.remove(key);
        }
        let keys = oldest.iter();
        keys.map(|key| format!("{KIND_PREFIX}{key}")).collect()
    }
}
