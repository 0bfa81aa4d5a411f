//! Guarantees: which ones a configuration can give, and which placements leave all of them
//! reclaimable.

use super::repack;
use super::standing::Assignment;
use super::standing::Cover;
use super::standing::by_worker;
use crate::model::Job;
use crate::prelude::*;
use crate::records::Slot;
use crate::records::Verdict;
use crate::records::Void;
use crate::reducer::ledger::Ledger;
use crate::reducer::ledger::catalog::Catalog;
use crate::reducer::ledger::fleet::Fleet;
use crate::reducer::ledger::gangs::Gang;
use crate::reducer::ledger::gangs::Gangs;
use std::collections::BTreeMap;

/// The size limit of the guaranteed shapes that work which can be stopped counts against, as a
/// multiple of the work's own size; so small work does not use up the shapes of large work.
pub const COVER_FACTOR: u64 = 2;

/// The assignment of a configuration's guaranteed shapes, and the gangs that count against it.
#[derive(Debug, Clone, PartialEq)]
pub struct AssignedGuarantees {
    /// The assignment.
    pub standing: Assignment,
    /// The covers of each gang that holds slots within a guarantee or cannot be stopped.
    pub covers: BTreeMap<Name, Vec<Cover>>,
}

/// Checks that all guaranteed shapes fit on the configured workers at the same time, adjacency
/// included, beside the running work that cannot be stopped.
///
/// # Errors
///
/// The part that does not fit.
pub fn check_guarantees(
    catalog: &Catalog,
    fleet: &Fleet,
    gangs: &Gangs,
) -> std::result::Result<(), String> {
    let rebuilt = fleet.with_catalog(catalog);
    let fleet = rebuilt.as_ref().unwrap_or(fleet);
    assign_guarantees(catalog, fleet, gangs).map(|_| ())
}

/// Assigns all guaranteed shapes of a configuration to domains.
///
/// # Errors
///
/// The part that does not fit.
pub fn assign_guarantees(
    catalog: &Catalog,
    fleet: &Fleet,
    gangs: &Gangs,
) -> std::result::Result<AssignedGuarantees, String> {
    let have = fleet.total();
    let promised: u64 = catalog
        .workspaces
        .values()
        .flat_map(|held| &held.value.guarantees)
        .map(|guarantee| u64::from(guarantee.count) * u64::from(guarantee.shape.accelerators))
        .sum();
    if promised > have {
        return Err(format!(
            "{promised} accelerators are promised, {have} exist"
        ));
    }
    let mut standing = Assignment::unassigned(catalog);
    if !repack::repack(&mut standing, fleet, &mut Vec::new()) {
        return Err("the promised shapes do not fit side by side on the configured workers".into());
    }
    let mut covers = BTreeMap::new();
    let mut holding: Vec<&Gang> = gangs
        .all
        .values()
        .filter(|gang| gang.holds_slots())
        .collect();
    holding.sort_by_key(|gang| (!gang.firm, gang.token));
    for gang in holding {
        if !gang.firm && gang.cover.is_empty() {
            continue;
        }
        let found = admit_placement(&mut standing, fleet, &gang.job, gang.firm, &gang.slots);
        let found = match found {
            Ok(found) => found,
            Err(_) => cover_outside(&mut standing, fleet, gang)?,
        };
        covers.insert(gang.job.id.clone(), found);
    }
    Ok(AssignedGuarantees { standing, covers })
}

fn cover_outside(
    standing: &mut Assignment,
    fleet: &Fleet,
    gang: &Gang,
) -> std::result::Result<Vec<Cover>, String> {
    let found = standing.cover_outside(fleet, &gang.slots);
    let mut changes = Vec::new();
    let clear = repack::overloaded(standing, fleet).is_none();
    if standing.loads.total <= fleet.total()
        && (clear || repack::repack(standing, fleet, &mut changes))
    {
        return Ok(found);
    }
    Err(format!(
        "job {} cannot be stopped and stands in the way of the promised shapes",
        gang.job.id
    ))
}

/// Checks that a placement stays within the quota of its workspace.
///
/// # Errors
///
/// [`Void::Unknown`] or [`Void::Policy`].
pub fn check_quota(ledger: &Ledger, job: &Job) -> Verdict {
    let Some(workspace) = ledger.catalog.workspace(&job.workspace) else {
        return Err(Void::Unknown(format!("workspace/{}", job.workspace)));
    };
    let held = held_by(ledger, &job.workspace);
    let need = gang_accelerators(job);
    if held + need > u64::from(workspace.quota) {
        let text = format!("{held} held and {need} more pass the quota");
        return Err(Void::Policy(text));
    }
    Ok(())
}

/// Counts a placement in the standing assignment.
///
/// Work that cannot be stopped (`firm`) must be within its workspace's guarantee; other work may
/// also borrow capacity.
///
/// # Errors
///
/// [`Void::Guarantee`]; then nothing has changed.
pub fn admit_placement(
    standing: &mut Assignment,
    fleet: &Fleet,
    job: &Job,
    firm: bool,
    slots: &[Slot],
) -> std::result::Result<Vec<Cover>, Void> {
    let max_size = match firm {
        true => u64::MAX,
        false => max_cell_size(job),
    };
    match standing.cover(fleet, &job.workspace, slots, max_size) {
        Some(covers) => Ok(covers),
        None if firm => Err(Void::Guarantee(format!(
            "{} cannot be stopped and its slots are not within a shape guaranteed to {}",
            job.kind, job.workspace
        ))),
        None => Ok(Vec::new()),
    }
}

/// Returns the size limit of the guaranteed shapes that a gang which can be stopped counts against,
/// in accelerators.
pub fn max_cell_size(job: &Job) -> u64 {
    gang_accelerators(job) * COVER_FACTOR
}

/// Returns the number of accelerators that a workspace holds.
pub fn held_by(ledger: &Ledger, workspace: &Name) -> u64 {
    ledger.gangs.held.get(workspace).copied().unwrap_or(0)
}

/// Returns the number of accelerators of a whole gang.
pub fn gang_accelerators(job: &Job) -> u64 {
    u64::from(job.members) * u64::from(job.accelerators)
}

/// Recomputes the loads of the ledger's standing assignment, and checks that every guaranteed shape
/// has a domain in which it fits beside all work that cannot be reclaimed for it.
///
/// # Errors
///
/// The rule that is violated.
pub fn verify(ledger: &Ledger) -> std::result::Result<(), String> {
    let mut fresh = Assignment::unassigned(&ledger.catalog);
    let standing = &ledger.gangs.standing;
    for (workspace, cells) in &mut fresh.cells {
        let stored = standing.cells.get(workspace);
        let stored = stored.ok_or_else(|| format!("{workspace} has no cells"))?;
        if stored.len() != cells.len() {
            return Err(format!("{workspace} has another number of cells"));
        }
        for (cell, stored) in cells.iter_mut().zip(stored) {
            let any = cell.shape.adjacency == crate::model::Adjacency::Any;
            if cell.shape != stored.shape || (stored.place.is_empty() && !any) {
                return Err(format!("a cell of {workspace} has no place"));
            }
        }
    }
    fresh.copy_places(&ledger.fleet, standing);
    for gang in ledger.gangs.all.values().filter(|gang| gang.holds_slots()) {
        let mut covered: BTreeMap<Name, u32> = BTreeMap::new();
        for cover in &gang.cover {
            *covered.entry(cover.worker.clone()).or_insert(0) += cover.accelerators;
            fresh.count_checked(&ledger.fleet, &gang.job.workspace, cover)?;
        }
        if gang.firm && covered != by_worker(&gang.slots) {
            return Err(format!("{} cannot be stopped and borrows", gang.job.id));
        }
    }
    if fresh.loads.total > ledger.fleet.total() {
        return Err("more is promised than exists".into());
    }
    match repack::overloaded(&fresh, &ledger.fleet) {
        Some(over) => Err(format!("{} holds more than it can", over.place)),
        None => Ok(()),
    }
}
