//! Preemption: stops work of lower priority for urgent gangs, and reserves its resources for them.

use super::decide::evict;
use super::decide::evict::Request;
use super::decide::place::Constraints;
use super::decide::trust::Risk;
use super::decide::victims::Victim;
use super::decide::victims::Victims;
use super::gauge;
use super::model::ResourceAmounts;
use super::model::Step;
use super::model::StepId;
use super::model::TaskId;
use super::plan::RESERVATION_MS;
use super::scheduler::Scheduler;
use super::scheduler::position_of;
use super::snapshot::Snapshot;
use super::task::Job;
use super::task::LiveRun;
use super::task::Stage;
use super::task::TaskPosition;
use super::waiting::WaitingStep;
use crate::prelude::*;
use std::collections::BTreeMap;
use std::collections::HashMap;

/// The wait before a failed search for victims is repeated, in milliseconds: a search examines all
/// running work, and urgent work can afford to wait about ten times as long.
const SEARCH_RETRY_MS: u64 = 80;

impl Scheduler {
    /// Stops the cheapest work that makes room for a gang, and reserves the room for it; returns
    /// whether such work was found.
    pub(super) fn preempt(
        &mut self,
        now: u64,
        snapshot: &mut Snapshot,
        wait: &WaitingStep,
        constraints: &Constraints<'_>,
        count: u32,
    ) -> bool {
        if !self.inherited.allows_preemption(now) {
            return false;
        }
        let mut victims = match snapshot.victims.take() {
            Some(victims) => victims,
            None => self.victims(now, snapshot),
        };
        let find = |urgent, risk| {
            let constraints = Constraints {
                risk,
                ..*constraints
            };
            let request = Request {
                constraints: &constraints,
                count,
                urgent,
            };
            let releasing = &snapshot.releasing;
            evict::find(
                &snapshot.candidates,
                &snapshot.racks,
                releasing,
                &victims,
                &request,
            )
        };
        // Stop work to get room on an upstream of bad health only as a last resort.
        let safe = constraints.risk.min(Risk::Suspect);
        let found = find(false, safe)
            .or_else(|| wait.entitled.then(|| find(true, safe)).flatten())
            .or_else(|| {
                (safe < constraints.risk)
                    .then(|| find(wait.entitled, constraints.risk))
                    .flatten()
            });
        let Some(found) = found else {
            snapshot.victims = Some(victims);
            let job = self.jobs.get_mut(&wait.job);
            if let Some(state) = job.and_then(|job| job.step_state_mut(wait.turn, wait.step)) {
                state.searched_at = Some(now);
            }
            return false;
        };
        let names: Vec<Name> = found
            .members
            .iter()
            .map(|&at| snapshot.candidates[at].name.clone())
            .collect();
        log::info!(
            "TG1606 job={} step={} preempts={} spots={names:?} waited_ms={}",
            wait.job,
            wait.step,
            found.victims.len(),
            now.saturating_sub(wait.since)
        );
        gauge::preempted(found.victims.len());
        let need = constraints.step.need();
        let mut losses = BTreeMap::<(Name, u32), (usize, f64)>::new();
        for &index in &found.victims {
            victims.mark_taken(index);
            let victim = &victims.all[index];
            let key = (victim.job.clone(), victim.position.step);
            let (runs, waste) = losses.entry(key).or_default();
            *runs += victim.releases.len();
            *waste += victim.waste;
            for (at, freed) in &victim.releases {
                snapshot.releasing.entry(*at).or_default().add(freed);
            }
            self.stop_run_or_gang(now, &victim.job, victim.position);
        }
        for ((job, step), (runs, waste)) in losses {
            log::info!(
                "TG1607 job={job} step={step} preempted by={} runs={runs} waste_core_s={waste:.0}",
                wait.job
            );
        }
        snapshot.reserve(&found.members, &need);
        snapshot.victims = Some(victims);
        let until = now + self.timing.stop_ms + RESERVATION_MS;
        self.set_reservation(wait, Some((names, until)));
        true
    }

    /// Returns whether a search for victims for this step failed within the last
    /// [`SEARCH_RETRY_MS`]: little has changed since.
    pub(super) fn has_just_searched(&self, now: u64, wait: &WaitingStep) -> bool {
        let job = self.jobs.get(&wait.job);
        let state = job.and_then(|job| job.step_state(wait.turn, wait.step));
        let searched_at = state.and_then(|state| state.searched_at);
        searched_at.is_some_and(|at| now < at + SEARCH_RETRY_MS)
    }

    /// Returns the work that may be stopped, each gang as one victim: work of lower priority, and
    /// urgent work beyond the guarantee of its workspace.
    pub(super) fn victims(&self, now: u64, snapshot: &Snapshot) -> Victims {
        let Some(config) = &self.config else {
            return Victims::default();
        };
        let mut limits = Limits::default();
        let mut found: HashMap<(StepId, Option<u32>), Victim> = HashMap::new();
        for (name, upstream) in &self.upstreams {
            let Some(&at) = snapshot.index.get(name) else {
                continue;
            };
            for (run, need) in &upstream.runs {
                let Some(job) = self.jobs.get(&run.task.job) else {
                    continue;
                };
                let position = position_of(&run.task);
                let priority = job.queue_in(config).map_or(0, |queue| queue.priority);
                let live = job.task(position).and_then(|task| task.live.as_ref());
                let Some(live) = live.filter(|live| live.stage != Stage::Stopping) else {
                    continue;
                };
                let step = &job.spec.steps[position.step as usize];
                let urgent = priority == 0;
                if urgent && snapshot.entitled.contains(&job.id) {
                    continue;
                }
                let single = (!step.gang).then_some(position.index);
                let key = (run.task.step_id(), single);
                let victim = found.entry(key).or_insert_with(|| Victim {
                    job: run.task.job.clone(),
                    position,
                    urgent,
                    limited: limits.of(job, &run.task),
                    waste: 0.0,
                    releases: Vec::new(),
                });
                victim.waste += self.waste(now, step, live, need);
                victim.releases.push((at, *need));
            }
        }
        Victims::new(found.into_values().collect(), limits.allowed)
    }

    /// Returns the work that stopping a run wastes, in core-seconds.
    pub(super) fn waste(
        &self,
        now: u64,
        step: &Step,
        live: &LiveRun,
        need: &ResourceAmounts,
    ) -> f64 {
        let unsaved = now.saturating_sub(live.saved_at.max(live.since));
        // A stop saves the progress of tasks that support it: only the restore is wasted.
        let lost = if step.checkpointing {
            unsaved.min(self.timing.restore_ms)
        } else {
            unsaved
        };
        core_seconds(need, lost)
    }

    /// Stops a run, or the whole gang that it belongs to.
    pub(super) fn stop_run_or_gang(&mut self, now: u64, id: &Name, position: TaskPosition) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let step = job.spec.steps.get(position.step as usize);
        let gang = step.is_some_and(|step| step.gang);
        let members: Vec<TaskPosition> = job
            .live()
            .into_iter()
            .filter(|other| {
                other.turn == position.turn
                    && other.step == position.step
                    && (gang || other.index == position.index)
            })
            .collect();
        for member in members {
            self.stop(id, member, now);
        }
    }
}

/// The number of tasks of each long-running step that may be stopped now.
#[derive(Debug, Default)]
struct Limits {
    index: HashMap<StepId, usize>,
    allowed: Vec<u32>,
}

impl Limits {
    /// Returns the position of a task's limit in `allowed`, if its step has one.
    fn of(&mut self, job: &Job, task: &TaskId) -> Option<usize> {
        let step = job.spec.steps.get(task.step as usize)?;
        if !step.is_limited() {
            return None;
        }
        let next = self.allowed.len();
        let at = *self.index.entry(task.step_id()).or_insert(next);
        if at == next {
            self.allowed.push(job.spare(position_of(task)));
        }
        Some(at)
    }
}

/// Returns the core-seconds of `ms` of work; an accelerator counts as 8 cores.
pub(super) fn core_seconds(need: &ResourceAmounts, ms: u64) -> f64 {
    let cores = need.cpu / 1_000 + need.accelerators * 8;
    let total = cores.saturating_mul(ms) / 1_000;
    u32::try_from(total).map_or(f64::from(u32::MAX), f64::from)
}
