//! A fake worker with the interface of `docs/PLATFORM.md`: leases, fencing, preparation and stops.

use crate::platform::SyncAnswer;
use crate::platform::SyncCall;
use crate::platform::TaskReport;
use crate::platform::TaskState;
use crate::platform::Usage;
use crate::platform::Want;
use crate::platform::WantedTask;
use crate::prelude::*;

/// The time that a checkpoint takes, in milliseconds.
const CHECKPOINT_MS: u64 = 200;

/// One task that a worker holds.
#[derive(Debug, Clone)]
pub struct Task {
    /// The task as the placer asked for it.
    pub wanted: WantedTask,
    /// Its state.
    pub state: TaskState,
    /// When it ends by itself or its stop completes, in milliseconds.
    pub end_ms: u64,
    /// When its lease expires, in milliseconds.
    pub lease_ms: u64,
    begun_ms: u64,
}

/// A fake worker.
#[derive(Debug, Clone)]
pub struct FakeWorker {
    /// Its name.
    pub name: Name,
    /// Its boot.
    pub boot: u64,
    /// Whether it fails every task that it starts.
    pub failing: bool,
    /// Until when it is paused, in milliseconds.
    pub frozen_ms: u64,
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// How many tasks it failed because of the injected fault.
    pub failed: u32,
    /// How many calls it refused because it had seen a higher offset.
    pub fenced: u32,
    as_of: Offset,
    run_ms: u64,
}

impl FakeWorker {
    /// Makes a worker whose tasks run for `run_ms` milliseconds.
    pub fn new(name: &str, run_ms: u64) -> Self {
        Self {
            name: name.into(),
            boot: 1,
            failing: false,
            frozen_ms: 0,
            tasks: Vec::new(),
            failed: 0,
            fenced: 0,
            as_of: 0,
            run_ms,
        }
    }

    /// Updates the tasks to the current time: leases expire first, then tasks end.
    pub fn advance(&mut self, now_ms: u64) {
        if now_ms < self.frozen_ms {
            return;
        }
        for task in &mut self.tasks {
            let open = matches!(
                task.state,
                TaskState::Prepared | TaskState::Running | TaskState::Stopping
            );
            if open && now_ms >= task.lease_ms {
                task.state = TaskState::Absent;
            }
            if task.state == TaskState::Stopping && now_ms >= task.end_ms {
                task.state = TaskState::Stopped;
            }
            if task.state == TaskState::Running && now_ms >= task.end_ms {
                task.state = TaskState::Done;
            }
        }
    }

    /// Handles a sync call.
    pub fn sync(&mut self, now_ms: u64, call: &SyncCall) -> SyncAnswer {
        self.advance(now_ms);
        if call.as_of < self.as_of {
            self.fenced += 1;
            return self.answer(&[]);
        }
        self.as_of = call.as_of;
        for task in &mut self.tasks {
            let named = call.tasks.iter().any(|one| same_task(one, &task.wanted));
            if !named {
                stop(task, now_ms);
            }
        }
        for wanted in &call.tasks {
            self.apply(now_ms, wanted, call.lease_ms);
        }
        let answer = self.answer(&call.tasks);
        self.tasks.retain(|task| {
            let named = call.tasks.iter().any(|one| same_task(one, &task.wanted));
            named || holds_slots(task.state)
        });
        answer
    }

    /// Returns whether it runs a task of the gang under any token.
    pub fn runs(&self, job: &str) -> bool {
        let mut own = self.tasks.iter().filter(|task| *task.wanted.job == *job);
        own.any(|task| task.state == TaskState::Running)
    }

    /// Returns whether it holds a task of the gang in this state.
    pub fn has(&self, job: &str, state: TaskState) -> bool {
        let mut own = self.tasks.iter().filter(|task| *task.wanted.job == *job);
        own.any(|task| task.state == state)
    }

    fn apply(&mut self, now_ms: u64, wanted: &WantedTask, lease_ms: u64) {
        let at = self
            .tasks
            .iter()
            .position(|task| same_task(wanted, &task.wanted));
        let Some(at) = at else {
            if wanted.want == Want::Prepare && self.fits(wanted) {
                self.tasks.push(Task {
                    wanted: wanted.clone(),
                    state: TaskState::Prepared,
                    end_ms: 0,
                    lease_ms: now_ms + lease_ms,
                    begun_ms: 0,
                });
            }
            return;
        };
        let task = &mut self.tasks[at];
        task.lease_ms = now_ms + lease_ms;
        match (wanted.want, task.state) {
            (Want::Run, TaskState::Prepared) if self.failing => {
                task.state = TaskState::Failed;
                self.failed += 1;
            }
            (Want::Run, TaskState::Prepared) => {
                task.state = TaskState::Running;
                task.begun_ms = now_ms;
                task.end_ms = now_ms + self.run_ms.saturating_sub(wanted.kept_ms);
            }
            (Want::Stop, _) => stop(task, now_ms),
            _ => {}
        }
    }

    fn fits(&self, wanted: &WantedTask) -> bool {
        let held = self.tasks.iter().filter(|task| holds_slots(task.state));
        let mask = held.fold(0, |mask, task| mask | task.wanted.mask);
        mask & wanted.mask == 0
    }

    fn answer(&self, wanted: &[WantedTask]) -> SyncAnswer {
        let mut tasks: Vec<TaskReport> = wanted
            .iter()
            .map(|one| {
                let task = self.tasks.iter().find(|task| same_task(one, &task.wanted));
                report(one, task)
            })
            .collect();
        let others = self.tasks.iter().filter(|task| {
            holds_slots(task.state) && !wanted.iter().any(|one| same_task(one, &task.wanted))
        });
        tasks.extend(others.map(|task| report(&task.wanted, Some(task))));
        SyncAnswer {
            boot: self.boot,
            as_of: self.as_of,
            tasks,
        }
    }
}

fn same_task(one: &WantedTask, other: &WantedTask) -> bool {
    one.job == other.job && one.token == other.token && one.index == other.index
}

fn holds_slots(state: TaskState) -> bool {
    matches!(
        state,
        TaskState::Prepared | TaskState::Running | TaskState::Stopping
    )
}

fn stop(task: &mut Task, now_ms: u64) {
    match task.state {
        TaskState::Running => {
            if task.wanted.checkpoint {
                task.wanted.kept_ms += now_ms - task.begun_ms;
            }
            task.state = TaskState::Stopping;
            task.end_ms = now_ms + CHECKPOINT_MS;
        }
        TaskState::Prepared => task.state = TaskState::Stopped,
        _ => {}
    }
}

fn report(wanted: &WantedTask, task: Option<&Task>) -> TaskReport {
    TaskReport {
        job: wanted.job.clone(),
        index: wanted.index,
        token: wanted.token,
        state: task.map_or(TaskState::Absent, |task| task.state),
        kept_ms: task.map_or(0, |task| task.wanted.kept_ms),
        usage: Usage::default(),
    }
}
