//! Estimates how likely an upstream is to fail new work.
//!
//! Some upstreams fail a part of their work while they report themselves healthy. A gang of 26
//! fails if one member does, and a job without attempts left is lost: so work is placed where
//! failures are unlikely, and a task on its last attempts waits for such an upstream.

/// The failures assumed of an unknown upstream, per thousand runs.
const PRIOR_PER_MILLE: f64 = 10.0;
/// The weight of that assumption, in ends.
const PRIOR_ENDS: f64 = 2.0;
/// The time in which an observed end loses half of its weight, in milliseconds: upstreams stay bad
/// for some seconds.
const HALF_LIFE_MS: f64 = 8_000.0;
/// The estimated failure rate from which an upstream is suspect, per mille: reached by one failure,
/// until about ten ends later.
const SUSPECT_PER_MILLE: f64 = 120.0;
/// The estimated failure rate from which an upstream is bad, per mille: several failures among few
/// ends.
const BAD_PER_MILLE: f64 = 400.0;

/// The failure rate of all upstreams together from which unproven ones are avoided, per mille:
/// twice the rate at which jobs fail by their own fault.
const ALARM_PER_MILLE: f64 = 60.0;
/// The least decayed number of ends for an alarm: a few jobs may fail by their own fault.
const ALARM_ENDS: f64 = 30.0;
/// The decayed number of successful runs from which an upstream counts as proven.
const PROVEN_SUCCESSES: f64 = 1.5;

/// How likely an upstream is to fail new work; less is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::fleet) enum Risk {
    /// No more likely than usual.
    Usual,
    /// Many upstreams fail work now, and this one has had no recent successes to prove it good.
    Unproven,
    /// It has failed work recently.
    Suspect,
    /// It fails a large part of its work.
    Bad,
}

/// The recent ends of the runs of an upstream, or of all together, weighted by exponential decay.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::fleet) struct Health {
    failures: f64,
    successes: f64,
    /// When the weights were last decayed, local clock.
    at: u64,
}

impl Health {
    /// Records a failure; `weight` is the part of it that is attributed to the upstream.
    pub(in crate::fleet) fn record_failure(&mut self, now: u64, weight: f64) {
        self.decay(now);
        self.failures += weight;
    }

    /// Records that a run ended successfully.
    pub(in crate::fleet) fn record_success(&mut self, now: u64) {
        self.decay(now);
        self.successes += 1.0;
    }

    /// Estimates the risk of a new run; `alarm`: many upstreams fail work now.
    pub(in crate::fleet) fn risk(mut self, now: u64, alarm: bool) -> Risk {
        self.decay(now);
        let per_mille = self.per_mille();
        if per_mille >= BAD_PER_MILLE {
            Risk::Bad
        } else if per_mille >= SUSPECT_PER_MILLE {
            Risk::Suspect
        } else if alarm && self.successes < PROVEN_SUCCESSES {
            Risk::Unproven
        } else {
            Risk::Usual
        }
    }

    /// Returns whether the failure rate is so high that unproven upstreams are to be avoided; for
    /// the ends of all upstreams together.
    pub(in crate::fleet) fn is_alarming(mut self, now: u64) -> bool {
        self.decay(now);
        self.failures + self.successes >= ALARM_ENDS && self.per_mille() >= ALARM_PER_MILLE
    }

    /// Restores the weights of failures and successes, which are `age_ms` old.
    pub(in crate::fleet) fn restore(now: u64, failures: f64, successes: f64, age_ms: u64) -> Self {
        let mut health = Self {
            failures,
            successes,
            at: 0,
        };
        health.decay(age_ms);
        Self { at: now, ..health }
    }

    /// Returns the decayed numbers of failures and successes.
    pub(in crate::fleet) fn counts(mut self, now: u64) -> (f64, f64) {
        self.decay(now);
        (self.failures, self.successes)
    }

    /// Returns when the last end was recorded, local clock; 0 if there was none.
    pub(in crate::fleet) fn ended_at(&self) -> u64 {
        self.at
    }

    /// Estimates the part of new runs that fail, per mille.
    pub(in crate::fleet) fn failure_rate(mut self, now: u64) -> f64 {
        self.decay(now);
        self.per_mille()
    }

    fn per_mille(self) -> f64 {
        let failures = self.failures + PRIOR_ENDS * PRIOR_PER_MILLE / 1_000.0;
        1_000.0 * failures / (self.failures + self.successes + PRIOR_ENDS)
    }

    fn decay(&mut self, now: u64) {
        let passed = std::time::Duration::from_millis(now.saturating_sub(self.at));
        let part = (-passed.as_secs_f64() * 1_000.0 / HALF_LIFE_MS).exp2();
        self.failures *= part;
        self.successes *= part;
        self.at = now;
    }
}

/// Returns the weight of a failure for the health of the upstream: the more often the job has
/// failed earlier, the less, since a job may fail by its own fault.
pub(in crate::fleet) fn failure_weight(earlier: usize) -> f64 {
    let earlier = u32::try_from(earlier).unwrap_or(u32::MAX);
    1.0 / (1.0 + f64::from(earlier))
}
