//! Decides at once which submissions cannot be served.
//!
//! The load it answers: bursts of several times what the upstreams can do. A job that would be done
//! only after three times its objective helps nobody, and those behind it wait for it; its caller
//! is told when to come back.

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

/// How many objectives a job may take before it is of no use.
const USELESS_OBJECTIVES: u64 = 3;
/// The shortest `Retry-After` of a refusal for load, in milliseconds.
const MIN_WAIT_MS: u64 = 1_000;
/// The longest `Retry-After`, in milliseconds: the longest burst that was seen, twice.
const MAX_WAIT_MS: u64 = 15_000;
/// `Retry-After` for a job that is larger than all upstreams, in milliseconds.
const NEVER_WAIT_MS: u64 = 30_000;

/// What is predicted of a job when it comes, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Outlook {
    /// How long the fleet works on what goes before it.
    pub(super) wait_ms: u64,
    /// How long its longest chain of steps works.
    pub(super) chain_ms: u64,
    /// Up to when after its arrival it is in time.
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

/// Why a job is not accepted, and when to come back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Refusal {
    /// When to come back, in milliseconds.
    pub(super) wait_ms: u64,
    /// The reason.
    pub(super) why: &'static str,
    /// What was predicted.
    pub(super) outlook: Outlook,
}

/// What the upstreams of a service have.
#[derive(Debug, Clone, Copy, Default)]
struct Fleet {
    sum: ResourceAmounts,
    most: ResourceAmounts,
}

impl Scheduler {
    /// Decides whether a job is refused.
    ///
    /// # Errors
    ///
    /// The refusal.
    pub(super) fn admit(&self, queue: &Arc<Queue>, spec: &Spec) -> Result<Outlook, Refusal> {
        let fleet = self.fleet(&queue.service);
        let chain_ms = waiting::chain_ms(&self.durations, queue, spec);
        let outlook = Outlook {
            wait_ms: self.backlog_ms(queue, &fleet),
            chain_ms,
            objective_ms: waiting::objective_ms(queue, chain_ms),
        };
        if fleet.sum == ResourceAmounts::default() {
            // Discovery has not been read yet, or all upstreams are lost for now.
            return Ok(outlook);
        }
        if spec.steps.iter().any(|step| !ever_fits(step, &fleet)) {
            return Err(Refusal {
                wait_ms: NEVER_WAIT_MS,
                why: "no upstream has what a task needs, or all together less than a gang needs",
                outlook,
            });
        }
        if queue.priority == 0 || spec.times > 0 {
            return Ok(outlook);
        }
        let useless = outlook.objective_ms.saturating_mul(USELESS_OBJECTIVES);
        match (outlook.wait_ms + outlook.chain_ms).checked_sub(useless) {
            None => Ok(outlook),
            Some(over) => Err(Refusal {
                wait_ms: over.clamp(MIN_WAIT_MS, MAX_WAIT_MS),
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
            fleet.sum.add(room);
            fleet.most.cpu = fleet.most.cpu.max(room.cpu);
            fleet.most.memory = fleet.most.memory.max(room.memory);
            fleet.most.accelerators = fleet.most.accelerators.max(room.accelerators);
        }
        fleet
    }

    /// Predicts how long the fleet works on what is open at the same or a higher priority, in
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
        before.map(|job| self.rest_ms(job, fleet)).sum()
    }

    /// Predicts how long the whole fleet would work on what is left of a job, in milliseconds.
    fn rest_ms(&self, job: &Job, fleet: &Fleet) -> u64 {
        let mut sum = 0;
        for turn in job.turns.values() {
            for (step, stretch) in job.spec.steps.iter().zip(&turn.steps) {
                if step.long_running || stretch.left == 0 {
                    continue;
                }
                let each = self.durations.predict(&job.queue, step);
                let need = step.need();
                let part = |part: u64, whole: u64| {
                    let work = each
                        .saturating_mul(part)
                        .saturating_mul(u64::from(stretch.left));
                    work.checked_div(whole).unwrap_or(0)
                };
                sum += part(need.accelerators, fleet.sum.accelerators)
                    .max(part(need.cpu, fleet.sum.cpu))
                    .max(part(need.memory, fleet.sum.memory));
            }
        }
        sum
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
    need.fits(&fleet.most) && all.fits(&fleet.sum)
}
