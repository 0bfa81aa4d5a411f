//! Orders on their way to upstreams, and what happens when they arrive.

use super::checks::Place;
use super::checks::Start;
use super::hazards::Hazard;
use super::orders::Answer;
use super::orders::Body;
use super::orders::Kind;
use super::orders::Order;
use super::random::hash;
use super::world::Action;
use super::world::WALL_MS;
use super::world::World;
use std::ops::Range;
use trefoilgauge::fleet::event::Held;
use trefoilgauge::fleet::event::OrderOutcome;
use trefoilgauge::fleet::model::RunId;
use trefoilgauge::fleet::token::EPOCH_STEP;
use trefoilgauge::fleet::token::order_token;
use trefoilgauge::prelude::*;

/// How late an order may be carried out, in milliseconds.
const LATE_MS: Range<u64> = 2_000..12_000;

impl World {
    /// Sends an order to an upstream at its address, in this life of it.
    pub(crate) fn send(&mut self, leader: usize, to: (Name, Name, u64), kind: Kind) {
        let (at, addr, life) = to;
        let now = self.now;
        self.last_order += 1;
        let epoch = self.leaders[leader].epoch;
        let token = order_token(epoch, life);
        let key = hash((epoch / EPOCH_STEP, &at, kind.run(), now));
        let mut order = Order {
            id: self.last_order,
            key,
            leader,
            token,
            at,
            addr,
            kind,
            sent: now,
            late: false,
        };
        let lost = self.strikes(Hazard::LostOrder, key);
        let late = self.strikes(Hazard::LateOrder, key);
        let slot = self.slot_of(&order.addr);
        let cut = slot.is_some_and(|slot| self.is_cut(slot, leader));
        order.late = late;
        self.note_sent(&order, lost || cut && !late);
        let limit = order.limit_ms();
        self.after(limit, Action::Overdue(leader, order.id));
        self.leaders[leader].pending.insert(order.id, order.clone());
        let mut draw = self.draw(("travel", key));
        let ms = if late {
            draw.range(LATE_MS.start, LATE_MS.end)
        } else {
            draw.range(1, 6)
        };
        if late || !(lost || cut) {
            self.after(ms, Action::Arrive(order));
        }
    }

    fn note_sent(&mut self, order: &Order, lost: bool) {
        let fate = match (order.late, lost) {
            (true, _) => " (late)",
            (false, true) => " (lost)",
            (false, false) => "",
        };
        let token = order.token;
        let (run, text) = match &order.kind {
            Kind::Start { run, until_ms, .. } => {
                let number = run.number;
                (run, format!("start of run {number} until {until_ms}"))
            }
            Kind::Stop { run } => (run, format!("stop of run {}", run.number)),
            Kind::Hold { .. } => return,
        };
        let text = format!("leader {token} sends {text}{fate}");
        self.journal.note_task(self.now, &run.task, &order.at, text);
    }

    fn slot_of(&self, addr: &Name) -> Option<usize> {
        self.slots.iter().position(|slot| slot.addr == *addr)
    }

    /// Handles an order that arrives at its address.
    pub(crate) fn arrive(&mut self, order: Order) {
        let now = self.now;
        let Some(slot) = self.slot_of(&order.addr) else {
            return;
        };
        if self.is_cut(slot, order.leader) {
            return;
        }
        self.advance(slot);
        let outlives = self.hazards.of(Hazard::Outlive) > 0.0;
        let stop_ms = self.draw(("stop", order.key)).range(1, 200);
        let Some(process) = &mut self.slots[slot].process else {
            let ms = self.draw(("refused", order.key)).range(1, 4);
            self.after(
                ms,
                Action::Answered(order.leader, order.id, order.silence()),
            );
            return;
        };
        if order.late && !outlives && process.born > WALL_MS + order.sent {
            return;
        }
        if process.id != order.at {
            let body = order.misdirected();
            self.respond(&order, slot, body);
            return;
        }
        if order.token < process.token {
            let body = order.fenced();
            self.respond(&order, slot, body);
            return;
        }
        process.token = order.token;
        match order.kind.clone() {
            Kind::Start {
                run,
                until_ms,
                saved,
                text,
            } => {
                let body = self.begin(slot, &order, &run, &text, until_ms, &saved);
                self.respond(&order, slot, body);
            }
            Kind::Stop { run } => {
                let there = process.stop(now, &run, stop_ms);
                let born = process.born - WALL_MS;
                let key = (run.task.clone(), run.number);
                let gang = there && process.runs.get(&key).is_some_and(|run| run.work.gang);
                let text = format!("stop of run {} at born={born} there={there}", run.number);
                self.journal.note_task(now, &run.task, &order.at, text);
                if gang {
                    self.break_gang(&key);
                }
                self.respond(&order, slot, Body::Outcome(OrderOutcome::Yes));
            }
            Kind::Hold {
                until_ms,
                seen,
                wait_ms,
                ..
            } => {
                if until_ms > 0 {
                    process.extend(now, until_ms);
                }
                self.acknowledge(slot, &order, seen);
                self.slots[slot].holds.push((order, now + wait_ms));
                if let Some(process) = &self.slots[slot].process {
                    let born = process.born;
                    self.after(wait_ms.max(1), Action::Check(slot, born));
                }
                self.answer_holds(slot);
            }
        }
        self.schedule_check(slot);
    }

    fn begin(
        &mut self,
        slot: usize,
        order: &Order,
        run: &RunId,
        text: &str,
        until_ms: u64,
        saved: &str,
    ) -> Body {
        let now = self.now;
        let job = self.jobs.iter().find(|job| job.id == run.task.job).unwrap();
        let work = job.work(run);
        let count = job.spec.steps[run.task.step as usize].count;
        let before = job.tasks().into_iter().filter(|task| {
            let after = &job.spec.steps[run.task.step as usize].after;
            after.contains(&task.step)
        });
        let early = before.filter(|task| !self.checks.is_done(task)).count();
        if early > 0 {
            let what = format!("run {} before {early} tasks are done", run.number);
            self.checks.report("ORDER", now, &run.task, what);
        }
        if text != job.spec.text {
            let what = format!("run {} has another text", run.number);
            self.checks.report("UNASKED", now, &run.task, what);
        }
        let (gang, deadly) = (work.gang, work.crash_ms.is_some());
        let room = self.slots[slot].room();
        let in_touch = !order.late && self.leaders[order.leader].is_in_touch(order.sent);
        let process = self.slots[slot].process.as_mut().unwrap();
        let (answer, begun) = process.start(now, run, work, until_ms, saved, &room);
        let born = process.born;
        let used = process.used();
        let unguarded = !process.guarded;
        let how = if begun { "begins" } else { "does not begin" };
        let text = format!(
            "run {} {how} at born={} token {} {answer:?}",
            run.number,
            born - WALL_MS,
            order.token
        );
        self.journal.note_task(now, &run.task, &order.at, text);
        if begun {
            let start = Start {
                time: now,
                sent: if order.late { 0 } else { order.sent },
                run: run.clone(),
                place: Place {
                    at: order.at.clone(),
                    born,
                },
            };
            self.checks.started(start, gang, deadly);
            if unguarded && self.slots[slot].is_over(now, &used, in_touch) {
                let (used, room) = (used.accelerators, room.accelerators);
                let late = if order.late { ", order late" } else { "" };
                let what = format!("run {} brings it to {used} of {room}{late}", run.number);
                self.checks.report("LIMIT", now, &run.task, what);
            }
            if gang {
                self.join_gang(&(run.task.clone(), run.number), count);
            }
        }
        Body::Started(answer)
    }

    fn acknowledge(&mut self, slot: usize, order: &Order, seen: u64) {
        let now = self.now;
        let process = self.slots[slot].process.as_mut().unwrap();
        let born = process.born;
        let before = process.seen;
        let forgotten = process.forget(seen);
        if seen > before {
            let text = format!(
                "leader {} acknowledges ends up to {seen} at born={} late={}",
                order.token,
                born - WALL_MS,
                order.late
            );
            self.journal.note_at(now, &order.at, text);
        }
        let place = Place {
            at: order.at.clone(),
            born,
        };
        for listed in forgotten {
            let run = &listed.end.run;
            let counts = !listed.lapsed;
            let text = format!("end of run {} noted, counts={counts}", run.number);
            self.journal.note_task(now, &run.task, &order.at, text);
            if counts {
                self.checks.noted(now, &place, run);
            }
        }
    }

    /// Responds to the renewals at a place that need not wait longer.
    pub(crate) fn answer_holds(&mut self, slot: usize) {
        let now = self.now;
        let place = &mut self.slots[slot];
        let Some(process) = &place.process else {
            return;
        };
        let ended = !process.ended.is_empty();
        let due: Vec<(Order, u64)> = place
            .holds
            .extract_if(.., |(_, until)| ended || *until <= now)
            .collect();
        for (order, _) in due {
            let Some(process) = &self.slots[slot].process else {
                return;
            };
            let report = process.report(now);
            self.respond(&order, slot, Body::Held(Held::Report(report)));
        }
    }

    fn respond(&mut self, order: &Order, slot: usize, body: Body) {
        let now = self.now;
        let lost = self.strikes(Hazard::LostAnswer, order.key);
        let slow = self.strikes(Hazard::Overtake, order.key);
        let process = self.slots[slot].process.as_ref();
        let answer = Answer {
            body,
            clock_ms: process.map(|process| process.clock(now)),
        };
        if lost || order.late {
            return;
        }
        let mut draw = self.draw(("return", order.key));
        let ms = if slow {
            draw.range(20, 450)
        } else {
            draw.range(1, 6)
        };
        self.after(ms, Action::Answered(order.leader, order.id, answer));
    }
}
