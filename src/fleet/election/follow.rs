//! Follows a leader: notices that it is lost, and acts on it once better suited VMs had the time to.

use super::Action;
use super::Election;
use super::LeadRow;
use super::Lost;
use super::Pulse;
use super::Role;
use super::timing::CALM_MS;
use super::timing::DEPUTIES_MS;
use super::timing::LOAD_MS;
use super::timing::MAX_CALMS;
use super::timing::MAX_DECLINED;
use super::timing::RECONNECT_MS;
use super::timing::SERVED_MS;
use super::timing::UNPROVEN_MS;
use crate::fleet::ports::Terms;

/// The link to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Link {
    Opening,
    Up,
    /// To be made again at this own time.
    Down(u64),
}

/// Why a leader may be replaced, and since when, own time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Suspicion {
    /// Its process is gone.
    Gone(u64),
    /// It says that it has lost the store, or does not lead.
    Unproven(u64),
    /// Nothing comes from it.
    Silent(u64),
}

impl Suspicion {
    fn since(self) -> u64 {
        match self {
            Self::Gone(since) | Self::Unproven(since) | Self::Silent(since) => since,
        }
    }
}

/// A leader that is followed.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Follow {
    pub(super) row: LeadRow,
    pub(super) link: Link,
    pub(super) declined: u32,
    pub(super) suspicion: Option<Suspicion>,
    /// Since when it says that it loads.
    pub(super) loads_since: Option<u64>,
    /// Since when a doubt about it is known.
    pub(super) doubted_at: Option<u64>,
    /// Waits after its answers.
    pub(super) calms: u32,
}

impl Election {
    pub(super) fn connected(&mut self) {
        if let Role::Follow(follow) = &mut self.role {
            follow.link = Link::Up;
        }
    }

    pub(super) fn heard(&mut self, now: u64, pulse: Pulse) {
        let Role::Follow(follow) = &mut self.role else {
            return;
        };
        self.deputy = pulse.deputy;
        if pulse.best_milli > 0 {
            self.best_milli = pulse.best_milli;
        }
        follow.declined = 0;
        if pulse.boot != 0 && pulse.boot != follow.row.boot {
            follow.suspicion.get_or_insert(Suspicion::Gone(now));
            return;
        }
        let loads = pulse.loads == follow.row.epoch && !pulse.leads;
        if !loads {
            follow.loads_since = None;
        }
        let patient = loads && now < *follow.loads_since.get_or_insert(now) + LOAD_MS;
        let sound = pulse.proven && (pulse.leads || patient);
        match follow.suspicion {
            _ if sound => {
                follow.suspicion = None;
                follow.calms = 0;
            }
            Some(Suspicion::Unproven(_)) => {}
            _ => follow.suspicion = Some(Suspicion::Unproven(now)),
        }
    }

    pub(super) fn lost(&mut self, now: u64, lost: &Lost) {
        let Role::Follow(follow) = &mut self.role else {
            return;
        };
        match lost {
            Lost::Closed(_) => {
                follow.declined += 1;
                follow.link = Link::Down(now + RECONNECT_MS * u64::from(follow.declined.min(16)));
                if follow.declined > MAX_DECLINED {
                    follow.suspicion = Some(match follow.suspicion {
                        Some(known @ Suspicion::Gone(_)) => known,
                        _ => Suspicion::Gone(now),
                    });
                }
            }
            Lost::Silent => {
                follow.link = Link::Down(now);
                follow.suspicion.get_or_insert(Suspicion::Silent(now));
            }
        }
    }

    pub(super) fn follow(&mut self, now: u64, row: LeadRow) {
        let known = match &self.role {
            Role::Follow(follow) => follow.row.epoch == row.epoch && follow.row.boot == row.boot,
            _ => false,
        };
        if !known {
            self.leave_role("another VM has claimed the lead");
            self.deputy = false;
            // An earlier process of this VM leads no more.
            let gone = (*row.name == *self.me.name).then_some(Suspicion::Gone(now));
            if gone.is_none() {
                self.out.push(Action::Connect(row.clone()));
            }
            self.role = Role::Follow(Box::new(Follow {
                link: if gone.is_none() {
                    Link::Opening
                } else {
                    Link::Down(u64::MAX)
                },
                row,
                declined: 0,
                suspicion: gone,
                loads_since: None,
                doubted_at: None,
                calms: 0,
            }));
        }
        let Role::Follow(mut follow) = std::mem::replace(&mut self.role, Role::Idle(0)) else {
            return;
        };
        if let Link::Down(at) = follow.link {
            if now >= at {
                follow.link = Link::Opening;
                self.out.push(Action::Connect(follow.row.clone()));
            } else {
                self.wake_by(at);
            }
        }
        match follow.suspicion {
            Some(suspicion) => self.suspect(now, &mut follow, suspicion),
            None => follow.doubted_at = None,
        }
        self.role = Role::Follow(follow);
    }

    /// Acts on a suspicion, once VMs that are better suited had the time for it.
    pub(super) fn suspect(&mut self, now: u64, follow: &mut Follow, suspicion: Suspicion) {
        if self.leaving {
            return;
        }
        let wait = match suspicion {
            // No need to wait for the process that this one replaces.
            Suspicion::Gone(_) if *follow.row.name == *self.me.name => 0,
            Suspicion::Unproven(_) => UNPROVEN_MS,
            _ => 0,
        };
        let others = if self.deputy { 0 } else { DEPUTIES_MS };
        let due = suspicion.since() + wait + others + self.rank_ms();
        if now < due {
            self.wake_by(due);
            return;
        }
        // A silent connection to the store must not hide an answer or a claim.
        if self.read_at.is_none_or(|at| at < due) {
            self.stale = true;
            return;
        }
        let Some(lead) = &self.lead else { return };
        match suspicion {
            Suspicion::Gone(_) => return self.claim(now, self.penance),
            Suspicion::Unproven(_) => {
                let served = self.served_since.unwrap_or(now) + SERVED_MS;
                return self.claim(now, served.max(self.penance));
            }
            Suspicion::Silent(_) => {}
        }
        if self
            .answered_at
            .is_some_and(|at| at + CALM_MS >= suspicion.since())
        {
            // Spread, so that VMs that were cut off together do not doubt together.
            let calm = (CALM_MS << follow.calms) + self.spread(CALM_MS);
            log::info!(
                "TG1305 leader={} answered a doubt, left alone for {calm} ms",
                follow.row.name
            );
            follow.calms = (follow.calms + 1).min(MAX_CALMS);
            follow.suspicion = None;
            follow.doubted_at = None;
            follow.link = Link::Down(now + calm);
            self.answered_at = None;
            self.out.push(Action::Disconnect);
            self.wake_by(now + calm);
            return;
        }
        if lead.is_doubted() {
            let since = *follow.doubted_at.get_or_insert(now);
            self.claim(now, since + self.answer_ms);
        } else if !self.writing && !self.stale && now >= self.next_write {
            log::info!(
                "TG1316 leader={} epoch={} doubted",
                follow.row.name,
                follow.row.epoch
            );
            let row = lead.doubt_row();
            let terms = Terms::At(lead.end);
            self.write(terms, row);
        } else {
            self.wake_by(self.next_write);
        }
    }
}
