//! Single decisions about admission, order, retries, health and shares, each with the fault that it
//! must withstand.

#[expect(dead_code, reason = "the other tests use the rest")]
mod requests_world;

use requests_world::World;
use requests_world::answered;
use requests_world::broken;
use requests_world::not_sent;
use trefoilgauge::configs::Settings;
use trefoilgauge::platform::Member;
use trefoilgauge::platform::Role;
use trefoilgauge::prelude::*;
use trefoilgauge::records::Kept;
use trefoilgauge::reducer::Event;
use trefoilgauge::reducer::effect::Reply;
use trefoilgauge::reducer::event::TryEnd;

fn sent_to(world: &World, vm: usize) -> Vec<Name> {
    let tries = world.vms[vm].tries.iter();
    tries.map(|open| open.dispatch.runner.clone()).collect()
}

fn members(list: &[(&str, Role, bool)]) -> Event {
    let list = list.iter().map(|(name, role, leaving)| Member {
        name: (*name).into(),
        role: *role,
        centre: "centre-1".into(),
        addr: "127.0.0.1:9".into(),
        leaving: *leaving,
    });
    Event::Members {
        list: list.collect(),
    }
}

#[test]
fn a_full_queue_refuses_requests() {
    let mut settings = Settings::default();
    settings.requests.queue = 4;
    settings.requests.fleet = 1;
    settings.requests.spare = 0;
    let mut world = World::start_with(settings, 1, 1, 1);
    let reqs: Vec<Name> = (0..6).map(|_| world.arrive(0, "scan", None, 0)).collect();
    assert_eq!("None", world.refusal(&reqs[4]));
    assert_eq!("503 QueueFull No", world.refusal(&reqs[5]));
}

#[test]
fn a_request_that_would_miss_its_deadline_is_refused_at_once() {
    let mut world = World::start(1, 1, 1);
    let short = |world: &mut World, ms: u64| {
        world.arrive_with(0, "scan", None, 0, |arrival| arrival.deadline_ms = Some(ms))
    };
    for _ in 0..6 {
        short(&mut world, 5_000);
    }
    // Five wait, with 100 ms of service time each, so the next one is done after 600 ms; the last
    // of the 60 below would wait for longer than their 5 s.
    let late = short(&mut world, 5_000);
    assert_eq!("None", world.refusal(&late));
    let hopeless = short(&mut world, 0);
    assert_eq!("503 TooLate No", world.refusal(&hopeless));
    for _ in 0..60 {
        short(&mut world, 5_000);
    }
    let late = short(&mut world, 5_000);
    assert_eq!("503 TooLate No", world.refusal(&late));
    let Some(Reply::Refused(refusal)) = world.reply(&late) else {
        panic!("refused");
    };
    assert!(refusal.retry_ms.is_some_and(|ms| ms >= 100));
}

#[test]
fn urgent_requests_go_first_and_patient_ones_get_their_share() {
    let mut world = World::start(1, 1, 1);
    let block = world.arrive(0, "scan", None, 0);
    for i in 0..20 {
        world.arrive(0, "scan", None, 0);
        world.arrive(0, "entry", Some(&format!("k{i}")), 0);
    }
    world.sync();
    world.now_ms += 100;
    world.end(0, 0, answered(&block, 200), true);
    let mut order = String::new();
    for _ in 0..20 {
        let dispatch = world.vms[0].tries[0].dispatch.clone();
        order.push(if dispatch.check_live { 'u' } else { 'p' });
        world.now_ms += 100;
        world.end(0, 0, answered(&dispatch.req, 200), true);
    }
    assert_eq!("uuuuupuuuupuuuupuuuu", order);
}

#[test]
fn the_share_of_patient_requests_is_a_share_of_time() {
    let mut world = World::start(1, 1, 1);
    world.arrive(0, "scan", None, 0);
    for i in 0..150 {
        world.arrive_with(0, "scan", None, 0, |arrival| {
            arrival.deadline_ms = Some(100_000);
        });
        world.arrive_with(0, "entry", Some(&format!("k{i}")), 0, |arrival| {
            arrival.deadline_ms = Some(100_000);
        });
    }
    world.sync();
    let mut time_ms = [0, 0];
    for _ in 0..100 {
        let dispatch = world.vms[0].tries[0].dispatch.clone();
        let took_ms = if dispatch.check_live { 100 } else { 1_000 };
        time_ms[usize::from(dispatch.check_live)] += took_ms;
        world.now_ms += took_ms;
        world.end(0, 0, answered(&dispatch.req, 200), true);
    }
    let patient_pct = time_ms[0] * 100 / (time_ms[0] + time_ms[1]);
    assert!((15..=35).contains(&patient_pct), "{time_ms:?}");
}

#[test]
fn a_pool_whose_runners_all_fail_is_probed_at_intervals() {
    let mut world = World::start(1, 50, 8);
    let mut tries = 0;
    for i in 0..1_500 {
        world.arrive(0, "entry", Some(&format!("k{i}")), 0);
        world.sync();
        while !world.vms[0].tries.is_empty() {
            tries += 1;
            world.end(0, 0, broken(), true);
        }
        world.advance(10);
    }
    // Each runner fails once, and then one probe is sent every 250 ms for 15 s.
    assert!((50..=50 + 60).contains(&tries), "{tries}");
}

#[test]
fn the_final_error_does_not_depend_on_the_order_of_failures() {
    let ends = [
        ("answered", answered(&"x".into(), 500)),
        ("broken", broken()),
        ("not_sent", not_sent()),
    ];
    let cases = [
        ([0, 1, 2], "upstream"),
        ([2, 1, 0], "upstream"),
        ([1, 0, 2], "upstream"),
        ([1, 2, 1], "502 UpstreamBroken Unknown"),
        ([2, 1, 1], "502 UpstreamBroken Unknown"),
    ];
    for (order, expected) in cases {
        let mut world = World::start(1, 24, 1);
        let req = world.arrive(0, "scan", None, 0);
        for at in order.into_iter().chain([1, 1, 1]) {
            if !world.vms[0].tries.is_empty() {
                world.end(0, 0, ends[at].1.clone(), at < 2);
            }
        }
        let actual = match world.reply(&req) {
            Some(Reply::Upstream { .. }) => "upstream".to_owned(),
            _ => world.refusal(&req),
        };
        assert_eq!(expected, actual, "{order:?}");
    }
}

#[test]
fn retries_stay_within_the_budget_during_an_outage() {
    let mut world = World::start(1, 50, 8);
    let mut tries = 0;
    for _ in 0..1_000 {
        world.arrive(0, "scan", None, 0);
        while !world.vms[0].tries.is_empty() {
            tries += 1;
            world.end(0, 0, broken(), true);
        }
        world.advance(100);
    }
    let first = 1_000;
    assert!(tries <= first + first / 10 + 10, "{tries} tries");
}

#[test]
fn a_runner_that_fails_fast_does_not_attract_load() {
    for end in [broken(), not_sent(), answered(&"x".into(), 500)] {
        let mut world = World::start(1, 10, 8);
        let mut failed = 0;
        for _ in 0..2_000 {
            let req = world.arrive(0, "scan", None, 0);
            while !world.vms[0].tries.is_empty() {
                let bad = &*world.vms[0].tries[0].dispatch.runner == "s3";
                failed += u32::from(bad);
                let end = match bad {
                    true => end.clone(),
                    false => answered(&req, 200),
                };
                world.end(0, 0, end, true);
            }
            world.advance(10);
        }
        // The cooldowns within these 20 s are 0.5, 1, 2, 4, 8 and 16 s.
        assert!((3..=20).contains(&failed), "{failed} tries");
    }
}

#[test]
fn a_failed_runner_recovers_by_one_probe_at_a_time() {
    let mut world = World::start(1, 1, 8);
    world.arrive(0, "scan", None, 0);
    world.end(0, 0, not_sent(), false);
    assert!(world.vms[0].tries.is_empty());
    world.arrive(0, "scan", None, 0);
    world.advance(499);
    assert!(world.vms[0].tries.is_empty());
    world.advance(1);
    assert_eq!(1, world.vms[0].tries.len());
    let req = world.vms[0].tries[0].dispatch.req.clone();
    world.end(0, 0, answered(&req, 200), true);
    assert_eq!(1, world.vms[0].tries.len());
    world.arrive(0, "scan", None, 0);
    assert_eq!(2, world.vms[0].tries.len());
}

#[test]
fn a_busy_runner_gets_no_requests_until_its_retry_after() {
    let mut world = World::start(1, 2, 8);
    let req = world.arrive(0, "scan", None, 0);
    let busy = world.vms[0].tries[0].dispatch.runner.clone();
    let end = TryEnd::Answered {
        status: 503,
        retry_ms: Some(5_000),
        kept: Kept {
            status: 503,
            media: String::new(),
            body: None,
        },
    };
    world.end(0, 0, end, false);
    assert_ne!(vec![busy.clone()], sent_to(&world, 0), "retried elsewhere");
    world.end(0, 0, answered(&req, 200), true);
    for _ in 0..49 {
        world.advance(100);
        let req = world.arrive(0, "scan", None, 0);
        assert!(!sent_to(&world, 0).contains(&busy));
        world.end(0, 0, answered(&req, 200), true);
    }
    world.advance(100);
    let runners: Vec<Name> = (0..8)
        .flat_map(|_| {
            world.arrive(0, "scan", None, 0);
            sent_to(&world, 0)
        })
        .collect();
    assert!(runners.contains(&busy));
}

#[test]
fn a_leaving_runner_is_used_again_only_once_it_was_replaced() {
    let live = &[("s0", Role::Runner, false)];
    let leaving = &[("s0", Role::Runner, true)];
    let none = &[("other", Role::Runner, false)];
    let cases = [
        (vec![leaving], 0),
        (vec![leaving, live], 0),
        (vec![leaving, none], 0),
        (vec![leaving, none, live], 1),
    ];
    for announced in [false, true] {
        for (lists, expected) in &cases {
            let mut world = World::start(1, 1, 8);
            world.deliver(0, members(live));
            if announced {
                world.arrive(0, "scan", None, 0);
                world.end(0, 0, TryEnd::Leaving, false);
            }
            for list in lists.iter().skip(usize::from(announced)) {
                world.deliver(0, members(*list));
            }
            world.arrive(0, "scan", None, 0);
            world.arrive(0, "scan", None, 0);
            let actual = world.vms[0].tries.len();
            assert_eq!(*expected, actual, "{lists:?} {announced}");
        }
    }
}

#[test]
fn all_vms_together_stay_within_the_slots_of_a_runner() {
    for count in [7, 8, 9] {
        let mut settings = Settings::default();
        settings.requests.fleet = 7;
        let mut world = World::start_with(settings, count, 20, 8);
        world.exchange_heartbeats();
        let mut flight = std::collections::BTreeMap::<Name, u32>::new();
        for vm in 0..count {
            for _ in 0..200 {
                world.arrive(vm, "scan", None, 0);
            }
            for runner in sent_to(&world, vm) {
                *flight.entry(runner).or_default() += 1;
            }
        }
        // No heartbeat was received while the load arrived: the shares add up without any.
        let actual: Vec<u32> = flight.into_values().collect();
        assert_eq!(vec![8; 20], actual);
        for _ in 0..8 {
            world.exchange_heartbeats();
            world.advance(250);
        }
        let all: usize = (0..count).map(|vm| sent_to(&world, vm).len()).sum();
        assert_eq!(
            160, all,
            "nothing is borrowed while the others use their shares"
        );
    }
}

#[test]
fn a_vm_with_all_the_load_borrows_unused_slots() {
    let mut settings = Settings::default();
    settings.requests.fleet = 7;
    let mut world = World::start_with(settings, 7, 20, 8);
    world.exchange_heartbeats();
    for _ in 0..200 {
        world.arrive(0, "scan", None, 0);
    }
    let before = sent_to(&world, 0).len();
    for _ in 0..8 {
        world.exchange_heartbeats();
        world.advance(250);
    }
    let expected = 20 * 6;
    assert_eq!(expected, sent_to(&world, 0).len(), "after {before}");
}

#[test]
fn vms_without_heartbeats_keep_to_the_share_of_a_fleet_with_spares() {
    let mut settings = Settings::default();
    settings.requests.fleet = 7;
    let mut world = World::start_with(settings, 7, 20, 8);
    for vm in 0..7 {
        for _ in 0..100 {
            world.arrive(vm, "scan", None, 0);
        }
        assert_eq!(20, world.vms[vm].tries.len());
        assert_eq!(6, world.vms[vm].tries[0].dispatch.connections);
    }
}

#[test]
fn a_configured_service_time_does_not_shorten_a_try() {
    let mut world = World::start(1, 1, 8);
    world.arrive(0, "scan", None, 0);
    let dispatch = &world.vms[0].tries[0].dispatch;
    assert_eq!(dispatch.left_ms, dispatch.usual_ms);
}

#[test]
fn a_broken_try_raises_the_usual_service_time() {
    let mut world = World::start(1, 1, 8);
    let usual_ms = |world: &World| world.vms[0].tries[0].dispatch.usual_ms;
    for _ in 0..32 {
        let req = world.arrive(0, "scan", None, 0);
        world.advance(100);
        world.end(0, 0, answered(&req, 200), true);
    }
    world.arrive(0, "scan", None, 0);
    assert_eq!(100, usual_ms(&world));
    world.advance(4_000);
    world.end(0, 0, broken(), true);
    world.advance(2_000);
    assert_eq!(2_000, usual_ms(&world));
}
