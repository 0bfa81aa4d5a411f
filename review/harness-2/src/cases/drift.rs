//! A runner whose clock is slow by the 2% that the pages allow has been idle for a minute. A task
//! starts there; the leading machine is stopped as planned and the runner is cut off.

use super::overlap::overlap;
use super::world::Size;
use super::world::World;
use super::world::wait;
use crate::Verdict;
use crate::record::Record;
use nix::sys::signal::Signal;
use serde_json::json;
use std::path::PathBuf;

/// How long the runners are idle, in milliseconds.
const IDLE_MS: u64 = 90_000;
/// How long the runner is cut off, in milliseconds: the `for_s` of the site file.
const CUT_MS: u64 = 5_500;
/// The work of the task, in milliseconds: about that of a ledger.
const WORK_MS: u64 = 11_000;
const JOB: &str = "00000000000000a1";

pub(crate) async fn run(program: PathBuf, trouble: bool, record: &Record) -> Verdict {
    let size = Size {
        vms: 3,
        runners: 6,
        clock_rate: 980,
        max_hold_ms: 10_000,
        with_cloud: false,
        verbose: true,
        labelled: 0,
        priority: 1,
    };
    let Some(mut world) = World::start(program, size, record).await else {
        return Verdict::NotRun("the machines did not become ready".to_owned());
    };
    wait(IDLE_MS).await;
    let leader = world.leader();
    let other = (leader + 1) % world.vms.len();
    let job = json!({"spec": format!("work={WORK_MS}"), "steps": [
        {"count": 1, "cpu": 26_000, "mem-mb": 1_024, "gpu": 8, "estimate-ms": 11_000},
    ]});
    let answer = world.call(other, "POST", JOB, &job.to_string()).await;
    if answer.is_none_or(|answer| answer.status != 200) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    let mut runs = Vec::new();
    for _ in 0..200 {
        runs = world.runs_of(JOB);
        if !runs.is_empty() {
            break;
        }
        wait(10).await;
    }
    let Some(first) = runs.first() else {
        return Verdict::NotRun("the task did not start".to_owned());
    };
    wait(100).await;
    world.vms[leader].signal(Signal::SIGTERM);
    let runner = world
        .runners
        .iter()
        .find(|runner| runner.id == first.runner);
    let runner = runner.unwrap().clone();
    if trouble {
        record.note(format!("{} is cut off from all machines", runner.id));
        runner.set_cut(true);
    }
    wait(CUT_MS).await;
    if trouble {
        record.note(format!("the cut of {} ends", runner.id));
        runner.set_cut(false);
    }
    for _ in 0..40 {
        if world.vms[leader].has_ended() {
            world.vms[leader].restart();
            break;
        }
        wait(100).await;
    }
    wait(4_000).await;
    let runs = world.runs_of(JOB);
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
