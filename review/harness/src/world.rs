//! A small deployment: the store, runners, machines of the system, and one client.

use crate::client::Answer;
use crate::client::Client;
use crate::record::Record;
use crate::runner::Runner;
use crate::site::ARENA;
use crate::site::Site;
use crate::store::Door;
use crate::store::Store;
use crate::vm::Place;
use crate::vm::Vm;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;
use tokio::time::sleep;

/// The prefix of the route of all jobs.
pub const PREFIX: &str = "/lohu930/";
/// The time in which a machine of the system is in touch again after a disruption.
pub const CONTACT: Duration = Duration::from_millis(3_000);

/// The deployment.
#[derive(Debug)]
pub struct World {
    /// Where everything is noted.
    pub record: Record,
    /// The platform's store.
    pub store: Store,
    /// The runners.
    pub runners: Vec<Runner>,
    /// The machines of the system.
    pub vms: Vec<Vm>,
    /// The way of each machine to the store.
    pub doors: Vec<Door>,
    /// The client.
    pub client: Client,
}

/// Ends the program with 2: the case could not run.
pub fn cannot_run(record: &Record, why: &str) -> ! {
    record.say(format!("cannot run: {why}"));
    std::process::exit(2);
}

/// Returns a configuration with routes of these names and path prefixes.
pub fn config(site: &Site, version: u64, routes: &[(&str, &str)]) -> Value {
    let routes = routes.iter().map(|(name, prefix)| {
        json!({
            "name": name, "host": "nony24.example", "path-prefix": prefix, "kind": "unsafe",
            "timeout-ms": 3000, "target-latency-ms": 1000, "priority": 1,
            "service": site.service, "max-attempts": 3, "stretch": 3.0, "public": false,
        })
    });
    json!({
        "version": version, "routes": routes.collect::<Vec<_>>(),
        "services": [{"name": site.service, "admission-check": true, "standby": false}],
        "limits": {},
        "tenants": [{"name": "kaje80", "api-keys": ["key-1"], "priority": 1, "guaranteed": {"gpu": 8}}],
    })
}

impl World {
    /// Starts the platform and `vms` machines of the system, and waits until one of them leads.
    pub async fn start(record: &Record, vms: usize, runners: usize) -> Self {
        let store = Store::new(record);
        let runners = start_runners(runners, &ARENA, &store, record).await;
        Self::start_with(record, &ARENA, store, runners, vms, None).await
    }

    /// As [`World::start`], on a platform that runs already.
    pub async fn start_with(
        record: &Record,
        site: &Site,
        store: Store,
        runners: Vec<Runner>,
        vms: usize,
        machines: Option<SocketAddr>,
    ) -> Self {
        let folder = |name: &str| {
            let value = std::env::var(name);
            PathBuf::from(value.unwrap_or_else(|_| panic!("{name} names a folder")))
        };
        let place = Place {
            site: *site,
            root: folder("CASE_ROOT"),
            folder: folder("CASE_TEMP"),
            record: record.clone(),
        };
        let mut world = Self {
            record: record.clone(),
            store,
            runners,
            vms: Vec::new(),
            doors: Vec::new(),
            client: Client {
                host: "nony24.example".to_owned(),
                key: "key-1".to_owned(),
                record: record.clone(),
            },
        };
        world.operate("config", &config(site, 1, &[("r-ce7ejsm", PREFIX)]));
        for number in 0..vms {
            let name = format!("front-{}-{}", site.zones[number % 3], number / 3 + 1);
            let door = world.store.open_door(&name).await;
            let zone = site.zones[number % 3];
            let vm = Vm::start(&place, &name, zone, door.addr, machines);
            world.doors.push(door);
            world.vms.push(vm);
        }
        let start = Instant::now();
        while !world.serves().await {
            if start.elapsed() > Duration::from_secs(15) {
                cannot_run(record, "the system does not serve within 15 s");
            }
            sleep(Duration::from_millis(200)).await;
        }
        // Traffic starts 10 s after the machines; by then they know each other.
        sleep(Duration::from_secs(3)).await;
        world
    }

    async fn serves(&self) -> bool {
        for vm in &self.vms {
            let answer = self
                .client
                .call(&vm.name, vm.front, "GET", PREFIX, "")
                .await;
            if !matches!(answer, Some((200, _))) {
                return false;
            }
        }
        true
    }

    /// Writes a record of the operator.
    pub fn operate(&self, key: &str, value: &Value) {
        self.record.add(format!("operator: op/{key} {value}"));
        self.store
            .put("keyed.op", key, value.to_string().as_bytes());
    }

    /// Returns the position of the machine that leads: it wrote last under an epoch.
    pub fn leader(&self) -> usize {
        let found = self
            .store
            .writer()
            .and_then(|(name, _)| self.vms.iter().position(|vm| vm.name == name));
        found.unwrap_or_else(|| cannot_run(&self.record, "no machine leads"))
    }

    /// Sends a call by way of a machine.
    pub async fn call(&self, vm: usize, method: &str, path: &str, body: &str) -> Answer {
        let vm = &self.vms[vm];
        self.client
            .call(&vm.name, vm.front, method, path, body)
            .await
    }

    /// Hands a job in until it is accepted, with a pause between two attempts.
    pub async fn submit(&self, vm: usize, id: &str, job: &Value) {
        for _ in 0..20 {
            let path = format!("{PREFIX}{id}");
            let answer = self.call(vm, "POST", &path, &job.to_string()).await;
            if matches!(answer, Some((200, _))) {
                return;
            }
            sleep(Duration::from_millis(300)).await;
        }
        cannot_run(&self.record, "a job is not accepted");
    }

    /// Returns the runner and number of each run of a job's tasks that is at work now.
    pub fn at_work(&self, id: &str) -> Vec<(String, String, u64)> {
        let mut found = Vec::new();
        for runner in &self.runners {
            let runs = runner.runs().into_iter();
            let live = runs.filter(|run| run.end.is_none() && run.task.starts_with(id));
            found.extend(live.map(|run| (runner.id.clone(), run.task, run.run)));
        }
        found
    }

    /// Counts the runs of a job's tasks that have begun.
    pub fn begun(&self, id: &str) -> usize {
        let runs = self.runners.iter().flat_map(Runner::runs);
        runs.filter(|run| run.task.starts_with(id)).count()
    }

    /// Waits until `fits` holds, at most `limit`; returns whether it holds.
    pub async fn wait(&self, limit: Duration, fits: impl Fn(&Self) -> bool) -> bool {
        let start = Instant::now();
        while !fits(self) {
            if start.elapsed() > limit {
                return false;
            }
            sleep(Duration::from_millis(20)).await;
        }
        true
    }
}

/// Starts runners named w1, w2 and so on.
pub async fn start_runners(
    count: usize,
    site: &Site,
    store: &Store,
    record: &Record,
) -> Vec<Runner> {
    let mut runners = Vec::new();
    for number in 1..=count {
        runners.push(Runner::start(&format!("w{number}"), site, store, record).await);
    }
    runners
}
