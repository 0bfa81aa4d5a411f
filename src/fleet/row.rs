//! The stored form of the scheduler's state: two rows for each job and one for each wave.

use super::model::Spec;

/// A row of the store: a key and its value; an empty value deletes the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
}

impl Row {
    /// Returns its size in an append, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.key.len() + self.value.len() + ROW_OVERHEAD_BYTES
    }
}

/// The size of a row beside its key and value, in bytes.
const ROW_OVERHEAD_BYTES: usize = 8;

/// The part of a job that never changes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobRow {
    /// The queue.
    #[prost(string, tag = "1")]
    pub queue: String,
    /// The workspace.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// When it was submitted, Unix milliseconds.
    #[prost(uint64, tag = "3")]
    pub wall_ms: u64,
    /// What was submitted.
    #[prost(message, optional, tag = "4")]
    pub spec: Option<Spec>,
    /// The nonce of the call that submitted it.
    #[prost(fixed64, tag = "5")]
    pub nonce: u64,
    /// The queue as it was when the job was accepted; none in rows of earlier builds.
    #[prost(message, optional, tag = "6")]
    pub terms: Option<TermsRow>,
}

/// What a queue promised a job when it was accepted; the fields are those of
/// [`Queue`](super::model::Queue).
#[derive(Clone, PartialEq, prost::Message)]
pub struct TermsRow {
    /// The host of its calls.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The path prefix of its calls.
    #[prost(string, tag = "2")]
    pub prefix: String,
    /// The service whose upstreams run its tasks.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Its priority.
    #[prost(uint32, tag = "4")]
    pub priority: u32,
    /// How often a task may fail.
    #[prost(uint32, tag = "5")]
    pub attempts: u32,
    /// The factor of the latency objective.
    #[prost(double, tag = "6")]
    pub stretch: f64,
    /// The constant part of the latency objective, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub base_ms: u64,
    /// Whether calls are accepted without a key.
    #[prost(bool, tag = "8")]
    pub public: bool,
    /// How long the external advice service takes; none if the queue needs no advice.
    #[prost(message, optional, tag = "9")]
    pub advice: Option<AdviceRow>,
}

/// How long the external advice service takes, in milliseconds.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct AdviceRow {
    /// The fixed time of each call.
    #[prost(uint64, tag = "1")]
    pub decide_ms: u64,
    /// The additional time for each upstream.
    #[prost(uint64, tag = "2")]
    pub each_ms: u64,
    /// How long its tickets are valid; none if not known. Earlier builds neither write nor read it.
    #[prost(uint64, optional, tag = "3")]
    pub valid_ms: Option<u64>,
}

/// The part of a job that changes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StateRow {
    /// 0: open, 1: completed, 2: failed, 3: cancelled.
    #[prost(uint32, tag = "1")]
    pub closed: u32,
    /// When it was closed, Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub closed_ms: u64,
    /// Occurrences that have begun and are not done.
    #[prost(message, repeated, tag = "3")]
    pub turns: Vec<TurnRow>,
    /// The next occurrence to begin.
    #[prost(uint32, tag = "4")]
    pub next_turn: u32,
    /// Whether any task has ever started.
    #[prost(bool, tag = "5")]
    pub begun: bool,
    /// Names of upstreams; the tasks refer to them by position.
    #[prost(string, repeated, tag = "6")]
    pub upstreams: Vec<String>,
    /// When the process of each entry of `upstreams` that held the runs started, Unix milliseconds;
    /// 0 or missing if unknown. Builds without this field drop it when they rewrite the row.
    #[prost(uint64, repeated, tag = "7")]
    pub born: Vec<u64>,
    /// The terms of a job whose [`JobRow`] has none: that row is written only once. Builds without
    /// this field drop it when they rewrite the row.
    #[prost(message, optional, tag = "8")]
    pub terms: Option<TermsRow>,
}

/// The largest value of [`StateRow::closed`].
pub(super) const MAX_CLOSED: u32 = 3;

/// One occurrence of a job.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TurnRow {
    /// Its number, from 0.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// When it was due, Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub due_ms: u64,
    /// Its tasks, in the order of their steps.
    #[prost(message, repeated, tag = "3")]
    pub tasks: Vec<TaskRow>,
}

/// One task.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TaskRow {
    /// The number of its last run, 0 before the first.
    #[prost(uint32, tag = "1")]
    pub runs: u32,
    /// How many of its runs failed; a gang's failures are counted at its first task.
    #[prost(uint32, tag = "2")]
    pub fails: u32,
    /// Whether it is done.
    #[prost(bool, tag = "3")]
    pub done: bool,
    /// Its last checkpoint, empty if none.
    #[prost(string, tag = "4")]
    pub saved: String,
    /// The upstream of its live run, as a position in [`StateRow::upstreams`] from 1; 0 if none.
    #[prost(uint32, tag = "5")]
    pub at: u32,
    /// The number of the run that failed last.
    #[prost(uint32, tag = "6")]
    pub failed_run: u32,
    /// How many upstreams have crashed under it. Builds without this field drop it when they
    /// rewrite the row.
    #[prost(uint32, tag = "7")]
    pub crashes: u32,
    /// How many upstreams have crashed that may not have started it.
    #[prost(uint32, tag = "8")]
    pub unconfirmed: u32,
    /// The numbers of the last runs that failed; earlier builds neither read nor keep them.
    #[prost(uint32, repeated, tag = "9")]
    pub failed_runs: Vec<u32>,
    /// The number up to which it is not known which runs failed.
    #[prost(uint32, tag = "10")]
    pub failed_floor: u32,
}

/// The progress of a maintenance wave.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WaveRow {
    /// Machines that were ordered down and may not be back in service.
    #[prost(string, repeated, tag = "1")]
    pub ordered: Vec<String>,
    /// Machines that are back in service.
    #[prost(string, repeated, tag = "2")]
    pub done: Vec<String>,
    /// Whether all its machines are done.
    #[prost(bool, tag = "3")]
    pub completed: bool,
    /// Whether its completion was announced to the operators.
    #[prost(bool, tag = "4")]
    pub announced: bool,
}

/// Which earlier leaders have ended.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct LeadersRow {
    /// All leaders of epochs before this one have sent their last order.
    #[prost(uint64, tag = "1")]
    pub ended_before: u64,
}

/// An upstream that has restarted under its identity lately. Earlier builds ignore it.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RestartRow {
    /// When that was noticed, Unix milliseconds.
    #[prost(uint64, tag = "1")]
    pub noticed_ms: u64,
}

/// What is known of a machine. Earlier builds ignore and keep it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct MachineRow {
    /// The time that its values describe, Unix milliseconds.
    #[prost(uint64, tag = "1")]
    pub wall_ms: u64,
    /// The upstream that ran on it; empty if the key names that.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// How many times as long as usual work takes there, in thousandths; 0 if not known.
    #[prost(uint32, tag = "3")]
    pub factor_milli: u32,
    /// The samples behind that factor.
    #[prost(uint32, tag = "4")]
    pub samples: u32,
    /// The recent failures of its runs, decayed, in thousandths.
    #[prost(uint32, tag = "5")]
    pub failures_milli: u32,
    /// The recent successes of its runs, decayed, in thousandths.
    #[prost(uint32, tag = "6")]
    pub successes_milli: u32,
}

/// What is known of the durations of a kind of task. Earlier builds ignore and keep it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KindRow {
    /// When it was stored, Unix milliseconds.
    #[prost(uint64, tag = "1")]
    pub wall_ms: u64,
    /// The digest of its durations.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
}

/// What precedes the machine, or an upstream whose machine is not known, in the key of a
/// [`MachineRow`].
pub const MACHINE_PREFIX: &str = "m.";
/// What precedes the key of the digest in the key of a [`KindRow`].
pub const KIND_PREFIX: &str = "d.";
/// The longest key of a row, in bytes.
pub(super) const MAX_KEY_BYTES: usize = 255;

/// What precedes the upstream in the key of a [`RestartRow`].
pub(super) const RESTART_PREFIX: &str = "u.";

/// Returns the key of the [`RestartRow`] of an upstream.
pub fn restart_key(upstream: &str) -> String {
    format!("{RESTART_PREFIX}{upstream}")
}

/// Returns the key of the [`LeadersRow`].
pub fn leaders_key() -> String {
    "leaders".to_owned()
}

/// Returns the key of a wave's row.
pub fn wave_key(wave: u64) -> String {
    format!("w.{wave}")
}

/// Returns the key of the [`JobRow`] of a job.
pub fn job_key(job: &str) -> String {
    format!("j.{job}")
}

/// Returns the key of the [`StateRow`] of a job.
pub fn state_key(job: &str) -> String {
    format!("s.{job}")
}
