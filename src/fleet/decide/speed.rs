//! Estimates how fast upstreams work, from the progress of tasks beside that of their siblings.
//!
//! Answers fleets of unequal upstreams, and upstreams that turn slow or stand still while they
//! report themselves healthy. A gang ends with its slowest member, so one slow upstream among
//! many makes urgent gangs late. The tasks of a step are alike: whatever differs between them
//! belongs to the upstream, whereas the size of the job and its caller's estimate cancel out.

/// The bound of an estimate and of a sample, as a binary logarithm: 16 times as slow or as fast.
const MAX_LOG: f64 = 4.0;
/// The weight of the assumption that an unknown upstream is as fast as usual, in samples.
const PRIOR_SAMPLES: f64 = 0.5;
/// The least weight of the newest sample, so that the estimate follows an upstream that changes.
const NEWEST_WEIGHT: f64 = 0.3;
/// The time in which an estimate falls to half of its distance from the usual speed, in
/// milliseconds, while nothing runs there.
const HALF_LIFE_MS: f64 = 60_000.0;
/// The tiers for each doubling of the time that work takes.
const TIERS_PER_DOUBLING: f64 = 2.0;
/// The tier from which an upstream counts as crawling: four times as slow as usual, which is
/// beyond what upstreams of different kinds differ by.
const CRAWLING_TIER: u8 = 4;

/// How much longer than usual work takes on an upstream, as far as is known.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::fleet) struct Slowness {
    /// The binary logarithm of the factor.
    log: f64,
    samples: f64,
    /// The time of the last sample, local clock.
    at: u64,
}

impl Slowness {
    /// Records that work took `factor` times as long as usual.
    pub(in crate::fleet) fn record(&mut self, now: u64, factor: f64) {
        self.log = self.log_at(now);
        self.at = now;
        self.samples += 1.0;
        let weight = (1.0 / (self.samples + PRIOR_SAMPLES)).max(NEWEST_WEIGHT);
        self.log += (clamp_log(factor) - self.log) * weight;
    }

    /// Returns how many times as long as usual work takes.
    pub(in crate::fleet) fn factor(&self, now: u64) -> f64 {
        self.log_at(now).exp2()
    }

    fn log_at(&self, now: u64) -> f64 {
        let passed = std::time::Duration::from_millis(now.saturating_sub(self.at));
        self.log * (-passed.as_secs_f64() * 1_000.0 / HALF_LIFE_MS).exp2()
    }
}

fn clamp_log(factor: f64) -> f64 {
    if factor.is_finite() && factor > 0.0 {
        factor.log2().clamp(-MAX_LOG, MAX_LOG)
    } else {
        MAX_LOG
    }
}

/// Returns the factor that counts as fast in a fleet with these factors: that of the quarter point,
/// so that a few upstreams that are faster still make no others slow.
pub(in crate::fleet) fn fast_factor(mut factors: Vec<f64>) -> f64 {
    if factors.is_empty() {
        return 1.0;
    }
    let at = factors.len() / 4;
    let (_, fast, _) = factors.select_nth_unstable_by(at, f64::total_cmp);
    *fast
}

/// How slow an upstream is beside the fast ones of its fleet; 0 is fast.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::fleet) struct Tier(u8);

impl Tier {
    /// Returns the tier of an upstream that takes `factor` times as long as usual, where the fast
    /// ones take `fast` times as long.
    pub(in crate::fleet) fn new(factor: f64, fast: f64) -> Self {
        let doublings = (factor / fast).log2().clamp(0.0, MAX_LOG);
        let steps = (doublings * TIERS_PER_DOUBLING).floor();
        let tier = (0..u8::MAX).find(|tier| f64::from(*tier) >= steps);
        Self(tier.unwrap_or(u8::MAX))
    }

    /// Returns the order in which work prefers upstreams, lowest first. Urgent work takes the fast
    /// ones, and other work leaves them to it; nothing prefers one that crawls.
    pub(in crate::fleet) fn preference(self, urgent: bool) -> u8 {
        if urgent || self.0 >= CRAWLING_TIER {
            self.0
        } else {
            CRAWLING_TIER - 1 - self.0
        }
    }
}

/// The progress of a run at one report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::fleet) struct Progress {
    /// The time of the report, local clock.
    pub(in crate::fleet) at: u64,
    /// Its progress, in percent.
    pub(in crate::fleet) percent: u32,
}

/// The shortest time between two reports that tells a pace, in milliseconds.
const MIN_SPAN_MS: u64 = 250;
/// The progress assumed of a run that has not moved between two reports, in percent: progress is
/// reported in whole percents.
const STILL_PERCENT: f64 = 0.5;

impl Progress {
    /// Returns how long the whole run takes at the pace between two reports, in milliseconds; none
    /// if they do not tell: a run at 100% may have ended its own part long before.
    pub(in crate::fleet) fn whole_ms(self, later: Self) -> Option<f64> {
        let span = later.at.checked_sub(self.at)?;
        let done = later.percent.checked_sub(self.percent)?;
        if span < MIN_SPAN_MS || later.percent >= 100 {
            return None;
        }
        let span = u32::try_from(span).map_or(f64::from(u32::MAX), f64::from);
        Some(span * 100.0 / f64::from(done).max(STILL_PERCENT))
    }
}

/// How long the tasks of a step take at the usual speed, from the pace of those that run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(in crate::fleet) struct Siblings {
    log: f64,
    samples: f64,
}

/// The distance from the mean at which a sibling's time is cut, as a binary logarithm, so that one
/// that stands still does not make the others look fast.
const MAX_SIBLING_LOG: f64 = 1.0;
/// The siblings from which their mean tells how long the work is.
const MIN_SIBLINGS: f64 = 2.0;

impl Siblings {
    /// Records that a task takes `whole_ms` on an upstream that takes `factor` times as long as
    /// usual; returns how many times as long as its siblings it takes, once those are known.
    pub(in crate::fleet) fn compare(&mut self, whole_ms: f64, factor: f64) -> Option<f64> {
        let known = self.samples >= MIN_SIBLINGS;
        let usual = self.log;
        let mut own = (whole_ms.max(1.0) / factor).log2();
        if self.samples > 0.0 {
            own = own.clamp(usual - MAX_SIBLING_LOG, usual + MAX_SIBLING_LOG);
        }
        self.samples += 1.0;
        self.log += (own - self.log) / self.samples;
        known.then(|| whole_ms.max(1.0) / usual.exp2())
    }

    /// Returns how long a task takes at the usual speed, in milliseconds, once siblings have told.
    pub(in crate::fleet) fn usual_ms(&self) -> Option<f64> {
        (self.samples >= MIN_SIBLINGS).then(|| self.log.exp2())
    }
}
