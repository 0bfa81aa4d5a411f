//! Filling tasks are throttled while serving tasks on the same upstream miss their target.

use super::world::World;
use super::world::step;
use trefoilgauge::fleet::model::Step;

/// The longest time that a tail latency may be over its target because of filling tasks, in
/// milliseconds.
const MAX_OVER_MS: u64 = 4_000;
const TARGET_MS: u64 = 100;

/// Starts one serving task and `fills` filling ones on the only upstream.
fn mix(fills: u32, base_ms: u64, slowdown_ms: u64) -> World {
    let mut world = World::new(1, 1);
    let only = world.upstreams.values_mut().next().unwrap();
    only.base_ms = base_ms;
    only.slowdown_ms = slowdown_ms;
    world.work_ms.insert(format!("{:016x}", 1), 10_000_000);
    let serving = Step {
        long_running: true,
        target_ms: TARGET_MS,
        ..step(1, 1, 1_000)
    };
    world.submit("scan", "key-a", 1, vec![serving]);
    world.pass(2_000);
    world.work_ms.insert(format!("{:016x}", 2), 100_000);
    let filling = Step {
        fills: true,
        accelerators: 0,
        ..step(fills, 0, 100_000)
    };
    world.submit("batch", "key-a", 2, vec![filling]);
    assert_eq!(world.at_work(2).len(), fills as usize);
    world
}

fn tail(world: &World) -> u64 {
    world.upstreams.values().next().unwrap().tail_ms()
}

/// Runs for `ms`; returns the longest uninterrupted time that the tail latency was over its target,
/// in milliseconds.
fn longest_over(world: &mut World, ms: u64) -> u64 {
    let (mut over, mut longest) = (0, 0);
    for _ in 0..ms / 50 {
        world.pass(50);
        over = if tail(world) > TARGET_MS {
            over + 50
        } else {
            0
        };
        longest = longest.max(over);
    }
    longest
}

#[test]
fn tail_latency_returns_below_its_target_in_time_at_any_slowdown() {
    for slowdown_ms in [20, 60, 200, 1_000, 100_000] {
        let mut world = mix(3, 40, slowdown_ms);
        let longest = longest_over(&mut world, 30_000);
        assert!(longest < MAX_OVER_MS, "{slowdown_ms}: {longest} ms over");
    }
}

#[test]
fn filling_tasks_that_do_not_disturb_others_are_not_throttled() {
    let mut world = mix(3, 40, 10);
    world.pass(20_000);
    assert_eq!(world.paces, 0);
}

#[test]
fn filling_tasks_return_to_full_speed_when_they_disturb_less() {
    let mut world = mix(2, 40, 200);
    world.pass(20_000);
    let only = world.upstreams.values_mut().next().unwrap();
    only.slowdown_ms = 5;
    world.pass(20_000);
    let only = world.upstreams.values().next().unwrap();
    let paces: Vec<u32> = only.running.values().map(|run| run.pace).collect();
    assert_eq!(paces, [100, 100, 100]);
}

#[test]
fn a_tail_over_its_target_by_itself_does_not_pause_filling_tasks_for_good() {
    let mut world = mix(1, 150, 1);
    let mut resumed = false;
    for _ in 0..600 {
        world.pass(50);
        let only = world.upstreams.values().next().unwrap();
        resumed |= world.now > 20_000
            && only
                .running
                .values()
                .any(|run| (1..100).contains(&run.pace));
    }
    assert!(resumed);
}

#[test]
fn a_lost_order_to_slow_down_is_repeated() {
    let mut world = mix(1, 40, 100_000);
    world.lose_pace = true;
    let longest = longest_over(&mut world, 20_000);
    assert!(longest < MAX_OVER_MS, "{longest} ms over");
}

#[test]
fn a_new_leader_returns_tasks_to_full_speed() {
    let mut world = mix(1, 40, 200);
    world.pass(3_000);
    let only = world.upstreams.values_mut().next().unwrap();
    only.slowdown_ms = 1;
    world.take_over();
    world.pass(20_000);
    let only = world.upstreams.values().next().unwrap();
    assert!(only.running.values().all(|run| run.pace == 100));
}

#[test]
fn a_lost_order_back_to_full_speed_is_repeated() {
    let mut world = mix(1, 40, 100);
    let pace = |world: &World| {
        let only = world.upstreams.values().next().unwrap();
        only.running.values().map(|run| run.pace).min().unwrap()
    };
    while pace(&world) == 100 {
        world.pass(10);
    }
    world.upstreams.values_mut().next().unwrap().slowdown_ms = 1;
    while pace(&world) != 90 {
        world.pass(10);
    }
    world.lose_pace = true;
    // An unknown share counts as half of full speed, and each step of 10% takes about a second.
    world.pass(10_000);
    assert_eq!(pace(&world), 100);
}
