//! Keeps the workers: sends each one the tasks that the ledger assigns to it, and appends reports
//! on its tasks and its health.
//!
//! Each worker is kept by the live placer that ranks first for it. Two keepers at once do no harm:
//! a sync carries the control offset that it is based on, a worker refuses an offset lower than one
//! it has seen, and of two equal reports only the first in the log takes effect. A process that is
//! cut off from both the log and a quorum of the VMs renews no lease, so that its tasks end instead
//! of running where no process can track them.

mod contact;
mod line;
mod outbox;
mod tasks;

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

/// The time between two ticks from which this process counts as paused, in milliseconds.
const PAUSE_MS: u64 = 1_000;

/// The minimum number of syncs that a worker must leave unanswered before it counts as lost.
const SYNCS_BEFORE_LOST: u64 = 2;

/// The inputs of the keeper.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The settings and the process.
    pub ctx: &'a Context,
    /// The state that the log defines.
    pub ledger: &'a Ledger,
    /// The other placers.
    pub peers: &'a Peers,
    /// The time.
    pub now: Now,
    /// Whether the log can be reached.
    pub log_up: bool,
}

impl View<'_> {
    fn config(&self) -> &KeeperConfig {
        &self.ctx.settings.keeper
    }
}

/// The state of a kept worker, as known from the syncs of this process.
#[derive(Debug, Clone, Default, PartialEq)]
struct Kept {
    /// Whether a sync is in flight.
    flight: bool,
    /// When it is checked next, in milliseconds of monotonic time.
    wake_ms: u64,
    /// When its next sync is due, in milliseconds of monotonic time.
    due_ms: u64,
    /// When it last responded, in milliseconds of monotonic time.
    heard_ms: u64,
    /// The control offset that the last sync was based on.
    as_of: Offset,
    outbox: Outbox,
}

/// The time at which a worker is checked next.
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
    /// Makes the syncs of all workers of the gangs that changed their phase due at once.
    pub fn phases_changed(&mut self, ledger: &Ledger, changed: &[Name]) {
        for job in changed {
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

    /// Returns the number of workers that this process keeps.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Returns whether this process keeps no worker.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Syncs the workers that are due, and reports silent and failing ones.
    pub fn tick(&mut self, view: &View<'_>, effects: &mut Vec<Effect>) {
        self.exclude_pause(view);
        if !self.contact.check(view) {
            self.kept.clear();
            self.wakes.clear();
            self.line = Line::default();
            return;
        }
        if self.line.update(view) {
            self.update_kept(view);
        }
        let now_ms = view.now.mono_ms;
        while let Some(next) = self.wakes.first() {
            if next.at_ms > now_ms {
                return;
            }
            let Some(next) = self.wakes.pop_first() else {
                return;
            };
            self.check_worker(view, &next.worker, effects);
        }
    }

    /// Handles the end of a sync: reports what the worker's response says about its tasks and
    /// itself.
    pub fn sync_ended(
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
        for gang in tasks::held_gangs(ledger, host) {
            if let Some(report) = tasks::report(gang, worker, &answer.tasks) {
                kept.outbox.report(gang, worker, report, now, effects);
            }
        }
        let unknown = answer.tasks.iter().any(|task| !tasks::known(ledger, task));
        if host.state == WorkerState::Lost && !unknown {
            let reason = "it answers".into();
            kept.outbox
                .worker(worker, WorkerState::Up, reason, now, effects);
        }
    }

    /// Excludes the time in which this process did not run from the silence of the workers.
    fn exclude_pause(&mut self, view: &View<'_>) {
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

    /// Keeps the workers for which this process ranks first, and no others.
    fn update_kept(&mut self, view: &View<'_>) {
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

    fn check_worker(&mut self, view: &View<'_>, worker: &Name, effects: &mut Vec<Effect>) {
        let Some(kept) = self.kept.get_mut(worker) else {
            return;
        };
        let Some(host) = view.ledger.fleet.hosts.get(worker) else {
            return;
        };
        let now_ms = view.now.mono_ms;
        report_silence(view, worker, host, kept, effects);
        report_health(view, worker, host, self.line.leaving(worker), kept, effects);
        let interval_ms = sync_interval_ms(view, host);
        if !kept.flight && now_ms >= kept.due_ms {
            kept.flight = true;
            kept.due_ms = now_ms + interval_ms;
            kept.as_of = view.ledger.next;
            effects.push(Effect::Sync {
                worker: worker.clone(),
                addr: host.addr.clone(),
                call: SyncCall {
                    as_of: view.ledger.next,
                    lease_ms: view.config().lease_ms,
                    tasks: tasks::wanted(view.ledger, worker, host),
                },
            });
        }
        kept.wake_ms = kept.due_ms.max(now_ms + 1).min(now_ms + interval_ms);
        self.wakes.insert(wake(kept.wake_ms, worker));
    }
}

fn wake(at_ms: u64, worker: &Name) -> Wake {
    Wake {
        at_ms,
        worker: worker.clone(),
    }
}

/// Returns the time to the next sync of a worker if no gang on it changes, in milliseconds.
fn sync_interval_ms(view: &View<'_>, host: &Host) -> u64 {
    let config = view.config();
    let mut gangs = tasks::held_gangs(view.ledger, host);
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
    for gang in tasks::held_gangs(view.ledger, host) {
        let last = gang.reports.get(worker);
        let not_ended = last.is_none_or(|last| !gangs::members_ended(*last));
        let stopping = matches!(gang.phase, Phase::Stopping(_));
        if not_ended && stopping && contact::quorum_has_read(view, gang.turned) {
            let report = tasks::Report {
                state: MemberState::Lapsed,
                kept_ms: 0,
            };
            kept.outbox.report(gang, worker, report, view.now, effects);
        }
    }
}

/// Reports a worker on which too many jobs failed, one that is leaving, and one whose quarantine has
/// ended.
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
