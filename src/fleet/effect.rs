//! The scheduler's outputs.
use super::event::Reply;
use super::model::RunId;
use super::model::StepId;
use super::row::Row;
use crate::prelude::*;

/// An action for the host to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Reply to a caller.
    Reply {
        /// The call.
        call: u64,
        /// The reply.
        reply: Reply,
    },
    /// Order an upstream to start a run.
    Start {
        /// The upstream.
        at: Name,
        /// Its address.
        addr: Name,
        /// The life of the upstream that it is meant for, as the leader counts them; part of its
        /// fencing token.
        life: u64,
        /// The run.
        run: RunId,
        /// The text of the job.
        text: Arc<str>,
        /// The end of the lease, on the upstream's clock, in milliseconds.
        until_ms: u64,
        /// The checkpoint to resume from, empty to start from the beginning.
        saved: String,
        /// The ticket for a step that needs advice, else empty.
        ticket: Arc<str>,
    },
    /// Order an upstream to stop a run.
    Stop {
        /// The upstream.
        at: Name,
        /// Its address.
        addr: Name,
        /// The life of the upstream that it is meant for, as the leader counts them; part of its
        /// fencing token.
        life: u64,
        /// The run.
        run: RunId,
    },
    /// Order an upstream to run a task at a share of its full speed.
    Pace {
        /// The upstream.
        at: Name,
        /// Its address.
        addr: Name,
        /// The life of the upstream that it is meant for, as the leader counts them; part of its
        /// fencing token.
        life: u64,
        /// The run.
        run: RunId,
        /// The share, in percent.
        percent: u32,
    },
    /// Renew the lease of an upstream's runs and ask it for a report.
    Hold {
        /// The upstream.
        at: Name,
        /// Its address.
        addr: Name,
        /// The life of the upstream that it is meant for, as the leader counts them; part of its
        /// fencing token.
        life: u64,
        /// The end of the lease, on the upstream's clock, in milliseconds; 0 to leave it unchanged.
        until_ms: u64,
        /// Acknowledges the ends up to this number: they are stored.
        seen: u64,
        /// How long the upstream may wait for a run to end before it responds, in milliseconds.
        wait_ms: u64,
        /// The position of the renewal in the sequence of events; returned with the report.
        mark: u64,
    },
    /// Notify the scheduler once all ends of runs up to `number` are stored.
    EndsStored {
        /// The upstream.
        at: Name,
        /// When the process that numbered them started, Unix milliseconds.
        born: u64,
        /// The number of the last end.
        number: u64,
    },
    /// Notify the scheduler once the closure of a job is stored.
    ClosureStored {
        /// The job.
        job: Name,
    },
    /// Ask the advice service which upstreams may run a step.
    Advise {
        /// The step.
        step: StepId,
        /// The upstreams to ask about.
        upstreams: Vec<Name>,
        /// How long the service is given to respond, in milliseconds.
        call_ms: u64,
    },
    /// List all machines.
    ListMachines,
    /// Order the platform to take a machine down for maintenance.
    TakeDown {
        /// The machine.
        machine: Name,
        /// The wave.
        wave: u64,
    },
    /// Announce the state of a wave to the operators.
    Announce {
        /// The wave.
        wave: u64,
        /// Whether it is completed; else it is under way.
        completed: bool,
    },
    /// Stop leading: a higher fencing token is in use.
    Resign {
        /// The reason.
        why: String,
    },
}

/// The result of one pass of the scheduler.
#[derive(Debug, Default)]
pub struct Output {
    /// Rows to store, in order.
    pub rows: Vec<Row>,
    /// Effects to carry out once these rows, and all rows before them, are stored.
    pub after_store: Vec<Effect>,
    /// Effects to carry out at once.
    pub immediate: Vec<Effect>,
    /// Whether waiting tasks were placed, which takes the most time of a pass.
    pub planned: bool,
}
