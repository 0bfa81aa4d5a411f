//! TWICE: a task that is done runs again, as an order to start it that was held up reaches the next
//! process of its runner.

use review_harness::has_trouble;
use review_harness::record::Record;
use review_harness::runner::Run;
use review_harness::world::PREFIX;
use review_harness::world::World;
use review_harness::world::cannot_run;
use serde_json::json;
use std::path::Path;
use std::time::Duration;
use tokio::time::sleep;

/// The job: one task.
const JOB: &str = "5c0e7a21d94b36f8";
/// How long the runner is down.
const DOWN: Duration = Duration::from_secs(1);
/// How long after the job is shown as completed its runner crashes.
const BEFORE: Duration = Duration::from_millis(1_500);

fn runs(world: &World) -> Vec<(String, Run)> {
    let runners = world.runners.iter();
    let named = runners.flat_map(|runner| {
        let runs = runner.runs().into_iter();
        runs.map(|run| (runner.id.clone(), run))
    });
    named.filter(|(_, run)| run.task.starts_with(JOB)).collect()
}

#[tokio::main]
async fn main() {
    let path = std::env::var("CASE_RECORD").expect("CASE_RECORD names the record");
    let record = Record::create(Path::new(&path));
    let world = World::start(&record, 7, 7).await;
    let trouble = has_trouble();
    if trouble {
        // Whichever is chosen; orders about all other tasks and runs pass.
        for runner in &world.runners {
            runner.hold_up(JOB);
        }
    }
    let job = json!({"spec": "gpu=1 work=300", "steps": [{
        "count": 1, "cpu": 1000, "mem-mb": 256, "gpu": 1, "estimate-ms": 300,
    }]});
    world.submit(0, JOB, &job).await;
    let mut shown = false;
    for _ in 0..100 {
        let state = world.call(1, "GET", &format!("{PREFIX}{JOB}"), "").await;
        shown = matches!(&state, Some((200, body)) if body.contains("completed"));
        if shown {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    if !shown {
        cannot_run(&record, "the job is not completed");
    }
    record.say("the job is shown as completed");
    sleep(BEFORE).await;
    if trouble {
        let held = world.runners.iter().find(|runner| runner.has_held_up());
        let Some(runner) = held else {
            cannot_run(&record, "no order was held up");
        };
        runner.restart(DOWN).await;
    }
    sleep(Duration::from_secs(5)).await;
    let all = runs(&world);
    for (at, run) in &all {
        let began_ms = run.began.elapsed().as_millis();
        let how = run.end.map(|(_, how)| how);
        record.say(format!(
            "{} run {} began at {at} {began_ms} ms ago: {how:?}",
            run.task, run.run
        ));
    }
    let done = all
        .iter()
        .filter_map(|(_, run)| run.end.filter(|(_, how)| *how == "done"));
    let first = done.map(|(at, _)| at).min();
    let again = all
        .iter()
        .filter(|(_, run)| first.is_some_and(|at| run.began >= at));
    let broken = again.count() > 0;
    record.say(if broken {
        "BROKEN: a task runs again after a run has ended as done, which was taken note of"
    } else {
        "held"
    });
    drop(world);
    std::process::exit(i32::from(broken));
}
