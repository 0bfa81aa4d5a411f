//! Work is moved off upstreams that are about to leave.

use super::world::World;
use super::world::gang;
use super::world::step;
use trefoilgauge::fleet::Event;
use trefoilgauge::fleet::event::Phase;
use trefoilgauge::fleet::model::Step;
use trefoilgauge::prelude::*;

const NOTICE_MS: u64 = 2_500;

/// Starts a job and returns the upstream of its first task.
fn begin(world: &mut World, id: u64, work_ms: u64, step: Step) -> Name {
    world.work_ms.insert(format!("{id:016x}"), work_ms);
    let step = Step {
        estimate_ms: work_ms,
        ..step
    };
    world.submit("batch", "key-a", id, vec![step]);
    world.pass(500);
    world.at_work(id)[0].2.clone()
}

#[test]
fn work_that_cannot_end_before_its_upstream_leaves_starts_elsewhere_at_once() {
    let mut world = World::new(1, 3);
    let at = begin(&mut world, 1, 8_000, step(1, 1, 0));
    world.leave(&at, NOTICE_MS);
    world.pass(500);
    assert_eq!(world.begun.len(), 2);
    assert_ne!(world.begun[1].at, at);
    world.pass(8_500);
    assert_eq!(world.phase("batch", 1), Some(Phase::Completed));
}

#[test]
fn work_that_can_be_saved_stays_until_shortly_before_its_upstream_leaves() {
    let mut world = World::new(1, 3);
    let checkpointing = Step {
        checkpointing: true,
        ..step(1, 1, 0)
    };
    let at = begin(&mut world, 1, 8_000, checkpointing);
    let notified = world.now;
    world.leave(&at, NOTICE_MS);
    world.pass(NOTICE_MS + 100);
    assert_eq!(world.begun.len(), 2);
    let moved = world.begun[1].time - notified;
    assert!((1_500..NOTICE_MS).contains(&moved), "{moved}");
}

#[test]
fn work_that_ends_in_time_is_not_moved() {
    let mut world = World::new(1, 3);
    let at = begin(&mut world, 1, 2_000, step(1, 1, 0));
    world.leave(&at, NOTICE_MS);
    world.pass(NOTICE_MS);
    assert_eq!(world.begun.len(), 1);
    assert_eq!(world.phase("batch", 1), Some(Phase::Completed));
}

#[test]
fn progress_overrides_a_wrong_estimate() {
    let mut world = World::new(1, 3);
    world.work_ms.insert(format!("{:016x}", 1), 4_000);
    world.submit("batch", "key-a", 1, vec![step(1, 1, 30_000)]);
    world.pass(2_500);
    let at = world.at_work(1)[0].2.clone();
    world.leave(&at, NOTICE_MS);
    world.pass(NOTICE_MS);
    assert_eq!(world.begun.len(), 1);
    assert_eq!(world.phase("batch", 1), Some(Phase::Completed));
}

#[test]
fn a_gang_moves_whole_when_one_of_its_upstreams_leaves() {
    let mut world = World::new(2, 3);
    let at = begin(&mut world, 1, 8_000, gang(2, 8, 0));
    world.leave(&at, NOTICE_MS);
    world.pass(1_000);
    let now = world.at_work(1);
    assert_eq!(now.len(), 2);
    assert!(now.iter().all(|(_, run, there)| *run == 2 && *there != at));
}

#[test]
fn a_long_running_task_moves_before_its_upstream_leaves() {
    let mut world = World::new(1, 3);
    let lasting = Step {
        long_running: true,
        may_miss: 1,
        ..step(3, 1, 0)
    };
    let at = begin(&mut world, 1, 10_000_000, lasting);
    world.leave(&at, NOTICE_MS);
    world.pass(NOTICE_MS + 200);
    let now = world.at_work(1);
    assert_eq!(now.len(), 3);
    assert!(now.iter().all(|(_, _, there)| *there != at));
}

#[test]
fn an_evacuated_data_centre_gets_no_new_work_until_the_evacuation_ends() {
    // Each rack is a data centre of its own.
    let mut world = World::new(2, 1);
    world.tell(Event::Evacuated(vec!["centre-0".into()]));
    world.work_ms.insert(format!("{:016x}", 1), 20_000);
    world.submit("urgent", "key-a", 1, vec![step(16, 1, 20_000)]);
    world.list();
    world.pass(1_000);
    assert_eq!(world.begun.len(), 8);
    assert!(world.begun.iter().all(|begun| begun.at.starts_with("u-1-")));
    world.tell(Event::Evacuate("centre-0".into(), false));
    world.pass(500);
    assert_eq!(world.begun.len(), 16);
}
