//! Time limits and thresholds of the scheduler.

/// The time limits of a deployment, in milliseconds, and its optional services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timing {
    /// The longest lease that an upstream grants.
    pub max_lease_ms: u64,
    /// The longest time that a stop takes.
    pub stop_ms: u64,
    /// How long callers can query a closed job.
    pub keep_ms: u64,
    /// The time a task needs to resume from what it saved.
    pub restore_ms: u64,
    /// How long a machine is down for its maintenance.
    pub upkeep_ms: u64,
    /// Whether the deployment has a service that decides which upstreams may run a step.
    pub advice: bool,
    /// The time after its acknowledgement within which guaranteed work must begin.
    pub reclaim_ms: u64,
    /// How long after an order to a machine another leader sends it none.
    pub machine_lease_ms: u64,
    /// Which decisions under load are in force.
    pub policy: Policy,
}

/// The decisions under load that an operator can bound or turn off; 0 turns one off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// The quantile of a kind's observed durations that counts as the longest likely one, in
    /// percent.
    pub duration_percentile: u64,
    /// The most bytes of learned rows that the leader stores in a second, on average.
    pub learned_bytes_s: u64,
    /// The most waiting gangs of a workspace for which room is reserved ahead.
    pub gang_reservations: u64,
    /// The time in which the counted use of a workspace halves, in milliseconds.
    pub share_half_life_ms: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            duration_percentile: 90,
            learned_bytes_s: 2_048,
            // Both off: no gain is measured yet for all callers together.
            gang_reservations: 0,
            share_half_life_ms: 0,
        }
    }
}

impl Timing {
    /// Returns the lease that orders carry: long enough to outlast an outage of the leading VM,
    /// short enough that the work of a dead upstream soon starts elsewhere.
    pub fn lease_ms(&self) -> u64 {
        self.max_lease_ms
            .saturating_sub(LEASE_SLACK_MS)
            .min(LEASE_MS)
    }

    /// Returns how long an upstream may wait for an end to report before it responds to a renewal.
    pub fn wait_ms(&self) -> u64 {
        (self.lease_ms() / 3).min(MAX_WAIT_MS)
    }

    /// Returns the longest time that can pass on the local clock while an upstream's clock advances
    /// by `ms`.
    pub fn max_local_ms(ms: u64) -> u64 {
        ms + ms.div_ceil(CLOCK_SLOW_PART) + LEASE_SLACK_MS
    }
}

/// The lease of an order, in milliseconds: a new leader renews the leases of all upstreams within 3
/// s of the loss of the previous leader.
const LEASE_MS: u64 = 4_500;
/// The longest wait that upstreams accept, in milliseconds.
const MAX_WAIT_MS: u64 = 2_000;
/// The allowance for the transit of an order and for late timers, in milliseconds.
const LEASE_SLACK_MS: u64 = 200;
/// The divisor of a duration that gives the allowance for a slow clock of an upstream; clocks are
/// promised to be at most 2% slow.
pub(super) const CLOCK_SLOW_PART: u64 = 45;

/// The orders to start a run that may go unanswered before the run is barred.
pub(super) const MAX_START_TRIES: u32 = 3;
/// The wait before an order to an upstream without response is retried, in milliseconds.
pub(super) const RETRY_MS: u64 = 150;
/// The unanswered renewals in a row after which an upstream is silent and its lease is not
/// extended.
pub(super) const MAX_MISSES: u32 = 2;
/// How long an upstream that declined an order gets no new work, in milliseconds.
pub(super) const DECLINE_BACKOFF_MS: u64 = 600;
/// The first quarantine of an upstream that fails its work, in milliseconds; doubled each time.
pub(super) const QUARANTINE_MS: u64 = 4_000;
/// Failures of different jobs in a row that put an upstream in quarantine.
pub(super) const QUARANTINE_FAILURES: u32 = 2;
/// The wait before an upstream that should have reported an end is polled again, in milliseconds.
pub(super) const END_POLL_MS: u64 = 300;
/// How long an order without a response may still be carried out, in milliseconds.
pub(super) const MAX_DELAY_MS: u64 = 15_000;
