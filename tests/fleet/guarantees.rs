//! Urgent work within a guarantee begins in time, whatever other work runs.

use super::world::World;
use super::world::gang;
use super::world::step;
use super::world::timing;
use trefoilgauge::fleet::event::Phase;
use trefoilgauge::fleet::model::Step;

/// Returns when the last run of a job began.
fn last_start(world: &World, id: u64) -> Option<u64> {
    let job = format!("{id:016x}");
    let times = world.begun.iter().filter(|b| *b.run.task.job == *job);
    times.map(|b| b.time).max()
}

#[test]
fn urgent_work_stops_work_of_lower_priority() {
    let mut world = World::new(1, 2);
    world.work_ms.insert(format!("{:016x}", 1), 20_000);
    world.submit("batch", "key-b", 1, vec![step(16, 1, 20_000)]);
    world.pass(1_000);
    let submitted = world.now;
    world.submit("urgent", "key-a", 2, vec![gang(2, 8, 1_000)]);
    world.pass(1_000);
    let begun = last_start(&world, 2).unwrap();
    assert!(
        begun - submitted <= timing().reclaim_ms,
        "{}",
        begun - submitted
    );
    world.pass(25_000);
    assert_eq!(world.phase("batch", 1), Some(Phase::Completed));
}

#[test]
fn urgent_work_within_a_guarantee_stops_urgent_work_beyond_one() {
    let mut world = World::new(1, 4);
    // Workspace b is guaranteed 16 accelerators and uses all 32.
    for id in 1..=4 {
        world.work_ms.insert(format!("{id:016x}"), 20_000);
        world.submit("urgent", "key-b", id, vec![gang(1, 8, 20_000)]);
    }
    world.pass(500);
    let submitted = world.now;
    world.submit("urgent", "key-a", 5, vec![gang(2, 8, 1_000)]);
    world.pass(timing().reclaim_ms);
    let begun = last_start(&world, 5).expect("workspace a begins");
    assert!(
        begun - submitted <= timing().reclaim_ms,
        "{}",
        begun - submitted
    );
}

#[test]
fn urgent_work_within_a_guarantee_spans_racks_if_no_rack_can_be_freed() {
    let mut world = World::new(2, 2);
    // One upstream of each rack runs guaranteed work of workspace b.
    for id in 1..=2 {
        world.work_ms.insert(format!("{id:016x}"), 20_000);
        let near = Step {
            data_rack: format!("r1-{}", id - 1),
            ..gang(1, 8, 20_000)
        };
        world.submit("urgent", "key-b", id, vec![near]);
    }
    world.pass(100);
    let racks: Vec<String> = world.begun.iter().map(|b| b.at[..3].to_owned()).collect();
    let submitted = world.now;
    world.submit("urgent", "key-a", 5, vec![gang(2, 8, 5_000)]);
    world.pass(timing().reclaim_ms);
    let begun = last_start(&world, 5).expect("it begins");
    assert!(
        begun - submitted <= timing().reclaim_ms,
        "{racks:?} {}",
        begun - submitted
    );
}

/// Guards against a gang that waits for one rack while work on several could be stopped for it.
#[test]
fn urgent_work_within_a_guarantee_stops_other_work_on_several_racks_if_no_rack_can_be_freed() {
    let mut world = World::new(2, 2);
    world.work_ms.insert(format!("{:016x}", 3), 60_000);
    world.submit("batch", "key-b", 3, vec![step(32, 1, 100)]);
    world.pass(500);
    assert_eq!(world.at_work(3).len(), 32);
    world.work_ms.insert(format!("{:016x}", 5), 60_000);
    for id in 1..=2 {
        world.work_ms.insert(format!("{id:016x}"), 60_000);
        let near = Step {
            data_rack: format!("r1-{}", id - 1),
            ..gang(1, 8, 60_000)
        };
        world.submit("urgent", "key-b", id, vec![near]);
    }
    world.pass(timing().reclaim_ms);
    let at = |id| world.at_work(id).into_iter().map(|(_, _, at)| at);
    let racks: Vec<String> = at(1).chain(at(2)).map(|at| at[..3].to_owned()).collect();
    assert_eq!(racks.len(), 2);
    assert_ne!(racks[0], racks[1]);
    assert_eq!(at(3).count(), 16);
    world.submit("urgent", "key-a", 5, vec![gang(2, 8, 60_000)]);
    world.pass(timing().reclaim_ms);
    assert_eq!(world.at_work(5).len(), 2);
}

/// Fills two upstreams with work that takes a minute, then submits urgent single tasks (no gang)
/// that need an upstream each; returns how many are at work 2.7 s later.
fn begun_in_time(tasks: u32) -> usize {
    let mut world = World::new(1, 2);
    world.work_ms.insert(format!("{:016x}", 1), 60_000);
    // Its estimate is short, so it soon may use the accelerators reserved for urgent work as well.
    world.submit("batch", "key-b", 1, vec![step(16, 1, 100)]);
    world.pass(500);
    assert_eq!(world.at_work(1).len(), 16);
    world.work_ms.insert(format!("{:016x}", 2), 60_000);
    world.submit("urgent", "key-a", 2, vec![step(tasks, 8, 1_000)]);
    world.pass(2_700);
    world.at_work(2).len()
}

#[test]
fn guaranteed_single_tasks_preempt_other_work_as_gangs_do() {
    assert_eq!(begun_in_time(1), 1);
    assert_eq!(begun_in_time(2), 2);
}
