//! A small HTTP client that insists on whole answers and a timeout.

use axum::body::Body;
use axum::http::Method;
use axum::http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client as Pooled;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use std::io;
use std::time::Duration;

/// The result of a call.
pub type Result<T> = io::Result<T>;

/// A whole answer.
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

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the body.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(io::Error::other)
    }
}

/// A client with its own connections.
#[derive(Debug, Clone)]
pub struct Client {
    pooled: Pooled<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl Client {
    /// Makes a client whose calls end after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            pooled: Pooled::builder(TokioExecutor::new()).build_http(),
            timeout,
        }
    }

    /// Sends a request, and returns its whole answer.
    ///
    /// # Errors
    ///
    /// The connection failed, the answer was not whole, or the time was up.
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
        match tokio::time::timeout(self.timeout, self.whole(request)).await {
            Ok(answer) => answer,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Sends `GET`.
    ///
    /// # Errors
    ///
    /// As [`Client::send`].
    pub async fn get(&self, url: &str) -> Result<Answer> {
        self.send(Method::GET, url, &[], Bytes::new()).await
    }

    /// Sends `POST`.
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

    async fn whole(&self, request: Request<Full<Bytes>>) -> Result<Answer> {
        let answer = self
            .pooled
            .request(request)
            .await
            .map_err(io::Error::other)?;
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
