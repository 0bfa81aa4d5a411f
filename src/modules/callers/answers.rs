//! Converts final replies to HTTP responses: an upstream's answer, a stored answer, or problem
//! details (RFC 9457).

use crate::modules::exchange::Answer;
use crate::modules::exchange::FinalReply;
use crate::prelude::*;
use crate::reducer::effect::Code;
use crate::reducer::effect::Ran;
use crate::reducer::effect::Refusal;
use crate::reducer::effect::Reply;
use axum::Json;
use axum::body::Body;
use axum::http::HeaderName;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use serde_json::json;

/// The response header with the configuration offset in force.
pub const CONFIG_HEADER: &str = "trefoil-config";
/// The response header with the request identifier, under which the decision is audited.
pub const REQUEST_HEADER: &str = "trefoil-request";
/// The response header with the name of the runner that answered.
pub const RUNNER_HEADER: &str = "trefoil-runner";

pub(super) fn answer(req: &Name, done: FinalReply) -> Response {
    let mut response = match done.reply {
        Reply::Upstream { runner, .. } => match done.answer {
            Some(answer) => from_upstream(answer, &runner),
            None => refusal(502, Code::UpstreamBroken, Ran::Yes, None),
        },
        Reply::Kept(kept) => {
            let body = kept.body.as_deref().and_then(from_hex).unwrap_or_default();
            let status = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
            let mut response = (status, body).into_response();
            if let Ok(media) = HeaderValue::from_str(&kept.media) {
                response.headers_mut().insert("content-type", media);
            }
            let yes = HeaderValue::from_static("true");
            response.headers_mut().insert("idempotency-replayed", yes);
            response
        }
        Reply::Refused(refused) => problem(&refused, req),
        Reply::JobAccepted { job, offset } => {
            let body = json!({"job": job, "offset": offset, "cfg": done.cfg});
            (StatusCode::CREATED, Json(body)).into_response()
        }
        Reply::JobCancelled { job } => {
            Json(json!({"job": job, "cancelled": true, "cfg": done.cfg})).into_response()
        }
    };
    let headers = response.headers_mut();
    headers.insert(CONFIG_HEADER, HeaderValue::from(done.cfg));
    if let Ok(id) = HeaderValue::from_str(req) {
        headers.insert(REQUEST_HEADER, id);
    }
    response
}

fn from_upstream(answer: Answer, runner: &Name) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = (status, Body::from(answer.body)).into_response();
    let headers = response.headers_mut();
    headers.remove("content-type");
    for header in &answer.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    if let Ok(runner) = HeaderValue::from_str(runner) {
        headers.insert(RUNNER_HEADER, runner);
    }
    response
}

fn problem(refused: &Refusal, req: &str) -> Response {
    let body = json!({
        "type": "about:blank",
        "title": refused.detail,
        "status": refused.status,
        "code": refused.code,
        "ran": refused.ran,
        "request": req,
    });
    let status = StatusCode::from_u16(refused.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = (status, Json(body)).into_response();
    let headers = response.headers_mut();
    let media = HeaderValue::from_static("application/problem+json");
    headers.insert("content-type", media);
    if let Some(retry_ms) = refused.retry_ms {
        headers.insert("retry-after", HeaderValue::from(retry_ms.div_ceil(1_000)));
    }
    response
}

pub(super) fn refusal(status: u16, code: Code, ran: Ran, retry_ms: Option<u64>) -> Response {
    let refused = Refusal::new(status, code, ran, retry_ms);
    problem(&refused, "")
}

pub(super) fn bad_input(findings: &Findings) -> Response {
    let body = json!({
        "type": "about:blank",
        "title": "the call is not well formed",
        "status": 400,
        "code": "bad_input",
        "ran": Ran::No,
        "findings": findings,
    });
    let mut response = (StatusCode::BAD_REQUEST, Json(body)).into_response();
    let media = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert("content-type", media);
    response
}

/// Encodes bytes as lower-case hexadecimal text.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let pairs = (0..text.len()).step_by(2);
    let bytes = pairs.map(|i| u8::from_str_radix(text.get(i..i + 2)?, 16).ok());
    bytes.collect()
}
