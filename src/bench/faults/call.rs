//! The calls of callers, and the replies they received.

use crate::model::Job;
use crate::prelude::*;
use crate::reducer::effect::Reply;

/// The operation of a call.
#[derive(Debug, Clone)]
pub enum Operation {
    /// Runs a request.
    Request {
        /// The kind of work.
        kind: Name,
        /// The idempotency key.
        key: Option<Name>,
        /// How long it runs, in milliseconds.
        run_ms: u64,
        /// The time limit that the caller sets, in milliseconds.
        deadline_ms: Option<u64>,
    },
    /// Submits a gang.
    Submit {
        /// The gang.
        job: Job,
    },
    /// Cancels a gang.
    Cancel {
        /// The workspace.
        workspace: Name,
        /// The gang.
        job: Name,
    },
}

/// A final reply as a caller received it.
#[derive(Debug, Clone)]
pub struct ReceivedReply {
    /// When it arrived, in milliseconds.
    pub at_ms: u64,
    /// The configuration offset under which it was decided.
    pub cfg: Offset,
    /// The reply.
    pub reply: Reply,
    /// The complete body, if an upstream returned one.
    pub body: Option<String>,
}

/// A caller's call.
#[derive(Debug, Clone)]
pub struct Call {
    /// Its identifier.
    pub req: Name,
    /// The entry process that it goes to.
    pub vm: usize,
    /// Its operation.
    pub operation: Operation,
    /// When its process received it, in milliseconds.
    pub sent_ms: Option<u64>,
    /// The boot of the process that received it.
    pub boot: u64,
    /// Whether its process was killed while it was open.
    pub aborted: bool,
    /// All replies to the caller; a correct run gives at most one.
    pub replies: Vec<ReceivedReply>,
}

impl Call {
    /// Makes a call.
    pub fn new(req: &str, vm: usize, operation: Operation) -> Self {
        Self {
            req: req.into(),
            vm,
            operation,
            sent_ms: None,
            boot: 0,
            aborted: false,
            replies: Vec::new(),
        }
    }

    /// Makes a request.
    pub fn request(req: &str, vm: usize, kind: &str, key: Option<&str>, run_ms: u64) -> Self {
        let operation = Operation::Request {
            kind: kind.into(),
            key: key.map(Into::into),
            run_ms,
            deadline_ms: None,
        };
        Self::new(req, vm, operation)
    }

    /// Sets the time limit of a request, in milliseconds.
    pub fn within(mut self, limit_ms: u64) -> Self {
        if let Operation::Request { deadline_ms, .. } = &mut self.operation {
            *deadline_ms = Some(limit_ms);
        }
        self
    }

    /// Returns the key of a request.
    pub fn key(&self) -> Option<&Name> {
        match &self.operation {
            Operation::Request { key, .. } => key.as_ref(),
            _ => None,
        }
    }

    /// Returns whether its caller is waiting for a reply.
    pub fn is_open(&self) -> bool {
        self.sent_ms.is_some() && self.replies.is_empty() && !self.aborted
    }
}
