//! Checks that need the end of a run.

use super::call::Call;
use super::call::ReceivedReply;
use super::runner::FakeRunner;
use super::vm::Life;
use super::workload::LEAVING_RUNNER;
use super::world::Sent;
use super::world::World;
use crate::prelude::*;
use crate::reducer::effect::Ran;
use crate::reducer::effect::Reply;
use std::collections::BTreeMap;

use super::checkers::Checkers;
use super::checkers::Finding;
use super::checkers::LEAVE_MS;
use super::checkers::Promise;

impl Checkers {
    /// Runs the checks at the end of a run; returns whether both racing changes were decided.
    pub fn finish(&mut self, world: &World) -> bool {
        self.finish_calls(&world.calls, &world.runners, world.now_ms);
        self.finish_leaving(&world.sent, world.left_ms);
        let next = world.log.config.len() as Offset;
        for (i, vm) in world.vms.iter().enumerate() {
            let late = vm.life == Life::Up && vm.state.ledger.catalog.next < next;
            if late {
                let text = format!("process {i} never came to configuration {next}");
                self.add_finding(Finding::new(Promise::Configuration, text));
            }
        }
        self.finish_race(world)
    }

    /// Checks the calls against the runs at the runners.
    pub fn finish_calls(&mut self, calls: &[Call], runners: &[FakeRunner], now_ms: u64) {
        let mut keys: BTreeMap<&Name, Vec<&Name>> = BTreeMap::new();
        for run in runners.iter().flat_map(|runner| &runner.executions) {
            if let Some(key) = &run.key {
                keys.entry(key).or_default().push(&run.req);
            }
        }
        for (key, reqs) in &keys {
            self.count_test(Promise::AtMostOnce);
            if reqs.len() > 1 {
                let text = format!("{key} ran {} times: {reqs:?}", reqs.len());
                self.add_finding(Finding::new(Promise::AtMostOnce, text));
            }
        }
        for call in calls {
            let waited_ms = now_ms.saturating_sub(call.sent_ms.unwrap_or(now_ms));
            if call.is_open() && waited_ms > 7_000 {
                let text = format!("{} got no answer in {waited_ms} ms", call.req);
                self.add_finding(Finding::new(Promise::RightAnswer, text));
            }
            for received in &call.replies {
                self.finish_reply(call, received, runners, &keys);
            }
        }
    }

    /// Checks that the leaving runner received no new work after the bound.
    pub fn finish_leaving(&mut self, sent: &[Sent], left_ms: Option<u64>) {
        let Some(left_ms) = left_ms else {
            return;
        };
        let after = sent.iter().filter(|one| one.at_ms > left_ms);
        if after.clone().count() > 0 {
            self.count_test(Promise::Leaving);
        }
        for one in after.filter(|one| *one.runner == *LEAVING_RUNNER && one.list_current) {
            let late_ms = one.at_ms - left_ms;
            self.bounds.leaving_ms = self.bounds.leaving_ms.max(late_ms);
            if late_ms > LEAVE_MS {
                let text = format!("{} went to a leaving runner after {late_ms} ms", one.req);
                self.add_finding(Finding::new(Promise::Leaving, text));
            }
        }
    }

    pub(super) fn finish_reply(
        &mut self,
        call: &Call,
        received: &ReceivedReply,
        runners: &[FakeRunner],
        keys: &BTreeMap<&Name, Vec<&Name>>,
    ) {
        let mut runs = runners.iter().flat_map(|runner| &runner.executions);
        let ran = runs.any(|run| run.req == call.req);
        match &received.reply {
            Reply::Refused(refusal) if refusal.ran == Ran::No => {
                self.count_test(Promise::TrueRefusal);
                if ran {
                    let text = format!("{} was told `{}`, and it ran", call.req, refusal.detail);
                    self.add_finding(Finding::new(Promise::TrueRefusal, text));
                }
            }
            Reply::Kept(kept) => {
                let own = call.key().and_then(|key| keys.get(key));
                let first = own.and_then(|reqs| reqs.first());
                let body = first.map(|req| format!("ran {req}"));
                if body.is_none() || body != kept.body {
                    let text = format!("{} got the kept answer {:?}", call.req, kept.body);
                    self.add_finding(Finding::new(Promise::RightAnswer, text));
                }
            }
            _ => {}
        }
    }

    /// Checks that exactly one of two racing changes is in force; returns whether both were
    /// decided.
    pub(super) fn finish_race(&mut self, world: &World) -> bool {
        let Some(from) = world.racing_offset else {
            return false;
        };
        let ruled = &world.log.reference.catalog.ruled;
        let racing = ruled
            .iter()
            .filter(|one| one.offset == from || one.offset == from + 1);
        let won = racing.clone().filter(|one| one.refused.is_empty()).count();
        let both = racing.count() == 2;
        if both && won != 1 {
            let text = format!("{won} of two racing changes are in force");
            self.add_finding(Finding::new(Promise::Configuration, text));
        }
        both
    }
}
