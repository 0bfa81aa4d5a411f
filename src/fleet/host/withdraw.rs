//! Withdraws submissions that were never sent to the store.
//!
//! For outages of the store: the submissions of the first second queue behind an append that gets
//! no response. As nothing of them was sent, they can be refused for certain, early enough for
//! their callers to retry.

use super::STALLED_RETRY_MS;
use crate::fleet::Effect;
use crate::fleet::event::Reply;
use crate::fleet::row::Row;
use crate::fleet::row::job_key;
use crate::fleet::row::state_key;
use crate::prelude::*;
use std::collections::HashSet;

/// Removes the rows and effects of jobs of which no row was sent, refuses the calls that submitted
/// them, and returns these jobs. `rows` are the rows not yet sent; `job_of` returns the job that a
/// call submits.
pub(super) fn withdraw(
    rows: &mut Vec<Row>,
    gated: &mut Vec<Effect>,
    job_of: impl Fn(u64) -> Option<Name>,
) -> HashSet<Name> {
    // The first row of a job is written only once: while it is unsent, nothing of the job was sent.
    let unsent: HashSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
    let mut jobs: HashSet<Name> = HashSet::new();
    for effect in gated.iter() {
        if let Effect::Reply { call, reply } = effect
            && *reply == Reply::Accepted
            && let Some(job) = job_of(*call)
            && unsent.contains(job_key(&job).as_str())
        {
            jobs.insert(job);
        }
    }
    // Keeps jobs that were closed meanwhile: another caller, such as one that cancelled the job,
    // was promised the outcome.
    for effect in gated.iter() {
        if let Effect::ClosureStored { job } = effect {
            jobs.remove(job);
        }
    }
    if jobs.is_empty() {
        return jobs;
    }
    let keys: HashSet<String> = jobs
        .iter()
        .flat_map(|job| [job_key(job), state_key(job)])
        .collect();
    rows.retain(|row| !keys.contains(&row.key));
    gated.retain_mut(|effect| match effect {
        Effect::Start { run, .. } => !jobs.contains(&run.task.job),
        Effect::Reply { call, reply } => {
            if job_of(*call).is_some_and(|job| jobs.contains(&job)) {
                *reply = Reply::Unavailable {
                    wait_ms: STALLED_RETRY_MS,
                };
            }
            true
        }
        _ => true,
    });
    jobs
}
