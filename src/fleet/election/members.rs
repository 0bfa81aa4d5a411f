//! The VMs connected to this one: chooses the deputies and the successor.
//!
//! In fleets of hundreds of VMs, all would detect the loss of the leader at once. A few deputies,
//! which send heartbeats more often, detect it early and claim the lead; the others wait for the
//! claim.

use super::Predecessor;
use crate::prelude::*;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The number of deputies: one is left if two are lost together with the leader.
const DEPUTIES: usize = 3;

/// What another VM reports about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// Its data centre.
    pub centre: Name,
    /// Its CPU share, in thousandths of a core.
    pub cpu_milli: u64,
    /// Whether it could lead: it reaches the store, and is not shutting down.
    pub eligible: bool,
    /// Where other VMs reach it; empty if an earlier build runs there.
    pub addr: String,
    /// A number that identifies its process; 0 if an earlier build runs there.
    pub boot: u64,
}

/// The VMs connected to this one, by connection.
#[derive(Debug, Default)]
pub struct Members {
    /// Each member, and since when its eligibility has been the same (local clock).
    all: BTreeMap<u64, (Member, u64)>,
    deputies: BTreeSet<u64>,
    /// When the last frame from another VM was received (local clock).
    last_contact: u64,
}

impl Members {
    /// Records what the VM at the other end of a connection reports about itself.
    pub fn join(&mut self, connection: u64, member: Member, now: u64) {
        let since = match self.all.get(&connection) {
            Some((known, _)) if *known == member => return,
            Some((known, since)) if known.eligible == member.eligible => *since,
            _ => now,
        };
        self.all.insert(connection, (member, since));
        self.choose_deputies();
    }

    /// Removes a connection that has closed.
    pub fn leave(&mut self, connection: u64) {
        if self.all.remove(&connection).is_some() {
            self.choose_deputies();
        }
    }

    /// Records that a frame from another VM was received at `now`.
    pub fn note_contact(&mut self, now: u64) {
        self.last_contact = self.last_contact.max(now);
    }

    /// Returns when the last frame from another VM was received (local clock).
    pub fn last_contact(&self) -> u64 {
        self.last_contact
    }

    /// Returns whether a later process of the VM that led before is connected.
    pub fn have_replaced(&self, before: &Predecessor) -> bool {
        let mut all = self.all.values();
        all.any(|(member, _)| before.is_replaced_by(&member.name, &member.addr, member.boot))
    }

    /// Returns whether the VM at the other end of a connection is a deputy.
    pub fn is_deputy(&self, connection: u64) -> bool {
        self.deputies.contains(&connection)
    }

    /// Returns the largest CPU share of the VMs that could lead, `own` included, in thousandths of
    /// a core.
    pub fn best_milli(&self, own: u64) -> u64 {
        self.eligible()
            .map(|(_, member, _)| member.cpu_milli)
            .fold(own, u64::max)
    }

    /// Returns the VM that is to lead next: the largest of those connected since before `since`, or
    /// else the largest of all.
    pub fn successor(&self, since: u64) -> Option<Member> {
        let rank = |&(_, member, joined): &(u64, &Member, u64)| (joined < since, member.cpu_milli);
        // `reduce` keeps the first of equals; `max_by_key` would return the last.
        let best = self.eligible().reduce(|best, next| {
            if rank(&next) > rank(&best) {
                next
            } else {
                best
            }
        });
        best.map(|(_, member, _)| member.clone())
    }

    fn eligible(&self) -> impl Iterator<Item = (u64, &Member, u64)> {
        let all = self.all.iter();
        all.filter(|(_, (member, _))| member.eligible)
            .map(|(connection, (member, since))| (*connection, member, *since))
    }

    /// Chooses the deputies: the largest VMs, in different data centres as far as possible.
    fn choose_deputies(&mut self) {
        let mut ranked: Vec<(u64, &Member)> = self
            .eligible()
            .map(|(connection, member, _)| (connection, member))
            .collect();
        ranked.sort_by(|(_, a), (_, b)| {
            b.cpu_milli
                .cmp(&a.cpu_milli)
                .then_with(|| a.name.cmp(&b.name))
        });
        let mut centres = BTreeSet::new();
        let mut chosen = BTreeSet::new();
        for (connection, member) in &ranked {
            if chosen.len() < DEPUTIES && centres.insert(member.centre.clone()) {
                chosen.insert(*connection);
            }
        }
        for (connection, _) in &ranked {
            if chosen.len() < DEPUTIES {
                chosen.insert(*connection);
            }
        }
        self.deputies = chosen;
    }
}
