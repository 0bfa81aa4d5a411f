//! Chooses upstreams for tasks: close to their data, gangs on one rack, single tasks by best fit.

use super::reserve;
use super::speed::Preference;
use super::trust::Risk;
use crate::fleet::model::ResourceAmounts;
use crate::fleet::model::Step;
use crate::prelude::*;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

/// Added to the speed level of an upstream that runs a task that may crash it: more than any speed
/// makes up for.
const ENDANGERED_LEVEL: u8 = 100;

/// An upstream as the planner sees it: its room, and what it may run.
#[derive(Debug, Clone)]
pub(in crate::fleet) struct Candidate {
    /// The id that discovery gives it.
    pub(in crate::fleet) name: Name,
    /// Its service; shared with the configuration's name where the two are equal.
    pub(in crate::fleet) service: Name,
    /// Its rack.
    pub(in crate::fleet) rack: Name,
    /// Its labels.
    pub(in crate::fleet) labels: Vec<Name>,
    /// The resources that are free now.
    pub(in crate::fleet) free: ResourceAmounts,
    /// Its total resources.
    pub(in crate::fleet) room: ResourceAmounts,
    /// Whether it takes new work.
    pub(in crate::fleet) open: bool,
    /// How likely it is to fail new work.
    pub(in crate::fleet) risk: Risk,
    /// How work prefers it for its speed.
    pub(in crate::fleet) speed: Preference,
    /// Whether it runs a task that may crash it.
    pub(in crate::fleet) endangered: bool,
}

impl Candidate {
    /// Returns whether service and labels let tasks of `step` run here.
    pub(in crate::fleet) fn allows(&self, service: &Name, step: &Step) -> bool {
        (Arc::ptr_eq(&self.service, service) || self.service == *service)
            && (step.label.is_empty() || self.labels.iter().any(|label| **label == *step.label))
    }

    /// Returns how many tasks of `need` fit into `room`, at most `most`.
    pub(in crate::fleet) fn count(
        room: &ResourceAmounts,
        need: &ResourceAmounts,
        most: u32,
    ) -> u32 {
        let by = |have: u64, each: u64| have.checked_div(each).unwrap_or(u64::from(most));
        let fits = by(room.cpu, need.cpu)
            .min(by(room.memory, need.memory))
            .min(by(room.accelerators, need.accelerators));
        u32::try_from(fits).unwrap_or(most).min(most)
    }
}

/// A step to place, and the upstreams that it may use.
#[derive(Debug, Clone, Copy)]
pub(in crate::fleet) struct Constraints<'a> {
    /// The service of the step's queue.
    pub(in crate::fleet) service: &'a Name,
    /// The step.
    pub(in crate::fleet) step: &'a Step,
    /// Whether upstreams away from the data, or on several racks, are acceptable.
    pub(in crate::fleet) relaxed: bool,
    /// Upstreams to avoid.
    pub(in crate::fleet) avoid: &'a [Name],
    /// Candidates that are reserved for other work.
    pub(in crate::fleet) reserved: Option<&'a HashSet<usize>>,
    /// The only candidates that may be used; none for no limit.
    pub(in crate::fleet) only: Option<&'a HashSet<usize>>,
    /// The most room that may be used on candidates whose room is reserved for gangs; none for no
    /// limit.
    pub(in crate::fleet) limits: Option<&'a HashMap<usize, ResourceAmounts>>,
    /// What a task of a waiting gang needs, if any: small tasks leave room for it where they can.
    pub(in crate::fleet) large: Option<&'a ResourceAmounts>,
    /// The highest acceptable risk.
    pub(in crate::fleet) risk: Risk,
    /// Whether the step is urgent: it prefers fast upstreams, other work leaves them to it.
    pub(in crate::fleet) urgent: bool,
}

impl Constraints<'_> {
    /// Returns the most tasks of the step that one upstream may run.
    pub(in crate::fleet) fn upstream_limit(&self) -> u32 {
        match self.step.upstream_limit {
            0 => u32::MAX,
            most => most,
        }
    }

    /// Returns whether the rack of `candidate` is acceptable.
    pub(in crate::fleet) fn allows_rack(&self, candidate: &Candidate) -> bool {
        self.relaxed || self.step.data_rack.is_empty() || *candidate.rack == *self.step.data_rack
    }

    /// Returns the order in which the step prefers upstreams, lowest first.
    pub(super) fn preference(&self, candidate: &Candidate) -> (Risk, u8) {
        let speed = candidate.speed;
        let level = if self.urgent {
            speed.urgent
        } else {
            speed.patient
        };
        let beside = if candidate.endangered {
            ENDANGERED_LEVEL
        } else {
            0
        };
        (candidate.risk, level.saturating_add(beside))
    }

    /// Returns the free room of a candidate that the step may use.
    pub(super) fn room(&self, index: usize, candidate: &Candidate) -> ResourceAmounts {
        match self.limits.and_then(|limits| limits.get(&index)) {
            Some(limit) => reserve::least(limit, &candidate.free),
            None => candidate.free,
        }
    }

    /// Returns how many tasks of a waiting gang fit on a candidate now and not beside a task of the
    /// step: 0 where none fits in any case.
    fn displaced(&self, candidate: &Candidate) -> u32 {
        let Some(large) = self.large else {
            return 0;
        };
        let mut rest = candidate.free;
        rest.sub(&self.step.need());
        let fits = |room| Candidate::count(room, large, u32::MAX);
        fits(&candidate.free) - fits(&rest)
    }

    pub(in crate::fleet) fn accepts(&self, index: usize, candidate: &Candidate) -> bool {
        self.reserved
            .is_none_or(|reserved| !reserved.contains(&index))
            && self.only.is_none_or(|only| only.contains(&index))
            && candidate.allows(self.service, self.step)
            && self.allows_rack(candidate)
            && candidate.risk <= self.risk
            && !self.avoid.contains(&candidate.name)
    }
}

/// Finds the candidate for a single task: the lowest risk first, then the preferred speed, then the
/// one on which the least room for a waiting gang is lost, then the best fit. `load` returns
/// how many tasks of the step an upstream runs already.
pub(in crate::fleet) fn single(
    candidates: &[Candidate],
    constraints: &Constraints<'_>,
    load: impl Fn(&Name) -> u32,
) -> Option<usize> {
    let need = constraints.step.need();
    candidates
        .iter()
        .enumerate()
        .filter(|(index, candidate)| {
            candidate.open
                && need.fits(&constraints.room(*index, candidate))
                && constraints.accepts(*index, candidate)
        })
        .filter(|(_, candidate)| {
            constraints.step.upstream_limit == 0
                || load(&candidate.name) < constraints.step.upstream_limit
        })
        .min_by_key(|(_, candidate)| {
            (
                constraints.preference(candidate),
                constraints.displaced(candidate),
                candidate.free.accelerators,
                candidate.free.memory,
            )
        })
        .map(|(index, _)| index)
}

/// The candidates grouped by rack, with the free resources of each rack.
#[derive(Debug, Clone, Default)]
pub(in crate::fleet) struct Racks {
    members: Vec<Vec<usize>>,
    /// The rack of each candidate.
    rack_of: Vec<usize>,
    /// The free resources of the open candidates of each rack.
    free: Vec<ResourceAmounts>,
}

impl Racks {
    /// Groups `candidates` by rack.
    pub(in crate::fleet) fn new(candidates: &[Candidate]) -> Self {
        let mut racks = BTreeMap::<&Name, Vec<usize>>::new();
        for (index, candidate) in candidates.iter().enumerate() {
            racks.entry(&candidate.rack).or_default().push(index);
        }
        let members: Vec<Vec<usize>> = racks.into_values().collect();
        let mut rack_of = vec![0; candidates.len()];
        let mut free = vec![ResourceAmounts::default(); members.len()];
        for (rack, members) in members.iter().enumerate() {
            for &at in members {
                rack_of[at] = rack;
                if candidates[at].open {
                    free[rack].add(&candidates[at].free);
                }
            }
        }
        Self {
            members,
            rack_of,
            free,
        }
    }

    /// Allocates `need` on a candidate and updates the sum of its rack.
    pub(in crate::fleet) fn allocate(
        &mut self,
        at: usize,
        candidate: &mut Candidate,
        need: &ResourceAmounts,
    ) {
        let sum = &mut self.free[self.rack_of[at]];
        if candidate.open {
            sum.sub(&candidate.free);
        }
        candidate.free.sub(need);
        if candidate.open {
            sum.add(&candidate.free);
        }
    }

    /// Returns for each rack whether `count` tasks may fit: into its own `room`, or into the sum of
    /// all racks where a gang may span them. An upper bound that avoids most searches while little
    /// is free.
    fn may_fit(
        &self,
        constraints: &Constraints<'_>,
        count: u32,
        room: impl Fn(usize) -> ResourceAmounts,
    ) -> Vec<bool> {
        let need = constraints.step.need().times(count);
        if constraints.step.one_rack && !constraints.relaxed {
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

    /// Returns what would be free in each rack if its candidates got `gains` back.
    pub(in crate::fleet) fn free_with(
        &self,
        gains: impl Iterator<Item = (usize, ResourceAmounts)>,
    ) -> Vec<ResourceAmounts> {
        let mut sums = self.free.clone();
        for (at, gain) in gains {
            sums[self.rack_of[at]].add(&gain);
        }
        sums
    }

    /// Returns the free accelerators of all open candidates.
    pub(in crate::fleet) fn free_accelerators(&self) -> u64 {
        self.free.iter().map(|free| free.accelerators).sum()
    }

    /// Returns the total resources of the open candidates of a rack.
    pub(super) fn total(&self, candidates: &[Candidate], rack: usize) -> ResourceAmounts {
        let mut sum = ResourceAmounts::default();
        for &at in &self.members[rack] {
            if candidates[at].open {
                sum.add(&candidates[at].room);
            }
        }
        sum
    }

    /// Returns the candidates of the racks with the most free accelerators, as many racks as it
    /// takes for `sum` free ones.
    pub(in crate::fleet) fn freest(&self, candidates: &[Candidate], sum: u64) -> HashSet<usize> {
        let free = |rack: &Vec<usize>| -> u64 {
            let open = rack.iter().filter(|at| candidates[**at].open);
            open.map(|at| candidates[*at].free.accelerators).sum()
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

    /// Returns the groups of candidates that a gang of `count` may use together: each rack if it
    /// needs one rack, else all candidates; racks whose total `room` is too small are left out.
    pub(in crate::fleet) fn groups(
        &self,
        candidates: &[Candidate],
        constraints: &Constraints<'_>,
        count: u32,
        room: impl Fn(usize) -> ResourceAmounts,
    ) -> Vec<Vec<usize>> {
        let may_fit = self.may_fit(constraints, count, room);
        let allowed = |rack: &&Vec<usize>| {
            rack.first()
                .is_some_and(|&at| constraints.allows_rack(&candidates[at]))
        };
        let usable = |rack: &Vec<usize>| {
            let accepts = |at: &usize| constraints.accepts(*at, &candidates[*at]);
            rack.iter().copied().filter(accepts).collect::<Vec<usize>>()
        };
        let racks = self.members.iter().zip(may_fit).filter(|(_, may)| *may);
        let racks = racks.map(|(rack, _)| rack).filter(allowed).map(usable);
        if constraints.step.one_rack && !constraints.relaxed {
            racks.collect()
        } else {
            vec![racks.flatten().collect()]
        }
    }
}

/// Places `count` tasks on the candidates of a group, the lowest risk first, then the preferred
/// speed, then the best fit;
/// `free` returns what a candidate has free.
pub(in crate::fleet) fn fill(
    candidates: &[Candidate],
    group: &[usize],
    constraints: &Constraints<'_>,
    count: u32,
    free: impl Fn(usize) -> Option<ResourceAmounts>,
) -> Option<Vec<usize>> {
    let need = constraints.step.need();
    let mut rooms: Vec<((Risk, u8), u64, usize, u32)> = group
        .iter()
        .filter_map(|&index| {
            let room = free(index)?;
            let fits = Candidate::count(&room, &need, constraints.upstream_limit().min(count));
            let preference = constraints.preference(&candidates[index]);
            (fits > 0).then_some((preference, room.accelerators, index, fits))
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

/// Places a whole gang: in the group that puts the fewest members at risk, among these in the one
/// whose slowest member is preferred, then in the one that leaves the least accelerators free.
pub(in crate::fleet) fn gang(
    candidates: &[Candidate],
    racks: &Racks,
    constraints: &Constraints<'_>,
    count: u32,
) -> Option<Vec<usize>> {
    let groups = racks.groups(candidates, constraints, count, |rack| racks.free[rack]);
    let found = best_group(candidates, &groups, constraints, count);
    debug_assert_eq!(
        found,
        best_group(
            candidates,
            &racks.groups(candidates, constraints, count, unlimited),
            constraints,
            count
        ),
        "the free sums of the racks excluded a group that fits"
    );
    found
}

fn best_group(
    candidates: &[Candidate],
    groups: &[Vec<usize>],
    constraints: &Constraints<'_>,
    count: u32,
) -> Option<Vec<usize>> {
    let free = |index: usize| {
        let candidate = candidates.get(index)?;
        candidate.open.then(|| constraints.room(index, candidate))
    };
    let options = groups.iter().filter_map(|group| {
        let found = fill(candidates, group, constraints, count, free)?;
        let risky = found
            .iter()
            .filter(|at| candidates[**at].risk > Risk::Usual);
        let risky = risky.count();
        let levels = found
            .iter()
            .map(|at| constraints.preference(&candidates[*at]).1);
        let slowest = levels.max();
        let open = group.iter().filter_map(|&index| free(index));
        let left: u64 = open.map(|room| room.accelerators).sum();
        Some(((risky, slowest, left), found))
    });
    let best = options.min_by_key(|(rank, _)| *rank);
    best.map(|(_, found)| found)
}

/// Returns unlimited resources for any rack.
fn unlimited(_: usize) -> ResourceAmounts {
    ResourceAmounts {
        cpu: u64::MAX,
        memory: u64::MAX,
        accelerators: u64::MAX,
    }
}

/// Returns whether `count` tasks would fit under the constraints if all candidates were idle.
pub(in crate::fleet) fn fits_locally(
    candidates: &[Candidate],
    racks: &Racks,
    constraints: &Constraints<'_>,
    count: u32,
) -> bool {
    let room = |index: usize| candidates.get(index).map(|candidate| candidate.room);
    let count = if constraints.step.gang { count } else { 1 };
    racks
        .groups(candidates, constraints, count, unlimited)
        .iter()
        .any(|group| fill(candidates, group, constraints, count, room).is_some())
}
