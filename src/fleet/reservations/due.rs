//! Stops backfilled work when a reservation is due.

use crate::fleet::decide::place::Constraints;
use crate::fleet::decide::reserve;
use crate::fleet::decide::reserve::Stoppable;
use crate::fleet::gauge;
use crate::fleet::model::ResourceAmounts;
use crate::fleet::model::RunId;
use crate::fleet::plan::RESERVATION_MS;
use crate::fleet::preempt::core_seconds;
use crate::fleet::scheduler::Scheduler;
use crate::fleet::scheduler::position_of;
use crate::fleet::snapshot::Snapshot;
use crate::fleet::task::LiveRun;
use crate::fleet::task::Stage;
use crate::fleet::task::TaskPosition;
use crate::fleet::waiting::WaitingStep;
use crate::prelude::*;
use std::collections::BTreeMap;

/// The part of its slack that a gang waits before it stops other work, in percent, while it can
/// still start in time without: stopping at once costs small jobs their service under overload,
/// and waiting for the whole slack leaves no time if the prediction is wrong.
const STOP_SLACK_PERCENT: u64 = 60;

/// What has to stop for a gang whose reservation is due.
#[derive(Debug)]
pub(super) struct Stops {
    /// The candidate of each member.
    members: Vec<usize>,
    /// The runs, with their candidates.
    runs: Vec<(usize, Stoppable<(Name, TaskPosition)>)>,
}

impl Scheduler {
    /// Finds the work of lower priority that writes checkpoints and that has to stop on the
    /// upstreams of a reservation that is due so that the gang can start then; none if that is not
    /// enough.
    pub(super) fn find_stops(
        &mut self,
        now: u64,
        snapshot: &Snapshot,
        wait: &WaitingStep,
        constraints: &Constraints<'_>,
    ) -> Option<Stops> {
        if !self.inherited.allows_preemption(now) {
            return None;
        }
        let chosen = self.reserved_members(snapshot, wait, constraints)?;
        let need = constraints.step.need();
        let mut wanted: BTreeMap<usize, ResourceAmounts> = BTreeMap::new();
        for &at in &chosen {
            wanted.entry(at).or_default().add(&need);
        }
        let mut stops = Vec::new();
        for (at, wanted) in wanted {
            let candidate = &snapshot.candidates[at];
            let mut room = candidate.free;
            if let Some(more) = snapshot.releasing.get(&at) {
                room.add(more);
            }
            let runs = self.stoppable(now, &candidate.name, wait.queue.priority);
            let found = reserve::stops(runs, room, &wanted).filter(|_| candidate.open)?;
            stops.extend(found.into_iter().map(|run| (at, run)));
        }
        Some(Stops {
            members: chosen,
            runs: stops,
        })
    }

    /// Stops the work if the gang has little time left or is in time only then, and if that wastes less than the gang
    /// gains, and reserves the room for it; otherwise plans the reservation again. Waste and gain
    /// are counted in core-seconds: a gang that waits for a time wastes the work that its room
    /// could have done. A stopped task waits for room again, which made its job late more often
    /// than it made the gang in time.
    pub(super) fn stop_or_replan(
        &mut self,
        now: u64,
        snapshot: &mut Snapshot,
        wait: &WaitingStep,
        constraints: &Constraints<'_>,
        workspace: &Name,
        stops: Stops,
    ) {
        let waste: f64 = stops.runs.iter().map(|(_, run)| run.waste).sum();
        if !stops.runs.is_empty() {
            let longest = self.newcomer(now, &snapshot.ahead, wait).longest;
            let lasts = longest.unwrap_or(wait.predicted) + self.timing.stop_ms + RESERVATION_MS;
            let Some(plan) = self.plan_ahead(now, snapshot, &wait.id(), constraints, wait) else {
                return;
            };
            if let Some((next, _)) = &plan {
                let count = u32::try_from(stops.members.len()).unwrap_or(u32::MAX);
                let whole = constraints.step.need().times(count);
                let gain = core_seconds(&whole, next.start.saturating_sub(now));
                let slack = wait.objective.saturating_sub(wait.since + lasts);
                let early = now.saturating_sub(wait.since) < slack * STOP_SLACK_PERCENT / 100;
                let waits_in_time = early && next.start.saturating_add(lasts) <= wait.objective;
                let late = now.saturating_add(lasts) > wait.objective;
                if gain <= waste || waits_in_time || late {
                    let why = Some("stopping other work costs more");
                    self.replace_reservation(
                        now,
                        snapshot,
                        wait,
                        constraints,
                        workspace,
                        why,
                        plan,
                    );
                    return;
                }
            }
        }
        self.stop_backfill(now, snapshot, wait, constraints, stops, waste);
    }

    /// Stops the work, and reserves the room for the gang.
    fn stop_backfill(
        &mut self,
        now: u64,
        snapshot: &mut Snapshot,
        wait: &WaitingStep,
        constraints: &Constraints<'_>,
        found: Stops,
        waste: f64,
    ) {
        let Stops {
            members: chosen,
            runs: stops,
        } = found;
        let need = constraints.step.need();
        let names = chosen
            .iter()
            .map(|&at| snapshot.candidates[at].name.clone());
        let names: Vec<Name> = names.collect();
        log::info!(
            "TG1824 job={} turn={} step={} backfilled work is stopped runs={} waste_core_s={waste:.0} waited_ms={}",
            wait.job,
            wait.turn,
            wait.step,
            stops.len(),
            now.saturating_sub(wait.since)
        );
        gauge::preempted(stops.len());
        for (at, stop) in stops {
            snapshot.releasing.entry(at).or_default().add(&stop.need);
            self.stop_run_or_gang(now, &stop.run.0, stop.run.1);
        }
        snapshot.reserve(&chosen, &need);
        let until = now + self.timing.stop_ms + RESERVATION_MS;
        self.set_reservation(wait, Some((names, until)));
    }

    /// Returns the runs on an upstream that may be stopped for a gang of `priority`: single tasks of
    /// lower priority that save their progress when they are stopped.
    fn stoppable(
        &self,
        now: u64,
        at: &Name,
        priority: u32,
    ) -> Vec<Stoppable<(Name, TaskPosition)>> {
        let (Some(upstream), Some(config)) = (self.upstreams.get(at), &self.config) else {
            return Vec::new();
        };
        let lower = |run: &RunId| {
            let job = self.jobs.get(&run.task.job)?;
            let position = position_of(&run.task);
            let live: &LiveRun = job.task(position)?.live.as_ref()?;
            let step = job.spec.steps.get(position.step as usize)?;
            let lower = job.queue_in(config)?.priority > priority;
            let may = lower && super::is_stoppable(step) && live.stage == Stage::Running;
            may.then(|| Stoppable {
                run: (job.id.clone(), position),
                since: live.since,
                need: step.need(),
                waste: self.waste(now, step, live, &step.need()),
            })
        };
        upstream.runs.keys().filter_map(lower).collect()
    }
}
