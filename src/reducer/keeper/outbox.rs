//! Appends reports to the log, and repeats one only if it was not read back in time.

use super::tasks::Report;
use crate::prelude::*;
use crate::records::Entry;
use crate::records::MemberState;
use crate::records::WorkerState;
use crate::reducer::effect::Effect;
use crate::reducer::event::Now;
use crate::reducer::ledger::gangs::Gang;
use std::collections::BTreeMap;

/// The time after which a report that was not read back is appended again, in milliseconds.
const REPORT_RETRY_MS: u64 = 3_000;

/// Identifies a report that was appended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Mark {
    Member {
        job: Name,
        token: Offset,
        state: MemberState,
    },
    Worker(u8),
}

/// The reports on one worker that were appended within the last `REPORT_RETRY_MS`.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Outbox {
    sent: BTreeMap<Mark, u64>,
}

impl Outbox {
    /// Appends a report on a worker's members of a gang.
    pub(super) fn report(
        &mut self,
        gang: &Gang,
        worker: &Name,
        report: Report,
        now: Now,
        effects: &mut Vec<Effect>,
    ) {
        let mark = Mark::Member {
            job: gang.job.id.clone(),
            token: gang.token,
            state: report.state,
        };
        if self.mark_sent(mark, now) {
            effects.push(Effect::Append(Entry::Member {
                job: gang.job.id.clone(),
                token: gang.token,
                worker: worker.clone(),
                state: report.state,
                kept_ms: report.kept_ms,
            }));
        }
    }

    /// Appends a report on the worker itself.
    pub(super) fn worker(
        &mut self,
        worker: &Name,
        state: WorkerState,
        reason: String,
        now: Now,
        effects: &mut Vec<Effect>,
    ) {
        if self.mark_sent(Mark::Worker(state as u8), now) {
            effects.push(Effect::Append(Entry::Worker {
                worker: worker.clone(),
                state,
                reason,
            }));
        }
    }

    /// Records that a report is sent; `false` if an equal one was sent within `REPORT_RETRY_MS`.
    fn mark_sent(&mut self, mark: Mark, now: Now) -> bool {
        let horizon_ms = now.mono_ms.saturating_sub(REPORT_RETRY_MS);
        self.sent.retain(|_, at_ms| *at_ms > horizon_ms);
        if self.sent.contains_key(&mark) {
            return false;
        }
        self.sent.insert(mark, now.mono_ms);
        true
    }
}
