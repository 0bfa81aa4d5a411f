//! A test double of the service that decides which upstreams may run a step.

use std::collections::BTreeSet;
use trefoilgauge::fleet::Event;
use trefoilgauge::fleet::event::Advised;
use trefoilgauge::fleet::model::StepId;
use trefoilgauge::prelude::*;

/// How long tickets are valid by default, in milliseconds.
pub(crate) const VALID_MS: u64 = 3_000;
/// How long the adapter waits for a response beyond the expected time, in milliseconds.
const CALL_MARGIN_MS: u64 = 1_000;

/// The advice service, which handles one call after the other.
#[derive(Debug)]
pub(crate) struct Advisor {
    /// Upstreams that may run any step.
    pub good: BTreeSet<Name>,
    /// Whether calls get no response.
    pub silent: bool,
    /// The job whose tickets no upstream accepts, if any.
    pub void: Option<Name>,
    /// The fixed time of each call, in milliseconds.
    pub decide_ms: u64,
    /// The additional time for each upstream, in milliseconds.
    pub each_ms: u64,
    /// How long a response is on its way, in milliseconds.
    pub transit_ms: u64,
    /// How long tickets are valid from the response on, in milliseconds.
    pub valid_ms: u64,
    /// The step and the upstreams of each call.
    pub calls: Vec<(StepId, Vec<Name>)>,
    /// The longest time after which the adapter gives a call up, in milliseconds.
    pub longest_ms: u64,
    /// When it has handled all calls so far, also those that were given up.
    busy_until: u64,
    pending: Option<Call>,
}

/// A call in progress.
#[derive(Debug)]
struct Call {
    step: StepId,
    asked: Vec<Name>,
    /// When it is decided.
    decided: u64,
    /// When the adapter gives it up.
    limit: u64,
    /// Whether it gets no response, even once the service responds again.
    lost: bool,
}

impl Default for Advisor {
    fn default() -> Self {
        Self {
            good: BTreeSet::new(),
            silent: false,
            void: None,
            decide_ms: 50,
            each_ms: 5,
            transit_ms: 0,
            valid_ms: VALID_MS,
            calls: Vec::new(),
            longest_ms: 0,
            busy_until: 0,
            pending: None,
        }
    }
}

impl Advisor {
    /// Accepts a call, which the adapter gives up some time after `call_ms`.
    pub(crate) fn ask(&mut self, now: u64, step: StepId, asked: Vec<Name>, call_ms: u64) {
        assert!(self.pending.is_none(), "one call at a time");
        assert!(asked.len() <= 100, "{} upstreams in one call", asked.len());
        self.calls.push((step.clone(), asked.clone()));
        let took = self.decide_ms + self.each_ms * u64::try_from(asked.len()).unwrap();
        self.busy_until = self.busy_until.max(now) + took;
        self.pending = Some(Call {
            step,
            asked,
            decided: self.busy_until,
            limit: now + call_ms + CALL_MARGIN_MS,
            lost: self.silent,
        });
        self.longest_ms = self.longest_ms.max(call_ms + CALL_MARGIN_MS);
    }

    /// Returns the number of calls about a job.
    pub(crate) fn calls_about(&self, id: u64) -> usize {
        let job = format!("{id:016x}");
        let about = self.calls.iter().filter(|(step, _)| *step.job == *job);
        about.count()
    }

    /// Returns the answer that is due, if any.
    pub(crate) fn answer(&mut self, now: u64) -> Option<Event> {
        let transit = self.transit_ms;
        let arrives = |call: &Call| !call.lost && now >= call.decided + transit;
        let call = self
            .pending
            .take_if(|call| arrives(call) || now >= call.limit)?;
        let answer = arrives(&call).then(|| {
            let good = call.asked.iter().filter(|name| self.good.contains(*name));
            let rows = good.map(|name| (name.clone(), self.ticket(&call, name)));
            Advised {
                eligible: rows.collect(),
                valid_ms: self.valid_ms,
            }
        });
        Some(Event::Advised {
            step: call.step,
            asked: call.asked,
            answer,
        })
    }

    fn ticket(&self, call: &Call, at: &Name) -> Arc<str> {
        let issued = call.decided;
        let until = if self.void.as_ref() == Some(&call.step.job) {
            issued
        } else {
            issued + self.valid_ms
        };
        format!("{} {at} {issued} {until}", step_name(&call.step)).into()
    }
}

fn step_name(step: &StepId) -> String {
    format!("{}.{}.{}", step.job, step.turn, step.step)
}

/// Returns whether an upstream whose process started at `started` accepts a ticket for a step.
pub(crate) fn is_valid(now: u64, text: &str, step: &StepId, at: &Name, started: u64) -> bool {
    let parts: Vec<&str> = text.split(' ').collect();
    let [of, name, issued, until] = parts[..] else {
        return false;
    };
    let issued: u64 = issued.parse().unwrap();
    let until: u64 = until.parse().unwrap();
    of == step_name(step) && name == &**at && issued >= started && now < until
}
