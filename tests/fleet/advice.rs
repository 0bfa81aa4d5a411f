//! Steps of queues that need advice run only on upstreams that the advice allows.

use super::world::World;
use super::world::gang;
use super::world::step;
use trefoilgauge::fleet::event::Operation;
use trefoilgauge::fleet::event::Phase;
use trefoilgauge::fleet::event::Reply;
use trefoilgauge::fleet::model::Advice;
use trefoilgauge::fleet::model::Config;
use trefoilgauge::fleet::model::Queue;
use trefoilgauge::fleet::model::Step;
use trefoilgauge::prelude::*;

/// Creates a world in which every third upstream is allowed.
fn world(racks: u32, each: u32) -> World {
    let mut world = World::new(racks, each);
    let names: Vec<_> = world.upstreams.keys().cloned().collect();
    world.advisor.good = names.into_iter().step_by(3).collect();
    world
}

#[test]
fn a_step_starts_only_on_allowed_upstreams() {
    let mut world = world(3, 4);
    let reply = world.submit("guarded", "key-a", 1, vec![step(6, 4, 1_000)]);
    assert_eq!(reply, Some(Reply::Accepted));
    world.pass(4_000);
    assert_eq!(world.phase("guarded", 1), Some(Phase::Completed));
    assert_eq!(world.unadvised, 0);
    assert_eq!(world.begun.len(), 6);
    for begun in &world.begun {
        assert!(world.advisor.good.contains(&begun.at), "{}", begun.at);
    }
}

#[test]
fn a_gang_finds_a_rack_with_enough_allowed_upstreams() {
    let mut world = World::new(3, 4);
    // One upstream in each of the first two racks, and three in the last.
    for name in ["u-0-0", "u-1-3", "u-2-0", "u-2-2", "u-2-3"] {
        world.advisor.good.insert(name.into());
    }
    world.submit("guarded", "key-a", 1, vec![gang(3, 8, 1_000)]);
    world.pass(4_000);
    assert_eq!(world.phase("guarded", 1), Some(Phase::Completed));
    assert!(world.begun.iter().all(|begun| begun.at.starts_with("u-2")));
}

#[test]
fn expired_tickets_are_requested_again() {
    let mut world = World::new(1, 1);
    world.advisor.good = world.upstreams.keys().cloned().collect();
    // The first task occupies the only upstream for longer than the second task's ticket is valid.
    world.work_ms.insert(format!("{:016x}", 1), 5_000);
    world.submit("guarded", "key-a", 1, vec![step(2, 8, 5_000)]);
    world.pass(11_000);
    assert_eq!(world.phase("guarded", 1), Some(Phase::Completed));
    assert_eq!(world.unadvised, 0);
    assert!(world.advisor.calls.len() >= 2);
}

#[test]
fn advice_is_requested_for_few_more_upstreams_than_needed() {
    let mut world = World::new(8, 8);
    world.advisor.good = world.upstreams.keys().cloned().collect();
    world.submit("guarded", "key-a", 1, vec![step(1, 1, 1_000)]);
    world.pass(2_000);
    assert_eq!(world.phase("guarded", 1), Some(Phase::Completed));
    assert_eq!(world.advisor.calls.len(), 1);
    assert_eq!(world.advisor.calls[0].1.len(), 4);
}

#[test]
fn a_gang_asks_first_about_the_rack_with_most_free_accelerators() {
    let mut world = World::new(3, 4);
    world.advisor.good = world.upstreams.keys().cloned().collect();
    for (id, rack) in [(1, 1), (2, 2)] {
        world.work_ms.insert(format!("{id:016x}"), 20_000);
        let near = Step {
            data_rack: format!("r1-{rack}"),
            ..step(16, 1, 100)
        };
        world.submit("urgent", "key-a", id, vec![near]);
    }
    world.submit("guarded", "key-a", 3, vec![gang(2, 8, 1_000)]);
    world.pass(1_000);
    let first = &world.advisor.calls[0].1[..4];
    assert!(
        first.iter().all(|name| name.starts_with("u-0")),
        "{first:?}"
    );
    assert_eq!(world.at_work(3).len(), 2);
}

#[test]
fn a_silent_service_is_retried_and_delays_no_other_queue() {
    let mut world = world(1, 4);
    world.advisor.silent = true;
    world.submit("guarded", "key-a", 1, vec![step(1, 1, 1_000)]);
    world.submit("batch", "key-a", 2, vec![step(1, 1, 1_000)]);
    world.pass(3_000);
    assert_eq!(world.phase("batch", 2), Some(Phase::Completed));
    assert_eq!(world.phase("guarded", 1), Some(Phase::Queued));
    world.advisor.silent = false;
    world.pass(3_000);
    assert_eq!(world.phase("guarded", 1), Some(Phase::Completed));
}

#[test]
fn a_new_leader_requests_advice_again() {
    let mut world = world(1, 4);
    let later = Step {
        after: vec![0],
        ..step(2, 1, 1_000)
    };
    world.submit("guarded", "key-a", 1, vec![step(2, 1, 1_000), later]);
    world.pass(500);
    world.take_over();
    world.pass(5_000);
    assert_eq!(world.phase("guarded", 1), Some(Phase::Completed));
    assert_eq!(world.unadvised, 0);
}

#[test]
fn no_advice_is_requested_for_a_cancelled_job() {
    let mut world = world(1, 4);
    world.advisor.good.clear();
    world.submit("guarded", "key-a", 1, vec![step(1, 1, 1_000)]);
    world.pass(30);
    world.call("guarded", "key-a", 1, Operation::Cancel);
    world.pass(500);
    let asked = world.advisor.calls.len();
    world.pass(5_000);
    assert_eq!(world.advisor.calls.len(), asked);
    assert_eq!(world.begun.len(), 0);
}

/// Changes the queue that needs advice.
fn change_guarded(config: &mut Config, change: impl FnOnce(&mut Queue)) {
    let queue = config.queues.iter_mut();
    let queue = queue.into_iter().find(|queue| &*queue.name == "guarded");
    change(Arc::make_mut(queue.unwrap()));
}

/// Creates a world whose service allows all upstreams, and takes 0.5 s and 50 ms for each of them.
fn slow_world(racks: u32, each: u32) -> World {
    let mut world = World::new(racks, each);
    world.advisor.good = world.upstreams.keys().cloned().collect();
    world.advisor.decide_ms = 500;
    world.advisor.each_ms = 50;
    let advice = Advice {
        decide_ms: 500,
        each_ms: 50,
        valid_ms: Some(world.advisor.valid_ms),
    };
    world.configure(|config| change_guarded(config, |queue| queue.advice = Some(advice)));
    world
}

/// A gang whose members may be on any rack, with 8 accelerators each.
fn wide_gang(count: u32) -> Step {
    Step {
        gang: true,
        ..step(count, 8, 1_000)
    }
}

/// Guards against tickets that count as expired on arrival, as their call took long.
#[test]
fn a_step_starts_whose_call_takes_as_long_as_its_tickets_are_valid() {
    let mut world = slow_world(6, 8);
    world.submit("guarded", "key-a", 1, vec![step(21, 8, 1_000)]);
    world.pass(1_000);
    world.submit("guarded", "key-a", 2, vec![step(2, 1, 1_000)]);
    world.pass(8_000);
    assert_eq!(world.phase("guarded", 1), Some(Phase::Completed));
    assert_eq!(world.phase("guarded", 2), Some(Phase::Completed));
    assert_eq!(world.unadvised, 0);
    assert!(world.advisor.calls.len() <= 3, "{:?}", world.advisor.calls);
}

/// Guards against a step whose calls lead to no start and that holds up all others.
#[test]
fn a_step_whose_tickets_are_refused_leaves_the_service_to_others() {
    let mut world = slow_world(6, 8);
    world.advisor.void = Some(format!("{:016x}", 1).into());
    world.submit("guarded", "key-a", 1, vec![step(12, 8, 1_000)]);
    for id in 2..7 {
        world.pass(1_000);
        world.submit("guarded", "key-a", id, vec![step(2, 1, 1_000)]);
    }
    world.pass(10_000);
    for id in 2..7 {
        assert_eq!(world.phase("guarded", id), Some(Phase::Completed), "{id}");
    }
    world.pass(15_000);
    assert_eq!(world.runs_begun(1), 0);
    // 30 s of calls of 1.8 s, and 5 s of rest after most of them.
    let calls = world.advisor.calls_about(1);
    assert!((3..=7).contains(&calls), "{calls}");
    world.advisor.void = None;
    world.pass(10_000);
    assert_eq!(world.phase("guarded", 1), Some(Phase::Completed));
}

/// Guards against a response that is late on its way and asked for again without end.
#[test]
fn tickets_that_arrive_late_are_tried_once_and_asked_for_again_ever_later() {
    let mut world = slow_world(1, 8);
    world.advisor.transit_ms = 900;
    world.advisor.valid_ms = 800;
    world.submit("guarded", "key-a", 1, vec![step(2, 8, 1_000)]);
    world.submit("guarded", "key-a", 2, vec![step(2, 8, 1_000)]);
    world.pass(30_000);
    let calls = [world.advisor.calls_about(1), world.advisor.calls_about(2)];
    assert!(
        calls.iter().all(|calls| (3..=8).contains(calls)),
        "{calls:?}"
    );
    // Two tasks for each call: a ticket is tried, not repeated.
    assert!(world.unadvised <= 32, "{}", world.unadvised);
    world.advisor.transit_ms = 0;
    world.pass(15_000);
    for id in [1, 2] {
        assert_eq!(world.phase("guarded", id), Some(Phase::Completed), "{id}");
    }
}

/// Guards against a gang that needs tickets of two calls, the first of which expire meanwhile.
#[test]
fn a_gang_of_more_upstreams_than_one_call_names_starts() {
    for every in [1, 2] {
        let mut world = slow_world(16, 16);
        let names: Vec<_> = world.upstreams.keys().cloned().collect();
        world.advisor.good = names.into_iter().step_by(every).collect();
        let reply = world.submit("guarded", "key-a", 1, vec![wide_gang(120)]);
        assert_eq!(reply, Some(Reply::Accepted));
        world.pass(60_000);
        assert_eq!(world.phase("guarded", 1), Some(Phase::Completed), "{every}");
        assert_eq!(world.unadvised, 0);
        assert_eq!(world.runs_begun(1), 120);
    }
}

/// Guards against a gang whose few allowed upstreams are spread over many calls.
#[test]
fn a_gang_keeps_the_tickets_that_it_has_while_it_asks_for_more() {
    let mut world = slow_world(8, 8);
    let names: Vec<_> = world.upstreams.keys().cloned().collect();
    world.advisor.good = names.into_iter().step_by(4).collect();
    world.submit("guarded", "key-a", 1, vec![wide_gang(12)]);
    world.pass(20_000);
    assert_eq!(world.phase("guarded", 1), Some(Phase::Completed));
    assert_eq!(world.unadvised, 0);
}

/// Guards against a gang for which too few upstreams are allowed and that asks for them without end.
#[test]
fn a_gang_with_too_few_allowed_upstreams_does_not_ask_again() {
    let mut world = slow_world(2, 8);
    let names: Vec<_> = world.upstreams.keys().cloned().collect();
    world.advisor.good = names.into_iter().step_by(4).collect();
    world.submit("guarded", "key-a", 1, vec![wide_gang(6)]);
    world.pass(10_000);
    let calls = world.advisor.calls_about(1);
    world.pass(20_000);
    assert_eq!(world.advisor.calls_about(1), calls);
    assert_eq!(world.runs_begun(1), 0);
}

/// Guards against a gang that can never hold all of its tickets and is accepted all the same.
#[test]
fn a_gang_beyond_the_reach_of_the_advice_is_refused() {
    let mut world = slow_world(20, 8);
    let reply = world.submit("guarded", "key-a", 1, vec![wide_gang(150)]);
    assert!(matches!(reply, Some(Reply::Refused { .. })), "{reply:?}");
    // Members that share an upstream need one ticket.
    let shared = Step {
        accelerators: 4,
        ..wide_gang(150)
    };
    let reply = world.submit("guarded", "key-a", 2, vec![shared]);
    assert_eq!(reply, Some(Reply::Accepted));
}

/// Guards against one ticket that is asked for where each upstream may run only one task.
#[test]
fn a_gang_with_a_limit_for_each_upstream_asks_about_enough_of_them() {
    let mut world = slow_world(4, 8);
    let apart = Step {
        upstream_limit: 1,
        accelerators: 1,
        ..wide_gang(20)
    };
    world.submit("guarded", "key-a", 1, vec![apart]);
    world.pass(4_000);
    assert_eq!(world.runs_begun(1), 20);
    assert_eq!(world.advisor.calls.len(), 1);
}

/// Guards against jobs that are accepted, or asked about, though no ticket could be used.
#[test]
fn jobs_are_refused_while_tickets_expire_before_they_can_be_used() {
    let mut world = slow_world(1, 8);
    world.submit("guarded", "key-a", 1, vec![step(2, 8, 1_000)]);
    world.pass(100);
    world.advisor.valid_ms = 0;
    world.configure(|config| {
        change_guarded(config, |queue| {
            queue.advice.as_mut().unwrap().valid_ms = Some(0);
        });
    });
    let reply = world.submit("guarded", "key-a", 2, vec![step(2, 8, 1_000)]);
    assert!(matches!(reply, Some(Reply::Refused { .. })), "{reply:?}");
    world.pass(10_000);
    assert_eq!(world.advisor.calls_about(1), 1);
    world.advisor.valid_ms = 3_000;
    world.configure(|config| {
        change_guarded(config, |queue| {
            queue.advice.as_mut().unwrap().valid_ms = Some(3_000);
        });
    });
    world.pass(4_000);
    assert_eq!(world.phase("guarded", 1), Some(Phase::Completed));
}

/// Guards against a ticket that was given for an earlier process of its upstream.
#[test]
fn tickets_of_an_earlier_process_are_asked_for_again() {
    let mut world = slow_world(1, 2);
    world.work_ms.insert(format!("{:016x}", 1), 2_000);
    world.submit("batch", "key-a", 1, vec![step(1, 8, 2_000)]);
    world.submit("guarded", "key-a", 2, vec![wide_gang(2)]);
    world.pass(1_000);
    let (_, _, busy) = world.at_work(1)[0].clone();
    let idle = world.upstreams.keys().find(|name| **name != busy).cloned();
    world.restart(&idle.unwrap());
    world.list();
    world.pass(3_000);
    assert_eq!(world.unadvised, 0);
    assert_eq!(world.runs_begun(2), 2);
}

/// Guards against a service that is asked all the faster the less it answers.
#[test]
fn a_silent_service_is_asked_ever_less_often_and_by_turns() {
    let mut world = slow_world(1, 8);
    world.advisor.silent = true;
    for id in 1..4 {
        world.submit("guarded", "key-a", id, vec![step(1, 8, 1_000)]);
    }
    world.pass(60_000);
    let calls = world.advisor.calls.len();
    assert!((6..=14).contains(&calls), "{calls}");
    for id in 1..4 {
        assert!(world.advisor.calls_about(id) >= 2, "{id}");
    }
    world.advisor.silent = false;
    world.pass(30_000);
    for id in 1..4 {
        assert_eq!(world.phase("guarded", id), Some(Phase::Completed), "{id}");
    }
}

/// Guards against a slow service none of whose responses arrives before its call is given up.
#[test]
fn a_service_that_takes_three_times_as_long_is_given_the_time() {
    let mut world = slow_world(1, 8);
    world.advisor.decide_ms = 1_500;
    world.advisor.each_ms = 150;
    world.submit("guarded", "key-a", 1, vec![step(4, 8, 1_000)]);
    world.pass(60_000);
    assert_eq!(world.phase("guarded", 1), Some(Phase::Completed));
}

/// Guards against guaranteed work that asks for advice only after a part of its bound has passed.
#[test]
fn guaranteed_work_asks_for_advice_at_once_and_stops_other_work() {
    let mut world = slow_world(1, 4);
    world.configure(|config| change_guarded(config, |queue| queue.priority = 0));
    world.work_ms.insert(format!("{:016x}", 1), 60_000);
    world.submit("batch", "key-b", 1, vec![step(4, 8, 60_000)]);
    world.pass(500);
    assert_eq!(world.at_work(1).len(), 4);
    world.submit("guarded", "key-a", 2, vec![wide_gang(2)]);
    world.pass(100);
    assert_eq!(world.advisor.calls_about(2), 1);
    world.pass(2_600);
    assert_eq!(world.runs_begun(2), 2);
    assert_eq!(world.unadvised, 0);
}

/// Guards against guaranteed work that gets no new tickets for upstreams on which it could stop work.
#[test]
fn guaranteed_work_asks_again_about_upstreams_that_other_work_has_taken() {
    let mut world = slow_world(1, 2);
    world.configure(|config| change_guarded(config, |queue| queue.priority = 0));
    world.work_ms.insert(format!("{:016x}", 1), 5_000);
    world.work_ms.insert(format!("{:016x}", 3), 60_000);
    world.submit("urgent", "key-b", 1, vec![step(2, 8, 5_000)]);
    world.pass(100);
    world.submit("guarded", "key-a", 2, vec![wide_gang(2)]);
    world.submit("batch", "key-b", 3, vec![step(2, 8, 60_000)]);
    world.pass(5_000 + 2_700);
    assert_eq!(world.runs_begun(2), 2);
    assert_eq!(world.unadvised, 0);
}

/// Guards against a lost call that holds up all steps long after the service is back.
#[test]
fn a_lost_call_is_given_up_in_bounded_time_however_many_were_lost_before() {
    let mut world = slow_world(16, 8);
    world.advisor.silent = true;
    world.submit("guarded", "key-a", 1, vec![wide_gang(100)]);
    world.pass(120_000);
    // The widest call, twice the wait between two calls, and the adapter's margin.
    assert!(
        world.advisor.longest_ms <= 5_500 + 10_000 + 1_000,
        "{}",
        world.advisor.longest_ms
    );
    world.advisor.silent = false;
    world.pass(30_000);
    assert_eq!(world.runs_begun(1), 100);
}

/// Guards against a ticket that expires while the store delays the order that carries it.
#[test]
fn an_order_that_waited_for_the_store_is_not_sent_with_an_expired_ticket() {
    for gang in [false, true] {
        let mut world = slow_world(1, 8);
        let tasks = Step {
            gang,
            ..wide_gang(2)
        };
        world.submit("guarded", "key-a", 1, vec![tasks]);
        world.store_down = true;
        world.pass(5_000);
        world.store_up();
        assert_eq!(
            (world.unadvised, world.runs_begun(1)),
            (0, 0),
            "gang={gang}"
        );
        world.pass(5_000);
        assert_eq!(
            world.phase("guarded", 1),
            Some(Phase::Completed),
            "gang={gang}"
        );
        assert_eq!(world.unadvised, 0);
    }
}
