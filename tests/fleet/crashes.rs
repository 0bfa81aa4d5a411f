//! Tasks that crash the upstreams that start them, and others that run beside them.

use super::fake::Behaviour;
use super::world::World;
use super::world::gang;
use super::world::step;
use prost::Message;
use trefoilgauge::fleet::event::Operation;
use trefoilgauge::fleet::event::Phase;
use trefoilgauge::fleet::event::Reply;
use trefoilgauge::fleet::model::Step;
use trefoilgauge::fleet::model::TaskId;
use trefoilgauge::fleet::row::StateRow;
use trefoilgauge::prelude::*;

/// The crashes of one task after which it may be given up.
const CAUSE: usize = 2;
/// The crashes of one task after which it must not be started as often again.
const BUDGET: usize = 3;
/// A time that no run in these tests outlives, in milliseconds.
const ENDLESS_MS: u64 = 10_000_000;

/// Returns the task of a job's first step.
fn task(id: u64, index: u32) -> TaskId {
    TaskId {
        job: format!("{id:016x}").into(),
        turn: 0,
        step: 0,
        index,
    }
}

/// Returns how often a task, each start of which crashes an upstream, was started after [`BUDGET`]
/// crashes.
fn starts_beyond(world: &World, id: u64, index: u32) -> usize {
    let task = task(id, index);
    let starts = world.begun.iter().filter(|begun| begun.run.task == task);
    starts.count().saturating_sub(BUDGET)
}

#[track_caller]
fn assert_given_up(world: &mut World, queue: &str, id: u64, index: u32) {
    let beyond = starts_beyond(world, id, index);
    assert!(beyond < BUDGET, "{beyond} starts after {BUDGET} crashes");
    assert_eq!(world.phase(queue, id), Some(Phase::Failed));
    let crashes = world.crashed_under(&task(id, index));
    assert!(crashes >= CAUSE, "given up after {crashes} crashes");
}

/// Starts a task that runs on and on; returns its upstream.
fn start_endless(world: &mut World, step: Step) -> Name {
    world.work_ms.insert(format!("{:016x}", 1), ENDLESS_MS);
    world.submit("batch", "key-a", 1, vec![step]);
    world.pass(500);
    world.at_work(1)[0].2.clone()
}

#[test]
fn a_task_that_crashes_its_upstreams_is_given_up() {
    for after_ms in [0, 400] {
        let mut world = World::new(2, 4);
        world.crashes.after_ms = after_ms;
        world.make_deadly(1, None);
        world.submit("batch", "key-a", 1, vec![step(1, 1, 1_000)]);
        world.pass(60_000);
        assert_given_up(&mut world, "batch", 1, 0);
    }
}

/// Guards against a job that is shown as failed as its orders reached no process.
#[test]
fn an_upstream_that_is_down_when_a_task_is_ordered_there_counts_for_no_crash() {
    let mut world = World::new(1, 2);
    let busy = start_endless(&mut world, step(1, 8, 1_000));
    let other = world.upstreams.keys().find(|at| **at != busy).cloned();
    let other = other.unwrap();
    world.upstreams.get_mut(&other).unwrap().behaviour = Behaviour::Down;
    let reply = world.submit("batch", "key-a", 2, vec![step(1, 1, 1_000)]);
    assert_eq!(reply, Some(Reply::Accepted));
    for _ in 0..8 {
        world.pass(2_000);
        // Its next process is up for as long as it takes to be listed.
        world.restart(&other);
        world.list();
        world.pass(10);
        world.upstreams.get_mut(&other).unwrap().behaviour = Behaviour::Down;
        world.pass(2_000);
        assert_ne!(world.phase("batch", 2), Some(Phase::Failed));
    }
    world.restart(&other);
    world.list();
    world.pass(4_000);
    assert_eq!(world.phase("batch", 2), Some(Phase::Completed));
}

#[test]
fn a_task_whose_upstreams_come_back_under_another_identity_is_given_up() {
    for after_ms in [0, 400] {
        let mut world = World::new(2, 4);
        world.crashes.renamed = true;
        world.crashes.after_ms = after_ms;
        world.make_deadly(1, None);
        world.submit("batch", "key-a", 1, vec![step(1, 1, 1_000)]);
        world.pass(60_000);
        assert_given_up(&mut world, "batch", 1, 0);
    }
}

#[test]
fn a_task_whose_upstreams_come_back_after_their_leases_is_given_up() {
    for renamed in [false, true] {
        for away_ms in [7_000, 12_000, 25_000] {
            let mut world = World::new(2, 4);
            world.crashes.renamed = renamed;
            world.crashes.away_ms = away_ms;
            world.make_deadly(1, None);
            world.submit("batch", "key-a", 1, vec![step(1, 1, 1_000)]);
            world.pass(120_000);
            assert_given_up(&mut world, "batch", 1, 0);
        }
    }
}

#[test]
fn a_gang_with_a_member_that_crashes_its_upstreams_is_given_up() {
    let mut world = World::new(1, 8);
    world.make_deadly(1, Some(2));
    world.submit("scan", "key-a", 1, vec![gang(4, 8, 1_000)]);
    world.pass(60_000);
    assert_given_up(&mut world, "scan", 1, 2);
}

#[test]
fn a_gang_whose_members_all_crash_their_upstreams_is_given_up() {
    let mut world = World::new(1, 12);
    world.make_deadly(1, None);
    world.submit("scan", "key-a", 1, vec![gang(4, 8, 1_000)]);
    world.pass(60_000);
    for index in 0..4 {
        let beyond = starts_beyond(&world, 1, index);
        assert!(beyond < BUDGET, "{beyond} starts after {BUDGET} crashes");
    }
    assert_eq!(world.phase("scan", 1), Some(Phase::Failed));
    let crashes = (0..4).map(|index| world.crashed_under(&task(1, index)));
    assert!(crashes.max() >= Some(CAUSE));
}

#[test]
fn a_long_running_task_that_crashes_its_upstreams_is_given_up() {
    let mut world = World::new(2, 4);
    world.make_deadly(1, None);
    let step = Step {
        long_running: true,
        ..step(1, 1, 1_000)
    };
    world.submit("batch", "key-a", 1, vec![step]);
    world.pass(60_000);
    assert_given_up(&mut world, "batch", 1, 0);
}

#[test]
fn crashes_long_after_the_start_of_a_long_running_task_do_not_add_up() {
    let mut world = World::new(2, 4);
    let step = Step {
        long_running: true,
        ..step(1, 1, 1_000)
    };
    start_endless(&mut world, step);
    for _ in 0..5 {
        world.pass(40_000);
        let at = world.at_work(1)[0].2.clone();
        world.crash(&at);
    }
    world.pass(8_000);
    assert_eq!(world.at_work(1).len(), 1);
    assert_eq!(world.phase("batch", 1), Some(Phase::Running));
}

#[test]
fn long_running_tasks_do_not_wait_for_each_other_after_crashes() {
    let mut world = World::new(1, 4);
    let step = Step {
        long_running: true,
        ..step(8, 1, 1_000)
    };
    start_endless(&mut world, step);
    for _ in 0..2 {
        let at = world.at_work(1)[0].2.clone();
        world.crash(&at);
        world.pass(8_000);
        // All of them, not one after the other.
        assert_eq!(world.at_work(1).len(), 8);
    }
}

#[test]
fn innocent_jobs_beside_a_task_that_crashes_its_upstreams_complete() {
    for (seed, after_ms) in [0, 400, 1_500].into_iter().enumerate() {
        let mut world = World::new(2, 4);
        world.crashes.after_ms = after_ms;
        world.make_deadly(9, Some(1));
        for id in 1..=6 {
            world.work_ms.insert(format!("{id:016x}"), 3_000);
            world.submit("batch", "key-a", id, vec![step(4, 1, 3_000)]);
        }
        world.pass(200 * seed as u64);
        world.work_ms.insert(format!("{:016x}", 9), 3_000);
        world.submit("batch", "key-a", 9, vec![step(3, 1, 3_000)]);
        world.pass(60_000);
        assert_given_up(&mut world, "batch", 9, 1);
        for id in 1..=6 {
            assert_eq!(world.phase("batch", id), Some(Phase::Completed), "job {id}");
        }
    }
}

#[test]
fn no_job_fails_without_cause_while_upstreams_crash_at_random() {
    for seed in 1..=5_u64 {
        let mut world = World::new(6, 8);
        let names: Vec<Name> = world.upstreams.keys().cloned().collect();
        let mut random = seed;
        for id in 1..=40 {
            world.work_ms.insert(format!("{id:016x}"), 3_000);
            world.submit("batch", "key-a", id, vec![step(8, 1, 3_000)]);
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let at = &names[(random >> 33) as usize % names.len()];
            if world.upstreams[at].behaviour == Behaviour::Healthy {
                world.crash(at);
            }
            world.pass(1_000);
        }
        world.pass(40_000);
        for id in 1..=40 {
            let crashes = (0..8).map(|index| world.crashed_under(&task(id, index)));
            let expected = if crashes.max() >= Some(BUDGET) {
                Phase::Failed
            } else {
                Phase::Completed
            };
            let phase = world.phase("batch", id);
            assert_eq!(phase, Some(expected), "job {id}, seed {seed}");
        }
    }
}

#[test]
fn crashes_are_counted_across_changes_of_the_leader() {
    // The leader changes while the upstream is away, after it is back, or both.
    for (away_ms, every_ms) in [(2_000, 700), (2_000, 3_000), (1_000, 1_700), (7_000, 2_300)] {
        let mut world = World::new(2, 4);
        world.crashes.away_ms = away_ms;
        world.make_deadly(1, None);
        world.submit("batch", "key-a", 1, vec![step(1, 1, 1_000)]);
        for _ in 0..(90_000 / every_ms) {
            world.pass(every_ms);
            world.take_over();
        }
        world.pass(30_000);
        assert_given_up(&mut world, "batch", 1, 0);
    }
}

#[test]
fn runs_lost_with_upstreams_that_announced_their_exit_do_not_count() {
    let mut world = World::new(1, 4);
    start_endless(&mut world, step(1, 1, 1_000));
    for _ in 0..5 {
        let at = world.at_work(1)[0].2.clone();
        // Too short for the run to move.
        world.leave(&at, 10);
        world.pass(9_000);
        world.restart(&at);
        let fake = world.upstreams.get_mut(&at).unwrap();
        fake.listing.ready = true;
        fake.listing.left_ms = None;
        world.list();
        world.pass(1_000);
        assert_eq!(world.at_work(1).len(), 1);
    }
    assert_eq!(world.phase("batch", 1), Some(Phase::Running));
}

#[test]
fn runs_of_upstreams_that_were_cut_off_do_not_count() {
    let mut world = World::new(1, 4);
    start_endless(&mut world, step(1, 1, 1_000));
    for _ in 0..5 {
        let at = world.at_work(1)[0].2.clone();
        world.upstreams.get_mut(&at).unwrap().behaviour = Behaviour::Silent;
        world.pass(9_000);
        world.upstreams.get_mut(&at).unwrap().behaviour = Behaviour::Healthy;
        world.pass(3_000);
        assert_eq!(world.at_work(1).len(), 1);
    }
    assert_eq!(world.phase("batch", 1), Some(Phase::Running));
}

#[test]
fn a_job_of_many_tasks_that_crash_their_upstreams_crashes_few_of_them() {
    // Two rounds on two upstreams each, then one task alone until its third crash or fifth start.
    let cases = [(false, 0, 7), (true, 0, 7), (false, 400, 5), (true, 400, 5)];
    for (renamed, after_ms, most) in cases {
        let mut world = World::new(2, 8);
        world.crashes.renamed = renamed;
        world.crashes.after_ms = after_ms;
        world.make_deadly(1, None);
        world.submit("batch", "key-a", 1, vec![step(16, 1, 1_000)]);
        world.pass(60_000);
        assert_eq!(world.phase("batch", 1), Some(Phase::Failed));
        let crashes = world.crashes.seen.len();
        assert!(crashes <= most, "{crashes} upstreams crashed");
    }
}

#[test]
fn a_job_is_cancelled_while_its_tasks_wait_for_the_proof_of_their_losses() {
    let mut world = World::new(2, 4);
    world.crashes.away_ms = 40_000;
    world.make_deadly(1, None);
    world.submit("batch", "key-a", 1, vec![step(1, 1, 1_000)]);
    world.pass(20_000);
    world.call("batch", "key-a", 1, Operation::Cancel);
    world.pass(40_000);
    assert_eq!(world.phase("batch", 1), Some(Phase::Cancelled));
}

/// [`StateRow`] as builds before the crashes were counted read and write it.
#[derive(Clone, PartialEq, prost::Message)]
struct OldStateRow {
    #[prost(uint32, tag = "1")]
    closed: u32,
    #[prost(uint64, tag = "2")]
    closed_ms: u64,
    #[prost(message, repeated, tag = "3")]
    turns: Vec<OldTurnRow>,
    #[prost(uint32, tag = "4")]
    next_turn: u32,
    #[prost(bool, tag = "5")]
    begun: bool,
    #[prost(string, repeated, tag = "6")]
    upstreams: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct OldTurnRow {
    #[prost(uint32, tag = "1")]
    number: u32,
    #[prost(uint64, tag = "2")]
    due_ms: u64,
    #[prost(message, repeated, tag = "3")]
    tasks: Vec<OldTaskRow>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct OldTaskRow {
    #[prost(uint32, tag = "1")]
    runs: u32,
    #[prost(uint32, tag = "2")]
    fails: u32,
    #[prost(bool, tag = "3")]
    done: bool,
    #[prost(string, tag = "4")]
    saved: String,
    #[prost(uint32, tag = "5")]
    at: u32,
    #[prost(uint32, tag = "6")]
    failed_run: u32,
}

#[test]
fn old_builds_read_the_rows_of_new_ones_and_new_builds_those_of_old_ones() {
    let mut world = World::new(2, 4);
    let first = start_endless(&mut world, step(1, 1, 1_000));
    world.crash(&first);
    world.pass(5_000);
    let (_, number, at) = world.at_work(1).remove(0);
    let key = format!("s.{:016x}", 1);
    let new = StateRow::decode(&*world.rows[&key]).unwrap();
    assert_eq!(new.turns[0].tasks[0].crashes, 1);
    assert_eq!(new.born, [world.upstreams[&at].listing.born]);

    let old = OldStateRow::decode(&*world.rows[&key]).unwrap();
    assert_eq!(old.upstreams, [at.to_string()]);
    let task = &old.turns[0].tasks[0];
    assert_eq!((task.runs, task.at), (number, 1));

    // Rewritten by an old build, the row has neither field.
    let row = StateRow::decode(&*old.encode_to_vec()).unwrap();
    assert_eq!((&row.born[..], row.turns[0].tasks[0].crashes), (&[][..], 0));
    world.rows.insert(key, old.encode_to_vec());
    world.take_over();
    world.pass(2_000);
    assert_eq!(world.at_work(1).len(), 1);
    assert_eq!(world.at_work(1)[0].1, number);
}

#[test]
fn a_task_is_given_up_however_soon_it_crashes_its_upstreams_and_they_come_back() {
    for renamed in [false, true] {
        for after_ms in [0, 50, 300, 900, 2_500, 6_000] {
            for away_ms in [50, 300, 700, 1_500, 4_000, 6_000, 9_000, 16_000] {
                for step in [step(3, 1, 8_000), gang(3, 8, 8_000)] {
                    let case = (renamed, after_ms, away_ms, step.gang);
                    let mut world = World::new(2, 6);
                    world.crashes.renamed = renamed;
                    world.crashes.after_ms = after_ms;
                    world.crashes.away_ms = away_ms;
                    world.make_deadly(1, Some(1));
                    world.work_ms.insert(format!("{:016x}", 1), 8_000);
                    world.submit("scan", "key-a", 1, vec![step]);
                    for _ in 0..180 {
                        if world.phase("scan", 1) == Some(Phase::Failed) {
                            break;
                        }
                        world.pass(1_000);
                    }
                    assert_eq!(world.phase("scan", 1), Some(Phase::Failed), "{case:?}");
                    world.pass(20_000);
                    let beyond = starts_beyond(&world, 1, 1);
                    assert!(beyond < BUDGET, "{beyond} starts too many, {case:?}");
                }
            }
        }
    }
}

#[test]
fn a_start_that_was_never_sent_is_no_crash_under_its_task() {
    let mut world = World::new(1, 7);
    let all: Vec<Name> = world.upstreams.keys().cloned().collect();
    for at in &all[1..] {
        world.replace(at);
    }
    world.store_down = true;
    for id in 1..=3 {
        world.submit("batch", "key-a", id, vec![step(1, 8, 1_000)]);
        world.pass(300);
    }
    world.store_up();
    world.pass(10_000);
    for id in 1..=3 {
        assert_eq!(world.phase("batch", id), Some(Phase::Completed), "job {id}");
    }
}
