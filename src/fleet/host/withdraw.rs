//! Takes back submissions that were never sent to the store.
//!
//! The load it answers: an outage of the store. Submissions that came in its first second wait
//! behind the append that got no response; nothing of them was sent, so a refusal is true, and
//! their callers may try again while there is time.

use super::STALLED_WAIT_MS;
use crate::fleet::Effect;
use crate::fleet::event::Reply;
use crate::fleet::row::Row;
use crate::fleet::row::job_key;
use crate::fleet::row::state_key;
use crate::prelude::*;
use std::collections::HashSet;

/// Removes the rows and effects of jobs of which no row was sent, and refuses their callers;
/// returns these jobs. `rows` wait to be sent, `job_of` tells which job a call submits.
pub(super) fn withdraw(
    rows: &mut Vec<Row>,
    gated: &mut Vec<Effect>,
    job_of: impl Fn(u64) -> Option<Name>,
) -> HashSet<Name> {
    // The first row of a job is written once, so that its place tells whether anything was sent.
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
    // What was closed meanwhile was promised to somebody.
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
                    wait_ms: STALLED_WAIT_MS,
                };
            }
            true
        }
        _ => true,
    });
    jobs
}
