//! Appends to and reads from a faulty log, over real sockets.

#![expect(clippy::unwrap_used, reason = "helpers of tests")]

use bytes::Bytes;
use futures_util::future::BoxFuture;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::watch;
use trefoilgauge::configs::Settings;
use trefoilgauge::context::Context;
use trefoilgauge::context::Process;
use trefoilgauge::modules::append;
use trefoilgauge::modules::append::AppendQueue;
use trefoilgauge::modules::engine;
use trefoilgauge::modules::engine::DiscardEffects;
use trefoilgauge::modules::engine::EffectHandler;
use trefoilgauge::modules::engine::Engine;
use trefoilgauge::modules::engine::Ports;
use trefoilgauge::modules::http;
use trefoilgauge::modules::log;
use trefoilgauge::modules::log::HttpLog;
use trefoilgauge::modules::log::Log;
use trefoilgauge::modules::tail;
use trefoilgauge::modules::tail::Position;
use trefoilgauge::modules::tail::Tail;
use trefoilgauge::platform::LogPage;
use trefoilgauge::prelude::*;
use trefoilgauge::records::Batch;
use trefoilgauge::records::Entry;
use trefoilgauge::records::WorkerState;
use trefoilgauge::reducer::Effect;
use trefoilgauge::reducer::Event;
use trefoilgauge::reducer::State;
use trefoilgauge::reducer::ledger::Ledger;
use trefoilgauge::reducer::ledger::Staged;
use trefoilgauge_standins::fault_rate::FaultRate;
use trefoilgauge_standins::log::LogHandle;
use trefoilgauge_standins::log::LogOptions;

/// The log's limit on the size of a record, in bytes.
const RECORD_MAX_BYTES: usize = 1_048_576;

/// A log server and the modules of a process that append to it and follow it.
struct Rig {
    server: LogHandle,
    engine: Engine,
    append_queue: AppendQueue,
    position: Arc<watch::Sender<Position>>,
    ctx: Arc<Context>,
    http: HttpLog,
}

/// A log whose first append reports a time-out and takes effect 300 ms later.
#[derive(Debug)]
struct Delayed {
    inner: HttpLog,
    once: AtomicBool,
}

impl Log for Delayed {
    fn append<'a>(&'a self, stream: &'a str, data: Bytes) -> BoxFuture<'a, log::Result<Offset>> {
        if !self.once.swap(false, Ordering::SeqCst) {
            return self.inner.append(stream, data);
        }
        let late = self.inner.clone();
        let stream = stream.to_owned();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(300)).await;
            late.append(&stream, data).await
        });
        Box::pin(async { Err(http::Error::Late) })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        most: u64,
        wait_ms: u64,
    ) -> BoxFuture<'a, log::Result<LogPage>> {
        self.inner.read(stream, from, most, wait_ms)
    }
}

impl Rig {
    async fn spawn() -> Self {
        let options = LogOptions {
            rate: 100_000,
            ..LogOptions::default()
        };
        let server = LogHandle::spawn(options).await.unwrap();
        let mut settings = Settings::default();
        settings.log.addr = server.addr().to_string().into();
        settings.log.call_ms = 400;
        settings.log.poll_ms = 100;
        settings.log.retry_ms = 20;
        let http = log::open(&settings.log);
        let ctx = Arc::new(Context::new(Process::Placer, settings, 1));
        let (engine, inbox) = engine::channel();
        let ports = Ports {
            append: Box::new(DiscardEffects),
            dispatch: Box::new(DiscardEffects),
            reply: Box::new(DiscardEffects),
            sync: Box::new(DiscardEffects),
            note: Box::new(DiscardEffects),
            checkpoint: Box::new(DiscardEffects),
        };
        engine::spawn(ctx.clone(), State::default(), inbox, ports, Arc::default());
        let (append_queue, _) = append::channel();
        Self {
            server,
            engine,
            append_queue,
            position: Arc::new(watch::channel(Position::default()).0),
            ctx,
            http,
        }
    }

    fn follow(&self) -> Tail {
        let http = Arc::new(self.http.clone());
        tail::spawn(http, self.engine.clone(), &self.ctx, self.position.clone())
    }

    fn append_to(&mut self, log: Arc<dyn Log>) {
        let (append_queue, entries) = append::channel();
        let pending = append_queue.pending.clone();
        let positions = self.position.subscribe();
        append::spawn(log, self.ctx.clone(), positions, entries, pending);
        self.append_queue = append_queue;
    }

    fn enqueue(&mut self, count: usize, bytes: usize) {
        for i in 0..count {
            let entry = Entry::Worker {
                worker: format!("worker-{i}").into(),
                state: WorkerState::Up,
                reason: "x".repeat(bytes),
            };
            self.append_queue
                .handle(Effect::Append(entry), &State::default());
        }
    }

    /// Waits until all queued entries are appended, and returns how often each one is applied.
    async fn entry_counts(&self) -> BTreeMap<Name, usize> {
        for _ in 0..1_000 {
            if !self.append_queue.has_pending() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(
            !self.append_queue.has_pending(),
            "not all entries were appended"
        );
        let mut ids = BTreeSet::new();
        let mut counts = BTreeMap::new();
        for record in self.server.records("control") {
            assert!(record.data.len() <= RECORD_MAX_BYTES);
            let batch: Batch = serde_json::from_str(&record.data).unwrap();
            if !ids.insert(batch.id.clone()) {
                continue;
            }
            for entry in batch.entries {
                if let Entry::Worker { worker, .. } = entry {
                    *counts.entry(worker).or_default() += 1;
                }
            }
        }
        counts
    }

    async fn ready(&self) -> bool {
        self.engine.query(|state, _| state.ready()).await.unwrap()
    }

    async fn wait_ready(&self, expected: bool) {
        for _ in 0..500 {
            if self.ready().await == expected {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(expected, self.ready().await);
    }
}

fn assert_once_each(counts: &BTreeMap<Name, usize>, expected: usize) {
    assert_eq!(expected, counts.len());
    assert!(counts.values().all(|count| *count == 1), "{counts:?}");
}

#[tokio::test]
async fn entries_are_applied_once_despite_failed_appends() {
    let faults: [fn(&LogHandle); 3] = [
        |log| log.set(|faults| faults.lose_answer = FaultRate::next(3)),
        |log| log.set(|faults| faults.drop_append = FaultRate::next(3)),
        |log| log.set(|faults| faults.outage = true),
    ];
    for fault in faults {
        let mut rig = Rig::spawn().await;
        let _tail = rig.follow();
        rig.append_to(Arc::new(rig.http.clone()));
        fault(&rig.server);
        rig.enqueue(600, 10);
        tokio::time::sleep(Duration::from_millis(150)).await;
        rig.server.set(|faults| faults.outage = false);
        assert_once_each(&rig.entry_counts().await, 600);
    }
}

#[tokio::test]
async fn an_append_that_takes_effect_after_its_retry_is_applied_once() {
    let mut rig = Rig::spawn().await;
    let _tail = rig.follow();
    rig.append_to(Arc::new(Delayed {
        inner: rig.http.clone(),
        once: AtomicBool::new(true),
    }));
    rig.enqueue(5, 10);
    assert_once_each(&rig.entry_counts().await, 5);
    while rig.server.records("control").len() < 2 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut ledger = Ledger::default();
    let repeats = rig.server.records("control").into_iter().map(|record| {
        let batch: Batch = serde_json::from_str(&record.data).unwrap();
        let applied = ledger.apply(record.offset, &batch, &mut Staged::default());
        let void = trefoilgauge::records::Void::Repeated;
        let verdicts = applied.verdicts.into_iter().map(|ruling| ruling.verdict);
        verdicts
            .filter(|verdict| *verdict == Err(void.clone()))
            .count()
    });
    assert_eq!(vec![0, 5], repeats.collect::<Vec<_>>());
}

#[tokio::test]
async fn batches_are_split_at_the_log_s_record_limit() {
    let mut rig = Rig::spawn().await;
    let _tail = rig.follow();
    rig.append_to(Arc::new(rig.http.clone()));
    rig.enqueue(60, 100_000);
    assert_once_each(&rig.entry_counts().await, 60);
    rig.enqueue(1, 2 * RECORD_MAX_BYTES);
    rig.enqueue(3, 10);
    let counts = rig.entry_counts().await;
    assert_eq!(60, counts.len(), "an entry larger than a record is dropped");
    assert_eq!(
        Some(&2),
        counts.get("worker-2"),
        "entries after it are appended"
    );
}

#[tokio::test]
async fn a_full_queue_drops_new_entries_and_is_still_drained() {
    let mut rig = Rig::spawn().await;
    let _tail = rig.follow();
    rig.server.set(|faults| faults.outage = true);
    rig.append_to(Arc::new(rig.http.clone()));
    rig.enqueue(append::ENTRIES_MAX + 500, 1);
    tokio::time::sleep(Duration::from_millis(50)).await;
    rig.server.set(|faults| faults.outage = false);
    let counts = rig.entry_counts().await;
    assert!(counts.len() >= append::ENTRIES_MAX && counts.contains_key("worker-0"));
    assert_once_each(&counts, counts.len());
}

#[tokio::test]
async fn a_reader_recovers_from_a_dead_connection() {
    let rig = Rig::spawn().await;
    let _tail = rig.follow();
    rig.wait_ready(true).await;
    rig.server.server().silence_open();
    rig.server.append("config", r#"{"schema":1}"#);
    let mut positions = rig.position.subscribe();
    let read = positions.wait_for(|position| position.config == 1);
    let limit = Duration::from_secs(10);
    assert!(tokio::time::timeout(limit, read).await.unwrap().is_ok());
}

#[tokio::test]
async fn a_record_that_waits_for_its_configuration_makes_the_process_unready() {
    let rig = Rig::spawn().await;
    let _tail = rig.follow();
    rig.wait_ready(true).await;
    let batch =
        r#"{"schema":1,"id":{"writer":"x","boot":1,"seq":1},"at_ms":1,"cfg":1,"entries":[]}"#;
    rig.server.append("control", batch);
    rig.wait_ready(false).await;
    rig.server.append("config", r#"{"schema":1}"#);
    rig.engine.send(Event::Members { list: vec![] }).await;
    rig.wait_ready(true).await;
}

#[tokio::test]
async fn a_reader_behind_the_log_s_retention_is_not_ready() {
    let rig = Rig::spawn().await;
    let tail = rig.follow();
    rig.wait_ready(true).await;
    drop(tail);
    for _ in 0..5 {
        rig.server.append("control", "{}");
    }
    rig.server.set_keep(1);
    let _tail = rig.follow();
    rig.wait_ready(false).await;
    assert!(rig.position.borrow().truncated);
}
