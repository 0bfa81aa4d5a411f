//! Maintenance that operators order: machines are drained and then go down, a few at a time.

use super::cloud::UPKEEP_MS;
use super::world::FIRST;
use super::world::World;
use super::world::step;
use super::world::timing;
use trefoilgauge::fleet::Event;
use trefoilgauge::fleet::event::Phase;
use trefoilgauge::fleet::model::Step;
use trefoilgauge::fleet::model::Wave;

/// Orders maintenance of all machines.
fn order_wave(world: &mut World, within_ms: u64, maximum: u32) {
    let machines = world.cloud.machines.keys().cloned().collect();
    world.tell(Event::Wave(Wave {
        number: 1,
        machines,
        within_ms,
        maximum,
    }));
}

fn taken_down(world: &World) -> usize {
    let machines = world.cloud.machines.values();
    machines
        .filter(|machine| machine.waves.contains(&1))
        .count()
}

#[test]
fn every_machine_goes_down_once_in_time_and_within_the_limit() {
    let mut world = World::new(2, 3);
    order_wave(&mut world, 20_000, 2);
    world.pass(500);
    assert_eq!(world.announced, [(1, false)]);
    world.pass(19_500);
    assert_eq!(taken_down(&world), 6);
    assert_eq!(world.cloud.orders, 6);
    assert_eq!(world.cloud.most_down, 2);
    assert_eq!(world.announced, [(1, false), (1, true)]);
}

#[test]
fn a_wave_is_not_announced_as_completed_while_a_machine_is_left() {
    let mut world = World::new(1, 3);
    order_wave(&mut world, 20_000, 1);
    for _ in 0..400 {
        world.pass(50);
        if world.announced.contains(&(1, true)) {
            assert_eq!(taken_down(&world), 3);
            return;
        }
    }
    panic!("{:?}", world.announced);
}

#[test]
fn work_ends_before_its_machine_goes_down() {
    let mut world = World::new(2, 2);
    world.work_ms.insert(format!("{:016x}", 1), 4_000);
    world.submit("batch", "key-a", 1, vec![step(16, 1, 4_000)]);
    world.pass(200);
    order_wave(&mut world, 40_000, 1);
    world.pass(6_000);
    assert_eq!(world.phase("batch", 1), Some(Phase::Completed));
    assert_eq!(world.begun.len(), 16, "each task ran once");
    world.pass(30_000);
    assert_eq!(taken_down(&world), 4);
}

#[test]
fn maintenance_leaves_enough_long_running_tasks_serving() {
    let mut world = World::new(2, 2);
    world.work_ms.insert(format!("{:016x}", 1), 10_000_000);
    let long_running = Step {
        long_running: true,
        may_miss: 2,
        ..step(12, 1, 1_000)
    };
    world.submit("batch", "key-a", 1, vec![long_running]);
    world.pass(2_500);
    assert_eq!(world.serving(1), 12);
    order_wave(&mut world, 40_000, 1);
    for _ in 0..800 {
        world.pass(50);
        assert!(world.serving(1) >= 10, "{}", world.serving(1));
    }
    assert_eq!(taken_down(&world), 4);
    assert_eq!(world.announced.last(), Some(&(1, true)));
}

#[test]
fn unanswered_orders_count_as_down_until_the_platform_answers() {
    let mut world = World::new(1, 4);
    order_wave(&mut world, 30_000, 1);
    world.pass(10);
    world.cloud.silent = true;
    world.pass(8_000);
    assert!(taken_down(&world) <= 1);
    world.cloud.silent = false;
    world.pass(22_000);
    assert_eq!(taken_down(&world), 4);
    assert_eq!(world.cloud.most_down, 1);
    assert_eq!(world.announced.last(), Some(&(1, true)));
}

#[test]
fn the_next_leader_continues_a_wave_within_its_limit() {
    let mut world = World::new(1, 4);
    order_wave(&mut world, 30_000, 1);
    // The leader is lost while the first order is under way.
    while taken_down(&world) == 0 {
        world.pass(10);
    }
    world.take_over();
    order_wave(&mut world, 30_000, 1);
    world.pass(1_000);
    assert_eq!(world.cloud.most_down, 1);
    world.pass(29_000);
    assert_eq!(taken_down(&world), 4);
    assert_eq!(world.cloud.most_down, 1);
    world.take_over();
    let announced = world.announced.len();
    order_wave(&mut world, 30_000, 1);
    world.pass(3_000);
    assert_eq!(
        world.announced.len(),
        announced,
        "nothing is done or announced again"
    );
}

/// Guards against a lower token after a higher one, where the platform does not check tokens.
#[test]
fn no_machine_is_ordered_down_while_an_earlier_leader_may_order_it() {
    for ends in [false, true] {
        let mut world = World::new(1, 4);
        order_wave(&mut world, 30_000, 1);
        while taken_down(&world) == 0 {
            world.pass(10);
        }
        world.take_over();
        order_wave(&mut world, 30_000, 1);
        let orders = world.cloud.orders;
        if ends {
            world.tell(Event::PredecessorEnded);
            world.pass(UPKEEP_MS + 5_000);
            assert!(world.cloud.orders > orders);
        } else {
            world.pass(FIRST.order_ms);
            assert_eq!(world.cloud.orders, orders);
        }
        world.pass(30_000);
        assert_eq!(taken_down(&world), 4);
        assert_eq!(world.cloud.most_down, 1);
    }
}

/// Guards against two leaders, both in touch, that order one machine shortly after one another.
#[test]
fn machines_are_left_alone_for_the_lease_of_a_leader_that_has_ended() {
    let mut world = World::new(1, 4);
    order_wave(&mut world, 30_000, 1);
    while taken_down(&world) == 0 {
        world.pass(10);
    }
    world.take_over();
    order_wave(&mut world, 30_000, 1);
    let orders = world.cloud.orders;
    world.tell(Event::PredecessorEnded);
    world.pass(timing().machine_lease_ms - 10);
    assert_eq!(world.cloud.orders, orders);
    world.pass(20_000);
    assert_eq!(taken_down(&world), 4);
}

#[test]
fn a_machine_that_no_longer_exists_does_not_block_a_wave() {
    let mut world = World::new(1, 3);
    order_wave(&mut world, 20_000, 1);
    let gone = world.cloud.machines.keys().next_back().unwrap().clone();
    world.cloud.machines.remove(&gone);
    world.pass(18_000);
    assert_eq!(taken_down(&world), 2);
    assert_eq!(world.announced.last(), Some(&(1, true)));
}

#[test]
fn a_wave_is_not_completed_while_a_machine_is_listed_without_a_readable_name() {
    let mut world = World::new(1, 3);
    order_wave(&mut world, 20_000, 1);
    let unnamed = world.cloud.machines.keys().next_back().unwrap().clone();
    world.cloud.unnamed = Some(unnamed);
    world.pass(18_000);
    assert_eq!(taken_down(&world), 2);
    assert_eq!(world.announced, [(1, false)]);
    world.cloud.unnamed = None;
    world.pass(6_000);
    assert_eq!(taken_down(&world), 3);
    assert_eq!(world.announced, [(1, false), (1, true)]);
}
