//! The report of `trefoil-bench fleet`: the cost of the leader's decisions at growing sizes.
//!
//! Under a virtual clock, a scheduler gets the load of a fleet of accelerators: checks, scans and
//! comparisons in the proportions of the Instituto, enough to ask for all accelerators, and a burst
//! of checks. Simulated upstreams carry out its calls. Only the scheduler's own time is measured.

use crate::fleet::Effect;
use crate::fleet::Event;
use crate::fleet::Scheduler;
use crate::fleet::event::Call;
use crate::fleet::event::Ended;
use crate::fleet::event::Held;
use crate::fleet::event::Operation;
use crate::fleet::event::Reading;
use crate::fleet::event::Report;
use crate::fleet::event::RunProgress;
use crate::fleet::event::Started;
use crate::fleet::model::Config;
use crate::fleet::model::How;
use crate::fleet::model::Listing;
use crate::fleet::model::Queue;
use crate::fleet::model::ResourceAmounts;
use crate::fleet::model::RunId;
use crate::fleet::model::Spec;
use crate::fleet::model::Step;
use crate::fleet::timing::Policy;
use crate::fleet::timing::Timing;
use crate::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// The measured sizes in upstreams: those of the deployments, and last the target.
const SIZES: [usize; 5] = [48, 350, 1_100, 3_000, 8_740];
/// Upstreams in a rack.
const RACK_UPSTREAMS: usize = 20;
/// The virtual time of a measurement, in milliseconds.
const DURATION_MS: u64 = 20_000;
/// The step of the virtual clock, in milliseconds.
const STEP_MS: u64 = 5;
/// The burst of checks: its start and end, in milliseconds, and the factor on the rate of checks.
const BURST: (u64, u64, f64) = (8_000, 14_000, 2.4);

/// A kind of job.
#[derive(Debug, Clone, Copy)]
struct Kind {
    queue: &'static str,
    /// Jobs per second for every 1,100 upstreams.
    rate: f64,
    tasks: u32,
    cpu: u64,
    memory: u64,
    work_ms: u64,
    gang: bool,
}

/// The kinds of the Instituto's large deployment on days of high load.
const KINDS: [Kind; 3] = [
    Kind {
        queue: "scan",
        rate: 7.5,
        tasks: 26,
        cpu: 52_000,
        memory: 210_000,
        work_ms: 6_800,
        gang: true,
    },
    Kind {
        queue: "check",
        rate: 27.0,
        tasks: 8,
        cpu: 15_000,
        memory: 61_000,
        work_ms: 2_500,
        gang: true,
    },
    Kind {
        queue: "comparison",
        rate: 4.7,
        tasks: 78,
        cpu: 11_000,
        memory: 59_000,
        work_ms: 9_500,
        gang: false,
    },
];

/// The cost at one size.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FleetRow {
    /// The upstreams.
    pub upstreams: usize,
    /// The jobs submitted.
    pub jobs: u64,
    /// The runs started.
    pub starts: u64,
    /// The share of a core that the scheduler uses, in percent.
    pub core_percent: f64,
    /// The 99th percentile of a step, in milliseconds.
    pub step_ms_p99: f64,
    /// The longest step, in milliseconds.
    pub step_ms_max: f64,
}

/// A simulated upstream.
#[derive(Debug, Default)]
struct Upstream {
    /// Current runs, and when each ends.
    running: Vec<(RunId, u64)>,
    ended: Vec<Ended>,
    ends: u64,
    /// Lease renewals held open as long polls: the mark of each, and when it times out.
    polls: Vec<(u64, u64)>,
}

/// Measures each size.
pub fn run() -> Vec<FleetRow> {
    SIZES.into_iter().map(measure).collect()
}

/// Measures one size.
pub fn measure(upstreams: usize) -> FleetRow {
    let mut fleet = Fleet::new(upstreams);
    let mut steps = Vec::new();
    while fleet.now < DURATION_MS {
        steps.push(fleet.step());
    }
    steps.sort_unstable();
    let all: Duration = steps.iter().sum();
    let ms = |time: Duration| time.as_secs_f64() * 1_000.0;
    let at = |part: usize| {
        steps
            .get(steps.len() * part / 100)
            .copied()
            .unwrap_or_default()
    };
    FleetRow {
        upstreams,
        jobs: fleet.jobs,
        starts: fleet.starts,
        core_percent: all.as_secs_f64() / Duration::from_millis(DURATION_MS).as_secs_f64() * 100.0,
        step_ms_p99: ms(at(99)),
        step_ms_max: ms(steps.last().copied().unwrap_or_default()),
    }
}

struct Fleet {
    scheduler: Scheduler,
    now: u64,
    random: Pcg64,
    upstreams: BTreeMap<Name, Upstream>,
    /// When the next job of each kind arrives.
    next: [f64; KINDS.len()],
    /// Converts jobs per second for 1,100 upstreams to jobs per millisecond for this fleet.
    rate_scale: f64,
    work_ms: HashMap<Name, u64>,
    jobs: u64,
    starts: u64,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let timing = Timing {
            max_lease_ms: 10_000,
            stop_ms: 200,
            keep_ms: 120_000,
            restore_ms: 250,
            upkeep_ms: 2_000,
            advice: false,
            reclaim_ms: 2_700,
            machine_lease_ms: 3_000,
            policy: Policy::default(),
        };
        let mut scheduler = Scheduler::new(timing, 0, 0);
        scheduler.step(0, Event::Config(Arc::new(config())));
        let listings: Vec<Listing> = (0..count).map(listing).collect();
        let upstreams = listings
            .iter()
            .map(|listing| (listing.id.clone(), Upstream::default()));
        let upstreams = upstreams.collect();
        scheduler.step(0, Event::Listed(listings));
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        Self {
            scheduler,
            now: 0,
            random: Pcg64::seed_from_u64(1),
            upstreams,
            next: [0.0; KINDS.len()],
            rate_scale: f64::from(count) / 1_100_000.0,
            work_ms: HashMap::new(),
            jobs: 0,
            starts: 0,
        }
    }

    /// Advances the clock by one step, and returns how long the scheduler took.
    fn step(&mut self) -> Duration {
        self.now += STEP_MS;
        let events = self.events();
        let start = Instant::now();
        for event in events {
            self.scheduler.step(self.now, event);
        }
        let output = self.scheduler.finish(self.now, self.now);
        let took = start.elapsed();
        for effect in output.immediate.into_iter().chain(output.after_store) {
            self.execute(effect);
        }
        took
    }

    /// Returns the events of the last step.
    fn events(&mut self) -> Vec<Event> {
        let now = self.now;
        let mut events = Vec::new();
        for (at, upstream) in &mut self.upstreams {
            let (finished, unfinished) = std::mem::take(&mut upstream.running)
                .into_iter()
                .partition(|(_, end)| *end <= now);
            upstream.running = unfinished;
            let finished: Vec<(RunId, u64)> = finished;
            let any_ended = !finished.is_empty();
            for (run, _) in finished {
                upstream.ends += 1;
                upstream.ended.push(Ended {
                    number: upstream.ends,
                    run,
                    how: How::Done,
                    saved: String::new(),
                });
            }
            let due = |(_, until): &(u64, u64)| any_ended || *until <= now;
            if let Some(position) = upstream.polls.iter().position(due) {
                let (mark, _) = upstream.polls.remove(position);
                events.push(upstream.report(at, mark, now));
            }
        }
        for index in 0..KINDS.len() {
            while self.next[index] <= Duration::from_millis(now).as_secs_f64() * 1_000.0 {
                events.push(self.submit(index));
            }
        }
        events
    }

    fn submit(&mut self, index: usize) -> Event {
        let kind = KINDS[index];
        let urgent = kind.queue == "check";
        let burst = urgent && (BURST.0..BURST.1).contains(&self.now);
        let factor = if burst { BURST.2 } else { 1.0 };
        self.next[index] += 1.0 / (kind.rate * factor * self.rate_scale);
        self.jobs += 1;
        let id = format!("{:016x}", self.jobs);
        let accelerators = match kind.gang {
            true => [1, 2, 4, 8, 8][self.random.random_range(0..5)],
            false => 1,
        };
        let tasks = self.random.random_range(1..=2 * kind.tasks);
        let work = self
            .random
            .random_range(kind.work_ms / 2..=kind.work_ms * 3 / 2);
        self.work_ms.insert(id.as_str().into(), work);
        let step = Step {
            count: tasks,
            cpu: kind.cpu,
            memory: kind.memory,
            accelerators,
            estimate_ms: kind.work_ms,
            gang: kind.gang,
            one_rack: kind.gang && self.random.random_bool(0.7),
            checkpointing: self.random.random_bool(0.45),
            ..Step::default()
        };
        let spec = Spec {
            text: "text".to_owned(),
            steps: vec![step],
            ..Spec::default()
        };
        let what = Call {
            host: "host".to_owned(),
            path: format!("/{}/{id}", kind.queue),
            key: String::new(),
            operation: Operation::Submit(Arc::new(spec)),
            nonce: 0,
        };
        Event::Called {
            call: self.jobs,
            what,
        }
    }

    fn execute(&mut self, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::Start { at, run, .. } => {
                self.starts += 1;
                let work = self.work_ms.get(&run.task.job).copied().unwrap_or(1_000);
                if let Some(upstream) = self.upstreams.get_mut(&at) {
                    upstream.running.push((run.clone(), now + work));
                }
                let event = Event::Started {
                    at,
                    run,
                    answer: Started::Yes,
                    clock: reading(now),
                };
                self.scheduler.step(now, event);
            }
            Effect::Stop { at, run, .. } => {
                if let Some(upstream) = self.upstreams.get_mut(&at) {
                    upstream.stop(&run);
                }
            }
            Effect::Hold {
                at,
                wait_ms,
                mark,
                seen,
                ..
            } => {
                if let Some(upstream) = self.upstreams.get_mut(&at) {
                    upstream.ended.retain(|end| end.number > seen);
                    upstream.polls.push((mark, now + wait_ms.max(STEP_MS)));
                }
            }
            Effect::EndsStored { at, born, number } => {
                self.scheduler
                    .step(now, Event::EndsStored { at, born, number });
            }
            Effect::ClosureStored { job } => self.scheduler.step(now, Event::ClosureStored(job)),
            _ => {}
        }
    }
}

impl Upstream {
    fn report(&self, at: &Name, mark: u64, now: u64) -> Event {
        let running = self.running.iter().map(|(run, _)| RunProgress {
            run: run.clone(),
            saved: String::new(),
            percent: 50,
            metric: 0,
        });
        let report = Report {
            born: 1,
            running: running.collect(),
            ended: self.ended.clone(),
            more: false,
        };
        Event::Held {
            at: at.clone(),
            mark,
            answer: Held::Report(report),
            clock: reading(now),
        }
    }

    /// Stops a run immediately.
    fn stop(&mut self, run: &RunId) {
        let before = self.running.len();
        self.running.retain(|(known, _)| known != run);
        if self.running.len() < before {
            self.ends += 1;
            self.ended.push(Ended {
                number: self.ends,
                run: run.clone(),
                how: How::Stopped,
                saved: String::new(),
            });
        }
    }
}

fn reading(now: u64) -> Option<Reading> {
    Some(Reading {
        clock_ms: now,
        at: now,
    })
}

fn listing(number: usize) -> Listing {
    Listing {
        id: format!("u-{number}").into(),
        addr: format!("10.0.0.1:{number}").into(),
        service: "service".into(),
        centre: "centre".into(),
        born: 1,
        room: ResourceAmounts {
            cpu: 128_000,
            memory: 524_288,
            accelerators: 8,
        },
        labels: vec!["a".into(), format!("r1-{}", number / RACK_UPSTREAMS).into()],
        clock_ms: 0,
        ready: true,
        left_ms: None,
    }
}

fn config() -> Config {
    let queue = |name: &str, priority, stretch, base_ms| {
        Arc::new(Queue {
            name: name.into(),
            host: "host".into(),
            prefix: format!("/{name}/").into(),
            service: "service".into(),
            priority,
            attempts: 3,
            stretch,
            base_ms,
            public: true,
            advice: None,
        })
    };
    Config {
        version: 1,
        queues: vec![
            queue("check", 0, 1.5, 250),
            queue("scan", 1, 3.0, 1_000),
            queue("comparison", 2, 3.0, 3_000),
        ],
        keys: HashMap::new(),
    }
}
