//! The settings of a process: one plain struct per module, whose `Default` shows every option.

mod callers;
pub mod check;
pub mod file;
mod gangs;
mod keeper;
mod log;
mod ops;
pub mod options;
mod peers;
mod requests;
pub mod source;

pub use callers::CallersConfig;
pub use gangs::GangsConfig;
pub use keeper::KeeperConfig;
pub use log::LogConfig;
pub use ops::OpsConfig;
pub use peers::PeersConfig;
pub use requests::RequestsConfig;

use crate::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// All settings of a process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The name of this VM.
    pub vm: Name,
    /// The data centre of this VM.
    pub centre: Name,
    /// The callers' interface.
    pub callers: CallersConfig,
    /// The policy for gangs.
    pub gangs: GangsConfig,
    /// The keeping of workers.
    pub keeper: KeeperConfig,
    /// The platform's log.
    pub log: LogConfig,
    /// The operators' interface.
    pub ops: OpsConfig,
    /// The peers and the list of VMs.
    pub peers: PeersConfig,
    /// The policy for requests.
    pub requests: RequestsConfig,
}

impl Settings {
    /// Returns how many VMs are more than half of the largest fleet.
    pub fn quorum(&self) -> u64 {
        let most = self.requests.fleet + self.requests.spare;
        most / 2 + 1
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            vm: "vm-1".into(),
            centre: "centre-1".into(),
            callers: CallersConfig::default(),
            gangs: GangsConfig::default(),
            keeper: KeeperConfig::default(),
            log: LogConfig::default(),
            ops: OpsConfig::default(),
            peers: PeersConfig::default(),
            requests: RequestsConfig::default(),
        }
    }
}
