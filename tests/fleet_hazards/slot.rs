//! The places of the simulated upstreams: processes that crash, start again and are cut off.

use super::checks::Place;
use super::hazards::Hazard;
use super::leader::TICK_MS;
use super::orders::Order;
use super::upstream::Process;
use super::upstream::RunKey;
use super::world::Action;
use super::world::WALL_MS;
use super::world::World;
use trefoilgauge::fleet::model::How;
use trefoilgauge::fleet::model::Listing;
use trefoilgauge::fleet::model::ResourceAmounts;
use trefoilgauge::fleet::model::RunId;
use trefoilgauge::prelude::*;

/// The time after which discovery removes an entry that is not written again, in milliseconds.
pub(crate) const ENTRY_MS: u64 = 4_500;
/// The time between two writes of a discovery entry, in milliseconds.
const BEAT_MS: u64 = 1_500;
/// How long a capacity still counts after it has shrunk, in milliseconds.
const SHRUNK_MS: u64 = 4_500;
/// The accelerators of an upstream.
const ACCELERATORS: u64 = 8;

/// An address at which one process after the other runs.
#[derive(Debug)]
pub(crate) struct Slot {
    pub addr: Name,
    /// The identity of the present or last process.
    pub id: Name,
    number: usize,
    lives: u32,
    pub process: Option<Process>,
    /// Renewals whose responses wait, with the time until which they wait.
    pub holds: Vec<(Order, u64)>,
    pub cut_until: u64,
    /// The leader on its side of a partition, and until when.
    pub split: Option<(usize, u64)>,
    /// Its capacities, with the time from which on each was in force.
    rooms: Vec<(u64, ResourceAmounts)>,
    traits: Traits,
}

/// What all upstreams of a world have in common.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Traits {
    /// Whether they reject what does not fit.
    pub guarded: bool,
    /// Whether they forget later ends up to the highest number that was acknowledged.
    pub remembers: bool,
    /// The most ends in one of their reports.
    pub max_ends: usize,
}

impl Slot {
    /// Makes an empty place.
    pub(crate) fn new(number: usize, traits: Traits) -> Self {
        Self {
            addr: format!("10.0.0.{number}:80").into(),
            id: "".into(),
            number,
            lives: 0,
            process: None,
            holds: Vec::new(),
            cut_until: 0,
            split: None,
            rooms: vec![(0, room(100))],
            traits,
        }
    }

    /// Returns its present capacity.
    pub(crate) fn room(&self) -> ResourceAmounts {
        self.rooms.last().map(|(_, room)| *room).unwrap()
    }

    /// Returns whether `used` exceeds each capacity that counts at `now`; an earlier one counts for
    /// some time, or without limit for a sender that is not `in_touch`.
    pub(crate) fn is_over(&self, now: u64, used: &ResourceAmounts, in_touch: bool) -> bool {
        let ends = self.rooms.iter().skip(1).map(|(until, _)| *until);
        let ends = ends.chain(std::iter::once(u64::MAX));
        let counts = self.rooms.iter().zip(ends);
        let counts = counts.filter(|(_, until)| !in_touch || until.saturating_add(SHRUNK_MS) > now);
        !counts.into_iter().any(|((_, room), _)| used.fits(room))
    }

    /// Returns the process if it was born then.
    pub(crate) fn life(&mut self, born: u64) -> Option<&mut Process> {
        self.process.as_mut().filter(|process| process.born == born)
    }
}

fn room(percent: u64) -> ResourceAmounts {
    ResourceAmounts {
        cpu: 128_000,
        memory: 262_144,
        accelerators: ACCELERATORS * percent / 100,
    }
}

impl World {
    /// Returns whether a leader does not reach a place now.
    pub(crate) fn is_cut(&self, slot: usize, leader: usize) -> bool {
        let now = self.now;
        let side = |slot: &Slot| {
            let split = slot.split.filter(|(_, until)| *until > now);
            split.map(|(leader, _)| leader)
        };
        let here = side(&self.slots[slot]);
        let apart = self.slots.iter().any(|slot| side(slot) == Some(leader));
        self.slots[slot].cut_until > now
            || here.is_some_and(|only| only != leader)
            || apart && here.is_none()
    }

    /// Starts a process at a place, under the identity of the last one or a new one.
    pub(crate) fn rebirth(&mut self, slot: usize, same: bool) {
        let now = self.now;
        let mut draw = self.draw(("birth", slot));
        let (slow, base) = (draw.range(0, 21), draw.range(0, 40));
        let delay = if now == 0 {
            0
        } else if self.strikes(Hazard::LateEntry, slot) {
            draw.range(300, 3_000)
        } else {
            draw.range(1, 60)
        };
        let place = &mut self.slots[slot];
        if place.process.is_some() {
            return;
        }
        if !same {
            place.lives += 1;
            place.id = format!("u{}.{}", place.number, place.lives).into();
        }
        let born = WALL_MS + now + place.number as u64;
        let mut process = Process::new(place.id.clone(), born, now, slow, base);
        process.guarded = place.traits.guarded;
        process.remembers = place.traits.remembers;
        process.max_ends = place.traits.max_ends;
        let id = place.id.clone();
        place.process = Some(process);
        if now > 0 {
            self.journal
                .note_at(now, &id, format!("process starts born={}", born - WALL_MS));
        }
        self.after(delay, Action::Beat(slot, born));
    }

    /// Crashes the process at a place; the next one starts later.
    pub(crate) fn crash(&mut self, slot: usize, same: bool) {
        let now = self.now;
        let Some(process) = self.slots[slot].process.take() else {
            return;
        };
        let id = process.id.clone();
        let born = process.born;
        let lost = process.runs.len();
        self.journal.note_at(
            now,
            &id,
            format!("process born={} crashes with {lost} runs", born - WALL_MS),
        );
        let place = Place { at: id, born };
        for (task, number) in process.runs.keys() {
            let run = RunId {
                task: task.clone(),
                number: *number,
            };
            self.checks.crashed(&place, &run);
            self.journal.note_task(
                now,
                task,
                &place.at,
                format!("run {number} crashes with it"),
            );
        }
        for (key, run) in &process.runs {
            if run.work.gang {
                self.break_gang(key);
            }
        }
        for (order, _) in std::mem::take(&mut self.slots[slot].holds) {
            let ms = self.draw(("reset", order.key)).range(1, 4);
            self.after(
                ms,
                Action::Answered(order.leader, order.id, order.silence()),
            );
        }
        let ms = self.draw(("down", slot)).range(500, 6_000);
        self.after(ms, Action::Rebirth(slot, same));
    }

    /// Lets the process at a place do what is due.
    pub(crate) fn check(&mut self, slot: usize, born: u64) {
        if self.slots[slot].life(born).is_some() {
            self.advance(slot);
        }
    }

    /// Ends what is over at a place, answers renewals and schedules the next check.
    pub(crate) fn advance(&mut self, slot: usize) {
        let now = self.now;
        let Some(process) = &mut self.slots[slot].process else {
            return;
        };
        let place = Place {
            at: process.id.clone(),
            born: process.born,
        };
        if process.crash_due(now).is_some() {
            let share = self.hazards.of(Hazard::SameId);
            let all = share + self.hazards.of(Hazard::NewId);
            let same = self.draw(("same", slot)).chance(share / all.max(0.01));
            self.crash(slot, same);
            return;
        }
        let gangs: Vec<RunKey> = process
            .runs
            .iter()
            .filter(|(_, run)| run.work.gang)
            .map(|(key, _)| key.clone())
            .collect();
        let ended = process.advance(now);
        for end in &ended {
            self.checks.ended(now, &place, end);
            let text = format!(
                "run {} ends {:?} as end {} of born={}",
                end.run.number,
                end.how,
                end.number,
                place.born - WALL_MS
            );
            self.journal.note_task(now, &end.run.task, &place.at, text);
            let key = (end.run.task.clone(), end.run.number);
            if end.how != How::Done && gangs.contains(&key) {
                self.break_gang(&key);
            }
        }
        self.answer_holds(slot);
        self.schedule_check(slot);
    }

    /// Schedules the next check of the process at a place.
    pub(crate) fn schedule_check(&mut self, slot: usize) {
        let now = self.now;
        if let Some(process) = &self.slots[slot].process
            && let Some(due) = process.next_due(now)
        {
            let born = process.born;
            self.at(due.max(now + 1), Action::Check(slot, born));
        }
    }

    /// Lets a gang work once all its members are present.
    pub(crate) fn join_gang(&mut self, key: &RunKey, count: u32) {
        let now = self.now;
        let same = |other: &RunKey| other.0.step_id() == key.0.step_id() && other.1 == key.1;
        let mut members = Vec::new();
        let mut longest = 0;
        for (slot, place) in self.slots.iter().enumerate() {
            let runs = place.process.iter().flat_map(|process| &process.runs);
            for (other, run) in runs.filter(|(other, run)| same(other) && run.is_waiting()) {
                members.push((slot, other.clone()));
                longest = longest.max(run.rest_ms());
            }
        }
        if members.len() < count as usize {
            return;
        }
        for (slot, member) in members {
            if let Some(process) = &mut self.slots[slot].process {
                process.join(now, &member, now + longest);
            }
            self.schedule_check(slot);
        }
    }

    /// Ends the other members of a gang that lost one.
    pub(crate) fn break_gang(&mut self, key: &RunKey) {
        let now = self.now;
        let ms = self.draw(("broken", key)).range(10, 150);
        let mut dooms = Vec::new();
        for (slot, place) in self.slots.iter_mut().enumerate() {
            let Some(process) = &mut place.process else {
                continue;
            };
            let others: Vec<RunKey> = process
                .runs
                .keys()
                .filter(|(task, number)| {
                    task.step_id() == key.0.step_id() && *number == key.1 && *task != key.0
                })
                .cloned()
                .collect();
            for other in others {
                process.doom(now, &other, now + ms);
                dooms.push(Action::Doom(slot, process.born, other));
            }
        }
        for doom in dooms {
            self.after(ms, doom);
        }
    }

    /// Ends a member of a broken gang.
    pub(crate) fn doom(&mut self, slot: usize, born: u64, key: &RunKey) {
        if self.slots[slot]
            .life(born)
            .is_some_and(|process| process.runs.contains_key(key))
        {
            self.advance(slot);
        }
    }

    /// Writes the discovery entry of a process.
    pub(crate) fn beat(&mut self, slot: usize, born: u64) {
        let now = self.now;
        let place = &mut self.slots[slot];
        let room = place.room();
        let rack = place.number % 2;
        let addr = place.addr.clone();
        let Some(process) = place.life(born) else {
            return;
        };
        let listing = Listing {
            id: process.id.clone(),
            addr,
            service: "service".into(),
            centre: format!("centre-{rack}").into(),
            born,
            room,
            labels: vec!["a".into(), format!("r1-{rack}").into()],
            clock_ms: process.clock(now),
            ready: true,
            left_ms: None,
        };
        self.store.list(now, listing);
        let ms = self
            .draw(("beat", slot))
            .range(BEAT_MS - TICK_MS, BEAT_MS + TICK_MS);
        self.after(ms, Action::Beat(slot, born));
    }

    /// Changes the capacity of a place.
    pub(crate) fn change_capacity(&mut self, slot: usize, percent: u64) {
        let now = self.now;
        let place = &mut self.slots[slot];
        place.rooms.push((now, room(percent)));
        let id = place.id.clone();
        self.journal
            .note_at(now, &id, format!("capacity changes to {percent}%"));
    }
}
