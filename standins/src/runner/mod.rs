//! An upstream that serves requests, with a bound on its slots and connections.

mod answer;
mod options;

pub use answer::WorkAnswer;
pub use answer::digest;
pub use options::RunnerCounts;
pub use options::RunnerFaults;
pub use options::RunnerOptions;
pub use options::ServiceTime;

use crate::line::Line;
use crate::pause::Pause;
pub use crate::serve::Result;
use crate::serve::Server;
use crate::serve::broken;
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
const BODY_MAX_BYTES: usize = 16 * 1_048_576;

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
    foreign: bool,
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
            true => faults.some_late_ms,
            false => 0,
        };
        let plan = Plan {
            service_ms: rng.random_range(spread.min_ms..=spread.max_ms),
            late_ms: faults.late_ms + late_ms,
            truncate: faults.truncate.take(rng),
            foreign: faults.foreign.take(rng),
            break_after: faults.break_after.take(rng),
            pad_bytes: faults.pad_bytes,
        };
        let faulty = plan.truncate || plan.foreign || plan.break_after || plan.late_ms > 0;
        self.counts.faulty += u64::from(faulty);
        Fate::Run(plan)
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
            .route("/v1/run/{kind}", post(work))
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
    pub fn set_service(&self, kind: &str, spread: ServiceTime) {
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
        Fate::Leaving => return answer::leaving(),
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
    let Ok(done) = run.await else {
        return broken(&line);
    };
    tokio::time::sleep(Duration::from_millis(plan.late_ms)).await;
    runner.pause.passed().await;
    match plan {
        _ if plan.break_after => broken(&line),
        _ if plan.truncate => answer::truncated(&done),
        _ if plan.foreign => answer::foreign(&done),
        _ => answer::whole(&done),
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<Name> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.into())
}
