//! Options of the policy for gangs.

use serde::Deserialize;
use serde::Serialize;

/// Options of the policy for gangs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GangsConfig {
    /// The time between two rounds of planning when nothing changes.
    pub plan_ms: u64,
    /// The wait after which a queued gang gains a priority.
    pub age_ms: u64,
    /// The delay before the next VM in line proposes in place of a silent one.
    pub rank_ms: u64,
    /// The most gangs that one round places.
    pub batch: u64,
}

impl Default for GangsConfig {
    fn default() -> Self {
        Self {
            plan_ms: 1_000,
            age_ms: 600_000,
            rank_ms: 1_000,
            batch: 64,
        }
    }
}
