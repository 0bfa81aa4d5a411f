//! A periodic job of two steps: many small tasks that save their progress, then one that merges
//! their results on the only runner with a certain label. That runner is lost for good, so the
//! occurrences of the job stay open. Another periodic job needs no such runner.

use super::world::Size;
use super::world::World;
use super::world::wait;
use crate::Verdict;
use crate::record::Record;
use crate::runner::Run;
use crate::runner::Runner;
use crate::store::RECORD_BYTES;
use serde_json::json;
use std::path::PathBuf;
use std::time::Instant;

const RUNNERS: usize = 8;
const MERGING: &str = "00000000000000c1";
const OTHER: &str = "00000000000000c2";
/// The number of small tasks of each occurrence of the first job.
const TASKS: u64 = 1_000;
/// The time between two of its occurrences, in milliseconds.
const INTERVAL_MS: u64 = 2_000;
/// How long the case plays before the runner is lost, in seconds.
const BEFORE_S: u64 = 10;
/// How long it plays afterwards, in seconds.
const AFTER_S: u64 = 60;
/// How long after its last heartbeat the entry of a runner is removed, in seconds: three intervals.
const ENTRY_S: u64 = 5;
/// How long a job may have nothing running although a task's turn has come, in milliseconds.
const STUCK_MS: u128 = 3_000;

pub(crate) async fn run(program: PathBuf, trouble: bool, record: &Record) -> Verdict {
    let size = Size {
        vms: 3,
        runners: RUNNERS,
        clock_rate: 1_000,
        max_hold_ms: 6_000,
        with_cloud: false,
        verbose: false,
        labelled: 1,
        priority: 1,
    };
    let Some(world) = World::start(program, size, record).await else {
        return Verdict::NotRun("the machines did not become ready".to_owned());
    };
    wait(1_000).await;
    let start_ms = crate::runner::unix_ms() + 500;
    let merging = json!({
        "spec": "work=2000 last=500 checkpointing",
        "steps": [
            {"count": TASKS, "cpu": 50, "mem-mb": 16, "estimate-ms": 2_000, "checkpointing": true},
            {"count": 1, "cpu": 1_000, "mem-mb": 1_024, "estimate-ms": 500, "after": [0],
             "required-label": "b"},
        ],
        "start-at-ms": start_ms, "interval-ms": INTERVAL_MS, "repeat-count": 50,
    });
    let other = json!({
        "spec": "work=300",
        "steps": [{"count": 1, "cpu": 1_000, "mem-mb": 64, "estimate-ms": 300}],
        "start-at-ms": start_ms, "interval-ms": 1_000, "repeat-count": 100,
    });
    for (id, job) in [(MERGING, merging), (OTHER, other)] {
        let answer = world.call(0, "POST", id, &job.to_string()).await;
        if answer.is_none_or(|answer| answer.status != 200) {
            return Verdict::NotRun("a periodic job was not accepted".to_owned());
        }
    }
    watch(&world, record, BEFORE_S).await;
    let before = small_jobs(&world, 0).await;
    let lost = &world.runners[RUNNERS - 1];
    if trouble {
        record.note(format!("{} is lost for good", lost.id));
        lost.crash();
    }
    watch(&world, record, ENTRY_S).await;
    if trouble {
        world.store.put("keyed.servers", &lost.id, b"");
    }
    watch(&world, record, AFTER_S - ENTRY_S).await;
    let after = small_jobs(&world, 1).await;
    let runs = world.runs_of(OTHER);
    let idle_ms = idle_ms(&runs);
    world.call(1, "GET", OTHER, "").await;
    world.note_logs();
    let text = format!(
        "no task of the other job has been at work for {idle_ms} ms, {} of its occurrences ran; \
         small jobs served before: {before} of 3, at the end: {after} of 3; \
         appends refused for a record over {RECORD_BYTES} bytes: {}",
        runs.len(),
        world.store.too_large()
    );
    if idle_ms > STUCK_MS {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}

/// Returns for how long none of the runs has been at work, in milliseconds.
fn idle_ms(runs: &[Run]) -> u128 {
    let now = Instant::now();
    let ends = runs.iter().map(|run| run.end.map_or(now, |(at, _)| at));
    ends.max()
        .map_or(0, |last| now.duration_since(last).as_millis())
}

/// Submits three small jobs; returns how many of them were accepted and completed.
async fn small_jobs(world: &World, series: usize) -> usize {
    let job = json!({"spec": "work=200", "steps": [
        {"count": 1, "cpu": 100, "mem-mb": 16, "estimate-ms": 200},
    ]});
    let id = |number: usize| format!("00000000000{series}00d{number}");
    let mut served = 0;
    let mut accepted: Vec<usize> = Vec::new();
    for number in 0..3 {
        let answer = world
            .call(number, "POST", &id(number), &job.to_string())
            .await;
        if answer.is_some_and(|answer| answer.status == 200) {
            accepted.push(number);
        }
    }
    wait(1_500).await;
    for number in accepted {
        let answer = world.call(number, "GET", &id(number), "").await;
        served += usize::from(answer.is_some_and(|answer| answer.state() == "completed"));
    }
    served
}

/// Notes the progress each second.
async fn watch(world: &World, record: &Record, seconds: u64) {
    for _ in 0..seconds {
        wait(1_000).await;
        let starts: u64 = world.runners.iter().map(Runner::starts).sum();
        record.note(format!(
            "starts so far: {starts}, of the other job: {}; longest row of the jobs: {} bytes; appends refused: {}",
            world.runs_of(OTHER).len(),
            world.store.longest("keyed.trefoil-jobs"),
            world.store.too_large()
        ));
    }
}
