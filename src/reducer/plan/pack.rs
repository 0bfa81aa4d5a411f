//! Packing: the slots that a gang gets.

use crate::model::Adjacency;
use crate::model::Job;
use crate::prelude::*;
use crate::records::Slot;
use crate::reducer::ledger::fleet::Fleet;
use crate::reducer::ledger::fleet::Host;
use std::collections::BTreeMap;

/// Finds a slot for each member of `job` among free accelerators, or nothing if it does not fit.
pub fn find(fleet: &Fleet, job: &Job) -> Option<Vec<Slot>> {
    let mut groups: BTreeMap<Name, Vec<(&Name, &Host)>> = BTreeMap::new();
    for (name, host) in &fleet.hosts {
        let group = match job.adjacency {
            Adjacency::Worker => name.clone(),
            Adjacency::Rack => host.rack.clone(),
            Adjacency::Centre => host.centre.clone(),
            Adjacency::Any => "".into(),
        };
        groups.entry(group).or_default().push((name, host));
    }
    groups.values().find_map(|hosts| fill(hosts, job))
}

fn fill(hosts: &[(&Name, &Host)], job: &Job) -> Option<Vec<Slot>> {
    let mut slots = Vec::new();
    for (name, host) in hosts {
        let mut free = host.free();
        for _ in 0..host.room(job) {
            if slots.len() == job.members as usize {
                return Some(slots);
            }
            let mask = lowest(free, job.accelerators);
            free &= !mask;
            slots.push(Slot {
                worker: (*name).clone(),
                mask,
            });
        }
    }
    (slots.len() == job.members as usize).then_some(slots)
}

/// Returns the lowest `count` bits that are set in `free`.
pub fn lowest(free: u64, count: u32) -> u64 {
    let mut left = free;
    let mut mask = 0;
    for _ in 0..count {
        let bit = left & left.wrapping_neg();
        mask |= bit;
        left &= !bit;
    }
    mask
}
