//! The answers of a runner.

use axum::Json;
use axum::body::Body;
use axum::body::Bytes;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use futures_util::StreamExt;
use futures_util::stream;
use serde::Deserialize;
use serde::Serialize;
use std::hash::DefaultHasher;
use std::hash::Hasher;
use std::io;
use std::time::Duration;
use trefoilgauge::prelude::Name;

/// The delay between the first half of a truncated answer and the end of its connection, in
/// milliseconds.
const TRUNCATE_MS: u64 = 20;
/// The request identifier in a foreign answer.
const FOREIGN_ID: &str = "another-request";

/// The answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkAnswer {
    /// The identifier of the request.
    pub request: Name,
    /// The runner that served it.
    pub runner: Name,
    /// The kind of work.
    pub kind: Name,
    /// The digest of the request's body.
    pub digest: Name,
    /// Padding that enlarges the answer.
    pub pad: String,
}

/// Returns the digest of a body, by which a caller checks that an answer belongs to its request.
pub fn digest(body: &[u8]) -> Name {
    let mut hasher = DefaultHasher::new();
    hasher.write(body);
    format!("{:016x}", hasher.finish()).into()
}

/// Returns the complete answer, with the request identifier also in a header.
pub(super) fn complete(answer: &WorkAnswer) -> Response {
    let headers = [("x-request-id", answer.request.to_string())];
    (headers, Json(answer)).into_response()
}

/// Returns an answer that belongs to another request.
pub(super) fn foreign(answer: &WorkAnswer) -> Response {
    complete(&WorkAnswer {
        request: FOREIGN_ID.into(),
        digest: digest(FOREIGN_ID.as_bytes()),
        ..answer.clone()
    })
}

/// Refuses a request because the runner is leaving.
pub(super) fn leaving() -> Response {
    let headers = [("x-leaving", "true"), ("retry-after", "1")];
    (StatusCode::SERVICE_UNAVAILABLE, headers).into_response()
}

/// Declares the full content length, sends half of the answer, then closes the connection.
pub(super) fn truncated(answer: &WorkAnswer) -> Response {
    let whole = serde_json::to_vec(answer).unwrap_or_default();
    let length = whole.len().to_string();
    let half = Bytes::copy_from_slice(&whole[..whole.len() / 2]);
    let part = stream::iter([Ok::<Bytes, io::Error>(half)]);
    let end = stream::once(async {
        tokio::time::sleep(Duration::from_millis(TRUNCATE_MS)).await;
        Err(io::ErrorKind::ConnectionReset.into())
    });
    let headers = [
        ("x-request-id", answer.request.to_string()),
        ("content-type", "application/json".to_owned()),
        ("content-length", length),
    ];
    (headers, Body::from_stream(part.chain(end))).into_response()
}
