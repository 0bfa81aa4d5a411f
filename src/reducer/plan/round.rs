//! One round of planning: what to propose for the queued gangs.

use super::pack;
use crate::prelude::*;
use crate::records::Entry;
use crate::reducer::ledger::Ledger;
use crate::reducer::ledger::gangs::Gang;
use crate::reducer::ledger::gangs::Phase;

/// Proposes at most `most` entries; the log decides whether they are in force.
pub fn propose(ledger: &Ledger, most: usize) -> Vec<Entry> {
    let mut queued: Vec<&Gang> = ledger
        .gangs
        .all
        .values()
        .filter(|gang| gang.phase == Phase::Queued)
        .collect();
    queued.sort_by_key(|gang| rank(ledger, gang));
    let mut fleet = ledger.fleet.clone();
    let mut entries = Vec::new();
    for gang in queued {
        if entries.len() >= most {
            break;
        }
        let Some(slots) = pack::find(&fleet, &gang.job) else {
            continue;
        };
        for slot in &slots {
            if let Some(host) = fleet.hosts.get_mut(&slot.worker) {
                host.held |= slot.mask;
                host.held_cores += gang.job.cores;
                host.held_gb += gang.job.memory_gb;
            }
        }
        entries.push(Entry::Place {
            job: gang.job.id.clone(),
            attempt: gang.attempt,
            slots,
        });
    }
    entries
}

/// Orders the queue: urgent kinds first, then the oldest.
fn rank(ledger: &Ledger, gang: &Gang) -> (u8, u64, Name) {
    let kind = ledger.catalog.kind(&gang.job.kind);
    let class = kind.map_or(3, |kind| kind.priority as u8);
    (class, gang.submitted_ms, gang.job.id.clone())
}
