//! The promises, and what tells that one is broken.

use super::call::Call;
use super::call::Told;
use super::gangs::GangWatch;
use super::log::MemoryLog;
use super::vm::Vm;
use super::worker::FakeWorker;
use crate::prelude::*;
use crate::reducer::effect::Ran;
use crate::reducer::effect::Reply;
use crate::reducer::ledger::Applied;
use crate::reducer::ledger::Ledger;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;

/// The time after which an accepted configuration must decide everywhere, in milliseconds.
pub const CONFIG_MS: u64 = 3_000;
/// The time after which a leaving runner gets nothing new, in milliseconds.
pub const LEAVE_MS: u64 = 3_000;
/// The control records between two comparisons of ledgers.
const COMPARE_EVERY: u64 = 4;

/// What must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// A guaranteed shape can always be reclaimed.
    Guarantee,
    /// A gang runs on all of its workers or on none.
    WholeGang,
    /// Each caller gets one whole answer to its own request.
    RightAnswer,
    /// A refusal that says that nothing ran is true.
    TrueRefusal,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving runner gets no new work after a bound.
    Leaving,
    /// A planned stop cuts nothing.
    PlannedStop,
    /// An accepted configuration is in force everywhere and never reverts.
    Configuration,
    /// Two processes at one offset hold the same ledger.
    EqualLedgers,
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub text: String,
}

impl Finding {
    /// Makes a finding.
    pub fn new(promise: Promise, text: impl Into<String>) -> Self {
        let text = text.into();
        Self { promise, text }
    }
}

/// The longest times seen in a run, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Bounds {
    /// From a gang's first member that runs alone to none that does.
    pub partial_ms: u64,
    /// From the reclaim of a gang to the return of its accelerators.
    pub reclaim_ms: u64,
    /// From the leaving of a runner to its last new request.
    pub leaving_ms: u64,
    /// From the publishing of a change to its being in force by the log.
    pub config_ms: u64,
    /// From the death of a placer to the next record of another one.
    pub takeover_ms: u64,
}

impl Bounds {
    /// Keeps the longer of each.
    pub fn merge(&mut self, other: &Self) {
        self.partial_ms = self.partial_ms.max(other.partial_ms);
        self.reclaim_ms = self.reclaim_ms.max(other.reclaim_ms);
        self.leaving_ms = self.leaving_ms.max(other.leaving_ms);
        self.config_ms = self.config_ms.max(other.config_ms);
        self.takeover_ms = self.takeover_ms.max(other.takeover_ms);
    }
}

/// A change of the configuration that is in force by the log.
#[derive(Debug, Clone, Copy)]
struct Turn {
    at_ms: u64,
    next: Offset,
}

/// A placer that died.
#[derive(Debug, Clone)]
struct Killed {
    writer: Name,
    at_ms: u64,
}

/// What one process showed since it started.
#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    cfg: Offset,
    ready: bool,
}

/// All checkers of a run.
#[derive(Debug, Clone, Default)]
pub struct Checkers {
    /// What was found.
    pub findings: Vec<Finding>,
    /// How often each promise was put to the test.
    pub tested: BTreeMap<Promise, u32>,
    /// The longest times.
    pub bounds: Bounds,
    gangs: GangWatch,
    hashes: BTreeMap<Offset, u64>,
    turns: Vec<Turn>,
    published: BTreeMap<Offset, u64>,
    seen: BTreeMap<usize, Seen>,
    killed: Option<Killed>,
}

impl Checkers {
    /// Notes a broken promise.
    pub fn broken(&mut self, finding: Finding) {
        if !self.findings.contains(&finding) {
            self.findings.push(finding);
        }
    }

    /// Counts that a promise was put to the test.
    pub fn test(&mut self, promise: Promise) {
        *self.tested.entry(promise).or_insert(0) += 1;
    }

    /// Notes a published change.
    pub fn published(&mut self, now_ms: u64, offset: Offset) {
        self.published.insert(offset, now_ms);
    }

    /// Notes the death of a placer.
    pub fn killed(&mut self, at_ms: u64, writer: &Name) {
        let writer = writer.clone();
        self.killed = Some(Killed { writer, at_ms });
    }

    /// Checks what the whole control stream gives after one more record.
    pub fn appended(&mut self, now_ms: u64, truth: &Ledger, applied: &Applied) {
        if truth.next.is_multiple_of(COMPARE_EVERY) {
            self.hashes.insert(truth.next, truth.digest());
        }
        let last = self.turns.last().map_or(0, |turn| turn.next);
        if truth.catalog.next > last {
            self.enforced(now_ms, last, truth.catalog.next);
        }
        let origin = applied.verdicts.first().map(|ruling| &ruling.origin);
        if let (Some(origin), Some(killed)) = (origin, &self.killed)
            && origin.id.writer.ends_with("/placer")
            && origin.id.writer != killed.writer
        {
            let took_ms = now_ms.saturating_sub(killed.at_ms);
            self.bounds.takeover_ms = self.bounds.takeover_ms.max(took_ms);
            self.killed = None;
        }
        let found = self.gangs.appended(now_ms, truth, applied);
        self.bounds.reclaim_ms = self.gangs.reclaim_ms;
        if self.gangs.guarded {
            self.test(Promise::Guarantee);
        }
        if let Some(finding) = found {
            self.broken(finding);
        }
    }

    /// Checks the ledger of a process that has moved on.
    pub fn stepped(&mut self, vm: usize, own: &Vm, _log: &MemoryLog) {
        let ledger = &own.state.ledger;
        if let Some(expected) = self.hashes.get(&ledger.next).copied() {
            self.test(Promise::EqualLedgers);
            if ledger.digest() != expected {
                let text = format!("process {vm} differs at offset {}", ledger.next);
                self.broken(Finding::new(Promise::EqualLedgers, text));
            }
        }
        let seen = self.seen.entry(vm).or_default();
        let before = seen.cfg;
        seen.cfg = ledger.catalog.next;
        if ledger.catalog.next < before {
            let text = format!("process {vm} went back from configuration {before}");
            self.broken(Finding::new(Promise::Configuration, text));
        }
    }

    /// Checks the configuration of a process that has just become ready.
    pub fn ready(&mut self, now_ms: u64, vm: usize, own: &Vm, _log: &MemoryLog) {
        let ready = own.state.ready();
        let seen = self.seen.entry(vm).or_default();
        let turned = ready && !seen.ready;
        seen.ready = ready;
        if !turned {
            return;
        }
        let due = self.in_force(now_ms.saturating_sub(CONFIG_MS));
        if own.state.ledger.catalog.next < due {
            let text = format!("process {vm} became ready below configuration {due}");
            self.broken(Finding::new(Promise::Configuration, text));
        }
    }

    /// Forgets what a process showed before it was restarted.
    pub fn restarted(&mut self, vm: usize) {
        self.seen.remove(&vm);
    }

    /// Notes what a worker has prepared.
    pub fn synced(&mut self, worker: &FakeWorker) {
        self.gangs.synced(worker);
    }

    /// Checks the workers.
    pub fn workers(&mut self, now_ms: u64, workers: &[FakeWorker]) {
        let found = self.gangs.watch(now_ms, workers);
        self.bounds.partial_ms = self.gangs.partial_ms;
        if self.gangs.whole {
            self.test(Promise::WholeGang);
        }
        for finding in found {
            self.broken(finding);
        }
    }

    /// Hands a reply to its caller, and checks it.
    pub fn replied(&mut self, calls: &mut [Call], req: &Name, told: Told) {
        let Some(call) = calls.iter_mut().find(|call| call.req == *req) else {
            let text = format!("{req} was answered and never called");
            self.broken(Finding::new(Promise::RightAnswer, text));
            return;
        };
        self.test(Promise::RightAnswer);
        if !call.told.is_empty() {
            let text = format!("{req} was answered twice");
            self.broken(Finding::new(Promise::RightAnswer, text));
        }
        if let Reply::Upstream { .. } = &told.reply {
            let own = told.body.as_deref();
            let whole = own.is_some_and(|body| body.ends_with(&format!(" {req}")));
            if !whole {
                let text = format!("{req} got {own:?}");
                self.broken(Finding::new(Promise::RightAnswer, text));
            }
        }
        self.check_refusal(call, &told);
        self.check_config(call, &told);
        call.told.push(told);
    }

    /// Checks that a process which stopped as planned left no call open.
    pub fn stopped(&mut self, calls: &[Call], vm: usize, boot: u64) {
        self.test(Promise::PlannedStop);
        let own = calls
            .iter()
            .filter(|call| call.vm == vm && call.boot == boot);
        for call in own.filter(|call| call.open()) {
            let text = format!("{} was cut by a planned stop", call.req);
            self.broken(Finding::new(Promise::PlannedStop, text));
        }
    }

    fn enforced(&mut self, now_ms: u64, from: Offset, next: Offset) {
        for (_, at_ms) in self.published.range(from..next) {
            let took_ms = now_ms.saturating_sub(*at_ms);
            self.bounds.config_ms = self.bounds.config_ms.max(took_ms);
        }
        let at_ms = now_ms;
        self.turns.push(Turn { at_ms, next });
    }

    /// Returns the configuration offset that was in force by the log at a time.
    fn in_force(&self, at_ms: u64) -> Offset {
        let before = self.turns.iter().rev().find(|turn| turn.at_ms <= at_ms);
        before.map_or(0, |turn| turn.next)
    }

    fn check_refusal(&mut self, call: &Call, told: &Told) {
        let Reply::Refused(refusal) = &told.reply else {
            return;
        };
        if refusal.status == 503 && refusal.retry_ms.is_none() {
            let text = format!("{} was refused without a time to come again", call.req);
            self.broken(Finding::new(Promise::TrueRefusal, text));
        }
    }

    fn check_config(&mut self, call: &Call, told: &Told) {
        let decided = !matches!(&told.reply, Reply::Refused(refusal) if refusal.ran == Ran::No);
        let sent_ms = call.sent_ms.unwrap_or(told.at_ms);
        let due = self.in_force(sent_ms.saturating_sub(CONFIG_MS));
        if !decided {
            return;
        }
        self.test(Promise::Configuration);
        if told.cfg < due {
            let text = format!("{} was decided under {}, not {due}", call.req, told.cfg);
            self.broken(Finding::new(Promise::Configuration, text));
        }
    }
}
