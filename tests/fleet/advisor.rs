//! A test double of the service that decides which upstreams may run a step.

use std::collections::BTreeSet;
use trefoilgauge::fleet::Event;
use trefoilgauge::fleet::event::Advised;
use trefoilgauge::fleet::model::StepId;
use trefoilgauge::prelude::*;

/// How long tickets are valid, in milliseconds.
pub(crate) const VALID_MS: u64 = 3_000;

/// The advice service.
#[derive(Debug, Default)]
pub(crate) struct Advisor {
    /// Upstreams that may run any step.
    pub good: BTreeSet<Name>,
    /// Whether calls get no response.
    pub silent: bool,
    /// The upstreams of each call.
    pub asked: Vec<Vec<Name>>,
    pending: Vec<(u64, StepId, Vec<Name>)>,
}

impl Advisor {
    /// Accepts a call, which is answered after `call_ms`.
    pub(crate) fn ask(&mut self, now: u64, step: StepId, upstreams: Vec<Name>, call_ms: u64) {
        assert!(self.pending.is_empty(), "one call at a time");
        self.asked.push(upstreams.clone());
        self.pending.push((now + call_ms, step, upstreams));
    }

    /// Returns the answers that are due.
    pub(crate) fn answer(&mut self, now: u64) -> Vec<Event> {
        let due: Vec<_> = self.pending.extract_if(.., |call| call.0 <= now).collect();
        let answers = due.into_iter().map(|(_, step, asked)| {
            let good = asked.iter().filter(|name| self.good.contains(*name));
            let good = good.map(|name| (name.clone(), ticket(now, &step, name)));
            let answer = (!self.silent).then(|| Advised {
                eligible: good.collect(),
                valid_ms: VALID_MS,
            });
            Event::Advised {
                step,
                asked,
                answer,
            }
        });
        answers.collect()
    }
}

fn ticket(now: u64, step: &StepId, at: &Name) -> Arc<str> {
    format!("{}.{}.{} {at} {now}", step.job, step.turn, step.step).into()
}

/// Returns whether an upstream accepts a ticket for a step.
pub(crate) fn is_valid(now: u64, text: &str, step: &StepId, at: &Name) -> bool {
    let mut parts = text.split(' ');
    let expected = format!("{}.{}.{}", step.job, step.turn, step.step);
    let issued: Option<u64> = text.rsplit(' ').next().and_then(|part| part.parse().ok());
    parts.next() == Some(&expected)
        && parts.next() == Some(&**at)
        && issued.is_some_and(|issued| now < issued + VALID_MS)
}
