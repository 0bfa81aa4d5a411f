//! Service in time on upstreams of unequal speed, and while some turn slow.

use super::world::World;
use super::world::gang;
use super::world::step;
use trefoilgauge::fleet::event::Phase;

/// How long an urgent task takes at the usual speed, in milliseconds.
const WORK_MS: u64 = 2_500;
/// The objective of an urgent job of that work, in milliseconds: `stretch` times it and the
/// constant part.
const OBJECTIVE_MS: u64 = 4_000;
/// The interval at which urgent gangs arrive, in milliseconds.
const INTERVAL_MS: u64 = 400;

/// Submits urgent gangs of three members for 30 s; returns the share that callers see completed
/// within the objective, among those submitted after the first 10 s.
fn share_in_time(world: &mut World) -> f64 {
    const FIRST: u64 = 1_000;
    const COUNT: u64 = 75;
    const SKIPPED: u64 = 25;
    let mut in_time = 0;
    for number in 0..COUNT + OBJECTIVE_MS / INTERVAL_MS {
        if number < COUNT {
            let id = FIRST + number;
            world.work_ms.insert(format!("{id:016x}"), WORK_MS);
            world.submit("urgent", "key-a", id, vec![gang(3, 4, WORK_MS)]);
        }
        if let Some(old) = number.checked_sub(OBJECTIVE_MS / INTERVAL_MS)
            && old >= SKIPPED
        {
            let done = world.phase("urgent", FIRST + old) == Some(Phase::Completed);
            in_time += u64::from(done);
        }
        world.pass(INTERVAL_MS);
    }
    in_time as f64 / (COUNT - SKIPPED) as f64
}

fn slow_down(world: &mut World, racks: u32, numbers: &[u32], time_percent: u64) {
    for rack in 0..racks {
        for number in numbers {
            let name = format!("u-{rack}-{number}");
            world.upstreams.get_mut(&*name).unwrap().time_percent = time_percent;
        }
    }
}

#[test]
fn urgent_gangs_are_in_time_where_a_third_of_the_upstreams_is_slow() {
    let mut world = World::new(4, 9);
    slow_down(&mut world, 4, &[1, 4, 7], 240);
    let share = share_in_time(&mut world);
    assert!(share >= 0.9, "{share}");
}

#[test]
fn urgent_gangs_are_in_time_while_some_upstreams_crawl() {
    let mut world = World::new(4, 9);
    slow_down(&mut world, 4, &[3], 800);
    let share = share_in_time(&mut world);
    assert!(share >= 0.9, "{share}");
}

#[test]
fn an_upstream_that_recovers_gets_urgent_work_again() {
    let mut world = World::new(1, 6);
    slow_down(&mut world, 1, &[0, 1, 2], 800);
    share_in_time(&mut world);
    slow_down(&mut world, 1, &[0, 1, 2], 100);
    // Patient work shows that they are as fast as the others again.
    for id in 1..=12 {
        world.work_ms.insert(format!("{id:016x}"), 4_000);
        world.submit("batch", "key-b", id, vec![step(12, 1, 4_000)]);
        world.pass(2_000);
    }
    world.pass(10_000);
    // Each gang needs all six upstreams.
    for id in 5_000..5_005 {
        world.work_ms.insert(format!("{id:016x}"), WORK_MS);
        world.submit("urgent", "key-a", id, vec![gang(12, 4, WORK_MS)]);
        world.pass(100);
        let runs = world.at_work(id);
        assert_eq!(runs.len(), 12);
        assert!(runs.iter().all(|(_, number, _)| *number == 1));
        world.pass(WORK_MS);
        assert_eq!(world.phase("urgent", id), Some(Phase::Completed));
    }
}

#[test]
fn a_gang_that_a_crawling_upstream_holds_up_ends_in_time_elsewhere() {
    let mut world = World::new(1, 5);
    slow_down(&mut world, 1, &[0], 800);
    world.work_ms.insert(format!("{:016x}", 1), WORK_MS);
    world.submit("urgent", "key-a", 1, vec![gang(4, 8, WORK_MS)]);
    world.pass(100);
    let first = world.at_work(1);
    assert!(
        first.iter().any(|(_, _, at)| &**at == "u-0-0"),
        "nothing is known of the crawling upstream yet"
    );
    world.pass(OBJECTIVE_MS - 100);
    assert_eq!(world.phase("urgent", 1), Some(Phase::Completed));
}

#[test]
fn a_gang_that_would_be_late_in_any_case_is_not_started_again() {
    let mut world = World::new(1, 5);
    slow_down(&mut world, 1, &[0, 1], 800);
    world.work_ms.insert(format!("{:016x}", 1), WORK_MS);
    // Every place for the whole gang has a crawling member.
    world.submit("urgent", "key-a", 1, vec![gang(4, 8, WORK_MS)]);
    world.pass(2 * OBJECTIVE_MS);
    assert!(world.at_work(1).iter().all(|(_, number, _)| *number == 1));
}
