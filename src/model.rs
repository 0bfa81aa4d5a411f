//! The objects that operators configure: workspaces with their guaranteed shapes, kinds of work,
//! pools and racks.

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

/// The serialised form of each adjacency.
pub const ADJACENCIES: [(&str, Adjacency); 4] = [
    ("worker", Adjacency::Worker),
    ("rack", Adjacency::Rack),
    ("centre", Adjacency::Centre),
    ("any", Adjacency::Any),
];

/// A number of accelerators with an adjacency constraint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shape {
    /// The number of accelerators.
    pub accelerators: u32,
    /// The adjacency that they must satisfy.
    pub adjacency: Adjacency,
}

/// A shape that is guaranteed to a workspace, `count` times at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guarantee {
    /// The shape.
    pub shape: Shape,
    /// How many such shapes are guaranteed at the same time.
    pub count: u32,
}

/// A workspace: its guarantees, its quota and the kinds of work that it may submit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: Name,
    /// The shapes that it can always reclaim.
    pub guarantees: Vec<Guarantee>,
    /// The maximum number of accelerators that it may hold at once, including borrowed ones.
    pub quota: u32,
    /// The kinds of work that it may submit.
    pub kinds: Vec<Name>,
}

/// The priority of a kind of work; earlier variants are scheduled first.
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

/// The serialised form of each priority.
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
    /// The pool whose runners serve its requests.
    pub pool: Name,
    /// Its scheduling priority.
    pub priority: Priority,
    /// Whether it can safely be run more than once.
    pub idempotent: bool,
    /// Whether a gang of it can be checkpointed and resumed.
    pub checkpoint: bool,
    /// The default deadline of a request, in milliseconds, if the caller sets none.
    pub deadline_ms: u64,
    /// The maximum number of tries for one request.
    pub attempts: u32,
    /// The assumed service time of a request, in milliseconds, until there are observations.
    pub service_ms: u64,
}

/// A runner: an upstream that serves requests.
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
    /// The number of requests that one runner serves concurrently.
    pub slots: u32,
    /// The maximum number of connections to one runner, summed over all VMs.
    pub connections: u32,
    /// The runners of the pool.
    pub runners: Vec<Runner>,
}

/// A worker of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Its name.
    pub name: Name,
    /// Its address, `IP:port`.
    pub addr: Name,
    /// The number of its accelerators; at most 64.
    pub accelerators: u32,
    /// The number of its processor cores.
    pub cores: u32,
    /// Its memory in gigabytes.
    pub memory_gb: u32,
}

/// The workers of one rack, which share a network switch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rack {
    /// Its name.
    pub name: Name,
    /// Its data centre.
    pub centre: Name,
    /// Its workers, in the order of their positions in the rack.
    pub workers: Vec<Worker>,
}

/// The placement policy's weighting of completion time against fragmentation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weights {
    /// The weight of completion time, in percent; fragmentation has the remainder.
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
    /// The weights of the placement policy.
    Weights(Weights),
}

/// A gang: work whose members run all together or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Its identifier; never reused.
    pub id: Name,
    /// The workspace that submitted it.
    pub workspace: Name,
    /// The kind of work.
    pub kind: Name,
    /// The number of members.
    pub members: u32,
    /// The accelerators of one member, all on one worker; may be 0.
    pub accelerators: u32,
    /// The processor cores of one member.
    pub cores: u32,
    /// The memory of one member in gigabytes.
    pub memory_gb: u32,
    /// The adjacency that the members must satisfy.
    pub adjacency: Adjacency,
    /// The run time declared by the caller, in milliseconds; often inaccurate.
    pub run_ms: u64,
}
