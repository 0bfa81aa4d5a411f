//! Admission control: refuses at submission the jobs that cannot be served.
//!
//! Bursts bring several times the work that the upstreams can do. A job that would end only after
//! three times its objective is of no use and delays the jobs behind it, so its caller gets a
//! `Retry-After` instead.

use super::model::Queue;
use super::model::ResourceAmounts;
use super::model::Spec;
use super::model::Step;
use super::scheduler::Scheduler;
use super::task::Job;
use super::waiting;
use crate::prelude::*;
use std::fmt::Display;
use std::fmt::Formatter;

/// The predicted time from which a job is of no use, in multiples of its objective.
const MAX_OBJECTIVES: u64 = 3;
/// The shortest `Retry-After` of a refusal because of load, in milliseconds.
const MIN_RETRY_MS: u64 = 1_000;
/// The longest `Retry-After` of a refusal because of load, in milliseconds: twice the length
/// of the longest bursts.
const MAX_RETRY_MS: u64 = 15_000;
/// The `Retry-After` for a job that is larger than all upstreams together can hold, in
/// milliseconds.
const TOO_LARGE_RETRY_MS: u64 = 30_000;

/// The prediction for a job at its submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Outlook {
    /// How long the upstreams need for the work that goes before it, in milliseconds.
    pub(super) wait_ms: u64,
    /// How long its longest chain of steps takes, in milliseconds.
    pub(super) chain_ms: u64,
    /// The time after its arrival within which it is in time, in milliseconds.
    pub(super) objective_ms: u64,
}

impl Display for Outlook {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "backlog_ms={} chain_ms={} objective_ms={}",
            self.wait_ms, self.chain_ms, self.objective_ms
        )
    }
}

/// Why a job is not accepted, and when to try again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Refusal {
    /// The time after which the caller may try again, in milliseconds.
    pub(super) wait_ms: u64,
    /// The reason, as sent to the caller.
    pub(super) why: &'static str,
    /// The prediction behind the refusal.
    pub(super) outlook: Outlook,
}

/// The resources of all upstreams of a service.
#[derive(Debug, Clone, Copy, Default)]
struct Fleet {
    total: ResourceAmounts,
    /// The most of each resource that one upstream has.
    largest: ResourceAmounts,
}

impl Scheduler {
    /// Decides whether a job is accepted.
    ///
    /// # Errors
    ///
    /// Returns the reason of a refusal and when to try again.
    pub(super) fn admit(&self, queue: &Arc<Queue>, spec: &Spec) -> Result<Outlook, Refusal> {
        let fleet = self.fleet(&queue.service);
        let chain_ms = waiting::chain_ms(&self.durations, queue, spec);
        let outlook = Outlook {
            wait_ms: self.backlog_ms(queue, &fleet),
            chain_ms,
            objective_ms: waiting::objective_ms(queue, chain_ms),
        };
        if fleet.total == ResourceAmounts::default() {
            // Discovery has not been read yet, or no upstream is listed at the moment.
            return Ok(outlook);
        }
        if spec.steps.iter().any(|step| !ever_fits(step, &fleet)) {
            return Err(Refusal {
                wait_ms: TOO_LARGE_RETRY_MS,
                why: "no upstream has what a task needs, or all together less than a gang needs",
                outlook,
            });
        }
        if queue.priority == 0 || spec.times > 0 {
            return Ok(outlook);
        }
        let limit = outlook.objective_ms.saturating_mul(MAX_OBJECTIVES);
        match (outlook.wait_ms + outlook.chain_ms).checked_sub(limit) {
            None => Ok(outlook),
            Some(over) => Err(Refusal {
                wait_ms: over.clamp(MIN_RETRY_MS, MAX_RETRY_MS),
                why: "the work before it takes longer than three times its objective",
                outlook,
            }),
        }
    }

    fn fleet(&self, service: &str) -> Fleet {
        let mut fleet = Fleet::default();
        let all = self.upstreams.values();
        for upstream in all.filter(|up| up.listed && *up.listing.service == *service) {
            let room = &upstream.listing.room;
            fleet.total.add(room);
            fleet.largest.cpu = fleet.largest.cpu.max(room.cpu);
            fleet.largest.memory = fleet.largest.memory.max(room.memory);
            fleet.largest.accelerators = fleet.largest.accelerators.max(room.accelerators);
        }
        fleet
    }

    /// Predicts how long the upstreams need for all open jobs of the same or a higher priority, in
    /// milliseconds.
    fn backlog_ms(&self, queue: &Queue, fleet: &Fleet) -> u64 {
        let Some(config) = &self.config else {
            return 0;
        };
        let open = self.open.iter().filter_map(|id| self.jobs.get(id));
        let before = open.filter(|job| {
            let other = config.queue(&job.queue);
            other.is_some_and(|other| {
                other.service == queue.service && other.priority <= queue.priority
            })
        });
        before.map(|job| self.remaining_ms(job, fleet)).sum()
    }

    /// Predicts how long all upstreams together need for the rest of a job, in milliseconds.
    fn remaining_ms(&self, job: &Job, fleet: &Fleet) -> u64 {
        let mut total = 0;
        for turn in job.turns.values() {
            for (step, state) in job.spec.steps.iter().zip(&turn.steps) {
                if step.long_running || state.left == 0 {
                    continue;
                }
                let each = self.durations.predict(&job.queue, step);
                let need = step.need();
                let part = |part: u64, whole: u64| {
                    let work = each
                        .saturating_mul(part)
                        .saturating_mul(u64::from(state.left));
                    work.checked_div(whole).unwrap_or(0)
                };
                total += part(need.accelerators, fleet.total.accelerators)
                    .max(part(need.cpu, fleet.total.cpu))
                    .max(part(need.memory, fleet.total.memory));
            }
        }
        total
    }
}

fn ever_fits(step: &Step, fleet: &Fleet) -> bool {
    let need = step.need();
    let members = if step.gang { u64::from(step.count) } else { 1 };
    let all = ResourceAmounts {
        cpu: need.cpu.saturating_mul(members),
        memory: need.memory.saturating_mul(members),
        accelerators: need.accelerators.saturating_mul(members),
    };
    need.fits(&fleet.largest) && all.fits(&fleet.total)
}
