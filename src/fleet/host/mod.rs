//! Runs the scheduler on a VM: takes part in the leader election, relays calls to the leader, and,
//! on the leader, stores the decisions and carries them out.

mod declines;
mod dispatcher;
mod engine;
mod frame;
mod lead;
mod link;
mod load;
mod meter;
mod relay;
mod retry;
mod watch;
mod withdraw;

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
use load::Loading;
use retry::Attempts;
use retry::Verdict;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch as channel;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::timeout_at;

/// How long a call waits for a leader before it is refused, in milliseconds: an election takes less
/// unless the store is out of reach.
const MAX_LEADERLESS_MS: u64 = 1_500;
/// `Retry-After` when no leader is known, in milliseconds.
const LEADERLESS_RETRY_MS: u64 = 400;

/// `Retry-After` while the store does not respond, in milliseconds.
const STALLED_RETRY_MS: u64 = 700;

/// The settings and dependencies of a [`Host`].
#[derive(Debug, Clone)]
pub struct Parts {
    /// The VM's name.
    pub name: Name,
    /// Its data centre.
    pub centre: Name,
    /// Its CPU share, in thousandths of a core.
    pub cpu_milli: u64,
    /// The address at which other VMs reach this one.
    pub peer_addr: SocketAddr,
    /// The store.
    pub store: Arc<dyn Store>,
    /// The upstreams.
    pub upstreams: Arc<dyn Upstreams>,
    /// The service that advises which upstreams may run a step, if there is one.
    pub advisor: Option<Arc<dyn Advisor>>,
    /// The machines of the upstreams, if the platform manages them.
    pub machines: Option<Arc<dyn Machines>>,
    /// The time limits of the deployment.
    pub timing: Timing,
    /// The age of the configuration above which calls with a key are refused, in milliseconds; 0
    /// for no limit.
    pub config_age_ms: u64,
    /// The age of the configuration above which no call is routed by it, in milliseconds.
    pub config_fresh_ms: u64,
    /// A number that identifies this process among all starts of all VMs.
    pub boot: u64,
}

/// Why a call got no reply from a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallError {
    /// No leader handled it; nothing took effect.
    NotHandled,
    /// Whether it took effect is unknown.
    OutcomeUnknown,
}

/// The reply of a leader, or why there is none.
type CallResult = std::result::Result<Reply, CallError>;

/// The leader that answers calls, as known to this VM.
#[derive(Debug, Clone)]
enum Leader {
    /// No leader is known.
    Unknown,
    /// No leader is known, and the store, which records it, is out of reach.
    StoreLost,
    /// This VM, once it has loaded the stored state.
    Loading(Loading),
    /// This VM, in this epoch.
    Local(Engine, u64),
    /// Another VM, in this epoch.
    Remote(Link, u64),
}

impl Leader {
    fn describe(&self) -> &'static str {
        match self {
            Self::Unknown => "none",
            Self::StoreLost => "lost",
            Self::Loading(_) => "loading",
            Self::Local(..) => "here",
            Self::Remote(..) => "elsewhere",
        }
    }
}

/// The scheduler as it runs on this VM; stops when dropped.
#[derive(Debug)]
pub struct Host {
    leader: channel::Receiver<Leader>,
    /// Whether the process is shutting down.
    stopping: channel::Sender<bool>,
    /// When all calls must have been answered, once the process is about to exit.
    deadline: channel::Sender<Option<Instant>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Host {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Starts the scheduler on this VM.
///
/// # Errors
///
/// The address for connections of other VMs cannot be bound.
pub async fn spawn(parts: Parts) -> std::io::Result<Host> {
    let (leader_tx, leader) = channel::channel(Leader::Unknown);
    let (stopping, stopping_rx) = channel::channel(false);
    let (boot, cpu_milli) = (parts.boot, parts.cpu_milli);
    let listener = relay::bind(parts.peer_addr, leader.clone(), boot, cpu_milli).await?;
    let lead = tokio::spawn(lead::run(
        parts,
        leader_tx,
        stopping_rx,
        listener.shared.clone(),
    ));
    Ok(Host {
        leader,
        stopping,
        deadline: channel::channel(None).0,
        tasks: vec![lead, listener.task],
    })
}

impl Host {
    /// Answers a call within `left_ms`.
    pub async fn call(&self, call: Call, left_ms: u64) -> Reply {
        let started = Instant::now();
        let path = call.path.clone();
        let reply = self.call_leader(call, left_ms).await;
        if let Reply::Unavailable { .. } | Reply::Unknown = reply {
            let leader = self.leader.borrow().describe();
            log::info!(
                "TG1204 call path={path} reply={reply:?} leader={leader} after_ms={}",
                started.elapsed().as_millis()
            );
        }
        reply
    }

    /// Sends a call to the leader, and to the next one if the leader is lost.
    async fn call_leader(&self, mut call: Call, left_ms: u64) -> Reply {
        call.nonce = rand::random();
        let call_deadline = Instant::now() + Duration::from_millis(left_ms);
        let mut leader = self.leader.clone();
        let mut attempts = Attempts::new(&call.operation);
        let max_wait = Duration::from_millis(MAX_LEADERLESS_MS.min(left_ms / 2));
        loop {
            let until = call_deadline.min(Instant::now() + max_wait);
            let known =
                leader.wait_for(|leader| !matches!(leader, Leader::Unknown | Leader::Loading(_)));
            let found = tokio::select! {
                known = timeout_at(until, known) => match known {
                    Ok(Ok(leader)) => leader.clone(),
                    _ => Leader::Unknown,
                },
                () = self.deadline_passed() => return attempts.give_up(),
            };
            let sent = async {
                match found {
                    Leader::Local(engine, epoch) => Some((epoch, engine.call(call.clone()).await)),
                    Leader::Remote(link, epoch) => Some((epoch, link.call(call.clone()).await)),
                    Leader::Unknown | Leader::StoreLost | Leader::Loading(_) => None,
                }
            };
            let sent = tokio::select! {
                sent = timeout_at(call_deadline, sent) => sent,
                () = self.deadline_passed() => return Reply::Unknown,
            };
            let (epoch, answer) = match sent {
                Ok(Some((epoch, answer))) => (epoch, answer),
                Ok(None) => return attempts.give_up(),
                Err(_) => return Reply::Unknown,
            };
            match attempts.evaluate(epoch, answer) {
                Verdict::Final(reply) => return reply,
                Verdict::Retry => {
                    log::info!(
                        "TG1208 call path={} epoch={epoch} got no reply from its leader, waiting for the next one",
                        call.path
                    );
                    let until = call_deadline.min(Instant::now() + max_wait);
                    let changed = tokio::select! {
                        changed = timeout_at(until, leader.changed()) => changed,
                        () = self.deadline_passed() => return attempts.give_up(),
                    };
                    if !matches!(changed, Ok(Ok(()))) {
                        return attempts.give_up();
                    }
                }
            }
        }
    }

    /// Returns whether this VM answers calls.
    pub fn is_ready(&self) -> bool {
        if *self.stopping.borrow() {
            return false;
        }
        match &*self.leader.borrow() {
            Leader::Unknown | Leader::StoreLost | Leader::Loading(_) => false,
            Leader::Local(engine, _) => engine.is_ready(),
            Leader::Remote(link, _) => link.is_ready(),
        }
    }

    /// Waits for the time by which all calls must have been answered; for ever if none is set.
    async fn deadline_passed(&self) {
        let mut deadline = self.deadline.subscribe();
        let at = match deadline.wait_for(Option::is_some).await {
            Ok(at) => *at,
            Err(_) => None,
        };
        match at {
            Some(at) => tokio::time::sleep_until(at).await,
            None => std::future::pending().await,
        }
    }

    /// Answers every call within `left_ms` from now on, as the process is about to exit.
    pub fn close_within(&self, left_ms: u64) {
        let at = Instant::now() + Duration::from_millis(left_ms);
        self.deadline.send_replace(Some(at));
    }

    /// Hands the lead over to another VM and claims it no more; calls are still relayed.
    pub fn begin_shutdown(&self) {
        self.stopping.send_replace(true);
    }
}
