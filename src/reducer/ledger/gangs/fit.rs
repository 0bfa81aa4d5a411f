//! Whether a gang can ever run, and whether its slots meet its adjacency.

use super::stoppable;
use crate::model::Adjacency;
use crate::model::Job;
use crate::prelude::*;
use crate::records::Slot;
use crate::records::Verdict;
use crate::records::Void;
use crate::reducer::ledger::Ledger;
use crate::reducer::ledger::fleet::Fleet;
use crate::reducer::plan::guarantee;
use crate::reducer::plan::standing::domain;
use std::collections::BTreeMap;

/// Checks that a gang could run if no other gang did.
///
/// # Errors
///
/// [`Void::Unknown`] if its workspace or kind does not exist, or [`Void::Policy`] with the reason.
pub fn can_run(ledger: &Ledger, job: &Job) -> Verdict {
    let kind = ledger.catalog.allows(&job.workspace, &job.kind)?;
    let need = guarantee::gang_accelerators(job);
    let Some(workspace) = ledger.catalog.workspace(&job.workspace) else {
        return Err(Void::Unknown(format!("workspace/{}", job.workspace)));
    };
    if need > u64::from(workspace.quota) {
        let text = format!("{need} accelerators pass the quota of {}", workspace.quota);
        return Err(Void::Policy(text));
    }
    let promised = workspace.guarantees.iter();
    let promised = promised.map(|one| u64::from(one.count) * u64::from(one.shape.accelerators));
    let promised: u64 = promised.sum();
    if !stoppable(Some(kind)) && need > promised {
        let text = format!(
            "{} cannot be stopped, and its {need} accelerators pass the {promised} guaranteed",
            job.kind
        );
        return Err(Void::Policy(text));
    }
    match fits_empty(&ledger.fleet, job) {
        true => Ok(()),
        false => Err(Void::Policy(
            "no configured workers that are close enough can hold it".into(),
        )),
    }
}

/// Checks that all slots of a gang are in one domain of the level that its adjacency names.
///
/// # Errors
///
/// [`Void::Unknown`] if a worker does not exist, [`Void::Policy`] if the slots are not adjacent.
pub fn check_adjacent(fleet: &Fleet, job: &Job, slots: &[Slot]) -> Verdict {
    let mut first: Option<Name> = None;
    for slot in slots {
        let Some(place) = domain(fleet, job.adjacency, &slot.worker) else {
            return Err(Void::Unknown(format!("worker {}", slot.worker)));
        };
        if first.get_or_insert_with(|| place.clone()) != &place {
            return Err(Void::Policy("its slots are not adjacent".into()));
        }
    }
    Ok(())
}

fn fits_empty(fleet: &Fleet, job: &Job) -> bool {
    let mut room: BTreeMap<&str, u64> = BTreeMap::new();
    for (name, host) in &fleet.hosts {
        if host.retired {
            continue;
        }
        let place: &str = match job.adjacency {
            Adjacency::Worker => name,
            Adjacency::Rack => &host.rack,
            Adjacency::Centre => &host.centre,
            Adjacency::Any => "",
        };
        let sum = room.entry(place).or_insert(0);
        *sum += u64::from(host.max_members(job));
        if *sum >= u64::from(job.members) {
            return true;
        }
    }
    false
}
