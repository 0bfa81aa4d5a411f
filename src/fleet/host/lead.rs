//! Carries out the actions of the election: reads and writes the store's `Lead` area, connects to
//! the leader, loads the stored state and leads.

use super::Leader;
use super::Parts;
use super::engine;
use super::engine::Engine;
use super::frame::Hello;
use super::link;
use super::link::Link;
use super::load;
use super::load::Loaded;
use super::load::Loading;
use super::relay::Shared;
use super::watch;
use crate::fleet::Event;
use crate::fleet::clock::steady_ms;
use crate::fleet::election::Action;
use crate::fleet::election::Candidate;
use crate::fleet::election::Election;
use crate::fleet::election::Input;
use crate::fleet::election::LeadState;
use crate::fleet::election::LeaderRow;
use crate::fleet::election::LinkError;
use crate::fleet::election::Outcome;
use crate::fleet::election::Predecessor;
use crate::fleet::gauge;
use crate::fleet::ports::Area;
use crate::fleet::ports::Error;
use crate::fleet::ports::Terms;
use crate::fleet::row::Row;
use crate::prelude::*;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::future::Future;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::watch as channel;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep_until;

/// How long a read of the area may wait for a change, in milliseconds.
const LEAD_WAIT_MS: u64 = 10_000;
/// The time between two updates of the successor, in milliseconds.
const SUCCESSOR_UPDATE_MS: u64 = 500;
/// How long a VM must have been connected to be preferred as the successor, in milliseconds.
const PREFERRED_AFTER_MS: u64 = 2_000;
/// The most task events that may wait to be handled.
const MAX_QUEUED: usize = 64;

/// Takes part in the election, as follower or leader, until the process ends.
pub(super) async fn run(
    parts: Parts,
    leader: channel::Sender<Leader>,
    mut stopping: channel::Receiver<bool>,
    shared: Arc<Shared>,
) {
    let (tx, mut rx) = mpsc::channel(MAX_QUEUED);
    let election = Election::new(Candidate {
        name: parts.name.clone(),
        addr: parts.peer_addr.to_string(),
        boot: parts.boot,
        cpu_milli: parts.cpu_milli,
    });
    let hello = Hello {
        name: parts.name.to_string(),
        centre: parts.centre.to_string(),
        cpu_milli: parts.cpu_milli,
        eligible: false,
        addr: parts.peer_addr.to_string(),
        boot: parts.boot,
    };
    let mut driver = Driver {
        parts,
        leader,
        shared,
        election,
        hello: channel::channel(hello).0,
        tx,
        tasks: HashMap::new(),
        last_task: 0,
        link: None,
        engine: None,
        predecessor: None,
        next_update: 0,
    };
    driver.handle(Input::Tick);
    let mut stopped = false;
    loop {
        let wake = driver.wake_at();
        tokio::select! {
            Some((kind, number, event)) = rx.recv() => driver.task_event(kind, number, event),
            () = sleep_until(wake) => driver.tick(),
            seen = stopping.wait_for(|stopping| *stopping), if !stopped => {
                stopped = true;
                if seen.is_ok() {
                    driver.update_successor();
                    driver.handle(Input::Shutdown);
                }
            }
        }
    }
}

/// The kinds of tasks; a new task replaces the last of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Kind {
    Read,
    Watch,
    Write,
    Link,
    Load,
    Engine,
    Configs,
    Sightings,
}

/// An event from a task.
enum TaskEvent {
    /// An input for the election.
    Input(Input),
    /// The connection to the leader of this epoch is open.
    Connected(Link, u64),
    /// Loading has ended.
    Loaded(Result<Box<Loaded>, String>),
    /// The engine has stopped, for this reason.
    Ended(String),
}

/// Sends events with the kind and number of their task.
type Sender = mpsc::Sender<(Kind, u64, TaskEvent)>;

/// Drives the election: feeds it inputs and carries out its actions.
struct Driver {
    parts: Parts,
    leader: channel::Sender<Leader>,
    shared: Arc<Shared>,
    election: Election,
    hello: channel::Sender<Hello>,
    tx: Sender,
    /// The running tasks with their numbers.
    tasks: HashMap<Kind, (u64, JoinHandle<()>)>,
    last_task: u64,
    /// The connection to the leader, and its epoch.
    link: Option<(Link, u64)>,
    engine: Option<(Engine, u64)>,
    /// While this VM leads: the leader before it, until it is known to have ended.
    predecessor: Option<Predecessor>,
    next_update: u64,
}

impl Drop for Driver {
    fn drop(&mut self) {
        for (_, task) in self.tasks.values() {
            task.abort();
        }
    }
}

impl Driver {
    fn wake_at(&self) -> Instant {
        let now = steady_ms();
        let mut at = self.election.wake_at();
        if self.engine.is_some() {
            at = at.min(self.next_update);
        }
        // At most a day, for when nothing is due.
        let wait = at.saturating_sub(now).min(86_400_000);
        Instant::now() + Duration::from_millis(wait)
    }

    fn tick(&mut self) {
        if self.engine.is_some() && steady_ms() >= self.next_update {
            self.update_successor();
        }
        self.handle(Input::Tick);
    }

    /// Updates the VM that is to lead after this one, while this one leads.
    fn update_successor(&mut self) {
        let now = steady_ms();
        self.next_update = now + SUCCESSOR_UPDATE_MS;
        if self.engine.is_some() {
            let successor = self
                .shared
                .members()
                .successor(now.saturating_sub(PREFERRED_AFTER_MS));
            self.handle(Input::Successor(successor));
            self.check_predecessor();
        }
    }

    /// Tells the scheduler once the process that led before has ended.
    fn check_predecessor(&mut self) {
        let Some((engine, _)) = &self.engine else {
            return;
        };
        let members = self.shared.members();
        let ended = |before: &mut Predecessor| members.have_replaced(before);
        if let Some(before) = self.predecessor.take_if(ended) {
            log::info!(
                "TG1324 vm={} addr={} led before and runs another process now boot={}",
                before.name,
                before.addr,
                before.boot
            );
            let engine = engine.clone();
            tokio::spawn(async move { engine.send(Event::PredecessorEnded).await });
        }
    }

    /// Handles an event from a task, unless the task has been replaced.
    fn task_event(&mut self, kind: Kind, number: u64, event: TaskEvent) {
        if self
            .tasks
            .get(&kind)
            .is_none_or(|(known, _)| *known != number)
        {
            return;
        }
        match event {
            TaskEvent::Input(input) => {
                if let Input::Lost(error) = &input {
                    self.disconnected(error);
                }
                let leads = match &input {
                    Input::Heartbeat(heartbeat) => Some(heartbeat.leads),
                    _ => None,
                };
                self.handle(input);
                if let Some(leads) = leads {
                    self.publish_link(leads);
                }
            }
            TaskEvent::Connected(link, epoch) => {
                self.link = Some((link, epoch));
                self.handle(Input::Connected);
            }
            TaskEvent::Loaded(Ok(loaded)) => self.lead(*loaded),
            TaskEvent::Loaded(Err(why)) => {
                log::warn!("TG1306 cannot lead, loading the stored state failed: {why}");
                self.leader.send_replace(Leader::Unknown);
                self.handle(Input::Ended);
            }
            TaskEvent::Ended(why) => {
                self.stop_leading(&why);
                self.handle(Input::Ended);
            }
        }
    }

    /// Makes the connection available to calls while the VM at its other end leads.
    fn publish_link(&mut self, leads: bool) {
        let Some((link, epoch)) = &self.link else {
            return;
        };
        let published =
            matches!(&*self.leader.borrow(), Leader::Remote(_, known) if known == epoch);
        if leads && !published {
            log::info!("TG1302 epoch={epoch} relaying calls to its leader");
            self.leader
                .send_replace(Leader::Remote(link.clone(), *epoch));
        } else if !leads && published {
            self.leader.send_replace(Leader::Unknown);
        }
    }

    fn disconnected(&mut self, error: &LinkError) {
        if let Some((_, epoch)) = &self.link {
            log::warn!("TG1304 leader of epoch={epoch} lost: {error:?}");
        }
        self.clear_remote();
    }

    /// Makes another VM unavailable to calls as leader, unless this VM leads.
    fn clear_remote(&mut self) {
        if self.engine.is_none() {
            self.leader.send_if_modified(|leader| {
                let remote = matches!(leader, Leader::Remote(..));
                if remote {
                    *leader = Leader::Unknown;
                }
                remote
            });
        }
    }

    /// Passes an input to the election, and carries out the actions that result.
    fn handle(&mut self, input: Input) {
        let last_contact = self.shared.members().last_contact();
        let mut actions = VecDeque::from(self.election.step(steady_ms(), last_contact, input));
        while let Some(action) = actions.pop_front() {
            self.execute(action);
        }
        let eligible = self.election.is_eligible();
        self.hello
            .send_if_modified(|hello| std::mem::replace(&mut hello.eligible, eligible) != eligible);
        let store_lost = self.election.has_lost_store();
        self.leader
            .send_if_modified(|leader| match (&*leader, store_lost) {
                (Leader::Unknown, true) => {
                    *leader = Leader::StoreLost;
                    true
                }
                (Leader::StoreLost, false) => {
                    *leader = Leader::Unknown;
                    true
                }
                _ => false,
            });
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Read => self.read(),
            Action::Watch(from) => self.watch(from),
            Action::Write(terms, rows) => self.write(terms, rows),
            Action::Connect(row) => self.connect(row),
            Action::Disconnect => {
                self.abort(Kind::Link);
                self.link = None;
                self.clear_remote();
            }
            Action::Load(epoch) => self.load(epoch),
            Action::Resign => {
                if let Some((engine, _)) = self.engine.clone() {
                    tokio::spawn(async move { engine.finish().await });
                }
            }
            Action::Abort(why) => self.stop_leading(why),
        }
    }

    /// Starts a task, which replaces the last one of its kind.
    fn start<F: Future<Output = ()> + Send + 'static>(
        &mut self,
        kind: Kind,
        task: impl FnOnce(Reporter) -> F,
    ) {
        self.last_task += 1;
        let reporter = Reporter {
            tx: self.tx.clone(),
            kind,
            number: self.last_task,
        };
        let handle = tokio::spawn(task(reporter));
        if let Some((_, before)) = self.tasks.insert(kind, (self.last_task, handle)) {
            before.abort();
        }
    }

    fn abort(&mut self, kind: Kind) {
        if let Some((_, task)) = self.tasks.remove(&kind) {
            task.abort();
        }
    }

    fn read(&mut self) {
        let store = self.parts.store.clone();
        self.start(Kind::Read, |reporter| async move {
            let read = store.newest(Area::Lead).await;
            let lead = read
                .inspect_err(|error| log::debug!("the lead area cannot be read: {error}"))
                .ok()
                .map(|rows| LeadState::read(&rows));
            reporter.send(TaskEvent::Input(Input::Read(lead))).await;
        });
    }

    fn watch(&mut self, from: Offset) {
        let store = self.parts.store.clone();
        self.start(Kind::Watch, |reporter| async move {
            let read = store.read(Area::Lead, from, LEAD_WAIT_MS).await;
            let rows = read
                .inspect_err(|error| log::debug!("the lead area cannot be watched: {error}"))
                .ok();
            reporter
                .send(TaskEvent::Input(Input::Watched(from, rows)))
                .await;
        });
    }

    fn write(&mut self, terms: Terms, rows: Vec<Row>) {
        let store = self.parts.store.clone();
        self.start(Kind::Write, |reporter| async move {
            let sent = steady_ms();
            let result = store.append(Area::Lead, terms, &rows).await;
            let ms = steady_ms().saturating_sub(sent);
            log::info!("TG1303 lead area append terms={terms:?} result={result:?} ms={ms}");
            let outcome = match result {
                Ok(()) => Outcome::Stored,
                Err(Error::Moved | Error::Fenced) => Outcome::Moved,
                Err(Error::Declined(_)) => Outcome::Declined,
                Err(Error::Silent(_) | Error::Garbled(_)) => Outcome::Unknown,
            };
            reporter
                .send(TaskEvent::Input(Input::Wrote(outcome, ms)))
                .await;
        });
    }

    fn connect(&mut self, row: LeaderRow) {
        self.clear_remote();
        self.link = None;
        let hello = self.hello.subscribe();
        self.start(Kind::Link, |reporter| follow(row, hello, reporter));
    }

    fn load(&mut self, epoch: u64) {
        let lead = self.election.lead().and_then(|lead| lead.row.as_ref());
        let claim = lead.filter(|row| row.epoch == epoch);
        self.predecessor = claim.and_then(|row| row.before.clone());
        let loading = Loading::new(epoch, claim.is_some_and(LeaderRow::follows_ended));
        self.leader.send_replace(Leader::Loading(loading.clone()));
        let parts = self.parts.clone();
        self.start(Kind::Load, |reporter| async move {
            let loaded = load::load(&parts, &loading).await;
            reporter.send(TaskEvent::Loaded(loaded.map(Box::new))).await;
        });
    }

    /// Starts to lead with the loaded state.
    fn lead(&mut self, loaded: Loaded) {
        let Leader::Loading(loading) = self.leader.borrow().clone() else {
            return;
        };
        let epoch = loading.epoch;
        let Loaded {
            scheduler,
            fenced_at,
            config_at,
            directives,
            discovery,
        } = loaded;
        let (engine, task) =
            engine::new(self.parts.clone(), scheduler, epoch, config_at, fenced_at);
        let (store, events) = (self.parts.store.clone(), engine.clone());
        self.start(Kind::Configs, |_| {
            watch::follow_directives(store, events, directives)
        });
        let (store, events) = (self.parts.store.clone(), engine.clone());
        self.start(Kind::Sightings, |_| {
            watch::follow_sightings(store, events, discovery)
        });
        self.start(Kind::Engine, |reporter| async move {
            let why = task.run().await;
            reporter.send(TaskEvent::Ended(why)).await;
        });
        log::info!("TG1307 leading epoch={epoch}");
        gauge::leads(true);
        self.engine = Some((engine.clone(), epoch));
        self.leader.send_replace(Leader::Local(engine, epoch));
        self.handle(Input::Loaded);
        self.update_successor();
    }

    fn stop_leading(&mut self, why: &str) {
        for kind in [Kind::Load, Kind::Engine, Kind::Configs, Kind::Sightings] {
            self.abort(kind);
        }
        let epoch = self.engine.take().map(|(_, epoch)| epoch);
        log::info!("TG1308 epoch={epoch:?} stops leading: {why}");
        gauge::leads(false);
        self.leader.send_replace(Leader::Unknown);
    }
}

/// Sends the events of one task to the [`Driver`].
struct Reporter {
    tx: Sender,
    kind: Kind,
    number: u64,
}

impl Reporter {
    async fn send(&self, event: TaskEvent) {
        if self.tx.send((self.kind, self.number, event)).await.is_err() {
            log::debug!("the election ended before a result of task {:?}", self.kind);
        }
    }
}

/// Connects to the leader, and reports its heartbeats until the connection is lost.
async fn follow(row: LeaderRow, hello: channel::Receiver<Hello>, reporter: Reporter) {
    let error = match link::connect(&row.addr, hello).await {
        Ok((link, connection)) => {
            let mut heartbeats = link.heartbeat();
            reporter.send(TaskEvent::Connected(link, row.epoch)).await;
            let run = connection.run();
            tokio::pin!(run);
            loop {
                tokio::select! {
                    error = &mut run => break error,
                    Ok(()) = heartbeats.changed() => {
                        let heartbeat = *heartbeats.borrow_and_update();
                        if let Some(heartbeat) = heartbeat {
                            reporter.send(TaskEvent::Input(Input::Heartbeat(heartbeat.into()))).await;
                        }
                    }
                }
            }
        }
        Err(error) => error,
    };
    reporter.send(TaskEvent::Input(Input::Lost(error))).await;
}
