//! What callers asked for, and what they were told.

use crate::model::Job;
use crate::prelude::*;
use crate::reducer::effect::Reply;

/// What a caller asks for.
#[derive(Debug, Clone)]
pub enum Ask {
    /// To run a request.
    Request {
        /// The kind of work.
        kind: Name,
        /// The idempotency key.
        key: Option<Name>,
        /// How long it runs, in milliseconds.
        run_ms: u64,
        /// The time that the caller gives it, in milliseconds.
        deadline_ms: Option<u64>,
    },
    /// To accept a gang.
    Submit {
        /// The gang.
        job: Job,
    },
    /// To cancel a gang.
    Cancel {
        /// The workspace.
        workspace: Name,
        /// The gang.
        job: Name,
    },
}

/// A final answer as a caller gets it.
#[derive(Debug, Clone)]
pub struct Told {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// The configuration offset that it names.
    pub cfg: Offset,
    /// The answer.
    pub reply: Reply,
    /// The whole body, if an upstream gave one.
    pub body: Option<String>,
}

/// A caller's call.
#[derive(Debug, Clone)]
pub struct Call {
    /// Its identifier.
    pub req: Name,
    /// The entry process that it goes to.
    pub vm: usize,
    /// What it asks for.
    pub ask: Ask,
    /// When it was taken in, in milliseconds.
    pub sent_ms: Option<u64>,
    /// The boot of the process that took it in.
    pub boot: u64,
    /// Whether its process died while it was open.
    pub cut: bool,
    /// Everything that the caller was told.
    pub told: Vec<Told>,
}

impl Call {
    /// Makes a call.
    pub fn new(req: &str, vm: usize, ask: Ask) -> Self {
        Self {
            req: req.into(),
            vm,
            ask,
            sent_ms: None,
            boot: 0,
            cut: false,
            told: Vec::new(),
        }
    }

    /// Makes a request.
    pub fn request(req: &str, vm: usize, kind: &str, key: Option<&str>, run_ms: u64) -> Self {
        let ask = Ask::Request {
            kind: kind.into(),
            key: key.map(Into::into),
            run_ms,
            deadline_ms: None,
        };
        Self::new(req, vm, ask)
    }

    /// Gives a request this time, in milliseconds.
    pub fn within(mut self, limit_ms: u64) -> Self {
        if let Ask::Request { deadline_ms, .. } = &mut self.ask {
            *deadline_ms = Some(limit_ms);
        }
        self
    }

    /// Returns the key of a request.
    pub fn key(&self) -> Option<&Name> {
        match &self.ask {
            Ask::Request { key, .. } => key.as_ref(),
            _ => None,
        }
    }

    /// Tells whether its caller still waits.
    pub fn open(&self) -> bool {
        self.sent_ms.is_some() && self.told.is_empty() && !self.cut
    }
}
