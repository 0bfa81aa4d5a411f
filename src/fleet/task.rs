//! Jobs and their tasks in memory, and their durable form.

use super::event::Phase;
use super::model::Spec;
use super::model::Step;
use super::row::JobRow;
use super::row::StateRow;
use super::row::TaskRow;
use super::row::TurnRow;
use crate::prelude::*;
use std::collections::BTreeMap;

/// How far a live run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// The order to start is on its way.
    Sending,
    /// The upstream said that it runs.
    Running,
    /// It is to stop; the end is not listed yet.
    Stopping,
}

/// A run that may be at work.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct LiveRun {
    /// The upstream.
    pub(super) at: Name,
    /// The run's number.
    pub(super) number: u32,
    /// How far it is.
    pub(super) stage: Stage,
    /// When it was placed, own time.
    pub(super) since: u64,
    /// The mark after which a report that omits it proves that it does not run; none while an
    /// order is unanswered.
    pub(super) answer_mark: Option<u64>,
    /// Orders to start that were sent.
    pub(super) tries: u32,
    /// The last progress, in percent.
    pub(super) percent: u32,
    /// When the progress last moved, own time.
    pub(super) progress_at: u64,
    /// When something was last saved, own time.
    pub(super) saved_at: u64,
    /// The share of its speed that it was given, in percent; none if that is unknown.
    pub(super) pace: Option<u32>,
    /// When that share was last changed, own time.
    pub(super) pace_at: u64,
}

/// One task.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Task {
    /// The number of its last run.
    pub(super) runs: u32,
    /// Runs that failed; of a gang, counted at its first task.
    pub(super) fails: u32,
    /// The run that failed last.
    pub(super) failed_run: u32,
    /// Whether it is done.
    pub(super) done: bool,
    /// What it has saved last.
    pub(super) saved: String,
    /// The run that may be at work.
    pub(super) live: Option<LiveRun>,
    /// Upstreams on which it failed.
    pub(super) failed_on: Vec<Name>,
}

/// The tasks of a step in one occurrence.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct StepState {
    /// The tasks.
    pub(super) tasks: Vec<Task>,
    /// Tasks that are not done.
    pub(super) left: u32,
    /// When its turn came or it last lost a run, own time.
    pub(super) ready: Option<u64>,
    /// The upstreams that were freed for the whole gang, and until when they are kept.
    pub(super) reserved: Option<(Vec<Name>, u64)>,
    /// When no work was found whose stop would make room, own time.
    pub(super) searched_at: Option<u64>,
}

/// One occurrence of a job.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Turn {
    /// When it was due, own time.
    pub(super) due: u64,
    /// When it was due, Unix milliseconds.
    pub(super) due_ms: u64,
    /// Its steps.
    pub(super) steps: Vec<StepState>,
}

impl Turn {
    /// Begins an occurrence.
    pub(super) fn new(spec: &Spec, due: u64, due_ms: u64) -> Self {
        let steps = spec.steps.iter().map(|step| StepState {
            tasks: vec![Task::default(); step.count as usize],
            left: step.count,
            ready: None,
            reserved: None,
            searched_at: None,
        });
        Self {
            due,
            due_ms,
            steps: steps.collect(),
        }
    }

    /// Tells whether all tasks are done.
    pub(super) fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.left == 0)
    }

    /// Tells whether the steps before `step` are done.
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
    /// The workspace.
    pub(super) workspace: Name,
    /// What was submitted.
    pub(super) spec: Arc<Spec>,
    /// The text passed to tasks.
    pub(super) text: Arc<str>,
    /// The call that submitted it; 0 if that is not known.
    pub(super) nonce: u64,
    /// When it was accepted, own time.
    pub(super) arrived: u64,
    /// When it was accepted, Unix milliseconds.
    pub(super) wall_ms: u64,
    /// How and when it was closed, own time.
    pub(super) closed: Option<(Phase, u64)>,
    /// Whether the store has it as closed; until then callers must not be told.
    pub(super) sealed: bool,
    /// Occurrences that have begun and are not done, or still hold a live run.
    pub(super) turns: BTreeMap<u32, Turn>,
    /// The next occurrence to begin.
    pub(super) next_turn: u32,
    /// Whether a task has ever been ordered to start.
    pub(super) begun: bool,
    /// Whether it is in the store.
    pub(super) stored: bool,
}

/// Positions in the two vectors of a task.
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

    /// Finds a step of an occurrence.
    pub(super) fn step_state(&self, turn: u32, step: u32) -> Option<&StepState> {
        self.turns.get(&turn)?.steps.get(step as usize)
    }

    /// Finds a step of an occurrence.
    pub(super) fn step_state_mut(&mut self, turn: u32, step: u32) -> Option<&mut StepState> {
        self.turns.get_mut(&turn)?.steps.get_mut(step as usize)
    }

    /// Finds a task.
    pub(super) fn task(&self, place: TaskPosition) -> Option<&Task> {
        let step = self.step_state(place.turn, place.step)?;
        step.tasks.get(place.index as usize)
    }

    /// Finds a task.
    pub(super) fn task_mut(&mut self, place: TaskPosition) -> Option<&mut Task> {
        let step = self.step_state_mut(place.turn, place.step)?;
        step.tasks.get_mut(place.index as usize)
    }

    /// Counts the upstreams at which runs of the job have failed, each task by itself.
    pub(super) fn failures(&self) -> usize {
        let steps = self.turns.values().flat_map(|turn| &turn.steps);
        let tasks = steps.flat_map(|step| &step.tasks);
        tasks.map(|task| task.failed_on.len()).sum()
    }

    /// Returns the places of all live runs.
    pub(super) fn live(&self) -> Vec<TaskPosition> {
        let mut found = Vec::new();
        for (&turn, whole) in &self.turns {
            for (step, stretch) in (0..).zip(&whole.steps) {
                for (index, task) in (0..).zip(&stretch.tasks) {
                    if task.live.is_some() {
                        found.push(TaskPosition { turn, step, index });
                    }
                }
            }
        }
        found
    }

    /// Counts the tasks of a step that are not at work.
    fn away(&self, place: TaskPosition) -> u32 {
        let step = self.step_state(place.turn, place.step);
        let tasks = step.map_or(&[][..], |step| &step.tasks);
        let works = |task: &Task| {
            let live = task.live.as_ref();
            live.is_some_and(|live| live.stage == Stage::Running && live.percent >= AT_WORK_PERCENT)
        };
        tasks.iter().map(|task| u32::from(!works(task))).sum()
    }

    /// Counts the tasks of a limited step that may be stopped now.
    pub(super) fn spare(&self, place: TaskPosition) -> u32 {
        let step = self.spec.steps.get(place.step as usize);
        step.map_or(0, |step| step.may_miss.saturating_sub(self.away(place)))
    }

    /// Tells the state that callers see.
    pub(super) fn phase(&self) -> Phase {
        match self.closed {
            Some((phase, _)) if self.sealed => phase,
            _ if self.begun => Phase::Running,
            _ => Phase::Queued,
        }
    }

    /// Returns the durable form of what never changes.
    pub(super) fn job_row(&self) -> JobRow {
        JobRow {
            queue: self.queue.to_string(),
            workspace: self.workspace.to_string(),
            wall_ms: self.wall_ms,
            spec: Some((*self.spec).clone()),
            nonce: self.nonce,
        }
    }

    /// Returns the durable form of what changes; `wall_ms` is the time of day.
    pub(super) fn state_row(&self, now: u64, wall_ms: u64) -> StateRow {
        let mut row = StateRow {
            next_turn: self.next_turn,
            begun: self.begun,
            ..StateRow::default()
        };
        if let Some((phase, at)) = self.closed {
            row.closed = match phase {
                Phase::Completed => 1,
                Phase::Failed => 2,
                Phase::Cancelled => 3,
                Phase::Queued | Phase::Running => 0,
            };
            row.closed_ms = wall_ms.saturating_sub(now.saturating_sub(at));
        }
        for (&number, turn) in &self.turns {
            let tasks = turn.steps.iter().flat_map(|step| &step.tasks);
            let tasks = tasks.map(|task| task_row(task, &mut row.upstreams));
            let tasks = tasks.collect();
            row.turns.push(TurnRow {
                number,
                due_ms: turn.due_ms,
                tasks,
            });
        }
        row
    }

    /// Rebuilds a job from its rows; live runs count as known, since the new token bars every
    /// older order.
    pub(super) fn load(id: &str, fixed: JobRow, row: StateRow, now: u64, wall_ms: u64) -> Self {
        let row_upstreams = row.upstreams;
        let spec = Arc::new(fixed.spec.unwrap_or_default());
        let age = |then: u64| now.saturating_sub(wall_ms.saturating_sub(then).min(MAX_AGE_MS));
        let mut job = Self {
            id: id.into(),
            queue: fixed.queue.into(),
            workspace: fixed.workspace.into(),
            text: spec.text.as_str().into(),
            spec,
            nonce: fixed.nonce,
            arrived: age(fixed.wall_ms),
            wall_ms: fixed.wall_ms,
            closed: None,
            sealed: row.closed != 0,
            turns: BTreeMap::new(),
            next_turn: row.next_turn,
            begun: row.begun,
            stored: true,
        };
        job.closed = match row.closed {
            1 => Some((Phase::Completed, age(row.closed_ms))),
            2 => Some((Phase::Failed, age(row.closed_ms))),
            3 => Some((Phase::Cancelled, age(row.closed_ms))),
            _ => None,
        };
        for saved in row.turns {
            let mut turn = Turn::new(&job.spec, age(saved.due_ms), saved.due_ms);
            let mut rows = saved.tasks.into_iter();
            for step in &mut turn.steps {
                for (task, row) in step.tasks.iter_mut().zip(&mut rows) {
                    *task = load_task(row, &row_upstreams, now);
                }
                step.left = count_left(&step.tasks);
            }
            job.turns.insert(saved.number, turn);
        }
        job
    }
}

/// Counts the tasks that are not done.
pub(super) fn count_left(tasks: &[Task]) -> u32 {
    tasks.iter().map(|task| u32::from(!task.done)).sum()
}

fn task_row(task: &Task, upstreams: &mut Vec<String>) -> TaskRow {
    let at = task.live.as_ref().map_or(0, |live| {
        let known = upstreams.iter().position(|name| **name == *live.at);
        let position = known.unwrap_or_else(|| {
            upstreams.push(live.at.to_string());
            upstreams.len() - 1
        });
        u32::try_from(position + 1).unwrap_or(0)
    });
    TaskRow {
        runs: task.runs,
        fails: task.fails,
        done: task.done,
        saved: task.saved.clone(),
        at,
        failed_run: task.failed_run,
    }
}

fn load_task(row: TaskRow, upstreams: &[String], now: u64) -> Task {
    let at = (row.at as usize).checked_sub(1);
    let at = at.and_then(|position| upstreams.get(position));
    let live = at.map(|at| LiveRun {
        at: at.as_str().into(),
        number: row.runs,
        stage: Stage::Running,
        since: now,
        answer_mark: Some(0),
        tries: 1,
        percent: 0,
        progress_at: now,
        saved_at: now,
        pace: None,
        pace_at: now,
    });
    Task {
        runs: row.runs,
        fails: row.fails,
        failed_run: row.failed_run,
        done: row.done,
        saved: row.saved,
        live,
        failed_on: Vec::new(),
    }
}

/// The progress from which a task that lasts is at work, in percent.
const AT_WORK_PERCENT: u32 = 100;
/// The greatest age that a restored job is given, in milliseconds: beyond it the time of day has
/// jumped.
const MAX_AGE_MS: u64 = 600_000;
