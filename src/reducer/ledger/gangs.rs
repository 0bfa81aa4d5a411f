//! The gangs: jobs whose members are placed and run all together or not at all.
//!
//! A gang is placed by one record, whose offset is the placement's token. Its workers prepare
//! it; it runs once every one of them has reported ready, and all members stop once one of them
//! fails or is lost. Its accelerators are freed only when every worker has reported that its
//! members ended, or has been silent for longer than a lease.

pub mod fit;
pub mod learn;
mod placing;
mod reports;

use super::Ledger;
use super::Origin;
use crate::model::Job;
use crate::model::Kind;
use crate::prelude::*;
use crate::records::Entry;
use crate::records::MemberState;
use crate::records::Slot;
use crate::records::Verdict;
use crate::records::Void;
use crate::reducer::plan::guarantee;
use crate::reducer::plan::standing::Assignment;
use crate::reducer::plan::standing::Cover;
use learn::Learned;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

/// The most gangs that wait or run.
pub const MAX_LIVE_GANGS: usize = 100_000;
/// The most ended gangs that are remembered.
pub const MAX_ENDED_GANGS: usize = 20_000;
/// The most placements of one gang that end by a fault; with the last of them the gang fails.
pub const MAX_FAULTED_PLACEMENTS: u32 = 5;
/// The different workers on which a gang fails before the gang itself is considered faulty.
pub const GANG_FAULT_WORKERS: usize = 3;
/// The most members of one gang.
pub const MEMBERS_MAX: u32 = 1_024;

/// How a gang ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// Every member completed.
    Done,
    /// It failed by a fault of its own, or too many of its placements failed.
    Failed(String),
    /// Its caller cancelled it.
    Cancelled,
    /// It can never run.
    Rejected(String),
    /// It may have run partially, and must not run twice.
    Unknown(String),
}

/// What happens to a gang once all its members have stopped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum After {
    /// It is queued again.
    Queue,
    /// It ends.
    End(Ending),
}

/// The phase of a gang.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It waits for accelerators.
    Queued,
    /// Its workers are preparing it.
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
    /// The job as submitted.
    pub job: Job,
    /// Its current phase.
    pub phase: Phase,
    /// The token of the last placement.
    pub token: Offset,
    /// How many times it was placed.
    pub attempt: u32,
    /// How many placements ended by a fault.
    pub faults: u32,
    /// The slots that it holds; empty while it is queued or ended.
    pub slots: Vec<Slot>,
    /// The last state that each worker reported of its members.
    pub reports: BTreeMap<Name, MemberState>,
    /// The run time that its checkpoints preserve, in milliseconds.
    pub kept_ms: u64,
    /// The run time that each worker's checkpoint of this placement preserves, in milliseconds.
    pub marks: BTreeMap<Name, u64>,
    /// Whether the last placement ever ran.
    pub started: bool,
    /// Whether it cannot be stopped once it has started, by the configuration in force at its last
    /// placement.
    pub firm: bool,
    /// The guaranteed capacity of its workspace that it uses; empty if it uses borrowed capacity.
    pub cover: Vec<Cover>,
    /// The workers on which it failed.
    pub failed_on: BTreeSet<Name>,
    /// The ledger's clock at its last start, in milliseconds.
    pub start_ms: u64,
    /// The ledger's clock at its submission, in milliseconds.
    pub submitted_ms: u64,
    /// The control offset of its submission.
    pub offset: Offset,
    /// The control offset at which its phase last changed.
    pub turned: Offset,
    /// The ledger's clock when its phase last changed, in milliseconds.
    pub since_ms: u64,
    /// The configuration offset in force at its last change of phase.
    pub cfg: Offset,
    /// The gang for which its accelerators were reclaimed, if any.
    pub waiter: Option<Name>,
}

impl Gang {
    /// Returns the accelerators of the whole gang.
    pub fn accelerators(&self) -> u32 {
        self.job.members.saturating_mul(self.job.accelerators)
    }

    /// Returns whether it holds slots, as it does from its placement until all members have ended.
    pub fn holds_slots(&self) -> bool {
        !self.slots.is_empty()
    }

    /// Returns whether it can be preempted, so that its accelerators serve other work.
    pub fn reclaimable(&self) -> bool {
        let holds = matches!(self.phase, Phase::Preparing | Phase::Running);
        holds && !(self.firm && self.started)
    }

    /// Returns whether it waits for accelerators.
    pub fn is_queued(&self) -> bool {
        self.phase == Phase::Queued
    }
}

/// All gangs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Gangs {
    /// The gangs, by identifier.
    pub all: BTreeMap<Name, Gang>,
    /// The gangs that wait.
    pub queued: BTreeSet<Name>,
    /// The gangs that hold slots.
    pub holding: BTreeSet<Name>,
    /// The accelerators that each workspace holds.
    pub held: BTreeMap<Name, u64>,
    /// The workers that are assigned to each guaranteed shape, where it can be reclaimed.
    pub standing: Assignment,
    /// The run times that were learned from finished gangs.
    pub learned: Learned,
    followed: u64,
    ended: VecDeque<Name>,
}

impl Gangs {
    /// Returns how many gangs wait or run.
    pub fn live(&self) -> usize {
        self.all.len() - self.ended.len()
    }

    /// Returns whether the standing assignment is up to date after `shape_changes` changes to racks
    /// and guarantees.
    pub fn standing_is_current(&self, shape_changes: u64) -> bool {
        self.followed == shape_changes
    }

    /// Removes the gangs that ended longest ago, beyond [`MAX_ENDED_GANGS`].
    pub(super) fn prune_ended(&mut self) {
        while self.ended.len() > MAX_ENDED_GANGS {
            if let Some(job) = self.ended.pop_front() {
                self.all.remove(&job);
            }
        }
    }
}

/// Returns whether gangs of this kind can be stopped at any time, as they are idempotent or write
/// checkpoints.
pub fn stoppable(kind: Option<&Kind>) -> bool {
    kind.is_some_and(|kind| kind.idempotent || kind.checkpoint)
}

/// Reassigns the guaranteed shapes if the configuration changed racks or guarantees.
pub(super) fn update_standing(ledger: &mut Ledger) {
    if ledger.gangs.followed == ledger.catalog.shape_changes {
        return;
    }
    ledger.gangs.followed = ledger.catalog.shape_changes;
    let found = guarantee::assign_guarantees(&ledger.catalog, &ledger.fleet, &ledger.gangs);
    let Ok(mut found) = found else {
        return;
    };
    ledger.gangs.standing = found.standing;
    for job in &ledger.gangs.holding {
        if let Some(gang) = ledger.gangs.all.get_mut(job) {
            gang.cover = found.covers.remove(job).unwrap_or_default();
        }
    }
}

/// Applies an entry about a gang.
pub(super) fn apply(
    ledger: &mut Ledger,
    origin: &Origin,
    entry: &Entry,
    changed: &mut Vec<Name>,
) -> Verdict {
    let job = match entry {
        Entry::Submit { job } => {
            placing::submit(ledger, origin, job)?;
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
            placing::place(ledger, origin, job, *attempt, slots)?;
            job
        }
        Entry::Reclaim { job, token, waiter } => {
            placing::reclaim(ledger, origin, job, *token, waiter.clone())?;
            job
        }
        Entry::Reject { job, reason } => {
            placing::reject(ledger, origin, job, reason)?;
            job
        }
        Entry::Member { job, .. } => {
            let before = find(ledger, job)?.phase.clone();
            reports::apply(ledger, origin, entry)?;
            if find(ledger, job)?.phase == before {
                return Ok(());
            }
            job
        }
        _ => return Err(Void::Phase),
    };
    changed.push(job.clone());
    Ok(())
}

pub(crate) use reports::members_ended;
pub(super) use reports::stop_on_loss;

fn find<'a>(ledger: &'a mut Ledger, job: &Name) -> std::result::Result<&'a mut Gang, Void> {
    let found = ledger.gangs.all.get_mut(job);
    found.ok_or_else(|| Void::Unknown(format!("job {job}")))
}

fn cancel(ledger: &mut Ledger, origin: &Origin, job: &Name) -> Verdict {
    let gang = find(ledger, job)?;
    match &gang.phase {
        Phase::Queued => end(ledger, origin, job, Ending::Cancelled),
        Phase::Preparing | Phase::Running | Phase::Stopping(After::Queue) => {
            let after = After::End(Ending::Cancelled);
            gang.set_phase(Phase::Stopping(after), origin.into());
        }
        Phase::Stopping(After::End(_)) | Phase::Ended(_) => return Err(Void::Phase),
    }
    Ok(())
}

/// The log position and time of a change of phase.
#[derive(Debug, Clone, Copy)]
struct PhaseChange {
    offset: Offset,
    cfg: Offset,
    at_ms: u64,
}

impl From<&Origin> for PhaseChange {
    fn from(origin: &Origin) -> Self {
        Self {
            offset: origin.offset,
            cfg: origin.cfg,
            at_ms: origin.at_ms,
        }
    }
}

impl Gang {
    fn set_phase(&mut self, phase: Phase, change: PhaseChange) {
        self.phase = phase;
        self.turned = change.offset;
        self.since_ms = change.at_ms;
        self.cfg = change.cfg;
    }
}

fn end(ledger: &mut Ledger, origin: &Origin, job: &Name, ending: Ending) {
    release(ledger, job);
    let Some(gang) = ledger.gangs.all.get_mut(job) else {
        return;
    };
    gang.set_phase(Phase::Ended(ending), origin.into());
    gang.reports.clear();
    gang.marks.clear();
    ledger.gangs.queued.remove(job);
    ledger.gangs.ended.push_back(job.clone());
}

/// Frees the slots that a gang holds, and the guaranteed capacity that it uses.
fn release(ledger: &mut Ledger, job: &Name) {
    let Some(gang) = ledger.gangs.all.get_mut(job) else {
        return;
    };
    let slots = std::mem::take(&mut gang.slots);
    if slots.is_empty() {
        return;
    }
    let covers = std::mem::take(&mut gang.cover);
    ledger.gangs.standing.uncover(&ledger.fleet, &covers);
    ledger.gangs.holding.remove(job);
    let size = guarantee::gang_accelerators(&gang.job);
    if let Some(held) = ledger.gangs.held.get_mut(&gang.job.workspace) {
        *held = held.saturating_sub(size);
    }
    ledger.fleet.free(&gang.job, &slots);
}
