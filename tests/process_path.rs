//! End-to-end test with real processes: requests of each kind and a gang, while a VM is killed.

#[expect(dead_code, reason = "other tests use the remaining helpers")]
mod support;

use futures_util::future::join_all;
use serde_json::json;
use support::Fleet;
use support::calls::Call;
use support::calls::CallResult;
use support::calls::Outcome;
use support::calls::Refused;
use support::calls::doubled;
use support::calls::false_outcomes;
use support::vm::send_signal;
use trefoilgauge_standins::runner::ServiceTime;
use trefoilgauge_standins::runner::digest;
use trefoilgauge_standins::tally::Execution;
use trefoilgauge_standins::tally::Tally;
use trefoilgauge_standins::worker::profiles::TaskProfile;

const KINDS: [&str; 7] = [
    "relief_scan",
    "quick_check",
    "erosion_comparison",
    "entry_submission",
    "annual_ledger",
    "quick_invoice",
    "payroll_batch",
];
/// The VM that is killed.
const KILLED_VM: usize = 2;
/// The part of call names that marks calls sent to it.
const KILLED_VM_MARK: &str = "-2-";
/// The service time of kinds that must not run twice, so that they run while the VM is killed.
const SLOW_SERVICE: ServiceTime = ServiceTime {
    min_ms: 400,
    max_ms: 400,
};

fn call(kind: &str, vm: usize, round: usize) -> Call {
    let name = format!("{kind}-{vm}-{round}");
    Call::new(kind, &name).keyed(&name).within(30_000)
}

/// Sends one request of each kind to a VM, one after the other.
async fn caller(fleet: &Fleet, vm: usize, round: usize) -> Vec<CallResult> {
    let mut results = Vec::new();
    for i in 0..KINDS.len() {
        let kind = KINDS[(i + 2 * round) % KINDS.len()];
        results.push(fleet.request(vm, call(kind, vm, round)).await);
    }
    results
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_caller_gets_one_complete_correct_answer_while_a_vm_is_killed() {
    let fleet = Fleet::start(7).await;
    fleet
        .platform
        .profiles
        .set("scan-1", TaskProfile::run(1_500));
    let job = json!({
        "id": "scan-1", "kind": "relief_scan", "members": 2, "accelerators": 8,
        "cores": 16, "memory_gb": 32, "adjacency": "rack", "run_ms": 1_500,
    });
    let (status, body) = fleet.submit(KILLED_VM, "scoring", &job).await;
    assert_eq!(201, status, "{body}");

    let single = fleet.platform.non_idempotent_kinds();
    for runner in &fleet.platform.runners {
        single
            .iter()
            .for_each(|kind| runner.set_service(kind, SLOW_SERVICE));
    }
    let pids = fleet.vms[KILLED_VM].pids();
    let load = (0..28).map(|i| caller(&fleet, i % 7, i / 7));
    let (results, ()) = tokio::join!(join_all(load), async {
        support::wait_until("requests run", async || {
            !fleet.platform.tally.all().is_empty()
        })
        .await;
        for pid in pids {
            send_signal(pid, "KILL");
        }
    });
    let mut results: Vec<CallResult> = results.into_iter().flatten().collect();

    let unanswered: Vec<Call> = results
        .iter()
        .filter(|one| matches!(one.outcome, Outcome::NoAnswer(_)))
        .map(|one| one.call.clone())
        .collect();
    assert!(!unanswered.is_empty(), "the kill interrupted no call");
    for call in unanswered {
        results.push(fleet.request(KILLED_VM + 1, call).await);
    }

    fleet
        .wait_phase(0, "scoring", "scan-1", &json!({"ended": "done"}))
        .await;
    let tally = &fleet.platform.tally;
    assert_eq!(Vec::<String>::new(), false_outcomes(&results, tally));
    assert_eq!(
        0,
        tally.doubled(&single).len(),
        "{:?}",
        tally.doubled(&single)
    );
    let at_others = results
        .iter()
        .filter(|one| !one.call.body.contains(KILLED_VM_MARK));
    let refused: Vec<&CallResult> = at_others.filter(|one| !one.answered()).collect();
    assert_eq!(
        Vec::<&CallResult>::new(),
        refused,
        "calls to other VMs were not answered"
    );
    let history = &fleet.platform.history;
    assert_eq!(Vec::<String>::new(), history.partial("scan-1", 2, 3_000));
    assert_eq!(Vec::<String>::new(), history.overlaps());
    assert_eq!(Vec::<String>::new(), history.double_held());
}

#[test]
fn the_checks_find_planted_violations() {
    let result = |kind: &str, outcome| CallResult {
        call: Call::new(kind, kind).keyed(kind),
        outcome,
    };
    let refused = |ran: &str, retry| {
        Outcome::Refused(Refused {
            status: 503,
            code: "draining".into(),
            ran: ran.into(),
            retry,
        })
    };
    let tally = Tally::default();
    for name in ["ran", "ran", "once"] {
        tally.add(Execution {
            runner: "runner-1".into(),
            kind: name.into(),
            request: name.into(),
            key: Some(name.into()),
            digest: digest(name.as_bytes()),
        });
    }
    let cases = [
        (result("never", Outcome::Answered), 1, 0),
        (result("once", Outcome::Answered), 0, 0),
        (result("ran", Outcome::Replayed), 0, 1),
        (result("once", refused("no", true)), 1, 0),
        (result("never", refused("no", true)), 0, 0),
        (result("never", refused("no", false)), 1, 0),
        (result("never", refused("yes", true)), 1, 0),
        (result("once", Outcome::Wrong(String::new())), 1, 0),
        (result("once", refused("unknown", true)), 0, 0),
    ];
    for (one, wrong, twice) in cases {
        let one = [one];
        assert_eq!(wrong, false_outcomes(&one, &tally).len(), "{one:?}");
        assert_eq!(twice, doubled(&one, &tally).len(), "{one:?}");
    }
}
