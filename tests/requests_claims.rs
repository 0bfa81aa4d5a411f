//! Claims, callers that disconnect, and late responses, through the reducer of entry processes.

#[expect(dead_code, reason = "the other tests use the rest")]
mod requests_world;

use requests_world::WALL_MS;
use requests_world::World;
use requests_world::answered;
use requests_world::broken;
use trefoilgauge::records::Entry;
use trefoilgauge::records::Kept;
use trefoilgauge::records::Outcome;
use trefoilgauge::reducer::Event;
use trefoilgauge::reducer::effect::Reply;
use trefoilgauge::reducer::event::TryEnd;
use trefoilgauge::reducer::ledger::claims::KEY_TTL_MS;

fn outcomes(world: &World) -> Vec<Outcome> {
    let batches = world.log.iter().chain(&world.vms[0].outbox);
    let entries = batches.flat_map(|batch| &batch.entries);
    entries
        .filter_map(|entry| match entry {
            Entry::Settle { outcome, .. } => Some(outcome.clone()),
            _ => None,
        })
        .collect()
}

#[test]
fn a_claim_read_back_after_a_pause_past_the_deadline_is_not_sent() {
    let mut world = World::start(1, 1, 8);
    let req = world.arrive(0, "entry", Some("k"), 0);
    world.now_ms += 6_000;
    world.sync();
    assert_eq!("504 TooLate No", world.refusal(&req));
    assert!(world.vms[0].tries.is_empty());
    assert_eq!(vec![Outcome::NotRun], outcomes(&world));
}

#[test]
fn a_claimed_request_that_waited_through_a_pause_is_not_sent() {
    let mut world = World::start(1, 1, 1);
    let first = world.arrive(0, "scan", None, 0);
    let req = world.arrive(0, "entry", Some("k"), 0);
    world.sync();
    world.now_ms += 6_000;
    world.end(0, 0, answered(&first, 200), true);
    assert_eq!("504 TooLate No", world.refusal(&req));
    assert!(world.vms[0].tries.is_empty());
}

#[test]
fn a_claim_that_is_not_read_back_in_time_is_refused_and_released() {
    let mut world = World::start(2, 1, 8);
    let req = world.arrive(0, "entry", Some("k"), 0);
    world.advance(3_000);
    assert_eq!("503 LogDown No", world.refusal(&req));
    world.sync();
    world.sync();
    let again = world.arrive(1, "entry", Some("k"), 0);
    world.sync();
    assert_eq!(1, world.vms[1].tries.len(), "{}", world.refusal(&again));
    assert!(world.vms[0].tries.is_empty());
}

#[test]
fn a_retry_of_a_key_is_answered_by_the_recorded_outcome() {
    let kept = |body: Option<&str>| TryEnd::Answered {
        status: 201,
        retry_ms: None,
        kept: Kept {
            status: 201,
            media: String::new(),
            body: body.map(str::to_owned),
        },
    };
    let busy = TryEnd::Answered {
        status: 429,
        retry_ms: Some(500),
        kept: Kept {
            status: 429,
            media: String::new(),
            body: None,
        },
    };
    let cases = [
        (Some(kept(None)), 0, "409 AnswerNotKept Yes"),
        (Some(kept(Some("aa"))), 1, "422 KeyMismatch No"),
        (Some(broken()), 0, "409 OutcomeUnknown Unknown"),
        (Some(busy), 0, "409 OutcomeUnknown Unknown"),
        (None, 0, "409 KeyInProgress Unknown"),
    ];
    for (end, print, expected) in cases {
        let mut world = World::start(2, 1, 8);
        world.arrive(0, "entry", Some("k"), 0);
        world.sync();
        if let Some(end) = end {
            world.end(0, 0, end, true);
        }
        world.sync();
        world.exchange_heartbeats();
        let again = world.arrive(1, "entry", Some("k"), print);
        assert_eq!(expected, world.refusal(&again));
    }
}

#[test]
fn a_retry_after_the_claimant_was_killed_is_never_run() {
    let mut world = World::start(2, 1, 8);
    world.arrive(0, "entry", Some("k"), 0);
    world.sync();
    world.kill(0, || true);
    world.exchange_heartbeats();
    for vm in [0, 1] {
        let again = world.arrive(vm, "entry", Some("k"), 0);
        world.sync();
        assert_eq!("409 OutcomeUnknown Unknown", world.refusal(&again));
    }
    assert_eq!(2, world.vms[1].state.ledger.claims.duplicates.len());
}

#[test]
fn requests_are_refused_before_a_claim_with_the_reason() {
    let mut world = World::start(1, 1, 8);
    let bare = world.arrive(0, "entry", None, 0);
    assert_eq!("400 KeyMissing No", world.refusal(&bare));
    let age = |world: &World, ms: u64| Some(WALL_MS + world.now_ms - ms);
    let old = age(&world, KEY_TTL_MS - 3_600_000);
    let old = world.arrive_with(0, "entry", Some("k"), 0, |arrival| arrival.issued_ms = old);
    assert_eq!("409 KeyTooOld Unknown", world.refusal(&old));
    let young = age(&world, KEY_TTL_MS - 3_660_000);
    let young = world.arrive_with(0, "entry", Some("y"), 0, |arrival| {
        arrival.issued_ms = young;
    });
    assert_eq!("None", world.refusal(&young));
    world.deliver(0, Event::Log { up: false });
    let down = world.arrive(0, "entry", Some("l"), 0);
    assert_eq!("503 LogDown No", world.refusal(&down));
    let idempotent = world.arrive(0, "scan", None, 0);
    assert_eq!("None", world.refusal(&idempotent));
    world.deliver(0, Event::Drain);
    let draining = world.arrive(0, "scan", None, 0);
    assert_eq!("503 Draining No", world.refusal(&draining));
}

#[test]
fn a_disconnected_caller_leaves_no_claim_or_request_open() {
    let mut world = World::start(1, 1, 2);
    let entry = world.arrive(0, "entry", Some("k"), 0);
    let scan = world.arrive(0, "scan", None, 0);
    world.sync();
    let waits = world.arrive(0, "entry", Some("w"), 0);
    world.sync();
    let claiming = world.arrive(0, "entry", Some("c"), 0);
    for req in [&entry, &waits, &claiming, &scan] {
        let req = req.clone();
        world.deliver(0, Event::CallerGone { req });
    }
    assert_eq!("499 CallerGone No", world.refusal(&waits));
    assert_eq!("499 CallerGone No", world.refusal(&claiming));
    assert_eq!("499 CallerGone Unknown", world.refusal(&scan));
    assert_eq!("None", world.refusal(&entry));
    let at = world.vms[0].tries.iter();
    let at = at.clone().position(|open| open.dispatch.req == entry);
    world.end(0, at.unwrap_or(0), answered(&entry, 200), true);
    world.sync();
    world.sync();
    let again = world.arrive(0, "entry", Some("k"), 0);
    assert!(matches!(world.reply(&again), Some(Reply::Kept(_))));
    assert!(world.vms[0].state.requests.is_empty());
}

#[test]
fn the_end_of_an_abandoned_try_causes_no_second_reply() {
    let mut world = World::start(1, 1, 8);
    let req = world.arrive(0, "entry", Some("k"), 0);
    world.sync();
    world.advance(5_000);
    assert_eq!("504 TooLate Unknown", world.refusal(&req));
    world.end(0, 0, broken(), true);
    assert_eq!(Vec::<String>::new(), world.history.violations());
    assert_eq!(vec![Outcome::Unknown], outcomes(&world));
}
