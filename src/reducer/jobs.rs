//! Callers' calls about gangs: each is answered once its record was read back.

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

/// The wait that a refused caller is told while this VM catches up, in milliseconds.
const SOON_MS: u64 = 1_000;
/// The wait that a caller is told while too many gangs wait, in milliseconds.
const FULL_MS: u64 = 5_000;

/// What a call asks for.
#[derive(Debug, Clone, PartialEq)]
enum Ask {
    Submit(Job),
    Cancel(Name),
}

/// A call that waits for its record to be read back.
#[derive(Debug, Clone, PartialEq)]
struct Call {
    ask: Ask,
    end_ms: u64,
}

/// What a decision about a call looks at.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The settings and the process.
    pub ctx: &'a Context,
    /// What the log says.
    pub ledger: &'a Ledger,
    /// The time.
    pub now: Now,
    /// Whether this VM may accept work.
    pub ready: bool,
    /// Whether this VM is leaving.
    pub draining: bool,
    /// Whether the log is reached.
    pub log_up: bool,
}

/// All calls about gangs in progress.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Jobs {
    calls: BTreeMap<Name, Call>,
}

impl Jobs {
    /// Returns how many calls are in progress.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Tells whether no call is in progress.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Takes in a submitted gang; the same gang submitted again is accepted again.
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
        self.wait(view, req, Ask::Submit(job.clone()));
        effects.push(Effect::Append(Entry::Submit { job }));
    }

    /// Takes in a cancellation.
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
        self.wait(view, req, Ask::Cancel(job.clone()));
        effects.push(Effect::Append(Entry::Cancel { job }));
    }

    /// Answers the calls whose record was read back.
    pub fn ruled(&mut self, view: &View<'_>, ruling: &EntryVerdict, effects: &mut Vec<Effect>) {
        let id = &ruling.origin.id;
        if id.writer != view.ctx.writer || id.boot != view.ctx.boot {
            return;
        }
        let ask = match &ruling.entry {
            Entry::Submit { job } => Ask::Submit(job.clone()),
            Entry::Cancel { job } => Ask::Cancel(job.clone()),
            _ => return,
        };
        let calls: Vec<Name> = self
            .calls
            .iter()
            .filter(|(_, call)| call.ask == ask)
            .map(|(req, _)| req.clone())
            .collect();
        for req in calls {
            self.calls.remove(&req);
            answer(view, &req, reply(view, &ask, ruling), effects);
        }
    }

    /// Tells callers that the outcome of their call is not known in time.
    pub fn expire(&mut self, view: &View<'_>, effects: &mut Vec<Effect>) {
        let late: Vec<Name> = self
            .calls
            .iter()
            .filter(|(_, call)| view.now.mono_ms >= call.end_ms)
            .map(|(req, _)| req.clone())
            .collect();
        for req in late {
            self.calls.remove(&req);
            let late = Refusal::new(503, Code::LogDown, Ran::Unknown, Some(SOON_MS));
            answer(view, &req, Reply::Refused(late), effects);
        }
    }

    fn wait(&mut self, view: &View<'_>, req: Name, ask: Ask) {
        let end_ms = view.now.mono_ms + view.ctx.settings.requests.claim_ms;
        self.calls.insert(req, Call { ask, end_ms });
    }
}

fn refuse_submit(view: &View<'_>, job: &Job) -> Option<Refusal> {
    if view.draining {
        return Some(refuse(503, Code::Draining, Some(0)));
    }
    if !view.ready {
        return Some(refuse(503, Code::NotReady, Some(SOON_MS)));
    }
    let catalog = &view.ledger.catalog;
    if catalog.workspace(&job.workspace).is_none() {
        return Some(refuse(404, Code::UnknownWorkspace, None));
    }
    if catalog.allows(&job.workspace, &job.kind).is_err() {
        return Some(refuse(404, Code::UnknownKind, None));
    }
    (!view.log_up).then(|| refuse(503, Code::LogDown, Some(SOON_MS)))
}

fn refuse_cancel(view: &View<'_>, workspace: &Name, job: &Name) -> Option<Refusal> {
    let gang = view.ledger.gangs.all.get(job);
    let own = gang.filter(|gang| gang.job.workspace == *workspace);
    let Some(gang) = own else {
        return Some(match view.ready {
            true => refuse(404, Code::UnknownJob, None),
            false => refuse(503, Code::NotReady, Some(SOON_MS)),
        });
    };
    if matches!(gang.phase, Phase::Ended(_)) {
        return Some(refuse(409, Code::JobEnded, None));
    }
    (!view.log_up).then(|| refuse(503, Code::LogDown, Some(SOON_MS)))
}

fn reply(view: &View<'_>, ask: &Ask, ruling: &EntryVerdict) -> Reply {
    let offset = ruling.origin.offset;
    let job = match ask {
        Ask::Submit(job) => job,
        Ask::Cancel(job) => {
            return match ruling.verdict {
                Ok(()) => Reply::JobCancelled { job: job.clone() },
                Err(_) => Reply::Refused(refuse(409, Code::JobEnded, None)),
            };
        }
    };
    let refused = match &ruling.verdict {
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
        Err(Void::Full(_)) => refuse(503, Code::JobsFull, Some(FULL_MS)),
        Err(void) => Refusal {
            detail: void.to_string(),
            ..refuse(409, Code::NeverRuns, None)
        },
    };
    Reply::Refused(refused)
}

/// Refuses a call whose record was not appended, or is void.
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
