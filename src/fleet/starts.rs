//! Turns a placement into runs: reserves the resources and sends the orders to start.

use super::effect::Effect;
use super::ends::record_position;
use super::event::Started;
use super::gauge;
use super::model::RunId;
use super::scheduler::Scheduler;
use super::scheduler::position_of;
use super::scheduler::run_id;
use super::snapshot::Snapshot;
use super::task::LiveRun;
use super::task::Stage;
use super::task::TaskPosition;
use super::waiting::WaitingStep;
use crate::prelude::*;

/// The time after the start of an urgent gang at which its upstreams report, in milliseconds: soon
/// enough to start again in time if one of them is slow.
const EARLY_REPORT_MS: u64 = 300;

impl Scheduler {
    /// Starts a gang on the chosen candidates.
    pub(super) fn start_gang(
        &mut self,
        now: u64,
        snapshot: &mut Snapshot,
        wait: &WaitingStep,
        chosen: &[usize],
    ) {
        let pairs: Vec<(u32, usize)> = wait
            .tasks
            .iter()
            .copied()
            .zip(chosen.iter().copied())
            .collect();
        self.start(now, snapshot, wait, &pairs);
    }

    /// Begins the next run of each task and sends the order to start it; the members of a gang
    /// share one run number.
    pub(super) fn start(
        &mut self,
        now: u64,
        snapshot: &mut Snapshot,
        wait: &WaitingStep,
        pairs: &[(u32, usize)],
    ) {
        self.use_reservations(now, snapshot, wait, pairs);
        let Some(job) = self.jobs.get_mut(&wait.job) else {
            return;
        };
        if !wait.entitled {
            let priority = wait.queue.priority;
            self.shares.note_placed(now, &job.workspace, priority);
        }
        let step = &job.spec.steps[wait.step as usize];
        let need = step.need();
        let urgent = step.gang && wait.queue.priority == 0;
        let shares = step.fills || step.target_ms > 0;
        let position = |index| TaskPosition {
            turn: wait.turn,
            step: wait.step,
            index,
        };
        let last = pairs
            .iter()
            .filter_map(|(index, _)| Some(job.task(position(*index))?.runs))
            .max();
        let number = last.unwrap_or(0) + 1;
        let mut runs = Vec::with_capacity(pairs.len());
        for &(index, candidate) in pairs {
            let at = snapshot.candidates[candidate].name.clone();
            snapshot
                .racks
                .allocate(candidate, &mut snapshot.candidates[candidate], &need);
            if let Some(task) = job.task_mut(position(index)) {
                snapshot.candidates[candidate].endangered |= task.losses.is_suspect();
                task.runs = number;
                task.live = Some(LiveRun {
                    at: at.clone(),
                    born: self.upstreams.get(&at).map_or(0, |up| up.listing.born),
                    confirmed: false,
                    silent: false,
                    number,
                    stage: Stage::Sending,
                    since: now,
                    began: None,
                    answer_mark: None,
                    order_mark: 0,
                    order_life: 0,
                    tries: 0,
                    stops: 0,
                    stop_at: now,
                    percent: 0,
                    progress_at: now,
                    saved_at: now,
                    pace: Some(100),
                    pace_at: now,
                    seen: None,
                    speed: None,
                });
            }
            runs.push((at, run_id(&wait.job, position(index), number)));
        }
        gauge::placed(pairs.len(), now.saturating_sub(wait.since));
        if pairs.len() > 1 {
            let speeds = pairs.iter().map(|(_, at)| snapshot.candidates[*at].speed);
            log::info!(
                "TG1602 job={} turn={} step={} run={number} tasks={} placed at={:?} slow={} waited_ms={}",
                wait.job,
                wait.turn,
                wait.step,
                runs.len(),
                runs.iter().map(|(at, _)| &**at).collect::<Vec<_>>(),
                speeds.filter(|speed| speed.is_slow()).count(),
                now.saturating_sub(wait.since)
            );
        }
        self.set_reservation(wait, None);
        self.dirty.insert(wait.job.clone());
        for (at, run) in runs {
            if let Some(upstream) = self.upstreams.get_mut(&at) {
                upstream.reserve(run.clone(), need);
                upstream.mixed |= shares;
                upstream.report_wanted |= shares;
                if urgent {
                    upstream.report_at.get_or_insert(now + EARLY_REPORT_MS);
                }
            }
            self.send_start(now, &at, &run);
        }
    }

    /// Sends the order to start a run, or sends it again.
    pub(super) fn send_start(&mut self, now: u64, at: &Name, run: &RunId) {
        let lease_ms = self.timing.lease_ms();
        let life = self.life_of(at);
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let text = job.text.clone();
        let record = record_position(job, position_of(&run.task));
        let saved = job
            .task(record)
            .map(|task| task.saved.clone())
            .unwrap_or_default();
        let Some(live) = job
            .task_mut(position_of(&run.task))
            .and_then(|task| task.live.as_mut())
        else {
            return;
        };
        live.tries += 1;
        live.order_mark = self.mark;
        live.order_life = life;
        let Some(upstream) = self.upstreams.get_mut(at) else {
            return;
        };
        let until_ms = upstream.grant(now, lease_ms);
        self.touched.insert(at.clone());
        self.out.after_store.push(Effect::Start {
            at: at.clone(),
            addr: upstream.listing.addr.clone(),
            life,
            run: run.clone(),
            text,
            until_ms,
            saved,
            ticket: self.advice.ticket(&run.task.step_id(), at),
        });
    }

    /// Returns whether a start that waited for the store is still to be sent: its run was neither
    /// settled nor stopped meanwhile, the upstream still has room for all its runs, and a ticket that
    /// the run needs has not expired. If the room has shrunk or the ticket has expired, the start
    /// counts as declined.
    pub fn may_send_start(&mut self, now: u64, at: &Name, run: &RunId) -> bool {
        let starting = self.is_starting(at, run);
        let upstream = self.upstreams.get(at);
        let fits = upstream.is_some_and(|upstream| upstream.used.fits(&upstream.listing.room));
        let advised = !starting || self.has_advice(now, at, run);
        if !starting || !fits || !advised {
            log::info!(
                "TG1620 job={} step={} index={} run={} upstream={at} not sent starting={starting} advised={advised} room={:?} used={:?}",
                run.task.job,
                run.task.step,
                run.task.index,
                run.number,
                upstream.map(|upstream| upstream.listing.room),
                upstream.map(|upstream| upstream.used)
            );
        }
        if starting && !fits {
            self.started(now, at, run, Started::Full);
        } else if !advised {
            self.started(now, at, run, Started::Unadvised);
        }
        starting && fits && advised
    }

    fn is_starting(&self, at: &Name, run: &RunId) -> bool {
        let job = self.jobs.get(&run.task.job);
        let task = job.and_then(|job| job.task(position_of(&run.task)));
        let live = task.and_then(|task| task.live.as_ref());
        live.is_some_and(|live| {
            live.number == run.number && live.at == *at && live.stage == Stage::Sending
        })
    }
}
