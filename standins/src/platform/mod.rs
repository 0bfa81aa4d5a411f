//! All stand-ins of a deployment: log, list of VMs, runners and workers.

pub mod deployment;
pub mod records;

pub use crate::serve::Result;
pub use deployment::Deployment;

use crate::log::LogHandle;
use crate::log::LogOptions;
use crate::runner::RunnerHandle;
use crate::runner::RunnerOptions;
use crate::tally::Tally;
use crate::vms::VmsHandle;
use crate::vms::VmsOptions;
use crate::worker::WorkerHandle;
use crate::worker::WorkerOptions;
use crate::worker::history::History;
use crate::worker::profiles::TaskProfiles;
use serde::Serialize;
use std::net::SocketAddr;
use trefoilgauge::model::Rack;
use trefoilgauge::model::Runner;
use trefoilgauge::model::Worker;
use trefoilgauge::platform::Member;
use trefoilgauge::platform::Role;
use trefoilgauge::prelude::Name;

/// Options of a platform.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// The deployment to simulate.
    pub deployment: Deployment,
    /// The seed of service times and faults.
    pub seed: u64,
    /// The delay until the list of VMs shows a change, in milliseconds.
    pub vms_lag_ms: u64,
    /// The options of the log.
    pub log: LogOptions,
    /// The actual run times of tasks.
    pub profiles: TaskProfiles,
}

impl PlatformOptions {
    /// Returns the default options for a deployment.
    pub fn new(deployment: Deployment) -> Self {
        Self {
            deployment,
            seed: 1,
            vms_lag_ms: 1_000,
            log: LogOptions::default(),
            profiles: TaskProfiles::default(),
        }
    }
}

/// The addresses of the platform's services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Addresses {
    /// The deployment's name.
    pub deployment: Name,
    /// The log.
    pub log: SocketAddr,
    /// The list of VMs.
    pub vms: SocketAddr,
    /// The runners.
    pub runners: Vec<SocketAddr>,
    /// The workers.
    pub workers: Vec<SocketAddr>,
}

/// A running platform.
#[derive(Debug)]
pub struct PlatformHandle {
    /// The deployment to simulate.
    pub deployment: Deployment,
    /// The log.
    pub log: LogHandle,
    /// The list of VMs.
    pub vms: VmsHandle,
    /// The runners.
    pub runners: Vec<RunnerHandle>,
    /// The workers, in the order of their racks.
    pub workers: Vec<WorkerHandle>,
    /// The executions of the runners.
    pub tally: Tally,
    /// The executions of the workers.
    pub history: History,
    /// The actual run times of tasks.
    pub profiles: TaskProfiles,
}

impl PlatformHandle {
    /// Starts the platform without publishing its configuration.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if an address cannot be bound.
    pub async fn spawn(options: PlatformOptions) -> Result<Self> {
        let PlatformOptions {
            deployment,
            seed,
            vms_lag_ms,
            log,
            profiles,
        } = options;
        let tally = Tally::default();
        let history = History::default();
        let runners = spawn_runners(&deployment, seed, &tally).await?;
        let workers = spawn_workers(&deployment, &profiles, &history).await?;
        let mut members = runner_members(&deployment, &runners);
        members.extend(worker_members(&deployment, &workers));
        let vms = VmsOptions {
            lag_ms: vms_lag_ms,
            members,
        };
        Ok(Self {
            log: LogHandle::spawn(log).await?,
            vms: VmsHandle::spawn(vms).await?,
            deployment,
            runners,
            workers,
            tally,
            history,
            profiles,
        })
    }

    /// Returns the configuration records, in the order in which they must be published.
    pub fn records(&self) -> Vec<String> {
        let runners: Vec<Runner> = runner_members(&self.deployment, &self.runners)
            .into_iter()
            .map(|member| Runner {
                name: member.name,
                centre: member.centre,
                addr: member.addr,
            })
            .collect();
        records::records(&self.deployment, &runners, &self.racks())
    }

    /// Appends the configuration records to the `config` stream.
    pub fn publish(&self) {
        for record in self.records() {
            self.log.append("config", record);
        }
    }

    /// Returns the racks with their workers.
    pub fn racks(&self) -> Vec<Rack> {
        let deployment = &self.deployment;
        let chunks = self.workers.chunks(deployment.per_rack as usize);
        let numbered = (0..).zip(chunks);
        numbered
            .map(|(i, workers)| Rack {
                name: format!("rack-{}", i + 1).into(),
                centre: deployment.centre(i),
                workers: workers.iter().map(|one| self.worker(one)).collect(),
            })
            .collect()
    }

    /// Returns the addresses of all services.
    pub fn addresses(&self) -> Addresses {
        Addresses {
            deployment: self.deployment.name.clone(),
            log: self.log.addr(),
            vms: self.vms.addr(),
            runners: self.runners.iter().map(RunnerHandle::addr).collect(),
            workers: self.workers.iter().map(WorkerHandle::addr).collect(),
        }
    }

    /// Returns the names of the kinds of work that are not idempotent.
    pub fn non_idempotent_kinds(&self) -> Vec<&str> {
        let kinds = self.deployment.kinds.iter();
        let single = kinds.filter(|profile| !profile.kind.idempotent);
        single.map(|profile| &*profile.kind.name).collect()
    }

    /// Stops all services.
    pub async fn stop(self) {
        for runner in self.runners {
            runner.stop().await;
        }
        for worker in self.workers {
            worker.stop().await;
        }
        self.vms.stop().await;
        self.log.stop().await;
    }

    fn worker(&self, handle: &WorkerHandle) -> Worker {
        Worker {
            name: handle.name().clone(),
            addr: handle.addr().to_string().into(),
            accelerators: self.deployment.accelerators,
            cores: self.deployment.cores,
            memory_gb: self.deployment.memory_gb,
        }
    }
}

async fn spawn_runners(
    deployment: &Deployment,
    seed: u64,
    tally: &Tally,
) -> Result<Vec<RunnerHandle>> {
    let kinds = deployment.kinds.iter();
    let service = kinds
        .map(|profile| (profile.kind.name.clone(), profile.service))
        .collect();
    let template = RunnerOptions {
        service,
        tally: tally.clone(),
        ..RunnerOptions::default()
    };
    let mut runners = Vec::new();
    for i in 1..=deployment.runners {
        let options = RunnerOptions {
            name: format!("runner-{i}").into(),
            seed: seed.wrapping_add(u64::from(i)),
            ..template.clone()
        };
        runners.push(RunnerHandle::spawn(options).await?);
    }
    Ok(runners)
}

async fn spawn_workers(
    deployment: &Deployment,
    profiles: &TaskProfiles,
    history: &History,
) -> Result<Vec<WorkerHandle>> {
    let mut workers = Vec::new();
    for i in 1..=deployment.workers {
        let options = WorkerOptions {
            name: format!("worker-{i}").into(),
            accelerators: deployment.accelerators,
            cores: deployment.cores,
            memory_gb: deployment.memory_gb,
            profiles: profiles.clone(),
            history: history.clone(),
            ..WorkerOptions::default()
        };
        workers.push(WorkerHandle::spawn(options).await?);
    }
    Ok(workers)
}

fn runner_members(deployment: &Deployment, runners: &[RunnerHandle]) -> Vec<Member> {
    let numbered = (0..).zip(runners);
    numbered
        .map(|(i, one)| member(one.name(), Role::Runner, deployment.centre(i), one.addr()))
        .collect()
}

fn worker_members(deployment: &Deployment, workers: &[WorkerHandle]) -> Vec<Member> {
    let numbered = (0..).zip(workers);
    numbered
        .map(|(i, one)| {
            let centre = deployment.centre(i / deployment.per_rack);
            member(one.name(), Role::Worker, centre, one.addr())
        })
        .collect()
}

fn member(name: &Name, role: Role, centre: Name, addr: SocketAddr) -> Member {
    Member {
        name: name.clone(),
        role,
        centre,
        addr: addr.to_string().into(),
        leaving: false,
    }
}
