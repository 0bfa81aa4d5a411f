//! Jobs with several scheduled occurrences.

use super::world::WALL_MS;
use super::world::World;
use super::world::step;
use trefoilgauge::fleet::event::Operation;
use trefoilgauge::fleet::event::Phase;
use trefoilgauge::fleet::event::Reply;
use trefoilgauge::fleet::model::Spec;

/// Three occurrences of `width` tasks each: the first one 2 s from now, then one each second.
fn three_occurrences(world: &World, width: u32) -> Spec {
    Spec {
        steps: vec![step(width, 1, 1_000)],
        first_ms: WALL_MS + world.now + 2_000,
        interval_ms: 1_000,
        times: 3,
        ..Spec::default()
    }
}

fn start_times(world: &World, turn: u32) -> Vec<u64> {
    let runs = world.begun.iter().filter(|b| b.run.task.turn == turn);
    runs.map(|b| b.time).collect()
}

#[test]
fn an_occurrence_begins_at_its_time_and_not_before() {
    let mut world = World::new(1, 2);
    let start = world.now;
    let spec = three_occurrences(&world, 2);
    let reply = world.submit_spec("batch", "key-a", 1, spec);
    assert_eq!(reply, Some(Reply::Accepted));
    world.pass(1_900);
    assert_eq!(world.begun.len(), 0);
    assert_eq!(world.phase("batch", 1), Some(Phase::Queued));
    world.pass(2_500);
    for turn in 0..3 {
        let due = start + 2_000 + 1_000 * u64::from(turn);
        let times = start_times(&world, turn);
        assert_eq!(times.len(), 2, "occurrence {turn}");
        for time in times {
            assert!((due..due + 200).contains(&time), "{turn}: {time}");
        }
    }
    assert_eq!(world.phase("batch", 1), Some(Phase::Running));
    world.pass(1_000);
    assert_eq!(world.phase("batch", 1), Some(Phase::Completed));
}

#[test]
fn occurrences_overlap_if_one_takes_longer_than_the_interval() {
    let mut world = World::new(1, 2);
    let start = world.now;
    world.work_ms.insert(format!("{:016x}", 1), 2_500);
    let spec = three_occurrences(&world, 1);
    world.submit_spec("batch", "key-a", 1, spec);
    world.pass(4_300);
    assert_eq!(world.at_work(1).len(), 3);
    assert!(start_times(&world, 2)[0] <= start + 4_200);
    world.pass(3_000);
    assert_eq!(world.phase("batch", 1), Some(Phase::Completed));
}

#[test]
fn a_new_leader_begins_each_occurrence_that_came_due_without_a_leader_once() {
    let mut world = World::new(1, 2);
    let spec = three_occurrences(&world, 1);
    world.submit_spec("batch", "key-a", 1, spec);
    world.pass(2_500);
    assert_eq!(world.begun.len(), 1);
    // There is no leader for 3 s: the second and the third occurrence come due, the first is done.
    world.now += 3_000;
    world.take_over();
    world.pass(2_500);
    assert_eq!(world.begun.len(), 3);
    assert_eq!(world.phase("batch", 1), Some(Phase::Completed));
}

#[test]
fn a_cancelled_job_begins_no_further_occurrence() {
    let mut world = World::new(1, 2);
    let spec = three_occurrences(&world, 1);
    world.submit_spec("batch", "key-a", 1, spec);
    world.pass(2_500);
    let reply = world.call("batch", "key-a", 1, Operation::Cancel);
    assert_eq!(reply, Some(Reply::Cancelled));
    world.pass(3_000);
    assert_eq!(world.begun.len(), 1);
    assert_eq!(world.phase("batch", 1), Some(Phase::Cancelled));
}

#[test]
fn a_job_that_is_not_due_does_not_count_against_others() {
    let mut world = World::new(1, 2);
    for id in 1..=20 {
        let spec = three_occurrences(&world, 16);
        let reply = world.submit_spec("batch", "key-a", id, spec);
        assert_eq!(reply, Some(Reply::Accepted), "job {id}");
    }
    let reply = world.submit("batch", "key-a", 99, vec![step(16, 1, 1_000)]);
    assert_eq!(reply, Some(Reply::Accepted));
    world.pass(1_500);
    assert_eq!(world.phase("batch", 99), Some(Phase::Completed));
}
