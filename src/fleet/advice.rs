//! Asks an external service which upstreams may run a step, and caches its responses.
//!
//! The service needs time for each call and for each upstream, and serves the calls of a VM one
//! after the other. So one call is in progress at a time. The most urgent step asks first, about no
//! more upstreams than it is likely to need; a step whose calls lead to no start leaves the service
//! to the others for a growing time.

use super::decide::advise;
use super::effect::Effect;
use super::event::Advised;
use super::model::Step;
use super::model::StepId;
use super::scheduler::Scheduler;
use super::snapshot::Snapshot;
use super::task::Job;
use super::waiting::WaitingStep;
use crate::prelude::*;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

/// The number of upstreams to ask about beyond those that are needed, since some may not be
/// allowed.
const SPARE_ASKED: usize = 2;
/// The wait before the next call after one without a response, in milliseconds; doubled for each
/// further one.
const RETRY_MS: u64 = 300;
/// The longest such wait, in milliseconds.
const MAX_RETRY_MS: u64 = 5_000;
/// The most doublings of the time that the service is given, after calls without a response.
const MAX_DOUBLINGS: u32 = 3;

/// The service's decision on one step and one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Verdict {
    /// It may run the step, with this ticket.
    Good(Ticket),
    /// It may not run the step, and this will not change.
    Bad,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Ticket {
    text: Arc<str>,
    /// Until when it may be used, local clock.
    until: u64,
    /// The life of the upstream for which it was given.
    life: u64,
}

/// The cached decisions on one step, and what its calls led to.
#[derive(Debug, Clone, Default)]
struct Known {
    verdicts: HashMap<Name, Verdict>,
    /// The calls since a task of it last started.
    unrewarded: u32,
    /// Until when other steps ask first, local clock.
    rest_until: u64,
}

/// A call in progress.
#[derive(Debug, Clone)]
struct Pending {
    /// When it was sent, local clock.
    sent: u64,
    /// How long the service takes for it, in milliseconds.
    call_ms: u64,
    /// The life of each upstream that it names.
    lives: HashMap<Name, u64>,
}

/// The cached decisions of the service, and the call in progress.
#[derive(Debug, Clone, Default)]
pub(super) struct AdviceCache {
    steps: BTreeMap<StepId, Known>,
    pending: Option<Pending>,
    /// When the next call may be sent, local clock.
    next_ask: u64,
    /// Rises with each call without a response, falls with each response in time.
    failures: u32,
    /// Why the last step that asked was the first to do so.
    last: Precedence,
}

impl AdviceCache {
    /// Returns the ticket of a step for an upstream; empty if there is none.
    pub(super) fn ticket(&self, step: &StepId, at: &Name) -> Arc<str> {
        let known = self.steps.get(step);
        match known.and_then(|known| known.verdicts.get(at)) {
            Some(Verdict::Good(ticket)) => ticket.text.clone(),
            _ => "".into(),
        }
    }

    /// Discards a ticket that an upstream did not accept, and no longer uses the others of the same
    /// response: they have expired, too.
    pub(super) fn discard(&mut self, step: &StepId, at: &Name) {
        let Some(known) = self.steps.get_mut(step) else {
            return;
        };
        let Some(Verdict::Good(refused)) = known.verdicts.remove(at) else {
            return;
        };
        for verdict in known.verdicts.values_mut() {
            if let Verdict::Good(ticket) = verdict
                && ticket.until == refused.until
            {
                ticket.until = 0;
            }
        }
    }

    /// Records that a task of a step has started: its tickets are accepted.
    pub(super) fn reward(&mut self, step: &StepId) {
        if let Some(known) = self.steps.get_mut(step) {
            known.unrewarded = 0;
            known.rest_until = 0;
        }
    }

    /// Discards the decisions on a job.
    pub(super) fn remove_job(&mut self, job: &Name) {
        self.steps.retain(|step, _| step.job != *job);
    }

    /// Discards the decisions on occurrences that a job no longer has.
    pub(super) fn remove_ended_turns(&mut self, job: &Job) {
        self.steps
            .retain(|step, _| step.job != job.id || job.turns.contains_key(&step.turn));
    }

    fn may_ask(&self, now: u64) -> bool {
        self.pending.is_none() && now >= self.next_ask
    }

    /// Returns when a step asks, compared with others: lower first, and by rank if equal.
    fn precedence(&self, step: &StepId, now: u64) -> Option<(Precedence, u64)> {
        let Some(known) = self.steps.get(step) else {
            return Some((Precedence::Fresh, 0));
        };
        if known.unrewarded == 0 {
            Some((Precedence::Fresh, 0))
        } else if known.rest_until <= now {
            Some((Precedence::Rested, known.rest_until))
        } else {
            let eager = advise::is_eager(known.unrewarded);
            eager.then_some((Precedence::Rests, known.rest_until))
        }
    }

    fn unrewarded(&self, step: &StepId) -> u32 {
        self.steps.get(step).map_or(0, |known| known.unrewarded)
    }
}

/// Which steps ask first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Precedence {
    /// No call of it is without a start.
    #[default]
    Fresh,
    /// It has rested.
    Rested,
    /// It rests, but no other step asks.
    Rests,
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
        let known = self.advice.steps.get(&wait.step_id());
        let names = known.into_iter().flat_map(|known| known.verdicts.keys());
        let valid = names.filter(|name| {
            let verdict = known.and_then(|known| known.verdicts.get(*name));
            matches!(verdict, Some(Verdict::Good(ticket)) if self.is_valid(ticket, name, now))
        });
        Some(
            valid
                .filter_map(|name| snapshot.index.get(name).copied())
                .collect(),
        )
    }

    /// Returns whether a ticket may still be used at `at`: it is void once another process runs there.
    fn is_valid(&self, ticket: &Ticket, at: &Name, now: u64) -> bool {
        now < ticket.until && ticket.life == self.life_of(at)
    }

    /// Sends the next call if none is in progress, for one of the steps in `wanting`, which are in the
    /// order of their ranks. Steps whose calls led to a start and those that have rested take turns.
    pub(super) fn ask_next(&mut self, now: u64, snapshot: &Snapshot, wanting: &[&WaitingStep]) {
        if wanting.is_empty() || !self.advice.may_ask(now) {
            return;
        }
        let mut order: Vec<(Precedence, u64, &WaitingStep)> = wanting
            .iter()
            .filter_map(|wait| {
                let (place, since) = self.advice.precedence(&wait.step_id(), now)?;
                Some((place, since, *wait))
            })
            .collect();
        let fresh_later = self.advice.last == Precedence::Fresh;
        order.sort_by_key(|(place, since, _)| match place {
            Precedence::Fresh if fresh_later => (Precedence::Rested, u64::MAX),
            place => (*place, *since),
        });
        for (place, _, wait) in order {
            if self.ask(now, snapshot, wait) {
                self.advice.last = place;
                return;
            }
        }
    }

    /// Asks about upstreams for a step; returns whether there are any to ask about.
    fn ask(&mut self, now: u64, snapshot: &Snapshot, wait: &WaitingStep) -> bool {
        let Some(advice) = wait.queue.advice else {
            return false;
        };
        let job = self.jobs.get(&wait.job);
        let Some(step) = job.and_then(|job| job.spec.steps.get(wait.step as usize)) else {
            return false;
        };
        let upstreams = self.to_ask(now, snapshot, wait, step);
        if upstreams.is_empty() {
            return false;
        }
        let id = wait.step_id();
        let unrewarded = self.advice.unrewarded(&id);
        let call_ms = advice.call_ms(u64::try_from(upstreams.len()).unwrap_or(u64::MAX));
        log::info!(
            "TG1610 job={} turn={} step={} asks about={} call_ms={call_ms} unrewarded={unrewarded} failures={} waited_ms={}",
            id.job,
            id.turn,
            id.step,
            upstreams.len(),
            self.advice.failures,
            now.saturating_sub(wait.since)
        );
        let lives = upstreams
            .iter()
            .map(|name| (name.clone(), self.life_of(name)));
        self.advice.pending = Some(Pending {
            sent: now,
            call_ms,
            lives: lives.collect(),
        });
        // Calls that were given up are still served first: give a slow service more time.
        let doublings = self.advice.failures.min(MAX_DOUBLINGS);
        self.out.immediate.push(Effect::Advise {
            step: id,
            upstreams,
            call_ms: call_ms.saturating_mul(1 << doublings),
        });
        true
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
                self.should_ask(now, &id, &candidate.name, free)
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
        let chosen = found.into_iter().take(wanted.min(advise::MAX_ASKED));
        chosen.map(|(_, _, _, name)| name.clone()).collect()
    }

    /// Returns whether it is useful to ask about an upstream; `free`: a task would fit there now.
    fn should_ask(&self, now: u64, step: &StepId, at: &Name, free: bool) -> bool {
        let known = self.advice.steps.get(step);
        match known.and_then(|known| known.verdicts.get(at)) {
            None => true,
            Some(Verdict::Bad) => false,
            // Without free room, a new ticket would expire unused as well.
            Some(Verdict::Good(ticket)) => !self.is_valid(ticket, at, now) && free,
        }
    }

    /// Handles the response to a call, or its failure.
    pub(super) fn advised(
        &mut self,
        now: u64,
        step: &StepId,
        asked: &[Name],
        answer: Option<Advised>,
    ) {
        let pending = self.advice.pending.take().unwrap_or_else(|| Pending {
            sent: now,
            call_ms: 0,
            lives: HashMap::new(),
        });
        let took = now.saturating_sub(pending.sent);
        let until = answer.as_ref().map(|answer| {
            advise::usable_until(pending.sent, pending.call_ms, now, answer.valid_ms)
        });
        log::info!(
            "TG1611 job={} turn={} step={} asked={} good={:?} valid_ms={:?} usable_ms={:?} after_ms={took} expected_ms={}",
            step.job,
            step.turn,
            step.step,
            asked.len(),
            answer.as_ref().map(|answer| answer.eligible.len()),
            answer.as_ref().map(|answer| answer.valid_ms),
            until.map(|until| until.saturating_sub(now)),
            pending.call_ms
        );
        self.changed = true;
        match &answer {
            Some(_) => {
                if took <= pending.call_ms + RETRY_MS {
                    self.advice.failures = self.advice.failures.saturating_sub(1);
                }
            }
            None => {
                let doublings = self.advice.failures.min(u64::BITS - 1);
                let wait_ms = RETRY_MS.saturating_mul(1 << doublings).min(MAX_RETRY_MS);
                self.advice.next_ask = now + wait_ms;
                self.advice.failures = self.advice.failures.saturating_add(1);
            }
        }
        if !self.open.contains(&step.job) {
            return;
        }
        let mut known = self.advice.steps.remove(step).unwrap_or_default();
        if let (Some(answer), Some(until)) = (answer, until) {
            for name in asked {
                known.verdicts.insert(name.clone(), Verdict::Bad);
            }
            for (name, text) in answer.eligible {
                let Some(&life) = pending.lives.get(&name) else {
                    continue;
                };
                let ticket = Ticket { text, until, life };
                known.verdicts.insert(name, Verdict::Good(ticket));
            }
        }
        Self::rest(now, step, &mut known, took.max(RETRY_MS));
        self.advice.steps.insert(step.clone(), known);
    }

    /// Lets a step rest after a call that took `took_ms`, until a task of it starts.
    fn rest(now: u64, step: &StepId, known: &mut Known, took_ms: u64) {
        known.unrewarded = known.unrewarded.saturating_add(1);
        let rest_ms = advise::rest_ms(known.unrewarded, took_ms);
        known.rest_until = now + rest_ms;
        if known.unrewarded > 1 {
            log::info!(
                "TG1624 job={} turn={} step={} rests: {} calls led to no start, rest_ms={rest_ms}",
                step.job,
                step.turn,
                step.step,
                known.unrewarded
            );
        }
    }
}
