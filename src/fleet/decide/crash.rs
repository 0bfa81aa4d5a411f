//! Limits the damage of tasks that crash the upstreams that start them.
//!
//! A crash does not tell which of the tasks on the upstream caused it, and some crashes have
//! nothing to do with any task. So a task that lost runs with their upstreams starts where the
//! least other work is lost if it happens again, and is given up only after several crashes that
//! are proven.

use super::place::Candidate;
use super::place::Constraints;
use crate::fleet::model::ResourceAmounts;
use crate::prelude::*;

/// The crashes of upstreams under one task after which the task is given up.
const MAX_CRASHES: u32 = 3;
/// The same if it is not confirmed for each of them that the task had started there: it may not be
/// started three times more after three crashes.
const MAX_GONE: u32 = 5;
/// The losses of one task from which on its job starts the tasks that have losses one at a time.
const SOLO_LOSSES: u32 = 2;
/// The longest time that a task waits until its losses are proven, in milliseconds: a crashed
/// upstream is back within some seconds.
const PROOF_WAIT_MS: u64 = 15_000;
/// The same for a task whose next start may be the third one after three crashes.
const LAST_WAIT_MS: u64 = 60_000;
/// The time at work from which on a run is not expected to crash its upstream, in milliseconds.
const TRIAL_MS: u64 = 2_000;
/// The time at work after which the losses of a long-running task are forgotten, in milliseconds.
const RESET_MS: u64 = 30_000;

/// The runs of a task that were lost with their upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(in crate::fleet) struct Losses {
    /// Those whose upstream has crashed under them.
    pub(in crate::fleet) crashes: u32,
    /// Those whose upstream has crashed, perhaps before the order to start them arrived.
    pub(in crate::fleet) unconfirmed: u32,
    /// Those whose upstream fell silent: it may have crashed, or was cut off.
    pub(in crate::fleet) unproven: u32,
    /// When the last of them was settled, local clock.
    pub(in crate::fleet) last: u64,
}

impl Losses {
    /// Counts all of them.
    fn count(&self) -> u32 {
        self.gone().saturating_add(self.unproven)
    }

    /// Counts those whose upstream has crashed.
    pub(in crate::fleet) fn gone(&self) -> u32 {
        self.crashes.saturating_add(self.unconfirmed)
    }

    /// Returns whether the task may have caused a crash.
    pub(in crate::fleet) fn is_suspect(&self) -> bool {
        self.count() > 0
    }

    /// Returns whether so many tasks of its job may crash their upstreams that they start one at a
    /// time.
    pub(in crate::fleet) fn needs_solo(&self) -> bool {
        self.count() >= SOLO_LOSSES
    }

    /// Returns whether the task is given up.
    pub(in crate::fleet) fn is_exhausted(&self) -> bool {
        self.crashes >= MAX_CRASHES || self.gone() >= MAX_GONE
    }

    /// Returns whether the task may start, or else waits for the proof of its losses.
    pub(in crate::fleet) fn may_start(&self, now: u64) -> bool {
        let wait_ms = match self.count() {
            MAX_GONE.. => LAST_WAIT_MS,
            MAX_CRASHES.. => PROOF_WAIT_MS,
            _ => 0,
        };
        self.unproven == 0 || now >= self.last + wait_ms
    }

    /// Returns whether a run may still crash its upstream; `worked_ms` is how long it has been at
    /// work, none before it is confirmed.
    pub(in crate::fleet) fn is_on_trial(&self, worked_ms: Option<u64>) -> bool {
        self.is_suspect() && worked_ms.is_none_or(|worked| worked < TRIAL_MS)
    }

    /// Returns whether a long-running task has been at work for so long that its losses are
    /// forgotten.
    pub(in crate::fleet) fn is_outlived(&self, worked_ms: u64) -> bool {
        self.is_suspect() && worked_ms >= RESET_MS
    }
}

/// A waiting task, as far as its losses matter.
#[derive(Debug, Clone, Copy)]
pub(in crate::fleet) struct Waiting {
    /// The task, from 0.
    pub(in crate::fleet) index: u32,
    /// Its losses.
    pub(in crate::fleet) losses: Losses,
}

/// Returns the tasks of a step that may start now. A gang starts with all its members or not at
/// all. `solo`: of the tasks with losses at most one may start, and none if it is `taken`: another
/// one of the job is on trial.
pub(in crate::fleet) fn startable(
    tasks: &[Waiting],
    gang: bool,
    now: u64,
    solo: bool,
    taken: bool,
) -> Vec<u32> {
    let ready = |task: &&Waiting| task.losses.may_start(now);
    if gang {
        let all = tasks.iter().all(|task| ready(&task));
        return tasks
            .iter()
            .filter(|_| all)
            .map(|task| task.index)
            .collect();
    }
    let mut taken = solo && taken;
    let mut found = Vec::with_capacity(tasks.len());
    for task in tasks.iter().filter(ready) {
        if task.losses.is_suspect() {
            if taken {
                continue;
            }
            taken = solo;
        }
        found.push(task.index);
    }
    found
}

/// Finds the candidate for a single task that may crash its upstream: the lowest risk first, then
/// the least work of others that would be lost, then the best fit. `load` returns how many tasks of
/// the step an upstream runs already, `own` what tasks of the job that have losses use there.
pub(in crate::fleet) fn safest(
    candidates: &[Candidate],
    constraints: &Constraints<'_>,
    load: impl Fn(&Name) -> u32,
    own: impl Fn(&Name) -> ResourceAmounts,
) -> Option<usize> {
    let need = constraints.step.need();
    let at_stake = |candidate: &Candidate| {
        let mut used = candidate.room;
        used.sub(&candidate.free);
        used.sub(&own(&candidate.name));
        (used.accelerators, used.cpu)
    };
    candidates
        .iter()
        .enumerate()
        .filter(|(index, candidate)| {
            candidate.open
                && need.fits(&constraints.room(*index, candidate))
                && constraints.accepts(*index, candidate)
        })
        .filter(|(_, candidate)| load(&candidate.name) < constraints.upstream_limit())
        .min_by_key(|(_, candidate)| {
            (
                candidate.risk,
                at_stake(candidate),
                candidate.free.accelerators,
                candidate.free.memory,
            )
        })
        .map(|(index, _)| index)
}
