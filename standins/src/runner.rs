//! An upstream that serves requests, with a bound on its slots and connections.

use crate::dose::Dose;
use crate::line::Line;
use crate::pause::Pause;
pub use crate::serve::Result;
use crate::serve::Server;
use crate::serve::broken;
use crate::serve::refused;
use crate::shared::Shared;
use crate::tally::Execution;
use crate::tally::Tally;
use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::ConnectInfo;
use axum::extract::DefaultBodyLimit;
use axum::extract::Path;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use futures_util::StreamExt;
use futures_util::stream;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hasher;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use trefoilgauge::prelude::Name;

/// The largest request body, in bytes.
const BODY_MAX_BYTES: usize = 16 * 1_048_576;
/// The time between the part of a truncated answer and the end of its connection.
const TRUNCATE_MS: u64 = 20;

/// The least and the longest service time of a kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spread {
    /// The least, in milliseconds.
    pub least_ms: u64,
    /// The longest, in milliseconds.
    pub most_ms: u64,
}

/// Options of a runner.
#[derive(Debug, Clone)]
pub struct RunnerOptions {
    /// Its name.
    pub name: Name,
    /// The requests that it serves at once.
    pub slots: usize,
    /// The connections that it accepts.
    pub connections: usize,
    /// The service time of a kind that `service` does not name.
    pub ordinary: Spread,
    /// The service time of each kind.
    pub service: BTreeMap<Name, Spread>,
    /// The seed of service times and of faults that strike a share of the requests.
    pub seed: u64,
    /// Where executions are counted; runners of a pool share it.
    pub tally: Tally,
}

impl Default for RunnerOptions {
    fn default() -> Self {
        Self {
            name: "runner-1".into(),
            slots: 8,
            connections: 60,
            ordinary: Spread {
                least_ms: 1,
                most_ms: 5,
            },
            service: BTreeMap::new(),
            seed: 1,
            tally: Tally::default(),
        }
    }
}

/// A runner's faults.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RunnerFaults {
    /// Whether new requests are refused as it is leaving; those that run are completed.
    pub leaving: bool,
    /// Whether nothing is answered, `/health` included, until this is set back.
    pub frozen: bool,
    /// Whether every request fails at once with 500.
    pub failing: bool,
    /// The delay of each answer after the request ran, in milliseconds.
    pub late_ms: u64,
    /// The delay of each answer that `late` strikes, in milliseconds.
    pub some_late_ms: u64,
    /// How often an answer is late by `some_late_ms`.
    pub some_late: Dose,
    /// How often half of the answer's body is sent before the connection ends.
    pub truncate: Dose,
    /// How often the connection ends without an answer after the request ran.
    pub break_after: Dose,
    /// How often the connection ends before the request runs.
    pub break_before: Dose,
    /// Bytes that are added to each answer.
    pub pad_bytes: usize,
}

/// What a runner counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunnerCounts {
    /// Requests that began to run.
    pub runs: u64,
    /// Requests over the slots.
    pub busy: u64,
    /// Requests refused as it is leaving.
    pub leaving: u64,
    /// Requests that failed at once.
    pub failed: u64,
    /// The requests that run now.
    pub flight: usize,
    /// The most requests that ran at once.
    pub peak: usize,
}

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

#[derive(Debug)]
struct Inner {
    options: RunnerOptions,
    faults: RunnerFaults,
    counts: RunnerCounts,
    rng: Pcg64Mcg,
}

/// What is to become of a request.
#[derive(Debug, PartialEq, Eq)]
enum Fate {
    Leaving,
    Busy,
    Failed,
    BrokenBefore,
    Run(Plan),
}

/// How a request runs and is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Plan {
    service_ms: u64,
    late_ms: u64,
    truncate: bool,
    break_after: bool,
    pad_bytes: usize,
}

impl Inner {
    fn call(&mut self, kind: &str) -> Fate {
        let rng = &mut self.rng;
        let faults = &mut self.faults;
        if faults.leaving {
            self.counts.leaving += 1;
            return Fate::Leaving;
        }
        if faults.failing {
            self.counts.failed += 1;
            return Fate::Failed;
        }
        if self.counts.flight >= self.options.slots {
            self.counts.busy += 1;
            return Fate::Busy;
        }
        if faults.break_before.take(rng) {
            return Fate::BrokenBefore;
        }
        self.counts.runs += 1;
        self.counts.flight += 1;
        self.counts.peak = self.counts.peak.max(self.counts.flight);
        let spread = self.options.service.get(kind);
        let spread = spread.unwrap_or(&self.options.ordinary);
        let late_ms = match faults.some_late.take(rng) {
            true => faults.late_ms + faults.some_late_ms,
            false => faults.late_ms,
        };
        Fate::Run(Plan {
            service_ms: rng.random_range(spread.least_ms..=spread.most_ms),
            late_ms,
            truncate: faults.truncate.take(rng),
            break_after: faults.break_after.take(rng),
            pad_bytes: faults.pad_bytes,
        })
    }
}

#[derive(Debug, Clone)]
struct Runner {
    inner: Shared<Inner>,
    pause: Pause,
}

impl Runner {
    /// Runs a request to its end, whether or not its caller still waits.
    async fn run(self, plan: Plan, execution: Execution) -> WorkAnswer {
        let tally = self.inner.with(|inner| inner.options.tally.clone());
        tally.add(execution.clone());
        tokio::time::sleep(Duration::from_millis(plan.service_ms)).await;
        self.pause.passed().await;
        self.inner.with(|inner| inner.counts.flight -= 1);
        WorkAnswer {
            request: execution.request,
            runner: execution.runner,
            kind: execution.kind,
            digest: execution.digest,
            pad: "x".repeat(plan.pad_bytes),
        }
    }
}

/// A running runner.
#[derive(Debug)]
pub struct RunnerHandle {
    server: Server,
    runner: Runner,
    name: Name,
}

impl RunnerHandle {
    /// Starts a runner.
    ///
    /// # Errors
    ///
    /// Passes on the error of the bind.
    pub async fn spawn(options: RunnerOptions) -> Result<Self> {
        let name = options.name.clone();
        let connections = options.connections;
        let runner = Runner {
            inner: Shared::new(Inner {
                faults: RunnerFaults::default(),
                counts: RunnerCounts::default(),
                rng: Pcg64Mcg::seed_from_u64(options.seed),
                options,
            }),
            pause: Pause::default(),
        };
        let router = Router::new()
            .route("/v1/work/{kind}", post(work))
            .route("/health", get(health))
            .layer(DefaultBodyLimit::max(BODY_MAX_BYTES))
            .with_state(runner.clone());
        let server = Server::spawn(router, connections).await?;
        Ok(Self {
            server,
            runner,
            name,
        })
    }

    /// Returns the name.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the server, whose connections can be made to fail.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Changes the faults.
    pub fn set(&self, change: impl FnOnce(&mut RunnerFaults)) {
        let frozen = self.runner.inner.with(|inner| {
            change(&mut inner.faults);
            inner.faults.frozen
        });
        self.runner.pause.set(frozen);
    }

    /// Sets the service time of a kind of work.
    pub fn set_service(&self, kind: &str, spread: Spread) {
        self.runner
            .inner
            .with(|inner| inner.options.service.insert(kind.into(), spread));
    }

    /// Returns what was counted.
    pub fn counts(&self) -> RunnerCounts {
        self.runner.inner.with(|inner| inner.counts)
    }

    /// Returns where its executions are counted.
    pub fn tally(&self) -> Tally {
        self.runner.inner.with(|inner| inner.options.tally.clone())
    }

    /// Stops the runner.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

async fn health(State(runner): State<Runner>) -> StatusCode {
    runner.pause.passed().await;
    StatusCode::OK
}

async fn work(
    State(runner): State<Runner>,
    ConnectInfo(line): ConnectInfo<Line>,
    Path(kind): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    runner.pause.passed().await;
    let (fate, name) = runner
        .inner
        .with(|inner| (inner.call(&kind), inner.options.name.clone()));
    let plan = match fate {
        Fate::Leaving => return leaving(),
        Fate::Busy => return refused(StatusCode::TOO_MANY_REQUESTS),
        Fate::Failed => return StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        Fate::BrokenBefore => return broken(&line),
        Fate::Run(plan) => plan,
    };
    let execution = Execution {
        runner: name,
        kind: kind.into(),
        request: header(&headers, "x-request-id").unwrap_or_default(),
        key: header(&headers, "idempotency-key"),
        digest: digest(&body),
    };
    let run = tokio::spawn(runner.clone().run(plan, execution));
    let Ok(answer) = run.await else {
        return broken(&line);
    };
    tokio::time::sleep(Duration::from_millis(plan.late_ms)).await;
    runner.pause.passed().await;
    match plan {
        _ if plan.break_after => broken(&line),
        _ if plan.truncate => truncated(&answer),
        _ => Json(answer).into_response(),
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<Name> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.into())
}

fn leaving() -> Response {
    let headers = [("x-leaving", "true"), ("retry-after", "1")];
    (StatusCode::SERVICE_UNAVAILABLE, headers).into_response()
}

/// Sends half of an answer under the length of the whole, then ends the connection.
fn truncated(answer: &WorkAnswer) -> Response {
    let whole = serde_json::to_vec(answer).unwrap_or_default();
    let length = whole.len().to_string();
    let half = Bytes::copy_from_slice(&whole[..whole.len() / 2]);
    let part = stream::iter([Ok::<Bytes, io::Error>(half)]);
    let end = stream::once(async {
        tokio::time::sleep(Duration::from_millis(TRUNCATE_MS)).await;
        Err(io::ErrorKind::ConnectionReset.into())
    });
    let headers = [
        ("content-type", "application/json".to_owned()),
        ("content-length", length),
    ];
    (headers, Body::from_stream(part.chain(end))).into_response()
}
