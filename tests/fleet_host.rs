//! VMs on a store in memory: the replies to calls while there is no leader, the leader is lost, or
//! the store stalls.

#![expect(clippy::unwrap_used, clippy::panic, reason = "test helpers")]

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::future::pending;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use trefoilgauge::fleet::election::LeadState;
use trefoilgauge::fleet::event::Call;
use trefoilgauge::fleet::event::Ended;
use trefoilgauge::fleet::event::Held;
use trefoilgauge::fleet::event::Operation;
use trefoilgauge::fleet::event::OrderOutcome;
use trefoilgauge::fleet::event::Reading;
use trefoilgauge::fleet::event::Reply;
use trefoilgauge::fleet::event::Report;
use trefoilgauge::fleet::event::RunProgress;
use trefoilgauge::fleet::event::Started;
use trefoilgauge::fleet::host;
use trefoilgauge::fleet::host::Host;
use trefoilgauge::fleet::host::Parts;
use trefoilgauge::fleet::model::Config;
use trefoilgauge::fleet::model::How;
use trefoilgauge::fleet::model::Listing;
use trefoilgauge::fleet::model::Queue;
use trefoilgauge::fleet::model::ResourceAmounts;
use trefoilgauge::fleet::model::RunId;
use trefoilgauge::fleet::model::Spec;
use trefoilgauge::fleet::model::Step;
use trefoilgauge::fleet::model::Workspace;
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
use trefoilgauge::fleet::token::EPOCH_STEP;
use trefoilgauge::prelude::*;

/// A store that declines every call, or responds to none if it is `silent`.
#[derive(Debug, Default)]
struct UnreachableStore {
    silent: AtomicBool,
}

impl UnreachableStore {
    fn call<T: Send + 'static>(&self) -> BoxFuture<'_, Result<T>> {
        if self.silent.load(Ordering::Relaxed) {
            return Box::pin(pending());
        }
        Box::pin(async { Err(Error::Declined("unreachable".to_owned())) })
    }
}

impl Store for UnreachableStore {
    fn page<'a>(&'a self, _: Area, _: &'a str) -> BoxFuture<'a, Result<Page>> {
        self.call()
    }

    fn read(&self, _: Area, _: Offset, _: u64) -> BoxFuture<'_, Result<Rows>> {
        self.call()
    }

    fn append<'a>(&'a self, _: Area, _: Terms, _: &'a [Row]) -> BoxFuture<'a, Result<()>> {
        self.call()
    }

    fn directives(&self, _: Option<Offset>, _: u64) -> BoxFuture<'_, Result<Feed<Directive>>> {
        self.call()
    }

    fn announce(&self, _: u64, _: bool) -> BoxFuture<'_, Result<()>> {
        self.call()
    }

    fn discovery(&self, _: Option<Offset>) -> BoxFuture<'_, Result<Feed<DiscoveryChange>>> {
        self.call()
    }
}

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

/// Upstreams that carry out every order, and record the starts.
#[derive(Debug, Default)]
struct ObedientUpstreams {
    started: Mutex<Vec<RunId>>,
    /// The number of appends of jobs so far, and when the last start was received.
    appends: Arc<AtomicU64>,
    appends_before: AtomicU64,
    /// Whether all runs have failed.
    fails: AtomicBool,
}

impl Upstreams for ObedientUpstreams {
    fn start(&self, _: Target, order: StartOrder) -> BoxFuture<'_, (Started, Option<Reading>)> {
        self.started.lock().unwrap().push(order.run);
        let appends = self.appends.load(Ordering::Relaxed);
        self.appends_before.store(appends, Ordering::Relaxed);
        Box::pin(async { (Started::Yes, None) })
    }

    fn stop(&self, _: Target, _: RunId) -> BoxFuture<'_, (OrderOutcome, Option<Reading>)> {
        Box::pin(async { (OrderOutcome::Yes, None) })
    }

    fn pace(&self, _: Target, _: RunId, _: u32) -> BoxFuture<'_, OrderOutcome> {
        Box::pin(async { OrderOutcome::Yes })
    }

    fn hold(&self, _: Target, _: HoldOrder) -> BoxFuture<'_, (Held, Option<Reading>)> {
        let started = self.started.lock().unwrap();
        let running = started.iter().map(|run| RunProgress {
            run: run.clone(),
            saved: String::new(),
            percent: 0,
            metric: 0,
        });
        let ended = (1..).zip(&*started).map(|(number, run)| Ended {
            number,
            run: run.clone(),
            how: How::Failed,
            saved: String::new(),
        });
        let fails = self.fails.load(Ordering::Relaxed);
        let report = Report {
            born: 1,
            running: running.filter(|_| !fails).collect(),
            ended: ended.filter(|_| fails).collect(),
            more: false,
        };
        Box::pin(async { (Held::Report(report), None) })
    }
}

fn parts(store: Arc<dyn Store>) -> Parts {
    Parts {
        name: "vm-1".into(),
        centre: "coast-1".into(),
        cpu_milli: 1_000,
        peer_addr: "127.0.0.1:0".parse().unwrap(),
        store,
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
    }
}

async fn spawn_alone(store: Arc<UnreachableStore>) -> Host {
    host::spawn(parts(store)).await.unwrap()
}

/// A store in memory.
#[derive(Debug, Default)]
struct MemoryStore {
    areas: Mutex<HashMap<Area, Vec<Row>>>,
    fence: AtomicU64,
    /// Whether appends of jobs are not stored, and get no response.
    stalled: AtomicBool,
    /// Whether appends of jobs are stored, but get no response.
    unacknowledged: AtomicBool,
    /// The epoch whose appends are declined; 0 for none.
    declined: AtomicU64,
    /// The configuration, if it is not the default one.
    config: Mutex<Option<Config>>,
    /// The number of appends of jobs.
    appends: Arc<AtomicU64>,
    /// The upstreams in discovery.
    listings: Vec<Listing>,
    /// For how long the process is suspended once as the response to rows of jobs is on its way, in
    /// milliseconds.
    suspend_ms: AtomicU64,
    /// Whether another VM takes the lead while it is suspended.
    replaced: AtomicBool,
}

impl MemoryStore {
    fn rows(&self, area: Area) -> Vec<Row> {
        let areas = self.areas.lock().unwrap();
        areas.get(&area).cloned().unwrap_or_default()
    }

    fn write(&self, area: Area, terms: Terms, rows: &[Row]) -> Result<()> {
        let mut areas = self.areas.lock().unwrap();
        let all = areas.entry(area).or_default();
        match terms {
            Terms::At(at) if at != all.len() as u64 => return Err(Error::Moved),
            Terms::Epoch { epoch, .. } if epoch < self.fence.load(Ordering::Relaxed) => {
                return Err(Error::Fenced);
            }
            Terms::Epoch { epoch, .. } => self.fence.store(epoch, Ordering::Relaxed),
            Terms::At(_) | Terms::Free => {}
        }
        all.extend_from_slice(rows);
        Ok(())
    }

    /// Suspends the process, all of which runs on one thread.
    fn suspend(&self) {
        let ms = self.suspend_ms.swap(0, Ordering::Relaxed);
        if ms > 0 && self.replaced.load(Ordering::Relaxed) {
            self.fence.fetch_add(1, Ordering::Relaxed);
        }
        std::thread::sleep(Duration::from_millis(ms));
    }

    fn lead(&self) -> LeadState {
        let rows = self.rows(Area::Lead);
        let end = rows.len() as u64;
        LeadState::read(&Rows { rows, end })
    }
}

impl Store for MemoryStore {
    fn page<'a>(&'a self, area: Area, _: &'a str) -> BoxFuture<'a, Result<Page>> {
        Box::pin(async move {
            let all = self.rows(area);
            let end = all.len() as u64;
            let newest: BTreeMap<String, Row> =
                all.into_iter().map(|row| (row.key.clone(), row)).collect();
            let rows = newest.into_values().filter(|row| !row.value.is_empty());
            Ok(Page {
                rows: rows.collect(),
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
            let unacknowledged = area == Area::Jobs && self.unacknowledged.load(Ordering::Relaxed);
            let declined = self.declined.load(Ordering::Relaxed);
            if matches!(terms, Terms::Epoch { epoch, .. } if epoch == declined) {
                return Err(Error::Declined("busy".to_owned()));
            }
            if area == Area::Jobs && self.stalled.load(Ordering::Relaxed) {
                tokio::time::sleep(Duration::from_millis(300)).await;
                return Err(Error::Silent("stalled".to_owned()));
            }
            self.write(area, terms, rows)?;
            if area == Area::Jobs {
                self.appends.fetch_add(1, Ordering::Relaxed);
            }
            if rows.iter().any(|row| row.key.starts_with("j.")) {
                self.suspend();
            }
            if unacknowledged {
                pending::<()>().await;
            }
            Ok(())
        })
    }

    fn directives(
        &self,
        from: Option<Offset>,
        wait_ms: u64,
    ) -> BoxFuture<'_, Result<Feed<Directive>>> {
        Box::pin(async move {
            let known = self.config.lock().unwrap().clone();
            let items = match from {
                None => vec![Directive::Config(Arc::new(known.unwrap_or_else(config)))],
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

    fn discovery(&self, from: Option<Offset>) -> BoxFuture<'_, Result<Feed<DiscoveryChange>>> {
        let listings = self.listings.iter().filter(|_| from.is_none());
        let items = listings.cloned().map(DiscoveryChange::Listed).collect();
        Box::pin(async move {
            Ok(Feed {
                items,
                next: 0,
                snapshot: from.is_none(),
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

/// Starts `count` VMs on one store, and returns them once all of them reply to calls.
async fn start_fleet(store: &Arc<MemoryStore>, count: u64) -> Vec<Host> {
    let mut vms = Vec::new();
    for number in 0..count {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let peer_addr = listener.local_addr().unwrap();
        drop(listener);
        let parts = Parts {
            name: format!("vm-{number}").into(),
            centre: format!("coast-{number}").into(),
            peer_addr,
            boot: number + 1,
            ..parts(store.clone())
        };
        vms.push(host::spawn(parts).await.unwrap());
    }
    for vm in &vms {
        wait_until(|| vm.is_ready()).await;
    }
    vms
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    for _ in 0..400 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the condition did not hold within 4 s");
}

fn call(id: u64, ask: Operation) -> Call {
    Call {
        host: "host".to_owned(),
        path: format!("/q/{id:016x}"),
        key: String::new(),
        operation: ask,
        nonce: 0,
    }
}

fn submission() -> Operation {
    let step = Step {
        count: 1,
        cpu: 1_000,
        estimate_ms: 100,
        ..Step::default()
    };
    Operation::Submit(Arc::new(Spec {
        text: "text".to_owned(),
        steps: vec![step],
        ..Spec::default()
    }))
}

/// A store declines the appends of the leader alone and serves the other VMs. A quick check may
/// wait about 1.5 s in all, including the time that its start takes.
#[tokio::test]
async fn a_leader_that_the_store_declines_is_replaced_while_a_quick_check_can_wait() {
    let store = Arc::new(MemoryStore::default());
    let vms = start_fleet(&store, 3).await;
    let follower = &vms[(leader_index(&store) + 1) % 3];
    // A VM claims the lead only after it has reached the store for 1 s.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    // With this append the store confirms the lead right before it starts to decline.
    let before = follower.call(call(1, submission()), 3_000).await;
    assert_eq!(before, Reply::Accepted);
    store.declined.store(EPOCH_STEP, Ordering::Relaxed);
    let start = Instant::now();
    let reply = follower.call(call(2, submission()), 3_000).await;
    assert_eq!(reply, Reply::Accepted);
    assert_eq!(store.lead().epoch(), 2 * EPOCH_STEP);
    let took = start.elapsed();
    assert!(took < Duration::from_millis(1_250), "{took:?}");
}

/// Returns the index of the VM that leads.
fn leader_index(store: &MemoryStore) -> usize {
    let name = store.lead().row.unwrap().name;
    name.strip_prefix("vm-").unwrap().parse().unwrap()
}

#[tokio::test]
async fn a_healthy_fleet_keeps_its_leader_and_its_connections() {
    let store = Arc::new(MemoryStore::default());
    let vms = start_fleet(&store, 6).await;
    for _ in 0..150 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert!(vms.iter().all(Host::is_ready));
    }
    assert_eq!(store.lead().epoch(), EPOCH_STEP);
    assert_eq!(store.lead().end, 1);
}

#[tokio::test]
async fn submissions_that_were_never_sent_to_a_stalled_store_are_refused_and_not_stored() {
    let store = Arc::new(MemoryStore::default());
    let vms = start_fleet(&store, 1).await;
    store.stalled.store(true, Ordering::Relaxed);
    let sent = vms[0].call(call(1, submission()), 3_000);
    let waits = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let start = Instant::now();
        let reply = vms[0].call(call(2, submission()), 3_000).await;
        (reply, start.elapsed())
    };
    let (sent, (reply, took)) = tokio::join!(sent, waits);
    assert_eq!(sent, Reply::Unknown);
    assert!(matches!(reply, Reply::Unavailable { .. }), "{reply:?}");
    assert!(took < Duration::from_millis(1_500), "{took:?}");
    store.stalled.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let first = vms[0].call(call(1, Operation::State), 1_000).await;
    assert!(matches!(first, Reply::State(_)), "{first:?}");
    assert_eq!(
        vms[0].call(call(2, Operation::State), 1_000).await,
        Reply::Gone
    );
    let rows = store.rows(Area::Jobs);
    assert!(!rows.iter().any(|row| row.key.ends_with("02")), "{rows:?}");
}

#[tokio::test]
async fn a_submission_whose_leader_is_lost_is_accepted_by_the_next_one() {
    let (reply, _) = submit_across_leaders(config(), config(), false).await;
    assert_eq!(reply, Reply::Accepted);
}

/// Submits job 1 to a follower, and drops the leader before it replies. The leader stores the job
/// if `stored`, and the next leader reads `after` as the configuration. Returns the reply, and
/// whether the job has a row at the end.
async fn submit_across_leaders(before: Config, after: Config, stored: bool) -> (Reply, bool) {
    let store = Arc::new(MemoryStore::default());
    *store.config.lock().unwrap() = Some(before);
    let mut vms = start_fleet(&store, 3).await;
    let lost = vms.remove(leader_index(&store));
    let silent = if stored {
        &store.unacknowledged
    } else {
        &store.stalled
    };
    silent.store(true, Ordering::Relaxed);
    let what = Call {
        key: "key".to_owned(),
        ..call(1, submission())
    };
    let submits = vms[0].call(what, 3_000);
    let fails = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        *store.config.lock().unwrap() = Some(after);
        drop(lost);
        silent.store(false, Ordering::Relaxed);
    };
    let (reply, ()) = tokio::join!(submits, fails);
    assert_eq!(store.lead().epoch(), 2 * EPOCH_STEP);
    let rows = store.rows(Area::Jobs);
    (reply, rows.iter().any(|row| row.key.starts_with("j.")))
}

/// A configuration whose queue requires a key, which it contains if `known`.
fn protected_config(known: bool) -> Config {
    let usual = config();
    let queue = Queue {
        public: false,
        ..(*usual.queues[0]).clone()
    };
    let workspace = Workspace {
        name: "a".into(),
        guaranteed: 0,
        weight: 1,
    };
    let key = ("key".to_owned(), Arc::new(workspace));
    Config {
        queues: vec![Arc::new(queue)],
        keys: HashMap::from_iter(known.then_some(key)),
        ..usual
    }
}

#[tokio::test]
async fn a_stored_submission_is_accepted_though_its_key_was_withdrawn_before_the_next_leader() {
    let result = submit_across_leaders(protected_config(true), protected_config(false), true).await;
    assert_eq!(result, (Reply::Accepted, true));
}

#[tokio::test]
async fn a_stored_submission_is_accepted_though_its_route_was_dropped_before_the_next_leader() {
    let dropped = Config {
        queues: Vec::new(),
        ..protected_config(true)
    };
    let result = submit_across_leaders(protected_config(true), dropped, true).await;
    assert_eq!(result, (Reply::Accepted, true));
}

#[tokio::test]
async fn a_submission_that_was_not_stored_is_refused_if_its_key_was_withdrawn() {
    let result =
        submit_across_leaders(protected_config(true), protected_config(false), false).await;
    assert_eq!(result, (Reply::BadKey, false));
}

/// A call is authenticated even if it repeats a submission that was accepted under its key.
#[tokio::test]
async fn a_repeated_submission_is_refused_after_its_key_was_withdrawn() {
    let store = Arc::new(MemoryStore::default());
    *store.config.lock().unwrap() = Some(protected_config(true));
    let mut vms = start_fleet(&store, 3).await;
    let lost = vms.remove(leader_index(&store));
    let what = Call {
        key: "key".to_owned(),
        ..call(1, submission())
    };
    assert_eq!(vms[0].call(what.clone(), 3_000).await, Reply::Accepted);
    *store.config.lock().unwrap() = Some(protected_config(false));
    drop(lost);
    wait_until(|| store.lead().epoch() == 2 * EPOCH_STEP && vms[0].is_ready()).await;
    assert_eq!(vms[0].call(what, 3_000).await, Reply::BadKey);
}

/// Makes a call with a time limit of 3 s that is refused; returns how long that took.
async fn refusal_time(vm: &Host) -> Duration {
    let what = Call {
        host: "host".to_owned(),
        path: "/q/00000000000000aa".to_owned(),
        key: "key".to_owned(),
        operation: Operation::State,
        nonce: 0,
    };
    let start = Instant::now();
    let reply = vm.call(what, 3_000).await;
    assert!(matches!(reply, Reply::Unavailable { .. }), "{reply:?}");
    start.elapsed()
}

#[tokio::test(start_paused = true)]
async fn calls_are_refused_at_once_if_neither_a_leader_nor_the_store_is_reached() {
    let vm = spawn_alone(Arc::new(UnreachableStore::default())).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(!vm.is_ready());
    assert_eq!(refusal_time(&vm).await, Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn calls_wait_for_a_leader_while_the_store_has_not_failed() {
    let store = Arc::new(UnreachableStore::default());
    store.silent.store(true, Ordering::Relaxed);
    let vm = spawn_alone(store).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(refusal_time(&vm).await > Duration::from_secs(1));
}

/// Sends frames with random bytes, and right, too large or random lengths.
#[tokio::test]
async fn malformed_frames_close_only_their_own_connection() {
    let store = Arc::new(MemoryStore::default());
    let vms = start_fleet(&store, 2).await;
    let addr = store.lead().row.unwrap().addr;
    let mut random = Pcg64::seed_from_u64(7);
    for round in 0..200_u32 {
        let mut stream = TcpStream::connect(&addr).await.unwrap();
        let mut bytes: Vec<u8> = (0..random.random_range(0..64))
            .map(|_| random.random())
            .collect();
        let length = match round % 3 {
            0 => u32::try_from(bytes.len()).unwrap(),
            1 => u32::MAX,
            _ => random.random_range(0..256),
        };
        let mut frame = length.to_be_bytes().to_vec();
        frame.append(&mut bytes);
        // The other end may have closed the connection already.
        let _sent = stream.write_all(&frame).await;
    }
    let reply = vms[0].call(call(1, submission()), 2_000).await;
    assert_eq!(reply, Reply::Accepted);
    assert!(vms.iter().all(Host::is_ready));
    assert_eq!(store.lead().epoch(), EPOCH_STEP);
}

/// Starts a VM with one upstream on a store.
async fn start_with_upstream(replaced: bool) -> (Arc<MemoryStore>, Arc<ObedientUpstreams>, Host) {
    let listing = Listing {
        id: "upstream-1".into(),
        addr: "10.0.0.1:80".into(),
        service: "service".into(),
        centre: "coast-1".into(),
        born: 1,
        room: ResourceAmounts {
            cpu: 8_000,
            ..ResourceAmounts::default()
        },
        labels: Vec::new(),
        clock_ms: 1_000,
        ready: true,
        left_ms: None,
    };
    let store = Arc::new(MemoryStore {
        listings: vec![listing],
        replaced: AtomicBool::new(replaced),
        ..MemoryStore::default()
    });
    let upstreams = Arc::new(ObedientUpstreams {
        appends: store.appends.clone(),
        ..ObedientUpstreams::default()
    });
    let vm = host::spawn(Parts {
        upstreams: upstreams.clone(),
        ..parts(store.clone())
    });
    let vm = vm.await.unwrap();
    wait_until(|| vm.is_ready()).await;
    (store, upstreams, vm)
}

/// Submits a job to a VM that is suspended before it hears that the job is stored; returns the starts
/// that its upstream has received by some time later. Another VM takes the lead meanwhile if
/// `replaced`.
async fn starts_after_suspension(replaced: bool) -> Vec<RunId> {
    let (store, upstreams, vm) = start_with_upstream(replaced).await;
    store.suspend_ms.store(400, Ordering::Relaxed);
    vm.call(call(1, submission()), 3_000).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    upstreams.started.lock().unwrap().clone()
}

/// Guards against starts that wait for a second append although the leader was only idle.
#[tokio::test]
async fn a_leader_without_work_does_not_count_as_suspended() {
    let (store, upstreams, vm) = start_with_upstream(false).await;
    let appends = || store.appends.load(Ordering::Relaxed);
    for _ in 0..2 {
        let before = appends();
        wait_until(|| appends() > before).await;
    }
    // Longer than the shortest suspension, and well before the lead is confirmed again.
    tokio::time::sleep(Duration::from_millis(400)).await;
    let before = appends();
    vm.call(call(1, submission()), 3_000).await;
    wait_until(|| !upstreams.started.lock().unwrap().is_empty()).await;
    let at_start = upstreams.appends_before.load(Ordering::Relaxed);
    assert_eq!(at_start - before, 1);
}

/// Guards against TWICE: a leader that was replaced while suspended starts what it had decided.
#[tokio::test]
async fn a_leader_that_was_suspended_and_replaced_starts_nothing() {
    assert_eq!(starts_after_suspension(true).await, Vec::new());
}

#[tokio::test]
async fn a_leader_that_was_suspended_starts_what_it_decided_once_its_lead_is_confirmed() {
    assert_eq!(starts_after_suspension(false).await.len(), 1);
}

/// Lets a leader learn that its upstream fails, and returns whether a row says so 2 s later. Another VM
/// takes the lead before if `fenced`.
async fn stores_failures(fenced: bool) -> bool {
    let (store, upstreams, vm) = start_with_upstream(false).await;
    vm.call(call(1, submission()), 3_000).await;
    upstreams.fails.store(true, Ordering::Relaxed);
    if fenced {
        store.fence.fetch_add(1, Ordering::Relaxed);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let rows = store.rows(Area::Jobs);
    rows.iter().any(|row| row.key == "m.upstream-1")
}

/// Guards against learned rows that never reach the store, or that two leaders write.
#[tokio::test]
async fn only_the_leader_that_the_store_admits_stores_what_it_learned() {
    assert!(stores_failures(false).await);
    assert!(!stores_failures(true).await);
}

/// A process that exits must reply to the calls that it has read.
#[tokio::test]
async fn pending_calls_are_answered_before_the_process_exits() {
    let store = Arc::new(MemoryStore::default());
    let vms = start_fleet(&store, 1).await;
    store.stalled.store(true, Ordering::Relaxed);
    let submits = vms[0].call(call(1, submission()), 3_000);
    let stops = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        vms[0].close_within(200);
    };
    let start = Instant::now();
    let (reply, ()) = tokio::join!(submits, stops);
    assert_eq!(reply, Reply::Unknown);
    assert!(start.elapsed() < Duration::from_millis(600));
}

#[tokio::test(start_paused = true)]
async fn a_call_that_waits_for_a_leader_is_refused_before_the_process_exits() {
    let store = Arc::new(UnreachableStore::default());
    store.silent.store(true, Ordering::Relaxed);
    let vm = spawn_alone(store).await;
    vm.close_within(300);
    assert_eq!(refusal_time(&vm).await, Duration::from_millis(300));
}
