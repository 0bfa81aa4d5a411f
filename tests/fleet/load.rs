//! What callers get while more comes than can be done.

use super::world::World;
use super::world::gang;
use super::world::step;
use trefoilgauge::fleet::event::Phase;
use trefoilgauge::fleet::event::Reply;

#[test]
fn a_task_that_no_upstream_can_hold_is_refused_at_once() {
    let mut world = World::new(1, 2);
    let reply = world.submit("batch", "key-a", 1, vec![step(1, 9, 1_000)]);
    assert!(matches!(reply, Some(Reply::Refused { .. })), "{reply:?}");
    let reply = world.submit("scan", "key-a", 2, vec![gang(3, 8, 1_000)]);
    assert!(matches!(reply, Some(Reply::Refused { .. })), "{reply:?}");
    let reply = world.submit("scan", "key-a", 3, vec![gang(2, 8, 1_000)]);
    assert_eq!(reply, Some(Reply::Accepted));
}

#[test]
fn a_burst_is_refused_from_where_it_would_be_of_no_use_and_the_rest_is_done() {
    let mut world = World::new(1, 2);
    let mut accepted = Vec::new();
    let mut waits = Vec::new();
    // Each job takes the 16 accelerators for a second; the objective is 6 s.
    for id in 1..=40 {
        match world.submit("batch", "key-a", id, vec![step(16, 1, 1_000)]) {
            Some(Reply::Accepted) => accepted.push(id),
            Some(Reply::Refused { wait_ms, .. }) => waits.push(wait_ms),
            other => panic!("{other:?}"),
        }
    }
    assert!((15..=20).contains(&accepted.len()), "{}", accepted.len());
    assert!(waits.iter().all(|wait| *wait >= 1_000), "{waits:?}");
    world.pass(18_500);
    for id in accepted {
        assert_eq!(world.phase("batch", id), Some(Phase::Completed), "job {id}");
    }
}

#[test]
fn urgent_work_is_not_refused_for_the_work_before_it() {
    let mut world = World::new(1, 2);
    for id in 1..=40 {
        world.submit("batch", "key-a", id, vec![step(16, 1, 1_000)]);
    }
    let reply = world.submit("urgent", "key-a", 99, vec![gang(2, 8, 1_000)]);
    assert_eq!(reply, Some(Reply::Accepted));
    world.pass(2_500);
    assert_eq!(world.phase("urgent", 99), Some(Phase::Completed));
}
