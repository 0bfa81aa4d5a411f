//! What the scheduler is told.

use super::model::Config;
use super::model::How;
use super::model::Listing;
use super::model::Machine;
use super::model::RunId;
use super::model::Spec;
use super::model::StepId;
use super::model::Wave;
use crate::prelude::*;

/// A call of a caller, decoded.
#[derive(Debug, Clone, PartialEq)]
pub enum Operation {
    /// Submit a job.
    Submit(Arc<Spec>),
    /// Submit a body that cannot be read.
    Malformed(String),
    /// Tell a job's state.
    State,
    /// Cancel a job.
    Cancel,
}

/// A call with what all calls carry.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// The host that the caller named.
    pub host: String,
    /// The path that the caller named.
    pub path: String,
    /// The caller's key, empty if none.
    pub key: String,
    /// What is asked.
    pub operation: Operation,
    /// Identifies the call across the leaders that it is passed to; 0 until the VM that takes the
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

/// The response to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The job is accepted and stored.
    Accepted,
    /// Not accepted, and never run; come back after so many milliseconds.
    Refused {
        /// When to come back, in milliseconds.
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
    /// Nobody can tell whether the call took effect.
    Unknown,
    /// No VM that could answer is reached; nothing took effect.
    Unavailable {
        /// When to come back, in milliseconds.
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
    /// The run is barred: it, or a later one, has ended or been stopped there.
    Barred,
    /// The lease had expired when the order came.
    Late,
    /// There is no room.
    Full,
    /// The order carries no ticket that is valid there.
    Unadvised,
    /// The upstream is unwell and did nothing.
    Unwell,
    /// Another process answers at the address.
    OtherLife,
    /// The order is malformed to the upstream.
    Rejected,
    /// There was no response; the order may yet take effect.
    Silent,
}

/// The response of an upstream to an order to stop or to pace a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It does so: a run that is to stop is barred there, and ends if it runs.
    Yes,
    /// The upstream has seen a higher token.
    Fenced,
    /// Another process answers at the address.
    OtherLife,
    /// There was no response.
    Silent,
}

/// The response of the platform to an order that takes a machine down for maintenance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Downed {
    /// It goes down now, or did so before for the same wave.
    Yes,
    /// The platform has seen a higher token for this machine.
    Fenced,
    /// It is not up; nothing was done.
    Busy,
    /// The machine does not exist, or is none of the wave.
    Unknown,
    /// Too many calls; nothing was done.
    Declined,
    /// There was no response; the order may yet take effect.
    Silent,
}

/// Which upstreams may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Advised {
    /// Those that may, each with the ticket for its orders.
    pub eligible: Vec<(Name, Arc<str>)>,
    /// How long the tickets are valid, in milliseconds.
    pub valid_ms: u64,
}

/// A run that an upstream has at work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunProgress {
    /// The run.
    pub run: RunId,
    /// What it has saved last.
    pub saved: String,
    /// How far it is, in percent.
    pub percent: u32,
    /// Of a task that serves, the tail of its response times in milliseconds; of any other, the
    /// thousandths of a core that it uses. Both over about the last half second.
    pub metric: u64,
}

/// A run that ended at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// Counts the ends of one life of the upstream.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub how: How,
    /// What it has saved last.
    pub saved: String,
}

/// What an upstream holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// When its process started; 0 if it does not say.
    pub born: u64,
    /// What runs.
    pub running: Vec<RunProgress>,
    /// What ended and is not yet acknowledged.
    pub ended: Vec<Ended>,
}

/// The response of an upstream to a renewal of its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Held {
    /// What it holds.
    Report(Report),
    /// The upstream has seen a higher token.
    Fenced,
    /// Another process answers at the address.
    OtherLife,
    /// There was no response.
    Silent,
}

/// An upstream's clock, as a response showed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reading {
    /// Its steady clock, in milliseconds.
    pub clock_ms: u64,
    /// The own time at which it was read, in milliseconds.
    pub at: u64,
}

/// What the scheduler is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A job's rows will never be stored: it was not accepted, and never runs.
    Withdrawn(Name),
    /// A caller calls; `call` names it in the response.
    Called {
        /// Names the call in the reply.
        call: u64,
        /// The call.
        what: Call,
    },
    /// A version of the configuration was read.
    Config(Arc<Config>),
    /// Upstreams as discovery has them now.
    Listed(Vec<Listing>),
    /// Upstreams that discovery has no longer.
    Unlisted(Vec<Name>),
    /// An order to start was answered or given up.
    Started {
        /// The upstream.
        at: Name,
        /// The run.
        run: RunId,
        /// Its answer.
        answer: Started,
        /// Its clock.
        clock: Option<Reading>,
    },
    /// An order to stop was answered or given up.
    Stopped {
        /// The upstream.
        at: Name,
        /// The run.
        run: RunId,
        /// Its answer.
        answer: OrderOutcome,
        /// Its clock.
        clock: Option<Reading>,
    },
    /// An order to pace a run was answered or given up.
    Paced {
        /// The upstream.
        at: Name,
        /// The run.
        run: RunId,
        /// Its answer.
        answer: OrderOutcome,
    },
    /// A renewal was answered or given up.
    Held {
        /// The upstream.
        at: Name,
        /// The mark of the renewal.
        mark: u64,
        /// Its answer.
        answer: Held,
        /// Its clock.
        clock: Option<Reading>,
    },
    /// Ends up to `number` at an upstream are stored.
    EndsStored {
        /// The upstream.
        at: Name,
        /// The last end.
        number: u64,
    },
    /// The store has a job as closed.
    ClosureStored(Name),
    /// A question about upstreams was answered or given up.
    Advised {
        /// The step.
        step: StepId,
        /// The upstreams in question.
        asked: Vec<Name>,
        /// The answer; none if there was no response.
        answer: Option<Advised>,
    },
    /// The operators order maintenance.
    Wave(Wave),
    /// All data centres whose upstreams get no new work.
    Evacuated(Vec<Name>),
    /// Whether the upstreams of a data centre get no new work from now on.
    Evacuate(Name, bool),
    /// All machines, or none if the platform did not say.
    Machines(Option<Vec<Machine>>),
    /// An order to take a machine down was answered or given up.
    Downed {
        /// The machine.
        machine: Name,
        /// The wave.
        wave: u64,
        /// The answer.
        answer: Downed,
    },
    /// The operators were told the state of a wave, or not.
    Announced {
        /// The wave.
        wave: u64,
        /// Whether the state was that it is completed.
        completed: bool,
        /// Whether the store took it.
        stored: bool,
    },
}
