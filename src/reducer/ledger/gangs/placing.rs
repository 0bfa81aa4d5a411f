//! The entries that submit, place, reclaim and reject gangs.

use super::After;
use super::Ending;
use super::Gang;
use super::MAX_LIVE_GANGS;
use super::MEMBERS_MAX;
use super::Phase;
use super::end;
use super::find;
use super::fit;
use super::stoppable;
use crate::model::Job;
use crate::prelude::*;
use crate::records::Slot;
use crate::records::Verdict;
use crate::records::Void;
use crate::reducer::ledger::Ledger;
use crate::reducer::ledger::Origin;
use crate::reducer::plan::guarantee;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

pub(super) fn submit(ledger: &mut Ledger, origin: &Origin, job: &Job) -> Verdict {
    if ledger.gangs.all.contains_key(&job.id) {
        return Err(Void::Taken);
    }
    if ledger.gangs.live() >= MAX_LIVE_GANGS {
        return Err(Void::Full("live jobs".into()));
    }
    if job.members == 0 || job.members > MEMBERS_MAX {
        return Err(Void::Policy(format!("members must be 1 to {MEMBERS_MAX}")));
    }
    fit::can_run(ledger, job)?;
    let gang = Gang {
        job: job.clone(),
        phase: Phase::Queued,
        token: 0,
        attempt: 0,
        faults: 0,
        slots: Vec::new(),
        reports: BTreeMap::new(),
        kept_ms: 0,
        marks: BTreeMap::new(),
        started: false,
        firm: false,
        cover: Vec::new(),
        failed_on: BTreeSet::new(),
        start_ms: 0,
        submitted_ms: origin.at_ms,
        offset: origin.offset,
        turned: origin.offset,
        since_ms: origin.at_ms,
        cfg: origin.cfg,
        waiter: None,
    };
    ledger.gangs.all.insert(job.id.clone(), gang);
    ledger.gangs.queued.insert(job.id.clone());
    Ok(())
}

pub(super) fn place(
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
    let spec = gang.job.clone();
    if slots.len() != spec.members as usize {
        return Err(Void::Policy("a slot for each member".into()));
    }
    ledger.catalog.allows(&spec.workspace, &spec.kind)?;
    fit::check_adjacent(&ledger.fleet, &spec, slots)?;
    guarantee::check_quota(ledger, &spec)?;
    ledger.fleet.check_slots(&spec, slots)?;
    let firm = !stoppable(ledger.catalog.kind(&spec.kind));
    let standing = &mut ledger.gangs.standing;
    let cover = guarantee::admit_placement(standing, &ledger.fleet, &spec, firm, slots)?;
    ledger.fleet.hold(&spec, slots);
    let held = &mut ledger.gangs.held;
    *held.entry(spec.workspace.clone()).or_insert(0) += guarantee::gang_accelerators(&spec);
    ledger.gangs.queued.remove(job);
    ledger.gangs.holding.insert(job.clone());
    let gang = find(ledger, job)?;
    gang.token = origin.offset;
    gang.attempt += 1;
    gang.slots = slots.to_vec();
    gang.cover = cover;
    gang.firm = firm;
    gang.reports.clear();
    gang.marks.clear();
    gang.started = false;
    gang.waiter = None;
    gang.set_phase(Phase::Preparing, origin.into());
    Ok(())
}

pub(super) fn reclaim(
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
    if !gang.reclaimable() {
        return Err(Void::Policy(format!("{} cannot be stopped", gang.job.kind)));
    }
    gang.waiter = waiter;
    gang.set_phase(Phase::Stopping(After::Queue), origin.into());
    Ok(())
}

pub(super) fn reject(ledger: &mut Ledger, origin: &Origin, job: &Name, reason: &str) -> Verdict {
    let gang = find(ledger, job)?;
    if gang.phase != Phase::Queued {
        return Err(Void::Phase);
    }
    let spec = gang.job.clone();
    if fit::can_run(ledger, &spec).is_ok() {
        return Err(Void::Policy("it can run".into()));
    }
    end(ledger, origin, job, Ending::Rejected(reason.to_owned()));
    Ok(())
}
