//! A simulation of VMs that elect a leader over a store in memory, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use trefoilgauge::fleet::election::Action;
use trefoilgauge::fleet::election::Candidate;
use trefoilgauge::fleet::election::Election;
use trefoilgauge::fleet::election::Heartbeat;
use trefoilgauge::fleet::election::Input;
use trefoilgauge::fleet::election::LeadState;
use trefoilgauge::fleet::election::LeaderRow;
use trefoilgauge::fleet::election::LinkError;
use trefoilgauge::fleet::election::Member;
use trefoilgauge::fleet::election::Members;
use trefoilgauge::fleet::election::Outcome;
use trefoilgauge::fleet::ports::Rows;
use trefoilgauge::fleet::ports::Terms;
use trefoilgauge::fleet::row::Row;
use trefoilgauge::fleet::token::EPOCH_STEP;
use trefoilgauge::prelude::*;

/// The latency of a message between two VMs, in milliseconds.
const LATENCY_MS: u64 = 1;
/// How long a read of the store may wait for a change, in milliseconds.
const WATCH_MS: u64 = 10_000;
/// How long a VM with a whole core takes to load the stored state, in milliseconds.
const LOAD_CORE_MS: u64 = 120;
/// How long after it lost the store a leader reports its lead as unconfirmed, in milliseconds.
const UNCONFIRMED_AFTER_MS: u64 = 1_000;
/// How long a leader without a store keeps leading, in milliseconds.
const MAX_ORDER_AGE_MS: u64 = 7_000;
/// The time-out for opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 600;

/// How the store responds to the calls of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreAccess {
    Normal,
    /// Calls are declined.
    Declined,
    /// Calls get no response.
    Silent,
}

/// A bug injected into the simulation, to show that the checks detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Bug {
    None,
    /// VMs do not report that they are loading.
    SilentLoading,
}

#[derive(Debug)]
enum Event {
    /// An input for the election of a VM, from the task with this number.
    Input(usize, u64, Kind, u64, Input),
    Wake(usize, u64),
    /// A call of a VM arrives at the store.
    Call(usize, u64, u64, Call),
    /// A VM is to send a heartbeat.
    HeartbeatDue(usize, u64, u64),
    /// A heartbeat arrives at the leader, from a VM.
    Received(usize, usize, u64, u64),
    SuccessorDue(usize, u64),
    Unfreeze(usize),
}

#[derive(Debug)]
enum Call {
    Read,
    Watch(Offset, u64),
    Write(Terms, Vec<Row>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Kind {
    Read,
    Watch,
    Write,
    Link,
    Load,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeadDuty {
    None,
    Loading(u64),
    Leading(u64),
}

#[derive(Debug)]
pub(crate) struct Vm {
    pub(crate) name: Name,
    cpu_milli: u64,
    centre: Name,
    boot: u64,
    up: bool,
    pub(crate) frozen: bool,
    pub(crate) access: StoreAccess,
    /// Whether the VM is cut off from the other VMs.
    pub(crate) cut: bool,
    election: Election,
    members: Members,
    duty: LeadDuty,
    tasks: HashMap<Kind, u64>,
    link: Option<(usize, u64)>,
    /// When the last heartbeat reply of the leader arrived.
    last_reply: u64,
    deputy: bool,
    /// Since when the store has not served the VM.
    lost_store: Option<u64>,
    /// Events that arrived while the VM was frozen.
    deferred: Vec<Event>,
}

impl Vm {
    fn leads(&self) -> bool {
        matches!(self.duty, LeadDuty::Leading(_))
    }
}

#[derive(Debug)]
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) vms: Vec<Vm>,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    sequence: u64,
    rows: Vec<Row>,
    /// Calls that wait for rows after an offset.
    watchers: Vec<(usize, u64, u64, Offset)>,
    fence: u64,
    /// The duration of a store call, in milliseconds.
    pub(crate) store_ms: u64,
    /// Every n-th append gets no response and is carried out late; 0 for none.
    pub(crate) lose_every: u64,
    bug: Bug,
    /// The number of appends that reached the store.
    pub(crate) appends: u64,
    pub(crate) reads: u64,
    /// The periods without a leader that could act.
    pub(crate) gaps: Vec<(u64, u64)>,
    gap_since: Option<u64>,
}

impl World {
    /// Makes a fleet of `count` VMs: every tenth has half a core and the others 120 thousandths, or
    /// all have a quarter if there are fewer than ten.
    pub(crate) fn new(count: usize, bug: Bug) -> Self {
        let mut world = Self {
            now: 1_000,
            vms: Vec::new(),
            heap: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            rows: Vec::new(),
            watchers: Vec::new(),
            fence: 0,
            store_ms: 4,
            lose_every: 0,
            bug,
            appends: 0,
            reads: 0,
            gaps: Vec::new(),
            gap_since: None,
        };
        for number in 0..count {
            let cpu_milli = match number % 10 {
                _ if count < 10 => 250,
                0 => 500,
                _ => 120,
            };
            let name: Name = format!("vm-{number}").into();
            world.vms.push(Vm {
                election: election(&name, 1, cpu_milli, number),
                name,
                cpu_milli,
                centre: format!("centre-{}", number % 3).into(),
                boot: 1,
                up: true,
                frozen: false,
                access: StoreAccess::Normal,
                cut: false,
                members: Members::default(),
                duty: LeadDuty::None,
                tasks: HashMap::new(),
                link: None,
                last_reply: 0,
                deputy: false,
                lost_store: None,
                deferred: Vec::new(),
            });
            let at = world.now + (number as u64 * 7) % 300;
            world.schedule(at, Event::Wake(number, 1));
        }
        world
    }

    /// Returns the VM that leads with the newest epoch, if it can act.
    pub(crate) fn leader(&self) -> Option<usize> {
        let fence = self.fence;
        self.vms.iter().position(|vm| {
            vm.duty == LeadDuty::Leading(fence)
                && vm.up
                && !vm.frozen
                && vm.access == StoreAccess::Normal
        })
    }

    /// Returns the number of claims that were stored.
    pub(crate) fn claims(&self) -> u64 {
        self.lead_state().epoch() / EPOCH_STEP
    }

    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(Reverse((at, number))) = self.heap.peek().copied() {
            if at > end {
                break;
            }
            self.heap.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
                self.note_gap();
            }
        }
        self.now = end;
    }

    fn note_gap(&mut self) {
        match (self.leader(), self.gap_since) {
            (None, None) => self.gap_since = Some(self.now),
            (Some(_), Some(since)) => {
                self.gaps.push((since, self.now));
                self.gap_since = None;
            }
            _ => {}
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    pub(crate) fn freeze(&mut self, vm: usize, ms: u64) {
        self.vms[vm].frozen = true;
        self.schedule(self.now + ms, Event::Unfreeze(vm));
    }

    /// Kills the process of a VM, and restarts it after `ms`.
    pub(crate) fn kill(&mut self, vm: usize, ms: u64) {
        let (cpu_milli, name) = (self.vms[vm].cpu_milli, self.vms[vm].name.clone());
        self.close_connections(vm);
        let state = &mut self.vms[vm];
        state.boot += 1;
        state.up = false;
        state.duty = LeadDuty::None;
        state.election = election(&name, state.boot, cpu_milli, vm);
        state.members = Members::default();
        state.tasks.clear();
        state.link = None;
        state.deferred.clear();
        state.lost_store = None;
        let boot = state.boot;
        self.schedule(self.now + ms, Event::Wake(vm, boot));
    }

    /// Cuts the power of a VM, so that its connections are not closed, and restarts it after `ms`.
    pub(crate) fn power_off(&mut self, vm: usize, ms: u64) {
        let cut = std::mem::replace(&mut self.vms[vm].cut, true);
        self.kill(vm, ms);
        self.vms[vm].cut = cut;
    }

    /// Starts the shutdown of a VM.
    pub(crate) fn begin_shutdown(&mut self, vm: usize) {
        self.update_successor(vm);
        self.step(vm, Input::Shutdown);
    }

    /// Closes the connections of other VMs to this one, unless it cannot send.
    fn close_connections(&mut self, vm: usize) {
        if self.vms[vm].cut || self.vms[vm].frozen {
            return;
        }
        for peer in 0..self.vms.len() {
            if let Some((_, link)) = self.vms[peer].link.filter(|(to, _)| *to == vm) {
                let boot = self.vms[peer].boot;
                let lost = Input::Lost(LinkError::Closed("closed".to_owned()));
                self.schedule(
                    self.now + LATENCY_MS,
                    Event::Input(peer, boot, Kind::Link, link, lost),
                );
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let vm = match &event {
            Event::Input(vm, ..)
            | Event::Wake(vm, _)
            | Event::HeartbeatDue(vm, ..)
            | Event::SuccessorDue(vm, _) => Some(*vm),
            Event::Received(vm, ..) => Some(*vm),
            Event::Call(..) | Event::Unfreeze(_) => None,
        };
        if let Some(vm) = vm.filter(|vm| self.vms[*vm].frozen) {
            self.vms[vm].deferred.push(event);
            return;
        }
        match event {
            Event::Input(vm, boot, kind, task, input) => self.on_input(vm, boot, kind, task, input),
            Event::Wake(vm, boot) if self.vms[vm].boot == boot => {
                self.vms[vm].up = true;
                self.step(vm, Input::Tick);
            }
            Event::Call(vm, boot, task, call) => self.on_store_call(vm, boot, task, call),
            Event::HeartbeatDue(vm, boot, link) => self.send_heartbeat(vm, boot, link),
            Event::Received(vm, from, boot, link) => self.on_heartbeat(vm, from, boot, link),
            Event::SuccessorDue(vm, boot) if self.vms[vm].boot == boot => {
                if self.vms[vm].leads() {
                    self.update_successor(vm);
                    self.schedule(self.now + 500, Event::SuccessorDue(vm, boot));
                }
            }
            Event::Unfreeze(vm) => {
                self.vms[vm].frozen = false;
                for event in std::mem::take(&mut self.vms[vm].deferred) {
                    self.schedule(self.now, event);
                }
            }
            Event::Wake(..) | Event::SuccessorDue(..) => {}
        }
    }

    /// Updates the successor of a leader, and ends a leader that has lost the store for too long.
    fn update_successor(&mut self, vm: usize) {
        let since = self.now.saturating_sub(2_000);
        let next = self.vms[vm].members.successor(since);
        self.step(vm, Input::Successor(next));
        let lost = self.vms[vm].lost_store;
        if self.vms[vm].leads() && lost.is_some_and(|at| self.now > at + MAX_ORDER_AGE_MS) {
            self.vms[vm].duty = LeadDuty::None;
            self.step(vm, Input::Ended);
        }
    }

    fn on_input(&mut self, vm: usize, boot: u64, kind: Kind, task: u64, input: Input) {
        let state = &mut self.vms[vm];
        if state.boot != boot || state.tasks.get(&kind) != Some(&task) {
            return;
        }
        if kind == Kind::Load {
            let LeadDuty::Loading(epoch) = state.duty else {
                return;
            };
            if input == Input::Loaded {
                state.duty = LeadDuty::Leading(epoch);
                state.lost_store = None;
                self.send_heartbeats(vm);
                self.schedule(self.now, Event::SuccessorDue(vm, boot));
            } else {
                state.duty = LeadDuty::None;
            }
        }
        let state = &mut self.vms[vm];
        match &input {
            Input::Connected => {
                state.last_reply = self.now;
                self.schedule(self.now, Event::HeartbeatDue(vm, boot, task));
            }
            Input::Heartbeat(heartbeat) => {
                state.last_reply = self.now;
                state.deputy = heartbeat.deputy;
            }
            Input::Lost(_) => state.link = None,
            _ => {}
        }
        self.step(vm, input);
    }

    /// Reports the state of `vm` to the VMs that are connected to it.
    fn send_heartbeats(&mut self, vm: usize) {
        for peer in 0..self.vms.len() {
            if let Some((_, link)) = self.vms[peer].link.filter(|(to, _)| *to == vm) {
                self.reply_heartbeat(vm, peer, link);
            }
        }
    }

    fn step(&mut self, vm: usize, input: Input) {
        let now = self.now;
        let state = &mut self.vms[vm];
        if !state.up {
            return;
        }
        let last_contact = state.members.last_contact();
        for action in state.election.step(now, last_contact, input) {
            self.execute(vm, action);
        }
        let (wake, boot) = (self.vms[vm].election.wake_at(), self.vms[vm].boot);
        if wake != u64::MAX {
            self.schedule(wake.max(now + 1), Event::Wake(vm, boot));
        }
    }

    fn task(&mut self, vm: usize, kind: Kind) -> (u64, u64) {
        self.sequence += 1;
        let state = &mut self.vms[vm];
        state.tasks.insert(kind, self.sequence);
        (state.boot, self.sequence)
    }

    fn execute(&mut self, vm: usize, action: Action) {
        match action {
            Action::Read => self.call(vm, Kind::Read, Call::Read),
            Action::Watch(from) => {
                self.call(vm, Kind::Watch, Call::Watch(from, self.now + WATCH_MS));
            }
            Action::Write(terms, rows) => self.call(vm, Kind::Write, Call::Write(terms, rows)),
            Action::Connect(row) => self.connect(vm, &row),
            Action::Disconnect => {
                self.vms[vm].tasks.remove(&Kind::Link);
                self.vms[vm].link = None;
            }
            Action::Load(epoch) => self.load(vm, epoch),
            Action::Resign => {
                self.vms[vm].duty = LeadDuty::None;
                self.send_heartbeats(vm);
                let (boot, task) = self.task(vm, Kind::Load);
                self.vms[vm].duty = LeadDuty::Loading(0);
                self.schedule(
                    self.now + 10,
                    Event::Input(vm, boot, Kind::Load, task, Input::Ended),
                );
            }
            Action::Abort(_) => {
                self.vms[vm].tasks.remove(&Kind::Load);
                self.vms[vm].duty = LeadDuty::None;
                self.send_heartbeats(vm);
            }
        }
    }

    /// Fences earlier leaders and loads; the smaller the VM, the longer it takes.
    fn load(&mut self, vm: usize, epoch: u64) {
        let (boot, task) = self.task(vm, Kind::Load);
        let state = &mut self.vms[vm];
        state.duty = LeadDuty::Loading(epoch);
        let ms = 3 * self.store_ms + LOAD_CORE_MS * 1_000 / state.cpu_milli;
        let input = if state.access == StoreAccess::Normal && self.fence <= epoch {
            self.fence = epoch;
            Input::Loaded
        } else {
            state.lost_store.get_or_insert(self.now);
            Input::Ended
        };
        self.schedule(
            self.now + ms,
            Event::Input(vm, boot, Kind::Load, task, input),
        );
    }

    fn connect(&mut self, vm: usize, row: &LeaderRow) {
        let (boot, task) = self.task(vm, Kind::Link);
        self.vms[vm].link = None;
        let to = self
            .vms
            .iter()
            .position(|other| *other.name == *row.name)
            .unwrap();
        let other = &self.vms[to];
        let (wait, input) = if self.vms[vm].cut || other.cut || other.frozen {
            (CONNECT_TIMEOUT_MS, Input::Lost(LinkError::Silent))
        } else if other.up {
            self.vms[vm].link = Some((to, task));
            (2 * LATENCY_MS, Input::Connected)
        } else {
            (
                2 * LATENCY_MS,
                Input::Lost(LinkError::Closed("refused".to_owned())),
            )
        };
        self.schedule(
            self.now + wait,
            Event::Input(vm, boot, Kind::Link, task, input),
        );
    }

    fn send_heartbeat(&mut self, vm: usize, boot: u64, link: u64) {
        let state = &self.vms[vm];
        let Some((to, _)) = state
            .link
            .filter(|(_, known)| state.boot == boot && *known == link)
        else {
            return;
        };
        let (every, silence) = if state.deputy {
            (120, 450)
        } else {
            (500, 1_300)
        };
        if self.now > state.last_reply + silence {
            let lost = Input::Lost(LinkError::Silent);
            self.schedule(self.now, Event::Input(vm, boot, Kind::Link, link, lost));
            return;
        }
        if !state.cut && !self.vms[to].cut {
            self.schedule(self.now + LATENCY_MS, Event::Received(to, vm, boot, link));
        }
        self.schedule(self.now + every, Event::HeartbeatDue(vm, boot, link));
    }

    fn on_heartbeat(&mut self, vm: usize, from: usize, boot: u64, link: u64) {
        if !self.vms[vm].up || self.vms[from].boot != boot {
            return;
        }
        let peer = &self.vms[from];
        let member = Member {
            name: peer.name.clone(),
            centre: peer.centre.clone(),
            cpu_milli: peer.cpu_milli,
            eligible: peer.election.is_eligible(),
            addr: String::new(),
            boot: 0,
        };
        let now = self.now;
        let members = &mut self.vms[vm].members;
        members.note_contact(now);
        members.join(from as u64, member, now);
        self.reply_heartbeat(vm, from, link);
    }

    fn reply_heartbeat(&mut self, vm: usize, to: usize, link: u64) {
        let state = &self.vms[vm];
        if state.cut || self.vms[to].cut {
            return;
        }
        let lost = state
            .lost_store
            .is_some_and(|at| self.now > at + UNCONFIRMED_AFTER_MS);
        let loading_epoch = match state.duty {
            LeadDuty::Loading(epoch) if self.bug != Bug::SilentLoading => epoch,
            _ => 0,
        };
        let heartbeat = Heartbeat {
            boot: state.boot,
            leads: state.leads(),
            loading_epoch,
            confirmed: !lost,
            deputy: state.members.is_deputy(to as u64),
            best_milli: state.members.best_milli(state.cpu_milli),
        };
        let boot = self.vms[to].boot;
        let input = Input::Heartbeat(heartbeat);
        self.schedule(
            self.now + LATENCY_MS,
            Event::Input(to, boot, Kind::Link, link, input),
        );
    }

    fn call(&mut self, vm: usize, kind: Kind, call: Call) {
        let (boot, task) = self.task(vm, kind);
        let state = &mut self.vms[vm];
        if state.access != StoreAccess::Normal {
            let silent = state.access == StoreAccess::Silent;
            let wait = if silent { 1_200 } else { self.store_ms };
            let input = match call {
                Call::Read => Input::Read(None),
                Call::Watch(from, _) => Input::Watched(from, None),
                Call::Write(..) if silent => Input::Wrote(Outcome::Unknown, wait),
                Call::Write(..) => Input::Wrote(Outcome::Declined, wait),
            };
            self.schedule(self.now + wait, Event::Input(vm, boot, kind, task, input));
            return;
        }
        self.schedule(
            self.now + self.store_ms / 2,
            Event::Call(vm, boot, task, call),
        );
    }

    fn on_store_call(&mut self, vm: usize, boot: u64, task: u64, call: Call) {
        let back = self.store_ms.div_ceil(2);
        let (kind, input) = match call {
            Call::Read => {
                self.reads += 1;
                (Kind::Read, Input::Read(Some(self.lead_state())))
            }
            Call::Watch(from, until) => {
                let end = self.rows.len() as u64;
                if end <= from && self.now < until {
                    self.watchers.push((vm, boot, task, from));
                    self.schedule(until, Event::Call(vm, boot, task, Call::Watch(from, until)));
                    return;
                }
                self.watchers.retain(|(_, _, known, _)| *known != task);
                self.reads += 1;
                let start = usize::try_from(from).unwrap().min(self.rows.len());
                let rows = Rows {
                    rows: self.rows[start..].to_vec(),
                    end: from.max(end),
                };
                (Kind::Watch, Input::Watched(from, Some(rows)))
            }
            Call::Write(terms, rows) => {
                self.appends += 1;
                if self.lose_every > 0 && self.appends.is_multiple_of(self.lose_every) {
                    // No response, and the append is carried out seconds later.
                    let input = Input::Wrote(Outcome::Unknown, 1_200);
                    self.schedule(
                        self.now + 1_200,
                        Event::Input(vm, boot, Kind::Write, task, input),
                    );
                    let late = self.now + 2_500;
                    self.schedule(late, Event::Call(vm, boot, 0, Call::Write(terms, rows)));
                    return;
                }
                let moved = matches!(terms, Terms::At(at) if at != self.rows.len() as u64);
                if !moved {
                    self.rows.extend(rows);
                    for (vm, boot, task, from) in std::mem::take(&mut self.watchers) {
                        let watch = Call::Watch(from, self.now);
                        self.schedule(self.now + 1, Event::Call(vm, boot, task, watch));
                    }
                }
                let outcome = if moved {
                    Outcome::Moved
                } else {
                    Outcome::Stored
                };
                (Kind::Write, Input::Wrote(outcome, self.store_ms))
            }
        };
        self.schedule(self.now + back, Event::Input(vm, boot, kind, task, input));
    }

    fn lead_state(&self) -> LeadState {
        LeadState::read(&Rows {
            rows: self.rows.clone(),
            end: self.rows.len() as u64,
        })
    }

    /// Changes how the store responds to the calls of a VM.
    pub(crate) fn set_access(&mut self, vm: usize, access: StoreAccess) {
        let now = self.now;
        let state = &mut self.vms[vm];
        state.access = access;
        match access {
            StoreAccess::Normal => state.lost_store = None,
            StoreAccess::Declined | StoreAccess::Silent => {
                state.lost_store.get_or_insert(now);
            }
        }
    }
}

fn election(name: &Name, boot: u64, cpu_milli: u64, number: usize) -> Election {
    Election::new(Candidate {
        name: name.clone(),
        addr: format!("10.0.0.{number}:7000"),
        boot,
        cpu_milli,
    })
}

impl Vm {
    /// Returns whether the process is not shutting down. While the store does not serve the VM this
    /// is unknown, and taken as true.
    pub(crate) fn keeps_running(&self) -> bool {
        self.election.is_eligible() || self.access != StoreAccess::Normal
    }
}
