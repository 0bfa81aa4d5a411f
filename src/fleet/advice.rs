//! Asks an external service which upstreams may run a step, and caches its responses.
//!
//! The service needs time for each call and for each upstream, and serves the calls of a VM one
//! after the other. So one call is in progress at a time. The most urgent step asks first, about no
//! more upstreams than it is likely to need; a step whose calls lead to no start leaves the service
//! to the others for a growing time.

use super::decide::advise;
use super::decide::place::Candidate;
use super::effect::Effect;
use super::event::Advised;
use super::model::Advice;
use super::model::Config;
use super::model::Queue;
use super::model::RunId;
use super::model::Spec;
use super::model::Step;
use super::model::StepId;
use super::scheduler::Scheduler;
use super::snapshot::Snapshot;
use super::task::Job;
use super::task::TaskPosition;
use super::waiting::WaitingStep;
use crate::prelude::*;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

/// The number of upstreams to ask about beyond those that are needed, since some may not be
/// allowed.
const SPARE_ASKED: usize = 2;
/// The number of unknown upstreams to ask about for each one that is needed.
const ASKED_EACH: usize = 2;
/// The wait before the next call after one without a response, in milliseconds; doubled for each
/// further one.
const RETRY_MS: u64 = 300;
/// The longest such wait, in milliseconds.
const MAX_RETRY_MS: u64 = 5_000;
/// The most doublings of the time that the service is given, after calls without a response.
const MAX_DOUBLINGS: u32 = 3;
/// The longest time that it is given beyond what it usually takes, in milliseconds: a lost call holds
/// up all steps for as long.
const MAX_EXTRA_MS: u64 = 10_000;

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
    /// The most tickets that its gang has held at a time since it last began to rest.
    held: usize,
    /// The calls since a task of it last started, without those that brought a gang more tickets.
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
    /// How long the last tickets were valid, in milliseconds.
    valid_ms: Option<u64>,
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
            known.held = 0;
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
        if known.held > 0 {
            Some((Precedence::Continues, 0))
        } else if known.unrewarded == 0 {
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
    /// A gang whose last call brought it more tickets: they expire while others ask.
    Continues,
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

/// The upstreams that a step could ask about, and the tickets that it holds.
#[derive(Debug)]
struct Survey {
    /// The tasks for which tickets are missing.
    missing: usize,
    /// When the first of the tickets that it holds for the other tasks expires, local clock.
    held_until: u64,
    /// The upstreams, best first, and whether the service is known to allow each.
    candidates: Vec<(Name, bool)>,
}

impl Survey {
    /// Chooses the upstreams to ask about: those that are needed, once if they are known to be
    /// allowed, and twice as many others; at most `most`.
    fn choose(self, needed: usize, most: usize) -> Vec<Name> {
        let mut wanted = ASKED_EACH * needed;
        let mut spare = SPARE_ASKED;
        let mut chosen = Vec::new();
        for (name, allowed) in self.candidates.into_iter().take(most) {
            if wanted == 0 {
                if spare == 0 {
                    break;
                }
                spare -= 1;
            }
            wanted = wanted.saturating_sub(if allowed { ASKED_EACH } else { 1 });
            chosen.push(name);
        }
        chosen
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

    /// Returns whether a run may start without a ticket, or its step has a valid one for `at`.
    pub(super) fn has_advice(&self, now: u64, at: &Name, run: &RunId) -> bool {
        let config = self.config.as_ref();
        let job = self.jobs.get(&run.task.job);
        let queue = config.and_then(|config| job?.queue_in(config));
        if queue.is_none_or(|queue| queue.advice.is_none()) {
            return true;
        }
        let known = self.advice.steps.get(&run.task.step_id());
        let verdict = known.and_then(|known| known.verdicts.get(at));
        matches!(verdict, Some(Verdict::Good(ticket)) if self.is_valid(ticket, at, now))
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
        let Some(advice) = wait.queue.advice.filter(is_usable) else {
            return false;
        };
        let job = self.jobs.get(&wait.job);
        let Some(step) = job.and_then(|job| job.spec.steps.get(wait.step as usize)) else {
            return false;
        };
        let upstreams = self.to_ask(now, snapshot, wait, step, &advice);
        if upstreams.is_empty() {
            return false;
        }
        let id = wait.step_id();
        let unrewarded = self.advice.unrewarded(&id);
        let call_ms = advice.call_ms(u64::try_from(upstreams.len()).unwrap_or(u64::MAX));
        log::info!(
            "TG1610 job={} turn={} step={} asks about={} call_ms={call_ms} valid_ms={:?} unrewarded={unrewarded} failures={} waited_ms={}",
            id.job,
            id.turn,
            id.step,
            upstreams.len(),
            advice.valid_ms.or(self.advice.valid_ms),
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
            call_ms: call_ms
                .saturating_mul(1 << doublings)
                .min(call_ms.saturating_add(MAX_EXTRA_MS)),
        });
        true
    }

    /// Chooses the upstreams to ask about.
    fn to_ask(
        &self,
        now: u64,
        snapshot: &Snapshot,
        wait: &WaitingStep,
        step: &Step,
        advice: &Advice,
    ) -> Vec<Name> {
        let valid_ms = advice.valid_ms.or(self.advice.valid_ms);
        let width = advise::width(advice, valid_ms);
        let fit = tasks_each(snapshot, wait, step);
        let survey = self.survey(now, now, snapshot, wait, step, fit);
        let needed = survey.missing.div_ceil(fit);
        if !step.gang {
            return survey.choose(needed, width);
        }
        // A gang needs all of its tickets at the same time.
        let most = |needed| advise::MAX_ASKED.min(width.max(needed + SPARE_ASKED));
        let in_time = advise::width_until(advice, now, survey.held_until);
        if in_time >= needed.min(advise::MAX_ASKED) {
            return survey.choose(needed, most(needed).min(in_time));
        }
        // Those that it holds expire before the rest is there: it asks for them again.
        let longest_ms = advice.call_ms(u64::try_from(most(needed)).unwrap_or(u64::MAX));
        let survey = self.survey(now, now + longest_ms, snapshot, wait, step, fit);
        let needed = survey.missing.div_ceil(fit);
        survey.choose(needed, most(needed))
    }

    /// Finds the upstreams that a step could ask about: those close to the data first, then those of
    /// the rack with the most free accelerators if the step needs one rack, then those known to be
    /// allowed, then those with room for a task. Tickets that expire before `answer_at` do not count.
    fn survey(
        &self,
        now: u64,
        answer_at: u64,
        snapshot: &Snapshot,
        wait: &WaitingStep,
        step: &Step,
        fit: usize,
    ) -> Survey {
        let need = step.need();
        let limit = upstream_limit(step);
        let waiting = self.unplaced(wait);
        let known = self.advice.steps.get(&wait.step_id());
        let mut racks: HashMap<&Name, u64> = HashMap::new();
        for candidate in &snapshot.candidates {
            if candidate.open {
                *racks.entry(&candidate.rack).or_default() += candidate.free.accelerators;
            }
        }
        // A gang that fits on one rack uses the tickets of one rack only, so that others do not count.
        let combines = step.gang && (!step.one_rack || waiting.div_ceil(fit) > advise::MAX_ASKED);
        let (mut held, mut held_until) = (0, if combines { u64::MAX } else { now });
        let (mut room, mut free) = (0, 0);
        let mut found = Vec::new();
        for candidate in &snapshot.candidates {
            if !candidate.allows(&wait.queue.service, step) || !need.fits(&candidate.room) {
                continue;
            }
            let ticket = match known.and_then(|known| known.verdicts.get(&candidate.name)) {
                Some(Verdict::Bad) => continue,
                Some(Verdict::Good(ticket)) => Some(ticket),
                None => None,
            };
            let tasks = |room| as_usize(Candidate::count(room, &need, limit));
            let fits_now = if candidate.open {
                tasks(&candidate.free)
            } else {
                0
            };
            room += tasks(&candidate.room);
            free += fits_now;
            match ticket {
                Some(ticket)
                    if self.is_valid(ticket, &candidate.name, now) && ticket.until > answer_at =>
                {
                    if combines && fits_now > 0 {
                        held += fits_now;
                        held_until = held_until.min(ticket.until);
                    }
                    continue;
                }
                // Without free room, a new ticket would expire unused as well, unless other work is
                // stopped for the step.
                Some(_) if fits_now == 0 && !wait.entitled => continue,
                _ => {}
            }
            let remote = !step.data_rack.is_empty() && *candidate.rack != *step.data_rack;
            let rack = racks.get(&candidate.rack).copied().unwrap_or(0);
            let rack = if step.one_rack { rack } else { 0 };
            found.push((
                remote,
                Reverse((rack, &candidate.rack)),
                ticket.is_none(),
                fits_now == 0,
                &candidate.name,
            ));
        }
        if step.gang {
            if room < waiting {
                // Too few are allowed: no further ticket helps.
                found.clear();
            } else if free < waiting && !wait.entitled {
                found.retain(|(_, _, unknown, _, _)| *unknown);
            }
        }
        found.sort_unstable();
        let candidates = found
            .into_iter()
            .map(|(_, _, unknown, _, name)| (name.clone(), !unknown));
        Survey {
            missing: if held < waiting {
                waiting - held
            } else {
                waiting
            },
            held_until,
            candidates: candidates.collect(),
        }
    }

    /// Returns how many of the tasks that waited at the begin of the pass still do.
    pub(super) fn unplaced(&self, wait: &WaitingStep) -> usize {
        let Some(job) = self.jobs.get(&wait.job) else {
            return 0;
        };
        let waits = |index: &&u32| {
            let position = TaskPosition {
                turn: wait.turn,
                step: wait.step,
                index: **index,
            };
            job.task(position).is_some_and(|task| task.live.is_none())
        };
        wait.tasks.iter().filter(waits).count()
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
            Some(answer) => {
                self.advice.valid_ms = Some(answer.valid_ms);
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
        self.note_call(now, step, &mut known, took.max(RETRY_MS));
        self.advice.steps.insert(step.clone(), known);
    }

    /// Lets a step rest after a call that took `took_ms`, until a task of it starts; a gang that holds
    /// more tickets than before asks on, as the first of them expire.
    fn note_call(&self, now: u64, step: &StepId, known: &mut Known, took_ms: u64) {
        let held = known.verdicts.iter().filter(|(name, verdict)| {
            matches!(verdict, Verdict::Good(ticket) if self.is_valid(ticket, name, now))
        });
        let held = held.count();
        let job = self.jobs.get(&step.job);
        let spec = job.and_then(|job| job.spec.steps.get(step.step as usize));
        if spec.is_some_and(|spec| spec.gang) && held > known.held {
            known.held = held;
            return;
        }
        known.held = 0;
        known.unrewarded = known.unrewarded.saturating_add(1);
        let rest_ms = advise::rest_ms(known.unrewarded, took_ms);
        known.rest_until = now + rest_ms;
        if known.unrewarded > 1 {
            log::info!(
                "TG1624 job={} turn={} step={} rests: {} calls led to no start, tickets={held} rest_ms={rest_ms}",
                step.job,
                step.turn,
                step.step,
                known.unrewarded
            );
        }
    }

    /// Returns why no ticket can ever be used for a job of `queue`, none if one can.
    pub(super) fn unadvisable(&self, queue: &Queue, spec: &Spec) -> Option<&'static str> {
        let advice = queue.advice?;
        if !self.timing.advice {
            return Some("the queue needs advice, and the settings name no service for it");
        }
        if !is_usable(&advice) {
            return Some("the queue's advice expires before it can be used");
        }
        let reach = advise::reach(&advice, advice.valid_ms?);
        let exceeds = |step: &Step| {
            let need = step.need();
            let limit = upstream_limit(step);
            let listed = self.upstreams.values().filter(|upstream| upstream.listed);
            let each =
                listed.map(|upstream| Candidate::count(&upstream.listing.room, &need, limit));
            // Without upstreams nothing is known; other checks refuse the job then.
            let each = each.max().filter(|each| *each > 0);
            let needed = each.map(|each| as_usize(step.count.div_ceil(each)));
            step.gang && needed.is_some_and(|needed| needed > reach)
        };
        spec.steps
            .iter()
            .any(exceeds)
            .then_some("a gang needs advice on more upstreams than is valid at the same time")
    }
}

/// Logs the queues of a configuration whose tickets expire before they can be used.
pub(super) fn check_terms(config: &Config) {
    for queue in &config.queues {
        if let Some(advice) = queue.advice.filter(|advice| !is_usable(advice)) {
            log::warn!(
                "TG1625 queue={} config={} valid_ms={:?}: its tickets expire before they can be used, its jobs are refused and not asked about",
                queue.name,
                config.version,
                advice.valid_ms
            );
        }
    }
}

fn is_usable(advice: &Advice) -> bool {
    advice.valid_ms.is_none_or(advise::is_usable)
}

/// Returns how many tasks of a step an idle upstream runs, at least 1.
fn tasks_each(snapshot: &Snapshot, wait: &WaitingStep, step: &Step) -> usize {
    let need = step.need();
    let first = snapshot.candidates.iter().find(|candidate| {
        candidate.allows(&wait.queue.service, step) && need.fits(&candidate.room)
    });
    let count = |first: &Candidate| Candidate::count(&first.room, &need, upstream_limit(step));
    first.map_or(1, |first| as_usize(count(first)).max(1))
}

/// Returns the most tasks of a step that one upstream may run.
fn upstream_limit(step: &Step) -> u32 {
    match step.upstream_limit {
        0 => step.count,
        most => most.min(step.count),
    }
}

fn as_usize(number: u32) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
