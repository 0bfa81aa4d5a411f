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
    /// The time limit of a call, in milliseconds.
    pub call_ms: u64,
    /// How long a read waits at most for new records, in milliseconds.
    pub poll_ms: u64,
    /// The maximum number of records per read.
    pub page: u64,
    /// How long entries are collected into one batch, in milliseconds.
    pub group_ms: u64,
    /// The maximum number of entries per batch.
    pub group_entries: u64,
    /// The delay before the log is read to find out whether a failed append took effect, in
    /// milliseconds.
    pub retry_ms: u64,
    /// The number of control records between checkpoints.
    pub checkpoint_every: u64,
    /// The maximum time between checkpoints while records arrive, in milliseconds.
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
