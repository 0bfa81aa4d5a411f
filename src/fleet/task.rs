//! Jobs and their tasks in memory.

use super::decide::crash::Losses;
use super::decide::speed;
use super::decide::speed::Progress;
use super::event::Phase;
use super::model::Config;
use super::model::Queue;
use super::model::Spec;
use super::model::Step;
use crate::prelude::*;
use std::borrow::Cow;
use std::collections::BTreeMap;

/// The most numbers of failed runs that are kept for a task.
const MAX_FAILED_RUNS: usize = 16;

/// The stage of a live run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// The order to start is sent and not yet confirmed.
    Sending,
    /// The upstream has confirmed that it runs.
    Running,
    /// It is ordered to stop; its end is not reported yet.
    Stopping,
}

/// The speed of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Speed {
    /// How long the whole run takes at the pace of its last reports, in milliseconds.
    pub(super) whole_ms: f64,
    /// The same at the usual speed, as far as that of its upstream is known, in milliseconds.
    pub(super) usual_ms: f64,
}

/// A run that may be active at an upstream.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct LiveRun {
    /// The upstream.
    pub(super) at: Name,
    /// When the upstream's process that holds it started, Unix milliseconds; 0 if unknown.
    pub(super) born: u64,
    /// Whether that process has confirmed that it runs.
    pub(super) confirmed: bool,
    /// Whether an order to start it was sent and got no response, so that it may have run.
    pub(super) silent: bool,
    /// The run's number.
    pub(super) number: u32,
    /// Its stage.
    pub(super) stage: Stage,
    /// When it was placed, local clock.
    pub(super) since: u64,
    /// When its upstream confirmed that it began, or this leader took it over, local clock; none if
    /// only a report shows that it runs.
    pub(super) began: Option<u64>,
    /// The mark of the last response about it. A report that was requested later and omits the run
    /// proves that it does not run. None while an order is unanswered.
    pub(super) answer_mark: Option<u64>,
    /// The mark of the last order about it that was sent.
    pub(super) order_mark: u64,
    /// The life of the upstream, as the leader knew it, for which that order was meant.
    pub(super) order_life: u64,
    /// How many orders to start it were sent.
    pub(super) tries: u32,
    /// How many orders to stop it were sent.
    pub(super) stops: u32,
    /// When it was decided to stop it, local clock.
    pub(super) stop_at: u64,
    /// Its last reported progress, in percent.
    pub(super) percent: u32,
    /// When its progress last changed, or a stop order was last sent or went unanswered, local
    /// clock.
    pub(super) progress_at: u64,
    /// When its checkpoint last changed, local clock.
    pub(super) saved_at: u64,
    /// The share of full speed that it was last ordered to run at, in percent; none if unknown.
    pub(super) pace: Option<u32>,
    /// When that share was last changed, local clock.
    pub(super) pace_at: u64,
    /// The report from which its pace is measured; none before the first one of a run that resumed
    /// from a checkpoint.
    pub(super) seen: Option<Progress>,
    /// Its speed; none before two reports.
    pub(super) speed: Option<Speed>,
}

impl LiveRun {
    /// Returns whether its upstream has confirmed that it runs, and it is not ordered to stop.
    pub(super) fn is_running(&self) -> bool {
        self.stage == Stage::Running
    }
}

/// A task.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Task {
    /// The number of its last run.
    pub(super) runs: u32,
    /// How many of its runs failed; a gang's failures are counted at its first task.
    pub(super) fails: u32,
    /// The numbers of the last runs that failed, so that none of them is counted twice.
    pub(super) failed_runs: Vec<u32>,
    /// The number up to which it is not known any more which runs failed; they count as counted.
    pub(super) failed_floor: u32,
    /// Whether it is done.
    pub(super) done: bool,
    /// Its last checkpoint, empty if none; a gang's is kept at its first task.
    pub(super) saved: String,
    /// The run that may be active.
    pub(super) live: Option<LiveRun>,
    /// Upstreams on which it failed.
    pub(super) failed_on: Vec<Name>,
    /// Its runs that were lost with their upstream.
    pub(super) losses: Losses,
    /// Upstreams with which it lost a run.
    pub(super) lost_on: Vec<Name>,
}

impl Task {
    /// Records an upstream with which a run was lost.
    pub(super) fn avoid(&mut self, at: &Name) {
        if !self.lost_on.contains(at) {
            self.lost_on.push(at.clone());
        }
    }

    /// Returns the upstreams on which it failed or with which it lost a run.
    pub(super) fn avoided(&self) -> Cow<'_, [Name]> {
        if self.lost_on.is_empty() {
            return Cow::Borrowed(&self.failed_on);
        }
        let all = self.failed_on.iter().chain(&self.lost_on);
        Cow::Owned(all.cloned().collect())
    }

    /// Counts the failure of a run, unless it is counted already: the members of a gang fail with
    /// the same run, and an end may be reported late.
    pub(super) fn record_failure(&mut self, run: u32) {
        if run <= self.failed_floor || self.failed_runs.contains(&run) {
            return;
        }
        self.fails += 1;
        self.failed_runs.push(run);
        if self.failed_runs.len() > MAX_FAILED_RUNS {
            let oldest = self.failed_runs.remove(0);
            self.failed_floor = self.failed_floor.max(oldest);
        }
    }

    /// Returns the number of the last run that failed, 0 if none.
    pub(super) fn last_failed(&self) -> u32 {
        let last = self.failed_runs.iter().max().copied();
        last.unwrap_or(0).max(self.failed_floor)
    }
}

/// The state of a step in one occurrence of its job.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct StepState {
    /// The tasks.
    pub(super) tasks: Vec<Task>,
    /// How many tasks are not done.
    pub(super) left: u32,
    /// When it became ready to run or last had a run settled, local clock.
    pub(super) ready: Option<u64>,
    /// The upstreams that were freed for the whole gang, and until when they are reserved for it.
    pub(super) reserved: Option<(Vec<Name>, u64)>,
    /// When a search for work to preempt last found none, local clock.
    pub(super) searched_at: Option<u64>,
    /// How often it was started again because an upstream was slow.
    pub(super) restarts: u32,
}

impl StepState {
    /// Estimates how long a task takes at the usual speed from the reports of those that run, in
    /// milliseconds.
    pub(super) fn usual_ms(&self) -> Option<f64> {
        // One for each upstream, so that several tasks on a slow one do not form a majority.
        let mut known: Vec<(&Name, f64)> = Vec::with_capacity(speed::MAX_SIBLINGS);
        for live in self.tasks.iter().filter_map(|task| task.live.as_ref()) {
            let Some(speed) = live.speed else {
                continue;
            };
            if known.len() < speed::MAX_SIBLINGS && known.iter().all(|(at, _)| **at != live.at) {
                known.push((&live.at, speed.usual_ms));
            }
        }
        speed::usual_ms(known.into_iter().map(|(_, usual_ms)| usual_ms).collect())
    }
}

/// One occurrence of a job.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Turn {
    /// When it was due, local clock.
    pub(super) due: u64,
    /// When it was due, Unix milliseconds.
    pub(super) due_ms: u64,
    /// Its steps.
    pub(super) steps: Vec<StepState>,
}

impl Turn {
    /// Makes an occurrence none of whose tasks has run.
    pub(super) fn new(spec: &Spec, due: u64, due_ms: u64) -> Self {
        let steps = spec.steps.iter().map(|step| StepState {
            tasks: vec![Task::default(); step.count as usize],
            left: step.count,
            ready: None,
            reserved: None,
            searched_at: None,
            restarts: 0,
        });
        Self {
            due,
            due_ms,
            steps: steps.collect(),
        }
    }

    /// Returns whether all tasks are done.
    pub(super) fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.left == 0)
    }

    /// Returns whether the steps before `step` are done.
    pub(super) fn is_ready(&self, step: &Step) -> bool {
        let done = |before: &u32| {
            self.steps
                .get(*before as usize)
                .is_some_and(|s| s.left == 0)
        };
        step.after.iter().all(done)
    }
}

/// A job.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Job {
    /// Its identity.
    pub(super) id: Name,
    /// The queue.
    pub(super) queue: Name,
    /// The queue as it was when the job was accepted; none if an earlier build stored the job, until
    /// a configuration names the queue.
    pub(super) terms: Option<Arc<Queue>>,
    /// Whether its fixed row has no terms, so that they are stored with its state.
    pub(super) lacks_terms: bool,
    /// The workspace.
    pub(super) workspace: Name,
    /// The job as submitted.
    pub(super) spec: Arc<Spec>,
    /// The caller's text, passed to each task.
    pub(super) text: Arc<str>,
    /// The nonce of the call that submitted it; 0 if unknown.
    pub(super) nonce: u64,
    /// When it was accepted, local clock.
    pub(super) arrived: u64,
    /// When it was accepted, Unix milliseconds.
    pub(super) wall_ms: u64,
    /// How and when it was closed, local clock; none while it is open.
    pub(super) closed: Option<(Phase, u64)>,
    /// Whether its closure is stored; until then callers must not see it as closed, as a new leader
    /// might not know of it.
    pub(super) closure_stored: bool,
    /// Whether an occurrence is due that the row of its state has no room for.
    pub(super) crowded: bool,
    /// Whether its state was stored in part.
    pub(super) trimmed: bool,
    /// Occurrences that have begun and are not done, or that still have a live run.
    pub(super) turns: BTreeMap<u32, Turn>,
    /// The next occurrence to begin.
    pub(super) next_turn: u32,
    /// Whether any task has ever started.
    pub(super) begun: bool,
    /// Whether its fixed row was passed to the store.
    pub(super) stored: bool,
}

/// The position of a task within its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct TaskPosition {
    /// The occurrence.
    pub(super) turn: u32,
    /// The step.
    pub(super) step: u32,
    /// The task.
    pub(super) index: u32,
}

impl Job {
    /// Returns its queue: as `config` has it, or else as it was when the job was accepted.
    pub(super) fn queue_in<'a>(&'a self, config: &'a Config) -> Option<&'a Arc<Queue>> {
        config.queue(&self.queue).or(self.terms.as_ref())
    }

    /// Returns whether it belongs to `queue`, which is in force as `config` says: by name, or by the
    /// path at which it was submitted if its own queue was removed.
    pub(super) fn is_of(&self, queue: &Queue, config: &Config) -> bool {
        let same_path = |terms: &Queue| terms.host == queue.host && terms.prefix == queue.prefix;
        // The search among all queues comes last: this is asked of each waiting job.
        self.queue == queue.name
            || self.terms.as_deref().is_some_and(same_path) && config.queue(&self.queue).is_none()
    }

    /// Returns the number of occurrences.
    pub(super) fn times(&self) -> u32 {
        self.spec.times.max(1)
    }

    /// Returns the Unix time at which occurrence `turn` is due, in milliseconds.
    pub(super) fn due_ms(&self, turn: u32) -> u64 {
        if self.spec.times == 0 {
            return self.wall_ms;
        }
        let later = self.spec.interval_ms.saturating_mul(u64::from(turn));
        self.spec.first_ms.saturating_add(later)
    }

    /// Finds the state of a step in an occurrence.
    pub(super) fn step_state(&self, turn: u32, step: u32) -> Option<&StepState> {
        self.turns.get(&turn)?.steps.get(step as usize)
    }

    /// Finds the state of a step in an occurrence.
    pub(super) fn step_state_mut(&mut self, turn: u32, step: u32) -> Option<&mut StepState> {
        self.turns.get_mut(&turn)?.steps.get_mut(step as usize)
    }

    /// Finds a task.
    pub(super) fn task(&self, position: TaskPosition) -> Option<&Task> {
        let step = self.step_state(position.turn, position.step)?;
        step.tasks.get(position.index as usize)
    }

    /// Finds a task.
    pub(super) fn task_mut(&mut self, position: TaskPosition) -> Option<&mut Task> {
        let step = self.step_state_mut(position.turn, position.step)?;
        step.tasks.get_mut(position.index as usize)
    }

    /// Sums, over the job's tasks, the upstreams on which a task has failed.
    pub(super) fn failures(&self) -> usize {
        let steps = self.turns.values().flat_map(|turn| &turn.steps);
        let tasks = steps.flat_map(|step| &step.tasks);
        tasks.map(|task| task.failed_on.len()).sum()
    }

    /// Returns whether a task has lost a run with its upstream.
    pub(super) fn has_losses(&self) -> bool {
        let steps = self.turns.values().flat_map(|turn| &turn.steps);
        let mut tasks = steps.flat_map(|step| &step.tasks);
        tasks.any(|task| task.losses.is_suspect())
    }

    /// Returns the positions of all tasks with a live run.
    pub(super) fn live(&self) -> Vec<TaskPosition> {
        let mut found = Vec::new();
        for (&turn, occurrence) in &self.turns {
            for (step, state) in (0..).zip(&occurrence.steps) {
                for (index, task) in (0..).zip(&state.tasks) {
                    if task.live.is_some() {
                        found.push(TaskPosition { turn, step, index });
                    }
                }
            }
        }
        found
    }

    /// Returns the live runs that must not go on, each with the reason. The order to stop one may
    /// have been lost with the leader that owed it.
    pub(super) fn unwanted(&self) -> Vec<(TaskPosition, &'static str)> {
        let why = |position: &TaskPosition| {
            if self.closed.is_some() {
                return Some("job closed");
            }
            if self.task(*position)?.done {
                return Some("task done");
            }
            let gang = self.spec.steps.get(position.step as usize)?.gang;
            let state = self.step_state(position.turn, position.step)?;
            let whole = state.tasks.iter().all(|task| task.live.is_some());
            (gang && !whole).then_some("gang incomplete")
        };
        let live = self.live().into_iter();
        live.filter_map(|position| Some((position, why(&position)?)))
            .collect()
    }

    /// Counts the tasks of a long-running step that are not serving.
    fn unavailable(&self, position: TaskPosition) -> u32 {
        let step = self.step_state(position.turn, position.step);
        let tasks = step.map_or(&[][..], |step| &step.tasks);
        let serves = |task: &Task| {
            let live = task.live.as_ref();
            live.is_some_and(|live| live.stage == Stage::Running && live.percent >= SERVING_PERCENT)
        };
        tasks.iter().map(|task| u32::from(!serves(task))).sum()
    }

    /// Returns how many more tasks of a step with [`Step::may_miss`] may be stopped now.
    pub(super) fn spare(&self, position: TaskPosition) -> u32 {
        let step = self.spec.steps.get(position.step as usize);
        step.map_or(0, |step| {
            step.may_miss.saturating_sub(self.unavailable(position))
        })
    }

    /// Returns the state that callers see.
    pub(super) fn phase(&self) -> Phase {
        match self.closed {
            Some((phase, _)) if self.closure_stored => phase,
            _ if self.begun => Phase::Running,
            _ => Phase::Queued,
        }
    }
}

/// Counts the tasks that are not done.
pub(super) fn count_left(tasks: &[Task]) -> u32 {
    tasks.iter().map(|task| u32::from(!task.done)).sum()
}

/// The progress from which on a long-running task is serving, in percent.
const SERVING_PERCENT: u32 = 100;
