//! Options of the peers and of the list of VMs.

use crate::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Options of the peers and of the list of VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeersConfig {
    /// The entry process's listen address for peers, `IP:port`.
    pub entry_listen: Name,
    /// The placer process's listen address for peers, `IP:port`.
    pub placer_listen: Name,
    /// The address of the service with the platform's list of VMs, `IP:port`.
    pub vms_addr: Name,
    /// The polling interval of the list of VMs, in milliseconds.
    pub vms_ms: u64,
    /// The heartbeat interval, in milliseconds.
    pub beat_ms: u64,
    /// How long a peer must be silent to count as lost, in milliseconds.
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
