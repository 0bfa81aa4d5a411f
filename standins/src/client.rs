//! A small HTTP client that reads the complete answer within a timeout.

use axum::body::Body;
use axum::http::Method;
use axum::http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use std::io;
use std::time::Duration;

/// The result of a call.
pub type Result<T> = io::Result<T>;

/// A complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// Returns a header's value; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// The body is not valid JSON for `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(io::Error::other)
    }
}

/// An HTTP client with its own connection pool.
#[derive(Debug, Clone)]
pub struct Client {
    pool: HttpClient<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl Client {
    /// Creates a client whose calls fail after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            pool: HttpClient::builder(TokioExecutor::new()).build_http(),
            timeout,
        }
    }

    /// Sends a request and returns the complete answer.
    ///
    /// # Errors
    ///
    /// The connection failed, the answer was incomplete, or the timeout expired.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer> {
        let mut request = Request::builder().method(method).uri(url);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(body.into()))
            .map_err(io::Error::other)?;
        match tokio::time::timeout(self.timeout, self.exchange(request)).await {
            Ok(answer) => answer,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Sends a `GET` request.
    ///
    /// # Errors
    ///
    /// As [`Client::send`].
    pub async fn get(&self, url: &str) -> Result<Answer> {
        self.send(Method::GET, url, &[], Bytes::new()).await
    }

    /// Sends a `POST` request.
    ///
    /// # Errors
    ///
    /// As [`Client::send`].
    pub async fn post(
        &self,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer> {
        self.send(Method::POST, url, headers, body).await
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer> {
        let answer = self.pool.request(request).await.map_err(io::Error::other)?;
        let (head, body) = answer.into_parts();
        let body = Body::new(body).collect().await.map_err(io::Error::other)?;
        let headers = head.headers.iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes());
            (name.as_str().to_owned(), value.into_owned())
        });
        Ok(Answer {
            status: head.status.as_u16(),
            headers: headers.collect(),
            body: body.to_bytes(),
        })
    }
}
