//! A small HTTP client for JSON calls with a deadline.

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

/// The largest answer that is read, in bytes.
pub const ANSWER_MAX_BYTES: usize = 64 * 1_048_576;
/// The time in which a connection must be made, in milliseconds.
const CONNECT_MS: u64 = 1_000;
/// The time after which an idle connection is closed, in milliseconds.
const IDLE_MS: u64 = 10_000;

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
    pooled: Pooled<HttpConnector, Full<Bytes>>,
    call_ms: u64,
}

impl Client {
    /// Makes a client whose calls take at most `call_ms` milliseconds.
    pub fn new(call_ms: u64) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_MS)));
        connector.set_nodelay(true);
        let pooled = Pooled::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_millis(IDLE_MS))
            .pool_max_idle_per_host(2)
            .build(connector);
        Self { pooled, call_ms }
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
        let limit = Duration::from_millis(self.call_ms + extra_ms);
        let call = self.exchange(method, addr, path, body);
        match tokio::time::timeout(limit, call).await {
            Ok(result) => result,
            Err(_) => Err(Error::Late),
        }
    }

    async fn exchange(&self, method: Method, addr: &str, path: &str, body: Bytes) -> Result<Bytes> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(broken)?;
        let answer = self.pooled.request(request).await.map_err(broken)?;
        let status = answer.status().as_u16();
        let limited = Limited::new(answer.into_body(), ANSWER_MAX_BYTES);
        let whole = limited.collect().await.map_err(broken)?.to_bytes();
        if status != 200 {
            let text = String::from_utf8_lossy(&whole[..whole.len().min(512)]).into_owned();
            return Err(Error::Status(status, text));
        }
        Ok(whole)
    }
}

fn broken(error: impl std::fmt::Display) -> Error {
    Error::Broken(error.to_string())
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Error::Garbled(error.to_string()))
}
