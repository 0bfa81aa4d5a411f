//! Preemption: stops work of lower priority for urgent gangs, and keeps the room for them.

use super::evict;
use super::evict::Request;
use super::gauge;
use super::health::Risk;
use super::model::ResourceAmounts;
use super::model::StepId;
use super::model::TaskId;
use super::place::Wish;
use super::plan::KEEP_MS;
use super::scheduler::Scheduler;
use super::scheduler::position_of;
use super::snapshot::Snapshot;
use super::task::Job;
use super::task::Stage;
use super::task::TaskPosition;
use super::victims::Victim;
use super::victims::Victims;
use super::waiting::Waiting;
use crate::prelude::*;
use std::collections::BTreeMap;
use std::collections::HashMap;

/// The wait before a failed search for victims is made again, in milliseconds: the search looks at
/// all work, and urgent work may wait some ten times as long.
const SEEK_MS: u64 = 80;

impl Scheduler {
    /// Stops the cheapest work that makes room for a gang, and keeps the room for it.
    pub(super) fn preempt(
        &mut self,
        now: u64,
        board: &mut Snapshot,
        wait: &Waiting,
        wish: &Wish<'_>,
        count: u32,
    ) -> bool {
        if !self.inherited.allows_preemption(now) || self.has_sought(now, wait) {
            return false;
        }
        let mut victims = match board.victims.take() {
            Some(victims) => victims,
            None => self.victims(now, board),
        };
        let find = |urgent, risk| {
            let wish = Wish { risk, ..*wish };
            let request = Request {
                wish: &wish,
                count,
                urgent,
            };
            let ending = &board.ending;
            evict::find(&board.spots, &board.racks, ending, &victims, &request)
        };
        // Room at a bad upstream is worth no work elsewhere, unless there is no other.
        let safe = wish.risk.min(Risk::Suspect);
        let found = find(false, safe)
            .or_else(|| wait.entitled.then(|| find(true, safe)).flatten())
            .or_else(|| {
                (safe < wish.risk)
                    .then(|| find(wait.entitled, wish.risk))
                    .flatten()
            });
        let Some(found) = found else {
            board.victims = Some(victims);
            let job = self.jobs.get_mut(&wait.job);
            if let Some(stretch) = job.and_then(|job| job.step_state_mut(wait.turn, wait.step)) {
                stretch.searched_at = Some(now);
            }
            return false;
        };
        let names: Vec<Name> = found
            .spots
            .iter()
            .map(|&at| board.spots[at].name.clone())
            .collect();
        log::info!(
            "TG1606 job={} step={} preempts={} spots={names:?} waited_ms={}",
            wait.job,
            wait.step,
            found.victims.len(),
            now.saturating_sub(wait.since)
        );
        gauge::preempted(found.victims.len());
        let need = wish.step.need();
        let mut losses = BTreeMap::<(Name, u32), (usize, f64)>::new();
        for &index in &found.victims {
            victims.take(index);
            let victim = &victims.all[index];
            let key = (victim.job.clone(), victim.place.step);
            let (runs, waste) = losses.entry(key).or_default();
            *runs += victim.frees.len();
            *waste += victim.waste;
            for (at, freed) in &victim.frees {
                board.ending.entry(*at).or_default().add(freed);
            }
            self.stop_run_or_gang(now, &victim.job, victim.place);
        }
        for ((job, step), (runs, waste)) in losses {
            log::info!(
                "TG1607 job={job} step={step} preempted by={} runs={runs} waste_core_s={waste:.0}",
                wait.job
            );
        }
        board.reserve(&found.spots, &need);
        board.victims = Some(victims);
        let until = now + self.timing.stop_ms + KEEP_MS;
        self.keep(wait, Some((names, until)));
        true
    }

    /// Tells whether a search for victims has just failed: little has changed since.
    fn has_sought(&self, now: u64, wait: &Waiting) -> bool {
        let job = self.jobs.get(&wait.job);
        let stretch = job.and_then(|job| job.step_state(wait.turn, wait.step));
        let sought = stretch.and_then(|stretch| stretch.searched_at);
        sought.is_some_and(|at| now < at + SEEK_MS)
    }

    /// Lists work that may be stopped, each gang as one: of lower priority, or urgent beyond the
    /// guarantee of its workspace.
    pub(super) fn victims(&self, now: u64, board: &Snapshot) -> Victims {
        let Some(config) = &self.config else {
            return Victims::default();
        };
        let mut limits = Limits::default();
        let mut found: HashMap<(StepId, Option<u32>), Victim> = HashMap::new();
        for (name, upstream) in &self.upstreams {
            let Some(&at) = board.index.get(name) else {
                continue;
            };
            for (run, need) in &upstream.runs {
                let Some(job) = self.jobs.get(&run.task.job) else {
                    continue;
                };
                let place = position_of(&run.task);
                let priority = config.queue(&job.queue).map_or(0, |queue| queue.priority);
                let live = job.task(place).and_then(|task| task.live.as_ref());
                let Some(live) = live.filter(|live| live.stage != Stage::Stopping) else {
                    continue;
                };
                let step = &job.spec.steps[place.step as usize];
                let urgent = priority == 0;
                if urgent && board.entitled.contains(&job.id) {
                    continue;
                }
                let single = (!step.gang).then_some(place.index);
                let key = (run.task.step_id(), single);
                let victim = found.entry(key).or_insert_with(|| Victim {
                    job: run.task.job.clone(),
                    place,
                    urgent,
                    limited: limits.of(job, &run.task),
                    waste: 0.0,
                    frees: Vec::new(),
                });
                let unsaved = now.saturating_sub(live.saved_at.max(live.since));
                // A stop saves the progress of tasks that can: only the way back is lost.
                let lost = if step.checkpointing {
                    unsaved.min(self.timing.restore_ms)
                } else {
                    unsaved
                };
                victim.waste += core_seconds(need, lost);
                victim.frees.push((at, *need));
            }
        }
        Victims::new(found.into_values().collect(), limits.allowed)
    }

    /// Stops a run, or the whole gang that it belongs to.
    pub(super) fn stop_run_or_gang(&mut self, now: u64, id: &Name, place: TaskPosition) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let step = job.spec.steps.get(place.step as usize);
        let gang = step.is_some_and(|step| step.gang);
        let members: Vec<TaskPosition> = job
            .live()
            .into_iter()
            .filter(|other| {
                other.turn == place.turn
                    && other.step == place.step
                    && (gang || other.index == place.index)
            })
            .collect();
        for member in members {
            self.stop(id, member, now);
        }
    }
}

/// How many tasks of each lasting step may be stopped now.
#[derive(Debug, Default)]
struct Limits {
    index: HashMap<StepId, usize>,
    allowed: Vec<u32>,
}

impl Limits {
    /// Returns the position of the limit that a task is under, if any.
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

/// Core-seconds of `ms` of work; an accelerator counts as 8 cores.
fn core_seconds(need: &ResourceAmounts, ms: u64) -> f64 {
    let cores = need.cpu / 1_000 + need.accelerators * 8;
    let total = cores.saturating_mul(ms) / 1_000;
    u32::try_from(total).map_or(f64::from(u32::MAX), f64::from)
}
