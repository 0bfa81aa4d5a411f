//! Sends requests to upstreams over pooled connections.
//!
//! The number of connections to each upstream is limited to this VM's share, so that all VMs together
//! stay within the upstream's limit. An answer is forwarded only if it is complete and belongs to the
//! request.

use super::callers::to_hex;
use super::engine::EffectHandler;
use super::engine::Engine;
use super::exchange::Answer;
use super::exchange::Exchange;
use super::exchange::Header;
use super::exchange::Payload;
use super::pool::Connection;
use super::pool::ConnectionSpec;
use super::pool::Pools;
use super::pool::ProbeResult;
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
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio::time::timeout_at;

/// The maximum size of an upstream's answer, in bytes.
const ANSWER_MAX_BYTES: usize = 16 * 1_048_576;
/// The maximum size of an answer that is stored for retries of its idempotency key, in bytes.
const KEPT_MAX_BYTES: usize = 4_096;
/// An attempt that takes this many times the usual service time may be on a dead connection.
const SILENT_FACTOR: u64 = 8;
/// The response header of an upstream that is leaving and did not run the request.
const LEAVING_HEADER: &str = "x-leaving";
/// The header with the request identifier; the upstream echoes it in its answer.
const ID_HEADER: &str = "x-request-id";

/// Identifies an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct TryId {
    req: Name,
    attempt: u32,
}

/// Executes dispatches and reports the outcome of each attempt to the reducer.
#[derive(Debug)]
pub struct Dispatcher {
    engine: Engine,
    exchange: Arc<Exchange>,
    pools: Arc<Pools>,
    liveness: Duration,
    tries: Arc<Mutex<HashMap<TryId, AbortHandle>>>,
}

impl Dispatcher {
    /// Creates a dispatcher without connections.
    ///
    /// A connection that was silent for `liveness_ms` milliseconds is suspected to be
    /// dead.
    pub fn new(engine: Engine, exchange: Arc<Exchange>, liveness_ms: u64) -> Self {
        Self {
            engine,
            exchange,
            pools: Arc::default(),
            liveness: Duration::from_millis(liveness_ms),
            tries: Arc::default(),
        }
    }

    /// Runs one attempt and returns its outcome.
    pub async fn send(&self, dispatch: &Dispatch) -> TryEnd {
        run_try(&self.pools, &self.exchange, dispatch, self.liveness).await
    }

    fn start(&self, dispatch: Dispatch) {
        let id = TryId {
            req: dispatch.req.clone(),
            attempt: dispatch.attempt,
        };
        let engine = self.engine.clone();
        let exchange = self.exchange.clone();
        let pools = self.pools.clone();
        let liveness = self.liveness;
        let tries = self.tries.clone();
        let own = id.clone();
        let mut open = lock(&self.tries);
        let task = tokio::spawn(async move {
            let end = run_try(&pools, &exchange, &dispatch, liveness).await;
            lock(&tries).remove(&own);
            let event = Event::TryEnd {
                req: own.req,
                attempt: own.attempt,
                end,
            };
            engine.send(event).await;
        });
        open.insert(id, task.abort_handle());
    }
}

impl EffectHandler for Dispatcher {
    fn handle(&mut self, effect: Effect, _state: &State) {
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

async fn run_try(
    pools: &Arc<Pools>,
    exchange: &Exchange,
    dispatch: &Dispatch,
    liveness: Duration,
) -> TryEnd {
    let Some(payload) = exchange.payload(&dispatch.req) else {
        return not_sent("the caller is gone");
    };
    let spec = ConnectionSpec {
        addr: &dispatch.addr,
        probe: dispatch.check_live,
        max_open: dispatch.connections,
        liveness,
    };
    let end = Instant::now() + Duration::from_millis(dispatch.left_ms.max(1));
    let connection = match timeout_at(end, pools.connect(&spec)).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(cause)) => return not_sent(&cause),
        Err(_) => return not_sent("no connection in time"),
    };
    let answer = send(pools, exchange, dispatch, &payload, connection);
    tokio::select! {
        done = timeout_at(end, answer) => done.unwrap_or_else(|_| {
            pools.close_idle(&dispatch.addr);
            broken("no whole answer in time")
        }),
        () = detect_silence(pools, dispatch, &spec) => broken("the connection went silent"),
    }
}

/// Returns once an attempt's connection counts as dead: it delivers nothing while a new one works.
///
/// A slow response is valid, so an attempt is abandoned only if the request may run again, and only
/// after several times the usual service time. If all connections of the share are in use, there is
/// no new connection to compare with, and the wait is twice as long. The older idle connections are
/// closed in any case.
async fn detect_silence(pools: &Arc<Pools>, dispatch: &Dispatch, spec: &ConnectionSpec<'_>) {
    let usual = Duration::from_millis(dispatch.usual_ms.saturating_mul(SILENT_FACTOR));
    let wait = spec.liveness.max(usual);
    let mut was_full = false;
    loop {
        tokio::time::sleep(wait).await;
        let found = pools.probe_new_connection(spec).await;
        let silent = match found {
            ProbeResult::Answers => true,
            ProbeResult::Silent => false,
            ProbeResult::PoolFull => std::mem::replace(&mut was_full, true),
        };
        if silent && !dispatch.check_live {
            return;
        }
    }
}

async fn send(
    pools: &Pools,
    exchange: &Exchange,
    dispatch: &Dispatch,
    payload: &Payload,
    mut connection: Connection,
) -> TryEnd {
    let request = match build(dispatch, payload) {
        Ok(request) => request,
        Err(cause) => return not_sent(&cause),
    };
    if let Err(error) = connection.sender.ready().await {
        return not_sent(&error.to_string());
    }
    let response = match connection.sender.try_send_request(request).await {
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
    match read_answer(dispatch, response).await {
        Ok(_) if leaving => TryEnd::Leaving,
        Ok(answer) => {
            let kept = to_kept(dispatch.check_live, &answer);
            let status = answer.status;
            exchange.store_answer(&dispatch.req, dispatch.attempt, answer);
            pools.put_back(&dispatch.addr, connection);
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
    let mut request = Request::post(format!("/v1/run/{}", payload.kind))
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

/// Reads the complete answer, and checks that it belongs to the request.
async fn read_answer(dispatch: &Dispatch, response: Response<Incoming>) -> Result<Answer, String> {
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
        .filter(|(name, _)| is_forwarded(name.as_str()));
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

/// Returns whether a header is forwarded; those that describe the connection or framing are not.
fn is_forwarded(name: &str) -> bool {
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

fn to_kept(keyed: bool, answer: &Answer) -> Kept {
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
