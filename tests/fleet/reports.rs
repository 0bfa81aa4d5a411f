//! What operators of similar systems have reported: late, silent and returning parts.

use super::fake::Behaviour;
use super::world::World;
use super::world::step;
use trefoilgauge::fleet::Event;
use trefoilgauge::fleet::event::Phase;

/// Begins a task of 8 s on one of two upstreams; returns where it runs.
fn begin(world: &mut World) -> trefoilgauge::prelude::Name {
    world.work_ms.insert(format!("{:016x}", 1), 8_000);
    world.submit("batch", "key-a", 1, vec![step(1, 1, 8_000)]);
    world.pass(1_000);
    world.at_work(1)[0].2.clone()
}

#[test]
fn work_goes_on_where_only_the_entry_in_discovery_has_vanished() {
    let mut world = World::new(1, 2);
    let at = begin(&mut world);
    world.tell(Event::Unlisted(vec![at]));
    world.pass(8_500);
    assert_eq!(world.phase("batch", 1), Some(Phase::Completed));
    assert_eq!(world.begun.len(), 1);
}

#[test]
fn work_goes_on_where_an_upstream_is_silent_for_less_than_its_lease() {
    let mut world = World::new(1, 2);
    let at = begin(&mut world);
    world.upstreams.get_mut(&at).unwrap().behaviour = Behaviour::Silent;
    world.pass(2_500);
    world.upstreams.get_mut(&at).unwrap().behaviour = Behaviour::Healthy;
    world.pass(6_500);
    assert_eq!(world.phase("batch", 1), Some(Phase::Completed));
    assert_eq!(world.begun.len(), 1);
}

#[test]
fn a_report_that_comes_late_gives_up_nothing_that_a_later_one_listed() {
    let mut world = World::new(1, 1);
    begin(&mut world);
    let at = world.at_work(1)[0].2.clone();
    let late = world.report_without(&at, 1);
    world.pass(2_000);
    world.tell(late);
    world.pass(7_000);
    assert_eq!(world.phase("batch", 1), Some(Phase::Completed));
    assert_eq!(world.begun.len(), 1);
    world.assert_single();
}

#[test]
fn an_upstream_that_left_is_not_used_by_the_next_leader() {
    let mut world = World::new(1, 2);
    let gone = world.upstreams.keys().next().unwrap().clone();
    world.tell(Event::Unlisted(vec![gone.clone()]));
    world.upstreams.remove(&gone);
    world.take_over();
    for id in 1..=4 {
        world.submit("batch", "key-a", id, vec![step(2, 1, 200)]);
    }
    world.pass(2_000);
    assert!(world.begun.iter().all(|begun| begun.at != gone));
    assert_eq!(world.phase("batch", 4), Some(Phase::Completed));
}
