//! A distribution of durations, as a bounded list of weighted points on a logarithmic scale.
//!
//! Points keep the exact duration where all runs take equally long, and cost less memory than the
//! buckets of a histogram, which spans ten orders of magnitude for the few that a kind uses. Counts
//! of a histogram are whole numbers, whereas decay and censored runs need fractions.

/// The most points of a distribution.
pub(in crate::fleet) const MAX_POINTS: usize = 48;
/// The most completions that count: the distribution follows a gradual change within this many,
/// and still has four of them in a tail of 3 in 100.
pub(in crate::fleet) const MAX_COUNT: f64 = 128.0;
/// The distance within which durations share a point, as a binary logarithm: 4%.
const NEAR: f64 = 1.0 / 16.0;
/// The weight below which a point is dropped.
const MIN_WEIGHT: f64 = 0.01;
/// The number of completions at which they weigh as much as a wider group of the same width.
const EVEN_COUNT: f64 = 2.0;
/// The quantiles of the middle two thirds: a standard deviation to both sides of the mean, unmoved by
/// a tail.
const MIDDLE: [f64; 2] = [1.0 / 6.0, 5.0 / 6.0];

/// Runs that took about equally long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(in crate::fleet) struct Point {
    /// The mean of the binary logarithms of their durations.
    pub(in crate::fleet) at: f64,
    /// How many they are, decayed.
    pub(in crate::fleet) weight: f64,
    /// The weight of all points up to this one.
    upto: f64,
}

impl Point {
    /// Makes a point.
    pub(in crate::fleet) fn new(at: f64, weight: f64) -> Self {
        Self {
            at,
            weight,
            upto: 0.0,
        }
    }
}

/// A distribution of binary logarithms.
#[derive(Debug, Clone, Default)]
pub(in crate::fleet) struct Spread {
    /// In ascending order.
    points: Vec<Point>,
    count: f64,
    /// The width of the middle two thirds.
    width: f64,
}

impl Spread {
    /// Records a completion that counts as `weight`.
    pub(in crate::fleet) fn add(&mut self, at: f64, weight: f64) {
        self.merge([Point::new(at, weight)], weight);
    }

    /// Records a run that did not complete, and would have taken longer than `bound`: its `weight`
    /// goes to the points above, in proportion; it adds nothing to the count of completions.
    pub(in crate::fleet) fn add_bound(&mut self, bound: f64, weight: f64) {
        if self.points.is_empty() {
            return;
        }
        let above = self.points.iter().filter(|point| point.at > bound);
        let total: f64 = above.clone().map(|point| point.weight).sum();
        let parts: Vec<Point> = if total > 0.0 {
            above
                .map(|point| Point::new(point.at, weight * point.weight / total))
                .collect()
        } else {
            vec![Point::new(bound, weight)]
        };
        self.merge(parts, 0.0);
    }

    /// Adds points that stand for `count` completions.
    pub(in crate::fleet) fn merge(&mut self, points: impl IntoIterator<Item = Point>, count: f64) {
        let points: Vec<Point> = points.into_iter().collect();
        let added: f64 = points.iter().map(|point| point.weight).sum();
        let over = self.total() + added - MAX_COUNT;
        if over > 0.0 && self.total() > 0.0 {
            let kept = (self.total() - over).max(0.0) / self.total();
            self.points
                .iter_mut()
                .for_each(|point| point.weight *= kept);
            self.points.retain(|point| point.weight >= MIN_WEIGHT);
        }
        for point in points {
            self.insert(point);
        }
        self.count = (self.count + count).min(MAX_COUNT);
        self.sum_up();
    }

    fn insert(&mut self, new: Point) {
        let next = self.points.partition_point(|point| point.at < new.at);
        let distance = |index: &usize| (self.points[*index].at - new.at).abs();
        let neighbours = next.saturating_sub(1)..(next + 1).min(self.points.len());
        let nearest = neighbours.min_by(|a, b| distance(a).total_cmp(&distance(b)));
        match nearest.filter(|index| distance(index) <= NEAR / 2.0) {
            Some(index) => self.points[index].join(new),
            None => self.points.insert(next, new),
        }
        if self.points.len() > MAX_POINTS {
            self.join_closest();
        }
    }

    fn join_closest(&mut self) {
        let gap = |index: &usize| self.points[*index].at - self.points[index - 1].at;
        let closest = (1..self.points.len()).min_by(|a, b| gap(a).total_cmp(&gap(b)));
        if let Some(index) = closest {
            let point = self.points.remove(index);
            self.points[index - 1].join(point);
        }
    }

    fn sum_up(&mut self) {
        let mut total = 0.0;
        for point in &mut self.points {
            total += point.weight;
            point.upto = total;
        }
        let [low, high] = MIDDLE.map(|quantile| self.quantile(quantile).unwrap_or(0.0));
        self.width = high - low;
    }

    fn total(&self) -> f64 {
        self.points.last().map_or(0.0, |point| point.upto)
    }

    /// Keeps the shape alone, as a prior of `count` completions.
    pub(in crate::fleet) fn weaken(&mut self, count: f64) {
        let total = self.total();
        if total > count {
            let part = count / total;
            self.points
                .iter_mut()
                .for_each(|point| point.weight *= part);
            self.sum_up();
        }
        self.count = self.count.min(count);
    }

    /// Returns the value that the part `quantile` does not exceed, none if nothing is known.
    pub(in crate::fleet) fn quantile(&self, quantile: f64) -> Option<f64> {
        let wanted = quantile.clamp(0.0, 1.0) * self.total();
        let index = self.points.partition_point(|point| point.upto < wanted);
        let point = self.points.get(index).or(self.points.last())?;
        Some(point.at)
    }

    /// Returns the number of completions that it stands for.
    pub(in crate::fleet) fn count(&self) -> f64 {
        self.count
    }

    /// Returns the width of the middle two thirds of it.
    pub(in crate::fleet) fn width(&self) -> f64 {
        self.width
    }

    /// Returns its weight, of 1, beside the wider group, the width of which is `wide`: the narrower
    /// it is beside that, the fewer completions suffice.
    pub(in crate::fleet) fn trust(&self, wide: f64) -> f64 {
        if self.count <= 0.0 {
            return 0.0;
        }
        let part = if wide > 0.0 {
            (self.width / wide + self.count.recip()).min(1.0)
        } else {
            1.0
        };
        self.count / (self.count + EVEN_COUNT * part)
    }

    /// Returns its points in ascending order.
    pub(in crate::fleet) fn points(&self) -> &[Point] {
        &self.points
    }
}

impl Point {
    fn join(&mut self, other: Self) {
        let weight = self.weight + other.weight;
        if weight > 0.0 {
            self.at += (other.at - self.at) * other.weight / weight;
            self.weight = weight;
        }
    }
}
