//! The leading machine freezes while the answer to an append is on its way. The next leader runs the
//! task to its end; the runner crashes and starts again under its id, and the first leader wakes.

use super::world::Size;
use super::world::World;
use super::world::wait;
use crate::Verdict;
use crate::client;
use crate::client::PREFIX;
use crate::record::Record;
use crate::runner::Runner;
use nix::sys::signal::Signal;
use serde_json::json;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;
use tokio::time::sleep_until;

/// How long the machine stands still, in milliseconds; 4,000 at most.
const FREEZE_MS: u64 = 3_800;
/// When the runner crashes, in milliseconds after the machine froze.
const CRASH_MS: u64 = 2_200;
/// How long it is down, in milliseconds; 4,500 at most.
const DOWN_MS: u64 = 1_000;
/// When its next process writes its first entry in discovery, in milliseconds after its start; it
/// writes there each 1,500 ms.
const ENTRY_MS: u64 = 1_400;
const JOB: &str = "00000000000000b1";

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
    wait(3_000).await;
    let leader = world.leader();
    let other = (leader + 1) % world.vms.len();
    let job = json!({"spec": "work=400", "steps": [
        {"count": 1, "cpu": 1_000, "mem-mb": 1_024, "gpu": 4, "estimate-ms": 400,
         "required-label": "b"},
    ]})
    .to_string();
    // One of the two labelled runners has shrunk. It grows again while the machine is frozen, so that
    // the next leader prefers it to the one that the frozen leader has chosen.
    let [other_runner, runner] = &world.runners[world.runners.len() - 2..] else {
        return Verdict::NotRun("there are too few runners".to_owned());
    };
    other_runner.set_gpus(2);
    other_runner.publish(&world.store);
    wait(2_000).await;
    let appended = world.store.await_key(&format!("s.{JOB}"));
    let addr = world.vms[other].callers;
    let path = format!("{PREFIX}{JOB}");
    let submission = tokio::spawn(async move { client::call(addr, "POST", &path, &job).await });
    if appended.await.is_err() {
        return Verdict::NotRun("the job was not stored".to_owned());
    }
    let frozen = Instant::now();
    if trouble {
        world.vms[leader].signal(Signal::SIGSTOP);
    }
    other_runner.set_gpus(4);
    other_runner.publish(&world.store);
    let answer = submission.await.ok().flatten().map(|answer| answer.status);
    record.note(format!(
        "client: POST {PREFIX}{JOB} at {}: {answer:?}",
        world.vms[other].name
    ));
    let mut state = String::new();
    while state != "completed" && frozen.elapsed() < Duration::from_millis(CRASH_MS) {
        wait(100).await;
        let answer = world.call(other, "GET", JOB, "").await;
        state = answer.map_or(String::new(), |answer| answer.state());
    }
    let noted = world.runners.iter().all(Runner::is_noted);
    if state != "completed" || !noted {
        world.vms[leader].signal(Signal::SIGCONT);
        world.note_logs();
        return Verdict::NotRun(format!("the job is {state:?} before the crash"));
    }
    let at = |ms: u64| sleep_until((frozen + Duration::from_millis(ms)).into());
    at(CRASH_MS).await;
    if trouble {
        runner.crash();
    }
    at(CRASH_MS + DOWN_MS).await;
    if trouble {
        runner.boot();
    }
    at(FREEZE_MS).await;
    if trouble {
        world.vms[leader].signal(Signal::SIGCONT);
    }
    at(CRASH_MS + DOWN_MS + ENTRY_MS).await;
    if trouble {
        runner.publish(&world.store);
    }
    wait(4_000).await;
    world.call(other, "GET", JOB, "").await;
    let runs = world.runs_of(JOB);
    let mut done = None;
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
        if run.end.is_some_and(|(_, how)| how == "done") {
            done = done.or(run.end.map(|(at, _)| (run.run, at)));
        }
    }
    world.note_logs();
    let again = done.and_then(|(number, at)| {
        let later = runs.iter().find(|run| run.start > at)?;
        Some((number, at, later))
    });
    match again {
        Some((number, at, later)) => Verdict::Broken(format!(
            "run {number} of {} ended done, which was taken note of and shown; run {} started {} ms later",
            later.task,
            later.run,
            later.start.duration_since(at).as_millis()
        )),
        None => Verdict::Held(format!(
            "{} runs, none after one that ended done",
            runs.len()
        )),
    }
}
