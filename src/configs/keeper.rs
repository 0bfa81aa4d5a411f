//! Options of the keeping of workers.

use serde::Deserialize;
use serde::Serialize;

/// Options of the keeping of workers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeeperConfig {
    /// The time between two syncs of a worker whose tasks all run.
    pub sync_ms: u64,
    /// The time between two syncs of a worker that prepares or stops a task.
    pub busy_ms: u64,
    /// The time between two syncs of a worker without tasks.
    pub idle_ms: u64,
    /// The time in which a worker must answer a sync.
    pub call_ms: u64,
    /// The lease of a task; a worker stops a task whose lease lapsed.
    pub lease_ms: u64,
    /// The silence after which a worker counts as lost.
    pub lost_ms: u64,
    /// The silence after which the tasks of a lost worker count as lapsed; more than `lease_ms`
    /// and `isolated_ms` together.
    pub lapse_ms: u64,
    /// The time without log and peers after which a VM stops renewing leases.
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
