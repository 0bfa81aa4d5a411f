//! Packing: chooses the slots of a gang so that whole workers and whole racks stay free.

use super::capacity::Capacity;
use super::capacity::Resources;
use super::capacity::WorkerCapacity;
use crate::model::Adjacency;
use crate::model::Job;
use crate::prelude::*;
use crate::records::Slot;
use std::collections::BTreeMap;

/// The inputs of one packing attempt.
pub struct Search<'a> {
    /// The gang.
    pub job: &'a Job,
    /// Returns the resources of a worker that the gang may use.
    pub available: &'a dyn Fn(usize, &WorkerCapacity<'_>) -> Resources,
    /// Returns whether the gang should not use a worker.
    pub avoid: &'a dyn Fn(&Name) -> bool,
}

/// A domain that can hold the whole gang.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Indices of its workers, in the order in which they are filled.
    pub workers: Vec<usize>,
    /// The sort key; the lowest is the best fit.
    order: (u64, u64),
}

/// Returns the domains that can hold a gang, the best fit first.
pub fn choices(capacity: &Capacity<'_>, search: &Search<'_>) -> Vec<Choice> {
    let job = search.job;
    let racks = free_by_rack(capacity);
    let groups = capacity.groups(job.adjacency);
    let mut found: Vec<Choice> = groups
        .into_iter()
        .filter_map(|group| choice(capacity, search, &racks, group))
        .collect();
    found.sort_by_key(|choice| choice.order);
    found
}

/// Assigns a slot in a domain to each member, if all of them fit.
pub fn fill(capacity: &Capacity<'_>, search: &Search<'_>, choice: &Choice) -> Option<Vec<Slot>> {
    let job = search.job;
    let mut slots = Vec::with_capacity(job.members as usize);
    for i in &choice.workers {
        let worker = &capacity.workers[*i];
        let available = (search.available)(*i, worker);
        let mut mask = available.mask;
        for _ in 0..available.room(job) {
            if slots.len() == job.members as usize {
                return Some(slots);
            }
            let part = lowest_bits(mask, job.accelerators);
            mask &= !part;
            slots.push(Slot {
                worker: worker.name.clone(),
                mask: part,
            });
        }
    }
    (slots.len() == job.members as usize).then_some(slots)
}

/// Returns the lowest `count` bits that are set in `free`.
pub fn lowest_bits(free: u64, count: u32) -> u64 {
    let mut left = free;
    let mut mask = 0;
    for _ in 0..count {
        let bit = left & left.wrapping_neg();
        mask |= bit;
        left &= !bit;
    }
    mask
}

fn choice(
    capacity: &Capacity<'_>,
    search: &Search<'_>,
    racks: &BTreeMap<&Name, u64>,
    group: Vec<usize>,
) -> Option<Choice> {
    let job = search.job;
    let mut room = 0_u64;
    let mut left = 0_u64;
    let mut sorted = Vec::new();
    for i in group {
        let worker = &capacity.workers[i];
        if (search.avoid)(worker.name) {
            continue;
        }
        let available = (search.available)(i, worker);
        let fitting = available.room(job);
        if fitting == 0 {
            continue;
        }
        room += u64::from(fitting);
        left += u64::from(available.mask.count_ones());
        let rack_free = racks.get(&worker.host.rack).copied().unwrap_or(0);
        sorted.push((rack_free, available.mask.count_ones(), i));
    }
    if room < u64::from(job.members) {
        return None;
    }
    sorted.sort_unstable();
    let left = left.saturating_sub(u64::from(job.members) * u64::from(job.accelerators));
    let rack_free = sorted.first().map_or(0, |first| first.0);
    Some(Choice {
        workers: sorted.into_iter().map(|(_, _, i)| i).collect(),
        order: match job.adjacency {
            Adjacency::Worker => (rack_free, left),
            _ => (left, rack_free),
        },
    })
}

fn free_by_rack<'a>(capacity: &Capacity<'a>) -> BTreeMap<&'a Name, u64> {
    let mut racks = BTreeMap::new();
    for worker in &capacity.workers {
        let free = u64::from(worker.free.mask.count_ones());
        *racks.entry(&worker.host.rack).or_insert(0) += free;
    }
    racks
}

/// Returns whether a shape fits on the accelerators that are free now.
pub fn shape_fits(capacity: &Capacity<'_>, accelerators: u32, adjacency: Adjacency) -> bool {
    let groups = capacity.groups(adjacency);
    groups.iter().any(|group| {
        let free = group
            .iter()
            .map(|i| capacity.workers[*i].free.mask.count_ones());
        free.sum::<u32>() >= accelerators
    })
}
