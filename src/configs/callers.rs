//! Options of the callers' API.

use crate::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Options of the callers' API.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallersConfig {
    /// The listen address of the callers' API, `IP:port`.
    pub listen: Name,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// The maximum number of concurrent calls.
    pub open_calls: u64,
    /// How long a leaving VM still accepts requests, so that the load balancer can notice.
    pub notice_ms: u64,
    /// How long a graceful stop waits at most for requests in progress.
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
