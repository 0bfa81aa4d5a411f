//! Sends requests to upstreams, over connections of its own.
//!
//! Each upstream's connections are counted, so that all VMs together stay within its limit. An
//! answer is passed on only if it is whole and belongs to the request.

use super::callers::to_hex;
use super::engine::Carry;
use super::engine::Engine;
use super::exchange::Answer;
use super::exchange::Exchange;
use super::exchange::Header;
use super::exchange::Payload;
use crate::prelude::*;
use crate::records::Kept;
use crate::reducer::Effect;
use crate::reducer::Event;
use crate::reducer::State;
use crate::reducer::effect::Dispatch;
use crate::reducer::event::TryEnd;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// The largest answer of an upstream, in bytes.
const ANSWER_MAX_BYTES: usize = 16 * 1_048_576;
/// The largest answer that is kept for retries of its key, in bytes.
const KEPT_MAX_BYTES: usize = 4_096;
/// The time in which a connection must be made or prove that it lives, in milliseconds.
const PROOF_MS: u64 = 1_000;
/// The header by which an upstream says that it is leaving and did not run the request.
const LEAVING_HEADER: &str = "x-leaving";
/// The header that names the request to the upstream, and comes back with its answer.
const ID_HEADER: &str = "x-request-id";

type Sender = SendRequest<Full<Bytes>>;

/// One live connection, counted while it exists.
#[derive(Debug)]
struct Link {
    sender: Sender,
    _count: Count,
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
struct Pools {
    all: Mutex<HashMap<Name, Pool>>,
}

impl Pools {
    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Pool>> {
        self.all.lock().unwrap_or_else(PoisonError::into_inner)
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

    fn put_back(&self, addr: &Name, link: Link) {
        if let Some(pool) = self.lock().get_mut(addr) {
            pool.idle.push(link);
        }
    }

    /// Closes the idle connections to an upstream, of which one was found silent.
    fn retire(&self, addr: &Name) {
        let retired = self
            .lock()
            .get_mut(addr)
            .map(|pool| std::mem::take(&mut pool.idle));
        drop(retired);
    }
}

/// Identifies a try.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct TryId {
    req: Name,
    attempt: u32,
}

/// Carries dispatches to upstreams and their ends to the reducer.
#[derive(Debug)]
pub struct Dispatcher {
    engine: Engine,
    exchange: Arc<Exchange>,
    pools: Arc<Pools>,
    tries: Arc<Mutex<HashMap<TryId, AbortHandle>>>,
}

impl Dispatcher {
    /// Makes a dispatcher without connections.
    pub fn new(engine: Engine, exchange: Arc<Exchange>) -> Self {
        Self {
            engine,
            exchange,
            pools: Arc::default(),
            tries: Arc::default(),
        }
    }

    fn start(&self, dispatch: Dispatch) {
        let id = TryId {
            req: dispatch.req.clone(),
            attempt: dispatch.attempt,
        };
        let engine = self.engine.clone();
        let exchange = self.exchange.clone();
        let pools = self.pools.clone();
        let tries = self.tries.clone();
        let own = id.clone();
        let mut open = lock(&self.tries);
        let task = tokio::spawn(async move {
            let end = run(&pools, &exchange, &dispatch).await;
            lock(&tries).remove(&own);
            let event = Event::TryEnd {
                req: own.req,
                attempt: own.attempt,
                end,
            };
            engine.tell(event).await;
        });
        open.insert(id, task.abort_handle());
    }
}

impl Carry for Dispatcher {
    fn carry(&mut self, effect: Effect, _state: &State) {
        match effect {
            Effect::Dispatch(dispatch) => self.start(dispatch),
            Effect::Abandon { req, attempt } => {
                if let Some(task) = lock(&self.tries).remove(&TryId { req, attempt }) {
                    task.abort();
                }
            }
            _ => {}
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn run(pools: &Arc<Pools>, exchange: &Exchange, dispatch: &Dispatch) -> TryEnd {
    let Some(payload) = exchange.payload(&dispatch.req) else {
        return not_sent("the caller is gone");
    };
    let limit = Duration::from_millis(dispatch.left_ms.max(1));
    let link = match timeout(limit, connect(pools, dispatch)).await {
        Ok(Ok(link)) => link,
        Ok(Err(end)) => return end,
        Err(_) => return not_sent("no connection in time"),
    };
    match timeout(limit, send(pools, exchange, dispatch, &payload, link)).await {
        Ok(end) => end,
        Err(_) => {
            pools.retire(&dispatch.addr);
            broken("no whole answer in time")
        }
    }
}

/// Finds a connection; where it must be proven, one that has just answered.
async fn connect(pools: &Arc<Pools>, dispatch: &Dispatch) -> Result<Link, TryEnd> {
    while let Some(mut link) = pools.take_idle(&dispatch.addr) {
        if !dispatch.proven || prove(&mut link.sender).await {
            return Ok(link);
        }
        pools.retire(&dispatch.addr);
    }
    let Some(count) = pools.count(&dispatch.addr, dispatch.connections) else {
        return Err(not_sent("all connections are in use"));
    };
    let limit = Duration::from_millis(PROOF_MS);
    let mut sender = match timeout(limit, open(&dispatch.addr)).await {
        Ok(Ok(sender)) => sender,
        Ok(Err(cause)) => return Err(not_sent(&cause)),
        Err(_) => return Err(not_sent("the connection is not made in time")),
    };
    if dispatch.proven && !prove(&mut sender).await {
        return Err(not_sent("the new connection does not answer"));
    }
    Ok(Link {
        sender,
        _count: count,
    })
}

async fn open(addr: &str) -> Result<Sender, String> {
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

async fn send(
    pools: &Pools,
    exchange: &Exchange,
    dispatch: &Dispatch,
    payload: &Payload,
    mut link: Link,
) -> TryEnd {
    let request = match build(dispatch, payload) {
        Ok(request) => request,
        Err(cause) => return not_sent(&cause),
    };
    if let Err(error) = link.sender.ready().await {
        return not_sent(&error.to_string());
    }
    let response = match link.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            return match error.take_message() {
                Some(_) => not_sent("never sent"),
                None => broken(&error.error().to_string()),
            };
        }
    };
    let leaving = response.headers().contains_key(LEAVING_HEADER);
    let retry_ms = retry_after(&response);
    match whole(dispatch, response).await {
        Ok(_) if leaving => TryEnd::Leaving,
        Ok(answer) => {
            let kept = keep(dispatch.proven, &answer);
            let status = answer.status;
            exchange.keep(&dispatch.req, dispatch.attempt, answer);
            pools.put_back(&dispatch.addr, link);
            TryEnd::Answered {
                status,
                retry_ms,
                kept,
            }
        }
        Err(cause) => broken(&cause),
    }
}

fn build(dispatch: &Dispatch, payload: &Payload) -> Result<Request<Full<Bytes>>, String> {
    let mut request = Request::post(format!("/v1/work/{}", payload.kind))
        .header("host", &*dispatch.addr)
        .header(ID_HEADER, &*dispatch.req)
        .header("x-workspace", &*payload.workspace)
        .header("x-attempt", dispatch.attempt)
        .header("deadline-ms", dispatch.left_ms);
    if let Some(key) = &payload.key {
        request = request.header("idempotency-key", &**key);
    }
    if let Some(media) = &payload.media {
        request = request.header("content-type", media);
    }
    let body = Full::new(payload.body.clone());
    request.body(body).map_err(|error| error.to_string())
}

/// Reads an answer whole, and checks that it belongs to the request.
async fn whole(dispatch: &Dispatch, response: Response<Incoming>) -> Result<Answer, String> {
    let (parts, body) = response.into_parts();
    let named = parts.headers.get(ID_HEADER);
    if named.is_some_and(|id| id.as_bytes() != dispatch.req.as_bytes()) {
        return Err("the answer belongs to another request".into());
    }
    let framed = parts.headers.contains_key("content-length")
        || parts.headers.contains_key("transfer-encoding")
        || parts.status.as_u16() == 204;
    if !framed {
        return Err("the answer does not say where it ends".into());
    }
    let body = Limited::new(body, ANSWER_MAX_BYTES).collect().await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    let headers = parts
        .headers
        .iter()
        .filter(|(name, _)| passes(name.as_str()));
    Ok(Answer {
        status: parts.status.as_u16(),
        headers: headers
            .map(|(name, value)| Header {
                name: name.as_str().to_owned(),
                value: value.as_bytes().to_vec(),
            })
            .collect(),
        body,
    })
}

/// Tells whether a header is passed on: those of the connection are not.
fn passes(name: &str) -> bool {
    !matches!(
        name,
        "connection"
            | "keep-alive"
            | "transfer-encoding"
            | "content-length"
            | "upgrade"
            | "trailer"
    )
}

fn retry_after(response: &Response<Incoming>) -> Option<u64> {
    let text = response.headers().get("retry-after")?.to_str().ok()?;
    let seconds = text.parse::<u64>().ok()?;
    Some(seconds.saturating_mul(1_000))
}

fn keep(keyed: bool, answer: &Answer) -> Kept {
    let media = answer
        .headers
        .iter()
        .find(|header| header.name == "content-type");
    let media = media.map(|header| String::from_utf8_lossy(&header.value).into_owned());
    let fits = keyed && answer.body.len() <= KEPT_MAX_BYTES;
    Kept {
        status: answer.status,
        media: media.unwrap_or_default(),
        body: fits.then(|| to_hex(&answer.body)),
    }
}

fn not_sent(cause: &str) -> TryEnd {
    TryEnd::NotSent {
        cause: cause.to_owned(),
    }
}

fn broken(cause: &str) -> TryEnd {
    TryEnd::Broken {
        cause: cause.to_owned(),
    }
}
