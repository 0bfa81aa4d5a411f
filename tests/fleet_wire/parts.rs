//! A VM on a store in memory, without upstreams.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpListener;
use trefoilgauge::fleet::election::LeadState;
use trefoilgauge::fleet::event::Call;
use trefoilgauge::fleet::event::Held;
use trefoilgauge::fleet::event::Operation;
use trefoilgauge::fleet::event::OrderOutcome;
use trefoilgauge::fleet::event::Reading;
use trefoilgauge::fleet::event::Started;
use trefoilgauge::fleet::host;
use trefoilgauge::fleet::host::Host;
use trefoilgauge::fleet::host::Parts;
use trefoilgauge::fleet::model::Config;
use trefoilgauge::fleet::model::Queue;
use trefoilgauge::fleet::model::RunId;
use trefoilgauge::fleet::ports::Area;
use trefoilgauge::fleet::ports::BoxFuture;
use trefoilgauge::fleet::ports::Directive;
use trefoilgauge::fleet::ports::DiscoveryChange;
use trefoilgauge::fleet::ports::Error;
use trefoilgauge::fleet::ports::Feed;
use trefoilgauge::fleet::ports::HoldOrder;
use trefoilgauge::fleet::ports::Page;
use trefoilgauge::fleet::ports::Result;
use trefoilgauge::fleet::ports::Rows;
use trefoilgauge::fleet::ports::StartOrder;
use trefoilgauge::fleet::ports::Store;
use trefoilgauge::fleet::ports::Target;
use trefoilgauge::fleet::ports::Terms;
use trefoilgauge::fleet::ports::Upstreams;
use trefoilgauge::fleet::row::Row;
use trefoilgauge::fleet::timing::Policy;
use trefoilgauge::fleet::timing::Timing;
use trefoilgauge::prelude::*;

/// Upstreams that do not respond to any order.
#[derive(Debug)]
struct SilentUpstreams;

impl Upstreams for SilentUpstreams {
    fn start(&self, _: Target, _: StartOrder) -> BoxFuture<'_, (Started, Option<Reading>)> {
        Box::pin(pending())
    }

    fn stop(&self, _: Target, _: RunId) -> BoxFuture<'_, (OrderOutcome, Option<Reading>)> {
        Box::pin(pending())
    }

    fn pace(&self, _: Target, _: RunId, _: u32) -> BoxFuture<'_, OrderOutcome> {
        Box::pin(pending())
    }

    fn hold(&self, _: Target, _: HoldOrder) -> BoxFuture<'_, (Held, Option<Reading>)> {
        Box::pin(pending())
    }
}

/// A store in memory.
#[derive(Debug, Default)]
pub(crate) struct MemoryStore {
    areas: Mutex<HashMap<Area, Vec<Row>>>,
}

impl MemoryStore {
    /// Appends a row.
    pub(crate) fn put(&self, area: Area, key: &str, value: Vec<u8>) {
        let key = key.to_owned();
        let mut areas = self.areas.lock().unwrap();
        areas.entry(area).or_default().push(Row { key, value });
    }

    /// Returns the newest value of a key.
    pub(crate) fn newest(&self, area: Area, key: &str) -> Option<Vec<u8>> {
        let rows = self.rows(area);
        rows.into_iter()
            .rfind(|row| row.key == key)
            .map(|row| row.value)
    }

    /// Reads the lead area.
    pub(crate) fn lead(&self) -> LeadState {
        let rows = self.rows(Area::Lead);
        let end = rows.len() as u64;
        LeadState::read(&Rows { rows, end })
    }

    fn rows(&self, area: Area) -> Vec<Row> {
        let areas = self.areas.lock().unwrap();
        areas.get(&area).cloned().unwrap_or_default()
    }
}

impl Store for MemoryStore {
    fn page<'a>(&'a self, area: Area, _: &'a str) -> BoxFuture<'a, Result<Page>> {
        Box::pin(async move {
            let all = self.rows(area);
            let end = all.len() as u64;
            let newest: BTreeMap<String, Row> =
                all.into_iter().map(|row| (row.key.clone(), row)).collect();
            Ok(Page {
                rows: newest.into_values().collect(),
                end,
                more: false,
            })
        })
    }

    fn read(&self, area: Area, from: Offset, wait_ms: u64) -> BoxFuture<'_, Result<Rows>> {
        Box::pin(async move {
            for _ in 0..=wait_ms / 5 {
                let all = self.rows(area);
                let end = all.len() as u64;
                if end > from {
                    let start = usize::try_from(from).unwrap();
                    let rows = all[start..].to_vec();
                    return Ok(Rows { rows, end });
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            let rows = Vec::new();
            Ok(Rows { rows, end: from })
        })
    }

    fn append<'a>(
        &'a self,
        area: Area,
        terms: Terms,
        rows: &'a [Row],
    ) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let mut areas = self.areas.lock().unwrap();
            let all = areas.entry(area).or_default();
            if matches!(terms, Terms::At(at) if at != all.len() as u64) {
                return Err(Error::Moved);
            }
            all.extend_from_slice(rows);
            Ok(())
        })
    }

    fn directives(
        &self,
        from: Option<Offset>,
        wait_ms: u64,
    ) -> BoxFuture<'_, Result<Feed<Directive>>> {
        Box::pin(async move {
            let items = match from {
                None => vec![Directive::Config(Arc::new(config()))],
                Some(_) => Vec::new(),
            };
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            Ok(Feed {
                items,
                next: 1,
                snapshot: from.is_none(),
            })
        })
    }

    fn announce(&self, _: u64, _: bool) -> BoxFuture<'_, Result<()>> {
        Box::pin(async { Ok(()) })
    }

    fn discovery(&self, _: Option<Offset>) -> BoxFuture<'_, Result<Feed<DiscoveryChange>>> {
        Box::pin(async {
            Ok(Feed {
                items: Vec::new(),
                next: 0,
                snapshot: false,
            })
        })
    }
}

fn config() -> Config {
    let queue = Queue {
        name: "q".into(),
        host: "host".into(),
        prefix: "/q/".into(),
        service: "service".into(),
        priority: 1,
        attempts: 2,
        stretch: 3.0,
        base_ms: 1_000,
        public: true,
        advice: None,
    };
    Config {
        version: 1,
        queues: vec![Arc::new(queue)],
        keys: HashMap::new(),
    }
}

/// Returns a listener on a free port, and its address.
pub(crate) fn listen() -> (TcpListener, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let addr = listener.local_addr().unwrap();
    (TcpListener::from_std(listener).unwrap(), addr)
}

/// Returns an address with a free port.
pub(crate) fn free_addr() -> SocketAddr {
    listen().1
}

/// Starts a VM that other VMs reach at `peer_addr`.
pub(crate) async fn spawn(name: &str, store: &Arc<MemoryStore>, peer_addr: SocketAddr) -> Host {
    let parts = Parts {
        name: name.into(),
        centre: "coast-1".into(),
        cpu_milli: 1_000,
        peer_addr,
        store: store.clone(),
        upstreams: Arc::new(SilentUpstreams),
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
            machine_lease_ms: 3_000,
            policy: Policy::default(),
        },
        config_age_ms: 3_000,
        config_fresh_ms: 1_200,
        boot: 1,
    };
    host::spawn(parts).await.unwrap()
}

pub(crate) async fn wait_until(mut condition: impl FnMut() -> bool) {
    for _ in 0..400 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the condition did not hold within 4 s");
}

/// Makes a call about the job with the identity `id`.
pub(crate) fn call(id: u64, operation: Operation) -> Call {
    Call {
        host: "host".to_owned(),
        path: format!("/q/{id:016x}"),
        key: String::new(),
        operation,
        nonce: 0,
    }
}
