//! The follower's role: detects the loss of the leader, and claims the lead after giving better
//! suited VMs a head start.

use super::Action;
use super::Election;
use super::Heartbeat;
use super::LeaderRow;
use super::LinkError;
use super::Role;
use super::timing::ANSWERED_BACKOFF_MS;
use super::timing::DEPUTY_HEADSTART_MS;
use super::timing::MAX_DOUBLINGS;
use super::timing::MAX_LOAD_MS;
use super::timing::MAX_REFUSED;
use super::timing::RECONNECT_MS;
use super::timing::STORE_STABLE_MS;
use super::timing::UNCONFIRMED_MS;
use crate::fleet::ports::Terms;

/// The state of the connection to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Link {
    Opening,
    Up,
    /// Closed; to be reopened at this time of the local clock.
    Down(u64),
}

/// Why a leader may be replaced, and since when (local clock).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Suspicion {
    /// Its process has ended.
    Gone(u64),
    /// It reports that the store has not confirmed its lead lately, or that it does not lead.
    Unconfirmed(u64),
    /// It does not respond.
    Silent(u64),
}

impl Suspicion {
    fn since(self) -> u64 {
        match self {
            Self::Gone(since) | Self::Unconfirmed(since) | Self::Silent(since) => since,
        }
    }
}

/// What a follower tracks about its leader.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Follow {
    pub(super) row: LeaderRow,
    pub(super) link: Link,
    /// Connections that were refused or closed since the last heartbeat.
    pub(super) refused: u32,
    pub(super) suspicion: Option<Suspicion>,
    /// Since when it reports that it is loading.
    pub(super) loading_since: Option<u64>,
    /// Since when an unanswered challenge to it is known.
    pub(super) challenged_at: Option<u64>,
    /// Back-offs after its answers, up to [`MAX_DOUBLINGS`].
    pub(super) backoffs: u32,
}

impl Election {
    pub(super) fn on_connected(&mut self) {
        if let Role::Follow(follow) = &mut self.role {
            follow.link = Link::Up;
        }
    }

    pub(super) fn on_heartbeat(&mut self, now: u64, heartbeat: Heartbeat) {
        let Role::Follow(follow) = &mut self.role else {
            return;
        };
        self.deputy = heartbeat.deputy;
        if heartbeat.best_milli > 0 {
            self.best_milli = heartbeat.best_milli;
        }
        follow.refused = 0;
        if heartbeat.boot != 0 && heartbeat.boot != follow.row.boot {
            follow.suspicion.get_or_insert(Suspicion::Gone(now));
            return;
        }
        let loading = heartbeat.loading_epoch == follow.row.epoch && !heartbeat.leads;
        if !loading {
            follow.loading_since = None;
        }
        let may_load = loading && now < *follow.loading_since.get_or_insert(now) + MAX_LOAD_MS;
        let healthy = heartbeat.confirmed && (heartbeat.leads || may_load);
        match follow.suspicion {
            _ if healthy => {
                follow.suspicion = None;
                follow.backoffs = 0;
            }
            Some(Suspicion::Unconfirmed(_)) => {}
            _ => follow.suspicion = Some(Suspicion::Unconfirmed(now)),
        }
    }

    pub(super) fn on_link_error(&mut self, now: u64, error: &LinkError) {
        let Role::Follow(follow) = &mut self.role else {
            return;
        };
        match error {
            LinkError::Closed(_) => {
                follow.refused += 1;
                follow.link = Link::Down(now + RECONNECT_MS * u64::from(follow.refused.min(16)));
                if follow.refused > MAX_REFUSED {
                    follow.suspicion = Some(match follow.suspicion {
                        Some(known @ Suspicion::Gone(_)) => known,
                        _ => Suspicion::Gone(now),
                    });
                }
            }
            LinkError::Silent => {
                follow.link = Link::Down(now);
                follow.suspicion.get_or_insert(Suspicion::Silent(now));
            }
        }
    }

    pub(super) fn follow(&mut self, now: u64, row: LeaderRow) {
        let known = match &self.role {
            Role::Follow(follow) => follow.row.epoch == row.epoch && follow.row.boot == row.boot,
            _ => false,
        };
        if !known {
            self.leave_role("another VM has claimed the lead");
            self.deputy = false;
            // A leader with this VM's name is an earlier process of it, which has ended.
            let gone = (*row.name == *self.me.name).then_some(Suspicion::Gone(now));
            if gone.is_none() {
                self.actions.push(Action::Connect(row.clone()));
            }
            self.role = Role::Follow(Box::new(Follow {
                link: if gone.is_none() {
                    Link::Opening
                } else {
                    Link::Down(u64::MAX)
                },
                row,
                refused: 0,
                suspicion: gone,
                loading_since: None,
                challenged_at: None,
                backoffs: 0,
            }));
        }
        let Role::Follow(mut follow) = std::mem::replace(&mut self.role, Role::Idle(0)) else {
            return;
        };
        if let Link::Down(at) = follow.link {
            if now >= at {
                follow.link = Link::Opening;
                self.actions.push(Action::Connect(follow.row.clone()));
            } else {
                self.wake_by(at);
            }
        }
        match follow.suspicion {
            Some(suspicion) => self.act_on_suspicion(now, &mut follow, suspicion),
            None => follow.challenged_at = None,
        }
        self.role = Role::Follow(follow);
    }

    /// Acts on a suspicion once better suited VMs have had their head start: claims the lead, or
    /// first challenges the leader if it is merely silent.
    pub(super) fn act_on_suspicion(&mut self, now: u64, follow: &mut Follow, suspicion: Suspicion) {
        if self.stopping {
            return;
        }
        let wait = match suspicion {
            // No wait: this process replaces the one that led.
            Suspicion::Gone(_) if *follow.row.name == *self.me.name => 0,
            Suspicion::Unconfirmed(_) => UNCONFIRMED_MS,
            _ => 0,
        };
        let headstart = if self.deputy { 0 } else { DEPUTY_HEADSTART_MS };
        let due = suspicion.since() + wait + headstart + self.size_delay_ms();
        if now < due {
            self.wake_by(due);
            return;
        }
        // Reads the area first: if the store is silent, an answer or a claim may have been missed.
        if self.read_at.is_none_or(|at| at < due) {
            self.stale = true;
            return;
        }
        let Some(lead) = &self.lead else { return };
        match suspicion {
            Suspicion::Gone(_) => return self.claim(now, self.earliest_claim),
            Suspicion::Unconfirmed(_) => {
                let stable = self.stable_since.unwrap_or(now) + STORE_STABLE_MS;
                return self.claim(now, stable.max(self.earliest_claim));
            }
            Suspicion::Silent(_) => {}
        }
        if self
            .answered_at
            .is_some_and(|at| at + ANSWERED_BACKOFF_MS >= suspicion.since())
        {
            // With jitter, so that VMs that were cut off together do not challenge together.
            let pause =
                (ANSWERED_BACKOFF_MS << follow.backoffs) + self.jitter_ms(ANSWERED_BACKOFF_MS);
            log::info!(
                "TG1305 leader={} answered a challenge, reconnecting in {pause} ms",
                follow.row.name
            );
            follow.backoffs = (follow.backoffs + 1).min(MAX_DOUBLINGS);
            follow.suspicion = None;
            follow.challenged_at = None;
            follow.link = Link::Down(now + pause);
            self.answered_at = None;
            self.actions.push(Action::Disconnect);
            self.wake_by(now + pause);
            return;
        }
        if lead.is_challenged() {
            let since = *follow.challenged_at.get_or_insert(now);
            self.claim(now, since + self.answer_ms);
        } else if !self.writing && !self.stale && now >= self.next_write {
            log::info!(
                "TG1316 leader={} epoch={} challenged in the store",
                follow.row.name,
                follow.row.epoch
            );
            let row = lead.challenge_row();
            let terms = Terms::At(lead.end);
            self.write(terms, row);
        } else {
            self.wake_by(self.next_write);
        }
    }
}
