//! The tasks that a worker should hold according to the ledger, and the reports that follow from its
//! response.

use crate::platform::TaskReport;
use crate::platform::TaskState;
use crate::platform::Want;
use crate::platform::WantedTask;
use crate::prelude::*;
use crate::records::MemberState;
use crate::reducer::ledger::Ledger;
use crate::reducer::ledger::fleet::Host;
use crate::reducer::ledger::gangs::Gang;
use crate::reducer::ledger::gangs::Phase;

/// A report on a worker's members of a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Report {
    /// Their state.
    pub(super) state: MemberState,
    /// The run time that their checkpoints keep, in milliseconds.
    pub(super) kept_ms: u64,
}

/// Iterates over the gangs that have members on a worker.
pub(super) fn held_gangs<'a>(ledger: &'a Ledger, host: &'a Host) -> impl Iterator<Item = &'a Gang> {
    let jobs = host.jobs.iter();
    jobs.filter_map(|job| ledger.gangs.all.get(job))
}

/// Returns whether a task belongs to the current placement of a gang.
pub(super) fn known(ledger: &Ledger, task: &TaskReport) -> bool {
    let gang = ledger.gangs.all.get(&task.job);
    gang.is_some_and(|gang| gang.token == task.token && gang.holds_slots())
}

/// Returns the tasks that a worker should hold.
pub(super) fn wanted(ledger: &Ledger, worker: &Name, host: &Host) -> Vec<WantedTask> {
    let mut tasks = Vec::new();
    for gang in held_gangs(ledger, host) {
        let want = match gang.phase {
            Phase::Preparing => Want::Prepare,
            Phase::Running => Want::Run,
            _ => Want::Stop,
        };
        let kind = ledger.catalog.kind(&gang.job.kind);
        for (i, slot) in gang.slots.iter().enumerate() {
            if slot.worker != *worker {
                continue;
            }
            tasks.push(WantedTask {
                job: gang.job.id.clone(),
                index: i as u32,
                token: gang.token,
                want,
                mask: slot.mask,
                cores: gang.job.cores,
                memory_gb: gang.job.memory_gb,
                checkpoint: kind.is_some_and(|kind| kind.checkpoint),
                kept_ms: gang.kept_ms,
            });
        }
    }
    tasks
}

/// Derives the report on a worker's members of a gang from its response, if it differs from the
/// last.
pub(super) fn report(gang: &Gang, worker: &Name, tasks: &[TaskReport]) -> Option<Report> {
    let own: Vec<TaskState> = tasks
        .iter()
        .filter(|task| task.job == gang.job.id && task.token == gang.token)
        .map(|task| task.state)
        .collect();
    let any = |state: TaskState| own.contains(&state);
    let all = |states: &[TaskState]| own.iter().all(|state| states.contains(state));
    let count = gang
        .slots
        .iter()
        .filter(|slot| slot.worker == *worker)
        .count();
    let state = match &gang.phase {
        _ if own.len() != count => return None,
        Phase::Preparing | Phase::Running if any(TaskState::Failed) => MemberState::Failed,
        Phase::Preparing | Phase::Running if any(TaskState::Absent) => MemberState::Lost,
        Phase::Preparing | Phase::Running if any(TaskState::Stopped) => MemberState::Lost,
        Phase::Preparing if all(&[TaskState::Prepared, TaskState::Running]) => MemberState::Ready,
        Phase::Running if all(&[TaskState::Done]) => MemberState::Done,
        Phase::Stopping(_) if all(&[TaskState::Done]) => MemberState::Done,
        Phase::Stopping(_)
            if all(&[
                TaskState::Stopped,
                TaskState::Absent,
                TaskState::Failed,
                TaskState::Done,
            ]) =>
        {
            MemberState::Stopped
        }
        _ => return None,
    };
    let report = Report {
        state,
        kept_ms: kept_ms(gang, tasks),
    };
    (gang.reports.get(worker) != Some(&state)).then_some(report)
}

fn kept_ms(gang: &Gang, tasks: &[TaskReport]) -> u64 {
    let own = tasks
        .iter()
        .filter(|task| task.job == gang.job.id && task.token == gang.token);
    own.map(|task| task.kept_ms).min().unwrap_or(0)
}
