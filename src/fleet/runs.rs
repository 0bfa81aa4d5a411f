//! Follows runs from the order to start until the end is proven.
//!
//! A task starts again only when its last run is settled: its end was listed, an upstream that
//! has barred it does not list it, the upstream's process is gone, or every lease has expired.

use super::effect::Effect;
use super::ends::keeper_of;
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
use super::upstream::Renewal;
use crate::prelude::*;

/// The time between two looks at all runs that wait for something, in milliseconds.
const WATCH_MS: u64 = 40;
/// The wait for a silent upstream grows up to so many times the first one.
const MAX_BACKOFF: u32 = 4;

impl Scheduler {
    pub(super) fn live_run(&mut self, at: &Name, run: &RunId) -> Option<&mut LiveRun> {
        let job = self.jobs.get_mut(&run.task.job)?;
        let live = job.task_mut(position_of(&run.task))?.live.as_mut()?;
        (live.number == run.number && live.at == *at).then_some(live)
    }

    /// Handles the response to an order to start.
    pub(super) fn started(&mut self, now: u64, at: &Name, run: &RunId, answer: Started) {
        gauge::started(answer);
        let mark = self.mark;
        let Some(live) = self.live_run(at, run) else {
            return;
        };
        if live.stage != Stage::Sending {
            return;
        }
        let first = live.tries <= 1;
        let tries = live.tries;
        match answer {
            Started::Yes => {
                live.stage = Stage::Running;
                live.answer_mark = Some(mark);
                live.progress_at = now;
                live.saved_at = now;
                self.begun(&run.task.job);
                return;
            }
            Started::Fenced => {
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
            Started::Silent if tries < MAX_START_TRIES => self.send_start(now, at, run),
            Started::Silent | Started::Barred => self.stop_gang(now, run),
            Started::OtherLife => self.process_gone(now, at),
            Started::Unadvised => {
                self.advice.discard(&run.task.step_id(), at);
                if first {
                    self.settle(now, run, None);
                }
                self.stop_gang(now, run);
            }
            _ => {
                let quiet = if answer == Started::Full {
                    DECLINE_BACKOFF_MS
                } else {
                    2 * DECLINE_BACKOFF_MS
                };
                if let Some(upstream) = self.upstreams.get_mut(at) {
                    upstream.block_until(now + quiet);
                    if answer == Started::Late {
                        upstream.doubt(now);
                    }
                }
                if first {
                    self.settle(now, run, None);
                }
                self.stop_gang(now, run);
            }
        }
    }

    /// Sends the order to start a run, or sends it again.
    pub(super) fn send_start(&mut self, now: u64, at: &Name, run: &RunId) {
        let lease_ms = self.timing.lease_ms();
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let text = job.text.clone();
        let keeper = keeper_of(job, position_of(&run.task));
        let saved = job
            .task(keeper)
            .map(|task| task.saved.clone())
            .unwrap_or_default();
        let Some(live) = job
            .task_mut(position_of(&run.task))
            .and_then(|task| task.live.as_mut())
        else {
            return;
        };
        live.tries += 1;
        let Some(upstream) = self.upstreams.get_mut(at) else {
            return;
        };
        let until_ms = upstream.grant(now, lease_ms);
        self.touched.insert(at.clone());
        self.out.after_store.push(Effect::Start {
            at: at.clone(),
            addr: upstream.listing.addr.clone(),
            run: run.clone(),
            text,
            until_ms,
            saved,
            ticket: self.advice.ticket(&run.task.step_id(), at),
        });
    }

    fn begun(&mut self, id: &Name) {
        if let Some(job) = self.jobs.get_mut(id)
            && !job.begun
        {
            job.begun = true;
            self.dirty.insert(id.clone());
        }
    }

    /// Stops a run, and with it the rest of its gang.
    pub(super) fn stop_gang(&mut self, now: u64, run: &RunId) {
        self.stop_run_or_gang(now, &run.task.job, position_of(&run.task));
    }

    /// Orders a live run to stop.
    pub(super) fn stop(&mut self, id: &Name, place: TaskPosition, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(live) = job.task_mut(place).and_then(|task| task.live.as_mut()) else {
            return;
        };
        if live.stage == Stage::Stopping {
            return;
        }
        live.stage = Stage::Stopping;
        live.answer_mark = None;
        live.progress_at = now;
        let run = run_id(id, place, live.number);
        let at = live.at.clone();
        if let Some(upstream) = self.upstreams.get_mut(&at) {
            upstream.mark_stopping(&run);
        }
        self.send_stop(&at, run);
    }

    fn send_stop(&mut self, at: &Name, run: RunId) {
        let Some(upstream) = self.upstreams.get(at) else {
            return;
        };
        if upstream.listing.addr.is_empty() {
            return;
        }
        self.out.immediate.push(Effect::Stop {
            at: at.clone(),
            addr: upstream.listing.addr.clone(),
            run,
        });
    }

    /// Handles the response to an order to stop.
    pub(super) fn stopped(&mut self, now: u64, at: &Name, run: &RunId, answer: OrderOutcome) {
        match answer {
            OrderOutcome::Fenced => self.resign(format!("upstream {at} has seen a higher token")),
            OrderOutcome::OtherLife => self.process_gone(now, at),
            OrderOutcome::Yes => {
                let mark = self.mark;
                if let Some(live) = self.live_run(at, run) {
                    live.answer_mark = Some(mark);
                    self.look(at);
                }
            }
            OrderOutcome::Silent => {
                if let Some(live) = self.live_run(at, run) {
                    live.progress_at = now;
                }
            }
        }
    }

    /// Makes a renewal of `at` due at once.
    fn look(&mut self, at: &Name) {
        if let Some(upstream) = self.upstreams.get_mut(at) {
            upstream.report_wanted = true;
            self.touched.insert(at.clone());
        }
    }

    /// Handles the response to the renewal of `mark`.
    pub(super) fn held(&mut self, now: u64, at: &Name, mark: u64, answer: Held) {
        let Some(upstream) = self.upstreams.get_mut(at) else {
            return;
        };
        upstream.holds = upstream.holds.saturating_sub(1);
        self.touched.insert(at.clone());
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
                        upstream.lease_end.saturating_sub(now)
                    );
                }
            }
            Held::Report(report) => {
                self.inherited.record_report(at);
                upstream.told(mark);
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
        let Some(upstream) = self.upstreams.get_mut(at) else {
            return;
        };
        let known = upstream.listing.born;
        if report.born != 0 && report.born != known {
            if known != 0 {
                log::warn!(
                    "TG1507 upstream={at} restarted born={} before={known}",
                    report.born
                );
                upstream.reborn();
            }
            upstream.listing.born = report.born;
        }
        let handled = upstream.handled;
        let last = report.ended.iter().map(|end| end.number).max();
        for end in report.ended.iter().filter(|end| end.number > handled) {
            self.ended(now, at, end);
        }
        if let Some(last) = last.filter(|last| *last > handled) {
            if let Some(upstream) = self.upstreams.get_mut(at) {
                upstream.handled = last;
            }
            self.out.after_store.push(Effect::EndsStored {
                at: at.clone(),
                number: last,
            });
        }
        for work in &report.running {
            self.at_work(now, at, work);
        }
        self.pace(now, at, &report);
        self.find_vanished(now, at, mark, &report);
    }

    fn at_work(&mut self, now: u64, at: &Name, work: &RunProgress) {
        // Not the mark of this report: another one that was asked for after it may have been made
        // before the run began, and be under way yet.
        let mark = self.mark;
        let Some(live) = self.live_run(at, &work.run) else {
            if self.is_foreign(&work.run) {
                log::warn!(
                    "TG1513 job={} run={} upstream={at} is at work though it was settled; stopping it",
                    work.run.task.job,
                    work.run.number
                );
                self.send_stop(at, work.run.clone());
            }
            return;
        };
        if live.percent != work.percent {
            live.percent = work.percent;
            if live.stage != Stage::Stopping {
                live.progress_at = now;
            }
        }
        if live.stage == Stage::Sending {
            live.stage = Stage::Running;
            live.answer_mark = Some(mark);
            self.begun(&work.run.task.job);
        }
        self.save(now, &work.run, &work.saved);
    }

    /// Keeps what a run has saved; of a gang, the first task keeps it for all.
    pub(super) fn save(&mut self, now: u64, run: &RunId, saved: &str) {
        let Some(job) = self
            .jobs
            .get_mut(&run.task.job)
            .filter(|_| !saved.is_empty())
        else {
            return;
        };
        let place = position_of(&run.task);
        let keeper = keeper_of(job, place);
        let Some(task) = job.task_mut(keeper).filter(|task| task.saved != saved) else {
            return;
        };
        saved.clone_into(&mut task.saved);
        if let Some(live) = job.task_mut(place).and_then(|task| task.live.as_mut()) {
            live.saved_at = now;
        }
    }

    /// Tells whether a run that is not live here is to be stopped: not when it has just ended.
    fn is_foreign(&self, run: &RunId) -> bool {
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

    /// Looks at runs that wait for something: expired leases, stops without a response.
    pub(super) fn watch_runs(&mut self, now: u64) {
        if now < self.next_watch {
            return;
        }
        self.next_watch = now + WATCH_MS;
        self.keep_up(now);
        self.evacuate(now);
        let expired: Vec<Name> = self
            .upstreams
            .iter()
            .filter(|(_, up)| !up.runs.is_empty() && up.lease_end <= now)
            .filter(|(_, up)| up.is_silent() || up.listing.addr.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for at in expired {
            log::warn!(
                "TG1509 upstream={at} unreachable until every lease expired; settling its runs"
            );
            self.settle_all(now, &at);
        }
        let mut again = Vec::new();
        let mut looks = Vec::new();
        for (at, upstream) in &self.upstreams {
            for run in upstream.stopping.keys() {
                let Some(live) = self
                    .jobs
                    .get(&run.task.job)
                    .and_then(|job| job.task(position_of(&run.task)))
                    .and_then(|task| task.live.as_ref())
                else {
                    continue;
                };
                if now < live.progress_at + END_POLL_MS {
                    continue;
                }
                match live.answer_mark {
                    None => again.push((at.clone(), run.clone())),
                    Some(_) => looks.push(at.clone()),
                }
            }
        }
        for (at, run) in again {
            if let Some(live) = self.live_run(&at, &run) {
                live.progress_at = now;
            }
            self.send_stop(&at, run);
        }
        for at in looks {
            self.look(&at);
        }
    }

    /// Renews the leases of upstreams that hold runs, acknowledges ends, and asks silent ones.
    pub(super) fn renew(&mut self, now: u64) {
        let all = now >= self.next_renew;
        let due: Vec<Name> = if all {
            self.next_renew = now + WATCH_MS;
            self.touched.clear();
            self.upstreams.keys().cloned().collect()
        } else {
            std::mem::take(&mut self.touched).into_iter().collect()
        };
        for at in due {
            let Some(upstream) = self.upstreams.get_mut(&at) else {
                continue;
            };
            match upstream.renewal(now, &self.timing) {
                Renewal::Drop => {
                    self.upstreams.remove(&at);
                }
                Renewal::None => {}
                Renewal::Send { until_ms, wait_ms } => {
                    self.mark += 1;
                    upstream.asked_at = self.mark;
                    let effect = Effect::Hold {
                        mark: self.mark,
                        addr: upstream.listing.addr.clone(),
                        seen: upstream.seen,
                        at,
                        until_ms,
                        wait_ms,
                    };
                    self.out.immediate.push(effect);
                }
            }
        }
    }

    pub(super) fn resign(&mut self, why: String) {
        self.out.immediate.push(Effect::Resign { why });
    }
}
