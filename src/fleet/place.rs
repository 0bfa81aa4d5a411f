//! Finds places for tasks: near their data, gangs on one rack, small tasks where little is left.

use super::health::Risk;
use super::model::Need;
use super::model::Step;
use crate::prelude::*;
use std::collections::BTreeMap;
use std::collections::HashSet;

/// An upstream as the planner sees it.
#[derive(Debug, Clone)]
pub(super) struct Spot {
    /// Its identity.
    pub(super) name: Name,
    /// Its service.
    pub(super) service: Name,
    /// Its rack.
    pub(super) rack: Name,
    /// Its labels.
    pub(super) labels: Vec<Name>,
    /// What is free.
    pub(super) free: Need,
    /// What it has in all.
    pub(super) room: Need,
    /// Whether it takes new work.
    pub(super) open: bool,
    /// How likely it is to fail.
    pub(super) risk: Risk,
}

impl Spot {
    /// Tells whether tasks of `step` may run here at all.
    pub(super) fn allows(&self, service: &str, step: &Step) -> bool {
        *self.service == *service
            && (step.label.is_empty() || self.labels.iter().any(|label| **label == *step.label))
    }

    /// Counts how many tasks that need `need` fit into `room`, at most `most`.
    fn count(room: &Need, need: &Need, most: u32) -> u32 {
        let by = |have: u64, each: u64| have.checked_div(each).unwrap_or(u64::from(most));
        let fits = by(room.cpu, need.cpu)
            .min(by(room.memory, need.memory))
            .min(by(room.accelerators, need.accelerators));
        u32::try_from(fits).unwrap_or(most).min(most)
    }
}

/// What is to be placed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Wish<'a> {
    /// The service of its queue.
    pub(super) service: &'a str,
    /// The step.
    pub(super) step: &'a Step,
    /// Whether upstreams away from the data, or on several racks, will do.
    pub(super) far: bool,
    /// Upstreams to avoid.
    pub(super) shuns: &'a [Name],
    /// Spots that are left to other work.
    pub(super) barred: Option<&'a HashSet<usize>>,
    /// Spots that may be used at all, if only some may.
    pub(super) only: Option<&'a HashSet<usize>>,
    /// The greatest risk that will do.
    pub(super) risk: Risk,
}

impl Wish<'_> {
    /// The most tasks of the step on one upstream.
    pub(super) fn spread(&self) -> u32 {
        match self.step.spread {
            0 => u32::MAX,
            most => most,
        }
    }

    /// Tells whether the rack of `spot` will do.
    pub(super) fn near(&self, spot: &Spot) -> bool {
        self.far || self.step.data_rack.is_empty() || *spot.rack == *self.step.data_rack
    }

    fn takes(&self, index: usize, spot: &Spot) -> bool {
        self.barred.is_none_or(|barred| !barred.contains(&index))
            && self.only.is_none_or(|only| only.contains(&index))
            && spot.allows(self.service, self.step)
            && self.near(spot)
            && spot.risk <= self.risk
            && !self.shuns.contains(&spot.name)
    }
}

/// Finds the place of a single task: the safest, then the tightest one. `load` tells how many tasks of its step an
/// upstream has already.
pub(super) fn single(
    spots: &[Spot],
    wish: &Wish<'_>,
    load: impl Fn(&Name) -> u32,
) -> Option<usize> {
    let need = wish.step.need();
    spots
        .iter()
        .enumerate()
        .filter(|(index, spot)| spot.open && need.fits(&spot.free) && wish.takes(*index, spot))
        .filter(|(_, spot)| wish.step.spread == 0 || load(&spot.name) < wish.step.spread)
        .min_by_key(|(_, spot)| (spot.risk, spot.free.accelerators, spot.free.memory))
        .map(|(index, _)| index)
}

/// The spots rack by rack.
#[derive(Debug, Clone, Default)]
pub(super) struct Racks(Vec<Vec<usize>>);

impl Racks {
    /// Groups `spots` by rack.
    pub(super) fn new(spots: &[Spot]) -> Self {
        let mut racks = BTreeMap::<&Name, Vec<usize>>::new();
        for (index, spot) in spots.iter().enumerate() {
            racks.entry(&spot.rack).or_default().push(index);
        }
        Self(racks.into_values().collect())
    }

    /// Returns the spots of the racks with the most free accelerators, until `sum` are free there.
    pub(super) fn freest(&self, spots: &[Spot], sum: u64) -> HashSet<usize> {
        let free = |rack: &Vec<usize>| -> u64 {
            let open = rack.iter().filter(|at| spots[**at].open);
            open.map(|at| spots[*at].free.accelerators).sum()
        };
        let mut racks: Vec<(u64, &Vec<usize>)> =
            self.0.iter().map(|rack| (free(rack), rack)).collect();
        racks.sort_by_key(|(free, _)| std::cmp::Reverse(*free));
        let mut found = HashSet::new();
        let mut left = sum;
        for (free, rack) in racks {
            if left == 0 {
                break;
            }
            found.extend(rack);
            left = left.saturating_sub(free);
        }
        found
    }

    /// Groups the spots that a gang may use together: by rack if it wants one, else all.
    pub(super) fn cells(&self, spots: &[Spot], wish: &Wish<'_>) -> Vec<Vec<usize>> {
        let near = |rack: &&Vec<usize>| rack.first().is_some_and(|&at| wish.near(&spots[at]));
        let usable = |rack: &Vec<usize>| {
            let takes = |at: &usize| wish.takes(*at, &spots[*at]);
            rack.iter().copied().filter(takes).collect::<Vec<usize>>()
        };
        let racks = self.0.iter().filter(near).map(usable);
        if wish.step.one_rack && !wish.far {
            racks.collect()
        } else {
            vec![racks.flatten().collect()]
        }
    }
}

/// Fills `count` tasks into the spots of a cell, the safest first, of these the tightest; `free`
/// tells what is free.
pub(super) fn fill(
    spots: &[Spot],
    cell: &[usize],
    wish: &Wish<'_>,
    count: u32,
    free: impl Fn(usize) -> Option<Need>,
) -> Option<Vec<usize>> {
    let need = wish.step.need();
    let mut rooms: Vec<(Risk, u64, usize, u32)> = cell
        .iter()
        .filter_map(|&index| {
            let room = free(index)?;
            let fits = Spot::count(&room, &need, wish.spread().min(count));
            (fits > 0).then_some((spots[index].risk, room.accelerators, index, fits))
        })
        .collect();
    rooms.sort_unstable();
    let mut found = Vec::with_capacity(count as usize);
    for (_, _, index, fits) in rooms {
        let left = count as usize - found.len();
        found.extend(std::iter::repeat_n(index, left.min(fits as usize)));
        if found.len() == count as usize {
            return Some(found);
        }
    }
    None
}

/// Finds places for a whole gang: the cell with the fewest members at risk, of these the one in
/// which the least is left over.
pub(super) fn gang(
    spots: &[Spot],
    racks: &Racks,
    wish: &Wish<'_>,
    count: u32,
) -> Option<Vec<usize>> {
    let free = |index: usize| {
        let spot = spots.get(index)?;
        spot.open.then_some(spot.free)
    };
    racks
        .cells(spots, wish)
        .iter()
        .filter_map(|cell| {
            let found = fill(spots, cell, wish, count, free)?;
            let risky = found
                .iter()
                .filter(|at| spots[**at].risk > Risk::Usual)
                .count();
            let open = cell.iter().filter_map(|&index| free(index));
            let left: u64 = open.map(|room| room.accelerators).sum();
            Some(((risky, left), found))
        })
        .min_by_key(|(rank, _)| *rank)
        .map(|(_, found)| found)
}

/// Tells whether the step would fit near its data and on one rack if everything were free.
pub(super) fn ever_near(spots: &[Spot], racks: &Racks, wish: &Wish<'_>, count: u32) -> bool {
    let room = |index: usize| spots.get(index).map(|spot| spot.room);
    let count = if wish.step.gang { count } else { 1 };
    racks
        .cells(spots, wish)
        .iter()
        .any(|cell| fill(spots, cell, wish, count, room).is_some())
}
