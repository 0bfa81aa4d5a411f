//! The promises of the system, and the checkers that detect a broken one.

use super::call::Call;
use super::call::ReceivedReply;
use super::gangs::GangChecker;
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

/// The time after which every process must decide under an accepted configuration, in milliseconds.
pub const CONFIG_MS: u64 = 3_000;
/// The time after which a leaving runner must receive no new work, in milliseconds.
pub const LEAVE_MS: u64 = 3_000;
/// The number of control records between two comparisons of ledgers.
const COMPARE_EVERY: u64 = 4;

/// A property that must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// A guaranteed shape can always be reclaimed.
    Guarantee,
    /// A gang runs on all of its workers or on none.
    WholeGang,
    /// Each caller gets one complete answer to its own request.
    RightAnswer,
    /// A request whose refusal says that it did not run has not run.
    TrueRefusal,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving runner gets no new work after [`LEAVE_MS`].
    Leaving,
    /// A planned stop leaves no open call without a reply.
    PlannedStop,
    /// An accepted configuration is in force everywhere and never reverts.
    Configuration,
    /// Two processes at the same offset hold equal ledgers.
    EqualLedgers,
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The promise.
    pub promise: Promise,
    /// What the run showed.
    pub text: String,
}

impl Finding {
    /// Makes a finding.
    pub fn new(promise: Promise, text: impl Into<String>) -> Self {
        let text = text.into();
        Self { promise, text }
    }
}

/// The longest times in a run, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Bounds {
    /// The longest time for which a gang ran on only some of its workers.
    pub partial_ms: u64,
    /// From the reclaim of a gang to the release of its accelerators.
    pub reclaim_ms: u64,
    /// From when a runner began to leave to its last new request.
    pub leaving_ms: u64,
    /// From the publication of a change until it is in force according to the log.
    pub config_ms: u64,
    /// From the kill of a placer to the next record of another one.
    pub takeover_ms: u64,
}

impl Bounds {
    /// Keeps the longer time of each pair.
    pub fn merge(&mut self, other: &Self) {
        self.partial_ms = self.partial_ms.max(other.partial_ms);
        self.reclaim_ms = self.reclaim_ms.max(other.reclaim_ms);
        self.leaving_ms = self.leaving_ms.max(other.leaving_ms);
        self.config_ms = self.config_ms.max(other.config_ms);
        self.takeover_ms = self.takeover_ms.max(other.takeover_ms);
    }
}

/// A configuration offset, and when it came into force according to the log.
#[derive(Debug, Clone, Copy)]
struct Activation {
    at_ms: u64,
    next: Offset,
}

/// A placer that was killed.
#[derive(Debug, Clone)]
struct Killed {
    writer: Name,
    at_ms: u64,
}

/// What was last observed of a process since it started.
#[derive(Debug, Clone, Copy, Default)]
struct ProcessStatus {
    cfg: Offset,
    ready: bool,
}

/// All checkers of a run.
#[derive(Debug, Clone, Default)]
pub struct Checkers {
    /// The broken promises that were found.
    pub findings: Vec<Finding>,
    /// How often each promise was tested.
    pub tested: BTreeMap<Promise, u32>,
    /// The longest times.
    pub bounds: Bounds,
    gangs: GangChecker,
    hashes: BTreeMap<Offset, u64>,
    activations: Vec<Activation>,
    published: BTreeMap<Offset, u64>,
    statuses: BTreeMap<usize, ProcessStatus>,
    killed: Option<Killed>,
}

impl Checkers {
    /// Records a broken promise, once for the same text.
    pub fn add_finding(&mut self, finding: Finding) {
        if !self.findings.contains(&finding) {
            self.findings.push(finding);
        }
    }

    /// Counts one test of a promise.
    pub fn count_test(&mut self, promise: Promise) {
        *self.tested.entry(promise).or_insert(0) += 1;
    }

    /// Records when a change was published.
    pub fn record_change(&mut self, now_ms: u64, offset: Offset) {
        self.published.insert(offset, now_ms);
    }

    /// Records the kill of a placer.
    pub fn record_kill(&mut self, at_ms: u64, writer: &Name) {
        let writer = writer.clone();
        self.killed = Some(Killed { writer, at_ms });
    }

    /// Checks the reference ledger after one more control record.
    pub fn check_record(&mut self, now_ms: u64, reference: &Ledger, applied: &Applied) {
        if reference.next.is_multiple_of(COMPARE_EVERY) {
            self.hashes.insert(reference.next, reference.digest());
        }
        let last = self
            .activations
            .last()
            .map_or(0, |activation| activation.next);
        if reference.catalog.next > last {
            self.record_activation(now_ms, last, reference.catalog.next);
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
        let found = self.gangs.check_record(now_ms, reference, applied);
        self.bounds.reclaim_ms = self.gangs.reclaim_ms;
        if self.gangs.guarantee_tested {
            self.count_test(Promise::Guarantee);
        }
        if let Some(finding) = found {
            self.add_finding(finding);
        }
    }

    /// Checks the ledger of a process that has applied more records.
    pub fn check_ledger(&mut self, vm: usize, process: &Vm, _log: &MemoryLog) {
        let ledger = &process.state.ledger;
        if let Some(expected) = self.hashes.get(&ledger.next).copied() {
            self.count_test(Promise::EqualLedgers);
            if ledger.digest() != expected {
                let text = format!("process {vm} differs at offset {}", ledger.next);
                self.add_finding(Finding::new(Promise::EqualLedgers, text));
            }
        }
        let status = self.statuses.entry(vm).or_default();
        let before = status.cfg;
        status.cfg = ledger.catalog.next;
        if ledger.catalog.next < before {
            let text = format!("process {vm} went back from configuration {before}");
            self.add_finding(Finding::new(Promise::Configuration, text));
        }
    }

    /// Checks the configuration of a process when it becomes ready.
    pub fn check_ready(&mut self, now_ms: u64, vm: usize, process: &Vm, _log: &MemoryLog) {
        let ready = process.state.ready();
        let status = self.statuses.entry(vm).or_default();
        let became_ready = ready && !status.ready;
        status.ready = ready;
        if !became_ready {
            return;
        }
        let due = self.in_force(now_ms.saturating_sub(CONFIG_MS));
        if process.state.ledger.catalog.next < due {
            let text = format!("process {vm} became ready below configuration {due}");
            self.add_finding(Finding::new(Promise::Configuration, text));
        }
    }

    /// Discards the observations of a process from before its restart.
    pub fn forget_process(&mut self, vm: usize) {
        self.statuses.remove(&vm);
    }

    /// Records what a worker has prepared.
    pub fn record_prepared(&mut self, worker: &FakeWorker) {
        self.gangs.record_prepared(worker);
    }

    /// Checks the workers.
    pub fn check_workers(&mut self, now_ms: u64, workers: &[FakeWorker]) {
        let found = self.gangs.check_workers(now_ms, workers);
        self.bounds.partial_ms = self.gangs.partial_ms;
        if self.gangs.whole {
            self.count_test(Promise::WholeGang);
        }
        for finding in found {
            self.add_finding(finding);
        }
    }

    /// Checks a reply, and passes it to its caller.
    pub fn record_reply(&mut self, calls: &mut [Call], req: &Name, received: ReceivedReply) {
        let Some(call) = calls.iter_mut().find(|call| call.req == *req) else {
            let text = format!("{req} was answered and never called");
            self.add_finding(Finding::new(Promise::RightAnswer, text));
            return;
        };
        self.count_test(Promise::RightAnswer);
        if !call.replies.is_empty() {
            let text = format!("{req} was answered twice");
            self.add_finding(Finding::new(Promise::RightAnswer, text));
        }
        if let Reply::Upstream { .. } = &received.reply {
            let body = received.body.as_deref();
            let whole = body.is_some_and(|body| body.ends_with(&format!(" {req}")));
            if !whole {
                let text = format!("{req} got {body:?}");
                self.add_finding(Finding::new(Promise::RightAnswer, text));
            }
        }
        self.check_refusal(call, &received);
        self.check_config(call, &received);
        call.replies.push(received);
    }

    /// Checks that a process which stopped as planned left no call open.
    pub fn check_planned_stop(&mut self, calls: &[Call], vm: usize, boot: u64) {
        self.count_test(Promise::PlannedStop);
        let calls = calls
            .iter()
            .filter(|call| call.vm == vm && call.boot == boot);
        for call in calls.filter(|call| call.is_open()) {
            let text = format!("{} was cut by a planned stop", call.req);
            self.add_finding(Finding::new(Promise::PlannedStop, text));
        }
    }

    fn record_activation(&mut self, now_ms: u64, from: Offset, next: Offset) {
        for (_, at_ms) in self.published.range(from..next) {
            let took_ms = now_ms.saturating_sub(*at_ms);
            self.bounds.config_ms = self.bounds.config_ms.max(took_ms);
        }
        let at_ms = now_ms;
        self.activations.push(Activation { at_ms, next });
    }

    /// Returns the configuration offset that was in force at a time, according to the log.
    fn in_force(&self, at_ms: u64) -> Offset {
        let before = self
            .activations
            .iter()
            .rev()
            .find(|activation| activation.at_ms <= at_ms);
        before.map_or(0, |activation| activation.next)
    }

    fn check_refusal(&mut self, call: &Call, received: &ReceivedReply) {
        let Reply::Refused(refusal) = &received.reply else {
            return;
        };
        if refusal.status == 503 && refusal.retry_ms.is_none() {
            let text = format!("{} was refused without a time to come again", call.req);
            self.add_finding(Finding::new(Promise::TrueRefusal, text));
        }
    }

    fn check_config(&mut self, call: &Call, received: &ReceivedReply) {
        let decided = !matches!(&received.reply, Reply::Refused(refusal) if refusal.ran == Ran::No);
        let sent_ms = call.sent_ms.unwrap_or(received.at_ms);
        let due = self.in_force(sent_ms.saturating_sub(CONFIG_MS));
        if !decided {
            return;
        }
        self.count_test(Promise::Configuration);
        if received.cfg < due {
            let text = format!("{} was decided under {}, not {due}", call.req, received.cfg);
            self.add_finding(Finding::new(Promise::Configuration, text));
        }
    }
}
