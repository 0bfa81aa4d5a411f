//! Preemption: selects the cheapest work whose stop frees places for a gang.

use super::model::Need;
use super::place::Spot;
use super::place::Wish;
use super::place::cells;
use super::place::fill;
use crate::prelude::*;
use std::collections::HashMap;

/// Work that is stopped together: a gang or a single run.
#[derive(Debug, Clone)]
pub(super) struct Victim {
    /// The job.
    pub(super) job: Name,
    /// One of its runs; stopping it stops the rest.
    pub(super) place: super::task::Place,
    /// Whether it is urgent itself, beyond its workspace's guarantee.
    pub(super) urgent: bool,
    /// What stopping it wastes, in core-seconds.
    pub(super) waste: f64,
    /// What each spot gets back.
    pub(super) frees: Vec<(usize, Need)>,
}

/// What is to be stopped, and where the gang goes then.
#[derive(Debug, Clone)]
pub(super) struct Eviction {
    /// Positions in the list of victims.
    pub(super) victims: Vec<usize>,
    /// The spot of each member.
    pub(super) spots: Vec<usize>,
}

/// Finds the cell in which the least work is wasted to make room for `count` tasks; `ending` is
/// what each spot gets back by stops under way, and `urgent` tells whether urgent work may be stopped.
pub(super) fn find(
    spots: &[Spot],
    ending: &HashMap<usize, Need>,
    victims: &[Victim],
    wish: &Wish<'_>,
    count: u32,
    urgent: bool,
) -> Option<Eviction> {
    let options = cells(spots, wish).into_iter();
    options
        .filter_map(|cell| in_cell(spots, ending, victims, wish, count, urgent, &cell))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, eviction)| eviction)
}

fn in_cell(
    spots: &[Spot],
    ending: &HashMap<usize, Need>,
    victims: &[Victim],
    wish: &Wish<'_>,
    count: u32,
    urgent: bool,
    cell: &[usize],
) -> Option<(f64, Eviction)> {
    let mut free: HashMap<usize, Need> = HashMap::new();
    for &index in cell {
        let spot = spots.get(index).filter(|spot| spot.open);
        let Some(spot) = spot else { continue };
        let mut room = spot.free;
        if let Some(more) = ending.get(&index) {
            room.add(more);
        }
        free.insert(index, room);
    }
    let place = |free: &HashMap<usize, Need>| fill(cell, wish, count, |at| free.get(&at).copied());
    let mut order: Vec<(f64, usize)> = victims
        .iter()
        .enumerate()
        .filter(|(_, victim)| urgent || !victim.urgent)
        .filter_map(|(index, victim)| {
            let here = victim.frees.iter().filter(|(at, _)| free.contains_key(at));
            let gain: u64 = here.map(|(_, need)| need.accelerators.max(1)).sum();
            let gain = u32::try_from(gain).ok().filter(|gain| *gain > 0)?;
            Some((victim.waste / f64::from(gain), index))
        })
        .collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut chosen = Vec::new();
    let mut found = place(&free);
    for (_, index) in order {
        if found.is_some() {
            break;
        }
        give(&mut free, &victims[index]);
        chosen.push(index);
        found = place(&free);
    }
    let mut found = found?;
    // The cheap ones that were taken first may not be needed any more.
    for index in chosen.clone() {
        let mut less = free.clone();
        withhold(&mut less, &victims[index]);
        if let Some(still) = place(&less) {
            free = less;
            found = still;
            chosen.retain(|other| *other != index);
        }
    }
    let waste = chosen.iter().map(|&index| victims[index].waste).sum();
    Some((
        waste,
        Eviction {
            victims: chosen,
            spots: found,
        },
    ))
}

fn give(free: &mut HashMap<usize, Need>, victim: &Victim) {
    for (at, need) in &victim.frees {
        if let Some(room) = free.get_mut(at) {
            room.add(need);
        }
    }
}

fn withhold(free: &mut HashMap<usize, Need>, victim: &Victim) {
    for (at, need) in &victim.frees {
        if let Some(room) = free.get_mut(at) {
            room.sub(need);
        }
    }
}
