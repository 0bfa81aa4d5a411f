//! Predicts how long tasks work.
//!
//! Callers' estimates may be off by a factor of almost two, while tasks of one queue and image take
//! similar times: after a few completions, the distribution of past work is the better prediction.
//! Work is counted as on an upstream of usual speed, and as that of the whole gang where tasks only
//! progress together.

mod digest;
mod known;
pub(in crate::fleet) mod spread;

use super::as_ms;
use super::millis;
use crate::fleet::model::Step;
use crate::prelude::*;
pub(in crate::fleet) use known::Change;
use known::Known;
use known::Sample;
use spread::Spread;
use std::collections::HashMap;

/// The most kinds of task (queue, image, and whether they are gangs) whose durations are kept.
pub(in crate::fleet) const MAX_KINDS: usize = 1_024;
/// How far the wider group's prediction may move that of a kind with completions, as a binary
/// logarithm: an absurd estimate of a caller then has little effect.
const MAX_PULL: f64 = 1.0;
/// The steps of the search for the part of a distribution that a run has passed; 10 find it to a
/// thousandth.
const SEARCH_STEPS: u32 = 10;
/// The highest quantile, in percent: more cannot be told from 128 completions.
const MAX_PERCENTILE: u64 = 99;
/// The quantile of the median.
pub(in crate::fleet) const MEDIAN: f64 = 0.5;

/// Tasks that are expected to take equally long.
#[derive(Debug, Clone, Copy)]
pub(in crate::fleet) struct Kind<'a> {
    /// The queue.
    pub(in crate::fleet) queue: &'a Name,
    /// The workspace.
    pub(in crate::fleet) workspace: &'a Name,
    /// The step that the tasks belong to.
    pub(in crate::fleet) step: &'a Step,
}

/// How much is known of the work of a run that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::fleet) enum Outcome {
    /// It completed the work.
    Done,
    /// It was stopped or failed before.
    Cut,
}

/// The sound work of past runs, by queue and image.
#[derive(Debug, Clone)]
pub(in crate::fleet) struct Durations {
    /// The quantile that counts as the longest likely duration.
    longest: f64,
    /// By queue: single tasks, and gangs.
    queues: HashMap<Name, [Group; 2]>,
    /// How many kinds are kept.
    count: usize,
    /// Counts records; tells which kind was used last.
    clock: u64,
}

/// What is known of a queue's single tasks, or of its gangs.
#[derive(Debug, Clone, Default)]
struct Group {
    /// The work, as a multiple of the caller's estimate.
    errors: Spread,
    /// By image.
    kinds: HashMap<String, Known>,
}

impl Durations {
    /// Makes an empty one; `percentile` of a kind's durations counts as the longest likely one, in
    /// percent, and 0 uses the median for everything.
    pub(in crate::fleet) fn new(percentile: u64) -> Self {
        Self {
            longest: (millis(percentile.min(MAX_PERCENTILE)) / 100.0).max(MEDIAN),
            queues: HashMap::new(),
            count: 0,
            clock: 0,
        }
    }

    /// Records that a task, or a whole gang, worked for `ms` milliseconds of an upstream of usual
    /// speed; returns a change of the kind's work that this shows.
    pub(in crate::fleet) fn record(
        &mut self,
        kind: Kind<'_>,
        ms: u64,
        outcome: Outcome,
    ) -> Option<Change> {
        if outcome == Outcome::Cut && self.known(kind).is_none() {
            return None;
        }
        let step = kind.step;
        let sample = Sample {
            workspace: kind.workspace,
            estimate: estimate(step),
            work: millis(ms.max(1)).log2(),
            weight: if step.gang {
                1.0
            } else {
                // The tasks of one step are alike, and tell less than those of as many jobs.
                f64::from(step.count.max(1)).sqrt().recip()
            },
        };
        let group = self.group_mut(kind.queue, &step.image, step.gang);
        let known = group.kinds.get_mut(&step.image)?;
        match outcome {
            Outcome::Done => {
                let error = sample.work - sample.estimate;
                group.errors.add(error, sample.weight);
                known.complete(&sample)
            }
            Outcome::Cut => {
                known.cut(&sample);
                None
            }
        }
    }

    /// Returns the group of a kind, which it contains; the kind counts as used.
    fn group_mut(&mut self, queue: &Name, image: &str, gang: bool) -> &mut Group {
        let at = usize::from(gang);
        let groups = self.queues.get(queue);
        if !groups.is_some_and(|groups| groups[at].kinds.contains_key(image)) {
            self.make_room();
            self.count += 1;
        }
        self.clock += 1;
        let groups = self.queues.entry(queue.clone()).or_default();
        let known = groups[at].kinds.entry(image.to_owned()).or_default();
        known.used = self.clock;
        &mut groups[at]
    }

    /// Drops the kind that was recorded least recently if there are too many.
    fn make_room(&mut self) {
        if self.count < MAX_KINDS {
            return;
        }
        let groups = self.queues.iter().flat_map(|(queue, groups)| {
            let groups = groups.iter().enumerate();
            groups.map(move |(gang, group)| (queue, gang, group))
        });
        let all = groups.flat_map(|(queue, gang, group)| {
            let kinds = group.kinds.iter();
            kinds.map(move |(image, known)| (known.used, queue, gang, image))
        });
        let oldest = all.min_by_key(|(used, ..)| *used);
        let Some((queue, gang, image)) = oldest.map(|(_, q, gang, i)| (q.clone(), gang, i.clone()))
        else {
            return;
        };
        let Some(groups) = self.queues.get_mut(&queue) else {
            return;
        };
        groups[gang].kinds.remove(&image);
        self.count -= 1;
        if groups.iter().all(|group| group.kinds.is_empty()) {
            self.queues.remove(&queue);
        }
    }

    fn group(&self, kind: Kind<'_>) -> Option<&Group> {
        let groups = self.queues.get(kind.queue)?;
        groups.get(usize::from(kind.step.gang))
    }

    fn known(&self, kind: Kind<'_>) -> Option<&Known> {
        self.group(kind)?.kinds.get(&kind.step.image)
    }

    /// Predicts the remaining duration of a run that has worked for `worked_ms`, in milliseconds on
    /// an upstream of usual speed; the part `quantile` of such runs takes no longer.
    pub(in crate::fleet) fn rest_ms(&self, kind: Kind<'_>, worked_ms: u64, quantile: f64) -> u64 {
        let quantile = self.within(quantile);
        let outlook = self.outlook(kind);
        let worked = millis(worked_ms.max(1)).log2();
        if outlook.at(1.0) <= worked {
            // It has taken longer than all that are known; the longer it is over, the longer it is
            // expected to take.
            let over = worked_ms.saturating_sub(rounded(outlook.at(1.0)));
            return as_ms(millis(over.max(1)) * quantile / (1.0 - quantile));
        }
        let (mut passed, mut ahead) = (0.0, 1.0);
        for _ in 0..SEARCH_STEPS {
            let middle = f64::midpoint(passed, ahead);
            if outlook.at(middle) <= worked {
                passed = middle;
            } else {
                ahead = middle;
            }
        }
        // The share `ahead` is not passed yet: a completed part has no weight left.
        let wanted = ahead + (1.0 - ahead) * quantile;
        rounded(outlook.at(wanted)).saturating_sub(worked_ms)
    }

    /// Predicts a quantile of the duration of a task, or of a whole gang, in milliseconds on an
    /// upstream of usual speed; 0 stands for the median.
    pub(in crate::fleet) fn quantile_ms(&self, kind: Kind<'_>, quantile: f64) -> u64 {
        rounded(self.outlook(kind).at(self.within(quantile)))
    }

    /// Predicts the median of the duration of the longest task of a step, in milliseconds on
    /// upstreams of usual speed.
    pub(in crate::fleet) fn longest_ms(&self, kind: Kind<'_>) -> u64 {
        let tasks = if kind.step.gang { 1 } else { kind.step.count };
        let share = MEDIAN.powf(1.0 / f64::from(tasks.max(1)));
        self.quantile_ms(kind, share)
    }

    /// Returns the quantile that counts as the longest likely duration.
    pub(in crate::fleet) fn longest(&self) -> f64 {
        self.longest
    }

    /// Returns how many completions a prediction rests on, at most 128; several tasks of one step
    /// count less than as many jobs.
    pub(in crate::fleet) fn completions(&self, kind: Kind<'_>) -> f64 {
        self.known(kind).map_or(0.0, |known| known.spread.count())
    }

    fn within(&self, quantile: f64) -> f64 {
        if quantile > 0.0 {
            quantile.min(self.longest)
        } else {
            MEDIAN
        }
    }

    fn outlook(&self, kind: Kind<'_>) -> Outlook<'_> {
        let estimate = estimate(kind.step);
        let group = self.group(kind);
        let errors = group.map(|group| &group.errors);
        let wide = errors.map_or(0.0, Spread::width);
        let known = group.and_then(|group| group.kinds.get(&kind.step.image));
        let known = known.map(|known| {
            let shift = known.shift(kind.workspace, estimate);
            (&known.spread, shift, known.spread.trust(wide))
        });
        Outlook {
            estimate,
            errors: errors.map(|errors| (errors, errors.trust(0.0))),
            known,
        }
    }
}

/// The distribution of a kind's work for one workspace and estimate, as binary logarithms.
#[derive(Debug, Clone, Copy)]
struct Outlook<'a> {
    estimate: f64,
    /// The errors of estimates, and their weight.
    errors: Option<(&'a Spread, f64)>,
    /// The work of the kind, the difference of the workspace, and their weight.
    known: Option<(&'a Spread, f64, f64)>,
}

impl Outlook<'_> {
    fn at(&self, quantile: f64) -> f64 {
        let errors = self.errors.and_then(|(errors, trust)| {
            let error = errors.quantile(quantile)?;
            Some(error * trust)
        });
        let wide = self.estimate + errors.unwrap_or(0.0);
        let known = self.known.and_then(|(spread, shift, trust)| {
            let own = spread.quantile(quantile)? + shift;
            Some(own + (wide - own).clamp(-MAX_PULL, MAX_PULL) * (1.0 - trust))
        });
        known.unwrap_or(wide)
    }
}

/// Returns the binary logarithm of the caller's estimate, which counts as 49 days at most.
fn estimate(step: &Step) -> f64 {
    millis(step.estimate_ms.max(1)).log2()
}

/// Returns the milliseconds of a binary logarithm.
fn rounded(log: f64) -> u64 {
    as_ms(log.exp2() + 0.5)
}
