//! Runs the reducer: one task owns the state, applies events in order, and routes the effects.

use super::timings;
use super::timings::Timings;
use crate::context::Context;
use crate::prelude::*;
use crate::reducer::Effect;
use crate::reducer::Event;
use crate::reducer::Now;
use crate::reducer::State;
use crate::reducer::step;
use std::fmt;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// The maximum number of inputs that wait for the reducer.
const INPUTS_MAX: usize = 16_384;
/// The interval between ticks, in milliseconds.
const TICK_INTERVAL_MS: u64 = 20;

/// The time between two inputs above which the process is assumed to have been paused, in
/// milliseconds.
const PAUSE_THRESHOLD_MS: u64 = 1_000;

/// Executes the effects of one kind.
pub trait EffectHandler: Send {
    /// Starts executing an effect; must not block.
    fn handle(&mut self, effect: Effect, state: &State);
}

/// Discards effects; for kinds that this process never produces.
#[derive(Debug)]
pub struct DiscardEffects;

impl EffectHandler for DiscardEffects {
    fn handle(&mut self, _effect: Effect, _state: &State) {}
}

/// The handler for each kind of effect.
pub struct Ports {
    /// Handles appends and flushes.
    pub append: Box<dyn EffectHandler>,
    /// Handles dispatches and abandoned attempts.
    pub dispatch: Box<dyn EffectHandler>,
    /// Handles replies to callers.
    pub reply: Box<dyn EffectHandler>,
    /// Handles syncs of workers.
    pub sync: Box<dyn EffectHandler>,
    /// Handles notes, for the log and the audit stream.
    pub note: Box<dyn EffectHandler>,
    /// Handles checkpoints.
    pub checkpoint: Box<dyn EffectHandler>,
}

impl fmt::Debug for Ports {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Ports")
    }
}

type Query = Box<dyn FnOnce(&State, Now) + Send>;

enum Input {
    Event(Event),
    Query(Query),
}

/// A handle to a reducer.
#[derive(Clone)]
pub struct Engine {
    inputs: mpsc::Sender<Input>,
}

impl fmt::Debug for Engine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Engine")
    }
}

/// The receiving half of a reducer's input queue.
pub struct Inbox {
    inputs: mpsc::Receiver<Input>,
}

impl fmt::Debug for Inbox {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Inbox")
    }
}

/// Creates the handle and the inbox of a reducer, which [`spawn`] then runs.
pub fn channel() -> (Engine, Inbox) {
    let (tx, rx) = mpsc::channel(INPUTS_MAX);
    (Engine { inputs: tx }, Inbox { inputs: rx })
}

impl Engine {
    /// Sends an event to the reducer, waiting while the queue is full.
    ///
    /// Returns whether the reducer is still running.
    pub async fn send(&self, event: Event) -> bool {
        self.inputs.send(Input::Event(event)).await.is_ok()
    }

    /// Sends an event to the reducer unless the queue is full; returns whether it was queued.
    pub fn try_send(&self, event: Event) -> bool {
        self.inputs.try_send(Input::Event(event)).is_ok()
    }

    /// Evaluates `read` on the reducer's state; returns `None` if the reducer has stopped.
    pub async fn query<T, F>(&self, read: F) -> Option<T>
    where
        T: Send + 'static,
        F: FnOnce(&State, Now) -> T + Send + 'static,
    {
        let (tx, rx) = oneshot::channel();
        let query: Query = Box::new(move |state, now| drop(tx.send(read(state, now))));
        self.inputs.send(Input::Query(query)).await.ok()?;
        rx.await.ok()
    }
}

/// Starts the reducer's task, which ends once every handle is dropped.
pub fn spawn(
    ctx: Arc<Context>,
    mut state: State,
    mut inbox: Inbox,
    mut ports: Ports,
    timings: Arc<Timings>,
) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        let clock = Clock::start();
        let mut ticks = tokio::time::interval(Duration::from_millis(TICK_INTERVAL_MS));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut last_ms = clock.now().mono_ms;
        loop {
            let input = tokio::select! {
                input = inbox.inputs.recv() => input,
                _ = ticks.tick() => Some(Input::Event(Event::Tick)),
            };
            let now = clock.now();
            if now.mono_ms > last_ms + PAUSE_THRESHOLD_MS {
                for effect in step(&ctx, &mut state, now, Event::MaybeStale) {
                    route(&mut ports, effect, &state);
                }
            }
            last_ms = now.mono_ms;
            match input {
                None => return,
                Some(Input::Query(query)) => query(&state, now),
                Some(Input::Event(event)) => {
                    let name = timings::name(&event);
                    let start = Instant::now();
                    let effects = step(&ctx, &mut state, now, event);
                    timings.record(name, start.elapsed());
                    for effect in effects {
                        route(&mut ports, effect, &state);
                    }
                }
            }
        }
    })
}

fn route(ports: &mut Ports, effect: Effect, state: &State) {
    let port = match effect {
        Effect::Append(_) | Effect::FlushBatch => &mut ports.append,
        Effect::Dispatch(_) | Effect::Abandon { .. } => &mut ports.dispatch,
        Effect::Reply { .. } => &mut ports.reply,
        Effect::Sync { .. } => &mut ports.sync,
        Effect::Note(_) => &mut ports.note,
        Effect::Checkpoint => &mut ports.checkpoint,
    };
    port.handle(effect, state);
}

/// The monotonic and the wall clock of a process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the monotonic clock at 1 ms.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Reads both clocks.
    pub fn now(&self) -> Now {
        Now {
            mono_ms: self.start.elapsed().as_millis() as u64 + 1,
            wall_ms: wall_ms(),
        }
    }
}

/// Returns the wall time in milliseconds since 1970; it jumps when the machine's clock is set.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
