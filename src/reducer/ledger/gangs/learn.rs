//! Learns the ratio of actual to declared run times, for each workspace and kind of work.

use crate::model::Job;
use crate::prelude::*;
use crate::reducer::ledger::pairs;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;

/// The ratio of actual to declared run time, in thousandths, of a job that ran as declared.
pub const RATIO_ONE: u64 = 1_000;
/// The largest ratio that is learned, in thousandths; a larger sample counts as this one.
pub const MAX_RATIO: u64 = 100_000;
/// The most pairs of workspace and kind that are remembered.
pub const MAX_LEARNED: usize = 4_096;
/// The divisor that gives the weight of the newest sample in the moving averages.
const DECAY: u64 = 4;

/// A workspace and a kind of work that it submits.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LearnKey {
    /// The workspace.
    pub workspace: Name,
    /// The kind of work.
    pub kind: Name,
}

/// The statistics of the run times of one workspace's kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ratio {
    /// The moving average of the ratio of actual to declared run time, in thousandths.
    pub mean: u64,
    /// The moving average of the distance of a sample from the mean, in thousandths.
    pub spread: u64,
    /// The number of finished gangs.
    pub count: u64,
}

/// The statistics of all run times.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Learned {
    #[serde(with = "pairs")]
    ratios: BTreeMap<LearnKey, Ratio>,
}

impl Learned {
    /// Adds the sample of a finished gang that ran for `run_ms`.
    pub(super) fn record(&mut self, job: &Job, run_ms: u64) {
        let key = key(job);
        if self.ratios.len() >= MAX_LEARNED && !self.ratios.contains_key(&key) {
            return;
        }
        let sample = run_ms.saturating_mul(RATIO_ONE) / job.run_ms.max(1);
        let sample = sample.min(MAX_RATIO);
        let ratio = self.ratios.entry(key).or_insert(Ratio {
            mean: sample,
            spread: sample / 2,
            count: 0,
        });
        let distance = sample.abs_diff(ratio.mean);
        ratio.mean = (ratio.mean * (DECAY - 1) + sample) / DECAY;
        ratio.spread = (ratio.spread * (DECAY - 1) + distance) / DECAY;
        ratio.count += 1;
    }

    /// Estimates the total run time of a gang in milliseconds; as declared if no gang finished.
    pub fn estimate_ms(&self, job: &Job) -> u64 {
        let mean = self.ratios.get(&key(job)).map_or(RATIO_ONE, |r| r.mean);
        job.run_ms.saturating_mul(mean) / RATIO_ONE
    }

    /// Returns a run time that a gang rarely exceeds, in milliseconds; `None` if no gang finished.
    pub fn bound_ms(&self, job: &Job) -> Option<u64> {
        let ratio = self.ratios.get(&key(job))?;
        let bound = ratio.mean + 2 * ratio.spread;
        Some(job.run_ms.saturating_mul(bound) / RATIO_ONE)
    }
}

fn key(job: &Job) -> LearnKey {
    LearnKey {
        workspace: job.workspace.clone(),
        kind: job.kind.clone(),
    }
}
