//! The gangs: whole or not at all.
//!
//! A gang is placed by one record, whose offset is the placement's token. Its workers prepare
//! it; once every one has said so it runs, and once one of them lost it or failed, all stop.
//! Its accelerators come back only when every worker said that its members have ended, or when
//! the worker was silent for longer than a lease.

use super::Ledger;
use super::Origin;
use super::catalog::check_allowed;
use crate::model::Job;
use crate::model::Kind;
use crate::prelude::*;
use crate::records::Entry;
use crate::records::MemberState;
use crate::records::Slot;
use crate::records::Verdict;
use crate::records::Void;
use crate::records::WorkerState;
use crate::reducer::plan::guarantee;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::VecDeque;

/// The most gangs that wait or run.
pub const LIVE_MAX: usize = 100_000;
/// The most ended gangs that are remembered.
pub const ENDED_MAX: usize = 20_000;
/// The most placements of one gang that end by a fault.
pub const FAULTS_MAX: u32 = 5;
/// The most members of one gang.
pub const MEMBERS_MAX: u32 = 1_024;

/// How a gang ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// Every member ran to its end.
    Done,
    /// It ended by a fault of its own, or had too many faults.
    Failed(String),
    /// Its caller cancelled it.
    Cancelled,
    /// It can never run.
    Rejected(String),
    /// It may have run in part, and must not run twice.
    Unknown(String),
}

/// What follows once all members have stopped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum After {
    /// It is queued again.
    Queue,
    /// It ends.
    End(Ending),
}

/// How far a gang is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It waits for accelerators.
    Queued,
    /// Its workers prepare it.
    Preparing,
    /// It runs on every one of its workers.
    Running,
    /// It is being stopped.
    Stopping(After),
    /// It has ended.
    Ended(Ending),
}

/// A gang.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gang {
    /// What was submitted.
    pub job: Job,
    /// How far it is.
    pub phase: Phase,
    /// The token of the last placement.
    pub token: Offset,
    /// How many times it was placed.
    pub attempt: u32,
    /// How many placements ended by a fault.
    pub faults: u32,
    /// The slots that it holds; empty while it is queued or ended.
    pub slots: Vec<Slot>,
    /// What each worker last said of its members.
    pub reports: BTreeMap<Name, MemberState>,
    /// The run time that is kept by its checkpoint, in milliseconds.
    pub kept_ms: u64,
    /// Whether the last placement ever ran.
    pub started: bool,
    /// The ledger's clock at its submission, in milliseconds.
    pub submitted_ms: u64,
    /// The ledger's clock when its phase last changed, in milliseconds.
    pub since_ms: u64,
    /// The configuration offset in force at its last change of phase.
    pub cfg: Offset,
    /// The gang that it was stopped for, if it was reclaimed.
    pub waiter: Option<Name>,
}

impl Gang {
    /// Returns the accelerators of the whole gang.
    pub fn accelerators(&self) -> u32 {
        self.job.members.saturating_mul(self.job.accelerators)
    }

    /// Tells whether it holds slots.
    pub fn holds(&self) -> bool {
        !self.slots.is_empty()
    }
}

/// All gangs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Gangs {
    /// The gangs, by identifier.
    pub all: BTreeMap<Name, Gang>,
    ended: VecDeque<Name>,
}

impl Gangs {
    /// Returns how many gangs wait or run.
    pub fn live(&self) -> usize {
        self.all.len() - self.ended.len()
    }

    /// Forgets the gangs that ended longest ago.
    pub(super) fn forget(&mut self) {
        while self.ended.len() > ENDED_MAX {
            if let Some(job) = self.ended.pop_front() {
                self.all.remove(&job);
            }
        }
    }
}

/// Tells whether a gang of this kind can be stopped at any time without harm.
pub fn stoppable(kind: Option<&Kind>) -> bool {
    kind.is_some_and(|kind| kind.idempotent || kind.checkpoint)
}

/// Rules on an entry about a gang.
pub(super) fn rule(
    ledger: &mut Ledger,
    origin: &Origin,
    entry: &Entry,
    moved: &mut Vec<Name>,
) -> Verdict {
    let job = match entry {
        Entry::Submit { job } => {
            submit(ledger, origin, job)?;
            &job.id
        }
        Entry::Cancel { job } => {
            cancel(ledger, origin, job)?;
            job
        }
        Entry::Place {
            job,
            attempt,
            slots,
        } => {
            place(ledger, origin, job, *attempt, slots)?;
            job
        }
        Entry::Reclaim { job, token, waiter } => {
            reclaim(ledger, origin, job, *token, waiter.clone())?;
            job
        }
        Entry::Reject { job, reason } => {
            let gang = find(ledger, job)?;
            if gang.phase != Phase::Queued {
                return Err(Void::Phase);
            }
            end(ledger, origin, job, Ending::Rejected(reason.clone()));
            job
        }
        Entry::Member {
            job,
            token,
            worker,
            state,
            kept_ms,
        } => {
            let before = find(ledger, job)?.phase.clone();
            report(ledger, origin, job, *token, worker, *state, *kept_ms)?;
            if find(ledger, job)?.phase == before {
                return Ok(());
            }
            job
        }
        _ => return Err(Void::Phase),
    };
    moved.push(job.clone());
    Ok(())
}

/// Takes down the gangs of a worker that was lost.
pub(super) fn follow_worker(ledger: &mut Ledger, worker: &Name, moved: &mut Vec<Name>) {
    let lost = ledger
        .fleet
        .hosts
        .get(worker)
        .is_some_and(|host| host.state == WorkerState::Lost);
    if !lost {
        return;
    }
    let clock_ms = ledger.clock_ms;
    let cfg = ledger.catalog.next;
    for (job, gang) in &mut ledger.gangs.all {
        let on_it = gang.slots.iter().any(|slot| slot.worker == *worker);
        if on_it && matches!(gang.phase, Phase::Preparing | Phase::Running) {
            let kind = ledger.catalog.kind(&gang.job.kind);
            stop_after_loss(gang, stoppable(kind), "a worker was lost", cfg, clock_ms);
            moved.push(job.clone());
        }
    }
}

fn find<'a>(ledger: &'a mut Ledger, job: &Name) -> std::result::Result<&'a mut Gang, Void> {
    let found = ledger.gangs.all.get_mut(job);
    found.ok_or_else(|| Void::Unknown(format!("job {job}")))
}

fn submit(ledger: &mut Ledger, origin: &Origin, job: &Job) -> Verdict {
    check_allowed(&ledger.catalog, &job.workspace, &job.kind)?;
    if ledger.gangs.all.contains_key(&job.id) {
        return Err(Void::Taken);
    }
    if ledger.gangs.live() >= LIVE_MAX {
        return Err(Void::Full("live jobs".into()));
    }
    if job.members == 0 || job.members > MEMBERS_MAX {
        return Err(Void::Policy(format!("members must be 1 to {MEMBERS_MAX}")));
    }
    let gang = Gang {
        job: job.clone(),
        phase: Phase::Queued,
        token: 0,
        attempt: 0,
        faults: 0,
        slots: Vec::new(),
        reports: BTreeMap::new(),
        kept_ms: 0,
        started: false,
        submitted_ms: origin.at_ms,
        since_ms: origin.at_ms,
        cfg: origin.cfg,
        waiter: None,
    };
    ledger.gangs.all.insert(job.id.clone(), gang);
    Ok(())
}

fn cancel(ledger: &mut Ledger, origin: &Origin, job: &Name) -> Verdict {
    let gang = find(ledger, job)?;
    match &gang.phase {
        Phase::Queued => end(ledger, origin, job, Ending::Cancelled),
        Phase::Preparing | Phase::Running | Phase::Stopping(After::Queue) => {
            stop(
                gang,
                After::End(Ending::Cancelled),
                origin.cfg,
                origin.at_ms,
            );
        }
        Phase::Stopping(After::End(_)) | Phase::Ended(_) => return Err(Void::Phase),
    }
    Ok(())
}

fn place(
    ledger: &mut Ledger,
    origin: &Origin,
    job: &Name,
    attempt: u32,
    slots: &[Slot],
) -> Verdict {
    let gang = find(ledger, job)?;
    if gang.phase != Phase::Queued {
        return Err(Void::Phase);
    }
    if gang.attempt != attempt {
        return Err(Void::Token);
    }
    if slots.len() != gang.job.members as usize {
        return Err(Void::Policy("a slot for each member".into()));
    }
    let spec = gang.job.clone();
    guarantee::check_place(ledger, &spec, slots)?;
    ledger.fleet.check(&spec, slots)?;
    ledger.fleet.hold(&spec, slots);
    let gang = find(ledger, job)?;
    gang.phase = Phase::Preparing;
    gang.token = origin.offset;
    gang.attempt += 1;
    gang.slots = slots.to_vec();
    gang.reports.clear();
    gang.started = false;
    gang.waiter = None;
    gang.since_ms = origin.at_ms;
    gang.cfg = origin.cfg;
    Ok(())
}

fn reclaim(
    ledger: &mut Ledger,
    origin: &Origin,
    job: &Name,
    token: Offset,
    waiter: Option<Name>,
) -> Verdict {
    let gang = find(ledger, job)?;
    if gang.token != token {
        return Err(Void::Token);
    }
    if !matches!(gang.phase, Phase::Preparing | Phase::Running) {
        return Err(Void::Phase);
    }
    let kind = gang.job.kind.clone();
    let started = gang.started;
    if started && !stoppable(ledger.catalog.kind(&kind)) {
        return Err(Void::Policy(format!("{kind} cannot be stopped")));
    }
    let gang = find(ledger, job)?;
    gang.waiter = waiter;
    stop(gang, After::Queue, origin.cfg, origin.at_ms);
    Ok(())
}

fn report(
    ledger: &mut Ledger,
    origin: &Origin,
    job: &Name,
    token: Offset,
    worker: &Name,
    state: MemberState,
    kept_ms: u64,
) -> Verdict {
    let kind = find(ledger, job)?.job.kind.clone();
    let stoppable = stoppable(ledger.catalog.kind(&kind));
    let gang = find(ledger, job)?;
    if gang.token != token {
        return Err(Void::Token);
    }
    if !gang.slots.iter().any(|slot| slot.worker == *worker) {
        return Err(Void::Unknown(format!("member on {worker}")));
    }
    if gang
        .reports
        .get(worker)
        .is_some_and(|last| final_state(*last) || *last == state)
    {
        return Err(Void::Phase);
    }
    gang.reports.insert(worker.clone(), state);
    if gang.job.accelerators > 0 || kept_ms > gang.kept_ms {
        gang.kept_ms = gang.kept_ms.max(kept_ms);
    }
    let cfg = origin.cfg;
    let at_ms = origin.at_ms;
    match (&gang.phase, state) {
        (Phase::Preparing, MemberState::Ready)
            if all(gang, |state| state == MemberState::Ready) =>
        {
            gang.phase = Phase::Running;
            gang.started = true;
            gang.since_ms = at_ms;
            gang.cfg = cfg;
        }
        (Phase::Running, MemberState::Done | MemberState::Ready)
            if all(gang, |state| state == MemberState::Done) =>
        {
            end(ledger, origin, job, Ending::Done);
        }
        (Phase::Preparing, MemberState::Ready)
        | (Phase::Running, MemberState::Done | MemberState::Ready) => {}
        (Phase::Preparing | Phase::Running, MemberState::Failed) => {
            gang.faults += 1;
            let after = match gang.faults < FAULTS_MAX && (stoppable || !gang.started) {
                true => After::Queue,
                false => After::End(Ending::Failed("a member failed".into())),
            };
            stop(gang, after, cfg, at_ms);
        }
        (Phase::Preparing | Phase::Running, _) => {
            stop_after_loss(gang, stoppable, "a member was lost", cfg, at_ms);
        }
        _ => {}
    }
    settle_stop(ledger, origin, job);
    Ok(())
}

/// Ends the stop of a gang once each of its workers said that its members have ended.
fn settle_stop(ledger: &mut Ledger, origin: &Origin, job: &Name) {
    let Some(gang) = ledger.gangs.all.get_mut(job) else {
        return;
    };
    let Phase::Stopping(after) = gang.phase.clone() else {
        return;
    };
    if !all(gang, final_state) {
        return;
    }
    let complete = all(gang, |state| state == MemberState::Done);
    match after {
        _ if complete => end(ledger, origin, job, Ending::Done),
        After::End(ending) => end(ledger, origin, job, ending),
        After::Queue => {
            let spec = gang.job.clone();
            let slots = std::mem::take(&mut gang.slots);
            gang.phase = Phase::Queued;
            gang.since_ms = origin.at_ms;
            gang.cfg = origin.cfg;
            ledger.fleet.free(&spec, &slots);
        }
    }
}

fn all(gang: &Gang, test: impl Fn(MemberState) -> bool) -> bool {
    gang.slots.iter().all(|slot| {
        let state = gang.reports.get(&slot.worker);
        state.is_some_and(|state| test(*state))
    })
}

fn final_state(state: MemberState) -> bool {
    state != MemberState::Ready
}

fn stop_after_loss(gang: &mut Gang, stoppable: bool, why: &str, cfg: Offset, at_ms: u64) {
    gang.faults += 1;
    let after = match (gang.started, stoppable) {
        (true, false) => After::End(Ending::Unknown(why.into())),
        _ if gang.faults >= FAULTS_MAX => After::End(Ending::Failed(why.into())),
        _ => After::Queue,
    };
    stop(gang, after, cfg, at_ms);
}

fn stop(gang: &mut Gang, after: After, cfg: Offset, at_ms: u64) {
    gang.phase = Phase::Stopping(after);
    gang.since_ms = at_ms;
    gang.cfg = cfg;
}

fn end(ledger: &mut Ledger, origin: &Origin, job: &Name, ending: Ending) {
    let Some(gang) = ledger.gangs.all.get_mut(job) else {
        return;
    };
    gang.phase = Phase::Ended(ending);
    gang.since_ms = origin.at_ms;
    gang.cfg = origin.cfg;
    gang.reports.clear();
    let slots = std::mem::take(&mut gang.slots);
    let spec = gang.job.clone();
    ledger.gangs.ended.push_back(job.clone());
    ledger.fleet.free(&spec, &slots);
}
