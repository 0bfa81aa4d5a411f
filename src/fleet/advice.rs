//! Asks an external service which upstreams may run a step, and caches its responses.
//!
//! The service needs time for each call and for each upstream, and serves the calls of a VM one
//! after the other. So the most urgent step asks first, about no more upstreams than it is likely
//! to need.

use super::decide::advise;
use super::effect::Effect;
use super::event::Advised;
use super::model::Step;
use super::model::StepId;
use super::scheduler::Scheduler;
use super::snapshot::Snapshot;
use super::waiting::WaitingStep;
use crate::prelude::*;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

/// The most upstreams in one call.
const MAX_ASKED: usize = 100;
/// The number of upstreams to ask about beyond those that are needed, since some may not be
/// allowed.
const SPARE_ASKED: usize = 2;
/// The wait before the next call after one without a response, in milliseconds.
const RETRY_MS: u64 = 300;

/// The service's decision on one step and one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Verdict {
    /// It may run the step, with this ticket until this time on the local clock.
    Good(Arc<str>, u64),
    /// It may not run the step, and this will not change.
    Bad,
}

/// The cached decisions of the service, and the call in progress.
#[derive(Debug, Clone, Default)]
pub(super) struct AdviceCache {
    steps: BTreeMap<StepId, HashMap<Name, Verdict>>,
    /// When the call in progress was sent, local clock, and how long the service takes for it, in
    /// milliseconds.
    asked: Option<(u64, u64)>,
    /// When the next call may be sent, local clock.
    next_ask: u64,
}

impl AdviceCache {
    /// Returns the ticket of a step for an upstream; empty if there is none.
    pub(super) fn ticket(&self, step: &StepId, at: &Name) -> Arc<str> {
        match self.steps.get(step).and_then(|known| known.get(at)) {
            Some(Verdict::Good(ticket, _)) => ticket.clone(),
            _ => "".into(),
        }
    }

    /// Discards a ticket that an upstream did not accept.
    pub(super) fn discard(&mut self, step: &StepId, at: &Name) {
        if let Some(known) = self.steps.get_mut(step) {
            known.remove(at);
        }
    }

    /// Discards the decisions on a job.
    pub(super) fn remove_job(&mut self, job: &Name) {
        self.steps.retain(|step, _| step.job != *job);
    }

    /// Returns the candidates for which a step has a valid ticket.
    fn good(&self, now: u64, step: &StepId, snapshot: &Snapshot) -> HashSet<usize> {
        let known = self.steps.get(step).into_iter().flatten();
        let valid = known.filter(|(_, verdict)| match verdict {
            Verdict::Good(_, until) => now < *until,
            Verdict::Bad => false,
        });
        valid
            .filter_map(|(name, _)| snapshot.index.get(name).copied())
            .collect()
    }

    /// Returns whether it is useful to ask about an upstream; `free`: a task would fit there now.
    fn should_ask(&self, now: u64, step: &StepId, at: &Name, free: bool) -> bool {
        match self.steps.get(step).and_then(|known| known.get(at)) {
            None => true,
            Some(Verdict::Bad) => false,
            // Without free room, a new ticket would expire unused as well.
            Some(Verdict::Good(_, until)) => *until <= now && free,
        }
    }

    fn may_ask(&self, now: u64) -> bool {
        self.asked.is_none() && now >= self.next_ask
    }
}

impl WaitingStep {
    /// Returns the id of the step.
    pub(super) fn step_id(&self) -> StepId {
        StepId {
            job: self.job.clone(),
            turn: self.turn,
            step: self.step,
        }
    }
}

impl Scheduler {
    /// Returns the candidates for which a step has a valid ticket, or none if its queue needs no
    /// advice.
    pub(super) fn allowed(
        &self,
        now: u64,
        snapshot: &Snapshot,
        wait: &WaitingStep,
    ) -> Option<HashSet<usize>> {
        wait.queue.advice?;
        Some(self.advice.good(now, &wait.step_id(), snapshot))
    }

    /// Asks about more upstreams for a step that found too few, unless a call is in progress.
    pub(super) fn ask(&mut self, now: u64, snapshot: &Snapshot, wait: &WaitingStep, step: &Step) {
        let Some(advice) = wait.queue.advice.filter(|_| self.advice.may_ask(now)) else {
            return;
        };
        let id = wait.step_id();
        let upstreams = self.to_ask(now, snapshot, wait, step);
        if upstreams.is_empty() {
            return;
        }
        let count = u64::try_from(upstreams.len()).unwrap_or(u64::MAX);
        log::info!(
            "TG1610 job={} turn={} step={} asks about={count} waited_ms={}",
            id.job,
            id.turn,
            id.step,
            now.saturating_sub(wait.since)
        );
        let call_ms = advice.call_ms(count);
        self.advice.asked = Some((now, call_ms));
        self.out.immediate.push(Effect::Advise {
            step: id,
            upstreams,
            call_ms,
        });
    }

    /// Chooses the upstreams to ask about: those close to the data first, then those of the rack
    /// with the most free accelerators if the step needs one rack, then those with room for a task.
    fn to_ask(&self, now: u64, snapshot: &Snapshot, wait: &WaitingStep, step: &Step) -> Vec<Name> {
        let id = wait.step_id();
        let need = step.need();
        let mut racks: HashMap<&Name, u64> = HashMap::new();
        for candidate in snapshot
            .candidates
            .iter()
            .filter(|candidate| candidate.open)
        {
            *racks.entry(&candidate.rack).or_default() += candidate.free.accelerators;
        }
        let mut found: Vec<_> = snapshot
            .candidates
            .iter()
            .filter(|candidate| {
                candidate.allows(&wait.queue.service, step) && need.fits(&candidate.room)
            })
            .filter(|candidate| {
                let free = candidate.open && need.fits(&candidate.free);
                self.advice.should_ask(now, &id, &candidate.name, free)
            })
            .map(|candidate| {
                let remote = !step.data_rack.is_empty() && *candidate.rack != *step.data_rack;
                let rack = racks.get(&candidate.rack).copied().unwrap_or(0);
                let rack = if step.one_rack { rack } else { 0 };
                let free = candidate.open && need.fits(&candidate.free);
                (
                    remote,
                    std::cmp::Reverse((rack, &candidate.rack)),
                    !free,
                    &candidate.name,
                )
            })
            .collect();
        found.sort();
        let each = need.accelerators.max(1);
        let room = snapshot
            .candidates
            .first()
            .map_or(1, |candidate| candidate.room.accelerators);
        let fit = usize::try_from((room / each).max(1)).unwrap_or(1);
        let wanted = 2 * wait.tasks.len().div_ceil(fit) + SPARE_ASKED;
        let chosen = found.into_iter().take(wanted.min(MAX_ASKED));
        chosen.map(|(_, _, _, name)| name.clone()).collect()
    }

    /// Handles the response to a call, or its failure.
    pub(super) fn advised(
        &mut self,
        now: u64,
        step: &StepId,
        asked: &[Name],
        answer: Option<Advised>,
    ) {
        let (sent, call_ms) = self.advice.asked.take().unwrap_or((now, 0));
        log::info!(
            "TG1611 job={} turn={} step={} asked={} good={:?} after_ms={}",
            step.job,
            step.turn,
            step.step,
            asked.len(),
            answer.as_ref().map(|answer| answer.eligible.len()),
            now.saturating_sub(sent)
        );
        self.changed = true;
        let Some(answer) = answer else {
            self.advice.next_ask = now + RETRY_MS;
            return;
        };
        if !self.open.contains(&step.job) {
            return;
        }
        let known = self.advice.steps.entry(step.clone()).or_default();
        for name in asked {
            known.insert(name.clone(), Verdict::Bad);
        }
        let until = advise::usable_until(sent, call_ms, now, answer.valid_ms);
        for (name, ticket) in answer.eligible {
            known.insert(name, Verdict::Good(ticket, until));
        }
    }
}
