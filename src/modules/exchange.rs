//! The payloads and answers of calls in progress. The reducer decides on a call without them; they
//! are stored here.

use crate::prelude::*;
use crate::reducer::effect::Reply;
use bytes::Bytes;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use tokio::sync::oneshot;

/// One header of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Its name, in lower case.
    pub name: String,
    /// Its value.
    pub value: Vec<u8>,
}

/// A complete answer of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are forwarded to the caller.
    pub headers: Vec<Header>,
    /// The complete body.
    pub body: Bytes,
}

/// The request that is sent to an upstream.
#[derive(Debug, Clone)]
pub struct Payload {
    /// The kind of work.
    pub kind: Name,
    /// The workspace.
    pub workspace: Name,
    /// The caller's idempotency key.
    pub key: Option<Name>,
    /// The media type of the body.
    pub media: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// The final reply to a call, with the configuration offset that it was decided under.
#[derive(Debug)]
pub struct FinalReply {
    /// The configuration offset in force.
    pub cfg: Offset,
    /// The reducer's decision.
    pub reply: Reply,
    /// The upstream's answer, if the reply refers to one.
    pub answer: Option<Answer>,
}

#[derive(Debug)]
struct OpenCall {
    payload: Option<Payload>,
    answers: Vec<(u32, Answer)>,
    reply: oneshot::Sender<FinalReply>,
}

/// All calls in progress.
#[derive(Debug, Default)]
pub struct Exchange {
    open: Mutex<HashMap<Name, OpenCall>>,
}

impl Exchange {
    /// Registers a call and returns the channel that receives its final reply.
    pub fn open(&self, req: &Name, payload: Option<Payload>) -> oneshot::Receiver<FinalReply> {
        let (tx, rx) = oneshot::channel();
        let open = OpenCall {
            payload,
            answers: Vec::new(),
            reply: tx,
        };
        self.lock().insert(req.clone(), open);
        rx
    }

    /// Returns the payload to send for a request.
    pub fn payload(&self, req: &Name) -> Option<Payload> {
        self.lock().get(req)?.payload.clone()
    }

    /// Stores the answer of an attempt until the reducer decides on the call.
    pub fn store_answer(&self, req: &Name, attempt: u32, answer: Answer) {
        if let Some(open) = self.lock().get_mut(req) {
            open.answers.push((attempt, answer));
        }
    }

    /// Sends the final reply of a call and removes the call.
    pub fn close(&self, req: &Name, cfg: Offset, reply: Reply) {
        let Some(mut open) = self.lock().remove(req) else {
            return;
        };
        let answer = match &reply {
            Reply::Upstream { attempt, .. } => take(&mut open.answers, *attempt),
            _ => None,
        };
        drop(open.reply.send(FinalReply { cfg, reply, answer }));
    }

    /// Returns the number of calls in progress.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether no call is in progress.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, OpenCall>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn take(answers: &mut Vec<(u32, Answer)>, attempt: u32) -> Option<Answer> {
    let at = answers.iter().position(|(number, _)| *number == attempt)?;
    Some(answers.swap_remove(at).1)
}
