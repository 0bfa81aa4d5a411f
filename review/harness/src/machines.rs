//! The platform's service for machines, without fencing: it carries out each order for maintenance.

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
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// An order as it arrived.
#[derive(Debug, Clone)]
pub struct Order {
    /// The machine.
    pub machine: String,
    /// Who sent it.
    pub holder: String,
    /// Its fencing token.
    pub token: u64,
    /// When it arrived.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    /// Each machine, its runner, and until when it is down, if it was ordered down.
    machines: BTreeMap<String, (String, Option<Instant>)>,
    orders: Vec<Order>,
    /// Whether it turns all calls away.
    is_down: bool,
}

/// A handle of the running service.
#[derive(Debug, Clone)]
pub struct Machines {
    /// Its address.
    pub addr: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    record: Record,
}

/// How long a machine is down for its maintenance.
const UPKEEP: Duration = Duration::from_secs(2);

impl Machines {
    /// Starts the service for machines and their runners.
    pub async fn start(machines: &[(String, String)], record: &Record) -> Self {
        let named = machines.iter().cloned();
        let inner = Inner {
            machines: named.map(|(name, id)| (name, (id, None))).collect(),
            ..Inner::default()
        };
        let mut service = Self {
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            inner: Arc::new(Mutex::new(inner)),
            record: record.clone(),
        };
        let router = Router::new()
            .route("/api/machines", get(list))
            .route("/api/machine-upkeep", post(upkeep))
            .with_state(service.clone());
        service.addr = crate::serve(router).await;
        service
    }

    /// Makes the service unavailable, or available again: it answers each call with 503.
    pub fn set_down(&self, is_down: bool) {
        self.inner.lock().unwrap().is_down = is_down;
        let what = if is_down {
            "turns calls away"
        } else {
            "serves calls"
        };
        self.record.say(format!("machines: the service {what}"));
    }

    /// Returns all orders so far.
    pub fn orders(&self) -> Vec<Order> {
        self.inner.lock().unwrap().orders.clone()
    }
}

async fn list(State(service): State<Machines>) -> Response {
    let inner = service.inner.lock().unwrap();
    if inner.is_down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let machines = inner.machines.iter().map(|(name, (id, down))| {
        let is_down = down.is_some_and(|until| Instant::now() < until);
        json!({
            "machine": name, "pool": "glowbox", "zone": "gujarat-west-a", "labels": ["a", "r1-1"],
            "capacity": {"cpu": 128_000, "mem-mb": 262_144, "gpu": 8}, "id": id,
            "state": if is_down { "upkeep" } else { "up" },
        })
    });
    Json(json!({"machines": machines.collect::<Vec<_>>(), "next-page-token": null})).into_response()
}

async fn upkeep(
    State(service): State<Machines>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    let text = |name: &str| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let machine = body["machine"].as_str().unwrap_or_default().to_owned();
    let (holder, token) = (
        text("trefoilgauge-lease-holder"),
        text("trefoilgauge-fencing-token").parse().unwrap_or(0),
    );
    let line = format!("machines: upkeep {body} holder={holder} token={token}");
    service.record.add(&line);
    let mut inner = service.inner.lock().unwrap();
    inner.orders.push(Order {
        machine: machine.clone(),
        holder,
        token,
        at: Instant::now(),
    });
    if inner.is_down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let known = inner.machines.get_mut(&machine).map(|(_, down)| {
        // An order that was carried out already changes nothing.
        down.get_or_insert(Instant::now() + UPKEEP);
    });
    match known {
        Some(()) => Json(json!({})).into_response(),
        None => StatusCode::BAD_REQUEST.into_response(),
    }
}
