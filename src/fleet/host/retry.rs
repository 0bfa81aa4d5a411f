//! Decides whether a call that a leader has not answered goes to the next one.
//!
//! Jobs are known by their identity, so that a submission, like a question or a cancellation, may
//! be repeated. A leader of a later epoch has fenced the earlier ones before it read what they
//! stored, and accepts what this very call has stored, whatever the configuration says by now: its
//! refusal of a job is true even if an earlier leader had the call. A refusal by the same leader is
//! not, since the first call may reach it yet.

use super::Answer;
use super::LEADERLESS_WAIT_MS;
use super::Missed;
use crate::fleet::event::Operation;
use crate::fleet::event::Reply;

/// Times that a call is passed on, at the most: an election has one winner, two if the first
/// cannot load.
const MAX_ATTEMPTS: u32 = 4;

/// What to do with an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Tell the caller this.
    Final(Reply),
    /// Ask the next leader.
    Again,
}

/// The attempts of one call.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempts {
    /// Whether the call stores something that a refusal would deny.
    submits: bool,
    count: u32,
    /// The latest epoch whose leader may have had the call without answering.
    lost: Option<u64>,
}

impl Attempts {
    pub(super) fn new(ask: &Operation) -> Self {
        Self {
            submits: matches!(ask, Operation::Submit(_)),
            count: 0,
            lost: None,
        }
    }

    /// Judges the answer of the leader of `epoch`.
    pub(super) fn judge(&mut self, epoch: u64, answer: Answer) -> Verdict {
        self.count += 1;
        let reply = match answer {
            Ok(Reply::Unknown) | Err(Missed::Lost) => {
                self.lost = self.lost.max(Some(epoch));
                return self.again();
            }
            Err(Missed::Declined) => return self.again(),
            Ok(reply) => reply,
        };
        let doubtful = self.submits && self.lost.is_some_and(|lost| lost >= epoch);
        if doubtful && reply != Reply::Accepted {
            return Verdict::Final(Reply::Unknown);
        }
        Verdict::Final(reply)
    }

    /// Returns what the caller is told if no leader answers.
    pub(super) fn give_up(&self) -> Reply {
        if self.lost.is_some() {
            return Reply::Unknown;
        }
        Reply::Unavailable {
            wait_ms: LEADERLESS_WAIT_MS,
        }
    }

    fn again(&self) -> Verdict {
        if self.count < MAX_ATTEMPTS {
            Verdict::Again
        } else {
            Verdict::Final(self.give_up())
        }
    }
}
