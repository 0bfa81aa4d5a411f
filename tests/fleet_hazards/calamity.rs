//! When hazards strike, and what happens to leaders and callers.

use super::hazards::Hazard;
use super::jobs::MAX_REFUSALS;
use super::leader::Ask;
use super::leader::Life;
use super::random::Random;
use super::world::Action;
use super::world::CALM_MS;
use super::world::World;
use std::ops::Range;
use trefoilgauge::fleet::Event;
use trefoilgauge::fleet::event::Call;
use trefoilgauge::fleet::event::Operation;
use trefoilgauge::fleet::event::Phase;
use trefoilgauge::fleet::event::Reply;
use trefoilgauge::fleet::token::EPOCH_STEP;

/// When the first hazard begins, in milliseconds.
const FIRST_MS: u64 = 2_000;
/// How far apart hazards strike that come together, in milliseconds.
const SPREAD_MS: u64 = 1_200;
/// The probability that the leader after one that lost the store is killed soon.
const NEXT_KILLED: f64 = 0.3;
/// How long a killed leader's VM takes until its next process is known to the next leader, in
/// milliseconds.
const BACK_MS: Range<u64> = 200..6_000;
/// How long an upstream is on the side of a leader that has lost the store, in milliseconds.
const SPLIT_MS: Range<u64> = 2_000..16_000;
/// How long a caller waits for a reply, in milliseconds.
const REPLY_MS: u64 = 1_500;
/// The time between two requests for a job's state, in milliseconds.
const POLL_MS: u64 = 700;

impl World {
    /// Schedules the hazards of the world; half of them strike around a few common moments.
    pub(crate) fn plan_hazards(&mut self) {
        let moments: Vec<u64> = (0..4_u64)
            .map(|n| {
                self.draw(("moment", n))
                    .range(FIRST_MS, CALM_MS - 2 * SPREAD_MS)
            })
            .collect();
        for slot in 0..self.slots.len() {
            for (hazard, same) in [(Hazard::SameId, true), (Hazard::NewId, false)] {
                for mut draw in self.occasions(hazard, slot) {
                    let time = moment(&mut draw, &moments);
                    self.at(time, Action::Crash(slot, same));
                }
            }
            for mut draw in self.occasions(Hazard::Cut, slot) {
                let time = moment(&mut draw, &moments);
                let ms = draw.range(300, 8_000);
                self.at(time, Action::Cut(slot, ms));
            }
            for mut draw in self.occasions(Hazard::Unlisted, slot) {
                let time = moment(&mut draw, &moments);
                self.at(time, Action::Unlist(slot));
            }
            for mut draw in self.occasions(Hazard::Capacity, slot) {
                let time = moment(&mut draw, &moments);
                let percent = [0, 25, 50, 75][draw.range(0, 4) as usize];
                let back = time + draw.range(1_000, 12_000);
                self.at(time, Action::Capacity(slot, percent));
                self.at(back, Action::Capacity(slot, 100));
            }
        }
        for mut draw in self.occasions(Hazard::Kill, 0) {
            let time = moment(&mut draw, &moments);
            self.at(time, Action::Kill);
        }
        for mut draw in self.occasions(Hazard::Freeze, 0) {
            let time = moment(&mut draw, &moments);
            let ms = draw.range(300, 9_000);
            self.at(time, Action::Freeze(ms));
        }
        for mut draw in self.occasions(Hazard::StoreCut, 0) {
            let time = moment(&mut draw, &moments);
            let ms = draw.range(1_500, 9_000);
            self.at(time, Action::StoreCut(ms));
        }
    }

    /// Returns the random numbers of each occasion on which a hazard strikes.
    fn occasions(&self, hazard: Hazard, slot: usize) -> Vec<Random> {
        let mean = self.hazards.of(hazard);
        let count = self.draw(("count", hazard as usize, slot)).count(mean);
        let draws = (0..count).map(|n| self.draw(("occasion", hazard as usize, slot, n)));
        draws.collect()
    }

    /// Kills the leader; another VM takes over.
    pub(crate) fn kill(&mut self) {
        let now = self.now;
        let Some(leader) = self.newest() else {
            return;
        };
        self.leaders[leader].life = Life::Gone;
        let back = self.draw("back").range(BACK_MS.start, BACK_MS.end);
        self.leaders[leader].back_at = Some(now + back);
        self.after(back, Action::Back(leader));
        let epoch = self.leaders[leader].epoch;
        self.journal.note(now, format!("leader {epoch} is killed"));
        let ms = self.draw("kill").range(800, 2_500);
        self.after(ms, Action::TakeOver(epoch));
    }

    /// Suspends the leader; another VM takes over if it takes long.
    pub(crate) fn freeze(&mut self, ms: u64) {
        let now = self.now;
        let Some(leader) = self.newest() else {
            return;
        };
        if self.leaders[leader].life != Life::Running {
            return;
        }
        self.leaders[leader].life = Life::Suspended;
        let epoch = self.leaders[leader].epoch;
        self.journal
            .note(now, format!("leader {epoch} is suspended for {ms} ms"));
        self.after(ms, Action::Thaw(leader));
        let patience = self.draw("freeze").range(800, 2_500);
        if patience < ms {
            self.after(patience, Action::TakeOver(epoch));
        }
    }

    /// Cuts the leader off from the store; another VM takes over if it takes long.
    pub(crate) fn cut_store(&mut self, ms: u64) {
        let now = self.now;
        let Some(leader) = self.newest() else {
            return;
        };
        self.leaders[leader].cut_until = now + ms;
        for slot in 0..self.slots.len() {
            if self.strikes(Hazard::Split, slot) {
                let ms = self
                    .draw(("split", slot))
                    .range(SPLIT_MS.start, SPLIT_MS.end);
                self.slots[slot].split = Some((leader, now + ms));
                let id = self.slots[slot].id.clone();
                self.journal
                    .note_at(now, &id, format!("on the side of that leader for {ms} ms"));
            }
        }
        let epoch = self.leaders[leader].epoch;
        self.journal
            .note(now, format!("leader {epoch} loses the store for {ms} ms"));
        let patience = self.draw("store cut").range(1_500, 4_000);
        if patience < ms {
            self.after(patience, Action::TakeOver(epoch));
            // The next leader, while the one before it still sends orders.
            let kills = self.hazards.of(Hazard::Kill) > 0.0;
            let mut draw = self.draw("kill the next");
            if kills && draw.chance(NEXT_KILLED) {
                let ms = draw.range(300, 2_500);
                self.after(patience + ms, Action::Kill);
            }
        }
    }

    /// Tells the leader after one that was killed, once both are known, that its process has ended.
    pub(crate) fn back(&mut self, killed: usize) {
        let now = self.now;
        let back = self.leaders[killed].back_at.is_some_and(|at| at <= now);
        let next = self.leaders[killed].epoch + EPOCH_STEP;
        let next = self.leaders.iter_mut().find(|leader| leader.epoch == next);
        if let Some(next) = next.filter(|next| back && next.life == Life::Running) {
            let local = now + next.offset;
            next.scheduler.step(local, Event::PredecessorEnded);
        }
    }

    /// Makes a caller's call at the newest leader, at times at one that is about to resign.
    pub(crate) fn call(&mut self, job: usize, ask: Ask) {
        let old = self.draw(("old", job)).chance(0.1);
        let running = |leader: &usize| self.leaders[*leader].life == Life::Running;
        let mut leaders = (0..self.leaders.len()).rev().filter(running);
        let newest = leaders.next();
        let leader = if old {
            leaders.next().or(newest)
        } else {
            newest
        };
        let Some(leader) = leader else {
            self.after(300, Action::Call(job, ask));
            return;
        };
        if ask == Ask::Cancel {
            if !self.jobs[job].accepted {
                // A lasting job would never be over.
                if self.jobs[job].is_lasting() && !self.jobs[job].is_over() {
                    self.after(POLL_MS, Action::Call(job, ask));
                }
                return;
            }
            self.jobs[job].cancelled = true;
        }
        let what = &self.jobs[job];
        let this = &mut self.leaders[leader];
        this.calls += 1;
        let call = this.calls;
        this.callers.insert(call, (job, ask));
        let call_event = Event::Called {
            call,
            what: Call {
                host: "host".to_owned(),
                path: format!("/{}/{}", what.queue, what.id),
                key: "key".to_owned(),
                operation: match ask {
                    Ask::Submit => Operation::Submit(what.spec.clone()),
                    Ask::State => Operation::State,
                    Ask::Cancel => Operation::Cancel,
                },
                nonce: 0,
            },
        };
        let local = self.now + this.offset;
        this.scheduler.step(local, call_event);
        self.after(REPLY_MS, Action::CallOverdue(leader, call, job, ask));
        self.pass(leader);
    }

    /// Repeats a call that got no reply.
    pub(crate) fn call_overdue(&mut self, leader: usize, call: u64, job: usize, ask: Ask) {
        if self.leaders[leader].callers.remove(&call).is_some() {
            if ask == Ask::Submit {
                self.jobs[job].unknown = true;
            }
            self.call(job, ask);
        }
    }

    /// Handles a reply.
    pub(crate) fn replied(&mut self, leader: usize, call: u64, reply: Reply) {
        let now = self.now;
        let Some((job, ask)) = self.leaders[leader].callers.remove(&call) else {
            return;
        };
        let newest = self.newest() == Some(leader);
        let what = &mut self.jobs[job];
        match (ask, reply) {
            (Ask::Submit, Reply::Accepted) => {
                what.accepted = true;
                self.after(POLL_MS, Action::Call(job, Ask::State));
            }
            (Ask::Submit, Reply::Refused { .. }) => {
                what.refusals += 1;
                if what.refusals < MAX_REFUSALS {
                    self.after(1_000, Action::Call(job, ask));
                }
            }
            (Ask::State, Reply::State(phase)) => {
                what.shown = Some(phase);
                if phase == Phase::Completed {
                    let (id, tasks) = (what.id.clone(), what.tasks());
                    self.checks.completed(now, &id, &tasks);
                }
                if matches!(phase, Phase::Queued | Phase::Running) {
                    self.after(POLL_MS, Action::Call(job, Ask::State));
                }
            }
            (Ask::State, Reply::Gone) => {
                // An old leader may not know it yet; the newest one must.
                what.gone |= newest;
                self.after(POLL_MS, Action::Call(job, Ask::State));
            }
            (Ask::Cancel, Reply::Cancelled) => {
                what.cancel_acked.get_or_insert(now);
            }
            (Ask::Cancel, Reply::Gone) => {}
            (_, Reply::Unavailable { .. }) => self.after(300, Action::Call(job, ask)),
            (ask, reply) => panic!("unexpected reply {reply:?} to {ask:?}"),
        }
    }
}

/// Returns when a hazard strikes: half of them near one of the common moments.
fn moment(draw: &mut Random, moments: &[u64]) -> u64 {
    if draw.chance(0.5) {
        let near = moments[draw.range(0, moments.len() as u64) as usize];
        near + draw.range(0, SPREAD_MS)
    } else {
        draw.range(FIRST_MS, CALM_MS)
    }
}
