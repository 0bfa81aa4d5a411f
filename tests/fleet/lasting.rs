//! Tasks that last: they are started again however they end, and are not stopped freely.

use super::fake::Behaviour;
use super::world::World;
use super::world::gang;
use super::world::step;
use super::world::timing;
use trefoilgauge::fleet::event::Operation;
use trefoilgauge::fleet::event::Phase;
use trefoilgauge::fleet::model::How;
use trefoilgauge::fleet::model::Step;

const FOREVER_MS: u64 = 10_000_000;
/// How long a task that lasts may be without a run while there is room, in milliseconds.
const AGAIN_MS: u64 = 3_000;

fn lasting(count: u32, accelerators: u64, may_miss: u32) -> Step {
    Step {
        long_running: true,
        may_miss,
        ..step(count, accelerators, 1_000)
    }
}

fn serve(world: &mut World, id: u64, step: Step) {
    world.work_ms.insert(format!("{id:016x}"), FOREVER_MS);
    world.submit("batch", "key-b", id, vec![step]);
}

#[test]
fn a_task_that_lasts_is_started_again_however_it_ends() {
    for how in [How::Done, How::Failed, How::Lapsed, How::Stopped] {
        let mut world = World::new(1, 3);
        serve(&mut world, 1, lasting(2, 1, 0));
        world.pass(500);
        for _ in 0..5 {
            let (task, _, at) = world.at_work(1)[0].clone();
            world.upstreams.get_mut(&at).unwrap().end(&task, how);
            world.pass(AGAIN_MS);
            assert_eq!(world.at_work(1).len(), 2, "after {how:?}");
        }
        assert_eq!(world.phase("batch", 1), Some(Phase::Running));
    }
}

#[test]
fn a_task_that_lasts_moves_on_when_its_upstream_falls_silent() {
    let mut world = World::new(1, 3);
    serve(&mut world, 1, lasting(1, 1, 0));
    world.pass(500);
    let (_, _, at) = world.at_work(1)[0].clone();
    world.upstreams.get_mut(&at).unwrap().behaviour = Behaviour::Silent;
    // The lease must expire before a second run may begin.
    world.pass(timing().max_lease_ms + AGAIN_MS);
    let now = world.at_work(1);
    assert_eq!(now.len(), 1);
    assert_ne!(now[0].2, at);
}

#[test]
fn cancelling_ends_tasks_that_last() {
    let mut world = World::new(1, 2);
    serve(&mut world, 1, lasting(4, 1, 0));
    world.pass(500);
    world.call("batch", "key-b", 1, Operation::Cancel);
    world.pass(1_000);
    assert_eq!(world.at_work(1), vec![]);
    assert_eq!(world.begun.len(), 4);
}

#[test]
fn guaranteed_work_takes_the_room_of_tasks_that_last_where_they_may_be_missed() {
    let mut world = World::new(1, 2);
    serve(&mut world, 1, lasting(16, 1, 8));
    world.pass(500);
    world.submit("urgent", "key-a", 2, vec![gang(1, 8, 1_000)]);
    world.pass(timing().reclaim_ms);
    assert!(world.begun.iter().any(|b| b.run.task.job.ends_with('2')));
    world.pass(4_000);
    assert_eq!(world.at_work(1).len(), 16);
}

#[test]
fn no_more_tasks_that_last_are_stopped_than_may_be_missed() {
    let mut world = World::new(1, 2);
    serve(&mut world, 1, lasting(16, 1, 5));
    world.pass(500);
    world.submit("urgent", "key-a", 2, vec![gang(2, 4, 1_000)]);
    for _ in 0..100 {
        world.pass(50);
        assert!(world.serving(1) >= 11);
    }
}
