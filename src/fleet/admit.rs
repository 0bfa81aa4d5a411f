//! Gathers what admission control decides on: the capacity of a service, and the work before a job.

use super::decide::admit;
use super::decide::admit::Capacity;
use super::decide::admit::Outlook;
use super::decide::admit::Refusal;
use super::decide::order;
use super::decide::predict;
use super::decide::predict::Kind;
use super::model::Queue;
use super::model::Spec;
use super::scheduler::Scheduler;
use super::task::Job;
use crate::prelude::*;

impl Scheduler {
    /// Decides whether a job is accepted.
    ///
    /// # Errors
    ///
    /// Returns the reason of a refusal and when to try again.
    pub(super) fn admit(
        &self,
        workspace: &Name,
        queue: &Arc<Queue>,
        spec: &Spec,
    ) -> Result<Outlook, Refusal> {
        let capacity = self.capacity(&queue.service);
        let chain_ms = order::chain_ms(&self.durations, workspace, queue, spec);
        let outlook = Outlook {
            wait_ms: self.backlog_ms(queue, &capacity),
            chain_ms,
            objective_ms: order::objective_ms(queue, chain_ms),
        };
        admit::admit(queue, spec, &capacity, outlook)
    }

    fn capacity(&self, service: &str) -> Capacity {
        let mut capacity = Capacity::default();
        let all = self.upstreams.values();
        for upstream in all.filter(|up| up.listed && *up.listing.service == *service) {
            capacity.add(&upstream.listing.room);
        }
        capacity
    }

    /// Predicts how long the upstreams need for all open jobs of the same or a higher priority, in
    /// milliseconds.
    fn backlog_ms(&self, queue: &Queue, capacity: &Capacity) -> u64 {
        let Some(config) = &self.config else {
            return 0;
        };
        let open = self.open.iter().filter_map(|id| self.jobs.get(id));
        let before = open.filter(|job| {
            let other = job.queue_in(config);
            other.is_some_and(|other| {
                other.service == queue.service && other.priority <= queue.priority
            })
        });
        before.map(|job| self.remaining_ms(job, capacity)).sum()
    }

    /// Predicts how long all upstreams together need for the rest of a job, in milliseconds.
    fn remaining_ms(&self, job: &Job, capacity: &Capacity) -> u64 {
        let mut total = 0;
        for turn in job.turns.values() {
            for (step, state) in job.spec.steps.iter().zip(&turn.steps) {
                if step.long_running || state.left == 0 {
                    continue;
                }
                let kind = Kind {
                    queue: &job.queue,
                    workspace: &job.workspace,
                    step,
                };
                let each = self.durations.quantile_ms(kind, predict::MEDIAN);
                total += capacity.work_ms(&step.need(), each, state.left);
            }
        }
        total
    }
}
