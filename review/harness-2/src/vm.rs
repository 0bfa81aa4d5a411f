//! Runs the project's `trefoil-vm` as child processes, with the settings of `deploy/vm.jsonc.template`.

use crate::record::Record;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::json;
use std::fs::File;
use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::ops::Range;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// The ports that machines listen on.
const PORTS: Range<u16> = 10_000..30_000;
/// The distance between the first ports that two drivers with successive identifiers try.
const PORTS_PER_PROCESS: u32 = 64;

/// What all machines of a deployment share.
#[derive(Debug, Clone)]
pub(crate) struct Deployment {
    /// The program of the deploy file.
    pub(crate) program: PathBuf,
    /// Where settings and logs are written.
    pub(crate) folder: PathBuf,
    pub(crate) store: SocketAddr,
    pub(crate) machines: Option<SocketAddr>,
    pub(crate) max_hold_ms: u64,
}

/// A machine of the system with its process; killed when dropped.
#[derive(Debug)]
pub(crate) struct Vm {
    pub(crate) name: String,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    record: Record,
}

impl Drop for Vm {
    fn drop(&mut self) {
        // An error means that it has ended already.
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

/// Returns an address with a free port, below those that the system gives to other sockets, so that
/// none of them takes it while the machine is down.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    for _ in PORTS {
        let number = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let offset = number % u32::try_from(PORTS.len()).unwrap();
        let port = PORTS.start + u16::try_from(offset).unwrap();
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return SocketAddr::from(([127, 0, 0, 1], port));
        }
    }
    panic!("no port is free");
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> Child {
    let log: File = OpenOptions::new()
        .append(true)
        .create(true)
        .open(log)
        .unwrap();
    Command::new(program)
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap()
}

impl Vm {
    /// Starts the process of machine `number`.
    pub(crate) fn start(number: usize, deployment: &Deployment, record: &Record) -> Self {
        let name = format!("front-zone-1-{number}");
        let [callers, ready, peers, metrics] = [(); 4].map(|()| free_address());
        let mut settings = json!({
            "vm": name, "centre": "zone-1", "cpu_share": 0.25,
            "callers": callers.to_string(), "ready": ready.to_string(),
            "peers": peers.to_string(), "metrics": metrics.to_string(),
            "store": deployment.store.to_string(), "upkeep_s": 2, "grace_s": 6,
            "strict_revocation": true, "revoke_ms": 5_000, "config_apply_ms": 2_000,
            "max_lease_ms": deployment.max_hold_ms, "stop_ms": 200, "keep_s": 120,
            "restore_ms": 100, "reclaim_ms": 2_700,
        });
        if let Some(machines) = deployment.machines {
            settings["machines"] = machines.to_string().into();
        }
        let path = deployment.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).unwrap();
        let log = deployment.folder.join(format!("{name}.log"));
        let child = spawn(&deployment.program, &path, &log);
        Self {
            name,
            callers,
            ready,
            program: deployment.program.clone(),
            settings: path,
            log,
            child,
            record: record.clone(),
        }
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        self.record.note(format!("{signal} to {}", self.name));
        let pid = i32::try_from(self.child.id()).unwrap();
        kill(Pid::from_raw(pid), signal).unwrap();
    }

    /// Returns whether the process has ended.
    pub(crate) fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Starts the process again, with the same settings; it must have ended.
    pub(crate) fn restart(&mut self) {
        self.record.note(format!("{} starts again", self.name));
        self.child = spawn(&self.program, &self.settings, &self.log);
    }

    /// Returns the epoch in which it began to lead last, 0 if it never did.
    pub(crate) fn epoch(&self) -> u64 {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let epochs = text.lines().filter_map(|line| {
            let (_, epoch) = line.split_once("TG1307 leading epoch=")?;
            epoch.trim().parse().ok()
        });
        epochs.max().unwrap_or(0)
    }

    /// Returns the numbered lines of its log.
    pub(crate) fn log(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = text.lines().filter(|line| line.contains("TG1"));
        lines.map(str::to_owned).collect()
    }
}

/// Returns the machine that has the highest epoch.
pub(crate) fn leader(vms: &[Vm]) -> usize {
    let numbers = 0..vms.len();
    numbers.max_by_key(|number| vms[*number].epoch()).unwrap()
}
