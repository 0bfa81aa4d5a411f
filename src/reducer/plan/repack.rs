//! Moves the cells of the standing assignment that no work covers, until no domain is overloaded.

use super::standing::Assignment;
use super::standing::Cell;
use super::standing::CellId;
use super::standing::Step;
use super::standing::domain;
use crate::model::Adjacency;
use crate::model::Shape;
use crate::prelude::*;
use crate::reducer::ledger::fleet::Fleet;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The levels that a cell can be assigned to, the narrowest first.
const LEVELS: [Adjacency; 3] = [Adjacency::Worker, Adjacency::Rack, Adjacency::Centre];

/// Moves open cells away from overloaded domains; `false` if none of the tries helps.
pub(super) fn relieve(standing: &mut Assignment, fleet: &Fleet, steps: &mut Vec<Step>) -> bool {
    if standing.loads.total > fleet.total() {
        return false;
    }
    let Some(broken) = touched(standing, fleet, steps) else {
        return true;
    };
    if move_from(standing, fleet, &broken, steps) && touched(standing, fleet, steps).is_none() {
        return true;
    }
    repack(standing, fleet, steps)
}

/// Assigns every cell that no work covers anew: the narrowest and largest first, each to the
/// domain that it fits best.
pub(super) fn repack(standing: &mut Assignment, fleet: &Fleet, steps: &mut Vec<Step>) -> bool {
    let mut open = open_cells(standing, |_| true);
    for id in open.iter().map(|(_, id)| id) {
        standing.shift(fleet, id, &"".into(), steps);
    }
    open.sort_by_key(|(shape, id)| (shape.adjacency, u32::MAX - shape.accelerators, id.clone()));
    for level in LEVELS {
        let mut rooms = Rooms::new(standing, fleet, level);
        let cells = open.iter().filter(|(shape, _)| shape.adjacency == level);
        for (shape, id) in cells {
            let Some(to) = rooms.take(standing, fleet, shape.accelerators) else {
                return false;
            };
            standing.shift(fleet, id, &to, steps);
        }
    }
    standing.loads.total <= fleet.total() && overloaded(standing, fleet).is_none()
}

/// The domains of a level, ordered by what is not spoken for in them.
#[derive(Debug)]
struct Rooms {
    level: Adjacency,
    free: BTreeSet<Room>,
}

/// A domain with the accelerators in it that are not spoken for; a worker that cannot be used
/// comes after the others.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Room {
    weak: bool,
    size: u32,
    place: Name,
}

impl Rooms {
    fn new(standing: &Assignment, fleet: &Fleet, level: Adjacency) -> Self {
        let places = fleet.domains(level);
        let rooms = places.map(|place| Room {
            weak: weak(fleet, level, place),
            size: room(standing, fleet, level, place),
            place: place.clone(),
        });
        Self {
            level,
            free: rooms.filter(|one| one.size > 0).collect(),
        }
    }

    /// Takes accelerators from the domain with the least room that they fit in.
    fn take(&mut self, standing: &Assignment, fleet: &Fleet, need: u32) -> Option<Name> {
        let found = [false, true].into_iter().find_map(|weak| {
            let from = Room {
                weak,
                size: need,
                place: "".into(),
            };
            let mut fitting = self.free.range(from..).take_while(|one| one.weak == weak);
            fitting.find(|one| fits_around(standing, fleet, self.level, &one.place, need))
        });
        let mut found = found?.clone();
        self.free.remove(&found);
        let place = found.place.clone();
        found.size -= need;
        if found.size > 0 {
            self.free.insert(found);
        }
        Some(place)
    }
}

fn weak(fleet: &Fleet, level: Adjacency, place: &Name) -> bool {
    let host = fleet
        .hosts
        .get(place)
        .filter(|_| level == Adjacency::Worker);
    host.is_some_and(|host| !host.usable())
}

fn room(standing: &Assignment, fleet: &Fleet, level: Adjacency, place: &Name) -> u32 {
    let load = loads(standing, level).get(place).copied().unwrap_or(0);
    fleet.size(level, place).saturating_sub(load)
}

/// Tells whether the domains around one can take so many accelerators more.
fn fits_around(
    standing: &Assignment,
    fleet: &Fleet,
    level: Adjacency,
    place: &Name,
    need: u32,
) -> bool {
    let mut outer = LEVELS.into_iter().filter(|outer| *outer > level);
    outer.all(|outer| {
        let around = match level {
            Adjacency::Worker => domain(fleet, outer, place),
            _ => fleet.centre_of(place),
        };
        around.is_some_and(|around| room(standing, fleet, outer, &around) >= need)
    })
}

/// Returns a domain that holds more than it can, if there is one.
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

/// As [`overloaded`], but looks only at the domains that the steps of a trial changed.
fn touched(standing: &Assignment, fleet: &Fleet, steps: &[Step]) -> Option<Overload> {
    let mut places = BTreeSet::new();
    for step in steps {
        match step {
            Step::Covered(cover) => {
                for level in LEVELS {
                    let place = domain(fleet, level, &cover.worker);
                    places.extend(place.map(|place| (level, place)));
                }
            }
            Step::Moved { id, .. } => {
                let Some(cell) = standing.cell(id) else {
                    continue;
                };
                for level in LEVELS {
                    let place = around(fleet, cell, level);
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

/// A domain that holds more than it can.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Overload {
    /// Its level.
    pub(super) level: Adjacency,
    /// Its name.
    pub(super) place: Name,
}

fn move_from(
    standing: &mut Assignment,
    fleet: &Fleet,
    broken: &Overload,
    steps: &mut Vec<Step>,
) -> bool {
    let inside = |cell: &Cell| {
        !cell.place.is_empty()
            && cell.shape.adjacency <= broken.level
            && around(fleet, cell, broken.level).as_ref() == Some(&broken.place)
    };
    let mut open = open_cells(standing, inside);
    open.sort_by_key(|(shape, id)| (shape.accelerators, id.clone()));
    for (shape, id) in open {
        let load = loads(standing, broken.level).get(&broken.place);
        if load.copied().unwrap_or(0) <= fleet.size(broken.level, &broken.place) {
            return true;
        }
        if let Some(to) = best_domain(standing, fleet, shape) {
            standing.shift(fleet, &id, &to, steps);
        }
    }
    let load = loads(standing, broken.level).get(&broken.place);
    load.copied().unwrap_or(0) <= fleet.size(broken.level, &broken.place)
}

fn open_cells(standing: &Assignment, test: impl Fn(&Cell) -> bool) -> Vec<(Shape, CellId)> {
    let mut open = Vec::new();
    for (workspace, cells) in &standing.cells {
        for (i, cell) in cells.iter().enumerate() {
            if cell.used == 0 && test(cell) {
                let id = CellId {
                    workspace: workspace.clone(),
                    index: i as u32,
                };
                open.push((cell.shape, id));
            }
        }
    }
    open
}

/// Returns the domain with the least room that still takes a cell of `shape`; a worker that cannot
/// be used comes last.
fn best_domain(standing: &Assignment, fleet: &Fleet, shape: Shape) -> Option<Name> {
    let (level, need) = (shape.adjacency, shape.accelerators);
    let mut best: Option<(bool, u32, &Name)> = None;
    for place in fleet.domains(level) {
        let size = room(standing, fleet, level, place);
        if size < need || best.is_some_and(|best| best <= (false, size, place)) {
            continue;
        }
        if !fits_around(standing, fleet, level, place, need) {
            continue;
        }
        let found = (weak(fleet, level, place), size, place);
        if best.is_none_or(|best| found < best) {
            best = Some(found);
        }
        if found.0 || size > need {
            continue;
        }
        // Domains come by name, so no other one can fit better.
        break;
    }
    best.map(|(_, _, place)| place.clone())
}

fn around(fleet: &Fleet, cell: &Cell, level: Adjacency) -> Option<Name> {
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
