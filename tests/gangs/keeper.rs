//! Tests of the keeper: leases, silent workers, quarantine, and a process that is cut off.

use crate::log::Log;
use crate::log::START_MS;
use crate::log::job;
use crate::log::shapes;
use trefoilgauge::configs::Settings;
use trefoilgauge::context::Context;
use trefoilgauge::context::Process;
use trefoilgauge::platform::SyncAnswer;
use trefoilgauge::platform::TaskReport;
use trefoilgauge::platform::TaskState;
use trefoilgauge::platform::Usage;
use trefoilgauge::prelude::*;
use trefoilgauge::records::Entry;
use trefoilgauge::records::MemberState;
use trefoilgauge::records::WorkerState;
use trefoilgauge::reducer::Effect;
use trefoilgauge::reducer::Event;
use trefoilgauge::reducer::Now;
use trefoilgauge::reducer::State;
use trefoilgauge::reducer::event::Heartbeat;
use trefoilgauge::reducer::ledger::gangs::Ending;
use trefoilgauge::reducer::ledger::gangs::Phase;
use trefoilgauge::reducer::step;

struct Placer {
    ctx: Context,
    state: State,
    mono_ms: u64,
}

impl Placer {
    /// Opens one of three placers; two of them are a quorum.
    fn open(log: &Log) -> Self {
        Self::open_in_fleet(log, 3)
    }

    fn open_in_fleet(log: &Log, fleet: u64) -> Self {
        let mut state = State::default();
        state.ledger = log.ledger.clone();
        let mut settings = Settings::default();
        settings.requests.fleet = fleet;
        settings.requests.spare = 0;
        let ctx = Context::new(Process::Placer, settings, 1);
        let now = Now {
            mono_ms: 0,
            wall_ms: START_MS,
        };
        step(&ctx, &mut state, now, Event::Log { up: true });
        Self {
            ctx,
            state,
            mono_ms: 0,
        }
    }

    fn event(&mut self, event: Event) -> Vec<Effect> {
        let now = Now {
            mono_ms: self.mono_ms,
            wall_ms: START_MS + self.mono_ms,
        };
        step(&self.ctx, &mut self.state, now, event)
    }

    /// Ticks every 100 ms for `span_ms`, answers each sync if `answers`, and returns all effects.
    fn run(&mut self, span_ms: u64, answers: bool) -> Vec<Effect> {
        let mut all = Vec::new();
        let end_ms = self.mono_ms + span_ms;
        while self.mono_ms < end_ms {
            self.mono_ms += 100;
            let effects = self.event(Event::Tick);
            for effect in &effects {
                let Effect::Sync { worker, call, .. } = effect else {
                    continue;
                };
                let answer = answers.then(|| SyncAnswer {
                    boot: 1,
                    as_of: call.as_of,
                    tasks: Vec::new(),
                });
                let worker = worker.clone();
                all.extend(self.event(Event::SyncEnded { worker, answer }));
            }
            all.extend(effects);
        }
        all
    }

    fn receive_heartbeat(&mut self, control: Offset) {
        self.event(Event::Peer(Heartbeat {
            from: "vm-9/placer".into(),
            centre: "c".into(),
            boot: 1,
            control,
            cfg: 0,
            log_up: false,
            draining: true,
            loads: Vec::new(),
            digest: None,
        }));
    }
}

fn syncs(effects: &[Effect]) -> usize {
    let syncs = effects.iter();
    syncs
        .filter(|effect| matches!(effect, Effect::Sync { .. }))
        .count()
}

fn entries(effects: &[Effect]) -> Vec<Entry> {
    let entries = effects.iter().filter_map(|effect| match effect {
        Effect::Append(entry @ (Entry::Worker { .. } | Entry::Member { .. })) => {
            Some(entry.clone())
        }
        _ => None,
    });
    entries.collect()
}

fn one_worker() -> Log {
    let mut log = Log::open(1, 1);
    log.workspace("a", 16, shapes(&[(8, "any", 1)]));
    log.workspace("b", 16, shapes(&[]));
    log.enforce();
    log
}

#[test]
fn a_process_cut_off_from_log_and_peers_renews_no_lease() {
    let mut placer = Placer::open(&one_worker());
    assert!(syncs(&placer.run(5_000, true)) > 0);
    placer.event(Event::Log { up: false });
    placer.run(10_100, true);
    assert_eq!(Vec::<Effect>::new(), placer.run(60_000, false));
    placer.event(Event::Log { up: true });
    let resumed = placer.run(4_000, false);
    assert!(syncs(&resumed) > 0);
    assert_eq!(Vec::<Entry>::new(), entries(&resumed));
}

#[test]
fn a_log_outage_alone_stops_no_lease() {
    let mut placer = Placer::open(&one_worker());
    placer.event(Event::Log { up: false });
    for _ in 0..60 {
        placer.receive_heartbeat(placer.state.ledger.next);
        assert!(syncs(&placer.run(2_100, true)) > 0);
    }
}

#[test]
fn a_minority_without_the_log_renews_no_lease() {
    let mut placer = Placer::open_in_fleet(&one_worker(), 7);
    placer.event(Event::Log { up: false });
    for _ in 0..6 {
        placer.receive_heartbeat(placer.state.ledger.next);
        placer.run(2_000, true);
    }
    placer.receive_heartbeat(placer.state.ledger.next);
    assert_eq!(0, syncs(&placer.run(2_000, true)));
}

#[test]
fn a_process_that_stays_behind_a_peer_renews_no_lease() {
    let mut placer = Placer::open(&one_worker());
    placer.event(Event::Log { up: false });
    for _ in 0..6 {
        placer.receive_heartbeat(placer.state.ledger.next + 1);
        placer.run(2_000, true);
    }
    placer.receive_heartbeat(placer.state.ledger.next + 1);
    assert_eq!(0, syncs(&placer.run(2_000, true)));
}

#[test]
fn a_silent_worker_is_lost_and_its_tasks_lapse_even_if_they_were_ready() {
    let mut log = one_worker();
    log.submit(job("s", "a", "scan", 1, 8)).unwrap();
    log.plan();
    log.start("s");
    let mut placer = Placer::open(&log);
    let actual = entries(&placer.run(5_500, false));
    assert_eq!(1, actual.len());
    log.append(actual[0].clone()).unwrap();
    assert!(matches!(log.gang("s").phase, Phase::Stopping(_)));
    placer.state.ledger = log.ledger.clone();
    let unread = placer.state.ledger.next - 1;
    for control in [0, unread] {
        placer.receive_heartbeat(control);
        assert_eq!(Vec::<Entry>::new(), entries(&placer.run(25_500, false)));
    }
    placer.receive_heartbeat(placer.state.ledger.next);
    let actual = entries(&placer.run(500, false));
    let token = log.gang("s").token;
    let expected = Entry::Member {
        job: "s".into(),
        token,
        worker: "w0-0".into(),
        state: MemberState::Lapsed,
        kept_ms: 0,
    };
    assert_eq!(Some(&expected), actual.last());
    log.append(expected).unwrap();
    assert_eq!(Phase::Queued, log.gang("s").phase);
    assert_eq!(None, log.violation());
}

#[test]
fn a_pause_of_this_process_is_not_a_workers_silence() {
    let mut placer = Placer::open(&one_worker());
    placer.run(2_000, true);
    placer.mono_ms += 60_000;
    assert_eq!(Vec::<Entry>::new(), entries(&placer.run(1_000, false)));
}

#[test]
fn an_unstoppable_gang_whose_lease_lapsed_ends_as_unknown_and_never_runs_again() {
    let mut log = one_worker();
    log.submit(job("i", "a", "invoice", 1, 8)).unwrap();
    log.plan();
    log.start("i");
    log.worker("w0-0", WorkerState::Lost).unwrap();
    log.report("i", MemberState::Lapsed, 0);
    let phase = &log.gang("i").phase;
    assert!(
        matches!(phase, Phase::Ended(Ending::Unknown(_))),
        "{phase:?}"
    );
    assert_eq!(Vec::<Entry>::new(), log.plan());
}

#[test]
fn a_worker_that_fails_several_jobs_is_quarantined_and_probed_later() {
    let mut log = one_worker();
    for (i, workspace) in ["a", "b", "a"].into_iter().enumerate() {
        let early = log.worker("w0-0", WorkerState::Quarantined);
        assert!(early.is_err(), "{i}");
        let id = format!("s{i}");
        log.submit(job(&id, workspace, "scan", 1, 8)).unwrap();
        log.plan();
        log.report(&id, MemberState::Failed, 0);
        log.report(&id, MemberState::Stopped, 0);
        log.append(Entry::Cancel {
            job: id.as_str().into(),
        })
        .unwrap();
    }
    let mut placer = Placer::open(&log);
    let actual = entries(&placer.run(1_000, true));
    let [Entry::Worker { state, reason, .. }] = actual.as_slice() else {
        panic!("{actual:?}");
    };
    assert_eq!(WorkerState::Quarantined, *state);
    assert_eq!("failed in a row: s0, s1, s2", reason);
    log.append(actual[0].clone()).unwrap();
    log.submit(job("t", "a", "scan", 1, 8)).unwrap();
    assert_eq!(Vec::<Entry>::new(), log.plan());
    assert!(log.worker("w0-0", WorkerState::Up).is_err());
    log.worker("w0-0", WorkerState::Lost).unwrap();
    log.worker("w0-0", WorkerState::Up).unwrap();
    let state = log.ledger.fleet.hosts["w0-0"].state;
    assert_eq!(WorkerState::Quarantined, state, "an answer does not end it");
    for _ in 0..11 {
        log.now_ms += 60_000;
        log.batch(Vec::new());
    }
    let mut placer = Placer::open(&log);
    let actual = entries(&placer.run(1_000, true));
    log.append(actual[0].clone()).unwrap();
    log.plan();
    log.report("t", MemberState::Failed, 0);
    assert_eq!(Ok(()), log.worker("w0-0", WorkerState::Quarantined));
}

#[test]
fn a_job_that_fails_on_three_workers_ends_and_the_workers_are_not_blamed() {
    let mut log = Log::open(4, 1);
    log.workspace("a", 32, shapes(&[]));
    log.enforce();
    log.submit(job("s", "a", "scan", 1, 8)).unwrap();
    for _ in 0..3 {
        log.plan();
        log.start("s");
        log.report("s", MemberState::Failed, 0);
        assert!(
            log.gang("s").holds_slots(),
            "the others may still be running"
        );
        log.report("s", MemberState::Stopped, 0);
    }
    let phase = &log.gang("s").phase;
    let expected = Ending::Failed("it failed on 3 different workers".into());
    assert_eq!(&Phase::Ended(expected), phase);
    let mut hosts = log.ledger.fleet.hosts.values();
    assert!(hosts.all(|host| host.faults.is_empty()));
}

#[test]
fn a_member_that_is_absent_while_it_prepares_stops_the_gang() {
    let mut log = one_worker();
    log.submit(job("s", "a", "scan", 2, 4)).unwrap();
    log.plan();
    let mut placer = Placer::open(&log);
    placer.run(100, false);
    let token = log.gang("s").token;
    let task = |index, state| TaskReport {
        job: "s".into(),
        index,
        token,
        state,
        kept_ms: 0,
        usage: Usage::default(),
    };
    let tasks = vec![task(0, TaskState::Prepared), task(1, TaskState::Absent)];
    let answer = SyncAnswer {
        boot: 1,
        as_of: 0,
        tasks,
    };
    let effects = placer.event(Event::SyncEnded {
        worker: "w0-0".into(),
        answer: Some(answer),
    });
    for entry in entries(&effects) {
        log.append(entry).unwrap();
    }
    assert!(matches!(log.gang("s").phase, Phase::Stopping(_)));
}
