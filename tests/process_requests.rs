//! Promises about requests, with real processes.

#[expect(dead_code, reason = "other tests use the rest of the helpers")]
mod support;

use futures_util::future::join_all;
use support::Fleet;
use support::calls::Call;
use support::calls::Told;
use support::calls::doubled;
use support::calls::lies;
use support::until;
use trefoilgauge_standins::fault_rate::FaultRate;
use trefoilgauge_standins::runner::RunnerFaults;
use trefoilgauge_standins::runner::RunnerHandle;
use trefoilgauge_standins::runner::ServiceTime;

const LONG: ServiceTime = ServiceTime {
    min_ms: 1_500,
    max_ms: 1_500,
};

/// A keyed call of a kind that must not run twice.
fn submission(name: &str) -> Call {
    Call::new("entry_submission", name).keyed(name)
}

fn check(name: &str) -> Call {
    Call::new("quick_check", name)
}

fn set_runners(fleet: &Fleet, change: impl Fn(&mut RunnerFaults)) {
    let runners = fleet.platform.runners.iter();
    runners.for_each(|runner| runner.set(&change));
}

/// Sends checks and submissions to all VMs at once.
async fn send_both(fleet: &Fleet, name: &str, count: usize) -> Vec<Told> {
    let calls = (0..count).map(|i| {
        let call = match i % 2 {
            0 => check(&format!("{name}-{i}")),
            _ => submission(&format!("{name}-{i}")),
        };
        fleet.request(i / 2 % fleet.vms.len(), call.within(3_000))
    });
    join_all(calls).await
}

/// Waits until every VM has read what was claimed so far.
async fn settle(fleet: &Fleet, name: &str) {
    for vm in 0..fleet.vms.len() {
        let call = submission(&format!("{name}-settled-{vm}"));
        until("a claim is served", async || {
            fleet.request(vm, call.clone()).await.answered()
        })
        .await;
    }
}

fn assert_true(fleet: &Fleet, told: &[Told]) {
    assert_eq!(Vec::<String>::new(), lies(told, &fleet.platform.tally));
    assert_eq!(Vec::<String>::new(), doubled(told, &fleet.platform.tally));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_that_are_cut_late_or_of_another_request_reach_nobody() {
    let fleet = Fleet::start(3).await;
    set_runners(&fleet, |faults| {
        faults.truncate = FaultRate::share(25);
        faults.foreign = FaultRate::share(15);
        faults.some_late = FaultRate::share(15);
        faults.some_late_ms = 4_000;
    });
    let mut told = send_both(&fleet, "faulty", 90).await;
    let runners = fleet.platform.runners.iter();
    let faulty: u64 = runners.map(|runner| runner.counts().faulty).sum();
    assert!(faulty > 5, "only {faulty} answers were faulty");
    set_runners(&fleet, |faults| *faults = RunnerFaults::default());
    settle(&fleet, "faulty").await;
    told.extend(send_both(&fleet, "after", 60).await);
    assert_true(&fleet, &told);
    let answered = told.iter().filter(|one| one.answered()).count();
    assert!(
        answered > 30,
        "only {answered} of {} were answered",
        told.len()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_that_says_not_run_is_true_in_an_outage_and_a_kill() {
    let mut fleet = Fleet::start(3).await;
    fleet
        .log()
        .set(|faults| faults.lose_answer = FaultRate::share(50));
    let mut told = send_both(&fleet, "lost", 30).await;
    fleet.log().set(|faults| faults.delay_ms = 5_000);
    told.extend(send_both(&fleet, "slow", 18).await);
    fleet.log().set(|faults| {
        faults.delay_ms = 0;
        faults.outage = true;
    });
    let outage = send_both(&fleet, "outage", 30);
    let (during, ()) = tokio::join!(outage, async {
        support::vm::send_signal(fleet.vms[2].pids()[0], "KILL");
    });
    told.extend(during);
    let checks = told.iter().filter(|one| one.call.kind == "quick_check");
    let answered = checks.filter(|one| one.call.body.starts_with("outage") && one.answered());
    assert!(answered.count() > 0, "no check was answered in the outage");
    let refused = told.iter().filter_map(Told::refused);
    let not_run = refused.filter(|refused| refused.ran == "no").count();
    assert!(not_run > 0, "nothing was refused as not run");
    fleet.log().set(|faults| *faults = Default::default());
    fleet.restart_vm(2);
    settle(&fleet, "outage").await;
    assert_true(&fleet, &told);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_key_runs_once_at_three_vms_at_the_same_time() {
    let fleet = Fleet::start(3).await;
    fleet
        .log()
        .set(|faults| faults.lose_answer = FaultRate::share(30));
    let mut told = Vec::new();
    for round in 0..10 {
        let call = submission(&format!("same-{round}"));
        let calls = (0..3).map(|vm| fleet.request(vm, call.clone()));
        told.extend(join_all(calls).await);
    }
    fleet
        .log()
        .set(|faults| faults.lose_answer = FaultRate::OFF);
    settle(&fleet, "same").await;
    for round in 0..10 {
        let call = submission(&format!("same-{round}"));
        let again = fleet.request(round % 3, call).await;
        assert_ne!(
            Some("no"),
            again.refused().map(|one| one.ran.as_str()),
            "{again:?}"
        );
        told.push(again);
    }
    assert_true(&fleet, &told);
    let other = Call {
        body: "another".into(),
        ..submission("same-0")
    };
    let other = fleet.request(1, other).await;
    let refused = other.refused().map(|one| (one.status, one.ran.as_str()));
    assert_eq!(Some((422, "no")), refused, "{other:?}");
    let listed = fleet.ops(0, "/ops/ledger/duplicates").await.unwrap();
    assert!(listed["seen"].as_u64() > Some(0), "{listed}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_retry_through_another_vm_after_a_kill_runs_nothing_twice() {
    let mut fleet = Fleet::start(3).await;
    for runner in &fleet.platform.runners {
        runner.set_service("entry_submission", LONG);
    }
    let tally = fleet.platform.tally.clone();
    let pid = fleet.vms[0].pids()[0];
    let (first, ()) = tokio::join!(fleet.request(0, submission("killed")), async {
        until("the request runs", async || tally.of_key("killed") == 1).await;
        support::vm::send_signal(pid, "KILL");
    });
    assert!(!first.answered(), "{first:?}");
    let mut told = Vec::new();
    for vm in [1, 2, 1] {
        let again = fleet.request(vm, submission("killed")).await;
        let ran = again.refused().map(|one| one.ran.as_str());
        assert!(again.answered() || ran == Some("unknown"), "{again:?}");
        told.push(again);
    }
    fleet.restart_vm(0);
    fleet.wait_ready(0).await;
    told.push(fleet.request(0, submission("killed")).await);
    settle(&fleet, "killed").await;
    assert_true(&fleet, &told);
    assert_eq!(1, tally.of_key("killed"));
}

/// Sends checks one after the other, and returns how often a runner was asked to run one.
async fn asked(fleet: &Fleet, runner: &RunnerHandle, name: &str, count: usize) -> u64 {
    let total = |runner: &RunnerHandle| runner.counts().runs + runner.counts().leaving;
    let before = total(runner);
    for i in 0..count {
        let told = fleet.request(i % 3, check(&format!("{name}-{i}"))).await;
        assert!(told.answered(), "{told:?}");
    }
    total(runner) - before
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_runner_gets_no_new_work() {
    let fleet = Fleet::start(3).await;
    let [listed, own, ..] = &fleet.platform.runners[..] else {
        return;
    };
    assert!(asked(&fleet, listed, "before", 60).await > 0);
    fleet.platform.vms.leave(listed.name());
    let mut round = 0;
    until("the list is heeded", async || {
        round += 1;
        asked(&fleet, listed, &format!("listed-{round}"), 30).await == 0
    })
    .await;
    fleet.platform.vms.go_back(1);
    assert_eq!(0, asked(&fleet, listed, "backwards", 90).await);

    assert!(asked(&fleet, own, "own", 60).await > 0);
    own.set(|faults| faults.leaving = true);
    let first = asked(&fleet, own, "leaving", 90).await;
    assert!(
        (1..=9).contains(&first),
        "asked {first} times as it was leaving"
    );
    let runs = own.counts().runs;
    asked(&fleet, own, "left", 60).await;
    assert_eq!(runs, own.counts().runs);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_must_not_run_twice_is_answered_though_open_connections_go_silent() {
    let fleet = Fleet::start(3).await;
    let mut told = send_both(&fleet, "warm", 60).await;
    for runner in &fleet.platform.runners {
        runner.server().silence_open();
    }
    let calls = (0..18).map(|i| {
        let call = submission(&format!("silent-{i}")).within(12_000);
        fleet.request(i % 3, call)
    });
    let silent = join_all(calls).await;
    let open: Vec<&Told> = silent.iter().filter(|one| !one.answered()).collect();
    assert_eq!(Vec::<&Told>::new(), open);
    told.extend(silent);
    assert_true(&fleet, &told);
}
