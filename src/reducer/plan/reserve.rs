//! Reservations: the domain in which a large gang is expected to fit first is reserved for it.
//!
//! Other work may run there meanwhile if it can be stopped or will end in time, as in EASY
//! backfilling (Lifka, 1995).

use super::capacity::Capacity;
use super::capacity::Resources;
use super::queue;
use super::round::Round;
use crate::reducer::ledger::gangs::Gang;
use std::collections::BTreeMap;

/// A domain that is reserved for a gang.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Reservation {
    /// Indices of its workers.
    pub(super) workers: Vec<usize>,
    /// When the gang is expected to fit, in milliseconds of wall time.
    pub(super) from_ms: u64,
}

/// Finds the domain in which a gang is expected to fit first.
pub(super) fn find(round: &Round<'_>, capacity: &Capacity<'_>, gang: &Gang) -> Option<Reservation> {
    let releases = releases(round, capacity);
    let groups = capacity.groups(gang.job.adjacency).into_iter();
    let found = groups.filter_map(|group| {
        let from_ms = earliest_fit(round, capacity, gang, &group, &releases)?;
        Some(Reservation {
            workers: group,
            from_ms,
        })
    });
    found.min_by_key(|found| found.from_ms)
}

/// The accelerators of a gang on one worker, and when they are expected to be released.
struct Release<'a> {
    at_ms: u64,
    gang: &'a Gang,
    mask: u64,
}

fn releases<'a>(round: &Round<'a>, capacity: &Capacity<'_>) -> BTreeMap<usize, Vec<Release<'a>>> {
    let mut releases: BTreeMap<usize, Vec<Release<'a>>> = BTreeMap::new();
    for job in &round.ledger.gangs.holding {
        let Some(gang) = round.ledger.gangs.all.get(job) else {
            continue;
        };
        let at_ms = queue::end_ms(round.ledger, gang, round.now_ms);
        for slot in &gang.slots {
            if let Some(i) = capacity.index(&slot.worker) {
                let mask = slot.mask;
                let list = releases.entry(i).or_default();
                list.push(Release { at_ms, gang, mask });
            }
        }
    }
    releases
}

fn earliest_fit(
    round: &Round<'_>,
    capacity: &Capacity<'_>,
    gang: &Gang,
    group: &[usize],
    releases: &BTreeMap<usize, Vec<Release<'_>>>,
) -> Option<u64> {
    let mut available: BTreeMap<usize, Resources> = BTreeMap::new();
    let mut upcoming = Vec::new();
    let mut room = 0_u64;
    for i in group {
        let resources = capacity.workers[*i].after_stops;
        room += u64::from(resources.room(&gang.job));
        available.insert(*i, resources);
        let list = releases.get(i).into_iter().flatten();
        upcoming.extend(list.map(|release| (release.at_ms, *i, release)));
    }
    let need = u64::from(gang.job.members);
    if room >= need {
        return Some(round.now_ms);
    }
    upcoming.sort_by_key(|(at_ms, i, _)| (*at_ms, *i));
    for (at_ms, i, release) in upcoming {
        let resources = available.get_mut(&i)?;
        room -= u64::from(resources.room(&gang.job));
        resources.add(&release.gang.job, release.mask);
        room += u64::from(resources.room(&gang.job));
        if room >= need {
            return Some(at_ms);
        }
    }
    None
}
