//! The scheduler's inputs.
use super::model::Config;
use super::model::How;
use super::model::Listing;
use super::model::Machine;
use super::model::RunId;
use super::model::Spec;
use super::model::StepId;
use super::model::Wave;
use crate::prelude::*;

/// What a caller requests, decoded.
#[derive(Debug, Clone, PartialEq)]
pub enum Operation {
    /// Submit a job.
    Submit(Arc<Spec>),
    /// Submit a job whose body could not be decoded, with the reason.
    Malformed(String),
    /// Return the state of a job, or how many jobs of a queue wait.
    State,
    /// Cancel a job.
    Cancel,
}

/// A caller's request.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// The host that the caller named.
    pub host: String,
    /// The path that the caller named.
    pub path: String,
    /// The caller's API key, empty if none.
    pub key: String,
    /// What is requested.
    pub operation: Operation,
    /// Identifies the call at every leader that it is relayed to; 0 until the VM that receives the
    /// call sets it.
    pub nonce: u64,
}

/// The state of a job, as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// Every task is done.
    Completed,
    /// A task failed too often.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// The reply to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The job is accepted, and the store has it.
    Accepted,
    /// The job is not accepted and will not run; the caller may retry later.
    Refused {
        /// How long the caller should wait before it retries, in milliseconds.
        wait_ms: u64,
        /// The reason.
        why: &'static str,
    },
    /// A job's state.
    State(Phase),
    /// The number of jobs of a queue that have not started.
    Waiting(u64),
    /// The job is cancelled.
    Cancelled,
    /// There is no such job.
    Gone,
    /// There is no such queue.
    NoQueue,
    /// The key is unknown.
    BadKey,
    /// The call cannot be read.
    Bad(String),
    /// The call may or may not have taken effect.
    Unknown,
    /// No VM that could reply was reached; nothing took effect.
    Unavailable {
        /// How long the caller should wait before it retries, in milliseconds.
        wait_ms: u64,
    },
}

/// The response of an upstream to an order to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Started {
    /// It runs.
    Yes,
    /// The upstream has seen a higher token.
    Fenced,
    /// The upstream will not start the run: this run or a later one of the task has ended or been
    /// stopped there.
    Barred,
    /// The lease had expired when the order arrived.
    Late,
    /// The upstream lacks the resources.
    Full,
    /// The order carries no advice ticket that is valid for the upstream.
    Unadvised,
    /// The upstream reports that it is unhealthy; nothing was started.
    Unwell,
    /// Another process answers at the address.
    OtherLife,
    /// The upstream rejects the order as malformed.
    Rejected,
    /// The order was not sent: no connection was made in time. It does not take effect.
    Unsent,
    /// There was no response; the order may still take effect.
    Silent,
}

/// The response of an upstream to an order to stop or to pace a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is carried out. A run ordered to stop cannot start there any more, and ends if it
    /// runs.
    Yes,
    /// The upstream has seen a higher token.
    Fenced,
    /// Another process answers at the address.
    OtherLife,
    /// There was no response.
    Silent,
}

/// The response of the platform to an order to take a machine down for maintenance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Downed {
    /// It goes down now, or already did so for the same wave.
    Yes,
    /// The platform has seen a higher token for this machine.
    Fenced,
    /// The machine is not in service; nothing was done.
    Busy,
    /// The machine does not exist, or does not belong to the wave.
    Unknown,
    /// The platform received too many calls; nothing was done.
    Declined,
    /// There was no response; the order may still take effect.
    Silent,
}

/// Which upstreams may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Advised {
    /// The upstreams that may, each with the ticket that its orders must carry.
    pub eligible: Vec<(Name, Arc<str>)>,
    /// How long the tickets are valid, in milliseconds.
    pub valid_ms: u64,
}

/// The progress of a run that is active at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunProgress {
    /// The run.
    pub run: RunId,
    /// Its last checkpoint, empty if none.
    pub saved: String,
    /// Its progress, in percent.
    pub percent: u32,
    /// For a serving task, its tail latency in milliseconds; for any other, its CPU use in
    /// thousandths of a core. Both are taken over about the last half second.
    pub metric: u64,
}

/// A run that ended at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// The number of this end since the upstream's process started.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub how: How,
    /// Its last checkpoint, empty if none.
    pub saved: String,
}

/// The runs of an upstream, as it reports them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// When its process started, Unix milliseconds; 0 if not given.
    pub born: u64,
    /// The active runs.
    pub running: Vec<RunProgress>,
    /// The runs that ended and whose end is not yet acknowledged.
    pub ended: Vec<Ended>,
    /// Whether more such ends may wait than the report has room for.
    pub more: bool,
}

/// The response of an upstream to a renewal of its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Held {
    /// Its runs.
    Report(Report),
    /// The upstream has seen a higher token.
    Fenced,
    /// Another process answers at the address.
    OtherLife,
    /// There was no response.
    Silent,
}

/// A reading of an upstream's clock, taken from a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reading {
    /// The upstream's steady clock, in milliseconds.
    pub clock_ms: u64,
    /// The time of the local clock at which it was read, in milliseconds.
    pub at: u64,
}

/// An input of the scheduler.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A job was not accepted: its rows will never be stored, and it must not run.
    Withdrawn(Name),
    /// The process that led before has certainly ended, and with it its orders.
    PredecessorEnded,
    /// A caller's request arrived.
    Called {
        /// Identifies the call in the reply.
        call: u64,
        /// The request.
        what: Call,
    },
    /// A new version of the configuration was read.
    Config(Arc<Config>),
    /// Current entries of upstreams in service discovery.
    Listed(Vec<Listing>),
    /// Upstreams that no longer have an entry in service discovery.
    Unlisted(Vec<Name>),
    /// An order to start a run was answered, or timed out.
    Started {
        /// The upstream.
        at: Name,
        /// The run.
        run: RunId,
        /// Its response.
        answer: Started,
        /// Its clock, if the response shows it.
        clock: Option<Reading>,
    },
    /// An order to stop a run was answered, or timed out.
    Stopped {
        /// The upstream.
        at: Name,
        /// The run.
        run: RunId,
        /// Its response.
        answer: OrderOutcome,
        /// Its clock, if the response shows it.
        clock: Option<Reading>,
    },
    /// An order to change a run's speed was answered, or timed out.
    Paced {
        /// The upstream.
        at: Name,
        /// The run.
        run: RunId,
        /// Its response.
        answer: OrderOutcome,
    },
    /// A lease renewal was answered, or timed out.
    Held {
        /// The upstream.
        at: Name,
        /// The mark that the renewal carried.
        mark: u64,
        /// Its response.
        answer: Held,
        /// Its clock, if the response shows it.
        clock: Option<Reading>,
    },
    /// All ends of runs up to `number` at an upstream are stored.
    EndsStored {
        /// The upstream.
        at: Name,
        /// When the process that numbered them started, Unix milliseconds.
        born: u64,
        /// The number of the last stored end.
        number: u64,
    },
    /// The closure of a job is stored.
    ClosureStored(Name),
    /// A request for advice was answered, or timed out.
    Advised {
        /// The step.
        step: StepId,
        /// The upstreams that the request named.
        asked: Vec<Name>,
        /// The response, if there was one.
        answer: Option<Advised>,
    },
    /// The operators order maintenance of some machines.
    Wave(Wave),
    /// The complete list of data centres whose upstreams get no new work.
    Evacuated(Vec<Name>),
    /// Whether the upstreams of a data centre get no new work from now on.
    Evacuate(Name, bool),
    /// The list of all machines, none if the platform did not respond.
    Machines(Option<Vec<Machine>>),
    /// An order to take a machine down was answered, or timed out.
    Downed {
        /// The machine.
        machine: Name,
        /// The wave.
        wave: u64,
        /// The response.
        answer: Downed,
    },
    /// An attempt to announce the state of a wave to the operators has ended.
    Announced {
        /// The wave.
        wave: u64,
        /// Whether the wave was announced as completed; else as under way.
        completed: bool,
        /// Whether the announcement is stored.
        stored: bool,
    },
}
