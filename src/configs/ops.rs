//! Options of the operators' API.

use crate::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Options of the operators' API.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OpsConfig {
    /// The listen address of the entry process, `IP:port`.
    pub entry_listen: Name,
    /// The listen address of the placer process, `IP:port`.
    pub placer_listen: Name,
    /// The minimum level that is logged: error, warn, info, debug or trace.
    pub level: Name,
}

impl Default for OpsConfig {
    fn default() -> Self {
        Self {
            entry_listen: "127.0.0.1:7100".into(),
            placer_listen: "127.0.0.1:7200".into(),
            level: "info".into(),
        }
    }
}
