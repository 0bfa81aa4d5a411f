//! Asks an outside service which upstreams may run a step, and keeps what it said.
//!
//! The load it answers: a service that takes its time for each call and each upstream and serves
//! one call of a VM after the other. So the most urgent step asks first, about no more upstreams
//! than it is likely to need.

use super::effect::Effect;
use super::event::Advised;
use super::model::Step;
use super::model::StepId;
use super::scheduler::Scheduler;
use super::snapshot::Snapshot;
use super::waiting::Waiting;
use crate::prelude::*;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

/// The most upstreams of one question.
const MAX_ASKED: usize = 100;
/// Upstreams that are asked about beyond those that are needed, since some may not be allowed.
const SPARE_ASKED: usize = 2;
/// The part of a ticket's time that is left for an order to arrive, in milliseconds.
const TICKET_SLACK_MS: u64 = 300;
/// The wait before a question without an answer is asked again, in milliseconds.
const AGAIN_MS: u64 = 300;

/// What is known of an upstream for one step.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Verdict {
    /// It may run the step, under this ticket until this own time.
    Good(Arc<str>, u64),
    /// It may not, and never will.
    Bad,
}

/// What the service said, and the question under way.
#[derive(Debug, Clone, Default)]
pub(super) struct AdviceCache {
    steps: BTreeMap<StepId, HashMap<Name, Verdict>>,
    /// When the question under way was sent, own time.
    asking: Option<u64>,
    /// When the next question may be sent, own time.
    next_ask: u64,
}

impl AdviceCache {
    /// Returns the ticket of a step for an upstream, empty if there is none.
    pub(super) fn ticket(&self, step: &StepId, at: &Name) -> Arc<str> {
        match self.steps.get(step).and_then(|known| known.get(at)) {
            Some(Verdict::Good(ticket, _)) => ticket.clone(),
            _ => "".into(),
        }
    }

    /// Drops a ticket that an upstream did not take.
    pub(super) fn discard(&mut self, step: &StepId, at: &Name) {
        if let Some(known) = self.steps.get_mut(step) {
            known.remove(at);
        }
    }

    /// Drops what was said of a job.
    pub(super) fn remove_job(&mut self, job: &Name) {
        self.steps.retain(|step, _| step.job != *job);
    }

    /// Returns the spots for which a step has a valid ticket.
    fn good(&self, now: u64, step: &StepId, board: &Snapshot) -> HashSet<usize> {
        let known = self.steps.get(step).into_iter().flatten();
        let valid = known.filter(|(_, verdict)| match verdict {
            Verdict::Good(_, until) => now < *until,
            Verdict::Bad => false,
        });
        valid
            .filter_map(|(name, _)| board.index.get(name).copied())
            .collect()
    }

    /// Tells whether it is worth asking about an upstream; `free` if a task would fit there now.
    fn is_open(&self, now: u64, step: &StepId, at: &Name, free: bool) -> bool {
        match self.steps.get(step).and_then(|known| known.get(at)) {
            None => true,
            Some(Verdict::Bad) => false,
            // A new ticket would expire, too, before there is room.
            Some(Verdict::Good(_, until)) => *until <= now && free,
        }
    }

    fn may_ask(&self, now: u64) -> bool {
        self.asking.is_none() && now >= self.next_ask
    }
}

impl Waiting {
    /// Names the step.
    pub(super) fn step_id(&self) -> StepId {
        StepId {
            job: self.job.clone(),
            turn: self.turn,
            step: self.step,
        }
    }
}

impl Scheduler {
    /// Returns the spots that a step may use, if it may use only some.
    pub(super) fn allowed(
        &self,
        now: u64,
        board: &Snapshot,
        wait: &Waiting,
    ) -> Option<HashSet<usize>> {
        wait.queue.advice?;
        Some(self.advice.good(now, &wait.step_id(), board))
    }

    /// Asks about upstreams for a step that found too few, unless a question is under way.
    pub(super) fn ask(&mut self, now: u64, board: &Snapshot, wait: &Waiting, step: &Step) {
        let Some(advice) = wait.queue.advice.filter(|_| self.advice.may_ask(now)) else {
            return;
        };
        let id = wait.step_id();
        let upstreams = self.candidates(now, board, wait, step);
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
        self.advice.asking = Some(now);
        self.out.immediate.push(Effect::Advise {
            step: id,
            upstreams,
            call_ms: advice.call_ms(count),
        });
    }

    /// Chooses upstreams to ask about: those of the freest rack first for a gang that wants one,
    /// and near the data.
    fn candidates(&self, now: u64, board: &Snapshot, wait: &Waiting, step: &Step) -> Vec<Name> {
        let id = wait.step_id();
        let need = step.need();
        let mut racks: HashMap<&Name, u64> = HashMap::new();
        for spot in board.spots.iter().filter(|spot| spot.open) {
            *racks.entry(&spot.rack).or_default() += spot.free.accelerators;
        }
        let mut found: Vec<_> = board
            .spots
            .iter()
            .filter(|spot| spot.allows(&wait.queue.service, step) && need.fits(&spot.room))
            .filter(|spot| {
                let free = spot.open && need.fits(&spot.free);
                self.advice.is_open(now, &id, &spot.name, free)
            })
            .map(|spot| {
                let far = !step.data_rack.is_empty() && *spot.rack != *step.data_rack;
                let rack = racks.get(&spot.rack).copied().unwrap_or(0);
                let rack = if step.one_rack { rack } else { 0 };
                let free = spot.open && need.fits(&spot.free);
                (
                    far,
                    std::cmp::Reverse((rack, &spot.rack)),
                    !free,
                    &spot.name,
                )
            })
            .collect();
        found.sort();
        let each = need.accelerators.max(1);
        let room = board.spots.first().map_or(1, |spot| spot.room.accelerators);
        let fit = usize::try_from((room / each).max(1)).unwrap_or(1);
        let wanted = 2 * wait.tasks.len().div_ceil(fit) + SPARE_ASKED;
        let chosen = found.into_iter().take(wanted.min(MAX_ASKED));
        chosen.map(|(_, _, _, name)| name.clone()).collect()
    }

    /// Handles the answer to a question.
    pub(super) fn advised(
        &mut self,
        now: u64,
        step: &StepId,
        asked: &[Name],
        answer: Option<Advised>,
    ) {
        let sent = self.advice.asking.take().unwrap_or(now);
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
            self.advice.next_ask = now + AGAIN_MS;
            return;
        };
        if !self.open.contains(&step.job) {
            return;
        }
        let known = self.advice.steps.entry(step.clone()).or_default();
        for name in asked {
            known.insert(name.clone(), Verdict::Bad);
        }
        let until = (sent + answer.valid_ms).saturating_sub(TICKET_SLACK_MS);
        for (name, ticket) in answer.eligible {
            known.insert(name, Verdict::Good(ticket, until));
        }
    }
}
