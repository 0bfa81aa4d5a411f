//! Decides whether a call that a leader has not replied to is sent to the next one.
//!
//! Calls are idempotent, as each job has an id of its own: submissions, like status queries and
//! cancellations, may be repeated. A leader of a later epoch fences the earlier ones before it
//! reads what they stored, and accepts a submission that this same call has already stored,
//! whatever the configuration says by then. So its refusal of a job is reliable even if an earlier
//! leader received the call. A refusal by the same leader is not, as the first attempt may still
//! reach it.

use super::CallError;
use super::CallResult;
use super::LEADERLESS_RETRY_MS;
use crate::fleet::event::Operation;
use crate::fleet::event::Reply;

/// The most attempts to send a call: an election has one winner, or two if the first cannot load.
const MAX_ATTEMPTS: u32 = 4;

/// What to do after an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Send this reply to the caller.
    Final(Reply),
    /// Send the call to the next leader.
    Retry,
}

/// The attempts of one call.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempts {
    /// Whether the call submits a job, so that a refusal is wrong if an attempt was stored.
    submits: bool,
    count: u32,
    /// The latest epoch whose leader may have received the call without replying to it.
    unanswered: Option<u64>,
}

impl Attempts {
    pub(super) fn new(ask: &Operation) -> Self {
        Self {
            submits: matches!(ask, Operation::Submit(_)),
            count: 0,
            unanswered: None,
        }
    }

    /// Decides on the reply, or the failure to reply, of the leader of `epoch`.
    pub(super) fn evaluate(&mut self, epoch: u64, answer: CallResult) -> Verdict {
        self.count += 1;
        let reply = match answer {
            Ok(Reply::Unknown) | Err(CallError::OutcomeUnknown) => {
                self.unanswered = self.unanswered.max(Some(epoch));
                return self.retry();
            }
            Err(CallError::NotHandled) => return self.retry(),
            Ok(reply) => reply,
        };
        let uncertain = self.submits && self.unanswered.is_some_and(|latest| latest >= epoch);
        if uncertain && reply != Reply::Accepted {
            return Verdict::Final(Reply::Unknown);
        }
        Verdict::Final(reply)
    }

    /// Returns the reply to the caller if no leader replies.
    pub(super) fn give_up(&self) -> Reply {
        if self.unanswered.is_some() {
            return Reply::Unknown;
        }
        Reply::Unavailable {
            wait_ms: LEADERLESS_RETRY_MS,
        }
    }

    fn retry(&self) -> Verdict {
        if self.count < MAX_ATTEMPTS {
            Verdict::Retry
        } else {
            Verdict::Final(self.give_up())
        }
    }
}
