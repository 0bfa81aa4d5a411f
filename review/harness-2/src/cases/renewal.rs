//! A renewal of a runner's lease is held up on its way. The runner crashes and starts again under its
//! id, a task starts there, the renewal reaches the new process, and the runner is cut off.

use super::overlap::overlap;
use super::world::Size;
use super::world::World;
use super::world::wait;
use crate::Verdict;
use crate::record::Record;
use serde_json::json;
use std::path::PathBuf;
use std::time::Duration;

/// How long the runner has been up when it crashes, in milliseconds: longer than a lease lasts.
const UP_MS: u64 = 15_000;
/// How long it is down, in milliseconds.
const DOWN_MS: u64 = 1_000;
/// When the held-up renewal is carried out, in milliseconds after the new process was called.
const LATE_MS: u64 = 2_500;
/// How long the runner is cut off, in milliseconds: the `for_s` of the site file.
const CUT_MS: u64 = 5_500;
const FIRST: &str = "00000000000000a1";
const SECOND: &str = "00000000000000a2";
const THIRD: &str = "00000000000000a3";

pub(crate) async fn run(program: PathBuf, trouble: bool, record: &Record) -> Verdict {
    let size = Size {
        vms: 3,
        runners: 7,
        clock_rate: 1_000,
        max_hold_ms: 6_000,
        with_cloud: false,
        verbose: true,
        labelled: 2,
        priority: 1,
    };
    let Some(world) = World::start(program, size, record).await else {
        return Verdict::NotRun("the machines did not become ready".to_owned());
    };
    wait(UP_MS).await;
    let job = |work_ms: u64| {
        json!({"spec": format!("work={work_ms}"), "steps": [
            {"count": 1, "cpu": 26_000, "mem-mb": 1_024, "gpu": 8, "estimate-ms": 20_000,
             "required-label": "b"},
        ]})
        .to_string()
    };
    // Both labelled runners get a task; the lease of one of them is renewed late.
    for id in [FIRST, THIRD] {
        let answer = world.call(0, "POST", id, &job(60_000)).await;
        if answer.is_none_or(|answer| answer.status != 200) {
            return Verdict::NotRun("a job was not accepted".to_owned());
        }
    }
    wait(1_000).await;
    let Some(place) = world.runs_of(FIRST).first().map(|run| run.runner.clone()) else {
        return Verdict::NotRun("the first task did not start".to_owned());
    };
    let runner = world.runners.iter().find(|runner| runner.id == place);
    let runner = runner.unwrap().clone();
    runner.hold_up();
    for _ in 0..300 {
        if runner.is_held_up() {
            break;
        }
        wait(10).await;
    }
    if !runner.is_held_up() {
        return Verdict::NotRun("there was no renewal to hold up".to_owned());
    }
    world.call(0, "DELETE", FIRST, "").await;
    runner.crash();
    wait(DOWN_MS).await;
    runner.boot();
    runner.publish(&world.store);
    let mut called = None;
    for _ in 0..500 {
        called = runner.called_at();
        if called.is_some() {
            break;
        }
        wait(10).await;
    }
    let Some(called) = called else {
        return Verdict::NotRun("the new process was not called".to_owned());
    };
    let answer = world.call(1, "POST", SECOND, &job(60_000)).await;
    if answer.is_none_or(|answer| answer.status != 200) {
        return Verdict::NotRun("the second job was not accepted".to_owned());
    }
    wait(1_000).await;
    let here = |run: &crate::runner::Run| run.runner == runner.id;
    if !world.runs_of(SECOND).iter().any(here) {
        return Verdict::NotRun("the task did not start at the runner".to_owned());
    }
    world.call(2, "DELETE", THIRD, "").await;
    let late = called + Duration::from_millis(LATE_MS);
    tokio::time::sleep_until(late.into()).await;
    if trouble {
        runner.carry_out();
        record.note(format!("{} is cut off from all machines", runner.id));
        runner.set_cut(true);
    }
    wait(CUT_MS).await;
    if trouble {
        record.note(format!("the cut of {} ends", runner.id));
        runner.set_cut(false);
    }
    wait(5_000).await;
    let runs = world.runs_of(SECOND);
    for run in &runs {
        let end = run.end.map(|(at, how)| {
            format!(
                "{how} after {} ms",
                at.duration_since(run.start).as_millis()
            )
        });
        record.note(format!(
            "run {} of {} at {}: {end:?}",
            run.run, run.task, run.runner
        ));
    }
    world.note_logs();
    overlap(&runs)
}
