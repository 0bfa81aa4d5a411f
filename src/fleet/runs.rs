//! Tracks runs from the order to start until it is certain that they have ended.
//!
//! A task starts again only when its last run is settled: the upstream reported its end, or
//! reports no such run after it responded to an order for it, the upstream's process is gone, or
//! every lease has expired.

use super::effect::Effect;
use super::ends::Proof;
use super::ends::record_position;
use super::event::Held;
use super::event::OrderOutcome;
use super::event::Report;
use super::event::RunProgress;
use super::event::Started;
use super::gauge;
use super::model::RunId;
use super::scheduler::Scheduler;
use super::scheduler::position_of;
use super::scheduler::run_id;
use super::task::LiveRun;
use super::task::Stage;
use super::task::TaskPosition;
use super::timing::DECLINE_BACKOFF_MS;
use super::timing::END_POLL_MS;
use super::timing::MAX_MISSES;
use super::timing::MAX_START_TRIES;
use super::timing::RETRY_MS;
use crate::prelude::*;

/// The longest wait before a silent upstream is polled again, as a multiple of the first wait.
const MAX_BACKOFF: u32 = 4;

impl Scheduler {
    /// Finds a run if it is live at this upstream.
    pub(super) fn live_run(&mut self, at: &Name, run: &RunId) -> Option<&mut LiveRun> {
        let job = self.jobs.get_mut(&run.task.job)?;
        let live = job.task_mut(position_of(&run.task))?.live.as_mut()?;
        (live.number == run.number && live.at == *at).then_some(live)
    }

    /// Handles the response to an order to start.
    pub(super) fn started(&mut self, now: u64, at: &Name, run: &RunId, answer: Started) {
        gauge::started(answer);
        if answer == Started::Silent {
            let born = self.upstreams.get(at).map_or(0, |up| up.listing.born);
            // A run that is being stopped may have been stopped at an earlier process only.
            let told = self
                .live_run(at, run)
                .is_some_and(|live| live.stage != Stage::Stopping || live.born == born);
            if told {
                self.unanswered.add(now, at, run);
            } else {
                self.unanswered.add_barred(now, at, run);
            }
        }
        let mark = self.mark;
        let Some(live) = self.live_run(at, run) else {
            return;
        };
        live.silent |= answer == Started::Silent;
        if live.stage != Stage::Sending {
            return;
        }
        let first = live.tries <= 1;
        let tries = live.tries;
        match answer {
            Started::Yes => {
                live.stage = Stage::Running;
                live.confirmed = true;
                live.answer_mark = Some(mark);
                live.began = Some(now);
                live.progress_at = now;
                live.saved_at = now;
                self.advice.reward(&run.task.step_id());
                self.watch_speed(now, run);
                self.mark_begun(&run.task.job);
                return;
            }
            Started::Fenced if self.was_sent_in_present_life(at, run) => {
                self.resign(format!("upstream {at} has seen a higher token"));
                return;
            }
            _ => {}
        }
        log::info!(
            "TG1603 job={} step={} index={} run={} upstream={at} start={answer:?} tries={tries}",
            run.task.job,
            run.task.step,
            run.task.index,
            run.number
        );
        match answer {
            Started::Unsent if first => self.start_declined(now, at, run, answer, first),
            Started::Silent | Started::Unsent if tries < MAX_START_TRIES => {
                self.send_start(now, at, run);
            }
            Started::Silent | Started::Unsent | Started::Barred => self.stop_gang(now, run),
            // Its present process refuses what was meant for an earlier one.
            Started::Fenced if tries < MAX_START_TRIES => self.send_start(now, at, run),
            Started::Fenced => self.stop_gang(now, run),
            Started::OtherLife => {
                if !self.was_sent_to_present(at, run) {
                    self.send_start(now, at, run);
                    return;
                }
                if first {
                    self.settle(now, run, Proof::Declined);
                }
                self.process_gone(now, at);
            }
            Started::Unadvised => {
                self.advice.discard(&run.task.step_id(), at);
                if first {
                    self.settle(now, run, Proof::Declined);
                }
                self.stop_gang(now, run);
            }
            _ => self.start_declined(now, at, run, answer, first),
        }
    }

    /// Gives the run up that an upstream does not start, and the upstream no new work for a while;
    /// `first`: no other order to start the run was sent.
    fn start_declined(&mut self, now: u64, at: &Name, run: &RunId, answer: Started, first: bool) {
        let pause_ms = if answer == Started::Full {
            DECLINE_BACKOFF_MS
        } else {
            2 * DECLINE_BACKOFF_MS
        };
        if let Some(upstream) = self.upstreams.get_mut(at) {
            upstream.block_until(now + pause_ms);
            if matches!(answer, Started::Late | Started::Unsent) {
                upstream.suspect(now);
            }
        }
        if first {
            self.settle(now, run, Proof::Declined);
        }
        self.stop_gang(now, run);
    }

    fn mark_begun(&mut self, id: &Name) {
        if let Some(job) = self.jobs.get_mut(id)
            && !job.begun
        {
            job.begun = true;
            self.dirty.insert(id.clone());
        }
    }

    /// Stops a run, or all runs of the gang that it belongs to.
    pub(super) fn stop_gang(&mut self, now: u64, run: &RunId) {
        self.stop_run_or_gang(now, &run.task.job, position_of(&run.task));
    }

    /// Orders a live run to stop.
    pub(super) fn stop(&mut self, id: &Name, position: TaskPosition, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(live) = job.task_mut(position).and_then(|task| task.live.as_mut()) else {
            return;
        };
        if live.stage == Stage::Stopping {
            return;
        }
        live.stage = Stage::Stopping;
        live.stop_at = now;
        live.answer_mark = None;
        live.progress_at = now;
        let run = run_id(id, position, live.number);
        let at = live.at.clone();
        if let Some(upstream) = self.upstreams.get_mut(&at) {
            upstream.mark_stopping(&run);
        }
        self.send_stop(&at, run);
    }

    /// Returns whether the last order about a run was sent after the present process of its
    /// upstream became known. If another process responded to it, the present one is gone; if not,
    /// the response tells nothing about it.
    pub(super) fn was_sent_to_present(&mut self, at: &Name, run: &RunId) -> bool {
        let sent = self.live_run(at, run).map(|live| live.order_mark);
        let known = self.upstreams.get(at).map(|up| up.process_mark);
        sent.is_some() && sent >= known
    }

    /// Returns after how many restarts the present process of an upstream became known.
    pub(super) fn life_of(&self, at: &Name) -> u64 {
        self.upstreams.get(at).map_or(0, |upstream| upstream.life)
    }

    /// Returns whether the last order about a run carries the token of the present process of its
    /// upstream. If not, that process refuses it although no other VM leads.
    fn was_sent_in_present_life(&mut self, at: &Name, run: &RunId) -> bool {
        let life = self.life_of(at);
        self.live_run(at, run)
            .is_some_and(|live| live.order_life == life)
    }

    /// Handles that an upstream refuses an order to stop or to pace a run, as it has seen a higher
    /// token.
    pub(super) fn refused(&mut self, at: &Name, run: &RunId) {
        if self.was_sent_in_present_life(at, run) {
            self.resign(format!("upstream {at} has seen a higher token"));
        } else {
            self.request_report(at);
        }
    }

    pub(super) fn send_stop(&mut self, at: &Name, run: RunId) {
        let mark = self.mark;
        let life = self.life_of(at);
        if let Some(live) = self.live_run(at, &run) {
            live.order_mark = mark;
            live.order_life = life;
            live.stops += 1;
        }
        let Some(upstream) = self.upstreams.get(at) else {
            return;
        };
        if upstream.listing.addr.is_empty() {
            return;
        }
        self.out.immediate.push(Effect::Stop {
            at: at.clone(),
            addr: upstream.listing.addr.clone(),
            life,
            run,
        });
    }

    /// Handles the response to an order to stop.
    pub(super) fn stopped(&mut self, now: u64, at: &Name, run: &RunId, answer: OrderOutcome) {
        match answer {
            OrderOutcome::Fenced => self.refused(at, run),
            OrderOutcome::OtherLife => {
                if self.was_sent_to_present(at, run) {
                    self.process_gone(now, at);
                }
            }
            OrderOutcome::Yes => {
                self.unanswered.barred(at, run);
                let mark = self.mark;
                if let Some(live) = self.live_run(at, run) {
                    live.answer_mark = Some(mark);
                    self.request_report(at);
                }
            }
            OrderOutcome::Silent => {
                if let Some(live) = self.live_run(at, run) {
                    live.progress_at = now;
                }
            }
        }
    }

    /// Requests a report of `at` at once.
    pub(super) fn request_report(&mut self, at: &Name) {
        if let Some(upstream) = self.upstreams.get_mut(at) {
            upstream.report_wanted = true;
            self.touched.insert(at.clone());
        }
    }

    /// Handles the response to the renewal that carried `mark`.
    pub(super) fn held(&mut self, now: u64, at: &Name, mark: u64, answer: Held) {
        let Some(upstream) = self.upstreams.get_mut(at) else {
            return;
        };
        upstream.holds = upstream.holds.saturating_sub(1);
        self.touched.insert(at.clone());
        if upstream.is_outdated(mark, &answer) {
            log::info!(
                "TG1518 upstream={at} response about an earlier process ignored mark={mark} process_mark={} born={}",
                upstream.process_mark,
                upstream.listing.born
            );
            return;
        }
        match answer {
            Held::Fenced => self.resign(format!("upstream {at} has seen a higher token")),
            Held::OtherLife => self.process_gone(now, at),
            Held::Silent => {
                upstream.misses += 1;
                upstream.retry_at = now + RETRY_MS * u64::from(upstream.misses.min(MAX_BACKOFF));
                if upstream.misses == MAX_MISSES {
                    log::warn!(
                        "TG1505 upstream={at} silent misses={} runs={} leases_end_in_ms={}",
                        upstream.misses,
                        upstream.runs.len(),
                        upstream.leases_end().saturating_sub(now)
                    );
                }
            }
            Held::Report(report) => {
                self.inherited.record_report(at);
                upstream.note_answer(mark);
                if upstream.misses > 0 {
                    log::info!("TG1506 upstream={at} answers again");
                    upstream.misses = 0;
                    self.changed = true;
                }
                self.reported(now, at, mark, report);
            }
        }
    }

    fn reported(&mut self, now: u64, at: &Name, mark: u64, report: Report) {
        let present = self.mark;
        let Some(upstream) = self.upstreams.get_mut(at) else {
            return;
        };
        let known = upstream.listing.born;
        if report.born != 0 && report.born != known {
            if known != 0 {
                log::warn!(
                    "TG1507 upstream={at} restarted born={} before={known} runs={} ends_handled={} ends_stored={} misses={}",
                    report.born,
                    upstream.runs.len(),
                    upstream.handled,
                    upstream.seen,
                    upstream.misses
                );
                upstream.reset_process(present);
                self.lives += 1;
                upstream.begin_life(self.lives, present);
                upstream.foreign_end = self.restarted.notice(at, now, &self.timing);
                self.unanswered.replaced(at);
                self.cadence.watch_now(now);
            }
            upstream.listing.born = report.born;
        }
        let fresh = mark > upstream.settled_mark;
        let handled = upstream.handled;
        let born = upstream.listing.born;
        self.check_losses_reported(now, at, born);
        let last = report.ended.iter().map(|end| end.number).max();
        for end in report.ended.iter().filter(|end| end.number > handled) {
            self.ended(now, at, end);
        }
        if let Some(last) = last.filter(|last| *last > handled)
            && let Some(upstream) = self.upstreams.get_mut(at)
        {
            upstream.handled = last;
            self.out.after_store.push(Effect::EndsStored {
                at: at.clone(),
                born: upstream.listing.born,
                number: last,
            });
        }
        for work in &report.running {
            self.at_work(now, at, work, fresh);
        }
        self.pace(now, at, &report);
        self.settle_missing(now, at, mark, &report);
    }

    /// Handles that the ends up to `number` of the process that started at `born` are stored.
    pub(super) fn ends_stored(&mut self, at: Name, born: u64, number: u64) {
        let Some(upstream) = self.upstreams.get_mut(&at) else {
            return;
        };
        if upstream.listing.born != born {
            log::info!(
                "TG1517 upstream={at} ends up to {number} of an earlier process are stored born={born} now={}",
                upstream.listing.born
            );
            return;
        }
        upstream.seen = upstream.seen.max(number);
        self.touched.insert(at);
    }

    /// Handles that an upstream reports a run as active; `fresh`: the report was requested after a
    /// run there was last settled.
    fn at_work(&mut self, now: u64, at: &Name, work: &RunProgress, fresh: bool) {
        // Not the mark of this report: another one that was requested after it may have been made
        // before the run began, and may still be under way.
        let mark = self.mark;
        let born = self.upstreams.get(at).map_or(0, |up| up.listing.born);
        let Some(live) = self.live_run(at, &work.run) else {
            if fresh || self.is_orphan(&work.run) {
                log::warn!(
                    "TG1513 job={} run={} upstream={at} is running but was given up; stopping it",
                    work.run.task.job,
                    work.run.number
                );
                self.send_stop(at, work.run.clone());
                // The order may be lost, and nothing else may need a report.
                if let Some(upstream) = self.upstreams.get_mut(at) {
                    upstream.look_at = Some(now + END_POLL_MS);
                }
            }
            return;
        };
        let before = std::mem::replace(&mut live.born, born);
        let moved = before != born;
        // An earlier process may have responded to the order to stop.
        let stop_again =
            moved && live.stage == Stage::Stopping && live.answer_mark.take().is_some();
        if stop_again {
            live.progress_at = now;
        }
        live.confirmed = true;
        if live.percent != work.percent {
            live.percent = work.percent;
            if live.stage != Stage::Stopping {
                live.progress_at = now;
            }
        }
        if live.stage == Stage::Sending {
            live.stage = Stage::Running;
            live.answer_mark = Some(mark);
            self.mark_begun(&work.run.task.job);
        }
        if moved {
            self.dirty.insert(work.run.task.job.clone());
        }
        if stop_again {
            log::info!(
                "TG1622 job={} step={} index={} run={} upstream={at} is ordered again to stop: an earlier process responded to the order born={born} before={before}",
                work.run.task.job,
                work.run.task.step,
                work.run.task.index,
                work.run.number
            );
            self.send_stop(at, work.run.clone());
        }
        self.reset_losses(now, &work.run);
        self.learn_speed(now, at, work);
        self.save(now, &work.run, &work.saved);
    }

    /// Keeps the checkpoint of a run; a gang's is kept at its first task.
    pub(super) fn save(&mut self, now: u64, run: &RunId, saved: &str) {
        let Some(job) = self
            .jobs
            .get_mut(&run.task.job)
            .filter(|_| !saved.is_empty())
        else {
            return;
        };
        let position = position_of(&run.task);
        let record = record_position(job, position);
        let Some(task) = job.task_mut(record).filter(|task| task.saved != saved) else {
            return;
        };
        saved.clone_into(&mut task.saved);
        if let Some(live) = job.task_mut(position).and_then(|task| task.live.as_mut()) {
            live.saved_at = now;
        }
    }

    /// Returns whether an upstream's run that is not live here must be stopped; a run that has just
    /// ended need not be.
    fn is_orphan(&self, run: &RunId) -> bool {
        let Some(job) = self.jobs.get(&run.task.job) else {
            return true;
        };
        let Some(task) = job.task(position_of(&run.task)) else {
            return job.turns.contains_key(&run.task.turn);
        };
        !task.done
            && task
                .live
                .as_ref()
                .is_some_and(|live| live.number > run.number)
    }

    /// Asks the host to give up the lead.
    pub(super) fn resign(&mut self, why: String) {
        self.out.immediate.push(Effect::Resign { why });
    }
}
