//! The durable form of the scheduler's state: two rows a job.

use super::model::Spec;

/// A row of the store: a key and its value; an empty value drops the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
}

/// What never changes of a job.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobRow {
    /// The queue.
    #[prost(string, tag = "1")]
    pub queue: String,
    /// The workspace.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// Unix milliseconds of the submission.
    #[prost(uint64, tag = "3")]
    pub wall_ms: u64,
    /// What was submitted.
    #[prost(message, optional, tag = "4")]
    pub spec: Option<Spec>,
    /// The call that submitted it.
    #[prost(fixed64, tag = "5")]
    pub nonce: u64,
}

/// What changes of a job.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StateRow {
    /// 0 open, 1 completed, 2 failed, 3 cancelled.
    #[prost(uint32, tag = "1")]
    pub closed: u32,
    /// Unix milliseconds at which it was closed.
    #[prost(uint64, tag = "2")]
    pub closed_ms: u64,
    /// Occurrences that have begun and are not done.
    #[prost(message, repeated, tag = "3")]
    pub turns: Vec<TurnRow>,
    /// The next occurrence to begin.
    #[prost(uint32, tag = "4")]
    pub next_turn: u32,
    /// Whether a task has ever been ordered to start.
    #[prost(bool, tag = "5")]
    pub begun: bool,
    /// Upstreams that the tasks name by position.
    #[prost(string, repeated, tag = "6")]
    pub upstreams: Vec<String>,
}

/// One occurrence.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TurnRow {
    /// Its number, from 0.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// Unix milliseconds at which it was due.
    #[prost(uint64, tag = "2")]
    pub due_ms: u64,
    /// Its tasks, step by step.
    #[prost(message, repeated, tag = "3")]
    pub tasks: Vec<TaskRow>,
}

/// One task.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TaskRow {
    /// The number of its last run, 0 before the first.
    #[prost(uint32, tag = "1")]
    pub runs: u32,
    /// Runs that failed.
    #[prost(uint32, tag = "2")]
    pub fails: u32,
    /// Whether it is done.
    #[prost(bool, tag = "3")]
    pub done: bool,
    /// What it has saved last.
    #[prost(string, tag = "4")]
    pub saved: String,
    /// The upstream of its live run as a position in `upstreams`, from 1; 0 if none.
    #[prost(uint32, tag = "5")]
    pub at: u32,
    /// The number of the run that failed last.
    #[prost(uint32, tag = "6")]
    pub failed_run: u32,
}

/// How far a wave of maintenance is.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WaveRow {
    /// Machines that were ordered down and may not be back.
    #[prost(string, repeated, tag = "1")]
    pub ordered: Vec<String>,
    /// Machines that are back.
    #[prost(string, repeated, tag = "2")]
    pub done: Vec<String>,
    /// Whether all of it is done.
    #[prost(bool, tag = "3")]
    pub completed: bool,
    /// Whether the operators know that it is.
    #[prost(bool, tag = "4")]
    pub announced: bool,
}

/// The key of a wave's row.
pub fn wave_key(wave: u64) -> String {
    format!("w.{wave}")
}

/// The key of a job's fixed row.
pub fn job_key(job: &str) -> String {
    format!("j.{job}")
}

/// The key of a job's changing row.
pub fn state_key(job: &str) -> String {
    format!("s.{job}")
}
