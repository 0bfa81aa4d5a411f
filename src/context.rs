//! What every decision may look at besides the state: the settings and who this process is.

use crate::configs::Settings;
use crate::prelude::*;

/// Which of the system's processes this is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Process {
    /// Serves callers.
    Entry,
    /// Places gangs and keeps workers.
    Placer,
}

/// Passed by reference to every module.
#[derive(Debug, Clone)]
pub struct Context {
    /// Which process this is.
    pub process: Process,
    /// The writer name of this process, such as `vm-3/entry`.
    pub writer: Name,
    /// The start of this process, in milliseconds of wall time.
    pub boot: u64,
    /// The settings.
    pub settings: Arc<Settings>,
}

impl Context {
    /// Makes the context of a process that starts now.
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
