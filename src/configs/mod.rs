//! The settings of a process: one struct per section, whose `Default` has the default values.

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
    /// The name of this VM; unique in the fleet.
    pub vm: Name,
    /// The data centre of this VM.
    pub centre: Name,
    /// The callers' API.
    pub callers: CallersConfig,
    /// The policy for gangs.
    pub gangs: GangsConfig,
    /// The management of workers.
    pub keeper: KeeperConfig,
    /// The connection to the platform's log.
    pub log: LogConfig,
    /// The operators' API.
    pub ops: OpsConfig,
    /// The peers and the list of VMs.
    pub peers: PeersConfig,
    /// The policy for requests.
    pub requests: RequestsConfig,
}

impl Settings {
    /// Returns the number of VMs that form a majority of the largest fleet: `fleet` plus `spare`.
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
