//! A small HTTP client for JSON calls with a deadline.

use crate::prelude::*;
use arc_swap::ArcSwap;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
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

/// The largest answer that is read, in bytes.
pub const ANSWER_MAX_BYTES: usize = 64 * 1_048_576;
/// The time in which a connection must be made, in milliseconds.
const CONNECT_MS: u64 = 1_000;
/// The time after which an idle connection is closed, in milliseconds.
const IDLE_MS: u64 = 10_000;
/// Idle connections kept to one server: two for orders, one for a call that waits.
const MAX_IDLE: usize = 3;

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// no answer in time
    Late,
    /// no whole answer: {0}
    Broken(String),
    /// status {0}: {1}
    Status(u16, String),
    /// the answer cannot be read: {0}
    Garbled(String),
}

impl std::error::Error for Error {}

/// The result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// A client that keeps idle connections for a while.
#[derive(Debug, Clone)]
pub struct Client {
    pooled: Arc<ArcSwap<Pooled<HttpConnector, Full<Bytes>>>>,
    call_ms: u64,
}

/// A request with a deadline of its own.
#[derive(Debug, Clone, Default)]
pub struct Outgoing<'a> {
    /// The method.
    pub method: Method,
    /// The server's address.
    pub addr: &'a str,
    /// The path with the query.
    pub path: &'a str,
    /// Headers beside the content type.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: Bytes,
    /// How long it may take in all, in milliseconds.
    pub limit_ms: u64,
}

/// A whole response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Incoming {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

impl Client {
    /// Makes a client whose calls take at most `call_ms` milliseconds.
    pub fn new(call_ms: u64) -> Self {
        Self {
            pooled: Arc::new(ArcSwap::from_pointee(pooled())),
            call_ms,
        }
    }

    /// Sends a request and returns the response whatever its status.
    ///
    /// All idle connections are closed after a response that did not come in time: more of them
    /// may have gone silent.
    ///
    /// # Errors
    ///
    /// A late or broken response.
    pub async fn send(&self, outgoing: Outgoing<'_>) -> Result<Incoming> {
        let limit = Duration::from_millis(outgoing.limit_ms);
        let end = Instant::now() + limit;
        let mut exchange = std::pin::pin!(self.exchange(outgoing));
        if let Ok(result) = timeout_at(end, &mut exchange).await {
            return result;
        }
        // A busy process finds out late that the time is over, and may not have read a response that
        // came in time.
        let now = Instant::now();
        let grace = (now - end).min(limit);
        match timeout_at(now + grace, &mut exchange).await {
            Ok(result) => result,
            Err(_) => {
                self.pooled.store(Arc::new(pooled()));
                Err(Error::Late)
            }
        }
    }

    /// Reads JSON from `path` at `addr`, waiting up to `extra_ms` longer than usual.
    ///
    /// # Errors
    ///
    /// Any status but 200, a late or broken answer, or one that cannot be read.
    pub async fn get<T: DeserializeOwned>(
        &self,
        addr: &str,
        path: &str,
        extra_ms: u64,
    ) -> Result<T> {
        let body = self.call(Method::GET, addr, path, Bytes::new(), extra_ms);
        parse(&body.await?)
    }

    /// Posts JSON to `path` at `addr` and reads JSON.
    ///
    /// # Errors
    ///
    /// As [`Client::get`].
    pub async fn post<B: Serialize + Sync, T: DeserializeOwned>(
        &self,
        addr: &str,
        path: &str,
        body: &B,
    ) -> Result<T> {
        let text = serde_json::to_vec(body).map_err(|error| Error::Garbled(error.to_string()))?;
        self.post_bytes(addr, path, text.into()).await
    }

    /// Posts bytes to `path` at `addr` and reads JSON.
    ///
    /// # Errors
    ///
    /// As [`Client::get`].
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
        };
        let incoming = self.send(outgoing).await?;
        if incoming.status != 200 {
            let text = &incoming.body[..incoming.body.len().min(512)];
            let text = String::from_utf8_lossy(text).into_owned();
            return Err(Error::Status(incoming.status, text));
        }
        Ok(incoming.body)
    }

    async fn exchange(&self, outgoing: Outgoing<'_>) -> Result<Incoming> {
        let mut request = Request::builder()
            .method(outgoing.method)
            .uri(format!("http://{}{}", outgoing.addr, outgoing.path))
            .header("content-type", "application/json");
        for (name, value) in outgoing.headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(outgoing.body)).map_err(broken)?;
        let pooled = self.pooled.load_full();
        let answer = pooled.request(request).await.map_err(broken)?;
        let status = answer.status().as_u16();
        let limited = Limited::new(answer.into_body(), ANSWER_MAX_BYTES);
        let body = limited.collect().await.map_err(broken)?.to_bytes();
        Ok(Incoming { status, body })
    }
}

fn pooled() -> Pooled<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_MS)));
    connector.set_nodelay(true);
    Pooled::builder(TokioExecutor::new())
        .pool_idle_timeout(Duration::from_millis(IDLE_MS))
        .pool_max_idle_per_host(MAX_IDLE)
        .build(connector)
}

fn broken(error: impl std::fmt::Display) -> Error {
    Error::Broken(error.to_string())
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Error::Garbled(error.to_string()))
}
