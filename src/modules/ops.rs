//! The HTTP API for operators: readiness, metrics, a dump of the state, and queries of the ledger.

use super::engine::Engine;
use super::timings::Timings;
use crate::context::Context;
use crate::prelude::*;
use crate::reducer::State as ReducerState;
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

/// State shared by the handlers.
#[derive(Clone)]
pub struct Ops {
    /// The context of the process.
    pub ctx: Arc<Context>,
    /// The handle to the reducer.
    pub engine: Engine,
    /// Renders the process's metrics.
    pub metrics: PrometheusHandle,
    /// The durations of the reducer's steps.
    pub timings: Arc<Timings>,
}

impl std::fmt::Debug for Ops {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Ops")
    }
}

/// Creates the router of the operators' API.
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

/// Reports to load balancers whether this process accepts new work.
async fn ready(State(ops): State<Ops>) -> Response {
    let state = ops.engine.query(|state, _| {
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
    let state = ops.engine.query(move |state, now| {
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
    or_unavailable(state.await)
}

async fn part(State(ops): State<Ops>, Path(part): Path<String>) -> Response {
    let found = ops.engine.query(move |state, _| read_part(state, &part));
    match found.await {
        Some(Some(value)) => Json(value).into_response(),
        Some(None) => StatusCode::NOT_FOUND.into_response(),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

fn read_part(state: &ReducerState, part: &str) -> Option<Value> {
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
        .query(|state, _| to_json(&state.ledger.catalog.ruled));
    or_unavailable(ruled.await)
}

async fn change(State(ops): State<Ops>, Path(change): Path<String>) -> Response {
    let ruled = ops.engine.query(move |state, _| {
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

fn or_unavailable(value: Option<Value>) -> Response {
    match value {
        Some(value) => Json(value).into_response(),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

fn to_json<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).unwrap_or_default()
}
