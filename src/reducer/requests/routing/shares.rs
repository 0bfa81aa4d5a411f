//! The shares of the runners' slots, and what the other entry VMs use of them.

use super::BORROW_PCT;
use super::Gate;
use super::Routing;
use super::View;
use crate::platform::Role;
use crate::prelude::*;
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

impl Routing {
    /// Determines the entry VMs that share the runners, and returns how many of them are silent.
    pub(super) fn find_members(&mut self, view: &View<'_>) -> u64 {
        let config = &view.ctx.settings.requests;
        let live = view.peers.live(view.ctx, view.now);
        let mut heard: BTreeSet<Name> = live.map(|peer| peer.beat.from.clone()).collect();
        heard.insert(view.ctx.writer.clone());
        let heard_count = heard.len() as u64;
        let listed = view.peers.list.iter().filter(|vm| vm.role == Role::Entry);
        self.members = heard;
        self.members
            .extend(listed.map(|vm| Name::from(format!("{}/entry", vm.name))));
        let incomplete = view.peers.list.is_empty() && heard_count < config.fleet;
        let silent = self.members() - heard_count;
        self.borrow = !incomplete && silent * 2 <= self.members();
        silent
    }

    /// Divides every runner's slots among the known entry VMs.
    pub(super) fn assign_shares(&mut self, view: &View<'_>) {
        let config = &view.ctx.settings.requests;
        let mut named = BTreeSet::new();
        for pool in view.ledger.catalog.pools.values() {
            for runner in &pool.value.runners {
                let share = match self.borrow {
                    true => self.share_of(view, &runner.name, pool.value.slots),
                    false => safe_share(pool.value.slots, config.fleet + config.spare),
                };
                let track = self.tracks.entry(runner.name.clone()).or_default();
                track.slots = pool.value.slots;
                track.share = share;
                named.insert(runner.name.clone());
            }
        }
        self.tracks
            .retain(|runner, track| track.flight > 0 || named.contains(runner));
    }

    fn share_of(&self, view: &View<'_>, runner: &Name, slots: u32) -> u32 {
        let members = self.members.len() as u32;
        let own = weight(&view.ctx.writer, runner);
        let before = self
            .members
            .iter()
            .filter(|member| weight(member, runner) > own);
        let rank = before.count() as u32;
        slots / members + u32::from(rank < slots % members)
    }

    /// Determines the pools whose total load is low enough that a VM may borrow their slots.
    pub(super) fn find_idle(&mut self, view: &View<'_>) {
        self.idle.clear();
        for (name, pool) in &view.ledger.catalog.pools {
            let runners = pool.value.runners.iter();
            let tracks = runners.filter_map(|runner| self.tracks.get(&runner.name));
            let open = tracks.filter(|track| track.health.gate(view.now.mono_ms) == Gate::Open);
            let mut load = 0;
            let mut slots = 0;
            for track in open {
                load += u64::from(track.total_load());
                slots += u64::from(track.slots);
            }
            if load * 100 < slots * u64::from(BORROW_PCT) {
                self.idle.insert(name.clone());
            }
        }
    }

    /// Sums the requests that other VMs have in flight; a silent one is assumed to use its share.
    pub(super) fn sum_others(&mut self, view: &View<'_>, silent: u64) {
        let members = self.members().max(1);
        for track in self.tracks.values_mut() {
            let unseen = u64::from(track.slots) * silent / members;
            track.others = unseen as u32;
            track.ghosts.retain(|end_ms| *end_ms > view.now.mono_ms);
        }
        for peer in view.peers.live(view.ctx, view.now) {
            if peer.beat.from == view.ctx.writer {
                continue;
            }
            for load in &peer.beat.loads {
                if let Some(track) = self.tracks.get_mut(&load.runner) {
                    track.others = track.others.saturating_add(load.flight);
                }
            }
        }
    }
}

/// Returns the share that is safe while the other VMs are not known.
fn safe_share(slots: u32, vms: u64) -> u32 {
    let vms = u32::try_from(vms.max(1)).unwrap_or(u32::MAX);
    (slots / vms).max(1)
}

fn weight(writer: &str, runner: &str) -> u64 {
    xxh3_64_with_seed(runner.as_bytes(), xxh3_64(writer.as_bytes()))
}
