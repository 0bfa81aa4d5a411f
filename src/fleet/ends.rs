//! Handles ends of runs, and settles runs that are no longer active at their upstream.

use super::decide::quarantine::Bar;
use super::decide::trust;
use super::event::Ended;
use super::event::Phase;
use super::event::Report;
use super::gauge;
use super::model::How;
use super::model::RunId;
use super::scheduler::Scheduler;
use super::scheduler::position_of;
use super::task::Job;
use super::task::Stage;
use super::task::TaskPosition;
use super::task::Turn;
use super::task::count_left;
use crate::prelude::*;
use std::collections::BTreeSet;

/// Why it is certain that a run does not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Proof {
    /// Its upstream reported its end.
    Ended,
    /// Its upstream declined the only order to start it.
    Declined,
    /// Its upstream omits it from a report that was requested after the last response about it.
    Omitted,
    /// Every lease of its upstream has expired.
    Expired,
    /// Another process answers at its upstream's address.
    Replaced,
}

impl Scheduler {
    /// Settles the runs that a report omits although it was requested after the last response about
    /// them.
    pub(super) fn settle_missing(&mut self, now: u64, at: &Name, mark: u64, report: &Report) {
        // A run that is missing may be among the ends that the report has no room for.
        if report.more {
            return;
        }
        let Some(upstream) = self.upstreams.get(at) else {
            return;
        };
        let listed = |run: &RunId| report.running.iter().any(|work| work.run == *run);
        let missing: Vec<RunId> = upstream
            .runs
            .keys()
            .filter(|run| !listed(run))
            .cloned()
            .collect();
        for run in missing {
            let answered = self.live_run(at, &run).and_then(|live| live.answer_mark);
            let unknown = self.live_run(at, &run).is_none();
            if unknown {
                self.settle(now, &run, Proof::Omitted);
            } else if answered.is_some_and(|answered| answered < mark) {
                if self.unanswered.is_open(at, &run) {
                    self.stop_gang(now, &run);
                } else {
                    self.settle(now, &run, Proof::Omitted);
                }
            }
        }
    }

    /// Records how a run ended.
    pub(super) fn ended(&mut self, now: u64, at: &Name, end: &Ended) {
        let run = &end.run;
        let Some(live) = self.live_run(at, run).map(|live| live.clone()) else {
            self.ended_late(now, at, end);
            return;
        };
        gauge::ended(end);
        let position = position_of(&run.task);
        self.save(now, run, &end.saved);
        if end.how != How::Done {
            log::info!(
                "TG1604 job={} step={} index={} run={} upstream={at} ended={:?} after_ms={}",
                run.task.job,
                position.step,
                position.index,
                run.number,
                end.how,
                now.saturating_sub(live.since)
            );
        }
        if let Some(seen) = self.observation(now, run, end.how) {
            self.learn_duration(run, seen);
        }
        self.settle(now, run, Proof::Ended);
        match end.how {
            How::Done => self.done(now, at, run),
            How::Failed => self.failed(now, at, run),
            How::Alone | How::Lapsed | How::Stopped | How::Broken => {
                if end.how != How::Broken || live.stage != Stage::Stopping {
                    self.stop_rest(now, run);
                }
            }
        }
    }

    /// Handles the end of a run that was settled before its upstream reported it: it counts all the
    /// same, as it is about to be acknowledged.
    fn ended_late(&mut self, now: u64, at: &Name, end: &Ended) {
        self.log_unmatched(at, end);
        let run = &end.run;
        let position = position_of(&run.task);
        let Some(job) = self.jobs.get(&run.task.job) else {
            return;
        };
        let long_running = self
            .step_of(&run.task)
            .is_some_and(|step| step.long_running);
        let open = job.closed.is_none() && job.task(position).is_some_and(|task| !task.done);
        if !open || long_running {
            return;
        }
        match end.how {
            How::Done => {
                self.stop_gang(now, run);
                self.done(now, at, run);
            }
            How::Failed => self.count_attempt(now, run),
            How::Alone | How::Lapsed | How::Stopped | How::Broken => {}
        }
    }

    /// Logs an end that belongs to no live run.
    fn log_unmatched(&self, at: &Name, end: &Ended) {
        gauge::unmatched_end();
        let task = &end.run.task;
        let job = self.jobs.get(&task.job);
        let known = job.and_then(|job| job.task(position_of(task)));
        log::info!(
            "TG1515 job={} step={} index={} run={} upstream={at} end={} ended={:?} matches no live run last_run={:?} live_at={:?} done={:?}",
            task.job,
            task.step,
            task.index,
            end.run.number,
            end.number,
            end.how,
            known.map(|task| task.runs),
            known
                .and_then(|task| task.live.as_ref())
                .map(|live| &*live.at),
            known.map(|task| task.done)
        );
    }

    /// Stops the remaining members of a gang that lost one.
    pub(super) fn stop_rest(&mut self, now: u64, run: &RunId) {
        if self.step_of(&run.task).is_some_and(|step| step.gang) {
            self.stop_gang(now, run);
        }
    }

    /// Settles a run that certainly does not run: releases its resources, so that its task can
    /// start again. If no end was reported, the rest of its gang is stopped, as it would wait for
    /// this member in vain.
    pub(super) fn settle(&mut self, now: u64, run: &RunId, proof: Proof) {
        let position = position_of(&run.task);
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            self.release_everywhere(run);
            return;
        };
        let Some(task) = job.task_mut(position) else {
            self.release_everywhere(run);
            return;
        };
        let Some(live) = task.live.take_if(|live| live.number == run.number) else {
            self.release_everywhere(run);
            return;
        };
        let upstream = self.upstreams.get_mut(&live.at);
        if let Some(upstream) = upstream {
            upstream.release(run);
            upstream.settled_mark = self.mark;
            if proof != Proof::Ended {
                gauge::settled();
                log::info!(
                    "TG1605 job={} step={} index={} run={} upstream={} settled as not running proof={proof:?} stage={:?} tries={} answered={:?} born={} ends_handled={}",
                    run.task.job,
                    position.step,
                    position.index,
                    run.number,
                    live.at,
                    live.stage,
                    live.tries,
                    live.answer_mark,
                    upstream.listing.born,
                    upstream.handled
                );
            }
        }
        let vanished = proof != Proof::Ended && !task.done;
        if let Some(step) = job.step_state_mut(position.turn, position.step) {
            step.ready = Some(now);
        }
        let closed = job.closed.is_some();
        self.dirty.insert(run.task.job.clone());
        if !closed {
            self.pending.insert(run.task.job.clone());
        }
        self.changed = true;
        if vanished {
            self.record_loss(now, run, &live, proof);
            self.stop_rest(now, run);
        }
    }

    pub(super) fn release_everywhere(&mut self, run: &RunId) {
        for upstream in self.upstreams.values_mut() {
            upstream.release(run);
        }
    }

    /// Records that a run of a task is done.
    pub(super) fn done(&mut self, now: u64, at: &Name, run: &RunId) {
        self.ends.record_success(now);
        if let Some(upstream) = self.upstreams.get_mut(at) {
            upstream.quarantine.record_success();
            upstream.health.record_success(now);
        }
        let position = position_of(&run.task);
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let Some(step) = job.spec.steps.get(position.step as usize).cloned() else {
            return;
        };
        let Some(state) = job.step_state_mut(position.turn, position.step) else {
            return;
        };
        if step.long_running {
            return;
        }
        if step.gang {
            for task in &mut state.tasks {
                task.done = true;
            }
        } else if let Some(task) = state.tasks.get_mut(position.index as usize) {
            task.done = true;
        }
        state.left = count_left(&state.tasks);
        self.dirty.insert(run.task.job.clone());
        self.advance(now, &run.task.job);
    }

    /// Drops occurrences that are done, and closes the job as completed after the last one.
    pub(super) fn advance(&mut self, now: u64, id: &Name) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.closed.is_some() {
            return;
        }
        let settled = |turn: &Turn| {
            let mut tasks = turn.steps.iter().flat_map(|step| &step.tasks);
            turn.is_done() && tasks.all(|task| task.live.is_none())
        };
        let all_done = job.turns.values().all(Turn::is_done);
        let all_begun = job.next_turn >= job.times();
        job.turns.retain(|_, turn| !settled(turn));
        self.advice.remove_ended_turns(job);
        self.dirty.insert(id.clone());
        self.pending.insert(id.clone());
        if all_begun && all_done {
            self.close(id, Phase::Completed, now);
        }
    }

    pub(super) fn failed(&mut self, now: u64, at: &Name, run: &RunId) {
        self.count_failure(now, at, run);
        let position = position_of(&run.task);
        if let Some(job) = self.jobs.get_mut(&run.task.job)
            && let Some(task) = job.task_mut(position)
            && !task.failed_on.contains(at)
        {
            task.failed_on.push(at.clone());
        }
        self.count_attempt(now, run);
        self.stop_rest(now, run);
    }

    /// Counts a failed run of a task, once for all members of a gang; closes the job after its last
    /// attempt.
    fn count_attempt(&mut self, now: u64, run: &RunId) {
        let attempts = self
            .jobs
            .get(&run.task.job)
            .and_then(|job| job.queue_in(self.config.as_ref()?))
            .map_or(u32::MAX, |queue| queue.attempts.max(1));
        let long_running = self
            .step_of(&run.task)
            .is_some_and(|step| step.long_running);
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let record = record_position(job, position_of(&run.task));
        let Some(task) = job.task_mut(record) else {
            return;
        };
        task.record_failure(run.number);
        let exhausted = task.fails >= attempts && !long_running && !task.done;
        self.dirty.insert(run.task.job.clone());
        if exhausted {
            self.close(&run.task.job, Phase::Failed, now);
        }
    }

    /// Counts a failure against an upstream. If several jobs failed there in a row, it is put in
    /// quarantine, or gets no new run of this job for some time.
    fn count_failure(&mut self, now: u64, at: &Name, run: &RunId) {
        let id = &run.task.job;
        let job = self.jobs.get(id);
        let failures = job.map_or(0, Job::failures);
        let elsewhere = job.map_or(0, |job| failed_elsewhere(job, position_of(&run.task), at));
        let Some(upstream) = self.upstreams.get_mut(at) else {
            return;
        };
        let weight = trust::failure_weight(failures);
        upstream.health.record_failure(now, weight);
        self.ends.record_failure(now, weight);
        match upstream.quarantine.record_failure(now, id, elsewhere) {
            Bar::None => {}
            Bar::Job(wait) => {
                log::info!(
                    "TG1523 upstream={at} job={id} failed there again; no new run of it for {wait} ms"
                );
            }
            Bar::All(wait) => {
                upstream.block_until(now + wait);
                log::warn!(
                    "TG1510 upstream={at} job={id} failed several jobs in a row; no new work for {wait} ms"
                );
            }
        }
    }

    /// Settles all runs at an upstream whose process was replaced by another one at its address.
    pub(super) fn process_gone(&mut self, now: u64, at: &Name) {
        let mark = self.mark;
        let Some(upstream) = self.upstreams.get_mut(at) else {
            return;
        };
        log::warn!(
            "TG1508 upstream={at} gone: another process answers at its address born={} runs={}",
            upstream.listing.born,
            upstream.runs.len()
        );
        upstream.listed = false;
        // Its ends need no acknowledgement any more.
        upstream.reset_process(mark);
        self.lives += 1;
        upstream.begin_life(self.lives, mark);
        self.near.clear();
        self.settle_all(now, at, Proof::Replaced);
        // The next entry is that of another process, whenever it says that it started.
        if let Some(upstream) = self.upstreams.get_mut(at) {
            upstream.listing.born = 0;
        }
    }

    /// Settles all runs at an upstream.
    pub(super) fn settle_all(&mut self, now: u64, at: &Name, proof: Proof) {
        let Some(upstream) = self.upstreams.get(at) else {
            return;
        };
        let runs: Vec<RunId> = upstream.runs.keys().cloned().collect();
        for run in runs {
            self.settle(now, &run, proof);
        }
    }
}

/// Returns the task that records the checkpoint and failures of `position`: for a gang, its first.
pub(super) fn record_position(job: &Job, position: TaskPosition) -> TaskPosition {
    let step = job.spec.steps.get(position.step as usize);
    let index = if step.is_some_and(|step| step.gang) {
        0
    } else {
        position.index
    };
    TaskPosition { index, ..position }
}

/// Returns on how many upstreams other than `at` the task has failed; for a gang, any of its members.
fn failed_elsewhere(job: &Job, position: TaskPosition, at: &Name) -> usize {
    let gang = job.spec.steps.get(position.step as usize);
    let gang = gang.is_some_and(|step| step.gang);
    let step = job.step_state(position.turn, position.step);
    let tasks = step.map_or(&[][..], |step| &step.tasks);
    let own = |index: u32| gang || index == position.index;
    let tasks = (0..).zip(tasks).filter(|(index, _)| own(*index));
    let names = tasks.flat_map(|(_, task)| &task.failed_on);
    names
        .filter(|name| *name != at)
        .collect::<BTreeSet<_>>()
        .len()
}
