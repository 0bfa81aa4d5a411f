//! Guarantees about planned stops and configuration, tested with real processes.

#[expect(dead_code, reason = "other tests use the remaining helpers")]
mod support;

use serde_json::Value;
use serde_json::json;
use std::collections::BTreeSet;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use support::Fleet;
use support::calls::Call;
use support::calls::CallResult;
use support::calls::Outcome;
use support::calls::doubled;
use support::calls::false_outcomes;
use support::wait_until;
use trefoilgauge_standins::client::Client;
use trefoilgauge_standins::platform::records;
use trefoilgauge_standins::shared::Shared;
use trefoilgauge_standins::worker::profiles::TaskProfile;

/// The callers' addresses of the VMs in a load balancer's rotation.
#[derive(Default)]
struct Rotation {
    addrs: Shared<Vec<String>>,
    next: AtomicUsize,
    ended: AtomicBool,
}

impl Rotation {
    fn add(&self, fleet: &Fleet, vm: usize) {
        let addr = fleet.vms[vm].settings.callers.listen.to_string();
        self.addrs.with(|addrs| addrs.push(addr));
    }

    fn remove_first(&self) {
        self.addrs.with(|addrs| addrs.remove(0));
    }

    fn pick(&self) -> String {
        let index = self.next.fetch_add(1, Ordering::Relaxed);
        self.addrs.with(|addrs| addrs[index % addrs.len()].clone())
    }

    /// Sends calls until the rotation ends; a call refused as not run is retried on the next VM.
    async fn call(&self, name: usize) -> Vec<CallResult> {
        let client = Client::new(Duration::from_secs(30));
        let kinds = ["relief_scan", "entry_submission", "quick_check"];
        let mut results = Vec::new();
        for i in 0.. {
            if self.ended.load(Ordering::Relaxed) {
                break;
            }
            let body = format!("caller-{name}-{i}");
            let call = Call::new(kinds[i % kinds.len()], &body).keyed(&body);
            for _ in 0..20 {
                let one = support::calls::request(&client, &self.pick(), call.clone()).await;
                let retry = one.refused().is_some_and(|refused| refused.ran == "no");
                results.push(one);
                if !retry {
                    break;
                }
            }
        }
        results
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_rolling_replacement_of_all_vms_drops_no_call_and_runs_none_twice() {
    let mut fleet = Fleet::start_with(7, |settings| {
        settings.keeper.lease_ms = 12_000;
        settings.keeper.lapse_ms = 20_000;
    })
    .await;
    fleet.platform.profiles.set("long", TaskProfile::run(6_000));
    let job = json!({
        "id": "long", "kind": "relief_scan", "members": 2, "accelerators": 8,
        "adjacency": "rack", "run_ms": 6_000,
    });
    assert_eq!(201, fleet.submit(0, "scoring", &job).await.0);
    let tally = fleet.platform.tally.clone();
    let history = fleet.platform.history.clone();
    wait_until("the gang runs", async || history.of_job("long").len() == 2).await;

    let rotation = Rotation::default();
    (0..7).for_each(|vm| rotation.add(&fleet, vm));
    let callers = futures_util::future::join_all((0..12).map(|name| rotation.call(name)));
    let (results, fleet) = tokio::join!(callers, async {
        for old in 0..7 {
            let new = fleet.add_vm();
            fleet.wait_ready(new).await;
            rotation.add(&fleet, new);
            rotation.remove_first();
            tokio::time::sleep(Duration::from_millis(50)).await;
            fleet.vms[old].signal("TERM");
            let clean = fleet.vms[old].exits_cleanly(Duration::from_secs(60)).await;
            assert!(clean, "VM {old} did not exit successfully");
            let name = fleet.vms[old].settings.vm.clone();
            fleet.platform.vms.remove(&name);
        }
        fleet
            .wait_phase(13, "scoring", "long", &json!({"ended": "done"}))
            .await;
        rotation.ended.store(true, Ordering::Relaxed);
        fleet
    });
    let results: Vec<CallResult> = results.into_iter().flatten().collect();
    assert!(results.len() > 100, "only {} calls", results.len());
    let dropped: Vec<&CallResult> = results
        .iter()
        .filter(|one| matches!(one.outcome, Outcome::NoAnswer(_) | Outcome::Wrong(_)))
        .collect();
    assert_eq!(
        Vec::<&CallResult>::new(),
        dropped,
        "dropped of {}",
        results.len()
    );
    assert_eq!(Vec::<String>::new(), false_last_outcomes(&results, &tally));
    assert_eq!(Vec::<String>::new(), doubled(&results, &tally));
    let tokens: BTreeSet<u64> = history.of_job("long").iter().map(|one| one.token).collect();
    assert_eq!(1, tokens.len(), "the gang was restarted");
    drop(fleet);
}

/// Returns the last call of each body if it was not answered or its outcome is false. Earlier
/// calls of a body were refused as not run and retried.
fn false_last_outcomes(
    results: &[CallResult],
    tally: &trefoilgauge_standins::tally::Tally,
) -> Vec<String> {
    let last = results.iter().enumerate().filter(|(i, one)| {
        let next = results.get(i + 1);
        next.is_none_or(|next| next.call.body != one.call.body)
    });
    let last: Vec<CallResult> = last.map(|(_, one)| one.clone()).collect();
    let unanswered = last.iter().filter(|one| !one.answered());
    let mut found: Vec<String> = unanswered.map(|one| format!("{one:?}")).collect();
    found.extend(false_outcomes(&last, tally));
    found
}

fn kind(deadline_ms: u64) -> Value {
    json!({"pool": "main", "priority": "urgent", "idempotent": true, "deadline_ms": deadline_ms})
}

/// Returns the deadline of quick checks that a ready VM has in force, with its version.
async fn in_force(fleet: &Fleet, vm: usize) -> Option<(u64, u64)> {
    let ready = fleet.ops(vm, "/ready").await?;
    if ready["ready"] != json!(true) {
        return None;
    }
    let kinds = fleet.ops(vm, "/ops/ledger/kinds").await?;
    let held = &kinds["quick_check"];
    Some((
        held["version"].as_u64()?,
        held["value"]["deadline_ms"].as_u64()?,
    ))
}

/// Waits until every VM has the change at `offset` in force, with this deadline.
async fn wait_everywhere(fleet: &Fleet, offset: u64, deadline_ms: u64) {
    for vm in 0..fleet.vms.len() {
        wait_until("a change is in force", async || {
            let seen = in_force(fleet, vm).await;
            if let Some((version, _)) = seen {
                assert!(version <= offset + 1, "VM {vm} has version {version}");
            }
            seen == Some((offset + 1, deadline_ms))
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_accepted_configuration_is_in_force_everywhere_and_never_reverts() {
    let mut fleet = Fleet::start_with(3, |settings| settings.log.checkpoint_every = 4).await;
    let object = "kind/quick_check";

    let offset = fleet.publish(0, object, "plain", kind(5_001)).await;
    wait_everywhere(&fleet, offset, 5_001).await;

    let replaces = fleet.version(0, object).await;
    let first = records::change(1, object, "first", replaces, kind(5_002));
    let second = records::change(2, object, "second", replaces, kind(5_003));
    let offset = fleet.log().append("config", first);
    let refused = fleet.log().append("config", second);
    wait_everywhere(&fleet, offset, 5_002).await;
    for vm in 0..3 {
        wait_until("the second change is refused", async || {
            let verdict = fleet.ops(vm, "/ops/changes/kind-quick_check-second").await;
            verdict.is_some_and(|one| {
                one["offset"] == json!(refused) && one["refused"][0]["place"] == json!("/replaces")
            })
        })
        .await;
    }
    wait_everywhere(&fleet, offset, 5_002).await;

    fleet.log().set(|faults| faults.outage = true);
    fleet.vms[2].signal("STOP");
    let record = records::change(2, object, "outage", offset + 1, kind(5_004));
    let offset = fleet.log().append("config", record);
    wait_until("the outage is seen", async || {
        let ready = fleet.ops(0, "/ready").await;
        ready.is_some_and(|one| one["log_up"] == json!(false))
    })
    .await;
    fleet.restart_vm(1);
    fleet.log().set(|faults| faults.outage = false);
    fleet.vms[2].signal("CONT");
    wait_everywhere(&fleet, offset, 5_004).await;

    let mut last = offset;
    for i in 0..10 {
        let record = records::change(2, object, &format!("more-{i}"), last + 1, kind(6_000 + i));
        last = fleet.log().append("config", record);
        wait_everywhere(&fleet, last, 6_000 + i).await;
    }
    wait_until("a checkpoint is written", async || {
        !fleet.log().records("checkpoint").is_empty()
    })
    .await;
    fleet.log().set_keep(8);
    for vm in 0..3 {
        fleet.restart_vm(vm);
        fleet.wait_ready(vm).await;
        let seen = in_force(&fleet, vm).await;
        assert_eq!(Some((last + 1, 6_009)), seen, "VM {vm} after retention");
    }
}
