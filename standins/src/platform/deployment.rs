//! The deployments: their sizes, kinds of work and workspaces.

use crate::runner::ServiceTime;
use trefoilgauge::model::Adjacency;
use trefoilgauge::model::Guarantee;
use trefoilgauge::model::Kind;
use trefoilgauge::model::Priority;
use trefoilgauge::model::Shape;
use trefoilgauge::model::Workspace;
use trefoilgauge::prelude::Name;

/// The pool of runners of every deployment.
pub const POOL: &str = "main";

/// A kind of work with its actual service time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KindProfile {
    /// The kind.
    pub kind: Kind,
    /// The actual service time at a runner.
    pub service: ServiceTime,
}

/// A deployment's size, kinds of work and workspaces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Deployment {
    /// Its name.
    pub name: Name,
    /// Its data centres.
    pub centres: Vec<Name>,
    /// The number of runners.
    pub runners: u32,
    /// The number of workers.
    pub workers: u32,
    /// The number of workers per rack.
    pub per_rack: u32,
    /// The number of accelerators per worker.
    pub accelerators: u32,
    /// The number of cores per worker.
    pub cores: u32,
    /// The memory per worker, in gigabytes.
    pub memory_gb: u32,
    /// The kinds of work.
    pub kinds: Vec<KindProfile>,
    /// The workspaces.
    pub workspaces: Vec<Workspace>,
    /// The weight of completion time against fragmentation, in percent.
    pub completion: u32,
}

impl Deployment {
    /// The Instituto's scoring service.
    pub fn instituto() -> Self {
        Self {
            name: "instituto".into(),
            centres: centres("coast"),
            runners: 50,
            workers: 50,
            per_rack: 8,
            accelerators: 8,
            cores: 130,
            memory_gb: 250,
            kinds: instituto_kinds(),
            workspaces: vec![
                workspace("scoring", 256, &INSTITUTO, &[rack(32, 1), worker(8, 4)]),
                workspace("judging", 192, &INSTITUTO, &[rack(16, 2), worker(8, 2)]),
                workspace("festival", 64, &INSTITUTO, &[worker(8, 2)]),
                workspace("archive", 64, &INSTITUTO, &[worker(4, 2)]),
            ],
            completion: 75,
        }
    }

    /// Atlas Grille's building service.
    pub fn atlas() -> Self {
        Self {
            name: "atlas".into(),
            centres: centres("casablanca"),
            cores: 60,
            memory_gb: 130,
            kinds: atlas_kinds(),
            workspaces: vec![
                workspace("accountants", 256, &ATLAS, &[rack(32, 2), worker(8, 2)]),
                workspace("cooperatives", 192, &ATLAS, &[rack(16, 2), worker(8, 2)]),
                workspace("schools", 64, &ATLAS, &[worker(8, 2)]),
                workspace("templates", 64, &ATLAS, &[worker(4, 2)]),
            ],
            completion: 25,
            ..Self::instituto()
        }
    }

    /// A small deployment for tests, with the kinds of both others at a tenth of their service
    /// times.
    pub fn small() -> Self {
        let mut kinds = instituto_kinds();
        kinds.extend(atlas_kinds());
        for kind in &mut kinds {
            kind.service.min_ms /= 10;
            kind.service.max_ms /= 10;
        }
        let all = [&INSTITUTO[..], &ATLAS[..]].concat();
        Self {
            name: "small".into(),
            runners: 6,
            workers: 8,
            per_rack: 4,
            kinds,
            workspaces: vec![
                workspace("scoring", 64, &all, &[rack(16, 1)]),
                workspace("judging", 64, &all, &[worker(8, 1)]),
                workspace("festival", 32, &all, &[worker(8, 1)]),
                workspace("archive", 32, &all, &[worker(4, 1)]),
            ],
            ..Self::instituto()
        }
    }

    /// Returns the deployment with this name.
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "instituto" => Some(Self::instituto()),
            "atlas" => Some(Self::atlas()),
            "small" => Some(Self::small()),
            _ => None,
        }
    }

    /// Returns the data centre of the runner or rack with this index; they are spread round-robin.
    pub fn centre(&self, number: u32) -> Name {
        self.centres[number as usize % self.centres.len()].clone()
    }
}

const INSTITUTO: [&str; 4] = [
    "relief_scan",
    "quick_check",
    "erosion_comparison",
    "entry_submission",
];
const ATLAS: [&str; 3] = ["annual_ledger", "quick_invoice", "payroll_batch"];

fn instituto_kinds() -> Vec<KindProfile> {
    vec![
        kind("relief_scan", Priority::Normal, 120_000, (2_000, 6_000)).idempotent(true),
        kind("quick_check", Priority::Urgent, 5_000, (80, 240)).idempotent(false),
        kind("erosion_comparison", Priority::Patient, 300_000, (300, 900)).idempotent(false),
        kind("entry_submission", Priority::Normal, 15_000, (100, 300)),
    ]
}

fn atlas_kinds() -> Vec<KindProfile> {
    vec![
        kind("annual_ledger", Priority::Normal, 120_000, (2_000, 5_000)).idempotent(true),
        kind("quick_invoice", Priority::Urgent, 15_000, (100, 300)),
        kind("payroll_batch", Priority::Patient, 300_000, (800, 2_500)),
    ]
}

fn kind(name: &str, priority: Priority, deadline_ms: u64, service: (u64, u64)) -> KindProfile {
    let (min_ms, max_ms) = service;
    KindProfile {
        kind: Kind {
            name: name.into(),
            pool: POOL.into(),
            priority,
            idempotent: false,
            checkpoint: false,
            deadline_ms,
            attempts: 3,
            service_ms: min_ms.midpoint(max_ms),
        },
        service: ServiceTime { min_ms, max_ms },
    }
}

impl KindProfile {
    fn idempotent(mut self, checkpoint: bool) -> Self {
        self.kind.idempotent = true;
        self.kind.checkpoint = checkpoint;
        self
    }
}

fn centres(prefix: &str) -> Vec<Name> {
    let numbers = 1..=3;
    numbers.map(|i| format!("{prefix}-{i}").into()).collect()
}

fn workspace(name: &str, quota: u32, kinds: &[&str], guarantees: &[Guarantee]) -> Workspace {
    Workspace {
        name: name.into(),
        guarantees: guarantees.to_vec(),
        quota,
        kinds: kinds.iter().map(|kind| Name::from(*kind)).collect(),
    }
}

fn rack(accelerators: u32, count: u32) -> Guarantee {
    guarantee(accelerators, Adjacency::Rack, count)
}

fn worker(accelerators: u32, count: u32) -> Guarantee {
    guarantee(accelerators, Adjacency::Worker, count)
}

fn guarantee(accelerators: u32, adjacency: Adjacency, count: u32) -> Guarantee {
    Guarantee {
        shape: Shape {
            accelerators,
            adjacency,
        },
        count,
    }
}
