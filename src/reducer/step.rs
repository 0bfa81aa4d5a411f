//! The one function that every event goes through.

use super::effect::Code;
use super::effect::Effect;
use super::effect::Ran;
use super::effect::Refusal;
use super::effect::Reply;
use super::event::Digest;
use super::event::Event;
use super::event::Heartbeat;
use super::event::Now;
use super::keeper;
use super::keeper::Keeper;
use super::ledger::Applied;
use super::ledger::Ledger;
use super::ledger::Ruling;
use super::ledger::Staged;
use super::ledger::StagedRecord;
use super::ledger::catalog::Ruled;
use super::ledger::gangs::Phase;
use super::peers::Peers;
use super::plan::round;
use super::requests::Requests;
use super::requests::View;
use crate::context::Context;
use crate::context::Process;
use crate::events;
use crate::events::Note;
use crate::model::Job;
use crate::prelude::*;
use crate::records::Batch;
use crate::records::Entry;
use crate::records::Void;
use std::collections::BTreeMap;

/// The time after which a proposal that was not read back is made again, in milliseconds.
const PROPOSE_AGAIN_MS: u64 = 2_000;
/// The time in which the next VM in line puts a configuration in force, in milliseconds.
const TOUCH_RANK_MS: u64 = 300;

/// The control records between two hashes of the ledger.
const DIGEST_EVERY: u64 = 1_000;

/// A call about a job that waits for its record to be read back.
#[derive(Debug, Clone, PartialEq)]
struct JobCall {
    job: Name,
    cancel: bool,
    end_ms: u64,
}

/// Everything that a process knows.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct State {
    /// What the log says.
    pub ledger: Ledger,
    /// Configuration that was read and is not in force.
    pub staged: Staged,
    /// The peers.
    pub peers: Peers,
    /// The requests in progress; used by the entry process.
    pub requests: Requests,
    /// The workers that are kept; used by the placer process.
    pub keeper: Keeper,
    /// Whether the newest checkpoint was loaded.
    pub restored: bool,
    /// Whether the log was read up to its end once.
    pub caught_up: bool,
    /// Whether the log was reached at the last try.
    pub log_up: bool,
    /// Whether a planned stop began.
    pub draining: bool,
    /// The hash of the ledger at the last offset at which all processes take one.
    pub digest: Option<Digest>,
    calls: BTreeMap<Name, JobCall>,
    proposed: BTreeMap<Name, u64>,
    planned_ms: u64,
    waits_ms: Option<u64>,
    touched_ms: Option<u64>,
}

impl State {
    /// Tells whether this process may accept and decide.
    pub fn ready(&self) -> bool {
        self.caught_up && self.ledger.catalog.too_new.is_none()
    }

    /// Returns how many calls and requests are in progress.
    pub fn open_calls(&self) -> usize {
        self.requests.len() + self.calls.len()
    }
}

/// Takes in one event, and returns what is to be done.
pub fn step(ctx: &Context, state: &mut State, now: Now, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    match event {
        Event::Tick => tick(ctx, state, now, &mut effects),
        Event::Restore { ledger } => restore(state, *ledger),
        Event::Config { offset, data } => stage(state, offset, data),
        Event::Control { offset, batch } => control(ctx, state, now, offset, &batch, &mut effects),
        Event::Garbled { offset } => {
            state.ledger.skip(offset);
            let id = offset.to_string().into();
            let cfg = state.ledger.catalog.next;
            effects.push(Effect::Note(Note::new(&events::RECORD_GARBLED, &id, cfg)));
        }
        Event::Log { up } => log_state(ctx, state, up, &mut effects),
        Event::Submit { req, job } => submit(ctx, state, now, req, job, &mut effects),
        Event::Cancel {
            req,
            workspace,
            job,
        } => cancel(ctx, state, now, req, &workspace, job, &mut effects),
        Event::Members { list } => state.peers.read_list(list),
        Event::Peer(beat) => peer(state, now, beat, &mut effects),
        Event::Synced { worker, answer } => {
            let ledger = &state.ledger;
            let keeper = &mut state.keeper;
            keeper.synced(ledger, &worker, answer.as_ref(), now, &mut effects);
        }
        Event::Drain => state.draining = true,
        Event::Arrive(arrival) => {
            let (requests, view) = parts(ctx, state, now);
            requests.arrive(&view, arrival, &mut effects);
        }
        Event::Gone { req } => {
            let (requests, view) = parts(ctx, state, now);
            requests.gone(&view, &req, &mut effects);
        }
        Event::TryEnd { req, attempt, end } => {
            let (requests, view) = parts(ctx, state, now);
            requests.try_ended(&view, &req, attempt, end, &mut effects);
        }
    }
    effects
}

fn parts<'a>(ctx: &'a Context, state: &'a mut State, now: Now) -> (&'a mut Requests, View<'a>) {
    let ready = state.ready();
    let view = View {
        ctx,
        ledger: &state.ledger,
        peers: &state.peers,
        now,
        ready,
        draining: state.draining,
        log_up: state.log_up,
    };
    (&mut state.requests, view)
}

fn restore(state: &mut State, ledger: Ledger) {
    state.restored = true;
    if ledger.next <= state.ledger.next && ledger.catalog.next <= state.ledger.catalog.next {
        return;
    }
    let cfg = ledger.catalog.next;
    state.ledger = ledger;
    state.staged.records.retain(|record| record.offset >= cfg);
    state.staged.next = state.staged.next.max(cfg);
    state.keeper = Keeper::default();
    state.keeper.follow(&state.ledger, &[]);
}

fn stage(state: &mut State, offset: Offset, data: Vec<u8>) {
    if offset < state.staged.next || offset < state.ledger.catalog.next {
        return;
    }
    state.staged.next = offset + 1;
    state
        .staged
        .records
        .push_back(StagedRecord { offset, data });
}

fn log_state(ctx: &Context, state: &mut State, up: bool, effects: &mut Vec<Effect>) {
    if up == state.log_up {
        return;
    }
    let kind = match up {
        true => &events::LOG_UP,
        false => &events::LOG_DOWN,
    };
    let cfg = state.ledger.catalog.next;
    effects.push(Effect::Note(Note::new(kind, &ctx.writer, cfg)));
    state.log_up = up;
    state.caught_up |= up;
}

fn control(
    ctx: &Context,
    state: &mut State,
    now: Now,
    offset: Offset,
    batch: &Batch,
    effects: &mut Vec<Effect>,
) {
    let applied = state.ledger.apply(offset, batch, &mut state.staged);
    note_changes(&applied, effects);
    note_rulings(state, &applied, effects);
    note_moves(state, &applied, effects);
    for ruling in &applied.rulings {
        state.proposed.remove(&job_of(&ruling.entry));
        settle_calls(ctx, state, ruling, effects);
        let (requests, view) = parts(ctx, state, now);
        requests.ruled(&view, ruling, effects);
    }
    if ctx.process == Process::Placer {
        state.keeper.follow(&state.ledger, &applied.moved);
        if !applied.moved.is_empty() {
            state.planned_ms = 0;
        }
    }
    if offset % DIGEST_EVERY == DIGEST_EVERY - 1 {
        state.digest = Some(Digest {
            at: state.ledger.next,
            hash: state.ledger.digest(),
        });
    }
    let every = ctx.settings.log.checkpoint_every;
    if ctx.process == Process::Placer && offset % every == every - 1 {
        let rank = state.peers.rank(ctx, now, "checkpoint");
        if rank == 0 {
            effects.push(Effect::Checkpoint);
        }
    }
}

/// Takes in a heartbeat; a ledger that differs at the same offset is said loudly.
fn peer(state: &mut State, now: Now, beat: Heartbeat, effects: &mut Vec<Effect>) {
    if let (Some(own), Some(other)) = (state.digest, beat.digest)
        && own.at == other.at
        && own.hash != other.hash
    {
        let cfg = state.ledger.catalog.next;
        let note = Note::new(&events::LEDGER_DIVERGED, &beat.from, cfg);
        effects.push(Effect::Note(note.with("at", own.at)));
    }
    state.peers.hear(beat, now);
}

fn tick(ctx: &Context, state: &mut State, now: Now, effects: &mut Vec<Effect>) {
    touch(ctx, state, now, effects);
    match ctx.process {
        Process::Entry => {
            expire_calls(state, now, effects);
            let (requests, view) = parts(ctx, state, now);
            requests.tick(&view, effects);
        }
        Process::Placer => {
            if !state.ready() {
                return;
            }
            let view = keeper::View {
                ctx,
                ledger: &state.ledger,
                peers: &state.peers,
                now,
                log_up: state.log_up,
            };
            state.keeper.tick(&view, effects);
            plan(ctx, state, now, effects);
        }
    }
}

/// Appends an empty batch if a configuration that was read is not in force for a while.
fn touch(ctx: &Context, state: &mut State, now: Now, effects: &mut Vec<Effect>) {
    if !state.ready() || state.staged.next <= state.ledger.catalog.next {
        state.touched_ms = None;
        return;
    }
    let since_ms = *state.touched_ms.get_or_insert(now.mono_ms);
    let mut rank = state.peers.rank(ctx, now, "touch");
    if ctx.process == Process::Entry {
        rank += 3;
    }
    if now.mono_ms >= since_ms + rank * TOUCH_RANK_MS {
        state.touched_ms = Some(now.mono_ms + PROPOSE_AGAIN_MS);
        effects.push(Effect::Touch);
    }
}

fn plan(ctx: &Context, state: &mut State, now: Now, effects: &mut Vec<Effect>) {
    let config = &ctx.settings.gangs;
    if !state.log_up || now.mono_ms < state.planned_ms + config.plan_ms {
        return;
    }
    state.planned_ms = now.mono_ms;
    if state.ledger.gangs.queued.is_empty() {
        state.waits_ms = None;
        return;
    }
    let since_ms = *state.waits_ms.get_or_insert(now.mono_ms);
    let rank = state.peers.rank(ctx, now, "plan");
    if now.mono_ms < since_ms + rank * config.rank_ms {
        return;
    }
    state
        .proposed
        .retain(|_, at_ms| *at_ms + PROPOSE_AGAIN_MS > now.mono_ms);
    for entry in round::propose(&state.ledger, config, now.wall_ms) {
        let job = job_of(&entry);
        if let std::collections::btree_map::Entry::Vacant(e) = state.proposed.entry(job) {
            e.insert(now.mono_ms);
            effects.push(Effect::Append(entry));
        }
    }
}

fn submit(
    ctx: &Context,
    state: &mut State,
    now: Now,
    req: Name,
    job: Job,
    effects: &mut Vec<Effect>,
) {
    let allowed = state.ledger.catalog.allows(&job.workspace, &job.kind);
    let refused = match allowed {
        _ if state.draining => Some((503, Code::Draining, Some(0))),
        _ if !state.ready() => Some((503, Code::NotReady, Some(1_000))),
        Err(Void::Unknown(what)) if what.starts_with("workspace") => {
            Some((404, Code::UnknownWorkspace, None))
        }
        Err(_) => Some((404, Code::UnknownKind, None)),
        _ if !state.log_up => Some((503, Code::LogDown, Some(1_000))),
        Ok(_) => None,
    };
    if let Some((status, code, retry_ms)) = refused {
        refuse(state, &req, status, code, Ran::No, retry_ms, effects);
        return;
    }
    if let Some(gang) = state.ledger.gangs.all.get(&job.id) {
        let offset = gang.token;
        if gang.job == job {
            let reply = Reply::JobAccepted {
                job: job.id.clone(),
                offset,
            };
            reply_to(state, &req, reply, effects);
        } else {
            refuse(state, &req, 409, Code::JobTaken, Ran::No, None, effects);
        }
        return;
    }
    let call = JobCall {
        job: job.id.clone(),
        cancel: false,
        end_ms: now.mono_ms + ctx.settings.requests.claim_ms,
    };
    state.calls.insert(req, call);
    effects.push(Effect::Append(Entry::Submit { job }));
}

fn cancel(
    ctx: &Context,
    state: &mut State,
    now: Now,
    req: Name,
    workspace: &Name,
    job: Name,
    effects: &mut Vec<Effect>,
) {
    let gang = state.ledger.gangs.all.get(&job);
    let refused = match gang {
        Some(gang) if gang.job.workspace != *workspace => Some((404, Code::UnknownJob)),
        None => Some((404, Code::UnknownJob)),
        Some(gang) if matches!(gang.phase, Phase::Ended(_)) => Some((409, Code::JobEnded)),
        Some(_) if !state.log_up => Some((503, Code::LogDown)),
        Some(_) => None,
    };
    if let Some((status, code)) = refused {
        refuse(state, &req, status, code, Ran::No, None, effects);
        return;
    }
    let call = JobCall {
        job: job.clone(),
        cancel: true,
        end_ms: now.mono_ms + ctx.settings.requests.claim_ms,
    };
    state.calls.insert(req, call);
    effects.push(Effect::Append(Entry::Cancel { job }));
}

/// Replies to the calls whose record was read back.
fn settle_calls(ctx: &Context, state: &mut State, ruling: &Ruling, effects: &mut Vec<Effect>) {
    let id = &ruling.origin.id;
    if id.writer != ctx.writer || id.boot != ctx.boot {
        return;
    }
    let cancel = match ruling.entry {
        Entry::Submit { .. } => false,
        Entry::Cancel { .. } => true,
        _ => return,
    };
    let job = job_of(&ruling.entry);
    let calls: Vec<Name> = state
        .calls
        .iter()
        .filter(|(_, call)| call.job == job && call.cancel == cancel)
        .map(|(req, _)| req.clone())
        .collect();
    for req in calls {
        state.calls.remove(&req);
        let job = job.clone();
        let offset = ruling.origin.offset;
        match &ruling.verdict {
            Ok(()) if cancel => reply_to(state, &req, Reply::JobCancelled { job }, effects),
            Ok(()) => reply_to(state, &req, Reply::JobAccepted { job, offset }, effects),
            Err(Void::Full(_)) => {
                let retry_ms = Some(5_000);
                refuse(state, &req, 503, Code::JobsFull, Ran::No, retry_ms, effects);
            }
            Err(_) if cancel => refuse(state, &req, 409, Code::JobEnded, Ran::No, None, effects),
            Err(Void::Taken) => refuse(state, &req, 409, Code::JobTaken, Ran::No, None, effects),
            Err(_) => refuse(state, &req, 409, Code::NeverRuns, Ran::No, None, effects),
        }
    }
}

/// Tells callers that the outcome of their call is not known in time.
fn expire_calls(state: &mut State, now: Now, effects: &mut Vec<Effect>) {
    let late: Vec<Name> = state
        .calls
        .iter()
        .filter(|(_, call)| now.mono_ms >= call.end_ms)
        .map(|(req, _)| req.clone())
        .collect();
    for req in late {
        state.calls.remove(&req);
        let retry_ms = Some(1_000);
        refuse(
            state,
            &req,
            503,
            Code::LogDown,
            Ran::Unknown,
            retry_ms,
            effects,
        );
    }
}

fn refuse(
    state: &State,
    req: &Name,
    status: u16,
    code: Code,
    ran: Ran,
    retry_ms: Option<u64>,
    effects: &mut Vec<Effect>,
) {
    let refusal = Refusal {
        status,
        code,
        ran,
        retry_ms,
        detail: code.to_string(),
    };
    reply_to(state, req, Reply::Refused(refusal), effects);
}

fn reply_to(state: &State, req: &Name, reply: Reply, effects: &mut Vec<Effect>) {
    effects.push(Effect::Reply {
        req: req.clone(),
        cfg: state.ledger.catalog.next,
        reply,
    });
}

fn job_of(entry: &Entry) -> Name {
    match entry {
        Entry::Submit { job } => job.id.clone(),
        Entry::Cancel { job }
        | Entry::Place { job, .. }
        | Entry::Reclaim { job, .. }
        | Entry::Reject { job, .. }
        | Entry::Member { job, .. } => job.clone(),
        Entry::Claim { .. } | Entry::Settle { .. } | Entry::Worker { .. } => "".into(),
    }
}

fn note_changes(applied: &Applied, effects: &mut Vec<Effect>) {
    for change in &applied.changes {
        effects.push(Effect::Note(note_change(change)));
    }
}

fn note_change(change: &Ruled) -> Note {
    let kind = match (&change.newer, change.refused.is_empty()) {
        (Some(_), _) => &events::CONFIG_TOO_NEW,
        (None, true) => &events::CONFIG_IN_FORCE,
        (None, false) => &events::CONFIG_REFUSED,
    };
    let note = Note::new(kind, &change.change, change.offset + 1).with("object", &change.object);
    match change.refused.is_empty() {
        true => note,
        false => note.with("reason", &change.refused),
    }
}

fn note_rulings(state: &State, applied: &Applied, effects: &mut Vec<Effect>) {
    let cfg = state.ledger.catalog.next;
    for ruling in &applied.rulings {
        let note = match (&ruling.entry, &ruling.verdict) {
            (
                Entry::Worker {
                    worker,
                    state,
                    reason,
                },
                Ok(()),
            ) => Note::new(&events::WORKER_STATE, worker, cfg)
                .with("state", format!("{state:?}"))
                .with("reason", reason),
            (Entry::Place { job, .. } | Entry::Reclaim { job, .. }, Err(void)) => {
                Note::new(&events::JOB_VOID, job, cfg).with("reason", void)
            }
            _ => continue,
        };
        effects.push(Effect::Note(note));
    }
}

fn note_moves(state: &State, applied: &Applied, effects: &mut Vec<Effect>) {
    for job in &applied.moved {
        let Some(gang) = state.ledger.gangs.all.get(job) else {
            continue;
        };
        let kind = match &gang.phase {
            Phase::Queued if gang.attempt == 0 => &events::JOB_SUBMITTED,
            Phase::Queued => &events::JOB_QUEUED,
            Phase::Preparing => &events::JOB_PLACED,
            Phase::Running => &events::JOB_RUNNING,
            Phase::Stopping(_) => &events::JOB_STOPPING,
            Phase::Ended(_) => &events::JOB_ENDED,
        };
        let note = Note::new(kind, job, gang.cfg)
            .with("token", gang.token)
            .with("phase", format!("{:?}", gang.phase));
        effects.push(Effect::Note(note));
    }
}
