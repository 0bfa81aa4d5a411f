//! The ledger: the state machine that is replicated through the log.
//!
//! [`Ledger::apply`] is a pure function of the control records and of the configuration records
//! that they put in force, so two VMs at the same offset hold the same state.

pub mod catalog;
pub mod change;
pub mod claims;
pub mod fleet;
pub mod gangs;
pub mod pairs;
mod references;

use crate::prelude::*;
use crate::records::Batch;
use crate::records::BatchId;
use crate::records::Entry;
use crate::records::Verdict;
use crate::records::Void;
use catalog::Catalog;
use catalog::ChangeVerdict;
use claims::Claims;
use fleet::Fleet;
use gangs::Gangs;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::VecDeque;

/// The most by which one record advances the ledger's clock, in milliseconds.
pub const MAX_CLOCK_STEP_MS: u64 = 60_000;
/// How long a writer is remembered after its last batch, in milliseconds.
pub const WRITER_TTL_MS: u64 = 86_400_000;

/// Where and by whom an entry was recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// The control offset of its batch.
    pub offset: Offset,
    /// The batch's identifier.
    pub id: BatchId,
    /// The configuration offset in force.
    pub cfg: Offset,
    /// The ledger's clock, in milliseconds of wall time.
    pub at_ms: u64,
    /// The writer's wall time in milliseconds, towards which the ledger's clock advances by at most
    /// [`MAX_CLOCK_STEP_MS`] a record.
    pub stamp_ms: u64,
}

/// An entry with the verdict on it.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryVerdict {
    /// Where it was recorded.
    pub origin: Origin,
    /// The entry.
    pub entry: Entry,
    /// Whether it took effect; if not, the reason.
    pub verdict: Verdict,
}

/// The results of applying one control record.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Applied {
    /// The configuration changes that it put in force or refused.
    pub changes: Vec<ChangeVerdict>,
    /// The verdicts on its entries.
    pub verdicts: Vec<EntryVerdict>,
    /// The jobs whose gang changed its phase.
    pub phase_changes: Vec<Name>,
}

/// The last batch of one writer, by which repeated batches are recognised.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Writer {
    boot: u64,
    seq: u64,
    at_ms: u64,
}

/// Configuration records that were read and are not in force yet.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Staged {
    /// The records, by offset.
    pub records: VecDeque<StagedRecord>,
    /// The next configuration offset to read.
    pub next: Offset,
}

/// One configuration record that is not in force yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StagedRecord {
    /// Its offset.
    pub offset: Offset,
    /// Its content.
    pub data: Vec<u8>,
}

/// The state after applying a prefix of the log.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// The next control offset to apply.
    pub next: Offset,
    /// The ledger's clock in milliseconds of wall time: the highest timestamp of a batch, to which
    /// each record advances it by at most [`MAX_CLOCK_STEP_MS`]; never goes back.
    pub clock_ms: u64,
    /// The configuration in force.
    pub catalog: Catalog,
    /// The claims of non-idempotent requests.
    pub claims: Claims,
    /// The gangs.
    pub gangs: Gangs,
    /// The workers.
    pub fleet: Fleet,
    writers: BTreeMap<Name, Writer>,
}

impl Ledger {
    /// Returns whether the configuration that `batch` needs has been read.
    pub fn can_apply(&self, staged: &Staged, batch: &Batch) -> bool {
        batch.cfg <= self.catalog.next.max(staged.next)
    }

    /// Applies the control record at `offset`.
    ///
    /// A record below the next offset is ignored. Once a configuration record has a newer schema
    /// than this version supports, entries get no more verdicts: VMs of a newer version may decide
    /// them differently.
    pub fn apply(&mut self, offset: Offset, batch: &Batch, staged: &mut Staged) -> Applied {
        let mut applied = Applied::default();
        if offset < self.next {
            return applied;
        }
        self.next = offset + 1;
        self.advance_clock(batch.at_ms);
        applied.changes = self.apply_config(batch.cfg, staged);
        if self.catalog.too_new.is_some() {
            return applied;
        }
        let origin = Origin {
            offset,
            id: batch.id.clone(),
            cfg: self.catalog.next,
            at_ms: self.clock_ms,
            stamp_ms: batch.at_ms,
        };
        let fresh = self.record_batch(&batch.id);
        for entry in &batch.entries {
            let verdict = match fresh {
                true => self.apply_entry(&origin, entry, &mut applied.phase_changes),
                false => Err(Void::Repeated),
            };
            applied.verdicts.push(EntryVerdict {
                origin: origin.clone(),
                entry: entry.clone(),
                verdict,
            });
        }
        self.claims.expire(self.clock_ms);
        self.gangs.prune_ended();
        applied
    }

    /// Skips a control record that cannot be decoded.
    pub fn skip(&mut self, offset: Offset) {
        self.next = self.next.max(offset + 1);
    }

    /// Returns a hash of the whole state, by which VMs compare their ledgers.
    pub fn digest(&self) -> u64 {
        let text = serde_json::to_vec(self).unwrap_or_default();
        xxhash_rust::xxh3::xxh3_64(&text)
    }

    fn advance_clock(&mut self, stamp_ms: u64) {
        let limit_ms = match self.clock_ms {
            0 => stamp_ms,
            clock_ms => clock_ms + MAX_CLOCK_STEP_MS,
        };
        self.clock_ms = self.clock_ms.max(stamp_ms.min(limit_ms));
    }

    fn apply_config(&mut self, cfg: Offset, staged: &mut Staged) -> Vec<ChangeVerdict> {
        let mut changes = Vec::new();
        while let Some(record) = staged.records.front() {
            if record.offset >= cfg {
                break;
            }
            if record.offset >= self.catalog.next && self.catalog.too_new.is_none() {
                let view = catalog::View {
                    fleet: &self.fleet,
                    gangs: &self.gangs,
                };
                changes.push(self.catalog.apply(record, self.next - 1, &view));
                self.fleet.update(&self.catalog);
                gangs::update_standing(self);
            }
            staged.records.pop_front();
        }
        self.catalog.next = self.catalog.next.max(cfg);
        changes
    }

    fn record_batch(&mut self, id: &BatchId) -> bool {
        let horizon_ms = self.clock_ms.saturating_sub(WRITER_TTL_MS);
        self.writers.retain(|_, last| last.at_ms >= horizon_ms);
        let last = self.writers.entry(id.writer.clone()).or_insert(Writer {
            boot: 0,
            seq: 0,
            at_ms: 0,
        });
        let fresh = id.boot > last.boot || (id.boot == last.boot && id.seq > last.seq);
        if fresh {
            *last = Writer {
                boot: id.boot,
                seq: id.seq,
                at_ms: self.clock_ms,
            };
        }
        fresh
    }

    fn apply_entry(&mut self, origin: &Origin, entry: &Entry, changed: &mut Vec<Name>) -> Verdict {
        match entry {
            Entry::Claim { .. } | Entry::Settle { .. } => {
                self.claims.apply(origin, entry, &self.catalog)
            }
            Entry::Worker {
                worker,
                state,
                reason,
            } => {
                self.fleet.set_state(worker, *state, reason, origin)?;
                gangs::stop_on_loss(self, origin, worker, changed);
                Ok(())
            }
            _ => gangs::apply(self, origin, entry, changed),
        }
    }
}
