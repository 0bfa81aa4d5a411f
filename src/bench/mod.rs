//! Measures the decisions and their cost by replays with a virtual clock.

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

/// Whose sizes and work a trace follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Deployment {
    /// The Instituto, which weighs completion time.
    Instituto,
    /// Atlas Grille, which weighs fragmentation.
    Atlas,
}

/// Which policy decides in a replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Policy {
    /// The project's own.
    Trefoil,
    /// First come, first fit.
    Fifo,
    /// First come, first fit, with backfill and without adjacency.
    Backfill,
}

/// All policies, in the order of the report.
pub const POLICIES: [Policy; 3] = [Policy::Trefoil, Policy::Fifo, Policy::Backfill];

/// The completion times of one kind of work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// The kind.
    pub kind: Name,
    /// Whether it was done by gangs.
    pub gang: bool,
    /// One time for each completed piece of work, in milliseconds.
    pub samples_ms: Vec<u64>,
}

/// What one policy did with one part of a deployment's work.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcome {
    /// The completion times, by kind.
    pub completions: Vec<Completion>,
    /// The time-weighted share of free accelerators that cannot serve the largest shape.
    pub fragmentation: Option<f64>,
    /// The share of time in which a guaranteed shape fits with no stop, over all shapes.
    pub shape_fit: Option<f64>,
    /// The waits of urgent gangs for their start, in milliseconds.
    pub urgent_ms: Vec<u64>,
    /// The useful share: of the answers at capacity or of the accelerator time held.
    pub goodput: Option<f64>,
    /// Work that was refused truthfully.
    pub refused: u64,
    /// Work that was accepted and got no final answer.
    pub lost: u64,
    /// Non-idempotent work that ran twice.
    pub doubled: u64,
    /// Gangs that ran on some of their members only.
    pub partial: u64,
    /// Times at which a guaranteed shape could not be reclaimed.
    pub breaches: u64,
}

/// A part of a deployment's work that can be replayed: the gangs or the requests.
pub trait Part {
    /// Replays the part's trace under `policy`; the same seed gives the same trace.
    fn replay(&self, deployment: Deployment, seed: u64, policy: Policy) -> Outcome;
}

/// Returns all parts, whose outcomes the report puts together.
pub fn parts() -> Vec<Box<dyn Part>> {
    vec![
        Box::new(replay::GangPart),
        Box::new(requests::Requests::default()),
    ]
}
