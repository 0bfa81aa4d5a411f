//! Keeps the workers: tells each what the ledger wants of it, and reports what it says.
//!
//! Each worker is kept by the first live placer in its line. Two keepers at once do no harm: a
//! sync carries the control offset that it follows from, a worker refuses a lower one than it
//! has seen, and of two equal reports the log's first counts.

use super::effect::Effect;
use super::event::Now;
use super::ledger::Ledger;
use super::ledger::gangs::Gang;
use super::ledger::gangs::Phase;
use super::peers::Peers;
use crate::context::Context;
use crate::platform::SyncAnswer;
use crate::platform::SyncCall;
use crate::platform::TaskReport;
use crate::platform::TaskState;
use crate::platform::Want;
use crate::platform::WantedTask;
use crate::prelude::*;
use crate::records::Entry;
use crate::records::MemberState;
use crate::records::WorkerState;
use std::collections::BTreeMap;

/// The time after which a report that was not read back is appended again, in milliseconds.
const REPORT_AGAIN_MS: u64 = 3_000;

/// What this process knows of a worker from its own syncs.
#[derive(Debug, Clone, Default, PartialEq)]
struct Kept {
    flight: bool,
    due_ms: u64,
    heard_ms: u64,
    as_of: Offset,
    sent: BTreeMap<Mark, u64>,
}

/// Identifies a report that was appended and not read back.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Mark {
    job: Name,
    token: Offset,
    state: Option<MemberState>,
}

/// All workers that this process keeps.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Keeper {
    kept: BTreeMap<Name, Kept>,
    jobs: BTreeMap<Name, Vec<Name>>,
    stamp: Option<Offset>,
}

impl Keeper {
    /// Makes the workers of the gangs that moved due at once.
    pub fn follow(&mut self, ledger: &Ledger, moved: &[Name]) {
        if self.stamp.is_none() || !moved.is_empty() {
            self.stamp = Some(ledger.next);
            self.index(ledger);
        }
        for job in moved {
            let Some(gang) = ledger.gangs.all.get(job) else {
                continue;
            };
            for slot in &gang.slots {
                if let Some(kept) = self.kept.get_mut(&slot.worker) {
                    kept.due_ms = 0;
                }
            }
        }
    }

    /// Syncs the workers that are due, and reports the silent ones.
    pub fn tick(
        &mut self,
        ctx: &Context,
        ledger: &Ledger,
        peers: &Peers,
        now: Now,
        effects: &mut Vec<Effect>,
    ) {
        let config = &ctx.settings.keeper;
        self.kept
            .retain(|name, _| ledger.fleet.hosts.contains_key(name));
        for (name, host) in &ledger.fleet.hosts {
            if peers.rank(ctx, now, name) > 0 {
                self.kept.remove(name);
                continue;
            }
            let jobs = self.jobs.get(name);
            let kept = self.kept.entry(name.clone()).or_insert(Kept {
                heard_ms: now.mono_ms,
                ..Kept::default()
            });
            report_silence(
                config.lost_ms,
                config.lapse_ms,
                ledger,
                name,
                host.state,
                jobs,
                kept,
                now,
                effects,
            );
            if kept.flight || now.mono_ms < kept.due_ms {
                continue;
            }
            kept.flight = true;
            kept.due_ms = now.mono_ms + config.sync_ms;
            kept.as_of = ledger.next;
            let call = SyncCall {
                as_of: ledger.next,
                lease_ms: config.lease_ms,
                tasks: wanted(ledger, name, jobs),
            };
            effects.push(Effect::Sync {
                worker: name.clone(),
                addr: host.addr.clone(),
                call,
            });
        }
    }

    /// Takes in a worker's answer.
    pub fn synced(
        &mut self,
        ledger: &Ledger,
        worker: &Name,
        answer: Option<&SyncAnswer>,
        now: Now,
        effects: &mut Vec<Effect>,
    ) {
        let jobs = self.jobs.get(worker);
        let Some(kept) = self.kept.get_mut(worker) else {
            return;
        };
        kept.flight = false;
        let Some(answer) = answer else {
            return;
        };
        if answer.as_of > kept.as_of {
            return;
        }
        kept.heard_ms = now.mono_ms;
        for gang in held_gangs(ledger, jobs) {
            let Some(state) = judge(gang, worker, &answer.tasks) else {
                continue;
            };
            let kept_ms = kept_ms(gang, &answer.tasks);
            append_report(kept, gang, worker, state, kept_ms, now, effects);
        }
        let host = ledger.fleet.hosts.get(worker);
        let foreign = answer.tasks.iter().any(|task| !known(ledger, task));
        if host.is_some_and(|host| host.state == WorkerState::Lost) && !foreign {
            append_worker(kept, worker, WorkerState::Up, "it answers", now, effects);
        }
    }

    fn index(&mut self, ledger: &Ledger) {
        self.jobs.clear();
        for (job, gang) in &ledger.gangs.all {
            for slot in &gang.slots {
                let jobs = self.jobs.entry(slot.worker.clone()).or_default();
                if jobs.last() != Some(job) {
                    jobs.push(job.clone());
                }
            }
        }
    }
}

fn held_gangs<'a>(
    ledger: &'a Ledger,
    jobs: Option<&'a Vec<Name>>,
) -> impl Iterator<Item = &'a Gang> {
    let jobs = jobs.into_iter().flatten();
    jobs.filter_map(|job| ledger.gangs.all.get(job))
}

fn known(ledger: &Ledger, task: &TaskReport) -> bool {
    let gang = ledger.gangs.all.get(&task.job);
    gang.is_some_and(|gang| gang.token == task.token && gang.holds())
}

fn wanted(ledger: &Ledger, worker: &Name, jobs: Option<&Vec<Name>>) -> Vec<WantedTask> {
    let mut tasks = Vec::new();
    for gang in held_gangs(ledger, jobs) {
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

/// Says what one worker's answer means for its members of a gang, if it means anything new.
fn judge(gang: &Gang, worker: &Name, tasks: &[TaskReport]) -> Option<MemberState> {
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
    (gang.reports.get(worker) != Some(&state)).then_some(state)
}

fn kept_ms(gang: &Gang, tasks: &[TaskReport]) -> u64 {
    let own = tasks
        .iter()
        .filter(|task| task.job == gang.job.id && task.token == gang.token);
    own.map(|task| task.kept_ms).min().unwrap_or(0)
}

#[expect(clippy::too_many_arguments, reason = "split when the keeper grows")]
fn report_silence(
    lost_ms: u64,
    lapse_ms: u64,
    ledger: &Ledger,
    worker: &Name,
    state: WorkerState,
    jobs: Option<&Vec<Name>>,
    kept: &mut Kept,
    now: Now,
    effects: &mut Vec<Effect>,
) {
    let silence_ms = now.mono_ms.saturating_sub(kept.heard_ms);
    if silence_ms >= lost_ms && state != WorkerState::Lost {
        let reason = format!("silent for {silence_ms} ms");
        append_worker(kept, worker, WorkerState::Lost, &reason, now, effects);
    }
    if silence_ms < lapse_ms || state != WorkerState::Lost {
        return;
    }
    for gang in held_gangs(ledger, jobs) {
        let open = !gang.reports.contains_key(worker);
        if open && matches!(gang.phase, Phase::Stopping(_)) {
            append_report(kept, gang, worker, MemberState::Lapsed, 0, now, effects);
        }
    }
}

fn append_report(
    kept: &mut Kept,
    gang: &Gang,
    worker: &Name,
    state: MemberState,
    kept_ms: u64,
    now: Now,
    effects: &mut Vec<Effect>,
) {
    let mark = Mark {
        job: gang.job.id.clone(),
        token: gang.token,
        state: Some(state),
    };
    if !first_in_a_while(kept, mark, now) {
        return;
    }
    effects.push(Effect::Append(Entry::Member {
        job: gang.job.id.clone(),
        token: gang.token,
        worker: worker.clone(),
        state,
        kept_ms,
    }));
}

fn append_worker(
    kept: &mut Kept,
    worker: &Name,
    state: WorkerState,
    reason: &str,
    now: Now,
    effects: &mut Vec<Effect>,
) {
    let mark = Mark {
        job: worker.clone(),
        token: state as u64,
        state: None,
    };
    if !first_in_a_while(kept, mark, now) {
        return;
    }
    effects.push(Effect::Append(Entry::Worker {
        worker: worker.clone(),
        state,
        reason: reason.to_owned(),
    }));
}

fn first_in_a_while(kept: &mut Kept, mark: Mark, now: Now) -> bool {
    let horizon_ms = now.mono_ms.saturating_sub(REPORT_AGAIN_MS);
    kept.sent.retain(|_, at_ms| *at_ms > horizon_ms);
    if kept.sent.contains_key(&mark) {
        return false;
    }
    kept.sent.insert(mark, now.mono_ms);
    true
}
