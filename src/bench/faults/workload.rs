//! The workload of each run: configuration, requests, gangs, a leaving runner and a planned stop.

use super::call::Call;
use super::call::Operation;
use super::steps::Class;
use super::steps::Step;
use super::world::Action;
use super::world::World;
use crate::model::Adjacency;
use crate::model::Job;
use crate::prelude::*;
use crate::reducer::ledger::change::Class as ObjectClass;

/// When the background load begins, in milliseconds.
pub const LOAD_START_MS: u64 = 1_500;
/// When the request, gang or change under test is submitted, in milliseconds.
pub const MAIN_MS: u64 = 2_000;
/// The duration of the background load, in milliseconds.
pub const LOAD_DURATION_MS: u64 = 7_000;
/// The idempotency key of the request under test.
pub const MAIN_KEY: &str = "main-key";
/// The request under test.
pub const MAIN_REQ: &str = "main";
/// The gang under test, which can be checkpointed.
pub const MAIN_JOB: &str = "ledger-1";
/// A gang that cannot be stopped once it runs.
pub const UNSTOPPABLE_JOB: &str = "batch-1";
/// A gang that is cancelled.
pub const CANCELLED_JOB: &str = "ledger-2";
/// The runner that leaves.
pub const LEAVING_RUNNER: &str = "runner-3";
/// The object that two operators change at the same time.
pub const RACING_OBJECT: (ObjectClass, &str) = (ObjectClass::Pool, "pool");

const RUNNERS: &str = r#"[{"name":"runner-1","centre":"c1","addr":"127.0.0.1:1"},{"name":"runner-2","centre":"c1","addr":"127.0.0.1:2"},{"name":"runner-3","centre":"c1","addr":"127.0.0.1:3"}]"#;
/// A change of the pool, a template with the placeholders `VERSION` and `SLOTS`.
pub const POOL_CHANGE: &str = r#"{"schema":1,"change":"again-SLOTS","object":"pool/pool","replaces":VERSION,"body":{"slots":SLOTS,"runners":[{"name":"runner-1","centre":"c1","addr":"127.0.0.1:1"},{"name":"runner-2","centre":"c1","addr":"127.0.0.1:2"},{"name":"runner-3","centre":"c1","addr":"127.0.0.1:3"}]}}"#;

const BASE: [&str; 7] = [
    r#"{"schema":1,"change":"b1","object":"pool/pool","replaces":0,"body":{"slots":3,"runners":RUNNERS}}"#,
    r#"{"schema":1,"change":"b2","object":"kind/check","replaces":0,"body":{"pool":"pool","idempotent":true,"deadline_ms":4000,"service_ms":100,"attempts":3}}"#,
    r#"{"schema":1,"change":"b3","object":"kind/invoice","replaces":0,"body":{"pool":"pool","deadline_ms":6000,"service_ms":100}}"#,
    r#"{"schema":2,"change":"b4","object":"kind/ledger","replaces":0,"body":{"pool":"pool","checkpoint":true,"deadline_ms":60000}}"#,
    r#"{"schema":2,"change":"b5","object":"rack/rack-1","replaces":0,"body":{"centre":"c1","workers":[{"name":"worker-1","addr":"127.0.0.1:11","accelerators":4,"cores":64,"memory_gb":64},{"name":"worker-2","addr":"127.0.0.1:12","accelerators":4,"cores":64,"memory_gb":64}]}}"#,
    r#"{"schema":2,"change":"b6","object":"rack/rack-2","replaces":0,"body":{"centre":"c1","workers":[{"name":"worker-3","addr":"127.0.0.1:13","accelerators":4,"cores":64,"memory_gb":64},{"name":"worker-4","addr":"127.0.0.1:14","accelerators":4,"cores":64,"memory_gb":64}]}}"#,
    r#"{"schema":2,"change":"b7","object":"workspace/owner","replaces":0,"body":{"guarantees":[{"accelerators":8,"adjacency":"rack"}],"quota":16,"kinds":["check","invoice","ledger"]}}"#,
];
const BORROWER: &str = r#"{"schema":2,"change":"b8","object":"workspace/borrower","replaces":0,"body":{"guarantees":[{"accelerators":4,"adjacency":"any"}],"quota":12,"kinds":["check","invoice","ledger"]}}"#;
const WEIGHTS: &str =
    r#"{"schema":1,"change":"w","object":"weights/main","replaces":0,"body":{"completion":70}}"#;

/// Schedules the whole workload of a run that tests `step`.
pub fn schedule(world: &mut World, step: Step) {
    for text in BASE {
        let text = text.replace("RUNNERS", RUNNERS);
        world.schedule(0, Action::Publish { text });
    }
    let text = BORROWER.to_owned();
    world.schedule(0, Action::Publish { text });
    schedule_requests(world, step);
    schedule_gangs(world);
    world.schedule(MAIN_MS + 600, Action::LeaveRunner);
    if step.class() == Class::Config {
        let text = WEIGHTS.to_owned();
        world.schedule(MAIN_MS, Action::Publish { text });
    }
    if step.class() == Class::Vm {
        world.schedule(MAIN_MS, Action::Drain { vm: 1 });
    }
}

/// Publishes a change while a fault is active.
pub fn change_under_fault(world: &mut World) {
    let replaced = world
        .log
        .reference
        .catalog
        .version(ObjectClass::Kind, "check");
    let text = format!(
        r#"{{"schema":1,"change":"d","object":"kind/check","replaces":{replaced},"body":{{"pool":"pool","idempotent":true,"deadline_ms":4500,"service_ms":100,"attempts":3}}}}"#
    );
    world.publish(text);
}

fn schedule_requests(world: &mut World, step: Step) {
    for i in 0..LOAD_DURATION_MS / 250 {
        let at_ms = LOAD_START_MS + i * 250;
        let vm = (i % 2) as usize;
        let (kind, key) = match i % 3 {
            0 => ("invoice", Some(format!("key-{i}"))),
            _ => ("check", None),
        };
        let call = Call::request(&format!("req-{i}"), vm, kind, key.as_deref(), 100);
        world.schedule(at_ms, Action::Call { call });
        if i % 6 == 3 {
            let repeat = Call::request(&format!("twin-{i}"), 1 - vm, kind, key.as_deref(), 100);
            world.schedule(at_ms + 3, Action::Call { call: repeat });
        }
    }
    for i in 0..LOAD_DURATION_MS / 500 {
        let key = format!("hasty-{i}");
        let call = Call::request(&key, (i % 2) as usize, "invoice", Some(&key), 100);
        let call = call.within(4 + 8 * (i % 4));
        world.schedule(LOAD_START_MS + 120 + i * 500, Action::Call { call });
    }
    if step == Step::Queued {
        for i in 0..9 {
            let call = Call::request(&format!("fill-{i}"), 0, "check", None, 900);
            world.schedule(MAIN_MS - 60, Action::Call { call });
        }
    }
    let call = Call::request(MAIN_REQ, 0, "invoice", Some(MAIN_KEY), 200);
    world.schedule(MAIN_MS, Action::Call { call });
    let duplicate = Call::request("main-twin", 1, "invoice", Some(MAIN_KEY), 200);
    world.schedule(MAIN_MS + 60, Action::Call { call: duplicate });
    for (i, wait_ms) in [1_500, 5_500].into_iter().enumerate() {
        let repeat = Call::request(&format!("main-{i}"), 1, "invoice", Some(MAIN_KEY), 200);
        world.schedule(MAIN_MS + wait_ms, Action::Call { call: repeat });
    }
}

fn schedule_gangs(world: &mut World) {
    let submit = |world: &mut World, at_ms: u64, vm: usize, job: Job| {
        let req = format!("submit-{}", job.id);
        let call = Call::new(&req, vm, Operation::Submit { job });
        world.schedule(at_ms, Action::Call { call });
    };
    submit(world, MAIN_MS, 0, gang(MAIN_JOB, "owner", "ledger", 2, 4));
    let unstoppable = gang(UNSTOPPABLE_JOB, "borrower", "invoice", 2, 2);
    submit(world, MAIN_MS + 100, 0, unstoppable);
    let cancelled = gang(CANCELLED_JOB, "borrower", "ledger", 1, 2);
    submit(world, MAIN_MS + 200, 0, cancelled);
    let operation = Operation::Cancel {
        workspace: "borrower".into(),
        job: CANCELLED_JOB.into(),
    };
    let call = Call::new("cancel-dropped", 0, operation);
    world.schedule(MAIN_MS + 1_000, Action::Call { call });
    world.schedule(
        MAIN_MS + 900,
        Action::Reclaim {
            job: MAIN_JOB.into(),
        },
    );
}

fn gang(id: &str, workspace: &str, kind: &str, members: u32, accelerators: u32) -> Job {
    let adjacency = match members {
        2 if accelerators == 4 => Adjacency::Rack,
        _ => Adjacency::Any,
    };
    Job {
        id: id.into(),
        workspace: workspace.into(),
        kind: kind.into(),
        members,
        accelerators,
        cores: 1,
        memory_gb: 1,
        adjacency,
        run_ms: 1_500,
    }
}

/// Returns the name of the worker at `index`.
pub fn worker_name(index: usize) -> Name {
    format!("worker-{}", index + 1).into()
}
