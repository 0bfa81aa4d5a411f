//! An in-memory fake of the platform's log: streams with offsets, retention, outages and lost
//! answers.

use crate::prelude::*;
use crate::records::Batch;
use crate::reducer::ledger::Applied;
use crate::reducer::ledger::Ledger;
use crate::reducer::ledger::Staged;
use crate::reducer::ledger::StagedRecord;

/// One control record.
#[derive(Debug, Clone)]
pub struct Stored {
    /// When it can first be read, in milliseconds.
    pub at_ms: u64,
    /// Its content.
    pub batch: Batch,
}

/// One configuration record.
#[derive(Debug, Clone)]
pub struct Published {
    /// When it can first be read, in milliseconds.
    pub at_ms: u64,
    /// Its content.
    pub text: String,
}

/// The log, with the ledger that results from its whole control stream.
#[derive(Debug, Clone, Default)]
pub struct MemoryLog {
    /// The configuration stream.
    pub config: Vec<Published>,
    /// The control stream.
    pub control: Vec<Stored>,
    /// The completed checkpoints, the oldest first.
    pub checkpoints: Vec<Ledger>,
    /// The oldest control record that is kept.
    pub first: Offset,
    /// The oldest configuration record that is kept.
    pub first_cfg: Offset,
    /// Until when every call fails, in milliseconds.
    pub down_ms: u64,
    /// Until when calls are slow, in milliseconds.
    pub slow_ms: u64,
    /// How many of the next appends take effect but lose their answer.
    pub lost_answers: u32,
    /// The ledger after the whole control stream: the reference for the checks.
    pub reference: Ledger,
    staged: Staged,
}

impl MemoryLog {
    /// Publishes a configuration record.
    pub fn publish(&mut self, now_ms: u64, text: String) -> Offset {
        let offset = self.config.len() as Offset;
        self.staged.records.push_back(StagedRecord {
            offset,
            data: text.clone().into_bytes(),
        });
        self.staged.next = offset + 1;
        self.config.push(Published {
            at_ms: now_ms,
            text,
        });
        offset
    }

    /// Appends a control record, and returns the result of applying it to the reference ledger.
    pub fn append(&mut self, now_ms: u64, batch: Batch) -> Applied {
        let offset = self.control.len() as Offset;
        let applied = self.reference.apply(offset, &batch, &mut self.staged);
        self.control.push(Stored {
            at_ms: now_ms,
            batch,
        });
        applied
    }

    /// Returns whether calls fail now.
    pub fn is_down(&self, now_ms: u64) -> bool {
        now_ms < self.down_ms
    }

    /// Removes all records that the newest checkpoint covers, as retention does.
    ///
    /// Returns whether a control record was removed.
    pub fn expire(&mut self) -> bool {
        let Some(newest) = self.checkpoints.last() else {
            return false;
        };
        let gone = newest.next > self.first;
        self.first = self.first.max(newest.next);
        self.first_cfg = self.first_cfg.max(newest.catalog.next);
        gone
    }
}
