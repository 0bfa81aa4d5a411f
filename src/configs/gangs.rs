//! Options of gang scheduling.

use serde::Deserialize;
use serde::Serialize;

/// Options of gang scheduling.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GangsConfig {
    /// The interval between planning rounds, in milliseconds.
    pub plan_ms: u64,
    /// The waiting time after which a queued gang is raised by one priority, in milliseconds.
    pub age_ms: u64,
    /// The delay per rank after which the next VM proposes placements in place of a silent one, in
    /// milliseconds.
    pub rank_ms: u64,
    /// The maximum number of gangs that one round places.
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
