//! The claims of idempotency keys by non-idempotent requests.
//!
//! The first valid claim of a key wins. No other process ever takes it over: if the claimant
//! dies, the request is not run again, and a retry gets the reply that the outcome is unknown.
//! Only a key whose request was settled as not run can be claimed again.

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

/// How long a key is remembered, in milliseconds of the ledger's clock.
pub const KEY_TTL_MS: u64 = 86_400_000;
/// The most by which a claim's timestamp can be ahead of the ledger's clock when the key's expiry
/// is computed, in milliseconds; the clock falls behind while nothing is recorded, for example
/// overnight.
pub const MAX_STAMP_LEAD_MS: u64 = 2_592_000_000;
/// The most keys that are remembered.
pub const MAX_CLAIMS: usize = 500_000;
/// The most duplicates that are listed.
pub const MAX_DUPLICATES: usize = 10_000;
/// The most bytes of stored response bodies over all keys; beyond it, bodies are not stored.
pub const MAX_KEPT_BYTES: usize = 16_777_216;

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
    /// The fingerprint (hash) of the request.
    pub print: u64,
    /// The writer name of the process that runs it.
    pub writer: Name,
    /// The boot time of that process.
    pub boot: u64,
    /// The control offset of the claim.
    pub offset: Offset,
    /// The ledger's clock at the claim.
    pub at_ms: u64,
    /// When the key expires, in milliseconds of the ledger's clock.
    pub end_ms: u64,
    /// The recorded outcome of the request, if there is one.
    pub outcome: Option<Outcome>,
}

/// A repeated request, listed for review by the chief judge.
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
    /// The repeated request.
    pub again: Name,
    /// The process that received it.
    pub writer: Name,
    /// The ledger's clock, in milliseconds.
    pub at_ms: u64,
    /// The control offset.
    pub offset: Offset,
    /// Whether its content differs from that of the first.
    pub differs: bool,
}

/// The expiry of a key; the earliest is first.
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
    /// The last repeated requests, the oldest first.
    pub duplicates: VecDeque<Duplicate>,
    /// The total number of repeated requests.
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

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }

    /// Iterates over all claims.
    pub fn iter(&self) -> impl Iterator<Item = (&ClaimKey, &Claim)> {
        self.live.iter()
    }

    pub(super) fn apply(&mut self, origin: &Origin, entry: &Entry, catalog: &Catalog) -> Verdict {
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
                    end_ms: expiry_ms(origin),
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

    /// Removes the expired keys.
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
                self.record_duplicate(&key, first, claim, void == Void::Mismatch);
                return Err(void);
            }
        } else if self.live.len() >= MAX_CLAIMS {
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

    fn record_duplicate(&mut self, key: &ClaimKey, first: Name, again: Claim, differs: bool) {
        self.repeats += 1;
        if self.duplicates.len() >= MAX_DUPLICATES {
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
        let added = kept_len(Some(&outcome));
        if self.kept_bytes + added > MAX_KEPT_BYTES
            && let Outcome::Done(kept) = &mut outcome
        {
            kept.body = None;
        }
        self.kept_bytes += kept_len(Some(&outcome));
        claim.outcome = Some(outcome);
        Ok(())
    }
}

/// Returns when a key expires. Its time counts from the later of the ledger's clock and the
/// claim's timestamp, so that it does not run out while a clock that fell behind catches up.
fn expiry_ms(origin: &Origin) -> u64 {
    let stamp_ms = origin.stamp_ms.min(origin.at_ms + MAX_STAMP_LEAD_MS);
    origin.at_ms.max(stamp_ms) + KEY_TTL_MS
}

fn kept_len(outcome: Option<&Outcome>) -> usize {
    match outcome {
        Some(Outcome::Done(kept)) => kept.body.as_ref().map_or(0, String::len),
        _ => 0,
    }
}
