//! Tasks that fill an upstream make way for tasks that serve there.

use super::world::World;
use super::world::step;
use trefoilgauge::fleet::model::Step;

/// How long a tail may be over its target for the sake of filling tasks, in milliseconds.
const HARM_MS: u64 = 4_000;
const TARGET_MS: u64 = 100;

/// Begins one serving task and `fills` filling ones on the only upstream.
fn mix(fills: u32, calm_ms: u64, harm_ms: u64) -> World {
    let mut world = World::new(1, 1);
    let only = world.upstreams.values_mut().next().unwrap();
    only.calm_ms = calm_ms;
    only.harm_ms = harm_ms;
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

/// Returns the longest time on end that the tail was over its target, in milliseconds.
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
fn a_tail_is_back_under_its_target_in_time_however_much_is_disturbed() {
    for harm_ms in [20, 60, 200, 1_000, 100_000] {
        let mut world = mix(3, 40, harm_ms);
        let longest = longest_over(&mut world, 30_000);
        assert!(longest < HARM_MS, "{harm_ms}: {longest} ms over");
    }
}

#[test]
fn filling_tasks_that_disturb_nobody_are_left_alone() {
    let mut world = mix(3, 40, 10);
    world.pass(20_000);
    assert_eq!(world.paces, 0);
}

#[test]
fn filling_tasks_get_back_what_they_can_have() {
    let mut world = mix(2, 40, 200);
    world.pass(20_000);
    let only = world.upstreams.values_mut().next().unwrap();
    only.harm_ms = 5;
    world.pass(20_000);
    let only = world.upstreams.values().next().unwrap();
    let paces: Vec<u32> = only.running.values().map(|run| run.pace).collect();
    assert_eq!(paces, [100, 100, 100]);
}

#[test]
fn a_tail_that_is_over_by_itself_does_not_stop_the_others_for_good() {
    let mut world = mix(1, 150, 1);
    let mut worked = false;
    for _ in 0..600 {
        world.pass(50);
        let only = world.upstreams.values().next().unwrap();
        worked |= world.now > 20_000
            && only
                .running
                .values()
                .any(|run| (1..100).contains(&run.pace));
    }
    assert!(worked);
}

#[test]
fn an_order_to_pace_that_is_lost_is_given_again() {
    let mut world = mix(1, 40, 100_000);
    world.lose_pace = true;
    let longest = longest_over(&mut world, 20_000);
    assert!(longest < HARM_MS, "{longest} ms over");
}

#[test]
fn a_new_leader_gives_back_what_the_last_one_took() {
    let mut world = mix(1, 40, 200);
    world.pass(3_000);
    let only = world.upstreams.values_mut().next().unwrap();
    only.harm_ms = 1;
    world.take_over();
    world.pass(20_000);
    let only = world.upstreams.values().next().unwrap();
    assert!(only.running.values().all(|run| run.pace == 100));
}

#[test]
fn a_lost_order_that_gives_the_rest_back_is_given_again() {
    let mut world = mix(1, 40, 100);
    let pace = |world: &World| {
        let only = world.upstreams.values().next().unwrap();
        only.running.values().map(|run| run.pace).min().unwrap()
    };
    while pace(&world) == 100 {
        world.pass(10);
    }
    world.upstreams.values_mut().next().unwrap().harm_ms = 1;
    while pace(&world) != 90 {
        world.pass(10);
    }
    world.lose_pace = true;
    // An unknown share is taken for a half, and each step of 10% takes about a second.
    world.pass(10_000);
    assert_eq!(pace(&world), 100);
}
