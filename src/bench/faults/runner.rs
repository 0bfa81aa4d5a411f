//! A fake runner with the interface of `docs/PLATFORM.md`: it runs requests and records each run.

use crate::prelude::*;

/// A request as a runner receives it.
#[derive(Debug, Clone)]
pub struct Work {
    /// The request.
    pub req: Name,
    /// The number of the attempt.
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

/// How a runner responds to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It runs the request, and responds after this many milliseconds.
    Runs(u64),
    /// All its slots are in use.
    Busy,
    /// It is leaving.
    Leaving,
}

/// A fake runner.
#[derive(Debug, Clone)]
pub struct FakeRunner {
    /// Its name.
    pub name: Name,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The requests that it serves at once.
    pub slots: usize,
    /// All its runs.
    pub executions: Vec<Execution>,
}

impl FakeRunner {
    /// Makes a runner.
    pub fn new(name: &str, slots: usize) -> Self {
        Self {
            name: name.into(),
            leaving: false,
            slots,
            executions: Vec::new(),
        }
    }

    /// Starts a request, if the runner is not leaving and has a free slot.
    pub fn admit(&mut self, now_ms: u64, work: &Work) -> Admission {
        if self.leaving {
            return Admission::Leaving;
        }
        let open = self
            .executions
            .iter()
            .filter(|one| one.end_ms > now_ms)
            .count();
        if open >= self.slots {
            return Admission::Busy;
        }
        self.executions.push(Execution {
            req: work.req.clone(),
            key: work.key.clone(),
            runner: self.name.clone(),
            at_ms: now_ms,
            end_ms: now_ms + work.run_ms,
        });
        Admission::Runs(work.run_ms)
    }
}
