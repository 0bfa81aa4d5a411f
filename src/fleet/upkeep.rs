//! Carries out maintenance: clears the upstreams of machines and takes these down, a few at a time.
//!
//! An order to take a machine down is stored before it is sent, so that the next leader counts the
//! machine as down until the platform has told what became of it.

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
use std::collections::HashMap;

/// The time between two looks at the machines while a wave is open, in milliseconds: half of the
/// shortest time that one is down.
const LIST_MS: u64 = 1_000;
/// The wait for a list of the machines before it is asked for again, in milliseconds: the longest
/// time that the adapter reads one.
const LIST_LATE_MS: u64 = 6_000;
/// The wait before an order without effect is sent again, in milliseconds.
const AGAIN_MS: u64 = 500;
/// The part of a wave's time that is planned for, in percent; the rest is for what goes wrong.
const PLAN_PERCENT: u64 = 80;
/// The longest time in which an upstream's work may end by itself, in milliseconds: about the
/// longest task.
const MAX_CLEAR_MS: u64 = 12_000;
/// Covers late timers of the platform, in milliseconds.
const SLACK_MS: u64 = 200;

/// How far a machine of a wave is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Its turn has not come.
    Waiting,
    /// Its upstream gets no new work, and is cleared until this own time.
    Clearing(u64),
    /// It is ordered down; sent again at this own time, or under way.
    Ordered(Option<u64>),
    /// It is down until this own time at least.
    Down(u64),
    /// It is back.
    Done,
}

impl Stage {
    /// Tells whether the machine counts as down: ordered, or not back yet.
    fn is_down(&self) -> bool {
        matches!(self, Self::Ordered(_) | Self::Down(_))
    }
}

/// What the operators were told of a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    /// Nothing that the store has taken; to be tried at this own time.
    Nothing(u64),
    /// They are being told that it is under way.
    Starting,
    /// That it is under way.
    UnderWay,
    /// They are being told that it is completed.
    Ending,
    /// That it is completed.
    Completed,
}

/// A wave that is carried out.
#[derive(Debug, Clone)]
struct Open {
    wave: Wave,
    since: u64,
    stages: BTreeMap<Name, Stage>,
    told: Told,
}

/// All that is known of machines and waves.
#[derive(Debug, Clone, Default)]
pub(super) struct Upkeep {
    /// The waves of which something was heard.
    open: BTreeMap<u64, Open>,
    /// Waves that earlier leaders began.
    stored: HashMap<u64, WaveRow>,
    machines: HashMap<Name, Machine>,
    /// When the newest list was asked for, own time.
    listed_at: Option<u64>,
    /// When a list was asked for last, own time.
    asked_at: Option<u64>,
    /// When the next list is asked for, own time.
    next_list: u64,
}

impl Upkeep {
    /// Takes over a wave that an earlier leader began.
    pub(super) fn load(&mut self, wave: u64, row: WaveRow) {
        self.stored.insert(wave, row);
    }

    fn is_busy(&self) -> bool {
        self.open.values().any(|open| open.told != Told::Completed)
    }
}

impl Open {
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
            told: if row.announced {
                Told::Completed
            } else {
                Told::Nothing(now)
            },
            since: now,
            wave,
        }
    }

    fn count(&self, fits: impl Fn(&Stage) -> bool) -> u32 {
        let all = self.stages.values();
        all.map(|stage| u32::from(fits(stage))).sum()
    }

    /// The time in which an upstream may be cleared, in milliseconds.
    fn patience_ms(&self, upkeep_ms: u64) -> u64 {
        let count = u64::try_from(self.wave.machines.len()).unwrap_or(u64::MAX);
        let rounds = count.div_ceil(u64::from(self.wave.maximum.max(1)));
        let round = (self.wave.within_ms * PLAN_PERCENT / 100) / rounds.max(1);
        round.saturating_sub(upkeep_ms).min(MAX_CLEAR_MS)
    }

    /// Returns the row to store.
    fn stored(&self) -> Row {
        Row {
            key: wave_key(self.wave.number),
            value: self.row().encode_to_vec(),
        }
    }

    /// Returns what differs whenever the row does: machines only go on from being ordered down to
    /// being back.
    fn mark(&self) -> (u32, u32, bool, bool) {
        (
            self.count(Stage::is_down),
            self.count(|stage| *stage == Stage::Done),
            self.is_completed(),
            self.told == Told::Completed,
        )
    }

    fn is_completed(&self) -> bool {
        matches!(self.told, Told::Ending | Told::Completed)
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
            announced: self.told == Told::Completed,
        }
    }
}

impl Scheduler {
    /// Handles a wave that the operators wrote.
    pub(super) fn wave(&mut self, now: u64, wave: Wave) {
        let number = wave.number;
        if self.upkeep.open.contains_key(&number) {
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
        self.upkeep.open.insert(number, Open::new(wave, row, now));
    }

    /// Handles a list of the machines.
    pub(super) fn machines(&mut self, list: Option<Vec<Machine>>) {
        let asked = self.upkeep.asked_at.take();
        let Some(list) = list else {
            return;
        };
        self.upkeep.listed_at = asked;
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
        let back = now + Timing::max_local_ms(self.timing.upkeep_ms) + SLACK_MS;
        let Some(open) = self.upkeep.open.get_mut(&wave) else {
            return;
        };
        let Some(stage) = open.stages.get_mut(machine) else {
            return;
        };
        if !matches!(stage, Stage::Ordered(_)) {
            return;
        }
        *stage = match answer {
            Downed::Yes => Stage::Down(back),
            Downed::Unknown => Stage::Done,
            Downed::Busy | Downed::Declined | Downed::Silent | Downed::Fenced => {
                Stage::Ordered(Some(now + AGAIN_MS))
            }
        };
        if *stage == Stage::Done {
            log::error!(
                "TG1704 wave={wave} machine={machine} is left out: the platform knows no such"
            );
        }
    }

    /// Handles whether the store took what the operators are told.
    pub(super) fn announced(&mut self, now: u64, wave: u64, completed: bool, stored: bool) {
        let Some(open) = self.upkeep.open.get_mut(&wave) else {
            return;
        };
        open.told = match (stored, completed) {
            (true, true) => Told::Completed,
            (true, false) => Told::UnderWay,
            (false, _) => Told::Nothing(now + AGAIN_MS),
        };
        if open.told == Told::Completed {
            self.out.rows.push(open.stored());
        }
    }

    /// Does what the open waves call for now.
    pub(super) fn keep_up(&mut self, now: u64) {
        if !self.upkeep.is_busy() {
            return;
        }
        self.list_machines(now);
        let mut upkeep = std::mem::take(&mut self.upkeep);
        for open in upkeep.open.values_mut() {
            if open.told == Told::Completed {
                continue;
            }
            let before = open.mark();
            if let Some(listed_at) = upkeep.listed_at {
                self.advance_wave(now, open, &upkeep.machines, listed_at);
            }
            self.tell_wave(now, open);
            if before != open.mark() {
                self.out.rows.push(open.stored());
            }
        }
        self.upkeep = upkeep;
    }

    fn list_machines(&mut self, now: u64) {
        let upkeep = &mut self.upkeep;
        let late = upkeep.asked_at.is_some_and(|at| at + LIST_LATE_MS <= now);
        if now < upkeep.next_list || upkeep.asked_at.is_some() && !late {
            return;
        }
        upkeep.asked_at = Some(now);
        upkeep.next_list = now + LIST_MS;
        self.out.immediate.push(Effect::ListMachines);
    }

    fn tell_wave(&mut self, now: u64, open: &mut Open) {
        let over = open.count(|stage| *stage != Stage::Done) == 0;
        let next = match open.told {
            Told::Nothing(at) if at > now => return,
            Told::Nothing(_) | Told::UnderWay if over => Told::Ending,
            Told::Nothing(_) => Told::Starting,
            _ => return,
        };
        open.told = next;
        if over {
            log::info!(
                "TG1706 wave={} completed after_ms={} within_ms={}",
                open.wave.number,
                now.saturating_sub(open.since),
                open.wave.within_ms
            );
        }
        self.out.after_store.push(Effect::Announce {
            wave: open.wave.number,
            completed: over,
        });
    }

    fn advance_wave(
        &mut self,
        now: u64,
        open: &mut Open,
        machines: &HashMap<Name, Machine>,
        listed_at: u64,
    ) {
        self.finish_machines(now, open, machines, listed_at);
        let maximum = open.wave.maximum.max(1);
        let mut down = open.count(Stage::is_down);
        let clearing = open.count(|stage| matches!(stage, Stage::Clearing(_)));
        let until = now + open.patience_ms(self.timing.upkeep_ms);
        for id in self.next_machines(open, machines, maximum.saturating_sub(clearing)) {
            if let Some(upstream) = self.upstream_of(machines, &id) {
                upstream.clearing = Some(until);
            }
            log::info!(
                "TG1702 wave={} machine={id} cleared within_ms={}",
                open.wave.number,
                until - now
            );
            open.stages.insert(id, Stage::Clearing(until));
        }
        let wave = open.wave.number;
        for (id, stage) in &mut open.stages {
            let order = match *stage {
                Stage::Clearing(until) => down < maximum && self.is_clear(now, machines, id, until),
                Stage::Ordered(Some(again)) => again <= now,
                _ => false,
            };
            if !order {
                continue;
            }
            if let Stage::Clearing(_) = stage {
                down += 1;
            }
            *stage = Stage::Ordered(None);
            self.out.after_store.push(Effect::TakeDown {
                machine: id.clone(),
                wave,
            });
        }
    }

    /// Notes the machines that are back, and those that do not exist any more.
    fn finish_machines(
        &mut self,
        now: u64,
        open: &mut Open,
        machines: &HashMap<Name, Machine>,
        listed_at: u64,
    ) {
        for (id, stage) in &mut open.stages {
            let machine = machines.get(id);
            let gone = machine.is_none() && listed_at >= open.since;
            let back = matches!(*stage, Stage::Down(until) if until <= now && until <= listed_at)
                && machine.is_some_and(|machine| machine.up);
            if *stage != Stage::Done && (gone || back) {
                log::info!(
                    "TG1705 wave={} machine={id} back={back} gone={gone}",
                    open.wave.number
                );
                *stage = Stage::Done;
                // The same identity may have come back.
                if let Some(upstream) = machine.and_then(|m| self.upstreams.get_mut(&m.upstream)) {
                    upstream.clearing = None;
                }
            }
        }
    }

    /// Chooses the machines that are cleared next: those with the least work first.
    fn next_machines(
        &self,
        open: &Open,
        machines: &HashMap<Name, Machine>,
        count: u32,
    ) -> Vec<Name> {
        let waits = |id: &&Name| open.stages.get(*id) == Some(&Stage::Waiting);
        let mut found: Vec<(u64, &Name)> = open
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

    /// Tells whether a machine may go down: nothing runs there, or nothing that may not be missed
    /// and the time is over.
    fn is_clear(&self, now: u64, machines: &HashMap<Name, Machine>, id: &Name, until: u64) -> bool {
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
