//! LOST: the second step of an accepted job never runs once its route has been removed, not even after
//! the path is served again by another route.

use review_harness::has_trouble;
use review_harness::record::Record;
use review_harness::site::ARENA;
use review_harness::world::PREFIX;
use review_harness::world::World;
use review_harness::world::cannot_run;
use review_harness::world::config;
use serde_json::json;
use std::path::Path;
use std::time::Duration;
use tokio::time::sleep;

/// The job.
const JOB: &str = "5c0e7a21d94b36f8";
/// The route of the job.
const ROUTE: (&str, &str) = ("r-ce7ejsm", PREFIX);
/// Another route, which stays.
const OTHER: (&str, &str) = ("r-3ajwyy7", "/pule252/");
/// The route that serves the job's path later.
const LATER: (&str, &str) = ("r-zzyyjsg", PREFIX);
/// How long the job is watched after each of the two changes.
const WATCH: Duration = Duration::from_secs(15);

#[tokio::main]
async fn main() {
    let path = std::env::var("CASE_RECORD").expect("CASE_RECORD names the record");
    let record = Record::create(Path::new(&path));
    let world = World::start(&record, 7, 6).await;
    world.operate("config", &config(&ARENA, 2, &[ROUTE, OTHER]));
    sleep(Duration::from_secs(3)).await;
    let step = json!({"count": 2, "cpu": 1000, "mem-mb": 256, "gpu": 1, "estimate-ms": 3000});
    let mut second = step.clone();
    second["after"] = json!([0]);
    let job = json!({"spec": "gpu=1 work=3000", "steps": [step, second]});
    world.submit(1, JOB, &job).await;
    if !world
        .wait(Duration::from_secs(5), |world| world.begun(JOB) == 2)
        .await
    {
        cannot_run(&record, "the first step does not start");
    }
    record.say("the first step runs");
    let trouble = has_trouble();
    let routes = if trouble {
        vec![OTHER]
    } else {
        vec![ROUTE, OTHER]
    };
    world.operate("config", &config(&ARENA, 3, &routes));
    let all = |world: &World| world.begun(JOB) == 4;
    let mut started = world.wait(WATCH, all).await;
    record.say(format!(
        "{} of 4 tasks have begun; at work: {:?}",
        world.begun(JOB),
        world.at_work(JOB)
    ));
    let routes = if trouble {
        [LATER, OTHER]
    } else {
        [ROUTE, OTHER]
    };
    world.operate("config", &config(&ARENA, 4, &routes));
    started = started || world.wait(WATCH, all).await;
    let state = world.call(2, "GET", &format!("{PREFIX}{JOB}"), "").await;
    record.say(format!(
        "the path is served again: {} of 4 tasks have begun; at work: {:?}; the job is shown as {state:?}",
        world.begun(JOB),
        world.at_work(JOB)
    ));
    record.say(if started {
        "held"
    } else {
        "BROKEN: the job has nothing running while a task's turn has come"
    });
    drop(world);
    std::process::exit(i32::from(!started));
}
