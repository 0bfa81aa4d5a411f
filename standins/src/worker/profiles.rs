//! How long tasks truly run, whatever their callers declared.

use crate::shared::Shared;
use std::collections::BTreeMap;
use trefoilgauge::prelude::Name;

/// What truly becomes of a gang's tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskProfile {
    /// The run time that a task needs in all, in milliseconds.
    pub run_ms: u64,
    /// The run time after which a task fails, in milliseconds, if it does.
    pub fail_ms: Option<u64>,
    /// The share of the declared memory that a task uses, in percent.
    pub memory_pct: u64,
}

impl TaskProfile {
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
    ordinary: TaskProfile,
    jobs: BTreeMap<Name, TaskProfile>,
}

/// The fates of all gangs, which workers share.
#[derive(Debug, Clone)]
pub struct TaskProfiles {
    table: Shared<Table>,
}

impl TaskProfiles {
    /// Makes a table with the profile of every gang that it does not name.
    pub fn new(ordinary: TaskProfile) -> Self {
        let table = Table {
            ordinary,
            jobs: BTreeMap::new(),
        };
        Self {
            table: Shared::new(table),
        }
    }

    /// Sets the profile of a gang.
    pub fn set(&self, job: &str, profile: TaskProfile) {
        self.table
            .with(|table| table.jobs.insert(job.into(), profile));
    }

    /// Returns the profile of a gang.
    pub fn of(&self, job: &str) -> TaskProfile {
        self.table
            .with(|table| table.jobs.get(job).copied().unwrap_or(table.ordinary))
    }
}

impl Default for TaskProfiles {
    fn default() -> Self {
        Self::new(TaskProfile::run(500))
    }
}
