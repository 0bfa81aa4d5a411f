//! Pools of connections to upstreams: limited in number, probed before reuse where needed, and closed
//! when one turns out to be dead.

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

/// The time limit for opening a connection, and for a probe's response, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 1_000;

/// The sending half of a connection.
pub(super) type Sender = SendRequest<Full<Bytes>>;

/// The error says why no connection is available; nothing was sent.
pub(super) type Result<T> = std::result::Result<T, String>;

/// A connection; it counts towards its upstream's limit until it is dropped.
#[derive(Debug)]
pub(super) struct Connection {
    /// Its sending half.
    pub(super) sender: Sender,
    used: Instant,
    _permit: ConnectionPermit,
}

/// The requirements for a connection.
#[derive(Debug, Clone)]
pub(super) struct ConnectionSpec<'a> {
    /// The upstream's address.
    pub(super) addr: &'a Name,
    /// Whether it must answer a probe before use.
    pub(super) probe: bool,
    /// The maximum number of connections to the upstream.
    pub(super) max_open: u32,
    /// The idle time after which a connection must answer a probe before reuse.
    pub(super) liveness: Duration,
}

/// The result of probing an upstream over a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProbeResult {
    /// The upstream answers over a new connection.
    Answers,
    /// The new connection does not answer either, or cannot be opened.
    Silent,
    /// All connections of the share are in use, so no new one can be opened.
    PoolFull,
}

/// Permission for one connection to an upstream; dropping it releases the permission.
#[derive(Debug)]
struct ConnectionPermit {
    pools: Arc<Pools>,
    addr: Name,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        if let Some(pool) = self.pools.lock().get_mut(&self.addr) {
            pool.open = pool.open.saturating_sub(1);
        }
    }
}

#[derive(Debug, Default)]
struct Pool {
    idle: Vec<Connection>,
    open: u32,
}

/// The connection pools of all upstreams, by address.
#[derive(Debug, Default)]
pub(super) struct Pools {
    all: Mutex<HashMap<Name, Pool>>,
}

impl Pools {
    /// Returns an idle connection, or opens one if the share allows it.
    ///
    /// # Errors
    ///
    /// The share is in use, or the upstream cannot be reached or does not answer.
    pub(super) async fn connect(self: &Arc<Self>, spec: &ConnectionSpec<'_>) -> Result<Connection> {
        while let Some(mut connection) = self.take_idle(spec.addr) {
            let old = connection.used.elapsed() >= spec.liveness;
            if !(spec.probe || old) || is_responsive(&mut connection.sender).await {
                return Ok(connection);
            }
            self.close_idle(spec.addr);
        }
        self.open(spec).await
    }

    /// Closes the idle connections to an upstream and probes it over a new one, which is kept idle if
    /// it answers.
    pub(super) async fn probe_new_connection(
        self: &Arc<Self>,
        spec: &ConnectionSpec<'_>,
    ) -> ProbeResult {
        self.close_idle(spec.addr);
        if self.is_full(spec) {
            return ProbeResult::PoolFull;
        }
        let fresh = ConnectionSpec {
            probe: true,
            ..spec.clone()
        };
        match self.open(&fresh).await {
            Ok(connection) => {
                self.put_back(spec.addr, connection);
                ProbeResult::Answers
            }
            Err(_) => ProbeResult::Silent,
        }
    }

    /// Returns a connection to the pool for reuse.
    pub(super) fn put_back(&self, addr: &Name, mut connection: Connection) {
        connection.used = Instant::now();
        if let Some(pool) = self.lock().get_mut(addr) {
            pool.idle.push(connection);
        }
    }

    /// Closes all idle connections to an upstream, as one of its connections was found dead.
    pub(super) fn close_idle(&self, addr: &Name) {
        let closed = self
            .lock()
            .get_mut(addr)
            .map(|pool| std::mem::take(&mut pool.idle));
        drop(closed);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Pool>> {
        self.all.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_full(&self, spec: &ConnectionSpec<'_>) -> bool {
        let pools = self.lock();
        let open = pools.get(spec.addr).map_or(0, |pool| pool.open);
        open >= spec.max_open
    }

    fn take_idle(&self, addr: &Name) -> Option<Connection> {
        let mut dead = Vec::new();
        let mut pools = self.lock();
        let pool = pools.get_mut(addr)?;
        let mut found = None;
        while let Some(connection) = pool.idle.pop() {
            if connection.sender.is_ready() {
                found = Some(connection);
                break;
            }
            dead.push(connection);
        }
        drop(pools);
        drop(dead);
        found
    }

    async fn open(self: &Arc<Self>, spec: &ConnectionSpec<'_>) -> Result<Connection> {
        let Some(permit) = self.acquire_permit(spec.addr, spec.max_open) else {
            return Err("all connections are in use".into());
        };
        let limit = Duration::from_millis(PROBE_TIMEOUT_MS);
        let mut sender = match timeout(limit, handshake(spec.addr)).await {
            Ok(made) => made?,
            Err(_) => return Err("the connection is not made in time".into()),
        };
        if spec.probe && !is_responsive(&mut sender).await {
            return Err("the new connection does not answer".into());
        }
        Ok(Connection {
            sender,
            used: Instant::now(),
            _permit: permit,
        })
    }

    fn acquire_permit(self: &Arc<Self>, addr: &Name, max_open: u32) -> Option<ConnectionPermit> {
        let mut pools = self.lock();
        let pool = pools.entry(addr.clone()).or_default();
        if pool.open >= max_open {
            return None;
        }
        pool.open += 1;
        Some(ConnectionPermit {
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

/// Returns whether a connection answers a health check within the time limit.
async fn is_responsive(sender: &mut Sender) -> bool {
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
    let done = timeout(Duration::from_millis(PROBE_TIMEOUT_MS), call).await;
    matches!(done, Ok(Some(())))
}
