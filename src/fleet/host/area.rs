//! The rows of the area that says who leads.

use crate::fleet::ports::Rows;
use crate::prelude::*;
use prost::Message;

pub(super) const LEADER_KEY: &str = "leader";
pub(super) const DOUBT_KEY: &str = "doubt";

/// Who leads, as the store says.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct LeadRow {
    /// The epoch, which fences.
    #[prost(uint64, tag = "1")]
    pub(super) epoch: u64,
    /// The VM.
    #[prost(string, tag = "2")]
    pub(super) name: String,
    /// Where other VMs reach it.
    #[prost(string, tag = "3")]
    pub(super) addr: String,
    /// The start of its process.
    #[prost(uint64, tag = "4")]
    pub(super) boot: u64,
    /// Whether it has given up the lead.
    #[prost(bool, tag = "5")]
    pub(super) vacant: bool,
    /// Counts its answers to challenges.
    #[prost(uint64, tag = "6")]
    pub(super) beat: u64,
}

/// The area as last read.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Lead {
    pub(super) row: Option<LeadRow>,
    pub(super) doubted: bool,
    pub(super) end: Offset,
}

/// Applies rows of the area to what was read before.
pub(super) fn read_lead(rows: &Rows, mut lead: Lead) -> Lead {
    for row in &rows.rows {
        if row.key == DOUBT_KEY {
            lead.doubted = true;
        }
        if row.key != LEADER_KEY {
            continue;
        }
        match LeadRow::decode(&*row.value) {
            Ok(found) => lead.row = Some(found),
            Err(error) => log::warn!("TG1311 the leader's row cannot be decoded: {error}"),
        }
    }
    lead.end = rows.end;
    lead
}
