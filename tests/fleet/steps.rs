//! Jobs run step by step, and their states and refusals are reported to callers.

use super::fake::Behaviour;
use super::world::World;
use super::world::gang;
use super::world::step;
use trefoilgauge::fleet::event::Operation;
use trefoilgauge::fleet::event::Phase;
use trefoilgauge::fleet::event::Reply;
use trefoilgauge::fleet::model::Step;

#[test]
fn a_job_is_completed_when_every_task_is_done() {
    let mut world = World::new(2, 4);
    let reply = world.submit("batch", "key-a", 1, vec![step(6, 1, 1_000)]);
    assert_eq!(reply, Some(Reply::Accepted));
    assert_eq!(world.phase("batch", 1), Some(Phase::Running));
    world.pass(1_100);
    assert_eq!(world.phase("batch", 1), Some(Phase::Completed));
    assert_eq!(world.begun.len(), 6);
}

#[test]
fn a_step_waits_for_the_steps_before_it() {
    let mut world = World::new(2, 4);
    let later = Step {
        after: vec![0],
        ..step(2, 1, 1_000)
    };
    world.submit("batch", "key-a", 1, vec![step(2, 1, 1_000), later]);
    world.pass(500);
    assert_eq!(world.begun.len(), 2);
    world.pass(700);
    assert_eq!(world.begun.len(), 4);
    world.pass(1_000);
    assert_eq!(world.phase("batch", 1), Some(Phase::Completed));
}

#[test]
fn repeated_submissions_create_one_job() {
    let mut world = World::new(1, 2);
    for _ in 0..3 {
        let reply = world.submit("batch", "key-a", 1, vec![step(1, 1, 1_000)]);
        assert_eq!(reply, Some(Reply::Accepted));
    }
    world.pass(2_000);
    assert_eq!(world.begun.len(), 1);
}

#[test]
fn a_gang_runs_on_one_rack_and_shares_its_run_number() {
    let mut world = World::new(3, 4);
    world.submit("scan", "key-a", 1, vec![gang(4, 8, 1_000)]);
    let racks: Vec<&str> = world.begun.iter().map(|b| &b.at[..3]).collect();
    assert_eq!(racks.len(), 4);
    assert!(racks.iter().all(|rack| *rack == racks[0]), "{racks:?}");
    assert!(world.begun.iter().all(|begun| begun.run.number == 1));
}

#[test]
fn a_cancelled_job_is_stopped_and_stays_cancelled() {
    let mut world = World::new(1, 2);
    world.submit("batch", "key-a", 1, vec![step(2, 1, 5_000)]);
    world.work_ms.insert(format!("{:016x}", 1), 5_000);
    assert_eq!(
        world.call("batch", "key-a", 1, Operation::Cancel),
        Some(Reply::Cancelled)
    );
    assert_eq!(world.at_work(1), vec![]);
    world.pass(2_000);
    assert_eq!(world.phase("batch", 1), Some(Phase::Cancelled));
    assert_eq!(world.begun.len(), 2);
}

#[test]
fn a_task_that_fails_everywhere_fails_its_job_after_all_attempts() {
    let mut world = World::new(1, 4);
    for fake in world.upstreams.values_mut() {
        fake.behaviour = Behaviour::Failing;
    }
    world.submit("batch", "key-a", 1, vec![step(1, 1, 1_000)]);
    world.pass(1_000);
    assert_eq!(world.phase("batch", 1), Some(Phase::Failed));
    assert_eq!(world.begun.len(), 2);
    assert_ne!(world.begun[0].at, world.begun[1].at);
}

#[test]
fn an_upstream_that_fails_every_run_does_not_exhaust_the_attempts_of_jobs() {
    let mut world = World::new(1, 4);
    let bad = world.upstreams.keys().next().unwrap().clone();
    world.upstreams.get_mut(&bad).unwrap().behaviour = Behaviour::Failing;
    for id in 1..=12 {
        // All upstreams are idle again when the next job is submitted.
        world.work_ms.insert(format!("{id:016x}"), 100);
        world.submit("batch", "key-a", id, vec![step(1, 1, 100)]);
        world.pass(300);
    }
    world.pass(4_000);
    for id in 1..=12 {
        assert_eq!(world.phase("batch", id), Some(Phase::Completed), "job {id}");
    }
    let tried = world.begun.iter().filter(|begun| begun.at == bad).count();
    assert!(tried <= 4, "the failing upstream got {tried} runs");
}

#[test]
fn unknown_keys_queues_and_jobs_get_different_replies() {
    let mut world = World::new(1, 1);
    assert_eq!(
        world.call("batch", "other", 1, Operation::State),
        Some(Reply::BadKey)
    );
    assert_eq!(
        world.call("none", "key-a", 1, Operation::State),
        Some(Reply::NoQueue)
    );
    assert_eq!(
        world.call("batch", "key-a", 1, Operation::State),
        Some(Reply::Gone)
    );
}

#[test]
fn a_recovered_upstream_is_used_again_without_any_other_event() {
    let mut world = World::new(1, 1);
    let only = world.upstreams.keys().next().unwrap().clone();
    world.upstreams.get_mut(&only).unwrap().behaviour = Behaviour::Unwell;
    world.submit("batch", "key-a", 1, vec![step(1, 1, 1_000)]);
    world.upstreams.get_mut(&only).unwrap().behaviour = Behaviour::Healthy;
    world.pass(4_000);
    assert_eq!(world.phase("batch", 1), Some(Phase::Completed));
}
