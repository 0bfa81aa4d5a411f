//! Leader election as a state machine without I/O.
//!
//! The `Lead` area of the store names the leader and its epoch. A VM claims the lead with an append
//! on the condition that the area has not changed since it was read. A claim is valid until its
//! holder is found unable to lead; a holder that is still loading reports so in its heartbeats. A
//! leader that cannot be reached is first challenged in the area (key `doubt`): one challenge
//! serves all VMs, and the leader refutes it with an unconditional append (key `answer`).
//!
//! Designed for fleets of hundreds of VMs with small CPU shares, of which a third may lose the
//! store or the leader at the same moment.

mod area;
mod follow;
mod members;
mod message;
mod timing;

use super::ports::Rows;
use super::ports::Terms;
use super::row::Row;
use super::token::EPOCH_STEP;
use crate::prelude::*;
pub use area::EpochCount;
pub use area::LeadState;
pub use area::LeaderRow;
pub use area::Predecessor;
use follow::Follow;
pub use members::Member;
pub use members::Members;
pub use message::Action;
pub use message::Candidate;
pub use message::Heartbeat;
pub use message::Input;
pub use message::LinkError;
pub use message::Outcome;
use std::hash::Hasher;
use timing::ANSWER_APPENDS;
use timing::FAILURE_BACKOFF_MS;
use timing::HANDOVER_RATIO;
use timing::JITTER_MS;
use timing::MAX_ANSWER_MS;
use timing::MAX_CONTACT_AGE_MS;
use timing::MAX_LOAD_MS;
use timing::MAX_READ_BACKOFF;
use timing::MAX_SIZE_DELAY_MS;
use timing::MIN_ANSWER_MS;
use timing::MIN_LEAD_MS;
use timing::RETRY_MS;
use timing::SIZE_DELAY_US;
use timing::STORE_LOST_READS;
use timing::SUCCESSOR_HEADSTART_MS;
use timing::UNKNOWN_SIZE_DELAY_US;
use timing::WATCH_RETRY_MS;
use xxhash_rust::xxh3::Xxh3;

#[derive(Debug, Clone, PartialEq)]
enum Role {
    /// No leader is known, since this time of the local clock.
    Idle(u64),
    /// Another VM leads.
    Follow(Box<Follow>),
    /// This VM loads the stored state for an epoch, since this time of the local clock.
    Load(u64, u64),
    /// This VM leads in an epoch, since this time of the local clock.
    Lead(u64, u64),
    /// This VM stops leading in an epoch once it has stored the decisions made so far.
    Resign(u64),
    /// This VM has stopped leading in an epoch, which the area does not record yet.
    Vacate(u64),
}

/// The election as one VM takes part in it.
#[derive(Debug)]
pub struct Election {
    me: Candidate,
    lead: Option<LeadState>,
    role: Role,
    stopping: bool,
    /// The largest CPU share that a leader reported, in thousandths of a core; 0 if unknown.
    best_milli: u64,
    /// Whether the leader has chosen this VM as a deputy.
    deputy: bool,
    /// The VM that is to lead after this one.
    successor: Option<Member>,
    /// When the pending read was sent (local clock).
    read_sent: Option<u64>,
    /// Whether the area must be read again, not before `next_read`.
    stale: bool,
    next_read: u64,
    failed_reads: u32,
    /// Since when no read has failed (local clock).
    stable_since: Option<u64>,
    /// When the last successful read was sent (local clock).
    read_at: Option<u64>,
    watching: bool,
    next_watch: u64,
    writing: bool,
    /// The end of the area to which the last append was conditional: once it was responded to, no
    /// other one succeeds there.
    write_end: Option<Offset>,
    next_write: u64,
    /// How long to wait for the leader's answer to a challenge.
    answer_ms: u64,
    /// When an answer of the leader was last seen (local clock).
    answered_at: Option<u64>,
    /// The earliest time of the next claim (local clock), after this VM failed as leader.
    earliest_claim: u64,
    actions: Vec<Action>,
    /// When [`Input::Tick`] is due (local clock).
    wake: u64,
}

impl Election {
    /// Makes the election of a VM that has not read the area yet.
    pub fn new(me: Candidate) -> Self {
        Self {
            me,
            lead: None,
            role: Role::Idle(0),
            stopping: false,
            best_milli: 0,
            deputy: false,
            successor: None,
            read_sent: None,
            stale: true,
            next_read: 0,
            failed_reads: 0,
            stable_since: None,
            read_at: None,
            watching: false,
            next_watch: 0,
            writing: false,
            write_end: None,
            next_write: 0,
            answer_ms: MIN_ANSWER_MS,
            answered_at: None,
            earliest_claim: 0,
            actions: Vec::new(),
            wake: u64::MAX,
        }
    }

    /// Handles an input at `now` and returns what to do. `last_contact` is when the last frame from
    /// another VM was received; both are times of the local clock.
    pub fn step(&mut self, now: u64, last_contact: u64, input: Input) -> Vec<Action> {
        self.wake = u64::MAX;
        self.handle(now, input);
        self.reconcile(now, last_contact);
        self.schedule_reads(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns the time at which [`Input::Tick`] is due (local clock).
    pub fn wake_at(&self) -> u64 {
        self.wake
    }

    /// Returns whether the store, which records who leads, is out of reach.
    pub fn has_lost_store(&self) -> bool {
        self.failed_reads >= STORE_LOST_READS
    }

    /// Returns whether this VM could lead.
    pub fn is_eligible(&self) -> bool {
        !self.stopping && self.failed_reads == 0
    }

    /// Returns the state of the area as last read.
    pub fn lead(&self) -> Option<&LeadState> {
        self.lead.as_ref()
    }

    fn handle(&mut self, now: u64, input: Input) {
        match input {
            Input::Read(lead) => self.on_read(now, lead),
            Input::Watched(from, rows) => self.on_rows(now, from, rows),
            Input::Wrote(outcome, ms) => self.on_written(now, outcome, ms),
            Input::Connected => self.on_connected(),
            Input::Heartbeat(heartbeat) => self.on_heartbeat(now, heartbeat),
            Input::Lost(error) => self.on_link_error(now, &error),
            Input::Loaded => {
                if let Role::Load(epoch, _) = self.role {
                    self.role = Role::Lead(epoch, now);
                }
            }
            Input::Ended => {
                if let Role::Load(epoch, _) | Role::Lead(epoch, _) | Role::Resign(epoch) = self.role
                {
                    self.vacate(now, epoch);
                }
            }
            Input::Successor(member) => self.successor = member,
            Input::Shutdown => self.stopping = true,
            Input::Tick => {}
        }
    }

    fn on_read(&mut self, now: u64, lead: Option<LeadState>) {
        let sent = self.read_sent.take();
        let Some(lead) = lead else {
            self.failed_reads += 1;
            self.stable_since = None;
            self.stale = true;
            self.next_read = now + RETRY_MS * u64::from(self.failed_reads).min(MAX_READ_BACKOFF);
            return;
        };
        self.failed_reads = 0;
        self.stable_since.get_or_insert(now);
        self.read_at = sent;
        self.stale = false;
        let newer = self.lead.as_ref().is_none_or(|known| lead.end >= known.end);
        if newer {
            if self.lead.as_ref().is_none_or(|known| known.end != lead.end) {
                self.watching = false;
                self.next_watch = now;
            }
            self.update_lead(now, lead);
        }
    }

    fn on_rows(&mut self, now: u64, from: Offset, rows: Option<Rows>) {
        let Some(known) = self.lead.as_ref().filter(|known| known.end == from) else {
            return;
        };
        self.watching = false;
        let Some(rows) = rows else {
            let healthy = matches!(&self.role, Role::Follow(follow) if follow.suspicion.is_none());
            self.next_watch = now + if healthy { WATCH_RETRY_MS } else { RETRY_MS };
            self.stale = true;
            return;
        };
        if rows.rows.is_empty() {
            // The store responds at once while the area has no rows.
            self.next_watch = now + RETRY_MS;
        }
        let mut lead = known.clone();
        lead.apply(&rows);
        self.update_lead(now, lead);
    }

    fn update_lead(&mut self, now: u64, lead: LeadState) {
        let before = self.lead.as_ref();
        if before
            .is_some_and(|known| known.epoch() == lead.epoch() && known.answers() < lead.answers())
        {
            self.answered_at = Some(now);
        }
        if before.is_some_and(|known| known.epoch() != lead.epoch()) {
            self.answered_at = None;
        }
        self.lead = Some(lead);
    }

    fn on_written(&mut self, now: u64, outcome: Outcome, ms: u64) {
        self.writing = false;
        self.stale = true;
        match outcome {
            Outcome::Stored => {
                self.answer_ms = (ms * ANSWER_APPENDS).clamp(MIN_ANSWER_MS, MAX_ANSWER_MS);
            }
            Outcome::Moved => {}
            Outcome::Declined | Outcome::Unknown => {
                self.write_end = None;
                self.next_write = now + RETRY_MS;
                self.next_read = now + RETRY_MS;
            }
        }
    }

    /// Brings this VM's role in line with the area.
    fn reconcile(&mut self, now: u64, last_contact: u64) {
        let Some(lead) = &self.lead else {
            return;
        };
        match lead.row.clone() {
            Some(row) if row.vacant => self.claim_vacant(now, &row.successor),
            None => self.claim_vacant(now, ""),
            Some(row) if *row.name == *self.me.name && row.boot == self.me.boot => {
                self.advance_own_claim(now, last_contact, row.epoch);
            }
            Some(row) => self.follow(now, row),
        }
    }

    fn leave_role(&mut self, why: &'static str) {
        match self.role {
            Role::Follow(_) => self.actions.push(Action::Disconnect),
            Role::Load(..) | Role::Lead(..) | Role::Resign(_) => {
                self.actions.push(Action::Abort(why));
            }
            Role::Idle(_) | Role::Vacate(_) => {}
        }
    }

    fn claim_vacant(&mut self, now: u64, successor: &str) {
        let since = match self.role {
            Role::Idle(since) if since > 0 => since,
            _ => {
                self.leave_role("the lead was given up");
                self.role = Role::Idle(now);
                now
            }
        };
        let own = *successor == *self.me.name;
        let wait = match successor {
            _ if own => 0,
            "" => self.size_delay_ms(),
            _ => SUCCESSOR_HEADSTART_MS + self.size_delay_ms(),
        };
        let at = since + wait;
        self.claim(now, if own { at } else { at.max(self.earliest_claim) });
    }

    /// Returns the delay before a claim, in milliseconds: the smaller this VM, the longer.
    fn size_delay_ms(&self) -> u64 {
        let delay_us = if self.best_milli > 0 {
            let less = self.best_milli.saturating_sub(self.me.cpu_milli);
            less.saturating_mul(SIZE_DELAY_US)
        } else {
            1_000_u64.saturating_sub(self.me.cpu_milli) * UNKNOWN_SIZE_DELAY_US
        };
        (delay_us / 1_000).min(MAX_SIZE_DELAY_MS) + self.jitter_ms(JITTER_MS)
    }

    /// Returns a jitter below `ms` that differs by VM and epoch, in milliseconds.
    fn jitter_ms(&self, ms: u64) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.write(self.me.name.as_bytes());
        hasher.write_u64(self.lead.as_ref().map_or(0, LeadState::epoch));
        hasher.finish() % ms
    }

    /// Claims the lead at `at`, provided that the area is still as it was read.
    fn claim(&mut self, now: u64, at: u64) {
        // After a failed claim the area must be read again first.
        if self.stopping || self.writing || self.stale {
            return;
        }
        let at = at.max(self.next_write);
        if now < at {
            self.wake_by(at);
            return;
        }
        let Some(lead) = &self.lead else { return };
        let before = lead.row.as_ref().map(|row| Predecessor {
            name: row.name.clone(),
            addr: row.addr.clone(),
            boot: row.boot,
            vacant: row.vacant,
        });
        let row = LeaderRow {
            epoch: lead.epoch() + EPOCH_STEP,
            name: self.me.name.to_string(),
            addr: self.me.addr.clone(),
            boot: self.me.boot,
            vacant: false,
            successor: String::new(),
            before,
        };
        log::info!(
            "TG1301 claiming the lead epoch={} at={}",
            row.epoch,
            lead.end
        );
        let terms = Terms::At(lead.end);
        self.write(terms, area::leader_row(&row));
    }

    fn write(&mut self, terms: Terms, row: Row) {
        self.writing = true;
        if let Terms::At(end) = terms {
            self.write_end = Some(end);
        }
        self.actions.push(Action::Write(terms, vec![row]));
    }

    /// Advances the claim of this VM, which the area names as leader: loads, leads, answers
    /// challenges, or gives the lead up.
    fn advance_own_claim(&mut self, now: u64, last_contact: u64, epoch: u64) {
        let known = match self.role {
            Role::Load(known, _)
            | Role::Lead(known, _)
            | Role::Resign(known)
            | Role::Vacate(known) => Some(known),
            Role::Idle(_) | Role::Follow(_) => None,
        };
        if known != Some(epoch) {
            self.leave_role("a later claim of this VM was stored");
            self.successor = None;
            if self.stopping {
                self.role = Role::Vacate(epoch);
            } else {
                self.role = Role::Load(epoch, now);
                self.actions.push(Action::Load(epoch));
            }
        }
        match self.role {
            Role::Load(_, since) if self.stopping || now >= since + MAX_LOAD_MS => {
                self.actions.push(Action::Abort(
                    "loading took too long, or the process is shutting down",
                ));
                self.vacate(now, epoch);
            }
            Role::Load(_, since) => {
                self.wake_by(since + MAX_LOAD_MS);
                self.answer_challenge(now);
            }
            Role::Lead(_, since) if self.lead.as_ref().is_some_and(LeadState::is_challenged) => {
                let silence = now.saturating_sub(last_contact.max(since));
                if silence > MAX_CONTACT_AGE_MS {
                    self.actions.push(Action::Abort(
                        "challenged, and no frame came from another VM for 2 s",
                    ));
                    self.vacate(now, epoch);
                } else {
                    self.answer_challenge(now);
                }
            }
            Role::Lead(_, since) => {
                let due = since + MIN_LEAD_MS;
                let successor = self.successor.as_ref();
                let larger =
                    successor.is_some_and(|m| m.cpu_milli >= self.me.cpu_milli * HANDOVER_RATIO);
                if self.stopping || (larger && now >= due) {
                    self.role = Role::Resign(epoch);
                    self.actions.push(Action::Resign);
                } else if larger {
                    self.wake_by(due);
                }
            }
            _ => {}
        }
        if let Role::Vacate(epoch) = self.role {
            self.write_vacancy(now, epoch);
        }
    }

    fn vacate(&mut self, now: u64, epoch: u64) {
        let planned = matches!(self.role, Role::Resign(_));
        if !planned {
            self.earliest_claim = now + FAILURE_BACKOFF_MS;
        }
        self.role = Role::Vacate(epoch);
    }

    fn write_vacancy(&mut self, now: u64, epoch: u64) {
        if self.writing || now < self.next_write {
            self.wake_by(self.next_write);
            return;
        }
        let Some(lead) = &self.lead else { return };
        if self.write_end == Some(lead.end) {
            // A read or the watch shows what was stored.
            return;
        }
        let Some(row) = lead.row.clone().filter(|row| row.epoch == epoch) else {
            return;
        };
        let successor = self.successor.as_ref();
        let row = LeaderRow {
            vacant: true,
            successor: successor.map_or(String::new(), |member| member.name.to_string()),
            ..row
        };
        log::info!(
            "TG1310 lead recorded as vacant epoch={epoch} successor={:?}",
            row.successor
        );
        let terms = Terms::At(lead.end);
        self.write(terms, area::leader_row(&row));
    }

    /// Answers a challenge, if there is one.
    fn answer_challenge(&mut self, now: u64) {
        let Some(lead) = self.lead.as_ref().filter(|lead| lead.is_challenged()) else {
            return;
        };
        if self.writing || now < self.next_write {
            self.wake_by(self.next_write);
            return;
        }
        log::info!("TG1309 epoch={} challenge answered", lead.epoch());
        let row = lead.answer_row();
        self.write(Terms::Free, row);
    }

    /// Requests the read and the watch of the area that are due.
    fn schedule_reads(&mut self, now: u64) {
        if self.stale && self.read_sent.is_none() && !self.writing {
            if now >= self.next_read {
                self.read_sent = Some(now);
                self.actions.push(Action::Read);
            } else {
                self.wake_by(self.next_read);
            }
        }
        if let Some(lead) = self.lead.as_ref().filter(|_| !self.watching) {
            let from = lead.end;
            if now >= self.next_watch {
                self.watching = true;
                self.actions.push(Action::Watch(from));
            } else {
                self.wake_by(self.next_watch);
            }
        }
    }

    fn wake_by(&mut self, at: u64) {
        self.wake = self.wake.min(at);
    }
}
