//! Runs the reducer: one task owns the state, takes events in order, and hands out effects.

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

/// The most events that wait for the reducer.
const INPUTS_MAX: usize = 16_384;
/// The time between two ticks, in milliseconds.
const TICK_MS: u64 = 20;

/// The time without a tick after which the process counts as paused, in milliseconds.
const PAUSE_MS: u64 = 1_000;

/// Carries out the effects of one kind.
pub trait Carry: Send {
    /// Starts carrying out an effect; never waits.
    fn carry(&mut self, effect: Effect, state: &State);
}

/// Drops effects of a kind that this process never has.
#[derive(Debug)]
pub struct Nowhere;

impl Carry for Nowhere {
    fn carry(&mut self, _effect: Effect, _state: &State) {}
}

/// Where each kind of effect goes.
pub struct Ports {
    /// Appends and touches.
    pub append: Box<dyn Carry>,
    /// Dispatches and abandons.
    pub dispatch: Box<dyn Carry>,
    /// Replies.
    pub reply: Box<dyn Carry>,
    /// Syncs of workers.
    pub sync: Box<dyn Carry>,
    /// Notes.
    pub note: Box<dyn Carry>,
    /// Checkpoints.
    pub checkpoint: Box<dyn Carry>,
}

impl fmt::Debug for Ports {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Ports")
    }
}

type Question = Box<dyn FnOnce(&State, Now) + Send>;

enum Input {
    Event(Event),
    Ask(Question),
}

/// A running reducer.
#[derive(Clone)]
pub struct Engine {
    inputs: mpsc::Sender<Input>,
}

impl fmt::Debug for Engine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Engine")
    }
}

/// The events that wait for a reducer that is not running yet.
pub struct Inbox {
    inputs: mpsc::Receiver<Input>,
}

impl fmt::Debug for Inbox {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Inbox")
    }
}

/// Makes the handle to a reducer and the inbox that it will read.
pub fn channel() -> (Engine, Inbox) {
    let (tx, rx) = mpsc::channel(INPUTS_MAX);
    (Engine { inputs: tx }, Inbox { inputs: rx })
}

impl Engine {
    /// Gives the reducer an event, waiting for room.
    ///
    /// Returns whether the reducer still runs.
    pub async fn tell(&self, event: Event) -> bool {
        self.inputs.send(Input::Event(event)).await.is_ok()
    }

    /// Gives the reducer an event if there is room at once.
    pub fn try_tell(&self, event: Event) -> bool {
        self.inputs.try_send(Input::Event(event)).is_ok()
    }

    /// Looks at the state; returns nothing if the reducer has stopped.
    pub async fn ask<T, F>(&self, look: F) -> Option<T>
    where
        T: Send + 'static,
        F: FnOnce(&State, Now) -> T + Send + 'static,
    {
        let (tx, rx) = oneshot::channel();
        let question: Question = Box::new(move |state, now| drop(tx.send(look(state, now))));
        self.inputs.send(Input::Ask(question)).await.ok()?;
        rx.await.ok()
    }
}

/// Runs the reducer until every handle is gone.
pub fn spawn(
    ctx: Arc<Context>,
    mut state: State,
    mut inbox: Inbox,
    mut ports: Ports,
    timings: Arc<Timings>,
) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        let clock = Clock::start();
        let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut last_ms = clock.now().mono_ms;
        loop {
            let input = tokio::select! {
                input = inbox.inputs.recv() => input,
                _ = ticks.tick() => Some(Input::Event(Event::Tick)),
            };
            let now = clock.now();
            if now.mono_ms > last_ms + PAUSE_MS {
                for effect in step(&ctx, &mut state, now, Event::MaybeStale) {
                    route(&mut ports, effect, &state);
                }
            }
            last_ms = now.mono_ms;
            match input {
                None => return,
                Some(Input::Ask(question)) => question(&state, now),
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
    port.carry(effect, state);
}

/// The two clocks of a process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the monotonic clock at a little above zero.
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

/// Returns the wall time in milliseconds since 1970; it jumps with the machine's time of day.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
