//! Tests of blocked directions and silenced or closed connections in the relay.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;
use trefoilgauge_standins::client::Client;
use trefoilgauge_standins::log::LogHandle;
use trefoilgauge_standins::log::LogOptions;
use trefoilgauge_standins::relay::Forwarding;
use trefoilgauge_standins::relay::RelayHandle;
use trefoilgauge_standins::relay::RelayOptions;

type Fault = fn(&mut Forwarding);

struct Fixture {
    log: LogHandle,
    relay: RelayHandle,
    url: String,
}

impl Fixture {
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
async fn each_fault_has_its_effect() {
    let cases: [(&str, Fault, usize); 4] = [
        ("up", |forwarding| forwarding.up = false, 0),
        ("down", |forwarding| forwarding.down = false, 1),
        (
            "both",
            |forwarding| (forwarding.up, forwarding.down) = (false, false),
            0,
        ),
        ("closed", |forwarding| forwarding.accept = false, 0),
    ];
    for (name, cut, stored) in cases {
        let fixture = Fixture::new().await;
        fixture.relay.set(cut);
        let client = Client::new(Duration::from_millis(300));
        assert!(!fixture.append(&client).await, "{name}");
        assert_eq!(stored, fixture.stored(), "{name}");
        fixture
            .relay
            .set(|forwarding| *forwarding = Forwarding::default());
        let client = Client::new(Duration::from_secs(20));
        assert!(fixture.append(&client).await, "{name} ends");
    }
}

#[tokio::test]
async fn open_connections_are_silenced_or_closed_while_new_ones_work() {
    let fixture = Fixture::new().await;
    let old = Client::new(Duration::from_millis(500));
    assert!(fixture.append(&old).await);
    fixture.relay.silence_open();
    assert!(!fixture.append(&old).await);
    assert_eq!(1, fixture.stored());
    let new = Client::new(Duration::from_secs(20));
    assert!(fixture.append(&new).await);
    assert_eq!(1, fixture.relay.connections());
    fixture.relay.cut_open();
    while fixture.relay.connections() > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let next = Client::new(Duration::from_secs(20));
    assert!(fixture.append(&next).await, "a new connection takes over");
}
