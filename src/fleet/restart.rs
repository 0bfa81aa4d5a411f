//! Starts urgent gangs again elsewhere if one of their members is on a slow upstream.

use super::decide::as_ms;
use super::decide::millis;
use super::decide::order;
use super::decide::place;
use super::decide::place::Constraints;
use super::decide::place::Racks;
use super::decide::restart::Straggler;
use super::decide::trust::Risk;
use super::model::RunId;
use super::plan::RESERVATION_MS;
use super::scheduler::Scheduler;
use super::scheduler::position_of;
use super::task::LiveRun;
use crate::prelude::*;
use std::collections::HashSet;

impl Scheduler {
    /// Stops the gang of `run`, the work of which usually takes `usual_ms`, if its slowest member
    /// makes it late, and a place for the whole gang is free without the upstreams that do; the
    /// place is reserved for it.
    pub(super) fn consider_restart(&mut self, now: u64, run: &RunId, usual_ms: f64) {
        let position = position_of(&run.task);
        let Some(config) = self.config.clone() else {
            return;
        };
        let job = self.jobs.get(&run.task.job);
        let Some(job) = job.filter(|job| job.closed.is_none()) else {
            return;
        };
        let queue = job.queue_in(&config);
        // What the advice service allows is not known for upstreams that were never asked about.
        let Some(queue) = queue.filter(|queue| queue.priority == 0 && queue.advice.is_none())
        else {
            return;
        };
        let (Some(step), Some(turn), Some(state)) = (
            job.spec.steps.get(position.step as usize),
            job.turns.get(&position.turn),
            job.step_state(position.turn, position.step),
        ) else {
            return;
        };
        let live: Vec<&LiveRun> = state
            .tasks
            .iter()
            .filter_map(|task| task.live.as_ref())
            .collect();
        if live.len() < state.tasks.len() || !live.iter().all(|live| live.is_running()) {
            return;
        }
        let paces = live
            .iter()
            .filter_map(|live| Some((live, live.seen?, live.speed?)));
        let left: Vec<(f64, &LiveRun)> = paces
            .map(|(live, seen, speed)| {
                let percent = f64::from(100_u32.saturating_sub(seen.percent));
                let passed = millis(now.saturating_sub(seen.at));
                (speed.whole_ms * percent / 100.0 - passed, *live)
            })
            .collect();
        let Some(&(left_ms, slowest)) = left.iter().max_by(|a, b| a.0.total_cmp(&b.0)) else {
            return;
        };
        let started = live.iter().map(|live| live.since).max().unwrap_or(now);
        let objective_ms = millis(order::objective_ms(queue, as_ms(usual_ms)));
        let straggler = Straggler {
            worked_ms: millis(now.saturating_sub(started)),
            left_ms,
            usual_ms,
            stop_ms: millis(self.timing.stop_ms),
            late_ms: objective_ms - millis(now.saturating_sub(turn.due)),
            restarts: state.restarts,
        };
        if !straggler.is_worth_restart() {
            return;
        }
        let need = step.need();
        let mut snapshot = self.snapshot(now, HashSet::new());
        for member in &live {
            if let Some(&index) = snapshot.index.get(&member.at) {
                snapshot.candidates[index].free.add(&need);
            }
        }
        for (_, late) in left
            .iter()
            .filter(|(left_ms, _)| *left_ms > straggler.late_ms)
        {
            if let Some(&index) = snapshot.index.get(&late.at) {
                snapshot.candidates[index].open = false;
            }
        }
        let racks = Racks::new(&snapshot.candidates);
        let constraints = Constraints {
            service: &queue.service,
            step,
            relaxed: false,
            avoid: &[],
            reserved: None,
            only: None,
            limits: None,
            large: None,
            risk: Risk::Unproven,
            urgent: true,
        };
        let found = place::gang(&snapshot.candidates, &racks, &constraints, step.count);
        let slow = |at: &usize| snapshot.candidates[*at].speed.is_slow();
        let found = found.filter(|chosen| !chosen.iter().any(slow));
        let Some(chosen) = found else {
            log::info!(
                "TG1614 job={} step={} run={} upstream={} straggles left_ms={left_ms:.0} usual_ms={usual_ms:.0} late_in_ms={:.0} worked_ms={:.0}; no place elsewhere",
                run.task.job,
                position.step,
                run.number,
                slowest.at,
                straggler.late_ms,
                straggler.worked_ms
            );
            return;
        };
        let names: Vec<Name> = chosen
            .iter()
            .map(|&at| snapshot.candidates[at].name.clone())
            .collect();
        log::info!(
            "TG1613 job={} step={} run={} upstream={} straggles left_ms={left_ms:.0} usual_ms={usual_ms:.0} late_in_ms={:.0} worked_ms={:.0} restarts={}; starts again at={names:?}",
            run.task.job,
            position.step,
            run.number,
            slowest.at,
            straggler.late_ms,
            straggler.worked_ms,
            straggler.restarts
        );
        let until = now + self.timing.stop_ms + RESERVATION_MS;
        let job = self.jobs.get_mut(&run.task.job);
        if let Some(state) = job.and_then(|job| job.step_state_mut(position.turn, position.step)) {
            state.restarts += 1;
            state.reserved = Some((names, until));
        }
        self.stop_gang(now, run);
    }
}
