//! Describes the entries of control records as text.

use crate::prelude::*;
use crate::records::Entry;
use crate::records::Outcome;
use std::collections::BTreeSet;

/// Returns whether an entry refers to one of `ids`.
pub(super) fn concerns(entry: &Entry, ids: &BTreeSet<Name>) -> bool {
    match entry {
        Entry::Claim { req, key, .. } | Entry::Settle { req, key, .. } => {
            ids.contains(req) || ids.contains(key)
        }
        Entry::Submit { job } => ids.contains(&job.id),
        Entry::Reclaim { job, waiter, .. } => {
            ids.contains(job) || waiter.as_ref().is_some_and(|waiter| ids.contains(waiter))
        }
        Entry::Cancel { job }
        | Entry::Place { job, .. }
        | Entry::Reject { job, .. }
        | Entry::Member { job, .. } => ids.contains(job),
        Entry::Worker { worker, .. } => ids.contains(worker),
    }
}

/// Returns the name of an entry's kind.
pub(super) fn kind_name(entry: &Entry) -> &'static str {
    match entry {
        Entry::Claim { .. } => "claim",
        Entry::Settle { .. } => "settle",
        Entry::Submit { .. } => "submit",
        Entry::Cancel { .. } => "cancel",
        Entry::Place { .. } => "place",
        Entry::Reclaim { .. } => "reclaim",
        Entry::Reject { .. } => "reject",
        Entry::Member { .. } => "member",
        Entry::Worker { .. } => "worker",
    }
}

/// Describes the content of an entry besides its identifier.
pub(super) fn describe(entry: &Entry) -> String {
    match entry {
        Entry::Claim {
            req,
            workspace,
            kind,
            key,
            ..
        } => format!("{req} claims key {key} of {workspace} for {kind}"),
        Entry::Settle { req, outcome, .. } => format!("{req} {}", describe_outcome(outcome)),
        Entry::Submit { job } => format!(
            "{} of {}: {} members of {} accelerators",
            job.kind, job.workspace, job.members, job.accelerators
        ),
        Entry::Cancel { .. } => "asked by the caller".to_owned(),
        Entry::Place { attempt, slots, .. } => {
            let workers: BTreeSet<&Name> = slots.iter().map(|slot| &slot.worker).collect();
            let workers: Vec<&str> = workers.into_iter().map(|worker| &**worker).collect();
            format!("attempt {attempt} on {}", workers.join(" "))
        }
        Entry::Reclaim { token, waiter, .. } => match waiter {
            Some(waiter) => format!("placement {token} makes room for {waiter}"),
            None => format!("placement {token} makes room"),
        },
        Entry::Reject { reason, .. } => reason.clone(),
        Entry::Member {
            token,
            worker,
            state,
            kept_ms,
            ..
        } => format!("{worker}: {state:?} in placement {token}, {kept_ms} ms kept"),
        Entry::Worker {
            worker,
            state,
            reason,
        } => format!("{worker}: {state:?}: {reason}"),
    }
}

fn describe_outcome(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Done(kept) if kept.body.is_some() => {
            format!("ran: status {}, its answer is kept", kept.status)
        }
        Outcome::Done(kept) => format!("ran: status {}, its answer is not kept", kept.status),
        Outcome::NotRun => "did not run".to_owned(),
        Outcome::Unknown => "may have run".to_owned(),
    }
}
