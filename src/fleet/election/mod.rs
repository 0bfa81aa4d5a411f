//! Decides who leads; without I/O.
//!
//! The area of the lead names the leader and its epoch. A VM claims the lead by an append on the
//! condition that the area has not changed. A claim holds until its holder shows that it cannot
//! lead: while it loads it says so to whoever connects. A leader that cannot be reached is doubted
//! in the area first; one doubt is enough for all VMs, and the leader's answer needs no condition.
//!
//! The load it answers: fleets of hundreds of VMs with small shares of a processor, of which a
//! third may lose the store or the leader at the same moment.

mod area;
mod follow;
mod members;
mod message;
mod timing;

use super::ports::Rows;
use super::ports::Terms;
use super::row::Row;
use crate::prelude::*;
pub use area::Count;
pub use area::Lead;
pub use area::LeadRow;
use follow::Follow;
pub use members::Member;
pub use members::Members;
pub use message::Action;
pub use message::Candidate;
pub use message::Input;
pub use message::Lost;
pub use message::Outcome;
pub use message::Pulse;
use std::hash::Hasher;
use timing::AGAIN_MS;
use timing::ANSWER_APPENDS;
use timing::ANSWER_MS;
use timing::HEARD_MS;
use timing::JITTER_MS;
use timing::LARGER_TIMES;
use timing::LOAD_MS;
use timing::LOST_READS;
use timing::MAX_ANSWER_MS;
use timing::MAX_BACKOFF;
use timing::MAX_RANK_MS;
use timing::OWN_FAILURE_MS;
use timing::RANK_US;
use timing::SETTLED_MS;
use timing::SUCCESSOR_MS;
use timing::UNKNOWN_RANK_US;
use timing::WATCH_AGAIN_MS;
use xxhash_rust::xxh3::Xxh3;

#[derive(Debug, Clone, PartialEq)]
enum Role {
    /// Nobody leads that is known, since this own time.
    Idle(u64),
    /// Another VM leads.
    Follow(Box<Follow>),
    /// This VM loads for an epoch, since this own time.
    Load(u64, u64),
    /// This VM leads in an epoch, since this own time.
    Lead(u64, u64),
    /// This VM stops leading in an epoch, once it has stored what is decided.
    Resign(u64),
    /// This VM has stopped leading in an epoch, and the area does not say so yet.
    Vacate(u64),
}

/// One VM's part in the election.
#[derive(Debug)]
pub struct Election {
    me: Candidate,
    lead: Option<Lead>,
    role: Role,
    leaving: bool,
    /// The largest share of a processor that a leader told of; 0 if unknown.
    best_milli: u64,
    deputy: bool,
    /// The VM that is to lead after this one.
    next: Option<Member>,
    /// When the read under way was sent, own time.
    reading: Option<u64>,
    /// Whether the area is to be read again, and from when on.
    stale: bool,
    next_read: u64,
    failed_reads: u32,
    /// Since when no read has failed, own time.
    served_since: Option<u64>,
    /// When the newest read that was answered was sent, own time.
    read_at: Option<u64>,
    watching: bool,
    next_watch: u64,
    writing: bool,
    next_write: u64,
    answer_ms: u64,
    /// When the leader's answers were last seen to grow, own time.
    answered_at: Option<u64>,
    /// No claim before this own time: this VM has failed as a leader.
    penance: u64,
    out: Vec<Action>,
    wake: u64,
}

impl Election {
    /// Makes the part of a VM that knows nothing yet.
    pub fn new(me: Candidate) -> Self {
        Self {
            me,
            lead: None,
            role: Role::Idle(0),
            leaving: false,
            best_milli: 0,
            deputy: false,
            next: None,
            reading: None,
            stale: true,
            next_read: 0,
            failed_reads: 0,
            served_since: None,
            read_at: None,
            watching: false,
            next_watch: 0,
            writing: false,
            next_write: 0,
            answer_ms: ANSWER_MS,
            answered_at: None,
            penance: 0,
            out: Vec::new(),
            wake: u64::MAX,
        }
    }

    /// Handles what this VM learns at `now`; `heard` is when another VM was heard last. Returns
    /// what to do.
    pub fn step(&mut self, now: u64, heard: u64, input: Input) -> Vec<Action> {
        self.wake = u64::MAX;
        self.take(now, input);
        self.settle(now, heard);
        self.use_store(now);
        std::mem::take(&mut self.out)
    }

    /// Returns the own time at which [`Input::Tick`] is due.
    pub fn wake_at(&self) -> u64 {
        self.wake
    }

    /// Tells whether the store, which would tell who leads, is out of reach.
    pub fn has_lost_store(&self) -> bool {
        self.failed_reads >= LOST_READS
    }

    /// Tells whether this VM could lead.
    pub fn is_fit(&self) -> bool {
        !self.leaving && self.failed_reads == 0
    }

    /// Returns the area as last read.
    pub fn lead(&self) -> Option<&Lead> {
        self.lead.as_ref()
    }

    fn take(&mut self, now: u64, input: Input) {
        match input {
            Input::Read(lead) => self.read(now, lead),
            Input::Watched(from, rows) => self.watched(now, from, rows),
            Input::Wrote(outcome, ms) => self.wrote(now, outcome, ms),
            Input::Connected => self.connected(),
            Input::Pulse(pulse) => self.heard(now, pulse),
            Input::Lost(lost) => self.lost(now, &lost),
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
            Input::Next(member) => self.next = member,
            Input::Leave => self.leaving = true,
            Input::Tick => {}
        }
    }

    fn read(&mut self, now: u64, lead: Option<Lead>) {
        let sent = self.reading.take();
        let Some(lead) = lead else {
            self.failed_reads += 1;
            self.served_since = None;
            self.stale = true;
            self.next_read = now + AGAIN_MS * u64::from(self.failed_reads).min(MAX_BACKOFF);
            return;
        };
        self.failed_reads = 0;
        self.served_since.get_or_insert(now);
        self.read_at = sent;
        self.stale = false;
        let newer = self.lead.as_ref().is_none_or(|known| lead.end >= known.end);
        if newer {
            if self.lead.as_ref().is_none_or(|known| known.end != lead.end) {
                self.watching = false;
                self.next_watch = now;
            }
            self.learn(now, lead);
        }
    }

    fn watched(&mut self, now: u64, from: Offset, rows: Option<Rows>) {
        let Some(known) = self.lead.as_ref().filter(|known| known.end == from) else {
            return;
        };
        self.watching = false;
        let Some(rows) = rows else {
            let calm = matches!(&self.role, Role::Follow(follow) if follow.suspicion.is_none());
            self.next_watch = now + if calm { WATCH_AGAIN_MS } else { AGAIN_MS };
            self.stale = true;
            return;
        };
        if rows.rows.is_empty() {
            // An area without rows yet answers at once.
            self.next_watch = now + AGAIN_MS;
        }
        let mut lead = known.clone();
        lead.apply(&rows);
        self.learn(now, lead);
    }

    fn learn(&mut self, now: u64, lead: Lead) {
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

    fn wrote(&mut self, now: u64, outcome: Outcome, ms: u64) {
        self.writing = false;
        self.stale = true;
        match outcome {
            Outcome::Stored => {
                self.answer_ms = (ms * ANSWER_APPENDS).clamp(ANSWER_MS, MAX_ANSWER_MS);
            }
            Outcome::Moved => {}
            Outcome::Declined | Outcome::Unknown => {
                self.next_write = now + AGAIN_MS;
                self.next_read = now + AGAIN_MS;
            }
        }
    }

    /// Compares the area with this VM's role, and acts on the difference.
    fn settle(&mut self, now: u64, heard: u64) {
        let Some(lead) = &self.lead else {
            return;
        };
        match lead.row.clone() {
            Some(row) if row.vacant => self.claim_vacant(now, &row.successor),
            None => self.claim_vacant(now, ""),
            Some(row) if *row.name == *self.me.name && row.boot == self.me.boot => {
                self.hold(now, heard, row.epoch);
            }
            Some(row) => self.follow(now, row),
        }
    }

    fn leave_role(&mut self, why: &'static str) {
        match self.role {
            Role::Follow(_) => self.out.push(Action::Disconnect),
            Role::Load(..) | Role::Lead(..) | Role::Resign(_) => {
                self.out.push(Action::Depose(why));
            }
            Role::Idle(_) | Role::Vacate(_) => {}
        }
    }

    fn claim_vacant(&mut self, now: u64, successor: &str) {
        let since = match self.role {
            Role::Idle(since) if since > 0 => since,
            _ => {
                self.leave_role("the lead was left vacant");
                self.role = Role::Idle(now);
                now
            }
        };
        let own = *successor == *self.me.name;
        let wait = match successor {
            _ if own => 0,
            "" => self.rank_ms(),
            _ => SUCCESSOR_MS + self.rank_ms(),
        };
        let at = since + wait;
        self.claim(now, if own { at } else { at.max(self.penance) });
    }

    /// Waits for VMs that are better suited to lead, in milliseconds.
    fn rank_ms(&self) -> u64 {
        let rank = if self.best_milli > 0 {
            self.best_milli.saturating_sub(self.me.milli) * RANK_US
        } else {
            1_000_u64.saturating_sub(self.me.milli) * UNKNOWN_RANK_US
        };
        (rank / 1_000).min(MAX_RANK_MS) + self.spread(JITTER_MS)
    }

    /// Returns a number below `ms` that differs by VM and epoch.
    fn spread(&self, ms: u64) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.write(self.me.name.as_bytes());
        hasher.write_u64(self.lead.as_ref().map_or(0, Lead::epoch));
        hasher.finish() % ms
    }

    /// Claims the lead at `at`, if the area is still as it was read.
    fn claim(&mut self, now: u64, at: u64) {
        // A claim that failed needs a look at what has changed.
        if self.leaving || self.writing || self.stale {
            return;
        }
        let at = at.max(self.next_write);
        if now < at {
            self.wake_by(at);
            return;
        }
        let Some(lead) = &self.lead else { return };
        let row = LeadRow {
            epoch: lead.epoch() + 1,
            name: self.me.name.to_string(),
            addr: self.me.addr.clone(),
            boot: self.me.boot,
            vacant: false,
            successor: String::new(),
        };
        log::info!("TG1301 lead claimed epoch={} at={}", row.epoch, lead.end);
        let terms = Terms::At(lead.end);
        self.write(terms, area::leader_row(&row));
    }

    fn write(&mut self, terms: Terms, row: Row) {
        self.writing = true;
        self.out.push(Action::Write(terms, vec![row]));
    }

    /// Does the duties of the VM that the area names.
    fn hold(&mut self, now: u64, heard: u64, epoch: u64) {
        let known = match self.role {
            Role::Load(known, _)
            | Role::Lead(known, _)
            | Role::Resign(known)
            | Role::Vacate(known) => Some(known),
            Role::Idle(_) | Role::Follow(_) => None,
        };
        if known != Some(epoch) {
            self.leave_role("a later claim of this VM was stored");
            self.next = None;
            if self.leaving {
                self.role = Role::Vacate(epoch);
            } else {
                self.role = Role::Load(epoch, now);
                self.out.push(Action::Load(epoch));
            }
        }
        match self.role {
            Role::Load(_, since) if self.leaving || now >= since + LOAD_MS => {
                self.out.push(Action::Depose("loading was given up"));
                self.vacate(now, epoch);
            }
            Role::Load(_, since) => {
                self.wake_by(since + LOAD_MS);
                self.answer(now);
            }
            Role::Lead(_, since) if self.lead.as_ref().is_some_and(Lead::is_doubted) => {
                let silence = now.saturating_sub(heard.max(since));
                if silence > HEARD_MS {
                    self.out
                        .push(Action::Depose("doubted, and no other VM was heard for 2 s"));
                    self.vacate(now, epoch);
                } else {
                    self.answer(now);
                }
            }
            Role::Lead(_, since) => {
                let settled = since + SETTLED_MS;
                let next = self.next.as_ref();
                let larger = next.is_some_and(|m| m.milli >= self.me.milli * LARGER_TIMES);
                if self.leaving || (larger && now >= settled) {
                    self.role = Role::Resign(epoch);
                    self.out.push(Action::Resign);
                } else if larger {
                    self.wake_by(settled);
                }
            }
            _ => {}
        }
        if let Role::Vacate(epoch) = self.role {
            self.tell_vacant(now, epoch);
        }
    }

    fn vacate(&mut self, now: u64, epoch: u64) {
        let planned = matches!(self.role, Role::Resign(_));
        if !planned {
            self.penance = now + OWN_FAILURE_MS;
        }
        self.role = Role::Vacate(epoch);
    }

    fn tell_vacant(&mut self, now: u64, epoch: u64) {
        if self.writing || now < self.next_write {
            self.wake_by(self.next_write);
            return;
        }
        let Some(lead) = &self.lead else { return };
        let Some(row) = lead.row.clone().filter(|row| row.epoch == epoch) else {
            return;
        };
        let successor = self.next.as_ref();
        let row = LeadRow {
            vacant: true,
            successor: successor.map_or(String::new(), |member| member.name.to_string()),
            ..row
        };
        log::info!(
            "TG1310 lead left vacant epoch={epoch} successor={:?}",
            row.successor
        );
        let terms = Terms::At(lead.end);
        self.write(terms, area::leader_row(&row));
    }

    /// Answers a doubt that this VM lives.
    fn answer(&mut self, now: u64) {
        let Some(lead) = self.lead.as_ref().filter(|lead| lead.is_doubted()) else {
            return;
        };
        if self.writing || now < self.next_write {
            self.wake_by(self.next_write);
            return;
        }
        log::info!("TG1309 epoch={} doubt answered", lead.epoch());
        let row = lead.answer_row();
        self.write(Terms::Free, row);
    }

    /// Reads and watches the area where that is due.
    fn use_store(&mut self, now: u64) {
        if self.stale && self.reading.is_none() && !self.writing {
            if now >= self.next_read {
                self.reading = Some(now);
                self.out.push(Action::Read);
            } else {
                self.wake_by(self.next_read);
            }
        }
        if let Some(lead) = self.lead.as_ref().filter(|_| !self.watching) {
            let from = lead.end;
            if now >= self.next_watch {
                self.watching = true;
                self.out.push(Action::Watch(from));
            } else {
                self.wake_by(self.next_watch);
            }
        }
    }

    fn wake_by(&mut self, at: u64) {
        self.wake = self.wake.min(at);
    }
}
