//! The reducer: its state, and the function that handles every event.

use super::advice::AdviceCache;
use super::cadence::Cadence;
use super::crashes::LostRuns;
use super::decide::predict::Durations;
use super::decide::trust::Health;
use super::effect::Effect;
use super::effect::Output;
use super::event::Event;
use super::event::Phase;
use super::event::Reading;
use super::event::Reply;
use super::inherited::Inherited;
use super::learned::Learned;
use super::leases::EarlierLeaders;
use super::leases::Takeover;
use super::load::Loader;
use super::model::Config;
use super::model::RunId;
use super::model::Step;
use super::model::TaskId;
use super::reservations::Reservations;
use super::restarted::Restarted;
use super::row::Row;
use super::row::job_key;
use super::row::state_key;
use super::shares::Shares;
use super::snapshot::FitBounds;
use super::snapshot::Shape;
use super::stored;
use super::task::Job;
use super::task::TaskPosition;
use super::task::Turn;
use super::timing::Timing;
use super::unanswered::Unanswered;
use super::upkeep::Upkeep;
use super::upstream::Upstream;
use crate::prelude::*;
use prost::Message;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

/// The scheduler's state, held by the leader.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) timing: Timing,
    pub(super) config: Option<Arc<Config>>,
    pub(super) jobs: BTreeMap<Name, Job>,
    /// Jobs whose stored rows cannot be decoded: they are not run, but not absent either.
    pub(super) unreadable: BTreeSet<Name>,
    pub(super) upstreams: BTreeMap<Name, Upstream>,
    pub(super) durations: Durations,
    pub(super) out: Output,
    /// Jobs whose changing row is to be stored at the end of this pass.
    pub(super) dirty: BTreeSet<Name>,
    /// Jobs that are not closed.
    pub(super) open: BTreeSet<Name>,
    /// Jobs that may have a task to place.
    pub(super) pending: BTreeSet<Name>,
    /// Closed jobs by the time of their closure, kept so that callers can query them.
    closed: BTreeSet<(u64, Name)>,
    /// Jobs with occurrences that have not begun.
    pub(super) timed: BTreeSet<Name>,
    /// Decisions of the advice service on which upstreams may run a step.
    pub(super) advice: AdviceCache,
    /// Maintenance waves and machines.
    pub(super) upkeep: Upkeep,
    /// Data centres whose upstreams get no new work.
    pub(super) evacuated: BTreeSet<Name>,
    /// Whether something changed that may allow a task to start, so that planning is needed.
    pub(super) changed: bool,
    /// Counts events and renewals, to determine which report was requested after which response;
    /// times in milliseconds are too coarse for this.
    pub(super) mark: u64,
    /// Upstreams whose renewal may be due now.
    pub(super) touched: BTreeSet<Name>,
    /// Upstreams with work of earlier leaders that have not reported to this one yet.
    pub(super) inherited: Inherited,
    /// The earlier leaders, whose leases may last.
    pub(super) earlier: EarlierLeaders,
    /// How many restarts of upstreams this leader has noticed.
    pub(super) lives: u64,
    /// Upstreams that may hold a lease by the clock of an earlier process.
    pub(super) restarted: Restarted,
    /// What is stored of the learned state for the next leader.
    pub(super) learned: Learned,
    /// Runs that were lost with their upstreams.
    pub(super) lost: LostRuns,
    /// Orders to start a run that got no response and may still be carried out.
    pub(super) unanswered: Unanswered,
    /// How many tasks of each shape could ever be placed near their data.
    pub(super) near: HashMap<Shape, FitBounds>,
    /// Room that is reserved ahead for waiting gangs.
    pub(super) reservations: Reservations,
    /// How runs ended recently, over all upstreams.
    pub(super) ends: Health,
    /// The use that each workspace is charged for.
    pub(super) shares: Shares,
    /// When planning passes and periodic checks are next due.
    pub(super) cadence: Cadence,
    /// Unix time minus the local clock, in milliseconds.
    wall_offset: i64,
}

impl Scheduler {
    /// Rebuilds the state from the rows of the store, on a VM that has just become the leader.
    ///
    /// `wall_ms` is the Unix time at `now`. A job with a row that cannot be decoded is neither run
    /// nor taken as absent.
    pub fn load(
        timing: Timing,
        rows: Vec<Row>,
        now: u64,
        wall_ms: u64,
        takeover: Takeover,
    ) -> Self {
        let mut loader = Loader::default();
        loader.decode(rows);
        loader.finish(timing, now, wall_ms, takeover)
    }

    /// Makes an empty state.
    pub fn new(timing: Timing, now: u64, wall_ms: u64) -> Self {
        let mut scheduler = Self {
            durations: Durations::new(timing.policy.duration_percentile),
            timing,
            config: None,
            jobs: BTreeMap::new(),
            unreadable: BTreeSet::new(),
            upstreams: BTreeMap::new(),
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
            earlier: EarlierLeaders::none(),
            lives: 0,
            restarted: Restarted::default(),
            learned: Learned::new(now),
            lost: LostRuns::default(),
            unanswered: Unanswered::default(),
            near: HashMap::new(),
            reservations: Reservations::default(),
            ends: Health::default(),
            shares: Shares::default(),
            cadence: Cadence::new(now),
            wall_offset: 0,
        };
        scheduler.set_wall_clock(now, wall_ms);
        scheduler
    }

    /// Adds a job that an earlier leader stored. Runs that must not go on are stopped.
    pub(super) fn adopt(&mut self, job: Job, now: u64) {
        let lease_end = self.earlier.lease_end(&self.timing);
        for position in job.live() {
            let Some(live) = job.task(position).and_then(|task| task.live.as_ref()) else {
                continue;
            };
            let upstream = self
                .upstreams
                .entry(live.at.clone())
                .or_insert_with(|| Upstream::unlisted(&live.at, now, lease_end));
            self.learned.apply(now, upstream);
            upstream.foreign_end = self.restarted.lease_end(&live.at);
            upstream.holder_born = upstream.holder_born.max(live.born);
            // Find out at once which of its runs are still active.
            upstream.report_wanted = true;
            self.inherited.expect_report(&live.at);
            let run = run_id(&job.id, position, live.number);
            self.unanswered.add(now, &live.at, &run);
            let need = job.spec.steps[position.step as usize].need();
            upstream.reserve(run, need);
        }
        match job.closed {
            Some((_, at)) => {
                self.closed.insert((at, job.id.clone()));
            }
            None => {
                self.open.insert(job.id.clone());
                self.pending.insert(job.id.clone());
                if job.has_losses() {
                    self.lost.add_job(&job.id);
                }
                if job.next_turn < job.times() {
                    self.timed.insert(job.id.clone());
                }
            }
        }
        let unwanted = job.unwanted();
        let id = job.id.clone();
        self.jobs.insert(id.clone(), job);
        for (position, why) in unwanted {
            self.stop_inherited(now, &id, position, why);
        }
    }

    fn stop_inherited(&mut self, now: u64, id: &Name, position: TaskPosition, why: &str) {
        let task = self.jobs.get(id).and_then(|job| job.task(position));
        let Some(live) = task.and_then(|task| task.live.as_ref()) else {
            return;
        };
        log::info!(
            "TG1621 job={id} step={} index={} run={} upstream={} born={} of an earlier leader is stopped: {why}",
            position.step,
            position.index,
            live.number,
            live.at,
            live.born
        );
        self.stop(id, position, now);
    }

    /// Handles one event; its effects and rows are collected until [`Scheduler::finish`].
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
                if self.was_sent_to_present(&at, &run) {
                    self.read_clock(now, &at, clock);
                }
                self.started(now, &at, &run, answer);
            }
            Event::Stopped {
                at,
                run,
                answer,
                clock,
            } => {
                if self.was_sent_to_present(&at, &run) {
                    self.read_clock(now, &at, clock);
                }
                self.stopped(now, &at, &run, answer);
            }
            Event::Paced { at, run, answer } => self.paced(now, &at, &run, answer),
            Event::Held {
                at,
                mark,
                answer,
                clock,
            } => {
                let upstream = self.upstreams.get(&at);
                if upstream.is_some_and(|upstream| !upstream.is_outdated(mark, &answer)) {
                    self.read_clock(now, &at, clock);
                }
                self.held(now, &at, mark, answer);
            }
            Event::EndsStored { at, born, number } => self.ends_stored(at, born, number),
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
            Event::Machines(list) => self.machines(now, list),
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
            Event::PredecessorEnded => self.predecessor_ended(now),
            Event::Withdrawn(id) => self.withdraw(&id),
            Event::ClosureStored(id) => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.closure_stored = true;
                }
            }
        }
    }

    /// Completes a pass: begins due occurrences, places tasks and renews leases; returns all rows
    /// to store and effects to carry out since the last pass.
    pub fn finish(&mut self, now: u64, wall_ms: u64) -> Output {
        self.set_wall_clock(now, wall_ms);
        self.begin_turns(now, wall_ms);
        self.watch_runs(now);
        if !self.pending.is_empty() && self.cadence.take_plan_check(now) {
            self.changed = true;
        }
        if self.changed && self.cadence.may_plan(now) {
            self.changed = false;
            self.cadence.begin_plan(now);
            let waiting = self.plan(now);
            self.cadence.end_plan(now, waiting);
            self.out.planned = waiting > 0;
        }
        self.renew(now);
        self.drop_closed(now);
        self.note_earlier_leaders(now);
        let restarts = self.restarted.take_rows(now, wall_ms);
        self.out.rows.extend(restarts);
        for id in std::mem::take(&mut self.dirty) {
            self.store(&id, now, wall_ms);
        }
        std::mem::take(&mut self.out)
    }

    /// Delays the next planning pass after one that took `took` and ended at `now`.
    pub fn delay_planning(&mut self, now: u64, took: Duration) {
        self.cadence.delay_plan(now, took, &self.timing);
    }

    fn set_wall_clock(&mut self, now: u64, wall_ms: u64) {
        self.wall_offset = wall_ms.cast_signed() - now.cast_signed();
    }

    /// Returns the Unix time at the time `now` of the local clock, in milliseconds.
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
        let mut row = job.state_row(now, wall_ms);
        let trimmed = stored::trim(&mut row);
        if let Some(trimmed) = trimmed.filter(|_| !job.trimmed) {
            log::warn!(
                "TG1216 job={id} the row of its state is too large and is stored in part: bytes={} checkpoints_left_out={} earlier_failures_left_out={}",
                trimmed.bytes,
                trimmed.checkpoints,
                trimmed.failures
            );
        }
        job.trimmed = trimmed.is_some();
        self.out.rows.push(Row {
            key: state_key(id),
            value: row.encode_to_vec(),
        });
    }

    fn read_clock(&mut self, now: u64, at: &Name, clock: Option<Reading>) {
        if let Some(upstream) = self.upstreams.get_mut(at)
            && upstream.read_clock(now, clock)
        {
            self.lives += 1;
            upstream.begin_life(self.lives, self.mark);
            upstream.foreign_end = self.restarted.notice(at, now, &self.timing);
        }
    }

    /// Begins the occurrences that are due.
    fn begin_turns(&mut self, now: u64, wall_ms: u64) {
        let mut due = Vec::new();
        for id in &self.timed {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            if job.due_ms(job.next_turn) > wall_ms {
                continue;
            }
            let full = !job.has_room_for_turn();
            if full && !job.crowded {
                log::warn!(
                    "TG1213 job={id} turn={} is due and waits: the {} open occurrences fill the row of the job",
                    job.next_turn,
                    job.turns.len()
                );
            }
            job.crowded = full;
            if !full {
                due.push(id.clone());
            }
        }
        for id in due {
            self.begin_due(&id, now, wall_ms);
        }
    }

    pub(super) fn begin_due(&mut self, id: &Name, now: u64, wall_ms: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        while job.next_turn < job.times()
            && job.due_ms(job.next_turn) <= wall_ms
            && job.has_room_for_turn()
        {
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
        self.lost.remove_job(id);
        let live = job.live();
        self.closed.insert((now, id.clone()));
        self.out
            .after_store
            .push(Effect::ClosureStored { job: id.clone() });
        self.open.remove(id);
        self.pending.remove(id);
        self.timed.remove(id);
        self.dirty.insert(id.clone());
        for position in live {
            // Members of a gang that is done end without a stop.
            if !self
                .jobs
                .get(id)
                .and_then(|job| job.task(position))
                .is_some_and(|task| task.done)
            {
                self.stop(id, position, now);
            }
        }
        self.changed = true;
    }

    /// Deletes jobs whose retention time after their closure has passed; one with a live run is
    /// kept for another such time.
    fn drop_closed(&mut self, now: u64) {
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

    /// Replies to a caller. A reply that commits to something is sent only when all rows up to the
    /// end of this pass are stored.
    pub(super) fn reply(&mut self, call: u64, reply: Reply) {
        let commits = matches!(reply, Reply::Accepted | Reply::Cancelled | Reply::Gone);
        let effect = Effect::Reply { call, reply };
        if commits {
            self.out.after_store.push(effect);
        } else {
            self.out.immediate.push(effect);
        }
    }

    /// Finds the specification of a task's step.
    pub(super) fn step_of(&self, task: &TaskId) -> Option<&Step> {
        let job = self.jobs.get(&task.job)?;
        job.spec.steps.get(task.step as usize)
    }

    /// Counts the open jobs, all upstreams, and the silent upstreams.
    pub fn counts(&self) -> (usize, usize, usize) {
        let silent = self.upstreams.values().filter(|up| up.is_silent()).count();
        (self.open.len(), self.upstreams.len(), silent)
    }

    /// Returns whether a path names a job of this state.
    pub fn has_job(&self, path: &str) -> bool {
        self.job_at(path).is_some()
    }

    /// Finds the job that a path names.
    pub(super) fn job_at(&self, path: &str) -> Option<&Job> {
        let id = path.rsplit('/').next().unwrap_or_default();
        self.jobs.get(id)
    }

    /// Returns whether a configuration was received.
    pub fn is_ready(&self) -> bool {
        self.config.is_some()
    }
}

/// Makes the identity of a run.
pub(super) fn run_id(job: &Name, position: TaskPosition, number: u32) -> RunId {
    RunId {
        task: TaskId {
            job: job.clone(),
            turn: position.turn,
            step: position.step,
            index: position.index,
        },
        number,
    }
}

/// Returns the position of a task within its job.
pub(super) fn position_of(task: &TaskId) -> TaskPosition {
    TaskPosition {
        turn: task.turn,
        step: task.step,
        index: task.index,
    }
}
