//! Learns how far the declared run times of a workspace's kind of work are off.

use crate::model::Job;
use crate::prelude::*;
use crate::reducer::ledger::pairs;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;

/// The ratio of true to declared run time that stands for "as declared".
pub const RATIO_ONE: u64 = 1_000;
/// The largest ratio that is learned.
pub const RATIO_MAX: u64 = 100_000;
/// The most pairs of workspace and kind that are remembered.
pub const LEARNED_MAX: usize = 4_096;
/// The share of the newest sample in the average, as a divisor.
const DECAY: u64 = 4;

/// A workspace's kind of work.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LearnKey {
    /// The workspace.
    pub workspace: Name,
    /// The kind of work.
    pub kind: Name,
}

/// What is known of the run times of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ratio {
    /// The decayed mean of true to declared run time, in thousandths.
    pub mean: u64,
    /// The decayed mean distance of a sample from the mean, in thousandths.
    pub spread: u64,
    /// How many gangs finished.
    pub count: u64,
}

/// What is known of all run times.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Learned {
    #[serde(with = "pairs")]
    ratios: BTreeMap<LearnKey, Ratio>,
}

impl Learned {
    /// Takes in a finished gang that ran for `run_ms`.
    pub(super) fn finish(&mut self, job: &Job, run_ms: u64) {
        let key = key(job);
        if self.ratios.len() >= LEARNED_MAX && !self.ratios.contains_key(&key) {
            return;
        }
        let sample = run_ms.saturating_mul(RATIO_ONE) / job.run_ms.max(1);
        let sample = sample.min(RATIO_MAX);
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

    /// Estimates the whole run time of a gang in milliseconds; as declared if none finished.
    pub fn estimate_ms(&self, job: &Job) -> u64 {
        let mean = self.ratios.get(&key(job)).map_or(RATIO_ONE, |r| r.mean);
        job.run_ms.saturating_mul(mean) / RATIO_ONE
    }

    /// Returns a run time that a gang passes seldom, in milliseconds; nothing if none finished.
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
