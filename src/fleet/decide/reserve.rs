//! Reserves room ahead for gangs: when and where a gang that finds no room now can start, and which
//! other work may use that room until then (backfill).
//!
//! Answers wide gangs beside a stream of small tasks: without a reservation, the small tasks take
//! each piece of room as it becomes free, and the room for all members never exists at one time.

use super::as_ms;
use super::millis;
use super::place::Candidate;
use super::place::Constraints;
use super::place::Racks;
use crate::fleet::model::ResourceAmounts;
use std::collections::HashMap;

/// The divisor of the time that a run has worked which gives the least time that it is assumed to
/// work on: a run beyond its predicted end has an unknown rest.
const OVERRUN_PART: u64 = 8;

/// The room of a candidate that is reserved for members of a gang from a certain time on.
#[derive(Debug, Clone)]
pub(in crate::fleet) struct Hold {
    /// The number of the reservation.
    pub(in crate::fleet) number: u64,
    /// The candidate.
    pub(in crate::fleet) at: usize,
    /// When the gang is expected to start, local clock.
    pub(in crate::fleet) start: u64,
    /// When the gang is expected to end, local clock.
    pub(in crate::fleet) end: u64,
    /// How many times as long as usual work takes on the candidate.
    pub(in crate::fleet) factor: f64,
    /// What the members there need.
    pub(in crate::fleet) need: ResourceAmounts,
    /// What is left at the start beside the members, for work that lasts longer.
    pub(in crate::fleet) spare: ResourceAmounts,
    /// The priority of the gang.
    pub(in crate::fleet) priority: u32,
    /// The position of the gang in the order of placement.
    pub(in crate::fleet) position: usize,
    /// Whether the room has gone to other work.
    pub(in crate::fleet) lost: bool,
}

/// Work that is about to be placed beside reservations.
#[derive(Debug, Clone, Copy)]
pub(in crate::fleet) struct Newcomer {
    /// Its priority; 0 goes first.
    pub(in crate::fleet) priority: u32,
    /// Its position in the order of placement.
    pub(in crate::fleet) position: usize,
    /// The present time, local clock.
    pub(in crate::fleet) now: u64,
    /// The longest likely time that a task takes on an upstream of usual speed, in milliseconds;
    /// none for tasks that do not end.
    pub(in crate::fleet) longest: Option<u64>,
    /// Whether each task can be stopped at the cost of its restore: it writes checkpoints.
    pub(in crate::fleet) stoppable: bool,
    /// The reservation of its own, if any.
    pub(in crate::fleet) own: Option<u64>,
}

impl Hold {
    /// Returns whether the newcomer would still use the room when the gang starts.
    fn outlasts(&self, newcomer: &Newcomer) -> bool {
        let stopped = newcomer.stoppable && newcomer.priority > self.priority;
        let over = |longest| newcomer.now.saturating_add(scaled(longest, self.factor)) > self.start;
        newcomer.own != Some(self.number) && newcomer.longest.is_none_or(over) && !stopped
    }

    /// Returns whether the newcomer may use only the spare room. Urgent work, work of
    /// higher priority and work that goes before the gang in the order of placement ignore the
    /// reservation: a gang that is late holds nothing against work that can be in time.
    fn binds(&self, newcomer: &Newcomer) -> bool {
        let after = newcomer.priority >= self.priority && newcomer.position > self.position;
        newcomer.priority > 0 && after && self.outlasts(newcomer)
    }

    /// Records that `need` was placed here for `newcomer`.
    pub(in crate::fleet) fn charge(&mut self, newcomer: &Newcomer, need: &ResourceAmounts) {
        if self.outlasts(newcomer) {
            self.lost |= !need.fits(&self.spare);
            self.spare.sub(need);
        }
    }
}

/// Returns the most room that a newcomer may use on each candidate whose room is reserved.
pub(in crate::fleet) fn limits(
    holds: &[Hold],
    newcomer: &Newcomer,
) -> HashMap<usize, ResourceAmounts> {
    let mut found: HashMap<usize, ResourceAmounts> = HashMap::new();
    for hold in holds.iter().filter(|hold| hold.binds(newcomer)) {
        let limit = found.entry(hold.at).or_insert(hold.spare);
        *limit = least(limit, &hold.spare);
    }
    found
}

/// Returns how long work of `ms` at the usual speed takes at `factor` times that time.
fn scaled(ms: u64, factor: f64) -> u64 {
    as_ms(millis(ms) * factor)
}

/// What is known about the remaining time of a run.
#[derive(Debug, Clone, Copy)]
pub(in crate::fleet) struct Outlook {
    /// How long it has worked, in milliseconds.
    pub(in crate::fleet) worked: u64,
    /// How many times as long as usual work takes on its upstream.
    pub(in crate::fleet) factor: f64,
    /// The rest that follows from its reported progress, and the age of that report, in
    /// milliseconds.
    pub(in crate::fleet) reported: Option<(u64, u64)>,
}

impl Outlook {
    /// Returns in how many milliseconds the run is predicted to end: by its progress if that tells,
    /// else by the durations of its kind; `learned` returns the rest after a time of work, both at
    /// the usual speed.
    pub(in crate::fleet) fn rest_ms(&self, learned: impl Fn(u64) -> u64) -> u64 {
        if let Some((rest, age)) = self.reported
            && rest > age
        {
            return rest - age;
        }
        let usual = scaled(self.worked, 1.0 / self.factor);
        scaled(learned(usual), self.factor).max(self.worked / OVERRUN_PART)
    }
}

/// Returns the smaller of each amount.
pub(super) fn least(a: &ResourceAmounts, b: &ResourceAmounts) -> ResourceAmounts {
    ResourceAmounts {
        cpu: a.cpu.min(b.cpu),
        memory: a.memory.min(b.memory),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

/// What running work is predicted to release on each candidate, and when, the earliest first.
#[derive(Debug, Clone, Default)]
pub(in crate::fleet) struct Releases {
    by_candidate: Vec<Vec<(u64, ResourceAmounts)>>,
}

impl Releases {
    /// Sorts the releases of each candidate by time.
    pub(in crate::fleet) fn new(mut by_candidate: Vec<Vec<(u64, ResourceAmounts)>>) -> Self {
        for releases in &mut by_candidate {
            releases.sort_unstable_by_key(|(time, _)| *time);
        }
        Self { by_candidate }
    }

    fn of(&self, at: usize) -> &[(u64, ResourceAmounts)] {
        self.by_candidate.get(at).map_or(&[], Vec::as_slice)
    }
}

/// A gang that needs a reservation.
#[derive(Debug, Clone, Copy)]
pub(in crate::fleet) struct Request<'a> {
    /// The step, and where its tasks may run.
    pub(in crate::fleet) constraints: &'a Constraints<'a>,
    /// The number of tasks.
    pub(in crate::fleet) count: u32,
    /// The present time, local clock.
    pub(in crate::fleet) now: u64,
    /// The earliest time at which it may start, local clock.
    pub(in crate::fleet) earliest: u64,
    /// What running work releases.
    pub(in crate::fleet) releases: &'a Releases,
    /// The reservations of other gangs.
    pub(in crate::fleet) holds: &'a HashMap<usize, Vec<&'a Hold>>,
}

/// When and where a gang can start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::fleet) struct Plan {
    /// When, local clock.
    pub(in crate::fleet) start: u64,
    /// The candidate of each member.
    pub(in crate::fleet) members: Vec<usize>,
    /// What is left on each of these candidates at that time beside the members.
    pub(in crate::fleet) spares: Vec<(usize, ResourceAmounts)>,
}

/// The room of one candidate over time.
struct Timeline {
    room: ResourceAmounts,
    changes: Vec<(u64, ResourceAmounts)>,
}

impl Request<'_> {
    /// Returns the room of a candidate over time. Beside the reservations of others only their
    /// spare room is used until the last of them has ended.
    fn timeline(&self, candidate: &Candidate, at: usize) -> Timeline {
        let Some(holds) = self.holds.get(&at) else {
            return Timeline {
                room: candidate.free,
                changes: self.releases.of(at).to_vec(),
            };
        };
        let mut room = candidate.free;
        let mut last = (0, ResourceAmounts::default());
        for hold in holds {
            room = least(&room, &hold.spare);
            let mut whole = hold.spare;
            whole.add(&hold.need);
            if hold.end > last.0 {
                last = (hold.end, whole);
            }
        }
        let (end, mut more) = last;
        more.sub(&room);
        Timeline {
            room,
            changes: vec![(end, more)],
        }
    }
}

/// Finds the group of candidates in which the gang can start the earliest.
pub(in crate::fleet) fn plan(
    candidates: &[Candidate],
    racks: &Racks,
    request: &Request<'_>,
) -> Option<Plan> {
    let room = |rack| racks.total(candidates, rack);
    let groups = racks.groups(candidates, request.constraints, request.count, room);
    let options = groups
        .iter()
        .filter_map(|group| start_in(candidates, group, request).map(|start| (start, group)));
    let (start, group) = options.min_by_key(|(start, _)| *start)?;
    choose(candidates, group, request, start)
}

/// Returns when the gang can start in a group.
fn start_in(candidates: &[Candidate], group: &[usize], request: &Request<'_>) -> Option<u64> {
    let need = request.constraints.step.need();
    let most = request.constraints.upstream_limit().min(request.count);
    let mut times = Vec::with_capacity(group.len());
    for &at in group {
        let Some(candidate) = candidates.get(at).filter(|candidate| candidate.open) else {
            continue;
        };
        let Timeline { mut room, changes } = request.timeline(candidate, at);
        let mut fits = Candidate::count(&room, &need, most);
        times.extend(std::iter::repeat_n(request.now, fits as usize));
        for (time, more) in changes {
            if fits >= most {
                break;
            }
            room.add(&more);
            let now_fits = Candidate::count(&room, &need, most);
            times.extend(std::iter::repeat_n(time, (now_fits - fits) as usize));
            fits = now_fits;
        }
    }
    let last = (request.count as usize).checked_sub(1)?;
    if times.len() <= last {
        return None;
    }
    let (_, start, _) = times.select_nth_unstable(last);
    Some((*start).max(request.earliest))
}

/// Chooses the candidates of a group for a start at `start`: the preferred ones first, then those
/// with the least left.
fn choose(
    candidates: &[Candidate],
    group: &[usize],
    request: &Request<'_>,
    start: u64,
) -> Option<Plan> {
    let need = request.constraints.step.need();
    let most = request.constraints.upstream_limit().min(request.count);
    let mut rooms = Vec::with_capacity(group.len());
    for &at in group {
        let Some(candidate) = candidates.get(at).filter(|candidate| candidate.open) else {
            continue;
        };
        let Timeline { mut room, changes } = request.timeline(candidate, at);
        for (_, more) in changes.iter().filter(|(time, _)| *time <= start) {
            room.add(more);
        }
        let fits = Candidate::count(&room, &need, most);
        if fits > 0 {
            let preference = request.constraints.preference(candidate);
            rooms.push((preference, room.accelerators, room.memory, at, fits, room));
        }
    }
    rooms.sort_unstable_by_key(|(preference, accelerators, memory, at, ..)| {
        (*preference, *accelerators, *memory, *at)
    });
    let count = request.count as usize;
    let mut members = Vec::with_capacity(count);
    let mut spares = Vec::new();
    for (.., at, fits, mut room) in rooms {
        let left = u32::try_from(count - members.len()).unwrap_or(u32::MAX);
        let here = fits.min(left);
        members.extend(std::iter::repeat_n(at, here as usize));
        room.sub(&need.times(here));
        spares.push((at, room));
        if members.len() == count {
            return Some(Plan {
                start,
                members,
                spares,
            });
        }
    }
    None
}

/// A run on a reserved candidate that may be stopped.
#[derive(Debug, Clone)]
pub(in crate::fleet) struct Stoppable<T> {
    /// What identifies it.
    pub(in crate::fleet) run: T,
    /// When it was placed, local clock.
    pub(in crate::fleet) since: u64,
    /// What it releases.
    pub(in crate::fleet) need: ResourceAmounts,
    /// The work that stopping it wastes, in core-seconds.
    pub(in crate::fleet) waste: f64,
}

/// Chooses which of `runs` to stop on a candidate so that `need` fits into `room` and what they
/// release: the youngest first, as they would last the longest; none if it does not fit then.
pub(in crate::fleet) fn stops<T: Ord>(
    mut runs: Vec<Stoppable<T>>,
    mut room: ResourceAmounts,
    need: &ResourceAmounts,
) -> Option<Vec<Stoppable<T>>> {
    runs.sort_by(|a, b| b.since.cmp(&a.since).then(a.run.cmp(&b.run)));
    let mut chosen = Vec::new();
    let mut rest = runs.into_iter();
    while !need.fits(&room) {
        let run = rest.next()?;
        room.add(&run.need);
        chosen.push(run);
    }
    let mut kept = Vec::with_capacity(chosen.len());
    for run in chosen {
        let mut less = room;
        less.sub(&run.need);
        if need.fits(&less) {
            room = less;
        } else {
            kept.push(run);
        }
    }
    Some(kept)
}
