//! The other processes of the same kind, as known from heartbeats and the list of VMs.
//!
//! This state is only a hint, for example as to which process acts first; the log decides.

use super::event::Heartbeat;
use super::event::Now;
use crate::context::Context;
use crate::context::Process;
use crate::platform::Member;
use crate::platform::Role;
use crate::prelude::*;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The time after which a lost peer is removed, in milliseconds.
const FORGET_MS: u64 = 600_000;

/// A peer's last heartbeat and its time.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    /// Its last heartbeat.
    pub beat: Heartbeat,
    /// When it was received, in milliseconds of monotonic time.
    pub heard_ms: u64,
    /// Whether the peer was reported as lost.
    pub lost: bool,
}

/// All peers, and the platform's list of VMs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Peers {
    /// The peers, by writer name.
    pub all: BTreeMap<Name, Peer>,
    /// The list of VMs, as last read.
    pub list: Vec<Member>,
    /// The number of heartbeats and lists received.
    pub changes: u64,
}

impl Peers {
    /// Records a heartbeat, unless a later one has already arrived.
    ///
    /// Returns whether the peer was unknown or lost before.
    pub fn record(&mut self, beat: Heartbeat, now: Now) -> bool {
        let age = |beat: &Heartbeat| (beat.boot, beat.control);
        let older = self
            .all
            .get(&beat.from)
            .is_some_and(|peer| age(&peer.beat) > age(&beat));
        if older {
            return false;
        }
        self.changes += 1;
        let peer = Peer {
            heard_ms: now.mono_ms,
            lost: false,
            beat,
        };
        let before = self.all.insert(peer.beat.from.clone(), peer);
        before.is_none_or(|peer| peer.lost)
    }

    /// Marks and returns the peers that have become lost since the last call; removes those that
    /// have been lost for `FORGET_MS`.
    pub fn mark_lost(&mut self, ctx: &Context, now: Now) -> Vec<Name> {
        let silent_ms = ctx.settings.peers.silent_ms;
        self.all
            .retain(|_, peer| now.mono_ms < peer.heard_ms + silent_ms + FORGET_MS);
        let mut lost = Vec::new();
        for (name, peer) in &mut self.all {
            if !peer.lost && now.mono_ms >= peer.heard_ms + silent_ms {
                peer.lost = true;
                lost.push(name.clone());
            }
        }
        lost
    }

    /// Replaces the platform's list of VMs.
    pub fn set_list(&mut self, list: Vec<Member>) {
        self.changes += 1;
        self.list = list;
    }

    /// Iterates over the peers whose last heartbeat is more recent than `silent_ms`.
    pub fn live<'a>(&'a self, ctx: &'a Context, now: Now) -> impl Iterator<Item = &'a Peer> {
        let silent_ms = ctx.settings.peers.silent_ms;
        let peers = self.all.values();
        peers.filter(move |peer| now.mono_ms < peer.heard_ms + silent_ms)
    }

    /// Returns whether other processes of this kind should exist.
    pub fn expected(&self, ctx: &Context) -> bool {
        let role = match ctx.process {
            Process::Entry => Role::Entry,
            Process::Placer => Role::Placer,
        };
        let mut list = self.list.iter();
        let listed = list.any(|vm| vm.role == role && vm.name != ctx.settings.vm);
        listed || !self.all.is_empty()
    }

    /// Returns this process's rank for `topic`, 0 for the first.
    ///
    /// The ranking uses rendezvous hashing (Thaler and Ravishankar, 1998) over the live processes
    /// that are not leaving.
    pub fn rank(&self, ctx: &Context, now: Now, topic: &str) -> u64 {
        let own = weight(&ctx.writer, topic);
        let others = self.live(ctx, now).filter(|peer| !peer.beat.draining);
        let before = others.filter(|peer| weight(&peer.beat.from, topic) > own);
        before.count() as u64
    }

    /// Returns whether the platform's list marks `name` as leaving.
    pub fn leaving(&self, role: Role, name: &str) -> bool {
        let mut list = self.list.iter();
        list.any(|vm| vm.role == role && *vm.name == *name && vm.leaving)
    }
}

fn weight(writer: &str, topic: &str) -> (u64, String) {
    let text = format!("{writer}\n{topic}");
    (xxh3_64(text.as_bytes()), writer.to_owned())
}
