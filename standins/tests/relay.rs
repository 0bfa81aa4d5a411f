//! The relay's cuts.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;
use trefoilgauge_standins::client::Client;
use trefoilgauge_standins::log::LogHandle;
use trefoilgauge_standins::log::LogOptions;
use trefoilgauge_standins::relay::Passes;
use trefoilgauge_standins::relay::RelayHandle;
use trefoilgauge_standins::relay::RelayOptions;

type Fault = fn(&mut Passes);

struct Bench {
    log: LogHandle,
    relay: RelayHandle,
    url: String,
}

impl Bench {
    async fn new() -> Self {
        let log = LogHandle::spawn(LogOptions::default()).await.unwrap();
        let target = log.addr();
        let relay = RelayHandle::spawn(RelayOptions { target }).await.unwrap();
        let url = format!("http://{}/v1/streams/control", relay.addr());
        Self { log, relay, url }
    }

    async fn append(&self, client: &Client) -> bool {
        let answer = client.post(&self.url, &[], "x").await;
        answer.is_ok_and(|one| one.status == 200)
    }

    fn stored(&self) -> usize {
        self.log.records("control").len()
    }
}

#[tokio::test]
async fn each_cut_has_its_effect() {
    let cases: [(&str, Fault, usize); 4] = [
        ("up", |passes| passes.up = false, 0),
        ("down", |passes| passes.down = false, 1),
        (
            "both",
            |passes| (passes.up, passes.down) = (false, false),
            0,
        ),
        ("closed", |passes| passes.accept = false, 0),
    ];
    for (name, cut, stored) in cases {
        let bench = Bench::new().await;
        bench.relay.set(cut);
        let client = Client::new(Duration::from_millis(300));
        assert!(!bench.append(&client).await, "{name}");
        assert_eq!(stored, bench.stored(), "{name}");
        bench.relay.set(|passes| *passes = Passes::default());
        let client = Client::new(Duration::from_secs(20));
        assert!(bench.append(&client).await, "{name} ends");
    }
}

#[tokio::test]
async fn open_connections_go_silent_or_end_while_new_ones_work() {
    let bench = Bench::new().await;
    let old = Client::new(Duration::from_millis(500));
    assert!(bench.append(&old).await);
    bench.relay.silence_open();
    assert!(!bench.append(&old).await);
    assert_eq!(1, bench.stored());
    let new = Client::new(Duration::from_secs(20));
    assert!(bench.append(&new).await);
    assert_eq!(1, bench.relay.connections());
    bench.relay.cut_open();
    while bench.relay.connections() > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let next = Client::new(Duration::from_secs(20));
    assert!(bench.append(&next).await, "a new connection takes over");
}
