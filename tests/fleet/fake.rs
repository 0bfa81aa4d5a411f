//! A test double of an upstream.

use super::world::timing;
use std::collections::BTreeMap;
use std::collections::HashMap;
use trefoilgauge::fleet::event::Ended;
use trefoilgauge::fleet::event::Report;
use trefoilgauge::fleet::event::RunProgress;
use trefoilgauge::fleet::model::How;
use trefoilgauge::fleet::model::Listing;
use trefoilgauge::fleet::model::ResourceAmounts;
use trefoilgauge::fleet::model::RunId;
use trefoilgauge::fleet::model::TaskId;

/// The duration above which a task counts as long-running, in milliseconds.
pub(crate) const LASTING_MS: u64 = 1_000_000;
/// The time a long-running task needs until it is fully at work, in milliseconds.
pub(crate) const WARM_MS: u64 = 500;

/// How an upstream responds to orders to start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// Runs them.
    Healthy,
    /// Runs them, and every run fails.
    Failing,
    /// Runs them, and four of seven runs fail.
    Flaky,
    /// Never responds; running work continues.
    Silent,
    /// Accepts no connection, as its process is down.
    Down,
    /// Responds that it is unwell, and does nothing.
    Unwell,
    /// Carries out each start, but the first response to it is lost.
    ReplyLost,
    /// Is gone; the process of another upstream responds at its address.
    Replaced,
}

/// A run that is at work.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Running {
    pub number: u32,
    pub start: u64,
    /// When its own part of the work is done.
    pub worked: u64,
    /// When it ends; the members of a gang end together.
    pub end: u64,
    /// The share of its full speed that it was given, in percent.
    pub pace: u32,
    /// What it uses.
    pub need: ResourceAmounts,
    /// Whether it was ordered to stop.
    pub stopping: bool,
}

/// One upstream.
#[derive(Debug)]
pub(crate) struct FakeUpstream {
    pub behaviour: Behaviour,
    pub listing: Listing,
    pub running: BTreeMap<TaskId, Running>,
    pub ended: Vec<Ended>,
    pub seen: u64,
    pub lease: u64,
    /// The highest fencing token that it has seen.
    pub token: u64,
    pub barred: HashMap<TaskId, u32>,
    /// The marks of the renewals in progress, each with the time until which it waits.
    pub holds: Vec<(u64, u64)>,
    /// The tail latency of long-running tasks while nothing disturbs them, in milliseconds.
    pub base_ms: u64,
    /// The increase of that tail latency by each other task at full speed, in milliseconds.
    pub slowdown_ms: u64,
    /// How long work takes there, in percent of the usual time.
    pub time_percent: u64,
    /// Whether its responses are delayed; orders are carried out.
    pub stalled: bool,
    /// When it is gone, with all its running work.
    pub leaves: Option<u64>,
    /// How long a stop takes there, in milliseconds.
    pub stop_ms: u64,
    /// When a new process replaces the one that crashed.
    pub back_at: Option<u64>,
    /// How slow its clock is, in thousandths.
    pub clock_slow: u64,
    /// When its process started; its clock begins at 0 then.
    origin: u64,
    ends: u64,
    /// The number of the last end that it has reported.
    reported: u64,
    /// The checkpoint that its runs report.
    pub saved: String,
    /// How many of the next orders to stop are lost.
    pub lost_stops: u32,
    /// How many renewals it received.
    pub renewals: u32,
    /// The most ends that one report lists.
    pub page: usize,
}

impl FakeUpstream {
    /// Creates an upstream with 8 accelerators.
    pub(crate) fn new(id: &str, rack: u32) -> Self {
        Self {
            behaviour: Behaviour::Healthy,
            listing: listing(id, rack),
            running: BTreeMap::new(),
            ended: Vec::new(),
            seen: 0,
            lease: 0,
            token: 0,
            barred: HashMap::new(),
            holds: Vec::new(),
            base_ms: 0,
            slowdown_ms: 0,
            time_percent: 100,
            stalled: false,
            leaves: None,
            stop_ms: 0,
            back_at: None,
            clock_slow: 0,
            origin: 0,
            ends: 0,
            reported: 0,
            saved: String::new(),
            lost_stops: 0,
            renewals: 0,
            page: 500,
        }
    }

    /// Returns its steady clock at `now`.
    pub(crate) fn clock(&self, now: u64) -> u64 {
        (now - self.origin) * (1_000 - self.clock_slow) / 1_000
    }

    /// Replaces its process by a new one under the same identity, which knows nothing of the
    /// earlier one; returns the marks of the renewals that are lost.
    pub(crate) fn restart(&mut self, now: u64) -> Vec<u64> {
        let mut listing = self.listing.clone();
        listing.born += now;
        let lost = self.holds.iter().map(|(mark, _)| *mark).collect();
        *self = Self {
            origin: now,
            base_ms: self.base_ms,
            slowdown_ms: self.slowdown_ms,
            clock_slow: self.clock_slow,
            time_percent: self.time_percent,
            listing,
            ..Self::new(&self.listing.id, 0)
        };
        lost
    }

    /// Returns when its process started; 0 for the first one.
    pub(crate) const fn started_at(&self) -> u64 {
        self.origin
    }

    /// Extends its lease until `until_ms` on its clock, or by the longest that it grants.
    pub(crate) fn extend(&mut self, now: u64, until_ms: u64) {
        let most = self.clock(now) + timing().max_lease_ms;
        self.lease = self.lease.max(until_ms.min(most));
    }

    /// Returns whether it carries out orders with this fencing token.
    pub(crate) fn accepts(&mut self, token: u64) -> bool {
        let accepts = token >= self.token;
        self.token = self.token.max(token);
        accepts
    }

    /// Ends its process; a new one begins `away_ms` later.
    pub(crate) fn crash(&mut self, now: u64, away_ms: u64) {
        self.behaviour = Behaviour::Silent;
        self.running.clear();
        self.back_at = Some(now + away_ms);
    }

    /// Receives the position up to which its ends are acknowledged.
    pub(crate) fn acknowledge(&mut self, seen: u64) {
        assert!(
            seen <= self.reported,
            "{} is told that its end {seen} is handled, but has reported {} ends",
            self.listing.id,
            self.reported
        );
        self.seen = self.seen.max(seen);
        let seen = self.seen;
        self.ended.retain(|end| end.number > seen);
    }

    /// Returns what its runs use, also those that are being stopped.
    pub(crate) fn used(&self) -> ResourceAmounts {
        let mut used = ResourceAmounts::default();
        for run in self.running.values() {
            used.add(&run.need);
        }
        used
    }

    /// Stops a run.
    pub(crate) fn stop(&mut self, now: u64, run: &RunId) {
        self.barred.insert(run.task.clone(), run.number);
        let end = now + self.stop_ms;
        match self.running.get_mut(&run.task) {
            Some(running) if self.stop_ms > 0 => {
                running.end = running.end.min(end);
                running.stopping = true;
            }
            Some(_) => self.end(&run.task, How::Stopped),
            None => {}
        }
    }

    /// Ends a run.
    pub(crate) fn end(&mut self, task: &TaskId, how: How) {
        let Some(Running { number, .. }) = self.running.remove(task) else {
            return;
        };
        self.ends += 1;
        self.barred.insert(task.clone(), number);
        self.ended.push(Ended {
            number: self.ends,
            run: RunId {
                task: task.clone(),
                number,
            },
            how,
            saved: self.saved.clone(),
        });
    }

    /// Ends whatever is over at `now`: completed runs, runs without a valid lease, the upstream
    /// itself.
    pub(crate) fn advance(&mut self, now: u64) {
        if self.leaves.is_some_and(|leaves| leaves <= now) {
            self.behaviour = Behaviour::Silent;
            self.running.clear();
            return;
        }
        if self.lease <= self.clock(now) {
            let all: Vec<TaskId> = self.running.keys().cloned().collect();
            for task in all {
                self.end(&task, How::Lapsed);
            }
        }
        let over = self.running.iter().filter(|(_, run)| run.end <= now);
        let over: Vec<TaskId> = over.map(|(task, _)| task.clone()).collect();
        for task in over {
            let fails = match self.behaviour {
                Behaviour::Failing => true,
                Behaviour::Flaky => self.ends * 4 % 7 < 4,
                _ => false,
            };
            let how = match self.running[&task] {
                run if run.stopping => How::Stopped,
                _ if fails => How::Failed,
                _ => How::Done,
            };
            self.end(&task, how);
        }
    }

    /// Returns the tail latency of its long-running tasks, in milliseconds.
    pub(crate) fn tail_ms(&self) -> u64 {
        let others = self.running.values().filter(|run| !run.is_lasting());
        let slowdown = others.map(|run| self.slowdown_ms * u64::from(run.pace) / 100);
        self.base_ms + slowdown.sum::<u64>()
    }

    /// Returns its report of running and ended work.
    pub(crate) fn report(&mut self, now: u64) -> Report {
        let listed = self.ended.iter().take(self.page);
        self.reported = listed.map(|end| end.number).max().unwrap_or(self.reported);
        let running = self.running.iter().map(|(task, run)| RunProgress {
            run: RunId {
                task: task.clone(),
                number: run.number,
            },
            saved: self.saved.clone(),
            percent: percent(now, run),
            metric: if run.is_lasting() { self.tail_ms() } else { 0 },
        });
        Report {
            born: self.listing.born,
            running: running.collect(),
            ended: self.ended.iter().take(self.page).cloned().collect(),
            more: self.ended.len() >= self.page,
        }
    }
}

impl Running {
    fn is_lasting(&self) -> bool {
        self.end - self.start > LASTING_MS
    }
}

fn percent(now: u64, run: &Running) -> u32 {
    let whole = run.worked - run.start;
    if run.is_lasting() {
        return if run.start + WARM_MS <= now { 100 } else { 50 };
    }
    let done = (now - run.start) * 100 / whole.max(1);
    let waits = run.end > run.worked;
    u32::try_from(done.min(if waits { 100 } else { 99 })).unwrap()
}

/// Returns the address of the machine that an upstream runs on.
fn addr(id: &str, rack: u32) -> String {
    let machine = id.trim_end_matches('+').rsplit('-').next();
    let machine: u32 = machine.and_then(|number| number.parse().ok()).unwrap_or(0);
    format!("10.0.{rack}.1:{}", 1_000 + machine)
}

fn listing(id: &str, rack: u32) -> Listing {
    Listing {
        id: id.into(),
        addr: addr(id, rack).into(),
        service: "service".into(),
        centre: format!("centre-{rack}").into(),
        born: 7,
        room: ResourceAmounts {
            cpu: 128_000,
            memory: 262_144,
            accelerators: 8,
        },
        labels: vec!["a".into(), format!("r1-{rack}").into()],
        clock_ms: 0,
        ready: true,
        left_ms: None,
    }
}
