//! What the next leader does about the duties of an earlier one: stops that it owed, and leases that
//! it requested.

use super::fake::Behaviour;
use super::fake::Running;
use super::world::FIRST;
use super::world::World;
use super::world::gang;
use super::world::step;
use super::world::timing;
use trefoilgauge::fleet::Event;
use trefoilgauge::fleet::event::Operation;
use trefoilgauge::fleet::event::Phase;
use trefoilgauge::fleet::model::How;
use trefoilgauge::fleet::model::Step;
use trefoilgauge::fleet::model::TaskId;
use trefoilgauge::fleet::row::restart_key;
use trefoilgauge::fleet::timing::Timing;
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

/// Guards against the rest of a gang that waits in vain for a member that is gone.
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

/// How long a task that lasts may be away after its last run, in milliseconds: the users' rule LOST.
const MAX_AWAY_MS: u64 = 6_000 + 3_000;

/// Starts a task that lasts, and loses its upstream together with the leader.
fn lose_upstream_and_leader() -> (World, Name) {
    let mut world = World::new(2, 2);
    let lasting = Step {
        long_running: true,
        ..step(1, 1, 1_000)
    };
    let at = begin(&mut world, 1, lasting).remove(0);
    world.pass(2_000);
    set(&mut world, std::slice::from_ref(&at), Behaviour::Silent);
    world.take_over();
    (world, at)
}

/// Extends the lease at an upstream, as an earlier leader with the longest order age may.
fn renew_as_earlier_leader(world: &mut World, at: &Name) {
    let now = world.now;
    let fake = world.upstreams.get_mut(at).unwrap();
    fake.extend(now, fake.clock(now) + timing().lease_ms());
}

/// Guards against a task that waits for orders of a leader that has ended.
#[test]
fn a_task_of_a_lost_upstream_starts_soon_once_the_predecessor_has_ended() {
    let (mut world, _) = lose_upstream_and_leader();
    world.pass(1_500);
    world.tell(Event::PredecessorEnded);
    world.pass(MAX_AWAY_MS - 1_500);
    assert_eq!(world.runs_begun(1), 2);
}

/// Guards against a second run while a leader that was cut off still renews the first one.
#[test]
fn leases_of_a_predecessor_that_may_live_are_waited_for() {
    let (mut world, at) = lose_upstream_and_leader();
    world.pass(FIRST.order_ms - 10);
    renew_as_earlier_leader(&mut world, &at);
    // The world panics if a task runs twice.
    world.pass(timing().lease_ms() + 1_000);
    assert_eq!(world.runs_begun(1), 2);
}

/// Guards against a second run while the leader before one that has ended still renews the first.
#[test]
fn the_end_of_a_predecessor_tells_nothing_of_the_leaders_before_it() {
    let (mut world, at) = lose_upstream_and_leader();
    world.pass(500);
    world.take_over();
    world.tell(Event::PredecessorEnded);
    world.pass(FIRST.order_ms - 510);
    renew_as_earlier_leader(&mut world, &at);
    world.pass(timing().lease_ms() + 1_500);
    assert_eq!(world.runs_begun(1), 2);
}

/// Guards against a second run beside one whose lease was counted from an old reading of a slow clock.
#[test]
fn a_lease_by_an_old_reading_of_a_slow_clock_ends_before_the_next_leader_gives_it_up() {
    for idle_ms in [30_000, 90_000, 119_000, 600_000] {
        let mut world = World::new(2, 2);
        for fake in world.upstreams.values_mut() {
            fake.clock_slow = 20;
        }
        world.list();
        world.pass(idle_ms);
        world.work_ms.insert(format!("{:016x}", 1), LONG_MS);
        world.submit("batch", "key-a", 1, vec![step(1, 1, LONG_MS)]);
        let at: Vec<Name> = world.at_work(1).into_iter().map(|(_, _, at)| at).collect();
        set(&mut world, &at, Behaviour::Silent);
        world.take_over();
        world.tell(Event::PredecessorEnded);
        // The world panics if a task runs twice.
        world.pass(timing().max_lease_ms + 2_000);
        assert_eq!(world.runs_begun(1), 2, "after {idle_ms} ms");
    }
}

/// Starts job 1 at an upstream that has just restarted, and lets an order that was meant for its
/// earlier process reach it; discovery shows the restart to the leader if `noticed`. Then the leader
/// and the upstream are lost.
fn lose_restarted_upstream_and_leader(noticed: bool) -> World {
    let mut world = World::new(1, 2);
    world.pass(30_000);
    let names: Vec<Name> = world.upstreams.keys().cloned().collect();
    for at in &names {
        world.restart(at);
    }
    if noticed {
        world.list();
        world.pass(500);
    } else {
        for fake in world.upstreams.values_mut() {
            fake.stalled = true;
        }
    }
    world.work_ms.insert(format!("{:016x}", 1), LONG_MS);
    world.submit("batch", "key-a", 1, vec![step(1, 1, LONG_MS)]);
    let at = world.at_work(1).remove(0).2;
    let now = world.now;
    let fake = world.upstreams.get_mut(&at).unwrap();
    fake.extend(now, 30_000);
    fake.behaviour = Behaviour::Silent;
    world.take_over();
    world.tell(Event::PredecessorEnded);
    world
}

/// Guards against a second run beside one whose lease was counted on the clock of an earlier process.
#[test]
fn the_next_leader_waits_for_leases_by_the_clock_of_an_earlier_process() {
    for noticed in [true, false] {
        let mut world = lose_restarted_upstream_and_leader(noticed);
        // The world panics if a task runs twice.
        world.pass(timing().max_lease_ms + 2_000);
        assert_eq!(world.runs_begun(1), 2, "noticed: {noticed}");
    }
}

/// Guards against waiting longer for ever, and for leaders that come much later.
#[test]
fn a_restart_is_forgotten_once_no_lease_by_the_earlier_clock_lasts() {
    let mut world = World::new(1, 1);
    let at = world.upstreams.keys().next().unwrap().clone();
    world.restart(&at);
    world.list();
    world.pass(500);
    let key = restart_key(&at);
    assert!(!world.rows[&key].is_empty());
    world.pass(timing().max_lease_ms + 2_000);
    assert!(!world.rows.contains_key(&key));
}

/// Guards against a wait for all earlier leaders by each leader anew.
#[test]
fn a_leader_that_waited_for_the_earlier_ones_spares_the_next_one_that_wait() {
    let (mut world, _) = lose_upstream_and_leader();
    world.pass(FIRST.order_ms + 100);
    world.take_over();
    world.tell(Event::PredecessorEnded);
    world.pass(Timing::max_local_ms(timing().lease_ms()) + 500);
    assert_eq!(world.runs_begun(1), 2);
}

/// Guards against late orders of an earlier leader at an upstream that knows no higher token.
#[test]
fn idle_upstreams_learn_the_token_of_the_next_leader() {
    let mut world = World::new(2, 2);
    world.pass(1_000);
    let before: Vec<u32> = world.upstreams.values().map(|up| up.renewals).collect();
    world.take_over();
    world.pass(500);
    let after = world.upstreams.values().map(|up| up.renewals);
    let told = after.zip(before).filter(|(after, before)| after > before);
    assert_eq!(told.count(), world.upstreams.len());
}

/// Guards against a late start at an upstream without other work, the stop of which is lost.
#[test]
fn a_run_that_no_leader_knows_is_stopped_at_an_idle_upstream() {
    let mut world = World::new(1, 2);
    let at = begin(&mut world, 1, step(1, 1, LONG_MS)).remove(0);
    world.call("batch", "key-a", 1, Operation::Cancel);
    world.pass(1_000);
    world.restart(&at);
    let (now, need) = (world.now, step(1, 1, LONG_MS).need());
    // As started by a late order of the earlier leader.
    let late = Running {
        number: 1,
        start: now,
        worked: now + LONG_MS,
        end: now + LONG_MS,
        pace: 100,
        need,
        stopping: false,
    };
    let task = TaskId {
        job: format!("{:016x}", 1).into(),
        turn: 0,
        step: 0,
        index: 0,
    };
    let fake = world.upstreams.get_mut(&at).unwrap();
    fake.running.insert(task, late);
    fake.extend(now, timing().max_lease_ms);
    fake.lost_stops = 1;
    world.take_over();
    world.pass(STOPPED_MS);
    assert_eq!(world.at_work(1), vec![]);
}
