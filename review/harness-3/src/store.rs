//! The platform's store: a log with keyed topics, as PROTOCOL.md describes it.

use crate::http;
use crate::http::Request;
use crate::http::Response;
use crate::json;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// The limits that DEPLOY.md shows for a record and for a call.
const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;
/// How long the history of a topic is kept, as the site files have it.
const KEEP: Duration = Duration::from_secs(20);
const APPEND: Duration = Duration::from_millis(3);
/// `partition-mb-s` and `read-mb-s`, in bytes a second.
const APPEND_BYTES_S: f64 = 20e6;
const READ_BYTES_S: f64 = 80e6;
const READ: Duration = Duration::from_millis(1);

#[derive(Default)]
struct Producer {
    epoch: u64,
    /// The sequence numbers of the last appends, each with its first offset and the end after it.
    last: Vec<(u64, u64, u64)>,
}

#[derive(Default)]
struct Topic {
    first: u64,
    records: Vec<(Instant, Arc<Vec<u8>>)>,
    /// By key: the newest value, and its offset.
    newest: BTreeMap<String, (Vec<u8>, u64)>,
    producers: HashMap<String, Producer>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    /// Serves the appends one at a time.
    appends: Mutex<()>,
    changed: Condvar,
    /// Records that were refused for their size: when, the key, the bytes.
    pub refused: Mutex<Vec<(Instant, String, usize)>>,
    /// The largest record of each key's first letter that was stored.
    pub largest: Mutex<(usize, String)>,
    /// When rows of the system's own topics were last stored.
    pub stored_at: Mutex<Option<Instant>>,
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            topics: Mutex::default(),
            appends: Mutex::default(),
            changed: Condvar::new(),
            refused: Mutex::default(),
            largest: Mutex::default(),
            stored_at: Mutex::default(),
        });
        let served = store.clone();
        let addr = http::serve(Arc::new(move |request| Some(served.answer(request))));
        (store, addr)
    }

    /// Writes a record as an operator or a server does; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        let mut topics = self.topics.lock().unwrap();
        add(topics.entry(topic.to_owned()).or_default(), record);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/api/log-append") => self.append(request),
            ("GET", "/api/log-read") => self.read(request),
            ("GET", "/api/log-newest") => self.newest(request),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, request: &Request) -> Response {
        let name = request.query("topic").unwrap_or_default().to_owned();
        if name == "keyed.op" || name == "keyed.servers" {
            return (403, Vec::new());
        }
        let Some(records) = split(&request.body) else {
            return (400, b"{\"error\":\"the records are cut\"}".to_vec());
        };
        let large = records.iter().find(|record| record.len() > RECORD_BYTES);
        if let Some(record) = large {
            let entry = (Instant::now(), key_of(record), record.len());
            self.refused.lock().unwrap().push(entry);
            return (400, b"{\"error\":\"a record is too large\"}".to_vec());
        }
        if request.body.len() > CALL_BYTES {
            return (400, b"{\"error\":\"the call is too large\"}".to_vec());
        }
        let _turn = self.appends.lock().unwrap();
        std::thread::sleep(
            APPEND + Duration::from_secs_f64(request.body.len() as f64 / APPEND_BYTES_S),
        );
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name).or_default();
        let end = topic.end();
        if request.query("at").is_some_and(|at| at.parse() != Ok(end)) {
            return (412, format!("{{\"end\":{end}}}").into_bytes());
        }
        let number = |key| {
            request
                .query(key)
                .and_then(|v| v.parse::<u64>().ok())
                .unwrap_or(0)
        };
        if let Some(producer) = request.query("producer") {
            let (epoch, sequence) = (number("epoch"), number("sequence"));
            let known = topic.producers.entry(producer.to_owned()).or_default();
            if epoch < known.epoch {
                return (409, b"{\"reason\":\"fenced\"}".to_vec());
            }
            if epoch > known.epoch {
                known.epoch = epoch;
                known.last.clear();
            }
            if !records.is_empty() {
                if let Some((_, offset, end)) = known.last.iter().find(|l| l.0 == sequence) {
                    return (
                        200,
                        format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
                    );
                }
                if let Some((last, ..)) = known.last.last().filter(|l| l.0 + 1 != sequence) {
                    let text = format!("{{\"reason\":\"seq\",\"sequence\":{}}}", last + 1);
                    return (409, text.into_bytes());
                }
                known.last.push((sequence, end, end + records.len() as u64));
                if known.last.len() > 5 {
                    known.last.remove(0);
                }
            }
        }
        if !records.is_empty() {
            *self.stored_at.lock().unwrap() = Some(Instant::now());
        }
        for record in records {
            let mut largest = self.largest.lock().unwrap();
            if record.len() > largest.0 {
                *largest = (record.len(), key_of(&record));
            }
            add(topic, record);
        }
        let text = format!("{{\"offset\":{end},\"end\":{}}}", topic.end());
        self.changed.notify_all();
        (200, text.into_bytes())
    }

    fn read(&self, request: &Request) -> Response {
        std::thread::sleep(READ);
        let number = |key| {
            request
                .query(key)
                .and_then(|v| v.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let (from, wait) = (number("from"), number("wait-ms").min(30_000));
        let limit = number("max-kb").clamp(1, 1_024) as usize * 1_024;
        let name = request.query("topic").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait);
        let mut topics = self.topics.lock().unwrap();
        loop {
            let topic = topics.entry(name.to_owned()).or_default();
            if from < topic.first {
                return (410, format!("{{\"first\":{}}}", topic.first).into_bytes());
            }
            let now = Instant::now();
            if topic.end() > from || now >= until {
                let mut body = topic.end().to_be_bytes().to_vec();
                body.extend(topic.first.to_be_bytes());
                for (_, record) in topic.records.iter().skip((from - topic.first) as usize) {
                    if body.len() > 16 && body.len() + record.len() > limit {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record.iter());
                }
                return (200, body);
            }
            topics = self.changed.wait_timeout(topics, until - now).unwrap().0;
        }
    }

    fn newest(&self, request: &Request) -> Response {
        std::thread::sleep(READ);
        let name = request.query("topic").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name.to_owned()).or_default();
        let mut items = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (key, (value, offset)) in &topic.newest {
            if !after.is_empty() && key.as_str() <= after {
                continue;
            }
            let item = format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                base64(value)
            );
            if items.len() >= 500 || bytes > 0 && bytes + item.len() > 1_048_576 {
                more = true;
                break;
            }
            bytes += item.len();
            items.push(item);
        }
        let text = format!(
            "{{\"items\":[{}],\"more\":{more},\"end\":{}}}",
            items.join(","),
            topic.end()
        );
        drop(topics);
        std::thread::sleep(Duration::from_secs_f64(bytes as f64 / READ_BYTES_S));
        (200, text.into_bytes())
    }
}

fn key_of(record: &[u8]) -> String {
    let length = usize::from(*record.first().unwrap_or(&0));
    String::from_utf8_lossy(record.get(1..1 + length).unwrap_or_default()).into_owned()
}

/// Splits a body into records.
fn split(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let length = u32::from_be_bytes(body.get(..4)?.try_into().ok()?) as usize;
        records.push(body.get(4..4 + length)?.to_vec());
        body = &body[4 + length..];
    }
    Some(records)
}

fn add(topic: &mut Topic, record: Vec<u8>) {
    let key = key_of(&record);
    let value = record.get(1 + key.len()..).unwrap_or_default().to_vec();
    let offset = topic.end();
    if value.is_empty() {
        topic.newest.remove(&key);
    } else {
        topic.newest.insert(key, (value, offset));
    }
    let now = Instant::now();
    topic.records.push((now, Arc::new(record)));
    let old = topic
        .records
        .iter()
        .take_while(|(at, _)| now - *at > KEEP)
        .count();
    topic.records.drain(..old);
    topic.first += old as u64;
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for part in bytes.chunks(3) {
        let word = part
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - part.len()));
        for at in 0..4 {
            let sign = SIGNS[(word >> (18 - 6 * at)) as usize & 63];
            out.push(if at <= part.len() { sign as char } else { '=' });
        }
    }
    out
}

/// Checks that a text is valid JSON, so that a slip in a stand-in shows at once.
pub fn checked(text: String) -> String {
    assert!(json::parse(&text).is_some(), "not JSON: {text}");
    text
}
