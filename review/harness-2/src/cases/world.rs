//! A small deployment: machines of the system, runners, the store and, on request, the service for
//! machines.

use crate::client;
use crate::client::Answer;
use crate::client::PREFIX;
use crate::cloud::Cloud;
use crate::record::Record;
use crate::runner::Run;
use crate::runner::Runner;
use crate::runner::Traits;
use crate::store::Store;
use crate::vm;
use crate::vm::Deployment;
use crate::vm::Vm;
use serde_json::json;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;
use tokio::time::sleep;

/// How long a deployment may take until it answers, in milliseconds.
const START_MS: u64 = 10_000;

/// How many lines of the log of each machine the record has from its begin and from its end.
const LOG_LINES: usize = 80;
/// How much it has of each line, in characters.
const LOG_CHARS: usize = 240;

/// What sets the deployments of the cases apart.
#[derive(Debug, Clone)]
pub(crate) struct Size {
    pub(crate) vms: usize,
    pub(crate) runners: usize,
    pub(crate) clock_rate: u64,
    pub(crate) max_hold_ms: u64,
    pub(crate) with_cloud: bool,
    pub(crate) verbose: bool,
    /// How many runners, the last ones, have the label `b` in place of `a`.
    pub(crate) labelled: usize,
    /// The priority of the only queue.
    pub(crate) priority: u32,
}

/// A running deployment.
pub(crate) struct World {
    pub(crate) store: Store,
    pub(crate) runners: Vec<Runner>,
    pub(crate) cloud: Option<Cloud>,
    pub(crate) vms: Vec<Vm>,
    pub(crate) record: Record,
    /// Removed at the end.
    folder: PathBuf,
}

impl Drop for World {
    fn drop(&mut self) {
        self.vms.clear();
        // What cannot be removed is left to the system.
        let _removed = std::fs::remove_dir_all(&self.folder);
    }
}

/// Waits.
pub(crate) async fn wait(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

impl World {
    /// Starts a deployment, and waits until every machine answers; none if one of them does not.
    pub(crate) async fn start(program: PathBuf, size: Size, record: &Record) -> Option<Self> {
        let name = format!("review-2-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let store = Store::spawn(record).await;
        store.put("keyed.op", "config", config(size.priority).as_bytes());
        let mut runners = Vec::new();
        for number in 0..size.runners {
            let traits = Traits {
                id: format!("runner-{number}"),
                service: "service-1".to_owned(),
                kind: if number + size.labelled >= size.runners {
                    "b"
                } else {
                    "a"
                },
                clock_rate: size.clock_rate,
                max_hold_ms: size.max_hold_ms,
                verbose: size.verbose,
            };
            runners.push(Runner::spawn(traits, &store, record).await);
        }
        let cloud = if size.with_cloud {
            Some(Cloud::spawn(size.runners, record).await)
        } else {
            None
        };
        let deployment = Deployment {
            program,
            folder: folder.clone(),
            store: store.addr,
            machines: cloud.as_ref().map(|cloud| cloud.addr),
            max_hold_ms: size.max_hold_ms,
        };
        let numbers = 1..=size.vms;
        let vms = numbers.map(|number| Vm::start(number, &deployment, record));
        let world = Self {
            store,
            runners,
            cloud,
            vms: vms.collect(),
            record: record.clone(),
            folder,
        };
        let start = Instant::now();
        while start.elapsed() < Duration::from_millis(START_MS) {
            wait(100).await;
            let mut ready = 0;
            for vm in &world.vms {
                let answer = client::call(vm.ready, "GET", "/api/ready", "").await;
                ready += usize::from(answer.is_some_and(|answer| answer.status == 200));
            }
            if ready == world.vms.len() {
                record.note(format!("all {ready} machines are ready"));
                return Some(world);
            }
        }
        None
    }

    /// Returns the machine that leads, as its log says.
    pub(crate) fn leader(&self) -> usize {
        vm::leader(&self.vms)
    }

    /// Sends a call about a job to a machine, and writes it down.
    pub(crate) async fn call(
        &self,
        vm: usize,
        method: &str,
        id: &str,
        body: &str,
    ) -> Option<Answer> {
        let path = format!("{PREFIX}{id}");
        let answer = client::call(self.vms[vm].callers, method, &path, body).await;
        let shown = answer.as_ref().map_or("no response".to_owned(), |answer| {
            format!("{} {}", answer.status, answer.body)
        });
        self.record.note(format!(
            "client: {method} {path} at {}: {shown}",
            self.vms[vm].name
        ));
        answer
    }

    /// Returns every run of the tasks of a job.
    pub(crate) fn runs_of(&self, id: &str) -> Vec<Run> {
        let all = self.runners.iter().flat_map(Runner::runs);
        let mut runs: Vec<Run> = all.filter(|run| run.task.starts_with(id)).collect();
        runs.sort_by_key(|run| run.start);
        runs
    }

    /// Writes the logs of the machines down: of each the first and the last lines, shortened.
    pub(crate) fn note_logs(&self) {
        for vm in &self.vms {
            let lines = vm.log();
            let last = lines.len().saturating_sub(LOG_LINES).max(LOG_LINES);
            for (number, line) in lines.iter().enumerate() {
                if number < LOG_LINES || number >= last {
                    let text: String = line.chars().take(LOG_CHARS).collect();
                    self.record.note(format!("log of {}: {text}", vm.name));
                }
            }
        }
    }
}

fn config(priority: u32) -> String {
    json!({
        "version": 1,
        "routes": [{
            "name": "queue-1", "host": client::HOST, "path-prefix": PREFIX,
            "service": "service-1", "priority": priority, "max-attempts": 4, "stretch": 3.0,
            "target-latency-ms": 1_000,
        }],
        "services": [{"name": "service-1", "admission-check": true}],
        "tenants": [{"name": "tenant-1", "api-keys": [client::KEY], "guaranteed": {"gpu": 64}}],
    })
    .to_string()
}
