//! A worker, which runs tasks under leases.

pub mod history;
pub mod profiles;
mod tasks;

pub use tasks::Tasks;
pub use tasks::WorkerOptions;

use crate::fault_rate::FaultRate;
use crate::line::Line;
use crate::pause::Pause;
pub use crate::serve::Result;
use crate::serve::Server;
use crate::serve::broken;
use crate::shared::Shared;
use axum::Json;
use axum::Router;
use axum::extract::ConnectInfo;
use axum::extract::DefaultBodyLimit;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use trefoilgauge::platform::SyncCall;
use trefoilgauge::platform::TaskState;
use trefoilgauge::platform::WantedTask;
use trefoilgauge::prelude::Name;

/// The most connections.
const CONNECTIONS_MAX: usize = 256;
/// The largest call, in bytes.
const CALL_MAX_BYTES: usize = 4 * 1_048_576;

/// A worker's faults, beside those that its handle brings about.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerFaults {
    /// Whether every task fails as it begins.
    pub failing: bool,
    /// The delay of each answer after the call took effect, in milliseconds.
    pub delay_ms: u64,
    /// How often the answer is lost after the call took effect.
    pub lose_answer: FaultRate,
    /// How often it restarts right after it answered that a task is prepared.
    pub restart_prepared: FaultRate,
}

#[derive(Debug)]
struct Inner {
    tasks: Tasks,
    faults: WorkerFaults,
    rng: Pcg64Mcg,
    syncs: u64,
}

#[derive(Debug, Clone)]
struct Worker {
    inner: Shared<Inner>,
    pause: Pause,
}

/// A running worker.
#[derive(Debug)]
pub struct WorkerHandle {
    server: Server,
    worker: Worker,
    name: Name,
}

impl WorkerHandle {
    /// Starts a worker.
    ///
    /// # Errors
    ///
    /// Passes on the error of the bind.
    pub async fn spawn(options: WorkerOptions) -> Result<Self> {
        let name = options.name.clone();
        let history = options.history.clone();
        let worker = Worker {
            inner: Shared::new(Inner {
                tasks: Tasks::new(options),
                faults: WorkerFaults::default(),
                rng: Pcg64Mcg::seed_from_u64(1),
                syncs: 0,
            }),
            pause: Pause::default(),
        };
        let inner = worker.inner.downgrade();
        history.follow(move || {
            if let Some(inner) = inner.upgrade() {
                inner.with(|inner| inner.tasks.advance(Instant::now()));
            }
        });
        let router = Router::new()
            .route("/v1/sync", post(sync))
            .route("/health", get(health))
            .layer(DefaultBodyLimit::max(CALL_MAX_BYTES))
            .with_state(worker.clone());
        let server = Server::spawn(router, CONNECTIONS_MAX).await?;
        Ok(Self {
            server,
            worker,
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
    pub fn set(&self, change: impl FnOnce(&mut WorkerFaults)) {
        self.worker.inner.with(|inner| {
            change(&mut inner.faults);
            inner.tasks.set_failing(inner.faults.failing);
        });
    }

    /// Pauses the whole worker: its tasks stand still and it answers nothing.
    pub fn freeze(&self) {
        self.worker
            .inner
            .with(|inner| inner.tasks.freeze(Instant::now()));
        self.worker.pause.set(true);
    }

    /// Wakes the worker, which looks at leases before anything else.
    pub fn thaw(&self) {
        self.worker
            .inner
            .with(|inner| inner.tasks.thaw(Instant::now()));
        self.worker.pause.set(false);
    }

    /// Restarts the worker: it loses its tasks and its connections, and has a new boot.
    pub fn restart(&self) {
        self.worker
            .inner
            .with(|inner| inner.tasks.restart(Instant::now()));
        self.server.cut_open();
        self.worker.pause.set(false);
    }

    /// Returns the tasks that hold accelerators now.
    pub fn held(&self) -> Vec<WantedTask> {
        self.worker.inner.with(|inner| {
            inner.tasks.advance(Instant::now());
            inner.tasks.held()
        })
    }

    /// Returns the boot.
    pub fn boot(&self) -> u64 {
        self.worker.inner.with(|inner| inner.tasks.boot())
    }

    /// Counts the syncs that it carried out or refused.
    pub fn syncs(&self) -> u64 {
        self.worker.inner.with(|inner| inner.syncs)
    }

    /// Stops the worker.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

async fn health(State(worker): State<Worker>) -> StatusCode {
    worker.pause.passed().await;
    StatusCode::OK
}

async fn sync(
    State(worker): State<Worker>,
    ConnectInfo(line): ConnectInfo<Line>,
    Json(call): Json<SyncCall>,
) -> Response {
    worker.pause.passed().await;
    let (answer, delay_ms, lost) = worker.inner.with(|inner| {
        inner.syncs += 1;
        let answer = inner.tasks.sync(&call, Instant::now());
        let lost = inner.faults.lose_answer.take(&mut inner.rng);
        let mut states = answer.tasks.iter().map(|task| task.state);
        let prepared = states.any(|state| state == TaskState::Prepared);
        if prepared && inner.faults.restart_prepared.take(&mut inner.rng) {
            inner.tasks.restart(Instant::now());
        }
        (answer, inner.faults.delay_ms, lost)
    });
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    worker.pause.passed().await;
    match lost {
        true => broken(&line),
        false => Json(answer).into_response(),
    }
}
