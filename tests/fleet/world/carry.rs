//! Carries out the effects of the scheduler on the simulated upstreams, store and platform.

use super::Begun;
use super::HOLD_TIMEOUT_MS;
use super::WALL_MS;
use super::World;
use super::timing;
use crate::advisor;
use crate::fake::Behaviour;
use crate::fake::FakeUpstream;
use crate::fake::Running;
use trefoilgauge::fleet::Effect;
use trefoilgauge::fleet::Event;
use trefoilgauge::fleet::event::Held;
use trefoilgauge::fleet::event::OrderOutcome;
use trefoilgauge::fleet::event::Reading;
use trefoilgauge::fleet::event::Started;
use trefoilgauge::fleet::model::RunId;
use trefoilgauge::fleet::row::Row;
use trefoilgauge::fleet::token::order_token;
use trefoilgauge::prelude::*;

impl World {
    /// Carries out effects until none are left, and checks that no task runs twice.
    pub(super) fn run_effects(&mut self) {
        for _ in 0..100 {
            let output = self.scheduler.finish(self.now, WALL_MS + self.now);
            if output.rows.is_empty()
                && output.after_store.is_empty()
                && output.immediate.is_empty()
            {
                break;
            }
            for effect in output.immediate {
                self.execute(effect);
            }
            if self.store_down {
                self.held_back.push((output.rows, output.after_store));
            } else {
                self.commit(output.rows, output.after_store);
            }
            self.answer_holds();
        }
        if !self.store_down {
            self.store_learned();
        }
        self.assert_single();
    }

    fn store_learned(&mut self) {
        let learned = self.scheduler.take_learned(self.now, WALL_MS + self.now);
        let sizes = learned
            .iter()
            .map(|row| row.key.len() + row.value.len() + 8);
        self.learned.0 += learned.len();
        self.learned.1 += sizes.sum::<usize>();
        self.commit(learned, Vec::new());
    }

    pub(super) fn commit(&mut self, rows: Vec<Row>, gated: Vec<Effect>) {
        for row in rows {
            if row.value.is_empty() {
                self.rows.remove(&row.key);
            } else {
                self.rows.insert(row.key, row.value);
            }
        }
        for effect in gated {
            self.execute(effect);
        }
    }

    fn execute(&mut self, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::Reply { call, reply } => {
                self.replies.insert(call, reply);
            }
            Effect::EndsStored { at, born, number } => {
                self.scheduler
                    .step(now, Event::EndsStored { at, born, number });
            }
            Effect::Advise {
                step,
                upstreams,
                call_ms,
            } => self.advisor.ask(now, step, upstreams, call_ms),
            Effect::ListMachines => {
                let event = Event::Machines(self.cloud.list());
                self.scheduler.step(now, event);
            }
            Effect::TakeDown { machine, wave } => {
                let (answer, gone) = self.cloud.take_down(now, &machine, wave);
                if let Some(gone) = gone {
                    let fake = self.upstreams.get_mut(&gone).unwrap();
                    fake.leaves = Some(now);
                    fake.advance(now);
                    self.scheduler.step(now, Event::Unlisted(vec![gone]));
                }
                let event = Event::Downed {
                    machine,
                    wave,
                    answer,
                };
                self.scheduler.step(now, event);
            }
            Effect::Announce { wave, completed } => {
                self.announced.push((wave, completed));
                let event = Event::Announced {
                    wave,
                    completed,
                    stored: true,
                };
                self.scheduler.step(now, event);
            }
            Effect::ClosureStored { job } => self.scheduler.step(now, Event::ClosureStored(job)),
            Effect::Resign { why } => panic!("resigned: {why}"),
            Effect::Start { at, run, .. } if !self.scheduler.may_send_start(now, &at, &run) => {}
            Effect::Start {
                at,
                life,
                run,
                until_ms,
                ticket,
                ..
            } => {
                let fenced = !self.accepts(&at, life);
                self.start(&at, run, until_ms, &ticket, fenced);
            }
            Effect::Stop { at, life, run, .. } => {
                let fenced = !self.accepts(&at, life);
                self.stop(&at, run, fenced);
            }
            Effect::Pace {
                at, run, percent, ..
            } => {
                self.paces += 1;
                let lost = std::mem::take(&mut self.lose_pace);
                let fake = self.upstreams.get_mut(&at).unwrap();
                if let Some(running) = fake.running.get_mut(&run.task).filter(|_| !lost) {
                    running.pace = percent;
                }
                let answer = if lost {
                    OrderOutcome::Silent
                } else {
                    OrderOutcome::Yes
                };
                self.scheduler.step(now, Event::Paced { at, run, answer });
            }
            Effect::Hold {
                at,
                life,
                until_ms,
                seen,
                wait_ms,
                mark,
                ..
            } => {
                let fenced = self.upstreams.contains_key(&at) && !self.accepts(&at, life);
                let Some(fake) = self.upstreams.get_mut(&at) else {
                    return;
                };
                fake.renewals += 1;
                let failed = match fake.behaviour {
                    Behaviour::Silent | Behaviour::Down => Some(Held::Silent),
                    Behaviour::Replaced => Some(Held::OtherLife),
                    _ if fenced => Some(Held::Fenced),
                    _ => None,
                };
                if let Some(answer) = failed {
                    let event = Event::Held {
                        at,
                        mark,
                        answer,
                        clock: None,
                    };
                    self.scheduler.step(now, event);
                    return;
                }
                fake.extend(now, until_ms);
                fake.acknowledge(seen);
                fake.holds.push((mark, now + wait_ms));
            }
        }
    }

    /// Returns whether the process that is reached at an upstream carries out orders of the leader for
    /// this life of it.
    fn accepts(&mut self, at: &Name, life: u64) -> bool {
        let token = order_token(self.epoch, life);
        let fake = self.upstreams.get_mut(at).unwrap();
        let reached = !matches!(
            fake.behaviour,
            Behaviour::Silent | Behaviour::Down | Behaviour::Replaced
        );
        !reached || fake.accepts(token)
    }

    fn start(&mut self, at: &Name, run: RunId, until_ms: u64, ticket: &str, fenced: bool) {
        let now = self.now;
        // Only jobs of the queue `guarded` need advice.
        let needs_advice = self.guarded.contains(&run.task.job);
        let fake = self.upstreams.get_mut(at).unwrap();
        let step = run.task.step_id();
        let unadvised =
            needs_advice && !advisor::is_valid(now, ticket, &step, at, fake.started_at());
        self.unadvised += u32::from(unadvised);
        let need = self.needs[&run.task.job][run.task.step as usize];
        let work = self.work_ms.get(&*run.task.job).copied();
        let work = work.unwrap_or(1_000);
        let work = match self.worked.get(&run.task) {
            Some(worked) => work.saturating_sub(*worked) + timing().restore_ms,
            None => work,
        };
        let barred = fake.barred.get(&run.task).is_some_and(|n| *n >= run.number);
        let answer = match fake.behaviour {
            Behaviour::Silent => Started::Silent,
            Behaviour::Down => Started::Unsent,
            Behaviour::Unwell => Started::Unwell,
            Behaviour::Replaced => Started::OtherLife,
            _ if fenced => Started::Fenced,
            _ if unadvised => Started::Unadvised,
            _ if barred => Started::Barred,
            behaviour => {
                let before = fake.running.get(&run.task).map(|run| run.number);
                let again = before.is_some_and(|number| number != run.number);
                assert!(!again, "{run:?} starts while run {before:?} is at work");
                let first = before.is_none();
                if first {
                    self.begun.push(Begun {
                        run: run.clone(),
                        at: at.clone(),
                        time: now,
                    });
                }
                let dies = self.crashes.after_ms == 0 && self.crashes.is_deadly(&run.task);
                fake.extend(now, until_ms);
                let end = if behaviour == Behaviour::Failing {
                    now + 100
                } else {
                    now + work * fake.time_percent / 100
                };
                let started = Running {
                    number: run.number,
                    start: now,
                    worked: end,
                    end,
                    pace: 100,
                    need,
                    stopping: false,
                };
                fake.running.insert(run.task.clone(), started);
                if !fake.used().fits(&fake.listing.room) {
                    self.overfull.push(Begun {
                        run: run.clone(),
                        at: at.clone(),
                        time: now,
                    });
                }
                if self.gangs.contains(&run.task.job) {
                    self.end_together(&run);
                }
                if dies {
                    self.crash(at);
                    Started::Silent
                } else if behaviour == Behaviour::ReplyLost && first {
                    Started::Silent
                } else {
                    Started::Yes
                }
            }
        };
        if self.upstreams[at].stalled {
            return;
        }
        let clock = (answer != Started::Silent).then_some(Reading {
            clock_ms: self.upstreams[at].clock(now),
            at: now,
        });
        let event = Event::Started {
            at: at.clone(),
            run,
            answer,
            clock,
        };
        self.scheduler.step(now, event);
    }

    /// Lets the members of a gang end with the slowest of them.
    fn end_together(&mut self, run: &RunId) {
        let all = self
            .upstreams
            .values_mut()
            .flat_map(|fake| &mut fake.running);
        let members = all.filter(|(task, running)| {
            task.step_id() == run.task.step_id() && running.number == run.number
        });
        let members: Vec<&mut Running> = members.map(|(_, running)| running).collect();
        let end = members.iter().map(|running| running.worked).max();
        for running in members {
            running.end = end.unwrap_or(running.end);
        }
    }

    fn stop(&mut self, at: &Name, run: RunId, fenced: bool) {
        let now = self.now;
        let fake = self.upstreams.get_mut(at).unwrap();
        let lost = fake.lost_stops > 0;
        fake.lost_stops = fake.lost_stops.saturating_sub(1);
        let answer = match fake.behaviour {
            Behaviour::Silent | Behaviour::Down => OrderOutcome::Silent,
            _ if lost => OrderOutcome::Silent,
            Behaviour::Replaced => OrderOutcome::OtherLife,
            _ if fenced => OrderOutcome::Fenced,
            _ => {
                let running = fake.running.get(&run.task).filter(|known| !known.stopping);
                if let Some(running) = running
                    && self.resuming.contains(&*run.task.job)
                {
                    let restored = self
                        .worked
                        .get(&run.task)
                        .map_or(0, |_| timing().restore_ms);
                    let done = (now - running.start).saturating_sub(restored);
                    *self.worked.entry(run.task.clone()).or_default() += done;
                }
                fake.stop(now, &run);
                OrderOutcome::Yes
            }
        };
        let event = Event::Stopped {
            at: at.clone(),
            run,
            answer,
            clock: None,
        };
        self.scheduler.step(now, event);
    }

    pub(super) fn advance_upstreams(&mut self) {
        let back = self.cloud.bring_up(self.now);
        for id in &back {
            let rack = id[2..3].parse().unwrap();
            self.upstreams
                .insert(id.clone(), FakeUpstream::new(id, rack));
        }
        if !back.is_empty() {
            self.list();
        }
        for fake in self.upstreams.values_mut() {
            fake.advance(self.now);
        }
        self.advance_crashes();
    }

    pub(super) fn answer_holds(&mut self) {
        let now = self.now;
        let mut events = Vec::new();
        for (at, fake) in &mut self.upstreams {
            if fake.stalled {
                continue;
            }
            let silent = fake.behaviour == Behaviour::Silent;
            let ended = !fake.ended.is_empty();
            let due = |(_, until): &mut (u64, u64)| match silent {
                true => *until + HOLD_TIMEOUT_MS <= now,
                false => ended || *until <= now,
            };
            let marks: Vec<(u64, u64)> = fake.holds.extract_if(.., due).collect();
            for (mark, _) in marks {
                let (answer, clock) = if silent {
                    (Held::Silent, None)
                } else {
                    let clock_ms = fake.clock(now);
                    let clock = Reading { clock_ms, at: now };
                    (Held::Report(fake.report(now)), Some(clock))
                };
                events.push(Event::Held {
                    at: at.clone(),
                    mark,
                    answer,
                    clock,
                });
            }
        }
        for event in events {
            self.scheduler.step(now, event);
        }
    }
}
