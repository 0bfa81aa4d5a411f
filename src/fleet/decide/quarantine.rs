//! Decides how long an upstream on which work fails gets no new work.
//!
//! An upstream that fails one job after the other is at fault: the time doubles with each further
//! job. A job that fails again where it has failed before, or that fails on many upstreams, says
//! little about this one: only that job is kept away for longer. Other work still finds the upstream
//! and can show that it is sound, which an upstream that is idle in quarantine never could.

use crate::fleet::timing::QUARANTINE_FAILURES;
use crate::fleet::timing::QUARANTINE_MS;
use crate::prelude::*;

/// The most times that a quarantine time is doubled.
const MAX_DOUBLINGS: u32 = 3;
/// The other upstreams on which a task has failed from which on its failure is no evidence about
/// an upstream that it has not failed on yet: jobs in a queue have two to four attempts, so only
/// tasks that are restarted for ever get there.
const MAX_ELSEWHERE: usize = 4;
/// How long a failure is remembered, in milliseconds: the longest quarantine, and the longest runs
/// after it.
const MEMORY_MS: u64 = 120_000;
/// The most jobs that are remembered for an upstream.
const MAX_JOBS: usize = 32;

/// The jobs that have failed on an upstream since a run was last done there.
#[derive(Debug, Clone, Default)]
pub(in crate::fleet) struct Quarantine {
    /// In the order of their first failures.
    jobs: Vec<FailedJob>,
}

#[derive(Debug, Clone)]
struct FailedJob {
    id: Name,
    /// When it last failed there, local clock.
    at: u64,
    /// How often it was kept away since its first failure there.
    repeats: u32,
    /// Whether its first failure there is evidence about the upstream.
    counts: bool,
    /// Until when it gets no new run there, local clock.
    barred_until: u64,
}

/// What follows from a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::fleet) enum Bar {
    /// Nothing: no other job has failed there.
    None,
    /// The job gets no new run there for this time, in milliseconds.
    Job(u64),
    /// No job gets a new run there for this time, in milliseconds.
    All(u64),
}

impl Quarantine {
    /// Records that a run was done there.
    pub(in crate::fleet) fn record_success(&mut self) {
        self.jobs.clear();
    }

    /// Records that a job has failed there; `elsewhere`: on how many other upstreams its task had
    /// failed before.
    pub(in crate::fleet) fn record_failure(
        &mut self,
        now: u64,
        id: &Name,
        elsewhere: usize,
    ) -> Bar {
        self.jobs.retain(|job| job.at + MEMORY_MS > now);
        let known = self.jobs.iter().position(|job| job.id == *id);
        let index = known.unwrap_or_else(|| {
            if self.jobs.len() >= MAX_JOBS {
                self.jobs.remove(0);
            }
            self.jobs.push(FailedJob {
                id: id.clone(),
                at: now,
                repeats: 0,
                counts: elsewhere < MAX_ELSEWHERE,
                barred_until: 0,
            });
            self.jobs.len() - 1
        });
        let several = self.jobs.len() >= QUARANTINE_FAILURES as usize;
        let counted = self.jobs.iter().filter(|job| job.counts).count();
        let further = counted.saturating_sub(QUARANTINE_FAILURES as usize);
        let further = u32::try_from(further).unwrap_or(u32::MAX);
        let job = &mut self.jobs[index];
        job.at = now;
        if !several {
            return Bar::None;
        }
        if known.is_none() && job.counts {
            let wait = QUARANTINE_MS << further.min(MAX_DOUBLINGS);
            job.barred_until = now + wait;
            return Bar::All(wait);
        }
        // Runs of one job that fail together count once.
        if now >= job.barred_until {
            job.barred_until = now + (QUARANTINE_MS << job.repeats.min(MAX_DOUBLINGS));
            job.repeats = job.repeats.saturating_add(1);
        }
        Bar::Job(job.barred_until - now)
    }

    /// Returns whether the job gets no new run there now.
    pub(in crate::fleet) fn bars(&self, now: u64, id: &Name) -> bool {
        let mut jobs = self.jobs.iter();
        jobs.any(|job| job.id == *id && now < job.barred_until)
    }
}
