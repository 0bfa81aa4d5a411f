//! LOST: tasks that last stay away after their runner was lost, since two other jobs, which can never be
//! done, have put the idle runners in quarantine.

use review_harness::has_trouble;
use review_harness::record::Record;
use review_harness::world::World;
use review_harness::world::cannot_run;
use serde_json::json;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;
use tokio::time::sleep;

/// The number of sound jobs.
const SOUND: usize = 40;
/// The number of jobs whose task fails whenever it is started.
const HOPELESS: usize = 2;
/// How long the hopeless jobs have been there when the runner is lost.
const BEFORE: Duration = Duration::from_secs(34);
/// From when on after its last run the task has to be at work again.
const FIRST: Duration = Duration::from_secs(6);
/// For how long nothing may run.
const AWAY: Duration = Duration::from_secs(3);

#[tokio::main]
async fn main() {
    let path = std::env::var("CASE_RECORD").expect("CASE_RECORD names the record");
    let record = Record::create(Path::new(&path));
    let world = World::start(&record, 7, 7).await;
    let job = |spec: &str| {
        json!({"spec": spec, "steps": [{
            "count": 1, "cpu": 1000, "mem-mb": 256, "gpu": 1, "estimate-ms": 1000, "long-running": true,
        }]})
    };
    let id = |number: usize| format!("{number:016x}");
    for number in 0..SOUND {
        world.submit(number % 7, &id(number), &job("gpu=1")).await;
    }
    let trouble = has_trouble();
    if trouble && std::env::var("HOPELESS").as_deref() != Ok("0") {
        for number in SOUND..SOUND + HOPELESS {
            world
                .submit(number % 7, &id(number), &job("gpu=1 fail=400"))
                .await;
        }
    }
    sleep(BEFORE).await;
    let Some((at, ..)) = world.at_work(&id(0)).first().cloned() else {
        cannot_run(&record, "a sound task is not at work");
    };
    let runner = world.runners.iter().find(|runner| runner.id == at).unwrap();
    let is_here = |number: &usize| {
        world
            .at_work(&id(*number))
            .iter()
            .any(|(name, ..)| *name == at)
    };
    let moved: Vec<usize> = (0..SOUND).filter(is_here).collect();
    record.say(format!("{} sound tasks are at work at {at}", moved.len()));
    if trouble {
        runner.crash();
    }
    let ended = Instant::now();
    let away = |world: &World| {
        let away = moved
            .iter()
            .filter(|number| world.at_work(&id(**number)).is_empty());
        away.count()
    };
    sleep(FIRST + AWAY).await;
    let late = away(&world);
    record.say(format!(
        "{late} of them have nothing running 9 s after their last run"
    ));
    let all = world
        .wait(Duration::from_secs(35), |world| away(world) == 0)
        .await;
    record.say(format!(
        "all are at work: {all}, after {} ms",
        ended.elapsed().as_millis()
    ));
    record.say(if late > 0 {
        "BROKEN: tasks that last have nothing running for 3 s, from 6 s after their last run"
    } else {
        "held"
    });
    drop(world);
    std::process::exit(i32::from(late > 0));
}
