//! The figures that the scheduler's decisions use.

/// Bounds of the deployment, in milliseconds, and what it has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timing {
    /// The longest lease that an upstream grants.
    pub max_lease_ms: u64,
    /// How long a stop takes at most.
    pub stop_ms: u64,
    /// How long a closed job can be asked for.
    pub keep_ms: u64,
    /// How long a task needs to resume from what it saved.
    pub restore_ms: u64,
    /// How long a machine is down for its maintenance.
    pub upkeep_ms: u64,
    /// Whether there is a service that tells which upstreams may run a step.
    pub advice: bool,
    /// How long after its acknowledgement guaranteed work must have begun.
    pub reclaim_ms: u64,
}

impl Timing {
    /// The lease that orders carry: long enough for an outage of the leading VM, short enough
    /// that the work of a dead upstream soon starts elsewhere.
    pub fn lease_ms(&self) -> u64 {
        self.max_lease_ms
            .saturating_sub(LEASE_SLACK_MS)
            .min(LEASE_MS)
    }

    /// How long an upstream may wait for an end before it answers a renewal.
    pub fn wait_ms(&self) -> u64 {
        (self.lease_ms() / 3).min(MAX_WAIT_MS)
    }

    /// The own time that `ms` of an upstream's clock take at the most.
    pub fn max_local_ms(ms: u64) -> u64 {
        ms + ms.div_ceil(CLOCK_SLOW_PART) + LEASE_SLACK_MS
    }
}

/// The lease of an order, in milliseconds: a new leader holds all upstreams within 3 s of the
/// loss of the last one.
const LEASE_MS: u64 = 4_500;
/// The longest wait that upstreams accept, in milliseconds.
const MAX_WAIT_MS: u64 = 2_000;
/// Covers the way of an order and late timers, in milliseconds.
const LEASE_SLACK_MS: u64 = 200;
/// An upstream's clock is slow by at most one part in so many (2% is promised).
const CLOCK_SLOW_PART: u64 = 45;

/// How often an unanswered start is sent again before it is barred.
pub(super) const MAX_START_TRIES: u32 = 3;
/// The wait before a silent upstream is asked again, in milliseconds.
pub(super) const RETRY_MS: u64 = 150;
/// Unanswered renewals in a row after which no more are granted.
pub(super) const MAX_MISSES: u32 = 2;
/// How long an upstream that declined an order gets no other, in milliseconds.
pub(super) const DECLINE_BACKOFF_MS: u64 = 600;
/// How long an upstream that fails what it starts gets nothing, in milliseconds; doubled each time.
pub(super) const QUARANTINE_MS: u64 = 4_000;
/// Failures of different jobs in a row that put an upstream in quarantine.
pub(super) const QUARANTINE_FAILURES: u32 = 2;
/// The wait before an upstream that should have listed an end is looked at again, in milliseconds.
pub(super) const END_POLL_MS: u64 = 300;
