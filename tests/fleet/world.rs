//! A scheduler with test doubles of its upstreams and store; time advances only when the test
//! advances it.

mod carry;
mod crash;

use super::advisor;
use super::advisor::Advisor;
use super::cloud::Cloud;
use super::fake::Behaviour;
use super::fake::FakeUpstream;
use super::fake::WARM_MS;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use trefoilgauge::fleet::Effect;
use trefoilgauge::fleet::Event;
use trefoilgauge::fleet::Scheduler;
use trefoilgauge::fleet::event::Call;
use trefoilgauge::fleet::event::Held;
use trefoilgauge::fleet::event::Operation;
use trefoilgauge::fleet::event::Phase;
use trefoilgauge::fleet::event::Reply;
use trefoilgauge::fleet::leases::Takeover;
use trefoilgauge::fleet::model::Advice;
use trefoilgauge::fleet::model::Config;
use trefoilgauge::fleet::model::Listing;
use trefoilgauge::fleet::model::Queue;
use trefoilgauge::fleet::model::ResourceAmounts;
use trefoilgauge::fleet::model::RunId;
use trefoilgauge::fleet::model::Spec;
use trefoilgauge::fleet::model::Step;
use trefoilgauge::fleet::model::TaskId;
use trefoilgauge::fleet::model::Workspace;
use trefoilgauge::fleet::row::Row;
use trefoilgauge::fleet::timing::Policy;
use trefoilgauge::fleet::timing::Timing;
use trefoilgauge::fleet::token::EPOCH_STEP;
use trefoilgauge::prelude::*;

/// The time of day at time 0 of a world, Unix milliseconds.
pub(crate) const WALL_MS: u64 = 1_700_000_000_000;
/// How long the adapter waits for a report beyond the requested wait, in milliseconds.
const HOLD_TIMEOUT_MS: u64 = 600;
/// The step in which time advances, in milliseconds.
const STEP_MS: u64 = 10;

/// A run that began, with its upstream and time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Begun {
    pub run: RunId,
    pub at: Name,
    pub time: u64,
}

/// The scheduler and its simulated environment.
pub(crate) struct World {
    pub scheduler: Scheduler,
    pub now: u64,
    pub rows: BTreeMap<String, Vec<u8>>,
    /// The number of learned rows that were stored, and their bytes.
    pub learned: (usize, usize),
    /// The decisions under load of the next leaders.
    pub policy: Policy,
    /// The epoch of the present leader.
    pub epoch: u64,
    /// The configuration in force.
    pub config: Arc<Config>,
    pub upstreams: BTreeMap<Name, FakeUpstream>,
    pub begun: Vec<Begun>,
    /// The number of orders to pace a run.
    pub paces: u32,
    /// Whether the next order to pace a run is lost.
    pub lose_pace: bool,
    /// The jobs of the queue that needs advice.
    guarded: HashSet<Name>,
    /// The jobs whose only step is a gang.
    gangs: HashSet<Name>,
    /// The starts that were declined because they had no valid ticket.
    pub unadvised: u32,
    pub advisor: Advisor,
    pub cloud: Cloud,
    /// The announcements of maintenance waves: the wave, and whether it is completed.
    pub announced: Vec<(u64, bool)>,
    pub store_down: bool,
    pub work_ms: HashMap<String, u64>,
    /// The jobs whose single tasks keep the progress of runs that are stopped.
    pub resuming: HashSet<String>,
    /// How long each of their tasks has worked in earlier runs, in milliseconds.
    pub worked: HashMap<TaskId, u64>,
    pub crashes: crash::Crashes,
    /// What the tasks of each step of each job use.
    needs: HashMap<Name, Vec<ResourceAmounts>>,
    /// The starts that brought an upstream over its capacity.
    pub overfull: Vec<Begun>,
    replies: HashMap<u64, Reply>,
    held_back: Vec<(Vec<Row>, Vec<Effect>)>,
    calls: u64,
}

/// The first leader.
pub(crate) const FIRST: Takeover = Takeover {
    epoch: EPOCH_STEP,
    order_ms: 7_000,
    ended: true,
};
/// A leader whose predecessor may still send orders.
pub(crate) const LATER: Takeover = Takeover {
    epoch: 2 * EPOCH_STEP,
    order_ms: 7_000,
    ended: false,
};

/// The time limits of all worlds.
pub(crate) fn timing() -> Timing {
    Timing {
        max_lease_ms: 10_000,
        stop_ms: 200,
        keep_ms: 120_000,
        restore_ms: 600,
        upkeep_ms: 2_000,
        advice: true,
        reclaim_ms: 2_700,
        machine_lease_ms: 3_000,
        policy: Policy::default(),
    }
}

/// A queue of each priority, one that needs advice, and two workspaces.
pub(crate) fn config(version: u64, guaranteed: u64) -> Config {
    let queue = |name: &str, priority, stretch, base_ms| {
        Arc::new(Queue {
            name: name.into(),
            host: "host".into(),
            prefix: format!("/{name}/").into(),
            service: "service".into(),
            priority,
            attempts: 2,
            stretch,
            base_ms,
            public: false,
            advice: None,
        })
    };
    let guarded = Arc::new(Queue {
        advice: Some(Advice {
            decide_ms: 50,
            each_ms: 5,
            valid_ms: Some(advisor::VALID_MS),
        }),
        ..(*queue("guarded", 1, 3.0, 1_000)).clone()
    });
    let workspace = |name: &str| {
        Arc::new(Workspace {
            name: name.into(),
            guaranteed,
            weight: 1,
        })
    };
    Config {
        version,
        queues: vec![
            queue("urgent", 0, 1.5, 250),
            queue("scan", 1, 3.0, 1_000),
            queue("batch", 2, 3.0, 3_000),
            guarded,
        ],
        keys: HashMap::from([
            ("key-a".to_owned(), workspace("a")),
            ("key-b".to_owned(), workspace("b")),
        ]),
    }
}

/// A step of `count` tasks with `accelerators` each.
pub(crate) fn step(count: u32, accelerators: u64, estimate_ms: u64) -> Step {
    Step {
        count,
        cpu: 1_000,
        memory: 1_000,
        accelerators,
        estimate_ms,
        ..Step::default()
    }
}

/// A gang on one rack.
pub(crate) fn gang(count: u32, accelerators: u64, estimate_ms: u64) -> Step {
    Step {
        gang: true,
        one_rack: true,
        ..step(count, accelerators, estimate_ms)
    }
}

impl World {
    /// Creates a world of `racks` racks with `each` upstreams of 8 accelerators.
    pub(crate) fn new(racks: u32, each: u32) -> Self {
        let now = 1_000;
        let scheduler = Scheduler::load(timing(), Vec::new(), now, WALL_MS + now, FIRST);
        let mut world = Self {
            scheduler,
            now,
            rows: BTreeMap::new(),
            learned: (0, 0),
            policy: Policy::default(),
            epoch: FIRST.epoch,
            config: Arc::new(config(1, 16)),
            upstreams: BTreeMap::new(),
            begun: Vec::new(),
            paces: 0,
            lose_pace: false,
            guarded: HashSet::new(),
            gangs: HashSet::new(),
            unadvised: 0,
            advisor: Advisor::default(),
            cloud: Cloud::default(),
            announced: Vec::new(),
            store_down: false,
            work_ms: HashMap::new(),
            resuming: HashSet::new(),
            worked: HashMap::new(),
            crashes: crash::Crashes::default(),
            needs: HashMap::new(),
            overfull: Vec::new(),
            replies: HashMap::new(),
            held_back: Vec::new(),
            calls: 0,
        };
        for rack in 0..racks {
            for number in 0..each {
                let fake = FakeUpstream::new(&format!("u-{rack}-{number}"), rack);
                world.cloud.add(&fake.listing.id);
                world.upstreams.insert(fake.listing.id.clone(), fake);
            }
        }
        world.tell(Event::Config(world.config.clone()));
        world.list();
        world
    }

    /// Sends the scheduler the discovery entries of all upstreams.
    pub(crate) fn list(&mut self) {
        let now = self.now;
        let here = self.upstreams.values();
        let here = here.filter(|fake| fake.leaves.is_none_or(|leaves| leaves > now));
        let listings = here.map(|fake| Listing {
            clock_ms: fake.clock(now),
            ..fake.listing.clone()
        });
        let listings = listings.collect();
        self.tell(Event::Listed(listings));
    }

    /// Announces that an upstream leaves in `ms`; work that still runs there then is lost.
    pub(crate) fn leave(&mut self, at: &Name, ms: u64) {
        let now = self.now;
        let fake = self.upstreams.get_mut(at).unwrap();
        fake.listing.ready = false;
        fake.listing.left_ms = Some(ms);
        fake.leaves = Some(now + ms);
        self.list();
    }

    /// Restarts an upstream under its identity; discovery does not show it before
    /// [`World::list`].
    pub(crate) fn restart(&mut self, at: &Name) {
        let now = self.now;
        let lost = self.upstreams.get_mut(at).unwrap().restart(now);
        self.lose_holds(at, &lost, Held::Silent);
    }

    /// Replaces an upstream by another one at its address.
    pub(crate) fn replace(&mut self, at: &Name) {
        let now = self.now;
        let fake = self.upstreams.get_mut(at).unwrap();
        let lost = fake.restart(now);
        fake.behaviour = Behaviour::Replaced;
        self.lose_holds(at, &lost, Held::OtherLife);
    }

    fn lose_holds(&mut self, at: &Name, marks: &[u64], answer: Held) {
        for &mark in marks {
            self.tell(Event::Held {
                at: at.clone(),
                mark,
                answer: answer.clone(),
                clock: None,
            });
        }
    }

    /// Replaces the scheduler by that of a new leader, which loads the stored rows.
    pub(crate) fn take_over(&mut self) {
        self.held_back.clear();
        let rows = self.rows.iter().map(|(key, value)| Row {
            key: key.clone(),
            value: value.clone(),
        });
        let rows = rows.collect();
        for fake in self.upstreams.values_mut() {
            fake.holds.clear();
        }
        self.epoch += EPOCH_STEP;
        let takeover = Takeover {
            epoch: self.epoch,
            ..LATER
        };
        let timing = Timing {
            policy: self.policy,
            ..timing()
        };
        self.scheduler = Scheduler::load(timing, rows, self.now, WALL_MS + self.now, takeover);
        self.tell(Event::Config(self.config.clone()));
        self.list();
    }

    /// Puts a new version of the configuration in force, changed by `change`.
    pub(crate) fn configure(&mut self, change: impl FnOnce(&mut Config)) {
        let mut config = (*self.config).clone();
        config.version += 1;
        change(&mut config);
        self.config = Arc::new(config);
        self.tell(Event::Config(self.config.clone()));
    }

    /// Submits a job with these steps and returns the reply.
    pub(crate) fn submit(
        &mut self,
        queue: &str,
        key: &str,
        id: u64,
        steps: Vec<Step>,
    ) -> Option<Reply> {
        let spec = Spec {
            steps,
            ..Spec::default()
        };
        self.submit_spec(queue, key, id, spec)
    }

    /// Submits a job with this specification and returns the reply.
    pub(crate) fn submit_spec(
        &mut self,
        queue: &str,
        key: &str,
        id: u64,
        spec: Spec,
    ) -> Option<Reply> {
        if let [step] = &spec.steps[..]
            && step.gang
        {
            self.gangs.insert(format!("{id:016x}").into());
        }
        let needs = spec.steps.iter().map(Step::need);
        self.needs
            .insert(format!("{id:016x}").into(), needs.collect());
        let spec = Spec {
            text: "text".to_owned(),
            ..spec
        };
        self.call(queue, key, id, Operation::Submit(Arc::new(spec)))
    }

    /// Makes a call and returns the reply, if it is immediate.
    pub(crate) fn call(
        &mut self,
        queue: &str,
        key: &str,
        id: u64,
        operation: Operation,
    ) -> Option<Reply> {
        if queue == "guarded" {
            self.guarded.insert(format!("{id:016x}").into());
        }
        self.call_path(&format!("/{queue}/{id:016x}"), key, operation)
    }

    /// Makes a call by its path and returns the reply, if it is immediate.
    pub(crate) fn call_path(
        &mut self,
        path: &str,
        key: &str,
        operation: Operation,
    ) -> Option<Reply> {
        self.calls += 1;
        let call = self.calls;
        let what = Call {
            host: "host".to_owned(),
            path: path.to_owned(),
            key: key.to_owned(),
            operation,
            nonce: 0,
        };
        self.tell(Event::Called { call, what });
        self.replies.remove(&call)
    }

    /// Returns the state of a job that callers see.
    pub(crate) fn phase(&mut self, queue: &str, id: u64) -> Option<Phase> {
        match self.call(queue, "key-a", id, Operation::State) {
            Some(Reply::State(phase)) => Some(phase),
            _ => None,
        }
    }

    /// Returns the number of jobs that wait in a queue.
    pub(crate) fn waiting(&mut self, queue: &str) -> u64 {
        self.calls += 1;
        let call = self.calls;
        let what = Call {
            host: "host".to_owned(),
            path: format!("/{queue}/"),
            key: "key-a".to_owned(),
            operation: Operation::State,
            nonce: 0,
        };
        self.tell(Event::Called { call, what });
        match self.replies.remove(&call) {
            Some(Reply::Waiting(count)) => count,
            other => panic!("{other:?}"),
        }
    }

    /// Passes an event to the scheduler, and carries out the effects.
    pub(crate) fn tell(&mut self, event: Event) {
        self.scheduler.step(self.now, event);
        self.run_effects();
    }

    /// Ends an outage of the store: commits the rows and carries out the effects that waited.
    pub(crate) fn store_up(&mut self) {
        self.store_down = false;
        for (rows, gated) in std::mem::take(&mut self.held_back) {
            self.commit(rows, gated);
        }
        self.run_effects();
    }

    /// Advances the time by `ms`.
    pub(crate) fn pass(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.advance_upstreams();
            if let Some(event) = self.advisor.answer(self.now) {
                self.scheduler.step(self.now, event);
            }
            self.answer_holds();
            self.run_effects();
        }
    }

    /// Returns the report for the renewal in progress at `at`, as of now, but without job `id`.
    pub(crate) fn report_without(&mut self, at: &Name, id: u64) -> Event {
        let job = format!("{id:016x}");
        let fake = self.upstreams.get_mut(at).unwrap();
        let (mark, _) = fake.holds.remove(0);
        let mut report = fake.report(self.now);
        report.running.retain(|work| *work.run.task.job != *job);
        report.ended.clear();
        Event::Held {
            at: at.clone(),
            mark,
            answer: Held::Report(report),
            clock: None,
        }
    }

    /// Returns the runs of a job that are running on upstreams now.
    pub(crate) fn at_work(&self, id: u64) -> Vec<(TaskId, u32, Name)> {
        let job = format!("{id:016x}");
        let mut found = Vec::new();
        for (name, fake) in &self.upstreams {
            for (task, run) in &fake.running {
                if *task.job == *job {
                    found.push((task.clone(), run.number, name.clone()));
                }
            }
        }
        found
    }

    /// Returns how many runs of a job have begun.
    pub(crate) fn runs_begun(&self, id: u64) -> usize {
        let job = format!("{id:016x}");
        let begun = self.begun.iter();
        begun.filter(|begun| *begun.run.task.job == *job).count()
    }

    /// Returns whether the process of an upstream was told to stop the first run of a job.
    pub(crate) fn is_barred(&self, at: &Name, id: u64) -> bool {
        let job = format!("{id:016x}");
        let mut barred = self.upstreams[at].barred.iter();
        barred.any(|(task, number)| *task.job == *job && *number >= 1)
    }

    /// Returns how many tasks of a long-running job are fully at work.
    pub(crate) fn serving(&self, id: u64) -> usize {
        let job = format!("{id:016x}");
        let all = self.upstreams.values().flat_map(|fake| &fake.running);
        let warm = all.filter(|(task, run)| *task.job == *job && run.start + WARM_MS <= self.now);
        warm.count()
    }

    /// Panics if two runs of one task are running.
    pub(crate) fn assert_single(&self) {
        let mut seen = HashSet::new();
        for fake in self.upstreams.values() {
            for task in fake.running.keys() {
                assert!(seen.insert(task.clone()), "{task:?} runs twice");
            }
        }
    }
}
