//! What workers report of gangs, and what follows from it.

use super::After;
use super::Ending;
use super::FAULTS_MAX;
use super::Gang;
use super::OWN_FAULT_WORKERS;
use super::Phase;
use super::Turn;
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

/// Takes down the gangs of a worker that was lost.
pub(in crate::reducer::ledger) fn follow_worker(
    ledger: &mut Ledger,
    origin: &Origin,
    worker: &Name,
    moved: &mut Vec<Name>,
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
            gang.turn(Phase::Stopping(after), origin.into());
            moved.push(job.clone());
        }
    }
}

/// Takes in what one worker says of its members of a gang.
pub(super) fn report(ledger: &mut Ledger, origin: &Origin, entry: &Entry) -> Verdict {
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
    check(gang, *token, worker, *state)?;
    gang.reports.insert(worker.clone(), *state);
    let mark = gang.marks.entry(worker.clone()).or_insert(0);
    *mark = (*mark).max(*kept_ms);
    let blamed = match gang.phase {
        Phase::Preparing => matches!(state, MemberState::Failed | MemberState::Lost),
        Phase::Running => *state == MemberState::Failed,
        _ => false,
    };
    if blamed {
        gang.failed_on.insert(worker.clone());
        let spec = gang.job.clone();
        ledger.fleet.blame(worker, &spec);
    }
    follow(ledger, origin, job, *state)?;
    settle_stop(ledger, origin, job);
    Ok(())
}

fn check(gang: &Gang, token: Offset, worker: &Name, state: MemberState) -> Verdict {
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

fn follow(ledger: &mut Ledger, origin: &Origin, job: &Name, state: MemberState) -> Verdict {
    let gang = find(ledger, job)?;
    let turn = Turn::from(origin);
    match (&gang.phase, state) {
        (Phase::Preparing, MemberState::Ready)
            if all(gang, |state| state == MemberState::Ready) =>
        {
            gang.turn(Phase::Running, turn);
            gang.started = true;
            gang.start_ms = turn.at_ms;
        }
        (Phase::Running, MemberState::Done) if all(gang, |state| state == MemberState::Done) => {
            finish(ledger, origin, job);
        }
        (Phase::Preparing | Phase::Running, MemberState::Ready)
        | (Phase::Running, MemberState::Done) => {}
        (Phase::Preparing | Phase::Running, MemberState::Failed) => {
            let after = after_fault(gang);
            gang.turn(Phase::Stopping(after), turn);
            absolve(ledger, job);
        }
        (Phase::Preparing | Phase::Running, _) => {
            let after = after_loss(gang, "a member was lost");
            gang.turn(Phase::Stopping(after), turn);
            absolve(ledger, job);
        }
        _ => {}
    }
    Ok(())
}

/// Ends a gang whose members all ran to their end.
fn finish(ledger: &mut Ledger, origin: &Origin, job: &Name) {
    if let Some(gang) = ledger.gangs.all.get(job) {
        let ran_ms = origin.at_ms.saturating_sub(gang.start_ms) + gang.kept_ms;
        ledger.gangs.learned.finish(&gang.job, ran_ms);
        for slot in &gang.slots {
            ledger.fleet.trust(&slot.worker);
        }
    }
    end(ledger, origin, job, Ending::Done);
}

/// Ends the stop of a gang once each of its workers said that its members have ended.
fn settle_stop(ledger: &mut Ledger, origin: &Origin, job: &Name) {
    let Some(gang) = ledger.gangs.all.get_mut(job) else {
        return;
    };
    let Phase::Stopping(after) = gang.phase.clone() else {
        return;
    };
    if !all(gang, members_ended) {
        return;
    }
    let complete = all(gang, |state| state == MemberState::Done);
    match after {
        _ if complete => finish(ledger, origin, job),
        After::End(ending) => end(ledger, origin, job, ending),
        After::Queue => queue_again(ledger, origin, job),
    }
}

/// Queues a stopped gang, which keeps what every one of its workers kept.
fn queue_again(ledger: &mut Ledger, origin: &Origin, job: &Name) {
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
    gang.turn(Phase::Queued, origin.into());
    ledger.gangs.queued.insert(job.clone());
}

fn all(gang: &Gang, test: impl Fn(MemberState) -> bool) -> bool {
    gang.slots.iter().all(|slot| {
        let state = gang.reports.get(&slot.worker);
        state.is_some_and(|state| test(*state))
    })
}

/// Tells whether all members on a worker have ended; after a failure or loss of one of them the
/// others may still be running.
pub(crate) fn members_ended(state: MemberState) -> bool {
    matches!(
        state,
        MemberState::Done | MemberState::Stopped | MemberState::Lapsed
    )
}

/// Takes the blame for a gang's own fault off the workers on which it failed.
fn absolve(ledger: &mut Ledger, job: &Name) {
    let Some(gang) = ledger.gangs.all.get(job) else {
        return;
    };
    if gang.failed_on.len() < OWN_FAULT_WORKERS {
        return;
    }
    for worker in &gang.failed_on {
        ledger.fleet.absolve(worker, job);
    }
}

fn after_fault(gang: &mut Gang) -> After {
    gang.faults += 1;
    if gang.started && gang.firm {
        return After::End(Ending::Failed("a member failed".into()));
    }
    bounded(gang, "a member failed")
}

fn after_loss(gang: &mut Gang, why: &str) -> After {
    gang.faults += 1;
    if gang.started && gang.firm {
        return After::End(Ending::Unknown(why.into()));
    }
    bounded(gang, why)
}

fn bounded(gang: &Gang, why: &str) -> After {
    let workers = gang.failed_on.len();
    if workers >= OWN_FAULT_WORKERS {
        let text = format!("it failed on {workers} different workers");
        return After::End(Ending::Failed(text));
    }
    match gang.faults < FAULTS_MAX {
        true => After::Queue,
        false => After::End(Ending::Failed(why.into())),
    }
}
