//! The choice of a runner for a request.
//!
//! Each VM has a share of every runner's slots, assigned by rendezvous hashing (Thaler and
//! Ravishankar, 1998) over the known entry VMs, so that the shares add up to the slots without
//! coordination. Beyond its share a VM borrows slots that are unused by the peers' heartbeats.
//! Of two random candidates the less loaded one is chosen (the power of two choices,
//! Mitzenmacher, 2001), which keeps VMs with outdated loads from all choosing the same runner.

mod shares;

use super::View;
use super::health::Gate;
use super::health::Health;
use super::health::HealthSignal;
use super::health::Listed;
use super::health::Transition;
use crate::model::Pool;
use crate::model::Runner;
use crate::platform::Role;
use crate::prelude::*;
use crate::reducer::event::Load;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The interval at which peers are checked for silence, in milliseconds.
const REFRESH_MS: u64 = 250;
/// The load, in percent of a runner's or a pool's slots, below which a VM may borrow.
const BORROW_PCT: u32 = 75;
/// How long requests must have waited before a VM borrows, in milliseconds: by then the peers'
/// next heartbeats show whether they need their shares themselves.
const BORROW_AFTER_MS: u64 = 750;
/// How long after the last waiting request borrowing ends, in milliseconds.
const BORROW_END_MS: u64 = 2_000;
/// The interval between two probes of a pool of which most runners fail, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 250;
/// The most random draws for two candidates before all runners are scanned in turn.
const MAX_DRAWS: u32 = 6;

/// The state of one runner, as known to this VM.
#[derive(Debug, Clone, Default, PartialEq)]
struct Track {
    flight: u32,
    others: u32,
    share: u32,
    slots: u32,
    /// When each abandoned request is assumed to end, as its upstream keeps running it.
    ghosts: Vec<u64>,
    health: Health,
}

impl Track {
    fn own_load(&self) -> u32 {
        self.flight + self.ghosts.len() as u32
    }

    fn total_load(&self) -> u32 {
        self.own_load() + self.others
    }

    fn has_room(&self, borrows: bool) -> bool {
        let may_borrow = borrows && self.total_load() < self.slots * BORROW_PCT / 100;
        self.own_load() < self.share || may_borrow
    }
}

/// The first and last time at which requests were found waiting for a pool.
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
    other_centre: bool,
}

impl Candidate<'_> {
    fn cost(&self) -> (bool, Gate, u32, bool) {
        (self.tried, self.gate, self.load, self.other_centre)
    }
}

/// The runners and the entry VMs that share them, as known to this VM.
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
        let busy = self.tracks.iter().filter(|(_, track)| track.own_load() > 0);
        busy.map(|(runner, track)| Load {
            runner: runner.clone(),
            flight: track.own_load(),
        })
        .collect()
    }

    /// Updates shares, loads and health from the peers, the list of VMs and the configuration.
    pub(super) fn refresh(&mut self, view: &View<'_>) -> Vec<(Name, Transition)> {
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
            self.assign_shares(view);
        }
        self.cfg = view.ledger.catalog.next;
        self.sum_others(view, silent);
        let transitions = self.update_health(view);
        self.find_idle(view);
        transitions
    }

    /// Chooses a runner of `pool` for a request that was already sent to `tried`.
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
        for _ in 0..MAX_DRAWS {
            let at = self.draw(view) as usize % count;
            let Some(next) = self.candidate(view, &pool.runners[at], tried, borrows) else {
                continue;
            };
            // One request probes a failed runner; it must be idempotent, as it may be run again.
            if next.gate == Gate::Probe && idempotent && !next.tried && probes {
                return Some(self.start_probe(pool, next.runner, view.now.mono_ms));
            }
            seen += 1;
            found = Some(found.map_or(next, |known| cheaper(known, next)));
            if seen == 2 {
                break;
            }
        }
        match found {
            Some(found) if !found.tried && found.gate == Gate::Open => Some(found.runner),
            _ => self.scan(view, pool, tried, idempotent),
        }
    }

    /// Records the pools for which requests wait, as a VM borrows only from these.
    pub(super) fn update_backlogs(&mut self, pools: BTreeSet<Name>, now_ms: u64) {
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

    /// Counts the end of an attempt, and updates the runner's health.
    pub(super) fn ended(
        &mut self,
        view: &View<'_>,
        pool: Option<&Pool>,
        runner: &Name,
        signal: HealthSignal,
        sent_ms: u64,
    ) -> Option<Transition> {
        let now_ms = view.now.mono_ms;
        let wide = pool.is_some_and(|pool| self.is_mostly_failing(pool));
        let track = self.tracks.get_mut(runner)?;
        track.flight = track.flight.saturating_sub(1);
        let config = &view.ctx.settings.requests;
        let transition = track.health.record(config, signal, sent_ms, now_ms, wide);
        if let (Some(pool), Some(Transition::Back)) = (pool, transition) {
            self.probes.remove(&pool.name);
        }
        transition
    }

    /// Counts an abandoned attempt as load for `left_ms` more, as its upstream keeps running it.
    pub(super) fn abandoned(&mut self, runner: &Name, now_ms: u64, left_ms: u64) {
        if let Some(track) = self.tracks.get_mut(runner) {
            track.ghosts.push(now_ms + left_ms);
        }
    }

    /// Returns whether a pool may be probed now; if most of its runners fail, probes are at least
    /// [`PROBE_INTERVAL_MS`] apart.
    fn may_probe(&self, pool: &Pool, now_ms: u64) -> bool {
        let next_ms = self.probes.get(&pool.name).copied().unwrap_or(0);
        now_ms >= next_ms || !self.is_mostly_failing(pool)
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

    /// Returns the number of known entry VMs, including this one.
    pub(super) fn members(&self) -> u64 {
        self.members.len() as u64
    }

    /// Scans all runners in turn, starting at a random one.
    fn scan<'a>(
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
        Some(self.start_probe(pool, found.runner, now_ms))
    }

    fn start_probe<'a>(&mut self, pool: &Pool, runner: &'a Runner, now_ms: u64) -> &'a Runner {
        self.probes
            .insert(pool.name.clone(), now_ms + PROBE_INTERVAL_MS);
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
            load: track.total_load(),
            other_centre: runner.centre != view.ctx.settings.centre,
        })
    }

    /// Returns whether this VM may exceed its share of a pool's slots.
    fn borrows(&self, pool: &Pool, now_ms: u64) -> bool {
        let backlog = self.backlogs.get(&pool.name);
        let waiting = backlog.is_some_and(|backlog| {
            backlog.last_ms >= backlog.since_ms + BORROW_AFTER_MS
                && now_ms < backlog.last_ms + BORROW_END_MS
        });
        self.borrow && waiting && self.idle.contains(&pool.name)
    }

    /// Returns whether most runners of a pool fail, so that a single runner is unlikely the cause.
    fn is_mostly_failing(&self, pool: &Pool) -> bool {
        let tracks = pool
            .runners
            .iter()
            .filter_map(|runner| self.tracks.get(&runner.name));
        let failing = tracks.filter(|track| track.health.is_failing()).count();
        failing * 2 > pool.runners.len()
    }

    /// Draws a pseudo-random number that differs between VMs, boots and draws.
    fn draw(&mut self, view: &View<'_>) -> u64 {
        self.draws += 1;
        let seed = view.ctx.boot ^ xxh3_64(view.ctx.writer.as_bytes());
        xxh3_64_with_seed(&self.draws.to_le_bytes(), seed)
    }

    fn update_health(&mut self, view: &View<'_>) -> Vec<(Name, Transition)> {
        let runners = view.peers.list.iter().filter(|vm| vm.role == Role::Runner);
        let listed: BTreeMap<&str, bool> = runners.map(|vm| (&*vm.name, vm.leaving)).collect();
        let mut transitions = Vec::new();
        for pool in view.ledger.catalog.pools.values() {
            for runner in &pool.value.runners {
                let Some(track) = self.tracks.get_mut(&runner.name) else {
                    continue;
                };
                let state = match listed.get(&*runner.name) {
                    _ if view.peers.list.is_empty() => Listed::Unknown,
                    Some(true) => Listed::Leaving,
                    Some(false) => Listed::Live,
                    None => Listed::Absent,
                };
                if let Some(transition) = track.health.update_listed(state, pool.version) {
                    transitions.push((runner.name.clone(), transition));
                }
            }
        }
        transitions
    }
}

fn cheaper<'a>(known: Candidate<'a>, next: Candidate<'a>) -> Candidate<'a> {
    match next.cost() < known.cost() {
        true => next,
        false => known,
    }
}
