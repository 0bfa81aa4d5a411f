//! Watches the gangs: guarantees after every record, and members on every worker.

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

/// The longest time for which a gang may run on some of its workers only, in milliseconds.
///
/// A lease, the time to miss its keeper, the longest fault and a second more.
pub const PARTIAL_MS: u64 = 2_000 + 1_500 + 4_000 + 1_000;

/// A placement of a gang.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Placed {
    job: Name,
    token: Offset,
}

/// What was seen of the gangs.
#[derive(Debug, Clone, Default)]
pub struct GangWatch {
    /// Whether some gang ran on all of its workers.
    pub whole: bool,
    /// Whether a guarantee was checked while work that cannot be stopped held accelerators.
    pub guarded: bool,
    /// The longest time for which a gang ran in part, in milliseconds.
    pub partial_ms: u64,
    /// The longest time from a reclaim to the return of the accelerators, in milliseconds.
    pub reclaim_ms: u64,
    needed: BTreeMap<Placed, BTreeSet<Name>>,
    prepared: BTreeMap<Placed, BTreeSet<Name>>,
    partial: BTreeMap<Placed, u64>,
    reclaims: BTreeMap<Name, u64>,
}

impl GangWatch {
    /// Takes in one more control record.
    pub fn appended(&mut self, now_ms: u64, truth: &Ledger, applied: &Applied) -> Option<Finding> {
        for ruling in &applied.verdicts {
            if ruling.verdict.is_err() {
                continue;
            }
            match &ruling.entry {
                Entry::Place { job, slots, .. } => {
                    let workers = slots.iter().map(|slot| slot.worker.clone());
                    let placed = Placed {
                        job: job.clone(),
                        token: ruling.origin.offset,
                    };
                    self.needed.insert(placed, workers.collect());
                }
                Entry::Reclaim { job, .. } => {
                    self.reclaims.insert(job.clone(), now_ms);
                }
                _ => {}
            }
        }
        self.end_reclaims(now_ms, truth);
        let mut gangs = truth.gangs.all.values();
        self.guarded = gangs.any(|gang| stiff(truth, gang));
        let lacking = lacking_shape(truth)?;
        Some(Finding::new(Promise::Guarantee, lacking))
    }

    /// Notes what a worker has prepared, or had prepared before.
    pub fn synced(&mut self, worker: &FakeWorker) {
        for task in &worker.tasks {
            let placed = Placed {
                job: task.wanted.job.clone(),
                token: task.wanted.token,
            };
            let set = self.prepared.entry(placed).or_default();
            set.insert(worker.name.clone());
        }
    }

    /// Looks at all workers at once.
    pub fn watch(&mut self, now_ms: u64, workers: &[FakeWorker]) -> Vec<Finding> {
        let mut running: BTreeMap<Placed, BTreeSet<Name>> = BTreeMap::new();
        let mut ended: BTreeMap<Placed, BTreeSet<Name>> = BTreeMap::new();
        for worker in workers {
            for task in &worker.tasks {
                let placed = Placed {
                    job: task.wanted.job.clone(),
                    token: task.wanted.token,
                };
                let set = match task.state {
                    TaskState::Running if now_ms >= worker.frozen_ms => &mut running,
                    TaskState::Done => &mut ended,
                    _ => continue,
                };
                set.entry(placed).or_default().insert(worker.name.clone());
            }
        }
        let mut findings = two_tokens(&running);
        self.partial
            .retain(|placed, _| running.contains_key(placed));
        for (placed, mut on) in running {
            on.extend(ended.remove(&placed).unwrap_or_default());
            findings.extend(self.judge(now_ms, placed, &on));
        }
        findings
    }

    fn judge(&mut self, now_ms: u64, placed: Placed, on: &BTreeSet<Name>) -> Option<Finding> {
        let Some(needed) = self.needed.get(&placed) else {
            let text = format!("{} runs under a token that was never in force", placed.job);
            return Some(Finding::new(Promise::WholeGang, text));
        };
        if self.prepared.get(&placed) != Some(needed) {
            let text = format!("{} runs before all of its workers prepared it", placed.job);
            return Some(Finding::new(Promise::WholeGang, text));
        }
        if on == needed {
            self.whole |= needed.len() > 1;
            self.partial.remove(&placed);
            return None;
        }
        let job = placed.job.clone();
        let since_ms = *self.partial.entry(placed).or_insert(now_ms);
        let lasts_ms = now_ms - since_ms;
        self.partial_ms = self.partial_ms.max(lasts_ms);
        if lasts_ms <= PARTIAL_MS {
            return None;
        }
        let text = format!("{job} runs in part for more than {PARTIAL_MS} ms");
        Some(Finding::new(Promise::WholeGang, text))
    }

    fn end_reclaims(&mut self, now_ms: u64, truth: &Ledger) {
        let all = &truth.gangs.all;
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

fn two_tokens(running: &BTreeMap<Placed, BTreeSet<Name>>) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut last: Option<&Placed> = None;
    for placed in running.keys() {
        if last.is_some_and(|last| last.job == placed.job) {
            let text = format!("{} runs under two tokens at once", placed.job);
            findings.push(Finding::new(Promise::WholeGang, text));
        }
        last = Some(placed);
    }
    findings
}

/// Tells whether a gang holds accelerators that cannot be had back by a stop.
fn stiff(ledger: &Ledger, gang: &Gang) -> bool {
    gang.holds_slots() && gang.started && !stoppable(ledger.catalog.kind(&gang.job.kind))
}

/// Names a guaranteed shape that could not be had by stopping what may be stopped.
///
/// An oracle for small fleets that shares no code with the policy: it tries every group for each
/// shape, the closest shapes first, whose members no wider shape can do without.
pub fn lacking_shape(ledger: &Ledger) -> Option<String> {
    let mut room: BTreeMap<Name, u32> = BTreeMap::new();
    for (name, host) in &ledger.fleet.hosts {
        let gangs = ledger.gangs.all.values().filter(|gang| stiff(ledger, gang));
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
