//! Tests of the worker's leases, fencing and faults, and of the checks on its history.

use std::time::Duration;
use tokio::time::Instant;
use trefoilgauge::platform::SyncAnswer;
use trefoilgauge::platform::SyncCall;
use trefoilgauge::platform::TaskState;
use trefoilgauge::platform::Want;
use trefoilgauge::platform::WantedTask;
use trefoilgauge_standins::client::Client;
use trefoilgauge_standins::fault_rate::FaultRate;
use trefoilgauge_standins::serve::ConnectionMode;
use trefoilgauge_standins::worker::Tasks;
use trefoilgauge_standins::worker::WorkerHandle;
use trefoilgauge_standins::worker::WorkerOptions;
use trefoilgauge_standins::worker::history::End;
use trefoilgauge_standins::worker::history::History;
use trefoilgauge_standins::worker::history::Span;
use trefoilgauge_standins::worker::profiles::TaskProfile;

/// A worker whose clock the test sets explicitly.
struct Fixture {
    tasks: Tasks,
    options: WorkerOptions,
    start: Instant,
}

impl Fixture {
    fn new() -> Self {
        let options = WorkerOptions {
            checkpoint_ms: 100,
            usage_lag_ms: 200,
            ..WorkerOptions::default()
        };
        options.profiles.set("scan", TaskProfile::run(1_000));
        Self {
            tasks: Tasks::new(options.clone()),
            options,
            start: Instant::now(),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn sync(&mut self, ms: u64, as_of: u64, tasks: &[WantedTask]) -> SyncAnswer {
        let call = call(as_of, tasks);
        self.tasks.sync(&call, self.at(ms))
    }

    /// Syncs the single task "scan" and returns its state.
    fn scan(&mut self, ms: u64, as_of: u64, want: Want) -> TaskState {
        let answer = self.sync(ms, as_of, &[scan(want)]);
        answer.tasks[0].state
    }

    /// Returns the start, stop and end of each span, in milliseconds since the test started.
    fn spans(&self) -> Vec<(u64, Option<u64>, Option<End>)> {
        let zero = self.options.history.stamp(self.start);
        let spans = self.options.history.all().into_iter();
        spans
            .map(|one| {
                let stopped = one.stopped_ms.map(|ms| ms - zero);
                (one.started_ms - zero, stopped, one.end)
            })
            .collect()
    }
}

fn call(as_of: u64, tasks: &[WantedTask]) -> SyncCall {
    SyncCall {
        as_of,
        lease_ms: 500,
        tasks: tasks.to_vec(),
    }
}

fn scan(want: Want) -> WantedTask {
    WantedTask {
        job: "scan".into(),
        index: 0,
        token: 7,
        want,
        mask: 0b11,
        cores: 4,
        memory_gb: 8,
        checkpoint: true,
        kept_ms: 0,
    }
}

#[test]
fn a_task_runs_to_completion_under_renewed_leases() {
    let mut fixture = Fixture::new();
    assert_eq!(TaskState::Absent, fixture.scan(0, 1, Want::Run));
    assert_eq!(TaskState::Prepared, fixture.scan(0, 1, Want::Prepare));
    assert_eq!(TaskState::Running, fixture.scan(100, 2, Want::Run));
    let answer = fixture.sync(500, 2, &[scan(Want::Run)]);
    assert_eq!(200, answer.tasks[0].usage.run_ms, "the usage lags");
    fixture.scan(900, 2, Want::Run);
    assert_eq!(TaskState::Done, fixture.scan(1_200, 2, Want::Run));
    assert_eq!(vec![(100, Some(1_100), Some(End::Done))], fixture.spans());
}

#[test]
fn a_call_with_a_lower_as_of_changes_nothing() {
    let mut fixture = Fixture::new();
    fixture.scan(0, 5, Want::Prepare);
    fixture.scan(0, 5, Want::Run);
    let answer = fixture.sync(10, 4, &[]);
    assert_eq!(5, answer.as_of);
    assert_eq!(TaskState::Running, answer.tasks[0].state);
}

#[test]
fn a_lapsed_lease_stops_a_task_at_its_expiry() {
    let mut fixture = Fixture::new();
    fixture.scan(0, 1, Want::Prepare);
    fixture.scan(0, 1, Want::Run);
    assert_eq!(TaskState::Absent, fixture.scan(800, 1, Want::Run));
    assert_eq!(vec![(0, Some(500), Some(End::Lapsed))], fixture.spans());
}

#[test]
fn a_frozen_worker_checks_leases_first_when_it_resumes() {
    let mut fixture = Fixture::new();
    fixture.scan(0, 1, Want::Prepare);
    fixture.scan(0, 1, Want::Run);
    fixture.tasks.freeze(fixture.at(300));
    fixture.tasks.thaw(fixture.at(400));
    assert_eq!(TaskState::Running, fixture.scan(400, 1, Want::Run));
    fixture.tasks.freeze(fixture.at(600));
    fixture.tasks.thaw(fixture.at(950));
    assert_eq!(TaskState::Absent, fixture.scan(950, 1, Want::Run));
    assert_eq!(vec![(0, Some(600), Some(End::Lapsed))], fixture.spans());
}

#[test]
fn a_stop_keeps_a_checkpoint_and_the_next_placement_resumes() {
    let mut fixture = Fixture::new();
    fixture.scan(0, 1, Want::Prepare);
    fixture.scan(0, 1, Want::Run);
    assert_eq!(TaskState::Stopping, fixture.scan(300, 2, Want::Stop));
    let answer = fixture.sync(400, 2, &[scan(Want::Stop)]);
    assert_eq!(TaskState::Stopped, answer.tasks[0].state);
    assert_eq!(400, answer.tasks[0].kept_ms);
    let resumed = |want| WantedTask {
        token: 9,
        kept_ms: 400,
        ..scan(want)
    };
    fixture.sync(500, 3, &[resumed(Want::Prepare)]);
    fixture.sync(500, 3, &[resumed(Want::Run)]);
    fixture.sync(900, 3, &[resumed(Want::Run)]);
    let answer = fixture.sync(1_100, 3, &[resumed(Want::Run)]);
    assert_eq!(TaskState::Done, answer.tasks[0].state);
    let stopped = (0, Some(400), Some(End::Stopped));
    let done = (500, Some(1_100), Some(End::Done));
    assert_eq!(vec![stopped, done], fixture.spans());
}

#[test]
fn unnamed_tasks_are_stopped_and_their_resources_stay_held_until_then() {
    let mut fixture = Fixture::new();
    fixture.scan(0, 1, Want::Prepare);
    fixture.scan(0, 1, Want::Run);
    let other = WantedTask {
        job: "other".into(),
        ..scan(Want::Prepare)
    };
    let answer = fixture.sync(10, 2, std::slice::from_ref(&other));
    let states = |answer: &SyncAnswer| answer.tasks.iter().map(|one| one.state).collect::<Vec<_>>();
    assert_eq!(
        vec![TaskState::Absent, TaskState::Stopping],
        states(&answer)
    );
    let answer = fixture.sync(200, 2, &[other]);
    assert_eq!(vec![TaskState::Prepared], states(&answer));
    let wide = WantedTask {
        mask: 1 << 8,
        ..scan(Want::Prepare)
    };
    assert_eq!(
        vec![TaskState::Absent],
        states(&fixture.sync(300, 3, &[wide]))
    );
}

#[test]
fn a_restart_loses_tasks_and_a_failing_worker_fails_them() {
    let mut fixture = Fixture::new();
    fixture.scan(0, 9, Want::Prepare);
    fixture.scan(0, 9, Want::Run);
    fixture.tasks.restart(fixture.at(50));
    let answer = fixture.sync(60, 3, &[scan(Want::Run)]);
    assert_eq!((2, 3), (answer.boot, answer.as_of));
    assert_eq!(TaskState::Absent, answer.tasks[0].state);
    fixture.tasks.set_failing(true);
    fixture.scan(70, 3, Want::Prepare);
    assert_eq!(TaskState::Failed, fixture.scan(80, 3, Want::Run));
    let restarted = (0, Some(50), Some(End::Restarted));
    let failed = (80, Some(80), Some(End::Failed));
    assert_eq!(vec![restarted, failed], fixture.spans());
}

#[tokio::test]
async fn a_hundred_workers_answer_and_lose_answers() {
    let client = Client::new(Duration::from_secs(20));
    let mut workers = Vec::new();
    for _ in 0..100 {
        let worker = WorkerHandle::spawn(WorkerOptions::default()).await;
        workers.push(worker.unwrap());
    }
    for worker in &workers {
        let url = format!("http://{}/v1/sync", worker.addr());
        let body = serde_json::to_vec(&call(1, &[scan(Want::Prepare)])).unwrap();
        let headers = [("content-type", "application/json")];
        worker.set(|faults| faults.lose_answer = FaultRate::next(1));
        assert!(client.post(&url, &headers, body.clone()).await.is_err());
        assert_eq!(1, worker.held().len(), "the call took effect");
        worker.set(|faults| faults.restart_prepared = FaultRate::next(1));
        let answer = client.post(&url, &headers, body).await.unwrap();
        let answer: SyncAnswer = answer.json().unwrap();
        assert_eq!(TaskState::Prepared, answer.tasks[0].state);
        assert_eq!((2, 0), (worker.boot(), worker.held().len()), "it restarted");
    }
}

#[tokio::test]
async fn a_lease_lapses_in_the_history_of_a_worker_without_calls() {
    let options = WorkerOptions::default();
    options.profiles.set("scan", TaskProfile::run(600_000));
    let worker = WorkerHandle::spawn(options.clone()).await.unwrap();
    let client = Client::new(Duration::from_secs(20));
    let url = format!("http://{}/v1/sync", worker.addr());
    for want in [Want::Prepare, Want::Run] {
        let body = serde_json::to_vec(&call(1, &[scan(want)])).unwrap();
        let headers = [("content-type", "application/json")];
        client.post(&url, &headers, body).await.unwrap();
    }
    worker.server().set_connection_mode(ConnectionMode::Silent);
    while options.history.all()[0].end != Some(End::Lapsed) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[test]
fn the_history_checks_find_violations() {
    let span = |worker: &str, index, token, started_ms, stopped_ms, end| Span {
        worker: worker.into(),
        job: "scan".into(),
        index,
        token,
        mask: 1,
        started_ms,
        stopped_ms: Some(stopped_ms),
        end: Some(end),
    };
    let history = History::default();
    history.add(span("w1", 0, 1, 0, 100, End::Done));
    history.add(span("w2", 1, 1, 10, 100, End::Done));
    assert!(history.overlaps().is_empty());
    assert!(history.double_held().is_empty());
    assert!(history.partial("scan", 2, 10).is_empty());
    assert_eq!(1, history.partial("scan", 2, 9).len(), "partial for 10 ms");
    assert_eq!(
        1,
        history.partial("scan", 3, 1_000).len(),
        "one member is missing"
    );
    history.add(span("w3", 0, 2, 90, 300, End::Stopped));
    assert_eq!(2, history.overlaps().len(), "two tokens at once");
    assert_eq!(
        1,
        history.partial("scan", 2, 100).len(),
        "one member runs alone"
    );
    history.add(span("w3", 1, 2, 200, 250, End::Stopped));
    assert_eq!(1, history.double_held().len());
}
