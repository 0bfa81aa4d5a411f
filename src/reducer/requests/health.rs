//! Passive health checks: the health of one runner, by the results of this VM's own requests.
//!
//! A runner that fails is ejected for a time that doubles with each failure, and is then probed
//! with one single request at a time. This is the outlier ejection of service meshes (Envoy's
//! `consecutive_5xx` with a growing ejection time) with the probes of a half-open circuit breaker.

use crate::configs::RequestsConfig;
use crate::prelude::*;

/// The consecutive error responses after which a runner is ejected.
const MAX_ERRORS: u32 = 3;
/// The consecutive good responses after which earlier failures are forgotten.
const RECOVERY_RESPONSES: u32 = 8;
/// The mean slowness, in thousandths of the usual service time, above which a runner is ejected.
const MAX_SLOWNESS: u64 = 4_000;
/// The fewest responses by which slowness is judged.
const MIN_SLOW_SAMPLES: u32 = 8;
/// The excess over the usual service time up to which no response counts as slow, in milliseconds.
const MIN_SLOW_MS: u64 = 50;
/// The longest time for which a runner may ask for no requests, in milliseconds.
const MAX_BUSY_MS: u64 = 300_000;
/// The most times that a cooldown is doubled while most of the pool fails.
const MAX_WIDE_DOUBLINGS: u32 = 2;

/// Whether a runner gets requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// It gets requests.
    #[default]
    Up,
    /// It gets none before this time, in milliseconds of monotonic time.
    Cooling(u64),
    /// One request probes whether it has recovered; `true` while that request is in flight.
    Probing(bool),
    /// The runner or the platform announced that it is leaving.
    Leaving,
}

/// Which requests a runner may get now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Gate {
    /// Any.
    Open,
    /// A single one.
    Probe,
    /// None.
    Closed,
}

/// What the end of an attempt indicates about the runner's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HealthSignal {
    /// A good response after `took_ms`, compared with `usual_ms`.
    Good {
        /// The service time of this attempt.
        took_ms: u64,
        /// The usual service time of the kind.
        usual_ms: u64,
    },
    /// An error response, or an attempt that took far longer than usual.
    Error,
    /// No complete response.
    Broken,
    /// The runner asks for no requests during this time, in milliseconds.
    Busy(u64),
    /// The runner announced that it is leaving.
    Leaving,
    /// The attempt indicates nothing about the runner's health.
    Neutral,
}

/// A change of a runner's health that is reported as an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Transition {
    /// It gets no requests for this time, in milliseconds.
    Cooled(u64),
    /// It has recovered.
    Back,
    /// It is leaving.
    Left,
}

/// The health of one runner.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Health {
    phase: Phase,
    strikes: u32,
    errors: u32,
    good: u32,
    slow: u64,
    samples: u32,
    cooled_ms: u64,
    version: Offset,
    dropped: bool,
}

impl Health {
    /// Returns which requests the runner may get now.
    pub(super) fn gate(&self, now_ms: u64) -> Gate {
        match self.phase {
            Phase::Up => Gate::Open,
            Phase::Cooling(until_ms) if now_ms >= until_ms => Gate::Probe,
            Phase::Probing(false) => Gate::Probe,
            Phase::Cooling(_) | Phase::Probing(true) | Phase::Leaving => Gate::Closed,
        }
    }

    /// Records that a request was sent.
    pub(super) fn sent(&mut self) {
        if matches!(self.phase, Phase::Cooling(_) | Phase::Probing(_)) {
            self.phase = Phase::Probing(true);
        }
    }

    /// Updates the health at the end of an attempt that was sent at `sent_ms`; `wide` is whether
    /// most of the pool fails.
    pub(super) fn record(
        &mut self,
        config: &RequestsConfig,
        signal: HealthSignal,
        sent_ms: u64,
        now_ms: u64,
        wide: bool,
    ) -> Option<Transition> {
        if signal == HealthSignal::Leaving {
            return self.leave();
        }
        // Attempts sent before the last cooldown carry no new information.
        let old = self.cooled_ms > 0 && sent_ms < self.cooled_ms;
        if self.phase == Phase::Leaving || old {
            return None;
        }
        match signal {
            HealthSignal::Good { took_ms, usual_ms } => {
                self.record_good(took_ms, usual_ms);
                let slow = self.samples >= MIN_SLOW_SAMPLES && self.slow > MAX_SLOWNESS;
                match slow {
                    true => Some(self.eject(config, now_ms, wide)),
                    false => self.recover(),
                }
            }
            HealthSignal::Error => {
                self.good = 0;
                self.errors += 1;
                let fails = self.errors >= MAX_ERRORS || self.phase != Phase::Up;
                fails.then(|| self.eject(config, now_ms, wide))
            }
            HealthSignal::Broken => Some(self.eject(config, now_ms, wide)),
            HealthSignal::Busy(wait_ms) => {
                let wait_ms = wait_ms.clamp(1, MAX_BUSY_MS);
                self.phase = Phase::Cooling(now_ms + wait_ms);
                self.cooled_ms = now_ms;
                Some(Transition::Cooled(wait_ms))
            }
            HealthSignal::Neutral => {
                if self.phase == Phase::Probing(true) {
                    self.phase = Phase::Probing(false);
                }
                None
            }
            HealthSignal::Leaving => None,
        }
    }

    /// Ejects a leaving runner until [`Health::update_listed`] finds it replaced or reconfigured.
    pub(super) fn leave(&mut self) -> Option<Transition> {
        self.dropped = false;
        if self.phase == Phase::Leaving {
            return None;
        }
        self.phase = Phase::Leaving;
        Some(Transition::Left)
    }

    /// Updates the health from the platform's list and the version of the configured pool.
    ///
    /// A leaving runner gets one probe once it was missing from the list and is listed again, or
    /// once the pool's configuration changed. A list that only no longer shows it as leaving is no
    /// proof, as that list may be older.
    pub(super) fn update_listed(&mut self, listed: Listed, version: Offset) -> Option<Transition> {
        let changed = self.version != version;
        self.version = version;
        match listed {
            Listed::Leaving => return self.leave(),
            Listed::Absent => self.dropped = true,
            Listed::Live | Listed::Unknown => {}
        }
        let again = self.dropped && listed == Listed::Live;
        if self.phase == Phase::Leaving && (again || changed) {
            self.phase = Phase::Probing(false);
        }
        if listed == Listed::Live {
            self.dropped = false;
        }
        None
    }

    /// Returns whether the runner is ejected, or probed, because it failed.
    pub(super) fn is_failing(&self) -> bool {
        matches!(self.phase, Phase::Cooling(_) | Phase::Probing(_))
    }

    fn record_good(&mut self, took_ms: u64, usual_ms: u64) {
        self.errors = 0;
        self.good += 1;
        if self.good >= RECOVERY_RESPONSES {
            self.strikes = 0;
        }
        let ratio = match took_ms > usual_ms + MIN_SLOW_MS {
            true => took_ms * 1_000 / usual_ms.max(1),
            false => 1_000,
        };
        self.samples = self.samples.saturating_add(1);
        self.slow = match self.samples {
            1 => ratio,
            _ => (self.slow * 7 + ratio) / 8,
        };
    }

    fn recover(&mut self) -> Option<Transition> {
        if self.phase == Phase::Up {
            return None;
        }
        self.phase = Phase::Up;
        Some(Transition::Back)
    }

    fn eject(&mut self, config: &RequestsConfig, now_ms: u64, wide: bool) -> Transition {
        let doublings = match wide {
            true => self.strikes.min(MAX_WIDE_DOUBLINGS),
            false => self.strikes.min(16),
        };
        let wait_ms = (config.cool_ms << doublings).clamp(1, config.cool_most.max(1));
        self.strikes = self.strikes.saturating_add(1);
        self.errors = 0;
        self.good = 0;
        self.samples = 0;
        self.cooled_ms = now_ms;
        self.phase = Phase::Cooling(now_ms + wait_ms);
        Transition::Cooled(wait_ms)
    }
}

/// The state of a runner in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Listed {
    /// No list has been read.
    Unknown,
    /// It is not listed.
    Absent,
    /// It is live.
    Live,
    /// It is leaving.
    Leaving,
}
