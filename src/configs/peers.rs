//! Options of the peers and of the list of VMs.

use crate::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Options of the peers and of the list of VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeersConfig {
    /// The address of the entry process for its peers, `IP:port`.
    pub entry_listen: Name,
    /// The address of the placer process for its peers, `IP:port`.
    pub placer_listen: Name,
    /// The address of the platform's list of VMs, `IP:port`.
    pub vms_addr: Name,
    /// The time between two reads of the list of VMs.
    pub vms_ms: u64,
    /// The time between two heartbeats.
    pub beat_ms: u64,
    /// The silence after which a peer counts as gone.
    pub silent_ms: u64,
}

impl Default for PeersConfig {
    fn default() -> Self {
        Self {
            entry_listen: "127.0.0.1:7300".into(),
            placer_listen: "127.0.0.1:7400".into(),
            vms_addr: "127.0.0.1:7901".into(),
            vms_ms: 500,
            beat_ms: 250,
            silent_ms: 1_500,
        }
    }
}
