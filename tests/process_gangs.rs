//! Guarantees about gangs, tested with real processes.

#[expect(dead_code, reason = "other tests use the remaining helpers")]
mod support;

use serde_json::Value;
use serde_json::json;
use std::time::Duration;
use support::Fleet;
use support::wait_until;
use trefoilgauge_standins::fault_rate::FaultRate;
use trefoilgauge_standins::serve::ConnectionMode;
use trefoilgauge_standins::worker::profiles::TaskProfile;

/// A run time longer than any test, in milliseconds.
const ENDLESS_MS: u64 = 600_000;
/// How long a gang that lost a worker may keep running on its other workers, in milliseconds.
const GRACE_MS: u64 = 15_000;

fn scan(id: &str, members: u32, run_ms: u64) -> Value {
    json!({
        "id": id, "kind": "relief_scan", "members": members, "accelerators": 8,
        "cores": 8, "memory_gb": 16, "adjacency": "rack", "run_ms": run_ms,
    })
}

async fn submit(fleet: &Fleet, vm: usize, workspace: &str, job: &Value, run_ms: u64) {
    let id = job["id"].as_str().unwrap_or_default();
    fleet.platform.profiles.set(id, TaskProfile::run(run_ms));
    let (status, body) = fleet.submit(vm, workspace, job).await;
    assert_eq!(201, status, "{body}");
}

async fn wait_done(fleet: &Fleet, vm: usize, id: &str) {
    let done = json!({"ended": "done"});
    fleet.wait_phase(vm, "scoring", id, &done).await;
}

fn assert_complete(fleet: &Fleet, id: &str, members: u32, grace_ms: u64) {
    let history = &fleet.platform.history;
    assert_eq!(Vec::<String>::new(), history.partial(id, members, grace_ms));
    assert_eq!(Vec::<String>::new(), history.overlaps());
    assert_eq!(Vec::<String>::new(), history.double_held());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_guaranteed_shape_is_reclaimed_while_workers_are_frozen() {
    let fleet = Fleet::start(3).await;
    let workers = &fleet.platform.workers;
    for i in 0..workers.len() {
        let job = scan(&format!("borrowed-{i}"), 1, ENDLESS_MS);
        submit(&fleet, i % 3, "judging", &job, ENDLESS_MS).await;
    }
    wait_until("every worker is busy", async || {
        workers.iter().all(|worker| !worker.held().is_empty())
    })
    .await;
    let (one, two) = (&workers[0], &workers[workers.len() - 1]);
    one.freeze();
    two.freeze();
    submit(&fleet, 1, "scoring", &scan("owed", 2, 1_000), 1_000).await;
    wait_done(&fleet, 1, "owed").await;
    one.thaw();
    two.thaw();
    wait_until("the frozen workers answer", async || {
        fleet.gang(1, "judging", "borrowed-0").await.is_some() && one.syncs() > 0
    })
    .await;
    assert_complete(&fleet, "owed", 2, 1_000);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gang_runs_complete_if_workers_restart_between_prepare_and_start() {
    let fleet = Fleet::start(3).await;
    let run_ms = 2_500;
    for worker in &fleet.platform.workers[..3] {
        worker.set(|faults| faults.restart_prepared = FaultRate::next(1));
    }
    for worker in &fleet.platform.workers[4..7] {
        worker.set(|faults| faults.restart_prepared = FaultRate::next(1));
    }
    submit(&fleet, 0, "scoring", &scan("dying", 4, run_ms), run_ms).await;
    wait_done(&fleet, 1, "dying").await;
    let boots = fleet.platform.workers.iter().map(|worker| worker.boot());
    assert!(boots.max() > Some(1), "no worker restarted");
    assert_complete(&fleet, "dying", 4, run_ms);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gang_runs_complete_while_placers_pause_and_resume() {
    let fleet = Fleet::start(3).await;
    let run_ms = 2_000;
    for vm in 0..3 {
        let id = format!("paused-{vm}");
        fleet.vms[vm].placer.signal("STOP");
        submit(&fleet, vm, "scoring", &scan(&id, 4, run_ms), run_ms).await;
        wait_done(&fleet, vm, &id).await;
        fleet.vms[vm].placer.signal("CONT");
        assert_complete(&fleet, &id, 4, run_ms);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_member_starts_before_all_are_prepared() {
    let fleet = Fleet::start(3).await;
    let frozen = [&fleet.platform.workers[1], &fleet.platform.workers[5]];
    frozen.iter().for_each(|worker| worker.freeze());
    submit(&fleet, 0, "scoring", &scan("held", 4, 500), 500).await;
    wait_until("the gang is placed", async || {
        let gang = fleet.gang(0, "scoring", "held").await.unwrap_or_default();
        gang["attempt"].as_u64() > Some(0)
    })
    .await;
    fleet
        .wait_phase(0, "scoring", "held", &json!("queued"))
        .await;
    let started = fleet.platform.history.of_job("held");
    assert!(started.is_empty(), "{started:?}");
    frozen.iter().for_each(|worker| worker.thaw());
    wait_done(&fleet, 0, "held").await;
    assert_complete(&fleet, "held", 4, 500);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gang_is_placed_again_complete_if_a_worker_is_cut_off() {
    let fleet = Fleet::start(3).await;
    let run_ms = 4_000;
    submit(&fleet, 0, "scoring", &scan("cut", 2, run_ms), run_ms).await;
    let history = &fleet.platform.history;
    wait_until("the gang runs", async || history.of_job("cut").len() == 2).await;
    let name = history.of_job("cut")[0].worker.clone();
    let mut workers = fleet.platform.workers.iter();
    let cut = workers.find(|worker| *worker.name() == name);
    cut.into_iter()
        .for_each(|worker| worker.server().set_connection_mode(ConnectionMode::Silent));
    wait_done(&fleet, 0, "cut").await;
    assert!(
        history.of_job("cut").len() > 2,
        "the gang was not placed again"
    );
    assert_complete(&fleet, "cut", 2, GRACE_MS);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_running_gang_is_not_stopped_by_placers_that_pause_and_resume() {
    let fleet = Fleet::start(3).await;
    let run_ms = 9_000;
    submit(&fleet, 0, "scoring", &scan("calm", 4, run_ms), run_ms).await;
    let history = &fleet.platform.history;
    wait_until("the gang runs", async || history.of_job("calm").len() == 4).await;
    for vm in &fleet.vms {
        vm.placer.signal("STOP");
        tokio::time::sleep(Duration::from_millis(2_300)).await;
        vm.placer.signal("CONT");
    }
    wait_done(&fleet, 0, "calm").await;
    assert_complete(&fleet, "calm", 4, run_ms);
    let tokens = history.of_job("calm").len();
    assert_eq!(4, tokens, "{:?}", history.of_job("calm"));
}
