//! Checks the gangs: the guarantees after every record, and the members on every worker.

use super::checkers::Finding;
use super::checkers::Promise;
use super::worker::FakeWorker;
use crate::model::Adjacency;
use crate::model::Shape;
use crate::platform::TaskState;
use crate::prelude::*;
use crate::records::Entry;
use crate::reducer::ledger::Applied;
use crate::reducer::ledger::Ledger;
use crate::reducer::ledger::gangs::Gang;
use crate::reducer::ledger::gangs::Phase;
use crate::reducer::ledger::gangs::stoppable;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The longest time for which a gang may run on only some of its workers, in milliseconds.
///
/// The sum of a lease, the time to detect the loss of its keeper, the longest fault and one second
/// of margin.
pub const PARTIAL_MS: u64 = 2_000 + 1_500 + 4_000 + 1_000;

/// A placement of a gang.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Placement {
    job: Name,
    token: Offset,
}

/// The checker of gangs.
#[derive(Debug, Clone, Default)]
pub struct GangChecker {
    /// Whether some gang with several workers ran on all of them.
    pub whole: bool,
    /// Whether a guarantee was checked while work that cannot be stopped held accelerators.
    pub guarantee_tested: bool,
    /// The longest time for which a gang ran in part, in milliseconds.
    pub partial_ms: u64,
    /// The longest time from a reclaim to the return of the accelerators, in milliseconds.
    pub reclaim_ms: u64,
    needed: BTreeMap<Placement, BTreeSet<Name>>,
    prepared: BTreeMap<Placement, BTreeSet<Name>>,
    partial: BTreeMap<Placement, u64>,
    reclaims: BTreeMap<Name, u64>,
}

impl GangChecker {
    /// Checks the state after one more control record.
    pub fn check_record(
        &mut self,
        now_ms: u64,
        reference: &Ledger,
        applied: &Applied,
    ) -> Option<Finding> {
        for ruling in &applied.verdicts {
            if ruling.verdict.is_err() {
                continue;
            }
            match &ruling.entry {
                Entry::Place { job, slots, .. } => {
                    let workers = slots.iter().map(|slot| slot.worker.clone());
                    let placement = Placement {
                        job: job.clone(),
                        token: ruling.origin.offset,
                    };
                    self.needed.insert(placement, workers.collect());
                }
                Entry::Reclaim { job, .. } => {
                    self.reclaims.insert(job.clone(), now_ms);
                }
                _ => {}
            }
        }
        self.end_reclaims(now_ms, reference);
        let mut gangs = reference.gangs.all.values();
        self.guarantee_tested = gangs.any(|gang| unstoppable(reference, gang));
        let missing = missing_shape(reference)?;
        Some(Finding::new(Promise::Guarantee, missing))
    }

    /// Records which tasks a worker holds, and so has prepared.
    pub fn record_prepared(&mut self, worker: &FakeWorker) {
        for task in &worker.tasks {
            let placement = Placement {
                job: task.wanted.job.clone(),
                token: task.wanted.token,
            };
            let set = self.prepared.entry(placement).or_default();
            set.insert(worker.name.clone());
        }
    }

    /// Checks the running members on all workers.
    pub fn check_workers(&mut self, now_ms: u64, workers: &[FakeWorker]) -> Vec<Finding> {
        let mut running: BTreeMap<Placement, BTreeSet<Name>> = BTreeMap::new();
        let mut done: BTreeMap<Placement, BTreeSet<Name>> = BTreeMap::new();
        for worker in workers {
            for task in &worker.tasks {
                let placement = Placement {
                    job: task.wanted.job.clone(),
                    token: task.wanted.token,
                };
                let set = match task.state {
                    TaskState::Running if now_ms >= worker.frozen_ms => &mut running,
                    TaskState::Done => &mut done,
                    _ => continue,
                };
                set.entry(placement)
                    .or_default()
                    .insert(worker.name.clone());
            }
        }
        let mut findings = two_tokens(&running);
        self.partial
            .retain(|placement, _| running.contains_key(placement));
        for (placement, mut active) in running {
            active.extend(done.remove(&placement).unwrap_or_default());
            findings.extend(self.check_placement(now_ms, placement, &active));
        }
        findings
    }

    fn check_placement(
        &mut self,
        now_ms: u64,
        placement: Placement,
        active: &BTreeSet<Name>,
    ) -> Option<Finding> {
        let Some(needed) = self.needed.get(&placement) else {
            let text = format!(
                "{} runs under a token that was never in force",
                placement.job
            );
            return Some(Finding::new(Promise::WholeGang, text));
        };
        if self.prepared.get(&placement) != Some(needed) {
            let text = format!(
                "{} runs before all of its workers prepared it",
                placement.job
            );
            return Some(Finding::new(Promise::WholeGang, text));
        }
        if active == needed {
            self.whole |= needed.len() > 1;
            self.partial.remove(&placement);
            return None;
        }
        let job = placement.job.clone();
        let since_ms = *self.partial.entry(placement).or_insert(now_ms);
        let duration_ms = now_ms - since_ms;
        self.partial_ms = self.partial_ms.max(duration_ms);
        if duration_ms <= PARTIAL_MS {
            return None;
        }
        let text = format!("{job} runs in part for more than {PARTIAL_MS} ms");
        Some(Finding::new(Promise::WholeGang, text))
    }

    fn end_reclaims(&mut self, now_ms: u64, reference: &Ledger) {
        let all = &reference.gangs.all;
        let longest = &mut self.reclaim_ms;
        self.reclaims.retain(|job, at_ms| {
            let stops = all
                .get(job)
                .is_some_and(|gang| matches!(gang.phase, Phase::Stopping(_)));
            if !stops {
                *longest = (*longest).max(now_ms - *at_ms);
            }
            stops
        });
    }
}

fn two_tokens(running: &BTreeMap<Placement, BTreeSet<Name>>) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut last: Option<&Placement> = None;
    for placement in running.keys() {
        if last.is_some_and(|last| last.job == placement.job) {
            let text = format!("{} runs under two tokens at once", placement.job);
            findings.push(Finding::new(Promise::WholeGang, text));
        }
        last = Some(placement);
    }
    findings
}

/// Returns whether a gang holds accelerators that cannot be reclaimed by stopping it.
fn unstoppable(ledger: &Ledger, gang: &Gang) -> bool {
    gang.holds_slots() && gang.started && !stoppable(ledger.catalog.kind(&gang.job.kind))
}

/// Describes the guaranteed shapes if they do not all fit once all stoppable work is stopped.
///
/// An oracle for small fleets that shares no code with the policy. It tries every group for each
/// shape, those with the closest adjacency first, as a wider shape can use what they leave free.
pub fn missing_shape(ledger: &Ledger) -> Option<String> {
    let mut room: BTreeMap<Name, u32> = BTreeMap::new();
    for (name, host) in &ledger.fleet.hosts {
        let gangs = ledger
            .gangs
            .all
            .values()
            .filter(|gang| unstoppable(ledger, gang));
        let slots = gangs.flat_map(|gang| &gang.slots);
        let held = slots.filter(|slot| slot.worker == *name);
        let mask = held.fold(0, |mask, slot| mask | slot.mask);
        let free = host.accelerators.saturating_sub(mask.count_ones());
        room.insert(name.clone(), free);
    }
    let mut shapes: Vec<Shape> = Vec::new();
    for held in ledger.catalog.workspaces.values() {
        for one in &held.value.guarantees {
            shapes.extend(std::iter::repeat_n(one.shape, one.count as usize));
        }
    }
    shapes.sort_by_key(|shape| shape.adjacency);
    match assign(ledger, &room, &shapes) {
        true => None,
        false => Some(format!("no room for {shapes:?} by stops, only {room:?}")),
    }
}

fn assign(ledger: &Ledger, room: &BTreeMap<Name, u32>, shapes: &[Shape]) -> bool {
    let Some((shape, rest)) = shapes.split_first() else {
        return true;
    };
    let mut groups: BTreeMap<Name, Vec<&Name>> = BTreeMap::new();
    for (name, host) in &ledger.fleet.hosts {
        let group = match shape.adjacency {
            Adjacency::Worker => name.clone(),
            Adjacency::Rack => host.rack.clone(),
            Adjacency::Centre => host.centre.clone(),
            Adjacency::Any => "".into(),
        };
        groups.entry(group).or_default().push(name);
    }
    groups.values().any(|group| {
        let mut room = room.clone();
        let mut need = shape.accelerators;
        for name in group {
            if let Some(free) = room.get_mut(*name) {
                let part = need.min(*free);
                *free -= part;
                need -= part;
            }
        }
        need == 0 && assign(ledger, &room, rest)
    })
}
