//! Each checker detects a deliberate violation, and reports nothing in a run without faults.

#![expect(clippy::unwrap_used, reason = "helpers of tests")]

use trefoilgauge::bench::faults::call::Call;
use trefoilgauge::bench::faults::call::Operation;
use trefoilgauge::bench::faults::call::ReceivedReply;
use trefoilgauge::bench::faults::checkers::Checkers;
use trefoilgauge::bench::faults::checkers::Promise;
use trefoilgauge::bench::faults::fault::Fault;
use trefoilgauge::bench::faults::gangs::PARTIAL_MS;
use trefoilgauge::bench::faults::gangs::missing_shape;
use trefoilgauge::bench::faults::matrix;
use trefoilgauge::bench::faults::matrix::Verdict;
use trefoilgauge::bench::faults::runner::Execution;
use trefoilgauge::bench::faults::steps::Step;
use trefoilgauge::bench::faults::workload;
use trefoilgauge::bench::faults::world::Sent;
use trefoilgauge::bench::faults::world::World;
use trefoilgauge::prelude::*;
use trefoilgauge::records::Entry;
use trefoilgauge::records::Slot;
use trefoilgauge::reducer::effect::Code;
use trefoilgauge::reducer::effect::Ran;
use trefoilgauge::reducer::effect::Refusal;
use trefoilgauge::reducer::effect::Reply;
use trefoilgauge::reducer::ledger::Applied;
use trefoilgauge::reducer::ledger::EntryVerdict;
use trefoilgauge::reducer::ledger::Origin;
use trefoilgauge::reducer::ledger::gangs::Phase;

/// Runs the simulation without faults until `at_ms`.
fn world_at(at_ms: u64) -> World {
    let mut world = World::new(1);
    workload::schedule(&mut world, Step::Accepted);
    while world.now_ms < at_ms {
        world.advance();
    }
    world
}

fn received(reply: Reply, body: Option<&str>, cfg: Offset) -> ReceivedReply {
    ReceivedReply {
        at_ms: 9_000,
        cfg,
        reply,
        body: body.map(str::to_owned),
    }
}

fn upstream() -> Reply {
    Reply::Upstream {
        attempt: 1,
        runner: "runner-1".into(),
    }
}

fn not_run() -> Reply {
    Reply::Refused(Refusal {
        status: 503,
        code: Code::QueueFull,
        ran: Ran::No,
        retry_ms: Some(1),
        detail: "the queue is full".into(),
    })
}

/// Applies a violation at `at_ms`, ends the run and returns the promises that were found broken.
fn found(at_ms: u64, violate: impl FnOnce(&mut World)) -> Vec<Promise> {
    let mut world = world_at(at_ms);
    violate(&mut world);
    let mut checks = std::mem::take(&mut world.checks);
    checks.finish(&world);
    let mut found: Vec<Promise> = checks.findings.iter().map(|one| one.promise).collect();
    found.dedup();
    found
}

fn reply(world: &mut World, req: &str, received: ReceivedReply) {
    let mut checks = std::mem::take(&mut world.checks);
    checks.record_reply(&mut world.calls, &req.into(), received);
    world.checks = checks;
}

#[test]
fn a_run_without_faults_breaks_nothing() {
    assert_eq!(Vec::<Promise>::new(), found(16_000, |_| {}));
}

#[test]
fn a_second_an_unrequested_a_missing_and_a_wrong_answer_are_found() {
    let expected = vec![Promise::RightAnswer];
    let twice =
        |world: &mut World| reply(world, "req-1", received(upstream(), Some("ran req-1"), 99));
    assert_eq!(expected, found(9_000, twice));
    let unasked = |world: &mut World| reply(world, "nobody", received(upstream(), None, 99));
    assert_eq!(expected, found(9_000, unasked));
    let silent = |world: &mut World| world.calls[0].replies.clear();
    assert_eq!(expected, found(16_000, silent));
    for body in [None, Some("ran req-2"), Some("ran req-")] {
        let wrong = |world: &mut World| {
            world.calls[1].replies.clear();
            let req = world.calls[1].req.clone();
            reply(world, &req, received(upstream(), body, 99));
        };
        assert_eq!(expected, found(9_000, wrong), "{body:?}");
    }
}

#[test]
fn an_untrue_refusal_is_found() {
    let violate = |world: &mut World| {
        let call = world.calls.iter_mut().find(|call| &*call.req == "req-1");
        call.unwrap().replies = vec![received(not_run(), None, 99)];
    };
    assert_eq!(vec![Promise::TrueRefusal], found(9_000, violate));
}

#[test]
fn a_second_run_of_a_key_is_found() {
    let violate = |world: &mut World| {
        let runs = world.runners.iter().flat_map(|runner| &runner.executions);
        let first = runs.clone().find(|run| run.key.is_some()).unwrap().clone();
        world.runners[1].executions.push(Execution {
            req: "again".into(),
            ..first
        });
    };
    assert_eq!(vec![Promise::AtMostOnce], found(9_000, violate));
}

#[test]
fn late_work_for_a_leaving_runner_is_found() {
    let violate = |world: &mut World| {
        world.sent.push(Sent {
            req: "late".into(),
            runner: workload::LEAVING_RUNNER.into(),
            vm: 0,
            at_ms: world.left_ms.unwrap() + 3_001,
            list_current: true,
        });
    };
    assert_eq!(vec![Promise::Leaving], found(9_000, violate));
}

#[test]
fn a_call_that_a_planned_stop_cuts_is_found() {
    let violate = |world: &mut World| {
        let mut call = Call::request("open", 1, "check", None, 100);
        call.sent_ms = Some(world.now_ms);
        call.boot = 7;
        let mut checks = std::mem::take(&mut world.checks);
        checks.check_planned_stop(&[call], 1, 7);
        world.checks = checks;
    };
    assert_eq!(vec![Promise::PlannedStop], found(9_000, violate));
}

#[test]
fn an_old_and_a_reverted_configuration_are_found() {
    let expected = vec![Promise::Configuration];
    let old = |world: &mut World| {
        let mut call = Call::request("old", 0, "check", None, 100);
        call.sent_ms = Some(9_000);
        world.calls.push(call);
        reply(world, "old", received(upstream(), Some("ran old"), 2));
    };
    assert_eq!(expected, found(9_000, old));
    let reverted = |world: &mut World| {
        let mut vm = world.vms[0].clone();
        vm.state.ledger.catalog.next = 1;
        vm.state.ledger.next = 1_000_001;
        world.checks.check_ledger(0, &vm, &world.log);
    };
    assert_eq!(expected, found(9_000, reverted));
    let behind = |world: &mut World| world.vms[0].state.ledger.catalog.next = 1;
    assert_eq!(expected, found(9_000, behind));
}

#[test]
fn a_ledger_that_differs_is_found() {
    let violate = |world: &mut World| {
        let mut vm = world.vms[0].clone();
        vm.state.ledger = world.log.reference.clone();
        vm.state.ledger.clock_ms += 1;
        vm.state.ledger.next -= vm.state.ledger.next % 4;
        world.checks.check_ledger(0, &vm, &world.log);
    };
    assert_eq!(vec![Promise::EqualLedgers], found(9_000, violate));
}

#[test]
fn unstoppable_work_that_splits_every_guaranteed_shape_is_found() {
    let mut ledger = world_at(3_000).log.reference.clone();
    assert_eq!(None, missing_shape(&ledger));
    let gang = ledger.gangs.all.get_mut(workload::UNSTOPPABLE_JOB).unwrap();
    gang.phase = Phase::Running;
    gang.started = true;
    gang.slots = ["worker-1", "worker-3"]
        .map(|worker| Slot {
            worker: worker.into(),
            mask: 3,
        })
        .into();
    assert!(missing_shape(&ledger).is_some());
}

/// Returns the record that placed the gang.
fn placed(world: &World) -> Applied {
    let gang = &world.log.reference.gangs.all[workload::MAIN_JOB];
    let batch = &world.log.control[gang.token as usize].batch;
    let entry = batch
        .entries
        .iter()
        .find(|entry| matches!(entry, Entry::Place { job, .. } if **job == *workload::MAIN_JOB));
    Applied {
        verdicts: vec![EntryVerdict {
            origin: Origin {
                offset: gang.token,
                id: batch.id.clone(),
                cfg: batch.cfg,
                at_ms: batch.at_ms,
                stamp_ms: batch.at_ms,
            },
            entry: entry.unwrap().clone(),
            verdict: Ok(()),
        }],
        ..Applied::default()
    }
}

#[test]
fn a_partial_gang_is_found() {
    let mut world = world_at(2_600);
    let running: Vec<_> = world
        .workers
        .iter()
        .filter(|worker| worker.runs(workload::MAIN_JOB))
        .cloned()
        .collect();
    assert_eq!(2, running.len(), "the gang runs on both workers");
    let alone = &running[..1];
    let mut checks = std::mem::take(&mut world.checks);
    checks.check_workers(10_000, alone);
    assert!(checks.findings.is_empty());
    checks.check_workers(10_001 + PARTIAL_MS, alone);
    let mut doubled = running.clone();
    doubled[0].tasks[0].wanted.token += 1;
    checks.check_workers(10_002 + PARTIAL_MS, &doubled);
    let mut texts: Vec<&str> = checks.findings.iter().map(|one| &*one.text).collect();
    let mut early = Checkers::default();
    early.check_record(0, &world.log.reference, &placed(&world));
    early.record_prepared(&running[0]);
    early.check_workers(0, &running);
    texts.extend(early.findings.iter().map(|one| &*one.text));
    let expected = ["runs in part", "two tokens", "never in force", "before all"];
    for text in expected {
        assert!(texts.iter().any(|one| one.contains(text)), "{texts:?}");
    }
}

#[test]
fn a_fault_without_effect_makes_no_cell_held() {
    let row = matrix::row(Step::Stopped, &[Fault::Kill], 1);
    assert!(row.iter().all(|cell| cell.verdict == Verdict::NotRun));
    let asks = |call: &Call| matches!(call.operation, Operation::Submit { .. });
    assert!(world_at(3_000).calls.iter().any(asks));
}
