//! One VM: an entry process and a placer process.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;
use trefoilgauge::configs::Settings;
use trefoilgauge::platform::Member;
use trefoilgauge::platform::Role;
use trefoilgauge::prelude::Name;

/// The last lines of a process's log that a failed test prints.
const MAX_LOG_LINES: usize = 12;

/// A running VM.
pub(crate) struct Vm {
    pub(crate) settings: Settings,
    pub(crate) entry: VmProcess,
    pub(crate) placer: VmProcess,
}

/// A running process, which is killed when it is dropped.
pub(crate) struct VmProcess {
    child: Child,
    log: PathBuf,
}

/// Creates the settings of a VM, with short leases and its own addresses.
pub(crate) fn settings(number: usize, ip: Ipv4Addr) -> Settings {
    let mut settings = Settings {
        vm: format!("vm-{}", number + 1).into(),
        ..Settings::default()
    };
    let [callers, entry_ops, placer_ops, entry_peers, placer_peers] = free_addrs(ip);
    settings.callers.listen = callers;
    settings.ops.entry_listen = entry_ops;
    settings.ops.placer_listen = placer_ops;
    settings.peers.entry_listen = entry_peers;
    settings.peers.placer_listen = placer_peers;
    settings.peers.vms_ms = 200;
    settings.keeper.sync_ms = 250;
    settings.keeper.idle_ms = 500;
    settings.keeper.call_ms = 500;
    settings.keeper.lease_ms = 3_000;
    settings.keeper.lost_ms = 2_000;
    settings.keeper.lapse_ms = 6_500;
    settings.keeper.isolated_ms = 3_000;
    settings.gangs.rank_ms = 500;
    settings
}

/// Returns free addresses; all are bound at the same time, so that none is returned twice.
fn free_addrs(ip: Ipv4Addr) -> [Name; 5] {
    let probes = [0; 5].map(|port| TcpListener::bind((ip, port)).unwrap());
    let addrs = probes.each_ref().map(|probe| probe.local_addr().unwrap());
    addrs.map(|addr| addr.to_string().into())
}

impl Vm {
    /// Starts both processes.
    pub(crate) fn start(settings: Settings, dir: PathBuf) -> Self {
        let file = dir.join(format!("{}.json", settings.vm));
        std::fs::write(&file, serde_json::to_vec_pretty(&settings).unwrap()).unwrap();
        let entry = env!("CARGO_BIN_EXE_trefoil-entry");
        let placer = env!("CARGO_BIN_EXE_trefoil-placer");
        Self {
            entry: VmProcess::start(entry, &file, "entry"),
            placer: VmProcess::start(placer, &file, "placer"),
            settings,
        }
    }

    /// Returns the VM's entries in the platform's list of VMs.
    pub(crate) fn members(&self) -> [Member; 2] {
        let peers = &self.settings.peers;
        [
            self.member(Role::Entry, &peers.entry_listen),
            self.member(Role::Placer, &peers.placer_listen),
        ]
    }

    fn member(&self, role: Role, addr: &Name) -> Member {
        Member {
            name: self.settings.vm.clone(),
            role,
            centre: self.settings.centre.clone(),
            addr: addr.clone(),
            leaving: false,
        }
    }

    /// Returns the process identifiers of entry and placer.
    pub(crate) fn pids(&self) -> [u32; 2] {
        [self.entry.child.id(), self.placer.child.id()]
    }

    /// Kills both processes.
    pub(crate) fn kill(&mut self) {
        self.entry.kill();
        self.placer.kill();
    }

    /// Sends both processes a signal, such as `TERM` or `STOP`.
    pub(crate) fn signal(&self, name: &str) {
        self.entry.signal(name);
        self.placer.signal(name);
    }

    /// Waits until both processes have exited; returns whether both did so successfully, each within
    /// `limit`.
    pub(crate) async fn exits_cleanly(&mut self, limit: Duration) -> bool {
        self.entry.exits_cleanly(limit).await && self.placer.exits_cleanly(limit).await
    }

    /// Returns whether a process of the VM has exited.
    pub(crate) fn has_exited(&mut self) -> bool {
        let mut both = [&mut self.entry, &mut self.placer].into_iter();
        both.any(|one| one.child.try_wait().unwrap().is_some())
    }

    /// Returns whether a process failed to start as its address was already bound.
    pub(crate) fn address_taken(&self) -> bool {
        let mut both = [&self.entry, &self.placer].into_iter();
        both.any(|one| one.read_log().contains("Address already in use"))
    }

    /// Prints the last lines of both logs.
    pub(crate) fn print_logs(&self) {
        for program in [&self.entry, &self.placer] {
            let text = program.read_log();
            let lines: Vec<&str> = text.lines().collect();
            let from = lines.len().saturating_sub(MAX_LOG_LINES);
            eprintln!(
                "--- {}\n{}",
                program.log.display(),
                lines[from..].join("\n")
            );
        }
    }
}

impl VmProcess {
    fn start(program: &str, settings: &Path, role: &str) -> Self {
        let log = settings.with_extension(format!("{role}.log"));
        let file = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .unwrap();
        let child = Command::new(program)
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn()
            .unwrap();
        Self { child, log }
    }

    fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Kills the process with SIGKILL and waits for it.
    pub(crate) fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Sends the process a signal.
    pub(crate) fn signal(&self, name: &str) {
        send_signal(self.child.id(), name);
    }

    /// Waits until the process has exited; returns whether it did so successfully within `limit`.
    pub(crate) async fn exits_cleanly(&mut self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }
}

/// Sends a signal to a process that a test started, such as `KILL`, `STOP` or `TERM`.
pub(crate) fn send_signal(pid: u32, name: &str) {
    let status = Command::new("kill")
        .args([format!("-{name}"), pid.to_string()])
        .status();
    assert!(status.unwrap().success(), "kill -{name} {pid}");
}

impl Drop for VmProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
