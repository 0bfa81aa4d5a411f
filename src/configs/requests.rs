//! Options of request scheduling.

use serde::Deserialize;
use serde::Serialize;

/// Options of request scheduling.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestsConfig {
    /// The maximum number of queued requests per kind.
    pub queue: u64,
    /// The number of VMs that share a runner's slots and connections.
    pub fleet: u64,
    /// The number of VMs by which a replacement may temporarily exceed `fleet`.
    pub spare: u64,
    /// The share of the runners' time that each lower priority gets while it has requests waiting, in
    /// percent.
    pub patient_pct: u64,
    /// The retry budget, in percent of first attempts.
    pub retry_pct: u64,
    /// The first cooldown of a failing upstream, in milliseconds; each further one doubles.
    pub cool_ms: u64,
    /// The maximum cooldown, in milliseconds.
    pub cool_most: u64,
    /// How long a claim may take to be read back from the log, in milliseconds.
    pub claim_ms: u64,
    /// The time limit of one attempt, in milliseconds.
    pub try_ms: u64,
    /// How long a connection to an upstream may be silent before it is suspected to be dead, in
    /// milliseconds.
    pub liveness_ms: u64,
}

impl Default for RequestsConfig {
    fn default() -> Self {
        Self {
            queue: 512,
            fleet: 7,
            spare: 2,
            patient_pct: 20,
            retry_pct: 10,
            cool_ms: 500,
            cool_most: 30_000,
            claim_ms: 3_000,
            try_ms: 60_000,
            liveness_ms: 2_000,
        }
    }
}
