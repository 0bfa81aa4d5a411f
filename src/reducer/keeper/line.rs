//! The workers for which this process ranks first; recomputed only when a peer, a worker or the
//! racks change.

use super::View;
use crate::platform::Role;
use crate::prelude::*;
use std::collections::BTreeSet;

/// The interval between two checks of the list of VMs, in milliseconds.
const LIST_MS: u64 = 1_000;

/// The workers of this process, and the inputs from which they were computed.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Line {
    peers: Vec<Name>,
    racks: Option<u64>,
    hosts: usize,
    own: Vec<Name>,
    leaving: BTreeSet<Name>,
    listed_ms: u64,
}

impl Line {
    /// Updates the workers of this process; returns whether they may have changed.
    pub(super) fn update(&mut self, view: &View<'_>) -> bool {
        self.update_leaving(view);
        let live = view.peers.live(view.ctx, view.now);
        let staying = live.filter(|peer| !peer.beat.draining);
        let peers: Vec<Name> = staying.map(|peer| peer.beat.from.clone()).collect();
        let racks = Some(view.ledger.catalog.rack_changes);
        let hosts = view.ledger.fleet.hosts.len();
        if peers == self.peers && racks == self.racks && hosts == self.hosts {
            return false;
        }
        self.peers = peers;
        self.racks = racks;
        self.hosts = hosts;
        let names = view.ledger.fleet.hosts.keys();
        let own = names.filter(|name| view.peers.rank(view.ctx, view.now, name) == 0);
        self.own = own.cloned().collect();
        true
    }

    /// Returns the workers for which this process ranks first.
    pub(super) fn own(&self) -> &[Name] {
        &self.own
    }

    /// Returns whether the list of VMs marks a worker as leaving.
    pub(super) fn leaving(&self, worker: &Name) -> bool {
        self.leaving.contains(worker)
    }

    fn update_leaving(&mut self, view: &View<'_>) {
        if view.now.mono_ms < self.listed_ms {
            return;
        }
        self.listed_ms = view.now.mono_ms + LIST_MS;
        let list = view.peers.list.iter();
        let leaving = list.filter(|vm| vm.role == Role::Worker && vm.leaving);
        self.leaving = leaving.map(|vm| vm.name.clone()).collect();
    }
}
