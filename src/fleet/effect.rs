//! What the scheduler wants done.

use super::event::Reply;
use super::model::RunId;
use super::model::StepId;
use super::row::Row;
use crate::prelude::*;

/// One thing to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Answer a caller.
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
        /// The run.
        run: RunId,
        /// The text of the job.
        text: Arc<str>,
        /// The lease, on the upstream's clock, in milliseconds.
        until_ms: u64,
        /// What to resume from, empty for the beginning.
        saved: String,
        /// The ticket of a step that needs advice, else empty.
        ticket: Arc<str>,
    },
    /// Order an upstream to stop a run.
    Stop {
        /// The upstream.
        at: Name,
        /// Its address.
        addr: Name,
        /// The run.
        run: RunId,
    },
    /// Order an upstream to let a run work at a share of its speed.
    Pace {
        /// The upstream.
        at: Name,
        /// Its address.
        addr: Name,
        /// The run.
        run: RunId,
        /// The share, in percent.
        percent: u32,
    },
    /// Renew the lease of an upstream's runs and read what it holds.
    Hold {
        /// The upstream.
        at: Name,
        /// Its address.
        addr: Name,
        /// The lease, on the upstream's clock, in milliseconds; 0 to leave it.
        until_ms: u64,
        /// Ends up to this number are stored.
        seen: u64,
        /// How long the upstream may wait for an end, in milliseconds.
        wait_ms: u64,
        /// Orders the renewal among events; comes back with the report.
        mark: u64,
    },
    /// Tell the scheduler, once all before is stored, that the ends are.
    EndsStored {
        /// The upstream.
        at: Name,
        /// The last end.
        number: u64,
    },
    /// Tell the scheduler, once all before is stored, that the store has the job as closed.
    ClosureStored {
        /// The job.
        job: Name,
    },
    /// Ask which upstreams may run a step.
    Advise {
        /// The step.
        step: StepId,
        /// The upstreams in question.
        upstreams: Vec<Name>,
        /// How long the answer is expected to take, in milliseconds.
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
    /// Tell the operators the state of a wave.
    Announce {
        /// The wave.
        wave: u64,
        /// Whether it is completed; else it is under way.
        completed: bool,
    },
    /// Give up the lead: a higher token is in use.
    Resign {
        /// The reason.
        why: String,
    },
}

/// What one step results in.
#[derive(Debug, Default)]
pub struct Output {
    /// Rows to store, in order.
    pub rows: Vec<Row>,
    /// Effects to carry out after the rows are stored.
    pub after_store: Vec<Effect>,
    /// Effects to carry out at once.
    pub immediate: Vec<Effect>,
    /// Whether places were searched for waiting tasks: the part that takes the most time.
    pub planned: bool,
}
