//! When this placer proposes: the first in line at once, the others if nothing moves for a while.

use super::effect::Effect;
use super::event::Now;
use super::ledger::EntryVerdict;
use super::ledger::Ledger;
use super::peers::Peers;
use super::plan::round;
use crate::context::Context;
use crate::prelude::*;
use crate::records::Entry;
use std::collections::BTreeMap;

/// The time after which a proposal that was not read back is made again, in milliseconds.
const PROPOSE_AGAIN_MS: u64 = 2_000;

/// What this placer proposed and has not read back.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Proposals {
    open: BTreeMap<Name, u64>,
    planned_ms: u64,
    waits_ms: Option<u64>,
}

impl Proposals {
    /// Takes in a verdict.
    pub(super) fn ruled(&mut self, ruling: &EntryVerdict) {
        if let Some(job) = job_of(&ruling.entry) {
            self.open.remove(job);
        }
    }

    /// Notes that a gang moved, so that the next round is due and the others wait again.
    pub(super) fn moved(&mut self) {
        self.planned_ms = 0;
        self.waits_ms = None;
    }

    /// Proposes, if a round is due and it is this placer's turn.
    pub(super) fn tick(
        &mut self,
        ctx: &Context,
        ledger: &Ledger,
        peers: &Peers,
        now: Now,
        effects: &mut Vec<Effect>,
    ) {
        let config = &ctx.settings.gangs;
        if now.mono_ms < self.planned_ms + config.plan_ms {
            return;
        }
        self.planned_ms = now.mono_ms;
        if ledger.gangs.queued.is_empty() {
            self.waits_ms = None;
            return;
        }
        let since_ms = *self.waits_ms.get_or_insert(now.mono_ms);
        let rank = peers.rank(ctx, now, "plan");
        if now.mono_ms < since_ms + rank * config.rank_ms {
            return;
        }
        self.waits_ms = Some(now.mono_ms);
        self.open
            .retain(|_, at_ms| *at_ms + PROPOSE_AGAIN_MS > now.mono_ms);
        for entry in round::propose(ledger, config, now.wall_ms) {
            self.append(entry, now, effects);
        }
    }

    fn append(&mut self, entry: Entry, now: Now, effects: &mut Vec<Effect>) {
        let Some(job) = job_of(&entry) else {
            return;
        };
        if self.open.contains_key(job) {
            return;
        }
        self.open.insert(job.clone(), now.mono_ms);
        effects.push(Effect::Append(entry));
    }
}

fn job_of(entry: &Entry) -> Option<&Name> {
    match entry {
        Entry::Place { job, .. } | Entry::Reclaim { job, .. } | Entry::Reject { job, .. } => {
            Some(job)
        }
        _ => None,
    }
}
