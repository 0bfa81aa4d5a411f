//! Options of the management of workers, in milliseconds.

use serde::Deserialize;
use serde::Serialize;

/// Options of the management of workers, in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeeperConfig {
    /// The sync interval of a worker whose tasks are all running.
    pub sync_ms: u64,
    /// The sync interval of a worker that is preparing or stopping a task.
    pub busy_ms: u64,
    /// The sync interval of a worker without tasks.
    pub idle_ms: u64,
    /// The time limit of a sync call.
    pub call_ms: u64,
    /// The lease of a task; a worker stops a task whose lease has expired.
    pub lease_ms: u64,
    /// How long a worker must be silent to count as lost.
    pub lost_ms: u64,
    /// How long a lost worker must be silent for its tasks to count as lapsed; at least
    /// `isolated_ms` plus `lease_ms`, as an isolated VM may renew leases for `isolated_ms`.
    pub lapse_ms: u64,
    /// How long a VM without contact to the log and its peers keeps renewing leases.
    pub isolated_ms: u64,
}

impl Default for KeeperConfig {
    fn default() -> Self {
        Self {
            sync_ms: 1_000,
            busy_ms: 200,
            idle_ms: 2_000,
            call_ms: 1_000,
            lease_ms: 10_000,
            lost_ms: 5_000,
            lapse_ms: 30_000,
            isolated_ms: 10_000,
        }
    }
}
