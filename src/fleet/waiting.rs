//! Finds the tasks that wait.

use super::crashes;
use super::decide::crash;
use super::decide::order;
use super::decide::order::Claim;
use super::decide::predict;
use super::decide::predict::Kind;
use super::model::Config;
use super::model::Queue;
use super::model::Spec;
use super::model::Step;
use super::scheduler::Scheduler;
use super::task::Job;
use crate::prelude::*;
use std::collections::HashMap;
use std::collections::HashSet;

/// The number of objectives after which a result is worth nothing.
const USEFUL_OBJECTIVES: u64 = 3;

/// A step with tasks that wait to be placed.
#[derive(Debug)]
pub(super) struct WaitingStep {
    /// The order of placement, lowest first; see [`Claim::rank`].
    pub(super) rank: (u32, u32, u64),
    /// The rank that it has as long as no work of its workspace at its priority is placed, if it has
    /// waited for so long that shares no longer delay it.
    pub(super) overdue_rank: Option<(u32, u32, u64)>,
    /// What the rank follows from.
    pub(super) claim: Claim,
    pub(super) job: Name,
    pub(super) turn: u32,
    pub(super) step: u32,
    /// The waiting tasks; all of them if it is a gang.
    pub(super) tasks: Vec<u32>,
    pub(super) queue: Arc<Queue>,
    /// When it became ready or last lost a run, local clock.
    pub(super) since: u64,
    /// The predicted duration of a task, in milliseconds.
    pub(super) predicted: u64,
    /// Whether it is urgent work within its workspace's guarantee.
    pub(super) entitled: bool,
    /// When it has to end to be in time, local clock.
    pub(super) objective: u64,
    /// When its result is of no use any more, local clock.
    pub(super) useful_until: u64,
}

impl WaitingStep {
    /// Returns whether its result would be of no use if it started now.
    pub(super) fn is_worthless(&self, now: u64) -> bool {
        now.saturating_add(self.predicted) > self.useful_until
    }
}

impl Scheduler {
    /// Returns the urgent jobs within the guarantees of their workspaces, counted from the oldest
    /// on.
    pub(super) fn entitled(&self, config: &Config) -> HashSet<Name> {
        let mut urgent: Vec<&Job> = self
            .open
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| {
                job.queue_in(config)
                    .is_some_and(|queue| queue.priority == 0)
            })
            .collect();
        urgent.sort_by_key(|job| job.arrived);
        let guarantees: HashMap<&Name, u64> = config
            .keys
            .values()
            .map(|workspace| (&workspace.name, workspace.guaranteed))
            .collect();
        let mut taken: HashMap<&Name, u64> = HashMap::new();
        let mut found = HashSet::new();
        for job in urgent {
            let taken = taken.entry(&job.workspace).or_default();
            *taken += accelerators(&job.spec);
            if *taken <= guarantees.get(&job.workspace).copied().unwrap_or(0) {
                found.insert(job.id.clone());
            }
        }
        found
    }

    /// Returns the steps with tasks that wait to be placed.
    pub(super) fn waiting_steps(
        &mut self,
        now: u64,
        config: &Config,
        entitled: &HashSet<Name>,
    ) -> Vec<WaitingStep> {
        let mut found = Vec::new();
        let mut idle = Vec::new();
        let ages = self.timing.policy.gang_reservations > 0;
        for id in &self.pending {
            let Some(job) = self.jobs.get_mut(id) else {
                idle.push(id.clone());
                continue;
            };
            let Some(queue) = job.queue_in(config).cloned() else {
                continue;
            };
            let before = found.len();
            let mut held = false;
            let (solo, taken) = if self.lost.has_job(id) {
                crashes::trial(job, now)
            } else {
                (false, false)
            };
            let chain = order::chain_ms(&self.durations, &job.workspace, &queue, &job.spec);
            let spec = job.spec.clone();
            for (&turn_number, turn) in &mut job.turns {
                let ready: Vec<bool> = spec.steps.iter().map(|step| turn.is_ready(step)).collect();
                let objective_ms = order::objective_ms(&queue, chain);
                let objective = turn.due + objective_ms;
                let useful_until = turn
                    .due
                    .saturating_add(objective_ms.saturating_mul(USEFUL_OBJECTIVES));
                for (number, step) in (0..).zip(&spec.steps) {
                    let at = number as usize;
                    let state = &mut turn.steps[at];
                    if state.left == 0 || !ready[at] {
                        continue;
                    }
                    let since = *state.ready.get_or_insert(now);
                    let mut tasks = waiting_tasks(step, &state.tasks);
                    if tasks.is_empty() {
                        continue;
                    }
                    if self.lost.has_job(id) {
                        let waiting = |index: &u32| crash::Waiting {
                            index: *index,
                            losses: state.tasks[*index as usize].losses,
                        };
                        let waiting: Vec<_> = tasks.iter().map(waiting).collect();
                        // Tasks that serve are missed at once.
                        let solo = solo && !step.long_running;
                        tasks = crash::startable(&waiting, step.gang, now, solo, taken);
                        held = true;
                    }
                    if tasks.is_empty() {
                        continue;
                    }
                    let kind = Kind {
                        queue: &job.queue,
                        workspace: &job.workspace,
                        step,
                    };
                    let predicted = self.durations.quantile_ms(kind, predict::MEDIAN);
                    let entitled = queue.priority == 0 && entitled.contains(id);
                    let claim = Claim {
                        priority: queue.priority,
                        entitled,
                        ends: now + predicted,
                        objective,
                        aged: ages
                            && step.gang
                            && now.saturating_sub(since) >= objective_ms
                            && now.saturating_add(predicted) <= useful_until,
                        objective_ms,
                        level: None,
                    };
                    found.push(WaitingStep {
                        rank: claim.rank(),
                        overdue_rank: None,
                        claim,
                        job: id.clone(),
                        turn: turn_number,
                        step: number,
                        tasks,
                        queue: queue.clone(),
                        since,
                        predicted,
                        entitled,
                        objective,
                        useful_until,
                    });
                }
            }
            if found.len() == before && !held {
                idle.push(id.clone());
            }
        }
        for id in idle {
            self.pending.remove(&id);
        }
        found
    }
}

/// Returns the most accelerators that one step of a job needs at the same time.
fn accelerators(spec: &Spec) -> u64 {
    let each = spec.steps.iter();
    each.map(|step| step.accelerators * u64::from(step.count))
        .max()
        .unwrap_or(0)
}

/// Returns the tasks of a step that wait: all members of a gang, or the single tasks without a run.
fn waiting_tasks(step: &Step, tasks: &[super::task::Task]) -> Vec<u32> {
    let waits = |task: &super::task::Task| !task.done && task.live.is_none();
    if step.gang && !tasks.iter().all(waits) {
        return Vec::new();
    }
    let tasks = (0..).zip(tasks);
    tasks
        .filter(|(_, task)| waits(task))
        .map(|(index, _)| index)
        .collect()
}
