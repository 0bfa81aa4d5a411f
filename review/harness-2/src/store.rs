//! A stand-in of the platform's store: a log of topics with one partition each, as `PROTOCOL.md`
//! describes it.

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
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::sync::watch;

/// The longest record, in bytes (`record-bytes` of the settings).
pub(crate) const RECORD_BYTES: usize = 262_144;
/// The most bytes of the records of one append (`call-bytes` of the settings).
const CALL_BYTES: usize = 2_097_152;
/// The time that a call takes, in milliseconds.
const ANSWER_MS: u64 = 4;
/// How much longer the answer to an append takes that a case waits for, in milliseconds: the case
/// freezes a machine meanwhile, also where the driver gets little processor time.
const AWAITED_MS: u64 = 20;
/// The most records on a page of the newest ones.
const PAGE_RECORDS: usize = 500;
/// The most bytes of the records on such a page.
const PAGE_BYTES: usize = 1_048_576;
/// How many of the last appends of a producer are answered again when they are repeated.
const REMEMBERED: usize = 5;

type Params = Query<HashMap<String, String>>;

#[derive(Debug, Default)]
struct Producer {
    epoch: u64,
    next: u64,
    answers: VecDeque<(u64, Value)>,
}

#[derive(Debug, Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

#[derive(Debug)]
struct Inner {
    topics: BTreeMap<String, Topic>,
    record: Record,
    /// The calls that were answered with 413.
    too_large: u64,
    /// The key to wait for, and whom to tell when it is appended, before the response is sent.
    awaited: Option<(String, oneshot::Sender<()>)>,
}

/// A handle of the running store.
#[derive(Debug, Clone)]
pub(crate) struct Store {
    pub(crate) addr: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    changed: Arc<watch::Sender<u64>>,
}

#[derive(Debug, Clone)]
struct Shared {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Store {
    /// Starts a store.
    pub(crate) async fn spawn(record: &Record) -> Self {
        let inner = Arc::new(Mutex::new(Inner {
            topics: BTreeMap::new(),
            record: record.clone(),
            too_large: 0,
            awaited: None,
        }));
        let changed = Arc::new(watch::channel(0).0);
        let shared = Shared {
            inner: inner.clone(),
            changed: changed.clone(),
        };
        let router = Router::new()
            .route("/api/log-append", post(append))
            .route("/api/log-read", get(read))
            .route("/api/log-newest", get(newest))
            .layer(axum::extract::DefaultBodyLimit::max(2 * CALL_BYTES))
            .with_state(shared);
        let addr = crate::serve(router).await;
        Self {
            addr,
            inner,
            changed,
        }
    }

    /// Appends a record as the operator or a runner does; an empty value deletes the key.
    pub(crate) fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut inner = self.inner.lock().unwrap();
        let topic = inner.topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.to_owned(), value.to_vec()));
        drop(inner);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is told when a record with `key` has been appended, before the append
    /// is answered.
    pub(crate) fn await_key(&self, key: &str) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        self.inner.lock().unwrap().awaited = Some((key.to_owned(), tx));
        rx
    }

    /// Counts the appends that were refused because a record was too long.
    pub(crate) fn too_large(&self) -> u64 {
        self.inner.lock().unwrap().too_large
    }

    /// Returns the length of the newest value of the key that has the longest one in `topic`.
    pub(crate) fn longest(&self, topic: &str) -> usize {
        let inner = self.inner.lock().unwrap();
        let records = inner.topics.get(topic).map(|topic| &topic.records);
        let newest: HashMap<&String, usize> = records
            .into_iter()
            .flatten()
            .map(|(key, value)| (key, value.len()))
            .collect();
        newest.values().copied().max().unwrap_or(0)
    }
}

async fn append(State(shared): State<Shared>, Query(params): Params, body: Bytes) -> Response {
    tokio::time::sleep(Duration::from_millis(ANSWER_MS)).await;
    let (response, is_awaited) = {
        let mut inner = shared.inner.lock().unwrap();
        let response = do_append(&mut inner, &params, &body);
        (response, tell_awaited(&mut inner, &body))
    };
    if is_awaited {
        tokio::time::sleep(Duration::from_millis(AWAITED_MS)).await;
    }
    shared.changed.send_modify(|count| *count += 1);
    response
}

/// Tells whoever waits for one of the keys of an append; returns whether there was one.
fn tell_awaited(inner: &mut Inner, body: &[u8]) -> bool {
    let records = split(body).unwrap_or_default();
    let found = inner
        .awaited
        .take_if(|(key, _)| records.iter().any(|(name, _)| name == key));
    found.is_some_and(|(_, tx)| tx.send(()).is_ok())
}

/// Splits the records of an append into key and value; none if one of them is too long.
fn split(mut body: &[u8]) -> Option<Vec<(String, Vec<u8>)>> {
    if body.len() > CALL_BYTES {
        return None;
    }
    let mut records = Vec::new();
    while let Some((head, tail)) = body.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*head) as usize;
        if length > RECORD_BYTES {
            return None;
        }
        let (record, tail) = tail.split_at(length);
        let key = usize::from(record[0]);
        let name = String::from_utf8_lossy(&record[1..=key]).into_owned();
        records.push((name, record[1 + key..].to_vec()));
        body = tail;
    }
    Some(records)
}

fn do_append(inner: &mut Inner, params: &HashMap<String, String>, body: &[u8]) -> Response {
    let Some(records) = split(body) else {
        inner.too_large += 1;
        if inner.too_large.is_power_of_two() {
            let count = inner.too_large;
            inner.record.note(format!(
                "store: append number {count} that is refused with 413: {} bytes with a record over {RECORD_BYTES}",
                body.len()
            ));
        }
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    };
    let topic = inner.topics.entry(params["topic"].clone()).or_default();
    let end = topic.records.len() as u64;
    let number = |key: &str| params.get(key).and_then(|text| text.parse::<u64>().ok());
    if number("at").is_some_and(|at| at != end) {
        let body = json!({"end": end});
        return (StatusCode::PRECONDITION_FAILED, Json(body)).into_response();
    }
    let answer = json!({"offset": end, "end": end + records.len() as u64});
    if let (Some(name), Some(epoch)) = (params.get("producer"), number("epoch")) {
        let producer = topic.producers.entry(name.clone()).or_default();
        if epoch < producer.epoch {
            let body = json!({"reason": "fenced"});
            return (StatusCode::CONFLICT, Json(body)).into_response();
        }
        let sequence = number("sequence").unwrap_or(0);
        if epoch > producer.epoch {
            *producer = Producer {
                epoch,
                next: sequence,
                answers: VecDeque::new(),
            };
        }
        if records.is_empty() {
            return Json(answer).into_response();
        }
        if let Some((_, first)) = producer
            .answers
            .iter()
            .find(|(known, _)| *known == sequence)
        {
            return Json(first.clone()).into_response();
        }
        if sequence != producer.next {
            let body = json!({"reason": "seq", "sequence": producer.next});
            return (StatusCode::CONFLICT, Json(body)).into_response();
        }
        producer.next += 1;
        producer.answers.push_back((sequence, answer.clone()));
        if producer.answers.len() > REMEMBERED {
            producer.answers.pop_front();
        }
    }
    topic.records.extend(records);
    Json(answer).into_response()
}

async fn read(State(shared): State<Shared>, Query(params): Params) -> Response {
    tokio::time::sleep(Duration::from_millis(ANSWER_MS)).await;
    let wait_ms: u64 = params
        .get("wait-ms")
        .map_or(0, |text| text.parse().unwrap());
    let from: usize = params["from"].parse().unwrap();
    let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
    let mut changed = shared.changed.subscribe();
    loop {
        let has_some = {
            let inner = shared.inner.lock().unwrap();
            let topic = inner.topics.get(&params["topic"]);
            topic.is_some_and(|topic| topic.records.len() > from)
        };
        if has_some
            || tokio::time::timeout_at(until, changed.changed())
                .await
                .is_err()
        {
            return encode(&shared.inner.lock().unwrap(), &params["topic"], from);
        }
    }
}

fn encode(inner: &Inner, topic: &str, from: usize) -> Response {
    let empty = Topic::default();
    let topic = inner.topics.get(topic).unwrap_or(&empty);
    let mut body = Vec::new();
    body.extend((topic.records.len() as u64).to_be_bytes());
    body.extend(0_u64.to_be_bytes());
    for (key, value) in topic.records.iter().skip(from) {
        if body.len() > PAGE_BYTES {
            break;
        }
        let length = u32::try_from(1 + key.len() + value.len()).unwrap();
        body.extend(length.to_be_bytes());
        body.push(u8::try_from(key.len()).unwrap());
        body.extend(key.as_bytes());
        body.extend(value);
    }
    Body::from(body).into_response()
}

async fn newest(State(shared): State<Shared>, Query(params): Params) -> Response {
    tokio::time::sleep(Duration::from_millis(ANSWER_MS)).await;
    let inner = shared.inner.lock().unwrap();
    let empty = Topic::default();
    let topic = inner.topics.get(&params["topic"]).unwrap_or(&empty);
    let mut rows: BTreeMap<&String, (usize, &Vec<u8>)> = BTreeMap::new();
    for (offset, (key, value)) in topic.records.iter().enumerate() {
        rows.insert(key, (offset, value));
    }
    let after = params.get("after");
    let mut items = Vec::new();
    let mut bytes = 0;
    let mut more = false;
    for (key, (offset, value)) in rows {
        if value.is_empty() || after.is_some_and(|after| key <= after) {
            continue;
        }
        if items.len() == PAGE_RECORDS || bytes > PAGE_BYTES {
            more = true;
            break;
        }
        bytes += value.len();
        items.push(json!({"key": key, "value": STANDARD.encode(value), "offset": offset}));
    }
    Json(json!({"items": items, "more": more, "end": topic.records.len()})).into_response()
}
