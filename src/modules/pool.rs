//! The connections to upstreams: counted, proven before use, and retired once one went silent.

use crate::prelude::*;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The time in which a connection must be made or prove that it lives, in milliseconds.
const PROOF_MS: u64 = 1_000;

/// Sends over one connection.
pub(super) type Sender = SendRequest<Full<Bytes>>;

/// Why there is no connection; nothing was sent.
pub(super) type Result<T> = std::result::Result<T, String>;

/// One connection, counted while it exists.
#[derive(Debug)]
pub(super) struct Link {
    /// Sends over it.
    pub(super) sender: Sender,
    used: Instant,
    _count: Count,
}

/// What a connection is needed for.
#[derive(Debug, Clone)]
pub(super) struct Need<'a> {
    /// The upstream's address.
    pub(super) addr: &'a Name,
    /// Whether it must have answered just now.
    pub(super) proven: bool,
    /// The most connections to the upstream.
    pub(super) most: u32,
    /// The idle time after which a connection must be proven.
    pub(super) liveness: Duration,
}

/// What another connection to an upstream shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Elsewhere {
    /// It answers now.
    Answers,
    /// It does not answer either, or cannot be made.
    Silent,
    /// All connections of the share are in use, so there is none to try.
    NoRoom,
}

/// Counts a connection of an upstream until it is dropped.
#[derive(Debug)]
struct Count {
    pools: Arc<Pools>,
    addr: Name,
}

impl Drop for Count {
    fn drop(&mut self) {
        if let Some(pool) = self.pools.lock().get_mut(&self.addr) {
            pool.open = pool.open.saturating_sub(1);
        }
    }
}

#[derive(Debug, Default)]
struct Pool {
    idle: Vec<Link>,
    open: u32,
}

/// The connections to every upstream.
#[derive(Debug, Default)]
pub(super) struct Pools {
    all: Mutex<HashMap<Name, Pool>>,
}

impl Pools {
    /// Finds a connection, or makes one if the share allows it.
    ///
    /// # Errors
    ///
    /// Says why there is none.
    pub(super) async fn connect(self: &Arc<Self>, need: &Need<'_>) -> Result<Link> {
        while let Some(mut link) = self.take_idle(need.addr) {
            let old = link.used.elapsed() >= need.liveness;
            if !(need.proven || old) || prove(&mut link.sender).await {
                return Ok(link);
            }
            self.retire(need.addr);
        }
        self.open(need).await
    }

    /// Tries a connection other than those in use; if it answers it waits idle, and all older
    /// idle ones are closed.
    pub(super) async fn look_elsewhere(self: &Arc<Self>, need: &Need<'_>) -> Elsewhere {
        self.retire(need.addr);
        if self.is_full(need) {
            return Elsewhere::NoRoom;
        }
        let fresh = Need {
            proven: true,
            ..need.clone()
        };
        match self.open(&fresh).await {
            Ok(link) => {
                self.put_back(need.addr, link);
                Elsewhere::Answers
            }
            Err(_) => Elsewhere::Silent,
        }
    }

    /// Keeps a connection for later use.
    pub(super) fn put_back(&self, addr: &Name, mut link: Link) {
        link.used = Instant::now();
        if let Some(pool) = self.lock().get_mut(addr) {
            pool.idle.push(link);
        }
    }

    /// Closes the idle connections to an upstream, of which one was found silent.
    pub(super) fn retire(&self, addr: &Name) {
        let retired = self
            .lock()
            .get_mut(addr)
            .map(|pool| std::mem::take(&mut pool.idle));
        drop(retired);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Pool>> {
        self.all.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_full(&self, need: &Need<'_>) -> bool {
        let pools = self.lock();
        let open = pools.get(need.addr).map_or(0, |pool| pool.open);
        open >= need.most
    }

    fn take_idle(&self, addr: &Name) -> Option<Link> {
        let mut dead = Vec::new();
        let mut pools = self.lock();
        let pool = pools.get_mut(addr)?;
        let mut found = None;
        while let Some(link) = pool.idle.pop() {
            if link.sender.is_ready() {
                found = Some(link);
                break;
            }
            dead.push(link);
        }
        drop(pools);
        drop(dead);
        found
    }

    async fn open(self: &Arc<Self>, need: &Need<'_>) -> Result<Link> {
        let Some(count) = self.count(need.addr, need.most) else {
            return Err("all connections are in use".into());
        };
        let limit = Duration::from_millis(PROOF_MS);
        let mut sender = match timeout(limit, handshake(need.addr)).await {
            Ok(made) => made?,
            Err(_) => return Err("the connection is not made in time".into()),
        };
        if need.proven && !prove(&mut sender).await {
            return Err("the new connection does not answer".into());
        }
        Ok(Link {
            sender,
            used: Instant::now(),
            _count: count,
        })
    }

    fn count(self: &Arc<Self>, addr: &Name, most: u32) -> Option<Count> {
        let mut pools = self.lock();
        let pool = pools.entry(addr.clone()).or_default();
        if pool.open >= most {
            return None;
        }
        pool.open += 1;
        Some(Count {
            pools: self.clone(),
            addr: addr.clone(),
        })
    }
}

async fn handshake(addr: &str) -> Result<Sender> {
    let stream = TcpStream::connect(addr)
        .await
        .map_err(|error| error.to_string())?;
    drop(stream.set_nodelay(true));
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("a connection to an upstream ended: {error}");
        }
    });
    Ok(sender)
}

/// Tells whether a connection answers a harmless call now.
async fn prove(sender: &mut Sender) -> bool {
    let request = Request::get("/health")
        .header("host", "upstream")
        .body(Full::default());
    let Ok(request) = request else {
        return false;
    };
    let call = async {
        sender.ready().await.ok()?;
        let answer = sender.send_request(request).await.ok()?;
        let fine = answer.status().is_success();
        answer.into_body().collect().await.ok()?;
        fine.then_some(())
    };
    let done = timeout(Duration::from_millis(PROOF_MS), call).await;
    matches!(done, Ok(Some(())))
}
