//! Callers' calls to submit and cancel gangs; each is answered once its record is read back from
//! the log.

use super::effect::Code;
use super::effect::Effect;
use super::effect::Ran;
use super::effect::Refusal;
use super::effect::Reply;
use super::event::Now;
use super::ledger::EntryVerdict;
use super::ledger::Ledger;
use super::ledger::gangs::Phase;
use crate::context::Context;
use crate::model::Job;
use crate::prelude::*;
use crate::records::Entry;
use crate::records::Void;
use std::collections::BTreeMap;

/// The retry delay sent to callers while this VM is not ready or the log is down, in milliseconds.
const RETRY_MS: u64 = 1_000;
/// The retry delay sent to callers while too many gangs are queued or running, in milliseconds.
const FULL_RETRY_MS: u64 = 5_000;

/// The operation that a call requests.
#[derive(Debug, Clone, PartialEq)]
enum Operation {
    Submit(Job),
    Cancel(Name),
}

/// A call whose record has not been read back yet.
#[derive(Debug, Clone, PartialEq)]
struct Call {
    operation: Operation,
    end_ms: u64,
}

/// The inputs of a decision about a call.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The settings and the process.
    pub ctx: &'a Context,
    /// The state that the log defines.
    pub ledger: &'a Ledger,
    /// The time.
    pub now: Now,
    /// Whether this VM may accept work.
    pub ready: bool,
    /// Whether this VM no longer accepts work.
    pub draining: bool,
    /// Whether the log can be reached.
    pub log_up: bool,
}

/// All calls about gangs that are in progress.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Jobs {
    calls: BTreeMap<Name, Call>,
}

impl Jobs {
    /// Returns the number of calls in progress.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call is in progress.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Handles a submission: refuses it, or appends its record; a repeated submission of the same
    /// gang gets the offset of the first.
    pub fn submit(&mut self, view: &View<'_>, req: Name, job: Job, effects: &mut Vec<Effect>) {
        if let Some(gang) = view.ledger.gangs.all.get(&job.id)
            && view.ready
        {
            let reply = match gang.job == job {
                true => Reply::JobAccepted {
                    job: job.id,
                    offset: gang.offset,
                },
                false => Reply::Refused(refuse(409, Code::JobTaken, None)),
            };
            answer(view, &req, reply, effects);
            return;
        }
        if let Some(refused) = refuse_submit(view, &job) {
            answer(view, &req, Reply::Refused(refused), effects);
            return;
        }
        self.track(view, req, Operation::Submit(job.clone()));
        effects.push(Effect::Append(Entry::Submit { job }));
    }

    /// Handles a cancellation: refuses it, or appends its record.
    pub fn cancel(
        &mut self,
        view: &View<'_>,
        req: Name,
        workspace: &Name,
        job: Name,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(refused) = refuse_cancel(view, workspace, &job) {
            answer(view, &req, Reply::Refused(refused), effects);
            return;
        }
        self.track(view, req, Operation::Cancel(job.clone()));
        effects.push(Effect::Append(Entry::Cancel { job }));
    }

    /// Answers the calls whose record was read back from the log.
    pub fn on_verdict(
        &mut self,
        view: &View<'_>,
        result: &EntryVerdict,
        effects: &mut Vec<Effect>,
    ) {
        let id = &result.origin.id;
        if id.writer != view.ctx.writer || id.boot != view.ctx.boot {
            return;
        }
        let operation = match &result.entry {
            Entry::Submit { job } => Operation::Submit(job.clone()),
            Entry::Cancel { job } => Operation::Cancel(job.clone()),
            _ => return,
        };
        let calls: Vec<Name> = self
            .calls
            .iter()
            .filter(|(_, call)| call.operation == operation)
            .map(|(req, _)| req.clone())
            .collect();
        for req in calls {
            self.calls.remove(&req);
            answer(view, &req, reply(view, &operation, result), effects);
        }
    }

    /// Answers the calls whose record was not read back in time: their outcome is unknown.
    pub fn expire(&mut self, view: &View<'_>, effects: &mut Vec<Effect>) {
        let expired: Vec<Name> = self
            .calls
            .iter()
            .filter(|(_, call)| view.now.mono_ms >= call.end_ms)
            .map(|(req, _)| req.clone())
            .collect();
        for req in expired {
            self.calls.remove(&req);
            let late = Refusal::new(503, Code::LogDown, Ran::Unknown, Some(RETRY_MS));
            answer(view, &req, Reply::Refused(late), effects);
        }
    }

    fn track(&mut self, view: &View<'_>, req: Name, operation: Operation) {
        let end_ms = view.now.mono_ms + view.ctx.settings.requests.claim_ms;
        self.calls.insert(req, Call { operation, end_ms });
    }
}

fn refuse_submit(view: &View<'_>, job: &Job) -> Option<Refusal> {
    if view.draining {
        return Some(refuse(503, Code::Draining, Some(0)));
    }
    if !view.ready {
        return Some(refuse(503, Code::NotReady, Some(RETRY_MS)));
    }
    let catalog = &view.ledger.catalog;
    if catalog.workspace(&job.workspace).is_none() {
        return Some(refuse(404, Code::UnknownWorkspace, None));
    }
    if catalog.allows(&job.workspace, &job.kind).is_err() {
        return Some(refuse(404, Code::UnknownKind, None));
    }
    (!view.log_up).then(|| refuse(503, Code::LogDown, Some(RETRY_MS)))
}

fn refuse_cancel(view: &View<'_>, workspace: &Name, job: &Name) -> Option<Refusal> {
    let gang = view.ledger.gangs.all.get(job);
    let own = gang.filter(|gang| gang.job.workspace == *workspace);
    let Some(gang) = own else {
        return Some(match view.ready {
            true => refuse(404, Code::UnknownJob, None),
            false => refuse(503, Code::NotReady, Some(RETRY_MS)),
        });
    };
    if matches!(gang.phase, Phase::Ended(_)) {
        return Some(refuse(409, Code::JobEnded, None));
    }
    (!view.log_up).then(|| refuse(503, Code::LogDown, Some(RETRY_MS)))
}

fn reply(view: &View<'_>, operation: &Operation, result: &EntryVerdict) -> Reply {
    let offset = result.origin.offset;
    let job = match operation {
        Operation::Submit(job) => job,
        Operation::Cancel(job) => {
            return match result.verdict {
                Ok(()) => Reply::JobCancelled { job: job.clone() },
                Err(_) => Reply::Refused(refuse(409, Code::JobEnded, None)),
            };
        }
    };
    let refused = match &result.verdict {
        Ok(()) => {
            return Reply::JobAccepted {
                job: job.id.clone(),
                offset,
            };
        }
        Err(Void::Taken) => match view.ledger.gangs.all.get(&job.id) {
            Some(gang) if gang.job == *job => {
                return Reply::JobAccepted {
                    job: job.id.clone(),
                    offset: gang.offset,
                };
            }
            _ => refuse(409, Code::JobTaken, None),
        },
        Err(Void::Full(_)) => refuse(503, Code::JobsFull, Some(FULL_RETRY_MS)),
        Err(void) => Refusal {
            detail: void.to_string(),
            ..refuse(409, Code::NeverRuns, None)
        },
    };
    Reply::Refused(refused)
}

/// Makes the refusal of a call whose record was not appended, or is void.
fn refuse(status: u16, code: Code, retry_ms: Option<u64>) -> Refusal {
    Refusal::new(status, code, Ran::No, retry_ms)
}

fn answer(view: &View<'_>, req: &Name, reply: Reply, effects: &mut Vec<Effect>) {
    effects.push(Effect::Reply {
        req: req.clone(),
        cfg: view.ledger.catalog.next,
        reply,
    });
}
