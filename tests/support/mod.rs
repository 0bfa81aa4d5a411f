//! Runs the real binaries as a fleet of VMs against stand-ins for the platform.

#![expect(
    clippy::unwrap_used,
    clippy::panic,
    reason = "helpers of tests may panic"
)]

pub(crate) mod calls;
pub(crate) mod vm;

use calls::Call;
use calls::CallResult;
use serde_json::Value;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use tempfile::TempDir;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;
use trefoilgauge::configs::Settings;
use trefoilgauge_standins::client::Client;
use trefoilgauge_standins::log::LogHandle;
use trefoilgauge_standins::platform::Deployment;
use trefoilgauge_standins::platform::PlatformHandle;
use trefoilgauge_standins::platform::PlatformOptions;
use trefoilgauge_standins::platform::records;
use vm::Vm;

/// The timeout of every wait for a condition; long, as a busy machine slows the processes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// The smallest fleet whose settings allow spare VMs, which replace others.
const MIN_SIZE_WITH_SPARE: usize = 7;

/// The attempts to start one VM.
const MAX_STARTS: u32 = 4;

/// Limits the fleets that run at once, as each consists of many processes.
static FLEET_PERMITS: Semaphore = Semaphore::const_new(3);

/// A fleet of VMs with its platform.
pub(crate) struct Fleet {
    pub(crate) platform: PlatformHandle,
    pub(crate) vms: Vec<Vm>,
    pub(crate) client: Client,
    net: Net,
    dir: TempDir,
    size: usize,
    adjust: fn(&mut Settings),
    _permit: SemaphorePermit<'static>,
}

/// The loopback subnet of one fleet, so that no other fleet or test process binds its ports.
#[derive(Debug, Clone, Copy)]
struct Net {
    high: u8,
    low: u8,
}

impl Net {
    fn next() -> Self {
        static FLEETS: AtomicU8 = AtomicU8::new(0);
        let process = std::process::id();
        Self {
            high: 1 + (process % 251) as u8,
            low: FLEETS.fetch_add(1, Ordering::SeqCst) ^ (process / 251) as u8,
        }
    }

    fn ip(self, vm: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.high, self.low, 1 + vm as u8)
    }
}

impl Fleet {
    /// Starts a small platform and `vms` VMs, and waits until all are ready.
    pub(crate) async fn start(vms: usize) -> Self {
        Self::start_with(vms, |_| {}).await
    }

    /// Starts a fleet whose default settings are modified by `adjust`.
    pub(crate) async fn start_with(vms: usize, adjust: fn(&mut Settings)) -> Self {
        let permit = FLEET_PERMITS.acquire().await.unwrap();
        let mut options = PlatformOptions::new(Deployment::small());
        options.vms_lag_ms = 200;
        let platform = PlatformHandle::spawn(options).await.unwrap();
        platform.publish();
        let mut fleet = Self {
            platform,
            vms: Vec::new(),
            client: Client::new(Duration::from_secs(30)),
            net: Net::next(),
            dir: TempDir::new().unwrap(),
            size: vms,
            adjust,
            _permit: permit,
        };
        for _ in 0..vms {
            fleet.add_vm();
        }
        for vm in 0..vms {
            fleet.wait_ready(vm).await;
        }
        fleet
    }

    /// Starts one more VM and returns its index.
    pub(crate) fn add_vm(&mut self) -> usize {
        let number = self.vms.len();
        let settings = self.settings(number);
        self.vms.push(Vm::start(settings, self.log_dir()));
        self.register(number);
        number
    }

    /// Kills both processes of a VM and restarts it under the same name.
    pub(crate) fn restart_vm(&mut self, vm: usize) {
        self.vms[vm].kill();
        let settings = self.vms[vm].settings.clone();
        self.vms[vm] = Vm::start(settings, self.log_dir());
    }

    fn log_dir(&self) -> PathBuf {
        self.dir.path().to_owned()
    }

    fn settings(&self, number: usize) -> Settings {
        let mut settings = vm::settings(number, self.net.ip(number));
        settings.centre = self.platform.deployment.centre(number as u32);
        settings.log.addr = self.platform.log.addr().to_string().into();
        settings.peers.vms_addr = self.platform.vms.addr().to_string().into();
        settings.requests.fleet = self.size as u64;
        if self.size < MIN_SIZE_WITH_SPARE {
            settings.requests.spare = 0;
        }
        (self.adjust)(&mut settings);
        settings
    }

    /// Returns the stand-in for the log.
    pub(crate) fn log(&self) -> &LogHandle {
        &self.platform.log
    }

    /// Waits until both processes of a VM are ready and every published change is in force.
    ///
    /// A VM whose address was bound by another process meanwhile is restarted with new addresses.
    pub(crate) async fn wait_ready(&mut self, vm: usize) {
        for _ in 0..MAX_STARTS {
            if self.becomes_ready(vm).await {
                return;
            }
            let taken = self.vms[vm].address_taken();
            assert!(taken, "VM {vm} exited, and no address was already in use");
            let settings = self.settings(vm);
            self.vms[vm] = Vm::start(settings, self.log_dir());
            self.register(vm);
        }
        panic!("VM {vm} did not start in {MAX_STARTS} attempts");
    }

    /// Waits until a VM is ready (true) or one of its processes has exited (false).
    async fn becomes_ready(&mut self, vm: usize) -> bool {
        let published = self.log().records("config");
        let next = published.last().map_or(0, |record| record.offset + 1);
        let ops = self.vms[vm].settings.ops.clone();
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT {
            if self.vms[vm].has_exited() {
                return false;
            }
            let entry = self.in_force(&ops.entry_listen).await;
            let placer = self.in_force(&ops.placer_listen).await;
            if entry.min(placer) >= Some(next) {
                return true;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("timed out: VM {vm} is ready");
    }

    /// Returns the configuration offset that a ready process has in force.
    async fn in_force(&self, ops: &str) -> Option<u64> {
        let answer = self.client.get(&format!("http://{ops}/ready")).await.ok()?;
        let ready: Value = answer.json().ok()?;
        (answer.status == 200).then(|| ready["cfg"].as_u64())?
    }

    /// Adds a VM to the platform's list of VMs.
    fn register(&self, vm: usize) {
        let members = self.vms[vm].members().into_iter();
        members.for_each(|one| self.platform.vms.join(one));
    }

    /// Sends a request to a VM and returns its outcome.
    pub(crate) async fn request(&self, vm: usize, call: Call) -> CallResult {
        let addr = &self.vms[vm].settings.callers.listen;
        calls::request(&self.client, addr, call).await
    }

    /// Submits a gang to a VM and returns the response's status and body.
    pub(crate) async fn submit(&self, vm: usize, workspace: &str, job: &Value) -> (u16, Value) {
        let addr = &self.vms[vm].settings.callers.listen;
        let url = format!("http://{addr}/v1/workspaces/{workspace}/jobs");
        let answer = self.client.post(&url, &[], job.to_string()).await.unwrap();
        (answer.status, answer.json().unwrap())
    }

    /// Returns the state of a gang on a VM, or `None` if the VM does not know it.
    pub(crate) async fn gang(&self, vm: usize, workspace: &str, id: &str) -> Option<Value> {
        let addr = &self.vms[vm].settings.callers.listen;
        let url = format!("http://{addr}/v1/workspaces/{workspace}/jobs/{id}");
        let answer = self.client.get(&url).await.ok()?;
        let body: Value = answer.json().ok()?;
        (answer.status == 200).then(|| body["job"].clone())
    }

    /// Waits until a VM reports that a gang is in this phase.
    pub(crate) async fn wait_phase(&self, vm: usize, workspace: &str, id: &str, phase: &Value) {
        let mut last = None;
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT {
            last = self.gang(vm, workspace, id).await;
            if last.as_ref().is_some_and(|gang| gang["phase"] == *phase) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("{id} did not reach phase {phase}; its last state was {last:?}");
    }

    /// Reads JSON from the operators' interface of a VM's entry process.
    pub(crate) async fn ops(&self, vm: usize, path: &str) -> Option<Value> {
        let addr = &self.vms[vm].settings.ops.entry_listen;
        let answer = self
            .client
            .get(&format!("http://{addr}{path}"))
            .await
            .ok()?;
        answer.json().ok()
    }

    /// Publishes a change that replaces the version of an object in force; returns its offset.
    pub(crate) async fn publish(&self, vm: usize, object: &str, id: &str, body: Value) -> u64 {
        let replaces = self.version(vm, object).await;
        let record = records::change(2, object, id, replaces, body);
        self.log().append("config", record)
    }

    /// Returns the version of an object that a VM has in force.
    pub(crate) async fn version(&self, vm: usize, object: &str) -> u64 {
        let (class, name) = object.split_once('/').unwrap();
        let all = self.ops(vm, &format!("/ops/ledger/{class}s")).await;
        all.unwrap()[name]["version"].as_u64().unwrap()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.vms.iter().for_each(Vm::print_logs);
        }
    }
}

/// Waits until `condition` returns true.
pub(crate) async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
