//! What a runner has, how it fails, and what it counts.

use crate::fault_rate::FaultRate;
use crate::tally::Tally;
use std::collections::BTreeMap;
use trefoilgauge::prelude::Name;

/// The least and the longest service time of a kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceTime {
    /// The least, in milliseconds.
    pub min_ms: u64,
    /// The longest, in milliseconds.
    pub max_ms: u64,
}

/// Options of a runner.
#[derive(Debug, Clone)]
pub struct RunnerOptions {
    /// Its name.
    pub name: Name,
    /// The requests that it serves at once.
    pub slots: usize,
    /// The connections that it accepts.
    pub connections: usize,
    /// The service time of a kind that `service` does not name.
    pub ordinary: ServiceTime,
    /// The service time of each kind.
    pub service: BTreeMap<Name, ServiceTime>,
    /// The seed of service times and of faults that strike a share of the requests.
    pub seed: u64,
    /// Where executions are counted; runners of a pool share it.
    pub tally: Tally,
}

impl Default for RunnerOptions {
    fn default() -> Self {
        Self {
            name: "runner-1".into(),
            slots: 8,
            connections: 60,
            ordinary: ServiceTime {
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
    /// Whether new requests are refused as it is leaving; those that run are completed.
    pub leaving: bool,
    /// Whether nothing is answered, `/health` included, until this is set back.
    pub frozen: bool,
    /// Whether every request fails at once with 500.
    pub failing: bool,
    /// The delay of each answer after the request ran, in milliseconds.
    pub late_ms: u64,
    /// The delay of each answer that `late` strikes, in milliseconds.
    pub some_late_ms: u64,
    /// How often an answer is late by `some_late_ms`.
    pub some_late: FaultRate,
    /// How often half of the answer's body is sent before the connection ends.
    pub truncate: FaultRate,
    /// How often the connection ends without an answer after the request ran.
    pub break_after: FaultRate,
    /// How often the connection ends before the request runs.
    pub break_before: FaultRate,
    /// How often the answer is that to another request.
    pub foreign: FaultRate,
    /// Bytes that are added to each answer.
    pub pad_bytes: usize,
}

/// What a runner counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunnerCounts {
    /// Requests that began to run.
    pub runs: u64,
    /// Requests over the slots.
    pub busy: u64,
    /// Requests refused as it is leaving.
    pub leaving: u64,
    /// Requests that failed at once.
    pub failed: u64,
    /// Answers that a fault changed, lost or made late.
    pub faulty: u64,
    /// The requests that run now.
    pub flight: usize,
    /// The most requests that ran at once.
    pub peak: usize,
}
