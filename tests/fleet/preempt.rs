//! The choice of work that is stopped for urgent gangs while all accelerators are in use.

use super::world::World;
use super::world::gang;
use super::world::step;
use trefoilgauge::fleet::model::How;
use trefoilgauge::fleet::model::Step;
use trefoilgauge::prelude::*;

const LONG_MS: u64 = 60_000;

/// Starts a job of single tasks on one rack, which has one upstream in most of these worlds.
fn occupy(world: &mut World, id: u64, count: u32, rack: u32, checkpointing: bool) {
    world.work_ms.insert(format!("{id:016x}"), LONG_MS);
    let step = Step {
        data_rack: format!("r1-{rack}"),
        checkpointing,
        // Its estimate is short, so it soon may use the accelerators reserved for urgent work as
        // well.
        ..step(count, 1, 100)
    };
    world.submit("batch", "key-b", id, vec![step]);
    world.pass(500);
    assert_eq!(world.at_work(id).len(), count as usize);
}

/// Submits an urgent task that needs a whole upstream, and waits until it is at work.
fn urgent(world: &mut World, id: u64) {
    let anywhere = Step {
        one_rack: false,
        ..gang(1, 8, 1_000)
    };
    world.submit("urgent", "key-a", id, vec![anywhere]);
    world.pass(500);
    assert_eq!(world.at_work(id).len(), 1);
}

#[test]
fn work_that_saves_its_progress_is_stopped_before_work_that_would_lose_it() {
    let mut world = World::new(2, 1);
    occupy(&mut world, 1, 8, 0, true);
    world.pass(8_000);
    occupy(&mut world, 2, 8, 1, false);
    world.pass(2_000);
    urgent(&mut world, 3);
    assert_eq!(
        world.at_work(1).len(),
        0,
        "the work that saves its progress is stopped"
    );
    assert_eq!(world.at_work(2).len(), 8);
}

#[test]
fn the_upstream_that_is_cheapest_to_clear_is_chosen() {
    let mut world = World::new(2, 1);
    occupy(&mut world, 1, 1, 0, false);
    world.pass(7_000);
    occupy(&mut world, 2, 8, 1, false);
    world.pass(3_000);
    occupy(&mut world, 3, 7, 0, false);
    world.pass(1_000);
    // Clearing the first rack loses 11 s of one task and 1 s of seven; clearing the other, 4 s of
    // eight.
    urgent(&mut world, 4);
    assert_eq!(world.at_work(2).len(), 8);
    assert_eq!(world.at_work(1).len() + world.at_work(3).len(), 0);
}

#[test]
fn a_new_leader_waits_for_reports_of_ended_work_before_it_preempts() {
    let mut world = World::new(2, 1);
    occupy(&mut world, 1, 8, 0, false);
    world.pass(3_000);
    occupy(&mut world, 2, 8, 1, false);
    // Job 1 ends while there is no leader; by the stored rows, job 2 is the cheapest to stop.
    let first = world.upstreams.values_mut().next().unwrap();
    for task in first.running.keys().cloned().collect::<Vec<_>>() {
        first.end(&task, How::Done);
    }
    world.take_over();
    urgent(&mut world, 3);
    assert_eq!(world.at_work(2).len(), 8);
}

/// Urgent gangs arrive while the stops for an earlier one are in progress. One of the two freed
/// upstreams is free already, and the earlier gang must still get it.
#[test]
fn room_that_was_freed_for_a_gang_is_not_taken_by_a_later_one() {
    let mut world = World::new(1, 3);
    for id in 1..=3 {
        occupy(&mut world, id, 8, 0, true);
    }
    let names: Vec<_> = world.upstreams.keys().cloned().collect();
    let wide = gang(2, 8, 10_000);
    world.work_ms.insert(format!("{:016x}", 4), 10_000);
    // The end of the stops on one of its two upstreams is reported late.
    let busy = |world: &World, at: &Name| world.upstreams[at].running.len();
    for at in &names {
        world.upstreams.get_mut(at).unwrap().stalled = true;
    }
    world.submit("urgent", "key-a", 4, vec![wide]);
    world.pass(100);
    let freed: Vec<_> = names.iter().filter(|at| busy(&world, at) == 0).collect();
    assert_eq!(freed.len(), 2, "the gang stops the work of two upstreams");
    world.upstreams.get_mut(freed[0]).unwrap().stalled = false;
    world.pass(300);
    // The later gang has the earlier objective, and one upstream is free by now.
    world.submit("urgent", "key-b", 5, vec![gang(1, 8, 500)]);
    world.pass(200);
    for at in &names {
        world.upstreams.get_mut(at).unwrap().stalled = false;
    }
    world.pass(500);
    let mut first: Vec<_> = world.at_work(4).into_iter().map(|run| run.2).collect();
    first.sort();
    assert_eq!(first.iter().collect::<Vec<_>>(), freed);
    assert_eq!(
        world.at_work(5).len(),
        1,
        "the later gang preempts other work"
    );
}
