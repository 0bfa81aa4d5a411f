//! Jobs with several scheduled occurrences.

use super::fake::Behaviour;
use super::world::WALL_MS;
use super::world::World;
use super::world::step;
use prost::Message;
use trefoilgauge::fleet::event::Operation;
use trefoilgauge::fleet::event::Phase;
use trefoilgauge::fleet::event::Reply;
use trefoilgauge::fleet::model::Spec;
use trefoilgauge::fleet::model::Step;
use trefoilgauge::fleet::row::StateRow;
use trefoilgauge::fleet::row::state_key;

/// Three occurrences of `width` tasks each: the first one 2 s from now, then one each second.
fn three_occurrences(world: &World, width: u32) -> Spec {
    Spec {
        steps: vec![step(width, 1, 1_000)],
        first_ms: WALL_MS + world.now + 2_000,
        interval_ms: 1_000,
        times: 3,
        ..Spec::default()
    }
}

fn start_times(world: &World, turn: u32) -> Vec<u64> {
    let runs = world.begun.iter().filter(|b| b.run.task.turn == turn);
    runs.map(|b| b.time).collect()
}

#[test]
fn an_occurrence_begins_at_its_time_and_not_before() {
    let mut world = World::new(1, 2);
    let start = world.now;
    let spec = three_occurrences(&world, 2);
    let reply = world.submit_spec("batch", "key-a", 1, spec);
    assert_eq!(reply, Some(Reply::Accepted));
    world.pass(1_900);
    assert_eq!(world.begun.len(), 0);
    assert_eq!(world.phase("batch", 1), Some(Phase::Queued));
    world.pass(2_500);
    for turn in 0..3 {
        let due = start + 2_000 + 1_000 * u64::from(turn);
        let times = start_times(&world, turn);
        assert_eq!(times.len(), 2, "occurrence {turn}");
        for time in times {
            assert!((due..due + 200).contains(&time), "{turn}: {time}");
        }
    }
    assert_eq!(world.phase("batch", 1), Some(Phase::Running));
    world.pass(1_000);
    assert_eq!(world.phase("batch", 1), Some(Phase::Completed));
}

#[test]
fn occurrences_overlap_if_one_takes_longer_than_the_interval() {
    let mut world = World::new(1, 2);
    let start = world.now;
    world.work_ms.insert(format!("{:016x}", 1), 2_500);
    let spec = three_occurrences(&world, 1);
    world.submit_spec("batch", "key-a", 1, spec);
    world.pass(4_300);
    assert_eq!(world.at_work(1).len(), 3);
    assert!(start_times(&world, 2)[0] <= start + 4_200);
    world.pass(3_000);
    assert_eq!(world.phase("batch", 1), Some(Phase::Completed));
}

#[test]
fn a_new_leader_begins_each_occurrence_that_came_due_without_a_leader_once() {
    let mut world = World::new(1, 2);
    let spec = three_occurrences(&world, 1);
    world.submit_spec("batch", "key-a", 1, spec);
    world.pass(2_500);
    assert_eq!(world.begun.len(), 1);
    // There is no leader for 3 s: the second and the third occurrence come due, the first is done.
    world.now += 3_000;
    world.take_over();
    world.pass(2_500);
    assert_eq!(world.begun.len(), 3);
    assert_eq!(world.phase("batch", 1), Some(Phase::Completed));
}

#[test]
fn a_cancelled_job_begins_no_further_occurrence() {
    let mut world = World::new(1, 2);
    let spec = three_occurrences(&world, 1);
    world.submit_spec("batch", "key-a", 1, spec);
    world.pass(2_500);
    let reply = world.call("batch", "key-a", 1, Operation::Cancel);
    assert_eq!(reply, Some(Reply::Cancelled));
    world.pass(3_000);
    assert_eq!(world.begun.len(), 1);
    assert_eq!(world.phase("batch", 1), Some(Phase::Cancelled));
}

#[test]
fn a_job_that_is_not_due_does_not_count_against_others() {
    let mut world = World::new(1, 2);
    for id in 1..=20 {
        let spec = three_occurrences(&world, 16);
        let reply = world.submit_spec("batch", "key-a", id, spec);
        assert_eq!(reply, Some(Reply::Accepted), "job {id}");
    }
    let reply = world.submit("batch", "key-a", 99, vec![step(16, 1, 1_000)]);
    assert_eq!(reply, Some(Reply::Accepted));
    world.pass(1_500);
    assert_eq!(world.phase("batch", 99), Some(Phase::Completed));
}

/// The largest record that the store accepts, in bytes.
const RECORD_BYTES: usize = 262_144;

/// Guards against a row that the store refuses for its size, ahead of the rows of all other jobs.
#[test]
fn occurrences_that_stay_open_wait_rather_than_outgrow_the_row_of_their_job() {
    let mut world = World::new(1, 8);
    let many = Step {
        cpu: 10,
        memory: 10,
        ..step(2_000, 0, 300)
    };
    let last = Step {
        after: vec![0],
        label: "missing".into(),
        ..step(1, 0, 300)
    };
    let spec = Spec {
        steps: vec![many, last],
        first_ms: WALL_MS + world.now + 500,
        interval_ms: 1_000,
        times: 100,
        ..Spec::default()
    };
    world.work_ms.insert(format!("{:016x}", 1), 300);
    let reply = world.submit_spec("batch", "key-a", 1, spec);
    assert_eq!(reply, Some(Reply::Accepted));
    for _ in 0..30 {
        world.pass(1_000);
        let largest = world.rows.values().map(Vec::len).max().unwrap();
        assert!(largest < RECORD_BYTES, "{largest} at {}", world.now);
    }
    let begun = world.begun.iter().map(|begun| begun.run.task.turn).max();
    assert_eq!(begun, Some(7));
    world.submit("batch", "key-a", 2, vec![step(1, 1, 300)]);
    world.pass(1_000);
    assert_eq!(world.phase("batch", 2), Some(Phase::Completed));
    // An operator adds the label: the occurrences go on, and those that waited begin.
    for fake in world.upstreams.values_mut() {
        fake.listing.labels.push("missing".into());
    }
    world.list();
    world.pass(10_000);
    let begun = world.begun.iter().map(|begun| begun.run.task.turn).max();
    assert!(begun > Some(20), "{begun:?}");
}

/// Guards against a row that outgrows the store's limit by failures, which no estimate counts.
#[test]
fn a_large_job_whose_tasks_fail_again_and_again_fits_into_its_row() {
    let mut world = World::new(1, 8);
    for fake in world.upstreams.values_mut() {
        fake.behaviour = Behaviour::Failing;
        fake.saved = "00000bb87a21d94b".to_owned();
        fake.page = 2_000;
    }
    let many = Step {
        cpu: 10,
        memory: 10,
        checkpointing: true,
        long_running: true,
        ..step(4_096, 0, 1_000)
    };
    world.work_ms.insert(format!("{:016x}", 1), 1_000);
    let reply = world.submit("batch", "key-a", 1, vec![many.clone(), many]);
    assert_eq!(reply, Some(Reply::Accepted));
    let key = state_key(&format!("{:016x}", 1));
    let mut least = 0;
    // Then the numbers of the failures do not fit into the row.
    while least <= 8 {
        assert!(world.now < 30_000, "{least}");
        world.pass(500);
        let largest = world.rows.values().map(Vec::len).max().unwrap();
        assert!(largest < RECORD_BYTES, "{largest} at {}", world.now);
        let state = StateRow::decode(&*world.rows[&key]).unwrap();
        let tasks = &state.turns[0].tasks;
        least = tasks.iter().map(|task| task.fails).min().unwrap();
        let saved = tasks.iter().filter(|task| !task.saved.is_empty());
        // No more is left out than has to be: a failure adds 7 bytes, a checkpoint has 16.
        assert!(least != 1 || saved.count() >= 8_192 - 8_192 * 7 / 16);
    }
    for fake in world.upstreams.values_mut() {
        fake.behaviour = Behaviour::Healthy;
    }
    world.take_over();
    world.pass(5_000);
    let state = StateRow::decode(&*world.rows[&key]).unwrap();
    let after = state.turns[0].tasks.iter().map(|task| task.fails).min();
    assert!(after >= Some(least), "{after:?} {least}");
}

/// Guards against many short occurrences whose numbers and due times fill the row.
#[test]
fn occurrences_that_are_due_together_count_with_their_own_size() {
    let mut world = World::new(1, 8);
    let due = |times| Spec {
        steps: vec![Step {
            cpu: 10,
            memory: 10,
            checkpointing: true,
            ..step(1, 0, 8_000)
        }],
        first_ms: WALL_MS,
        interval_ms: 0,
        times,
        ..Spec::default()
    };
    for fake in world.upstreams.values_mut() {
        fake.saved = "00000bb87a21d94b".to_owned();
    }
    world.work_ms.insert(format!("{:016x}", 1), 8_000);
    let reply = world.submit_spec("batch", "key-a", 2, due(8_192));
    assert!(matches!(reply, Some(Reply::Bad(_))), "{reply:?}");
    let reply = world.submit_spec("batch", "key-a", 1, due(5_000));
    assert_eq!(reply, Some(Reply::Accepted));
    for _ in 0..20 {
        world.pass(500);
        let largest = world.rows.values().map(Vec::len).max().unwrap();
        assert!(largest < RECORD_BYTES, "{largest} at {}", world.now);
    }
}

/// Guards against rows that grow by checkpoints which nothing resumes from.
#[test]
fn the_row_of_a_task_that_is_done_keeps_no_checkpoint() {
    let mut world = World::new(1, 1);
    for fake in world.upstreams.values_mut() {
        fake.saved = "00000bb87a21d94b".to_owned();
    }
    let last = Step {
        after: vec![0],
        label: "missing".into(),
        ..step(1, 1, 300)
    };
    let spec = Spec {
        steps: vec![step(2, 1, 1_000), last],
        ..Spec::default()
    };
    world.submit_spec("batch", "key-a", 1, spec);
    world.pass(3_000);
    let row = &world.rows[&state_key(&format!("{:016x}", 1))];
    let state = StateRow::decode(&**row).unwrap();
    let tasks = &state.turns[0].tasks;
    let stored: Vec<(bool, &str)> = tasks.iter().map(|task| (task.done, &*task.saved)).collect();
    assert_eq!(stored, [(true, ""), (true, ""), (false, "")]);
}
