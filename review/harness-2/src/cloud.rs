//! A stand-in of the service that manages the machines of the runners.

use crate::record::Record;
use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use serde_json::Value;
use serde_json::json;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// How long a machine is down for its upkeep, in milliseconds (`upkeep-s`).
const UPKEEP_MS: u64 = 2_000;

/// An upkeep order that was carried out.
#[derive(Debug, Clone)]
pub(crate) struct Order {
    pub(crate) machine: String,
    pub(crate) holder: String,
    pub(crate) token: u64,
    pub(crate) at: Instant,
    pub(crate) at_ms: u64,
}

#[derive(Debug, Default)]
struct Machine {
    token: u64,
    down_since: Option<Instant>,
    wave: Option<u64>,
}

#[derive(Debug)]
struct Inner {
    machines: HashMap<String, Machine>,
    orders: Vec<Order>,
    record: Record,
}

type Shared = Arc<Mutex<Inner>>;

/// A handle of the running service.
#[derive(Debug, Clone)]
pub(crate) struct Cloud {
    pub(crate) addr: SocketAddr,
    inner: Shared,
}

impl Cloud {
    /// Starts a service with the machines `m-0`, `m-1` and so on, of which each runs the runner with
    /// the same number.
    pub(crate) async fn spawn(count: usize, record: &Record) -> Self {
        let machines = (0..count).map(|number| (format!("m-{number}"), Machine::default()));
        let inner = Arc::new(Mutex::new(Inner {
            machines: machines.collect(),
            orders: Vec::new(),
            record: record.clone(),
        }));
        let router = Router::new()
            .route("/api/machines", get(list))
            .route("/api/machine-upkeep", post(upkeep))
            .with_state(inner.clone());
        let addr = crate::serve(router).await;
        Self { addr, inner }
    }

    /// Returns the orders that were answered with 200.
    pub(crate) fn orders(&self) -> Vec<Order> {
        self.inner.lock().unwrap().orders.clone()
    }
}

fn is_down(machine: &Machine) -> bool {
    let down = machine.down_since.map(|since| since.elapsed());
    down.is_some_and(|down| down < Duration::from_millis(UPKEEP_MS))
}

async fn list(State(inner): State<Shared>) -> Response {
    let inner = inner.lock().unwrap();
    let machines: Vec<Value> = inner
        .machines
        .iter()
        .map(|(name, machine)| {
            let state = if is_down(machine) { "upkeep" } else { "up" };
            json!({
                "machine": name, "pool": "service-1", "state": state, "zone": "zone-1",
                "labels": ["a", "r1-1"], "capacity": {"cpu": 64_000, "mem-mb": 131_072, "gpu": 8},
                "id": name.replace("m-", "runner-"),
            })
        })
        .collect();
    Json(json!({"machines": machines})).into_response()
}

async fn upkeep(
    State(inner): State<Shared>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    let mut inner = inner.lock().unwrap();
    let text = |name: &str| headers[name].to_str().unwrap().to_owned();
    let holder = text("trefoilgauge-lease-holder");
    let token: u64 = text("trefoilgauge-fencing-token").parse().unwrap();
    let name = body["machine"].as_str().unwrap().to_owned();
    let wave = body["wave"].as_u64().unwrap();
    let Some(machine) = inner.machines.get_mut(&name) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let fenced = token < machine.token;
    if !fenced {
        machine.token = token;
        if machine.wave != Some(wave) {
            machine.wave = Some(wave);
            machine.down_since = Some(Instant::now());
        }
    }
    let status = if fenced { 409 } else { 200 };
    let at_ms = inner.record.now_ms();
    inner.record.note(format!(
        "cloud: upkeep of {name} for wave {wave} by {holder} with token {token}: {status}"
    ));
    if fenced {
        return (StatusCode::CONFLICT, Json(json!({"reason": "fence"}))).into_response();
    }
    inner.orders.push(Order {
        machine: name,
        holder,
        token,
        at: Instant::now(),
        at_ms,
    });
    Json(json!({})).into_response()
}
