//! The times of the election and what bounds them.

/// The wait before the store is asked again after it failed, in milliseconds.
pub(super) const AGAIN_MS: u64 = 150;
/// The wait before changes are waited for again after the store failed, in milliseconds, while
/// the leader is reached.
pub(super) const WATCH_AGAIN_MS: u64 = 1_000;
/// Reads that fail in a row before the store counts as lost: one that serves all but loses a
/// response fails one.
pub(super) const LOST_READS: u32 = 2;
/// How long the leader's lead may be unconfirmed before other VMs claim it, in milliseconds, beyond
/// the age from which on it says so.
pub(super) const UNPROVEN_MS: u64 = 400;
/// How long the store must serve a VM again before the VM claims the lead of one that lacks it, in
/// milliseconds: after an outage the leader has it back by then, and has said so.
pub(super) const SERVED_MS: u64 = 1_000;
/// The wait after a failed read grows up to so many times the first one.
pub(super) const MAX_BACKOFF: u64 = 4;
/// How long a claim holds while its holder loads, in milliseconds: an eighth of a core takes 1 s
/// at 1,100 upstreams.
pub(super) const LOAD_MS: u64 = 5_000;
/// The least time that a doubted leader has for its answer, in milliseconds: it may be at work on
/// a plan or load.
pub(super) const ANSWER_MS: u64 = 250;
/// How many times the duration of its own append a VM waits for the leader's answer.
pub(super) const ANSWER_APPENDS: u64 = 4;
/// The longest wait for an answer, in milliseconds: two appends of a slow store.
pub(super) const MAX_ANSWER_MS: u64 = 1_200;
/// How long a leader that answered is left alone by a VM that does not reach it, in milliseconds;
/// doubled each time.
pub(super) const CALM_MS: u64 = 500;
/// Times that the wait after an answer doubles.
pub(super) const MAX_CALMS: u32 = 3;
/// Signs of other VMs older than this do not speak for a doubted leader, in milliseconds.
pub(super) const HEARD_MS: u64 = 2_000;
/// Attempts to connect to an address that declines before its process counts as gone.
pub(super) const MAX_DECLINED: u32 = 2;
/// The wait before a connection that was closed is made again, in milliseconds.
pub(super) const RECONNECT_MS: u64 = 20;
/// The wait of a VM that is no deputy before it acts on a lost leader, in milliseconds: a claim
/// of a deputy is known to all within it.
pub(super) const DEPUTIES_MS: u64 = 150;
/// The wait of others before they claim a lead that was left to a successor, in milliseconds.
pub(super) const SUCCESSOR_MS: u64 = 400;
/// The wait of a VM before it claims a lead that it could not take or hold, in milliseconds.
pub(super) const OWN_FAILURE_MS: u64 = 1_000;
/// VMs of the same size claim within this time, in milliseconds: the first claim is known to the
/// others within a third of it.
pub(super) const JITTER_MS: u64 = 40;
/// The longest wait for larger VMs, in milliseconds.
pub(super) const MAX_RANK_MS: u64 = 500;
/// The wait for each thousandth of a core that a VM has less than the best, in microseconds, where
/// the best is known.
pub(super) const RANK_US: u64 = 1_000;
/// The same for each thousandth less than a whole core, where the best is not known.
pub(super) const UNKNOWN_RANK_US: u64 = 400;
/// How long a VM leads before it hands the lead to a larger one, in milliseconds: both have been
/// through the fault that made it lead.
pub(super) const SETTLED_MS: u64 = 3_000;
/// A VM hands the lead on to one of so many times its processor.
pub(super) const LARGER_TIMES: u64 = 2;
