//! Plans reservations: when and where a gang that found no room can start.

use super::Place;
use super::Reservation;
use crate::fleet::decide::as_ms;
use crate::fleet::decide::place::Constraints;
use crate::fleet::decide::predict::Kind;
use crate::fleet::decide::reserve;
use crate::fleet::decide::reserve::Hold;
use crate::fleet::decide::reserve::Outlook;
use crate::fleet::decide::reserve::Plan;
use crate::fleet::decide::reserve::Releases;
use crate::fleet::decide::reserve::Request;
use crate::fleet::ends::record_position;
use crate::fleet::evacuate::MIN_PROGRESS_PERCENT;
use crate::fleet::gauge;
use crate::fleet::model::StepId;
use crate::fleet::scheduler::Scheduler;
use crate::fleet::scheduler::position_of;
use crate::fleet::snapshot::Snapshot;
use crate::fleet::task::LiveRun;
use crate::fleet::task::Stage;
use crate::fleet::waiting::WaitingStep;
use crate::prelude::*;
use std::collections::HashMap;

/// The most reservations of all workspaces together: bounds the cost of a pass and the room held.
const MAX_RESERVATIONS: usize = 64;
/// The most reservations that are planned in one pass: each examines all upstreams.
const MAX_PLANS: u32 = 4;
/// The shortest time between two passes that gather the predicted ends of all running work, in
/// milliseconds: as rarely as the urgent search for work to stop, see `preempt.rs`.
const GATHER_MS: u64 = 100;
/// The shortest time after which a reservation is planned again, in milliseconds: runs end and
/// are reported in about this time.
const REPLAN_MS: u64 = 500;
/// The part of a gang's wait after which an earlier start is looked for.
const REPLAN_PART: u64 = 5;

impl Scheduler {
    /// Reserves room ahead for a gang that found none in this pass, or looks after the reservation
    /// that it has: stops backfilled work when it is due, or plans it again.
    pub(in crate::fleet) fn reserve_ahead(
        &mut self,
        now: u64,
        snapshot: &mut Snapshot,
        wait: &WaitingStep,
        constraints: &Constraints<'_>,
    ) {
        let most = self.timing.policy.gang_reservations;
        if most == 0 || wait.queue.priority == 0 || !constraints.step.gang {
            return;
        }
        if wait.is_worthless(now) {
            return;
        }
        let count = u32::try_from(wait.tasks.len()).unwrap_or(u32::MAX);
        if snapshot.ahead.unplaced.len() < super::MAX_MEASURED {
            snapshot
                .ahead
                .unplaced
                .push((constraints.step.need(), count));
        }
        let Some(workspace) = self.jobs.get(&wait.job).map(|job| job.workspace.clone()) else {
            return;
        };
        let id = wait.id();
        let free = snapshot.racks.free_accelerators();
        let known = &self.reservations;
        let why = match known.open.get(&id) {
            None => {
                let full =
                    known.open.len() >= MAX_RESERVATIONS || known.count_of(&workspace) >= most;
                if full || known.refused.get(&id).is_some_and(|next| now < *next) {
                    return;
                }
                None
            }
            Some(open) => {
                let due = now >= open.start && open.lost.is_none();
                if due && let Some(found) = self.find_stops(now, snapshot, wait, constraints) {
                    self.stop_or_replan(now, snapshot, wait, constraints, &workspace, found);
                    return;
                }
                let open = &self.reservations.open[&id];
                let age = now.saturating_sub(open.planned_at);
                let part = now.saturating_sub(wait.since) / REPLAN_PART;
                match open.lost {
                    _ if age < REPLAN_MS => return,
                    Some(lost) => Some(lost),
                    None if due => Some("overdue"),
                    None if age >= part && free > open.free => Some("more room is free"),
                    None => return,
                }
            }
        };
        let Some(plan) = self.plan_ahead(now, snapshot, &id, constraints, wait) else {
            return;
        };
        self.replace_reservation(now, snapshot, wait, constraints, &workspace, why, plan);
    }

    /// Plans a reservation, with the earliest time at which its room may be used; none if it is not
    /// the time for it. The inner value is none if no start can be predicted.
    pub(super) fn plan_ahead(
        &mut self,
        now: u64,
        snapshot: &mut Snapshot,
        id: &StepId,
        constraints: &Constraints<'_>,
        wait: &WaitingStep,
    ) -> Option<Option<(Plan, u64)>> {
        if snapshot.ahead.plans >= MAX_PLANS {
            return None;
        }
        // Room that is left to urgent work may be used later only.
        let later = constraints
            .reserved
            .map(|_| snapshot.ahead.unrestricted_at.max(now));
        let releases = match snapshot.ahead.releases.take() {
            Some(releases) => releases,
            None if now < self.reservations.next_gather => return None,
            None => {
                self.reservations.next_gather = now + GATHER_MS;
                self.releases(now, snapshot)
            }
        };
        snapshot.ahead.plans += 1;
        let own = self.reservations.number(id);
        let mut holds: HashMap<usize, Vec<&Hold>> = HashMap::new();
        for hold in &snapshot.ahead.holds {
            if Some(hold.number) != own {
                holds.entry(hold.at).or_default().push(hold);
            }
        }
        let find = |constraints: &Constraints<'_>, earliest| {
            let request = Request {
                constraints,
                count: u32::try_from(wait.tasks.len()).unwrap_or(u32::MAX),
                now,
                earliest,
                releases: &releases,
                holds: &holds,
            };
            reserve::plan(&snapshot.candidates, &snapshot.racks, &request)
        };
        let at_once = find(constraints, now).map(|plan| (plan, now));
        let plan = match later {
            Some(later) if at_once.as_ref().is_none_or(|(plan, _)| plan.start > later) => {
                let all = Constraints {
                    reserved: None,
                    ..*constraints
                };
                let other = find(&all, later).map(|plan| (plan, later));
                let options = at_once.into_iter().chain(other);
                options.min_by_key(|(plan, _)| plan.start)
            }
            _ => at_once,
        };
        snapshot.ahead.releases = Some(releases);
        Some(plan)
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one reservation")]
    pub(super) fn replace_reservation(
        &mut self,
        now: u64,
        snapshot: &mut Snapshot,
        wait: &WaitingStep,
        constraints: &Constraints<'_>,
        workspace: &Name,
        why: Option<&'static str>,
        plan: Option<(Plan, u64)>,
    ) {
        let id = wait.id();
        let free = snapshot.racks.free_accelerators();
        let (lasts, need) = (wait.predicted, constraints.step.need());
        if let Some(open) = self.reservations.open.get_mut(&id) {
            let earlier = plan
                .as_ref()
                .is_some_and(|(plan, _)| plan.start < open.start);
            open.planned_at = now;
            open.free = free;
            if why == Some("more room is free") && !earlier {
                return;
            }
            let change = if plan.is_some() {
                "replanned"
            } else {
                "given up"
            };
            open.log_change(now, &id, change, why.unwrap_or("unknown"));
            gauge::replanned_ahead();
            let number = open.number;
            snapshot.ahead.holds.retain(|hold| hold.number != number);
            self.reservations.open.remove(&id);
        }
        let Some((plan, from)) = plan else {
            self.reservations.refused.insert(id, now + REPLAN_MS);
            return;
        };
        let name = |at: usize| snapshot.candidates[at].name.clone();
        let members: Vec<Name> = plan.members.iter().map(|&at| name(at)).collect();
        log::info!(
            "TG1821 job={} turn={} step={} room reserved ahead at={:?} in_ms={} quantile={:.2} waited_ms={}",
            wait.job,
            wait.turn,
            wait.step,
            members,
            plan.start.saturating_sub(now),
            self.longest_likely(),
            now.saturating_sub(wait.since)
        );
        gauge::made_ahead();
        self.reservations.last += 1;
        let number = self.reservations.last;
        let end = plan.start.saturating_add(lasts);
        let mut places = Vec::with_capacity(plan.spares.len());
        for &(at, spare) in &plan.spares {
            let here = plan.members.iter().filter(|member| **member == at).count();
            let need = need.times(u32::try_from(here).unwrap_or(u32::MAX));
            places.push(Place {
                name: name(at),
                need,
                spare,
                room: snapshot.candidates[at].room,
            });
            snapshot.ahead.holds.push(Hold {
                number,
                at,
                start: plan.start,
                end,
                factor: self
                    .upstreams
                    .get(&snapshot.candidates[at].name)
                    .map_or(1.0, |upstream| upstream.slowness.factor(now)),
                need,
                spare,
                priority: wait.queue.priority,
                position: snapshot.ahead.position,
                lost: false,
            });
        }
        let reservation = Reservation {
            number,
            workspace: workspace.clone(),
            members,
            places,
            start: plan.start,
            end,
            from,
            since: wait.since,
            planned_at: now,
            free,
            lost: None,
        };
        self.reservations.open.insert(id, reservation);
    }

    /// Gathers when the running work is predicted to end.
    fn releases(&self, now: u64, snapshot: &Snapshot) -> Releases {
        let quantile = self.longest_likely();
        let mut found = vec![Vec::new(); snapshot.candidates.len()];
        for (name, upstream) in &self.upstreams {
            let Some(&at) = snapshot.index.get(name) else {
                continue;
            };
            for (run, need) in &upstream.runs {
                let position = position_of(&run.task);
                let Some(job) = self.jobs.get(&run.task.job) else {
                    continue;
                };
                let live = job.task(position).and_then(|task| task.live.as_ref());
                let step = job.spec.steps.get(position.step as usize);
                let (Some(live), Some(step)) = (live, step) else {
                    continue;
                };
                let rest = if live.stage == Stage::Stopping {
                    self.timing.stop_ms
                } else if step.long_running {
                    continue;
                } else {
                    let task = job.task(record_position(job, position));
                    let fresh = task.is_some_and(|task| task.saved.is_empty());
                    let outlook = Outlook {
                        worked: now.saturating_sub(live.since),
                        factor: upstream.slowness.factor(now),
                        reported: reported_rest(now, live, fresh),
                    };
                    let kind = Kind {
                        queue: &job.queue,
                        workspace: &job.workspace,
                        step,
                    };
                    outlook.rest_ms(|worked| self.durations.rest_ms(kind, worked, quantile))
                };
                found[at].push((now.saturating_add(rest), *need));
            }
        }
        Releases::new(found)
    }
}

/// Returns the remaining time that follows from a run's reported progress, and the age of the
/// report, in milliseconds. `fresh`: it has worked from the beginning, so that its pace is the
/// progress over the time of work; otherwise the pace is that between its reports.
fn reported_rest(now: u64, live: &LiveRun, fresh: bool) -> Option<(u64, u64)> {
    let percent = live.percent.min(100);
    if percent < MIN_PROGRESS_PERCENT {
        return None;
    }
    let left = u64::from(100 - percent);
    let rest = if fresh {
        let worked = live.progress_at.saturating_sub(live.since);
        worked * left / u64::from(percent)
    } else {
        as_ms(live.speed?.whole_ms) * left / 100
    };
    Some((rest, now.saturating_sub(live.progress_at)))
}
