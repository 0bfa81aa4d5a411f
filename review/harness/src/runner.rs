//! A runner that follows the pages: leases on its own clock, fencing, ends that are listed until they
//! are taken note of, and its entry in the store every heartbeat.

use crate::record::Record;
use crate::site::Site;
use crate::store::Store;
use crate::unix_ms;
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
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use tokio::time::sleep;

/// The time between two entries in the store, in milliseconds.
const HEARTBEAT_MS: u64 = 1_500;
/// How long a stop takes, in milliseconds.
const STOP_MS: u64 = 50;
/// The GPUs of a runner.
const GPUS: u64 = 8;

/// A run of a task.
#[derive(Debug, Clone)]
pub struct Run {
    /// The task, as ID.K.STEP.INDEX.
    pub task: String,
    /// The number of the run.
    pub run: u64,
    /// When it began.
    pub began: Instant,
    /// When and how it ended.
    pub end: Option<(Instant, &'static str)>,
    work: Option<Duration>,
    gpus: u64,
    stop_at: Option<Instant>,
    fail_at: Option<Instant>,
}

#[derive(Debug)]
struct Inner {
    start: Instant,
    born: u64,
    token: u64,
    lease_ms: u64,
    runs: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    /// The highest run of each task that was stopped or has ended here.
    barred: HashMap<String, u64>,
    /// Whether it is cut off from all machines of the system.
    cut: bool,
    /// Whether it has crashed for good.
    gone: bool,
    /// The job whose first run's orders to start are held up on their way.
    held_job: Option<String>,
    /// Those orders, and when they were sent.
    held: Vec<(Value, Instant)>,
    sequence: u64,
    max_hold_ms: u64,
}

/// A handle of a running runner.
#[derive(Debug, Clone)]
pub struct Runner {
    /// Its id.
    pub id: String,
    addr: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    site: Site,
    store: Store,
    record: Record,
}

/// Returns a number that a task's text gives after `key`, as in `work=500`.
fn number(body: &Value, key: &str) -> Option<u64> {
    let mut words = body["spec"].as_str()?.split(' ');
    words.find_map(|word| word.strip_prefix(key)?.strip_prefix('=')?.parse().ok())
}

impl Inner {
    fn clock_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap()
    }

    fn extend(&mut self, body: &Value) {
        if let Some(until) = body["until-ms"].as_u64() {
            let most = self.clock_ms() + self.max_hold_ms;
            self.lease_ms = self.lease_ms.max(until.min(most));
        }
    }

    /// Ends the runs whose work is done, whose stop has taken effect or whose lease has expired.
    fn settle(&mut self, id: &str, record: &Record) {
        let now = Instant::now();
        let lapse = self.start + Duration::from_millis(self.lease_ms);
        let mut due = Vec::new();
        for (index, run) in self
            .runs
            .iter()
            .enumerate()
            .filter(|(_, run)| run.end.is_none())
        {
            let causes = [
                (run.work.map(|work| run.began + work), "done"),
                (run.stop_at, "stopped"),
                (run.fail_at, "failed"),
                (Some(lapse.max(run.began)), "lapsed"),
            ];
            let first = causes
                .into_iter()
                .filter_map(|(at, how)| Some((at?, how)))
                .min();
            due.extend(
                first
                    .filter(|(at, _)| *at <= now)
                    .map(|(at, how)| (at, how, index)),
            );
        }
        due.sort();
        for (at, how, index) in due {
            self.ends += 1;
            let run = &mut self.runs[index];
            run.end = Some((at, how));
            let (task, number) = (run.task.clone(), run.run);
            record.add(format!(
                "{id}: end {} of {task} run {number}: {how}",
                self.ends
            ));
            self.bar(&task, number);
            self.ended.push((self.ends, task, number, how));
        }
    }

    fn bar(&mut self, task: &str, run: u64) {
        let barred = self.barred.entry(task.to_owned()).or_insert(run);
        *barred = run.max(*barred);
    }

    fn used_gpus(&self) -> u64 {
        let live = self.runs.iter().filter(|run| run.end.is_none());
        live.map(|run| run.gpus).sum()
    }

    fn conflict(&self, reason: &str) -> Response {
        let body = json!({"clock-ms": self.clock_ms(), "reason": reason, "born": self.born});
        (StatusCode::CONFLICT, Json(body)).into_response()
    }

    fn accept(&self) -> Response {
        Json(json!({"clock-ms": self.clock_ms(), "born": self.born})).into_response()
    }
}

impl Runner {
    /// Starts a runner that writes its entry to `store`.
    pub async fn start(id: &str, site: &Site, store: &Store, record: &Record) -> Self {
        let inner = Inner {
            start: Instant::now(),
            born: unix_ms(),
            token: 0,
            lease_ms: 0,
            runs: Vec::new(),
            ended: Vec::new(),
            ends: 0,
            barred: HashMap::new(),
            cut: false,
            gone: false,
            held_job: None,
            held: Vec::new(),
            sequence: 0,
            max_hold_ms: site.max_hold_ms,
        };
        let mut runner = Self {
            id: id.to_owned(),
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            inner: Arc::new(Mutex::new(inner)),
            site: *site,
            store: store.clone(),
            record: record.clone(),
        };
        let router = Router::new()
            .route("/api/run-start", post(run_start))
            .route("/api/run-stop", post(run_stop))
            .route("/api/pace", post(pace))
            .route("/api/hold", post(hold))
            .with_state(runner.clone());
        runner.addr = crate::serve(router).await;
        let beats = runner.clone();
        tokio::spawn(async move {
            while !beats.inner.lock().unwrap().gone {
                beats.publish();
                sleep(Duration::from_millis(HEARTBEAT_MS)).await;
            }
            // The entry is removed after three heartbeats of silence.
            sleep(Duration::from_millis(2 * HEARTBEAT_MS)).await;
            beats.store.put("keyed.servers", &beats.id, b"");
            beats.record.say(format!("{}: entry removed", beats.id));
        });
        let clock = runner.clone();
        tokio::spawn(async move {
            loop {
                clock.settle();
                sleep(Duration::from_millis(10)).await;
            }
        });
        runner
    }

    fn settle(&self) {
        self.inner.lock().unwrap().settle(&self.id, &self.record);
    }

    fn publish(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.sequence += 1;
        let entry = json!({
            "service": self.site.service, "address": self.addr.to_string(), "zone": self.site.zones[0],
            "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
            "sequence": inner.sequence, "capacity": {"cpu": 128_000, "mem-mb": 262_144, "gpu": GPUS},
            "labels": ["a", "r1-1"], "clock-ms": inner.clock_ms(), "born": inner.born,
        });
        drop(inner);
        self.store
            .put("keyed.servers", &self.id, entry.to_string().as_bytes());
    }

    /// Cuts the runner off from all machines of the system, or ends that; it still reaches the store.
    pub fn set_cut(&self, cut: bool) {
        self.inner.lock().unwrap().cut = cut;
        let what = if cut {
            "cut off from the system's machines"
        } else {
            "reachable again"
        };
        self.record.say(format!("{}: {what}", self.id));
    }

    /// Crashes the runner for good: all that runs there ends, and it does not respond any more.
    pub fn crash(&self) {
        self.settle();
        let mut inner = self.inner.lock().unwrap();
        inner.gone = true;
        inner.cut = true;
        let now = Instant::now();
        for run in inner.runs.iter_mut().filter(|run| run.end.is_none()) {
            run.end = Some((now, "crashed"));
        }
        drop(inner);
        self.record.say(format!("{}: crashed for good", self.id));
    }

    /// Holds up the orders to start the first runs of a job: they get no response.
    pub fn hold_up(&self, job: &str) {
        self.inner.lock().unwrap().held_job = Some(job.to_owned());
    }

    /// Returns whether an order to start was held up.
    pub fn has_held_up(&self) -> bool {
        !self.inner.lock().unwrap().held.is_empty()
    }

    /// Restarts the runner under its id after it was down for `down`: it knows nothing of before. The
    /// orders that were held up reach the new process.
    pub async fn restart(&self, down: Duration) {
        self.settle();
        {
            let mut inner = self.inner.lock().unwrap();
            inner.cut = true;
            let now = Instant::now();
            for run in inner.runs.iter_mut().filter(|run| run.end.is_none()) {
                run.end = Some((now, "crashed"));
            }
        }
        self.record.say(format!("{}: crashed", self.id));
        sleep(down).await;
        let held = {
            let mut inner = self.inner.lock().unwrap();
            inner.start = Instant::now();
            inner.born = unix_ms();
            inner.token = 0;
            inner.lease_ms = 0;
            inner.ended.clear();
            inner.ends = 0;
            inner.barred.clear();
            inner.sequence = 0;
            inner.cut = false;
            inner.held_job = None;
            std::mem::take(&mut inner.held)
        };
        self.record
            .say(format!("{}: started again under its id", self.id));
        for (body, sent) in held {
            let response = start(&mut self.inner.lock().unwrap(), &body);
            let late_ms = sent.elapsed().as_millis();
            self.note(&format!("run-start, {late_ms} ms late,"), &body, &response);
        }
    }

    /// Makes the run of a job's task that is at work here fail.
    pub fn fail(&self, job: &str) {
        let mut inner = self.inner.lock().unwrap();
        let live = inner.runs.iter_mut().filter(|run| run.end.is_none());
        for run in live.filter(|run| run.task.starts_with(job)) {
            run.fail_at = Some(Instant::now());
        }
        drop(inner);
        self.record
            .say(format!("{}: the task of {job} fails", self.id));
    }

    /// Returns all runs that began here.
    pub fn runs(&self) -> Vec<Run> {
        self.settle();
        self.inner.lock().unwrap().runs.clone()
    }

    /// Waits while the runner is cut off: the call gets no response, and nothing is done.
    async fn pass(&self) {
        if self.inner.lock().unwrap().cut {
            std::future::pending::<()>().await;
        }
    }

    /// Returns the refusal of a call for another incarnation or with a lower fencing token.
    fn check(&self, inner: &mut Inner, headers: &HeaderMap, body: &Value) -> Option<Response> {
        let expected = headers.get("trefoilgauge-expected-instance");
        if expected.is_some_and(|id| id.as_bytes() != self.id.as_bytes()) {
            return Some(StatusCode::MISDIRECTED_REQUEST.into_response());
        }
        let token = body["fencing-token"].as_u64().unwrap_or(0);
        if token < inner.token {
            return Some(inner.conflict("fence"));
        }
        inner.token = token;
        None
    }

    fn note(&self, call: &str, body: &Value, response: &Response) {
        let status = response.status().as_u16();
        self.record
            .add(format!("{}: {call} {body}: {status}", self.id));
    }
}

async fn run_start(
    State(runner): State<Runner>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    runner.pass().await;
    let is_held = {
        let mut inner = runner.inner.lock().unwrap();
        let task = body["task"].as_str().unwrap_or_default();
        let job = inner.held_job.as_ref();
        let is_held = job.is_some_and(|job| task.starts_with(job.as_str())) && body["run"] == 1;
        if is_held {
            inner.held.push((body.clone(), Instant::now()));
        }
        is_held
    };
    if is_held {
        runner
            .record
            .add(format!("{}: run-start {body} held up", runner.id));
        std::future::pending::<()>().await;
    }
    runner.settle();
    let response = {
        let mut inner = runner.inner.lock().unwrap();
        match runner.check(&mut inner, &headers, &body) {
            Some(refusal) => refusal,
            None => start(&mut inner, &body),
        }
    };
    runner.note("run-start", &body, &response);
    response
}

fn start(inner: &mut Inner, body: &Value) -> Response {
    let task = body["task"].as_str().unwrap().to_owned();
    let run = body["run"].as_u64().unwrap();
    if inner.barred.get(&task).is_some_and(|barred| *barred >= run) {
        inner.extend(body);
        return inner.conflict("old");
    }
    let known = |old: &&Run| old.task == task && old.run == run;
    if inner.runs.iter().find(known).is_some() {
        inner.extend(body);
        return inner.accept();
    }
    if body["until-ms"].as_u64().unwrap_or(0) <= inner.clock_ms() {
        return inner.conflict("late");
    }
    inner.extend(body);
    let gpus = number(body, "gpu").unwrap_or(1);
    if inner.used_gpus() + gpus > GPUS {
        return inner.conflict("room");
    }
    inner.runs.push(Run {
        task,
        run,
        began: Instant::now(),
        end: None,
        work: number(body, "work").map(Duration::from_millis),
        gpus,
        stop_at: None,
        fail_at: number(body, "fail").map(|ms| Instant::now() + Duration::from_millis(ms)),
    });
    inner.accept()
}

async fn run_stop(
    State(runner): State<Runner>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    runner.pass().await;
    runner.settle();
    let response = {
        let mut inner = runner.inner.lock().unwrap();
        match runner.check(&mut inner, &headers, &body) {
            Some(refusal) => refusal,
            None => {
                let task = body["task"].as_str().unwrap().to_owned();
                let run = body["run"].as_u64().unwrap();
                inner.bar(&task, run);
                let at = Instant::now() + Duration::from_millis(STOP_MS);
                let live = inner.runs.iter_mut().filter(|old| old.end.is_none());
                for old in live.filter(|old| old.task == task && old.run <= run) {
                    old.stop_at.get_or_insert(at);
                }
                inner.accept()
            }
        }
    };
    runner.note("run-stop", &body, &response);
    response
}

async fn pace(
    State(runner): State<Runner>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    runner.pass().await;
    let mut inner = runner.inner.lock().unwrap();
    let refusal = runner.check(&mut inner, &headers, &body);
    refusal.unwrap_or_else(|| inner.accept())
}

async fn hold(
    State(runner): State<Runner>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    runner.pass().await;
    runner.settle();
    {
        let mut inner = runner.inner.lock().unwrap();
        if let Some(refusal) = runner.check(&mut inner, &headers, &body) {
            drop(inner);
            runner.note("hold", &body, &refusal);
            return refusal;
        }
        inner.extend(&body);
        let seen = body["last-seen"].as_u64().unwrap_or(0);
        inner.ended.retain(|end| end.0 > seen);
    }
    let wait_ms = body["wait-ms"].as_u64().unwrap_or(0).min(2_000);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    while Instant::now() < until && runner.inner.lock().unwrap().ended.is_empty() {
        sleep(Duration::from_millis(10)).await;
        runner.settle();
    }
    // The response is lost if the runner was cut off meanwhile.
    runner.pass().await;
    let inner = runner.inner.lock().unwrap();
    let live = inner.runs.iter().filter(|run| run.end.is_none());
    let running: Vec<Value> = live
        .map(|run| {
            let worked = run.began.elapsed().as_millis();
            let percent = match run.work {
                Some(work) => (worked * 100 / work.as_millis().max(1)).min(100),
                None => 100,
            };
            json!([run.task, run.run, "", u64::try_from(percent).unwrap(), 0])
        })
        .collect();
    let ended = inner.ended.iter().take(500);
    let ended: Vec<Value> = ended
        .map(|(end, task, run, how)| json!([end, task, run, how, ""]))
        .collect();
    let lists = json!({
        "clock-ms": inner.clock_ms(), "born": inner.born, "running": running, "ended-runs": ended,
    });
    drop(inner);
    runner
        .record
        .add(format!("{}: hold {body}: 200 {lists}", runner.id));
    Json(lists).into_response()
}
