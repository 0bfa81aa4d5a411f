//! What the next leader does about stops that an earlier one still owed.

use super::fake::Behaviour;
use super::world::World;
use super::world::gang;
use super::world::step;
use trefoilgauge::fleet::event::Operation;
use trefoilgauge::fleet::event::Phase;
use trefoilgauge::fleet::model::How;
use trefoilgauge::fleet::model::Step;
use trefoilgauge::prelude::*;

/// How long the work takes: longer than each test.
const LONG_MS: u64 = 10_000_000;
/// How long an upstream is cut off: less than a lease.
const CUT_MS: u64 = 1_000;
/// The time in which a new leader that reaches an upstream has stopped a run there: a look, the
/// order and its report.
const STOPPED_MS: u64 = 1_000;

/// Submits a job that outlasts the test, and waits until it is at work; returns its upstreams.
fn begin(world: &mut World, id: u64, step: Step) -> Vec<Name> {
    world.work_ms.insert(format!("{id:016x}"), LONG_MS);
    world.submit("batch", "key-a", id, vec![step]);
    world.pass(500);
    let at = world.at_work(id).into_iter().map(|(_, _, at)| at);
    at.collect()
}

fn set(world: &mut World, names: &[Name], behaviour: Behaviour) {
    for at in names {
        world.upstreams.get_mut(at).unwrap().behaviour = behaviour;
    }
}

/// Cuts off the upstreams of job 1 while `end` closes it, until after the lead has changed.
fn close_while_cut_off(step: Step, end: impl FnOnce(&mut World, &[Name])) -> World {
    let mut world = World::new(2, 2);
    let cut = begin(&mut world, 1, step);
    set(&mut world, &cut, Behaviour::Silent);
    end(&mut world, &cut);
    world.pass(CUT_MS / 2);
    world.take_over();
    world.pass(CUT_MS / 2);
    set(&mut world, &cut, Behaviour::Healthy);
    world.pass(STOPPED_MS);
    world
}

/// Guards against a cancelled task that the next leader adopts as work and renews for ever.
#[test]
fn a_run_of_a_cancelled_job_is_stopped_by_the_next_leader() {
    let cancel = |world: &mut World, _: &[Name]| {
        world.call("batch", "key-a", 1, Operation::Cancel);
    };
    for work in [step(3, 2, LONG_MS), gang(3, 2, LONG_MS)] {
        let mut world = close_while_cut_off(work, cancel);
        assert_eq!(world.at_work(1), vec![]);
        assert_eq!(world.phase("batch", 1), Some(Phase::Cancelled));
    }
}

/// Guards against tasks of a failed job that run on after the lead has changed.
#[test]
fn a_run_of_a_failed_job_is_stopped_by_the_next_leader() {
    let mut world = World::new(2, 2);
    let at = begin(&mut world, 1, step(2, 8, LONG_MS));
    set(&mut world, &at[..1], Behaviour::Silent);
    // The queue allows two attempts.
    while world.phase("batch", 1) != Some(Phase::Failed) {
        assert!(world.now < 10_000, "the job does not fail");
        let other = world.at_work(1).into_iter().find(|run| run.2 != at[0]);
        if let Some((task, _, there)) = other {
            let fake = world.upstreams.get_mut(&there).unwrap();
            fake.end(&task, How::Failed);
        }
        world.pass(100);
    }
    world.take_over();
    set(&mut world, &at[..1], Behaviour::Healthy);
    world.pass(STOPPED_MS);
    assert_eq!(world.at_work(1), vec![]);
    assert_eq!(world.phase("batch", 1), Some(Phase::Failed));
}

/// Guards against the rest of a gang that waits in vain for a member which an earlier leader
/// settled.
#[test]
fn the_rest_of_a_gang_that_lost_a_member_is_stopped_by_the_next_leader() {
    let mut world = World::new(2, 2);
    let at = begin(&mut world, 1, gang(2, 8, LONG_MS));
    let rest = &at[1..];
    set(&mut world, &at, Behaviour::Silent);
    let first = world.at_work(1)[0].clone();
    // The member ends; the stop of the other one is lost.
    let fake = world.upstreams.get_mut(&first.2).unwrap();
    fake.end(&first.0, How::Lapsed);
    fake.behaviour = Behaviour::Healthy;
    world.pass(CUT_MS / 2);
    assert_eq!(world.at_work(1).len(), 1);
    world.take_over();
    set(&mut world, rest, Behaviour::Healthy);
    world.pass(STOPPED_MS);
    let runs: Vec<u32> = world.at_work(1).iter().map(|(_, run, _)| *run).collect();
    assert_eq!(runs, [2, 2]);
}
