//! Preemption: selects the cheapest work whose stop frees places for a gang.

use super::model::Need;
use super::place::Racks;
use super::place::Spot;
use super::place::Wish;
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

/// Work that may be stopped, by the spots that it uses.
#[derive(Debug, Clone, Default)]
pub(super) struct Victims {
    /// All of it; what was chosen before stays, marked in `gone`.
    pub(super) all: Vec<Victim>,
    gone: Vec<bool>,
    by_spot: HashMap<usize, Vec<usize>>,
}

impl Victims {
    /// Indexes work that may be stopped.
    pub(super) fn new(all: Vec<Victim>) -> Self {
        let mut by_spot = HashMap::<usize, Vec<usize>>::new();
        for (index, victim) in all.iter().enumerate() {
            for (at, _) in &victim.frees {
                by_spot.entry(*at).or_default().push(index);
            }
        }
        Self {
            gone: vec![false; all.len()],
            all,
            by_spot,
        }
    }

    /// Marks work as chosen.
    pub(super) fn take(&mut self, index: usize) {
        self.gone[index] = true;
    }

    /// Lists the work in a cell, the least waste for an accelerator first.
    fn order(&self, cell: &[usize], urgent: bool) -> Vec<usize> {
        let mut gains = HashMap::<usize, u64>::new();
        for at in cell {
            for &index in self.by_spot.get(at).into_iter().flatten() {
                let victim = &self.all[index];
                if self.gone[index] || victim.urgent && !urgent {
                    continue;
                }
                let here = victim.frees.iter().filter(|(spot, _)| spot == at);
                let gain: u64 = here.map(|(_, need)| need.accelerators.max(1)).sum();
                *gains.entry(index).or_insert(0) += gain;
            }
        }
        let mut order: Vec<(f64, usize)> = gains
            .into_iter()
            .map(|(index, gain)| {
                let gain = u32::try_from(gain).unwrap_or(u32::MAX).max(1);
                (self.all[index].waste / f64::from(gain), index)
            })
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        order.into_iter().map(|(_, index)| index).collect()
    }
}

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub(super) struct Request<'a> {
    /// Where the tasks may go.
    pub(super) wish: &'a Wish<'a>,
    /// Number of tasks.
    pub(super) count: u32,
    /// Whether urgent work may be stopped.
    pub(super) urgent: bool,
}

/// Finds the cell in which the least work is wasted to make room; `ending` is what each spot gets
/// back by stops under way.
pub(super) fn find(
    spots: &[Spot],
    racks: &Racks,
    ending: &HashMap<usize, Need>,
    victims: &Victims,
    request: &Request<'_>,
) -> Option<Eviction> {
    let options = racks.cells(spots, request.wish).into_iter();
    options
        .filter_map(|cell| in_cell(spots, ending, victims, request, &cell))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, eviction)| eviction)
}

/// Victims up to which each is tried without in turn; more are only needed for very large gangs.
const MAX_TRIED: usize = 24;

fn in_cell(
    spots: &[Spot],
    ending: &HashMap<usize, Need>,
    victims: &Victims,
    request: &Request<'_>,
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
    let place = |free: &HashMap<usize, Need>| {
        fill(cell, request.wish, request.count, |at| {
            free.get(&at).copied()
        })
    };
    let mut chosen = Vec::new();
    let mut found = place(&free);
    let mut batch = 1;
    let order = victims.order(cell, request.urgent);
    let mut rest = order.as_slice();
    while found.is_none() && !rest.is_empty() {
        let (next, later) = rest.split_at(batch.min(rest.len()));
        for &index in next {
            give(&mut free, &victims.all[index]);
            chosen.push(index);
        }
        rest = later;
        found = place(&free);
        // Many victims are needed where a cell is large: look less often.
        batch = (chosen.len() / 8).max(1);
    }
    let mut found = found?;
    // The cheap ones that were taken first may not be needed any more.
    if chosen.len() <= MAX_TRIED {
        for index in chosen.clone() {
            let mut less = free.clone();
            withhold(&mut less, &victims.all[index]);
            if let Some(still) = place(&less) {
                free = less;
                found = still;
                chosen.retain(|other| *other != index);
            }
        }
    }
    let waste = chosen.iter().map(|&index| victims.all[index].waste).sum();
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
