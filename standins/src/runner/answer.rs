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

/// The time between the part of a truncated answer and the end of its connection.
const TRUNCATE_MS: u64 = 20;
/// The identifier in the answer to another request.
const FOREIGN_ID: &str = "another-request";

/// The answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkAnswer {
    /// The request's identifier.
    pub request: Name,
    /// The runner.
    pub runner: Name,
    /// The kind of work.
    pub kind: Name,
    /// The digest of the request's body.
    pub digest: Name,
    /// Fills the answer up.
    pub pad: String,
}

/// Returns the digest of a body, by which a caller knows its own answer.
pub fn digest(body: &[u8]) -> Name {
    let mut hasher = DefaultHasher::new();
    hasher.write(body);
    format!("{:016x}", hasher.finish()).into()
}

/// Answers in full; names the request in a header, too.
pub(super) fn whole(answer: &WorkAnswer) -> Response {
    let headers = [("x-request-id", answer.request.to_string())];
    (headers, Json(answer)).into_response()
}

/// Answers as if to another request.
pub(super) fn foreign(answer: &WorkAnswer) -> Response {
    whole(&WorkAnswer {
        request: FOREIGN_ID.into(),
        digest: digest(FOREIGN_ID.as_bytes()),
        ..answer.clone()
    })
}

/// Refuses a request as the runner is leaving.
pub(super) fn leaving() -> Response {
    let headers = [("x-leaving", "true"), ("retry-after", "1")];
    (StatusCode::SERVICE_UNAVAILABLE, headers).into_response()
}

/// Sends half of an answer under the length of the whole, then ends the connection.
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
