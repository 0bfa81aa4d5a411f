//! Polls the platform's list of VMs; a list with a lower revision than an earlier one is ignored.

use super::engine::Engine;
use super::http::Client;
use crate::configs::PeersConfig;
use crate::platform::Member;
use crate::platform::MemberList;
use crate::reducer::Event;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The time limit of a call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// The task that polls the list; aborted when this is dropped.
#[derive(Debug)]
pub struct Members {
    /// The most recent list.
    pub list: watch::Receiver<Vec<Member>>,
    task: JoinHandle<()>,
}

impl Drop for Members {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts polling the list every `vms_ms` milliseconds.
pub fn spawn(config: PeersConfig, engine: Engine) -> Members {
    let (tx, rx) = watch::channel(Vec::new());
    let task = tokio::spawn(async move {
        let client = Client::new(CALL_TIMEOUT_MS);
        let mut revision = 0;
        loop {
            let list = client
                .get::<MemberList>(&config.vms_addr, "/v1/vms", 0)
                .await;
            match list {
                Ok(list) if list.revision >= revision => {
                    revision = list.revision;
                    tx.send_replace(list.vms.clone());
                    engine.send(Event::Members { list: list.vms }).await;
                }
                Ok(_) => log::debug!("ignored a list of VMs with an older revision"),
                Err(error) => log::debug!("cannot read the list of VMs: {error}"),
            }
            tokio::time::sleep(Duration::from_millis(config.vms_ms)).await;
        }
    });
    Members { list: rx, task }
}
