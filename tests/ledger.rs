//! The ledger's verdicts on claims, configuration changes and gangs.

use trefoilgauge::model::Adjacency;
use trefoilgauge::model::Job;
use trefoilgauge::prelude::*;
use trefoilgauge::records::Batch;
use trefoilgauge::records::BatchId;
use trefoilgauge::records::CONTROL_SCHEMA;
use trefoilgauge::records::Entry;
use trefoilgauge::records::MemberState;
use trefoilgauge::records::Slot;
use trefoilgauge::records::Verdict;
use trefoilgauge::records::Void;
use trefoilgauge::reducer::ledger::Ledger;
use trefoilgauge::reducer::ledger::Staged;
use trefoilgauge::reducer::ledger::StagedRecord;
use trefoilgauge::reducer::ledger::gangs::Phase;

#[derive(Default)]
struct Log {
    ledger: Ledger,
    staged: Staged,
    seq: u64,
}

impl Log {
    fn publish(&mut self, text: &str) {
        let offset = self.staged.next;
        self.staged.next += 1;
        self.staged.records.push_back(StagedRecord {
            offset,
            data: text.as_bytes().to_vec(),
        });
    }

    fn append(&mut self, writer: &str, entry: Entry) -> Verdict {
        self.seq += 1;
        let batch = Batch {
            schema: CONTROL_SCHEMA,
            id: BatchId {
                writer: writer.into(),
                boot: 1,
                seq: self.seq,
            },
            at_ms: 1_000,
            cfg: self.staged.next,
            entries: vec![entry],
        };
        let offset = self.ledger.next;
        let applied = self.ledger.apply(offset, &batch, &mut self.staged);
        applied.verdicts[0].verdict.clone()
    }
}

fn log_with_workspace() -> Log {
    let mut log = Log::default();
    log.publish(r#"{"schema":1,"change":"a","object":"pool/p","replaces":0,"body":{}}"#);
    log.publish(
        r#"{"schema":1,"change":"b","object":"kind/k","replaces":0,
            "body":{"pool":"p","deadline_ms":1000,"idempotent":true}}"#,
    );
    log.publish(
        r#"{"schema":2,"change":"c","object":"workspace/w","replaces":0,
            "body":{"quota":8,"kinds":["k"]}}"#,
    );
    log
}

fn claim(req: &str, print: u64) -> Entry {
    Entry::Claim {
        req: req.into(),
        workspace: "w".into(),
        kind: "k".into(),
        key: "entry-1".into(),
        print,
    }
}

#[test]
fn the_first_claim_of_a_key_wins() {
    let mut log = log_with_workspace();
    assert_eq!(Ok(()), log.append("vm-1/entry", claim("r1", 7)));
    let expected: Verdict = Err(Void::Claimed("r1".into()));
    assert_eq!(expected, log.append("vm-2/entry", claim("r2", 7)));
    assert_eq!(
        Err(Void::Mismatch),
        log.append("vm-2/entry", claim("r3", 8))
    );
    assert_eq!(2, log.ledger.claims.duplicates.len());
}

#[test]
fn of_two_changes_to_one_version_the_second_is_refused() {
    let mut log = log_with_workspace();
    log.publish(r#"{"schema":1,"change":"d","object":"pool/p","replaces":1,"body":{"slots":4}}"#);
    log.publish(r#"{"schema":1,"change":"e","object":"pool/p","replaces":1,"body":{"slots":2}}"#);
    let _verdict = log.append("vm-1/entry", claim("r1", 7));
    let slots = log.ledger.catalog.pool("p").map(|pool| pool.slots);
    assert_eq!(Some(4), slots);
    let refused: &Findings = &log.ledger.catalog.ruled[4].refused;
    assert_eq!("/replaces", refused.list[0].place);
}

#[test]
fn a_gang_runs_once_each_of_its_workers_is_ready() {
    let mut log = log_with_workspace();
    log.publish(
        r#"{"schema":2,"change":"r","object":"rack/r1","replaces":0,"body":{"centre":"c","workers":[
            {"name":"a","addr":"127.0.0.1:1","accelerators":4,"cores":8,"memory_gb":8},
            {"name":"b","addr":"127.0.0.1:2","accelerators":4,"cores":8,"memory_gb":8}]}}"#,
    );
    let job = Job {
        id: "g".into(),
        workspace: "w".into(),
        kind: "k".into(),
        members: 2,
        accelerators: 4,
        cores: 1,
        memory_gb: 1,
        adjacency: Adjacency::Rack,
        run_ms: 1_000,
    };
    let slot = |worker: &str| Slot {
        worker: worker.into(),
        mask: 0b1111,
    };
    assert_eq!(Ok(()), log.append("vm-1/entry", Entry::Submit { job }));
    let place = Entry::Place {
        job: "g".into(),
        attempt: 0,
        slots: vec![slot("a"), slot("b")],
    };
    assert_eq!(Ok(()), log.append("vm-1/placer", place));
    let token = log.ledger.gangs.all["g"].token;
    let expected = [Phase::Preparing, Phase::Running];
    for (worker, expected) in ["a", "b"].into_iter().zip(expected) {
        let ready = Entry::Member {
            job: "g".into(),
            token,
            worker: worker.into(),
            state: MemberState::Ready,
            kept_ms: 0,
        };
        assert_eq!(Ok(()), log.append("vm-1/placer", ready));
        assert_eq!(expected, log.ledger.gangs.all["g"].phase);
    }
}
