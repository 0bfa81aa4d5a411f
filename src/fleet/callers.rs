//! Replies to callers: submissions, job states, cancellations and numbers of waiting jobs.

use super::decide::admit::Refusal;
use super::event::Call;
use super::event::Operation;
use super::event::Phase;
use super::event::Reply;
use super::model::Queue;
use super::model::Spec;
use super::model::Workspace;
use super::scheduler::Scheduler;
use super::scheduler::run_id;
use super::task::Job;
use crate::prelude::*;
use std::collections::BTreeMap;

/// The `Retry-After` while no configuration is known, in milliseconds.
const NO_CONFIG_WAIT_MS: u64 = 500;
/// The `Retry-After` for jobs that need advice which the settings or the queue do not allow to use, in
/// milliseconds.
const UNADVISABLE_WAIT_MS: u64 = 30_000;
/// The `Retry-After` for a job whose stored state cannot be decoded, in milliseconds.
const UNREADABLE_WAIT_MS: u64 = 10_000;

/// The length of a job's id, in hexadecimal digits.
const JOB_ID_LEN: usize = 16;

/// The queue of a call, the workspace of its key, and the rest of its path.
type Routed = (Arc<Queue>, Option<Arc<Workspace>>, String);

impl Scheduler {
    /// Handles a caller's request.
    pub(super) fn called(&mut self, now: u64, call: u64, what: Call) {
        let reply = if self.has_stored(&what) {
            log::info!(
                "TG1210 call path={} accepted by an earlier leader",
                what.path
            );
            Reply::Accepted
        } else {
            match self.route(&what) {
                Ok(routed) => self.answer(now, routed, what),
                Err(reply) => reply,
            }
        };
        self.reply(call, reply);
    }

    /// Returns whether this same call has already submitted its job to an earlier leader, which was
    /// lost before it could reply. The configuration allowed the job then; what it says now does not
    /// matter.
    pub fn has_stored(&self, what: &Call) -> bool {
        let submits = matches!(what.operation, Operation::Submit(_)) && what.nonce != 0;
        let job = self.job_at(&what.path).filter(|_| submits);
        job.is_some_and(|job| job.nonce == what.nonce)
    }

    /// Finds the queue and the workspace of a call, or returns the reply that refuses it.
    ///
    /// A path whose own queue is not configured may still begin with the shorter prefix of another
    /// one. What is left of it is no job there, so it must not be reported as a job that is gone.
    fn route(&self, what: &Call) -> Result<Routed, Reply> {
        let Some(config) = &self.config else {
            return Err(Reply::Unavailable {
                wait_ms: NO_CONFIG_WAIT_MS,
            });
        };
        let Some((queue, rest)) = config.route(&what.host, &what.path) else {
            return Err(Reply::NoQueue);
        };
        if !rest.is_empty() && !is_job_id(rest) {
            let submits = matches!(
                what.operation,
                Operation::Submit(_) | Operation::Malformed(_)
            );
            if !submits || is_nested(rest) {
                log::info!(
                    "TG1214 call path={} not found: {rest:?} is no job of queue={} config={}",
                    what.path,
                    queue.name,
                    config.version
                );
                return Err(Reply::NoQueue);
            }
        }
        let workspace = config.keys.get(&what.key).cloned();
        if workspace.is_none() && !queue.public {
            return Err(Reply::BadKey);
        }
        Ok((queue.clone(), workspace, rest.to_owned()))
    }

    fn answer(&mut self, now: u64, (queue, workspace, rest): Routed, what: Call) -> Reply {
        if rest.is_empty() {
            return match what.operation {
                Operation::State => Reply::Waiting(self.waiting(&queue)),
                _ => Reply::Bad("the path names no job".to_owned()),
            };
        }
        if !is_job_id(&rest) {
            return Reply::Bad(format!("job {rest:?} is not 16 hexadecimal digits"));
        }
        let id = Name::from(rest);
        if self.unreadable.contains(&id) {
            return Reply::Unavailable {
                wait_ms: UNREADABLE_WAIT_MS,
            };
        }
        match what.operation {
            Operation::Malformed(why) => Reply::Bad(why),
            Operation::Submit(spec) => {
                let owner = workspace.map_or_else(|| Name::from(""), |found| found.name.clone());
                self.submit(now, &queue, owner, &id, spec, what.nonce)
            }
            Operation::State => match self.jobs.get(&id) {
                Some(job) => Reply::State(job.phase()),
                None => Reply::Gone,
            },
            Operation::Cancel => self.cancel(now, &id),
        }
    }

    fn submit(
        &mut self,
        now: u64,
        queue: &Arc<Queue>,
        workspace: Name,
        id: &Name,
        spec: Arc<Spec>,
        nonce: u64,
    ) -> Reply {
        if self.jobs.contains_key(id) {
            return Reply::Accepted;
        }
        let wall_ms = self.wall_ms(now);
        if let Some(why) = spec.fault().or_else(|| spec.excess(wall_ms)) {
            return Reply::Bad(why.to_owned());
        }
        if let Some(why) = self.unadvisable(queue, &spec) {
            log::info!(
                "TG1215 job={id} queue={} refused why={why:?} advice={:?}",
                queue.name,
                queue.advice
            );
            return Reply::Refused {
                wait_ms: UNADVISABLE_WAIT_MS,
                why,
            };
        }
        let outlook = match self.admit(&workspace, queue, &spec) {
            Ok(outlook) => outlook,
            Err(Refusal {
                wait_ms,
                why,
                outlook,
            }) => {
                log::info!(
                    "TG1202 job={id} queue={} refused why={why:?} wait_ms={wait_ms} {outlook}",
                    queue.name
                );
                return Reply::Refused { wait_ms, why };
            }
        };
        log::info!(
            "TG1201 job={id} queue={} workspace={workspace} accepted config={} {outlook}",
            queue.name,
            self.config.as_ref().map_or(0, |config| config.version)
        );
        let job = Job {
            id: id.clone(),
            queue: queue.name.clone(),
            terms: Some(queue.clone()),
            lacks_terms: false,
            workspace,
            text: spec.text.as_str().into(),
            spec,
            nonce,
            arrived: now,
            wall_ms,
            closed: None,
            closure_stored: false,
            crowded: false,
            trimmed: false,
            turns: BTreeMap::new(),
            next_turn: 0,
            begun: false,
            stored: false,
        };
        self.jobs.insert(id.clone(), job);
        self.begin_due(id, now, wall_ms);
        Reply::Accepted
    }

    /// Removes a job none of whose rows was stored and none of whose tasks was ordered to start.
    pub(super) fn withdraw(&mut self, id: &Name) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        for position in job.live() {
            let Some(live) = job.task(position).and_then(|task| task.live.as_ref()) else {
                continue;
            };
            if let Some(upstream) = self.upstreams.get_mut(&live.at) {
                upstream.release(&run_id(id, position, live.number));
            }
        }
        self.open.remove(id);
        self.pending.remove(id);
        self.timed.remove(id);
        self.dirty.remove(id);
        self.advice.remove_job(id);
        self.changed = true;
    }

    fn cancel(&mut self, now: u64, id: &Name) -> Reply {
        let Some(job) = self.jobs.get(id) else {
            return Reply::Gone;
        };
        match job.closed {
            None => {
                // Room that is reserved for it can be used at once.
                self.changed |= self.reservations.has_job(id);
                self.close(id, Phase::Cancelled, now);
                Reply::Cancelled
            }
            Some(_) => Reply::Cancelled,
        }
    }

    /// Counts the open jobs of a queue of which no task has started.
    fn waiting(&self, queue: &Queue) -> u64 {
        let Some(config) = &self.config else {
            return 0;
        };
        let is_queued = |id: &&Name| {
            self.jobs
                .get(*id)
                .is_some_and(|job| !job.begun && job.is_of(queue, config))
        };
        self.open.iter().filter(is_queued).count() as u64
    }
}

fn is_job_id(text: &str) -> bool {
    text.len() == JOB_ID_LEN && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Returns whether what follows a prefix is a path of its own, and not a malformed job id.
fn is_nested(rest: &str) -> bool {
    let last = rest.len().checked_sub(JOB_ID_LEN);
    rest.contains('/') || last.and_then(|at| rest.get(at..)).is_some_and(is_job_id)
}
