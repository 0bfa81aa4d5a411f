//! The rows of the area that tells who leads.

use crate::fleet::ports::Rows;
use crate::fleet::row::Row;
use crate::prelude::*;
use prost::Message;

const LEADER_KEY: &str = "leader";
const DOUBT_KEY: &str = "doubt";
const ANSWER_KEY: &str = "answer";

/// The leader, as the store names it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeadRow {
    /// The epoch: the fencing token of rows and orders.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The VM.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Where other VMs reach it.
    #[prost(string, tag = "3")]
    pub addr: String,
    /// Identifies the process.
    #[prost(uint64, tag = "4")]
    pub boot: u64,
    /// Whether it has given up the lead.
    #[prost(bool, tag = "5")]
    pub vacant: bool,
    /// The VM that is to take a lead that was given up, if one was chosen.
    #[prost(string, tag = "7")]
    pub successor: String,
}

/// Counts doubts, or answers, within an epoch.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Count {
    /// The epoch of the leader.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The answers so far.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// The area as last read.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Lead {
    /// The leader, unless there never was one.
    pub row: Option<LeadRow>,
    /// The newest doubt that the leader lives: how many were answered when it was written.
    pub doubt: Option<Count>,
    /// The leader's newest answer to a doubt.
    pub answer: Option<Count>,
    /// The offset after the last row.
    pub end: Offset,
}

impl Lead {
    /// Reads the whole area.
    pub fn read(rows: &Rows) -> Self {
        let mut lead = Self::default();
        lead.apply(rows);
        lead
    }

    /// Applies rows that follow what was read before.
    pub fn apply(&mut self, rows: &Rows) {
        for row in &rows.rows {
            match row.key.as_str() {
                LEADER_KEY => self.row = decode(row).or(self.row.take()),
                DOUBT_KEY => self.doubt = decode(row).or(self.doubt),
                ANSWER_KEY => self.answer = decode(row).or(self.answer),
                _ => {}
            }
        }
        self.end = rows.end;
    }

    /// Returns the epoch of the newest claim; 0 before the first.
    pub fn epoch(&self) -> u64 {
        self.row.as_ref().map_or(0, |row| row.epoch)
    }

    /// Counts the doubts that the leader has answered.
    pub fn answers(&self) -> u64 {
        self.answer
            .filter(|answer| answer.epoch == self.epoch())
            .map_or(0, |answer| answer.number)
    }

    /// Tells whether a doubt about the leader has no answer.
    pub fn is_doubted(&self) -> bool {
        self.doubt
            .is_some_and(|doubt| doubt.epoch == self.epoch() && doubt.number >= self.answers())
    }

    /// Makes the row of a doubt that the leader lives.
    pub(super) fn doubt_row(&self) -> Row {
        let count = Count {
            epoch: self.epoch(),
            number: self.answers(),
        };
        encode(DOUBT_KEY, &count)
    }

    /// Makes the row of the leader's answer to all doubts so far.
    pub(super) fn answer_row(&self) -> Row {
        let count = Count {
            epoch: self.epoch(),
            number: self.answers() + 1,
        };
        encode(ANSWER_KEY, &count)
    }
}

/// Makes the row that names the leader.
pub(super) fn leader_row(row: &LeadRow) -> Row {
    encode(LEADER_KEY, row)
}

fn encode(key: &str, message: &impl Message) -> Row {
    Row {
        key: key.to_owned(),
        value: message.encode_to_vec(),
    }
}

fn decode<T: Message + Default>(row: &Row) -> Option<T> {
    T::decode(&*row.value)
        .inspect_err(|error| {
            log::warn!(
                "TG1311 row {:?} of the lead's area cannot be decoded, the last one stays: {error}",
                row.key
            );
        })
        .ok()
}
