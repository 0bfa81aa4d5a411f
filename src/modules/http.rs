//! A small HTTP client for JSON calls with a time limit.

use super::outbound::Delivery;
use super::outbound::Outbound;
use crate::prelude::*;
use arc_swap::ArcSwap;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy::Client as Pooled;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::timeout_at;

/// The maximum size of a response body, in bytes.
pub const ANSWER_MAX_BYTES: usize = 64 * 1_048_576;
/// The time limit for establishing a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// The time after which an idle connection is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 10_000;
/// Idle connections kept per server: two for orders and one for a long-polling call.
const MAX_IDLE_CONNECTIONS: usize = 3;

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// no response within the time limit
    Late,
    /// not sent: {0}
    Unsent(String),
    /// connection failed or response incomplete: {0}
    Broken(String),
    /// status {0}: {1}
    Status(u16, String),
    /// JSON cannot be encoded or decoded: {0}
    Garbled(String),
}

impl std::error::Error for Error {}

/// The result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// A client that reuses idle connections; clones share them.
#[derive(Debug, Clone)]
pub struct Client {
    pooled: Arc<ArcSwap<Pooled<HttpConnector, Outbound>>>,
    call_ms: u64,
}

/// A request with its own time limit.
#[derive(Debug, Clone, Default)]
pub struct Outgoing<'a> {
    /// The method.
    pub method: Method,
    /// The server's address, `IP:port`.
    pub addr: &'a str,
    /// The path and query.
    pub path: &'a str,
    /// Headers in addition to the content type.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: Bytes,
    /// The time limit for the whole call, in milliseconds.
    pub limit_ms: u64,
    /// When it must not be sent any more, by [`boot_ms`](crate::fleet::clock::boot_ms); none if it
    /// may be sent at any time. Applies to requests with a body.
    pub expires_at: Option<u64>,
}

/// A complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Incoming {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

impl Client {
    /// Creates a client whose calls are limited to `call_ms` milliseconds.
    pub fn new(call_ms: u64) -> Self {
        Self {
            pooled: Arc::new(ArcSwap::from_pointee(pooled())),
            call_ms,
        }
    }

    /// Sends a request and returns the response whatever its status.
    ///
    /// After a time-out all idle connections are closed, as others of them may be dead as well.
    ///
    /// # Errors
    ///
    /// The response did not arrive within the time limit, or the connection failed. With
    /// [`Error::Unsent`], the server certainly has not received the whole request.
    pub async fn send(&self, outgoing: Outgoing<'_>) -> Result<Incoming> {
        let delivery = Delivery::new(&outgoing.body, outgoing.expires_at);
        let result = self.send_within(outgoing, delivery.clone()).await;
        result.map_err(|error| match delivery.withdraw() {
            true => Error::Unsent(error.to_string()),
            false => error,
        })
    }

    async fn send_within(&self, outgoing: Outgoing<'_>, delivery: Delivery) -> Result<Incoming> {
        let limit = Duration::from_millis(outgoing.limit_ms);
        let end = Instant::now() + limit;
        let mut response = std::pin::pin!(self.round_trip(outgoing, delivery));
        if let Ok(result) = timeout_at(end, &mut response).await {
            return result;
        }
        // A process short of processor time may notice the time-out late and have a response that
        // arrived in time still unread, so the limit is extended by the same delay.
        let now = Instant::now();
        let grace = (now - end).min(limit);
        match timeout_at(now + grace, &mut response).await {
            Ok(result) => result,
            Err(_) => {
                self.pooled.store(Arc::new(pooled()));
                Err(Error::Late)
            }
        }
    }

    /// Gets JSON from `path` at `addr`, with `extra_ms` added to the client's time limit.
    ///
    /// # Errors
    ///
    /// A status other than 200, a time-out, a failed connection, or a response that is not valid JSON.
    pub async fn get<T: DeserializeOwned>(
        &self,
        addr: &str,
        path: &str,
        extra_ms: u64,
    ) -> Result<T> {
        let body = self.call(Method::GET, addr, path, Bytes::new(), extra_ms);
        parse(&body.await?)
    }

    /// Posts JSON to `path` at `addr` and returns the JSON response.
    ///
    /// # Errors
    ///
    /// The same as for [`Client::get`].
    pub async fn post<B: Serialize + Sync, T: DeserializeOwned>(
        &self,
        addr: &str,
        path: &str,
        body: &B,
    ) -> Result<T> {
        let text = serde_json::to_vec(body).map_err(|error| Error::Garbled(error.to_string()))?;
        self.post_bytes(addr, path, text.into()).await
    }

    /// Posts bytes to `path` at `addr` and returns the JSON response.
    ///
    /// # Errors
    ///
    /// The same as for [`Client::get`].
    pub async fn post_bytes<T: DeserializeOwned>(
        &self,
        addr: &str,
        path: &str,
        body: Bytes,
    ) -> Result<T> {
        parse(&self.call(Method::POST, addr, path, body, 0).await?)
    }

    async fn call(
        &self,
        method: Method,
        addr: &str,
        path: &str,
        body: Bytes,
        extra_ms: u64,
    ) -> Result<Bytes> {
        let outgoing = Outgoing {
            method,
            addr,
            path,
            headers: &[],
            body,
            limit_ms: self.call_ms + extra_ms,
            expires_at: None,
        };
        let incoming = self.send(outgoing).await?;
        if incoming.status != 200 {
            let text = &incoming.body[..incoming.body.len().min(512)];
            let text = String::from_utf8_lossy(text).into_owned();
            return Err(Error::Status(incoming.status, text));
        }
        Ok(incoming.body)
    }

    async fn round_trip(&self, outgoing: Outgoing<'_>, delivery: Delivery) -> Result<Incoming> {
        let mut request = Request::builder()
            .method(outgoing.method)
            .uri(format!("http://{}{}", outgoing.addr, outgoing.path))
            .header("content-type", "application/json");
        for (name, value) in outgoing.headers {
            request = request.header(*name, *value);
        }
        let body = Outbound::new(outgoing.body, delivery);
        let request = request.body(body).map_err(broken)?;
        let pooled = self.pooled.load_full();
        let answer = pooled.request(request).await.map_err(broken)?;
        let status = answer.status().as_u16();
        let limited = Limited::new(answer.into_body(), ANSWER_MAX_BYTES);
        let body = limited.collect().await.map_err(broken)?.to_bytes();
        Ok(Incoming { status, body })
    }
}

fn pooled() -> Pooled<HttpConnector, Outbound> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
    connector.set_nodelay(true);
    Pooled::builder(TokioExecutor::new())
        .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .build(connector)
}

fn broken(error: impl std::fmt::Display) -> Error {
    Error::Broken(error.to_string())
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Error::Garbled(error.to_string()))
}
