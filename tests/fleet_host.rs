//! A VM's answers while it cannot find a leader; time is virtual.

#![expect(clippy::unwrap_used, reason = "helpers of tests")]

use std::future::pending;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;
use trefoilgauge::fleet::event::Ask;
use trefoilgauge::fleet::event::Call;
use trefoilgauge::fleet::event::Held;
use trefoilgauge::fleet::event::Ordered;
use trefoilgauge::fleet::event::Reading;
use trefoilgauge::fleet::event::Reply;
use trefoilgauge::fleet::event::Started;
use trefoilgauge::fleet::host;
use trefoilgauge::fleet::host::Host;
use trefoilgauge::fleet::host::Parts;
use trefoilgauge::fleet::model::RunId;
use trefoilgauge::fleet::ports::Area;
use trefoilgauge::fleet::ports::Directive;
use trefoilgauge::fleet::ports::Error;
use trefoilgauge::fleet::ports::Feed;
use trefoilgauge::fleet::ports::HoldOrder;
use trefoilgauge::fleet::ports::Page;
use trefoilgauge::fleet::ports::Result;
use trefoilgauge::fleet::ports::Rows;
use trefoilgauge::fleet::ports::Sighting;
use trefoilgauge::fleet::ports::StartOrder;
use trefoilgauge::fleet::ports::Store;
use trefoilgauge::fleet::ports::Target;
use trefoilgauge::fleet::ports::Terms;
use trefoilgauge::fleet::ports::Upstreams;
use trefoilgauge::fleet::ports::Wait;
use trefoilgauge::fleet::row::Row;
use trefoilgauge::fleet::timing::Timing;
use trefoilgauge::prelude::*;

/// A store that declines every call, or answers none.
#[derive(Debug, Default)]
struct Away {
    silent: AtomicBool,
}

impl Away {
    fn call<T: Send + 'static>(&self) -> Wait<'_, Result<T>> {
        if self.silent.load(Ordering::Relaxed) {
            return Box::pin(pending());
        }
        Box::pin(async { Err(Error::Declined("away".to_owned())) })
    }
}

impl Store for Away {
    fn page<'a>(&'a self, _: Area, _: &'a str) -> Wait<'a, Result<Page>> {
        self.call()
    }

    fn read(&self, _: Area, _: Offset, _: u64) -> Wait<'_, Result<Rows>> {
        self.call()
    }

    fn append<'a>(&'a self, _: Area, _: Terms, _: &'a [Row]) -> Wait<'a, Result<()>> {
        self.call()
    }

    fn directives(&self, _: Option<Offset>, _: u64) -> Wait<'_, Result<Feed<Directive>>> {
        self.call()
    }

    fn announce(&self, _: u64, _: bool) -> Wait<'_, Result<()>> {
        self.call()
    }

    fn sightings(&self, _: Option<Offset>) -> Wait<'_, Result<Feed<Sighting>>> {
        self.call()
    }
}

/// Upstreams that answer nothing.
#[derive(Debug)]
struct Nobody;

impl Upstreams for Nobody {
    fn start(&self, _: Target, _: StartOrder) -> Wait<'_, (Started, Option<Reading>)> {
        Box::pin(pending())
    }

    fn stop(&self, _: Target, _: RunId) -> Wait<'_, (Ordered, Option<Reading>)> {
        Box::pin(pending())
    }

    fn pace(&self, _: Target, _: RunId, _: u32) -> Wait<'_, Ordered> {
        Box::pin(pending())
    }

    fn hold(&self, _: Target, _: HoldOrder) -> Wait<'_, (Held, Option<Reading>)> {
        Box::pin(pending())
    }
}

async fn spawn(store: Arc<Away>) -> Host {
    let parts = Parts {
        name: "vm-1".into(),
        centre: "coast-1".into(),
        cpu_milli: 1_000,
        peer_addr: "127.0.0.1:0".parse().unwrap(),
        store,
        upstreams: Arc::new(Nobody),
        advisor: None,
        machines: None,
        timing: Timing {
            max_lease_ms: 6_000,
            stop_ms: 200,
            keep_ms: 120_000,
            restore_ms: 600,
            upkeep_ms: 2_000,
            advice: false,
            reclaim_ms: 2_700,
        },
        config_age_ms: 3_000,
        config_fresh_ms: 1_200,
        boot: 1,
    };
    host::spawn(parts).await.unwrap()
}

/// Makes a call with 3 s left; returns how long it took.
async fn refusal(host: &Host) -> Duration {
    let what = Call {
        host: "host".to_owned(),
        path: "/q/00000000000000aa".to_owned(),
        key: "key".to_owned(),
        ask: Ask::State,
    };
    let start = Instant::now();
    let reply = host.call(what, 3_000).await;
    assert!(matches!(reply, Reply::Unavailable { .. }), "{reply:?}");
    start.elapsed()
}

#[tokio::test(start_paused = true)]
async fn calls_are_refused_at_once_where_neither_a_leader_nor_the_store_is_reached() {
    let host = spawn(Arc::new(Away::default())).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(!host.is_ready());
    assert_eq!(refusal(&host).await, Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn calls_wait_for_a_leader_while_the_store_may_tell_of_one() {
    let store = Arc::new(Away::default());
    store.silent.store(true, Ordering::Relaxed);
    let host = spawn(store).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(refusal(&host).await > Duration::from_secs(1));
}
