//! Tests of the runner's limits and faults.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use futures_util::future::join_all;
use std::io;
use std::time::Duration;
use trefoilgauge::prelude::Name;
use trefoilgauge_standins::client::Answer;
use trefoilgauge_standins::client::Client;
use trefoilgauge_standins::fault_rate::FaultRate;
use trefoilgauge_standins::runner::RunnerFaults;
use trefoilgauge_standins::runner::RunnerHandle;
use trefoilgauge_standins::runner::RunnerOptions;
use trefoilgauge_standins::runner::ServiceTime;
use trefoilgauge_standins::runner::WorkAnswer;
use trefoilgauge_standins::runner::digest;

type Fault = fn(&mut RunnerFaults);

const LONG: ServiceTime = ServiceTime {
    min_ms: 400,
    max_ms: 400,
};

async fn runner() -> RunnerHandle {
    RunnerHandle::spawn(RunnerOptions::default()).await.unwrap()
}

fn client() -> Client {
    Client::new(Duration::from_secs(20))
}

async fn work(client: &Client, runner: &RunnerHandle, id: &str) -> io::Result<Answer> {
    let url = format!("http://{}/v1/run/quick_check", runner.addr());
    let headers = [("x-request-id", id), ("idempotency-key", "key-1")];
    client.post(&url, &headers, id.to_owned()).await
}

#[tokio::test]
async fn an_answer_belongs_to_its_request() {
    let runner = runner().await;
    let answer = work(&client(), &runner, "r1").await.unwrap();
    let expected = WorkAnswer {
        request: "r1".into(),
        runner: "runner-1".into(),
        kind: "quick_check".into(),
        digest: digest(b"r1"),
        pad: String::new(),
    };
    assert_eq!(expected, answer.json().unwrap());
    assert_eq!(Some("r1"), answer.header("x-request-id"));
    work(&client(), &runner, "r2").await.unwrap();
    let tally = runner.tally();
    assert_eq!(1, tally.of_request("r1"));
    assert_eq!(1, tally.of_digest(&digest(b"r2")));
    assert_eq!(vec![Name::from("key-1")], tally.doubled(&["quick_check"]));
    assert!(tally.doubled(&["relief_scan"]).is_empty());
}

#[tokio::test]
async fn requests_over_the_slots_are_refused() {
    let runner = runner().await;
    runner.set_service("quick_check", LONG);
    let client = client();
    let calls = (0..12).map(|_| work(&client, &runner, "r"));
    let answers = join_all(calls).await;
    let busy = answers.iter().flatten().filter(|one| one.status == 429);
    assert_eq!(4, busy.count());
    assert_eq!(8, runner.counts().peak);
}

#[tokio::test]
async fn connections_over_the_limit_are_closed() {
    let options = RunnerOptions {
        connections: 2,
        ..RunnerOptions::default()
    };
    let runner = RunnerHandle::spawn(options).await.unwrap();
    runner.set_service("quick_check", LONG);
    let (one, two, three) = (client(), client(), client());
    let (first, second, third) = tokio::join!(
        work(&one, &runner, "r1"),
        work(&two, &runner, "r2"),
        async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            work(&three, &runner, "r3").await
        },
    );
    assert!(first.is_ok() && second.is_ok());
    assert!(third.is_err());
    assert!(runner.server().refused() > 0);
}

#[tokio::test]
async fn each_fault_has_its_effect() {
    let cases: [(&str, Fault, u16, u64); 8] = [
        ("leaving", |faults| faults.leaving = true, 503, 0),
        ("failing", |faults| faults.failing = true, 500, 0),
        (
            "truncated",
            |faults| faults.truncate = FaultRate::next(1),
            0,
            1,
        ),
        (
            "broken after",
            |faults| faults.break_after = FaultRate::share(100),
            0,
            1,
        ),
        (
            "broken before",
            |faults| faults.break_before = FaultRate::share(100),
            0,
            0,
        ),
        (
            "foreign",
            |faults| faults.foreign = FaultRate::share(100),
            200,
            1,
        ),
        ("late", |faults| faults.late_ms = 30, 200, 1),
        ("padded", |faults| faults.pad_bytes = 1_000_000, 200, 1),
    ];
    for (name, fault, status, runs) in cases {
        let runner = runner().await;
        runner.set(fault);
        let answer = work(&client(), &runner, "r").await;
        if name == "leaving" {
            assert_eq!(Some("true"), answer.as_ref().unwrap().header("x-leaving"));
        }
        let own = answer
            .as_ref()
            .is_ok_and(|one| one.header("x-request-id") == Some("r"));
        assert_eq!(status == 200 && name != "foreign", own, "{name}");
        assert_eq!(status, answer.map_or(0, |one| one.status), "{name}");
        assert_eq!(runs, runner.counts().runs, "{name}");
        runner.set(|faults| *faults = RunnerFaults::default());
        let answer = work(&client(), &runner, "r").await;
        assert_eq!(200, answer.unwrap().status, "{name} ends");
    }
}

#[tokio::test]
async fn a_leaving_runner_completes_running_requests() {
    let runner = runner().await;
    runner.set_service("quick_check", LONG);
    let client = client();
    let (running, late) = tokio::join!(work(&client, &runner, "r1"), async {
        while runner.counts().flight == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        runner.set(|faults| faults.leaving = true);
        work(&client, &runner, "r2").await
    });
    assert_eq!(200, running.unwrap().status);
    assert_eq!(503, late.unwrap().status);
}

#[tokio::test]
async fn open_connections_are_silenced_while_new_ones_work() {
    let runner = runner().await;
    let old = Client::new(Duration::from_millis(300));
    work(&old, &runner, "r1").await.unwrap();
    runner.server().silence_open();
    let silent = work(&old, &runner, "r2").await.unwrap_err();
    assert_eq!(io::ErrorKind::TimedOut, silent.kind());
    assert_eq!(200, work(&client(), &runner, "r3").await.unwrap().status);
    assert_eq!(0, runner.tally().of_request("r2"));
}

#[tokio::test]
async fn a_frozen_runner_answers_after_it_resumes() {
    let runner = runner().await;
    runner.set(|faults| faults.frozen = true);
    let client = client();
    let (answer, ()) = tokio::join!(work(&client, &runner, "r1"), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(0, runner.counts().runs);
        runner.set(|faults| faults.frozen = false);
    });
    assert_eq!(200, answer.unwrap().status);
}
