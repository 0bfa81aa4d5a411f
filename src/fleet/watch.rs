//! Checks live runs at intervals: expired leases, stops without effect, and renewals that are due.

use super::effect::Effect;
use super::ends::Proof;
use super::scheduler::Scheduler;
use super::scheduler::position_of;
use super::task::Stage;
use super::timing::END_POLL_MS;
use super::upstream::Renewal;
use crate::prelude::*;

impl Scheduler {
    /// Settles runs whose leases have expired, and repeats stops that had no effect yet; also
    /// advances maintenance and moves work off upstreams that are about to leave.
    pub(super) fn watch_runs(&mut self, now: u64) {
        if !self.cadence.take_watch(now) {
            return;
        }
        self.advance_waves(now);
        self.evacuate(now);
        let expired: Vec<Name> = self
            .upstreams
            .iter()
            .filter(|(_, up)| !up.runs.is_empty() && up.leases_end() <= now)
            .filter(|(_, up)| up.is_silent() || up.listing.addr.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for at in expired {
            log::warn!(
                "TG1509 upstream={at} unreachable until all leases expired; settling its runs"
            );
            self.settle_all(now, &at, Proof::Expired);
        }
        for (at, run, age_ms) in self.unanswered.due(now) {
            // A live run is stopped only once a report has shown that it is not there: its order may
            // have been repeated to the present process.
            if self
                .live_run(&at, &run)
                .is_some_and(|live| live.stage != Stage::Stopping)
            {
                continue;
            }
            log::info!(
                "TG1519 job={} step={} index={} run={} upstream={at} barred: an order to start it got no response order_age_ms={age_ms} born={}",
                run.task.job,
                run.task.step,
                run.task.index,
                run.number,
                self.upstreams.get(&at).map_or(0, |up| up.listing.born)
            );
            self.send_stop(&at, run);
        }
        let mut unanswered = Vec::new();
        let mut unreported = Vec::new();
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
                    None => unanswered.push((at.clone(), run.clone())),
                    Some(_) => unreported.push(at.clone()),
                }
            }
        }
        for (at, run) in unanswered {
            if let Some(live) = self.live_run(&at, &run) {
                live.progress_at = now;
                // Doubling intervals keep the log short while an upstream is silent for long.
                if live.stops > 1 && live.stops.is_power_of_two() {
                    log::info!(
                        "TG1623 job={} step={} index={} run={} upstream={at} born={} is still to stop: orders={} unanswered, the first {} ms ago",
                        run.task.job,
                        run.task.step,
                        run.task.index,
                        run.number,
                        live.born,
                        live.stops,
                        now.saturating_sub(live.stop_at)
                    );
                }
            }
            self.send_stop(&at, run);
        }
        for at in unreported {
            self.request_report(&at);
        }
    }

    /// Renews the leases of upstreams with runs, acknowledges ends, and polls silent upstreams.
    pub(super) fn renew(&mut self, now: u64) {
        let all = self.cadence.take_renew(now);
        let due: Vec<Name> = if all {
            self.touched.clear();
            self.upstreams.keys().cloned().collect()
        } else {
            std::mem::take(&mut self.touched).into_iter().collect()
        };
        for at in due {
            let Some(upstream) = self.upstreams.get_mut(&at) else {
                continue;
            };
            if upstream.report_at.is_some_and(|at| at <= now) {
                upstream.report_at = None;
                upstream.report_wanted |= !upstream.runs.is_empty();
            }
            match upstream.renewal(now, &self.timing) {
                Renewal::Drop => {
                    self.upstreams.remove(&at);
                }
                Renewal::None => {}
                Renewal::Send { until_ms, wait_ms } => {
                    self.mark += 1;
                    upstream.renewal_mark = self.mark;
                    let effect = Effect::Hold {
                        mark: self.mark,
                        addr: upstream.listing.addr.clone(),
                        life: upstream.life,
                        seen: upstream.acknowledging,
                        at,
                        until_ms,
                        wait_ms,
                    };
                    self.out.immediate.push(effect);
                }
            }
        }
    }
}
