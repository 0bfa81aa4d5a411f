//! A runner's options, faults and counters.

use crate::fault_rate::FaultRate;
use crate::tally::Tally;
use std::collections::BTreeMap;
use trefoilgauge::prelude::Name;

/// The range of service times of a kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceTime {
    /// The shortest, in milliseconds.
    pub min_ms: u64,
    /// The longest, in milliseconds.
    pub max_ms: u64,
}

/// Options of a runner.
#[derive(Debug, Clone)]
pub struct RunnerOptions {
    /// Its name.
    pub name: Name,
    /// The limit on requests that run at once.
    pub slots: usize,
    /// The limit on open connections.
    pub connections: usize,
    /// The service time of a kind that is not in `service`.
    pub default_service: ServiceTime,
    /// The service time of each kind.
    pub service: BTreeMap<Name, ServiceTime>,
    /// The seed of service times and of faults that occur at random.
    pub seed: u64,
    /// Where executions are recorded; runners of a pool share it.
    pub tally: Tally,
}

impl Default for RunnerOptions {
    fn default() -> Self {
        Self {
            name: "runner-1".into(),
            slots: 8,
            connections: 60,
            default_service: ServiceTime {
                min_ms: 1,
                max_ms: 5,
            },
            service: BTreeMap::new(),
            seed: 1,
            tally: Tally::default(),
        }
    }
}

/// A runner's faults.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RunnerFaults {
    /// Whether new requests are refused because the runner is leaving; running ones complete.
    pub leaving: bool,
    /// Whether all calls block, `/health` included, until this is reset.
    pub frozen: bool,
    /// Whether every request fails at once with 500.
    pub failing: bool,
    /// The delay of every response after the request ran, in milliseconds.
    pub late_ms: u64,
    /// The additional delay of responses that `some_late` selects, in milliseconds.
    pub some_late_ms: u64,
    /// How often a response is delayed by `some_late_ms`.
    pub some_late: FaultRate,
    /// How often the connection closes after half of the response's body.
    pub truncate: FaultRate,
    /// How often the connection closes without a response after the request ran.
    pub break_after: FaultRate,
    /// How often the connection closes before the request runs.
    pub break_before: FaultRate,
    /// How often the response belongs to another request.
    pub foreign: FaultRate,
    /// The padding added to each response, in bytes.
    pub pad_bytes: usize,
}

/// A runner's counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunnerCounts {
    /// Requests that started to run.
    pub runs: u64,
    /// Requests refused because all slots were in use.
    pub busy: u64,
    /// Requests refused because the runner was leaving.
    pub leaving: u64,
    /// Requests that failed at once with 500.
    pub failed: u64,
    /// Responses that a fault changed, lost or delayed.
    pub faulty: u64,
    /// Requests that are running now.
    pub flight: usize,
    /// The most requests that ran at once.
    pub peak: usize,
}
