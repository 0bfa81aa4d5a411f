//! Generated interleavings of records; all invariants are checked after each one.

use crate::log::Log;
use crate::log::job;
use crate::log::shapes;
use crate::log::with_adjacency;
use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use trefoilgauge::model::Adjacency;
use trefoilgauge::prelude::*;
use trefoilgauge::records::Entry;
use trefoilgauge::records::MemberState;
use trefoilgauge::records::Slot;
use trefoilgauge::records::Verdict;
use trefoilgauge::records::WorkerState;
use trefoilgauge::reducer::ledger::gangs::Gangs;
use trefoilgauge::reducer::ledger::gangs::Phase;
use trefoilgauge::reducer::plan::pack;
use trefoilgauge::reducer::plan::round;

const SEEDS: u64 = 120;
const STEPS: usize = 150;
const WORKSPACES: [&str; 3] = ["a", "b", "c"];
const KINDS: [&str; 4] = ["scan", "check", "sweep", "invoice"];
const LEVELS: [Adjacency; 4] = [
    Adjacency::Worker,
    Adjacency::Rack,
    Adjacency::Centre,
    Adjacency::Any,
];

#[test]
fn every_invariant_holds_after_every_record() {
    let mut ended = 0;
    let mut covered = 0;
    let mut refused = 0;
    for seed in 0..SEEDS {
        let run = |u: &mut Unstructured<'_>| {
            let mut log = open(u)?;
            let mut finals = BTreeSet::new();
            for i in 0..STEPS {
                if let Some(entries) = choose(u, &mut log, i)? {
                    let before = log.ledger.gangs.clone();
                    let verdicts = log.batch(entries.clone());
                    finals.extend(final_reports(&entries, &verdicts));
                    check_freed(&before, &log, &finals);
                    refused += verdicts.iter().filter(|one| one.is_err()).count();
                }
                assert_eq!(None, log.violation(), "step {i} of seed {seed}");
                let gangs = log.ledger.gangs.all.values();
                covered += gangs.filter(|gang| !gang.cover.is_empty()).count();
            }
            let gangs = log.ledger.gangs.all.values();
            ended += gangs
                .filter(|gang| matches!(gang.phase, Phase::Ended(_)))
                .count();
            Ok(())
        };
        let size = 16_384;
        arbtest::arbtest(run).seed(seed << 32 | size).run();
    }
    assert!(ended > 100 && covered > 1_000 && refused > 100);
}

/// One worker's final report on its members of a placement.
type Final = (Name, Offset, Name);

fn final_reports(entries: &[Entry], verdicts: &[Verdict]) -> Vec<Final> {
    let valid = entries.iter().zip(verdicts).filter(|(_, one)| one.is_ok());
    let finals = valid.filter_map(|(entry, _)| match entry {
        Entry::Member {
            job,
            token,
            worker,
            state: MemberState::Done | MemberState::Stopped | MemberState::Lapsed,
            ..
        } => Some((job.clone(), *token, worker.clone())),
        _ => None,
    });
    finals.collect()
}

/// Checks that slots were freed only after final reports on all members that held them.
fn check_freed(before: &Gangs, log: &Log, finals: &BTreeSet<Final>) {
    for (job, gang) in &before.all {
        if log.gang(job).holds_slots() {
            continue;
        }
        for slot in &gang.slots {
            let report = (job.clone(), gang.token, slot.worker.clone());
            assert!(finals.contains(&report), "{report:?} is missing");
        }
    }
}

fn open(u: &mut Unstructured<'_>) -> Result<Log> {
    let mut log = Log::open(u.int_in_range(1..=4)?, u.int_in_range(1..=3)?);
    for name in WORKSPACES {
        guarantee(u, &mut log, name)?;
    }
    log.enforce();
    Ok(log)
}

fn guarantee(u: &mut Unstructured<'_>, log: &mut Log, name: &str) -> Result<()> {
    let mut list = Vec::new();
    for _ in 0..u.int_in_range(0..=2)? {
        let level = *u.choose(&["worker", "rack", "centre", "any"])?;
        list.push((u.int_in_range(1..=10)?, level, u.int_in_range(1..=2)?));
    }
    log.workspace(name, u.int_in_range(8..=40)?, shapes(&list));
    Ok(())
}

/// Chooses the entries of the next record; new configuration is put in force by that record.
fn choose(u: &mut Unstructured<'_>, log: &mut Log, i: usize) -> Result<Option<Vec<Entry>>> {
    log.now_ms += u.int_in_range(0..=20_000)?;
    let entry = match u.int_in_range(0..=15)? {
        0..=2 => submit(u, i)?,
        3..=5 => {
            let entries = round::propose(&log.ledger, &log.config, log.now_ms);
            return Ok(Some(entries));
        }
        6..=9 => match member(u, log)? {
            Some(entry) => entry,
            None => return Ok(None),
        },
        10..=12 => place(u, log)?,
        13 => Entry::Worker {
            worker: worker(u, log)?,
            state: *u.choose(&[WorkerState::Lost, WorkerState::Up, WorkerState::Quarantined])?,
            reason: "generated".into(),
        },
        14 => match any_job(u, log)? {
            Some(job) => Entry::Cancel { job },
            None => return Ok(None),
        },
        _ => {
            let name = *u.choose(&WORKSPACES)?;
            guarantee(u, log, name)?;
            return Ok(Some(Vec::new()));
        }
    };
    Ok(Some(vec![entry]))
}

fn submit(u: &mut Unstructured<'_>, i: usize) -> Result<Entry> {
    let workspace = *u.choose(&WORKSPACES)?;
    let kind = *u.choose(&KINDS)?;
    let members = u.int_in_range(1..=4)?;
    let one = job(
        &format!("j{i}"),
        workspace,
        kind,
        members,
        u.int_in_range(0..=8)?,
    );
    Ok(Entry::Submit {
        job: with_adjacency(one, *u.choose(&LEVELS)?),
    })
}

/// Generates a report on a gang that holds slots; sometimes with an old token or a wrong worker.
fn member(u: &mut Unstructured<'_>, log: &Log) -> Result<Option<Entry>> {
    let holding: Vec<&Name> = log.ledger.gangs.holding.iter().collect();
    if holding.is_empty() {
        return Ok(None);
    }
    let gang = log.gang(u.choose(&holding)?);
    let slot = u.choose(&gang.slots)?;
    let expected = match gang.phase {
        Phase::Preparing => MemberState::Ready,
        Phase::Running => MemberState::Done,
        _ => MemberState::Stopped,
    };
    let state = match u.int_in_range(0..=9)? {
        0 => MemberState::Failed,
        1 => MemberState::Lost,
        2 => MemberState::Lapsed,
        _ => expected,
    };
    let worker = match u.ratio(1, 20)? {
        true => worker(u, log)?,
        false => slot.worker.clone(),
    };
    Ok(Some(Entry::Member {
        job: gang.job.id.clone(),
        token: gang.token - u64::from(u.ratio(1, 20)?),
        worker,
        state,
        kept_ms: u.int_in_range(0..=10_000)?,
    }))
}

/// Generates a placement without the planner, mostly on free accelerators.
fn place(u: &mut Unstructured<'_>, log: &Log) -> Result<Entry> {
    let queued: Vec<&Name> = log.ledger.gangs.queued.iter().collect();
    if queued.is_empty() {
        return submit(u, 100_000);
    }
    let id = *u.choose(&queued)?;
    let gang = log.gang(id);
    let mut free: BTreeMap<Name, u64> = BTreeMap::new();
    let start = worker(u, log)?;
    let mut slots = Vec::new();
    for _ in 0..gang.job.members {
        let worker = match u.ratio(1, 3)? {
            true => worker(u, log)?,
            false => start.clone(),
        };
        let host = &log.ledger.fleet.hosts[&worker];
        let left = free.entry(worker.clone()).or_insert(host.free());
        let mask = match u.ratio(1, 20)? {
            true => u.arbitrary()?,
            false => pack::lowest_bits(*left, gang.job.accelerators),
        };
        *left &= !mask;
        slots.push(Slot { worker, mask });
    }
    Ok(Entry::Place {
        job: id.clone(),
        attempt: gang.attempt,
        slots,
    })
}

fn worker(u: &mut Unstructured<'_>, log: &Log) -> Result<Name> {
    let names: Vec<Name> = log.ledger.fleet.hosts.keys().cloned().collect();
    Ok(u.choose(&names)?.clone())
}

fn any_job(u: &mut Unstructured<'_>, log: &Log) -> Result<Option<Name>> {
    let names: Vec<Name> = log.ledger.gangs.all.keys().cloned().collect();
    match names.is_empty() {
        true => Ok(None),
        false => Ok(Some(u.choose(&names)?.clone())),
    }
}
