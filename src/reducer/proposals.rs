//! When this placer proposes: the first-ranked placer at once, the others only if no gang changes
//! its phase for a while.

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

/// The time after which a proposal that was not read back may be made again, in milliseconds.
const PROPOSE_AGAIN_MS: u64 = 2_000;

/// The proposals that this placer made and has not read back.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Proposals {
    /// When a proposal about each gang was made, in milliseconds of monotonic time.
    pending: BTreeMap<Name, u64>,
    planned_ms: u64,
    /// Since when gangs are queued without progress; a placer waits longer the lower it ranks.
    idle_ms: Option<u64>,
}

impl Proposals {
    /// Removes the proposal that a verdict is about.
    pub(super) fn on_verdict(&mut self, result: &EntryVerdict) {
        if let Some(job) = job_of(&result.entry) {
            self.pending.remove(job);
        }
    }

    /// Makes the next round due, and restarts the wait of the lower-ranked placers.
    pub(super) fn phases_changed(&mut self) {
        self.planned_ms = 0;
        self.idle_ms = None;
    }

    /// Runs a round of planning if one is due and this placer has waited for as long as its rank
    /// demands.
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
            self.idle_ms = None;
            return;
        }
        let since_ms = *self.idle_ms.get_or_insert(now.mono_ms);
        let rank = peers.rank(ctx, now, "plan");
        if now.mono_ms < since_ms + rank * config.rank_ms {
            return;
        }
        self.idle_ms = Some(now.mono_ms);
        self.pending
            .retain(|_, at_ms| *at_ms + PROPOSE_AGAIN_MS > now.mono_ms);
        for entry in round::propose(ledger, config, now.wall_ms) {
            self.append(entry, now, effects);
        }
    }

    fn append(&mut self, entry: Entry, now: Now, effects: &mut Vec<Effect>) {
        let Some(job) = job_of(&entry) else {
            return;
        };
        if self.pending.contains_key(job) {
            return;
        }
        self.pending.insert(job.clone(), now.mono_ms);
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
