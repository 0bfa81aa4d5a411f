//! The tasks of a worker, which are prepared, run and stopped under leases.

use super::history::End;
use super::history::History;
use super::history::Span;
use super::profiles::TaskProfile;
use super::profiles::TaskProfiles;
use std::time::Duration;
use tokio::time::Instant;
use trefoilgauge::platform::SyncAnswer;
use trefoilgauge::platform::SyncCall;
use trefoilgauge::platform::TaskReport;
use trefoilgauge::platform::TaskState;
use trefoilgauge::platform::Usage;
use trefoilgauge::platform::Want;
use trefoilgauge::platform::WantedTask;
use trefoilgauge::prelude::Name;
use trefoilgauge::prelude::Offset;

/// A worker's resources and behaviour.
#[derive(Debug, Clone)]
pub struct WorkerOptions {
    /// Its name.
    pub name: Name,
    /// Its accelerators.
    pub accelerators: u32,
    /// Its cores.
    pub cores: u32,
    /// Its memory in gigabytes.
    pub memory_gb: u32,
    /// The duration of a checkpoint, in milliseconds.
    pub checkpoint_ms: u64,
    /// How old the reported usage is, in milliseconds.
    pub usage_lag_ms: u64,
    /// The actual run times of tasks; workers share it.
    pub profiles: TaskProfiles,
    /// Where executions are recorded; workers share it.
    pub history: History,
}

impl Default for WorkerOptions {
    fn default() -> Self {
        Self {
            name: "worker-1".into(),
            accelerators: 8,
            cores: 130,
            memory_gb: 250,
            checkpoint_ms: 100,
            usage_lag_ms: 2_000,
            profiles: TaskProfiles::default(),
            history: History::default(),
        }
    }
}

#[derive(Debug)]
struct Task {
    spec: WantedTask,
    state: TaskState,
    profile: TaskProfile,
    lease: Instant,
    since: Option<Instant>,
    stop: Option<Instant>,
    span: Option<usize>,
}

impl Task {
    fn matches(&self, wanted: &WantedTask) -> bool {
        let spec = &self.spec;
        spec.job == wanted.job && spec.index == wanted.index && spec.token == wanted.token
    }

    fn holds(&self) -> bool {
        use TaskState::Prepared;
        use TaskState::Running;
        use TaskState::Stopping;
        matches!(self.state, Prepared | Running | Stopping)
    }

    /// Returns the run time completed by `at`, including that kept from earlier placements.
    fn run_ms(&self, at: Instant) -> u64 {
        let end = self.stop.map_or(at, |stop| stop.min(at));
        let passed = self
            .since
            .map(|since| end.saturating_duration_since(since).as_millis() as u64);
        self.spec.kept_ms + passed.unwrap_or(0)
    }

    /// Returns the time of the next transition that needs no call, and the new state: `None` if
    /// the lease lapses.
    fn next_transition(&self) -> Option<(Instant, Option<TaskState>)> {
        let after = |run_ms: u64| {
            let left_ms = run_ms.saturating_sub(self.spec.kept_ms);
            self.since
                .map(|since| since + Duration::from_millis(left_ms))
        };
        let lapse = (self.lease, None);
        let own = match self.state {
            TaskState::Running => {
                let done = after(self.profile.run_ms).map(|at| (at, Some(TaskState::Done)));
                let failed = self.profile.fail_ms.and_then(after);
                let failed = failed.map(|at| (at, Some(TaskState::Failed)));
                [done, failed]
            }
            TaskState::Stopping => [self.stop.map(|at| (at, Some(TaskState::Stopped))), None],
            TaskState::Prepared => [None, None],
            _ => return None,
        };
        let all = own.into_iter().flatten().chain([lapse]);
        all.min_by_key(|(at, _)| *at)
    }

    fn report(&self, now: Instant, lag: Duration) -> TaskReport {
        let seen = now.checked_sub(lag).unwrap_or(now);
        let busy = self.state == TaskState::Running;
        let memory_mb = u64::from(self.spec.memory_gb) * 1_024 * self.profile.memory_pct / 100;
        TaskReport {
            job: self.spec.job.clone(),
            index: self.spec.index,
            token: self.spec.token,
            state: self.state,
            kept_ms: self.spec.kept_ms,
            usage: Usage {
                core_pct: if busy { self.spec.cores * 100 } else { 0 },
                memory_mb: if busy { memory_mb } else { 0 },
                run_ms: self.run_ms(seen),
            },
        }
    }
}

/// The tasks of one worker.
#[derive(Debug)]
pub struct Tasks {
    options: WorkerOptions,
    boot: u64,
    as_of: Offset,
    list: Vec<Task>,
    frozen: Option<Instant>,
    failing: bool,
}

impl Tasks {
    /// Creates a worker without tasks.
    pub fn new(options: WorkerOptions) -> Self {
        Self {
            options,
            boot: 1,
            as_of: 0,
            list: Vec::new(),
            frozen: None,
            failing: false,
        }
    }

    /// Sets whether tasks fail as soon as they start.
    pub fn set_failing(&mut self, failing: bool) {
        self.failing = failing;
    }

    /// Returns the boot number, which increases with each restart.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Returns the tasks that hold accelerators.
    pub fn held(&self) -> Vec<WantedTask> {
        let held = self.list.iter().filter(|task| task.holds());
        held.map(|task| task.spec.clone()).collect()
    }

    /// Carries out all transitions that are due by `now`.
    pub fn advance(&mut self, now: Instant) {
        let now = self.frozen.unwrap_or(now);
        let history = &self.options.history;
        self.list.retain_mut(|task| {
            while let Some((at, state)) = task.next_transition() {
                if at > now {
                    break;
                }
                let Some(state) = state else {
                    end_span(history, task, at, End::Lapsed);
                    return false;
                };
                finish(history, task, at, state);
            }
            true
        });
    }

    /// Suspends all tasks until [`Tasks::thaw`].
    pub fn freeze(&mut self, now: Instant) {
        self.advance(now);
        self.frozen = Some(self.frozen.unwrap_or(now));
    }

    /// Resumes after a freeze. Tasks whose leases lapsed meanwhile are dropped first.
    pub fn thaw(&mut self, now: Instant) {
        let Some(frozen) = self.frozen.take() else {
            return;
        };
        let history = &self.options.history;
        self.list.retain_mut(|task| {
            if task.holds() && task.lease <= now {
                end_span(history, task, frozen, End::Lapsed);
                return false;
            }
            let pause = now - frozen;
            task.since = task.since.map(|since| since + pause);
            task.stop = task.stop.map(|stop| stop + pause);
            true
        });
    }

    /// Restarts the worker: all tasks are lost and the boot number increases.
    pub fn restart(&mut self, now: Instant) {
        self.advance(now);
        let at = self.frozen.take().unwrap_or(now);
        for mut task in std::mem::take(&mut self.list) {
            end_span(&self.options.history, &mut task, at, End::Restarted);
        }
        self.boot += 1;
        self.as_of = 0;
    }

    /// Applies a call, unless its `as_of` is lower than that of an earlier call.
    pub fn sync(&mut self, call: &SyncCall, now: Instant) -> SyncAnswer {
        self.advance(now);
        let tasks = match call.as_of >= self.as_of {
            true => self.apply(call, now),
            false => self.reports(now, |_| true),
        };
        SyncAnswer {
            boot: self.boot,
            as_of: self.as_of,
            tasks,
        }
    }

    fn apply(&mut self, call: &SyncCall, now: Instant) -> Vec<TaskReport> {
        self.as_of = call.as_of;
        let lease = now + Duration::from_millis(call.lease_ms);
        self.stop_unnamed(call, now);
        let wanted = call.tasks.iter();
        let (active, stopped): (Vec<_>, Vec<_>) = wanted.partition(|task| task.want != Want::Stop);
        for task in stopped.into_iter().chain(active) {
            self.apply_task(task, lease, now);
        }
        let lag = Duration::from_millis(self.options.usage_lag_ms);
        let named = call.tasks.iter().map(|wanted| {
            let task = self.list.iter().find(|task| task.matches(wanted));
            task.map_or_else(|| absent(wanted), |task| task.report(now, lag))
        });
        let mut reports: Vec<TaskReport> = named.collect();
        reports.extend(self.reports(now, |task| !is_named(call, task)));
        reports
    }

    fn stop_unnamed(&mut self, call: &SyncCall, now: Instant) {
        let options = &self.options;
        let unnamed = self.list.iter_mut().filter(|task| !is_named(call, task));
        unnamed.for_each(|task| stop(options, task, now));
        self.list
            .retain(|task| task.holds() || is_named(call, task));
    }

    fn apply_task(&mut self, wanted: &WantedTask, lease: Instant, now: Instant) {
        let known = self.list.iter().position(|task| task.matches(wanted));
        let Some(known) = known else {
            self.prepare(wanted, lease);
            return;
        };
        let task = &mut self.list[known];
        task.lease = lease;
        match wanted.want {
            Want::Run if task.state == TaskState::Prepared => {
                run(&self.options, task, self.failing, now);
            }
            Want::Stop => stop(&self.options, task, now),
            Want::Prepare | Want::Run => {}
        }
    }

    fn prepare(&mut self, wanted: &WantedTask, lease: Instant) {
        if wanted.want != Want::Prepare || !self.fits(wanted) {
            return;
        }
        self.list.push(Task {
            spec: wanted.clone(),
            state: TaskState::Prepared,
            profile: self.options.profiles.of(&wanted.job),
            lease,
            since: None,
            stop: None,
            span: None,
        });
    }

    fn fits(&self, wanted: &WantedTask) -> bool {
        let held = self.list.iter().filter(|task| task.holds());
        let (mut mask, mut cores, mut memory_gb) = (0, 0, 0);
        for task in held {
            mask |= task.spec.mask;
            cores += task.spec.cores;
            memory_gb += task.spec.memory_gb;
        }
        let beyond = wanted.mask.checked_shr(self.options.accelerators);
        wanted.mask & mask == 0
            && beyond.unwrap_or(0) == 0
            && cores + wanted.cores <= self.options.cores
            && memory_gb + wanted.memory_gb <= self.options.memory_gb
    }

    fn reports(&self, now: Instant, predicate: impl Fn(&Task) -> bool) -> Vec<TaskReport> {
        let lag = Duration::from_millis(self.options.usage_lag_ms);
        let chosen = self.list.iter().filter(|task| predicate(task));
        chosen.map(|task| task.report(now, lag)).collect()
    }
}

fn is_named(call: &SyncCall, task: &Task) -> bool {
    call.tasks.iter().any(|wanted| task.matches(wanted))
}

fn absent(wanted: &WantedTask) -> TaskReport {
    TaskReport {
        job: wanted.job.clone(),
        index: wanted.index,
        token: wanted.token,
        state: TaskState::Absent,
        kept_ms: wanted.kept_ms,
        usage: Usage::default(),
    }
}

fn run(options: &WorkerOptions, task: &mut Task, failing: bool, now: Instant) {
    let span = Span {
        worker: options.name.clone(),
        job: task.spec.job.clone(),
        index: task.spec.index,
        token: task.spec.token,
        mask: task.spec.mask,
        started_ms: options.history.stamp(now),
        stopped_ms: None,
        end: None,
    };
    task.span = Some(options.history.add(span));
    task.since = Some(now);
    task.state = TaskState::Running;
    if failing {
        finish(&options.history, task, now, TaskState::Failed);
    }
}

fn stop(options: &WorkerOptions, task: &mut Task, now: Instant) {
    match task.state {
        TaskState::Prepared => task.state = TaskState::Stopped,
        TaskState::Running if task.spec.checkpoint => {
            task.state = TaskState::Stopping;
            task.stop = Some(now + Duration::from_millis(options.checkpoint_ms));
        }
        TaskState::Running => finish(&options.history, task, now, TaskState::Stopped),
        _ => {}
    }
}

/// Ends a task's execution. Its run time is kept if it completed or stopped with a checkpoint.
fn finish(history: &History, task: &mut Task, at: Instant, state: TaskState) {
    let completed = state == TaskState::Done;
    if completed || (task.spec.checkpoint && state == TaskState::Stopped) {
        task.spec.kept_ms = task.run_ms(at);
        task.since = None;
    }
    task.state = state;
    let how = match state {
        TaskState::Done => End::Done,
        TaskState::Failed => End::Failed,
        _ => End::Stopped,
    };
    end_span(history, task, at, how);
}

fn end_span(history: &History, task: &mut Task, at: Instant, how: End) {
    if let Some(span) = task.span.take() {
        history.end(span, at, how);
    }
}
