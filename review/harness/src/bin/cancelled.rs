//! UNASKED: a cancelled task runs on after the lead has changed while its runner was cut off.

use review_harness::has_trouble;
use review_harness::record::Record;
use review_harness::world::CONTACT;
use review_harness::world::PREFIX;
use review_harness::world::World;
use review_harness::world::cannot_run;
use serde_json::json;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;
use tokio::time::sleep;

/// The job: one task that lasts.
const JOB: &str = "5c0e7a21d94b36f8";
/// `cancel_ms` of the site.
const CANCEL: Duration = Duration::from_millis(3_000);
/// `stop-ms` of the site.
const STOP: Duration = Duration::from_millis(200);
/// How long the runner is cut off in all.
const CUT: Duration = Duration::from_millis(2_500);
/// How long the task is watched after the time by which it has to be gone.
const WATCH: Duration = Duration::from_secs(15);

#[tokio::main]
async fn main() {
    let path = std::env::var("CASE_RECORD").expect("CASE_RECORD names the record");
    let record = Record::create(Path::new(&path));
    let mut world = World::start(&record, 7, 6).await;
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
    sleep(Duration::from_secs(2)).await;
    let leader = world.leader();
    let other = (leader + 1) % world.vms.len();
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

    let trouble = has_trouble();
    let cut_at = Instant::now();
    if trouble {
        runner.set_cut(true);
        sleep(Duration::from_millis(300)).await;
    }
    let answer = world
        .call(other, "DELETE", &format!("{PREFIX}{JOB}"), "")
        .await;
    if !matches!(answer, Some((200..=299, _))) {
        cannot_run(&record, "the cancelling is not acknowledged");
    }
    record.say("the cancelling is acknowledged");
    if trouble {
        sleep(Duration::from_millis(500)).await;
        world.vms[leader].kill();
        sleep(CUT.saturating_sub(cut_at.elapsed())).await;
        runner.set_cut(false);
        world.vms[leader].restart();
    }
    // Nothing is disturbed any more: the task has to be gone after a calm stretch.
    sleep(CONTACT + CANCEL + STOP).await;
    let mut left = world.at_work(JOB);
    record.say(format!("after the calm stretch, at work: {left:?}"));
    let end = Instant::now() + WATCH;
    while !left.is_empty() && Instant::now() < end {
        sleep(Duration::from_secs(1)).await;
        left = world.at_work(JOB);
    }
    let state = world
        .call(other, "GET", &format!("{PREFIX}{JOB}"), "")
        .await;
    record.say(format!("the job is shown as {state:?}; at work: {left:?}"));
    let broken = !left.is_empty();
    record.say(if broken {
        "BROKEN: a cancelled task runs on"
    } else {
        "held"
    });
    drop(world);
    std::process::exit(i32::from(broken));
}
