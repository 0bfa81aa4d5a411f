//! Carries out maintenance waves: drains the upstreams of machines and takes the machines down, a
//! few at a time.
//!
//! An order to take a machine down is stored before it is sent, so that the next leader counts the
//! machine as down until the platform has reported its state.

use super::effect::Effect;
use super::event::Downed;
use super::model::Machine;
use super::model::Wave;
use super::row::Row;
use super::row::WaveRow;
use super::row::wave_key;
use super::scheduler::Scheduler;
use super::timing::Timing;
use crate::prelude::*;
use prost::Message;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

/// The interval at which the machines are listed while a wave is open, in milliseconds: half of
/// the shortest time that a machine is down.
const LIST_INTERVAL_MS: u64 = 1_000;
/// The time after which an unanswered request for the list is repeated, in milliseconds: the
/// longest time that the adapter spends on reading a list.
const LIST_TIMEOUT_MS: u64 = 6_000;
/// The wait before an order or announcement without effect is sent again, in milliseconds.
const RETRY_MS: u64 = 500;
/// The part of a wave's time limit that is planned for, in percent; the rest is a reserve for
/// failures and delays.
const PLAN_PERCENT: u64 = 80;
/// The longest time for which an upstream is drained, in milliseconds: about the duration of the
/// longest task.
const MAX_DRAIN_MS: u64 = 12_000;
/// Covers late timers of the platform, in milliseconds.
const TIMER_SLACK_MS: u64 = 200;

/// The stage of a machine in a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// It is not started yet.
    Waiting,
    /// Its upstream is drained: it gets no new work, and its runs may go on until this time
    /// of the local clock.
    Draining(u64),
    /// It was ordered down; the order is sent again at this time of the local clock, or is under
    /// way if none.
    Ordered(Option<u64>),
    /// It is down, at least until this time of the local clock.
    Down(u64),
    /// It is back in service, or does not exist any more.
    Done,
}

impl Stage {
    /// Returns whether the machine counts as down: it was ordered down and is not back yet.
    fn is_down(&self) -> bool {
        matches!(self, Self::Ordered(_) | Self::Down(_))
    }
}

/// The announcement of a wave's state to the operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Announcement {
    /// None is stored; the next attempt is at this time of the local clock.
    Pending(u64),
    /// The announcement that the wave is under way is being stored.
    SendingUnderWay,
    /// It is announced that the wave is under way.
    UnderWay,
    /// The announcement that the wave is completed is being stored.
    SendingCompleted,
    /// It is announced that the wave is completed.
    Completed,
}

/// A wave that the operators ordered, with its progress.
#[derive(Debug, Clone)]
struct ActiveWave {
    wave: Wave,
    since: u64,
    stages: BTreeMap<Name, Stage>,
    announcement: Announcement,
}

/// The state of machines and waves.
#[derive(Debug, Clone, Default)]
pub(super) struct Upkeep {
    /// The waves that the operators ordered, by number.
    waves: BTreeMap<u64, ActiveWave>,
    /// Stored waves of earlier leaders that were not read from the operators again yet.
    stored: HashMap<u64, WaveRow>,
    /// Waves whose stored rows cannot be decoded: it is not known which machines they took down.
    unreadable: BTreeSet<u64>,
    machines: HashMap<Name, Machine>,
    /// When the newest list was requested, local clock; none before the first one.
    listed_at: Option<u64>,
    /// When the list under way was requested, local clock.
    requested_at: Option<u64>,
    /// When the next list is requested, local clock.
    next_list: u64,
}

impl Upkeep {
    /// Adds a wave that an earlier leader stored.
    pub(super) fn load(&mut self, wave: u64, row: WaveRow) {
        self.stored.insert(wave, row);
    }

    /// Adds a wave whose stored row cannot be decoded.
    pub(super) fn load_unreadable(&mut self, wave: u64) {
        self.unreadable.insert(wave);
    }

    fn has_open_wave(&self) -> bool {
        self.waves
            .values()
            .any(|active| active.announcement != Announcement::Completed)
    }
}

impl ActiveWave {
    fn new(wave: Wave, row: Option<WaveRow>, now: u64) -> Self {
        let row = row.unwrap_or_default();
        let stage = |id: &Name| {
            if row.completed || row.done.iter().any(|done| **done == **id) {
                Stage::Done
            } else if row.ordered.iter().any(|ordered| **ordered == **id) {
                Stage::Ordered(Some(now))
            } else {
                Stage::Waiting
            }
        };
        let stages = wave.machines.iter().map(|id| (id.clone(), stage(id)));
        Self {
            stages: stages.collect(),
            announcement: if row.announced {
                Announcement::Completed
            } else {
                Announcement::Pending(now)
            },
            since: now,
            wave,
        }
    }

    fn count(&self, fits: impl Fn(&Stage) -> bool) -> u32 {
        let all = self.stages.values();
        all.map(|stage| u32::from(fits(stage))).sum()
    }

    /// Returns the time for which each upstream may be drained, in milliseconds.
    fn drain_ms(&self, upkeep_ms: u64) -> u64 {
        let count = u64::try_from(self.wave.machines.len()).unwrap_or(u64::MAX);
        let rounds = count.div_ceil(u64::from(self.wave.maximum.max(1)));
        let round = (self.wave.within_ms * PLAN_PERCENT / 100) / rounds.max(1);
        round.saturating_sub(upkeep_ms).min(MAX_DRAIN_MS)
    }

    /// Returns the row to store.
    fn stored(&self) -> Row {
        Row {
            key: wave_key(self.wave.number),
            value: self.row().encode_to_vec(),
        }
    }

    /// Returns a summary that differs whenever the row does. Counts are enough, as machines only
    /// advance from being ordered down to being back.
    fn progress(&self) -> (u32, u32, bool, bool) {
        (
            self.count(Stage::is_down),
            self.count(|stage| *stage == Stage::Done),
            self.is_completed(),
            self.announcement == Announcement::Completed,
        )
    }

    fn is_completed(&self) -> bool {
        matches!(
            self.announcement,
            Announcement::SendingCompleted | Announcement::Completed
        )
    }

    fn row(&self) -> WaveRow {
        let names = |fits: fn(&Stage) -> bool| {
            let found = self.stages.iter().filter(|(_, stage)| fits(stage));
            found.map(|(id, _)| id.to_string()).collect()
        };
        WaveRow {
            ordered: names(Stage::is_down),
            done: names(|stage| *stage == Stage::Done),
            completed: self.is_completed(),
            announced: self.announcement == Announcement::Completed,
        }
    }
}

impl Scheduler {
    /// Handles a wave that the operators ordered.
    pub(super) fn wave(&mut self, now: u64, wave: Wave) {
        let number = wave.number;
        if self.upkeep.waves.contains_key(&number) || self.upkeep.unreadable.contains(&number) {
            return;
        }
        let row = self.upkeep.stored.remove(&number);
        if row.as_ref().is_some_and(|row| row.completed) {
            log::debug!("wave={number} was completed before");
        } else {
            log::info!(
                "TG1701 wave={number} machines={} within_ms={} maximum={} taken_over={}",
                wave.machines.len(),
                wave.within_ms,
                wave.maximum,
                row.is_some()
            );
        }
        self.upkeep
            .waves
            .insert(number, ActiveWave::new(wave, row, now));
    }

    /// Handles the response to a request for the list of machines.
    pub(super) fn machines(&mut self, now: u64, list: Option<Vec<Machine>>) {
        let requested = self.upkeep.requested_at.take();
        let Some(list) = list else {
            return;
        };
        self.upkeep.listed_at = requested;
        self.learn_machines(now, &list);
        let named = list
            .into_iter()
            .map(|machine| (machine.id.clone(), machine));
        self.upkeep.machines = named.collect();
    }

    /// Handles the response to an order to take a machine down.
    pub(super) fn downed(&mut self, now: u64, machine: &Name, wave: u64, answer: Downed) {
        log::info!("TG1703 wave={wave} machine={machine} down={answer:?}");
        if answer == Downed::Fenced {
            self.resign(format!("machine {machine} has seen a higher token"));
            return;
        }
        let back = now + Timing::max_local_ms(self.timing.upkeep_ms) + TIMER_SLACK_MS;
        let Some(active) = self.upkeep.waves.get_mut(&wave) else {
            return;
        };
        let Some(stage) = active.stages.get_mut(machine) else {
            return;
        };
        if !matches!(stage, Stage::Ordered(_)) {
            return;
        }
        *stage = match answer {
            Downed::Yes => Stage::Down(back),
            Downed::Unknown => Stage::Done,
            Downed::Busy | Downed::Declined | Downed::Silent | Downed::Fenced => {
                Stage::Ordered(Some(now + RETRY_MS))
            }
        };
        if *stage == Stage::Done {
            log::error!(
                "TG1704 wave={wave} machine={machine} skipped: the platform does not know it"
            );
        }
    }

    /// Handles the result of storing an announcement.
    pub(super) fn announced(&mut self, now: u64, wave: u64, completed: bool, stored: bool) {
        let Some(active) = self.upkeep.waves.get_mut(&wave) else {
            return;
        };
        active.announcement = match (stored, completed) {
            (true, true) => Announcement::Completed,
            (true, false) => Announcement::UnderWay,
            (false, _) => Announcement::Pending(now + RETRY_MS),
        };
        if active.announcement == Announcement::Completed {
            self.out.rows.push(active.stored());
        }
    }

    /// Advances the open waves: lists machines, drains them, orders them down, announces progress.
    pub(super) fn advance_waves(&mut self, now: u64) {
        if !self.upkeep.has_open_wave() {
            return;
        }
        self.list_machines(now);
        let mut upkeep = std::mem::take(&mut self.upkeep);
        for active in upkeep.waves.values_mut() {
            if active.announcement == Announcement::Completed {
                continue;
            }
            let before = active.progress();
            if let Some(listed_at) = upkeep.listed_at {
                self.advance_wave(now, active, &upkeep.machines, listed_at);
            }
            self.announce_wave(now, active);
            if before != active.progress() {
                self.out.rows.push(active.stored());
            }
        }
        self.upkeep = upkeep;
    }

    fn list_machines(&mut self, now: u64) {
        let upkeep = &mut self.upkeep;
        let late = upkeep
            .requested_at
            .is_some_and(|at| at + LIST_TIMEOUT_MS <= now);
        if now < upkeep.next_list || upkeep.requested_at.is_some() && !late {
            return;
        }
        upkeep.requested_at = Some(now);
        upkeep.next_list = now + LIST_INTERVAL_MS;
        self.out.immediate.push(Effect::ListMachines);
    }

    fn announce_wave(&mut self, now: u64, active: &mut ActiveWave) {
        let finished = active.count(|stage| *stage != Stage::Done) == 0;
        let next = match active.announcement {
            Announcement::Pending(at) if at > now => return,
            Announcement::Pending(_) | Announcement::UnderWay if finished => {
                Announcement::SendingCompleted
            }
            Announcement::Pending(_) => Announcement::SendingUnderWay,
            _ => return,
        };
        active.announcement = next;
        if finished {
            log::info!(
                "TG1706 wave={} completed after_ms={} within_ms={}",
                active.wave.number,
                now.saturating_sub(active.since),
                active.wave.within_ms
            );
        }
        self.out.after_store.push(Effect::Announce {
            wave: active.wave.number,
            completed: finished,
        });
    }

    fn advance_wave(
        &mut self,
        now: u64,
        active: &mut ActiveWave,
        machines: &HashMap<Name, Machine>,
        listed_at: u64,
    ) {
        self.finish_machines(now, active, machines, listed_at);
        let maximum = active.wave.maximum.max(1);
        let mut down = active.count(Stage::is_down);
        let draining = active.count(|stage| matches!(stage, Stage::Draining(_)));
        let until = now + active.drain_ms(self.timing.upkeep_ms);
        for id in self.next_machines(active, machines, maximum.saturating_sub(draining)) {
            if let Some(upstream) = self.upstream_of(machines, &id) {
                upstream.drain_until = Some(until);
                upstream.note_leaving();
            }
            log::info!(
                "TG1702 wave={} machine={id} draining within_ms={}",
                active.wave.number,
                until - now
            );
            active.stages.insert(id, Stage::Draining(until));
        }
        let wave = active.wave.number;
        if !self.earlier.have_ordered(now, &self.timing) {
            return;
        }
        for (id, stage) in &mut active.stages {
            let order = match *stage {
                Stage::Draining(until) => {
                    down < maximum && self.is_drained(now, machines, id, until)
                }
                Stage::Ordered(Some(retry_at)) => retry_at <= now,
                _ => false,
            };
            if !order {
                continue;
            }
            if let Stage::Draining(_) = stage {
                down += 1;
            }
            *stage = Stage::Ordered(None);
            self.out.after_store.push(Effect::TakeDown {
                machine: id.clone(),
                wave,
            });
        }
    }

    /// Marks machines as done that are back in service or do not exist any more.
    fn finish_machines(
        &mut self,
        now: u64,
        active: &mut ActiveWave,
        machines: &HashMap<Name, Machine>,
        listed_at: u64,
    ) {
        // Any machine may be the one whose identity cannot be read.
        let complete = !machines.contains_key("");
        for (id, stage) in &mut active.stages {
            let machine = machines.get(id);
            let gone = complete && machine.is_none() && listed_at >= active.since;
            let back = matches!(*stage, Stage::Down(until) if until <= now && until <= listed_at)
                && machine.is_some_and(|machine| machine.up);
            if *stage != Stage::Done && (gone || back) {
                log::info!(
                    "TG1705 wave={} machine={id} back={back} gone={gone}",
                    active.wave.number
                );
                *stage = Stage::Done;
                // The upstream may have come back under the same identity.
                if let Some(upstream) = machine.and_then(|m| self.upstreams.get_mut(&m.upstream)) {
                    upstream.drain_until = None;
                }
            }
        }
    }

    /// Chooses the next machines to drain: those with the least work first.
    fn next_machines(
        &self,
        active: &ActiveWave,
        machines: &HashMap<Name, Machine>,
        count: u32,
    ) -> Vec<Name> {
        let waits = |id: &&Name| active.stages.get(*id) == Some(&Stage::Waiting);
        let mut found: Vec<(u64, &Name)> = active
            .stages
            .keys()
            .filter(waits)
            .filter_map(|id| {
                let machine = machines.get(id).filter(|machine| machine.up)?;
                let upstream = self.upstreams.get(&machine.upstream);
                Some((upstream.map_or(0, |up| up.used.accelerators), id))
            })
            .collect();
        found.sort();
        let chosen = found.into_iter().take(count as usize);
        chosen.map(|(_, id)| id.clone()).collect()
    }

    fn upstream_of(
        &mut self,
        machines: &HashMap<Name, Machine>,
        id: &Name,
    ) -> Option<&mut super::upstream::Upstream> {
        let machine = machines.get(id)?;
        self.upstreams.get_mut(&machine.upstream)
    }

    /// Returns whether a machine may go down: nothing runs there, or the drain time is over and no
    /// run belongs to a step that limits how many of its tasks may be down.
    fn is_drained(
        &self,
        now: u64,
        machines: &HashMap<Name, Machine>,
        id: &Name,
        until: u64,
    ) -> bool {
        let upstream = machines
            .get(id)
            .and_then(|machine| self.upstreams.get(&machine.upstream));
        let Some(upstream) = upstream else {
            return true;
        };
        upstream.runs.is_empty()
            || now >= until && !upstream.runs.keys().any(|run| self.is_limited(run))
    }
}
