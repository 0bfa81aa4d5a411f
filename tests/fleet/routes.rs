//! Replies to calls by paths whose queue was removed, moved or opened after a job was accepted.

use super::world::World;
use super::world::step;
use trefoilgauge::fleet::event::Operation;
use trefoilgauge::fleet::event::Phase;
use trefoilgauge::fleet::event::Reply;
use trefoilgauge::fleet::model::Config;
use trefoilgauge::fleet::model::Queue;
use trefoilgauge::fleet::model::Spec;
use trefoilgauge::prelude::*;

/// Adds a copy of the queue `scan` with another name and prefix, ahead of the shorter ones.
fn add_queue(config: &mut Config, name: &str, prefix: &str) {
    let queue = Queue {
        name: name.into(),
        prefix: prefix.into(),
        ..(**config.queue("scan").unwrap()).clone()
    };
    config.queues.push(Arc::new(queue));
    config
        .queues
        .sort_by_key(|queue| std::cmp::Reverse(queue.prefix.len()));
}

fn change_queue(config: &mut Config, name: &str, change: impl FnOnce(&mut Queue)) {
    let at = config.queues.iter().position(|queue| &*queue.name == name);
    change(Arc::make_mut(&mut config.queues[at.unwrap()]));
}

fn remove_queue(config: &mut Config, name: &str) {
    config.queues.retain(|queue| &*queue.name != name);
}

/// Creates a world with the queue `near` under the prefix of `scan`, and a job of it that runs.
fn nested() -> World {
    let mut world = World::new(1, 2);
    world.configure(|config| add_queue(config, "near", "/scan/near/"));
    world.work_ms.insert(format!("{:016x}", 1), 60_000);
    let reply = world.submit("scan/near", "key-a", 1, vec![step(2, 1, 60_000)]);
    assert_eq!(reply, Some(Reply::Accepted));
    world.pass(500);
    assert_eq!(world.at_work(1).len(), 2);
    world
}

/// Guards against a running job that is reported as gone because a shorter prefix matches its path.
#[test]
fn a_removed_queue_under_the_prefix_of_another_is_not_found() {
    let mut world = nested();
    world.configure(|config| remove_queue(config, "near"));
    for takes_over in [false, true] {
        if takes_over {
            world.take_over();
            world.pass(500);
        }
        let spec = Arc::new(Spec {
            steps: vec![step(1, 1, 1_000)],
            ..Spec::default()
        });
        for operation in [
            Operation::State,
            Operation::Cancel,
            Operation::Submit(spec.clone()),
            Operation::Malformed("no job".to_owned()),
        ] {
            for id in [1, 2] {
                let reply = world.call("scan/near", "key-a", id, operation.clone());
                assert_eq!(reply, Some(Reply::NoQueue), "{operation:?} {id}");
            }
        }
        let count = world.call_path("/scan/near/", "key-a", Operation::State);
        assert_eq!(count, Some(Reply::NoQueue));
        world.pass(1_000);
        assert_eq!(world.at_work(1).len(), 2, "takes_over={takes_over}");
        assert_eq!(world.runs_begun(2), 0);
    }
    assert_eq!(world.phase("scan", 1), Some(Phase::Running));
}

/// Guards against callers of a public queue who are told that their key is wrong once it is removed.
#[test]
fn a_removed_public_queue_is_not_found_without_a_key() {
    let mut world = nested();
    world.configure(|config| change_queue(config, "near", |queue| queue.public = true));
    let state = world.call("scan/near", "", 1, Operation::State);
    assert_eq!(state, Some(Reply::State(Phase::Running)));
    world.configure(|config| remove_queue(config, "near"));
    let state = world.call("scan/near", "", 1, Operation::State);
    assert_eq!(state, Some(Reply::NoQueue));
}

/// Guards against a removed prefix without a slash whose calls look like malformed ids.
#[test]
fn a_removed_prefix_without_a_slash_is_not_found() {
    let mut world = World::new(1, 1);
    world.configure(|config| {
        add_queue(config, "near", "/scan/n");
    });
    let path = format!("/scan/n{:016x}", 1);
    let spec = Arc::new(Spec {
        steps: vec![step(1, 1, 60_000)],
        ..Spec::default()
    });
    world.submit("scan", "key-a", 1, vec![step(1, 1, 60_000)]);
    world.pass(500);
    let state = world.call_path(&path, "key-a", Operation::State);
    assert_eq!(state, Some(Reply::State(Phase::Running)));
    world.configure(|config| remove_queue(config, "near"));
    for operation in [Operation::State, Operation::Cancel, Operation::Submit(spec)] {
        let reply = world.call_path(&path, "key-a", operation.clone());
        assert_eq!(reply, Some(Reply::NoQueue), "{operation:?}");
    }
    let count = world.call_path("/scan/n", "key-a", Operation::State);
    assert_eq!(count, Some(Reply::NoQueue));
}

/// Guards against a job that is lost to its owner when its queue moves or comes back.
#[test]
fn a_job_is_found_wherever_its_queue_is_now() {
    let mut world = nested();
    let moves: [(&str, &str); 3] = [
        ("scan/near", "/far/"),
        ("far", "/scan/other/"),
        ("scan/other", "/scan/near/"),
    ];
    for (before, prefix) in moves {
        world.configure(|config| {
            change_queue(config, "near", |queue| queue.prefix = prefix.into());
            config
                .queues
                .sort_by_key(|queue| std::cmp::Reverse(queue.prefix.len()));
        });
        let state = world.call(before, "key-a", 1, Operation::State);
        assert_eq!(state, Some(Reply::NoQueue), "{before}");
        let now = prefix.trim_matches('/');
        assert_eq!(world.phase(now, 1), Some(Phase::Running), "{now}");
    }
    world.configure(|config| change_queue(config, "near", |queue| queue.host = "moved".into()));
    let state = world.call("scan/near", "key-a", 1, Operation::State);
    assert_eq!(state, Some(Reply::NoQueue));
    world.configure(|config| {
        remove_queue(config, "near");
        add_queue(config, "again", "/scan/near/");
    });
    assert_eq!(world.phase("scan/near", 1), Some(Phase::Running));
    let cancel = world.call("scan/near", "key-a", 1, Operation::Cancel);
    assert_eq!(cancel, Some(Reply::Cancelled));
    world.pass(500);
    assert_eq!(world.at_work(1).len(), 0);
}

/// Guards against a key or a public queue that acts after it was taken away.
#[test]
fn a_key_that_was_removed_reads_and_cancels_nothing() {
    let mut world = nested();
    world.configure(|config| {
        config.keys.remove("key-a");
        change_queue(config, "near", |queue| queue.public = false);
    });
    for operation in [Operation::State, Operation::Cancel] {
        for key in ["key-a", ""] {
            let reply = world.call("scan/near", key, 1, operation.clone());
            assert_eq!(reply, Some(Reply::BadKey), "{operation:?} {key:?}");
        }
    }
    world.pass(1_000);
    assert_eq!(world.at_work(1).len(), 2);
}
