//! The actual run times of simulated tasks, independent of what their callers declared.

use crate::shared::Shared;
use std::collections::BTreeMap;
use trefoilgauge::prelude::Name;

/// How the tasks of a gang actually behave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskProfile {
    /// The total run time that a task needs, in milliseconds.
    pub run_ms: u64,
    /// The run time after which a task fails, in milliseconds, or `None` if it succeeds.
    pub fail_ms: Option<u64>,
    /// The memory that a task uses, in percent of the declared memory.
    pub memory_pct: u64,
}

impl TaskProfile {
    /// A task that succeeds after `run_ms` and uses all its declared memory.
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
    default: TaskProfile,
    jobs: BTreeMap<Name, TaskProfile>,
}

/// The profiles of all gangs, which workers share.
#[derive(Debug, Clone)]
pub struct TaskProfiles {
    table: Shared<Table>,
}

impl TaskProfiles {
    /// Creates a table; `default` applies to every gang without a profile of its own.
    pub fn new(default: TaskProfile) -> Self {
        let table = Table {
            default,
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
            .with(|table| table.jobs.get(job).copied().unwrap_or(table.default))
    }
}

impl Default for TaskProfiles {
    fn default() -> Self {
        Self::new(TaskProfile::run(500))
    }
}
