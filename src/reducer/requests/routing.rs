//! The choice of a runner.
//!
//! Each VM owns a share of every runner's slots, dealt by rendezvous hashing (Thaler and
//! Ravishankar, 1998) over the entry VMs that are known, so that the shares add up to the slots
//! without any agreement. Beyond its share a VM borrows what the peers' heartbeats show unused.
//! Between two random candidates the less loaded is taken (the power of two choices,
//! Mitzenmacher, 2001), which keeps VMs with old hints from choosing alike.

use super::View;
use super::health::Gate;
use super::health::Health;
use super::health::Listed;
use super::health::Mark;
use super::health::Turn;
use crate::model::Pool;
use crate::model::Runner;
use crate::platform::Role;
use crate::prelude::*;
use crate::reducer::event::Load;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The time after which peers that fell silent are looked at again, in milliseconds.
const REFRESH_MS: u64 = 250;
/// The share of a runner's slots up to which a VM may borrow, in percent.
const BORROW_PCT: u32 = 75;
/// The time for which requests must have waited before a VM borrows, in milliseconds: the peers'
/// next heartbeats then tell whether they need their shares themselves.
const BORROW_AFTER_MS: u64 = 750;
/// The time without waiting requests after which borrowing ends, in milliseconds.
const BORROW_END_MS: u64 = 2_000;
/// The random draws for two candidates, before all runners are looked at in turn.
const DRAWS: u32 = 6;

/// What this VM knows of one runner.
#[derive(Debug, Clone, Default, PartialEq)]
struct Track {
    flight: u32,
    others: u32,
    share: u32,
    slots: u32,
    health: Health,
}

impl Track {
    fn load(&self) -> u32 {
        self.flight + self.others
    }

    fn has_room(&self, borrows: bool) -> bool {
        let lent = borrows && self.load() < self.slots * BORROW_PCT / 100;
        self.flight < self.share || lent
    }
}

/// For how long requests have waited for a pool.
#[derive(Debug, Clone, PartialEq)]
struct Backlog {
    since_ms: u64,
    last_ms: u64,
}

/// A runner that may be chosen.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    runner: &'a Runner,
    gate: Gate,
    tried: bool,
    load: u32,
    far: bool,
}

impl Candidate<'_> {
    fn cost(&self) -> (bool, Gate, u32, bool) {
        (self.tried, self.gate, self.load, self.far)
    }
}

/// The runners, as this VM sees them.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Routing {
    tracks: BTreeMap<Name, Track>,
    members: BTreeSet<Name>,
    borrow: bool,
    backlogs: BTreeMap<Name, Backlog>,
    changes: u64,
    cfg: Offset,
    due_ms: u64,
    draws: u64,
}

impl Routing {
    /// Returns this process's requests in flight at each runner.
    pub(super) fn loads(&self) -> Vec<Load> {
        let busy = self.tracks.iter().filter(|(_, track)| track.flight > 0);
        busy.map(|(runner, track)| Load {
            runner: runner.clone(),
            flight: track.flight,
        })
        .collect()
    }

    /// Takes over what the peers, the list of VMs and the configuration say by now.
    pub(super) fn refresh(&mut self, view: &View<'_>) -> Vec<(Name, Turn)> {
        let same = self.changes == view.peers.changes && self.cfg == view.ledger.catalog.next;
        if same && view.now.mono_ms < self.due_ms {
            return Vec::new();
        }
        self.due_ms = view.now.mono_ms + REFRESH_MS;
        self.changes = view.peers.changes;
        let known = (self.members.clone(), self.borrow);
        let silent = self.find_members(view);
        let moved = known.0 != self.members || known.1 != self.borrow;
        if self.cfg != view.ledger.catalog.next || moved {
            self.deal(view);
        }
        self.cfg = view.ledger.catalog.next;
        self.add_others(view, silent);
        self.follow(view)
    }

    /// Chooses a runner of `pool` for a request that was tried at `tried`.
    pub(super) fn choose<'a>(
        &mut self,
        view: &View<'_>,
        pool: &'a Pool,
        tried: &[Name],
        idempotent: bool,
    ) -> Option<&'a Runner> {
        let count = pool.runners.len();
        if count == 0 {
            return None;
        }
        let borrows = self.borrows(pool, view.now.mono_ms);
        let mut found: Option<Candidate<'a>> = None;
        let mut seen = 0;
        for _ in 0..DRAWS {
            let at = self.draw(view) as usize % count;
            let Some(next) = self.candidate(view, &pool.runners[at], tried, borrows) else {
                continue;
            };
            // One request proves that a failed runner is back; it must bear being run again.
            if next.gate == Gate::Probe && idempotent && !next.tried {
                return Some(next.runner);
            }
            seen += 1;
            found = Some(found.map_or(next, |known| cheaper(known, next)));
            if seen == 2 {
                break;
            }
        }
        match found {
            Some(found) if !found.tried && found.gate == Gate::Open => Some(found.runner),
            _ => self.search(view, pool, tried, idempotent),
        }
    }

    /// Notes the pools for which requests wait, as a VM borrows only while they do.
    pub(super) fn note_backlogs(&mut self, pools: BTreeSet<Name>, now_ms: u64) {
        self.backlogs
            .retain(|_, backlog| now_ms < backlog.last_ms + BORROW_END_MS);
        for pool in pools {
            let backlog = self.backlogs.entry(pool).or_insert(Backlog {
                since_ms: now_ms,
                last_ms: now_ms,
            });
            backlog.last_ms = now_ms;
        }
    }

    /// Counts a request that is sent to `runner`.
    pub(super) fn sent(&mut self, runner: &Name) {
        let track = self.tracks.entry(runner.clone()).or_default();
        track.flight += 1;
        track.health.sent();
    }

    /// Counts the end of a try, and judges the runner by it.
    pub(super) fn ended(
        &mut self,
        view: &View<'_>,
        pool: Option<&Pool>,
        runner: &Name,
        mark: Mark,
        sent_ms: u64,
    ) -> Option<Turn> {
        let wide = pool.is_some_and(|pool| self.is_wide(pool));
        let track = self.tracks.get_mut(runner)?;
        track.flight = track.flight.saturating_sub(1);
        let config = &view.ctx.settings.requests;
        let health = &mut track.health;
        health.mark(config, mark, sent_ms, view.now.mono_ms, wide)
    }

    /// Returns how many requests this VM can have at the runners of `pool` at once.
    pub(super) fn servers(&self, pool: &Pool, now_ms: u64) -> u64 {
        let tracks = pool
            .runners
            .iter()
            .filter_map(|runner| self.tracks.get(&runner.name));
        let open = tracks.filter(|track| track.health.gate(now_ms) == Gate::Open);
        open.map(|track| u64::from(track.share.max(track.flight)))
            .sum()
    }

    /// Returns the entry VMs that are known, this one included.
    pub(super) fn members(&self) -> u64 {
        self.members.len() as u64
    }

    /// Looks at all runners in turn, from a random one on.
    fn search<'a>(
        &mut self,
        view: &View<'_>,
        pool: &'a Pool,
        tried: &[Name],
        idempotent: bool,
    ) -> Option<&'a Runner> {
        let count = pool.runners.len();
        let borrows = self.borrows(pool, view.now.mono_ms);
        let start = self.draw(view) as usize % count;
        let mut found: Option<Candidate<'a>> = None;
        for step in 0..count {
            let runner = &pool.runners[(start + step) % count];
            let Some(next) = self.candidate(view, runner, tried, borrows) else {
                continue;
            };
            found = Some(found.map_or(next, |known| cheaper(known, next)));
        }
        let found = found?;
        let risky = found.gate == Gate::Probe && !idempotent;
        if risky && self.servers(pool, view.now.mono_ms) > 0 {
            return None;
        }
        Some(found.runner)
    }

    fn candidate<'a>(
        &self,
        view: &View<'_>,
        runner: &'a Runner,
        tried: &[Name],
        borrows: bool,
    ) -> Option<Candidate<'a>> {
        let track = self.tracks.get(&runner.name)?;
        let gate = track.health.gate(view.now.mono_ms);
        let room = match gate {
            Gate::Open => track.has_room(borrows),
            Gate::Probe => track.flight == 0,
            Gate::Closed => false,
        };
        room.then(|| Candidate {
            runner,
            gate,
            tried: tried.contains(&runner.name),
            load: track.load(),
            far: runner.centre != view.ctx.settings.centre,
        })
    }

    /// Tells whether this VM may go beyond its share of a pool's slots.
    fn borrows(&self, pool: &Pool, now_ms: u64) -> bool {
        let backlog = self.backlogs.get(&pool.name);
        let lasts = backlog.is_some_and(|backlog| {
            backlog.last_ms >= backlog.since_ms + BORROW_AFTER_MS
                && now_ms < backlog.last_ms + BORROW_END_MS
        });
        self.borrow && lasts
    }

    /// Tells whether most runners of a pool fail, so that the fault is hardly any single one's.
    fn is_wide(&self, pool: &Pool) -> bool {
        let tracks = pool
            .runners
            .iter()
            .filter_map(|runner| self.tracks.get(&runner.name));
        let failing = tracks.filter(|track| track.health.is_failing()).count();
        failing * 2 > pool.runners.len()
    }

    /// Draws a number that differs between VMs, boots and draws.
    fn draw(&mut self, view: &View<'_>) -> u64 {
        self.draws += 1;
        let seed = view.ctx.boot ^ xxh3_64(view.ctx.writer.as_bytes());
        xxh3_64_with_seed(&self.draws.to_le_bytes(), seed)
    }

    /// Finds the entry VMs that share the runners, and returns how many of them are silent.
    fn find_members(&mut self, view: &View<'_>) -> u64 {
        let config = &view.ctx.settings.requests;
        let live = view.peers.live(view.ctx, view.now);
        let mut heard: BTreeSet<Name> = live.map(|peer| peer.beat.from.clone()).collect();
        heard.insert(view.ctx.writer.clone());
        let heard_count = heard.len() as u64;
        let listed = view.peers.list.iter().filter(|vm| vm.role == Role::Entry);
        self.members = heard;
        self.members
            .extend(listed.map(|vm| Name::from(format!("{}/entry", vm.name))));
        let unread = view.peers.list.is_empty() && heard_count < config.fleet;
        let silent = self.members() - heard_count;
        self.borrow = !unread && silent * 2 <= self.members();
        silent
    }

    /// Deals every runner's slots to the known entry VMs.
    fn deal(&mut self, view: &View<'_>) {
        let config = &view.ctx.settings.requests;
        let mut named = BTreeSet::new();
        for pool in view.ledger.catalog.pools.values() {
            for runner in &pool.value.runners {
                let share = match self.borrow {
                    true => self.dealt(view, &runner.name, pool.value.slots),
                    false => share_blind(pool.value.slots, config.fleet + config.spare),
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

    fn dealt(&self, view: &View<'_>, runner: &Name, slots: u32) -> u32 {
        let members = self.members.len() as u32;
        let own = weight(&view.ctx.writer, runner);
        let before = self
            .members
            .iter()
            .filter(|member| weight(member, runner) > own);
        let rank = before.count() as u32;
        slots / members + u32::from(rank < slots % members)
    }

    /// Adds up what the others have in flight; a silent one is taken to use its whole share.
    fn add_others(&mut self, view: &View<'_>, silent: u64) {
        let members = self.members().max(1);
        for track in self.tracks.values_mut() {
            let hidden = u64::from(track.slots) * silent / members;
            track.others = hidden as u32;
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

    fn follow(&mut self, view: &View<'_>) -> Vec<(Name, Turn)> {
        let runners = view.peers.list.iter().filter(|vm| vm.role == Role::Runner);
        let listed: BTreeMap<&str, bool> = runners.map(|vm| (&*vm.name, vm.leaving)).collect();
        let mut turns = Vec::new();
        for pool in view.ledger.catalog.pools.values() {
            for runner in &pool.value.runners {
                let Some(track) = self.tracks.get_mut(&runner.name) else {
                    continue;
                };
                let says = match listed.get(&*runner.name) {
                    _ if view.peers.list.is_empty() => Listed::Unknown,
                    Some(true) => Listed::Leaving,
                    Some(false) => Listed::Live,
                    None => Listed::Absent,
                };
                if let Some(turn) = track.health.follow(says, pool.version) {
                    turns.push((runner.name.clone(), turn));
                }
            }
        }
        turns
    }
}

/// Returns the share that is safe while the other VMs are not known.
fn share_blind(slots: u32, vms: u64) -> u32 {
    let vms = u32::try_from(vms.max(1)).unwrap_or(u32::MAX);
    (slots / vms).max(1)
}

fn cheaper<'a>(known: Candidate<'a>, next: Candidate<'a>) -> Candidate<'a> {
    match next.cost() < known.cost() {
        true => next,
        false => known,
    }
}

fn weight(writer: &str, runner: &str) -> u64 {
    xxh3_64_with_seed(runner.as_bytes(), xxh3_64(writer.as_bytes()))
}
