//! Estimates how fast upstreams work, from the progress of tasks beside that of their siblings.
//!
//! Answers fleets of unequal upstreams, and upstreams that turn slow or stand still while they
//! report themselves healthy. A gang ends with its slowest member, so one slow upstream among
//! many makes urgent gangs late. The tasks of a step are alike: whatever differs between them
//! belongs to the upstream, whereas the size of the job and its caller's estimate cancel out.

use super::millis;

/// The bound of an estimate and of a sample, as a binary logarithm: 16 times as slow or as fast.
const MAX_LOG: f64 = 4.0;
/// The weight of the assumption that an unknown upstream is as fast as usual, in samples.
const PRIOR_SAMPLES: f64 = 0.5;
/// The least weight of the newest sample, so that the estimate follows an upstream that changes.
const NEWEST_WEIGHT: f64 = 0.3;
/// The time in which an estimate falls to half of its distance from the usual speed, in
/// milliseconds, while nothing runs there.
const HALF_LIFE_MS: f64 = 60_000.0;
/// The factor, compared with fast upstreams, from which one is slow.
const SLOW_FACTOR: f64 = 1.5;
/// The factor, compared with fast upstreams, from which one crawls.
const CRAWLING_FACTOR: f64 = 4.0;
/// The share of slow upstreams from which a fleet has unequal kinds of upstreams, as against a few
/// that are slow for a while.
const UNEQUAL_SHARE: f64 = 0.2;
/// The level of slow upstreams for urgent work.
const SLOW_LEVEL: u8 = 2;
/// The shortest time between two reports that tells a pace, in milliseconds.
const MIN_SPAN_MS: u64 = 200;
/// The progress assumed of a run that has not moved between two reports, in percent: progress is
/// reported in whole percents.
const STILL_PERCENT: f64 = 0.5;
/// The fewest siblings with a known pace from which the usual time of their work is derived.
const MIN_SIBLINGS: usize = 2;
/// The most siblings that are compared, which bounds the cost of a report.
pub(in crate::fleet) const MAX_SIBLINGS: usize = 16;

/// How much longer than usual work takes on an upstream, as far as is known.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::fleet) struct Slowness {
    /// The binary logarithm of the factor.
    log: f64,
    samples: u32,
    /// The time of the last sample, local clock.
    at: u64,
}

impl Slowness {
    /// Records that work took `factor` times as long as usual.
    pub(in crate::fleet) fn record(&mut self, now: u64, factor: f64) {
        self.log = self.log_at(now);
        self.at = now;
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / (f64::from(self.samples) + PRIOR_SAMPLES)).max(NEWEST_WEIGHT);
        self.log += (clamp_log(factor) - self.log) * weight;
    }

    /// Returns how many times as long as usual work takes.
    pub(in crate::fleet) fn factor(&self, now: u64) -> f64 {
        self.log_at(now).exp2()
    }

    /// Returns whether it is clearly slower than usual; for the log.
    pub(in crate::fleet) fn is_slow(&self, now: u64) -> bool {
        self.factor(now) >= SLOW_FACTOR
    }

    /// Returns the time since the last sample, in milliseconds.
    pub(in crate::fleet) fn age_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.at)
    }

    /// Returns the number of samples.
    pub(in crate::fleet) fn samples(&self) -> u32 {
        self.samples
    }

    /// Restores the estimate `factor` from `samples` samples, which is `age_ms` old.
    pub(in crate::fleet) fn restore(now: u64, factor: f64, samples: u32, age_ms: u64) -> Self {
        let then = Self {
            log: clamp_log(factor),
            samples,
            at: 0,
        };
        Self {
            log: then.log_at(age_ms),
            at: now,
            ..then
        }
    }

    /// Returns the time of the last sample, local clock.
    pub(in crate::fleet) fn sampled_at(&self) -> u64 {
        self.at
    }

    /// Returns whether anything is known of it.
    pub(in crate::fleet) fn is_known(&self) -> bool {
        self.samples > 0
    }

    fn log_at(&self, now: u64) -> f64 {
        let passed = millis(self.age_ms(now));
        self.log * (-passed / HALF_LIFE_MS).exp2()
    }
}

fn clamp_log(factor: f64) -> f64 {
    if factor.is_finite() && factor > 0.0 {
        factor.log2().clamp(-MAX_LOG, MAX_LOG)
    } else {
        MAX_LOG
    }
}

/// How slow an upstream is beside the fast ones of its fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Tier {
    /// About as fast as the fast ones.
    Fast,
    /// Nothing is known of it.
    Unknown,
    /// So slow that urgent work is late there.
    Slow,
    /// Slower than kinds of upstreams differ; or work there stands still.
    Crawling,
}

/// The order in which work prefers an upstream for its speed, lowest first.
///
/// There are few levels: a finer order would override the best fit and fragment the free resources.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(in crate::fleet) struct Preference {
    /// The level for urgent work.
    pub(in crate::fleet) urgent: u8,
    /// The level for other work.
    pub(in crate::fleet) patient: u8,
}

impl Preference {
    /// Returns whether the upstream is known to be slow.
    pub(in crate::fleet) fn is_slow(self) -> bool {
        self.urgent >= SLOW_LEVEL
    }
}

/// The speeds of a fleet.
#[derive(Debug, Clone, Copy)]
pub(in crate::fleet) struct Speeds {
    /// The factor that counts as fast.
    fast: f64,
    /// Whether many upstreams are slow.
    unequal: bool,
}

impl Speeds {
    /// Compares the upstreams of a fleet.
    pub(in crate::fleet) fn new<'a>(all: impl Iterator<Item = &'a Slowness>, now: u64) -> Self {
        let mut factors: Vec<f64> = all.map(|slowness| slowness.factor(now)).collect();
        let mut speeds = Self {
            fast: 1.0,
            unequal: false,
        };
        if factors.is_empty() {
            return speeds;
        }
        // The first quartile, since a few unusually fast upstreams do not make the others slow.
        let at = factors.len() / 4;
        let (_, fast, _) = factors.select_nth_unstable_by(at, f64::total_cmp);
        speeds.fast = *fast;
        let slow = factors
            .iter()
            .filter(|factor| speeds.tier(**factor) == Tier::Slow);
        let (slow, all) = (count(slow.count()), count(factors.len()));
        speeds.unequal = slow >= all * UNEQUAL_SHARE;
        speeds
    }

    fn tier(&self, factor: f64) -> Tier {
        if factor >= self.fast * CRAWLING_FACTOR {
            Tier::Crawling
        } else if factor >= self.fast * SLOW_FACTOR {
            Tier::Slow
        } else {
            Tier::Fast
        }
    }

    /// Returns how work prefers an upstream. Among unequal ones, urgent work takes those that are
    /// known to be fast, and other work leaves them to it; otherwise all work avoids the slow ones.
    pub(in crate::fleet) fn preference(&self, slowness: &Slowness, now: u64) -> Preference {
        let tier = match self.tier(slowness.factor(now)) {
            Tier::Fast if self.unequal && !slowness.is_known() => Tier::Unknown,
            tier => tier,
        };
        let urgent = match tier {
            Tier::Fast => 0,
            Tier::Unknown => 1,
            Tier::Slow => SLOW_LEVEL,
            Tier::Crawling => SLOW_LEVEL + 1,
        };
        let patient = match tier {
            Tier::Slow if self.unequal => 0,
            Tier::Fast if self.unequal => SLOW_LEVEL,
            _ => urgent,
        };
        Preference { urgent, patient }
    }
}

fn count(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::from(u32::MAX), f64::from)
}

/// The progress of a run at one report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::fleet) struct Progress {
    /// The time of the report, local clock.
    pub(in crate::fleet) at: u64,
    /// Its progress, in percent.
    pub(in crate::fleet) percent: u32,
}

impl Progress {
    /// Returns how long the whole run takes at the pace between two reports, in milliseconds; none
    /// if they do not tell: a run at 100% may have ended its own part long before.
    pub(in crate::fleet) fn whole_ms(self, later: Self) -> Option<f64> {
        let span = later.at.checked_sub(self.at)?;
        let done = later.percent.checked_sub(self.percent)?;
        if span < MIN_SPAN_MS || later.percent >= 100 {
            return None;
        }
        Some(millis(span) * 100.0 / f64::from(done).max(STILL_PERCENT))
    }
}

/// Returns the lower median of the times that tasks of a step take, in milliseconds, which a
/// minority on slow upstreams does not move.
pub(in crate::fleet) fn usual_ms(mut times: Vec<f64>) -> Option<f64> {
    let middle = times.len().checked_sub(1)? / 2;
    if times.len() < MIN_SIBLINGS {
        return None;
    }
    let (_, usual, _) = times.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*usual)
}
