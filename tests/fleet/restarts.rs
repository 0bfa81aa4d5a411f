//! An upstream may start again under its identity: its numbers of ends, its clock and its runs begin
//! anew.

use super::fake::Behaviour;
use super::world::World;
use super::world::step;
use trefoilgauge::fleet::Event;
use trefoilgauge::fleet::event::Held;
use trefoilgauge::fleet::event::Operation;
use trefoilgauge::fleet::event::Phase;
use trefoilgauge::fleet::model::TaskId;
use trefoilgauge::prelude::*;

/// A world of one upstream on which the first jobs have ended.
fn world(jobs: u64) -> (World, Name) {
    let mut world = World::new(1, 1);
    let at = world.upstreams.keys().next().unwrap().clone();
    for id in 1..=jobs {
        world.submit("batch", "key-a", id, vec![step(1, 1, 500)]);
        world.pass(2_000);
        assert_eq!(world.phase("batch", id), Some(Phase::Completed));
    }
    (world, at)
}

#[test]
fn a_run_that_ended_on_a_restarted_upstream_is_not_started_again() {
    let (mut world, at) = world(3);
    world.restart(&at);
    world.list();
    world.submit("batch", "key-a", 9, vec![step(1, 1, 500)]);
    world.pass(5_000);
    assert_eq!(world.runs_begun(9), 1);
    assert_eq!(world.phase("batch", 9), Some(Phase::Completed));
}

#[test]
fn an_upstream_that_restarted_unnoticed_is_not_told_of_ends_of_its_earlier_process() {
    let (mut world, at) = world(3);
    world.restart(&at);
    world.submit("batch", "key-a", 9, vec![step(1, 1, 500)]);
    world.pass(5_000);
    assert_eq!(world.runs_begun(9), 1);
    assert_eq!(world.phase("batch", 9), Some(Phase::Completed));
}

#[test]
fn ends_stored_after_a_restart_are_not_acknowledged_to_the_new_process() {
    let (mut world, at) = world(0);
    for id in 1..=3 {
        world.submit("batch", "key-a", id, vec![step(1, 1, 500)]);
    }
    world.pass(500);
    world.store_down = true;
    world.pass(1_000);
    world.restart(&at);
    world.list();
    world.store_up();
    for id in 8..=9 {
        world.submit("batch", "key-a", id, vec![step(1, 1, 500)]);
        world.pass(500);
    }
    world.pass(5_000);
    assert_eq!(world.runs_begun(8) + world.runs_begun(9), 2);
    assert_eq!(world.phase("batch", 9), Some(Phase::Completed));
}

#[test]
fn a_late_report_of_the_earlier_process_is_ignored() {
    let (mut world, at) = world(0);
    for id in 1..=3 {
        world.submit("batch", "key-a", id, vec![step(1, 1, 500)]);
    }
    world.pass(500);
    let fake = world.upstreams.get_mut(&at).unwrap();
    let (mark, _) = fake.holds.remove(0);
    fake.stalled = true;
    world.pass(700);
    let now = world.now;
    let answer = Held::Report(world.upstreams.get_mut(&at).unwrap().report(now));
    world.restart(&at);
    world.list();
    for id in 8..=9 {
        world.submit("batch", "key-a", id, vec![step(1, 1, 500)]);
    }
    world.pass(500);
    world.tell(Event::Held {
        at,
        mark,
        answer,
        clock: None,
    });
    // Requests a report at once.
    world.call("batch", "key-a", 8, Operation::Cancel);
    world.pass(10_000);
    assert_eq!(world.runs_begun(9), 1);
    assert_eq!(world.phase("batch", 9), Some(Phase::Completed));
}

#[test]
fn a_late_response_from_another_process_does_not_settle_runs_of_the_present_one() {
    let (mut world, at) = world(1);
    world.submit("batch", "key-a", 2, vec![step(1, 1, 500)]);
    world.pass(100);
    let fake = world.upstreams.get_mut(&at).unwrap();
    let (mark, _) = fake.holds.remove(0);
    world.restart(&at);
    world.list();
    world.pass(300);
    world.work_ms.insert(format!("{:016x}", 9), 3_000);
    world.submit("batch", "key-a", 9, vec![step(1, 1, 3_000)]);
    world.pass(100);
    assert_eq!(world.runs_begun(9), 1);
    world.tell(Event::Held {
        at,
        mark,
        answer: Held::OtherLife,
        clock: None,
    });
    world.pass(100);
    world.list();
    world.pass(5_000);
    assert_eq!(world.runs_begun(9), 1);
    assert_eq!(world.phase("batch", 9), Some(Phase::Completed));
}

#[test]
fn a_process_that_is_gone_is_not_polled_for_its_last_acknowledgement() {
    let (mut world, at) = world(0);
    world.submit("batch", "key-a", 1, vec![step(1, 1, 500)]);
    world.pass(900);
    world.store_down = true;
    world.pass(300);
    world.replace(&at);
    world.store_up();
    world.pass(1_000);
    assert_eq!(world.phase("batch", 1), Some(Phase::Completed));
    let renewals = world.upstreams[&at].renewals;
    assert!(
        renewals < 3,
        "{renewals} renewals of a process that is gone"
    );
}

#[test]
fn a_late_order_to_a_restarted_upstream_is_barred_before_its_task_starts_again() {
    let (mut world, at) = world(0);
    world.upstreams.get_mut(&at).unwrap().behaviour = Behaviour::ReplyLost;
    world.work_ms.insert(format!("{:016x}", 1), 5_000);
    world.submit("batch", "key-a", 1, vec![step(1, 1, 5_000)]);
    world.pass(1_000);
    world.restart(&at);
    world.list();
    while world.runs_begun(1) < 2 {
        assert!(world.now < 20_000, "the task is not started again");
        world.pass(10);
    }
    assert!(world.is_barred(&at, 1));
    world.pass(8_000);
    assert_eq!(world.phase("batch", 1), Some(Phase::Completed));
}

#[test]
fn a_late_order_for_a_run_that_has_ended_is_barred_at_a_restarted_upstream() {
    let (mut world, at) = world(0);
    world.upstreams.get_mut(&at).unwrap().behaviour = Behaviour::ReplyLost;
    world.submit("batch", "key-a", 1, vec![step(1, 1, 500)]);
    world.pass(3_000);
    assert_eq!(world.phase("batch", 1), Some(Phase::Completed));
    world.restart(&at);
    world.list();
    world.pass(100);
    assert!(world.is_barred(&at, 1));
    assert_eq!(world.runs_begun(1), 1);
}

#[test]
fn a_run_of_a_finished_task_that_an_upstream_still_reports_is_stopped() {
    let (mut world, at) = world(1);
    for id in 2..=3 {
        world.work_ms.insert(format!("{id:016x}"), 8_000);
        world.submit("batch", "key-a", id, vec![step(1, 1, 8_000)]);
    }
    world.pass(100);
    let fake = world.upstreams.get_mut(&at).unwrap();
    let (task, run) = fake.running.first_key_value().unwrap();
    // As if a late order had started the first job's task again.
    let job = format!("{:016x}", 1).as_str().into();
    let stray = TaskId {
        job,
        ..task.clone()
    };
    fake.running.insert(stray, *run);
    world.pass(3_000);
    assert!(world.at_work(1).is_empty());
    assert_eq!(world.at_work(2).len() + world.at_work(3).len(), 2);
}

#[test]
fn a_lease_by_the_clock_of_an_earlier_process_is_awaited_before_a_task_starts_again() {
    let mut world = World::new(1, 2);
    world.pass(3_000);
    let all: Vec<Name> = world.upstreams.keys().cloned().collect();
    for at in &all {
        world.restart(at);
    }
    world.work_ms.insert(format!("{:016x}", 1), 30_000);
    world.submit("batch", "key-a", 1, vec![step(1, 1, 30_000)]);
    let first = world.begun[0].clone();
    world.upstreams.get_mut(&first.at).unwrap().behaviour = Behaviour::Silent;
    // The entry of the other one shows its new process; that of the silent one stays as it was.
    let other = all.iter().find(|at| **at != first.at).unwrap();
    let listing = world.upstreams[other].listing.clone();
    world.tell(Event::Listed(vec![listing]));
    // The world panics if both runs are at work at the same time.
    world.pass(16_000);
    assert_eq!(world.runs_begun(1), 2);
}
