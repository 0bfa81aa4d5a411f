//! What is known of the other processes of the same kind; it hints and never decides.

use super::event::Heartbeat;
use super::event::Now;
use crate::context::Context;
use crate::context::Process;
use crate::platform::Member;
use crate::platform::Role;
use crate::prelude::*;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The silence after which a lost peer is forgotten, in milliseconds.
const FORGET_MS: u64 = 600_000;

/// A peer with the time at which it was last heard.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    /// Its last heartbeat.
    pub beat: Heartbeat,
    /// When it was last heard, in milliseconds of monotonic time.
    pub heard_ms: u64,
    /// Whether it was said to be lost.
    pub lost: bool,
}

/// All peers, and the platform's list of VMs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Peers {
    /// The peers, by writer name.
    pub all: BTreeMap<Name, Peer>,
    /// The list of VMs as last read.
    pub list: Vec<Member>,
    /// Counts the heartbeats and lists that were taken in.
    pub changes: u64,
}

impl Peers {
    /// Takes in a heartbeat; one that was overtaken by a later one is passed over.
    ///
    /// Tells whether the peer was not known or was lost.
    pub fn hear(&mut self, beat: Heartbeat, now: Now) -> bool {
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

    /// Returns the peers that fell silent since the last call, and forgets those long gone.
    pub fn lose(&mut self, ctx: &Context, now: Now) -> Vec<Name> {
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

    /// Takes in the platform's list of VMs.
    pub fn read_list(&mut self, list: Vec<Member>) {
        self.changes += 1;
        self.list = list;
    }

    /// Iterates over the peers that were heard lately.
    pub fn live<'a>(&'a self, ctx: &'a Context, now: Now) -> impl Iterator<Item = &'a Peer> {
        let silent_ms = ctx.settings.peers.silent_ms;
        let peers = self.all.values();
        peers.filter(move |peer| now.mono_ms < peer.heard_ms + silent_ms)
    }

    /// Tells whether there should be other processes of this kind.
    pub fn expected(&self, ctx: &Context) -> bool {
        let role = match ctx.process {
            Process::Entry => Role::Entry,
            Process::Placer => Role::Placer,
        };
        let mut list = self.list.iter();
        let listed = list.any(|vm| vm.role == role && vm.name != ctx.settings.vm);
        listed || !self.all.is_empty()
    }

    /// Returns this process's place in the line for `topic`, 0 for the first.
    ///
    /// The line is ordered by rendezvous hashing (Thaler and Ravishankar, 1998) over the live
    /// processes that are not leaving.
    pub fn rank(&self, ctx: &Context, now: Now, topic: &str) -> u64 {
        let own = weight(&ctx.writer, topic);
        let others = self.live(ctx, now).filter(|peer| !peer.beat.draining);
        let before = others.filter(|peer| weight(&peer.beat.from, topic) > own);
        before.count() as u64
    }

    /// Tells whether the platform's list names `name` as leaving.
    pub fn leaving(&self, role: Role, name: &str) -> bool {
        let mut list = self.list.iter();
        list.any(|vm| vm.role == role && *vm.name == *name && vm.leaving)
    }
}

fn weight(writer: &str, topic: &str) -> (u64, String) {
    let text = format!("{writer}\n{topic}");
    (xxh3_64(text.as_bytes()), writer.to_owned())
}
