//! Estimates how likely an upstream is to fail what it starts.
//!
//! The load it answers: upstreams that fail a part of their work while they call themselves healthy.
//! A gang of 26 fails if one member does, and a job that has failed as often as it may is lost: so
//! work goes where failures are unlikely, and a job on its last attempts only there.

/// The failures in a thousand runs of an upstream of which nothing is known.
const USUAL_PER_MILLE: f64 = 10.0;
/// Ends that weigh as much as what is assumed of an unknown upstream.
const USUAL_ENDS: f64 = 2.0;
/// The time in which what was seen loses half of its weight, in milliseconds: upstreams stay bad
/// for some seconds.
const HALF_LIFE_MS: f64 = 8_000.0;
/// Estimates from this on are suspect, per mille: one failure, until some ten ends later.
const SUSPECT_PER_MILLE: f64 = 120.0;
/// Estimates from this on are bad, per mille: several failures among few ends.
const BAD_PER_MILLE: f64 = 400.0;

/// Failures of all upstreams from which on those are avoided that have not proved good, per mille:
/// twice what jobs fail by their own fault.
const ALARM_PER_MILLE: f64 = 60.0;
/// Ends, faded, below which nothing alarms: a few jobs may fail by their own fault.
const ALARM_ENDS: f64 = 30.0;
/// Runs that are done, faded, from which on an upstream counts as proved.
const PROVEN_DONES: f64 = 1.5;

/// How much an upstream is trusted with new work; less is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Risk {
    /// Failures are as unlikely as anywhere.
    Usual,
    /// Many upstreams fail work now, and it has not shown lately that it does not.
    Unproven,
    /// It has failed lately.
    Suspect,
    /// It fails a large part of what it starts.
    Bad,
}

/// What was seen of the runs of one upstream, with weights that fade.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Health {
    fails: f64,
    dones: f64,
    /// When the weights were last faded, own time.
    at: u64,
}

impl Health {
    /// Records a failure; `blame` is the part of it that may be the upstream's.
    pub(super) fn record_failure(&mut self, now: u64, blame: f64) {
        self.fade(now);
        self.fails += blame;
    }

    /// Records that a run was done.
    pub(super) fn record_success(&mut self, now: u64) {
        self.fade(now);
        self.dones += 1.0;
    }

    /// Estimates the risk of a new run; `alarm`: many upstreams fail work now.
    pub(super) fn risk(mut self, now: u64, alarm: bool) -> Risk {
        self.fade(now);
        let per_mille = self.per_mille();
        if per_mille >= BAD_PER_MILLE {
            Risk::Bad
        } else if per_mille >= SUSPECT_PER_MILLE {
            Risk::Suspect
        } else if alarm && self.dones < PROVEN_DONES {
            Risk::Unproven
        } else {
            Risk::Usual
        }
    }

    /// Tells whether so much fails that what is not known to be good is to be avoided; of the ends
    /// of all upstreams.
    pub(super) fn is_alarming(mut self, now: u64) -> bool {
        self.fade(now);
        self.fails + self.dones >= ALARM_ENDS && self.per_mille() >= ALARM_PER_MILLE
    }

    fn per_mille(self) -> f64 {
        let fails = self.fails + USUAL_ENDS * USUAL_PER_MILLE / 1_000.0;
        1_000.0 * fails / (self.fails + self.dones + USUAL_ENDS)
    }

    fn fade(&mut self, now: u64) {
        let passed = std::time::Duration::from_millis(now.saturating_sub(self.at));
        let part = (-passed.as_secs_f64() * 1_000.0 / HALF_LIFE_MS).exp2();
        self.fails *= part;
        self.dones *= part;
        self.at = now;
    }
}

/// Returns the part of a failure that is held against the upstream: the less, the more often the
/// job has failed already, since a job may fail by its own fault.
pub(super) fn failure_weight(earlier: usize) -> f64 {
    let earlier = u32::try_from(earlier).unwrap_or(u32::MAX);
    1.0 / (1.0 + f64::from(earlier))
}
