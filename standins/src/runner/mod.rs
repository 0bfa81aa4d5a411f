//! A runner: an upstream that serves requests within limits on slots and connections.

mod answer;
mod options;

pub use answer::WorkAnswer;
pub use answer::digest;
pub use options::RunnerCounts;
pub use options::RunnerFaults;
pub use options::RunnerOptions;
pub use options::ServiceTime;

use crate::connection::Connection;
use crate::pause::Pause;
pub use crate::serve::Result;
use crate::serve::Server;
use crate::serve::drop_connection;
use crate::serve::refused;
use crate::shared::Shared;
use crate::tally::Execution;
use crate::tally::Tally;
use axum::Router;
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
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::Duration;
use trefoilgauge::prelude::Name;

/// The largest request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1_048_576;

#[derive(Debug)]
struct Inner {
    options: RunnerOptions,
    faults: RunnerFaults,
    counts: RunnerCounts,
    rng: Pcg64Mcg,
}

/// How an incoming request is handled.
#[derive(Debug, PartialEq, Eq)]
enum Admission {
    Leaving,
    Busy,
    Failed,
    BrokenBefore,
    Run(Plan),
}

/// How an admitted request runs and which faults its response has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Plan {
    service_ms: u64,
    late_ms: u64,
    truncate: bool,
    foreign: bool,
    break_after: bool,
    pad_bytes: usize,
}

impl Inner {
    fn admit(&mut self, kind: &str) -> Admission {
        let rng = &mut self.rng;
        let faults = &mut self.faults;
        if faults.leaving {
            self.counts.leaving += 1;
            return Admission::Leaving;
        }
        if faults.failing {
            self.counts.failed += 1;
            return Admission::Failed;
        }
        if self.counts.flight >= self.options.slots {
            self.counts.busy += 1;
            return Admission::Busy;
        }
        if faults.break_before.trigger(rng) {
            return Admission::BrokenBefore;
        }
        self.counts.runs += 1;
        self.counts.flight += 1;
        self.counts.peak = self.counts.peak.max(self.counts.flight);
        let spread = self.options.service.get(kind);
        let spread = spread.unwrap_or(&self.options.default_service);
        let late_ms = match faults.some_late.trigger(rng) {
            true => faults.some_late_ms,
            false => 0,
        };
        let plan = Plan {
            service_ms: rng.random_range(spread.min_ms..=spread.max_ms),
            late_ms: faults.late_ms + late_ms,
            truncate: faults.truncate.trigger(rng),
            foreign: faults.foreign.trigger(rng),
            break_after: faults.break_after.trigger(rng),
            pad_bytes: faults.pad_bytes,
        };
        let faulty = plan.truncate || plan.foreign || plan.break_after || plan.late_ms > 0;
        self.counts.faulty += u64::from(faulty);
        Admission::Run(plan)
    }
}

#[derive(Debug, Clone)]
struct Runner {
    inner: Shared<Inner>,
    pause: Pause,
}

impl Runner {
    /// Runs a request to completion, even if its caller has gone.
    async fn run(self, plan: Plan, execution: Execution) -> WorkAnswer {
        let tally = self.inner.with(|inner| inner.options.tally.clone());
        tally.add(execution.clone());
        tokio::time::sleep(Duration::from_millis(plan.service_ms)).await;
        self.pause.resumed().await;
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
    /// Returns the I/O error if the address cannot be bound.
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
            .route("/v1/run/{kind}", post(work))
            .route("/health", get(health))
            .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
            .with_state(runner.clone());
        let server = Server::spawn(router, connections).await?;
        Ok(Self {
            server,
            runner,
            name,
        })
    }

    /// Returns the runner's name.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// Returns the address on which the runner listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the HTTP server, for injecting connection faults.
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
    pub fn set_service(&self, kind: &str, spread: ServiceTime) {
        self.runner
            .inner
            .with(|inner| inner.options.service.insert(kind.into(), spread));
    }

    /// Returns the counters.
    pub fn counts(&self) -> RunnerCounts {
        self.runner.inner.with(|inner| inner.counts)
    }

    /// Returns the tally that records its executions.
    pub fn tally(&self) -> Tally {
        self.runner.inner.with(|inner| inner.options.tally.clone())
    }

    /// Stops the runner.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

async fn health(State(runner): State<Runner>) -> StatusCode {
    runner.pause.resumed().await;
    StatusCode::OK
}

async fn work(
    State(runner): State<Runner>,
    ConnectInfo(connection): ConnectInfo<Connection>,
    Path(kind): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    runner.pause.resumed().await;
    let (admission, name) = runner
        .inner
        .with(|inner| (inner.admit(&kind), inner.options.name.clone()));
    let plan = match admission {
        Admission::Leaving => return answer::leaving(),
        Admission::Busy => return refused(StatusCode::TOO_MANY_REQUESTS),
        Admission::Failed => return StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        Admission::BrokenBefore => return drop_connection(&connection),
        Admission::Run(plan) => plan,
    };
    let execution = Execution {
        runner: name,
        kind: kind.into(),
        request: header(&headers, "x-request-id").unwrap_or_default(),
        key: header(&headers, "idempotency-key"),
        digest: digest(&body),
    };
    let run = tokio::spawn(runner.clone().run(plan, execution));
    let Ok(done) = run.await else {
        return drop_connection(&connection);
    };
    tokio::time::sleep(Duration::from_millis(plan.late_ms)).await;
    runner.pause.resumed().await;
    match plan {
        _ if plan.break_after => drop_connection(&connection),
        _ if plan.truncate => answer::truncated(&done),
        _ if plan.foreign => answer::foreign(&done),
        _ => answer::complete(&done),
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<Name> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.into())
}
