//! Counts the runs that were lost because their upstream crashed, and gives up tasks that crash
//! upstream after upstream.
//!
//! A crash is proven when the process that held a run is gone without having announced that it
//! leaves. A run whose upstream is silent until its leases have expired may also have been cut off:
//! it is remembered until the upstream is heard of again.

use super::decide::crash;
use super::ends::Proof;
use super::event::Phase;
use super::gauge;
use super::model::Listing;
use super::model::ResourceAmounts;
use super::model::RunId;
use super::scheduler::Scheduler;
use super::scheduler::position_of;
use super::task::Job;
use super::task::LiveRun;
use super::task::Stage;
use crate::prelude::*;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::collections::VecDeque;

/// Limit on the lost runs that are remembered until their upstream is heard of again.
const MAX_UNPROVEN: usize = 4_096;

/// The age of the last response up to which an upstream counts as alive when a task with losses is
/// to start there, in milliseconds; longer where planning passes are further apart.
const MAX_CONTACT_AGE_MS: u64 = 250;

/// How it is known that an upstream has crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// The upstream has a new process.
    Restarted,
    /// Another upstream is at its address.
    Replaced,
}

/// A run that was settled while its upstream was silent.
#[derive(Debug)]
struct UnprovenLoss {
    run: RunId,
    /// The upstream.
    at: Name,
    /// The address of the upstream, empty if unknown.
    addr: Name,
    /// When the process that held the run started, Unix milliseconds; 0 if unknown.
    born: u64,
    /// Whether that process has confirmed that it ran.
    confirmed: bool,
}

/// The runs that were lost with their upstreams.
#[derive(Debug, Default)]
pub(super) struct LostRuns {
    /// Those of silent upstreams, oldest first.
    unproven: VecDeque<UnprovenLoss>,
    /// Open jobs with a task that has lost a run.
    jobs: BTreeSet<Name>,
}

impl LostRuns {
    /// Records that a task of an open job has lost a run.
    pub(super) fn add_job(&mut self, id: &Name) {
        self.jobs.insert(id.clone());
    }

    /// Forgets a job that is closed.
    pub(super) fn remove_job(&mut self, id: &Name) {
        if self.jobs.remove(id) {
            self.unproven.retain(|loss| loss.run.task.job != *id);
        }
    }

    /// Returns whether a task of the job has lost a run.
    pub(super) fn has_job(&self, id: &Name) -> bool {
        self.jobs.contains(id)
    }

    fn take(&mut self, fits: impl Fn(&UnprovenLoss) -> bool) -> Vec<UnprovenLoss> {
        let (found, kept) = self.unproven.drain(..).partition(fits);
        self.unproven = kept;
        Vec::from(found)
    }
}

/// Returns how a job's tasks with losses start: whether one at a time, and whether one of them is
/// on trial.
pub(super) fn trial(job: &Job, now: u64) -> (bool, bool) {
    let tasks = || {
        let steps = job.turns.values().flat_map(|turn| &turn.steps);
        steps.flat_map(|step| &step.tasks)
    };
    let solo = tasks().any(|task| !task.done && task.losses.needs_solo());
    let on_trial = |live: &LiveRun, losses: crash::Losses| losses.is_on_trial(worked_ms(live, now));
    let taken = tasks().any(|task| {
        let live = task.live.as_ref();
        live.is_some_and(|live| on_trial(live, task.losses))
    });
    (solo, taken)
}

/// Returns what the tasks of a job that have losses use on an upstream.
pub(super) fn suspects_on(job: &Job, at: &Name) -> ResourceAmounts {
    let mut sum = ResourceAmounts::default();
    for turn in job.turns.values() {
        for (step, state) in job.spec.steps.iter().zip(&turn.steps) {
            let here = |live: &LiveRun| live.at == *at;
            let tasks = state.tasks.iter().filter(|task| task.losses.is_suspect());
            for _ in tasks.filter(|task| task.live.as_ref().is_some_and(here)) {
                sum.add(&step.need());
            }
        }
    }
    sum
}

/// Returns how long a run has been at work, in milliseconds; none before it is confirmed.
fn worked_ms(live: &LiveRun, now: u64) -> Option<u64> {
    (live.stage == Stage::Running).then(|| now.saturating_sub(live.since))
}

/// Returns whether a process that started at `after` is another one than that of `before`; 0 is
/// unknown.
fn is_other(before: u64, after: u64) -> bool {
    before != 0 && after != 0 && before != after
}

impl Scheduler {
    /// Returns the upstreams with a run that may crash them.
    pub(super) fn suspect_hosts(&self, now: u64) -> HashSet<&Name> {
        let mut found = HashSet::new();
        for job in self.lost.jobs.iter().filter_map(|id| self.jobs.get(id)) {
            let steps = job.turns.values().flat_map(|turn| &turn.steps);
            for task in steps.flat_map(|step| &step.tasks) {
                let live = task.live.as_ref();
                let live = live.filter(|live| task.losses.is_on_trial(worked_ms(live, now)));
                found.extend(live.map(|live| &live.at));
            }
        }
        found
    }

    /// Records a run that was settled without an end, if its upstream may have crashed.
    pub(super) fn record_loss(&mut self, now: u64, run: &RunId, live: &LiveRun, proof: Proof) {
        let Some(upstream) = self.upstreams.get(&live.at) else {
            return;
        };
        // A run that was never ordered, or declined, has crashed nothing.
        let may_have_run = live.confirmed || live.silent;
        if !may_have_run || upstream.is_leaving(live.born) {
            return;
        }
        let after = upstream.listing.born;
        let evidence = match proof {
            Proof::Ended | Proof::Declined => return,
            Proof::Replaced => Evidence::Replaced,
            Proof::Omitted | Proof::Expired if is_other(live.born, after) => Evidence::Restarted,
            Proof::Omitted => return,
            Proof::Expired => {
                let addr = upstream.listing.addr.clone();
                self.record_unproven(now, run, live, addr);
                return;
            }
        };
        let loss = UnprovenLoss {
            run: run.clone(),
            at: live.at.clone(),
            addr: upstream.listing.addr.clone(),
            born: live.born,
            confirmed: live.confirmed,
        };
        self.count_crash(now, &loss, after, evidence);
    }

    fn record_unproven(&mut self, now: u64, run: &RunId, live: &LiveRun, addr: Name) {
        let job = self.jobs.get_mut(&run.task.job);
        let Some(job) = job.filter(|job| job.closed.is_none()) else {
            return;
        };
        let Some(task) = job.task_mut(position_of(&run.task)) else {
            return;
        };
        task.losses.unproven += 1;
        task.losses.last = now;
        task.avoid(&live.at);
        log::info!(
            "TG1615 job={} step={} index={} run={} upstream={} born={} lost with a silent upstream crashes={} unproven={}",
            run.task.job,
            run.task.step,
            run.task.index,
            run.number,
            live.at,
            live.born,
            task.losses.gone(),
            task.losses.unproven
        );
        self.lost.add_job(&run.task.job);
        self.lost.unproven.push_back(UnprovenLoss {
            run: run.clone(),
            at: live.at.clone(),
            addr,
            born: live.born,
            confirmed: live.confirmed,
        });
        if self.lost.unproven.len() > MAX_UNPROVEN
            && let Some(oldest) = self.lost.unproven.pop_front()
        {
            self.drop_unproven(&oldest);
        }
    }

    /// Counts an unproven loss no longer.
    fn drop_unproven(&mut self, loss: &UnprovenLoss) {
        let task = &loss.run.task;
        if let Some(job) = self.jobs.get_mut(&task.job)
            && let Some(task) = job.task_mut(position_of(task))
        {
            task.losses.unproven = task.losses.unproven.saturating_sub(1);
            task.lost_on.retain(|at| *at != loss.at);
            self.changed = true;
        }
    }

    /// Decides on the unproven losses at an upstream that has reported; `born` is when its process
    /// started.
    pub(super) fn check_losses_reported(&mut self, now: u64, at: &Name, born: u64) {
        if self.lost.unproven.is_empty() {
            return;
        }
        for loss in self.lost.take(|loss| loss.at == *at) {
            self.drop_unproven(&loss);
            if is_other(loss.born, born) {
                self.count_crash(now, &loss, born, Evidence::Restarted);
            }
        }
    }

    /// Counts the unproven losses that an entry of discovery proves: it shows a later process of
    /// the same upstream, or of another one at its address.
    pub(super) fn check_losses_listed(&mut self, now: u64, listing: &Listing) {
        if self.lost.unproven.is_empty() {
            return;
        }
        // An entry with an earlier start may be stale.
        let proves = |loss: &UnprovenLoss| {
            (loss.at == listing.id || loss.addr == listing.addr)
                && loss.born != 0
                && listing.born > loss.born
        };
        for loss in self.lost.take(proves) {
            self.drop_unproven(&loss);
            let evidence = if loss.at == listing.id {
                Evidence::Restarted
            } else {
                Evidence::Replaced
            };
            self.count_crash(now, &loss, listing.born, evidence);
        }
    }

    /// Counts the crash of an upstream under a task, and gives the task up after too many.
    fn count_crash(&mut self, now: u64, loss: &UnprovenLoss, after: u64, evidence: Evidence) {
        let id = &loss.run.task.job;
        let job = self.jobs.get_mut(id).filter(|job| job.closed.is_none());
        let Some(task) = job.and_then(|job| job.task_mut(position_of(&loss.run.task))) else {
            return;
        };
        if loss.confirmed {
            task.losses.crashes += 1;
        } else {
            task.losses.unconfirmed += 1;
        }
        task.losses.last = now;
        task.avoid(&loss.at);
        let losses = task.losses;
        gauge::crashed();
        log::warn!(
            "TG1616 job={id} step={} index={} run={} upstream={} crashed evidence={evidence:?} born={after} before={} confirmed={} crashes={} unconfirmed={}",
            loss.run.task.step,
            loss.run.task.index,
            loss.run.number,
            loss.at,
            loss.born,
            loss.confirmed,
            losses.crashes,
            losses.unconfirmed
        );
        self.lost.add_job(id);
        self.dirty.insert(id.clone());
        if losses.is_exhausted() {
            gauge::gave_up();
            log::warn!(
                "TG1617 job={id} step={} index={} given up: {} upstreams crashed under it",
                loss.run.task.step,
                loss.run.task.index,
                losses.gone()
            );
            self.close(id, Phase::Failed, now);
        }
    }

    /// Returns whether an upstream has responded so lately that a start which gets no response means
    /// a crash under it; if not, asks it for a report, and gives it no new work before that.
    pub(super) fn is_known_alive(&mut self, now: u64, at: &Name) -> bool {
        let max_age_ms = self.cadence.plan_gap().max(MAX_CONTACT_AGE_MS);
        let Some(upstream) = self.upstreams.get_mut(at) else {
            return false;
        };
        if upstream.clock.at + max_age_ms >= now {
            return true;
        }
        upstream.suspect(now);
        upstream.report_wanted = true;
        self.touched.insert(at.clone());
        false
    }

    /// Forgets the losses of a long-running task that has been at work for long enough.
    pub(super) fn reset_losses(&mut self, now: u64, run: &RunId) {
        if !self.lost.has_job(&run.task.job)
            || !self
                .step_of(&run.task)
                .is_some_and(|step| step.long_running)
        {
            return;
        }
        let job = self.jobs.get_mut(&run.task.job);
        let Some(task) = job.and_then(|job| job.task_mut(position_of(&run.task))) else {
            return;
        };
        let worked = task.live.as_ref().and_then(|live| worked_ms(live, now));
        if !worked.is_some_and(|worked| task.losses.is_outlived(worked)) {
            return;
        }
        task.losses = crash::Losses::default();
        task.lost_on.clear();
        self.dirty.insert(run.task.job.clone());
        self.lost.unproven.retain(|loss| loss.run.task != run.task);
    }
}
