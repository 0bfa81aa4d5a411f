//! Runs the scheduler on a VM: elects the leader, relays calls to it, stores what it decides.

mod declines;
mod engine;
mod frame;
mod hands;
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

/// How long a call waits for a leader to be found before it is refused, in milliseconds: an
/// election takes less unless the store is away.
const LEADERLESS_MS: u64 = 1_500;
/// `Retry-After` where no leader is found, in milliseconds.
const LEADERLESS_WAIT_MS: u64 = 400;

/// `Retry-After` while the store does not respond, in milliseconds.
const STALLED_WAIT_MS: u64 = 700;

/// What a host is made of.
#[derive(Debug, Clone)]
pub struct Parts {
    /// The VM's name.
    pub name: Name,
    /// Its data centre.
    pub centre: Name,
    /// Its share of a processor, in thousandths of a core.
    pub cpu_milli: u64,
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
}

/// Why a call has no reply of a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Missed {
    /// No leader has had it; nothing took effect.
    Declined,
    /// Whether it took effect is not known.
    Lost,
}

/// The reply of a leader, if there is one.
type Answer = std::result::Result<Reply, Missed>;

/// Who answers calls, as this VM sees it.
#[derive(Debug, Clone)]
enum Desk {
    /// Nobody that is known.
    None,
    /// Nobody that is known, and the store, which would tell, is out of reach.
    Lost,
    /// This VM, once it has loaded.
    Loading(Loading),
    /// This VM, in this epoch.
    Here(Engine, u64),
    /// Another VM, in this epoch.
    There(Link, u64),
}

impl Desk {
    fn describe(&self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Lost => "lost",
            Self::Loading(_) => "loading",
            Self::Here(..) => "here",
            Self::There(..) => "elsewhere",
        }
    }
}

/// A running host.
#[derive(Debug)]
pub struct Host {
    desk: channel::Receiver<Desk>,
    leaving: channel::Sender<bool>,
    /// Until when calls are answered, once the process is about to end.
    closing: channel::Sender<Option<Instant>>,
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
    let (boot, milli) = (parts.boot, parts.cpu_milli);
    let relay = relay::bind(parts.peer_addr, desk.clone(), boot, milli).await?;
    let lead = tokio::spawn(lead::run(parts, desk_tx, leaving_rx, relay.shared.clone()));
    Ok(Host {
        desk,
        leaving,
        closing: channel::channel(None).0,
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
            let leader = self.desk.borrow().describe();
            log::info!(
                "TG1204 call path={path} reply={reply:?} leader={leader} after_ms={}",
                started.elapsed().as_millis()
            );
        }
        reply
    }

    /// Passes a call to the leader; again, if the leader is lost, to the next one.
    async fn ask(&self, mut what: Call, left_ms: u64) -> Reply {
        what.nonce = rand::random();
        let deadline = Instant::now() + Duration::from_millis(left_ms);
        let mut desk = self.desk.clone();
        let mut attempts = Attempts::new(&what.operation);
        let patience = Duration::from_millis(LEADERLESS_MS.min(left_ms / 2));
        loop {
            let until = deadline.min(Instant::now() + patience);
            let known = desk.wait_for(|desk| !matches!(desk, Desk::None | Desk::Loading(_)));
            let found = tokio::select! {
                known = timeout_at(until, known) => match known {
                    Ok(Ok(desk)) => desk.clone(),
                    _ => Desk::None,
                },
                () = self.closed() => return attempts.give_up(),
            };
            let passed = async {
                match found {
                    Desk::Here(engine, epoch) => Some((epoch, engine.call(what.clone()).await)),
                    Desk::There(link, epoch) => Some((epoch, link.call(what.clone()).await)),
                    Desk::None | Desk::Lost | Desk::Loading(_) => None,
                }
            };
            let passed = tokio::select! {
                passed = timeout_at(deadline, passed) => passed,
                () = self.closed() => return Reply::Unknown,
            };
            let (epoch, answer) = match passed {
                Ok(Some((epoch, answer))) => (epoch, answer),
                Ok(None) => return attempts.give_up(),
                Err(_) => return Reply::Unknown,
            };
            match attempts.judge(epoch, answer) {
                Verdict::Final(reply) => return reply,
                Verdict::Again => {
                    log::info!(
                        "TG1208 call path={} epoch={epoch} missed its leader, waits for the next",
                        what.path
                    );
                    let until = deadline.min(Instant::now() + patience);
                    let changed = tokio::select! {
                        changed = timeout_at(until, desk.changed()) => changed,
                        () = self.closed() => return attempts.give_up(),
                    };
                    if !matches!(changed, Ok(Ok(()))) {
                        return attempts.give_up();
                    }
                }
            }
        }
    }

    /// Tells whether this VM answers calls.
    pub fn is_ready(&self) -> bool {
        if *self.leaving.borrow() {
            return false;
        }
        match &*self.desk.borrow() {
            Desk::None | Desk::Lost | Desk::Loading(_) => false,
            Desk::Here(engine, _) => engine.is_ready(),
            Desk::There(link, _) => link.is_ready(),
        }
    }

    /// Returns once calls are to have their answers, whatever is known by then.
    async fn closed(&self) {
        let mut closing = self.closing.subscribe();
        let at = match closing.wait_for(Option::is_some).await {
            Ok(at) => *at,
            Err(_) => None,
        };
        match at {
            Some(at) => tokio::time::sleep_until(at).await,
            None => std::future::pending().await,
        }
    }

    /// Answers every call within `left_ms` from now on, since the process is about to end.
    pub fn close_within(&self, left_ms: u64) {
        let at = Instant::now() + Duration::from_millis(left_ms);
        self.closing.send_replace(Some(at));
    }

    /// Hands the lead to another VM; calls are relayed on.
    pub fn begin_shutdown(&self) {
        self.leaving.send_replace(true);
    }
}
