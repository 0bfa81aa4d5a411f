//! The simulated store: rows under epochs, and the discovery feed.

use std::collections::BTreeMap;
use trefoilgauge::fleet::model::Listing;
use trefoilgauge::fleet::row::Row;
use trefoilgauge::fleet::token::EPOCH_STEP;
use trefoilgauge::prelude::*;

/// A change in discovery.
#[derive(Debug, Clone)]
pub(crate) enum Change {
    /// An entry was written.
    Listed(Listing),
    /// An entry was removed.
    Unlisted(Name),
}

/// The store.
#[derive(Debug, Default)]
pub(crate) struct Store {
    rows: BTreeMap<String, Vec<u8>>,
    epoch: u64,
    /// The number of the next append of this epoch.
    sequence: u64,
    /// The discovery entries, with the time of the last write.
    entries: BTreeMap<Name, (Listing, u64)>,
    pub(crate) feed: Vec<Change>,
}

impl Store {
    /// Returns the epoch in force.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Claims the next epoch.
    pub(crate) fn claim(&mut self) -> u64 {
        self.epoch += EPOCH_STEP;
        self.sequence = 0;
        self.epoch
    }

    /// Appends rows; returns whether the epoch is still in force. An append that is repeated takes
    /// effect once.
    pub(crate) fn append(&mut self, epoch: u64, sequence: u64, rows: &[Row]) -> bool {
        if epoch < self.epoch {
            return false;
        }
        if sequence < self.sequence || rows.is_empty() {
            return true;
        }
        assert_eq!(sequence, self.sequence, "appends of an epoch are in order");
        self.sequence += 1;
        for row in rows {
            if row.value.is_empty() {
                self.rows.remove(&row.key);
            } else {
                self.rows.insert(row.key.clone(), row.value.clone());
            }
        }
        true
    }

    /// Returns the newest rows.
    pub(crate) fn rows(&self) -> Vec<Row> {
        let rows = self.rows.iter().map(|(key, value)| Row {
            key: key.clone(),
            value: value.clone(),
        });
        rows.collect()
    }

    /// Writes a discovery entry.
    pub(crate) fn list(&mut self, now: u64, listing: Listing) {
        self.entries
            .insert(listing.id.clone(), (listing.clone(), now));
        self.feed.push(Change::Listed(listing));
    }

    /// Removes a discovery entry.
    pub(crate) fn unlist(&mut self, id: &Name) {
        if self.entries.remove(id).is_some() {
            self.feed.push(Change::Unlisted(id.clone()));
        }
    }

    /// Removes the entries that were last written before `oldest`.
    pub(crate) fn expire(&mut self, oldest: u64) {
        let old = self.entries.iter().filter(|(_, (_, at))| *at < oldest);
        let old: Vec<Name> = old.map(|(id, _)| id.clone()).collect();
        for id in old {
            self.unlist(&id);
        }
    }

    /// Returns all discovery entries.
    pub(crate) fn listings(&self) -> Vec<Listing> {
        let entries = self.entries.values();
        entries.map(|(listing, _)| listing.clone()).collect()
    }
}
