//! ONE: a machine of the system that has been replaced as leader orders a machine's maintenance again
//! after its successor did, with its lower fencing token.

use review_harness::has_trouble;
use review_harness::machines::Machines;
use review_harness::record::Record;
use review_harness::site::JUGNU;
use review_harness::store::Store;
use review_harness::world::World;
use review_harness::world::cannot_run;
use review_harness::world::start_runners;
use serde_json::json;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;
use tokio::time::sleep;

/// The job that keeps the runners busy.
const JOB: &str = "5c0e7a21d94b36f8";
/// How long the leader stands still.
const FREEZE: Duration = Duration::from_secs(4);
/// How long the platform's service for machines answers 503.
const OUTAGE: Duration = Duration::from_secs(5);

#[tokio::main]
async fn main() {
    let path = std::env::var("CASE_RECORD").expect("CASE_RECORD names the record");
    let record = Record::create(Path::new(&path));
    let store = Store::new(&record);
    let runners = start_runners(6, &JUGNU, &store, &record).await;
    let named: Vec<(String, String)> = (1..=6)
        .map(|number| (format!("m{number}"), format!("w{number}")))
        .collect();
    let machines = Machines::start(&named, &record).await;
    let world = World::start_with(&record, &JUGNU, store, runners, 7, Some(machines.addr)).await;
    // Each runner works for some seconds, so that its machine is cleared first.
    let job = json!({"spec": "gpu=8 work=3000", "steps": [{
        "count": 6, "cpu": 1000, "mem-mb": 256, "gpu": 8, "estimate-ms": 3000,
    }]});
    world.submit(0, JOB, &job).await;
    if !world
        .wait(Duration::from_secs(5), |world| {
            world.at_work(JOB).len() == 6
        })
        .await
    {
        cannot_run(&record, "the tasks do not start");
    }
    let trouble = has_trouble();
    let wave = json!({"wave": 1, "machines": ["m1", "m2", "m3"], "within-s": 40.0, "maximum": 3});
    world.operate("wave/1", &wave);
    sleep(Duration::from_millis(800)).await;
    let outage = Instant::now();
    if trouble {
        machines.set_down(true);
    }
    let ordered = Instant::now();
    while machines.orders().is_empty() {
        if ordered.elapsed() > Duration::from_secs(20) {
            cannot_run(&record, "no machine is ordered down");
        }
        sleep(Duration::from_millis(20)).await;
    }
    if trouble {
        let leader = world.leader();
        // Some hundred milliseconds after its order, when that has been answered.
        sleep(Duration::from_millis(250)).await;
        world.vms[leader].signal("STOP");
        let frozen = Instant::now();
        sleep(OUTAGE.saturating_sub(outage.elapsed()).min(FREEZE)).await;
        machines.set_down(false);
        sleep(FREEZE.saturating_sub(frozen.elapsed())).await;
        world.vms[leader].signal("CONT");
    }
    sleep(Duration::from_secs(15)).await;
    let mut highest: BTreeMap<String, (u64, String)> = BTreeMap::new();
    let mut broken = 0;
    for order in machines.orders() {
        let known = highest.entry(order.machine.clone()).or_default();
        if order.token < known.0 {
            broken += 1;
            record.say(format!(
                "BROKEN: {} orders {} with token {} after {} did with token {}",
                order.holder, order.machine, order.token, known.1, known.0
            ));
        } else {
            *known = (order.token, order.holder.clone());
        }
    }
    let state = world
        .store
        .newest("keyed.status", "wave/1")
        .unwrap_or_default();
    record.say(format!(
        "the wave is said to be {}",
        String::from_utf8_lossy(&state)
    ));
    record.say(if broken > 0 { "broken" } else { "held" });
    drop(world);
    std::process::exit(i32::from(broken > 0));
}
