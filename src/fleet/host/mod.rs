//! Runs the scheduler on a VM: elects the leader, relays calls to it, stores what it decides.

mod area;
mod engine;
mod frame;
mod hands;
mod lead;
mod link;
mod relay;
mod watch;

use super::event::Call;
use super::event::Reply;
use super::ports::Advisor;
use super::ports::Machines;
use super::ports::Store;
use super::ports::Upstreams;
use super::timing::Timing;
use crate::prelude::*;
use engine::Engine;
use link::Link;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch as channel;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::timeout_at;

/// How long a call waits for a leader to be found before it is refused, in milliseconds: an
/// election takes less unless the store is away.
const LEADERLESS_MS: u64 = 1_200;
/// `Retry-After` where no leader is found, in milliseconds.
const LEADERLESS_WAIT_MS: u64 = 400;

/// What a host is made of.
#[derive(Debug, Clone)]
pub struct Parts {
    /// The VM's name.
    pub name: Name,
    /// Where other VMs reach this one.
    pub peer_addr: SocketAddr,
    /// The store.
    pub store: Arc<dyn Store>,
    /// The upstreams.
    pub upstreams: Arc<dyn Upstreams>,
    /// The service that tells which upstreams may run a step, if there is one.
    pub advisor: Option<Arc<dyn Advisor>>,
    /// The machines of the upstreams, if the platform manages them.
    pub machines: Option<Arc<dyn Machines>>,
    /// The bounds of the deployment.
    pub timing: Timing,
    /// The age of the configuration from which on calls with a key are refused, in milliseconds;
    /// 0 for no limit.
    pub config_age_ms: u64,
    /// The age of the configuration from which on no call is answered by it, in milliseconds.
    pub config_fresh_ms: u64,
    /// A number that no other start of any VM has.
    pub boot: u64,
    /// How long this VM waits before it claims a vacant lead, in milliseconds: VMs with more
    /// processor wait less.
    pub claim_delay_ms: u64,
}

/// Who answers calls, as this VM sees it.
#[derive(Debug, Clone)]
enum Desk {
    /// Nobody that is known.
    None,
    /// Nobody that is known, and the store, which would tell, is out of reach.
    Lost,
    /// This VM.
    Here(Engine),
    /// Another VM.
    There(Link),
}

/// A running host.
#[derive(Debug)]
pub struct Host {
    desk: channel::Receiver<Desk>,
    leaving: channel::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Host {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Starts a host.
///
/// # Errors
///
/// The address for other VMs cannot be bound.
pub async fn spawn(parts: Parts) -> std::io::Result<Host> {
    let (desk_tx, desk) = channel::channel(Desk::None);
    let (leaving, leaving_rx) = channel::channel(false);
    let relay = relay::bind(parts.peer_addr, desk.clone()).await?;
    let lead = tokio::spawn(lead::run(parts, desk_tx, leaving_rx, relay.heard.clone()));
    Ok(Host {
        desk,
        leaving,
        tasks: vec![lead, relay.task],
    })
}

impl Host {
    /// Answers a call within `left_ms`.
    pub async fn call(&self, what: Call, left_ms: u64) -> Reply {
        let started = Instant::now();
        let path = what.path.clone();
        let reply = self.ask(what, left_ms).await;
        if let Reply::Unavailable { .. } | Reply::Unknown = reply {
            let leader = match &*self.desk.borrow() {
                Desk::None => "none",
                Desk::Lost => "lost",
                Desk::Here(_) => "here",
                Desk::There(_) => "elsewhere",
            };
            log::info!(
                "TG1204 call path={path} reply={reply:?} leader={leader} after_ms={}",
                started.elapsed().as_millis()
            );
        }
        reply
    }

    async fn ask(&self, what: Call, left_ms: u64) -> Reply {
        let deadline = Instant::now() + Duration::from_millis(left_ms);
        let mut desk = self.desk.clone();
        let patience = Duration::from_millis(LEADERLESS_MS.min(left_ms / 2));
        let known = timeout_at(
            Instant::now() + patience,
            desk.wait_for(|desk| !matches!(desk, Desk::None)),
        );
        let found = match known.await {
            Ok(Ok(desk)) => desk.clone(),
            _ => Desk::None,
        };
        let answer = match found {
            Desk::None | Desk::Lost => {
                return Reply::Unavailable {
                    wait_ms: LEADERLESS_WAIT_MS,
                };
            }
            Desk::Here(engine) => timeout_at(deadline, engine.call(what)).await,
            Desk::There(link) => timeout_at(deadline, link.call(what)).await,
        };
        answer.unwrap_or(Reply::Unknown)
    }

    /// Tells whether this VM answers calls.
    pub fn is_ready(&self) -> bool {
        if *self.leaving.borrow() {
            return false;
        }
        match &*self.desk.borrow() {
            Desk::None | Desk::Lost => false,
            Desk::Here(engine) => engine.is_ready(),
            Desk::There(link) => link.is_ready(),
        }
    }

    /// Hands the lead to another VM; calls are relayed on.
    pub fn leave(&self) {
        self.leaving.send_replace(true);
    }
}
