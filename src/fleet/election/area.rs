//! The rows of the store's `Lead` area, which records who leads.

use crate::fleet::ports::Rows;
use crate::fleet::row::Row;
use crate::fleet::token::EPOCH_STEP;
use crate::prelude::*;
use prost::Message;

/// The epoch of the first claim.
const FIRST_EPOCH: u64 = EPOCH_STEP;
const LEADER_KEY: &str = "leader";
const CHALLENGE_KEY: &str = "doubt";
const ANSWER_KEY: &str = "answer";
/// Limit on epochs and counts: they can be increased without overflow, and JSON represents them
/// exactly.
const MAX_COUNT: u64 = 1 << 53;

/// The row that names the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaderRow {
    /// The epoch, which is also the fencing token of rows, and the highest one of orders.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The VM's name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Where other VMs reach it.
    #[prost(string, tag = "3")]
    pub addr: String,
    /// A number that identifies the process.
    #[prost(uint64, tag = "4")]
    pub boot: u64,
    /// Whether this VM has given up the lead.
    #[prost(bool, tag = "5")]
    pub vacant: bool,
    /// The VM that is to claim the vacant lead; empty if none was chosen.
    #[prost(string, tag = "7")]
    pub successor: String,
    /// The leader before this one; none before the first change, and in rows of earlier builds.
    #[prost(message, optional, tag = "8")]
    pub before: Option<Predecessor>,
}

/// The leader before another one.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Predecessor {
    /// The VM's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Where other VMs reached it.
    #[prost(string, tag = "2")]
    pub addr: String,
    /// A number that identifies the process.
    #[prost(uint64, tag = "3")]
    pub boot: u64,
    /// Whether it had given up the lead before it was replaced.
    #[prost(bool, tag = "4")]
    pub vacant: bool,
}

impl Predecessor {
    /// Returns whether the process has ended, as its VM runs the one that started as `boot`: a VM runs
    /// one process at a time, which holds its address from its start to its end.
    pub fn is_replaced_by(&self, name: &str, addr: &str, boot: u64) -> bool {
        let known = boot != 0 && self.boot != 0;
        known && self.name == name && self.addr == addr && self.boot != boot
    }
}

impl LeaderRow {
    /// Returns whether the leader before this one has certainly ended, or there was none.
    pub fn follows_ended(&self) -> bool {
        match &self.before {
            Some(before) => {
                before.vacant || before.is_replaced_by(&self.name, &self.addr, self.boot)
            }
            None => self.epoch == FIRST_EPOCH,
        }
    }
}

/// A challenge or an answer: the number of the leader's answers in an epoch.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct EpochCount {
    /// The leader's epoch.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The number of answers so far.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

impl EpochCount {
    fn highest(&self) -> u64 {
        self.epoch.max(self.number)
    }
}

/// The state of the area as last read.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LeadState {
    /// The leader's row; none before the first claim.
    pub row: Option<LeaderRow>,
    /// The newest challenge to the leader, with the number of answers when it was written.
    pub challenge: Option<EpochCount>,
    /// The leader's newest answer to a challenge.
    pub answer: Option<EpochCount>,
    /// The offset after the last row.
    pub end: Offset,
}

impl LeadState {
    /// Decodes the whole area.
    pub fn read(rows: &Rows) -> Self {
        let mut lead = Self::default();
        lead.apply(rows);
        lead
    }

    /// Applies rows that follow what was read before.
    pub fn apply(&mut self, rows: &Rows) {
        for row in &rows.rows {
            match row.key.as_str() {
                LEADER_KEY => {
                    let leader = decode(row, |leader: &LeaderRow| leader.epoch);
                    self.row = leader.or(self.row.take());
                }
                CHALLENGE_KEY => {
                    self.challenge = decode(row, EpochCount::highest).or(self.challenge)
                }
                ANSWER_KEY => self.answer = decode(row, EpochCount::highest).or(self.answer),
                _ => {}
            }
        }
        self.end = rows.end;
    }

    /// Returns the epoch of the newest claim; 0 before the first.
    pub fn epoch(&self) -> u64 {
        self.row.as_ref().map_or(0, |row| row.epoch)
    }

    /// Returns the number of challenges that the leader has answered in its epoch.
    pub fn answers(&self) -> u64 {
        self.answer
            .filter(|answer| answer.epoch == self.epoch())
            .map_or(0, |answer| answer.number)
    }

    /// Returns whether a challenge to the leader is unanswered.
    pub fn is_challenged(&self) -> bool {
        self.challenge.is_some_and(|challenge| {
            challenge.epoch == self.epoch() && challenge.number >= self.answers()
        })
    }

    /// Makes the row that challenges the leader to show that it is alive.
    pub(super) fn challenge_row(&self) -> Row {
        let count = EpochCount {
            epoch: self.epoch(),
            number: self.answers(),
        };
        encode(CHALLENGE_KEY, &count)
    }

    /// Makes the row with which the leader answers all challenges so far.
    pub(super) fn answer_row(&self) -> Row {
        let challenge = self
            .challenge
            .filter(|challenge| challenge.epoch == self.epoch())
            .map_or(0, |challenge| challenge.number);
        let count = EpochCount {
            epoch: self.epoch(),
            number: self.answers().max(challenge) + 1,
        };
        encode(ANSWER_KEY, &count)
    }
}

/// Makes the row that names the leader.
pub(super) fn leader_row(row: &LeaderRow) -> Row {
    encode(LEADER_KEY, row)
}

fn encode(key: &str, message: &impl Message) -> Row {
    Row {
        key: key.to_owned(),
        value: message.encode_to_vec(),
    }
}

/// Decodes a row; none if it is invalid, or if `count` returns a count that is too high.
fn decode<T: Message + Default>(row: &Row, count: impl Fn(&T) -> u64) -> Option<T> {
    let decoded = T::decode(&*row.value).map_err(|error| error.to_string());
    let decoded = decoded.and_then(|decoded| match count(&decoded) {
        1..MAX_COUNT => Ok(decoded),
        count => Err(format!("{count} is no epoch or count")),
    });
    decoded
        .inspect_err(|error| {
            log::warn!(
                "TG1311 row {:?} of the lead area cannot be decoded, keeping the previous value: {error}",
                row.key
            );
        })
        .ok()
}
