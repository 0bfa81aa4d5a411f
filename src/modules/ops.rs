//! The operators' HTTP interface: readiness, metrics, a dump of the state, and what the ledger says.

use super::engine::Engine;
use super::timings::Timings;
use crate::context::Context;
use crate::prelude::*;
use crate::reducer::State as Whole;
use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// What the handlers share.
#[derive(Clone)]
pub struct Ops {
    /// The process.
    pub ctx: Arc<Context>,
    /// The reducer.
    pub engine: Engine,
    /// The process's metrics.
    pub metrics: PrometheusHandle,
    /// The time that steps took.
    pub timings: Arc<Timings>,
}

impl std::fmt::Debug for Ops {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Ops")
    }
}

/// Makes the router of the operators' interface.
pub fn router(ops: Ops) -> Router {
    Router::new()
        .route("/ready", get(ready))
        .route("/metrics", get(metrics))
        .route("/debug/state", get(dump))
        .route("/ops/ledger/{part}", get(part))
        .route("/ops/changes", get(changes))
        .route("/ops/changes/{change}", get(change))
        .route("/ops/timings", get(timings))
        .with_state(ops)
}

/// Tells a balancer whether this process takes new work.
async fn ready(State(ops): State<Ops>) -> Response {
    let state = ops.engine.ask(|state, _| {
        json!({
            "ready": state.ready() && !state.leaving,
            "leaving": state.leaving,
            "draining": state.draining,
            "caught_up": state.caught_up,
            "log_up": state.log_up,
            "too_new": state.ledger.catalog.too_new,
            "control": state.ledger.next,
            "cfg": state.ledger.catalog.next,
        })
    });
    let Some(body) = state.await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let status = match body["ready"] == Value::Bool(true) {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, Json(body)).into_response()
}

async fn metrics(State(ops): State<Ops>) -> String {
    ops.metrics.render()
}

async fn dump(State(ops): State<Ops>) -> Response {
    let ctx = ops.ctx.clone();
    let state = ops.engine.ask(move |state, now| {
        json!({
            "writer": ctx.writer,
            "boot": ctx.boot,
            "mono_ms": now.mono_ms,
            "wall_ms": now.wall_ms,
            "caught_up": state.caught_up,
            "log_up": state.log_up,
            "draining": state.draining,
            "open_calls": state.open_calls(),
            "ledger": to_json(&state.ledger),
            "staged_next": state.staged.next,
            "peers": format!("{:?}", state.peers),
            "requests": format!("{:?}", state.requests),
            "keeper": format!("{:?}", state.keeper),
        })
    });
    or_gone(state.await)
}

async fn part(State(ops): State<Ops>, Path(part): Path<String>) -> Response {
    let found = ops.engine.ask(move |state, _| read_part(state, &part));
    match found.await {
        Some(Some(value)) => Json(value).into_response(),
        Some(None) => StatusCode::NOT_FOUND.into_response(),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

fn read_part(state: &Whole, part: &str) -> Option<Value> {
    let ledger = &state.ledger;
    match part {
        "jobs" => Some(to_json(&ledger.gangs.all)),
        "workspaces" => Some(to_json(&ledger.catalog.workspaces)),
        "kinds" => Some(to_json(&ledger.catalog.kinds)),
        "pools" => Some(to_json(&ledger.catalog.pools)),
        "racks" => Some(to_json(&ledger.catalog.racks)),
        "workers" => Some(to_json(&ledger.fleet.hosts)),
        "duplicates" => Some(json!({
            "seen": ledger.claims.repeats,
            "listed": to_json(&ledger.claims.duplicates),
        })),
        _ => None,
    }
}

async fn changes(State(ops): State<Ops>) -> Response {
    let ruled = ops
        .engine
        .ask(|state, _| to_json(&state.ledger.catalog.ruled));
    or_gone(ruled.await)
}

async fn change(State(ops): State<Ops>, Path(change): Path<String>) -> Response {
    let ruled = ops.engine.ask(move |state, _| {
        let all = state.ledger.catalog.ruled.iter();
        let mut newest_first = all.rev();
        let found = newest_first.find(|ruled| *ruled.change == *change);
        found.map(to_json)
    });
    match ruled.await {
        Some(Some(value)) => Json(value).into_response(),
        Some(None) => StatusCode::NOT_FOUND.into_response(),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn timings(State(ops): State<Ops>) -> Response {
    Json(ops.timings.rows()).into_response()
}

fn or_gone(value: Option<Value>) -> Response {
    match value {
        Some(value) => Json(value).into_response(),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

fn to_json<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).unwrap_or_default()
}
