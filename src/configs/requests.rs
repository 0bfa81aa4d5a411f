//! Options of the policy for requests.

use serde::Deserialize;
use serde::Serialize;

/// Options of the policy for requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestsConfig {
    /// The most requests that wait, for each kind.
    pub queue: u64,
    /// The VMs among which a runner's slots and connections are shared.
    pub fleet: u64,
    /// The VMs beyond `fleet` that a replacement may add.
    pub spare: u64,
    /// The share of the runners' time that each less pressing priority gets while it waits.
    pub patient_pct: u64,
    /// Retries allowed in percent of first tries.
    pub retry_pct: u64,
    /// The first cooldown of a failing upstream; it doubles with each.
    pub cool_ms: u64,
    /// The longest cooldown, in milliseconds.
    pub cool_most: u64,
    /// The longest wait for a claim to be read back.
    pub claim_ms: u64,
    /// The longest time of one try.
    pub try_ms: u64,
    /// The silence after which a connection to an upstream is doubted.
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
