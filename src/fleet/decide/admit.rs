//! Admission control: refuses at submission the jobs that cannot be served.
//!
//! Bursts bring several times the work that the upstreams can do. A job that would end only after
//! three times its objective is of no use and delays the jobs behind it, so its caller gets a
//! `Retry-After` instead.

use crate::fleet::model::Queue;
use crate::fleet::model::ResourceAmounts;
use crate::fleet::model::Spec;
use crate::fleet::model::Step;
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
pub(in crate::fleet) struct Outlook {
    /// How long the upstreams need for the work that goes before it, in milliseconds.
    pub(in crate::fleet) wait_ms: u64,
    /// How long its longest chain of steps takes, in milliseconds.
    pub(in crate::fleet) chain_ms: u64,
    /// The time after its arrival within which it is in time, in milliseconds.
    pub(in crate::fleet) objective_ms: u64,
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
pub(in crate::fleet) struct Refusal {
    /// The time after which the caller may try again, in milliseconds.
    pub(in crate::fleet) wait_ms: u64,
    /// The reason, as sent to the caller.
    pub(in crate::fleet) why: &'static str,
    /// The prediction behind the refusal.
    pub(in crate::fleet) outlook: Outlook,
}

/// The resources of all upstreams of a service.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::fleet) struct Capacity {
    /// The sum of all.
    pub(in crate::fleet) total: ResourceAmounts,
    /// The most of each resource that one upstream has.
    pub(in crate::fleet) largest: ResourceAmounts,
}

impl Capacity {
    /// Adds an upstream with `room`.
    pub(in crate::fleet) fn add(&mut self, room: &ResourceAmounts) {
        self.total.add(room);
        self.largest.cpu = self.largest.cpu.max(room.cpu);
        self.largest.memory = self.largest.memory.max(room.memory);
        self.largest.accelerators = self.largest.accelerators.max(room.accelerators);
    }

    /// Returns how long all upstreams together need for `count` tasks that need `need` and take
    /// `each_ms`, in milliseconds.
    pub(in crate::fleet) fn work_ms(
        &self,
        need: &ResourceAmounts,
        each_ms: u64,
        count: u32,
    ) -> u64 {
        let part = |part: u64, whole: u64| {
            let work = each_ms
                .saturating_mul(part)
                .saturating_mul(u64::from(count));
            work.checked_div(whole).unwrap_or(0)
        };
        part(need.accelerators, self.total.accelerators)
            .max(part(need.cpu, self.total.cpu))
            .max(part(need.memory, self.total.memory))
    }

    fn ever_fits(&self, step: &Step) -> bool {
        let need = step.need();
        let members = if step.gang { step.count } else { 1 };
        need.fits(&self.largest) && need.times(members).fits(&self.total)
    }
}

/// Decides whether a job of `queue` is accepted.
///
/// # Errors
///
/// Returns the reason of a refusal and when to try again.
pub(in crate::fleet) fn admit(
    queue: &Queue,
    spec: &Spec,
    capacity: &Capacity,
    outlook: Outlook,
) -> Result<Outlook, Refusal> {
    if capacity.total == ResourceAmounts::default() {
        // Discovery has not been read yet, or no upstream is listed at the moment.
        return Ok(outlook);
    }
    if spec.steps.iter().any(|step| !capacity.ever_fits(step)) {
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
