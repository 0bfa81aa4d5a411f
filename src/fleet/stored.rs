//! Jobs and their tasks to and from their stored form.

use super::decide::crash::Losses;
use super::event::Phase;
use super::model::Advice;
use super::model::MAX_JOB_TASKS;
use super::model::Queue;
use super::row::AdviceRow;
use super::row::JobRow;
use super::row::StateRow;
use super::row::TaskRow;
use super::row::TermsRow;
use super::row::TurnRow;
use super::task::Job;
use super::task::LiveRun;
use super::task::Stage;
use super::task::Task;
use super::task::Turn;
use super::task::count_left;
use crate::prelude::*;
use prost::Message;
use std::collections::BTreeMap;

/// The greatest age that a restored job is given, in milliseconds; a greater one means that the
/// wall clock has jumped.
const MAX_AGE_MS: u64 = 600_000;

/// The size of the stored form of a task that is not done, in bytes; with a checkpoint of 16.
const OPEN_TASK_BYTES: usize = 30;
/// The same of a task that is done.
const DONE_TASK_BYTES: usize = 12;
/// The size of what an occurrence stores besides its tasks, in bytes.
const TURN_BYTES: usize = 16;
/// Limit on the size of a job's [`StateRow`], in bytes: below the largest record of the store.
const MAX_STATE_BYTES: usize = MAX_JOB_TASKS as usize * OPEN_TASK_BYTES + TURN_BYTES;

/// What was left out of a [`StateRow`] that was too large.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Trimmed {
    /// The size of the whole row, in bytes.
    pub(super) bytes: usize,
    /// How many checkpoints were left out.
    pub(super) checkpoints: usize,
    /// Whether only the last failure of each task is kept.
    pub(super) failures: bool,
}

/// Leaves out of a row what a task can do without, until the row is small enough for the store:
/// what is left of 8,192 open tasks is about two thirds of the limit. First goes what tasks that are
/// done no longer need, then checkpoints of live runs, which their upstreams report to the next
/// leader, then the numbers of earlier failures, as in rows of earlier builds, then the other
/// checkpoints.
pub(super) fn trim(row: &mut StateRow) -> Option<Trimmed> {
    let bytes = row.encoded_len();
    let mut excess = bytes.checked_sub(MAX_STATE_BYTES + 1)? + 1;
    let tasks = |row: &mut StateRow, change: &mut dyn FnMut(&mut TaskRow)| {
        let turns = row.turns.iter_mut();
        turns.flat_map(|turn| &mut turn.tasks).for_each(change);
    };
    tasks(row, &mut |task| {
        if task.done {
            let kept = TaskRow {
                runs: task.runs,
                done: true,
                at: task.at,
                ..TaskRow::default()
            };
            excess = excess.saturating_sub(task.encoded_len() - kept.encoded_len());
            *task = kept;
        }
    });
    let mut checkpoints = 0;
    let mut failures = false;
    for live in [true, false] {
        tasks(row, &mut |task| {
            if excess > 0 && (task.at > 0) == live && !task.saved.is_empty() {
                excess = excess.saturating_sub(task.saved.len());
                task.saved.clear();
                checkpoints += 1;
            }
        });
        if live && excess > 0 {
            failures = true;
            tasks(row, &mut |task| {
                let before = task.encoded_len();
                task.failed_runs.clear();
                task.failed_floor = 0;
                excess = excess.saturating_sub(before - task.encoded_len());
            });
        }
    }
    Some(Trimmed {
        bytes,
        checkpoints,
        failures,
    })
}

/// Returns whether the state of a job that begins `due` occurrences of `tasks` tasks at the same time
/// fits into its row.
pub(super) fn fits(tasks: u64, due: u64) -> bool {
    let open = tasks.saturating_mul(OPEN_TASK_BYTES as u64);
    let each = open.saturating_add(TURN_BYTES as u64);
    each.saturating_mul(due) <= MAX_STATE_BYTES as u64
}

impl Job {
    /// Returns whether the row of its state has room for another occurrence.
    pub(super) fn has_room_for_turn(&self) -> bool {
        let steps = self.turns.values().flat_map(|turn| &turn.steps);
        let stored: usize = steps
            .map(|step| {
                let left = step.left as usize;
                left * OPEN_TASK_BYTES + step.tasks.len().saturating_sub(left) * DONE_TASK_BYTES
            })
            .sum();
        let tasks: usize = self.spec.steps.iter().map(|step| step.count as usize).sum();
        let turns = (self.turns.len() + 1) * TURN_BYTES;
        self.turns.is_empty() || stored + tasks * OPEN_TASK_BYTES + turns <= MAX_STATE_BYTES
    }

    /// Returns the stored form of the part that never changes.
    pub(super) fn job_row(&self) -> JobRow {
        JobRow {
            queue: self.queue.to_string(),
            workspace: self.workspace.to_string(),
            wall_ms: self.wall_ms,
            spec: Some((*self.spec).clone()),
            nonce: self.nonce,
            terms: self.terms.as_deref().map(terms_row),
        }
    }

    fn late_terms(&self) -> Option<TermsRow> {
        let terms = self.terms.as_deref().filter(|_| self.lacks_terms);
        terms.map(terms_row)
    }

    /// Returns the stored form of the part that changes; `wall_ms` is the Unix time at `now`.
    pub(super) fn state_row(&self, now: u64, wall_ms: u64) -> StateRow {
        let mut row = StateRow {
            next_turn: self.next_turn,
            begun: self.begun,
            terms: self.late_terms(),
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
            let tasks = tasks.map(|task| task_row(task, &mut row.upstreams, &mut row.born));
            let tasks = tasks.collect();
            row.turns.push(TurnRow {
                number,
                due_ms: turn.due_ms,
                tasks,
            });
        }
        row
    }

    /// Rebuilds a job from its rows. Its live runs count as answered, as the new leader's token
    /// bars every order of an earlier leader that is still under way.
    pub(super) fn load(id: &str, fixed: JobRow, row: StateRow, now: u64, wall_ms: u64) -> Self {
        let processes = Processes {
            upstreams: row.upstreams,
            born: row.born,
        };
        let spec = Arc::new(fixed.spec.unwrap_or_default());
        let lacks_terms = fixed.terms.is_none();
        let terms = fixed.terms.or(row.terms);
        let terms = terms.map(|terms| load_terms(&fixed.queue, terms));
        let age = |then: u64| now.saturating_sub(wall_ms.saturating_sub(then).min(MAX_AGE_MS));
        let mut job = Self {
            id: id.into(),
            queue: fixed.queue.into(),
            terms: terms.map(Arc::new),
            lacks_terms,
            workspace: fixed.workspace.into(),
            text: spec.text.as_str().into(),
            spec,
            nonce: fixed.nonce,
            arrived: age(fixed.wall_ms),
            wall_ms: fixed.wall_ms,
            closed: None,
            closure_stored: row.closed != 0,
            crowded: false,
            trimmed: false,
            turns: BTreeMap::new(),
            next_turn: row.next_turn,
            begun: row.begun,
            stored: true,
        };
        // Its age is not taken from the time of day, which may have jumped: a job that is forgotten
        // too soon runs again when its caller repeats the submission.
        job.closed = match row.closed {
            1 => Some((Phase::Completed, now)),
            2 => Some((Phase::Failed, now)),
            3 => Some((Phase::Cancelled, now)),
            _ => None,
        };
        for saved in row.turns {
            let mut turn = Turn::new(&job.spec, age(saved.due_ms), saved.due_ms);
            let mut rows = saved.tasks.into_iter();
            for step in &mut turn.steps {
                for (task, row) in step.tasks.iter_mut().zip(&mut rows) {
                    *task = load_task(row, &processes, now);
                }
                step.left = count_left(&step.tasks);
            }
            job.turns.insert(saved.number, turn);
        }
        job
    }
}

/// The processes that hold the live runs of a stored job.
struct Processes {
    upstreams: Vec<String>,
    /// When each of them started.
    born: Vec<u64>,
}

fn terms_row(queue: &Queue) -> TermsRow {
    TermsRow {
        host: queue.host.to_string(),
        prefix: queue.prefix.to_string(),
        service: queue.service.to_string(),
        priority: queue.priority,
        attempts: queue.attempts,
        stretch: queue.stretch,
        base_ms: queue.base_ms,
        public: queue.public,
        advice: queue.advice.map(|advice| AdviceRow {
            decide_ms: advice.decide_ms,
            each_ms: advice.each_ms,
            valid_ms: advice.valid_ms,
        }),
    }
}

fn load_terms(name: &str, row: TermsRow) -> Queue {
    Queue {
        name: name.into(),
        host: row.host.into(),
        prefix: row.prefix.into(),
        service: row.service.into(),
        priority: row.priority,
        attempts: row.attempts,
        stretch: row.stretch,
        base_ms: row.base_ms,
        public: row.public,
        advice: row.advice.map(|advice| Advice {
            decide_ms: advice.decide_ms,
            each_ms: advice.each_ms,
            valid_ms: advice.valid_ms,
        }),
    }
}

fn task_row(task: &Task, upstreams: &mut Vec<String>, born: &mut Vec<u64>) -> TaskRow {
    let at = task.live.as_ref().map_or(0, |live| {
        let mut known = upstreams.iter().zip(&*born);
        let known = known.position(|(name, born)| **name == *live.at && *born == live.born);
        let position = known.unwrap_or_else(|| {
            upstreams.push(live.at.to_string());
            born.push(live.born);
            upstreams.len() - 1
        });
        u32::try_from(position + 1).unwrap_or(0)
    });
    TaskRow {
        runs: task.runs,
        fails: task.fails,
        done: task.done,
        // What is done never resumes.
        saved: if task.done {
            String::new()
        } else {
            task.saved.clone()
        },
        at,
        failed_run: task.last_failed(),
        crashes: task.losses.crashes,
        unconfirmed: task.losses.unconfirmed,
        failed_runs: task.failed_runs.clone(),
        failed_floor: task.failed_floor,
    }
}

fn load_task(row: TaskRow, processes: &Processes, now: u64) -> Task {
    let at = (row.at as usize).checked_sub(1);
    let at = at.and_then(|position| Some((position, processes.upstreams.get(position)?)));
    let live = at.map(|(position, at)| LiveRun {
        at: at.as_str().into(),
        born: processes.born.get(position).copied().unwrap_or(0),
        confirmed: false,
        number: row.runs,
        stage: Stage::Running,
        since: now,
        began: Some(now),
        answer_mark: Some(0),
        order_mark: 0,
        order_life: 0,
        silent: true,
        tries: 1,
        stops: 0,
        stop_at: now,
        percent: 0,
        progress_at: now,
        saved_at: now,
        pace: None,
        pace_at: now,
        seen: None,
        speed: None,
    });
    Task {
        runs: row.runs,
        fails: row.fails,
        // An earlier build stores only the last one.
        failed_floor: if row.failed_runs.is_empty() {
            row.failed_run
        } else {
            row.failed_floor
        },
        failed_runs: row.failed_runs,
        done: row.done,
        saved: row.saved,
        live,
        failed_on: Vec::new(),
        losses: Losses {
            crashes: row.crashes,
            unconfirmed: row.unconfirmed,
            ..Losses::default()
        },
        lost_on: Vec::new(),
    }
}
