//! The health of one runner, judged by this VM's own results.
//!
//! A runner that fails is left out for a time that doubles with each failure, and one single
//! request at a time proves that it is back. This is the outlier ejection of service meshes
//! (Envoy's `consecutive_5xx` with a growing ejection time) with a half-open breaker's probe.

use crate::configs::RequestsConfig;
use crate::prelude::*;

/// The consecutive error answers after which a runner is left out.
const ERRORS_MAX: u32 = 3;
/// The consecutive good answers after which earlier failures are forgotten.
const GOOD_RUN: u32 = 8;
/// The slowness, in thousandths of the usual service time, above which a runner is left out.
const SLOW_MAX: u64 = 4_000;
/// The fewest answers that slowness is judged by.
const SLOW_SAMPLES: u32 = 8;
/// The difference to the usual service time below which nothing is slow, in milliseconds.
const SLOW_LEAST_MS: u64 = 50;
/// The longest time that a runner may ask to be left alone, in milliseconds.
const BUSY_MOST_MS: u64 = 300_000;
/// How often a cooldown doubles while most of the pool fails.
const WIDE_DOUBLINGS: u32 = 2;

/// Whether a runner gets work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// It gets work.
    #[default]
    Up,
    /// It gets none before this time, in milliseconds of monotonic time.
    Cooling(u64),
    /// One request tries whether it is back; `true` while that request is in flight.
    Probing(bool),
    /// It said, or the platform said, that it is leaving.
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

/// How a try went, as far as the runner is to blame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Mark {
    /// A good answer after `took_ms`, where `usual_ms` is usual.
    Good {
        /// The service time of this try.
        took_ms: u64,
        /// The usual service time of the kind.
        usual_ms: u64,
    },
    /// An error answer, or far more time than usual.
    Error,
    /// No whole answer.
    Broken,
    /// It asks to be left alone for this time, in milliseconds.
    Busy(u64),
    /// It says that it is leaving.
    Leaving,
    /// Nothing can be said.
    Neutral,
}

/// A change of a runner's health that is worth an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Turn {
    /// It is left out for this time, in milliseconds.
    Cooled(u64),
    /// It is back.
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
    /// Tells which requests the runner may get.
    pub(super) fn gate(&self, now_ms: u64) -> Gate {
        match self.phase {
            Phase::Up => Gate::Open,
            Phase::Cooling(until_ms) if now_ms >= until_ms => Gate::Probe,
            Phase::Probing(false) => Gate::Probe,
            Phase::Cooling(_) | Phase::Probing(true) | Phase::Leaving => Gate::Closed,
        }
    }

    /// Notes that a request was sent.
    pub(super) fn sent(&mut self) {
        if matches!(self.phase, Phase::Cooling(_) | Phase::Probing(_)) {
            self.phase = Phase::Probing(true);
        }
    }

    /// Takes in how a try went that was sent at `sent_ms`; `wide` if most of the pool fails.
    pub(super) fn mark(
        &mut self,
        config: &RequestsConfig,
        mark: Mark,
        sent_ms: u64,
        now_ms: u64,
        wide: bool,
    ) -> Option<Turn> {
        if mark == Mark::Leaving {
            return self.leave();
        }
        // Tries from before the last cooldown say nothing new.
        let old = self.cooled_ms > 0 && sent_ms < self.cooled_ms;
        if self.phase == Phase::Leaving || old {
            return None;
        }
        match mark {
            Mark::Good { took_ms, usual_ms } => {
                self.note_good(took_ms, usual_ms);
                let slow = self.samples >= SLOW_SAMPLES && self.slow > SLOW_MAX;
                match slow {
                    true => Some(self.cool(config, now_ms, wide)),
                    false => self.back(),
                }
            }
            Mark::Error => {
                self.good = 0;
                self.errors += 1;
                let out = self.errors >= ERRORS_MAX || self.phase != Phase::Up;
                out.then(|| self.cool(config, now_ms, wide))
            }
            Mark::Broken => Some(self.cool(config, now_ms, wide)),
            Mark::Busy(wait_ms) => {
                let wait_ms = wait_ms.clamp(1, BUSY_MOST_MS);
                self.phase = Phase::Cooling(now_ms + wait_ms);
                self.cooled_ms = now_ms;
                Some(Turn::Cooled(wait_ms))
            }
            Mark::Neutral => {
                if self.phase == Phase::Probing(true) {
                    self.phase = Phase::Probing(false);
                }
                None
            }
            Mark::Leaving => None,
        }
    }

    /// Takes the runner out for good, until [`Health::follow`] sees proof that it is new.
    pub(super) fn leave(&mut self) -> Option<Turn> {
        self.dropped = false;
        if self.phase == Phase::Leaving {
            return None;
        }
        self.phase = Phase::Leaving;
        Some(Turn::Left)
    }

    /// Follows the platform's list and the version of the configured pool.
    ///
    /// A leaving runner gets one probe once the list dropped and named it again, or once the
    /// configuration changed; an older list that merely no longer says "leaving" proves nothing.
    pub(super) fn follow(&mut self, listed: Listed, version: Offset) -> Option<Turn> {
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

    /// Returns whether the runner is left out because it failed.
    pub(super) fn is_failing(&self) -> bool {
        matches!(self.phase, Phase::Cooling(_) | Phase::Probing(_))
    }

    fn note_good(&mut self, took_ms: u64, usual_ms: u64) {
        self.errors = 0;
        self.good += 1;
        if self.good >= GOOD_RUN {
            self.strikes = 0;
        }
        let ratio = match took_ms > usual_ms + SLOW_LEAST_MS {
            true => took_ms * 1_000 / usual_ms.max(1),
            false => 1_000,
        };
        self.samples = self.samples.saturating_add(1);
        self.slow = match self.samples {
            1 => ratio,
            _ => (self.slow * 7 + ratio) / 8,
        };
    }

    fn back(&mut self) -> Option<Turn> {
        if self.phase == Phase::Up {
            return None;
        }
        self.phase = Phase::Up;
        Some(Turn::Back)
    }

    fn cool(&mut self, config: &RequestsConfig, now_ms: u64, wide: bool) -> Turn {
        let doublings = match wide {
            true => self.strikes.min(WIDE_DOUBLINGS),
            false => self.strikes.min(16),
        };
        let wait_ms = (config.cool_ms << doublings).clamp(1, config.cool_most.max(1));
        self.strikes = self.strikes.saturating_add(1);
        self.errors = 0;
        self.good = 0;
        self.samples = 0;
        self.cooled_ms = now_ms;
        self.phase = Phase::Cooling(now_ms + wait_ms);
        Turn::Cooled(wait_ms)
    }
}

/// What the platform's list says of a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Listed {
    /// No list was read.
    Unknown,
    /// It is not named.
    Absent,
    /// It is live.
    Live,
    /// It is leaving.
    Leaving,
}
