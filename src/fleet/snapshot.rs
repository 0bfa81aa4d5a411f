//! What one plan works on: the room of every upstream, as starts and stops of the plan change it.

use super::model::ResourceAmounts;
use super::place::Racks;
use super::place::Spot;
use super::plan::URGENT_PERCENT;
use super::scheduler::Scheduler;
use super::victims::Victims;
use crate::prelude::*;
use std::collections::HashMap;
use std::collections::HashSet;

/// What the planner works on.
pub(super) struct Snapshot {
    pub(super) spots: Vec<Spot>,
    pub(super) index: HashMap<Name, usize>,
    /// What stops under way give back.
    pub(super) ending: HashMap<usize, ResourceAmounts>,
    /// Work that may be stopped, made when it is first needed.
    pub(super) victims: Option<Victims>,
    pub(super) racks: Racks,
    /// Spots of the racks that are left to urgent work.
    pub(super) urgent_only: Arc<HashSet<usize>>,
    /// Urgent jobs within the guarantees of their workspaces.
    pub(super) entitled: HashSet<Name>,
    /// What found no place in this plan: rooms only shrink while it is made.
    pub(super) failed: HashMap<Shape, u32>,
    pub(super) busy_share: f64,
}

/// What makes two requests for places alike.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Shape {
    pub(super) service: Name,
    pub(super) label: String,
    pub(super) rack: String,
    pub(super) spread: u32,
    pub(super) gang: bool,
    pub(super) one_rack: bool,
    pub(super) far: bool,
    pub(super) entitled: bool,
    pub(super) need: (u64, u64, u64),
}

/// For which sizes steps of a shape would fit if everything were free.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FitBounds {
    /// Up to this number of tasks they do.
    pub(super) fits: u32,
    /// From this number of tasks on they do not.
    pub(super) fails: Option<u32>,
}

impl Snapshot {
    /// Tells whether one task of `need` for each entry of `spots` fits, with or without what
    /// stops under way give back.
    pub(super) fn holds(&self, spots: &[usize], need: &ResourceAmounts, ending: bool) -> bool {
        let mut wanted: HashMap<usize, ResourceAmounts> = HashMap::new();
        for &at in spots {
            wanted.entry(at).or_default().add(need);
        }
        wanted.iter().all(|(at, wanted)| {
            let spot = &self.spots[*at];
            let mut room = spot.free;
            if let Some(more) = self.ending.get(at).filter(|_| ending) {
                room.add(more);
            }
            spot.open && wanted.fits(&room)
        })
    }

    /// Takes room for one task of `need` for each entry of `spots`: what is free, then what stops
    /// under way give back.
    pub(super) fn reserve(&mut self, spots: &[usize], need: &ResourceAmounts) {
        for &at in spots {
            let spot = &mut self.spots[at];
            let mut beyond = *need;
            beyond.sub(&spot.free);
            self.racks.take(at, spot, need);
            if let Some(ending) = self.ending.get_mut(&at) {
                ending.sub(&beyond);
            }
        }
    }
}

impl Scheduler {
    /// Draws up the room of every upstream; `entitled` are the urgent jobs within guarantees.
    pub(super) fn board(&self, now: u64, entitled: HashSet<Name>) -> Snapshot {
        let mut spots = Vec::with_capacity(self.upstreams.len());
        let mut index = HashMap::with_capacity(self.upstreams.len());
        let mut ending = HashMap::new();
        let (mut used, mut room) = (0, 0);
        let alarm = self.ends.is_alarming(now);
        let queues = self.config.iter().flat_map(|config| &config.queues);
        let services: Vec<Name> = queues.map(|queue| queue.service.clone()).collect();
        for (name, upstream) in &self.upstreams {
            if !upstream.listed {
                continue;
            }
            index.insert(name.clone(), spots.len());
            if !upstream.stopping.is_empty() {
                ending.insert(spots.len(), upstream.ending());
            }
            used += upstream.used.accelerators;
            room += upstream.listing.room.accelerators;
            spots.push(Spot {
                name: name.clone(),
                service: services
                    .iter()
                    .find(|service| **service == upstream.listing.service)
                    .unwrap_or(&upstream.listing.service)
                    .clone(),
                rack: upstream.rack.clone(),
                labels: upstream.listing.labels.clone(),
                free: upstream.free(),
                room: upstream.listing.room,
                open: upstream.is_open(now),
                risk: upstream.health.risk(now, alarm),
            });
        }
        let racks = Racks::new(&spots);
        let buffer = room * URGENT_PERCENT / 100;
        Snapshot {
            urgent_only: Arc::new(racks.freest(&spots, buffer)),
            entitled,
            racks,
            spots,
            index,
            ending,
            victims: None,
            failed: HashMap::new(),
            busy_share: as_share(used, room),
        }
    }
}

fn as_share(part: u64, whole: u64) -> f64 {
    let part = u32::try_from(part).unwrap_or(u32::MAX);
    let whole = u32::try_from(whole.max(1)).unwrap_or(u32::MAX);
    f64::from(part) / f64::from(whole)
}
