//! Jobs keep the terms that they were accepted with, whatever later configurations say.

use super::advisor;
use super::fake::Behaviour;
use super::world::World;
use super::world::step;
use prost::Message;
use trefoilgauge::fleet::event::Operation;
use trefoilgauge::fleet::event::Phase;
use trefoilgauge::fleet::event::Reply;
use trefoilgauge::fleet::model::Config;
use trefoilgauge::fleet::model::Queue;
use trefoilgauge::fleet::model::Step;
use trefoilgauge::fleet::row::JobRow;
use trefoilgauge::prelude::*;

/// How long a task may wait while its turn has come and most upstreams are idle, in milliseconds.
const IDLE_WAIT_MS: u64 = 3_000;

/// Two steps, one after the other.
fn two_steps() -> Vec<Step> {
    let second = Step {
        after: vec![0],
        ..step(2, 1, 1_000)
    };
    vec![step(2, 1, 1_000), second]
}

fn remove_queue(config: &mut Config, name: &str) {
    config.queues.retain(|queue| &*queue.name != name);
}

/// Adds a queue like `name` with another name.
fn rename_queue(config: &mut Config, name: &str, renamed: &str) {
    let queue = config.queue(name).unwrap();
    let queue = Arc::new(Queue {
        name: renamed.into(),
        ..(**queue).clone()
    });
    remove_queue(config, name);
    config.queues.push(queue);
}

/// Guards against a job that is stuck once its queue is no longer configured.
#[test]
fn a_job_goes_on_after_its_queue_was_removed() {
    for takes_over in [false, true] {
        let mut world = World::new(1, 2);
        world.submit("batch", "key-a", 1, two_steps());
        world.pass(500);
        world.configure(|config| remove_queue(config, "batch"));
        if takes_over {
            world.take_over();
        }
        world.pass(500 + IDLE_WAIT_MS);
        assert_eq!(world.runs_begun(1), 4, "takes_over={takes_over}");
        let reply = world.call("batch", "key-a", 1, Operation::State);
        assert_eq!(reply, Some(Reply::NoQueue));
        world.pass(2_000);
        world.configure(|config| {
            let queue = Queue {
                prefix: "/batch/".into(),
                ..(**config.queue("scan").unwrap()).clone()
            };
            config.queues.push(Arc::new(queue));
        });
        assert_eq!(world.phase("batch", 1), Some(Phase::Completed));
    }
}

/// Guards against a task that fails without end, as the limit of its queue is gone with it.
#[test]
fn a_job_of_a_removed_queue_fails_after_the_attempts_that_it_was_accepted_with() {
    let mut world = World::new(1, 2);
    for fake in world.upstreams.values_mut() {
        fake.behaviour = Behaviour::Failing;
    }
    world.submit("batch", "key-a", 1, vec![step(1, 1, 1_000)]);
    world.configure(|config| remove_queue(config, "batch"));
    world.take_over();
    world.pass(20_000);
    assert_eq!(world.runs_begun(1), 2);
    world.configure(|config| rename_queue(config, "scan", "batch"));
    assert_eq!(world.phase("scan", 1), Some(Phase::Failed));
}

/// Guards against a job of the build before, the row of which has no terms, that is stuck.
#[test]
fn a_job_stored_without_terms_gets_those_of_the_configuration() {
    let mut world = World::new(1, 2);
    world.work_ms.insert(format!("{:016x}", 1), 4_000);
    world.submit("batch", "key-a", 1, two_steps());
    world.pass(500);
    let key = format!("j.{:016x}", 1);
    let mut row = JobRow::decode(&*world.rows[&key]).unwrap();
    row.terms = None;
    world.rows.insert(key.clone(), row.encode_to_vec());
    world.take_over();
    world.pass(100);
    assert_eq!(JobRow::decode(&*world.rows[&key]).unwrap().terms, None);
    world.configure(|config| remove_queue(config, "batch"));
    world.take_over();
    world.pass(3_400 + IDLE_WAIT_MS);
    assert_eq!(world.runs_begun(1), 4);
}

/// Guards against accepted jobs that are missing in the number of those that wait.
#[test]
fn jobs_of_a_removed_queue_wait_in_the_queue_that_serves_their_path() {
    let mut world = World::new(1, 1);
    world.work_ms.insert(format!("{:016x}", 1), 4_000);
    world.submit("scan", "key-a", 1, vec![step(1, 8, 4_000)]);
    world.pass(500);
    world.submit("batch", "key-a", 2, vec![step(1, 8, 4_000)]);
    assert_eq!(world.waiting("batch"), 1);
    world.configure(|config| rename_queue(config, "batch", "renamed"));
    world.take_over();
    world.pass(500);
    assert_eq!(world.waiting("batch"), 1);
    assert_eq!(world.waiting("scan"), 0);
}

/// Guards against the terms of advice that are lost with the queue, or with the build that stored them.
#[test]
fn the_validity_of_advice_is_kept_with_the_job() {
    let mut world = World::new(1, 2);
    world.advisor.good = world.upstreams.keys().cloned().collect();
    world.submit("guarded", "key-a", 1, two_steps());
    world.pass(200);
    let key = format!("j.{:016x}", 1);
    let mut row = JobRow::decode(&*world.rows[&key]).unwrap();
    let advice = row.terms.as_mut().and_then(|terms| terms.advice.as_mut());
    let advice = advice.unwrap();
    assert_eq!(advice.valid_ms, Some(advisor::VALID_MS));
    // The row as the build before writes it.
    advice.valid_ms = None;
    world.rows.insert(key, row.encode_to_vec());
    world.configure(|config| remove_queue(config, "guarded"));
    world.take_over();
    world.pass(5_000);
    assert_eq!(world.runs_begun(1), 4);
    assert_eq!(world.unadvised, 0);
}
