//! LOST: a task that lasts stays away after its runner and the leader were lost together.

use review_harness::has_trouble;
use review_harness::record::Record;
use review_harness::world::World;
use review_harness::world::cannot_run;
use serde_json::json;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;
use tokio::time::sleep;

/// The job: one task that lasts.
const JOB: &str = "5c0e7a21d94b36f8";
/// How long the killed process of the system is away.
const RESTART: Duration = Duration::from_millis(500);
/// From when on after its last run the task has to be at work again.
const FIRST: Duration = Duration::from_secs(6);
/// How long it has to be calm before the time that counts.
const CALM: Duration = Duration::from_secs(4);
/// For how long nothing may run.
const AWAY: Duration = Duration::from_secs(3);

#[tokio::main]
async fn main() {
    let path = std::env::var("CASE_RECORD").expect("CASE_RECORD names the record");
    let record = Record::create(Path::new(&path));
    let mut world = World::start(&record, 7, 7).await;
    let job = json!({"spec": "gpu=1", "steps": [{
        "count": 1, "cpu": 1000, "mem-mb": 256, "gpu": 1, "estimate-ms": 1000, "long-running": true,
    }]});
    world.submit(0, JOB, &job).await;
    if !world
        .wait(Duration::from_secs(5), |world| {
            world.at_work(JOB).len() == 1
        })
        .await
    {
        cannot_run(&record, "the task does not start");
    }
    sleep(Duration::from_secs(3)).await;
    let leader = world.leader();
    let at = world.at_work(JOB)[0].0.clone();
    let runner = world
        .runners
        .iter()
        .find(|runner| runner.id == at)
        .unwrap()
        .clone();
    record.say(format!(
        "the task runs at {at}; {} leads",
        world.vms[leader].name
    ));
    if !has_trouble() {
        sleep(Duration::from_secs(15)).await;
        let held = world.at_work(JOB).len() == 1;
        record.say(format!(
            "without a disruption, at work all the while: {held}"
        ));
        drop(world);
        std::process::exit(i32::from(!held));
    }
    runner.crash();
    let ended = Instant::now();
    world.vms[leader].kill();
    sleep(RESTART).await;
    world.vms[leader].restart();
    let calm = Instant::now();
    let due = (ended + FIRST).max(calm + CALM) + AWAY;
    let again = world
        .wait(Duration::from_secs(40), |world| {
            world.at_work(JOB).len() == 1
        })
        .await;
    let now = Instant::now();
    let away_ms = (now - ended).as_millis();
    record.say(format!(
        "at work again: {again}, {away_ms} ms after its last run ended"
    ));
    let broken = !again || now > due;
    record.say(if broken {
        format!(
            "BROKEN: nothing runs though {} ms after the end are over",
            (due - ended).as_millis()
        )
    } else {
        "held".to_owned()
    });
    drop(world);
    std::process::exit(i32::from(broken));
}
