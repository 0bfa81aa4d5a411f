//! A stand-in of a runner: runs tasks under leases, as `PROTOCOL.md` describes it.

use crate::record::Record;
use crate::relay::Relay;
use crate::store::Store;
use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::post;
use serde_json::Value;
use serde_json::json;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// The topic of the discovery entries.
const DISCOVERY: &str = "keyed.servers";
/// The time between two writes of the discovery entry, in milliseconds (`heartbeat-ms`).
const HEARTBEAT_MS: u64 = 1_500;
/// The most ends that a response lists.
const MAX_ENDS: usize = 500;
/// The time that a stop takes, in milliseconds; at most `stop-ms`.
const STOP_MS: u64 = 100;

/// What sets a runner apart from others.
#[derive(Debug, Clone)]
pub(crate) struct Traits {
    pub(crate) id: String,
    pub(crate) service: String,
    /// The label of its kind.
    pub(crate) kind: &'static str,
    /// The speed of its steady clock, in thousandths; 980 is the slowest that the pages allow.
    pub(crate) clock_rate: u64,
    /// The longest lease that it grants, in milliseconds (`max-hold-ms`).
    pub(crate) max_hold_ms: u64,
    /// Whether it writes a line for each order and end.
    pub(crate) verbose: bool,
}

/// A run that was started here.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) runner: String,
    pub(crate) task: String,
    pub(crate) run: u64,
    pub(crate) start: Instant,
    /// When and how it ended.
    pub(crate) end: Option<(Instant, &'static str)>,
    checkpointing: bool,
    work: Duration,
    stop_at: Option<Instant>,
}

#[derive(Debug)]
struct Inner {
    traits: Traits,
    record: Record,
    start: Instant,
    born: u64,
    token: u64,
    lease_ms: u64,
    is_up: bool,
    /// Its capacity in accelerators.
    gpus: u64,
    /// Whether the next renewal is held up on its way.
    holds_up: bool,
    /// When the present process was called first.
    called: Option<Instant>,
    /// The renewal that is held up.
    held_up: Option<Value>,
    sequence: u64,
    live: HashMap<String, Run>,
    over: Vec<Run>,
    barred: HashMap<String, u64>,
    ends: u64,
    ended: Vec<(u64, Value)>,
    starts: u64,
}

type Shared = Arc<Mutex<Inner>>;

/// A handle of the running runner.
#[derive(Debug, Clone)]
pub(crate) struct Runner {
    pub(crate) id: String,
    relay: Relay,
    inner: Shared,
}

impl Inner {
    fn clock_ms(&self) -> u64 {
        let ms = u64::try_from(self.start.elapsed().as_millis()).unwrap();
        ms * self.traits.clock_rate / 1_000
    }

    fn note(&self, line: &str) {
        if self.traits.verbose {
            self.record
                .note(format!("runner {}: {line}", self.traits.id));
        }
    }

    /// Ends the runs whose work is done, whose stop has taken effect or whose lease has expired.
    fn end_finished(&mut self) {
        let now = Instant::now();
        let lapse_ms = (self.lease_ms * 1_000).div_ceil(self.traits.clock_rate);
        let lapse = self.start + Duration::from_millis(lapse_ms);
        let mut due: Vec<(Instant, &'static str, String)> = Vec::new();
        for run in self.live.values() {
            let causes = [
                (Some(run.start + run.work), "done"),
                (run.stop_at, "stopped"),
                (Some(lapse.max(run.start)), "lapsed"),
            ];
            let first = causes.into_iter().filter_map(|(at, how)| Some((at?, how)));
            if let Some((at, how)) = first.min().filter(|(at, _)| *at <= now) {
                due.push((at, how, run.task.clone()));
            }
        }
        due.sort();
        for (at, how, task) in due {
            let mut run = self.live.remove(&task).unwrap();
            run.end = Some((at, how));
            self.ends += 1;
            self.barred.insert(task.clone(), run.run);
            let saved = checkpoint(&run, at);
            let entry = json!([self.ends, task, run.run, how, saved]);
            self.ended.push((self.ends, entry));
            let worked = at.saturating_duration_since(run.start).as_millis();
            self.note(&format!(
                "run {} of {task} ends {how} after {worked} ms",
                run.run
            ));
            self.over.push(run);
        }
    }

    fn extend(&mut self, body: &Value) {
        if let Some(until) = body["until-ms"].as_u64() {
            let most = self.clock_ms() + self.traits.max_hold_ms;
            self.lease_ms = self.lease_ms.max(until.min(most));
        }
    }

    /// Returns the refusal of an order for another instance, or with a lower fencing token.
    fn check(&mut self, headers: &HeaderMap, body: &Value) -> Option<Response> {
        let instance = headers.get("trefoilgauge-expected-instance");
        if instance.is_some_and(|id| id.as_bytes() != self.traits.id.as_bytes()) {
            return Some(StatusCode::MISDIRECTED_REQUEST.into_response());
        }
        let token = body["fencing-token"].as_u64().unwrap_or(0);
        if token < self.token {
            return Some(self.conflict("fence"));
        }
        self.token = token;
        self.called.get_or_insert_with(Instant::now);
        None
    }

    fn conflict(&self, reason: &str) -> Response {
        let body = json!({"clock-ms": self.clock_ms(), "reason": reason});
        (StatusCode::CONFLICT, Json(body)).into_response()
    }

    fn yes(&self) -> Response {
        Json(json!({"clock-ms": self.clock_ms(), "born": self.born})).into_response()
    }

    fn start(&mut self, body: &Value) -> Response {
        let task = body["task"].as_str().unwrap().to_owned();
        let run = body["run"].as_u64().unwrap();
        if self.barred.get(&task).is_some_and(|barred| *barred >= run) {
            self.extend(body);
            return self.conflict("old");
        }
        if body["until-ms"].as_u64().unwrap() <= self.clock_ms() {
            return self.conflict("late");
        }
        self.extend(body);
        if self.live.get(&task).is_some_and(|live| live.run == run) {
            return self.yes();
        }
        let text = body["spec"].as_str().unwrap();
        let word = |key: &str| text.split(' ').find_map(|word| word.strip_prefix(key));
        // The tasks of a later step work as long as `last` says, if it says so.
        let is_first = task.split('.').nth(2) == Some("0");
        let last = word("last=").filter(|_| !is_first);
        let work_ms = last.or(word("work=")).and_then(|ms| ms.parse().ok());
        let work_ms = work_ms.unwrap_or(1_000);
        let started = Run {
            runner: self.traits.id.clone(),
            task: task.clone(),
            run,
            start: Instant::now(),
            end: None,
            checkpointing: word("checkpointing").is_some() && is_first,
            work: Duration::from_millis(work_ms),
            stop_at: None,
        };
        self.live.insert(task, started);
        self.starts += 1;
        self.yes()
    }

    fn stop(&mut self, body: &Value) -> Response {
        let task = body["task"].as_str().unwrap().to_owned();
        let run = body["run"].as_u64().unwrap();
        let barred = self.barred.entry(task.clone()).or_insert(run);
        *barred = run.max(*barred);
        if let Some(live) = self.live.get_mut(&task).filter(|live| live.run <= run) {
            let at = Instant::now() + Duration::from_millis(STOP_MS);
            live.stop_at.get_or_insert(at);
        }
        self.yes()
    }

    fn report(&mut self) -> Response {
        self.end_finished();
        let now = Instant::now();
        let running: Vec<Value> = self
            .live
            .values()
            .map(|run| {
                let worked = now.saturating_duration_since(run.start).as_millis();
                let percent = (worked * 100 / run.work.as_millis().max(1)).min(99);
                let percent = u64::try_from(percent).unwrap();
                json!([run.task, run.run, checkpoint(run, now), percent, 100])
            })
            .collect();
        let ended: Vec<&Value> = self
            .ended
            .iter()
            .take(MAX_ENDS)
            .map(|(_, row)| row)
            .collect();
        let body = json!({
            "clock-ms": self.clock_ms(), "born": self.born,
            "running": running, "ended-runs": ended,
        });
        Json(body).into_response()
    }
}

/// Returns the checkpoint of a run: 16 characters as in the example of the page, a new value with
/// each two seconds of work; empty if it has none.
fn checkpoint(run: &Run, at: Instant) -> String {
    let worked = at.saturating_duration_since(run.start).as_millis();
    let count = worked / 2_000;
    if !run.checkpointing || count == 0 {
        return String::new();
    }
    format!("{count:08x}{:08x}", run.run)
}

/// Returns the time of day, in Unix milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(now.as_millis()).unwrap()
}

impl Runner {
    /// Starts a runner that keeps its entry in discovery.
    pub(crate) async fn spawn(traits: Traits, store: &Store, record: &Record) -> Self {
        let id = traits.id.clone();
        let inner = Arc::new(Mutex::new(Inner {
            traits,
            record: record.clone(),
            start: Instant::now(),
            born: unix_ms(),
            token: 0,
            lease_ms: 0,
            is_up: true,
            gpus: 8,
            holds_up: false,
            called: None,
            held_up: None,
            sequence: 0,
            live: HashMap::new(),
            over: Vec::new(),
            barred: HashMap::new(),
            ends: 0,
            ended: Vec::new(),
            starts: 0,
        }));
        let router = Router::new()
            .route("/api/run-start", post(start))
            .route("/api/run-stop", post(stop))
            .route("/api/hold", post(hold))
            .with_state(inner.clone());
        let relay = Relay::spawn(crate::serve(router).await).await;
        let runner = Self { id, relay, inner };
        let (beating, store) = (runner.clone(), store.clone());
        beating.publish(&store);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(HEARTBEAT_MS)).await;
                if beating.has_beaten() {
                    beating.publish(&store);
                }
            }
        });
        runner
    }

    /// Returns whether a process runs that is older than one heartbeat interval.
    fn has_beaten(&self) -> bool {
        let inner = self.inner.lock().unwrap();
        inner.is_up && inner.start.elapsed() >= Duration::from_millis(HEARTBEAT_MS)
    }

    /// Ends the process with everything that runs there.
    pub(crate) fn crash(&self) {
        self.relay.set_cut(true);
        let mut inner = self.inner.lock().unwrap();
        inner.end_finished();
        inner.is_up = false;
        let now = Instant::now();
        let live: Vec<Run> = inner.live.drain().map(|(_, run)| run).collect();
        inner.note(&format!("crashes with {} runs", live.len()));
        for mut run in live {
            run.end = Some((now, "crashed"));
            inner.over.push(run);
        }
    }

    /// Starts the next process, under the same id; it knows nothing of before.
    pub(crate) fn boot(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.is_up = true;
        inner.start = Instant::now();
        inner.born = unix_ms();
        inner.token = 0;
        inner.called = None;
        inner.lease_ms = 0;
        inner.sequence = 0;
        inner.barred.clear();
        inner.ends = 0;
        inner.ended.clear();
        let born = inner.born;
        inner.note(&format!("starts again, born {born}"));
        drop(inner);
        self.relay.set_cut(false);
    }

    /// Changes the capacity in accelerators.
    pub(crate) fn set_gpus(&self, gpus: u64) {
        self.inner.lock().unwrap().gpus = gpus;
    }

    /// Returns whether every end here was taken note of.
    pub(crate) fn is_noted(&self) -> bool {
        self.inner.lock().unwrap().ended.is_empty()
    }

    /// Holds up the next renewal that carries a lease; it gets no response.
    pub(crate) fn hold_up(&self) {
        self.inner.lock().unwrap().holds_up = true;
    }

    /// Returns whether a renewal is held up.
    pub(crate) fn is_held_up(&self) -> bool {
        self.inner.lock().unwrap().held_up.is_some()
    }

    /// Returns when the present process was called first, none before that.
    pub(crate) fn called_at(&self) -> Option<Instant> {
        self.inner.lock().unwrap().called
    }

    /// Carries out the renewal that was held up.
    pub(crate) fn carry_out(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.end_finished();
        let Some(body) = inner.held_up.take() else {
            return;
        };
        let token = body["fencing-token"].as_u64().unwrap_or(0);
        if token >= inner.token {
            inner.token = token;
            inner.extend(&body);
        }
        let line = format!(
            "late renewal token {token} until {} at clock {}: the lease ends at {}",
            body["until-ms"],
            inner.clock_ms(),
            inner.lease_ms
        );
        inner.note(&line);
    }

    /// Writes the entry in discovery.
    pub(crate) fn publish(&self, store: &Store) {
        let entry = {
            let mut inner = self.inner.lock().unwrap();
            inner.sequence += 1;
            json!({
                "service": inner.traits.service, "address": self.relay.addr.to_string(), "zone": "zone-1",
                "version": "1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
                "capacity": {"cpu": 64_000, "mem-mb": 131_072, "gpu": inner.gpus},
                "labels": [inner.traits.kind, "r1-1"], "clock-ms": inner.clock_ms(), "sequence": inner.sequence,
                "born": inner.born,
            })
        };
        store.put(DISCOVERY, &self.id, entry.to_string().as_bytes());
    }

    /// Cuts the runner off from all machines of the system, or ends the cut.
    pub(crate) fn set_cut(&self, cut: bool) {
        self.relay.set_cut(cut);
    }

    /// Returns all runs.
    pub(crate) fn runs(&self) -> Vec<Run> {
        let mut inner = self.inner.lock().unwrap();
        inner.end_finished();
        let live = inner.live.values();
        inner.over.iter().chain(live).cloned().collect()
    }

    /// Counts the runs that were started.
    pub(crate) fn starts(&self) -> u64 {
        self.inner.lock().unwrap().starts
    }
}

async fn start(
    State(inner): State<Shared>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    let mut inner = inner.lock().unwrap();
    inner.end_finished();
    let refusal = inner.check(&headers, &body);
    let response = refusal.unwrap_or_else(|| inner.start(&body));
    inner.note(&format!(
        "start of run {} of {} token {} until {} at clock {}: {}",
        body["run"],
        body["task"],
        body["fencing-token"],
        body["until-ms"],
        inner.clock_ms(),
        response.status()
    ));
    response
}

async fn stop(
    State(inner): State<Shared>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    let mut inner = inner.lock().unwrap();
    inner.end_finished();
    let refusal = inner.check(&headers, &body);
    let response = refusal.unwrap_or_else(|| inner.stop(&body));
    inner.note(&format!(
        "stop of run {} of {} token {}: {}",
        body["run"],
        body["task"],
        body["fencing-token"],
        response.status()
    ));
    response
}

async fn hold(
    State(inner): State<Shared>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    let is_held_up = {
        let mut inner = inner.lock().unwrap();
        let is_held_up = inner.holds_up && body["until-ms"].is_u64();
        if is_held_up {
            inner.holds_up = false;
            inner.note(&format!(
                "hold until {} is held up on its way",
                body["until-ms"]
            ));
            inner.held_up = Some(body.clone());
        }
        is_held_up
    };
    if is_held_up {
        std::future::pending::<()>().await;
    }
    let refusal = {
        let mut inner = inner.lock().unwrap();
        inner.end_finished();
        let refusal = inner.check(&headers, &body);
        if refusal.is_none() {
            inner.extend(&body);
            let seen = body["last-seen"].as_u64().unwrap_or(0);
            inner.ended.retain(|(number, _)| *number > seen);
        }
        inner.note(&format!(
            "hold token {} until {} at clock {}: {}",
            body["fencing-token"],
            body["until-ms"],
            inner.clock_ms(),
            refusal.as_ref().map_or(StatusCode::OK, Response::status)
        ));
        refusal
    };
    if let Some(refusal) = refusal {
        return refusal;
    }
    let wait = Duration::from_millis(body["wait-ms"].as_u64().unwrap_or(0));
    let until = Instant::now() + wait;
    while Instant::now() < until {
        let has_ends = {
            let mut inner = inner.lock().unwrap();
            inner.end_finished();
            !inner.ended.is_empty()
        };
        if has_ends {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let response = inner.lock().unwrap().report();
    response
}
