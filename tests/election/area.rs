//! Rows of the lead area that another writer has left.

use prost::Message;
use trefoilgauge::fleet::election::Action;
use trefoilgauge::fleet::election::Candidate;
use trefoilgauge::fleet::election::Election;
use trefoilgauge::fleet::election::EpochCount;
use trefoilgauge::fleet::election::Heartbeat;
use trefoilgauge::fleet::election::Input;
use trefoilgauge::fleet::election::LeadState;
use trefoilgauge::fleet::election::LeaderRow;
use trefoilgauge::fleet::election::Outcome;
use trefoilgauge::fleet::election::Predecessor;
use trefoilgauge::fleet::ports::Rows;
use trefoilgauge::fleet::row::Row;
use trefoilgauge::fleet::token::EPOCH_STEP;

fn row(key: &str, value: Vec<u8>) -> Row {
    Row {
        key: key.to_owned(),
        value,
    }
}

fn leader(epoch: u64, name: &str) -> Row {
    let leader = LeaderRow {
        epoch,
        name: name.to_owned(),
        addr: "127.0.0.1:1".to_owned(),
        boot: 7,
        ..LeaderRow::default()
    };
    row("leader", leader.encode_to_vec())
}

fn count(key: &str, epoch: u64, number: u64) -> Row {
    row(key, EpochCount { epoch, number }.encode_to_vec())
}

fn read(rows: &[Row]) -> LeadState {
    LeadState::read(&Rows {
        rows: rows.to_vec(),
        end: rows.len() as u64,
    })
}

fn candidate() -> Candidate {
    Candidate {
        name: "vm-1".into(),
        addr: "127.0.0.1:1".to_owned(),
        boot: 7,
        cpu_milli: 250,
    }
}

#[test]
fn rows_that_no_vm_writes_leave_the_leader_as_it_was() {
    let rows = [
        leader(5, "vm-1"),
        count("doubt", 5, 0),
        count("answer", 5, 1),
    ];
    let expected = read(&rows);
    let odd = [
        row("leader", Vec::new()),
        row("leader", b"\0".to_vec()),
        row("leader", vec![0xff; 200_000]),
        leader(0, "vm-1"),
        leader(u64::MAX, "vm-2"),
        leader(1 << 53, "vm-2"),
        row("doubt", Vec::new()),
        count("doubt", 5, u64::MAX),
        count("doubt", u64::MAX, 0),
        row("answer", b"\x08".to_vec()),
        count("answer", 5, u64::MAX),
        row("", Vec::new()),
        row("l\u{fffd}", b"\0".to_vec()),
    ];
    for row in odd {
        let mut lead = expected.clone();
        lead.apply(&Rows {
            rows: vec![row.clone()],
            end: expected.end,
        });
        assert_eq!(lead, expected, "{:?} {:?}", row.key, row.value.len());
    }
}

#[test]
fn one_answer_refutes_a_challenge_of_any_number() {
    let mut rows = vec![leader(5, "vm-1")];
    let mut election = Election::new(candidate());
    election.step(1_000, 1_000, Input::Tick);
    election.step(1_001, 1_001, Input::Read(Some(read(&rows))));
    election.step(1_002, 1_002, Input::Loaded);
    rows.push(count("doubt", 5, 1 << 40));
    let actions = election.step(1_003, 1_003, Input::Read(Some(read(&rows))));
    let answer = actions.iter().find_map(|action| match action {
        Action::Write(_, rows) => Some(rows.clone()),
        _ => None,
    });
    rows.extend(answer.unwrap());
    assert!(!read(&rows).is_challenged());
}

#[test]
fn a_heartbeat_with_a_huge_share_does_not_stop_the_election() {
    let mut election = Election::new(candidate());
    election.step(1_000, 1_000, Input::Tick);
    let mut rows = vec![leader(5, "vm-2")];
    election.step(1_001, 1_001, Input::Read(Some(read(&rows))));
    election.step(1_002, 1_002, Input::Connected);
    let heartbeat = Heartbeat {
        boot: 7,
        leads: true,
        confirmed: true,
        best_milli: u64::MAX,
        ..Heartbeat::default()
    };
    election.step(1_003, 1_003, Input::Heartbeat(heartbeat));
    let vacant = LeaderRow {
        epoch: 5,
        vacant: true,
        ..LeaderRow::default()
    };
    rows.push(row("leader", vacant.encode_to_vec()));
    let from = 1;
    let rest = Rows {
        rows: rows.split_off(1),
        end: 2,
    };
    election.step(1_004, 1_004, Input::Watched(from, Some(rest)));
    let actions = election.step(3_000, 3_000, Input::Tick);
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::Write(..))),
        "{actions:?}"
    );
}

/// Guards against a wait that is shortened although the leader before may still send orders.
#[test]
fn a_claim_follows_an_ended_leader_only_where_that_is_certain() {
    let before = |name: &str, addr: &str, boot, vacant| Predecessor {
        name: name.to_owned(),
        addr: addr.to_owned(),
        boot,
        vacant,
    };
    let cases = [
        (EPOCH_STEP, None, true),
        // An earlier build does not name the leader before.
        (2 * EPOCH_STEP, None, false),
        (2, Some(before("vm-1", "10.0.0.1:1", 6, false)), true),
        (2, Some(before("vm-1", "10.0.0.1:1", 7, false)), false),
        (2, Some(before("vm-1", "10.0.0.1:1", 0, false)), false),
        (2, Some(before("vm-1", "10.0.0.2:1", 6, false)), false),
        (2, Some(before("vm-2", "10.0.0.1:1", 6, false)), false),
        (2, Some(before("vm-2", "10.0.0.2:1", 6, true)), true),
    ];
    for (epoch, before, ended) in cases {
        let claim = LeaderRow {
            epoch,
            name: "vm-1".to_owned(),
            addr: "10.0.0.1:1".to_owned(),
            boot: 7,
            before,
            ..LeaderRow::default()
        };
        assert_eq!(claim.follows_ended(), ended, "{claim:?}");
    }
}

/// Guards against appends of the vacant row without end by a leader that gives up and gets no read.
#[test]
fn a_lead_that_is_given_up_is_recorded_once_while_the_area_cannot_be_read() {
    for outcome in [Outcome::Stored, Outcome::Moved] {
        let mut election = Election::new(candidate());
        let mut appends = 0;
        let mut step = |now, input| {
            let actions = election.step(now, now, input);
            let writes = actions
                .iter()
                .filter(|action| matches!(action, Action::Write(..)));
            appends += writes.count();
        };
        step(0, Input::Tick);
        step(1, Input::Read(Some(read(&[leader(5, "vm-1")]))));
        step(2, Input::Loaded);
        step(3, Input::Shutdown);
        step(4, Input::Ended);
        for now in 5..1_000 {
            step(now, Input::Wrote(outcome, 1));
            step(now, Input::Tick);
        }
        assert_eq!(appends, 1, "{outcome:?}");
    }
}
