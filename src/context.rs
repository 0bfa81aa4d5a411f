//! The inputs of every decision besides the state: the settings and the identity of the process.

use crate::configs::Settings;
use crate::prelude::*;

/// The kind of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Process {
    /// Accepts calls and dispatches requests to runners.
    Entry,
    /// Places gangs and manages workers.
    Placer,
}

/// The identity and settings of a process; shared by all modules.
#[derive(Debug, Clone)]
pub struct Context {
    /// The kind of this process.
    pub process: Process,
    /// The writer name of this process, such as `vm-3/entry`.
    pub writer: Name,
    /// The start time of this process, in milliseconds of wall time.
    pub boot: u64,
    /// The settings.
    pub settings: Arc<Settings>,
}

impl Context {
    /// Creates the context of a process that started at `boot`.
    pub fn new(process: Process, settings: Settings, boot: u64) -> Self {
        let part = match process {
            Process::Entry => "entry",
            Process::Placer => "placer",
        };
        Self {
            process,
            writer: format!("{}/{part}", settings.vm).into(),
            boot,
            settings: Arc::new(settings),
        }
    }
}
