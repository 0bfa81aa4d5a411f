//! The state of one planning pass: the free resources of every upstream, updated as the pass starts
//! and stops work.

use super::decide::place::Candidate;
use super::decide::place::Racks;
use super::decide::speed::Speeds;
use super::decide::victims::Victims;
use super::model::ResourceAmounts;
use super::plan::URGENT_PERCENT;
use super::reservations::Ahead;
use super::scheduler::Scheduler;
use crate::prelude::*;
use std::collections::HashMap;
use std::collections::HashSet;

/// The state of one planning pass.
pub(super) struct Snapshot {
    /// The listed upstreams.
    pub(super) candidates: Vec<Candidate>,
    /// The position of each upstream in `candidates`.
    pub(super) index: HashMap<Name, usize>,
    /// The resources that stops in progress will release.
    pub(super) releasing: HashMap<usize, ResourceAmounts>,
    /// Work that may be stopped; collected when it is first needed.
    pub(super) victims: Option<Victims>,
    pub(super) racks: Racks,
    /// Candidates of the racks that are reserved for urgent work.
    pub(super) urgent_only: Arc<HashSet<usize>>,
    /// Urgent jobs within the guarantees of their workspaces.
    pub(super) entitled: HashSet<Name>,
    /// The smallest step of each shape that found no place in this pass; free resources only shrink
    /// during a pass, so larger ones need no search.
    failed: HashMap<Shape, Tried>,
    /// The steps that lack tickets, by their position among the waiting ones.
    pub(super) unadvised: Vec<usize>,
    /// The room that is reserved ahead for gangs.
    pub(super) ahead: Ahead,
    /// The part of all accelerators that is in use, 0 to 1.
    pub(super) utilisation: f64,
}

/// The properties that decide where a step may run: steps of one shape share search results.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Shape {
    pub(super) service: Name,
    pub(super) label: String,
    pub(super) rack: String,
    pub(super) upstream_limit: u32,
    pub(super) gang: bool,
    pub(super) one_rack: bool,
    pub(super) relaxed: bool,
    pub(super) entitled: bool,
    /// Beside reservations: the priority, and whether the tasks may be stopped for one.
    pub(super) beside: Option<(u32, bool)>,
    pub(super) need: (u64, u64, u64),
}

/// What was tried for a shape: steps with more tasks, or that take longer beside reservations, do not
/// fit either.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tried {
    /// The number of tasks.
    pub(super) count: u32,
    /// The longest likely time of a task, in milliseconds; none for tasks that do not end, and
    /// without reservations.
    pub(super) longest: Option<u64>,
}

impl Tried {
    /// Returns whether it has no more tasks than `other`, and ends no later.
    fn is_within(self, other: Self) -> bool {
        let longest = |tried: Self| tried.longest.unwrap_or(u64::MAX);
        self.count <= other.count && longest(self) <= longest(other)
    }
}

/// The sizes up to which steps of a shape would fit if all upstreams were idle.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FitBounds {
    /// The largest number of tasks known to fit.
    pub(super) fits: u32,
    /// The smallest number of tasks known not to fit.
    pub(super) fails: Option<u32>,
}

impl Snapshot {
    /// Returns whether a step of this shape that is no larger has found no place in this pass.
    pub(super) fn has_failed(&self, shape: &Shape, tried: Tried) -> bool {
        let known = self.failed.get(shape);
        known.is_some_and(|least| least.is_within(tried))
    }

    /// Returns whether a step has found no place in this pass.
    pub(super) fn has_failures(&self) -> bool {
        !self.failed.is_empty()
    }

    /// Records that a step has found no place.
    pub(super) fn record_failure(&mut self, shape: Shape, tried: Tried) {
        let least = self.failed.entry(shape).or_insert(tried);
        if tried.is_within(*least) {
            *least = tried;
        }
    }

    /// Returns whether one task of `need` for each entry of `chosen` fits; with `releasing` also
    /// into what stops in progress will release.
    pub(super) fn fits(&self, chosen: &[usize], need: &ResourceAmounts, releasing: bool) -> bool {
        let mut wanted: HashMap<usize, ResourceAmounts> = HashMap::new();
        for &at in chosen {
            wanted.entry(at).or_default().add(need);
        }
        wanted.iter().all(|(at, wanted)| {
            let candidate = &self.candidates[*at];
            let mut room = candidate.free;
            if let Some(more) = self.releasing.get(at).filter(|_| releasing) {
                room.add(more);
            }
            candidate.open && wanted.fits(&room)
        })
    }

    /// Reserves one task of `need` for each entry of `chosen`: out of what is free, then out of
    /// what stops in progress will release.
    pub(super) fn reserve(&mut self, chosen: &[usize], need: &ResourceAmounts) {
        for &at in chosen {
            let candidate = &mut self.candidates[at];
            let mut beyond = *need;
            beyond.sub(&candidate.free);
            self.racks.allocate(at, candidate, need);
            if let Some(releasing) = self.releasing.get_mut(&at) {
                releasing.sub(&beyond);
            }
        }
    }
}

impl Scheduler {
    /// Captures the free resources of every listed upstream; `entitled` are the urgent jobs within
    /// guarantees.
    pub(super) fn snapshot(&self, now: u64, entitled: HashSet<Name>) -> Snapshot {
        let mut candidates = Vec::with_capacity(self.upstreams.len());
        let mut index = HashMap::with_capacity(self.upstreams.len());
        let mut releasing = HashMap::new();
        let (mut used, mut room) = (0, 0);
        let suspects = self.suspect_hosts(now);
        let listed = self.upstreams.values().filter(|up| up.listed);
        let speeds = Speeds::new(listed.map(|up| &up.slowness), now);
        let alarm = self.ends.is_alarming(now);
        let queues = self.config.iter().flat_map(|config| &config.queues);
        let services: Vec<Name> = queues.map(|queue| queue.service.clone()).collect();
        for (name, upstream) in &self.upstreams {
            if !upstream.listed {
                continue;
            }
            index.insert(name.clone(), candidates.len());
            if !upstream.stopping.is_empty() {
                releasing.insert(candidates.len(), upstream.ending());
            }
            used += upstream.used.accelerators;
            room += upstream.listing.room.accelerators;
            candidates.push(Candidate {
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
                speed: speeds.preference(&upstream.slowness, now),
                endangered: suspects.contains(name),
            });
        }
        let racks = Racks::new(&candidates);
        let buffer = room * URGENT_PERCENT / 100;
        Snapshot {
            urgent_only: Arc::new(racks.freest(&candidates, buffer)),
            entitled,
            racks,
            candidates,
            index,
            releasing,
            victims: None,
            failed: HashMap::new(),
            unadvised: Vec::new(),
            ahead: Ahead::default(),
            utilisation: ratio(used, room),
        }
    }
}

/// Returns `part` of `whole`, 0 to 1.
pub(super) fn ratio(part: u64, whole: u64) -> f64 {
    let part = u32::try_from(part).unwrap_or(u32::MAX);
    let whole = u32::try_from(whole.max(1)).unwrap_or(u32::MAX);
    f64::from(part) / f64::from(whole)
}
