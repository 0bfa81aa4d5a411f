//! The order of the queue: urgent work first, then by age and expected run time.

use crate::configs::GangsConfig;
use crate::model::Priority;
use crate::prelude::*;
use crate::reducer::ledger::Ledger;
use crate::reducer::ledger::gangs::Gang;

/// The sort key of a gang in the queue; the lowest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank<'a> {
    /// Its priority class, which falls with its age; 0 is reserved for urgent work.
    pub class: u64,
    score: u64,
    job: &'a Name,
}

/// Computes the rank of a gang.
///
/// Within a class, gangs are ordered by the time of submission plus a share of the expected run
/// time. The policy's completion weight sets the share; it adds at most half of the ageing time, so
/// that long work is not starved.
pub fn rank<'a>(ledger: &Ledger, config: &GangsConfig, now_ms: u64, gang: &'a Gang) -> Rank<'a> {
    let waited_ms = now_ms.saturating_sub(gang.submitted_ms);
    let aged = waited_ms / config.age_ms.max(1);
    let class = match priority(ledger, gang) {
        Priority::Urgent => 0,
        other => (other as u64).saturating_sub(aged).max(1),
    };
    let share = u64::from(ledger.catalog.weights().completion);
    let left_ms = left_ms(ledger, gang);
    let penalty_ms = (left_ms * share / 100).min(config.age_ms / 2);
    Rank {
        class,
        score: gang.submitted_ms + penalty_ms,
        job: &gang.job.id,
    }
}

/// Returns the priority of a gang's kind.
pub fn priority(ledger: &Ledger, gang: &Gang) -> Priority {
    let kind = ledger.catalog.kind(&gang.job.kind);
    kind.map_or(Priority::Patient, |kind| kind.priority)
}

/// Estimates the remaining run time, in milliseconds.
pub fn left_ms(ledger: &Ledger, gang: &Gang) -> u64 {
    let whole_ms = ledger.gangs.learned.estimate_ms(&gang.job);
    whole_ms.saturating_sub(gang.kept_ms)
}

/// Estimates when a gang that holds slots ends, in milliseconds of wall time.
///
/// One that has run for longer than expected is expected to run for as long again.
pub fn end_ms(ledger: &Ledger, gang: &Gang, now_ms: u64) -> u64 {
    let from_ms = match gang.started {
        true => gang.start_ms,
        false => now_ms,
    };
    let ran_ms = now_ms.saturating_sub(from_ms);
    let left_ms = left_ms(ledger, gang);
    match ran_ms < left_ms {
        true => from_ms + left_ms,
        false => now_ms + ran_ms,
    }
}
