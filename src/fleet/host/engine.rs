//! The leader's task: feeds events to the scheduler, stores its decisions, then carries them out.

use super::super::Scheduler;
use super::CallError;
use super::CallResult;
use super::Parts;
use super::STALLED_RETRY_MS;
use super::declines::Declines;
use super::dispatcher::Dispatcher;
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
use crate::fleet::mandate::Mandate;
use crate::fleet::mandate::Permit;
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

/// The most inputs that may wait for the scheduler.
const MAX_QUEUED: usize = 16_384;
/// The most inputs that are handled before tasks are placed again.
const MAX_BURST: usize = 256;
/// The time between two checks for what is due, in milliseconds.
const TICK_MS: u64 = 50;
/// The age of the last confirmation from which on an empty append confirms the lead again, in
/// milliseconds.
const CONFIRM_MS: u64 = 700;
/// The age of the last confirmation above which the leader does not reply that a job is absent, in
/// milliseconds: the wait for a confirmation, and as much again for a slow store.
const MAX_ABSENCE_AGE_MS: u64 = 2_000;
/// The age of the last confirmation from which on the lead is reported to other VMs as unconfirmed,
/// in milliseconds: a store that responds 60 times as slowly as usual confirms within 1.2 s, and
/// other VMs wait some time after the report.
pub(super) const MAX_CONFIRMED_AGE_MS: u64 = 1_000;
/// The duration of an append above which new jobs are refused, in milliseconds.
const STALLED_MS: u64 = 1_000;
/// The largest append, in bytes: half of the limit of the store.
const MAX_APPEND_BYTES: usize = 1_000_000;
/// The delay before a failed append is retried, in milliseconds.
const RETRY_MS: u64 = 30;

/// An input of the engine.
#[derive(Debug)]
pub(super) enum Input {
    /// An event for the scheduler.
    Event(Event),
    /// A call, and where its reply is sent.
    Call(Call, oneshot::Sender<Reply>),
    /// Store the decisions made so far, then stop.
    Finish,
}

/// The state of the engine that other tasks read.
#[derive(Debug, Default)]
pub(super) struct EngineStatus {
    /// When the store last confirmed the lead (local clock).
    pub(super) confirmed_at: AtomicU64,
    /// Whether the store keeps declining appends of this VM.
    pub(super) declines: Declines,
    /// When the configuration was last known to be the newest (local clock).
    pub(super) config_at: AtomicU64,
    /// Whether a configuration is in force.
    pub(super) ready: AtomicBool,
}

/// A handle to the running engine.
#[derive(Debug, Clone)]
pub(super) struct Engine {
    tx: mpsc::Sender<Input>,
    pub(super) status: Arc<EngineStatus>,
}

impl Engine {
    /// Answers a call.
    ///
    /// # Errors
    ///
    /// This VM stopped leading before it handled the call, or before it replied.
    pub(super) async fn call(&self, call: Call) -> CallResult {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Input::Call(call, tx)).await.is_err() {
            return Err(CallError::NotHandled);
        }
        rx.await.map_err(|_| CallError::OutcomeUnknown)
    }

    /// Sends an event to the scheduler.
    pub(super) async fn send(&self, event: Event) {
        if self.tx.send(Input::Event(event)).await.is_err() {
            log::debug!("an event is dropped: the lead was given up");
        }
    }

    /// Asks the engine to store the decisions made so far, then to stop.
    pub(super) async fn finish(&self) {
        if self.tx.send(Input::Finish).await.is_err() {
            log::debug!("the lead was given up already");
        }
    }

    /// Returns whether a configuration is in force.
    pub(super) fn is_ready(&self) -> bool {
        self.status.ready.load(Ordering::Relaxed)
    }

    /// Returns whether the store has confirmed the lead lately.
    pub(super) fn is_confirmed(&self) -> bool {
        !self.status.declines.is_persistent()
            && age(&self.status.confirmed_at) < MAX_CONFIRMED_AGE_MS
    }
}

/// Returns how long ago a time of the local clock was, in milliseconds.
pub(super) fn age(at: &AtomicU64) -> u64 {
    boot_ms().saturating_sub(at.load(Ordering::Relaxed))
}

/// The engine itself, run by [`EngineTask::run`].
#[derive(Debug)]
pub(super) struct EngineTask {
    rx: mpsc::Receiver<Input>,
    dispatcher: Dispatcher,
    status: Arc<EngineStatus>,
    scheduler: Scheduler,
    parts: Parts,
    epoch: u64,
    /// The number of the next append of this epoch.
    sequence: u64,
    callers: HashMap<u64, Caller>,
    last_call: u64,
    /// Rows that are not sent to the store yet.
    rows: Vec<Row>,
    /// Effects that wait until `rows` are stored.
    gated: Vec<Effect>,
    /// Whether the lead allows orders.
    mandate: Mandate,
    /// Orders that wait until the store has confirmed the lead again.
    unconfirmed: Vec<Effect>,
    /// Why this VM must stop leading, once it must.
    resigned: Option<String>,
    meter: Meter,
}

/// A caller that waits for a reply.
#[derive(Debug)]
struct Caller {
    tx: oneshot::Sender<Reply>,
    /// Since when (local clock).
    since: u64,
    /// The job that the call submits, if it submits one.
    job: Option<Name>,
}

/// A pending append.
struct Append {
    done: oneshot::Receiver<Result<u64, Error>>,
    since: u64,
    rows: usize,
    /// Effects to carry out once it is stored.
    effects: Vec<Effect>,
}

/// Makes the engine of a leader that read the configuration at `config_at` and whose lead was
/// confirmed by an append sent at `fenced_at` (local clock).
pub(super) fn new(
    parts: Parts,
    scheduler: Scheduler,
    epoch: u64,
    config_at: u64,
    fenced_at: u64,
) -> (Engine, EngineTask) {
    let (tx, rx) = mpsc::channel(MAX_QUEUED);
    let status = Arc::new(EngineStatus::default());
    status.confirmed_at.store(fenced_at, Ordering::Relaxed);
    status.config_at.store(config_at, Ordering::Relaxed);
    status.ready.store(scheduler.is_ready(), Ordering::Relaxed);
    let engine = Engine {
        tx: tx.clone(),
        status: status.clone(),
    };
    let task = EngineTask {
        rx,
        dispatcher: Dispatcher::new(&parts, tx, epoch),
        status,
        scheduler,
        parts,
        epoch,
        sequence: 0,
        callers: HashMap::new(),
        last_call: 0,
        rows: Vec::new(),
        gated: Vec::new(),
        mandate: Mandate::new(fenced_at),
        unconfirmed: Vec::new(),
        resigned: None,
        meter: Meter::new(TICK_MS),
    };
    (engine, task)
}

impl EngineTask {
    /// Leads until another VM does, or until asked to finish; returns the reason.
    pub(super) async fn run(mut self) -> String {
        let mut append: Option<Append> = None;
        let mut tick = tokio::time::interval(Duration::from_millis(TICK_MS));
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut finishing = false;
        loop {
            tokio::select! {
                input = self.rx.recv() => {
                    self.note_awake();
                    let stalled = append.as_ref().is_some_and(|a| boot_ms() > a.since + STALLED_MS);
                    let mut next = input;
                    for _ in 0..MAX_BURST {
                        match next {
                            Some(Input::Finish) => finishing = true,
                            Some(input) => self.handle(input, stalled),
                            None => break,
                        }
                        next = self.rx.try_recv().ok();
                    }
                    if let Some(input) = next {
                        self.handle(input, stalled);
                    }
                }
                result = wait_for(&mut append) => {
                    let Some(done) = append.take() else { continue };
                    match result {
                        Ok(sent) => {
                            self.confirmed(sent);
                            gauge::appended(done.rows, boot_ms().saturating_sub(done.since));
                            for effect in done.effects {
                                self.execute(effect);
                            }
                        }
                        Err(error) => self.resigned = Some(error.to_string()),
                    }
                }
                _ = tick.tick() => {
                    self.note_awake();
                    if append.as_ref().is_some_and(|a| boot_ms() > a.since + STALLED_MS) {
                        self.withdraw();
                    }
                    // Resigns if the store has not confirmed the lead for too long.
                    if let Some(order) = self.unconfirmed.pop() {
                        self.execute(order);
                    }
                    let (open, all, silent) = self.scheduler.counts();
                    gauge::state(age(&self.status.config_at), open, all, silent);
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
            self.status
                .ready
                .store(self.scheduler.is_ready(), Ordering::Relaxed);
            for effect in output.immediate {
                self.execute(effect);
            }
            self.rows.extend(output.rows);
            self.gated.extend(output.after_store);
            if append.is_none() {
                append = self.next_append(now);
            }
            if let Some(why) = self.resigned.take() {
                return why;
            }
            if finishing && append.is_none() && self.rows.is_empty() {
                return "asked to hand the lead over".to_owned();
            }
        }
    }

    /// Refuses the submissions of which nothing was sent, while the store does not respond.
    fn withdraw(&mut self) {
        let job_of = |call| {
            self.callers
                .get(&call)
                .and_then(|caller| caller.job.clone())
        };
        for job in withdraw(&mut self.rows, &mut self.gated, job_of) {
            log::info!(
                "TG1209 job={job} withdrawn: the store does not respond, and nothing of the job was sent to it"
            );
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
            self.execute(effect);
        }
    }

    fn handle(&mut self, input: Input, stalled: bool) {
        let now = boot_ms();
        match input {
            Input::Event(event) => {
                self.meter
                    .time(Part::Events, || self.scheduler.step(now, event));
            }
            Input::Finish => {}
            Input::Call(what, tx) => {
                if let Some(reply) = self.decline(&what, stalled) {
                    gauge::replied(&reply, 0);
                    if tx.send(reply).is_err() {
                        log::debug!("a caller has gone before its reply");
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

    /// Returns a refusal if the state of the configuration or the store allows no reliable reply.
    fn decline(&self, call: &Call, stalled: bool) -> Option<Reply> {
        if self.scheduler.has_stored(call) {
            return None;
        }
        let old = age(&self.status.config_at);
        let limit = self.parts.config_age_ms;
        let key_outdated = limit > 0 && !call.key.is_empty() && old > limit;
        // The state and the cancellation of a known job need no route, only the key.
        let route_outdated = old > self.parts.config_fresh_ms
            && match &call.operation {
                Operation::State | Operation::Cancel => !self.scheduler.has_job(&call.path),
                Operation::Submit(_) | Operation::Malformed(_) => true,
            };
        let stalled = stalled && matches!(call.operation, Operation::Submit(_));
        if !(key_outdated || route_outdated || stalled) {
            return None;
        }
        log::info!(
            "TG1203 call path={} declined config_age_ms={old} store_stalled={stalled}",
            call.path
        );
        Some(Reply::Unavailable {
            wait_ms: STALLED_RETRY_MS,
        })
    }

    /// Appends the rows that are ready, or confirms the lead with an empty append. Without rows,
    /// the gated effects are carried out at once.
    fn next_append(&mut self, now: u64) -> Option<Append> {
        let idle = self.rows.is_empty();
        if idle {
            for effect in std::mem::take(&mut self.gated) {
                self.execute(effect);
            }
            let wanted = !self.unconfirmed.is_empty() && !self.mandate.is_confirmed();
            if age(&self.status.confirmed_at) < CONFIRM_MS && !wanted {
                return None;
            }
        }
        let mut rows = self.next_rows();
        if self.rows.is_empty() {
            // They go along with an append that is sent in any case: nothing waits for them.
            rows.extend(self.scheduler.take_learned(now, wall_ms()));
        }
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
        if !rows.is_empty() {
            self.sequence += 1;
        }
        let store = self.parts.store.clone();
        let status = self.status.clone();
        let count = rows.len();
        tokio::spawn(async move {
            let result = append(&*store, terms, &rows, &status.declines).await;
            if tx.send(result).is_err() {
                log::debug!("an append was answered after the lead was given up");
            }
        });
        Some(Append {
            done,
            since: now,
            rows: count,
            effects,
        })
    }

    /// Removes the rows of one append from the rows to store.
    fn next_rows(&mut self) -> Vec<Row> {
        let mut bytes = 0;
        let fits = |row: &&Row| {
            bytes += row.bytes();
            bytes <= MAX_APPEND_BYTES
        };
        let count = self.rows.iter().take_while(fits).count();
        self.rows
            .drain(..count.max(1).min(self.rows.len()))
            .collect()
    }

    /// Records that the store has answered an append sent at `sent`, and carries out the orders that
    /// waited for that.
    fn confirmed(&mut self, sent: u64) {
        self.status.confirmed_at.fetch_max(sent, Ordering::Relaxed);
        self.note_awake();
        self.mandate.confirm(sent);
        if self.mandate.is_confirmed() {
            for order in std::mem::take(&mut self.unconfirmed) {
                self.execute(order);
            }
        }
    }

    /// Records that this process runs, and logs if it was suspended.
    fn note_awake(&mut self) -> u64 {
        let now = boot_ms();
        if let Some(paused_ms) = self.mandate.note_awake(now) {
            log::info!(
                "TG1325 epoch={} this process was suspended for {paused_ms} ms; new orders wait until the store confirms the lead again confirmed_ms={}",
                self.epoch,
                age(&self.status.confirmed_at)
            );
        }
        now
    }

    fn execute(&mut self, effect: Effect) {
        let now = self.note_awake();
        match self.mandate.permit(&effect, now) {
            Permit::Send => {}
            Permit::Confirm => {
                self.unconfirmed.push(effect);
                return;
            }
            Permit::Resign(silence) => {
                self.resigned = Some(format!(
                    "the store has not confirmed the lead for {silence} ms"
                ));
                return;
            }
        }
        match effect {
            Effect::Reply { call, reply } => self.answer(call, reply),
            Effect::EndsStored { at, born, number } => {
                self.scheduler
                    .step(boot_ms(), Event::EndsStored { at, born, number });
            }
            Effect::ClosureStored { job } => {
                self.scheduler.step(boot_ms(), Event::ClosureStored(job))
            }
            Effect::Resign { why } => self.resigned = Some(why),
            Effect::Start { at, run, .. }
                if !self.scheduler.may_send_start(boot_ms(), &at, &run) => {}
            order => {
                self.meter.count_order();
                self.meter
                    .time(Part::Orders, || self.dispatcher.dispatch(order));
            }
        }
    }

    fn answer(&mut self, call: u64, reply: Reply) {
        let Some(Caller { tx, since, .. }) = self.callers.remove(&call) else {
            return;
        };
        let absent = matches!(reply, Reply::Gone | Reply::Waiting(_));
        let reply = if absent && age(&self.status.confirmed_at) > MAX_ABSENCE_AGE_MS {
            Reply::Unavailable {
                wait_ms: STALLED_RETRY_MS,
            }
        } else {
            reply
        };
        gauge::replied(&reply, boot_ms().saturating_sub(since));
        if tx.send(reply).is_err() {
            log::debug!("a caller has gone before its reply");
        }
    }
}

/// Returns the job that a call submits, if it submits one.
fn submitted(call: &Call) -> Option<Name> {
    let id = call.path.rsplit('/').next()?;
    matches!(call.operation, Operation::Submit(_)).then(|| id.into())
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

/// Retries an append until it is known to be stored or to be impossible. Returns when the answered
/// attempt was sent (local clock). Records the result of each attempt in `declines`.
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
        declines.record(sent, &result);
        match result {
            Ok(()) => {
                if warned {
                    log::info!("TG1402 store append succeeded after retries");
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
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}
