//! How long a key is remembered while the ledger's clock lags or a writer's clock is ahead.

use trefoilgauge::records::Batch;
use trefoilgauge::records::BatchId;
use trefoilgauge::records::CONTROL_SCHEMA;
use trefoilgauge::records::Entry;
use trefoilgauge::records::Outcome;
use trefoilgauge::records::Verdict;
use trefoilgauge::records::Void;
use trefoilgauge::reducer::ledger::Ledger;
use trefoilgauge::reducer::ledger::Staged;
use trefoilgauge::reducer::ledger::StagedRecord;
use trefoilgauge::reducer::ledger::claims::KEY_TTL_MS;

const HOUR_MS: u64 = 3_600_000;
const START_MS: u64 = 1_700_000_000_000;

struct Log {
    ledger: Ledger,
    staged: Staged,
    seq: u64,
}

impl Log {
    fn start() -> Self {
        let mut log = Self {
            ledger: Ledger::default(),
            staged: Staged::default(),
            seq: 0,
        };
        for (object, body) in [
            ("pool/p", r#"{}"#),
            ("kind/k", r#"{"pool":"p","deadline_ms":1000}"#),
            ("workspace/w", r#"{"quota":8,"kinds":["k"]}"#),
        ] {
            let offset = log.staged.next;
            log.staged.next += 1;
            let text = format!(
                r#"{{"schema":2,"change":"c","object":"{object}","replaces":0,"body":{body}}}"#
            );
            let data = text.into_bytes();
            log.staged.records.push_back(StagedRecord { offset, data });
        }
        log.append(START_MS, Vec::new());
        log
    }

    fn append(&mut self, at_ms: u64, entries: Vec<Entry>) -> Vec<Verdict> {
        self.seq += 1;
        let batch = Batch {
            schema: CONTROL_SCHEMA,
            id: BatchId {
                writer: "vm-1/entry".into(),
                boot: 1,
                seq: self.seq,
            },
            at_ms,
            cfg: self.staged.next,
            entries,
        };
        let offset = self.ledger.next;
        let applied = self.ledger.apply(offset, &batch, &mut self.staged);
        let rulings = applied.verdicts.into_iter();
        rulings.map(|ruling| ruling.verdict).collect()
    }

    fn claim(&mut self, at_ms: u64, req: &str) -> Verdict {
        let entry = Entry::Claim {
            req: req.into(),
            workspace: "w".into(),
            kind: "k".into(),
            key: "entry-1".into(),
            print: 7,
        };
        self.append(at_ms, vec![entry]).remove(0)
    }

    /// Appends empty batches until the ledger's clock reaches `at_ms`.
    fn advance(&mut self, at_ms: u64) {
        while self.ledger.clock_ms < at_ms {
            self.append(at_ms, Vec::new());
        }
    }
}

#[test]
fn a_key_claimed_after_an_idle_night_is_remembered_for_its_full_time() {
    let claimed_ms = START_MS + 10 * HOUR_MS;
    let cases = [
        (claimed_ms + KEY_TTL_MS - 1, Err(Void::Claimed("r1".into()))),
        (claimed_ms + KEY_TTL_MS, Ok(())),
    ];
    for (again_ms, expected) in cases {
        let mut log = Log::start();
        assert_eq!(Ok(()), log.claim(claimed_ms, "r1"));
        log.advance(again_ms);
        assert_eq!(expected, log.claim(again_ms, "r2"));
    }
}

#[test]
fn a_writer_clock_far_ahead_does_not_prolong_other_keys() {
    let mut log = Log::start();
    let ahead_ms = START_MS + 100 * 365 * 24 * HOUR_MS;
    log.append(
        ahead_ms,
        vec![Entry::Claim {
            req: "far".into(),
            workspace: "w".into(),
            kind: "k".into(),
            key: "far".into(),
            print: 1,
        }],
    );
    assert_eq!(Ok(()), log.claim(START_MS + HOUR_MS, "r1"));
    log.advance(START_MS + HOUR_MS + KEY_TTL_MS);
    assert_eq!(1, log.ledger.claims.len(), "only the far one is left");
}

#[test]
fn a_released_key_can_be_claimed_again_and_a_settled_one_cannot() {
    let cases = [
        (Outcome::NotRun, Ok(())),
        (Outcome::Unknown, Err(Void::Claimed("r1".into()))),
    ];
    for (outcome, expected) in cases {
        let mut log = Log::start();
        assert_eq!(Ok(()), log.claim(START_MS, "r1"));
        let settle = Entry::Settle {
            req: "r1".into(),
            workspace: "w".into(),
            key: "entry-1".into(),
            outcome,
        };
        let twice = log.append(START_MS, vec![settle.clone(), settle]);
        assert_eq!(vec![Ok(()), Err(Void::Phase)], twice);
        assert_eq!(expected, log.claim(START_MS, "r2"));
    }
}
