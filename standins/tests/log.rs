//! Tests of the stand-in log: offsets, retention, long polling, faults and the rate limit.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;
use trefoilgauge::platform::LogPage;
use trefoilgauge_standins::client::Client;
use trefoilgauge_standins::fault_rate::FaultRate;
use trefoilgauge_standins::log::LogFaults;
use trefoilgauge_standins::log::LogHandle;
use trefoilgauge_standins::log::LogOptions;
use trefoilgauge_standins::log::MAX_RECORD_BYTES;

type Fault = fn(&mut LogFaults);

struct Fixture {
    log: LogHandle,
    client: Client,
    url: String,
}

impl Fixture {
    async fn new(options: LogOptions) -> Self {
        let log = LogHandle::spawn(options).await.unwrap();
        let url = format!("http://{}/v1/streams/control", log.addr());
        let client = Client::new(Duration::from_secs(20));
        Self { log, client, url }
    }

    /// Appends a record and returns the HTTP status, or 0 if no response arrived.
    async fn append(&self, data: &str) -> u16 {
        let answer = self.client.post(&self.url, &[], data.to_owned()).await;
        answer.map_or(0, |answer| answer.status)
    }

    async fn read(&self, from: u64, wait_ms: u64) -> (u16, Option<LogPage>) {
        let url = format!("{}?from={from}&max=2&wait_ms={wait_ms}", self.url);
        let answer = self.client.get(&url).await.unwrap();
        (answer.status, answer.json().ok())
    }

    async fn texts(&self, from: u64) -> Vec<String> {
        let page = self.read(from, 0).await.1.unwrap();
        page.records.into_iter().map(|one| one.data).collect()
    }
}

#[tokio::test]
async fn records_are_read_from_an_offset_until_retention_drops_them() {
    let fixture = Fixture::new(LogOptions::default()).await;
    for data in ["a", "b", "c"] {
        assert_eq!(200, fixture.append(data).await);
    }
    assert_eq!(vec!["b", "c"], fixture.texts(1).await);
    assert_eq!(
        vec!["a", "b"],
        fixture.texts(0).await,
        "at most two records per page"
    );
    fixture.log.set_keep(1);
    let (_, page) = fixture.read(0, 0).await;
    let expected = LogPage {
        first: 2,
        next: 3,
        records: Vec::new(),
    };
    assert_eq!(Some(expected), page);
    let large = "x".repeat(MAX_RECORD_BYTES + 1);
    assert_eq!(413, fixture.append(&large).await);
    fixture.log.stop().await;
}

#[tokio::test]
async fn a_read_waits_for_the_first_record() {
    let fixture = Fixture::new(LogOptions::default()).await;
    let (read, appended) = tokio::join!(fixture.read(0, 15_000), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        fixture.append("late").await
    });
    assert_eq!(200, appended);
    assert_eq!("late", read.1.unwrap().records[0].data);
}

#[tokio::test]
async fn each_fault_has_its_effect() {
    let cases: [(&str, Fault, u16, bool); 4] = [
        ("outage", |faults| faults.outage = true, 503, false),
        (
            "lost answer",
            |faults| faults.lose_answer = FaultRate::next(1),
            0,
            true,
        ),
        (
            "dropped append",
            |faults| faults.drop_append = FaultRate::share(100),
            0,
            false,
        ),
        ("slow", |faults| faults.delay_ms = 30, 200, true),
    ];
    for (name, fault, status, stored) in cases {
        let fixture = Fixture::new(LogOptions::default()).await;
        fixture.log.set(fault);
        assert_eq!(status, fixture.append("x").await, "{name}");
        assert_eq!(stored, !fixture.log.records("control").is_empty(), "{name}");
        fixture.log.set(|faults| *faults = LogFaults::default());
        assert_eq!(200, fixture.append("y").await, "{name} ends");
    }
}

#[tokio::test]
async fn an_outage_ends_a_read_that_waits() {
    let fixture = Fixture::new(LogOptions::default()).await;
    let ((status, _), ()) = tokio::join!(fixture.read(0, 15_000), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        fixture.log.set(|faults| faults.outage = true);
    });
    assert_eq!(503, status);
}

#[tokio::test]
async fn appends_over_the_rate_are_refused() {
    let options = LogOptions {
        rate: 1,
        ..LogOptions::default()
    };
    let fixture = Fixture::new(options).await;
    let mut statuses = Vec::new();
    for _ in 0..8 {
        statuses.push(fixture.append("x").await);
    }
    assert_eq!(200, statuses[0]);
    assert!(statuses.contains(&429), "{statuses:?}");
    let counts = fixture.log.counts();
    assert_eq!(8, counts.appends + counts.limited);
}
