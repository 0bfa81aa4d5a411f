//! The state of a process, and the function that applies an event to it.

use super::effect::Effect;
use super::event::Digest;
use super::event::Event;
use super::event::Heartbeat;
use super::event::Now;
use super::jobs;
use super::jobs::Jobs;
use super::keeper;
use super::keeper::Keeper;
use super::ledger::Ledger;
use super::ledger::Staged;
use super::ledger::StagedRecord;
use super::notes;
use super::peers::Peers;
use super::proposals::Proposals;
use super::requests::Requests;
use super::requests::View;
use crate::context::Context;
use crate::context::Process;
use crate::events;
use crate::events::Note;
use crate::prelude::*;
use crate::records::Batch;

/// The time after which an empty batch that was not read back is appended again, in milliseconds.
const FLUSH_RETRY_MS: u64 = 2_000;
/// The delay per rank before a process puts a configuration in force, in milliseconds; so usually
/// only the first one appends a batch.
const FLUSH_RANK_MS: u64 = 300;

/// The time for which a process may stay behind a live peer, or be cut off from the log and all
/// peers, before it is no longer ready, in milliseconds.
const BEHIND_MS: u64 = 1_500;
/// The maximum wait for the list of VMs after a pause, in milliseconds.
const LIST_WAIT_MS: u64 = 3_000;

/// The number of control records between two hashes of the ledger.
const DIGEST_EVERY: u64 = 1_000;

/// The state of a process.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct State {
    /// The state that the log defines.
    pub ledger: Ledger,
    /// Configuration records that were read but are not in force yet.
    pub staged: Staged,
    /// The other processes of the same kind.
    pub peers: Peers,
    /// The requests in progress; used by the entry process.
    pub requests: Requests,
    /// The workers that this process syncs; used by the placer process.
    pub keeper: Keeper,
    /// Whether the newest checkpoint was loaded.
    pub restored: bool,
    /// Whether the log was read up to its end since the start or the last pause.
    pub caught_up: bool,
    /// Whether the log was reached at the last attempt.
    pub log_up: bool,
    /// Whether a planned shutdown began.
    pub leaving: bool,
    /// Whether no more work is accepted.
    pub draining: bool,
    /// The hash of the ledger at the last multiple of `DIGEST_EVERY`, where all processes take one.
    pub digest: Option<Digest>,
    /// The calls about gangs in progress; used by the entry process.
    pub jobs: Jobs,
    proposals: Proposals,
    /// Since when a configuration waits to be put in force, or when to try again.
    flush_ms: Option<u64>,
    /// When the state may have become stale, until the list of VMs is read or `LIST_WAIT_MS` pass.
    stale_ms: Option<u64>,
    /// Since when the process has been behind its peers or cut off.
    behind_ms: Option<u64>,
    behind: bool,
    /// The next control offset at the last checkpoint.
    saved: Offset,
    saved_ms: u64,
}

impl State {
    /// Returns whether this process may accept work and make decisions.
    ///
    /// Its state must be current, and if any configuration was read, some must be in force.
    pub fn ready(&self) -> bool {
        let in_force = self.ledger.catalog.next > 0 || self.staged.next == 0;
        self.current() && in_force
    }

    /// Returns whether this process has read the log, is not behind, and supports all schemas in
    /// it.
    fn current(&self) -> bool {
        let fresh = self.caught_up && self.stale_ms.is_none() && !self.behind;
        fresh && self.ledger.catalog.too_new.is_none()
    }

    /// Returns the number of calls and requests in progress.
    pub fn open_calls(&self) -> usize {
        self.requests.len() + self.jobs.len()
    }
}

/// Applies an event to the state, and returns the effects to carry out.
pub fn step(ctx: &Context, state: &mut State, now: Now, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    match event {
        Event::Tick => tick(ctx, state, now, &mut effects),
        Event::Restore { ledger } => restore(state, now, *ledger),
        Event::Config { offset, data } => stage_config(state, offset, data),
        Event::Control { offset, batch } => on_batch(ctx, state, now, offset, &batch, &mut effects),
        Event::NewerSchema { offset } => {
            state.ledger.catalog.too_new.get_or_insert(offset);
            let id = offset.to_string().into();
            let note = Note::new(&events::CONFIG_TOO_NEW, &id, state.ledger.catalog.next);
            effects.push(Effect::Note(note.with("stream", "control")));
        }
        Event::Garbled { offset } => {
            state.ledger.skip(offset);
            let id = offset.to_string().into();
            let cfg = state.ledger.catalog.next;
            effects.push(Effect::Note(Note::new(&events::RECORD_GARBLED, &id, cfg)));
        }
        Event::Log { up } => on_log(ctx, state, up, &mut effects),
        Event::Submit { req, job } => {
            let (jobs, view) = jobs_view(ctx, state, now);
            jobs.submit(&view, req, job, &mut effects);
        }
        Event::Cancel {
            req,
            workspace,
            job,
        } => {
            let (jobs, view) = jobs_view(ctx, state, now);
            jobs.cancel(&view, req, &workspace, job, &mut effects);
        }
        Event::Members { list } => {
            state.stale_ms = None;
            state.peers.set_list(list);
            let (requests, view) = requests_view(ctx, state, now);
            requests.vm_list_changed(&view, &mut effects);
        }
        Event::Peer(beat) => on_heartbeat(state, now, beat, &mut effects),
        Event::SyncEnded { worker, answer } => {
            let ledger = &state.ledger;
            let keeper = &mut state.keeper;
            keeper.sync_ended(ledger, &worker, answer.as_ref(), now, &mut effects);
        }
        Event::Leave => state.leaving = true,
        Event::Drain => {
            state.leaving = true;
            state.draining = true;
        }
        Event::MaybeStale => {
            state.caught_up = false;
            state.stale_ms = Some(now.mono_ms);
        }
        Event::Arrive(arrival) => {
            let (requests, view) = requests_view(ctx, state, now);
            requests.arrive(&view, arrival, &mut effects);
        }
        Event::CallerGone { req } => {
            let (requests, view) = requests_view(ctx, state, now);
            requests.caller_gone(&view, &req, &mut effects);
        }
        Event::TryEnd { req, attempt, end } => {
            let (requests, view) = requests_view(ctx, state, now);
            requests.try_ended(&view, &req, attempt, end, &mut effects);
        }
    }
    effects
}

fn requests_view<'a>(
    ctx: &'a Context,
    state: &'a mut State,
    now: Now,
) -> (&'a mut Requests, View<'a>) {
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

fn jobs_view<'a>(
    ctx: &'a Context,
    state: &'a mut State,
    now: Now,
) -> (&'a mut Jobs, jobs::View<'a>) {
    let ready = state.ready();
    let view = jobs::View {
        ctx,
        ledger: &state.ledger,
        now,
        ready,
        draining: state.draining,
        log_up: state.log_up,
    };
    (&mut state.jobs, view)
}

fn restore(state: &mut State, now: Now, ledger: Ledger) {
    if !state.restored && state.peers.list.is_empty() {
        state.stale_ms = Some(now.mono_ms);
    }
    state.restored = true;
    state.saved = state.saved.max(ledger.next);
    if ledger.next <= state.ledger.next && ledger.catalog.next <= state.ledger.catalog.next {
        return;
    }
    let cfg = ledger.catalog.next;
    state.ledger = ledger;
    state.staged.records.retain(|record| record.offset >= cfg);
    state.staged.next = state.staged.next.max(cfg);
    state.keeper = Keeper::default();
    state.keeper.phases_changed(&state.ledger, &[]);
}

fn stage_config(state: &mut State, offset: Offset, data: Vec<u8>) {
    if offset < state.staged.next || offset < state.ledger.catalog.next {
        return;
    }
    state.staged.next = offset + 1;
    state
        .staged
        .records
        .push_back(StagedRecord { offset, data });
}

fn on_log(ctx: &Context, state: &mut State, up: bool, effects: &mut Vec<Effect>) {
    state.caught_up |= up;
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
}

fn on_batch(
    ctx: &Context,
    state: &mut State,
    now: Now,
    offset: Offset,
    batch: &Batch,
    effects: &mut Vec<Effect>,
) {
    let applied = state.ledger.apply(offset, batch, &mut state.staged);
    let too_new = state.ledger.catalog.too_new.is_some();
    let newer_seen = applied.changes.iter().any(|change| change.newer.is_some());
    if newer_seen || (batch.id.writer == ctx.writer && batch.id.boot == ctx.boot) {
        notes::push(&state.ledger, &applied, effects);
    }
    for result in &applied.verdicts {
        state.proposals.on_verdict(result);
        let (jobs, view) = jobs_view(ctx, state, now);
        jobs.on_verdict(&view, result, effects);
        let (requests, view) = requests_view(ctx, state, now);
        requests.claim_verdict(&view, result, effects);
    }
    if ctx.process == Process::Placer {
        state
            .keeper
            .phases_changed(&state.ledger, &applied.phase_changes);
        if !applied.phase_changes.is_empty() {
            state.proposals.phases_changed();
        }
    }
    if too_new {
        state.digest = None;
        return;
    }
    if offset % DIGEST_EVERY == DIGEST_EVERY - 1 {
        state.digest = Some(Digest {
            at: state.ledger.next,
            hash: state.ledger.digest(),
        });
    }
}

/// Asks for a checkpoint once enough records or time have passed since the last one.
fn checkpoint(ctx: &Context, state: &mut State, now: Now, effects: &mut Vec<Effect>) {
    let config = &ctx.settings.log;
    let next = state.ledger.next;
    let records = next.saturating_sub(state.saved);
    let late = now.mono_ms >= state.saved_ms + config.checkpoint_ms;
    let due = records >= config.checkpoint_every || (late && records > 0);
    if !due || state.peers.rank(ctx, now, "checkpoint") > 0 {
        return;
    }
    state.saved = next;
    state.saved_ms = now.mono_ms;
    effects.push(Effect::Checkpoint);
}

/// Records a heartbeat; logs an error if the peer's ledger differs at the same offset.
fn on_heartbeat(state: &mut State, now: Now, beat: Heartbeat, effects: &mut Vec<Effect>) {
    if let (Some(own), Some(other)) = (state.digest, beat.digest)
        && own.at == other.at
        && own.hash != other.hash
    {
        let cfg = state.ledger.catalog.next;
        let note = Note::new(&events::LEDGER_DIVERGED, &beat.from, cfg);
        effects.push(Effect::Note(note.with("at", own.at)));
    }
    let from = beat.from.clone();
    if state.peers.record(beat, now) {
        let cfg = state.ledger.catalog.next;
        effects.push(Effect::Note(Note::new(&events::PEER_SEEN, &from, cfg)));
    }
}

/// Logs the peers whose heartbeats stopped.
fn report_lost_peers(ctx: &Context, state: &mut State, now: Now, effects: &mut Vec<Effect>) {
    let cfg = state.ledger.catalog.next;
    for name in state.peers.mark_lost(ctx, now) {
        effects.push(Effect::Note(Note::new(&events::PEER_LOST, &name, cfg)));
    }
}

/// Updates whether this process may be out of date: behind a live peer or cut off from the log and
/// all peers for [`BEHIND_MS`], or without a new list of VMs since a pause.
fn check_staleness(ctx: &Context, state: &mut State, now: Now) {
    let own = state.staged.next.max(state.ledger.catalog.next);
    let mut live = state.peers.live(ctx, now);
    let next = state.ledger.next;
    let ahead = live.any(|peer| {
        let beat = &peer.beat;
        beat.cfg > own || (beat.log_up && beat.control > next)
    });
    let alone = !state.log_up && state.peers.live(ctx, now).next().is_none();
    let unsure = ahead || (alone && state.peers.expected(ctx));
    let since_ms = unsure.then(|| state.behind_ms.unwrap_or(now.mono_ms));
    state.behind_ms = since_ms;
    state.behind = since_ms.is_some_and(|at_ms| now.mono_ms >= at_ms + BEHIND_MS);
    let waited = |at_ms: &u64| now.mono_ms < at_ms + LIST_WAIT_MS;
    state.stale_ms = state.stale_ms.filter(waited);
}

fn tick(ctx: &Context, state: &mut State, now: Now, effects: &mut Vec<Effect>) {
    check_staleness(ctx, state, now);
    report_lost_peers(ctx, state, now, effects);
    flush_config(ctx, state, now, effects);
    match ctx.process {
        Process::Entry => {
            let (jobs, view) = jobs_view(ctx, state, now);
            jobs.expire(&view, effects);
            let (requests, view) = requests_view(ctx, state, now);
            requests.tick(&view, effects);
        }
        Process::Placer => {
            if !state.ready() || state.draining {
                return;
            }
            checkpoint(ctx, state, now, effects);
            let (ledger, peers) = (&state.ledger, &state.peers);
            let view = keeper::View {
                ctx,
                ledger,
                peers,
                now,
                log_up: state.log_up,
            };
            state.keeper.tick(&view, effects);
            if state.log_up {
                state.proposals.tick(ctx, ledger, peers, now, effects);
            }
        }
    }
}

/// Appends an empty batch if a configuration that was read is not put in force by another batch.
fn flush_config(ctx: &Context, state: &mut State, now: Now, effects: &mut Vec<Effect>) {
    if !state.current() || state.staged.next <= state.ledger.catalog.next {
        state.flush_ms = None;
        return;
    }
    let since_ms = *state.flush_ms.get_or_insert(now.mono_ms);
    let mut rank = state.peers.rank(ctx, now, "touch");
    if ctx.process == Process::Entry {
        rank += 3;
    }
    if now.mono_ms >= since_ms + rank * FLUSH_RANK_MS {
        state.flush_ms = Some(now.mono_ms + FLUSH_RETRY_MS);
        effects.push(Effect::FlushBatch);
    }
}
