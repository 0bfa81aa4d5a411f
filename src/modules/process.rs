//! Assembles a process from its modules and runs it.

use super::append;
use super::append::AppendQueue;
use super::audit;
use super::callers;
use super::checkpoint;
use super::checkpoint::Checkpoints;
use super::dispatch::Dispatcher;
use super::engine;
use super::engine::DiscardEffects;
use super::engine::EffectHandler;
use super::engine::Engine;
use super::engine::Ports;
use super::exchange::Exchange;
use super::lifecycle::Lifecycle;
use super::lifecycle::Trigger;
use super::log;
use super::log::Log;
use super::members;
use super::members::Members;
use super::ops;
use super::ops::Ops;
use super::peers;
use super::peers::Links;
use super::tail;
use super::tail::Position;
use super::timings::Timings;
use super::workers::Workers;
use crate::configs::Settings;
use crate::context::Context;
use crate::context::Process;
use crate::events;
use crate::events::Note;
use crate::platform::Role;
use crate::prelude::*;
use crate::reducer::Effect;
use crate::reducer::Event;
use crate::reducer::State;
use axum::Router;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;
use std::io;
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// The interval at which the state is polled, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;
/// The time limit of a stop for pending appends, and for each server to close, in milliseconds.
const FLUSH_TIMEOUT_MS: u64 = 3_000;
/// The delay before a failed load of the checkpoint is retried, in milliseconds.
const LOAD_RETRY_DELAY_MS: u64 = 500;

/// The result of starting a process.
pub type Result<T> = io::Result<T>;

/// A running process; dropping it aborts its tasks.
#[derive(Debug)]
pub struct Running {
    /// The bound address of the callers' API, for an entry process.
    pub callers: Option<SocketAddr>,
    /// The bound address of the operators' API.
    pub ops: SocketAddr,
    /// The bound address for peers.
    pub peers: SocketAddr,
    ctx: Arc<Context>,
    engine: Engine,
    append_queue: AppendQueue,
    audit: audit::PendingNotes,
    closing: watch::Sender<bool>,
    servers: Vec<JoinHandle<io::Result<()>>>,
    tasks: Vec<JoinHandle<()>>,
    _links: Links,
    _members: Members,
}

impl Drop for Running {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        for server in &self.servers {
            server.abort();
        }
    }
}

/// Starts a process.
///
/// # Errors
///
/// An address cannot be bound.
pub async fn spawn(process: Process, settings: Settings) -> Result<Running> {
    let ctx = Arc::new(Context::new(process, settings, engine::wall_ms()));
    let settings = &ctx.settings;
    let log: Arc<dyn Log> = Arc::new(log::open(&settings.log));
    let (engine, inbox) = engine::channel();
    let (append_queue, entries) = append::channel();
    let (audit, pending, auditing) = audit::spawn(ctx.clone(), log.clone());
    let (position, positions) = watch::channel(Position::default());
    let exchange = Arc::new(Exchange::default());
    let timings = Arc::new(Timings::default());
    let ports = ports(&ctx, &engine, &append_queue, audit, &log, &exchange);
    let mut tasks = vec![
        auditing,
        engine::spawn(ctx.clone(), State::default(), inbox, ports, timings.clone()),
        append::spawn(
            log.clone(),
            ctx.clone(),
            positions,
            entries,
            append_queue.pending.clone(),
        ),
    ];
    let (role, ops_listen, peers_listen) = match process {
        Process::Entry => (
            Role::Entry,
            &settings.ops.entry_listen,
            &settings.peers.entry_listen,
        ),
        Process::Placer => (
            Role::Placer,
            &settings.ops.placer_listen,
            &settings.peers.placer_listen,
        ),
    };
    let members = members::spawn(settings.peers.clone(), engine.clone());
    let list = members.list.clone();
    let links = peers::bind(ctx.clone(), peers_listen, role, engine.clone(), list).await?;
    let (closing, closed) = watch::channel(false);
    let operators = ops::router(Ops {
        ctx: ctx.clone(),
        engine: engine.clone(),
        metrics: metrics_handle(),
        timings,
    });
    let (ops, server) = serve(ops_listen, operators, closed.clone()).await?;
    let mut servers = vec![server];
    let mut callers = None;
    if process == Process::Entry {
        let router = callers::router(ctx.clone(), engine.clone(), exchange);
        let (addr, server) = serve(&settings.callers.listen, router, closed).await?;
        callers = Some(addr);
        servers.push(server);
    }
    tasks.push(tokio::spawn(follow_log(
        ctx.clone(),
        log,
        engine.clone(),
        position,
    )));
    tasks.push(tokio::spawn(watch_lifecycle(ctx.clone(), engine.clone())));
    Ok(Running {
        callers,
        ops,
        peers: links.addr,
        ctx,
        engine,
        append_queue,
        audit: pending,
        closing,
        servers,
        tasks,
        _links: links,
        _members: members,
    })
}

impl Running {
    /// Stops gracefully: refuses new work, completes calls in progress, and flushes pending appends.
    pub async fn drain(mut self) {
        self.engine.send(Event::Leave).await;
        Note::new(&events::PROCESS_DRAINING, &self.ctx.writer, 0).log();
        if self.callers.is_some() {
            let notice_ms = self.ctx.settings.callers.notice_ms;
            tokio::time::sleep(Duration::from_millis(notice_ms)).await;
        }
        self.engine.send(Event::Drain).await;
        let drain_ms = self.ctx.settings.callers.drain_ms;
        let end = Instant::now() + Duration::from_millis(drain_ms);
        while Instant::now() < end {
            let open = self.engine.query(|state, _| state.open_calls()).await;
            if open.unwrap_or(0) == 0 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        let flushed = Instant::now() + Duration::from_millis(FLUSH_TIMEOUT_MS);
        while Instant::now() < flushed
            && (self.append_queue.has_pending() || self.audit.has_pending())
        {
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        self.closing.send_replace(true);
        for server in std::mem::take(&mut self.servers) {
            let limit = Duration::from_millis(FLUSH_TIMEOUT_MS);
            drop(tokio::time::timeout(limit, server).await);
        }
        Note::new(&events::PROCESS_STOPPED, &self.ctx.writer, 0).log();
    }
}

/// Sends replies to the callers.
struct ReplyHandler {
    exchange: Arc<Exchange>,
}

impl EffectHandler for ReplyHandler {
    fn handle(&mut self, effect: Effect, _state: &State) {
        if let Effect::Reply { req, cfg, reply } = effect {
            self.exchange.close(&req, cfg, reply);
        }
    }
}

fn ports(
    ctx: &Arc<Context>,
    engine: &Engine,
    append_queue: &AppendQueue,
    audit: audit::Audit,
    log: &Arc<dyn Log>,
    exchange: &Arc<Exchange>,
) -> Ports {
    let entry = ctx.process == Process::Entry;
    let (dispatch, reply): (Box<dyn EffectHandler>, Box<dyn EffectHandler>) = match entry {
        true => (
            Box::new(Dispatcher::new(
                engine.clone(),
                exchange.clone(),
                ctx.settings.requests.liveness_ms,
            )),
            Box::new(ReplyHandler {
                exchange: exchange.clone(),
            }),
        ),
        false => (Box::new(DiscardEffects), Box::new(DiscardEffects)),
    };
    let (sync, checkpoint): (Box<dyn EffectHandler>, Box<dyn EffectHandler>) = match entry {
        true => (Box::new(DiscardEffects), Box::new(DiscardEffects)),
        false => (
            Box::new(Workers::new(ctx.settings.keeper.call_ms, engine.clone())),
            Box::new(Checkpoints::new(log.clone(), ctx.writer.clone(), ctx.boot)),
        ),
    };
    Ports {
        append: Box::new(append_queue.clone()),
        dispatch,
        reply,
        sync,
        note: Box::new(audit),
        checkpoint,
    }
}

/// Loads the newest checkpoint and follows the log from there; starts over when the log's retention
/// removed records that were not yet read.
async fn follow_log(
    ctx: Arc<Context>,
    log: Arc<dyn Log>,
    engine: Engine,
    position: watch::Sender<Position>,
) {
    let position = Arc::new(position);
    loop {
        let ledger = match checkpoint::load(&*log).await {
            Ok(ledger) => ledger,
            Err(error) => {
                ::log::warn!("cannot load a checkpoint: {error}");
                tokio::time::sleep(Duration::from_millis(LOAD_RETRY_DELAY_MS)).await;
                continue;
            }
        };
        let note = Note::new(&events::CHECKPOINT_LOADED, &ctx.writer, ledger.catalog.next);
        note.with("at", ledger.next).log();
        position.send_modify(|position| {
            position.config = ledger.catalog.next;
            position.control = ledger.next;
            position.truncated = false;
        });
        let restored = Event::Restore {
            ledger: Box::new(ledger),
        };
        if !engine.send(restored).await {
            return;
        }
        let tail = tail::spawn(log.clone(), engine.clone(), &ctx, position.clone());
        let mut truncated = position.subscribe();
        let gone = truncated
            .wait_for(|position| position.truncated)
            .await
            .is_err();
        drop(tail);
        if gone {
            return;
        }
    }
}

/// Drives the lifecycle's state machine, and logs when the process starts and becomes ready.
async fn watch_lifecycle(ctx: Arc<Context>, engine: Engine) {
    let mut machine = Lifecycle.state_machine();
    Note::new(&events::PROCESS_STARTED, &ctx.writer, 0)
        .with("boot", ctx.boot)
        .log();
    loop {
        let seen = engine.query(|state, _| {
            (
                state.restored,
                state.ready(),
                state.leaving,
                state.ledger.catalog.next,
            )
        });
        let Some((restored, ready, draining, cfg)) = seen.await else {
            return;
        };
        handle_trigger(&mut machine, restored.then_some(Trigger::Loaded));
        let before = *machine.state();
        let kind = match ready {
            true => Trigger::CaughtUp,
            false => Trigger::Outdated,
        };
        handle_trigger(&mut machine, Some(kind));
        handle_trigger(&mut machine, draining.then_some(Trigger::Drain));
        if *machine.state() != before && ready && !draining {
            Note::new(&events::PROCESS_READY, &ctx.writer, cfg).log();
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

fn handle_trigger(machine: &mut StateMachine<Lifecycle>, trigger: Option<Trigger>) {
    if let Some(trigger) = trigger {
        machine.handle(&trigger);
    }
}

async fn serve(
    listen: &str,
    router: Router,
    mut closed: watch::Receiver<bool>,
) -> Result<(SocketAddr, JoinHandle<io::Result<()>>)> {
    let listener = TcpListener::bind(listen).await?;
    let addr = listener.local_addr()?;
    let task = tokio::spawn(async move {
        axum::serve(listener, router)
            .with_graceful_shutdown(async move {
                drop(closed.wait_for(|closed| *closed).await);
            })
            .await
    });
    Ok((addr, task))
}

/// Returns a handle to the metrics recorder, which is installed once per operating-system process.
fn metrics_handle() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    let handle = HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            ::log::warn!("another metrics recorder is already installed");
        }
        handle
    });
    handle.clone()
}
