//! Each checker finds a planted violation, and finds nothing in a run without faults.

#![expect(clippy::unwrap_used, reason = "helpers of tests")]

use trefoilgauge::bench::faults::call::Ask;
use trefoilgauge::bench::faults::call::Call;
use trefoilgauge::bench::faults::call::Told;
use trefoilgauge::bench::faults::checkers::Checkers;
use trefoilgauge::bench::faults::checkers::Promise;
use trefoilgauge::bench::faults::fault::Fault;
use trefoilgauge::bench::faults::gangs::PARTIAL_MS;
use trefoilgauge::bench::faults::gangs::lacking_shape;
use trefoilgauge::bench::faults::matrix;
use trefoilgauge::bench::faults::matrix::Verdict;
use trefoilgauge::bench::faults::plan;
use trefoilgauge::bench::faults::runner::Execution;
use trefoilgauge::bench::faults::steps::Step;
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

/// A world without faults, some while into its load.
fn world_at(at_ms: u64) -> World {
    let mut world = World::new(1);
    plan::schedule(&mut world, Step::Accepted);
    while world.now_ms < at_ms {
        world.advance();
    }
    world
}

fn told(reply: Reply, body: Option<&str>, cfg: Offset) -> Told {
    Told {
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

/// Plants a violation, ends the run and returns the promises that were found broken.
fn found(at_ms: u64, plant: impl FnOnce(&mut World)) -> Vec<Promise> {
    let mut world = world_at(at_ms);
    plant(&mut world);
    let mut checks = std::mem::take(&mut world.checks);
    checks.finish(&world);
    let mut found: Vec<Promise> = checks.findings.iter().map(|one| one.promise).collect();
    found.dedup();
    found
}

fn reply(world: &mut World, req: &str, told: Told) {
    let mut checks = std::mem::take(&mut world.checks);
    checks.replied(&mut world.calls, &req.into(), told);
    world.checks = checks;
}

#[test]
fn a_run_without_faults_breaks_nothing() {
    assert_eq!(Vec::<Promise>::new(), found(16_000, |_| {}));
}

#[test]
fn a_second_a_foreign_and_a_missing_answer_are_found() {
    let expected = vec![Promise::RightAnswer];
    let twice = |world: &mut World| reply(world, "req-1", told(upstream(), Some("ran req-1"), 99));
    assert_eq!(expected, found(9_000, twice));
    let unasked = |world: &mut World| reply(world, "nobody", told(upstream(), None, 99));
    assert_eq!(expected, found(9_000, unasked));
    let silent = |world: &mut World| world.calls[0].told.clear();
    assert_eq!(expected, found(16_000, silent));
    for body in [None, Some("ran req-2"), Some("ran req-")] {
        let wrong = |world: &mut World| {
            world.calls[1].told.clear();
            let req = world.calls[1].req.clone();
            reply(world, &req, told(upstream(), body, 99));
        };
        assert_eq!(expected, found(9_000, wrong), "{body:?}");
    }
}

#[test]
fn an_untrue_refusal_is_found() {
    let plant = |world: &mut World| {
        let call = world.calls.iter_mut().find(|call| &*call.req == "req-1");
        call.unwrap().told = vec![told(not_run(), None, 99)];
    };
    assert_eq!(vec![Promise::TrueRefusal], found(9_000, plant));
}

#[test]
fn a_second_run_of_a_key_is_found() {
    let plant = |world: &mut World| {
        let runs = world.runners.iter().flat_map(|runner| &runner.ran);
        let first = runs.clone().find(|run| run.key.is_some()).unwrap().clone();
        world.runners[1].ran.push(Execution {
            req: "again".into(),
            ..first
        });
    };
    assert_eq!(vec![Promise::AtMostOnce], found(9_000, plant));
}

#[test]
fn late_work_for_a_leaving_runner_is_found() {
    let plant = |world: &mut World| {
        world.sent.push(Sent {
            req: "late".into(),
            runner: plan::LEAVER.into(),
            vm: 0,
            at_ms: world.left_ms.unwrap() + 3_001,
            told: true,
        });
    };
    assert_eq!(vec![Promise::Leaving], found(9_000, plant));
}

#[test]
fn a_call_that_a_planned_stop_cuts_is_found() {
    let plant = |world: &mut World| {
        let mut call = Call::request("open", 1, "check", None, 100);
        call.sent_ms = Some(world.now_ms);
        call.boot = 7;
        let mut checks = std::mem::take(&mut world.checks);
        checks.stopped(&[call], 1, 7);
        world.checks = checks;
    };
    assert_eq!(vec![Promise::PlannedStop], found(9_000, plant));
}

#[test]
fn an_old_and_a_reverted_configuration_are_found() {
    let expected = vec![Promise::Configuration];
    let old = |world: &mut World| {
        let mut call = Call::request("old", 0, "check", None, 100);
        call.sent_ms = Some(9_000);
        world.calls.push(call);
        reply(world, "old", told(upstream(), Some("ran old"), 2));
    };
    assert_eq!(expected, found(9_000, old));
    let reverted = |world: &mut World| {
        let mut vm = world.vms[0].clone();
        vm.state.ledger.catalog.next = 1;
        vm.state.ledger.next = 1_000_001;
        world.checks.stepped(0, &vm, &world.log);
    };
    assert_eq!(expected, found(9_000, reverted));
    let behind = |world: &mut World| world.vms[0].state.ledger.catalog.next = 1;
    assert_eq!(expected, found(9_000, behind));
}

#[test]
fn a_ledger_that_differs_is_found() {
    let plant = |world: &mut World| {
        let mut vm = world.vms[0].clone();
        vm.state.ledger = world.log.truth.clone();
        vm.state.ledger.clock_ms += 1;
        vm.state.ledger.next -= vm.state.ledger.next % 4;
        world.checks.stepped(0, &vm, &world.log);
    };
    assert_eq!(vec![Promise::EqualLedgers], found(9_000, plant));
}

#[test]
fn stiff_work_that_splits_every_guaranteed_shape_is_found() {
    let mut ledger = world_at(3_000).log.truth.clone();
    assert_eq!(None, lacking_shape(&ledger));
    let gang = ledger.gangs.all.get_mut(plan::STIFF_JOB).unwrap();
    gang.phase = Phase::Running;
    gang.started = true;
    gang.slots = ["worker-1", "worker-3"]
        .map(|worker| Slot {
            worker: worker.into(),
            mask: 3,
        })
        .into();
    assert!(lacking_shape(&ledger).is_some());
}

/// Returns the record that placed the gang.
fn placed(world: &World) -> Applied {
    let gang = &world.log.truth.gangs.all[plan::MAIN_JOB];
    let batch = &world.log.control[gang.token as usize].batch;
    let entry = batch
        .entries
        .iter()
        .find(|entry| matches!(entry, Entry::Place { job, .. } if **job == *plan::MAIN_JOB));
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
        .filter(|worker| worker.runs(plan::MAIN_JOB))
        .cloned()
        .collect();
    assert_eq!(2, running.len(), "the gang runs on both workers");
    let alone = &running[..1];
    let mut checks = std::mem::take(&mut world.checks);
    checks.workers(10_000, alone);
    assert!(checks.findings.is_empty());
    checks.workers(10_001 + PARTIAL_MS, alone);
    let mut doubled = running.clone();
    doubled[0].tasks[0].wanted.token += 1;
    checks.workers(10_002 + PARTIAL_MS, &doubled);
    let mut texts: Vec<&str> = checks.findings.iter().map(|one| &*one.text).collect();
    let mut early = Checkers::default();
    early.appended(0, &world.log.truth, &placed(&world));
    early.synced(&running[0]);
    early.workers(0, &running);
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
    let asks = |call: &Call| matches!(call.ask, Ask::Submit { .. });
    assert!(world_at(3_000).calls.iter().any(asks));
}
