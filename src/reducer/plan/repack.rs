//! Moves the cells of the standing assignment that no work uses, until no domain is overloaded.

use super::standing::Assignment;
use super::standing::Cell;
use super::standing::CellId;
use super::standing::Change;
use super::standing::domain;
use crate::model::Adjacency;
use crate::model::Shape;
use crate::prelude::*;
use crate::reducer::ledger::fleet::Fleet;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The adjacency levels that a cell can be assigned to, the narrowest first.
const LEVELS: [Adjacency; 3] = [Adjacency::Worker, Adjacency::Rack, Adjacency::Centre];

/// Resolves the overload that `changes` caused: moves unused cells out of the overloaded domain, or
/// else reassigns all unused cells; `false` if neither helps.
pub(super) fn resolve_overload(
    standing: &mut Assignment,
    fleet: &Fleet,
    changes: &mut Vec<Change>,
) -> bool {
    if standing.loads.total > fleet.total() {
        return false;
    }
    let Some(overload) = overloaded_by(standing, fleet, changes) else {
        return true;
    };
    if move_cells_out(standing, fleet, &overload, changes)
        && overloaded_by(standing, fleet, changes).is_none()
    {
        return true;
    }
    repack(standing, fleet, changes)
}

/// Reassigns every cell that no work uses: the narrowest and largest first, each to the domain that
/// it fits best.
pub(super) fn repack(standing: &mut Assignment, fleet: &Fleet, changes: &mut Vec<Change>) -> bool {
    let mut unused = unused_cells(standing, |_| true);
    for id in unused.iter().map(|(_, id)| id) {
        standing.move_cell(fleet, id, &"".into(), changes);
    }
    unused.sort_by_key(|(shape, id)| (shape.adjacency, u32::MAX - shape.accelerators, id.clone()));
    for level in LEVELS {
        let mut domains = FreeDomains::new(standing, fleet, level);
        let cells = unused.iter().filter(|(shape, _)| shape.adjacency == level);
        for (shape, id) in cells {
            let Some(to) = domains.take(standing, fleet, shape.accelerators) else {
                return false;
            };
            standing.move_cell(fleet, id, &to, changes);
        }
    }
    standing.loads.total <= fleet.total() && overloaded(standing, fleet).is_none()
}

/// The domains of a level, ordered by their unreserved accelerators.
#[derive(Debug)]
struct FreeDomains {
    level: Adjacency,
    domains: BTreeSet<FreeDomain>,
}

/// A domain and the number of its unreserved accelerators; an unusable worker sorts after the
/// others.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct FreeDomain {
    unusable: bool,
    free: u32,
    place: Name,
}

impl FreeDomains {
    fn new(standing: &Assignment, fleet: &Fleet, level: Adjacency) -> Self {
        let places = fleet.domains(level);
        let domains = places.map(|place| FreeDomain {
            unusable: unusable(fleet, level, place),
            free: headroom(standing, fleet, level, place),
            place: place.clone(),
        });
        Self {
            level,
            domains: domains.filter(|one| one.free > 0).collect(),
        }
    }

    /// Takes accelerators from the domain with the least headroom in which they fit.
    fn take(&mut self, standing: &Assignment, fleet: &Fleet, need: u32) -> Option<Name> {
        let found = [false, true].into_iter().find_map(|unusable| {
            let from = FreeDomain {
                unusable,
                free: need,
                place: "".into(),
            };
            let mut fitting = self
                .domains
                .range(from..)
                .take_while(|one| one.unusable == unusable);
            fitting.find(|one| fits_enclosing(standing, fleet, self.level, &one.place, need))
        });
        let mut found = found?.clone();
        self.domains.remove(&found);
        let place = found.place.clone();
        found.free -= need;
        if found.free > 0 {
            self.domains.insert(found);
        }
        Some(place)
    }
}

fn unusable(fleet: &Fleet, level: Adjacency, place: &Name) -> bool {
    let host = fleet
        .hosts
        .get(place)
        .filter(|_| level == Adjacency::Worker);
    host.is_some_and(|host| !host.usable())
}

fn headroom(standing: &Assignment, fleet: &Fleet, level: Adjacency, place: &Name) -> u32 {
    let load = loads(standing, level).get(place).copied().unwrap_or(0);
    fleet.size(level, place).saturating_sub(load)
}

/// Returns whether the domains that enclose `place` have headroom for `need` more accelerators.
fn fits_enclosing(
    standing: &Assignment,
    fleet: &Fleet,
    level: Adjacency,
    place: &Name,
    need: u32,
) -> bool {
    let mut outer = LEVELS.into_iter().filter(|outer| *outer > level);
    outer.all(|outer| {
        let enclosing = match level {
            Adjacency::Worker => domain(fleet, outer, place),
            _ => fleet.centre_of(place),
        };
        enclosing.is_some_and(|enclosing| headroom(standing, fleet, outer, &enclosing) >= need)
    })
}

/// Returns a domain whose load exceeds its size, if there is one.
pub(super) fn overloaded(standing: &Assignment, fleet: &Fleet) -> Option<Overload> {
    LEVELS.iter().find_map(|level| {
        let mut over = loads(standing, *level).iter();
        let found = over.find(|(place, load)| **load > fleet.size(*level, place));
        found.map(|(place, _)| Overload {
            level: *level,
            place: place.clone(),
        })
    })
}

/// As [`overloaded`], but checks only the domains that the changes of a trial affect.
fn overloaded_by(standing: &Assignment, fleet: &Fleet, changes: &[Change]) -> Option<Overload> {
    let mut places = BTreeSet::new();
    for change in changes {
        match change {
            Change::Covered(cover) => {
                for level in LEVELS {
                    let place = domain(fleet, level, &cover.worker);
                    places.extend(place.map(|place| (level, place)));
                }
            }
            Change::Moved { id, .. } => {
                let Some(cell) = standing.cell(id) else {
                    continue;
                };
                for level in LEVELS {
                    let place = enclosing(fleet, cell, level);
                    places.extend(place.map(|place| (level, place)));
                }
            }
        }
    }
    let over = places.into_iter().find(|(level, place)| {
        let load = loads(standing, *level).get(place).copied().unwrap_or(0);
        load > fleet.size(*level, place)
    });
    over.map(|(level, place)| Overload { level, place })
}

/// A domain whose load exceeds its size.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Overload {
    /// Its level.
    pub(super) level: Adjacency,
    /// Its name.
    pub(super) place: Name,
}

fn move_cells_out(
    standing: &mut Assignment,
    fleet: &Fleet,
    overload: &Overload,
    changes: &mut Vec<Change>,
) -> bool {
    let inside = |cell: &Cell| {
        !cell.place.is_empty()
            && cell.shape.adjacency <= overload.level
            && enclosing(fleet, cell, overload.level).as_ref() == Some(&overload.place)
    };
    let mut unused = unused_cells(standing, inside);
    unused.sort_by_key(|(shape, id)| (shape.accelerators, id.clone()));
    for (shape, id) in unused {
        let load = loads(standing, overload.level).get(&overload.place);
        if load.copied().unwrap_or(0) <= fleet.size(overload.level, &overload.place) {
            return true;
        }
        if let Some(to) = best_domain(standing, fleet, shape) {
            standing.move_cell(fleet, &id, &to, changes);
        }
    }
    let load = loads(standing, overload.level).get(&overload.place);
    load.copied().unwrap_or(0) <= fleet.size(overload.level, &overload.place)
}

fn unused_cells(standing: &Assignment, test: impl Fn(&Cell) -> bool) -> Vec<(Shape, CellId)> {
    let mut unused = Vec::new();
    for (workspace, cells) in &standing.cells {
        for (i, cell) in cells.iter().enumerate() {
            if cell.used == 0 && test(cell) {
                let id = CellId {
                    workspace: workspace.clone(),
                    index: i as u32,
                };
                unused.push((cell.shape, id));
            }
        }
    }
    unused
}

/// Returns the domain with the least headroom in which a cell of `shape` fits; an unusable worker
/// comes last.
fn best_domain(standing: &Assignment, fleet: &Fleet, shape: Shape) -> Option<Name> {
    let (level, need) = (shape.adjacency, shape.accelerators);
    let mut best: Option<(bool, u32, &Name)> = None;
    for place in fleet.domains(level) {
        let free = headroom(standing, fleet, level, place);
        if free < need || best.is_some_and(|best| best <= (false, free, place)) {
            continue;
        }
        if !fits_enclosing(standing, fleet, level, place, need) {
            continue;
        }
        let found = (unusable(fleet, level, place), free, place);
        if best.is_none_or(|best| found < best) {
            best = Some(found);
        }
        if found.0 || free > need {
            continue;
        }
        // An exact fit; domains are sorted by name, so no later one sorts before it.
        break;
    }
    best.map(|(_, _, place)| place.clone())
}

fn enclosing(fleet: &Fleet, cell: &Cell, level: Adjacency) -> Option<Name> {
    match (cell.shape.adjacency, level) {
        (own, level) if own == level => Some(cell.place.clone()),
        (Adjacency::Worker, level) => domain(fleet, level, &cell.place),
        (Adjacency::Rack, Adjacency::Centre) => fleet.centre_of(&cell.place),
        _ => None,
    }
}

fn loads(standing: &Assignment, level: Adjacency) -> &BTreeMap<Name, u32> {
    match level {
        Adjacency::Worker => &standing.loads.workers,
        Adjacency::Rack => &standing.loads.racks,
        _ => &standing.loads.centres,
    }
}
