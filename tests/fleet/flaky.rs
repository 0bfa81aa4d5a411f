//! What callers get while some upstreams fail a part of what they start.

use super::fake::Behaviour;
use super::world::World;
use super::world::gang;
use super::world::step;
use trefoilgauge::fleet::event::Phase;

const RACKS: u32 = 6;
const EACH: u32 = 8;

/// Makes a world in which two of eight upstreams of each rack are flaky.
fn world() -> World {
    let mut world = World::new(RACKS, EACH);
    for rack in 0..RACKS {
        for number in [rack % EACH, (rack + 3) % EACH] {
            let name = format!("u-{rack}-{number}");
            world.upstreams.get_mut(&*name).unwrap().behaviour = Behaviour::Flaky;
        }
    }
    world
}

/// Submits a job each 250 ms for 20 s; returns the share that was completed of those that came
/// after the first 3 s.
fn play(mut submit: impl FnMut(&mut World, u64)) -> f64 {
    let mut world = world();
    for id in 1..=80 {
        submit(&mut world, id);
        world.pass(250);
    }
    world.pass(30_000);
    let done = (13..=80).filter(|id| {
        ["scan", "batch"]
            .iter()
            .any(|queue| world.phase(queue, *id) == Some(Phase::Completed))
    });
    done.count() as f64 / 68.0
}

#[test]
fn few_gangs_are_lost_to_upstreams_that_fail_a_part_of_their_work() {
    let done = play(|world, id| {
        world.work_ms.insert(format!("{id:016x}"), 1_500);
        world.submit("scan", "key-a", id, vec![gang(9, 2, 1_500)]);
    });
    assert!(done >= 0.95, "{done}");
}

#[test]
fn few_jobs_of_single_tasks_are_lost_to_them() {
    let done = play(|world, id| {
        world.work_ms.insert(format!("{id:016x}"), 2_000);
        world.submit("batch", "key-a", id, vec![step(30, 1, 2_000)]);
    });
    assert!(done >= 0.95, "{done}");
}
