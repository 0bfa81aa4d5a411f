//! Guarantees about requests, tested with real processes.

#[expect(dead_code, reason = "other tests use the remaining helpers")]
mod support;

use futures_util::future::join_all;
use support::Fleet;
use support::calls::Call;
use support::calls::CallResult;
use support::calls::doubled;
use support::calls::false_outcomes;
use support::wait_until;
use trefoilgauge_standins::fault_rate::FaultRate;
use trefoilgauge_standins::runner::RunnerFaults;
use trefoilgauge_standins::runner::RunnerHandle;
use trefoilgauge_standins::runner::ServiceTime;

/// A service time long enough to kill a VM while its request runs.
const SLOW_SERVICE: ServiceTime = ServiceTime {
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
async fn send_mixed(fleet: &Fleet, name: &str, count: usize) -> Vec<CallResult> {
    let calls = (0..count).map(|i| {
        let call = match i % 2 {
            0 => check(&format!("{name}-{i}")),
            _ => submission(&format!("{name}-{i}")),
        };
        fleet.request(i / 2 % fleet.vms.len(), call.within(3_000))
    });
    join_all(calls).await
}

/// Waits until every VM has read all claims so far.
async fn wait_claims_read(fleet: &Fleet, name: &str) {
    for vm in 0..fleet.vms.len() {
        let call = submission(&format!("{name}-settled-{vm}"));
        wait_until("a claim is served", async || {
            fleet.request(vm, call.clone()).await.answered()
        })
        .await;
    }
}

fn assert_consistent(fleet: &Fleet, results: &[CallResult]) {
    assert_eq!(
        Vec::<String>::new(),
        false_outcomes(results, &fleet.platform.tally)
    );
    assert_eq!(
        Vec::<String>::new(),
        doubled(results, &fleet.platform.tally)
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn truncated_late_or_foreign_answers_reach_no_caller() {
    let fleet = Fleet::start(3).await;
    set_runners(&fleet, |faults| {
        faults.truncate = FaultRate::share(25);
        faults.foreign = FaultRate::share(15);
        faults.some_late = FaultRate::share(15);
        faults.some_late_ms = 4_000;
    });
    let mut results = send_mixed(&fleet, "faulty", 90).await;
    let runners = fleet.platform.runners.iter();
    let faulty: u64 = runners.map(|runner| runner.counts().faulty).sum();
    assert!(faulty > 5, "only {faulty} answers were faulty");
    set_runners(&fleet, |faults| *faults = RunnerFaults::default());
    wait_claims_read(&fleet, "faulty").await;
    results.extend(send_mixed(&fleet, "after", 60).await);
    assert_consistent(&fleet, &results);
    let answered = results.iter().filter(|one| one.answered()).count();
    assert!(
        answered > 30,
        "only {answered} of {} were answered",
        results.len()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_as_not_run_is_true_in_a_log_outage_with_a_killed_process() {
    let mut fleet = Fleet::start(3).await;
    fleet
        .log()
        .set(|faults| faults.lose_answer = FaultRate::share(50));
    let mut results = send_mixed(&fleet, "lost", 30).await;
    fleet.log().set(|faults| faults.delay_ms = 5_000);
    results.extend(send_mixed(&fleet, "slow", 18).await);
    fleet.log().set(|faults| {
        faults.delay_ms = 0;
        faults.outage = true;
    });
    let outage = send_mixed(&fleet, "outage", 30);
    let (during, ()) = tokio::join!(outage, async {
        support::vm::send_signal(fleet.vms[2].pids()[0], "KILL");
    });
    results.extend(during);
    let checks = results.iter().filter(|one| one.call.kind == "quick_check");
    let answered = checks.filter(|one| one.call.body.starts_with("outage") && one.answered());
    assert!(
        answered.count() > 0,
        "no check was answered during the outage"
    );
    let refused = results.iter().filter_map(CallResult::refused);
    let not_run = refused.filter(|refused| refused.ran == "no").count();
    assert!(not_run > 0, "nothing was refused as not run");
    fleet.log().set(|faults| *faults = Default::default());
    fleet.restart_vm(2);
    wait_claims_read(&fleet, "outage").await;
    assert_consistent(&fleet, &results);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_key_sent_to_three_vms_at_the_same_time_runs_once() {
    let fleet = Fleet::start(3).await;
    fleet
        .log()
        .set(|faults| faults.lose_answer = FaultRate::share(30));
    let mut results = Vec::new();
    for round in 0..10 {
        let call = submission(&format!("same-{round}"));
        let calls = (0..3).map(|vm| fleet.request(vm, call.clone()));
        results.extend(join_all(calls).await);
    }
    fleet
        .log()
        .set(|faults| faults.lose_answer = FaultRate::OFF);
    wait_claims_read(&fleet, "same").await;
    for round in 0..10 {
        let call = submission(&format!("same-{round}"));
        let again = fleet.request(round % 3, call).await;
        assert_ne!(
            Some("no"),
            again.refused().map(|one| one.ran.as_str()),
            "{again:?}"
        );
        results.push(again);
    }
    assert_consistent(&fleet, &results);
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
        runner.set_service("entry_submission", SLOW_SERVICE);
    }
    let tally = fleet.platform.tally.clone();
    let pid = fleet.vms[0].pids()[0];
    let (first, ()) = tokio::join!(fleet.request(0, submission("killed")), async {
        wait_until("the request runs", async || tally.of_key("killed") == 1).await;
        support::vm::send_signal(pid, "KILL");
    });
    assert!(!first.answered(), "{first:?}");
    let mut results = Vec::new();
    for vm in [1, 2, 1] {
        let again = fleet.request(vm, submission("killed")).await;
        let ran = again.refused().map(|one| one.ran.as_str());
        assert!(again.answered() || ran == Some("unknown"), "{again:?}");
        results.push(again);
    }
    fleet.restart_vm(0);
    fleet.wait_ready(0).await;
    results.push(fleet.request(0, submission("killed")).await);
    wait_claims_read(&fleet, "killed").await;
    assert_consistent(&fleet, &results);
    assert_eq!(1, tally.of_key("killed"));
}

/// Sends checks one after the other, and returns how many of them reached `runner`.
async fn requests_to(fleet: &Fleet, runner: &RunnerHandle, name: &str, count: usize) -> u64 {
    let total = |runner: &RunnerHandle| runner.counts().runs + runner.counts().leaving;
    let before = total(runner);
    for i in 0..count {
        let result = fleet.request(i % 3, check(&format!("{name}-{i}"))).await;
        assert!(result.answered(), "{result:?}");
    }
    total(runner) - before
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_runner_gets_no_new_work() {
    let fleet = Fleet::start(3).await;
    let [listed, own, ..] = &fleet.platform.runners[..] else {
        return;
    };
    assert!(requests_to(&fleet, listed, "before", 60).await > 0);
    fleet.platform.vms.leave(listed.name());
    let mut round = 0;
    wait_until("the VMs follow the list", async || {
        round += 1;
        requests_to(&fleet, listed, &format!("listed-{round}"), 30).await == 0
    })
    .await;
    fleet.platform.vms.go_back(1);
    assert_eq!(0, requests_to(&fleet, listed, "backwards", 90).await);

    assert!(requests_to(&fleet, own, "own", 60).await > 0);
    own.set(|faults| faults.leaving = true);
    let first = requests_to(&fleet, own, "leaving", 90).await;
    assert!(
        (1..=9).contains(&first),
        "{first} requests reached the leaving runner"
    );
    let runs = own.counts().runs;
    requests_to(&fleet, own, "left", 60).await;
    assert_eq!(runs, own.counts().runs);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_must_not_run_twice_are_answered_if_open_connections_go_silent() {
    let fleet = Fleet::start(3).await;
    let mut results = send_mixed(&fleet, "warm", 60).await;
    for runner in &fleet.platform.runners {
        runner.server().silence_open();
    }
    let calls = (0..18).map(|i| {
        let call = submission(&format!("silent-{i}")).within(12_000);
        fleet.request(i % 3, call)
    });
    let silent = join_all(calls).await;
    let unanswered: Vec<&CallResult> = silent.iter().filter(|one| !one.answered()).collect();
    assert_eq!(Vec::<&CallResult>::new(), unanswered);
    results.extend(silent);
    assert_consistent(&fleet, &results);
}
