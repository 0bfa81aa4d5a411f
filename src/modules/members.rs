//! Reads the platform's list of VMs; an answer older than one seen before is passed over.

use super::engine::Engine;
use super::http::Client;
use crate::configs::PeersConfig;
use crate::platform::Member;
use crate::platform::MemberList;
use crate::reducer::Event;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The time in which the list must be answered, in milliseconds.
const CALL_MS: u64 = 1_000;

/// The task that reads the list.
#[derive(Debug)]
pub struct Members {
    /// The list as last read.
    pub list: watch::Receiver<Vec<Member>>,
    task: JoinHandle<()>,
}

impl Drop for Members {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reads the list again and again.
pub fn spawn(config: PeersConfig, engine: Engine) -> Members {
    let (tx, rx) = watch::channel(Vec::new());
    let task = tokio::spawn(async move {
        let client = Client::new(CALL_MS);
        let mut revision = 0;
        loop {
            let list = client
                .get::<MemberList>(&config.vms_addr, "/v1/vms", 0)
                .await;
            match list {
                Ok(list) if list.revision >= revision => {
                    revision = list.revision;
                    tx.send_replace(list.vms.clone());
                    engine.tell(Event::Members { list: list.vms }).await;
                }
                Ok(_) => log::debug!("an older list of VMs was passed over"),
                Err(error) => log::debug!("the list of VMs cannot be read: {error}"),
            }
            tokio::time::sleep(Duration::from_millis(config.vms_ms)).await;
        }
    });
    Members { list: rx, task }
}
