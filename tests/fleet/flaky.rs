//! The share of jobs that complete while some upstreams fail a part of the runs they start.

use super::fake::Behaviour;
use super::world::World;
use super::world::gang;
use super::world::step;
use trefoilgauge::fleet::event::Phase;

const RACKS: u32 = 6;
const UPSTREAMS_PER_RACK: u32 = 8;

/// Makes a world in which two of the eight upstreams of each rack are flaky.
fn world() -> World {
    let mut world = World::new(RACKS, UPSTREAMS_PER_RACK);
    for rack in 0..RACKS {
        for number in [rack % UPSTREAMS_PER_RACK, (rack + 3) % UPSTREAMS_PER_RACK] {
            let name = format!("u-{rack}-{number}");
            world.upstreams.get_mut(&*name).unwrap().behaviour = Behaviour::Flaky;
        }
    }
    world
}

/// Submits a job every 250 ms for 20 s; returns the share of jobs completed among those submitted
/// after the first 3 s.
fn completed_share(mut submit: impl FnMut(&mut World, u64)) -> f64 {
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
fn most_gangs_complete_despite_flaky_upstreams() {
    let done = completed_share(|world, id| {
        world.work_ms.insert(format!("{id:016x}"), 1_500);
        world.submit("scan", "key-a", id, vec![gang(9, 2, 1_500)]);
    });
    assert!(done >= 0.95, "{done}");
}

#[test]
fn most_jobs_of_single_tasks_complete_despite_flaky_upstreams() {
    let done = completed_share(|world, id| {
        world.work_ms.insert(format!("{id:016x}"), 2_000);
        world.submit("batch", "key-a", id, vec![step(30, 1, 2_000)]);
    });
    assert!(done >= 0.95, "{done}");
}
