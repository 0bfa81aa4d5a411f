//! The platform's log: append-only streams of records, kept in memory.

use crate::connection::Connection;
use crate::fault_rate::FaultRate;
pub use crate::serve::Result;
use crate::serve::Server;
use crate::serve::drop_connection;
use crate::serve::refused;
use crate::shared::Shared;
use axum::Json;
use axum::Router;
use axum::extract::ConnectInfo;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::post;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use trefoilgauge::platform::Appended;
use trefoilgauge::platform::LogPage;
use trefoilgauge::platform::LogRecord;
use trefoilgauge::prelude::Name;
use trefoilgauge::prelude::Offset;

/// The largest record, in bytes.
pub const MAX_RECORD_BYTES: usize = 1_048_576;

/// The limit on open connections; a log serves many VMs.
const MAX_CONNECTIONS: usize = 4_096;
/// The longest wait of a read, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
/// The limit on the records of one read.
const MAX_PAGE_RECORDS: usize = 4_096;

/// Options of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogOptions {
    /// The rate limit, in appends per second; also the largest burst.
    pub rate: u32,
    /// The number of records that each stream retains.
    pub keep: usize,
    /// The seed of the faults that occur at random.
    pub seed: u64,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            rate: 400,
            keep: 1_000_000,
            seed: 1,
        }
    }
}

/// The faults that a test injects into the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogFaults {
    /// Whether every call is refused with 503.
    pub outage: bool,
    /// The delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// How often the answer to an append is lost after the append took effect.
    pub lose_answer: FaultRate,
    /// How often an append is lost before it takes effect.
    pub drop_append: FaultRate,
}

/// The log's counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogCounts {
    /// Appends that took effect.
    pub appends: u64,
    /// Bytes that were appended.
    pub bytes: u64,
    /// Reads that were answered.
    pub reads: u64,
    /// Appends refused by the rate limit.
    pub limited: u64,
    /// Calls refused during an outage.
    pub outages: u64,
    /// Answers that were lost after the append took effect.
    pub lost: u64,
    /// Appends that were lost before they took effect.
    pub dropped: u64,
}

#[derive(Debug, Default)]
struct Stream {
    first: Offset,
    records: VecDeque<String>,
}

impl Stream {
    fn next(&self) -> Offset {
        self.first + self.records.len() as u64
    }

    fn trim(&mut self, keep: usize) {
        while self.records.len() > keep {
            self.records.pop_front();
            self.first += 1;
        }
    }

    fn records(&self, from: Offset, max: usize) -> Vec<LogRecord> {
        let Some(skip) = from.checked_sub(self.first) else {
            return Vec::new();
        };
        let wanted = self.records.iter().skip(skip as usize).take(max);
        let numbered = wanted.zip(from..);
        numbered
            .map(|(data, offset)| LogRecord {
                offset,
                data: data.clone(),
            })
            .collect()
    }

    fn page(&self, from: Offset, max: usize) -> LogPage {
        LogPage {
            first: self.first,
            next: self.next(),
            records: self.records(from, max.min(MAX_PAGE_RECORDS)),
        }
    }
}

#[derive(Debug)]
struct Inner {
    streams: BTreeMap<Name, Stream>,
    options: LogOptions,
    faults: LogFaults,
    counts: LogCounts,
    rng: Pcg64Mcg,
    tokens: f64,
    refilled: Instant,
}

/// The outcome of an append call.
#[derive(Debug, PartialEq, Eq)]
enum AppendOutcome {
    Outage,
    Limited,
    Dropped,
    Lost(Offset),
    Answered(Offset),
}

impl Inner {
    fn append(&mut self, stream: &str, data: String) -> Offset {
        self.counts.appends += 1;
        self.counts.bytes += data.len() as u64;
        let stream = self.streams.entry(stream.into()).or_default();
        let offset = stream.next();
        stream.records.push_back(data);
        stream.trim(self.options.keep);
        offset
    }

    fn try_append(&mut self, stream: &str, data: String) -> AppendOutcome {
        if self.faults.outage {
            self.counts.outages += 1;
            return AppendOutcome::Outage;
        }
        if !self.take_token() {
            self.counts.limited += 1;
            return AppendOutcome::Limited;
        }
        if self.faults.drop_append.trigger(&mut self.rng) {
            self.counts.dropped += 1;
            return AppendOutcome::Dropped;
        }
        let offset = self.append(stream, data);
        if self.faults.lose_answer.trigger(&mut self.rng) {
            self.counts.lost += 1;
            return AppendOutcome::Lost(offset);
        }
        AppendOutcome::Answered(offset)
    }

    fn take_token(&mut self) -> bool {
        let rate = f64::from(self.options.rate);
        let elapsed = self.refilled.elapsed().as_secs_f64();
        self.refilled = Instant::now();
        self.tokens = (self.tokens + elapsed * rate).min(rate);
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    fn page(&mut self, stream: &str, from: Offset, max: usize) -> Option<LogPage> {
        if self.faults.outage {
            self.counts.outages += 1;
            return None;
        }
        let empty = Stream::default();
        let stream = self.streams.get(stream).unwrap_or(&empty);
        Some(stream.page(from, max))
    }
}

#[derive(Debug, Clone)]
struct Store {
    inner: Shared<Inner>,
    updates: watch::Sender<u64>,
}

impl Store {
    fn notify_readers(&self) {
        self.updates.send_modify(|count| *count += 1);
    }

    async fn delay(&self) {
        let delay_ms = self.inner.with(|inner| inner.faults.delay_ms);
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }
}

/// A running log.
#[derive(Debug)]
pub struct LogHandle {
    server: Server,
    store: Store,
}

impl LogHandle {
    /// Starts an empty log.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub async fn spawn(options: LogOptions) -> Result<Self> {
        let inner = Inner {
            streams: BTreeMap::new(),
            faults: LogFaults::default(),
            counts: LogCounts::default(),
            rng: Pcg64Mcg::seed_from_u64(options.seed),
            tokens: f64::from(options.rate),
            refilled: Instant::now(),
            options,
        };
        let store = Store {
            inner: Shared::new(inner),
            updates: watch::Sender::new(0),
        };
        let router = Router::new()
            .route("/v1/streams/{stream}", post(append).get(read))
            .with_state(store.clone());
        let server = Server::spawn(router, MAX_CONNECTIONS).await?;
        Ok(Self { server, store })
    }

    /// Returns the address on which the log listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the HTTP server, for injecting connection faults.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Changes the faults.
    pub fn set(&self, change: impl FnOnce(&mut LogFaults)) {
        self.store.inner.with(|inner| change(&mut inner.faults));
        self.store.notify_readers();
    }

    /// Sets the rate limit, in appends per second.
    pub fn set_rate(&self, rate: u32) {
        self.store.inner.with(|inner| inner.options.rate = rate);
    }

    /// Sets the number of records that each stream retains, and drops the oldest beyond it.
    pub fn set_keep(&self, keep: usize) {
        self.store.inner.with(|inner| {
            inner.options.keep = keep;
            inner
                .streams
                .values_mut()
                .for_each(|stream| stream.trim(keep));
        });
        self.store.notify_readers();
    }

    /// Appends a record directly, without faults or limits.
    pub fn append(&self, stream: &str, data: impl Into<String>) -> Offset {
        let offset = self
            .store
            .inner
            .with(|inner| inner.append(stream, data.into()));
        self.store.notify_readers();
        offset
    }

    /// Returns the retained records of a stream.
    pub fn records(&self, stream: &str) -> Vec<LogRecord> {
        self.store.inner.with(|inner| {
            let stream = inner.streams.get(stream);
            stream.map_or_else(Vec::new, |stream| stream.records(stream.first, usize::MAX))
        })
    }

    /// Returns the counters.
    pub fn counts(&self) -> LogCounts {
        self.store.inner.with(|inner| inner.counts)
    }

    /// Stops the log.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

async fn append(
    State(store): State<Store>,
    ConnectInfo(connection): ConnectInfo<Connection>,
    Path(stream): Path<String>,
    data: String,
) -> Response {
    if data.len() > MAX_RECORD_BYTES {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    store.delay().await;
    let outcome = store.inner.with(|inner| inner.try_append(&stream, data));
    if matches!(outcome, AppendOutcome::Lost(_) | AppendOutcome::Answered(_)) {
        store.notify_readers();
    }
    match outcome {
        AppendOutcome::Outage => refused(StatusCode::SERVICE_UNAVAILABLE),
        AppendOutcome::Limited => refused(StatusCode::TOO_MANY_REQUESTS),
        AppendOutcome::Dropped | AppendOutcome::Lost(_) => drop_connection(&connection),
        AppendOutcome::Answered(offset) => Json(Appended { offset }).into_response(),
    }
}

/// The query parameters of a read.
#[derive(Debug, Deserialize)]
struct ReadQuery {
    from: Offset,
    #[serde(default = "default_max")]
    max: usize,
    #[serde(default)]
    wait_ms: u64,
}

fn default_max() -> usize {
    MAX_PAGE_RECORDS
}

async fn read(
    State(store): State<Store>,
    Path(stream): Path<String>,
    Query(query): Query<ReadQuery>,
) -> Response {
    store.delay().await;
    let wait = Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
    let end = Instant::now() + wait;
    let mut updates = store.updates.subscribe();
    loop {
        updates.mark_unchanged();
        let page = store
            .inner
            .with(|inner| inner.page(&stream, query.from, query.max));
        let Some(page) = page else {
            return refused(StatusCode::SERVICE_UNAVAILABLE);
        };
        let caught_up = page.records.is_empty() && query.from >= page.first;
        if caught_up && Instant::now() < end {
            let _changed = tokio::time::timeout_at(end, updates.changed()).await;
            continue;
        }
        store.inner.with(|inner| inner.counts.reads += 1);
        return Json(page).into_response();
    }
}
