//! Tests of guarantees: after every record, all guaranteed shapes can be reclaimed.

use crate::log::Log;
use crate::log::job;
use crate::log::shapes;
use crate::log::with_adjacency;
use trefoilgauge::model::Adjacency;
use trefoilgauge::records::Entry;
use trefoilgauge::records::MemberState;
use trefoilgauge::records::Void;
use trefoilgauge::records::WorkerState;
use trefoilgauge::reducer::ledger::gangs::Ending;
use trefoilgauge::reducer::ledger::gangs::Phase;
use trefoilgauge::reducer::plan::guarantee;

/// A list of guaranteed shapes, and a part of the refusal; empty if they are accepted.
type Case = (&'static [(u32, &'static str, u32)], &'static str);

const ALL: u64 = 0xff;
const HALF: u64 = 0x0f;

/// Each case runs on 2 racks of 2 workers with 8 accelerators each.
#[test]
fn a_configuration_that_guarantees_more_than_fits_is_refused() {
    let cases: [Case; 7] = [
        (&[(8, "worker", 4)], ""),
        (&[(16, "rack", 2)], ""),
        (&[(32, "any", 1)], ""),
        (&[(33, "any", 1)], "33 accelerators are promised, 32 exist"),
        (&[(9, "worker", 1)], "side by side"),
        (&[(17, "rack", 1)], "side by side"),
        (&[(5, "worker", 5)], "side by side"),
    ];
    for (list, expected) in cases {
        let mut log = Log::open(2, 2);
        log.workspace("a", 32, shapes(list));
        let actual = log.enforce();
        assert!(actual.contains(expected), "{list:?}: {actual}");
        assert_eq!(expected.is_empty(), actual.is_empty(), "{list:?}: {actual}");
        assert_eq!(None, log.violation());
    }
}

#[test]
fn guarantees_of_all_workspaces_count_together() {
    let mut log = Log::open(2, 2);
    log.workspace("a", 32, shapes(&[(16, "rack", 1)]));
    log.workspace("b", 32, shapes(&[(8, "worker", 2)]));
    assert_eq!("", log.enforce());
    log.workspace("c", 32, shapes(&[(1, "any", 1)]));
    assert!(log.enforce().contains("33 accelerators"));
    assert_eq!(None, log.violation());
}

#[test]
fn work_that_cannot_be_stopped_never_borrows() {
    let mut log = Log::open(1, 2);
    log.workspace("a", 16, shapes(&[(8, "worker", 1)]));
    log.workspace("b", 16, shapes(&[(4, "worker", 1)]));
    log.enforce();
    log.submit(job("i1", "b", "invoice", 1, 4)).unwrap();
    log.submit(job("i2", "b", "invoice", 1, 4)).unwrap();
    assert_eq!(Ok(()), log.place("i1", &[("w0-0", HALF)]));
    let actual = log.place("i2", &[("w0-1", HALF)]);
    assert!(matches!(actual, Err(Void::Guarantee(_))), "{actual:?}");
    assert_eq!(None, log.violation());
}

#[test]
fn work_that_cannot_be_stopped_never_splits_the_shape_of_another_workspace() {
    let mut log = Log::open(1, 2);
    log.workspace("a", 16, shapes(&[(8, "worker", 1)]));
    log.workspace("b", 16, shapes(&[(4, "any", 2)]));
    log.enforce();
    log.submit(job("i1", "b", "invoice", 1, 4)).unwrap();
    log.submit(job("i2", "b", "invoice", 1, 4)).unwrap();
    assert_eq!(Ok(()), log.place("i1", &[("w0-0", HALF)]));
    let actual = log.place("i2", &[("w0-1", HALF)]);
    assert!(matches!(actual, Err(Void::Guarantee(_))), "{actual:?}");
    assert_eq!(Ok(()), log.place("i2", &[("w0-0", HALF << 4)]));
    assert_eq!(None, log.violation());
}

#[test]
fn a_guaranteed_shape_is_reclaimed_from_borrowers() {
    let mut log = Log::open(1, 2);
    log.workspace("a", 16, shapes(&[(8, "worker", 1)]));
    log.workspace("b", 16, shapes(&[]));
    log.enforce();
    for id in ["s1", "s2", "s3", "s4"] {
        log.submit(job(id, "b", "scan", 1, 4)).unwrap();
    }
    assert_eq!(4, log.plan().len());
    for id in ["s1", "s2", "s3", "s4"] {
        log.start(id);
    }
    let scan = with_adjacency(job("g", "a", "scan", 1, 8), Adjacency::Worker);
    log.submit(scan).unwrap();
    let stopped = log.plan();
    assert_eq!(2, stopped.len(), "{stopped:?}");
    for entry in &stopped {
        let Entry::Reclaim { job, .. } = entry else {
            panic!("{entry:?}");
        };
        log.report(job, MemberState::Stopped, 5_000);
        assert_eq!(5_000, log.gang(job).kept_ms);
    }
    log.plan();
    assert_eq!(Phase::Preparing, log.gang("g").phase);
    assert!(!log.gang("g").cover.is_empty());
    assert_eq!(None, log.violation());
}

#[test]
fn a_configuration_cannot_guarantee_what_unstoppable_work_holds() {
    let mut log = Log::open(1, 2);
    log.workspace("a", 16, shapes(&[(8, "worker", 1)]));
    log.enforce();
    log.submit(job("i", "a", "invoice", 1, 4)).unwrap();
    assert_eq!(Ok(()), log.place("i", &[("w0-0", HALF)]));
    log.workspace("b", 16, shapes(&[(8, "worker", 1)]));
    assert_eq!("", log.enforce());
    log.workspace("a", 16, shapes(&[]));
    assert_eq!("", log.enforce());
    log.workspace("c", 16, shapes(&[(8, "worker", 1)]));
    let actual = log.enforce();
    assert!(actual.contains("job i cannot be stopped"), "{actual}");
    assert_eq!(None, log.violation());
}

#[test]
fn a_lost_worker_breaks_no_guarantee() {
    let mut log = Log::open(2, 1);
    log.workspace("a", 16, shapes(&[(8, "worker", 2)]));
    log.enforce();
    log.submit(job("i1", "a", "invoice", 1, 8)).unwrap();
    log.submit(job("i2", "a", "invoice", 1, 8)).unwrap();
    assert_eq!(Ok(()), log.place("i1", &[("w0-0", ALL)]));
    assert_eq!(Ok(()), log.worker("w0-0", WorkerState::Lost));
    assert_eq!(None, log.violation());
    assert_eq!(Ok(()), log.place("i2", &[("w1-0", ALL)]));
    assert_eq!(None, log.violation());
}

#[test]
fn verify_finds_a_guarantee_that_was_broken_on_purpose() {
    let mut log = Log::open(1, 2);
    log.workspace("a", 16, shapes(&[(8, "worker", 1)]));
    log.workspace("b", 16, shapes(&[(4, "any", 1)]));
    log.enforce();
    log.submit(job("i", "b", "invoice", 1, 4)).unwrap();
    log.place("i", &[("w0-0", HALF)]).unwrap();
    let mut borrowed = log.ledger.clone();
    let gang = borrowed.gangs.all.get_mut("i").unwrap();
    gang.cover.clear();
    assert!(guarantee::verify(&borrowed).is_err());
    let mut split = log.ledger.clone();
    let cells = split.gangs.standing.cells.get_mut("a").unwrap();
    cells[0].place = "w0-0".into();
    assert!(guarantee::verify(&split).is_err());
}

#[test]
fn a_job_that_can_never_run_is_refused_at_once_with_the_reason() {
    let mut log = Log::open(1, 2);
    log.workspace("a", 24, shapes(&[(8, "any", 1)]));
    log.enforce();
    let cases = [
        (job("a", "a", "scan", 4, 8), "quota"),
        (job("b", "a", "scan", 3, 8), "no configured workers"),
        (
            with_adjacency(job("c", "a", "scan", 2, 8), Adjacency::Worker),
            "no configured",
        ),
        (job("d", "a", "invoice", 2, 8), "cannot be stopped"),
        (job("e", "a", "scan", u32::MAX, u32::MAX), "members must be"),
        (job("f", "a", "scan", 1_024, u32::MAX), "quota"),
    ];
    for (job, expected) in cases {
        let Err(actual) = log.submit(job) else {
            panic!("{expected}");
        };
        assert!(actual.to_string().contains(expected), "{actual}");
    }
}

#[test]
fn a_queued_job_that_the_configuration_makes_impossible_is_rejected() {
    let mut log = Log::open(1, 2);
    log.workspace("a", 16, shapes(&[]));
    log.enforce();
    log.submit(job("s1", "a", "scan", 2, 8)).unwrap();
    log.submit(job("s2", "a", "scan", 2, 8)).unwrap();
    log.plan();
    let early = log.append(Entry::Reject {
        job: "s2".into(),
        reason: "too early".into(),
    });
    assert!(matches!(early, Err(Void::Policy(_))));
    log.workspace("a", 8, shapes(&[]));
    log.enforce();
    log.plan();
    let phase = &log.gang("s2").phase;
    let Phase::Ended(Ending::Rejected(reason)) = phase else {
        panic!("{phase:?}");
    };
    assert!(reason.contains("quota of 8"), "{reason}");
}

#[test]
fn a_gang_keeps_the_least_of_its_workers_checkpoints() {
    let mut log = Log::open(1, 2);
    log.workspace("a", 16, shapes(&[]));
    log.enforce();
    log.submit(job("s", "a", "scan", 2, 8)).unwrap();
    for (kept, expected) in [([900, 400], 400), ([300, 200], 400), ([700, 800], 700)] {
        log.plan();
        log.start("s");
        let token = log.gang("s").token;
        let reclaim = Entry::Reclaim {
            job: "s".into(),
            token,
            waiter: None,
        };
        log.append(reclaim).unwrap();
        for (worker, kept_ms) in ["w0-0", "w0-1"].into_iter().zip(kept) {
            let report = Entry::Member {
                job: "s".into(),
                token,
                worker: worker.into(),
                state: MemberState::Stopped,
                kept_ms,
            };
            log.append(report).unwrap();
        }
        assert_eq!(expected, log.gang("s").kept_ms);
    }
}
