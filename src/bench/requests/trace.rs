//! Request traces: arrivals, service times and runner faults.

use crate::bench::Deployment;
use crate::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// The runners of a deployment.
pub const RUNNERS: usize = 50;
/// The requests that one runner serves at once.
pub const SLOTS: u32 = 8;
/// The entry VMs of a deployment.
pub const VMS: usize = 7;

/// The standard deviation of the logarithm of service times.
const LOG_STD_DEV: f64 = 0.6;

/// A kind of work and its real behaviour.
#[derive(Debug, Clone, Copy)]
pub struct Spec {
    /// Its name.
    pub name: &'static str,
    /// Its configured priority.
    pub priority: &'static str,
    /// Whether it is idempotent.
    pub idempotent: bool,
    /// Its deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Its mean service time, in milliseconds.
    pub mean_ms: u64,
    /// Its share of all the work, in percent of service time.
    pub share_pct: u64,
}

const INSTITUTO: [Spec; 3] = [
    Spec {
        name: "quick_check",
        priority: "urgent",
        idempotent: false,
        deadline_ms: 5_000,
        mean_ms: 300,
        share_pct: 20,
    },
    Spec {
        name: "erosion_comparison",
        priority: "patient",
        idempotent: true,
        deadline_ms: 120_000,
        mean_ms: 1_500,
        share_pct: 35,
    },
    Spec {
        name: "relief_scan",
        priority: "patient",
        idempotent: true,
        deadline_ms: 300_000,
        mean_ms: 8_000,
        share_pct: 45,
    },
];

const ATLAS: [Spec; 3] = [
    Spec {
        name: "quick_invoice",
        priority: "urgent",
        idempotent: false,
        deadline_ms: 10_000,
        mean_ms: 500,
        share_pct: 25,
    },
    Spec {
        name: "annual_ledger",
        priority: "normal",
        idempotent: true,
        deadline_ms: 300_000,
        mean_ms: 6_000,
        share_pct: 45,
    },
    Spec {
        name: "payroll_batch",
        priority: "patient",
        idempotent: true,
        deadline_ms: 300_000,
        mean_ms: 3_000,
        share_pct: 30,
    },
];

/// Returns the kinds of a deployment.
pub fn kinds(deployment: Deployment) -> &'static [Spec] {
    match deployment {
        Deployment::Instituto => &INSTITUTO,
        Deployment::Atlas => &ATLAS,
    }
}

/// How a runner fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It serves normally.
    None,
    /// It responds immediately with an error.
    Error,
    /// It refuses connections.
    Unreachable,
    /// It takes four times as long to serve a request.
    Slow,
    /// It accepts the request and closes the connection without a response.
    Disconnect,
}

/// A part of a trace.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    /// Its length, in milliseconds.
    pub len_ms: u64,
    /// The work that arrives, in percent of the capacity of all slots.
    pub load_pct: u64,
    /// Whether a few runners fail, each in its own way.
    pub faults: bool,
    /// Whether every runner closes every connection without a response.
    pub outage: bool,
}

impl Phase {
    /// Returns a phase without faults.
    pub const fn without_faults(len_ms: u64, load_pct: u64) -> Self {
        Self {
            len_ms,
            load_pct,
            faults: false,
            outage: false,
        }
    }
}

/// The default trace: steady load, a burst, steady load, faults, steady load.
pub const USUAL: [Phase; 5] = [
    Phase::without_faults(60_000, 70),
    Phase::without_faults(30_000, 160),
    Phase::without_faults(60_000, 60),
    Phase {
        len_ms: 30_000,
        load_pct: 70,
        faults: true,
        outage: false,
    },
    Phase::without_faults(30_000, 70),
];

/// One request of a trace.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// When it arrives, in milliseconds.
    pub at_ms: u64,
    /// Its kind, as an index into [`kinds`].
    pub kind: usize,
    /// The entry VM that the load balancer sends it to.
    pub vm: usize,
    /// Its service time, in milliseconds.
    pub service_ms: u64,
}

/// A trace of requests and runner faults.
#[derive(Debug, Clone)]
pub struct Trace {
    /// The kinds of work.
    pub kinds: &'static [Spec],
    /// The phases.
    pub phases: Vec<Phase>,
    /// The requests, in the order of arrival.
    pub jobs: Vec<Job>,
}

impl Trace {
    /// Generates the trace of a seed.
    pub fn generate(deployment: Deployment, seed: u64, phases: &[Phase]) -> Self {
        let kinds = kinds(deployment);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut jobs = Vec::new();
        for (kind, spec) in kinds.iter().enumerate() {
            let mut start_ms = 0;
            for phase in phases {
                add_jobs(&mut jobs, &mut rng, kind, spec, phase, start_ms);
                start_ms += phase.len_ms;
            }
        }
        jobs.sort_by_key(|job| job.at_ms);
        Self {
            kinds,
            phases: phases.to_vec(),
            jobs,
        }
    }

    /// Returns when the last phase ends, in milliseconds.
    pub fn len_ms(&self) -> u64 {
        self.phases.iter().map(|phase| phase.len_ms).sum()
    }

    /// Returns the fault of a runner at a time.
    pub fn fault(&self, runner: usize, at_ms: u64) -> Fault {
        let mut end_ms = 0;
        for phase in &self.phases {
            end_ms += phase.len_ms;
            if at_ms >= end_ms {
                continue;
            }
            return match runner {
                _ if phase.outage => Fault::Disconnect,
                0..=3 if phase.faults => Fault::Error,
                4..=5 if phase.faults => Fault::Unreachable,
                6..=7 if phase.faults => Fault::Slow,
                8 if phase.faults => Fault::Disconnect,
                _ => Fault::None,
            };
        }
        Fault::None
    }

    /// Returns the configuration records of the deployment.
    pub fn changes(&self) -> Vec<String> {
        let runner = |i: usize| {
            let centre = i % 3 + 1;
            format!(r#"{{"name":"s{i}","centre":"centre-{centre}","addr":"127.0.0.1:9"}}"#)
        };
        let runners: Vec<String> = (0..RUNNERS).map(runner).collect();
        let body = format!(r#"{{"slots":{SLOTS},"runners":[{}]}}"#, runners.join(","));
        let mut changes = vec![change("pool/runners", &body)];
        for spec in self.kinds {
            let body = format!(
                r#"{{"pool":"runners","priority":"{}","idempotent":{},"deadline_ms":{},"service_ms":{}}}"#,
                spec.priority, spec.idempotent, spec.deadline_ms, spec.mean_ms
            );
            changes.push(change(&format!("kind/{}", spec.name), &body));
        }
        let names: Vec<String> = self
            .kinds
            .iter()
            .map(|spec| format!("{:?}", spec.name))
            .collect();
        let body = format!(r#"{{"quota":8,"kinds":[{}]}}"#, names.join(","));
        changes.push(change("workspace/w", &body));
        changes
    }
}

/// Returns the name of a runner.
pub fn runner_name(runner: usize) -> Name {
    format!("s{runner}").into()
}

/// Returns the number in the name of a runner or request, which follows a one-letter prefix.
pub fn number_in(name: &str) -> Option<usize> {
    name.get(1..)?.parse().ok()
}

fn change(object: &str, body: &str) -> String {
    let id = object.replace('/', "-");
    format!(r#"{{"schema":2,"change":"{id}","object":"{object}","replaces":0,"body":{body}}}"#)
}

fn add_jobs(
    jobs: &mut Vec<Job>,
    rng: &mut Pcg64Mcg,
    kind: usize,
    spec: &Spec,
    phase: &Phase,
    start_ms: u64,
) {
    let slots = RUNNERS as f64 * f64::from(SLOTS);
    let work = slots * (phase.load_pct * spec.share_pct) as f64 / 10_000.0;
    let gap_ms = spec.mean_ms as f64 / work;
    let mut at_ms = start_ms as f64;
    let end_ms = (start_ms + phase.len_ms) as f64;
    loop {
        at_ms -= gap_ms * uniform(rng).ln();
        if at_ms >= end_ms {
            return;
        }
        jobs.push(Job {
            at_ms: at_ms as u64,
            kind,
            vm: rng.random_range(0..VMS),
            service_ms: service_ms(rng, spec.mean_ms),
        });
    }
}

/// Draws from a log-normal distribution with the given mean.
fn service_ms(rng: &mut Pcg64Mcg, mean_ms: u64) -> u64 {
    let angle = std::f64::consts::TAU * uniform(rng);
    let normal = (-2.0 * uniform(rng).ln()).sqrt() * angle.cos();
    let factor = (LOG_STD_DEV * normal - LOG_STD_DEV * LOG_STD_DEV / 2.0).exp();
    ((mean_ms as f64 * factor) as u64).max(1)
}

fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    1.0 - rng.random::<f64>()
}
