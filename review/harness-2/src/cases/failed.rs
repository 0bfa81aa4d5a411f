//! All runners but one are at work. That one crashes again and again, soon after it is back, and a
//! job waits for it.

use super::world::Size;
use super::world::World;
use super::world::wait;
use crate::Verdict;
use crate::record::Record;
use serde_json::json;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

const RUNNERS: usize = 8;
/// How long the runner is down after each crash, in milliseconds: the `for_s` of the site file.
const DOWN_MS: u64 = 4_500;
/// How long each process of the runner lives, in milliseconds.
const UP_MS: u64 = 700;
/// When each process writes its first entry in discovery, in milliseconds after its start: just
/// before it crashes.
const ENTRY_MS: u64 = 690;
/// The most crashes.
const CRASHES: usize = 16;
const JOB: &str = "00000000000000e1";

pub(crate) async fn run(program: PathBuf, trouble: bool, record: &Record) -> Verdict {
    let size = Size {
        vms: 3,
        runners: RUNNERS,
        clock_rate: 1_000,
        max_hold_ms: 6_000,
        with_cloud: false,
        verbose: true,
        labelled: 0,
        priority: 0,
    };
    let Some(world) = World::start(program, size, record).await else {
        return Verdict::NotRun("the machines did not become ready".to_owned());
    };
    wait(1_000).await;
    for number in 0..RUNNERS - 1 {
        let job = whole_runner(300_000);
        let answer = world
            .call(
                number % 3,
                "POST",
                &format!("00000000000000f{number}"),
                &job,
            )
            .await;
        if answer.is_none_or(|answer| answer.status != 200) {
            return Verdict::NotRun("a job that fills a runner was not accepted".to_owned());
        }
    }
    let busy = || {
        world
            .runners
            .iter()
            .filter(|runner| runner.starts() > 0)
            .count()
    };
    for _ in 0..50 {
        if busy() + 1 == RUNNERS {
            break;
        }
        wait(100).await;
    }
    let is_idle = |runner: &&crate::runner::Runner| runner.starts() == 0;
    let idle: Vec<_> = world.runners.iter().filter(is_idle).collect();
    let [runner] = idle[..] else {
        return Verdict::NotRun(format!("{} runners are idle", idle.len()));
    };
    if trouble {
        runner.crash();
    }
    wait(200).await;
    let answer = world.call(1, "POST", JOB, &whole_runner(2_000)).await;
    if answer.is_none_or(|answer| answer.status != 200) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    let start = Instant::now();
    let mut state = String::new();
    for _ in 0..CRASHES {
        if trouble {
            wait(DOWN_MS - 200).await;
            runner.boot();
            wait(ENTRY_MS).await;
            runner.publish(&world.store);
            wait(UP_MS - ENTRY_MS).await;
            runner.crash();
            wait(200).await;
        } else {
            wait(DOWN_MS + UP_MS).await;
        }
        let answer = world.call(2, "GET", JOB, "").await;
        state = answer.map_or(String::new(), |answer| answer.state());
        let is_over = matches!(state.as_str(), "failed" | "completed" | "cancelled");
        if is_over || start.elapsed() > Duration::from_secs(95) {
            break;
        }
    }
    let runs = world.runs_of(JOB);
    let crashed = runs
        .iter()
        .filter(|run| run.end.is_some_and(|(_, how)| how == "crashed"))
        .count();
    world.note_logs();
    let text = format!(
        "the job is shown as {state:?}; its task has started {} times, and the runner has crashed under it {crashed} times",
        runs.len()
    );
    // A task under which two runners have crashed may be given up; no run ends `failed` here.
    if state == "failed" && crashed < 2 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}

/// Returns a job of one task that takes a whole runner for `work_ms` milliseconds.
fn whole_runner(work_ms: u64) -> String {
    json!({"spec": format!("work={work_ms}"), "steps": [
        {"count": 1, "cpu": 26_000, "mem-mb": 1_024, "gpu": 8, "estimate-ms": 11_000},
    ]})
    .to_string()
}
