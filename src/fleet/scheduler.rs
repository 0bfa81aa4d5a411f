//! The reducer: its state, and the one function that every event goes through.

use super::advice::AdviceCache;
use super::effect::Effect;
use super::effect::Output;
use super::event::Event;
use super::event::Phase;
use super::event::Reading;
use super::event::Reply;
use super::health::Health;
use super::inherited::Inherited;
use super::learn::Durations;
use super::load::Loader;
use super::model::Config;
use super::model::RunId;
use super::model::Step;
use super::model::TaskId;
use super::row::Row;
use super::row::job_key;
use super::row::state_key;
use super::snapshot::FitBounds;
use super::snapshot::Shape;
use super::task::Job;
use super::task::TaskPosition;
use super::task::Turn;
use super::timing::Timing;
use super::upkeep::Upkeep;
use super::upstream::Upstream;
use crate::prelude::*;
use prost::Message;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

/// Waiting steps for each millisecond between two plans: planning takes a small part of the time
/// even on an eighth of a core.
const PLAN_PART: u64 = 4;
/// The time after which waiting tasks are looked at though nothing happened, in milliseconds: an
/// upstream opens again, kept room or a wait for a near place has its time.
const CHECK_MS: u64 = 200;
/// The longest time between two plans, in milliseconds.
const MAX_PLAN_MS: u64 = 60;
/// The pause after a plan, in times of what it took: the rest of the processor is for orders,
/// reports and calls, however small the VM is.
const PLAN_PAUSE_TIMES: u32 = 5;
/// The part of the bound on guaranteed work that the pause may take.
const PAUSE_PART: u64 = 8;

/// The state of the VM that leads.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) timing: Timing,
    pub(super) config: Option<Arc<Config>>,
    pub(super) jobs: BTreeMap<Name, Job>,
    pub(super) upstreams: BTreeMap<Name, Upstream>,
    pub(super) durations: Durations,
    pub(super) out: Output,
    /// Jobs whose changing row is to be stored after this step.
    pub(super) dirty: BTreeSet<Name>,
    /// Jobs that are not closed.
    pub(super) open: BTreeSet<Name>,
    /// Jobs with a task that may wait for a place.
    pub(super) pending: BTreeSet<Name>,
    /// Closed jobs, kept for callers that ask.
    closed: BTreeSet<(u64, Name)>,
    /// Jobs with occurrences to come.
    pub(super) timed: BTreeSet<Name>,
    /// What is known of which upstreams may run a step.
    pub(super) advice: AdviceCache,
    /// Maintenance.
    pub(super) upkeep: Upkeep,
    /// Data centres whose upstreams get no new work.
    pub(super) evacuated: BTreeSet<Name>,
    /// Whether something changed that may let a task start.
    pub(super) changed: bool,
    /// Counts events and renewals, to tell which report was asked for after which response: times
    /// in milliseconds cannot.
    pub(super) mark: u64,
    /// Upstreams whose renewal may be due now.
    pub(super) touched: BTreeSet<Name>,
    /// What this VM has yet to hear about the work that it took over.
    pub(super) inherited: Inherited,
    /// Which shapes would ever fit near their data.
    pub(super) near: HashMap<Shape, FitBounds>,
    /// How runs ended lately, at all upstreams together.
    pub(super) ends: Health,
    /// When all upstreams are looked at for renewals again, own time.
    pub(super) next_renew: u64,
    /// When runs that wait for something are looked at again, own time.
    pub(super) next_watch: u64,
    /// When waiting tasks are looked at though nothing happened, own time.
    next_check: u64,
    /// When tasks may be placed again, own time.
    next_plan: u64,
    /// The time of day minus the own time, in milliseconds.
    wall_offset: i64,
}

impl Scheduler {
    /// Makes the state of a VM that has just taken the lead.
    ///
    /// `rows` are the store's; `inherited_ms` is how long, from `now`, a lease that another VM
    /// asked for may yet run.
    ///
    /// # Errors
    ///
    /// Names the first row that cannot be decoded.
    pub fn load(
        timing: Timing,
        rows: Vec<Row>,
        now: u64,
        wall_ms: u64,
        inherited_ms: u64,
    ) -> Result<Self, String> {
        let mut loader = Loader::default();
        loader.decode(rows)?;
        Ok(loader.finish(timing, now, wall_ms, inherited_ms))
    }

    /// Makes the state of a VM that knows nothing.
    pub fn new(timing: Timing, now: u64, wall_ms: u64) -> Self {
        let mut scheduler = Self {
            timing,
            config: None,
            jobs: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            durations: Durations::default(),
            out: Output::default(),
            dirty: BTreeSet::new(),
            open: BTreeSet::new(),
            pending: BTreeSet::new(),
            closed: BTreeSet::new(),
            timed: BTreeSet::new(),
            advice: AdviceCache::default(),
            upkeep: Upkeep::default(),
            evacuated: BTreeSet::new(),
            changed: true,
            mark: 0,
            touched: BTreeSet::new(),
            inherited: Inherited::new(now),
            near: HashMap::new(),
            ends: Health::default(),
            next_renew: 0,
            next_watch: 0,
            next_check: 0,
            next_plan: 0,
            wall_offset: 0,
        };
        scheduler.set_wall(now, wall_ms);
        scheduler
    }

    /// Takes over a job that was stored; leases on its runs end at `lease_end` at the latest.
    pub(super) fn adopt(&mut self, job: Job, now: u64, lease_end: u64) {
        for place in job.live() {
            let Some(live) = job.task(place).and_then(|task| task.live.as_ref()) else {
                continue;
            };
            let upstream = self
                .upstreams
                .entry(live.at.clone())
                .or_insert_with(|| Upstream::unlisted(&live.at, now, lease_end));
            // What still runs is to be known at once.
            upstream.report_wanted = true;
            self.inherited.expect_report(&live.at);
            let run = run_id(&job.id, place, live.number);
            let need = job.spec.steps[place.step as usize].need();
            upstream.reserve(run, need);
        }
        match job.closed {
            Some((_, at)) => {
                self.closed.insert((at, job.id.clone()));
            }
            None => {
                self.open.insert(job.id.clone());
                self.pending.insert(job.id.clone());
                if job.next_turn < job.times() {
                    self.timed.insert(job.id.clone());
                }
            }
        }
        self.jobs.insert(job.id.clone(), job);
    }

    /// Handles one event; effects and rows gather until [`Scheduler::finish`].
    pub fn step(&mut self, now: u64, event: Event) {
        self.mark += 1;
        match event {
            Event::Called { call, what } => self.called(now, call, what),
            Event::Config(config) => self.configured(config),
            Event::Listed(listings) => self.listed(now, listings),
            Event::Unlisted(names) => self.unlisted(&names),
            Event::Started {
                at,
                run,
                answer,
                clock,
            } => {
                self.read_clock(&at, clock);
                self.started(now, &at, &run, answer);
            }
            Event::Stopped {
                at,
                run,
                answer,
                clock,
            } => {
                self.read_clock(&at, clock);
                self.stopped(now, &at, &run, answer);
            }
            Event::Paced { at, run, answer } => self.paced(now, &at, &run, answer),
            Event::Held {
                at,
                mark,
                answer,
                clock,
            } => {
                self.read_clock(&at, clock);
                self.held(now, &at, mark, answer);
            }
            Event::EndsStored { at, number } => {
                if let Some(upstream) = self.upstreams.get_mut(&at) {
                    upstream.seen = upstream.seen.max(number);
                    self.touched.insert(at);
                }
            }
            Event::Advised {
                step,
                asked,
                answer,
            } => self.advised(now, &step, &asked, answer),
            Event::Wave(wave) => self.wave(now, wave),
            Event::Evacuated(centres) => self.evacuated(centres.into_iter().collect()),
            Event::Evacuate(centre, on) => {
                let mut centres = self.evacuated.clone();
                if on {
                    centres.insert(centre);
                } else {
                    centres.remove(&centre);
                }
                self.evacuated(centres);
            }
            Event::Machines(list) => self.machines(list),
            Event::Downed {
                machine,
                wave,
                answer,
            } => self.downed(now, &machine, wave, answer),
            Event::Announced {
                wave,
                completed,
                stored,
            } => self.announced(now, wave, completed, stored),
            Event::Withdrawn(id) => self.withdraw(&id),
            Event::ClosureStored(id) => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.sealed = true;
                }
            }
        }
    }

    /// Does what time and the events so far call for: begins occurrences, places tasks, renews
    /// leases; returns all that is to be stored and carried out.
    pub fn finish(&mut self, now: u64, wall_ms: u64) -> Output {
        self.set_wall(now, wall_ms);
        self.begin_turns(now, wall_ms);
        self.watch_runs(now);
        if now >= self.next_check && !self.pending.is_empty() {
            self.next_check = now + CHECK_MS;
            self.changed = true;
        }
        if self.changed && now >= self.next_plan {
            self.changed = false;
            let waiting = self.plan(now);
            self.next_plan = now + (waiting / PLAN_PART).min(MAX_PLAN_MS);
            self.out.planned = waiting > 0;
        }
        self.renew(now);
        self.forget(now);
        for id in std::mem::take(&mut self.dirty) {
            self.store(&id, now, wall_ms);
        }
        std::mem::take(&mut self.out)
    }

    /// Puts the next plan off after one that took `took` and ended at `now`.
    pub fn delay_planning(&mut self, now: u64, took: Duration) {
        let pause = (took * PLAN_PAUSE_TIMES).as_millis();
        let pause = u64::try_from(pause).unwrap_or(u64::MAX);
        let most = self.timing.reclaim_ms / PAUSE_PART;
        self.next_plan = self.next_plan.max(now + pause.min(most));
    }

    fn set_wall(&mut self, now: u64, wall_ms: u64) {
        self.wall_offset = wall_ms.cast_signed() - now.cast_signed();
    }

    /// Returns the time of day that belongs to the own time `now`.
    pub(super) fn wall_ms(&self, now: u64) -> u64 {
        now.saturating_add_signed(self.wall_offset)
    }

    fn store(&mut self, id: &Name, now: u64, wall_ms: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.stored {
            job.stored = true;
            self.out.rows.push(Row {
                key: job_key(id),
                value: job.job_row().encode_to_vec(),
            });
        }
        self.out.rows.push(Row {
            key: state_key(id),
            value: job.state_row(now, wall_ms).encode_to_vec(),
        });
    }

    fn read_clock(&mut self, at: &Name, clock: Option<Reading>) {
        if let Some(upstream) = self.upstreams.get_mut(at) {
            upstream.read_clock(clock);
        }
    }

    /// Begins the occurrences that are due.
    fn begin_turns(&mut self, now: u64, wall_ms: u64) {
        let due: Vec<Name> = self
            .timed
            .iter()
            .filter(|id| {
                self.jobs
                    .get(*id)
                    .is_some_and(|job| job.due_ms(job.next_turn) <= wall_ms)
            })
            .cloned()
            .collect();
        for id in due {
            self.begin_due(&id, now, wall_ms);
        }
    }

    pub(super) fn begin_due(&mut self, id: &Name, now: u64, wall_ms: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        while job.next_turn < job.times() && job.due_ms(job.next_turn) <= wall_ms {
            let number = job.next_turn;
            let due_ms = job.due_ms(number);
            let late = wall_ms - due_ms;
            let turn = Turn::new(&job.spec, now.saturating_sub(late), due_ms);
            job.turns.insert(number, turn);
            job.next_turn += 1;
        }
        if job.next_turn >= job.times() {
            self.timed.remove(id);
        } else {
            self.timed.insert(id.clone());
        }
        self.open.insert(id.clone());
        self.pending.insert(id.clone());
        self.dirty.insert(id.clone());
        self.changed = true;
    }

    /// Closes a job; its live runs are stopped.
    pub(super) fn close(&mut self, id: &Name, phase: Phase, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.closed.is_some() {
            return;
        }
        log::info!(
            "TG1205 job={id} queue={} closed as {phase:?} age_ms={}",
            job.queue,
            now.saturating_sub(job.arrived)
        );
        job.closed = Some((phase, now));
        self.advice.remove_job(id);
        let live = job.live();
        self.closed.insert((now, id.clone()));
        self.out
            .after_store
            .push(Effect::ClosureStored { job: id.clone() });
        self.open.remove(id);
        self.pending.remove(id);
        self.timed.remove(id);
        self.dirty.insert(id.clone());
        for place in live {
            // Members of a gang that is done end by themselves.
            if !self
                .jobs
                .get(id)
                .and_then(|job| job.task(place))
                .is_some_and(|task| task.done)
            {
                self.stop(id, place, now);
            }
        }
        self.changed = true;
    }

    /// Drops jobs that were closed long enough ago.
    fn forget(&mut self, now: u64) {
        while let Some((at, id)) = self.closed.first().cloned() {
            if at + self.timing.keep_ms > now {
                break;
            }
            self.closed.pop_first();
            if self.jobs.get(&id).is_some_and(|job| !job.live().is_empty()) {
                self.closed.insert((now, id));
                break;
            }
            self.jobs.remove(&id);
            self.dirty.remove(&id);
            for key in [job_key(&id), state_key(&id)] {
                self.out.rows.push(Row {
                    key,
                    value: Vec::new(),
                });
            }
        }
    }

    /// Replies to a caller; what promises something waits for the rows of this step and before.
    pub(super) fn reply(&mut self, call: u64, reply: Reply) {
        let promises = matches!(reply, Reply::Accepted | Reply::Cancelled | Reply::Gone);
        let effect = Effect::Reply { call, reply };
        if promises {
            self.out.after_store.push(effect);
        } else {
            self.out.immediate.push(effect);
        }
    }

    /// Finds the step of a task.
    pub(super) fn step_of(&self, task: &TaskId) -> Option<&Step> {
        let job = self.jobs.get(&task.job)?;
        job.spec.steps.get(task.step as usize)
    }

    /// Counts open jobs, upstreams, and upstreams that do not answer.
    pub fn counts(&self) -> (usize, usize, usize) {
        let silent = self.upstreams.values().filter(|up| up.is_silent()).count();
        (self.open.len(), self.upstreams.len(), silent)
    }

    /// Tells whether a path names a job that is known here.
    pub fn has_job(&self, path: &str) -> bool {
        self.job_at(path).is_some()
    }

    /// Finds the job that a path names.
    pub(super) fn job_at(&self, path: &str) -> Option<&Job> {
        let id = path.rsplit('/').next().unwrap_or_default();
        self.jobs.get(id)
    }

    /// Whether a configuration is known.
    pub fn is_ready(&self) -> bool {
        self.config.is_some()
    }
}

/// Names a run.
pub(super) fn run_id(job: &Name, place: TaskPosition, number: u32) -> RunId {
    RunId {
        task: TaskId {
            job: job.clone(),
            turn: place.turn,
            step: place.step,
            index: place.index,
        },
        number,
    }
}

/// Returns where a task is in its job.
pub(super) fn position_of(task: &TaskId) -> TaskPosition {
    TaskPosition {
        turn: task.turn,
        step: task.step,
        index: task.index,
    }
}
