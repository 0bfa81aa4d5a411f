//! The platform's log: streams of records in memory.

use crate::fault_rate::FaultRate;
use crate::line::Line;
pub use crate::serve::Result;
use crate::serve::Server;
use crate::serve::broken;
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
pub const RECORD_MAX_BYTES: usize = 1_048_576;

/// The most connections; a log serves many VMs.
const CONNECTIONS_MAX: usize = 4_096;
/// The longest wait of a read, in milliseconds.
const WAIT_MAX_MS: u64 = 60_000;
/// The most records of one read.
const PAGE_MAX: usize = 4_096;

/// Options of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogOptions {
    /// Appends a second, and the most appends of a burst.
    pub rate: u32,
    /// The records that each stream keeps.
    pub keep: usize,
    /// The seed of the faults that strike a share of the calls.
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

/// The log's faults.
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

/// What the log counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogCounts {
    /// Appends that took effect.
    pub appends: u64,
    /// Bytes that were appended.
    pub bytes: u64,
    /// Reads that were answered.
    pub reads: u64,
    /// Appends over the rate.
    pub limited: u64,
    /// Calls refused in an outage.
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
            records: self.records(from, max.min(PAGE_MAX)),
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
    filled: Instant,
}

/// What is to become of an append.
#[derive(Debug, PartialEq, Eq)]
enum Fate {
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

    fn call(&mut self, stream: &str, data: String) -> Fate {
        if self.faults.outage {
            self.counts.outages += 1;
            return Fate::Outage;
        }
        if !self.take_token() {
            self.counts.limited += 1;
            return Fate::Limited;
        }
        if self.faults.drop_append.take(&mut self.rng) {
            self.counts.dropped += 1;
            return Fate::Dropped;
        }
        let offset = self.append(stream, data);
        if self.faults.lose_answer.take(&mut self.rng) {
            self.counts.lost += 1;
            return Fate::Lost(offset);
        }
        Fate::Answered(offset)
    }

    fn take_token(&mut self) -> bool {
        let rate = f64::from(self.options.rate);
        let passed = self.filled.elapsed().as_secs_f64();
        self.filled = Instant::now();
        self.tokens = (self.tokens + passed * rate).min(rate);
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
    moved: watch::Sender<u64>,
}

impl Store {
    fn wake(&self) {
        self.moved.send_modify(|count| *count += 1);
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
    /// Starts a log.
    ///
    /// # Errors
    ///
    /// Passes on the error of the bind.
    pub async fn spawn(options: LogOptions) -> Result<Self> {
        let inner = Inner {
            streams: BTreeMap::new(),
            faults: LogFaults::default(),
            counts: LogCounts::default(),
            rng: Pcg64Mcg::seed_from_u64(options.seed),
            tokens: f64::from(options.rate),
            filled: Instant::now(),
            options,
        };
        let store = Store {
            inner: Shared::new(inner),
            moved: watch::Sender::new(0),
        };
        let router = Router::new()
            .route("/v1/streams/{stream}", post(append).get(read))
            .with_state(store.clone());
        let server = Server::spawn(router, CONNECTIONS_MAX).await?;
        Ok(Self { server, store })
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
    pub fn set(&self, change: impl FnOnce(&mut LogFaults)) {
        self.store.inner.with(|inner| change(&mut inner.faults));
        self.store.wake();
    }

    /// Sets the appends a second.
    pub fn set_rate(&self, rate: u32) {
        self.store.inner.with(|inner| inner.options.rate = rate);
    }

    /// Sets the records that each stream keeps, and drops what is over.
    pub fn set_keep(&self, keep: usize) {
        self.store.inner.with(|inner| {
            inner.options.keep = keep;
            inner
                .streams
                .values_mut()
                .for_each(|stream| stream.trim(keep));
        });
        self.store.wake();
    }

    /// Appends a record past every fault and limit.
    pub fn append(&self, stream: &str, data: impl Into<String>) -> Offset {
        let offset = self
            .store
            .inner
            .with(|inner| inner.append(stream, data.into()));
        self.store.wake();
        offset
    }

    /// Returns the kept records of a stream.
    pub fn records(&self, stream: &str) -> Vec<LogRecord> {
        self.store.inner.with(|inner| {
            let stream = inner.streams.get(stream);
            stream.map_or_else(Vec::new, |stream| stream.records(stream.first, usize::MAX))
        })
    }

    /// Returns what was counted.
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
    ConnectInfo(line): ConnectInfo<Line>,
    Path(stream): Path<String>,
    data: String,
) -> Response {
    if data.len() > RECORD_MAX_BYTES {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    store.delay().await;
    let fate = store.inner.with(|inner| inner.call(&stream, data));
    if matches!(fate, Fate::Lost(_) | Fate::Answered(_)) {
        store.wake();
    }
    match fate {
        Fate::Outage => refused(StatusCode::SERVICE_UNAVAILABLE),
        Fate::Limited => refused(StatusCode::TOO_MANY_REQUESTS),
        Fate::Dropped | Fate::Lost(_) => broken(&line),
        Fate::Answered(offset) => Json(Appended { offset }).into_response(),
    }
}

/// The parameters of a read.
#[derive(Debug, Deserialize)]
struct ReadQuery {
    from: Offset,
    #[serde(default = "default_max")]
    max: usize,
    #[serde(default)]
    wait_ms: u64,
}

fn default_max() -> usize {
    PAGE_MAX
}

async fn read(
    State(store): State<Store>,
    Path(stream): Path<String>,
    Query(query): Query<ReadQuery>,
) -> Response {
    store.delay().await;
    let wait = Duration::from_millis(query.wait_ms.min(WAIT_MAX_MS));
    let end = Instant::now() + wait;
    let mut moved = store.moved.subscribe();
    loop {
        moved.mark_unchanged();
        let page = store
            .inner
            .with(|inner| inner.page(&stream, query.from, query.max));
        let Some(page) = page else {
            return refused(StatusCode::SERVICE_UNAVAILABLE);
        };
        let caught_up = page.records.is_empty() && query.from >= page.first;
        if caught_up && Instant::now() < end {
            let _passed = tokio::time::timeout_at(end, moved.changed()).await;
            continue;
        }
        store.inner.with(|inner| inner.counts.reads += 1);
        return Json(page).into_response();
    }
}
