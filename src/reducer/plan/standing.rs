//! The standing assignment: every guaranteed shape has a place that can be reclaimed for it.
//!
//! Each guaranteed shape is a cell, as in buddy cell allocation (HiveD, OSDI 2020), but of any
//! size: it is assigned to one worker, rack, data centre or to the whole fleet. Work within a
//! guarantee covers part of a cell; all other work can be stopped and counts as room. The
//! domains are nested, so the assignment can be met as long as no domain is overloaded.

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
    /// The accelerators of it that work within the guarantee holds.
    pub used: u32,
}

/// Identifies a cell.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CellId {
    /// The workspace that it is guaranteed to.
    pub workspace: Name,
    /// Its number in the workspace.
    pub index: u32,
}

/// Accelerators of a gang on one worker that count as part of a cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cover {
    /// The cell; nothing if the work stands outside every guarantee and cannot be stopped.
    pub cell: Option<CellId>,
    /// The worker.
    pub worker: Name,
    /// How many accelerators.
    pub accelerators: u32,
}

/// The accelerators that are spoken for in each domain.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loads {
    /// By worker.
    pub workers: BTreeMap<Name, u32>,
    /// By rack.
    pub racks: BTreeMap<Name, u32>,
    /// By data centre.
    pub centres: BTreeMap<Name, u32>,
    /// In all.
    pub total: u64,
}

/// One step of a trial, kept so that it can be taken back.
#[derive(Debug, Clone)]
pub(super) enum Step {
    Moved { id: CellId, from: Name },
    Covered(Cover),
}

/// The assignment of all guaranteed shapes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The cells, by workspace.
    pub cells: BTreeMap<Name, Vec<Cell>>,
    /// What is spoken for.
    pub loads: Loads,
}

impl Assignment {
    /// Makes a cell for each guaranteed shape of the configuration, none of them assigned.
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

    /// Returns a cell.
    pub fn cell(&self, id: &CellId) -> Option<&Cell> {
        self.cells.get(&id.workspace)?.get(id.index as usize)
    }

    /// Returns the accelerators of a workspace's guaranteed shapes, of at most `most` each, that no
    /// work within them holds.
    pub fn open(&self, workspace: &Name, most: u64) -> u64 {
        let cells = self.cells.get(workspace).into_iter().flatten();
        let cells = cells.filter(|cell| u64::from(cell.shape.accelerators) <= most);
        let rests = cells.map(|cell| u64::from(cell.shape.accelerators - cell.used));
        rests.sum()
    }

    /// Counts a gang's slots within the guarantee of its workspace, in shapes of at most `most`
    /// accelerators, and reassigns what must move.
    ///
    /// Nothing changes if this cannot be done.
    pub fn cover(
        &mut self,
        fleet: &Fleet,
        workspace: &Name,
        slots: &[Slot],
        most: u64,
    ) -> Option<Vec<Cover>> {
        let mut steps = Vec::new();
        let covers = self.try_cover(fleet, workspace, slots, most, &mut steps);
        let met = covers.is_some() && repack::relieve(self, fleet, &mut steps);
        if met {
            return covers;
        }
        self.undo(fleet, steps);
        None
    }

    /// Takes back covers whose accelerators were freed.
    pub fn uncover(&mut self, fleet: &Fleet, covers: &[Cover]) {
        for cover in covers {
            self.count(fleet, cover, false);
        }
    }

    /// Counts work that cannot be stopped and stands outside every guarantee.
    pub(super) fn block(&mut self, fleet: &Fleet, slots: &[Slot]) -> Vec<Cover> {
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

    /// Assigns each cell as in `other`.
    pub(super) fn place_like(&mut self, fleet: &Fleet, other: &Assignment) {
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

    /// Counts a cover that must belong to `workspace` and stand in the domain of its cell.
    pub(super) fn recount(
        &mut self,
        fleet: &Fleet,
        workspace: &Name,
        cover: &Cover,
    ) -> std::result::Result<(), String> {
        if let Some(id) = &cover.cell {
            let cell = self.cell(id).ok_or("a cover names no cell")?;
            let place = domain(fleet, cell.shape.adjacency, &cover.worker);
            let rest = cell.shape.accelerators - cell.used;
            let right = place.as_ref() == Some(&cell.place) && cover.accelerators <= rest;
            if id.workspace != *workspace || !right {
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
        most: u64,
        steps: &mut Vec<Step>,
    ) -> Option<Vec<Cover>> {
        let mut covers = Vec::new();
        for (worker, accelerators) in by_worker(slots) {
            let mut left = accelerators;
            while left > 0 {
                let index = self.choose(fleet, workspace, &worker, left, most)?;
                let id = CellId {
                    workspace: workspace.clone(),
                    index,
                };
                let cell = self.cell(&id)?;
                let level = cell.shape.adjacency;
                let part = left.min(cell.shape.accelerators - cell.used);
                let place = domain(fleet, level, &worker)?;
                if cell.place != place {
                    self.shift(fleet, &id, &place, steps);
                }
                let cover = Cover {
                    cell: Some(id),
                    worker: worker.clone(),
                    accelerators: part,
                };
                self.count(fleet, &cover, true);
                steps.push(Step::Covered(cover.clone()));
                covers.push(cover);
                left -= part;
            }
        }
        Some(covers)
    }

    /// Chooses the cell that accelerators on `worker` cover: one that need not move, the narrowest,
    /// and the one whose rest is the closest to what is needed.
    fn choose(
        &self,
        fleet: &Fleet,
        workspace: &Name,
        worker: &Name,
        need: u32,
        most: u64,
    ) -> Option<u32> {
        let cells = self.cells.get(workspace)?;
        let fitting = cells.iter().enumerate().filter_map(|(i, cell)| {
            let rest = cell.shape.accelerators - cell.used;
            let place = domain(fleet, cell.shape.adjacency, worker)?;
            let there = cell.place == place;
            let small = u64::from(cell.shape.accelerators) <= most;
            let can = rest > 0 && small && (there || cell.used == 0);
            let order = (
                !there,
                cell.shape.adjacency,
                rest < need,
                rest.abs_diff(need),
            );
            can.then_some((order, i as u32))
        });
        fitting.min().map(|(_, i)| i)
    }

    /// Assigns a cell to another domain of its level.
    pub(super) fn shift(&mut self, fleet: &Fleet, id: &CellId, to: &Name, steps: &mut Vec<Step>) {
        if let Some(from) = self.assign(fleet, id, to) {
            steps.push(Step::Moved {
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
        loads.add(fleet, shape.adjacency, &from, shape.accelerators, false);
        loads.add(fleet, shape.adjacency, to, shape.accelerators, true);
        Some(from)
    }

    fn count(&mut self, fleet: &Fleet, cover: &Cover, up: bool) {
        let mut level = Adjacency::Any;
        if let Some(id) = &cover.cell {
            let cells = self.cells.get_mut(&id.workspace);
            let Some(cell) = cells.and_then(|cells| cells.get_mut(id.index as usize)) else {
                return;
            };
            change(&mut cell.used, cover.accelerators, up);
            level = cell.shape.adjacency;
        } else if up {
            self.loads.total += u64::from(cover.accelerators);
        } else {
            let total = self.loads.total;
            self.loads.total = total.saturating_sub(u64::from(cover.accelerators));
        }
        self.loads
            .pin(fleet, level, &cover.worker, cover.accelerators, up);
    }

    fn undo(&mut self, fleet: &Fleet, steps: Vec<Step>) {
        for step in steps.into_iter().rev() {
            match step {
                Step::Moved { id, from } => drop(self.assign(fleet, &id, &from)),
                Step::Covered(cover) => self.count(fleet, &cover, false),
            }
        }
    }
}

impl Loads {
    /// Counts a cell that is assigned to `place`, in that domain and those around it.
    fn add(&mut self, fleet: &Fleet, level: Adjacency, place: &Name, size: u32, up: bool) {
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
            bump(map, key, size, up);
        }
    }

    /// Counts accelerators that are held on `worker` for a cell of `level`, in the domains that
    /// are narrower than the cell.
    fn pin(&mut self, fleet: &Fleet, level: Adjacency, worker: &Name, size: u32, up: bool) {
        let within = |inner: Adjacency| {
            let found = domain(fleet, inner, worker);
            found.filter(|_| level > inner)
        };
        let places = [Adjacency::Worker, Adjacency::Rack, Adjacency::Centre].map(within);
        bump(&mut self.workers, places[0].as_ref(), size, up);
        bump(&mut self.racks, places[1].as_ref(), size, up);
        bump(&mut self.centres, places[2].as_ref(), size, up);
    }
}

/// Returns the domain of `level` that a configured worker stands in; empty for the fleet.
pub fn domain(fleet: &Fleet, level: Adjacency, worker: &Name) -> Option<Name> {
    let host = fleet.hosts.get(worker).filter(|host| !host.retired)?;
    Some(match level {
        Adjacency::Worker => worker.clone(),
        Adjacency::Rack => host.rack.clone(),
        Adjacency::Centre => host.centre.clone(),
        Adjacency::Any => "".into(),
    })
}

/// Returns the accelerators of `slots` by worker.
pub fn by_worker(slots: &[Slot]) -> BTreeMap<Name, u32> {
    let mut counts = BTreeMap::new();
    for slot in slots {
        *counts.entry(slot.worker.clone()).or_insert(0) += slot.mask.count_ones();
    }
    counts.retain(|_, count| *count > 0);
    counts
}

fn bump(map: &mut BTreeMap<Name, u32>, key: Option<&Name>, size: u32, up: bool) {
    let Some(key) = key else {
        return;
    };
    let load = map.entry(key.clone()).or_insert(0);
    change(load, size, up);
    if *load == 0 {
        map.remove(key);
    }
}

fn change(count: &mut u32, by: u32, up: bool) {
    *count = match up {
        true => *count + by,
        false => count.saturating_sub(by),
    };
}
