//! Measures scheduling decisions and their cost by replaying traces with a virtual clock.

pub mod faults;
pub mod fleet;
pub mod measures;
pub mod policies;
pub mod replay;
pub mod report;
pub mod requests;
pub mod scale;
pub mod trace;
pub mod workers;

use crate::prelude::*;
use serde::Serialize;

/// The deployment whose sizes and workload a trace models.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Deployment {
    /// The Instituto, which gives completion time the greater weight.
    Instituto,
    /// Atlas Grille, which gives fragmentation the greater weight.
    Atlas,
}

/// The policy that places work in a replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Policy {
    /// The scheduler's own policy.
    Trefoil,
    /// First come, first fit: a gang that does not fit blocks those behind it.
    Fifo,
    /// First fit with backfill, without adjacency constraints.
    Backfill,
}

/// All policies, in the order of the report.
pub const POLICIES: [Policy; 3] = [Policy::Trefoil, Policy::Fifo, Policy::Backfill];

/// The completion times of one kind of work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// The kind.
    pub kind: Name,
    /// Whether gangs did the work, rather than requests.
    pub gang: bool,
    /// One time for each completed piece of work, in milliseconds.
    pub samples_ms: Vec<u64>,
}

/// The results of one policy on one part of a deployment's workload.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcome {
    /// The completion times, by kind.
    pub completions: Vec<Completion>,
    /// The time-weighted share of free accelerators that cannot serve the largest shape.
    pub fragmentation: Option<f64>,
    /// The share of time in which a guaranteed shape fits without stopping work, over all shapes.
    pub shape_fit: Option<f64>,
    /// The waits of urgent gangs for their start, in milliseconds.
    pub urgent_ms: Vec<u64>,
    /// For requests, the useful work at twice the capacity as a share of that at capacity; for
    /// gangs, the share of the held accelerator time that went into completed gangs.
    pub goodput: Option<f64>,
    /// Work whose final reply was a refusal.
    pub refused: u64,
    /// Work that was accepted and got no final reply.
    pub lost: u64,
    /// Non-idempotent work that ran twice.
    pub doubled: u64,
    /// Gangs that ran with only some of their members.
    pub partial: u64,
    /// Checks that found a guaranteed shape that could not be reclaimed.
    pub breaches: u64,
}

/// A part of a deployment's workload that can be replayed: the gangs or the requests.
pub trait Part {
    /// Replays the part's trace under `policy`; the same seed gives the same trace.
    fn replay(&self, deployment: Deployment, seed: u64, policy: Policy) -> Outcome;
}

/// Returns all parts; the report combines their outcomes.
pub fn parts() -> Vec<Box<dyn Part>> {
    vec![
        Box::new(replay::GangPart),
        Box::new(requests::Requests::default()),
    ]
}
