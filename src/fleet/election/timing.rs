//! The time-outs and delays of the election, and what bounds them.

/// The delay before a failed read or write of the store is retried, in milliseconds.
pub(super) const RETRY_MS: u64 = 150;
/// The delay before a failed watch of the area is retried while the leader is healthy, in
/// milliseconds.
pub(super) const WATCH_RETRY_MS: u64 = 1_000;
/// The consecutive failed reads from which on the store counts as lost: a single one may be due to
/// a lost response.
pub(super) const STORE_LOST_READS: u32 = 2;
/// How long a leader may report that its lead is unconfirmed before others claim it, in
/// milliseconds.
pub(super) const UNCONFIRMED_MS: u64 = 400;
/// How long a VM must have reached the store again before it claims the lead of a VM that reports
/// its lead as unconfirmed, in milliseconds: after a common outage, the leader has reached the
/// store again and reported so within it.
pub(super) const STORE_STABLE_MS: u64 = 1_000;
/// The delay before a failed read is retried grows up to this multiple of [`RETRY_MS`].
pub(super) const MAX_READ_BACKOFF: u64 = 4;
/// How long a claim is valid while its holder loads, in milliseconds: an eighth of a core takes 1 s
/// to load 1,100 upstreams.
pub(super) const MAX_LOAD_MS: u64 = 5_000;
/// The shortest time that a challenged leader has for its answer, in milliseconds: it may be busy
/// planning or loading.
pub(super) const MIN_ANSWER_MS: u64 = 250;
/// The time that a challenged leader has for its answer, as a multiple of the duration of the
/// challenger's last append.
pub(super) const ANSWER_APPENDS: u64 = 4;
/// The longest wait for an answer, in milliseconds: two appends of a slow store.
pub(super) const MAX_ANSWER_MS: u64 = 1_200;
/// The back-off of a VM that cannot reach a leader which has answered a challenge, in milliseconds;
/// doubled after each further answer.
pub(super) const ANSWERED_BACKOFF_MS: u64 = 500;
/// The most doublings of that back-off.
pub(super) const MAX_DOUBLINGS: u32 = 3;
/// A challenged leader that has received no frame from another VM for longer than this gives the
/// lead up instead of answering, in milliseconds.
pub(super) const MAX_CONTACT_AGE_MS: u64 = 2_000;
/// The refused or closed connections in a row after which the next one shows that the process of
/// the leader is gone.
pub(super) const MAX_REFUSED: u32 = 2;
/// The delay before a closed connection is reopened, in milliseconds; it grows with each attempt.
pub(super) const RECONNECT_MS: u64 = 20;
/// How much longer than a deputy another VM waits before it acts on a lost leader, in milliseconds:
/// within it, the claim of a deputy is known to all.
pub(super) const DEPUTY_HEADSTART_MS: u64 = 150;
/// How long other VMs leave a vacant lead to the chosen successor, in milliseconds.
pub(super) const SUCCESSOR_HEADSTART_MS: u64 = 400;
/// The back-off before the next claim of a VM that failed to load or to keep the lead, in
/// milliseconds.
pub(super) const FAILURE_BACKOFF_MS: u64 = 1_000;
/// The jitter of claims of VMs of the same size, in milliseconds: the first claim is known to the
/// others within a third of it.
pub(super) const JITTER_MS: u64 = 40;
/// The longest delay of a claim in favour of larger VMs, in milliseconds.
pub(super) const MAX_SIZE_DELAY_MS: u64 = 500;
/// The delay of a claim for each thousandth of a core that a VM has less than the largest, in
/// microseconds, if the largest is known.
pub(super) const SIZE_DELAY_US: u64 = 1_000;
/// The delay of a claim for each thousandth less than a whole core, in microseconds, if the largest
/// is not known.
pub(super) const UNKNOWN_SIZE_DELAY_US: u64 = 400;
/// How long a VM leads before it hands the lead over to a larger one, in milliseconds: by then both
/// have recovered from the fault that made it lead.
pub(super) const MIN_LEAD_MS: u64 = 3_000;
/// A VM hands the lead over to one with at least this multiple of its CPU share.
pub(super) const HANDOVER_RATIO: u64 = 2;
