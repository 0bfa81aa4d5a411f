//! A worker: an upstream that runs tasks under leases.

pub mod history;
pub mod profiles;
mod tasks;

pub use tasks::Tasks;
pub use tasks::WorkerOptions;

use crate::connection::Connection;
use crate::fault_rate::FaultRate;
use crate::pause::Pause;
pub use crate::serve::Result;
use crate::serve::Server;
use crate::serve::drop_connection;
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

/// The limit on open connections.
const MAX_CONNECTIONS: usize = 256;
/// The largest request body, in bytes.
const MAX_CALL_BYTES: usize = 4 * 1_048_576;

/// A worker's faults, in addition to freezing and restarting it through its handle.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerFaults {
    /// Whether every task fails as soon as it starts.
    pub failing: bool,
    /// The delay of each response after the call took effect, in milliseconds.
    pub delay_ms: u64,
    /// How often the answer is lost after the call took effect.
    pub lose_answer: FaultRate,
    /// How often it restarts as soon as it has created a response that reports a prepared task.
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
    /// Returns the I/O error if the address cannot be bound.
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
        history.add_source(move || {
            if let Some(inner) = inner.upgrade() {
                inner.with(|inner| inner.tasks.advance(Instant::now()));
            }
        });
        let router = Router::new()
            .route("/v1/sync", post(sync))
            .route("/health", get(health))
            .layer(DefaultBodyLimit::max(MAX_CALL_BYTES))
            .with_state(worker.clone());
        let server = Server::spawn(router, MAX_CONNECTIONS).await?;
        Ok(Self {
            server,
            worker,
            name,
        })
    }

    /// Returns the worker's name.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// Returns the address on which the worker listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the HTTP server, for injecting connection faults.
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

    /// Freezes the worker: its tasks make no progress and its calls block.
    pub fn freeze(&self) {
        self.worker
            .inner
            .with(|inner| inner.tasks.freeze(Instant::now()));
        self.worker.pause.set(true);
    }

    /// Resumes the worker, which first drops tasks whose leases have lapsed.
    pub fn thaw(&self) {
        self.worker
            .inner
            .with(|inner| inner.tasks.thaw(Instant::now()));
        self.worker.pause.set(false);
    }

    /// Restarts the worker: it loses its tasks and connections, and its boot number increases.
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

    /// Returns the boot number, which increases with each restart.
    pub fn boot(&self) -> u64 {
        self.worker.inner.with(|inner| inner.tasks.boot())
    }

    /// Counts the sync calls, both applied and rejected as outdated.
    pub fn syncs(&self) -> u64 {
        self.worker.inner.with(|inner| inner.syncs)
    }

    /// Stops the worker.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

async fn health(State(worker): State<Worker>) -> StatusCode {
    worker.pause.resumed().await;
    StatusCode::OK
}

async fn sync(
    State(worker): State<Worker>,
    ConnectInfo(connection): ConnectInfo<Connection>,
    Json(call): Json<SyncCall>,
) -> Response {
    worker.pause.resumed().await;
    let (answer, delay_ms, lost) = worker.inner.with(|inner| {
        inner.syncs += 1;
        let answer = inner.tasks.sync(&call, Instant::now());
        let lost = inner.faults.lose_answer.trigger(&mut inner.rng);
        let mut states = answer.tasks.iter().map(|task| task.state);
        let prepared = states.any(|state| state == TaskState::Prepared);
        if prepared && inner.faults.restart_prepared.trigger(&mut inner.rng) {
            inner.tasks.restart(Instant::now());
        }
        (answer, inner.faults.delay_ms, lost)
    });
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    worker.pause.resumed().await;
    match lost {
        true => drop_connection(&connection),
        false => Json(answer).into_response(),
    }
}
