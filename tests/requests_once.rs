//! Generated interleavings of entry processes over one log: one truthful reply for each request,
//! and at most one run for each key.

#[expect(dead_code, reason = "the other tests use the rest")]
mod requests_world;

use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use requests_world::Arrived;
use requests_world::Execution;
use requests_world::History;
use requests_world::World;
use requests_world::answered;
use requests_world::broken;
use requests_world::not_sent;
use trefoilgauge::prelude::*;
use trefoilgauge::records::Kept;
use trefoilgauge::reducer::Event;
use trefoilgauge::reducer::effect::Code;
use trefoilgauge::reducer::effect::Ran;
use trefoilgauge::reducer::effect::Refusal;
use trefoilgauge::reducer::effect::Reply;
use trefoilgauge::reducer::event::Heartbeat;
use trefoilgauge::reducer::event::TryEnd;

const CASES: u64 = 400;
const CASE_BYTES: u64 = 1_500;

fn interleave(u: &mut Unstructured<'_>) -> arbitrary::Result<Vec<String>> {
    let count = u.int_in_range(2..=3)?;
    let mut world = World::start(count, 3, 2);
    let mut beats: Vec<Heartbeat> = Vec::new();
    while !u.is_empty() {
        let vm = u.int_in_range(0..=count - 1)?;
        match u.int_in_range(0..=17)? {
            0..=2 => {
                let key = ["k0", "k1", "k2"][u.int_in_range(0..=2)?];
                let print = u64::from(u.ratio(1, 8)?);
                world.arrive(vm, "entry", Some(key), print);
            }
            3 => drop(world.arrive(vm, "scan", None, 0)),
            4..=5 => world.flush(vm, u.ratio(1, 4)?),
            6..=8 => world.read(vm, u.int_in_range(1..=4)?),
            9..=11 => end_try(&mut world, vm, u)?,
            12 => world.deliver(vm, Event::Tick),
            13 => world.now_ms += u.int_in_range(1..=2_500)?,
            14 => {
                let executed: bool = u.ratio(1, 2)?;
                if u.ratio(1, 3)? {
                    world.kill(vm, || executed);
                }
            }
            15 => {
                let open = world.history.arrivals.iter().rev().take(4);
                let open: Vec<Name> = open
                    .filter(|arrived| arrived.vm == vm)
                    .map(|arrived| arrived.req.clone())
                    .collect();
                if let Some(req) = open.first().cloned() {
                    world.deliver(vm, Event::CallerGone { req });
                }
            }
            16 => world.deliver(vm, Event::Log { up: u.ratio(2, 3)? }),
            _ => {
                beats.push(world.heartbeat(vm));
                let at = u.int_in_range(0..=beats.len() - 1)?;
                let to = u.int_in_range(0..=count - 1)?;
                world.deliver(to, Event::Peer(beats[at].clone()));
            }
        }
    }
    for _ in 0..12 {
        world.sync();
        world.advance(1_000);
    }
    for vm in 0..count {
        for open in std::mem::take(&mut world.vms[vm].tries) {
            world.execute(&open.dispatch);
        }
    }
    Ok(world.history.violations())
}

/// Ends an attempt in flight, or delivers another end of an attempt that ended or was abandoned
/// before.
fn end_try(world: &mut World, vm: usize, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    if u.ratio(1, 5)? && !world.vms[vm].ended.is_empty() {
        let at = u.int_in_range(0..=world.vms[vm].ended.len() - 1)?;
        let dispatch = world.vms[vm].ended[at].dispatch.clone();
        let end = match u.ratio(1, 2)? {
            true => broken(),
            false => not_sent(),
        };
        let (req, attempt) = (dispatch.req, dispatch.attempt);
        world.deliver(vm, Event::TryEnd { req, attempt, end });
        return Ok(());
    }
    let open = world.vms[vm].tries.len();
    if open == 0 {
        return Ok(());
    }
    let at = u.int_in_range(0..=open - 1)?;
    let req = world.vms[vm].tries[at].dispatch.req.clone();
    let (end, executed) = match u.int_in_range(0..=6)? {
        0..=1 => (answered(&req, 200), true),
        2 => (answered(&req, 500), true),
        3 => (broken(), true),
        4 => (broken(), false),
        5 => (not_sent(), false),
        _ => (TryEnd::Leaving, false),
    };
    world.end(vm, at, end, executed);
    Ok(())
}

#[test]
fn every_interleaving_gives_one_truthful_reply_and_one_run_per_key() {
    for case in 0..CASES {
        arbtest(|u| {
            let expected: Vec<String> = Vec::new();
            assert_eq!(expected, interleave(u)?);
            Ok(())
        })
        .seed((case << 32) | CASE_BYTES);
    }
}

fn history(key: Option<&str>) -> History {
    let mut history = History::default();
    for req in ["r1", "r2"] {
        history.arrivals.push(Arrived {
            req: req.into(),
            vm: 0,
            boot: 1,
            key: key.map(Name::from),
            end_ms: 10,
        });
    }
    history
}

fn ran(req: &str, key: Option<&str>) -> Execution {
    Execution {
        req: req.into(),
        key: key.map(Name::from),
    }
}

fn refused(ran: Ran) -> Reply {
    Reply::Refused(Refusal {
        status: 503,
        code: Code::TooLate,
        ran,
        retry_ms: None,
        detail: String::new(),
    })
}

#[test]
fn each_checker_detects_a_planted_violation() {
    let upstream = Reply::Upstream {
        attempt: 1,
        runner: "s1".into(),
    };
    let kept = Reply::Kept(Kept {
        status: 200,
        media: String::new(),
        body: Some("r9".into()),
    });
    let fine = refused(Ran::No);
    let cases: Vec<(Vec<Execution>, Vec<Reply>, &str)> = vec![
        (vec![], vec![fine.clone()], "r2 got 0 replies"),
        (
            vec![ran("r1", None), ran("r1", None)],
            vec![refused(Ran::No), fine.clone()],
            "r1 ran and was told no",
        ),
        (
            vec![],
            vec![upstream.clone(), fine.clone()],
            "r1 was answered",
        ),
        (vec![], vec![refused(Ran::Yes), fine.clone()], "told yes"),
        (
            vec![ran("r1", Some("k")), ran("r2", Some("k"))],
            vec![upstream.clone(), upstream.clone()],
            "key k ran for",
        ),
        (
            vec![ran("r1", Some("k"))],
            vec![upstream, kept],
            "r2 got another's answer",
        ),
    ];
    for (executions, replies, expected) in cases {
        let keyed = executions.iter().any(|run| run.key.is_some());
        let mut history = history(keyed.then_some("k"));
        history.executions = executions;
        let reqs = ["r1", "r2"].into_iter().map(Name::from);
        history.replies = reqs.zip(replies).collect();
        let actual = history.violations().join("; ");
        assert!(actual.contains(expected), "{expected} in {actual:?}");
    }
    let mut twice = history(None);
    let reqs = ["r1", "r1", "r2"].into_iter().map(Name::from);
    twice.replies = reqs.map(|req| (req, fine.clone())).collect();
    twice.late.push("r2".into());
    let expected = ["r1 got 2 replies", "r2 was dispatched after its deadline"];
    assert_eq!(expected.as_slice(), twice.violations());
}

#[test]
fn the_generated_interleavings_reach_each_kind_of_reply() {
    let mut seen = (0, 0, 0, 0);
    for case in 0..50 {
        arbtest(|u| {
            let count = 2;
            let mut world = World::start(count, 3, 2);
            while !u.is_empty() {
                let vm = u.int_in_range(0..=1)?;
                match u.int_in_range(0..=3)? {
                    0 => drop(world.arrive(vm, "entry", Some("k"), 0)),
                    1 => world.flush(vm, false),
                    2 => world.read(vm, 2),
                    _ => end_try(&mut world, vm, u)?,
                }
            }
            for (_, reply) in &world.history.replies {
                match reply {
                    Reply::Upstream { .. } => seen.0 += 1,
                    Reply::Kept(_) => seen.1 += 1,
                    Reply::Refused(refusal) if refusal.code == Code::KeyInProgress => seen.2 += 1,
                    Reply::Refused(refusal) if refusal.code == Code::OutcomeUnknown => seen.3 += 1,
                    _ => {}
                }
            }
            Ok(())
        })
        .seed((case << 32) | 400);
    }
    let all = seen.0 > 0 && seen.1 > 0 && seen.2 > 0 && seen.3 > 0;
    assert!(all, "answered, kept, in progress, unknown: {seen:?}");
}
