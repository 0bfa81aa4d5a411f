//! The bodies of requests and answers in progress; the reducer decides, this holds the bytes.

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

/// A whole answer of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are passed on.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}

/// What is sent to an upstream.
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

/// The one final answer to a call, with the configuration offset that it was decided under.
#[derive(Debug)]
pub struct Final {
    /// The configuration offset in force.
    pub cfg: Offset,
    /// What the reducer decided.
    pub reply: Reply,
    /// The upstream's answer, if the reply names one.
    pub answer: Option<Answer>,
}

#[derive(Debug)]
struct Open {
    payload: Option<Payload>,
    answers: Vec<(u32, Answer)>,
    reply: oneshot::Sender<Final>,
}

/// All calls in progress.
#[derive(Debug, Default)]
pub struct Exchange {
    open: Mutex<HashMap<Name, Open>>,
}

impl Exchange {
    /// Opens a call and returns where its final answer will come.
    pub fn open(&self, req: &Name, payload: Option<Payload>) -> oneshot::Receiver<Final> {
        let (tx, rx) = oneshot::channel();
        let open = Open {
            payload,
            answers: Vec::new(),
            reply: tx,
        };
        self.lock().insert(req.clone(), open);
        rx
    }

    /// Returns what is to be sent for a request.
    pub fn payload(&self, req: &Name) -> Option<Payload> {
        self.lock().get(req)?.payload.clone()
    }

    /// Keeps the answer of a try until the reducer decides.
    pub fn keep(&self, req: &Name, attempt: u32, answer: Answer) {
        if let Some(open) = self.lock().get_mut(req) {
            open.answers.push((attempt, answer));
        }
    }

    /// Closes a call with its final answer.
    pub fn close(&self, req: &Name, cfg: Offset, reply: Reply) {
        let Some(mut open) = self.lock().remove(req) else {
            return;
        };
        let answer = match &reply {
            Reply::Upstream { attempt, .. } => take(&mut open.answers, *attempt),
            _ => None,
        };
        drop(open.reply.send(Final { cfg, reply, answer }));
    }

    /// Returns how many calls are in progress.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Tells whether no call is in progress.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Open>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn take(answers: &mut Vec<(u32, Answer)>, attempt: u32) -> Option<Answer> {
    let at = answers.iter().position(|(number, _)| *number == attempt)?;
    Some(answers.swap_remove(at).1)
}
