//! Inputs and actions of the election.

use super::LeadState;
use super::LeaderRow;
use super::Member;
use crate::fleet::ports::Rows;
use crate::fleet::ports::Terms;
use crate::fleet::row::Row;
use crate::prelude::*;

/// A VM that may lead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: Name,
    /// The address at which other VMs reach it.
    pub addr: String,
    /// A number that identifies its process.
    pub boot: u64,
    /// Its CPU share, in thousandths of a core.
    pub cpu_milli: u64,
}

/// What the VM that the area names as leader reports about itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// A number that identifies its process; 0 if not given.
    pub boot: u64,
    /// Whether it leads.
    pub leads: bool,
    /// The epoch for which it is loading the stored state; 0 if it is not.
    pub loading_epoch: u64,
    /// Whether the store has confirmed its lead lately, or responded to it while it loads.
    pub confirmed: bool,
    /// Whether it has chosen this VM as a deputy.
    pub deputy: bool,
    /// The largest CPU share of the VMs that could lead, in thousandths of a core; 0 if unknown.
    pub best_milli: u64,
}

/// How a connection ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkError {
    /// The connection was refused, or closed by the other end.
    Closed(String),
    /// The other end does not respond.
    Silent,
}

/// The outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It is stored.
    Stored,
    /// The area had changed; nothing was stored.
    Moved,
    /// The store declined it; nothing was stored.
    Declined,
    /// There was no response: it may have been stored, or may still be.
    Unknown,
}

/// An input of the election.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The whole area, or none if it could not be read.
    Read(Option<LeadState>),
    /// The rows after an offset; none if the store failed or has dropped them.
    Watched(Offset, Option<Rows>),
    /// The outcome of the last append, and how long it took in milliseconds.
    Wrote(Outcome, u64),
    /// The connection to the leader is open.
    Connected,
    /// The VM at its other end replied to a heartbeat.
    Heartbeat(Heartbeat),
    /// The connection was lost, or could not be opened.
    Lost(LinkError),
    /// This VM has loaded the stored state and now leads.
    Loaded,
    /// This VM could not load the stored state, or no longer leads.
    Ended,
    /// While this VM leads: the VM that is to lead after it, if there is one.
    Successor(Option<Member>),
    /// This process is shutting down.
    Shutdown,
    /// The time returned by [`Election::wake_at`](super::Election::wake_at) has come.
    Tick,
}

/// What the VM must do for the election.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the whole area.
    Read,
    /// Wait for rows after an offset; replaces an earlier wait.
    Watch(Offset),
    /// Append rows to the area.
    Write(Terms, Vec<Row>),
    /// Connect to the leader; replaces an earlier connection.
    Connect(LeaderRow),
    /// Close the connection to the leader.
    Disconnect,
    /// Load what earlier leaders stored, then lead in this epoch.
    Load(u64),
    /// Store all decisions made so far, then stop leading.
    Resign,
    /// Stop loading or leading at once, for this reason.
    Abort(&'static str),
}
