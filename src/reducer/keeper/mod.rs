//! Keeps the workers: tells each what the ledger wants of it, and reports what it says.
//!
//! Each worker is kept by the first live placer in its line. Two keepers at once do no harm: a
//! sync carries the control offset that it follows from, a worker refuses a lower one than it
//! has seen, and of two equal reports the log's first counts. A process that hears neither the
//! log nor a peer renews no lease, so that its tasks end where nobody can follow them.

mod contact;
mod judge;
mod line;
mod outbox;

use super::effect::Effect;
use super::event::Now;
use super::ledger::Ledger;
use super::ledger::fleet::Host;
use super::ledger::gangs;
use super::ledger::gangs::Phase;
use super::peers::Peers;
use crate::configs::KeeperConfig;
use crate::context::Context;
use crate::platform::SyncAnswer;
use crate::platform::SyncCall;
use crate::prelude::*;
use crate::records::MemberState;
use crate::records::WorkerState;
use contact::Contact;
use line::Line;
use outbox::Outbox;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The time between two ticks that counts as a pause of this process, in milliseconds.
const PAUSE_MS: u64 = 1_000;

/// The syncs that a worker must leave unanswered, at least, before it counts as lost.
const SYNCS_BEFORE_LOST: u64 = 2;

/// Everything that the keeper looks at.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The settings and the process.
    pub ctx: &'a Context,
    /// What the log says.
    pub ledger: &'a Ledger,
    /// The peers.
    pub peers: &'a Peers,
    /// The time.
    pub now: Now,
    /// Whether the log is reached.
    pub log_up: bool,
}

impl View<'_> {
    fn config(&self) -> &KeeperConfig {
        &self.ctx.settings.keeper
    }
}

/// What this process knows of a worker from its own syncs.
#[derive(Debug, Clone, Default, PartialEq)]
struct Kept {
    flight: bool,
    /// When it is looked at next, in milliseconds of monotonic time.
    wake_ms: u64,
    /// When it is synced next, in milliseconds of monotonic time.
    due_ms: u64,
    /// When it last answered, in milliseconds of monotonic time.
    heard_ms: u64,
    /// The control offset of the last sync.
    as_of: Offset,
    outbox: Outbox,
}

/// The time at which a worker is looked at.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Wake {
    at_ms: u64,
    worker: Name,
}

/// All workers that this process keeps.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Keeper {
    kept: BTreeMap<Name, Kept>,
    wakes: BTreeSet<Wake>,
    line: Line,
    contact: Contact,
    ticked_ms: Option<u64>,
}

impl Keeper {
    /// Makes the workers of the gangs that moved due at once.
    pub fn follow(&mut self, ledger: &Ledger, moved: &[Name]) {
        for job in moved {
            let Some(gang) = ledger.gangs.all.get(job) else {
                continue;
            };
            for slot in &gang.slots {
                if let Some(kept) = self.kept.get_mut(&slot.worker) {
                    kept.due_ms = 0;
                    self.wakes.remove(&wake(kept.wake_ms, &slot.worker));
                    kept.wake_ms = 0;
                    self.wakes.insert(wake(0, &slot.worker));
                }
            }
        }
    }

    /// Returns how many workers this process keeps.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Tells whether this process keeps no worker.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Syncs the workers that are due, and reports the silent and the failing ones.
    pub fn tick(&mut self, view: &View<'_>, effects: &mut Vec<Effect>) {
        self.forgive_pause(view);
        if !self.contact.check(view) {
            self.kept.clear();
            self.wakes.clear();
            self.line = Line::default();
            return;
        }
        if self.line.follow(view) {
            self.take_over(view);
        }
        let now_ms = view.now.mono_ms;
        while let Some(next) = self.wakes.first() {
            if next.at_ms > now_ms {
                return;
            }
            let Some(next) = self.wakes.pop_first() else {
                return;
            };
            self.visit(view, &next.worker, effects);
        }
    }

    /// Takes in a worker's answer.
    pub fn synced(
        &mut self,
        ledger: &Ledger,
        worker: &Name,
        answer: Option<&SyncAnswer>,
        now: Now,
        effects: &mut Vec<Effect>,
    ) {
        let Some(kept) = self.kept.get_mut(worker) else {
            return;
        };
        kept.flight = false;
        let Some(answer) = answer else {
            return;
        };
        kept.heard_ms = now.mono_ms;
        if answer.as_of > kept.as_of {
            return;
        }
        let Some(host) = ledger.fleet.hosts.get(worker) else {
            return;
        };
        for gang in judge::held_gangs(ledger, host) {
            if let Some(report) = judge::judge(gang, worker, &answer.tasks) {
                kept.outbox.report(gang, worker, report, now, effects);
            }
        }
        let foreign = answer.tasks.iter().any(|task| !judge::known(ledger, task));
        if host.state == WorkerState::Lost && !foreign {
            let reason = "it answers".into();
            kept.outbox
                .worker(worker, WorkerState::Up, reason, now, effects);
        }
    }

    /// Counts no time as a worker's silence in which this process did not run.
    fn forgive_pause(&mut self, view: &View<'_>) {
        let now_ms = view.now.mono_ms;
        let last_ms = self.ticked_ms.replace(now_ms).unwrap_or(now_ms);
        let pause_ms = now_ms.saturating_sub(last_ms);
        if pause_ms < PAUSE_MS {
            return;
        }
        for kept in self.kept.values_mut() {
            kept.heard_ms += pause_ms;
        }
    }

    /// Keeps the workers that this process is the first in line for, and no others.
    fn take_over(&mut self, view: &View<'_>) {
        let mut before = std::mem::take(&mut self.kept);
        self.wakes.clear();
        for worker in self.line.own() {
            let kept = before.remove(worker).unwrap_or(Kept {
                heard_ms: view.now.mono_ms,
                ..Kept::default()
            });
            self.wakes.insert(wake(kept.wake_ms, worker));
            self.kept.insert(worker.clone(), kept);
        }
    }

    fn visit(&mut self, view: &View<'_>, worker: &Name, effects: &mut Vec<Effect>) {
        let Some(kept) = self.kept.get_mut(worker) else {
            return;
        };
        let Some(host) = view.ledger.fleet.hosts.get(worker) else {
            return;
        };
        let now_ms = view.now.mono_ms;
        report_silence(view, worker, host, kept, effects);
        report_health(view, worker, host, self.line.leaving(worker), kept, effects);
        let pause_ms = pause_ms(view, host);
        if !kept.flight && now_ms >= kept.due_ms {
            kept.flight = true;
            kept.due_ms = now_ms + pause_ms;
            kept.as_of = view.ledger.next;
            effects.push(Effect::Sync {
                worker: worker.clone(),
                addr: host.addr.clone(),
                call: SyncCall {
                    as_of: view.ledger.next,
                    lease_ms: view.config().lease_ms,
                    tasks: judge::wanted(view.ledger, worker, host),
                },
            });
        }
        kept.wake_ms = kept.due_ms.max(now_ms + 1).min(now_ms + pause_ms);
        self.wakes.insert(wake(kept.wake_ms, worker));
    }
}

fn wake(at_ms: u64, worker: &Name) -> Wake {
    Wake {
        at_ms,
        worker: worker.clone(),
    }
}

/// Returns the time to the next sync of a worker that nothing else wakes, in milliseconds.
fn pause_ms(view: &View<'_>, host: &Host) -> u64 {
    let config = view.config();
    let mut gangs = judge::held_gangs(view.ledger, host);
    if gangs.any(|gang| gang.phase != Phase::Running) {
        return config.busy_ms;
    }
    let longest_ms = config.lost_ms / SYNCS_BEFORE_LOST;
    match host.jobs.is_empty() {
        true => config.idle_ms.min(longest_ms),
        false => config.sync_ms.min(longest_ms),
    }
}

fn report_silence(
    view: &View<'_>,
    worker: &Name,
    host: &Host,
    kept: &mut Kept,
    effects: &mut Vec<Effect>,
) {
    let config = view.config();
    let silence_ms = view.now.mono_ms.saturating_sub(kept.heard_ms);
    if silence_ms >= config.lost_ms && host.state != WorkerState::Lost {
        let reason = format!("silent for {silence_ms} ms");
        let state = WorkerState::Lost;
        kept.outbox.worker(worker, state, reason, view.now, effects);
    }
    if silence_ms < config.lapse_ms || host.state != WorkerState::Lost {
        return;
    }
    for gang in judge::held_gangs(view.ledger, host) {
        let last = gang.reports.get(worker);
        let open = last.is_none_or(|last| !gangs::members_ended(*last));
        let stops = matches!(gang.phase, Phase::Stopping(_));
        if open && stops && contact::hears_quorum(view, gang.turned) {
            let report = judge::Report {
                state: MemberState::Lapsed,
                kept_ms: 0,
            };
            kept.outbox.report(gang, worker, report, view.now, effects);
        }
    }
}

/// Reports a worker that fails what it starts, one whose quarantine ends and one that leaves.
fn report_health(
    view: &View<'_>,
    worker: &Name,
    host: &Host,
    leaving: bool,
    kept: &mut Kept,
    effects: &mut Vec<Effect>,
) {
    let wall_ms = view.now.wall_ms.max(view.ledger.clock_ms);
    let found = match host.state {
        WorkerState::Up if host.should_quarantine() => {
            let jobs: Vec<&str> = host.faults.iter().map(|fault| &*fault.job).collect();
            let reason = format!("failed in a row: {}", jobs.join(", "));
            Some((WorkerState::Quarantined, reason))
        }
        WorkerState::Up if leaving => {
            let reason = "the list of VMs says that it leaves";
            Some((WorkerState::Leaving, reason.to_owned()))
        }
        WorkerState::Quarantined if wall_ms >= host.until_ms => {
            let reason = "its quarantine ended; the next work is a probe";
            Some((WorkerState::Up, reason.to_owned()))
        }
        _ => None,
    };
    if let Some((state, reason)) = found {
        kept.outbox.worker(worker, state, reason, view.now, effects);
    }
}
