//! What is known of the work of one kind of task.

use super::super::as_ms;
use super::MEDIAN;
use super::spread::Point;
use super::spread::Spread;
use crate::prelude::*;

/// The most workspaces whose difference is kept per kind; the deployments have ten.
const MAX_SPACES: usize = 16;
/// The number of completions at which the difference of a workspace counts by half.
const EVEN_COUNT: f64 = 4.0;
/// The least weight of the newest completion in a mean, so that it follows changes.
const NEWEST_WEIGHT: f64 = 0.1;
/// The limits on a deviation that enters the mean of a workspace, as a binary logarithm: it is that
/// of the width of the kind's work, so that a tail of runs that take many times as long moves the
/// mean little.
const STEP_LIMITS: [f64; 2] = [0.25, 1.0];
/// Limit on the deviation of an estimate from the usual one of its workspace, as a binary
/// logarithm: callers' estimates are off by less than a factor of two.
const MAX_DEVIATION: f64 = 1.0;
/// The variance of estimates, as binary logarithms, below which they tell nothing.
const MIN_VARIANCE: f64 = 1e-4;
/// The number of completions at which the relation of work to estimates counts by half.
const EVEN_SLOPE_COUNT: f64 = 8.0;
/// The quantiles between which a kind's work usually is.
const USUAL_RANGE: [f64; 2] = [0.05, 0.95];
/// How far outside that range work has to be to show a change, as a binary logarithm: 15%, which
/// the speed of upstreams and the time of reports explain.
const RANGE_MARGIN: f64 = 0.2;
/// The completions outside the usual range, on one side, that show a change. A completion inside
/// takes two of them back, so that a tenth of long runs never adds up.
const CHANGE_COUNT: usize = 8;
/// The fewest completions that have a usual range.
const MIN_RANGE_COUNT: f64 = 5.0;
/// The completions that the work before a change counts for: fewer than a sixth of all that are
/// kept, so that it does not widen the middle of the distribution.
const PRIOR_COUNT: f64 = 1.0;

/// A run that ended; work and estimate are binary logarithms of milliseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sample<'a> {
    pub(super) workspace: &'a Name,
    pub(super) estimate: f64,
    pub(super) work: f64,
    /// How many completions it counts for.
    pub(super) weight: f64,
}

/// A change of a kind's work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::fleet) struct Change {
    /// The median before, in milliseconds.
    pub(in crate::fleet) before_ms: u64,
    /// The median now, in milliseconds.
    pub(in crate::fleet) after_ms: u64,
    /// How many completions show it.
    pub(in crate::fleet) completions: usize,
}

/// Completions outside the usual range.
#[derive(Debug, Clone)]
struct Outside {
    /// The usual range before them.
    range: [f64; 2],
    /// Whether they are above it.
    above: bool,
    /// Their work.
    work: Vec<f64>,
}

/// The work of a kind of task.
#[derive(Debug, Clone, Default)]
pub(super) struct Known {
    /// The work, less what the workspace and the estimate explain.
    pub(super) spread: Spread,
    /// When it was last recorded.
    pub(super) used: u64,
    /// By workspace, the one that was recorded last at the end.
    spaces: Vec<Space>,
    /// How far a longer estimate means longer work.
    slope: Slope,
    /// The mean of the callers' estimates.
    pub(super) estimate: f64,
    /// The completions since its digest was last taken.
    pub(super) untaken: f64,
    /// The last completions, if they were outside the usual range.
    outside: Option<Outside>,
}

/// How the tasks of a workspace differ from others of their kind.
#[derive(Debug, Clone)]
struct Space {
    name: Name,
    count: f64,
    /// The mean difference of its work.
    offset: f64,
    /// The mean of its estimates.
    estimate: f64,
}

impl Space {
    fn offset(&self) -> f64 {
        self.offset * self.count / (self.count + EVEN_COUNT)
    }

    /// Returns how far an estimate is from its usual ones.
    fn deviation(&self, estimate: f64) -> f64 {
        (estimate - self.estimate).clamp(-MAX_DEVIATION, MAX_DEVIATION)
    }
}

/// The regression of work on estimates.
#[derive(Debug, Clone, Copy, Default)]
struct Slope {
    count: f64,
    product: f64,
    square: f64,
}

impl Slope {
    fn add(&mut self, deviation: f64, work: f64, weight: f64) {
        let work = work.clamp(-MAX_DEVIATION, MAX_DEVIATION);
        self.count += weight;
        let part = newest_part(self.count, weight);
        self.product += (deviation * work - self.product) * part;
        self.square += (deviation * deviation - self.square) * part;
    }

    fn value(&self) -> f64 {
        let slope = (self.product / (self.square + MIN_VARIANCE)).clamp(0.0, 1.0);
        slope * self.count / (self.count + EVEN_SLOPE_COUNT)
    }
}

impl Known {
    /// Records a completion; returns a change that it shows.
    pub(super) fn complete(&mut self, sample: &Sample<'_>) -> Option<Change> {
        let &Sample {
            estimate,
            work,
            weight,
            ..
        } = sample;
        self.untaken += weight;
        let count = self.spread.count() + weight;
        self.estimate += (estimate - self.estimate) * newest_part(count, weight);
        let at = work - self.shift(sample.workspace, estimate);
        if self.has_changed(at, work) {
            return self.begin_again();
        }
        let usual = self.spread.quantile(MEDIAN);
        self.spread.add(at, weight);
        let slope = self.slope.value();
        let mut space = self.take_space(sample.workspace, estimate);
        space.count += weight;
        let part = newest_part(space.count, weight);
        if let Some(usual) = usual {
            let deviation = space.deviation(estimate);
            let own = work - usual - space.offset();
            self.slope.add(deviation, own, weight);
            let rest = work - usual - slope * deviation - space.offset;
            let [least, most] = STEP_LIMITS;
            let limit = self.spread.width().clamp(least, most);
            space.offset += rest.clamp(-limit, limit) * part;
        }
        space.estimate += (estimate - space.estimate) * part;
        self.spaces.push(space);
        None
    }

    /// Returns whether the last completions, with one of `work`, show a change; `at` is its work
    /// less what the workspace and the estimate explain.
    fn has_changed(&mut self, at: f64, work: f64) -> bool {
        let Some(range) = self
            .outside
            .as_ref()
            .map_or_else(|| self.usual_range(), |outside| Some(outside.range))
        else {
            return false;
        };
        let above = at > range[1];
        let inside = !above && at >= range[0];
        if inside {
            let outside = self.outside.as_mut();
            let left = outside.map_or(0, |outside| {
                let left = outside.work.len().saturating_sub(2);
                outside.work.truncate(left);
                left
            });
            if left == 0 {
                self.outside = None;
            }
            return false;
        }
        let outside = self.outside.get_or_insert(Outside {
            range,
            above,
            work: Vec::new(),
        });
        if outside.above != above {
            outside.above = above;
            outside.work.clear();
        }
        outside.work.push(work);
        outside.work.len() >= CHANGE_COUNT
    }

    fn usual_range(&self) -> Option<[f64; 2]> {
        if self.spread.count() < MIN_RANGE_COUNT {
            return None;
        }
        let [low, high] = USUAL_RANGE.map(|quantile| self.spread.quantile(quantile));
        Some([low? - RANGE_MARGIN, high? + RANGE_MARGIN])
    }

    /// Forgets all but the completions that show a change, and a prior.
    fn begin_again(&mut self) -> Option<Change> {
        let outside = self.outside.take()?;
        let before = self.spread.quantile(MEDIAN)?;
        self.spread.weaken(PRIOR_COUNT);
        for work in &outside.work {
            self.spread.add(*work, 1.0);
        }
        self.spaces.clear();
        self.slope = Slope::default();
        Some(Change {
            before_ms: as_ms(before.exp2()),
            after_ms: as_ms(self.spread.quantile(MEDIAN)?.exp2()),
            completions: outside.work.len(),
        })
    }

    /// Adds stored points that stand for `count` completions.
    pub(super) fn load(&mut self, points: Vec<Point>, count: f64, estimate: f64) {
        if self.spread.points().is_empty() {
            self.estimate = estimate;
        }
        self.spread.merge(points, count);
    }

    /// Records a run that ended before its work was done.
    pub(super) fn cut(&mut self, sample: &Sample<'_>) {
        let shift = self.shift(sample.workspace, sample.estimate);
        self.spread.add_bound(sample.work - shift, sample.weight);
    }

    /// Returns how much more than the kind's usual work is expected of a workspace with this
    /// estimate.
    pub(super) fn shift(&self, workspace: &Name, estimate: f64) -> f64 {
        let space = self.spaces.iter().rev().find(|s| s.name == *workspace);
        space.map_or(0.0, |space| {
            space.offset() + self.slope.value() * space.deviation(estimate)
        })
    }

    /// Takes out the entry of a workspace.
    fn take_space(&mut self, workspace: &Name, estimate: f64) -> Space {
        if let Some(at) = self.spaces.iter().position(|s| s.name == *workspace) {
            return self.spaces.remove(at);
        }
        if self.spaces.len() >= MAX_SPACES {
            self.spaces.remove(0);
        }
        Space {
            name: workspace.clone(),
            count: 0.0,
            offset: 0.0,
            estimate,
        }
    }
}

/// Returns the part by which a mean of `count` completions moves to the newest, which counts as
/// `weight`.
fn newest_part(count: f64, weight: f64) -> f64 {
    weight * count.recip().max(NEWEST_WEIGHT)
}
