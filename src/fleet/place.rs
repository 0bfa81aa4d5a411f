//! Finds places for tasks: near their data, gangs on one rack, small tasks where little is left.

use super::health::Risk;
use super::model::ResourceAmounts;
use super::model::Step;
use crate::prelude::*;
use std::collections::BTreeMap;
use std::collections::HashSet;

/// An upstream as the planner sees it.
#[derive(Debug, Clone)]
pub(super) struct Spot {
    /// Its identity.
    pub(super) name: Name,
    /// Its service; the configuration's name where it has one.
    pub(super) service: Name,
    /// Its rack.
    pub(super) rack: Name,
    /// Its labels.
    pub(super) labels: Vec<Name>,
    /// What is free.
    pub(super) free: ResourceAmounts,
    /// What it has in all.
    pub(super) room: ResourceAmounts,
    /// Whether it takes new work.
    pub(super) open: bool,
    /// How likely it is to fail.
    pub(super) risk: Risk,
}

impl Spot {
    /// Tells whether tasks of `step` may run here at all.
    pub(super) fn allows(&self, service: &Name, step: &Step) -> bool {
        (Arc::ptr_eq(&self.service, service) || self.service == *service)
            && (step.label.is_empty() || self.labels.iter().any(|label| **label == *step.label))
    }

    /// Counts how many tasks that need `need` fit into `room`, at most `most`.
    fn count(room: &ResourceAmounts, need: &ResourceAmounts, most: u32) -> u32 {
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
    pub(super) service: &'a Name,
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
        match self.step.upstream_limit {
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
        .filter(|(_, spot)| {
            wish.step.upstream_limit == 0 || load(&spot.name) < wish.step.upstream_limit
        })
        .min_by_key(|(_, spot)| (spot.risk, spot.free.accelerators, spot.free.memory))
        .map(|(index, _)| index)
}

/// The spots rack by rack, with what is free in each rack and in all.
#[derive(Debug, Clone, Default)]
pub(super) struct Racks {
    members: Vec<Vec<usize>>,
    /// The rack of each spot.
    rack_of: Vec<usize>,
    /// What the open spots of each rack have free.
    free: Vec<ResourceAmounts>,
}

impl Racks {
    /// Groups `spots` by rack.
    pub(super) fn new(spots: &[Spot]) -> Self {
        let mut racks = BTreeMap::<&Name, Vec<usize>>::new();
        for (index, spot) in spots.iter().enumerate() {
            racks.entry(&spot.rack).or_default().push(index);
        }
        let members: Vec<Vec<usize>> = racks.into_values().collect();
        let mut rack_of = vec![0; spots.len()];
        let mut free = vec![ResourceAmounts::default(); members.len()];
        for (rack, members) in members.iter().enumerate() {
            for &at in members {
                rack_of[at] = rack;
                if spots[at].open {
                    free[rack].add(&spots[at].free);
                }
            }
        }
        Self {
            members,
            rack_of,
            free,
        }
    }

    /// Takes room for a task at a spot.
    pub(super) fn take(&mut self, at: usize, spot: &mut Spot, need: &ResourceAmounts) {
        let sum = &mut self.free[self.rack_of[at]];
        if spot.open {
            sum.sub(&spot.free);
        }
        spot.free.sub(need);
        if spot.open {
            sum.add(&spot.free);
        }
    }

    /// Tells for each rack, or for all as one, whether `count` tasks of a wish may fit into sums of
    /// room: a bound that spares most searches while little is free.
    fn may_fit(
        &self,
        wish: &Wish<'_>,
        count: u32,
        room: impl Fn(usize) -> ResourceAmounts,
    ) -> Vec<bool> {
        let need = wish.step.need().times(count);
        if wish.step.one_rack && !wish.far {
            return (0..self.members.len())
                .map(|rack| need.fits(&room(rack)))
                .collect();
        }
        let mut sum = ResourceAmounts::default();
        for rack in 0..self.members.len() {
            sum.add(&room(rack));
        }
        vec![need.fits(&sum); self.members.len()]
    }

    /// Sums what `gains` gives to the spots of each rack onto what is free there.
    pub(super) fn with(
        &self,
        gains: impl Iterator<Item = (usize, ResourceAmounts)>,
    ) -> Vec<ResourceAmounts> {
        let mut sums = self.free.clone();
        for (at, gain) in gains {
            sums[self.rack_of[at]].add(&gain);
        }
        sums
    }

    /// Returns the spots of the racks with the most free accelerators, until `sum` are free there.
    pub(super) fn freest(&self, spots: &[Spot], sum: u64) -> HashSet<usize> {
        let free = |rack: &Vec<usize>| -> u64 {
            let open = rack.iter().filter(|at| spots[**at].open);
            open.map(|at| spots[*at].free.accelerators).sum()
        };
        let mut racks: Vec<(u64, &Vec<usize>)> =
            self.members.iter().map(|rack| (free(rack), rack)).collect();
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

    /// Groups the spots that a gang of `count` may use together: by rack if it wants one, else all;
    /// without racks whose `room` in all is too little.
    pub(super) fn cells(
        &self,
        spots: &[Spot],
        wish: &Wish<'_>,
        count: u32,
        room: impl Fn(usize) -> ResourceAmounts,
    ) -> Vec<Vec<usize>> {
        let may_fit = self.may_fit(wish, count, room);
        let near = |rack: &&Vec<usize>| rack.first().is_some_and(|&at| wish.near(&spots[at]));
        let usable = |rack: &Vec<usize>| {
            let takes = |at: &usize| wish.takes(*at, &spots[*at]);
            rack.iter().copied().filter(takes).collect::<Vec<usize>>()
        };
        let racks = self.members.iter().zip(may_fit).filter(|(_, may)| *may);
        let racks = racks.map(|(rack, _)| rack).filter(near).map(usable);
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
    free: impl Fn(usize) -> Option<ResourceAmounts>,
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
    let cells = racks.cells(spots, wish, count, |rack| racks.free[rack]);
    let found = best_cell(spots, &cells, wish, count);
    debug_assert_eq!(
        found,
        best_cell(
            spots,
            &racks.cells(spots, wish, count, boundless),
            wish,
            count
        ),
        "the sums of the racks have left out a cell"
    );
    found
}

fn best_cell(
    spots: &[Spot],
    cells: &[Vec<usize>],
    wish: &Wish<'_>,
    count: u32,
) -> Option<Vec<usize>> {
    let free = |index: usize| {
        let spot = spots.get(index)?;
        spot.open.then_some(spot.free)
    };
    let options = cells.iter().filter_map(|cell| {
        let found = fill(spots, cell, wish, count, free)?;
        let risky = found.iter().filter(|at| spots[**at].risk > Risk::Usual);
        let risky = risky.count();
        let open = cell.iter().filter_map(|&index| free(index));
        let left: u64 = open.map(|room| room.accelerators).sum();
        Some(((risky, left), found))
    });
    let best = options.min_by_key(|(rank, _)| *rank);
    best.map(|(_, found)| found)
}

/// Room without a bound.
fn boundless(_: usize) -> ResourceAmounts {
    ResourceAmounts {
        cpu: u64::MAX,
        memory: u64::MAX,
        accelerators: u64::MAX,
    }
}

/// Tells whether the step would fit near its data and on one rack if everything were free.
pub(super) fn ever_near(spots: &[Spot], racks: &Racks, wish: &Wish<'_>, count: u32) -> bool {
    let room = |index: usize| spots.get(index).map(|spot| spot.room);
    let count = if wish.step.gang { count } else { 1 };
    racks
        .cells(spots, wish, count, boundless)
        .iter()
        .any(|cell| fill(spots, cell, wish, count, room).is_some())
}
