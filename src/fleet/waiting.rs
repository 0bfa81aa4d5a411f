//! Finds the tasks that wait, and the order in which they are placed.
//!
//! There is more work than room. Guaranteed urgent work goes first, then work that can still meet
//! its objective, by priority, then late work: a result that can be in time never waits behind one
//! that is of no use any more.

use super::learn::Durations;
use super::model::Config;
use super::model::Queue;
use super::model::Spec;
use super::model::Step;
use super::scheduler::Scheduler;
use super::task::Job;
use crate::prelude::*;
use std::collections::HashMap;
use std::collections::HashSet;

/// The offset of the rank of late work, which puts it after all work that can be in time.
const LATE_RANK: u32 = 1_000;
/// The number of upstreams about which a step typically asks for advice before it starts;
/// objectives include the time of such a call.
const TYPICAL_ASKED: u64 = 30;

/// A step with tasks that wait to be placed.
#[derive(Debug)]
pub(super) struct WaitingStep {
    /// The order of placement, lowest first: the class, then the time of the objective.
    pub(super) rank: (u32, u64),
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
                config
                    .queue(&job.queue)
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
        for id in &self.pending {
            let Some(job) = self.jobs.get_mut(id) else {
                idle.push(id.clone());
                continue;
            };
            let Some(queue) = config.queue(&job.queue) else {
                continue;
            };
            let before = found.len();
            let chain = chain_ms(&self.durations, queue, &job.spec);
            let spec = job.spec.clone();
            for (&turn_number, turn) in &mut job.turns {
                let ready: Vec<bool> = spec.steps.iter().map(|step| turn.is_ready(step)).collect();
                let objective = turn.due + objective_ms(queue, chain);
                for (number, step) in (0..).zip(&spec.steps) {
                    let at = number as usize;
                    let state = &mut turn.steps[at];
                    if state.left == 0 || !ready[at] {
                        continue;
                    }
                    let since = *state.ready.get_or_insert(now);
                    let tasks = waiting_tasks(step, &state.tasks);
                    if tasks.is_empty() {
                        continue;
                    }
                    let predicted = self.durations.predict(&job.queue, step);
                    let late = now + predicted > objective;
                    let entitled = queue.priority == 0 && entitled.contains(id);
                    let rank = match (queue.priority, late) {
                        (0, _) if entitled => 0,
                        (priority, false) => priority + 1,
                        (0, true) => 1,
                        (priority, true) => LATE_RANK + priority,
                    };
                    found.push(WaitingStep {
                        rank: (rank, objective),
                        job: id.clone(),
                        turn: turn_number,
                        step: number,
                        tasks,
                        queue: queue.clone(),
                        since,
                        predicted,
                        entitled,
                    });
                }
            }
            if found.len() == before {
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

/// Predicts the duration of the longest chain of dependent steps of a job of `queue`, in
/// milliseconds.
pub(super) fn chain_ms(durations: &Durations, queue: &Queue, spec: &Spec) -> u64 {
    let advice_ms = queue
        .advice
        .map_or(0, |advice| advice.call_ms(TYPICAL_ASKED));
    let mut ends: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for step in &spec.steps {
        let before = step.after.iter().filter_map(|&at| ends.get(at as usize));
        let start = before.max().copied().unwrap_or(0);
        ends.push(start + advice_ms + durations.predict(&queue.name, step));
    }
    ends.into_iter().max().unwrap_or(0)
}

/// Returns the objective of a job of `queue`: the milliseconds after its due time within which its
/// end counts as in time.
pub(super) fn objective_ms(queue: &Queue, chain_ms: u64) -> u64 {
    let chain = std::time::Duration::from_millis(chain_ms).mul_f64(queue.stretch.clamp(0.0, 1e3));
    u64::try_from(chain.as_millis()).unwrap_or(u64::MAX) + queue.base_ms
}
