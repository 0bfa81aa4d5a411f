//! The processes of the system, started with the command of the deploy file.

use crate::record::Record;
use crate::site::Site;
use crate::world::cannot_run;
use serde_json::Value;
use serde_json::json;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

/// The program that the deploy file runs.
const PROGRAM: &str = "target/release/trefoil-vm";

/// How often a process is started with other ports if one of them is taken meanwhile.
const START_TRIES: u32 = 5;
/// How long after its start a process that cannot use its ports has ended.
const START_CHECK: Duration = Duration::from_millis(100);

/// Where the processes of a case run.
#[derive(Debug, Clone)]
pub struct Place {
    /// The site.
    pub site: Site,
    /// The root of the repository.
    pub root: PathBuf,
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Where starts and signals are noted.
    pub record: Record,
}

/// A process of the system; it ends when this is dropped.
#[derive(Debug)]
pub struct Vm {
    /// The machine's name.
    pub name: String,
    /// The address for clients.
    pub front: SocketAddr,
    settings: PathBuf,
    root: PathBuf,
    log: PathBuf,
    child: Child,
    record: Record,
}

impl Drop for Vm {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

impl Vm {
    /// Starts a machine of the zone `zone` whose store is at `store`.
    pub fn start(
        place: &Place,
        name: &str,
        zone: &str,
        store: SocketAddr,
        machines: Option<SocketAddr>,
    ) -> Self {
        let Place {
            site,
            root,
            folder,
            record,
        } = place;
        let path = folder.join(format!("{name}.jsonc"));
        let log = folder.join(format!("{name}.log"));
        for _ in 0..START_TRIES {
            let addresses @ [front, ..] = free_addresses();
            let settings = settings(name, zone, site, store, machines, addresses);
            std::fs::write(&path, settings.to_string()).unwrap();
            let mut child = spawn(root, &path, &log);
            note_process(folder, child.id());
            std::thread::sleep(START_CHECK);
            if child.try_wait().unwrap().is_some() {
                record.add(format!(
                    "{name} ended at once; starting it with other ports"
                ));
                continue;
            }
            record.add(format!("{name} started"));
            return Self {
                name: name.to_owned(),
                front,
                settings: path,
                root: root.to_owned(),
                log,
                child,
                record: record.clone(),
            };
        }
        cannot_run(record, "a machine of the system does not start");
    }

    /// Sends a signal, by its name.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{signal}"), &id])
            .status();
        assert!(status.unwrap().success(), "the signal cannot be sent");
        self.record.say(format!("{} gets SIG{signal}", self.name));
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.record.say(format!("{} killed", self.name));
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) {
        self.child = spawn(&self.root, &self.settings, &self.log);
        if let Some(folder) = self.settings.parent() {
            note_process(folder, self.child.id());
        }
        self.record.say(format!("{} started again", self.name));
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }
}

/// Returns what deploy/vm.jsonc.template makes of the settings of a small site.
fn settings(
    name: &str,
    zone: &str,
    site: &Site,
    store: SocketAddr,
    machines: Option<SocketAddr>,
    [front, ready, peers, metrics]: [SocketAddr; 4],
) -> Value {
    let mut settings = json!({
        "vm": name, "centre": zone, "cpu_share": 0.25,
        "callers": front.to_string(), "ready": ready.to_string(), "peers": peers.to_string(),
        "metrics": metrics.to_string(), "store": store.to_string(),
        "upkeep_s": 2, "grace_s": 6, "strict_revocation": true, "revoke_ms": 5000,
        "config_apply_ms": 2000, "max_lease_ms": site.max_hold_ms, "stop_ms": site.stop_ms, "keep_s": 120,
        "restore_ms": site.restore_ms, "reclaim_ms": site.reclaim_ms,
    });
    if let Some(machines) = machines {
        settings["machines"] = machines.to_string().into();
    }
    settings
}

/// Notes a process, so that the script ends it even if this program is ended early.
fn note_process(folder: &Path, id: u32) {
    let mut options = File::options();
    let list = options
        .append(true)
        .create(true)
        .open(folder.join("processes"));
    writeln!(list.unwrap(), "{id}").unwrap();
}

fn spawn(root: &Path, settings: &Path, log: &Path) -> Child {
    let log = File::options().append(true).create(true).open(log).unwrap();
    let mut command = Command::new(root.join(PROGRAM));
    command.arg(settings).current_dir(root).env_clear();
    for name in ["PATH", "HOME", "LANG"] {
        if let Ok(value) = std::env::var(name) {
            command.env(name, value);
        }
    }
    command
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap()
}

/// Returns free addresses; all are held until the last is found, so that they differ.
fn free_addresses() -> [SocketAddr; 4] {
    let held = [(); 4].map(|()| std::net::TcpListener::bind("127.0.0.1:0").unwrap());
    held.map(|listener| listener.local_addr().unwrap())
}
