//! Runs the program of the deploy file, `target/release/trefoil-vm SETTINGS`, as child processes.

use crate::http;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;

pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
pub const SIGTERM: i32 = 15;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    program: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

/// Returns free loopback addresses.
fn free(count: usize) -> Vec<SocketAddr> {
    let held: Vec<TcpListener> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    held.iter().map(|listener| listener.local_addr().expect("an address")).collect()
}

impl Vm {
    /// Starts a process with the settings of `deploy/vm.jsonc.template`, filled in as for a machine
    /// of `sites/arena-juicio.toml`. `more` are further settings that the template has.
    pub fn start(root: &Path, folder: &Path, name: &str, store: SocketAddr, more: &str) -> Self {
        let ports = free(4);
        let text = format!(
            "{{\"vm\":\"{name}\",\"centre\":\"z\",\"cpu_share\":0.25,\"callers\":\"{}\",\"ready\":\"{}\",\"peers\":\"{}\",\"metrics\":\"{}\",\"store\":\"{store}\",{more}\"upkeep_s\":2,\"grace_s\":6,\"strict_revocation\":true,\"revoke_ms\":5000,\"config_apply_ms\":2000,\"max_lease_ms\":6000,\"stop_ms\":200,\"keep_s\":120,\"restore_ms\":600,\"duration_percentile\":0,\"reclaim_ms\":2700}}",
            ports[0], ports[1], ports[2], ports[3]
        );
        let settings = folder.join(format!("{name}.jsonc"));
        std::fs::write(&settings, text).expect("the settings");
        let vm = Self {
            name: name.to_owned(),
            callers: ports[0],
            ready: ports[1],
            settings,
            program: root.join("target/release/trefoil-vm"),
            log: folder.join(format!("{name}.log")),
            child: Mutex::new(None),
        };
        vm.spawn();
        vm
    }

    pub fn spawn(&self) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new(&self.program)
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn()
            .expect("the program of the deploy file is built");
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &*self.child.lock().unwrap() {
            // Only the process that this harness started, which it has not waited for yet.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The memory of the process, in MB.
    pub fn memory_mb(&self) -> u64 {
        let id = self.child.lock().unwrap().as_ref().map_or(0, Child::id);
        let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1_024
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        http::call(self.ready, "GET", "/api/ready", &[("Host", "ready")], b"", limit).is_ok_and(|r| r.0 == 200)
    }

    /// Whether its log shows that it took the lead last of all that did.
    pub fn leads(vms: &[Vm]) -> Option<usize> {
        let epoch = |vm: &Vm| {
            let log = vm.log();
            let mut led = None;
            for line in log.lines() {
                if let Some((_, rest)) = line.split_once("TG1307 leading epoch=") {
                    led = rest.split(' ').next().and_then(|e| e.trim().parse::<u64>().ok());
                } else if line.contains("TG1308 ") {
                    led = None;
                }
            }
            led
        };
        let all = vms.iter().enumerate().filter_map(|(at, vm)| Some((epoch(vm)?, at)));
        all.max().map(|(_, at)| at)
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.signal(SIGCONT);
        self.kill();
    }
}
