//! The other VMs as the leader knows them: which watch it closely, and which would lead next.
//!
//! The load it answers: fleets of hundreds of VMs, in which all would notice a lost leader at once.
//! A few deputies notice it early and claim the lead; the others wait for the claim.

use crate::prelude::*;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// VMs that watch the leader closely: one is left if two are lost with it.
const DEPUTIES: usize = 3;

/// What another VM says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// Its data centre.
    pub centre: Name,
    /// Its share of a processor, in thousandths of a core.
    pub milli: u64,
    /// Whether it could lead: the store serves it, and it is not about to stop.
    pub fit: bool,
}

/// The VMs with a connection to this one, by connection.
#[derive(Debug, Default)]
pub struct Members {
    all: BTreeMap<u64, (Member, u64)>,
    deputies: BTreeSet<u64>,
    /// When another VM was heard last, own time.
    heard: u64,
}

impl Members {
    /// Notes what the VM at the other end of a connection says of itself.
    pub fn join(&mut self, connection: u64, member: Member, now: u64) {
        let since = match self.all.get(&connection) {
            Some((known, _)) if *known == member => return,
            Some((known, since)) if known.fit == member.fit => *since,
            _ => now,
        };
        self.all.insert(connection, (member, since));
        self.choose();
    }

    /// Drops a connection.
    pub fn part(&mut self, connection: u64) {
        if self.all.remove(&connection).is_some() {
            self.choose();
        }
    }

    /// Notes that another VM was heard at `now`.
    pub fn hear(&mut self, now: u64) {
        self.heard = self.heard.max(now);
    }

    /// Returns when another VM was heard last, own time.
    pub fn heard(&self) -> u64 {
        self.heard
    }

    /// Tells whether the VM at the other end of a connection watches the leader closely.
    pub fn is_deputy(&self, connection: u64) -> bool {
        self.deputies.contains(&connection)
    }

    /// Returns the largest share of a processor of a VM that could lead, `own` included.
    pub fn best_milli(&self, own: u64) -> u64 {
        self.fit()
            .map(|(_, member, _)| member.milli)
            .fold(own, u64::max)
    }

    /// Returns the VM that is to lead next: the largest that has been connected since before
    /// `since`, or else the largest.
    pub fn successor(&self, since: u64) -> Option<Member> {
        let rank = |&(_, member, joined): &(u64, &Member, u64)| (joined < since, member.milli);
        // Of equals, the first.
        let best = self.fit().reduce(|best, next| {
            if rank(&next) > rank(&best) {
                next
            } else {
                best
            }
        });
        best.map(|(_, member, _)| member.clone())
    }

    fn fit(&self) -> impl Iterator<Item = (u64, &Member, u64)> {
        let all = self.all.iter();
        all.filter(|(_, (member, _))| member.fit)
            .map(|(connection, (member, since))| (*connection, member, *since))
    }

    /// Chooses the deputies: the largest VMs, of different data centres as far as there are.
    fn choose(&mut self) {
        let mut ranked: Vec<(u64, &Member)> = self
            .fit()
            .map(|(connection, member, _)| (connection, member))
            .collect();
        ranked.sort_by(|(_, a), (_, b)| b.milli.cmp(&a.milli).then_with(|| a.name.cmp(&b.name)));
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
