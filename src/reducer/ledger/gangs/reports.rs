//! The states that workers report of gang members, and the changes of phase that result.

use super::After;
use super::Ending;
use super::GANG_FAULT_WORKERS;
use super::Gang;
use super::MAX_FAULTED_PLACEMENTS;
use super::Phase;
use super::PhaseChange;
use super::end;
use super::find;
use super::release;
use crate::prelude::*;
use crate::records::Entry;
use crate::records::MemberState;
use crate::records::Verdict;
use crate::records::Void;
use crate::records::WorkerState;
use crate::reducer::ledger::Ledger;
use crate::reducer::ledger::Origin;

/// Stops the gangs that have members on a worker if it was lost.
pub(in crate::reducer::ledger) fn stop_on_loss(
    ledger: &mut Ledger,
    origin: &Origin,
    worker: &Name,
    changed: &mut Vec<Name>,
) {
    let Some(host) = ledger.fleet.hosts.get(worker) else {
        return;
    };
    if host.state != WorkerState::Lost {
        return;
    }
    for job in &host.jobs {
        let Some(gang) = ledger.gangs.all.get_mut(job) else {
            continue;
        };
        if matches!(gang.phase, Phase::Preparing | Phase::Running) {
            let after = after_loss(gang, "a worker was lost");
            gang.set_phase(Phase::Stopping(after), origin.into());
            changed.push(job.clone());
        }
    }
}

/// Applies the state that one worker reports of its members of a gang.
pub(super) fn apply(ledger: &mut Ledger, origin: &Origin, entry: &Entry) -> Verdict {
    let Entry::Member {
        job,
        token,
        worker,
        state,
        kept_ms,
    } = entry
    else {
        return Err(Void::Phase);
    };
    let gang = find(ledger, job)?;
    check_report(gang, *token, worker, *state)?;
    gang.reports.insert(worker.clone(), *state);
    let mark = gang.marks.entry(worker.clone()).or_insert(0);
    *mark = (*mark).max(*kept_ms);
    let at_fault = match gang.phase {
        Phase::Preparing => matches!(state, MemberState::Failed | MemberState::Lost),
        Phase::Running => *state == MemberState::Failed,
        _ => false,
    };
    if at_fault {
        gang.failed_on.insert(worker.clone());
        let spec = gang.job.clone();
        ledger.fleet.record_fault(worker, &spec);
    }
    update_phase(ledger, origin, job, *state)?;
    complete_stop(ledger, origin, job);
    Ok(())
}

fn check_report(gang: &Gang, token: Offset, worker: &Name, state: MemberState) -> Verdict {
    if gang.token != token {
        return Err(Void::Token);
    }
    if !gang.slots.iter().any(|slot| slot.worker == *worker) {
        return Err(Void::Unknown(format!("member on {worker}")));
    }
    let last = gang.reports.get(worker);
    if last.is_some_and(|last| members_ended(*last) || *last == state) {
        return Err(Void::Phase);
    }
    Ok(())
}

fn update_phase(ledger: &mut Ledger, origin: &Origin, job: &Name, state: MemberState) -> Verdict {
    let gang = find(ledger, job)?;
    let change = PhaseChange::from(origin);
    match (&gang.phase, state) {
        (Phase::Preparing, MemberState::Ready)
            if all_members(gang, |state| state == MemberState::Ready) =>
        {
            gang.set_phase(Phase::Running, change);
            gang.started = true;
            gang.start_ms = change.at_ms;
        }
        (Phase::Running, MemberState::Done)
            if all_members(gang, |state| state == MemberState::Done) =>
        {
            finish(ledger, origin, job);
        }
        (Phase::Preparing | Phase::Running, MemberState::Ready)
        | (Phase::Running, MemberState::Done) => {}
        (Phase::Preparing | Phase::Running, MemberState::Failed) => {
            let after = after_fault(gang);
            gang.set_phase(Phase::Stopping(after), change);
            clear_gang_faults(ledger, job);
        }
        (Phase::Preparing | Phase::Running, _) => {
            let after = after_loss(gang, "a member was lost");
            gang.set_phase(Phase::Stopping(after), change);
            clear_gang_faults(ledger, job);
        }
        _ => {}
    }
    Ok(())
}

/// Ends a gang of which all members completed.
fn finish(ledger: &mut Ledger, origin: &Origin, job: &Name) {
    if let Some(gang) = ledger.gangs.all.get(job) {
        let ran_ms = origin.at_ms.saturating_sub(gang.start_ms) + gang.kept_ms;
        ledger.gangs.learned.record(&gang.job, ran_ms);
        for slot in &gang.slots {
            ledger.fleet.clear_faults(&slot.worker);
        }
    }
    end(ledger, origin, job, Ending::Done);
}

/// Completes the stop of a gang once each of its workers has reported that its members ended.
fn complete_stop(ledger: &mut Ledger, origin: &Origin, job: &Name) {
    let Some(gang) = ledger.gangs.all.get_mut(job) else {
        return;
    };
    let Phase::Stopping(after) = gang.phase.clone() else {
        return;
    };
    if !all_members(gang, members_ended) {
        return;
    }
    let complete = all_members(gang, |state| state == MemberState::Done);
    match after {
        _ if complete => finish(ledger, origin, job),
        After::End(ending) => end(ledger, origin, job, ending),
        After::Queue => requeue(ledger, origin, job),
    }
}

/// Queues a stopped gang again, with the run time that the checkpoints of all its workers preserve.
fn requeue(ledger: &mut Ledger, origin: &Origin, job: &Name) {
    release(ledger, job);
    let Some(gang) = ledger.gangs.all.get_mut(job) else {
        return;
    };
    let least_ms = gang.marks.values().min().copied().unwrap_or(0);
    if gang.started {
        gang.kept_ms = gang.kept_ms.max(least_ms);
    }
    gang.reports.clear();
    gang.marks.clear();
    gang.set_phase(Phase::Queued, origin.into());
    ledger.gangs.queued.insert(job.clone());
}

fn all_members(gang: &Gang, test: impl Fn(MemberState) -> bool) -> bool {
    gang.slots.iter().all(|slot| {
        let state = gang.reports.get(&slot.worker);
        state.is_some_and(|state| test(*state))
    })
}

/// Returns whether all members on a worker have ended; after a failure or loss of one of them the
/// others may still be running.
pub(crate) fn members_ended(state: MemberState) -> bool {
    matches!(
        state,
        MemberState::Done | MemberState::Stopped | MemberState::Lapsed
    )
}

/// Removes a gang's failures from the workers on which it failed, once it failed on enough of
/// them for the gang itself to be considered faulty.
fn clear_gang_faults(ledger: &mut Ledger, job: &Name) {
    let Some(gang) = ledger.gangs.all.get(job) else {
        return;
    };
    if gang.failed_on.len() < GANG_FAULT_WORKERS {
        return;
    }
    for worker in &gang.failed_on {
        ledger.fleet.remove_job_faults(worker, job);
    }
}

fn after_fault(gang: &mut Gang) -> After {
    gang.faults += 1;
    if gang.started && gang.firm {
        return After::End(Ending::Failed("a member failed".into()));
    }
    requeue_or_fail(gang, "a member failed")
}

fn after_loss(gang: &mut Gang, reason: &str) -> After {
    gang.faults += 1;
    if gang.started && gang.firm {
        return After::End(Ending::Unknown(reason.into()));
    }
    requeue_or_fail(gang, reason)
}

fn requeue_or_fail(gang: &Gang, reason: &str) -> After {
    let workers = gang.failed_on.len();
    if workers >= GANG_FAULT_WORKERS {
        let text = format!("it failed on {workers} different workers");
        return After::End(Ending::Failed(text));
    }
    match gang.faults < MAX_FAULTED_PLACEMENTS {
        true => After::Queue,
        false => After::End(Ending::Failed(reason.into())),
    }
}
