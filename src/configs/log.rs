//! Options of the connection to the platform's log.

use crate::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Options of the connection to the platform's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogConfig {
    /// The address of the log service, `IP:port`.
    pub addr: Name,
    /// The time in which the log must answer a call.
    pub call_ms: u64,
    /// The longest wait of a read for new records.
    pub poll_ms: u64,
    /// The most records of one read.
    pub page: u64,
    /// The time in which entries gather for one append.
    pub group_ms: u64,
    /// The most entries of one append.
    pub group_entries: u64,
    /// The wait before an uncertain append is settled.
    pub retry_ms: u64,
    /// The control records between two checkpoints.
    pub checkpoint_every: u64,
    /// The longest time between two checkpoints while records come.
    pub checkpoint_ms: u64,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            addr: "127.0.0.1:7900".into(),
            call_ms: 2_000,
            poll_ms: 1_000,
            page: 512,
            group_ms: 25,
            group_entries: 256,
            retry_ms: 200,
            checkpoint_every: 2_000,
            checkpoint_ms: 600_000,
        }
    }
}
