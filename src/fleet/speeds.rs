//! Learns the speed of upstreams from the reports of runs.

use super::decide::speed::Progress;
use super::ends::record_position;
use super::event::RunProgress;
use super::model::RunId;
use super::scheduler::Scheduler;
use super::scheduler::position_of;
use super::task::LiveRun;
use super::task::Speed;
use super::task::Task;
use crate::prelude::*;

impl Scheduler {
    /// Begins to watch the speed of a run that starts from the beginning; members of a gang make
    /// progress once all of them run.
    pub(super) fn watch_speed(&mut self, now: u64, run: &RunId) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let position = position_of(&run.task);
        let resumed = job
            .task(record_position(job, position))
            .is_some_and(|task| !task.saved.is_empty());
        let step = job.spec.steps.get(position.step as usize);
        let gang = step.is_some_and(|step| step.gang);
        let Some(state) = job.step_state_mut(position.turn, position.step) else {
            return;
        };
        let index = position.index as usize;
        let range = if gang {
            0..state.tasks.len()
        } else {
            index..index + 1
        };
        let Some(tasks) = state.tasks.get_mut(range) else {
            return;
        };
        let runs = |task: &Task| task.live.as_ref().is_some_and(LiveRun::is_running);
        if resumed || !tasks.iter().all(runs) {
            return;
        }
        for live in tasks.iter_mut().filter_map(|task| task.live.as_mut()) {
            live.seen = Some(Progress {
                at: now,
                percent: 0,
            });
        }
    }

    /// Learns the speed of an upstream from the progress of a run beside that of its siblings.
    pub(super) fn learn_speed(&mut self, now: u64, at: &Name, work: &RunProgress) {
        let position = position_of(&work.run.task);
        let (Some(job), Some(upstream)) = (
            self.jobs.get_mut(&work.run.task.job),
            self.upstreams.get_mut(at),
        ) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(position.step as usize) else {
            return;
        };
        let local = step.data_rack.is_empty() || *upstream.rack == *step.data_rack;
        if !step.has_own_speed() || !local {
            return;
        }
        let Some(state) = job.step_state_mut(position.turn, position.step) else {
            return;
        };
        let task = state.tasks.get_mut(position.index as usize);
        let Some(live) = task.and_then(|task| task.live.as_mut()) else {
            return;
        };
        let progress = Progress {
            at: now,
            percent: work.percent,
        };
        let Some(seen) = live.seen else {
            live.seen = Some(progress);
            return;
        };
        let Some(whole_ms) = seen.whole_ms(progress) else {
            return;
        };
        live.seen = Some(progress);
        live.speed = Some(Speed {
            whole_ms,
            usual_ms: whole_ms / upstream.slowness.factor(now),
        });
        let Some(usual_ms) = state.usual_ms() else {
            return;
        };
        let took = whole_ms / usual_ms;
        let age_ms = upstream.slowness.age_ms(now);
        let was_slow = upstream.slowness.is_slow(now);
        upstream.slowness.record(now, took);
        if was_slow != upstream.slowness.is_slow(now) {
            log::info!(
                "TG1514 upstream={at} slow={} factor={:.2} samples={} age_ms={age_ms} job={} took={took:.2}",
                !was_slow,
                upstream.slowness.factor(now),
                upstream.slowness.samples(),
                work.run.task.job
            );
        }
        if step.gang {
            self.consider_restart(now, &work.run, usual_ms);
        }
    }
}
