//! The measurements of a replay of gangs.

use super::Completion;
use super::Outcome;
use super::trace::Trace;
use super::trace::TraceJob;
use super::workers::Observations;
use crate::model::Job;
use crate::model::Priority;
use crate::model::Shape;
use crate::prelude::*;
use crate::records::Entry;
use crate::reducer::State;
use crate::reducer::ledger::Ledger;
use crate::reducer::ledger::gangs::Ending;
use crate::reducer::ledger::gangs::Phase;
use crate::reducer::ledger::gangs::stoppable;
use crate::reducer::plan::capacity::Capacity;
use crate::reducer::plan::guarantee;
use crate::reducer::plan::pack;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The time after a gang's start by which every member must run, in milliseconds.
const GANG_START_MS: u64 = 10_000;

/// A share averaged over time: the weighted part and the total weight.
#[derive(Debug, Clone, Copy, Default)]
struct TimeShare {
    part: f64,
    whole: f64,
}

impl TimeShare {
    fn add(&mut self, part: f64, whole: f64) {
        self.part += part;
        self.whole += whole;
    }

    fn value(self) -> Option<f64> {
        (self.whole > 0.0).then(|| (self.part / self.whole * 10_000.0).round() / 10_000.0)
    }
}

/// The measurements of one replay.
#[derive(Debug)]
pub struct Measures<'a> {
    jobs: BTreeMap<Name, &'a TraceJob>,
    completions: BTreeMap<Name, Vec<u64>>,
    ended: BTreeSet<Name>,
    fragmented: TimeShare,
    fit: TimeShare,
    held_ms: f64,
    useful_ms: f64,
    partial: BTreeSet<Offset>,
    breaches: u64,
    /// The submissions that were refused.
    pub refused: u64,
}

impl<'a> Measures<'a> {
    /// Creates empty measurements of a trace.
    pub fn new(trace: &'a Trace) -> Self {
        let jobs = trace.jobs.iter().map(|one| (one.job.id.clone(), one));
        Self {
            jobs: jobs.collect(),
            completions: BTreeMap::new(),
            ended: BTreeSet::new(),
            fragmented: TimeShare::default(),
            fit: TimeShare::default(),
            held_ms: 0.0,
            useful_ms: 0.0,
            partial: BTreeSet::new(),
            breaches: 0,
            refused: 0,
        }
    }

    /// Returns a gang of the trace.
    pub fn job(&self, id: &Name) -> Option<&'a TraceJob> {
        self.jobs.get(id).copied()
    }

    /// Records an entry of the log that was read at `now_ms`.
    pub fn record_entry(&mut self, ledger: &Ledger, entry: &Entry, now_ms: u64) {
        if matches!(entry, Entry::Place { .. }) && guarantee::verify(ledger).is_err() {
            self.breaches += 1;
        }
        let Entry::Member { job, .. } = entry else {
            return;
        };
        let Some(gang) = ledger.gangs.all.get(job) else {
            return;
        };
        if gang.phase != Phase::Ended(Ending::Done) || !self.ended.insert(job.clone()) {
            return;
        }
        if let Some(one) = self.jobs.get(job) {
            let took_ms = now_ms - one.at_ms;
            let kind = one.job.kind.clone();
            self.completions.entry(kind).or_default().push(took_ms);
            self.useful_ms += one.true_ms as f64 * guarantee::gang_accelerators(&one.job) as f64;
        }
    }

    /// Samples the state, which counts for `span_ms`.
    pub fn sample(&mut self, ledger: &Ledger, observed: &Observations, now_ms: u64, span_ms: u64) {
        let wall_ms = super::replay::START_MS + now_ms;
        let span = span_ms as f64;
        let capacity = Capacity::new(ledger, wall_ms);
        let held: u64 = ledger.gangs.held.values().sum();
        self.held_ms += held as f64 * span;
        let free: u32 = capacity
            .workers
            .iter()
            .map(|s| s.free.mask.count_ones())
            .sum();
        if free > 0 {
            let useful = usable_accelerators(ledger, &capacity);
            let share = f64::from(free.saturating_sub(useful)) / f64::from(free);
            self.fragmented.add(share * span, span);
        }
        for shape in shapes(ledger) {
            let fits = pack::shape_fits(&capacity, shape.accelerators, shape.adjacency);
            self.fit.add(f64::from(u8::from(fits)) * span, span);
        }
        for job in &ledger.gangs.holding {
            let Some(gang) = ledger.gangs.all.get(job) else {
                continue;
            };
            let started = observed.members.get(&gang.token).copied().unwrap_or(0);
            let late = wall_ms > gang.start_ms + GANG_START_MS;
            if gang.phase == Phase::Running && late && started < gang.job.members {
                self.partial.insert(gang.token);
            }
        }
        if guarantee::verify(ledger).is_err() {
            self.breaches += 1;
        }
    }

    /// Returns the outcome at the end of the replay.
    pub fn finish(&self, state: &State, observed: &Observations) -> Outcome {
        let ledger = &state.ledger;
        let mut outcome = Outcome {
            fragmentation: self.fragmented.value(),
            shape_fit: self.fit.value(),
            goodput: TimeShare {
                part: self.useful_ms,
                whole: self.held_ms,
            }
            .value(),
            refused: self.refused,
            partial: self.partial.len() as u64 + observed.unprepared,
            breaches: self.breaches,
            ..Outcome::default()
        };
        for (kind, samples_ms) in &self.completions {
            outcome.completions.push(Completion {
                kind: kind.clone(),
                gang: true,
                samples_ms: samples_ms.clone(),
            });
        }
        for (id, one) in &self.jobs {
            let kind = ledger.catalog.kind(&one.job.kind);
            let tokens = observed.tokens.get(id).map_or(0, BTreeSet::len);
            if !stoppable(kind) && tokens > 1 {
                outcome.doubled += 1;
            }
            let begun_ms = observed.begun_ms.get(id).copied();
            let urgent = kind.is_some_and(|kind| kind.priority == Priority::Urgent);
            if let (true, Some(ms)) = (urgent, begun_ms) {
                outcome.urgent_ms.push(ms.saturating_sub(one.at_ms));
            }
            outcome.lost += u64::from(lost(ledger, id, one));
        }
        outcome
    }
}

/// Returns whether a gang was accepted and got no final reply, or failed through no error of its
/// own although it could have been run again.
fn lost(ledger: &Ledger, id: &Name, one: &TraceJob) -> bool {
    let Some(gang) = ledger.gangs.all.get(id) else {
        return false;
    };
    match gang.phase {
        Phase::Ended(Ending::Failed(_)) => !one.faulty && !gang.firm,
        Phase::Ended(_) => false,
        _ => true,
    }
}

/// Returns the distinct guaranteed shapes.
fn shapes(ledger: &Ledger) -> BTreeSet<Shape> {
    let cells = ledger.gangs.standing.cells.values().flatten();
    cells.map(|cell| cell.shape).collect()
}

/// Returns the free accelerators that can serve the largest guaranteed or queued shape.
fn usable_accelerators(ledger: &Ledger, capacity: &Capacity<'_>) -> u32 {
    let guaranteed = shapes(ledger)
        .into_iter()
        .max_by_key(|one| one.accelerators);
    let waiting = ledger.gangs.queued.iter();
    let waiting = waiting.filter_map(|job| ledger.gangs.all.get(job));
    let waiting = waiting.map(|gang| &gang.job).max_by_key(|job| size(job));
    let guaranteed_size = guaranteed.map_or(0, |shape| shape.accelerators);
    if let Some(job) = waiting
        && size(job) > guaranteed_size
    {
        let groups = capacity.groups(job.adjacency).into_iter();
        let rooms = groups.map(|group| {
            let rooms = group.iter().map(|i| capacity.workers[*i].free.room(job));
            rooms.fold(0_u32, u32::saturating_add) / job.members
        });
        return rooms.sum::<u32>() * size(job);
    }
    let Some(shape) = guaranteed else {
        return 0;
    };
    let groups = capacity.groups(shape.adjacency).into_iter();
    let rooms = groups.map(|group| {
        let free = group
            .iter()
            .map(|i| capacity.workers[*i].free.mask.count_ones());
        free.sum::<u32>() / shape.accelerators
    });
    rooms.sum::<u32>() * shape.accelerators
}

fn size(job: &Job) -> u32 {
    job.members * job.accelerators
}
