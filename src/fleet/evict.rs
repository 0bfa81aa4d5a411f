//! Preemption: finds the cheapest set of work whose stop makes room for a gang.
//!
//! The load it answers: urgent gangs that come while everything is in use. What is stopped unsaved
//! is done again later, so each accelerator-second that a better choice saves is served to others.

use super::model::ResourceAmounts;
use super::place::Racks;
use super::place::Spot;
use super::place::Wish;
use super::place::fill;
use super::victims::Victim;
use super::victims::Victims;
use std::collections::HashMap;

/// What is to be stopped, and where the gang goes then.
#[derive(Debug, Clone)]
pub(super) struct Eviction {
    /// Positions in the list of victims.
    pub(super) victims: Vec<usize>,
    /// The spot of each member.
    pub(super) spots: Vec<usize>,
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

/// What each spot of a cell has free.
type Rooms = HashMap<usize, ResourceAmounts>;

/// Victims up to which each is tried without in turn; more are only needed for very large gangs.
const MAX_TRIED: usize = 24;
/// Members times spots up to which a gang is placed member by member: the search looks at every
/// spot for every member.
const MAX_LOOKS: usize = 4_096;

/// Finds the cell in which the least work is wasted to make room; `ending` is what each spot gets
/// back by stops under way.
pub(super) fn find(
    spots: &[Spot],
    racks: &Racks,
    ending: &HashMap<usize, ResourceAmounts>,
    victims: &Victims,
    request: &Request<'_>,
) -> Option<Eviction> {
    let ends = ending.iter().map(|(at, need)| (*at, *need));
    let room = racks.with(ends.chain(victims.gains(request.urgent)));
    let options = racks
        .cells(spots, request.wish, request.count, |rack| room[rack])
        .into_iter();
    options
        .flat_map(|cell| {
            let rooms = rooms(spots, ending, &cell);
            let looks = cell.len().saturating_mul(request.count as usize);
            let members =
                (looks <= MAX_LOOKS).then(|| by_member(victims, request, &cell, rooms.clone()));
            [
                by_waste(spots, victims, request, &cell, rooms),
                members.flatten(),
            ]
        })
        .flatten()
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, eviction)| eviction)
}

fn rooms(spots: &[Spot], ending: &HashMap<usize, ResourceAmounts>, cell: &[usize]) -> Rooms {
    let mut rooms = Rooms::new();
    for &index in cell {
        let Some(spot) = spots.get(index).filter(|spot| spot.open) else {
            continue;
        };
        let mut room = spot.free;
        if let Some(more) = ending.get(&index) {
            room.add(more);
        }
        rooms.insert(index, room);
    }
    rooms
}

/// Stops the cheapest work of the cell until the gang fits: finds room that many stops make
/// together.
fn by_waste(
    spots: &[Spot],
    victims: &Victims,
    request: &Request<'_>,
    cell: &[usize],
    mut rooms: Rooms,
) -> Option<(f64, Eviction)> {
    let place = |rooms: &Rooms| {
        fill(spots, cell, request.wish, request.count, |at| {
            rooms.get(&at).copied()
        })
    };
    let mut chosen = Vec::new();
    let mut found = place(&rooms);
    let mut batch = 1;
    let order = victims.order(cell, request.urgent);
    let mut rest = order.as_slice();
    while found.is_none() && !rest.is_empty() {
        let (next, later) = rest.split_at(batch.min(rest.len()));
        for &index in next {
            if victims.may_go(index, &chosen, request.urgent) {
                give(&mut rooms, &victims.all[index]);
                chosen.push(index);
            }
        }
        rest = later;
        found = place(&rooms);
        // Many victims are needed where a cell is large: look less often.
        batch = (chosen.len() / 8).max(1);
    }
    let mut found = found?;
    // The cheap ones that were taken first may not be needed any more.
    if chosen.len() <= MAX_TRIED {
        for index in chosen.clone() {
            let mut less = rooms.clone();
            withhold(&mut less, &victims.all[index]);
            if let Some(still) = place(&less) {
                rooms = less;
                found = still;
                chosen.retain(|other| *other != index);
            }
        }
    }
    Some(total(victims, chosen, found))
}

/// Places one member after the other, each where the least more must be stopped: finds spots that
/// are cheap to clear among spots that are not.
fn by_member(
    victims: &Victims,
    request: &Request<'_>,
    cell: &[usize],
    mut rooms: Rooms,
) -> Option<(f64, Eviction)> {
    let need = request.wish.step.need();
    let mut members: HashMap<usize, u32> = HashMap::new();
    let work: HashMap<usize, Vec<(usize, ResourceAmounts)>> =
        rooms.keys().map(|&at| (at, victims.on(at))).collect();
    let mut chosen = Vec::new();
    let mut found = Vec::with_capacity(request.count as usize);
    for _ in 0..request.count {
        let spread = request.wish.spread();
        let open = cell
            .iter()
            .filter(|at| members.get(*at).is_none_or(|here| *here < spread));
        let options = open.filter_map(|&at| {
            let room = rooms.get(&at)?;
            let (waste, stops) = clear(victims, request, &chosen, work.get(&at)?, *room)?;
            Some((waste, room.accelerators, at, stops))
        });
        let (_, _, at, stops) = options.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))?;
        for index in stops {
            give(&mut rooms, &victims.all[index]);
            chosen.push(index);
        }
        if let Some(room) = rooms.get_mut(&at) {
            room.sub(&need);
        }
        *members.entry(at).or_default() += 1;
        found.push(at);
    }
    Some(total(victims, chosen, found))
}

/// Returns the cheapest of the `work` on a spot whose stop, beside `chosen`, lets one more task in.
fn clear(
    victims: &Victims,
    request: &Request<'_>,
    chosen: &[usize],
    work: &[(usize, ResourceAmounts)],
    mut room: ResourceAmounts,
) -> Option<(f64, Vec<usize>)> {
    let need = request.wish.step.need();
    let mut all = chosen.to_vec();
    let mut stops: Vec<(usize, ResourceAmounts)> = Vec::new();
    let mut rest = work.iter();
    while !need.fits(&room) {
        let &(index, gain) = rest.next()?;
        if victims.may_go(index, &all, request.urgent) {
            room.add(&gain);
            all.push(index);
            stops.push((index, gain));
        }
    }
    for (index, gain) in stops.clone() {
        let mut less = room;
        less.sub(&gain);
        if need.fits(&less) {
            room = less;
            stops.retain(|(other, _)| *other != index);
        }
    }
    let stops: Vec<usize> = stops.into_iter().map(|(index, _)| index).collect();
    Some((waste(victims, &stops), stops))
}

fn waste(victims: &Victims, chosen: &[usize]) -> f64 {
    chosen.iter().map(|&index| victims.all[index].waste).sum()
}

fn total(victims: &Victims, chosen: Vec<usize>, found: Vec<usize>) -> (f64, Eviction) {
    let waste = waste(victims, &chosen);
    let eviction = Eviction {
        victims: chosen,
        spots: found,
    };
    (waste, eviction)
}

fn give(rooms: &mut Rooms, victim: &Victim) {
    for (at, need) in &victim.frees {
        if let Some(room) = rooms.get_mut(at) {
            room.add(need);
        }
    }
}

fn withhold(rooms: &mut Rooms, victim: &Victim) {
    for (at, need) in &victim.frees {
        if let Some(room) = rooms.get_mut(at) {
            room.sub(need);
        }
    }
}
