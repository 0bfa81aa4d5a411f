//! Decides which waiting tasks start, in which order, and what is stopped for them.
//!
//! Demand for accelerators exceeds supply, in bursts of one kind of work. Urgent work goes first
//! and may stop other work; then work that can still meet its objective, by priority; then work
//! that is late.

use super::crashes;
use super::decide::crash;
use super::decide::place;
use super::decide::place::Constraints;
use super::decide::reserve;
use super::decide::trust::Risk;
use super::model::Step;
use super::scheduler::Scheduler;
use super::snapshot::Shape;
use super::snapshot::Snapshot;
use super::snapshot::Tried;
use super::task::Job;
use super::task::TaskPosition;
use super::waiting::WaitingStep;
use crate::prelude::*;

/// How long room that was freed for a gang stays reserved after the time of the stop itself, in
/// milliseconds: the end of a stopped run is reported and stored within this.
pub(super) const RESERVATION_MS: u64 = 1_000;
/// The utilisation below which the service counts as idle: waiting work is soon placed away from
/// its data.
const IDLE_SHARE: f64 = 0.5;
/// The wait after which work is placed away from its data while the service is idle, in
/// milliseconds.
const RELAX_IDLE_MS: u64 = 1_000;
/// The divisor of the bound on the start of guaranteed work that gives the wait after which it is
/// placed away from its data.
const RELAX_PART: u64 = 4;
/// The part of the accelerators that is reserved for urgent work, in percent: otherwise a burst of
/// urgent work would stop other work for every accelerator that it uses.
pub(super) const URGENT_PERCENT: u64 = 12;

impl Scheduler {
    /// Places waiting tasks; returns how many steps were waiting.
    pub(super) fn plan(&mut self, now: u64) -> u64 {
        let Some(config) = self.config.clone() else {
            return 0;
        };
        let entitled = self.entitled(&config);
        let mut waiting = self.waiting_steps(now, &config, &entitled);
        self.order_by_share(now, &config, &entitled, &mut waiting);
        if waiting.is_empty() {
            self.reservations.clear();
            return 0;
        }
        waiting.sort_by_key(|wait| wait.rank);
        let mut snapshot = self.snapshot(now, entitled);
        self.load_reservations(now, &mut snapshot, &waiting);
        // Room that was freed for a gang is reserved for it, whatever the rank of other steps.
        let others: Vec<(usize, &WaitingStep)> = waiting
            .iter()
            .enumerate()
            .filter(|(position, wait)| !self.place_reserved(now, &mut snapshot, *position, wait))
            .collect();
        let ranked = others.iter().enumerate();
        let mut order: Vec<_> = ranked
            .map(|(at, (_, wait))| (wait.rank, at, false))
            .collect();
        let overdue = others.iter().enumerate();
        order.extend(overdue.filter_map(|(at, (_, wait))| Some((wait.overdue_rank?, at, true))));
        order.sort_unstable();
        let mut tried = vec![false; others.len()];
        for (_, at, overdue) in order {
            let (position, wait) = others[at];
            if tried[at] || overdue && !self.is_exempt(now, wait) {
                continue;
            }
            tried[at] = true;
            snapshot.ahead.position = position;
            self.place_step(now, &mut snapshot, position, wait);
            // Room that is freed for a step is its placement, too: no other step is exempt besides.
            if overdue
                && self.reservation(now, wait).is_some()
                && let Some(job) = self.jobs.get(&wait.job)
            {
                let priority = wait.queue.priority;
                self.shares.note_placed(now, &job.workspace, priority);
            }
        }
        self.keep_reservations(now, &snapshot);
        let wanting = snapshot.unadvised.iter().map(|at| &waiting[*at]);
        self.ask_next(now, &snapshot, &wanting.collect::<Vec<_>>());
        self.shares.note_contention(snapshot.has_failures());
        waiting.len() as u64
    }

    /// Starts a gang in the room that is reserved for it, or keeps the reservation until the stops
    /// are done; returns whether there is a valid reservation.
    fn place_reserved(
        &mut self,
        now: u64,
        snapshot: &mut Snapshot,
        position: usize,
        wait: &WaitingStep,
    ) -> bool {
        let Some(reserved) = self.reservation(now, wait) else {
            return false;
        };
        let job = self.jobs.get(&wait.job);
        let Some(step) = job.and_then(|job| job.spec.steps.get(wait.step as usize)) else {
            return false;
        };
        let need = step.need();
        let chosen: Vec<usize> = reserved
            .iter()
            .filter_map(|name| snapshot.index.get(name).copied())
            .collect();
        let whole = chosen.len() == reserved.len() && reserved.len() == wait.tasks.len();
        let allowed = self.allowed(now, snapshot, wait);
        let advised = allowed.is_none_or(|allowed| chosen.iter().all(|at| allowed.contains(at)));
        if whole && advised && snapshot.fits(&chosen, &need, false) {
            self.start_gang(now, snapshot, wait, &chosen);
        } else if whole && snapshot.fits(&chosen, &need, true) {
            snapshot.reserve(&chosen, &need);
            if !advised {
                snapshot.unadvised.push(position);
            }
        } else {
            // An upstream no longer takes work, or its room no longer suffices: search again now.
            self.set_reservation(wait, None);
            return false;
        }
        true
    }

    fn place_step(
        &mut self,
        now: u64,
        snapshot: &mut Snapshot,
        position: usize,
        wait: &WaitingStep,
    ) {
        let Some(job) = self.jobs.get(&wait.job) else {
            return;
        };
        let Some(step) = job.spec.steps.get(wait.step as usize).cloned() else {
            return;
        };
        let constraints = Constraints {
            service: &wait.queue.service,
            step: &step,
            relaxed: false,
            avoid: &[],
            reserved: None,
            only: None,
            limits: None,
            large: None,
            risk: Risk::Bad,
            urgent: wait.queue.priority == 0,
        };
        let relax_after = if snapshot.utilisation < IDLE_SHARE {
            RELAX_IDLE_MS
        } else {
            2 * wait.predicted
        };
        let waited = now.saturating_sub(wait.since);
        let has_locality = step.one_rack || !step.data_rack.is_empty();
        let relaxed = has_locality
            && (waited > relax_after || !self.fits_locally(snapshot, wait, &constraints));
        let restricted =
            wait.queue.priority > 0 && snapshot.utilisation >= IDLE_SHARE && waited < relax_after;
        let reserved = restricted.then(|| snapshot.urgent_only.clone());
        let allowed = self.allowed(now, snapshot, wait);
        // Tasks that have failed wait for an upstream without elevated risk, for as long as one run
        // takes; guaranteed work waits for part of its bound.
        let retry_wait = if wait.entitled {
            self.timing.reclaim_ms / RELAX_PART
        } else {
            wait.predicted
        };
        let careful = waited < retry_wait;
        let constraints = Constraints {
            relaxed,
            reserved: reserved.as_deref(),
            only: allowed.as_ref(),
            ..constraints
        };
        snapshot.ahead.unrestricted_at = wait.since + relax_after;
        if self.start_reserved(now, snapshot, wait, &constraints) {
            return;
        }
        let newcomer = self.newcomer(now, &snapshot.ahead, wait);
        let beside = !snapshot.ahead.holds.is_empty();
        let shape = Shape {
            beside: beside.then_some((newcomer.priority, newcomer.stoppable)),
            ..shape(wait, &constraints)
        };
        let tried = Tried {
            count: if step.gang { step.count } else { 1 },
            longest: if beside { newcomer.longest } else { None },
        };
        if allowed.is_none() && snapshot.has_failed(&shape, tried) {
            self.reserve_ahead(now, snapshot, wait, &constraints);
            return;
        }
        let has_failed = self.has_failed(wait);
        let barred = if has_failed {
            self.barred_upstreams(now, wait)
        } else {
            Vec::new()
        };
        let limits = reserve::limits(&snapshot.ahead.holds, &newcomer);
        let large = snapshot.ahead.large();
        let constraints = Constraints {
            avoid: &barred,
            limits: (!limits.is_empty()).then_some(&limits),
            large: large.as_ref(),
            ..constraints
        };
        let careful = careful && has_failed;
        let risk = if careful {
            Risk::Usual
        } else {
            constraints.risk
        };
        let together = Constraints {
            risk,
            ..constraints
        };
        let placed = if step.gang {
            self.place_gang(now, snapshot, wait, &together)
        } else {
            match self.place_singles(now, snapshot, wait, &constraints, careful) {
                0 => may_preempt(wait, &step) && self.place_gang(now, snapshot, wait, &together),
                some => some == wait.tasks.len(),
            }
        };
        if allowed.is_some() {
            if self.unplaced(wait) > 0 && self.reservation(now, wait).is_none() {
                snapshot.unadvised.push(position);
            }
        } else if !placed {
            if !careful && barred.is_empty() {
                snapshot.record_failure(shape, tried);
            }
            self.reserve_ahead(now, snapshot, wait, &constraints);
        }
    }

    /// Returns whether the step would fit close to its data, and on one rack if it needs one, if
    /// all upstreams were idle; cached until an upstream is added or removed.
    fn fits_locally(
        &mut self,
        snapshot: &Snapshot,
        wait: &WaitingStep,
        constraints: &Constraints<'_>,
    ) -> bool {
        let count = if constraints.step.gang {
            constraints.step.count
        } else {
            1
        };
        let known = self.near.entry(shape(wait, constraints)).or_default();
        if count <= known.fits {
            return true;
        }
        if known.fails.is_some_and(|fails| count >= fails) {
            return false;
        }
        let fits = place::fits_locally(&snapshot.candidates, &snapshot.racks, constraints, count);
        if fits {
            known.fits = count;
        } else {
            known.fails = Some(count);
        }
        fits
    }

    /// Returns whether a task of the step has failed before.
    fn has_failed(&self, wait: &WaitingStep) -> bool {
        let job = self.jobs.get(&wait.job);
        let state = job.and_then(|job| job.step_state(wait.turn, wait.step));
        state.is_some_and(|state| state.tasks.iter().any(|task| task.fails > 0))
    }

    /// Places as many single tasks as fit; returns how many. `careful`: tasks that have failed wait
    /// for an upstream without elevated risk.
    fn place_singles(
        &mut self,
        now: u64,
        snapshot: &mut Snapshot,
        wait: &WaitingStep,
        constraints: &Constraints<'_>,
        careful: bool,
    ) -> usize {
        let mut placed = Vec::new();
        // Each task leaves less of the room beside reservations to the next one.
        let mut limits = constraints.limits.cloned();
        let need = constraints.step.need();
        for &index in &wait.tasks {
            let position = TaskPosition {
                turn: wait.turn,
                step: wait.step,
                index,
            };
            let Some(job) = self.jobs.get(&wait.job) else {
                break;
            };
            let Some(task) = job.task(position) else {
                break;
            };
            let careful = careful && task.fails > 0;
            let load = |name: &Name| count_on(job, wait, name);
            let suspect = task.losses.is_suspect();
            let own = |name: &Name| crashes::suspects_on(job, name);
            let mut avoid = task.avoided();
            if !constraints.avoid.is_empty() {
                avoid.to_mut().extend_from_slice(constraints.avoid);
            }
            let constraints = Constraints {
                limits: limits.as_ref(),
                ..*constraints
            };
            let first = Constraints {
                avoid: &avoid,
                risk: if careful {
                    Risk::Usual
                } else {
                    constraints.risk
                },
                ..constraints
            };
            let find = |constraints: &Constraints<'_>| {
                if suspect {
                    crash::safest(&snapshot.candidates, constraints, load, own)
                } else {
                    place::single(&snapshot.candidates, constraints, load)
                }
            };
            let mut found = find(&first);
            if found.is_none() && !careful {
                found = find(&constraints);
            }
            let Some(candidate) = found else {
                if careful {
                    continue;
                }
                break;
            };
            if suspect && !self.is_known_alive(now, &snapshot.candidates[candidate].name) {
                snapshot.candidates[candidate].open = false;
                continue;
            }
            placed.push(snapshot.candidates[candidate].name.clone());
            if let Some(limit) = limits.as_mut().and_then(|all| all.get_mut(&candidate)) {
                limit.sub(&need);
            }
            self.start(now, snapshot, wait, &[(index, candidate)]);
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

    /// Places a gang, or stops other work to make room for it; returns whether either was possible.
    fn place_gang(
        &mut self,
        now: u64,
        snapshot: &mut Snapshot,
        wait: &WaitingStep,
        constraints: &Constraints<'_>,
    ) -> bool {
        let count = u32::try_from(wait.tasks.len()).unwrap_or(u32::MAX);
        let avoid = self.failed_upstreams(wait);
        let first = Constraints {
            avoid: &avoid,
            ..*constraints
        };
        let find = |constraints: &Constraints<'_>| {
            place::gang(&snapshot.candidates, &snapshot.racks, constraints, count)
        };
        let again = || find(constraints);
        let found = find(&first).or_else(|| (!avoid.is_empty()).then(again).flatten());
        if let Some(chosen) = found {
            self.start_gang(now, snapshot, wait, &chosen);
            return true;
        }
        if wait.queue.priority != 0 {
            return false;
        }
        // Both searches below belong to one attempt: the failure of the first does not defer the
        // second.
        let may_search = !self.has_just_searched(now, wait);
        if may_search && self.preempt(now, snapshot, wait, constraints, count) {
            return true;
        }
        // The guarantee has precedence over locality: use upstreams away from the data or on
        // several racks if nothing else is left.
        let waited = now.saturating_sub(wait.since);
        if wait.entitled && !constraints.relaxed && waited > self.timing.reclaim_ms / RELAX_PART {
            let relaxed = Constraints {
                relaxed: true,
                ..*constraints
            };
            return match place::gang(&snapshot.candidates, &snapshot.racks, &relaxed, count) {
                Some(chosen) => {
                    self.start_gang(now, snapshot, wait, &chosen);
                    true
                }
                None => may_search && self.preempt(now, snapshot, wait, &relaxed, count),
            };
        }
        // Its locality is relaxed soon, unlike that of other steps of its shape: do not record the
        // shape as failed.
        wait.entitled && !constraints.relaxed
    }

    fn reservation(&mut self, now: u64, wait: &WaitingStep) -> Option<Vec<Name>> {
        let job = self.jobs.get_mut(&wait.job)?;
        let state = job.step_state_mut(wait.turn, wait.step)?;
        if state
            .reserved
            .as_ref()
            .is_some_and(|(_, until)| *until <= now)
        {
            state.reserved = None;
        }
        state.reserved.as_ref().map(|(names, _)| names.clone())
    }

    pub(super) fn set_reservation(
        &mut self,
        wait: &WaitingStep,
        reserved: Option<(Vec<Name>, u64)>,
    ) {
        if let Some(state) = self
            .jobs
            .get_mut(&wait.job)
            .and_then(|job| job.step_state_mut(wait.turn, wait.step))
        {
            state.reserved = reserved;
        }
    }

    /// Returns the upstreams on which the job has failed and gets no new run now.
    fn barred_upstreams(&self, now: u64, wait: &WaitingStep) -> Vec<Name> {
        let mut names = self.failed_upstreams(wait);
        names.retain(|name| {
            let upstream = self.upstreams.get(name);
            upstream.is_some_and(|upstream| upstream.quarantine.bars(now, &wait.job))
        });
        names.sort_unstable();
        names.dedup();
        names
    }

    fn failed_upstreams(&self, wait: &WaitingStep) -> Vec<Name> {
        let tasks = self
            .jobs
            .get(&wait.job)
            .and_then(|job| job.step_state(wait.turn, wait.step))
            .map_or(&[][..], |step| &step.tasks);
        tasks
            .iter()
            .flat_map(|task| task.avoided().into_owned())
            .collect()
    }
}

/// Returns whether other work may be stopped to place all waiting single tasks of a step together:
/// they are urgent, and no task that runs already counts towards the step's limit per upstream.
fn may_preempt(wait: &WaitingStep, step: &Step) -> bool {
    let fresh = wait.tasks.len() == step.count as usize;
    wait.queue.priority == 0 && (step.upstream_limit == 0 || fresh)
}

fn shape(wait: &WaitingStep, constraints: &Constraints<'_>) -> Shape {
    let need = constraints.step.need();
    Shape {
        service: wait.queue.service.clone(),
        label: constraints.step.label.clone(),
        rack: constraints.step.data_rack.clone(),
        upstream_limit: constraints.step.upstream_limit,
        gang: constraints.step.gang,
        one_rack: constraints.step.one_rack,
        relaxed: constraints.relaxed,
        entitled: wait.entitled,
        beside: None,
        need: (need.cpu, need.memory, need.accelerators),
    }
}

/// Returns how many tasks of a step run on an upstream.
fn count_on(job: &Job, wait: &WaitingStep, name: &Name) -> u32 {
    let Some(step) = job.step_state(wait.turn, wait.step) else {
        return 0;
    };
    let here = |task: &&super::task::Task| task.live.as_ref().is_some_and(|l| l.at == *name);
    u32::try_from(step.tasks.iter().filter(here).count()).unwrap_or(u32::MAX)
}
