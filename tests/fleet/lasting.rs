//! Long-running tasks: they are restarted however they end, and a step may limit how many of them
//! are stopped at once.

use super::fake::Behaviour;
use super::world::World;
use super::world::gang;
use super::world::step;
use super::world::timing;
use trefoilgauge::fleet::event::Operation;
use trefoilgauge::fleet::event::Phase;
use trefoilgauge::fleet::model::How;
use trefoilgauge::fleet::model::Step;

const ENDLESS_MS: u64 = 10_000_000;
/// How long a long-running task may be without a run while resources are free, in milliseconds.
const RESTART_MS: u64 = 3_000;

fn long_running_step(count: u32, accelerators: u64, may_miss: u32) -> Step {
    Step {
        long_running: true,
        may_miss,
        ..step(count, accelerators, 1_000)
    }
}

fn submit_serving(world: &mut World, id: u64, step: Step) {
    world.work_ms.insert(format!("{id:016x}"), ENDLESS_MS);
    world.submit("batch", "key-b", id, vec![step]);
}

#[test]
fn a_long_running_task_is_restarted_however_it_ends() {
    for how in [How::Done, How::Failed, How::Lapsed, How::Stopped] {
        let mut world = World::new(1, 3);
        submit_serving(&mut world, 1, long_running_step(2, 1, 0));
        world.pass(500);
        for _ in 0..5 {
            let (task, _, at) = world.at_work(1)[0].clone();
            world.upstreams.get_mut(&at).unwrap().end(&task, how);
            world.pass(RESTART_MS);
            assert_eq!(world.at_work(1).len(), 2, "after {how:?}");
        }
        assert_eq!(world.phase("batch", 1), Some(Phase::Running));
    }
}

#[test]
fn a_long_running_task_is_restarted_elsewhere_when_its_upstream_is_silent() {
    let mut world = World::new(1, 3);
    submit_serving(&mut world, 1, long_running_step(1, 1, 0));
    world.pass(500);
    let (_, _, at) = world.at_work(1)[0].clone();
    world.upstreams.get_mut(&at).unwrap().behaviour = Behaviour::Silent;
    // The lease must expire before a second run may start.
    world.pass(timing().max_lease_ms + RESTART_MS);
    let now = world.at_work(1);
    assert_eq!(now.len(), 1);
    assert_ne!(now[0].2, at);
}

#[test]
fn cancelling_stops_long_running_tasks() {
    let mut world = World::new(1, 2);
    submit_serving(&mut world, 1, long_running_step(4, 1, 0));
    world.pass(500);
    world.call("batch", "key-b", 1, Operation::Cancel);
    world.pass(1_000);
    assert_eq!(world.at_work(1), vec![]);
    assert_eq!(world.begun.len(), 4);
}

#[test]
fn guaranteed_work_preempts_long_running_tasks_within_their_limit() {
    let mut world = World::new(1, 2);
    submit_serving(&mut world, 1, long_running_step(16, 1, 8));
    world.pass(500);
    world.submit("urgent", "key-a", 2, vec![gang(1, 8, 1_000)]);
    world.pass(timing().reclaim_ms);
    assert!(world.begun.iter().any(|b| b.run.task.job.ends_with('2')));
    world.pass(4_000);
    assert_eq!(world.at_work(1).len(), 16);
}

#[test]
fn no_more_long_running_tasks_are_stopped_than_the_limit_allows() {
    let mut world = World::new(1, 2);
    submit_serving(&mut world, 1, long_running_step(16, 1, 5));
    world.pass(500);
    world.submit("urgent", "key-a", 2, vec![gang(2, 4, 1_000)]);
    for _ in 0..100 {
        world.pass(50);
        assert!(world.serving(1) >= 11);
    }
}
