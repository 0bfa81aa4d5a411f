//! The VMs of the demonstration, run in one process with the same handles as the binaries.

use crate::client::Client;
use crate::platform::PlatformHandle;
use crate::shared::Shared;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use trefoilgauge::configs::Settings;
use trefoilgauge::context::Process;
use trefoilgauge::modules::process;
use trefoilgauge::modules::process::Running;
use trefoilgauge::platform::Member;
use trefoilgauge::platform::Role;
use trefoilgauge::prelude::Name;

/// The interval between readiness checks of a VM, in milliseconds.
const POLL_MS: u64 = 50;
/// The timeout of a readiness check, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// The addresses of ready VMs for callers, as a load balancer would have them.
pub type Entries = Shared<Vec<SocketAddr>>;

/// One VM, with an entry process and a placer process.
#[derive(Debug)]
struct Vm {
    name: Name,
    entry: Running,
    placer: Running,
}

/// All VMs.
#[derive(Debug)]
pub struct Fleet {
    vms: Vec<Vm>,
    started: usize,
    entries: Entries,
}

impl Fleet {
    /// Starts `count` VMs, distributed over the data centres.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub async fn spawn(platform: &PlatformHandle, count: usize) -> io::Result<Self> {
        let mut fleet = Self {
            vms: Vec::new(),
            started: 0,
            entries: Shared::default(),
        };
        for _ in 0..count {
            let vm = fleet.spawn_vm(platform).await?;
            fleet.vms.push(vm);
        }
        Ok(fleet)
    }

    /// Returns the addresses of the ready VMs.
    pub fn entries(&self) -> Entries {
        self.entries.clone()
    }

    /// Waits until every VM reports that it is ready, then gives the callers their addresses.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::TimedOut`] if a VM is not ready within `limit`.
    pub async fn wait_ready(&self, limit: Duration) -> io::Result<()> {
        let end = Instant::now() + limit;
        for vm in &self.vms {
            wait_ready(vm, end).await?;
        }
        let addrs: Vec<SocketAddr> = self.vms.iter().filter_map(|vm| vm.entry.callers).collect();
        self.entries.with(|entries| *entries = addrs);
        Ok(())
    }

    /// Replaces a VM in a planned change: starts a new one, then drains the old one.
    ///
    /// # Errors
    ///
    /// The new VM cannot be started, or is not ready within 30 s.
    pub async fn replace(&mut self, index: usize, platform: &PlatformHandle) -> io::Result<()> {
        let new = self.spawn_vm(platform).await?;
        wait_ready(&new, Instant::now() + Duration::from_secs(30)).await?;
        let old = std::mem::replace(&mut self.vms[index], new);
        let addrs: Vec<SocketAddr> = self.vms.iter().filter_map(|vm| vm.entry.callers).collect();
        self.entries.with(|entries| *entries = addrs);
        platform.vms.leave(&old.name);
        let name = old.name.clone();
        drain(old).await;
        platform.vms.remove(&name);
        Ok(())
    }

    /// Drains and stops all VMs.
    pub async fn stop(self) {
        for vm in self.vms {
            drain(vm).await;
        }
    }

    async fn spawn_vm(&mut self, platform: &PlatformHandle) -> io::Result<Vm> {
        let number = self.started;
        self.started += 1;
        let name: Name = format!("vm-{}", number + 1).into();
        let centre = platform.deployment.centre(number as u32);
        let settings = settings(platform, &name, &centre);
        let entry = process::spawn(Process::Entry, settings.clone()).await?;
        let placer = process::spawn(Process::Placer, settings).await?;
        for (role, addr) in [(Role::Entry, entry.peers), (Role::Placer, placer.peers)] {
            platform.vms.join(Member {
                name: name.clone(),
                role,
                centre: centre.clone(),
                addr: addr.to_string().into(),
                leaving: false,
            });
        }
        Ok(Vm {
            name,
            entry,
            placer,
        })
    }
}

fn settings(platform: &PlatformHandle, name: &Name, centre: &Name) -> Settings {
    let any: Name = "127.0.0.1:0".into();
    let mut settings = Settings {
        vm: name.clone(),
        centre: centre.clone(),
        ..Settings::default()
    };
    settings.callers.listen = any.clone();
    settings.ops.entry_listen = any.clone();
    settings.ops.placer_listen = any.clone();
    settings.peers.entry_listen = any.clone();
    settings.peers.placer_listen = any;
    settings.peers.vms_addr = platform.vms.addr().to_string().into();
    settings.log.addr = platform.log.addr().to_string().into();
    settings
}

async fn drain(vm: Vm) {
    tokio::join!(vm.entry.drain(), vm.placer.drain());
}

async fn wait_ready(vm: &Vm, end: Instant) -> io::Result<()> {
    let client = Client::new(Duration::from_millis(CALL_TIMEOUT_MS));
    for addr in [vm.entry.ops, vm.placer.ops] {
        let url = format!("http://{addr}/ready");
        while !is_ready(&client, &url).await {
            if Instant::now() > end {
                return Err(io::ErrorKind::TimedOut.into());
            }
            tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
        }
    }
    Ok(())
}

/// Returns whether a VM is ready and has a configuration; on an empty log it is ready without one.
async fn is_ready(client: &Client, url: &str) -> bool {
    let Ok(answer) = client.get(url).await else {
        return false;
    };
    let body: serde_json::Value = answer.json().unwrap_or_default();
    answer.status == 200 && body["cfg"].as_u64().unwrap_or(0) > 0
}
