//! The claims of non-idempotent requests: the first valid claim of a key wins, for good.
//!
//! A claim is never taken over. If its claimant dies, nobody else runs the request, and a retry
//! is told that the outcome is unknown.

use super::Origin;
use super::catalog::Catalog;
use super::pairs;
use crate::prelude::*;
use crate::records::Entry;
use crate::records::Outcome;
use crate::records::Verdict;
use crate::records::Void;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

/// The time for which a key is remembered, in milliseconds of the ledger's clock.
pub const KEY_TTL_MS: u64 = 86_400_000;
/// The most that a claim's stamp may be ahead of the ledger's clock and still count, in
/// milliseconds; the clock falls behind while nothing is recorded, such as over a night.
pub const STAMP_LEAD_MS: u64 = 2_592_000_000;
/// The most keys that are remembered.
pub const CLAIMS_MAX: usize = 500_000;
/// The most duplicates that are listed.
pub const DUPLICATES_MAX: usize = 10_000;
/// The most bytes of kept answers, over all keys.
pub const KEPT_MAX_BYTES: usize = 16_777_216;

/// A workspace's idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The workspace.
    pub workspace: Name,
    /// The caller's key.
    pub key: Name,
}

/// One claimed key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request that claimed it.
    pub req: Name,
    /// The kind of work.
    pub kind: Name,
    /// A hash of the request.
    pub print: u64,
    /// The process that runs it.
    pub writer: Name,
    /// The boot of that process.
    pub boot: u64,
    /// The control offset of the claim.
    pub offset: Offset,
    /// The ledger's clock at the claim.
    pub at_ms: u64,
    /// When the key is forgotten, by the ledger's clock in milliseconds.
    pub end_ms: u64,
    /// What became of it, if that was recorded.
    pub outcome: Option<Outcome>,
}

/// A request that came again, for the chief judge.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duplicate {
    /// The workspace.
    pub workspace: Name,
    /// The kind of work.
    pub kind: Name,
    /// The key.
    pub key: Name,
    /// The request that holds the key.
    pub first: Name,
    /// The request that came again.
    pub again: Name,
    /// The process that received it.
    pub writer: Name,
    /// The ledger's clock, in milliseconds.
    pub at_ms: u64,
    /// The control offset.
    pub offset: Offset,
    /// Whether it differs from the first in content.
    pub differs: bool,
}

/// When a key is forgotten; the earliest is first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Expiry {
    end_ms: u64,
    offset: Offset,
    key: ClaimKey,
}

/// All claims that are remembered.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Claims {
    #[serde(with = "pairs")]
    live: BTreeMap<ClaimKey, Claim>,
    expiries: BTreeSet<Expiry>,
    kept_bytes: usize,
    /// The requests that came again, the oldest first.
    pub duplicates: VecDeque<Duplicate>,
    /// How many duplicates were seen in all.
    pub repeats: u64,
}

impl Claims {
    /// Returns the claim of a key.
    pub fn get(&self, workspace: &Name, key: &Name) -> Option<&Claim> {
        let key = ClaimKey {
            workspace: workspace.clone(),
            key: key.clone(),
        };
        self.live.get(&key)
    }

    /// Returns how many keys are remembered.
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Tells whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }

    /// Iterates over all claims.
    pub fn iter(&self) -> impl Iterator<Item = (&ClaimKey, &Claim)> {
        self.live.iter()
    }

    pub(super) fn rule(&mut self, origin: &Origin, entry: &Entry, catalog: &Catalog) -> Verdict {
        match entry {
            Entry::Claim {
                req,
                workspace,
                kind,
                key,
                print,
            } => {
                let key = ClaimKey {
                    workspace: workspace.clone(),
                    key: key.clone(),
                };
                let claim = Claim {
                    req: req.clone(),
                    kind: kind.clone(),
                    print: *print,
                    writer: origin.id.writer.clone(),
                    boot: origin.id.boot,
                    offset: origin.offset,
                    at_ms: origin.at_ms,
                    end_ms: end_ms(origin),
                    outcome: None,
                };
                self.claim(key, claim, catalog)
            }
            Entry::Settle {
                req,
                workspace,
                key,
                outcome,
            } => {
                let key = ClaimKey {
                    workspace: workspace.clone(),
                    key: key.clone(),
                };
                self.settle(origin, req, &key, outcome)
            }
            _ => Err(Void::Phase),
        }
    }

    /// Forgets the keys whose time has passed.
    pub(super) fn expire(&mut self, clock_ms: u64) {
        while let Some(oldest) = self.expiries.first() {
            if oldest.end_ms > clock_ms {
                return;
            }
            let Some(oldest) = self.expiries.pop_first() else {
                return;
            };
            let same = self
                .live
                .get(&oldest.key)
                .is_some_and(|claim| claim.offset == oldest.offset);
            if same && let Some(claim) = self.live.remove(&oldest.key) {
                self.kept_bytes -= kept_len(claim.outcome.as_ref());
            }
        }
    }

    fn claim(&mut self, key: ClaimKey, claim: Claim, catalog: &Catalog) -> Verdict {
        catalog.allows(&key.workspace, &claim.kind)?;
        if let Some(first) = self.live.get(&key) {
            let void = match first.print == claim.print {
                true => Void::Claimed(first.req.clone()),
                false => Void::Mismatch,
            };
            let again = first.outcome == Some(Outcome::NotRun) && void != Void::Mismatch;
            if !again {
                let first = first.req.clone();
                self.list_duplicate(&key, first, claim, void == Void::Mismatch);
                return Err(void);
            }
        } else if self.live.len() >= CLAIMS_MAX {
            return Err(Void::Full("remembered keys".into()));
        }
        self.expiries.insert(Expiry {
            end_ms: claim.end_ms,
            offset: claim.offset,
            key: key.clone(),
        });
        self.live.insert(key, claim);
        Ok(())
    }

    fn list_duplicate(&mut self, key: &ClaimKey, first: Name, again: Claim, differs: bool) {
        self.repeats += 1;
        if self.duplicates.len() >= DUPLICATES_MAX {
            self.duplicates.pop_front();
        }
        self.duplicates.push_back(Duplicate {
            workspace: key.workspace.clone(),
            kind: again.kind,
            key: key.key.clone(),
            first,
            again: again.req,
            writer: again.writer,
            at_ms: again.at_ms,
            offset: again.offset,
            differs,
        });
    }

    fn settle(
        &mut self,
        origin: &Origin,
        req: &Name,
        key: &ClaimKey,
        outcome: &Outcome,
    ) -> Verdict {
        let Some(claim) = self.live.get_mut(key) else {
            return Err(Void::Unknown("claim".into()));
        };
        let own =
            claim.req == *req && claim.writer == origin.id.writer && claim.boot == origin.id.boot;
        if !own {
            return Err(Void::NotClaimant);
        }
        if claim.outcome.is_some() {
            return Err(Void::Phase);
        }
        let mut outcome = outcome.clone();
        let more = kept_len(Some(&outcome));
        if self.kept_bytes + more > KEPT_MAX_BYTES
            && let Outcome::Done(kept) = &mut outcome
        {
            kept.body = None;
        }
        self.kept_bytes += kept_len(Some(&outcome));
        claim.outcome = Some(outcome);
        Ok(())
    }
}

/// Returns when a key is forgotten: its time begins with the later of clock and stamp, so that it
/// does not pass while the clock only catches up.
fn end_ms(origin: &Origin) -> u64 {
    let stamp_ms = origin.stamp_ms.min(origin.at_ms + STAMP_LEAD_MS);
    origin.at_ms.max(stamp_ms) + KEY_TTL_MS
}

fn kept_len(outcome: Option<&Outcome>) -> usize {
    match outcome {
        Some(Outcome::Done(kept)) => kept.body.as_ref().map_or(0, String::len),
        _ => 0,
    }
}
