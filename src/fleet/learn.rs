//! Predicts how long tasks take.
//!
//! Callers' estimates may be off by a factor of almost two, while tasks of one queue and image
//! behave alike: the mean of what was seen is the better guess from a few ends on.

use super::model::Step;
use crate::prelude::*;
use std::collections::HashMap;

/// The most kinds of task that are remembered.
const MAX_KINDS: usize = 1_024;
/// Ends from which on the mean counts as much as the estimate.
const TRUST_ENDS: f64 = 2.0;
/// The weight of the newest end once enough have been seen.
const NEWEST_WEIGHT: f64 = 0.05;

/// Durations seen, by queue and image.
#[derive(Debug, Clone, Default)]
pub(super) struct Durations {
    kinds: HashMap<Name, HashMap<String, Seen>>,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    count: f64,
    mean_ms: f64,
}

impl Durations {
    /// Records that a task worked for `ms`.
    pub(super) fn record(&mut self, queue: &Name, step: &Step, ms: u64) {
        let known: usize = self.kinds.values().map(HashMap::len).sum();
        if known >= MAX_KINDS && self.seen(queue, step).is_none() {
            return;
        }
        let images = self.kinds.entry(queue.clone()).or_default();
        let seen = images.entry(step.image.clone()).or_insert(Seen {
            count: 0.0,
            mean_ms: 0.0,
        });
        seen.count += 1.0;
        let weight = (1.0 / seen.count).max(NEWEST_WEIGHT);
        seen.mean_ms += (as_f64(ms) - seen.mean_ms) * weight;
    }

    fn seen(&self, queue: &Name, step: &Step) -> Option<&Seen> {
        self.kinds.get(queue)?.get(&step.image)
    }

    /// Predicts how long a task of `step` works, in milliseconds.
    pub(super) fn predict(&self, queue: &Name, step: &Step) -> u64 {
        let estimate = as_f64(step.estimate_ms.max(1));
        let Some(seen) = self.seen(queue, step) else {
            return step.estimate_ms.max(1);
        };
        let trust = seen.count / (seen.count + TRUST_ENDS);
        as_ms(seen.mean_ms * trust + estimate * (1.0 - trust))
    }
}

/// Durations here are far below 2^52 ms.
fn as_f64(ms: u64) -> f64 {
    u32::try_from(ms).map_or(f64::from(u32::MAX), f64::from)
}

/// Rounds down to whole milliseconds; negative and absurd values are cut.
fn as_ms(ms: f64) -> u64 {
    std::time::Duration::try_from_secs_f64((ms / 1_000.0).max(0.0)).map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
