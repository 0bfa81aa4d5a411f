//! Preemption: finds the cheapest set of work to stop so that a gang fits.
//!
//! Urgent gangs arrive while all accelerators are in use. Unsaved progress of stopped work has to
//! be done again, so each accelerator-second that a better choice saves is left for other work.

use super::place::Candidate;
use super::place::Constraints;
use super::place::Racks;
use super::place::fill;
use super::victims::Victim;
use super::victims::Victims;
use crate::fleet::model::ResourceAmounts;
use std::collections::HashMap;

/// The work to stop, and where the gang is placed then.
#[derive(Debug, Clone)]
pub(in crate::fleet) struct Eviction {
    /// Positions in the list of victims.
    pub(in crate::fleet) victims: Vec<usize>,
    /// The candidate of each member.
    pub(in crate::fleet) members: Vec<usize>,
}

/// The gang that needs room.
#[derive(Debug, Clone, Copy)]
pub(in crate::fleet) struct Request<'a> {
    /// The step, and where its tasks may run.
    pub(in crate::fleet) constraints: &'a Constraints<'a>,
    /// The number of tasks.
    pub(in crate::fleet) count: u32,
    /// Whether urgent work may be stopped.
    pub(in crate::fleet) urgent: bool,
}

/// The free resources of each candidate of a group.
type Rooms = HashMap<usize, ResourceAmounts>;

/// The most victims that are checked one by one for whether the gang fits without stopping them;
/// only very large gangs need more.
const MAX_PRUNED: usize = 24;
/// The most members times candidates for which a gang is placed member by member: that search tries
/// every candidate for every member.
const MAX_PAIRS: usize = 4_096;

/// Finds the group of candidates in which making room wastes the least work; `releasing` is what
/// stops in progress will release on each candidate.
pub(in crate::fleet) fn find(
    candidates: &[Candidate],
    racks: &Racks,
    releasing: &HashMap<usize, ResourceAmounts>,
    victims: &Victims,
    request: &Request<'_>,
) -> Option<Eviction> {
    let soon = releasing.iter().map(|(at, need)| (*at, *need));
    let room = racks.free_with(soon.chain(victims.gains(request.urgent)));
    let options = racks
        .groups(candidates, request.constraints, request.count, |rack| {
            room[rack]
        })
        .into_iter();
    options
        .flat_map(|group| {
            let rooms = rooms(candidates, releasing, &group);
            let pairs = group.len().saturating_mul(request.count as usize);
            let members =
                (pairs <= MAX_PAIRS).then(|| by_member(victims, request, &group, rooms.clone()));
            [
                by_waste(candidates, victims, request, &group, rooms),
                members.flatten(),
            ]
        })
        .flatten()
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, eviction)| eviction)
}

fn rooms(
    candidates: &[Candidate],
    releasing: &HashMap<usize, ResourceAmounts>,
    group: &[usize],
) -> Rooms {
    let mut rooms = Rooms::new();
    for &index in group {
        let Some(candidate) = candidates.get(index).filter(|candidate| candidate.open) else {
            continue;
        };
        let mut room = candidate.free;
        if let Some(more) = releasing.get(&index) {
            room.add(more);
        }
        rooms.insert(index, room);
    }
    rooms
}

/// Chooses the cheapest work of the group to stop until the gang fits: finds room that takes several
/// stops.
fn by_waste(
    candidates: &[Candidate],
    victims: &Victims,
    request: &Request<'_>,
    group: &[usize],
    mut rooms: Rooms,
) -> Option<(f64, Eviction)> {
    let place = |rooms: &Rooms| {
        fill(
            candidates,
            group,
            request.constraints,
            request.count,
            |at| rooms.get(&at).copied(),
        )
    };
    let mut chosen = Vec::new();
    let mut found = place(&rooms);
    let mut batch = 1;
    let order = victims.by_waste(group, request.urgent);
    let mut rest = order.as_slice();
    while found.is_none() && !rest.is_empty() {
        let (next, later) = rest.split_at(batch.min(rest.len()));
        for &index in next {
            if victims.can_stop(index, &chosen, request.urgent) {
                add_released(&mut rooms, &victims.all[index]);
                chosen.push(index);
            }
        }
        rest = later;
        found = place(&rooms);
        // Large groups need many victims: try to place the gang less often.
        batch = (chosen.len() / 8).max(1);
    }
    let mut found = found?;
    // Cheap victims that were chosen first may not be needed any more.
    if chosen.len() <= MAX_PRUNED {
        for index in chosen.clone() {
            let mut less = rooms.clone();
            sub_released(&mut less, &victims.all[index]);
            if let Some(fewer) = place(&less) {
                rooms = less;
                found = fewer;
                chosen.retain(|other| *other != index);
            }
        }
    }
    Some(eviction(victims, chosen, found))
}

/// Places the members one after the other, each where the least additional work must be stopped:
/// finds the candidates that are cheap to clear among those that are not.
fn by_member(
    victims: &Victims,
    request: &Request<'_>,
    group: &[usize],
    mut rooms: Rooms,
) -> Option<(f64, Eviction)> {
    let need = request.constraints.step.need();
    let mut members: HashMap<usize, u32> = HashMap::new();
    let work: HashMap<usize, Vec<(usize, ResourceAmounts)>> = rooms
        .keys()
        .map(|&at| (at, victims.on_candidate(at)))
        .collect();
    let mut chosen = Vec::new();
    let mut found = Vec::with_capacity(request.count as usize);
    for _ in 0..request.count {
        let upstream_limit = request.constraints.upstream_limit();
        let open = group
            .iter()
            .filter(|at| members.get(*at).is_none_or(|here| *here < upstream_limit));
        let options = open.filter_map(|&at| {
            let room = rooms.get(&at)?;
            let (waste, stops) = stops_for_task(victims, request, &chosen, work.get(&at)?, *room)?;
            Some((waste, room.accelerators, at, stops))
        });
        let (_, _, at, stops) = options.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))?;
        for index in stops {
            add_released(&mut rooms, &victims.all[index]);
            chosen.push(index);
        }
        if let Some(room) = rooms.get_mut(&at) {
            room.sub(&need);
        }
        *members.entry(at).or_default() += 1;
        found.push(at);
    }
    Some(eviction(victims, chosen, found))
}

/// Returns the cheapest part of the `work` on a candidate to stop, in addition to `chosen`, so that
/// one more task fits, and what that wastes.
fn stops_for_task(
    victims: &Victims,
    request: &Request<'_>,
    chosen: &[usize],
    work: &[(usize, ResourceAmounts)],
    mut room: ResourceAmounts,
) -> Option<(f64, Vec<usize>)> {
    let need = request.constraints.step.need();
    let mut all = chosen.to_vec();
    let mut stops: Vec<(usize, ResourceAmounts)> = Vec::new();
    let mut rest = work.iter();
    while !need.fits(&room) {
        let &(index, gain) = rest.next()?;
        if victims.can_stop(index, &all, request.urgent) {
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

fn eviction(victims: &Victims, chosen: Vec<usize>, found: Vec<usize>) -> (f64, Eviction) {
    let waste = waste(victims, &chosen);
    let eviction = Eviction {
        victims: chosen,
        members: found,
    };
    (waste, eviction)
}

fn add_released(rooms: &mut Rooms, victim: &Victim) {
    for (at, need) in &victim.releases {
        if let Some(room) = rooms.get_mut(at) {
            room.add(need);
        }
    }
}

fn sub_released(rooms: &mut Rooms, victim: &Victim) {
    for (at, need) in &victim.releases {
        if let Some(room) = rooms.get_mut(at) {
            room.sub(need);
        }
    }
}
