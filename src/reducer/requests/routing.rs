//! The choice of a runner.
//!
//! Each VM owns a share of every runner's slots, dealt by rendezvous hashing (Thaler and
//! Ravishankar, 1998) over the entry VMs that are known, so that the shares add up to the slots
//! without any agreement. Beyond its share a VM borrows what the peers' heartbeats show unused.
//! Between two random candidates the less loaded is taken (the power of two choices,
//! Mitzenmacher, 2001), which keeps VMs with old hints from choosing alike.

mod shares;

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
/// The time between two probes at a pool most of which fails, in milliseconds.
const PROBE_GAP_MS: u64 = 250;
/// The random draws for two candidates, before all runners are looked at in turn.
const DRAWS: u32 = 6;

/// What this VM knows of one runner.
#[derive(Debug, Clone, Default, PartialEq)]
struct Track {
    flight: u32,
    others: u32,
    share: u32,
    slots: u32,
    /// When each abandoned request is taken to have ended, as its upstream runs it on.
    ghosts: Vec<u64>,
    health: Health,
}

impl Track {
    fn own(&self) -> u32 {
        self.flight + self.ghosts.len() as u32
    }

    fn load(&self) -> u32 {
        self.own() + self.others
    }

    fn has_room(&self, borrows: bool) -> bool {
        let lent = borrows && self.load() < self.slots * BORROW_PCT / 100;
        self.own() < self.share || lent
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
    idle: BTreeSet<Name>,
    probes: BTreeMap<Name, u64>,
    changes: u64,
    cfg: Offset,
    due_ms: u64,
    draws: u64,
}

impl Routing {
    /// Returns this process's requests in flight at each runner.
    pub(super) fn loads(&self) -> Vec<Load> {
        let busy = self.tracks.iter().filter(|(_, track)| track.own() > 0);
        busy.map(|(runner, track)| Load {
            runner: runner.clone(),
            flight: track.own(),
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
        let turns = self.follow(view);
        self.find_idle(view);
        turns
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
        let probes = self.may_probe(pool, view.now.mono_ms);
        let mut found: Option<Candidate<'a>> = None;
        let mut seen = 0;
        for _ in 0..DRAWS {
            let at = self.draw(view) as usize % count;
            let Some(next) = self.candidate(view, &pool.runners[at], tried, borrows) else {
                continue;
            };
            // One request proves that a failed runner is back; it must bear being run again.
            if next.gate == Gate::Probe && idempotent && !next.tried && probes {
                return Some(self.probe(pool, next.runner, view.now.mono_ms));
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
        let now_ms = view.now.mono_ms;
        let wide = pool.is_some_and(|pool| self.is_wide(pool));
        let track = self.tracks.get_mut(runner)?;
        track.flight = track.flight.saturating_sub(1);
        let config = &view.ctx.settings.requests;
        let turn = track.health.mark(config, mark, sent_ms, now_ms, wide);
        if let (Some(pool), Some(Turn::Back)) = (pool, turn) {
            self.probes.remove(&pool.name);
        }
        turn
    }

    /// Notes that a try was abandoned, which its upstream takes `left_ms` more to run.
    pub(super) fn abandoned(&mut self, runner: &Name, now_ms: u64, left_ms: u64) {
        if let Some(track) = self.tracks.get_mut(runner) {
            track.ghosts.push(now_ms + left_ms);
        }
    }

    /// Returns whether a pool may be probed now; one most of which fails is probed in steps.
    fn may_probe(&self, pool: &Pool, now_ms: u64) -> bool {
        let next_ms = self.probes.get(&pool.name).copied().unwrap_or(0);
        now_ms >= next_ms || !self.is_wide(pool)
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
        let now_ms = view.now.mono_ms;
        if found.gate == Gate::Open {
            return Some(found.runner);
        }
        let risky = !idempotent && self.servers(pool, now_ms) > 0;
        if risky || !self.may_probe(pool, now_ms) {
            return None;
        }
        Some(self.probe(pool, found.runner, now_ms))
    }

    fn probe<'a>(&mut self, pool: &Pool, runner: &'a Runner, now_ms: u64) -> &'a Runner {
        self.probes.insert(pool.name.clone(), now_ms + PROBE_GAP_MS);
        runner
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

    /// Returns whether this VM may go beyond its share of a pool's slots.
    fn borrows(&self, pool: &Pool, now_ms: u64) -> bool {
        let backlog = self.backlogs.get(&pool.name);
        let lasts = backlog.is_some_and(|backlog| {
            backlog.last_ms >= backlog.since_ms + BORROW_AFTER_MS
                && now_ms < backlog.last_ms + BORROW_END_MS
        });
        self.borrow && lasts && self.idle.contains(&pool.name)
    }

    /// Returns whether most runners of a pool fail, so that the fault is hardly any single one's.
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

fn cheaper<'a>(known: Candidate<'a>, next: Candidate<'a>) -> Candidate<'a> {
    match next.cost() < known.cost() {
        true => next,
        false => known,
    }
}
