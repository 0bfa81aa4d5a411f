//! Decides which waiting tasks start, in which order, and what is stopped for them.
//!
//! The load it answers: more accelerators are wanted than there are, in bursts of one kind. Urgent
//! work goes first and may stop other work; then whatever can still be in time, by priority; then
//! what is late.

use super::gauge;
use super::health::Risk;
use super::model::Step;
use super::place;
use super::place::Wish;
use super::scheduler::Scheduler;
use super::scheduler::run_id;
use super::snapshot::Shape;
use super::snapshot::Snapshot;
use super::task::Job;
use super::task::LiveRun;
use super::task::Stage;
use super::task::TaskPosition;
use super::waiting::Waiting;
use crate::prelude::*;

/// How long freed room is kept for the gang that it was freed for, beyond the stop, in
/// milliseconds: the end of a stop is listed and stored within this.
pub(super) const KEEP_MS: u64 = 1_000;
/// The share of the accelerators in use below which waiting work goes far from its data soon.
const IDLE_SHARE: f64 = 0.5;
/// The wait after which work goes far from its data while the service is idle, in milliseconds.
const FAR_IDLE_MS: u64 = 1_000;
/// The part of the bound on guaranteed work after which it is placed far from its data.
const FAR_PART: u64 = 4;
/// The part of the accelerators that is left to urgent work, in percent: a burst of it would
/// otherwise stop as much other work as it takes.
pub(super) const URGENT_PERCENT: u64 = 12;

impl Scheduler {
    /// Places what waits; returns how many steps waited.
    pub(super) fn plan(&mut self, now: u64) -> u64 {
        let Some(config) = self.config.clone() else {
            return 0;
        };
        let entitled = self.entitled(&config);
        let mut waiting = self.waiting_steps(now, &config, &entitled);
        if waiting.is_empty() {
            return 0;
        }
        waiting.sort_by_key(|wait| wait.rank);
        let mut board = self.board(now, entitled);
        // Room that was freed for a gang is not for others, however they rank.
        let others: Vec<&Waiting> = waiting
            .iter()
            .filter(|wait| !self.place_kept(now, &mut board, wait))
            .collect();
        for wait in others {
            self.place_step(now, &mut board, wait);
        }
        waiting.len() as u64
    }

    /// Starts a gang in the room that was freed for it, or keeps the room until the stops are done;
    /// returns whether there is such room.
    fn place_kept(&mut self, now: u64, board: &mut Snapshot, wait: &Waiting) -> bool {
        let Some(kept) = self.kept(now, wait) else {
            return false;
        };
        let job = self.jobs.get(&wait.job);
        let Some(step) = job.and_then(|job| job.spec.steps.get(wait.step as usize)) else {
            return false;
        };
        let need = step.need();
        let spots: Vec<usize> = kept
            .iter()
            .filter_map(|name| board.index.get(name).copied())
            .collect();
        let whole = spots.len() == kept.len() && kept.len() == wait.tasks.len();
        if whole && board.holds(&spots, &need, false) {
            self.start_gang(now, board, wait, &spots);
        } else if whole && board.holds(&spots, &need, true) {
            board.reserve(&spots, &need);
        } else {
            // An upstream shut, or the room is short: look for another place now.
            self.keep(wait, None);
            return false;
        }
        true
    }

    fn place_step(&mut self, now: u64, board: &mut Snapshot, wait: &Waiting) {
        let Some(job) = self.jobs.get(&wait.job) else {
            return;
        };
        let Some(step) = job.spec.steps.get(wait.step as usize).cloned() else {
            return;
        };
        let wish = Wish {
            service: &wait.queue.service,
            step: &step,
            far: false,
            shuns: &[],
            barred: None,
            only: None,
            risk: Risk::Bad,
        };
        let patience = if board.busy_share < IDLE_SHARE {
            FAR_IDLE_MS
        } else {
            2 * wait.predicted
        };
        let waited = now.saturating_sub(wait.since);
        let tied = step.one_rack || !step.data_rack.is_empty();
        let far = tied && (waited > patience || !self.ever_near(board, wait, &wish));
        let shared = wait.queue.priority > 0 && board.busy_share >= IDLE_SHARE && waited < patience;
        let left = shared.then(|| board.urgent_only.clone());
        let allowed = self.allowed(now, board, wait);
        // What has failed goes where it is unlikely to fail again, for as long as it works.
        let caution = if wait.entitled {
            self.timing.reclaim_ms / FAR_PART
        } else {
            wait.predicted
        };
        let careful = waited < caution;
        let wish = Wish {
            far,
            barred: left.as_deref(),
            only: allowed.as_ref(),
            ..wish
        };
        let shape = shape(wait, &wish);
        let count = if step.gang { step.count } else { 1 };
        let tried = board.failed.get(&shape);
        if allowed.is_none() && tried.is_some_and(|least| *least <= count) {
            return;
        }
        let careful = careful && self.has_failed(wait);
        let risk = if careful { Risk::Usual } else { wish.risk };
        let together = Wish { risk, ..wish };
        let placed = if step.gang {
            self.place_gang(now, board, wait, &together)
        } else {
            match self.place_singles(now, board, wait, &wish, careful) {
                0 => may_make_room(wait, &step) && self.place_gang(now, board, wait, &together),
                some => some == wait.tasks.len(),
            }
        };
        if !placed && allowed.is_some() {
            self.ask(now, board, wait, &step);
        } else if !placed && !careful {
            let least = board.failed.entry(shape).or_insert(count);
            *least = count.min(*least);
        }
    }

    /// Tells whether the step would fit near its data and on one rack if everything were free;
    /// remembered until an upstream comes or goes.
    fn ever_near(&mut self, board: &Snapshot, wait: &Waiting, wish: &Wish<'_>) -> bool {
        let count = if wish.step.gang { wish.step.count } else { 1 };
        let known = self.near.entry(shape(wait, wish)).or_default();
        if count <= known.fits {
            return true;
        }
        if known.fails.is_some_and(|fails| count >= fails) {
            return false;
        }
        let fits = place::ever_near(&board.spots, &board.racks, wish, count);
        if fits {
            known.fits = count;
        } else {
            known.fails = Some(count);
        }
        fits
    }

    /// Tells whether a task of the step has failed before.
    fn has_failed(&self, wait: &Waiting) -> bool {
        let job = self.jobs.get(&wait.job);
        let stretch = job.and_then(|job| job.step_state(wait.turn, wait.step));
        stretch.is_some_and(|stretch| stretch.tasks.iter().any(|task| task.fails > 0))
    }

    /// Places as many single tasks as fit; returns how many did. `careful`: tasks that have failed
    /// wait for a place without risk.
    fn place_singles(
        &mut self,
        now: u64,
        board: &mut Snapshot,
        wait: &Waiting,
        wish: &Wish<'_>,
        careful: bool,
    ) -> usize {
        let mut placed = Vec::new();
        for &index in &wait.tasks {
            let place = TaskPosition {
                turn: wait.turn,
                step: wait.step,
                index,
            };
            let Some(job) = self.jobs.get(&wait.job) else {
                break;
            };
            let Some(task) = job.task(place) else {
                break;
            };
            let careful = careful && task.fails > 0;
            let load = |name: &Name| load_of(job, wait, name);
            let first = Wish {
                shuns: &task.failed_on,
                risk: if careful { Risk::Usual } else { wish.risk },
                ..*wish
            };
            let mut spot = place::single(&board.spots, &first, load);
            if spot.is_none() && !careful {
                spot = place::single(&board.spots, wish, load);
            }
            let Some(spot) = spot else {
                if careful {
                    continue;
                }
                break;
            };
            placed.push(board.spots[spot].name.clone());
            self.start(now, board, wait, &[(index, spot)]);
        }
        if !placed.is_empty() {
            log::info!(
                "TG1601 job={} turn={} step={} placed={} of={} at={:?} waited_ms={}",
                wait.job,
                wait.turn,
                wait.step,
                placed.len(),
                wait.tasks.len(),
                placed.iter().map(|at| &**at).collect::<Vec<_>>(),
                now.saturating_sub(wait.since)
            );
        }
        placed.len()
    }

    /// Places a gang, or makes room for it; returns whether either was possible.
    fn place_gang(
        &mut self,
        now: u64,
        board: &mut Snapshot,
        wait: &Waiting,
        wish: &Wish<'_>,
    ) -> bool {
        let count = u32::try_from(wait.tasks.len()).unwrap_or(u32::MAX);
        let shuns = self.shuns(wait);
        let first = Wish {
            shuns: &shuns,
            ..*wish
        };
        let find = |wish: &Wish<'_>| place::gang(&board.spots, &board.racks, wish, count);
        let again = || find(wish);
        let found = find(&first).or_else(|| (!shuns.is_empty()).then(again).flatten());
        if let Some(spots) = found {
            self.start_gang(now, board, wait, &spots);
            return true;
        }
        if wait.queue.priority != 0 {
            return false;
        }
        if self.preempt(now, board, wait, wish, count) {
            return true;
        }
        // A guarantee is kept even if only a place far from the data or on several racks is left.
        let waited = now.saturating_sub(wait.since);
        if wait.entitled && !wish.far && waited > self.timing.reclaim_ms / FAR_PART {
            let far = Wish { far: true, ..*wish };
            return match place::gang(&board.spots, &board.racks, &far, count) {
                Some(spots) => {
                    self.start_gang(now, board, wait, &spots);
                    true
                }
                None => self.preempt(now, board, wait, &far, count),
            };
        }
        // It may go far soon, unlike others of its shape.
        wait.entitled && !wish.far
    }

    fn kept(&mut self, now: u64, wait: &Waiting) -> Option<Vec<Name>> {
        let job = self.jobs.get_mut(&wait.job)?;
        let stretch = job.step_state_mut(wait.turn, wait.step)?;
        if stretch
            .reserved
            .as_ref()
            .is_some_and(|(_, until)| *until <= now)
        {
            stretch.reserved = None;
        }
        stretch.reserved.as_ref().map(|(names, _)| names.clone())
    }

    pub(super) fn keep(&mut self, wait: &Waiting, kept: Option<(Vec<Name>, u64)>) {
        if let Some(stretch) = self
            .jobs
            .get_mut(&wait.job)
            .and_then(|job| job.step_state_mut(wait.turn, wait.step))
        {
            stretch.reserved = kept;
        }
    }

    fn shuns(&self, wait: &Waiting) -> Vec<Name> {
        let tasks = self
            .jobs
            .get(&wait.job)
            .and_then(|job| job.step_state(wait.turn, wait.step))
            .map_or(&[][..], |step| &step.tasks);
        tasks
            .iter()
            .flat_map(|task| task.failed_on.clone())
            .collect()
    }

    fn start_gang(&mut self, now: u64, board: &mut Snapshot, wait: &Waiting, spots: &[usize]) {
        let pairs: Vec<(u32, usize)> = wait
            .tasks
            .iter()
            .copied()
            .zip(spots.iter().copied())
            .collect();
        self.start(now, board, wait, &pairs);
    }

    /// Gives tasks their next run, and orders it; all of a gang share the number.
    fn start(&mut self, now: u64, board: &mut Snapshot, wait: &Waiting, pairs: &[(u32, usize)]) {
        let Some(job) = self.jobs.get_mut(&wait.job) else {
            return;
        };
        let step = &job.spec.steps[wait.step as usize];
        let need = step.need();
        let shares = step.fills || step.target_ms > 0;
        let place = |index| TaskPosition {
            turn: wait.turn,
            step: wait.step,
            index,
        };
        let last = pairs
            .iter()
            .filter_map(|(index, _)| Some(job.task(place(*index))?.runs))
            .max();
        let number = last.unwrap_or(0) + 1;
        let mut runs = Vec::with_capacity(pairs.len());
        for &(index, spot) in pairs {
            let at = board.spots[spot].name.clone();
            board.racks.take(spot, &mut board.spots[spot], &need);
            if let Some(task) = job.task_mut(place(index)) {
                task.runs = number;
                task.live = Some(LiveRun {
                    at: at.clone(),
                    number,
                    stage: Stage::Sending,
                    since: now,
                    answer_mark: None,
                    tries: 0,
                    percent: 0,
                    progress_at: now,
                    saved_at: now,
                    pace: Some(100),
                    pace_at: now,
                });
            }
            runs.push((at, run_id(&wait.job, place(index), number)));
        }
        gauge::placed(pairs.len(), now.saturating_sub(wait.since));
        if pairs.len() > 1 {
            log::info!(
                "TG1602 job={} turn={} step={} run={number} tasks={} placed at={:?} waited_ms={}",
                wait.job,
                wait.turn,
                wait.step,
                runs.len(),
                runs.iter().map(|(at, _)| &**at).collect::<Vec<_>>(),
                now.saturating_sub(wait.since)
            );
        }
        self.keep(wait, None);
        self.dirty.insert(wait.job.clone());
        for (at, run) in runs {
            if let Some(upstream) = self.upstreams.get_mut(&at) {
                upstream.reserve(run.clone(), need);
                upstream.mixed |= shares;
                upstream.report_wanted |= shares;
            }
            self.send_start(now, &at, &run);
        }
    }
}

/// Tells whether room may be made for single tasks, for all that wait together: they are urgent, and
/// no task of the step that runs already counts against its spread.
fn may_make_room(wait: &Waiting, step: &Step) -> bool {
    let fresh = wait.tasks.len() == step.count as usize;
    wait.queue.priority == 0 && (step.upstream_limit == 0 || fresh)
}

fn shape(wait: &Waiting, wish: &Wish<'_>) -> Shape {
    let need = wish.step.need();
    Shape {
        service: wait.queue.service.clone(),
        label: wish.step.label.clone(),
        rack: wish.step.data_rack.clone(),
        spread: wish.step.upstream_limit,
        gang: wish.step.gang,
        one_rack: wish.step.one_rack,
        far: wish.far,
        entitled: wait.entitled,
        need: (need.cpu, need.memory, need.accelerators),
    }
}

/// Counts the runs of a step on an upstream.
fn load_of(job: &Job, wait: &Waiting, name: &Name) -> u32 {
    let Some(step) = job.step_state(wait.turn, wait.step) else {
        return 0;
    };
    let here = |task: &&super::task::Task| task.live.as_ref().is_some_and(|l| l.at == *name);
    u32::try_from(step.tasks.iter().filter(here).count()).unwrap_or(u32::MAX)
}
