//! Options of the callers' interface.

use crate::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Options of the callers' interface.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallersConfig {
    /// The address for callers, `IP:port`.
    pub listen: Name,
    /// The largest request body, in bytes.
    pub body_bytes: u64,
    /// The most calls in progress at once.
    pub open_calls: u64,
    /// The time for which a leaving VM still accepts, so that the balancer notices first.
    pub notice_ms: u64,
    /// The longest time that a planned stop waits for requests in progress.
    pub drain_ms: u64,
}

impl Default for CallersConfig {
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:7000".into(),
            body_bytes: 1_048_576,
            open_calls: 2_048,
            notice_ms: 1_000,
            drain_ms: 60_000,
        }
    }
}
