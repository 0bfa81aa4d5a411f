//! What operators configure: workspaces, their guaranteed shapes, kinds of work, pools and racks.

use crate::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// How close the accelerators of a shape or gang must be to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Adjacency {
    /// All on one worker.
    Worker,
    /// All in one rack.
    Rack,
    /// All in one data centre.
    Centre,
    /// Anywhere.
    Any,
}

/// The texts that stand for each adjacency in records.
pub const ADJACENCIES: [(&str, Adjacency); 4] = [
    ("worker", Adjacency::Worker),
    ("rack", Adjacency::Rack),
    ("centre", Adjacency::Centre),
    ("any", Adjacency::Any),
];

/// A number of accelerators that must be adjacent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shape {
    /// How many accelerators.
    pub accelerators: u32,
    /// How close they must be.
    pub adjacency: Adjacency,
}

/// A shape that a workspace can always have, some number of times at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guarantee {
    /// The shape.
    pub shape: Shape,
    /// How many of it at once.
    pub count: u32,
}

/// A customer of the system, with what it is guaranteed and what it may submit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: Name,
    /// What it can always reclaim.
    pub guarantees: Vec<Guarantee>,
    /// The most accelerators that it may hold at once, borrowed ones included.
    pub quota: u32,
    /// The kinds of work that it may submit.
    pub kinds: Vec<Name>,
}

/// How pressing a kind of work is; earlier variants go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Must start within seconds.
    Urgent,
    /// Ordinary work.
    Normal,
    /// Work that can wait.
    Patient,
}

/// The texts that stand for each priority in records.
pub const PRIORITIES: [(&str, Priority); 3] = [
    ("urgent", Priority::Urgent),
    ("normal", Priority::Normal),
    ("patient", Priority::Patient),
];

/// A kind of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kind {
    /// Its name.
    pub name: Name,
    /// The pool of runners that serves its requests.
    pub pool: Name,
    /// How pressing it is.
    pub priority: Priority,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether a gang of it can be checkpointed and resumed.
    pub checkpoint: bool,
    /// The time in which a request must be answered, in milliseconds, if the caller names none.
    pub deadline_ms: u64,
    /// The most tries of one request.
    pub attempts: u32,
    /// The expected service time of a request, in milliseconds, until some were observed.
    pub service_ms: u64,
}

/// An upstream that serves requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runner {
    /// Its name.
    pub name: Name,
    /// Its data centre.
    pub centre: Name,
    /// Its address, `IP:port`.
    pub addr: Name,
}

/// A group of upstreams that serve the same kinds of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Its name.
    pub name: Name,
    /// The requests that one runner serves at once.
    pub slots: u32,
    /// The connections that one runner accepts, over all VMs.
    pub connections: u32,
    /// The upstreams.
    pub runners: Vec<Runner>,
}

/// A worker of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Its name.
    pub name: Name,
    /// Its address, `IP:port`.
    pub addr: Name,
    /// Its accelerators; at most 64.
    pub accelerators: u32,
    /// Its processor cores.
    pub cores: u32,
    /// Its memory in gigabytes.
    pub memory_gb: u32,
}

/// Workers that share a rack, and so a switch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rack {
    /// Its name.
    pub name: Name,
    /// Its data centre.
    pub centre: Name,
    /// Its workers, in the order of their places.
    pub workers: Vec<Worker>,
}

/// How completion time and fragmentation are weighed against each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weights {
    /// The weight of completion time, in percent; the rest is that of fragmentation.
    pub completion: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self { completion: 50 }
    }
}

/// One configured object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Object {
    /// A workspace.
    Workspace(Workspace),
    /// A kind of work.
    Kind(Kind),
    /// A pool of upstreams.
    Pool(Pool),
    /// A rack of workers.
    Rack(Rack),
    /// The policy's weights.
    Weights(Weights),
}

/// A gang: work that runs on all of its members or on none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Its identifier, unique for good.
    pub id: Name,
    /// The workspace that submitted it.
    pub workspace: Name,
    /// The kind of work.
    pub kind: Name,
    /// How many members it has.
    pub members: u32,
    /// The accelerators of one member, all on one worker; may be 0.
    pub accelerators: u32,
    /// The processor cores of one member.
    pub cores: u32,
    /// The memory of one member in gigabytes.
    pub memory_gb: u32,
    /// How close the members must be to each other.
    pub adjacency: Adjacency,
    /// The run time that the caller declared, in milliseconds; often far off.
    pub run_ms: u64,
}
