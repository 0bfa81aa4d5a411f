//! The world: its clock, its queue of actions, and what they do.

use super::checks::Checks;
use super::hazards::Hazard;
use super::hazards::Hazards;
use super::jobs;
use super::jobs::Job;
use super::journal::Journal;
use super::leader::Ask;
use super::leader::Leader;
use super::orders::Answer;
use super::orders::Order;
use super::random::Random;
use super::random::hash;
use super::slot::Slot;
use super::slot::Traits;
use super::store::Store;
use super::upstream::MAX_REPORTED_ENDS;
use super::upstream::RunKey;
use std::collections::BTreeMap;
use std::hash::Hash;
use trefoilgauge::fleet::Event;
use trefoilgauge::fleet::event::Phase;
use trefoilgauge::fleet::row::Row;

/// The Unix time at time 0 of a world, in milliseconds.
pub(crate) const WALL_MS: u64 = 1_700_000_000_000;
/// When the last hazard begins, in milliseconds.
pub(crate) const CALM_MS: u64 = 38_000;
/// When a world ends at the earliest, in milliseconds: the last late order has arrived.
const FIRST_END_MS: u64 = 52_000;
/// When a world ends, in milliseconds.
const END_MS: u64 = 160_000;
/// The limit on the ends in one report where it is low: large enough for a few tasks at a time.
const SHORT_REPORT_ENDS: usize = 2;
/// How long a run of a cancelled job may be at work after its start, the acknowledgement, and the
/// last disturbance of its upstream or of the lead, in milliseconds: `contact-ms`, `cancel_ms` and `stop-ms` of the users' smallest site.
const CANCELLED_RUN_MS: u64 = 3_000 + 3_000 + 200;
/// The number of upstreams.
const SLOTS: usize = 6;

/// Something that happens at a certain time.
#[derive(Debug)]
pub(crate) enum Action {
    /// A leader checks what is due.
    Tick(usize),
    /// An order arrives at its address.
    Arrive(Order),
    /// The response to an order arrives at its sender.
    Answered(usize, u64, Answer),
    /// The time limit of an order passes.
    Overdue(usize, u64),
    /// Something may be due at a process.
    Check(usize, u64),
    /// A gang's member at a process ends because another one ended.
    Doom(usize, u64, RunKey),
    /// An append arrives at the store; whether its answer reaches the leader.
    Append {
        leader: usize,
        attempt: u64,
        sequence: u64,
        rows: Vec<Row>,
        answered: bool,
    },
    /// The answer to an append arrives: whether the epoch is in force.
    Appended(usize, u64, bool),
    /// The time limit of an append attempt passes.
    AppendOverdue(usize, u64),
    /// A leader reads discovery.
    Poll(usize),
    /// What a leader read in discovery arrives.
    Feed(usize, Vec<Event>),
    /// A process writes its discovery entry.
    Beat(usize, u64),
    /// Discovery removes old entries.
    Expire,
    /// A caller makes a call.
    Call(usize, Ask),
    /// A caller stops waiting for a reply.
    CallOverdue(usize, u64, usize, Ask),
    /// A process crashes; whether the next one has the same identity.
    Crash(usize, bool),
    /// A process starts in place of a crashed one.
    Rebirth(usize, bool),
    /// An upstream becomes unreachable for some time.
    Cut(usize, u64),
    /// An upstream's capacity changes to this share, in percent.
    Capacity(usize, u64),
    /// Discovery drops the entry of a live upstream.
    Unlist(usize),
    /// The leader is killed.
    Kill,
    /// The leader is suspended for some time.
    Freeze(u64),
    /// The leader loses the store for some time.
    StoreCut(u64),
    /// A suspended leader resumes.
    Thaw(usize),
    /// Another VM takes over from the leader of this epoch.
    TakeOver(u64),
    /// The VM that claimed this epoch has loaded the state; whether the leader before had given up
    /// the lead.
    Load(u64, bool),
    /// The VM of a leader that was killed runs another process.
    Back(usize),
}

/// A simulated world.
#[derive(Debug)]
pub(crate) struct World {
    pub now: u64,
    pub hazards: Hazards,
    seed: u64,
    queue: BTreeMap<(u64, u64), Action>,
    last_action: u64,
    pub last_order: u64,
    pub slots: Vec<Slot>,
    pub leaders: Vec<Leader>,
    pub store: Store,
    pub jobs: Vec<Job>,
    pub checks: Checks,
    pub journal: Journal,
}

impl World {
    /// Runs the world of a seed to its end.
    pub(crate) fn run(seed: u64, hazards: &Hazards) -> Self {
        let chance = |stream, hazard| Random::new(seed, stream).chance(hazards.of(hazard));
        let traits = Traits {
            guarded: !chance(5, Hazard::Unguarded),
            remembers: chance(6, Hazard::Remember),
            max_ends: if chance(7, Hazard::ShortReport) {
                SHORT_REPORT_ENDS
            } else {
                MAX_REPORTED_ENDS
            },
        };
        let slot = |number| Slot::new(number, traits);
        let mut world = Self {
            now: 0,
            seed,
            queue: BTreeMap::new(),
            last_action: 0,
            last_order: 0,
            slots: (0..SLOTS).map(slot).collect(),
            leaders: Vec::new(),
            store: Store::default(),
            jobs: jobs::jobs(seed, hazards),
            checks: Checks::new(jobs::ATTEMPTS),
            journal: Journal::default(),
            hazards: hazards.clone(),
        };
        world
            .journal
            .note(0, format!("seed {seed} hazards {hazards} {traits:?}"));
        for slot in 0..SLOTS {
            world.rebirth(slot, false);
        }
        world.plan_hazards();
        world.at(100, Action::TakeOver(0));
        world.at(500, Action::Expire);
        for job in 0..world.jobs.len() {
            let (submit, cancel) = (world.jobs[job].submit_at, world.jobs[job].cancel_at);
            world.at(submit, Action::Call(job, Ask::Submit));
            if let Some(cancel) = cancel {
                world.at(cancel, Action::Call(job, Ask::Cancel));
            }
        }
        while let Some(((time, _), action)) = world.queue.pop_first() {
            let over = time > FIRST_END_MS && world.jobs.iter().all(Job::is_over);
            if time > END_MS || over {
                break;
            }
            world.now = time;
            world.act(action);
            world.drain_log();
        }
        world.judge_end();
        world
    }

    /// Schedules an action.
    pub(crate) fn at(&mut self, time: u64, action: Action) {
        self.last_action += 1;
        self.queue.insert((time, self.last_action), action);
    }

    /// Schedules an action `ms` from now.
    pub(crate) fn after(&mut self, ms: u64, action: Action) {
        self.at(self.now + ms, action);
    }

    /// Returns whether hazards may still begin.
    pub(crate) fn is_rough(&self) -> bool {
        self.now < CALM_MS
    }

    /// Returns whether a hazard with this probability strikes now.
    pub(crate) fn strikes(&self, hazard: Hazard, key: impl Hash) -> bool {
        let probability = self.hazards.of(hazard);
        self.is_rough() && self.draw((hazard as usize, key)).chance(probability)
    }

    /// Returns random numbers that depend on the time and on `key`, but not on those drawn before:
    /// neither the order of events at one time nor other hazards change them.
    pub(crate) fn draw(&self, key: impl Hash) -> Random {
        Random::new(hash((self.seed, self.now, key)), 0)
    }

    /// Returns the index of the newest leader.
    pub(crate) fn newest(&self) -> Option<usize> {
        self.leaders.len().checked_sub(1)
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Tick(leader) => self.tick(leader),
            Action::Arrive(order) => self.arrive(order),
            Action::Answered(leader, id, answer) => self.answered(leader, id, answer),
            Action::Overdue(leader, id) => self.overdue(leader, id),
            Action::Check(slot, born) => self.check(slot, born),
            Action::Doom(slot, born, key) => self.doom(slot, born, &key),
            Action::Append {
                leader,
                attempt,
                sequence,
                rows,
                answered,
            } => {
                let epoch = self.leaders[leader].epoch;
                let valid = self.store.append(epoch, sequence, &rows);
                if answered {
                    let ms = self.draw(("stored", leader)).range(1, 5);
                    self.after(ms, Action::Appended(leader, attempt, valid));
                }
            }
            Action::Appended(leader, attempt, valid) => self.appended(leader, attempt, valid),
            Action::AppendOverdue(leader, attempt) => self.append_overdue(leader, attempt),
            Action::Poll(leader) => self.poll(leader),
            Action::Feed(leader, events) => self.feed(leader, events),
            Action::Beat(slot, born) => self.beat(slot, born),
            Action::Expire => {
                self.store
                    .expire(self.now.saturating_sub(super::slot::ENTRY_MS));
                self.judge_cancelled();
                self.after(500, Action::Expire);
            }
            Action::Call(job, ask) => self.call(job, ask),
            Action::CallOverdue(leader, call, job, ask) => {
                self.call_overdue(leader, call, job, ask);
            }
            Action::Crash(slot, same) => self.crash(slot, same),
            Action::Rebirth(slot, same) => self.rebirth(slot, same),
            Action::Cut(slot, ms) => {
                self.slots[slot].cut_until = self.now + ms;
                let id = self.slots[slot].id.clone();
                self.journal
                    .note_at(self.now, &id, format!("unreachable for {ms} ms"));
            }
            Action::Capacity(slot, percent) => self.change_capacity(slot, percent),
            Action::Unlist(slot) => {
                let id = self.slots[slot].id.clone();
                self.journal
                    .note_at(self.now, &id, "entry dropped while alive".to_owned());
                self.store.unlist(&id);
            }
            Action::Kill => self.kill(),
            Action::Freeze(ms) => self.freeze(ms),
            Action::StoreCut(ms) => self.cut_store(ms),
            Action::Thaw(leader) => self.thaw(leader),
            Action::TakeOver(epoch) => self.take_over(epoch),
            Action::Load(epoch, ended) => self.load(epoch, ended),
            Action::Back(leader) => self.back(leader),
        }
    }

    /// Checks that no run of a cancelled job is left where nothing was disturbed for long enough.
    fn judge_cancelled(&mut self) {
        let now = self.now;
        let leaders = self.leaders.iter();
        let changed = leaders.map(|leader| {
            leader
                .loaded_at
                .max(leader.resumed_at)
                .max(leader.cut_until)
        });
        let changed = changed.max().unwrap_or(0);
        let mut left = Vec::new();
        for slot in &self.slots {
            let split = slot.split.map_or(0, |(_, until)| until);
            let disturbed = changed.max(slot.cut_until).max(split);
            let runs = slot.process.iter().flat_map(|process| &process.runs);
            for ((task, number), run) in runs {
                let job = self.jobs.iter().find(|job| job.id == task.job);
                let Some(acked) = job.and_then(|job| job.cancel_acked) else {
                    continue;
                };
                if acked.max(disturbed).max(run.start) + CANCELLED_RUN_MS < now {
                    let what = format!(
                        "run {number} is at work at {}, cancelled at {acked}",
                        slot.id
                    );
                    left.push((task.clone(), what));
                }
            }
        }
        for (task, what) in left {
            self.checks.report("UNASKED", now, &task, what);
        }
    }

    /// Checks what must hold at the end, after the calm.
    fn judge_end(&mut self) {
        let now = self.now;
        for job in &self.jobs {
            let tasks = job.tasks();
            let id = &job.id;
            let started = tasks.iter().any(|task| self.checks.has_started(task));
            if started && !job.accepted && !job.unknown {
                let what = format!("job {id} started, and every submission was refused");
                self.checks.report("REFUSED", now, &tasks[0], what);
            }
            let may_fail = tasks.iter().any(|task| self.checks.may_fail(task));
            let fine = match job.shown {
                Some(Phase::Completed) => true,
                Some(Phase::Failed) => may_fail,
                _ => !job.is_owed(),
            };
            if job.accepted && !fine && job.is_owed() || job.gone {
                let what = format!("job {id} shown as {:?} gone {}", job.shown, job.gone);
                let open = tasks.iter().find(|task| !self.checks.is_done(task));
                let task = open.unwrap_or(&tasks[0]).clone();
                self.checks.report("LOST", now, &task, what);
            }
        }
    }
}
