//! The platform's store: a log of topics with one partition each, and a door for each machine.

use crate::record::Record;
use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::Query;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::json;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

type Params = Query<HashMap<String, String>>;

/// How long an append takes, in milliseconds.
const APPEND_MS: u64 = 3;
/// The most records on a page.
const PAGE_LEN: usize = 500;
/// The appends of a producer whose repetition gets the first response again.
const REPEATS: usize = 5;

/// What the store does with the calls of one machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// It serves them.
    Open,
    /// It turns them away with 503.
    TurnedAway,
    /// It does not respond; nothing is done.
    Silent,
}

#[derive(Debug, Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    epoch: Option<u64>,
    next: u64,
    /// The last appends of the producer, by sequence number, with their offsets.
    recent: VecDeque<(u64, u64)>,
}

#[derive(Debug, Default)]
struct Inner {
    topics: BTreeMap<String, Topic>,
    /// The machine whose append with an epoch was stored last, and the epoch.
    writer: Option<(String, u64)>,
}

/// The store.
#[derive(Debug, Clone)]
pub struct Store {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
    record: Record,
}

/// The way of one machine to the store.
#[derive(Debug, Clone)]
pub struct Door {
    /// Its address.
    pub addr: SocketAddr,
    access: Arc<Mutex<Access>>,
    name: String,
    record: Record,
}

impl Door {
    /// Changes what the store does with the machine's calls.
    pub fn set(&self, access: Access) {
        *self.access.lock().unwrap() = access;
        self.record
            .say(format!("store: {} is {access:?}", self.name));
    }
}

#[derive(Debug, Clone)]
struct Shared {
    store: Store,
    door: String,
    access: Arc<Mutex<Access>>,
}

impl Store {
    /// Makes an empty store.
    pub fn new(record: &Record) -> Self {
        Self {
            inner: Arc::default(),
            changed: Arc::default(),
            record: record.clone(),
        }
    }

    /// Opens a door for the machine `name`.
    pub async fn open_door(&self, name: &str) -> Door {
        let access = Arc::new(Mutex::new(Access::Open));
        let shared = Shared {
            store: self.clone(),
            door: name.to_owned(),
            access: access.clone(),
        };
        let router = Router::new()
            .route("/api/log-append", post(append))
            .route("/api/log-read", get(read))
            .route("/api/log-newest", get(newest))
            .with_state(shared);
        Door {
            addr: crate::serve(router).await,
            access,
            name: name.to_owned(),
            record: self.record.clone(),
        }
    }

    /// Appends a record as the operator or a runner does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut inner = self.inner.lock().unwrap();
        let topic = inner.topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.to_owned(), value.to_vec()));
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Returns the machine that wrote last under an epoch, and the epoch.
    pub fn writer(&self) -> Option<(String, u64)> {
        self.inner.lock().unwrap().writer.clone()
    }

    /// Returns the newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let inner = self.inner.lock().unwrap();
        let records = &inner.topics.get(topic)?.records;
        let found = records.iter().rev().find(|(named, _)| named == key);
        found.map(|(_, value)| value.clone())
    }
}

/// Returns the response to a call of a machine that the store does not serve.
async fn refused(shared: &Shared) -> Option<Response> {
    let access = *shared.access.lock().unwrap();
    match access {
        Access::Open => None,
        Access::TurnedAway => Some(StatusCode::SERVICE_UNAVAILABLE.into_response()),
        Access::Silent => std::future::pending().await,
    }
}

async fn append(State(shared): State<Shared>, Query(params): Params, body: Bytes) -> Response {
    if let Some(response) = refused(&shared).await {
        return response;
    }
    let name = params["topic"].clone();
    if name == "keyed.op" || name == "keyed.servers" {
        return StatusCode::FORBIDDEN.into_response();
    }
    sleep(Duration::from_millis(APPEND_MS)).await;
    let response = do_append(&shared, &name, &params, &body);
    shared.store.changed.notify_waiters();
    // A response is lost with the path of its machine.
    match refused(&shared).await {
        Some(response) => response,
        None => response,
    }
}

fn do_append(
    shared: &Shared,
    name: &str,
    params: &HashMap<String, String>,
    body: &[u8],
) -> Response {
    let mut inner = shared.store.inner.lock().unwrap();
    let topic = inner.topics.entry(name.to_owned()).or_default();
    let end = topic.records.len() as u64;
    let number = |key: &str| params.get(key).and_then(|text| text.parse::<u64>().ok());
    if number("at").is_some_and(|at| at != end) {
        return (StatusCode::PRECONDITION_FAILED, Json(json!({"end": end}))).into_response();
    }
    let conflict = |body| (StatusCode::CONFLICT, Json(body)).into_response();
    let mut written = None;
    if let (Some(epoch), Some(sequence)) = (number("epoch"), number("sequence")) {
        if topic.epoch.is_some_and(|held| epoch < held) {
            return conflict(json!({"reason": "fenced"}));
        }
        if topic.epoch != Some(epoch) {
            topic.epoch = Some(epoch);
            topic.next = sequence;
            topic.recent.clear();
        }
        written = Some(epoch);
        if !body.is_empty() {
            if let Some((_, offset)) = topic.recent.iter().find(|(known, _)| *known == sequence) {
                return Json(json!({"offset": offset, "end": end})).into_response();
            }
            if sequence != topic.next {
                return conflict(json!({"reason": "seq", "sequence": topic.next}));
            }
            topic.next += 1;
            topic.recent.push_back((sequence, end));
            if topic.recent.len() > REPEATS {
                topic.recent.pop_front();
            }
        }
    }
    let mut rest = body;
    while let Some((head, tail)) = rest.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*head) as usize;
        let (record, tail) = tail.split_at(length);
        let key = record[0] as usize;
        let key_text = String::from_utf8_lossy(&record[1..=key]).into_owned();
        topic.records.push((key_text, record[1 + key..].to_vec()));
        rest = tail;
    }
    let after = topic.records.len() as u64;
    if let Some(epoch) = written {
        let writer = Some((shared.door.clone(), epoch));
        if inner.writer != writer {
            inner.writer = writer;
            let line = format!("store: {} writes under epoch {epoch}", shared.door);
            shared.store.record.add(line);
        }
    }
    Json(json!({"offset": end, "end": after})).into_response()
}

async fn read(State(shared): State<Shared>, Query(params): Params) -> Response {
    let wait_ms = params.get("wait-ms").and_then(|text| text.parse().ok());
    let until = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
    let from: usize = params["from"].parse().unwrap();
    loop {
        if let Some(response) = refused(&shared).await {
            return response;
        }
        let changed = shared.store.changed.notified();
        if let Some(body) = records(&shared.store, &params["topic"], from, false) {
            return Body::from(body).into_response();
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        // Looks again after a while, as a door may have closed.
        let _woken = timeout(left.min(Duration::from_millis(50)), changed).await;
    }
    let body = records(&shared.store, &params["topic"], from, true);
    Body::from(body.unwrap_or_default()).into_response()
}

/// Returns the records from an offset on; none if there are none and `or_empty` is not set.
fn records(store: &Store, topic: &str, from: usize, or_empty: bool) -> Option<Vec<u8>> {
    let inner = store.inner.lock().unwrap();
    let empty = Topic::default();
    let topic = inner.topics.get(topic).unwrap_or(&empty);
    if from >= topic.records.len() && !or_empty {
        return None;
    }
    let mut body = Vec::new();
    body.extend((topic.records.len() as u64).to_be_bytes());
    body.extend(0_u64.to_be_bytes());
    for (key, value) in topic.records.iter().skip(from) {
        let length = u32::try_from(1 + key.len() + value.len()).unwrap();
        body.extend(length.to_be_bytes());
        body.push(u8::try_from(key.len()).unwrap());
        body.extend(key.as_bytes());
        body.extend(value);
    }
    Some(body)
}

async fn newest(State(shared): State<Shared>, Query(params): Params) -> Response {
    if let Some(response) = refused(&shared).await {
        return response;
    }
    let inner = shared.store.inner.lock().unwrap();
    let empty = Topic::default();
    let topic = inner.topics.get(&params["topic"]).unwrap_or(&empty);
    let mut rows = BTreeMap::new();
    for (offset, (key, value)) in topic.records.iter().enumerate() {
        rows.insert(key, (value, offset));
    }
    let after = params.get("after");
    let rows = rows.into_iter().filter(|(_, (value, _))| !value.is_empty());
    let rows: Vec<_> = rows
        .filter(|(key, _)| after.is_none_or(|after| *key > after))
        .collect();
    let page = rows.iter().take(PAGE_LEN).map(|(key, (value, offset))| {
        json!({"key": key, "value": STANDARD.encode(value), "offset": offset})
    });
    Json(json!({
        "items": page.collect::<Vec<_>>(),
        "more": rows.len() > PAGE_LEN,
        "end": topic.records.len(),
    }))
    .into_response()
}
