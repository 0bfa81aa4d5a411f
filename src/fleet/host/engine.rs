//! The leader's task: feeds the scheduler, stores what it decides, then carries it out.

use super::super::Scheduler;
use super::Answer;
use super::Missed;
use super::Parts;
use super::STALLED_WAIT_MS;
use super::declines::Declines;
use super::hands::Hands;
use super::meter::Meter;
use super::meter::Part;
use super::withdraw::withdraw;
use crate::fleet::Effect;
use crate::fleet::Event;
use crate::fleet::clock::boot_ms;
use crate::fleet::clock::wall_ms;
use crate::fleet::event::Call;
use crate::fleet::event::Operation;
use crate::fleet::event::Reply;
use crate::fleet::gauge;
use crate::fleet::ports::Area;
use crate::fleet::ports::Error;
use crate::fleet::ports::Store;
use crate::fleet::ports::Terms;
use crate::fleet::row::Row;
use crate::prelude::*;
use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Events that may wait for the scheduler.
const MAX_QUEUED: usize = 16_384;
/// Events that are handled before the tasks are placed again.
const MAX_BURST: usize = 256;
/// The time between two looks at what is due, in milliseconds.
const TICK_MS: u64 = 50;
/// The time without an append after which the lead is confirmed by an empty one, in milliseconds.
const PROVE_MS: u64 = 700;
/// The age of the last confirmation up to which a VM says what does not exist, in milliseconds:
/// the wait for a confirmation, and as much again for a slow store.
const FRESH_MS: u64 = 2_000;
/// The age of the last confirmation from which on other VMs are told that it is missing, in
/// milliseconds: a store that answers 60 times as slowly as usual confirms within 1.2 s, and others
/// wait a while longer.
pub(super) const PROVEN_MS: u64 = 1_000;
/// The age of the last confirmation from which on no order is sent, in milliseconds: with a lease
/// on top, work outlives an outage of the store of 10 s; the next leader waits as long for
/// upstreams that it cannot reach.
pub(super) const ORDERS_MS: u64 = 7_000;
/// The time that an append may take before new jobs are refused, in milliseconds.
const STALLED_MS: u64 = 1_000;
/// The most bytes of one append: half of what the store takes.
const APPEND_BYTES: usize = 1_000_000;
/// What a row takes beside its key and value, in bytes.
const ROW_EXTRA_BYTES: usize = 8;
/// The wait before an append is sent again, in milliseconds.
const AGAIN_MS: u64 = 30;

/// What the engine is told.
#[derive(Debug)]
pub(super) enum Input {
    /// An event for the scheduler.
    Event(Event),
    /// A call, and who waits for the reply.
    Call(Call, oneshot::Sender<Reply>),
    /// Store what is decided, and end.
    Leave,
}

/// What other tasks see of the engine.
#[derive(Debug, Default)]
pub(super) struct Gauges {
    /// When the lead was last confirmed by the store, own time.
    pub(super) proven_at: AtomicU64,
    /// Whether the store turns this VM away.
    pub(super) declines: Declines,
    /// When the configuration was last known to be the newest, own time.
    pub(super) config_at: AtomicU64,
    /// Whether a configuration is in force.
    pub(super) ready: AtomicBool,
}

/// A handle of the running engine.
#[derive(Debug, Clone)]
pub(super) struct Engine {
    tx: mpsc::Sender<Input>,
    pub(super) gauges: Arc<Gauges>,
}

impl Engine {
    /// Answers a call.
    ///
    /// # Errors
    ///
    /// This VM stopped leading before it had the call, or before it had replied.
    pub(super) async fn call(&self, what: Call) -> Answer {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Input::Call(what, tx)).await.is_err() {
            return Err(Missed::Declined);
        }
        rx.await.map_err(|_| Missed::Lost)
    }

    /// Tells the scheduler something.
    pub(super) async fn tell(&self, event: Event) {
        if self.tx.send(Input::Event(event)).await.is_err() {
            log::debug!("an event came after the lead was given up");
        }
    }

    /// Asks the engine to store what is decided, and end.
    pub(super) async fn leave(&self) {
        if self.tx.send(Input::Leave).await.is_err() {
            log::debug!("the lead was given up before");
        }
    }

    /// Tells whether a configuration is in force.
    pub(super) fn is_ready(&self) -> bool {
        self.gauges.ready.load(Ordering::Relaxed)
    }

    /// Tells whether the store has confirmed the lead lately.
    pub(super) fn is_proven(&self) -> bool {
        !self.gauges.declines.is_turned_away() && age(&self.gauges.proven_at) < PROVEN_MS
    }
}

/// Tells how long ago an own time was.
pub(super) fn age(at: &AtomicU64) -> u64 {
    boot_ms().saturating_sub(at.load(Ordering::Relaxed))
}

/// The engine before it runs.
#[derive(Debug)]
pub(super) struct Desk {
    rx: mpsc::Receiver<Input>,
    hands: Hands,
    gauges: Arc<Gauges>,
    scheduler: Scheduler,
    parts: Parts,
    epoch: u64,
    sequence: u64,
    callers: HashMap<u64, Caller>,
    last_call: u64,
    rows: Vec<Row>,
    gated: Vec<Effect>,
    resigned: Option<String>,
    meter: Meter,
}

/// Who waits for a reply.
#[derive(Debug)]
struct Caller {
    tx: oneshot::Sender<Reply>,
    /// Since when, own time.
    since: u64,
    /// The job that the call submits, if it does.
    job: Option<Name>,
}

/// An append under way.
struct Append {
    done: oneshot::Receiver<Result<u64, Error>>,
    since: u64,
    rows: usize,
    effects: Vec<Effect>,
}

/// Makes the engine of a leader that has read the configuration at `config_at`, own time.
pub(super) fn new(
    parts: Parts,
    scheduler: Scheduler,
    epoch: u64,
    config_at: u64,
) -> (Engine, Desk) {
    let (tx, rx) = mpsc::channel(MAX_QUEUED);
    let gauges = Arc::new(Gauges::default());
    gauges.proven_at.store(boot_ms(), Ordering::Relaxed);
    gauges.config_at.store(config_at, Ordering::Relaxed);
    gauges.ready.store(scheduler.is_ready(), Ordering::Relaxed);
    let engine = Engine {
        tx: tx.clone(),
        gauges: gauges.clone(),
    };
    let desk = Desk {
        rx,
        hands: Hands::new(&parts, tx, epoch),
        gauges,
        scheduler,
        parts,
        epoch,
        sequence: 0,
        callers: HashMap::new(),
        last_call: 0,
        rows: Vec::new(),
        gated: Vec::new(),
        resigned: None,
        meter: Meter::new(TICK_MS),
    };
    (engine, desk)
}

impl Desk {
    /// Leads until another VM does, or until told to leave; returns why.
    pub(super) async fn run(mut self) -> String {
        let mut append: Option<Append> = None;
        let mut tick = tokio::time::interval(Duration::from_millis(TICK_MS));
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut leaving = false;
        loop {
            tokio::select! {
                input = self.rx.recv() => {
                    let stalled = append.as_ref().is_some_and(|a| boot_ms() > a.since + STALLED_MS);
                    let mut next = input;
                    for _ in 0..MAX_BURST {
                        match next {
                            Some(Input::Leave) => leaving = true,
                            Some(input) => self.take(input, stalled),
                            None => break,
                        }
                        next = self.rx.try_recv().ok();
                    }
                    if let Some(input) = next {
                        self.take(input, stalled);
                    }
                }
                result = wait_for(&mut append) => {
                    let Some(done) = append.take() else { continue };
                    match result {
                        Ok(sent) => {
                            self.gauges.proven_at.fetch_max(sent, Ordering::Relaxed);
                            gauge::appended(done.rows, boot_ms().saturating_sub(done.since));
                            for effect in done.effects {
                                self.carry(effect);
                            }
                        }
                        Err(error) => self.resigned = Some(error.to_string()),
                    }
                }
                _ = tick.tick() => {
                    if append.as_ref().is_some_and(|a| boot_ms() > a.since + STALLED_MS) {
                        self.withdraw();
                    }
                    let (open, all, silent) = self.scheduler.counts();
                    gauge::state(age(&self.gauges.config_at), open, all, silent);
                    self.meter.tick(self.rx.len());
                }
            }
            let now = boot_ms();
            let (output, took) = self
                .meter
                .time(Part::Decisions, || self.scheduler.finish(now, wall_ms()));
            if output.planned {
                self.scheduler.delay_planning(boot_ms(), took);
            }
            self.gauges
                .ready
                .store(self.scheduler.is_ready(), Ordering::Relaxed);
            for effect in output.immediate {
                self.carry(effect);
            }
            self.rows.extend(output.rows);
            self.gated.extend(output.after_store);
            if append.is_none() {
                append = self.next_append(now);
            }
            if let Some(why) = self.resigned.take() {
                return why;
            }
            if leaving && append.is_none() && self.rows.is_empty() {
                return "told to leave".to_owned();
            }
        }
    }

    /// Refuses submissions of which nothing was sent while the store does not respond.
    fn withdraw(&mut self) {
        let job_of = |call| {
            self.callers
                .get(&call)
                .and_then(|caller| caller.job.clone())
        };
        for job in withdraw(&mut self.rows, &mut self.gated, job_of) {
            log::info!("TG1209 job={job} withdrawn: the store does not respond, nothing was sent");
            self.scheduler.step(boot_ms(), Event::Withdrawn(job));
        }
        let (replies, rest) = std::mem::take(&mut self.gated)
            .into_iter()
            .partition(|effect| {
                matches!(
                    effect,
                    Effect::Reply {
                        reply: Reply::Unavailable { .. },
                        ..
                    }
                )
            });
        self.gated = rest;
        for effect in replies {
            self.carry(effect);
        }
    }

    fn take(&mut self, input: Input, stalled: bool) {
        let now = boot_ms();
        match input {
            Input::Event(event) => {
                self.meter
                    .time(Part::Events, || self.scheduler.step(now, event));
            }
            Input::Leave => {}
            Input::Call(what, tx) => {
                if let Some(reply) = self.decline(&what, stalled) {
                    gauge::replied(&reply, 0);
                    if tx.send(reply).is_err() {
                        log::debug!("a caller left before its reply");
                    }
                    return;
                }
                self.last_call += 1;
                let caller = Caller {
                    tx,
                    since: now,
                    job: submitted(&what),
                };
                self.callers.insert(self.last_call, caller);
                let call = self.last_call;
                let event = Event::Called { call, what };
                self.meter
                    .time(Part::Events, || self.scheduler.step(now, event));
            }
        }
    }

    /// Declines a call that this VM cannot answer truthfully now.
    fn decline(&self, what: &Call, stalled: bool) -> Option<Reply> {
        if self.scheduler.has_stored(what) {
            return None;
        }
        let old = age(&self.gauges.config_at);
        let limit = self.parts.config_age_ms;
        let revocable = limit > 0 && !what.key.is_empty() && old > limit;
        // A known job's state and its cancellation depend on the key alone.
        let routed = old > self.parts.config_fresh_ms
            && match &what.operation {
                Operation::State | Operation::Cancel => !self.scheduler.has_job(&what.path),
                Operation::Submit(_) | Operation::Malformed(_) => true,
            };
        let stalled = stalled && matches!(what.operation, Operation::Submit(_));
        if !(revocable || routed || stalled) {
            return None;
        }
        log::info!(
            "TG1203 call path={} declined config_age_ms={old} store_stalled={stalled}",
            what.path
        );
        Some(Reply::Unavailable {
            wait_ms: STALLED_WAIT_MS,
        })
    }

    /// Sends what is to be stored, or confirms the lead; effects that wait for nothing go out.
    fn next_append(&mut self, now: u64) -> Option<Append> {
        let idle = self.rows.is_empty();
        if idle {
            for effect in std::mem::take(&mut self.gated) {
                self.carry(effect);
            }
            if age(&self.gauges.proven_at) < PROVE_MS {
                return None;
            }
        }
        let rows = self.next_rows();
        let effects = if self.rows.is_empty() {
            std::mem::take(&mut self.gated)
        } else {
            Vec::new()
        };
        let (tx, done) = oneshot::channel();
        let terms = Terms::Epoch {
            epoch: self.epoch,
            sequence: self.sequence,
        };
        if !idle {
            self.sequence += 1;
        }
        let store = self.parts.store.clone();
        let gauges = self.gauges.clone();
        let count = rows.len();
        tokio::spawn(async move {
            let result = append(&*store, terms, &rows, &gauges.declines).await;
            if tx.send(result).is_err() {
                log::debug!("the lead was given up before an append was answered");
            }
        });
        Some(Append {
            done,
            since: now,
            rows: count,
            effects,
        })
    }

    /// Takes the rows of one append.
    fn next_rows(&mut self) -> Vec<Row> {
        let mut bytes = 0;
        let fits = |row: &&Row| {
            bytes += row.key.len() + row.value.len() + ROW_EXTRA_BYTES;
            bytes <= APPEND_BYTES
        };
        let count = self.rows.iter().take_while(fits).count();
        self.rows
            .drain(..count.max(1).min(self.rows.len()))
            .collect()
    }

    fn carry(&mut self, effect: Effect) {
        let late = age(&self.gauges.proven_at) > ORDERS_MS;
        let orders = matches!(
            effect,
            Effect::Start { .. }
                | Effect::Stop { .. }
                | Effect::Pace { .. }
                | Effect::Hold { .. }
                | Effect::TakeDown { .. }
                | Effect::Announce { .. }
        );
        if late && orders {
            let silence = age(&self.gauges.proven_at);
            self.resigned = Some(format!(
                "the store has not confirmed the lead for {silence} ms"
            ));
            return;
        }
        match effect {
            Effect::Reply { call, reply } => self.answer(call, reply),
            Effect::EndsStored { at, number } => {
                self.scheduler
                    .step(boot_ms(), Event::EndsStored { at, number });
            }
            Effect::ClosureStored { job } => {
                self.scheduler.step(boot_ms(), Event::ClosureStored(job))
            }
            Effect::Resign { why } => self.resigned = Some(why),
            order => {
                self.meter.sent();
                self.meter.time(Part::Orders, || self.hands.carry(order));
            }
        }
    }

    fn answer(&mut self, call: u64, reply: Reply) {
        let Some(Caller { tx, since, .. }) = self.callers.remove(&call) else {
            return;
        };
        let absent = matches!(reply, Reply::Gone | Reply::Waiting(_));
        let reply = if absent && age(&self.gauges.proven_at) > FRESH_MS {
            Reply::Unavailable {
                wait_ms: STALLED_WAIT_MS,
            }
        } else {
            reply
        };
        gauge::replied(&reply, boot_ms().saturating_sub(since));
        if tx.send(reply).is_err() {
            log::debug!("a caller left before its reply");
        }
    }
}

/// Returns the job that a call submits, if it does.
fn submitted(what: &Call) -> Option<Name> {
    let id = what.path.rsplit('/').next()?;
    matches!(what.operation, Operation::Submit(_)).then(|| id.into())
}

async fn wait_for(append: &mut Option<Append>) -> Result<u64, Error> {
    match append {
        Some(append) => match (&mut append.done).await {
            Ok(result) => result,
            Err(_) => Err(Error::Silent("the append was dropped".to_owned())),
        },
        None => std::future::pending().await,
    }
}

/// Appends until it is certain that it is done or never will be; returns the own time at which
/// the answered attempt was sent. Notes each attempt in `declines`.
pub(super) async fn append(
    store: &dyn Store,
    terms: Terms,
    rows: &[Row],
    declines: &Declines,
) -> Result<u64, Error> {
    let mut warned = false;
    loop {
        let sent = boot_ms();
        let result = store.append(Area::Jobs, terms, rows).await;
        declines.note(sent, &result);
        match result {
            Ok(()) => {
                if warned {
                    log::info!("TG1402 store answers again");
                }
                return Ok(sent);
            }
            Err(error @ (Error::Fenced | Error::Moved)) => return Err(error),
            Err(error) => {
                gauge::store_failed("append");
                if !warned {
                    warned = true;
                    log::warn!("TG1401 store append failed, retrying: {error}");
                }
                tokio::time::sleep(Duration::from_millis(AGAIN_MS)).await;
            }
        }
    }
}
