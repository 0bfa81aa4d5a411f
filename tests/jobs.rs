//! Tests of callers' calls to submit gangs and of a VM's readiness, through the reducer.

#![expect(clippy::panic, reason = "a reply of the wrong kind fails the test")]

use trefoilgauge::configs::Settings;
use trefoilgauge::context::Context;
use trefoilgauge::context::Process;
use trefoilgauge::model::Adjacency;
use trefoilgauge::model::Job;
use trefoilgauge::prelude::*;
use trefoilgauge::records::Batch;
use trefoilgauge::records::BatchId;
use trefoilgauge::records::CONTROL_SCHEMA;
use trefoilgauge::records::Entry;
use trefoilgauge::reducer::Effect;
use trefoilgauge::reducer::Event;
use trefoilgauge::reducer::Now;
use trefoilgauge::reducer::State;
use trefoilgauge::reducer::effect::Code;
use trefoilgauge::reducer::effect::Ran;
use trefoilgauge::reducer::effect::Reply;
use trefoilgauge::reducer::step;

const NOW: Now = Now {
    mono_ms: 1_000,
    wall_ms: 1_000_000,
};

/// An entry process whose log the test controls.
struct Vm {
    ctx: Context,
    state: State,
    seq: u64,
}

impl Vm {
    fn ready() -> Self {
        let mut vm = Self {
            ctx: Context::new(Process::Entry, Settings::default(), 1),
            state: State::default(),
            seq: 0,
        };
        let config = [
            r#"{"schema":2,"change":"a","object":"pool/p","replaces":0,"body":{}}"#,
            r#"{"schema":2,"change":"b","object":"kind/k","replaces":0,
                "body":{"pool":"p","deadline_ms":1000,"idempotent":true}}"#,
            r#"{"schema":2,"change":"c","object":"workspace/w","replaces":0,
                "body":{"quota":8,"kinds":["k"]}}"#,
            r#"{"schema":2,"change":"d","object":"rack/r","replaces":0,"body":{"centre":"c","workers":
                [{"name":"x","addr":"127.0.0.1:1","accelerators":8,"cores":8,"memory_gb":8}]}}"#,
        ];
        for (offset, data) in (0..).zip(config) {
            let data = data.as_bytes().to_vec();
            vm.tell(Event::Config { offset, data });
        }
        vm.read_back(Vec::new());
        vm.tell(Event::Log { up: true });
        vm
    }

    fn tell(&mut self, event: Event) -> Vec<Effect> {
        step(&self.ctx, &mut self.state, NOW, event)
    }

    fn read_back(&mut self, entries: Vec<Entry>) -> Vec<Effect> {
        self.seq += 1;
        let batch = Batch {
            schema: CONTROL_SCHEMA,
            id: BatchId {
                writer: self.ctx.writer.clone(),
                boot: 1,
                seq: self.seq,
            },
            at_ms: 1_000_000,
            cfg: 4,
            entries,
        };
        let offset = self.state.ledger.next;
        self.tell(Event::Control { offset, batch })
    }

    fn submit(&mut self, req: &str, members: u32) -> Vec<Effect> {
        let job = Job {
            id: "g".into(),
            workspace: "w".into(),
            kind: "k".into(),
            members,
            accelerators: 2,
            cores: 1,
            memory_gb: 1,
            adjacency: Adjacency::Any,
            run_ms: 1_000,
        };
        let req = req.into();
        self.tell(Event::Submit { req, job })
    }
}

fn entries(effects: &[Effect]) -> Vec<Entry> {
    let entries = effects.iter().filter_map(|effect| match effect {
        Effect::Append(entry) => Some(entry.clone()),
        _ => None,
    });
    entries.collect()
}

fn replies(effects: &[Effect]) -> Vec<(Name, Reply)> {
    let replies = effects.iter().filter_map(|effect| match effect {
        Effect::Reply { req, reply, .. } => Some((req.clone(), reply.clone())),
        _ => None,
    });
    replies.collect()
}

fn accepted(offset: Offset) -> Reply {
    Reply::JobAccepted {
        job: "g".into(),
        offset,
    }
}

fn code(reply: &Reply) -> (Code, Ran) {
    match reply {
        Reply::Refused(refusal) => (refusal.code, refusal.ran),
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn two_different_jobs_of_one_id_are_not_both_accepted() {
    let mut vm = Vm::ready();
    let mut appended = entries(&vm.submit("r1", 1));
    appended.extend(entries(&vm.submit("r2", 2)));
    let replies = replies(&vm.read_back(appended));
    assert_eq!(("r1".into(), accepted(1)), replies[0]);
    assert_eq!("r2", &*replies[1].0);
    assert_eq!((Code::JobTaken, Ran::No), code(&replies[1].1));
}

#[test]
fn the_same_job_submitted_again_is_accepted_with_its_first_offset() {
    let mut vm = Vm::ready();
    let appended = entries(&vm.submit("r1", 1));
    vm.read_back(appended);
    let again = replies(&vm.submit("r2", 1));
    assert_eq!(vec![("r2".into(), accepted(1))], again);
}

#[test]
fn a_job_that_no_workers_can_hold_is_refused_with_the_reason() {
    let mut vm = Vm::ready();
    let appended = entries(&vm.submit("r1", 5));
    let replies = replies(&vm.read_back(appended));
    assert_eq!((Code::NeverRuns, Ran::No), code(&replies[0].1));
    let Reply::Refused(refusal) = &replies[0].1 else {
        panic!("accepted");
    };
    let expected = "not allowed by the configuration in force: 10 accelerators pass the quota of 8";
    assert_eq!(expected, refusal.detail);
}

#[test]
fn a_vm_whose_first_configuration_is_not_in_force_is_not_ready() {
    let mut vm = Vm::ready();
    vm.state = State::default();
    let data = br#"{"schema":2,"change":"a","object":"pool/p","replaces":0,"body":{}}"#.to_vec();
    vm.tell(Event::Config { offset: 0, data });
    vm.tell(Event::Log { up: true });
    assert!(!vm.state.ready());
    vm.tell(Event::Tick);
    let later = Now {
        mono_ms: NOW.mono_ms + 2_000,
        ..NOW
    };
    let effects = step(&vm.ctx, &mut vm.state, later, Event::Tick);
    let flushed = effects.contains(&Effect::FlushBatch);
    vm.read_back(Vec::new());
    assert!(vm.state.ready());
    assert!(flushed, "no batch puts it in force");
}

#[test]
fn a_newer_schema_of_the_control_stream_stops_all_decisions() {
    let mut vm = Vm::ready();
    let appended = entries(&vm.submit("r1", 1));
    vm.tell(Event::NewerSchema { offset: 1 });
    assert!(replies(&vm.read_back(appended)).is_empty());
    assert!(vm.state.ledger.gangs.all.is_empty());
    let effects = vm.submit("r2", 1);
    assert_eq!((Code::NotReady, Ran::No), code(&replies(&effects)[0].1));
}

#[test]
fn a_submission_while_the_log_is_down_is_refused_at_once() {
    let mut vm = Vm::ready();
    vm.tell(Event::Log { up: false });
    let effects = vm.submit("r1", 1);
    assert_eq!((Code::LogDown, Ran::No), code(&replies(&effects)[0].1));
    assert!(entries(&effects).is_empty());
}
