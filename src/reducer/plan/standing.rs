//! The standing assignment: for every guaranteed shape, a domain in which it can be reclaimed.
//!
//! Each guaranteed shape is a cell, as in buddy cell allocation (HiveD, OSDI 2020), but of any
//! size. A cell is assigned to one worker, rack or data centre, or to the whole fleet. Work within
//! a guarantee covers part of a cell; all other work can be stopped, so its accelerators count as
//! free. The domains are nested, so all guarantees can be met as long as no domain is overloaded.

use super::repack;
use crate::model::Adjacency;
use crate::model::Shape;
use crate::prelude::*;
use crate::records::Slot;
use crate::reducer::ledger::catalog::Catalog;
use crate::reducer::ledger::fleet::Fleet;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;

/// One guaranteed shape.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// The shape.
    pub shape: Shape,
    /// The domain that it is assigned to; empty if it is assigned to none or to the fleet.
    pub place: Name,
    /// The number of its accelerators that work within the guarantee holds.
    pub used: u32,
}

/// Identifies a cell.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CellId {
    /// The workspace that it is guaranteed to.
    pub workspace: Name,
    /// Its index in the workspace's list.
    pub index: u32,
}

/// Accelerators of a gang on one worker that count against a cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cover {
    /// The cell; nothing if the work is outside all guarantees but cannot be stopped.
    pub cell: Option<CellId>,
    /// The worker.
    pub worker: Name,
    /// The number of accelerators.
    pub accelerators: u32,
}

/// The number of reserved accelerators in each domain.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loads {
    /// By worker.
    pub workers: BTreeMap<Name, u32>,
    /// By rack.
    pub racks: BTreeMap<Name, u32>,
    /// By data centre.
    pub centres: BTreeMap<Name, u32>,
    /// In the whole fleet.
    pub total: u64,
}

/// A change made by a trial, recorded so that it can be undone.
#[derive(Debug, Clone)]
pub(super) enum Change {
    Moved { id: CellId, from: Name },
    Covered(Cover),
}

/// The assignment of all guaranteed shapes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The cells, by workspace.
    pub cells: BTreeMap<Name, Vec<Cell>>,
    /// The accelerators reserved for the cells and for work that cannot be stopped.
    pub loads: Loads,
}

impl Assignment {
    /// Makes an unassigned cell for each guaranteed shape of the configuration.
    pub(super) fn unassigned(catalog: &Catalog) -> Self {
        let mut standing = Self::default();
        for (name, held) in &catalog.workspaces {
            let mut cells = Vec::new();
            for one in &held.value.guarantees {
                let cell = Cell {
                    shape: one.shape,
                    place: "".into(),
                    used: 0,
                };
                cells.extend(std::iter::repeat_n(cell, one.count as usize));
                let size = u64::from(one.shape.accelerators) * u64::from(one.count);
                standing.loads.total += size;
            }
            if !cells.is_empty() {
                standing.cells.insert(name.clone(), cells);
            }
        }
        standing
    }

    /// Returns a cell, if it exists.
    pub fn cell(&self, id: &CellId) -> Option<&Cell> {
        self.cells.get(&id.workspace)?.get(id.index as usize)
    }

    /// Returns the number of accelerators that no work holds in a workspace's guaranteed shapes of at
    /// most `max_size` accelerators each.
    pub fn unused(&self, workspace: &Name, max_size: u64) -> u64 {
        let cells = self.cells.get(workspace).into_iter().flatten();
        let cells = cells.filter(|cell| u64::from(cell.shape.accelerators) <= max_size);
        let unused = cells.map(|cell| u64::from(cell.shape.accelerators - cell.used));
        unused.sum()
    }

    /// Counts a gang's slots against the guarantee of its workspace, in shapes of at most `max_size`
    /// accelerators, and reassigns cells where necessary.
    ///
    /// Returns nothing and changes nothing if this is not possible.
    pub fn cover(
        &mut self,
        fleet: &Fleet,
        workspace: &Name,
        slots: &[Slot],
        max_size: u64,
    ) -> Option<Vec<Cover>> {
        let mut changes = Vec::new();
        let covers = self.try_cover(fleet, workspace, slots, max_size, &mut changes);
        let fits = covers.is_some() && repack::resolve_overload(self, fleet, &mut changes);
        if fits {
            return covers;
        }
        self.undo(fleet, changes);
        None
    }

    /// Removes covers whose accelerators were freed.
    pub fn uncover(&mut self, fleet: &Fleet, covers: &[Cover]) {
        for cover in covers {
            self.count(fleet, cover, false);
        }
    }

    /// Counts work that is outside all guarantees but cannot be stopped.
    pub(super) fn cover_outside(&mut self, fleet: &Fleet, slots: &[Slot]) -> Vec<Cover> {
        let mut covers = Vec::new();
        for (worker, accelerators) in by_worker(slots) {
            let cover = Cover {
                cell: None,
                worker,
                accelerators,
            };
            self.count(fleet, &cover, true);
            covers.push(cover);
        }
        covers
    }

    /// Assigns each cell to the same domain as in `other`.
    pub(super) fn copy_places(&mut self, fleet: &Fleet, other: &Assignment) {
        for (workspace, cells) in &other.cells {
            for (i, cell) in cells.iter().enumerate() {
                let id = CellId {
                    workspace: workspace.clone(),
                    index: i as u32,
                };
                self.assign(fleet, &id, &cell.place);
            }
        }
    }

    /// Counts a cover after a check that it belongs to `workspace` and is in the domain of its cell.
    pub(super) fn count_checked(
        &mut self,
        fleet: &Fleet,
        workspace: &Name,
        cover: &Cover,
    ) -> std::result::Result<(), String> {
        if let Some(id) = &cover.cell {
            let cell = self.cell(id).ok_or("a cover names no cell")?;
            let place = domain(fleet, cell.shape.adjacency, &cover.worker);
            let unused = cell.shape.accelerators - cell.used;
            let valid = place.as_ref() == Some(&cell.place) && cover.accelerators <= unused;
            if id.workspace != *workspace || !valid {
                return Err(format!("a cover on {} is outside its cell", cover.worker));
            }
        }
        self.count(fleet, cover, true);
        Ok(())
    }

    fn try_cover(
        &mut self,
        fleet: &Fleet,
        workspace: &Name,
        slots: &[Slot],
        max_size: u64,
        changes: &mut Vec<Change>,
    ) -> Option<Vec<Cover>> {
        let mut covers = Vec::new();
        for (worker, accelerators) in by_worker(slots) {
            let mut left = accelerators;
            while left > 0 {
                let index = self.choose(fleet, workspace, &worker, left, max_size)?;
                let id = CellId {
                    workspace: workspace.clone(),
                    index,
                };
                let cell = self.cell(&id)?;
                let level = cell.shape.adjacency;
                let part = left.min(cell.shape.accelerators - cell.used);
                let place = domain(fleet, level, &worker)?;
                if cell.place != place {
                    self.move_cell(fleet, &id, &place, changes);
                }
                let cover = Cover {
                    cell: Some(id),
                    worker: worker.clone(),
                    accelerators: part,
                };
                self.count(fleet, &cover, true);
                changes.push(Change::Covered(cover.clone()));
                covers.push(cover);
                left -= part;
            }
        }
        Some(covers)
    }

    /// Chooses the cell for accelerators on `worker`: prefers one that need not move, then the
    /// narrowest level, then enough unused accelerators, then the closest number of them.
    fn choose(
        &self,
        fleet: &Fleet,
        workspace: &Name,
        worker: &Name,
        need: u32,
        max_size: u64,
    ) -> Option<u32> {
        let cells = self.cells.get(workspace)?;
        let fitting = cells.iter().enumerate().filter_map(|(i, cell)| {
            let unused = cell.shape.accelerators - cell.used;
            let place = domain(fleet, cell.shape.adjacency, worker)?;
            let in_place = cell.place == place;
            let small = u64::from(cell.shape.accelerators) <= max_size;
            let usable = unused > 0 && small && (in_place || cell.used == 0);
            let order = (
                !in_place,
                cell.shape.adjacency,
                unused < need,
                unused.abs_diff(need),
            );
            usable.then_some((order, i as u32))
        });
        fitting.min().map(|(_, i)| i)
    }

    /// Assigns a cell to another domain of its level, and records the change.
    pub(super) fn move_cell(
        &mut self,
        fleet: &Fleet,
        id: &CellId,
        to: &Name,
        changes: &mut Vec<Change>,
    ) {
        if let Some(from) = self.assign(fleet, id, to) {
            changes.push(Change::Moved {
                id: id.clone(),
                from,
            });
        }
    }

    fn assign(&mut self, fleet: &Fleet, id: &CellId, to: &Name) -> Option<Name> {
        let cells = self.cells.get_mut(&id.workspace)?;
        let cell = cells.get_mut(id.index as usize)?;
        let shape = cell.shape;
        let from = std::mem::replace(&mut cell.place, to.clone());
        let loads = &mut self.loads;
        loads.add_cell(fleet, shape.adjacency, &from, shape.accelerators, false);
        loads.add_cell(fleet, shape.adjacency, to, shape.accelerators, true);
        Some(from)
    }

    fn count(&mut self, fleet: &Fleet, cover: &Cover, add: bool) {
        let mut level = Adjacency::Any;
        if let Some(id) = &cover.cell {
            let cells = self.cells.get_mut(&id.workspace);
            let Some(cell) = cells.and_then(|cells| cells.get_mut(id.index as usize)) else {
                return;
            };
            adjust(&mut cell.used, cover.accelerators, add);
            level = cell.shape.adjacency;
        } else if add {
            self.loads.total += u64::from(cover.accelerators);
        } else {
            let total = self.loads.total;
            self.loads.total = total.saturating_sub(u64::from(cover.accelerators));
        }
        self.loads
            .add_held(fleet, level, &cover.worker, cover.accelerators, add);
    }

    fn undo(&mut self, fleet: &Fleet, changes: Vec<Change>) {
        for change in changes.into_iter().rev() {
            match change {
                Change::Moved { id, from } => drop(self.assign(fleet, &id, &from)),
                Change::Covered(cover) => self.count(fleet, &cover, false),
            }
        }
    }
}

impl Loads {
    /// Counts a cell that is assigned to `place` in that domain and those that enclose it.
    fn add_cell(&mut self, fleet: &Fleet, level: Adjacency, place: &Name, size: u32, add: bool) {
        if place.is_empty() {
            return;
        }
        let worker = (level == Adjacency::Worker).then_some(place);
        let rack = match level {
            Adjacency::Worker => domain(fleet, Adjacency::Rack, place),
            Adjacency::Rack => Some(place.clone()),
            _ => None,
        };
        let centre = match level {
            Adjacency::Centre => Some(place.clone()),
            _ => rack.as_ref().and_then(|rack| fleet.centre_of(rack)),
        };
        for (map, key) in [
            (&mut self.workers, worker),
            (&mut self.racks, rack.as_ref()),
            (&mut self.centres, centre.as_ref()),
        ] {
            adjust_entry(map, key, size, add);
        }
    }

    /// Counts accelerators that are held on `worker` for a cell of `level` in the domains that are
    /// narrower than the cell.
    fn add_held(&mut self, fleet: &Fleet, level: Adjacency, worker: &Name, size: u32, add: bool) {
        let within = |inner: Adjacency| {
            let found = domain(fleet, inner, worker);
            found.filter(|_| level > inner)
        };
        let places = [Adjacency::Worker, Adjacency::Rack, Adjacency::Centre].map(within);
        adjust_entry(&mut self.workers, places[0].as_ref(), size, add);
        adjust_entry(&mut self.racks, places[1].as_ref(), size, add);
        adjust_entry(&mut self.centres, places[2].as_ref(), size, add);
    }
}

/// Returns the domain of `level` that contains a configured worker; empty for the whole fleet.
pub fn domain(fleet: &Fleet, level: Adjacency, worker: &Name) -> Option<Name> {
    let host = fleet.hosts.get(worker).filter(|host| !host.retired)?;
    Some(match level {
        Adjacency::Worker => worker.clone(),
        Adjacency::Rack => host.rack.clone(),
        Adjacency::Centre => host.centre.clone(),
        Adjacency::Any => "".into(),
    })
}

/// Returns the number of accelerators of `slots` on each worker.
pub fn by_worker(slots: &[Slot]) -> BTreeMap<Name, u32> {
    let mut counts = BTreeMap::new();
    for slot in slots {
        *counts.entry(slot.worker.clone()).or_insert(0) += slot.mask.count_ones();
    }
    counts.retain(|_, count| *count > 0);
    counts
}

fn adjust_entry(map: &mut BTreeMap<Name, u32>, key: Option<&Name>, size: u32, add: bool) {
    let Some(key) = key else {
        return;
    };
    let load = map.entry(key.clone()).or_insert(0);
    adjust(load, size, add);
    if *load == 0 {
        map.remove(key);
    }
}

fn adjust(count: &mut u32, by: u32, add: bool) {
    *count = match add {
        true => *count + by,
        false => count.saturating_sub(by),
    };
}
