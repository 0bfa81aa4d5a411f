//! A runner at the interface of `docs/PLATFORM.md`: it runs requests and remembers what it ran.

use crate::prelude::*;

/// A request as a runner gets it.
#[derive(Debug, Clone)]
pub struct Work {
    /// The request.
    pub req: Name,
    /// The number of the try.
    pub attempt: u32,
    /// The caller's key.
    pub key: Option<Name>,
    /// How long it runs, in milliseconds.
    pub run_ms: u64,
}

/// One run of a request.
#[derive(Debug, Clone)]
pub struct Execution {
    /// The request.
    pub req: Name,
    /// The caller's key.
    pub key: Option<Name>,
    /// The runner.
    pub runner: Name,
    /// When it began, in milliseconds.
    pub at_ms: u64,
    /// When it ended or will end, in milliseconds.
    pub end_ms: u64,
}

/// What a runner does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// It runs it and answers after so many milliseconds.
    Runs(u64),
    /// It serves as many as it can.
    Busy,
    /// It is leaving.
    Leaving,
}

/// A runner.
#[derive(Debug, Clone)]
pub struct FakeRunner {
    /// Its name.
    pub name: Name,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The requests that it serves at once.
    pub slots: usize,
    /// Everything that it ran.
    pub ran: Vec<Execution>,
}

impl FakeRunner {
    /// Makes a runner.
    pub fn new(name: &str, slots: usize) -> Self {
        Self {
            name: name.into(),
            leaving: false,
            slots,
            ran: Vec::new(),
        }
    }

    /// Takes in a request.
    pub fn take(&mut self, now_ms: u64, work: &Work) -> Taken {
        if self.leaving {
            return Taken::Leaving;
        }
        let open = self.ran.iter().filter(|one| one.end_ms > now_ms).count();
        if open >= self.slots {
            return Taken::Busy;
        }
        self.ran.push(Execution {
            req: work.req.clone(),
            key: work.key.clone(),
            runner: self.name.clone(),
            at_ms: now_ms,
            end_ms: now_ms + work.run_ms,
        });
        Taken::Runs(work.run_ms)
    }
}
