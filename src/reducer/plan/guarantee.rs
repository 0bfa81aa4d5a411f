//! The guarantees: a standing assignment of every workspace's guaranteed shapes.

use crate::model::Job;
use crate::prelude::*;
use crate::records::Slot;
use crate::records::Verdict;
use crate::records::Void;
use crate::reducer::ledger::Ledger;
use crate::reducer::ledger::catalog::Catalog;
use crate::reducer::ledger::fleet::Fleet;

/// Checks that all guaranteed shapes fit on the configured workers at once.
///
/// # Errors
///
/// Says which shape does not fit.
pub fn can_promise(catalog: &Catalog, _fleet: &Fleet) -> std::result::Result<(), String> {
    let have: u64 = catalog
        .racks
        .values()
        .flat_map(|held| &held.value.workers)
        .map(|worker| u64::from(worker.accelerators))
        .sum();
    let promised: u64 = catalog
        .workspaces
        .values()
        .flat_map(|held| &held.value.guarantees)
        .map(|one| u64::from(one.count) * u64::from(one.shape.accelerators))
        .sum();
    match promised <= have {
        true => Ok(()),
        false => Err(format!(
            "{promised} accelerators are promised, {have} exist"
        )),
    }
}

/// Checks that a placement leaves every guarantee reclaimable and the quota respected.
///
/// # Errors
///
/// [`Void::Policy`] or [`Void::Guarantee`].
pub fn check_place(ledger: &Ledger, job: &Job, _slots: &[Slot]) -> Verdict {
    let Some(workspace) = ledger.catalog.workspace(&job.workspace) else {
        return Err(Void::Unknown(format!("workspace/{}", job.workspace)));
    };
    let held = held_by(ledger, &job.workspace);
    if held + job.members * job.accelerators > workspace.quota {
        return Err(Void::Policy("quota".into()));
    }
    Ok(())
}

/// Returns the accelerators that a workspace holds.
pub fn held_by(ledger: &Ledger, workspace: &Name) -> u32 {
    let gangs = ledger.gangs.all.values();
    gangs
        .filter(|gang| gang.job.workspace == *workspace && gang.holds())
        .map(|gang| gang.accelerators())
        .sum()
}
