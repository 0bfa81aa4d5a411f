//! Packing: the slots that a gang gets, so that whole workers and whole racks stay open.

use super::capacity::Capacity;
use super::capacity::Resources;
use super::capacity::WorkerCapacity;
use crate::model::Adjacency;
use crate::model::Job;
use crate::prelude::*;
use crate::records::Slot;
use std::collections::BTreeMap;

/// How one try of packing looks at the workers.
pub struct Search<'a> {
    /// The gang.
    pub job: &'a Job,
    /// What a worker can give to it.
    pub rest: &'a dyn Fn(usize, &WorkerCapacity<'_>) -> Resources,
    /// The workers that it should not use.
    pub avoid: &'a dyn Fn(&Name) -> bool,
}

/// A domain that can take the whole gang.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The workers, in the order in which they are filled.
    pub spots: Vec<usize>,
    order: (u64, u64),
}

/// Returns the domains that can take a gang, the best first.
pub fn choices(board: &Capacity<'_>, search: &Search<'_>) -> Vec<Choice> {
    let job = search.job;
    let racks = rack_rests(board);
    let groups = board.groups(job.adjacency);
    let mut found: Vec<Choice> = groups
        .into_iter()
        .filter_map(|group| choice(board, search, &racks, group))
        .collect();
    found.sort_by_key(|choice| choice.order);
    found
}

/// Fills a domain: a slot for each member.
pub fn fill(board: &Capacity<'_>, search: &Search<'_>, choice: &Choice) -> Option<Vec<Slot>> {
    let job = search.job;
    let mut slots = Vec::with_capacity(job.members as usize);
    for i in &choice.spots {
        let spot = &board.workers[*i];
        let rest = (search.rest)(*i, spot);
        let mut mask = rest.mask;
        for _ in 0..rest.room(job) {
            if slots.len() == job.members as usize {
                return Some(slots);
            }
            let part = lowest_bits(mask, job.accelerators);
            mask &= !part;
            slots.push(Slot {
                worker: spot.name.clone(),
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
    board: &Capacity<'_>,
    search: &Search<'_>,
    racks: &BTreeMap<&Name, u64>,
    group: Vec<usize>,
) -> Option<Choice> {
    let job = search.job;
    let mut room = 0_u64;
    let mut left = 0_u64;
    let mut keyed = Vec::new();
    for i in group {
        let spot = &board.workers[i];
        if (search.avoid)(spot.name) {
            continue;
        }
        let rest = (search.rest)(i, spot);
        let here = rest.room(job);
        if here == 0 {
            continue;
        }
        room += u64::from(here);
        left += u64::from(rest.mask.count_ones());
        let in_rack = racks.get(&spot.host.rack).copied().unwrap_or(0);
        keyed.push((in_rack, rest.mask.count_ones(), i));
    }
    if room < u64::from(job.members) {
        return None;
    }
    keyed.sort_unstable();
    let left = left.saturating_sub(u64::from(job.members) * u64::from(job.accelerators));
    let in_rack = keyed.first().map_or(0, |first| first.0);
    Some(Choice {
        spots: keyed.into_iter().map(|(_, _, i)| i).collect(),
        order: match job.adjacency {
            Adjacency::Worker => (in_rack, left),
            _ => (left, in_rack),
        },
    })
}

fn rack_rests<'a>(board: &Capacity<'a>) -> BTreeMap<&'a Name, u64> {
    let mut racks = BTreeMap::new();
    for spot in &board.workers {
        let free = u64::from(spot.free.mask.count_ones());
        *racks.entry(&spot.host.rack).or_insert(0) += free;
    }
    racks
}

/// Tells whether a shape fits on accelerators that are free now.
pub fn shape_fits(board: &Capacity<'_>, accelerators: u32, adjacency: Adjacency) -> bool {
    let groups = board.groups(adjacency);
    groups.iter().any(|group| {
        let free = group
            .iter()
            .map(|i| board.workers[*i].free.mask.count_ones());
        free.sum::<u32>() >= accelerators
    })
}
