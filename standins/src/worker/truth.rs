//! How long tasks truly run, whatever their callers declared.

use crate::shared::Shared;
use std::collections::BTreeMap;
use trefoilgauge::prelude::Name;

/// What truly becomes of a gang's tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fate {
    /// The run time that a task needs in all, in milliseconds.
    pub run_ms: u64,
    /// The run time after which a task fails, in milliseconds, if it does.
    pub fail_ms: Option<u64>,
    /// The share of the declared memory that a task uses, in percent.
    pub memory_pct: u64,
}

impl Fate {
    /// Runs for `run_ms` and ends well.
    pub const fn run(run_ms: u64) -> Self {
        Self {
            run_ms,
            fail_ms: None,
            memory_pct: 100,
        }
    }
}

#[derive(Debug)]
struct Table {
    ordinary: Fate,
    jobs: BTreeMap<Name, Fate>,
}

/// The fates of all gangs, which workers share.
#[derive(Debug, Clone)]
pub struct Truth {
    table: Shared<Table>,
}

impl Truth {
    /// Makes a table with the fate of every gang that it does not name.
    pub fn new(ordinary: Fate) -> Self {
        let table = Table {
            ordinary,
            jobs: BTreeMap::new(),
        };
        Self {
            table: Shared::new(table),
        }
    }

    /// Sets the fate of a gang.
    pub fn set(&self, job: &str, fate: Fate) {
        self.table.with(|table| table.jobs.insert(job.into(), fate));
    }

    /// Returns the fate of a gang.
    pub fn of(&self, job: &str) -> Fate {
        self.table
            .with(|table| table.jobs.get(job).copied().unwrap_or(table.ordinary))
    }
}

impl Default for Truth {
    fn default() -> Self {
        Self::new(Fate::run(500))
    }
}
