//! Reservations: the domain where a large gang fits soonest is kept for it.
//!
//! Other work may run there meanwhile if it can be stopped or will be done in time, as in EASY
//! backfilling (Lifka, 1995).

use super::capacity::Capacity;
use super::capacity::Resources;
use super::queue;
use super::round::Round;
use crate::reducer::ledger::gangs::Gang;
use std::collections::BTreeMap;

/// The domain that is kept for a gang.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Reservation {
    /// Its workers.
    pub(super) spots: Vec<usize>,
    /// When it is expected to be free, in milliseconds of wall time.
    pub(super) from_ms: u64,
}

/// Finds the domain where a gang is expected to fit soonest.
pub(super) fn find(round: &Round<'_>, board: &Capacity<'_>, gang: &Gang) -> Option<Reservation> {
    let ends = ends(round, board);
    let groups = board.groups(gang.job.adjacency).into_iter();
    let found = groups.filter_map(|group| {
        let from_ms = soonest(round, board, gang, &group, &ends)?;
        Some(Reservation {
            spots: group,
            from_ms,
        })
    });
    found.min_by_key(|found| found.from_ms)
}

/// The part of a gang on one worker, and when it is expected to be given back.
struct End<'a> {
    at_ms: u64,
    gang: &'a Gang,
    mask: u64,
}

fn ends<'a>(round: &Round<'a>, board: &Capacity<'_>) -> BTreeMap<usize, Vec<End<'a>>> {
    let mut ends: BTreeMap<usize, Vec<End<'a>>> = BTreeMap::new();
    for job in &round.ledger.gangs.holding {
        let Some(gang) = round.ledger.gangs.all.get(job) else {
            continue;
        };
        let at_ms = queue::end_ms(round.ledger, gang, round.now_ms);
        for slot in &gang.slots {
            if let Some(i) = board.index(&slot.worker) {
                let mask = slot.mask;
                let list = ends.entry(i).or_default();
                list.push(End { at_ms, gang, mask });
            }
        }
    }
    ends
}

fn soonest(
    round: &Round<'_>,
    board: &Capacity<'_>,
    gang: &Gang,
    group: &[usize],
    ends: &BTreeMap<usize, Vec<End<'_>>>,
) -> Option<u64> {
    let mut rests: BTreeMap<usize, Resources> = BTreeMap::new();
    let mut coming = Vec::new();
    let mut room = 0_u64;
    for i in group {
        let rest = board.workers[*i].soon;
        room += u64::from(rest.room(&gang.job));
        rests.insert(*i, rest);
        let list = ends.get(i).into_iter().flatten();
        coming.extend(list.map(|end| (end.at_ms, *i, end)));
    }
    let need = u64::from(gang.job.members);
    if room >= need {
        return Some(round.now_ms);
    }
    coming.sort_by_key(|(at_ms, i, _)| (*at_ms, *i));
    for (at_ms, i, end) in coming {
        let rest = rests.get_mut(&i)?;
        room -= u64::from(rest.room(&gang.job));
        rest.give(&end.gang.job, end.mask);
        room += u64::from(rest.room(&gang.job));
        if room >= need {
            return Some(at_ms);
        }
    }
    None
}
