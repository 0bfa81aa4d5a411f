//! Carries out what the election decides: reads and writes the lead's area, connects to the leader,
//! loads and leads.

use super::Desk;
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
use crate::fleet::clock::steady_ms;
use crate::fleet::election::Action;
use crate::fleet::election::Candidate;
use crate::fleet::election::Election;
use crate::fleet::election::Input;
use crate::fleet::election::Lead;
use crate::fleet::election::LeadRow;
use crate::fleet::election::Lost;
use crate::fleet::election::Outcome;
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

/// How long the store may wait for a change of the lead, in milliseconds.
const LEAD_WAIT_MS: u64 = 10_000;
/// The time between two looks at the VMs that could lead next, in milliseconds.
const NEXT_MS: u64 = 500;
/// How long a VM has been connected before it is preferred as the next leader, in milliseconds.
const STEADY_MS: u64 = 2_000;
/// Results of tasks that may wait to be handled.
const MAX_QUEUED: usize = 64;

/// Follows or takes the lead until the process ends.
pub(super) async fn run(
    parts: Parts,
    desk: channel::Sender<Desk>,
    mut leaving: channel::Receiver<bool>,
    shared: Arc<Shared>,
) {
    let (tx, mut rx) = mpsc::channel(MAX_QUEUED);
    let election = Election::new(Candidate {
        name: parts.name.clone(),
        addr: parts.peer_addr.to_string(),
        boot: parts.boot,
        milli: parts.cpu_milli,
    });
    let hello = Hello {
        name: parts.name.to_string(),
        centre: parts.centre.to_string(),
        milli: parts.cpu_milli,
        fit: false,
    };
    let mut voter = Voter {
        parts,
        desk,
        shared,
        election,
        hello: channel::channel(hello).0,
        tx,
        tasks: HashMap::new(),
        last_task: 0,
        link: None,
        engine: None,
        next_look: 0,
    };
    voter.handle(Input::Tick);
    let mut left = false;
    loop {
        let wake = voter.wake_at();
        tokio::select! {
            Some((kind, number, told)) = rx.recv() => voter.told(kind, number, told),
            () = sleep_until(wake) => voter.tick(),
            told = leaving.wait_for(|leaving| *leaving), if !left => {
                left = true;
                if told.is_ok() {
                    voter.look_for_next();
                    voter.handle(Input::Leave);
                }
            }
        }
    }
}

/// What a task is for; a new one replaces the last of its kind.
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

/// What a task tells.
enum Told {
    Input(Input),
    Linked(Link, u64),
    Loaded(Result<Box<Loaded>, String>),
    Ended(String),
}

type Sender = mpsc::Sender<(Kind, u64, Told)>;

struct Voter {
    parts: Parts,
    desk: channel::Sender<Desk>,
    shared: Arc<Shared>,
    election: Election,
    hello: channel::Sender<Hello>,
    tx: Sender,
    tasks: HashMap<Kind, (u64, JoinHandle<()>)>,
    last_task: u64,
    /// The connection to the leader, and its epoch.
    link: Option<(Link, u64)>,
    engine: Option<(Engine, u64)>,
    next_look: u64,
}

impl Drop for Voter {
    fn drop(&mut self) {
        for (_, task) in self.tasks.values() {
            task.abort();
        }
    }
}

impl Voter {
    fn wake_at(&self) -> Instant {
        let now = steady_ms();
        let mut at = self.election.wake_at();
        if self.engine.is_some() {
            at = at.min(self.next_look);
        }
        // A day, where nothing is due.
        let wait = at.saturating_sub(now).min(86_400_000);
        Instant::now() + Duration::from_millis(wait)
    }

    fn tick(&mut self) {
        if self.engine.is_some() && steady_ms() >= self.next_look {
            self.look_for_next();
        }
        self.handle(Input::Tick);
    }

    /// Tells the election which VM could lead after this one.
    fn look_for_next(&mut self) {
        let now = steady_ms();
        self.next_look = now + NEXT_MS;
        if self.engine.is_some() {
            let next = self
                .shared
                .members()
                .successor(now.saturating_sub(STEADY_MS));
            self.handle(Input::Next(next));
        }
    }

    fn told(&mut self, kind: Kind, number: u64, told: Told) {
        if self
            .tasks
            .get(&kind)
            .is_none_or(|(known, _)| *known != number)
        {
            return;
        }
        match told {
            Told::Input(input) => {
                if let Input::Lost(lost) = &input {
                    self.unlink(lost);
                }
                let led = match &input {
                    Input::Pulse(pulse) => Some(pulse.leads),
                    _ => None,
                };
                self.handle(input);
                if let Some(leads) = led {
                    self.show_link(leads);
                }
            }
            Told::Linked(link, epoch) => {
                self.link = Some((link, epoch));
                self.handle(Input::Connected);
            }
            Told::Loaded(Ok(loaded)) => self.lead(*loaded),
            Told::Loaded(Err(why)) => {
                log::warn!("TG1306 the lead cannot be taken: {why}");
                self.desk.send_replace(Desk::None);
                self.handle(Input::Ended);
            }
            Told::Ended(why) => {
                self.stop_leading(&why);
                self.handle(Input::Ended);
            }
        }
    }

    /// Lets callers use the connection while the VM at its other end leads.
    fn show_link(&mut self, leads: bool) {
        let Some((link, epoch)) = &self.link else {
            return;
        };
        let shown = matches!(&*self.desk.borrow(), Desk::There(_, shown) if shown == epoch);
        if leads && !shown {
            log::info!("TG1302 epoch={epoch} calls are relayed to its leader");
            self.desk.send_replace(Desk::There(link.clone(), *epoch));
        } else if !leads && shown {
            self.desk.send_replace(Desk::None);
        }
    }

    fn unlink(&mut self, lost: &Lost) {
        if let Some((_, epoch)) = &self.link {
            log::warn!("TG1304 leader of epoch={epoch} lost: {lost:?}");
        }
        self.hide_leader();
    }

    /// Tells callers that no leader is known, unless this VM leads.
    fn hide_leader(&mut self) {
        if self.engine.is_none() {
            self.desk.send_if_modified(|desk| {
                let led = matches!(desk, Desk::There(..));
                if led {
                    *desk = Desk::None;
                }
                led
            });
        }
    }

    /// Lets the election handle what this VM learns, and carries out what it decides.
    fn handle(&mut self, input: Input) {
        let heard = self.shared.members().heard();
        let mut actions = VecDeque::from(self.election.step(steady_ms(), heard, input));
        while let Some(action) = actions.pop_front() {
            self.carry(action);
        }
        let fit = self.election.is_fit();
        self.hello
            .send_if_modified(|hello| std::mem::replace(&mut hello.fit, fit) != fit);
        let lost = self.election.has_lost_store();
        self.desk.send_if_modified(|desk| match (&*desk, lost) {
            (Desk::None, true) => {
                *desk = Desk::Lost;
                true
            }
            (Desk::Lost, false) => {
                *desk = Desk::None;
                true
            }
            _ => false,
        });
    }

    fn carry(&mut self, action: Action) {
        match action {
            Action::Read => self.read(),
            Action::Watch(from) => self.watch(from),
            Action::Write(terms, rows) => self.write(terms, rows),
            Action::Connect(row) => self.connect(row),
            Action::Disconnect => {
                self.end(Kind::Link);
                self.link = None;
                self.hide_leader();
            }
            Action::Load(epoch) => self.load(epoch),
            Action::Resign => {
                if let Some((engine, _)) = self.engine.clone() {
                    tokio::spawn(async move { engine.leave().await });
                }
            }
            Action::Depose(why) => self.stop_leading(why),
        }
    }

    /// Starts a task instead of the last one of its kind.
    fn start<F: Future<Output = ()> + Send + 'static>(
        &mut self,
        kind: Kind,
        task: impl FnOnce(Teller) -> F,
    ) {
        self.last_task += 1;
        let teller = Teller {
            tx: self.tx.clone(),
            kind,
            number: self.last_task,
        };
        let handle = tokio::spawn(task(teller));
        if let Some((_, before)) = self.tasks.insert(kind, (self.last_task, handle)) {
            before.abort();
        }
    }

    fn end(&mut self, kind: Kind) {
        if let Some((_, task)) = self.tasks.remove(&kind) {
            task.abort();
        }
    }

    fn read(&mut self) {
        let store = self.parts.store.clone();
        self.start(Kind::Read, |teller| async move {
            let read = store.newest(Area::Lead).await;
            let lead = read
                .inspect_err(|error| log::debug!("the lead's area cannot be read: {error}"))
                .ok()
                .map(|rows| Lead::read(&rows));
            teller.tell(Told::Input(Input::Read(lead))).await;
        });
    }

    fn watch(&mut self, from: Offset) {
        let store = self.parts.store.clone();
        self.start(Kind::Watch, |teller| async move {
            let read = store.read(Area::Lead, from, LEAD_WAIT_MS).await;
            let rows = read
                .inspect_err(|error| log::debug!("the lead's area cannot be followed: {error}"))
                .ok();
            teller.tell(Told::Input(Input::Watched(from, rows))).await;
        });
    }

    fn write(&mut self, terms: Terms, rows: Vec<Row>) {
        let store = self.parts.store.clone();
        self.start(Kind::Write, |teller| async move {
            let sent = steady_ms();
            let result = store.append(Area::Lead, terms, &rows).await;
            let ms = steady_ms().saturating_sub(sent);
            log::info!("TG1303 lead's area written terms={terms:?} result={result:?} ms={ms}");
            let outcome = match result {
                Ok(()) => Outcome::Stored,
                Err(Error::Moved | Error::Fenced) => Outcome::Moved,
                Err(Error::Declined(_)) => Outcome::Declined,
                Err(Error::Silent(_) | Error::Garbled(_)) => Outcome::Unknown,
            };
            teller.tell(Told::Input(Input::Wrote(outcome, ms))).await;
        });
    }

    fn connect(&mut self, row: LeadRow) {
        self.hide_leader();
        self.link = None;
        let hello = self.hello.subscribe();
        self.start(Kind::Link, |teller| follow(row, hello, teller));
    }

    fn load(&mut self, epoch: u64) {
        let loading = Loading::new(epoch);
        self.desk.send_replace(Desk::Loading(loading.clone()));
        let parts = self.parts.clone();
        self.start(Kind::Load, |teller| async move {
            let loaded = load::load(&parts, &loading).await;
            teller.tell(Told::Loaded(loaded.map(Box::new))).await;
        });
    }

    /// Leads with what was loaded.
    fn lead(&mut self, loaded: Loaded) {
        let Desk::Loading(loading) = self.desk.borrow().clone() else {
            return;
        };
        let epoch = loading.epoch;
        let Loaded {
            scheduler,
            config_at,
            directives,
            discovery,
        } = loaded;
        let (engine, desk) = engine::new(self.parts.clone(), scheduler, epoch, config_at);
        let (store, told) = (self.parts.store.clone(), engine.clone());
        self.start(Kind::Configs, |_| {
            watch::directives(store, told, directives)
        });
        let (store, told) = (self.parts.store.clone(), engine.clone());
        self.start(Kind::Sightings, |_| {
            watch::sightings(store, told, discovery)
        });
        self.start(Kind::Engine, |teller| async move {
            let why = desk.run().await;
            teller.tell(Told::Ended(why)).await;
        });
        log::info!("TG1307 leading epoch={epoch}");
        gauge::leads(true);
        self.engine = Some((engine.clone(), epoch));
        self.desk.send_replace(Desk::Here(engine, epoch));
        self.handle(Input::Loaded);
        self.look_for_next();
    }

    fn stop_leading(&mut self, why: &str) {
        for kind in [Kind::Load, Kind::Engine, Kind::Configs, Kind::Sightings] {
            self.end(kind);
        }
        let epoch = self.engine.take().map(|(_, epoch)| epoch);
        log::info!("TG1308 epoch={epoch:?} stops leading: {why}");
        gauge::leads(false);
        self.desk.send_replace(Desk::None);
    }
}

/// Lets a task tell its result.
struct Teller {
    tx: Sender,
    kind: Kind,
    number: u64,
}

impl Teller {
    async fn tell(&self, told: Told) {
        if self.tx.send((self.kind, self.number, told)).await.is_err() {
            log::debug!("the election has ended before a result of {:?}", self.kind);
        }
    }
}

/// Connects to the leader, and tells what it says until the connection is lost.
async fn follow(row: LeadRow, hello: channel::Receiver<Hello>, teller: Teller) {
    let lost = match link::open(&row.addr, hello).await {
        Ok((link, wire)) => {
            let mut pulses = link.pulse();
            teller.tell(Told::Linked(link, row.epoch)).await;
            let runs = wire.run();
            tokio::pin!(runs);
            loop {
                tokio::select! {
                    lost = &mut runs => break lost,
                    Ok(()) = pulses.changed() => {
                        let pulse = *pulses.borrow_and_update();
                        if let Some(pulse) = pulse {
                            teller.tell(Told::Input(Input::Pulse(pulse.into()))).await;
                        }
                    }
                }
            }
        }
        Err(lost) => lost,
    };
    teller.tell(Told::Input(Input::Lost(lost))).await;
}
