//! The HTTP API for callers.

mod answers;

pub use answers::CONFIG_HEADER;
pub use answers::REQUEST_HEADER;
pub use answers::RUNNER_HEADER;
pub use answers::to_hex;

use super::engine::Engine;
use super::exchange::Exchange;
use super::exchange::FinalReply;
use super::exchange::Payload;
use crate::configs::CallersConfig;
use crate::context::Context;
use crate::fields::Fields;
use crate::fields::check_name;
use crate::model::ADJACENCIES;
use crate::model::Adjacency;
use crate::model::Job;
use crate::prelude::*;
use crate::reducer::Event;
use crate::reducer::effect::Code;
use crate::reducer::effect::Ran;
use crate::reducer::event::Arrival;
use crate::reducer::ledger::gangs::MEMBERS_MAX;
use answers::answer;
use answers::bad_input;
use answers::refusal;
use axum::Json;
use axum::Router;
use axum::body::to_bytes;
use axum::extract::Path;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use bytes::Bytes;
use serde_json::Value;
use serde_json::json;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

/// The header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// The header with the deadline of the request, in milliseconds from its arrival.
pub const DEADLINE_HEADER: &str = "deadline-ms";
/// The header with the wall time at which the caller first sent the request, in milliseconds.
pub const ISSUED_HEADER: &str = "issued-at-ms";

const DEADLINE_MAX_MS: u64 = 86_400_000;
const KEY_MAX_BYTES: usize = 128;

/// State shared by the handlers.
#[derive(Debug, Clone)]
pub struct Callers {
    ctx: Arc<Context>,
    engine: Engine,
    exchange: Arc<Exchange>,
    counter: Arc<AtomicU64>,
}

/// Creates the router of the callers' API.
pub fn router(ctx: Arc<Context>, engine: Engine, exchange: Arc<Exchange>) -> Router {
    let callers = Callers {
        ctx,
        engine,
        exchange,
        counter: Arc::new(AtomicU64::new(0)),
    };
    Router::new()
        .route("/v1/workspaces/{ws}/requests/{kind}", post(submit_request))
        .route("/v1/workspaces/{ws}/jobs", post(submit_job))
        .route(
            "/v1/workspaces/{ws}/jobs/{job}",
            get(get_job).delete(cancel_job),
        )
        .with_state(callers)
}

/// Notifies the reducer if the caller disconnects before it gets a reply.
struct DisconnectGuard {
    engine: Engine,
    req: Name,
    done: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.done {
            let req = self.req.clone();
            self.engine.try_send(Event::CallerGone { req });
        }
    }
}

impl Callers {
    fn config(&self) -> &CallersConfig {
        &self.ctx.settings.callers
    }

    fn next_id(&self) -> Name {
        let number = self.counter.fetch_add(1, Ordering::Relaxed);
        let vm = &self.ctx.settings.vm;
        format!("{vm}-{:x}-{number}", self.ctx.boot).into()
    }

    /// Submits a call to the reducer and waits for the final reply.
    async fn call(
        &self,
        req: &Name,
        payload: Option<Payload>,
        event: Event,
    ) -> std::result::Result<FinalReply, Response> {
        if self.exchange.len() as u64 >= self.config().open_calls {
            return Err(refusal(503, Code::QueueFull, Ran::No, Some(1_000)));
        }
        let answer: oneshot::Receiver<FinalReply> = self.exchange.open(req, payload);
        let mut guard = DisconnectGuard {
            engine: self.engine.clone(),
            req: req.clone(),
            done: false,
        };
        if !self.engine.send(event).await {
            return Err(refusal(503, Code::Draining, Ran::No, Some(0)));
        }
        let done = answer.await;
        guard.done = true;
        done.map_err(|_| refusal(503, Code::Draining, Ran::Unknown, Some(0)))
    }
}

async fn submit_request(
    State(callers): State<Callers>,
    Path((workspace, kind)): Path<(String, String)>,
    http: Request,
) -> Response {
    let mut findings = Findings::default();
    check_name(&workspace, "path:workspace", &mut findings);
    check_name(&kind, "path:kind", &mut findings);
    let headers = http.headers().clone();
    let key = read_key(&headers, &mut findings);
    let deadline_ms = read_number(&headers, DEADLINE_HEADER, DEADLINE_MAX_MS, &mut findings);
    let issued_ms = read_number(&headers, ISSUED_HEADER, u64::MAX, &mut findings);
    let body = read_body(http, callers.config().body_bytes, &mut findings).await;
    if !findings.is_empty() {
        return bad_input(&findings);
    }
    let req = callers.next_id();
    let payload = Payload {
        kind: kind.as_str().into(),
        workspace: workspace.as_str().into(),
        key: key.clone(),
        media: header(&headers, "content-type"),
        body: body.clone(),
    };
    let arrival = Arrival {
        req: req.clone(),
        workspace: payload.workspace.clone(),
        kind: payload.kind.clone(),
        key,
        issued_ms,
        deadline_ms,
        print: request_hash(&workspace, &kind, &body),
        bytes: body.len() as u64,
    };
    match callers
        .call(&req, Some(payload), Event::Arrive(arrival))
        .await
    {
        Ok(done) => answer(&req, done),
        Err(refused) => refused,
    }
}

async fn submit_job(
    State(callers): State<Callers>,
    Path(workspace): Path<String>,
    http: Request,
) -> Response {
    let mut findings = Findings::default();
    check_name(&workspace, "path:workspace", &mut findings);
    let body = read_body(http, callers.config().body_bytes, &mut findings).await;
    let req = callers.next_id();
    let job = match serde_json::from_slice::<Value>(&body) {
        Ok(value) => parse_job(&value, &workspace, &req, &mut findings),
        Err(error) => {
            findings.add("body", error.to_string());
            None
        }
    };
    let Some(job) = job.filter(|_| findings.is_empty()) else {
        return bad_input(&findings);
    };
    let event = Event::Submit {
        req: req.clone(),
        job,
    };
    match callers.call(&req, None, event).await {
        Ok(done) => answer(&req, done),
        Err(refused) => refused,
    }
}

async fn cancel_job(
    State(callers): State<Callers>,
    Path((workspace, job)): Path<(String, String)>,
) -> Response {
    let req = callers.next_id();
    let event = Event::Cancel {
        req: req.clone(),
        workspace: workspace.into(),
        job: job.into(),
    };
    match callers.call(&req, None, event).await {
        Ok(done) => answer(&req, done),
        Err(refused) => refused,
    }
}

async fn get_job(
    State(callers): State<Callers>,
    Path((workspace, job)): Path<(String, String)>,
) -> Response {
    let found = callers.engine.query(move |state, _| {
        let gang = state.ledger.gangs.all.get(job.as_str());
        let own = gang.filter(|gang| *gang.job.workspace == *workspace);
        own.map(|gang| json!({"job": gang, "cfg": state.ledger.catalog.next}))
    });
    match found.await.flatten() {
        Some(gang) => Json(gang).into_response(),
        None => refusal(404, Code::UnknownJob, Ran::No, None),
    }
}

/// Parses and validates the body of a submitted job.
pub fn parse_job(
    value: &Value,
    workspace: &str,
    req: &Name,
    findings: &mut Findings,
) -> Option<Job> {
    let mut fields = Fields::open(value, "body", findings)?;
    let id = match value.get("id") {
        Some(_) => fields.name("id", findings),
        None => req.clone(),
    };
    let kind = fields.name("kind", findings);
    let members = fields.number("members", 1..=u64::from(MEMBERS_MAX), findings) as u32;
    let accelerators = fields.number_or("accelerators", 0, 0..=64, findings) as u32;
    let cores = fields.number_or("cores", 0, 0..=4_096, findings) as u32;
    let memory_gb = fields.number_or("memory_gb", 0, 0..=65_536, findings) as u32;
    let adjacency = fields.choice_or("adjacency", Adjacency::Any, &ADJACENCIES, findings);
    let run_ms = fields.number("run_ms", 1..=31_536_000_000, findings);
    fields.finish(findings);
    Some(Job {
        id,
        workspace: workspace.into(),
        kind,
        members,
        accelerators,
        cores,
        memory_gb,
        adjacency,
        run_ms,
    })
}

async fn read_body(http: Request, most: u64, findings: &mut Findings) -> Bytes {
    match to_bytes(http.into_body(), most as usize).await {
        Ok(body) => body,
        Err(_) => {
            findings.add(
                "body",
                format!("must come whole, with at most {most} bytes"),
            );
            Bytes::new()
        }
    }
}

fn read_key(headers: &HeaderMap, findings: &mut Findings) -> Option<Name> {
    let key = header(headers, KEY_HEADER)?;
    let clean = key.bytes().all(|byte| byte.is_ascii_graphic());
    if key.is_empty() || key.len() > KEY_MAX_BYTES || !clean {
        let text = format!("must be 1 to {KEY_MAX_BYTES} visible ASCII characters");
        findings.add(format!("header:{KEY_HEADER}"), text);
    }
    Some(key.into())
}

fn read_number(headers: &HeaderMap, name: &str, most: u64, findings: &mut Findings) -> Option<u64> {
    let text = header(headers, name)?;
    match text.parse::<u64>() {
        Ok(number) if (1..=most).contains(&number) => Some(number),
        _ => {
            let text = format!("must be a whole number from 1 to {most}");
            findings.add(format!("header:{name}"), text);
            None
        }
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

fn request_hash(workspace: &str, kind: &str, body: &[u8]) -> u64 {
    let mut text = format!("{workspace}\n{kind}\n").into_bytes();
    text.extend_from_slice(body);
    xxh3_64(&text)
}
