//! Reservations made ahead for waiting gangs: made, kept, replanned and given up.
//!
//! They are not stored. A new leader makes them again from the jobs and runs that it finds.

mod due;
mod planning;

use super::decide::place::Candidate;
use super::decide::place::Constraints;
use super::decide::predict::Kind;
use super::decide::reserve::Hold;
use super::decide::reserve::Newcomer;
use super::decide::reserve::Releases;
use super::gauge;
use super::model::ResourceAmounts;
use super::model::Step;
use super::model::StepId;
use super::scheduler::Scheduler;
use super::snapshot::Snapshot;
use super::waiting::WaitingStep;
use crate::prelude::*;
use std::collections::BTreeMap;
use std::collections::HashMap;

/// The shortest time between two measurements of how much of the free room gangs could use, in
/// milliseconds: each examines all upstreams.
const MEASURE_MS: u64 = 1_000;
/// The most gangs that are compared in such a measurement.
const MAX_MEASURED: usize = 4;

/// The reservations that are in force.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    open: BTreeMap<StepId, Reservation>,
    /// Gangs for which no start could be predicted, and when the next attempt is due, local clock.
    refused: HashMap<StepId, u64>,
    /// The number of the last reservation.
    last: u64,
    /// When the predicted ends may be gathered again, local clock.
    next_gather: u64,
    /// When the use of the free room may be measured again, local clock.
    next_measure: u64,
}

/// The room that is reserved for one gang.
#[derive(Debug)]
struct Reservation {
    number: u64,
    workspace: Name,
    /// The upstream of each member.
    members: Vec<Name>,
    /// The distinct upstreams.
    places: Vec<Place>,
    /// When the gang is expected to start and end, local clock.
    start: u64,
    end: u64,
    /// The earliest time at which it may use this room, local clock: room that is left to urgent
    /// work is used after a wait.
    from: u64,
    /// When the gang began to wait, local clock.
    since: u64,
    /// When it was last planned, local clock.
    planned_at: u64,
    /// The free accelerators of all upstreams at that time.
    free: u64,
    /// Why it has to be planned again.
    lost: Option<&'static str>,
}

impl Reservation {
    /// Logs that it is planned again or given up.
    fn log_change(&self, now: u64, step: &StepId, change: &str, why: &str) {
        log::info!(
            "TG1822 job={} turn={} step={} reservation {change}: {why} delay_ms={} waited_ms={}",
            step.job,
            step.turn,
            step.step,
            now.cast_signed() - self.start.cast_signed(),
            now.saturating_sub(self.since)
        );
    }
}

/// The part of a reservation on one upstream.
#[derive(Debug)]
struct Place {
    name: Name,
    need: ResourceAmounts,
    spare: ResourceAmounts,
    /// The upstream's resources when it was planned.
    room: ResourceAmounts,
}

/// The reservations as one planning pass sees them.
#[derive(Debug, Default)]
pub(super) struct Ahead {
    /// The reserved room.
    pub(super) holds: Vec<Hold>,
    /// The position in the order of placement of the step that is being placed.
    pub(super) position: usize,
    /// What running work releases; gathered when it is first needed.
    releases: Option<Releases>,
    /// How many reservations were planned in this pass.
    plans: u32,
    /// When the step that is being placed may use the room that is left to urgent work, local
    /// clock.
    pub(super) unrestricted_at: u64,
    /// What a task needs, and the number of tasks, of the first gangs that found no room in this
    /// pass.
    unplaced: Vec<(ResourceAmounts, u32)>,
}

impl Ahead {
    /// Returns what a task of the first gang that found no room in this pass needs.
    pub(super) fn large(&self) -> Option<ResourceAmounts> {
        self.unplaced.first().map(|(need, _)| *need)
    }
}

impl Reservations {
    fn number(&self, step: &StepId) -> Option<u64> {
        self.open.get(step).map(|reservation| reservation.number)
    }

    /// Drops all of them: nothing waits.
    pub(super) fn clear(&mut self) {
        if !self.open.is_empty() {
            gauge::reserved_ahead(0);
        }
        self.open.clear();
        self.refused.clear();
    }

    /// Returns whether room is reserved for a step of a job.
    pub(super) fn has_job(&self, job: &Name) -> bool {
        self.open.keys().any(|step| step.job == *job)
    }

    fn count_of(&self, workspace: &Name) -> u64 {
        let open = self.open.values();
        let own = open.filter(|reservation| reservation.workspace == *workspace);
        u64::try_from(own.count()).unwrap_or(u64::MAX)
    }
}

impl WaitingStep {
    fn id(&self) -> StepId {
        StepId {
            job: self.job.clone(),
            turn: self.turn,
            step: self.step,
        }
    }
}

impl Scheduler {
    /// Returns the quantile of durations that counts as the longest likely one, 0 to 1.
    fn longest_likely(&self) -> f64 {
        let percentile = match self.timing.policy.duration_percentile {
            0 => 50,
            percentile => percentile,
        };
        f64::from(u32::try_from(percentile).unwrap_or(50)) / 100.0
    }

    /// Gathers the reserved room for one pass; gives up reservations whose gangs do not wait any
    /// more.
    pub(super) fn load_reservations(
        &mut self,
        now: u64,
        snapshot: &mut Snapshot,
        waiting: &[WaitingStep],
    ) {
        let known = &mut self.reservations;
        if known.open.is_empty() && known.refused.is_empty() {
            return;
        }
        let gangs: HashMap<StepId, (usize, u32)> = waiting
            .iter()
            .enumerate()
            .filter(|(_, wait)| wait.queue.priority > 0 && !wait.is_worthless(now))
            .map(|(position, wait)| (wait.id(), (position, wait.queue.priority)))
            .collect();
        known.refused.retain(|step, _| gangs.contains_key(step));
        known.open.retain(|step, open| {
            let waits = gangs.contains_key(step);
            if !waits {
                open.log_change(
                    now,
                    step,
                    "given up",
                    "it does not wait, or would be of no use",
                );
                gauge::replanned_ahead();
            }
            waits
        });
        for (step, reservation) in &mut known.open {
            let (position, priority) = gangs[step];
            for place in &reservation.places {
                let Some(&at) = snapshot.index.get(&place.name) else {
                    reservation.lost = Some("an upstream left");
                    continue;
                };
                let candidate = &snapshot.candidates[at];
                if !candidate.open || candidate.room != place.room {
                    reservation.lost = Some("an upstream is closed or was changed");
                }
                let upstream = self.upstreams.get(&place.name);
                snapshot.ahead.holds.push(Hold {
                    number: reservation.number,
                    at,
                    start: reservation.start,
                    end: reservation.end,
                    factor: upstream.map_or(1.0, |upstream| upstream.slowness.factor(now)),
                    need: place.need,
                    spare: place.spare,
                    priority,
                    position,
                    lost: false,
                });
            }
        }
    }

    /// Keeps what a pass has changed about the reserved room.
    pub(super) fn keep_reservations(&mut self, now: u64, snapshot: &Snapshot) {
        if self.timing.policy.gang_reservations == 0 {
            return;
        }
        if now >= self.reservations.next_measure {
            self.reservations.next_measure = now + MEASURE_MS;
            gauge::reserved_ahead(self.reservations.open.len());
            gauge::usable_free(usable_share(snapshot));
        }
        let mut left: HashMap<(u64, &Name), &Hold> = HashMap::new();
        for hold in &snapshot.ahead.holds {
            left.insert((hold.number, &snapshot.candidates[hold.at].name), hold);
        }
        for reservation in self.reservations.open.values_mut() {
            for place in &mut reservation.places {
                let Some(hold) = left.get(&(reservation.number, &place.name)) else {
                    continue;
                };
                place.spare = hold.spare;
                if hold.lost {
                    reservation.lost = Some("other work took the room");
                }
            }
        }
    }

    /// Returns the step as it competes with reservations.
    pub(super) fn newcomer(&self, now: u64, ahead: &Ahead, wait: &WaitingStep) -> Newcomer {
        let mut newcomer = Newcomer {
            priority: wait.queue.priority,
            position: ahead.position,
            now,
            longest: None,
            stoppable: false,
            own: None,
        };
        let Some((job, step)) = self.step_waiting(wait) else {
            return newcomer;
        };
        newcomer.own = self.reservations.number(&wait.id());
        newcomer.stoppable = is_stoppable(step);
        if !step.long_running {
            let kind = Kind {
                queue: &job.queue,
                workspace: &job.workspace,
                step,
            };
            newcomer.longest = Some(self.durations.quantile_ms(kind, self.longest_likely()));
        }
        newcomer
    }

    fn step_waiting(&self, wait: &WaitingStep) -> Option<(&super::task::Job, &Step)> {
        let job = self.jobs.get(&wait.job)?;
        Some((job, job.spec.steps.get(wait.step as usize)?))
    }

    /// Records that tasks of a step start, each on a candidate: closes the reservation of the step,
    /// and counts the room that it takes from those of others.
    pub(super) fn use_reservations(
        &mut self,
        now: u64,
        snapshot: &mut Snapshot,
        wait: &WaitingStep,
        pairs: &[(u32, usize)],
    ) {
        if snapshot.ahead.holds.is_empty() {
            return;
        }
        if let Some(own) = self.reservations.open.remove(&wait.id()) {
            let number = own.number;
            snapshot.ahead.holds.retain(|hold| hold.number != number);
            let name = |at: usize| &snapshot.candidates[at].name;
            let there = pairs.iter().all(|(_, at)| own.members.contains(name(*at)));
            log::info!(
                "TG1823 job={} turn={} step={} started with a reservation there={there} delay_ms={} waited_ms={}",
                wait.job,
                wait.turn,
                wait.step,
                now.cast_signed() - own.start.cast_signed(),
                now.saturating_sub(wait.since)
            );
        }
        let newcomer = self.newcomer(now, &snapshot.ahead, wait);
        let Some((_, step)) = self.step_waiting(wait) else {
            return;
        };
        let need = step.need();
        for &(_, at) in pairs {
            let here = snapshot.ahead.holds.iter_mut();
            for hold in here.filter(|hold| hold.at == at) {
                hold.charge(&newcomer, &need);
            }
        }
    }

    /// Starts a gang on the upstreams that are reserved for it if there is room on all of them;
    /// returns whether there is.
    pub(super) fn start_reserved(
        &mut self,
        now: u64,
        snapshot: &mut Snapshot,
        wait: &WaitingStep,
        constraints: &Constraints<'_>,
    ) -> bool {
        let own = self.reservations.open.get(&wait.id());
        if own.is_none_or(|open| now < open.from) {
            return false;
        }
        let Some(chosen) = self.reserved_members(snapshot, wait, constraints) else {
            return false;
        };
        if !snapshot.fits(&chosen, &constraints.step.need(), false) {
            return false;
        }
        self.start_gang(now, snapshot, wait, &chosen);
        true
    }

    /// Returns the candidates that are reserved for a gang if it may still run on all of them.
    fn reserved_members(
        &mut self,
        snapshot: &Snapshot,
        wait: &WaitingStep,
        constraints: &Constraints<'_>,
    ) -> Option<Vec<usize>> {
        let reservation = self.reservations.open.get_mut(&wait.id())?;
        // The racks that are left to urgent work change in each pass, a reservation stays.
        let allowed = Constraints {
            reserved: None,
            ..*constraints
        };
        let members = reservation.members.iter();
        let known: Option<Vec<usize>> = members
            .map(|name| snapshot.index.get(name).copied())
            .collect();
        let accepts = |at: &usize| allowed.accepts(*at, &snapshot.candidates[*at]);
        match known {
            Some(chosen) if chosen.iter().all(accepts) && chosen.len() == wait.tasks.len() => {
                Some(chosen)
            }
            _ => {
                reservation.lost = Some("an upstream does not suit it any more");
                None
            }
        }
    }
}

/// Returns the part of the free accelerators that one of the gangs that found no room could use at
/// once, 0 to 1; the largest of the first few.
fn usable_share(snapshot: &Snapshot) -> f64 {
    let free = snapshot.racks.free_accelerators();
    let gangs = snapshot.ahead.unplaced.iter().take(MAX_MEASURED);
    let usable = gangs.map(|(need, count)| {
        let open = snapshot.candidates.iter().filter(|at| at.open);
        let fits = open.map(|at| u64::from(Candidate::count(&at.free, need, *count)));
        fits.sum::<u64>() * need.accelerators
    });
    crate::fleet::snapshot::ratio(usable.max().unwrap_or(0).min(free), free)
}

/// Returns whether a task of the step can be stopped alone at the cost of its restore.
fn is_stoppable(step: &Step) -> bool {
    step.checkpointing && !step.gang && !step.long_running
}
