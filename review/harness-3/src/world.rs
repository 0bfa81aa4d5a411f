//! A small deployment: a store, runners, machines of the system, and a client.

use crate::advisor::Times;
use crate::http;
use crate::json;
use crate::record::Record;
use crate::runner::Needs;
use crate::runner::Runner;
use crate::store::checked;
use crate::store::Store;
use crate::vm::Vm;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// The share of a core of each machine, as on the users' sheets.
pub const CPU_SHARE: f64 = 0.25;
pub const HOST: &str = "nony24.example";
pub const KEY: &str = "d4a3hwrr6x73d3zji9n7";
/// How long a client waits for a response, as on the users' sheets.
pub const DEADLINE_MS: u64 = 3_000;

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub store_addr: SocketAddr,
    pub runners: Vec<Arc<Runner>>,
    pub vms: Vec<Vm>,
    pub needs: Needs,
}

/// A route of the configuration.
pub fn route(name: &str, prefix: &str, priority: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path-prefix\":\"{prefix}\",\"kind\":\"unsafe\",\"timeout-ms\":3000,\"target-latency-ms\":1000,\"priority\":{priority},\"service\":\"service\",\"max-attempts\":4,\"stretch\":3.0,\"public\":false}}"
    )
}

/// The same for a queue that needs advice.
pub fn advised_route(name: &str, prefix: &str, priority: u32, times: Times) -> String {
    let route = route(name, prefix, priority);
    let advice = format!(
        ",\"advice\":{{\"decide-ms\":{},\"each-ms\":{},\"valid-ms\":{}}}}}",
        times.decide_ms, times.each_ms, times.valid_ms
    );
    format!("{}{advice}", route.trim_end_matches('}'))
}

pub fn config(version: u64, routes: &[String]) -> String {
    checked(format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"service\",\"health-path\":\"/health\",\"max-connections\":64,\"protocol\":\"h1\",\"tls\":false,\"admission-check\":true,\"standby\":false}}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"kaje80\",\"api-keys\":[\"{KEY}\"],\"priority\":1,\"guaranteed\":{{\"gpu\":72}}}}]}}",
        routes.join(",")
    ))
}

impl World {
    /// Starts everything, and waits until each machine is ready; none if that takes too long.
    pub fn start(
        root: &Path,
        folder: &Path,
        record: Arc<Record>,
        vms: usize,
        runners: usize,
        quiet: &'static str,
        routes: &[String],
        more: &str,
    ) -> Option<Self> {
        let (store, addr) = Store::start();
        store.put("keyed.op", "config", &config(1, routes));
        record.line("operator writes config version=1");
        let needs = Needs::default();
        let runners = (0..runners)
            .map(|at| {
                Runner::start(
                    &format!("i-{at:04x}"),
                    128_000,
                    &format!("r1-{}", at / 8),
                    &store,
                    &record,
                    &needs,
                    quiet,
                )
            })
            .collect();
        let vms: Vec<Vm> = (0..vms)
            .map(|at| {
                Vm::start(
                    root,
                    folder,
                    &format!("front-{}", at + 1),
                    addr,
                    CPU_SHARE,
                    more,
                )
            })
            .collect();
        let world = Self {
            record,
            store,
            store_addr: addr,
            runners,
            vms,
            needs,
        };
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if world.vms.iter().all(Vm::is_ready) && Vm::leads(&world.vms).is_some() {
                world.record.line("all machines are ready");
                return Some(world);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Sends a call to a machine; returns the status, 0 without a response, and the body.
    pub fn call(
        &self,
        vm: usize,
        method: &str,
        path: &str,
        body: &str,
        limit_ms: u64,
    ) -> (u16, String) {
        call(
            &self.record,
            &self.vms[vm].name,
            self.vms[vm].callers,
            method,
            path,
            body,
            limit_ms,
        )
    }

    /// The state of a job as a machine shows it; the status as a text if that is not 200.
    pub fn state(&self, vm: usize, path: &str) -> String {
        let (status, body) = self.call(vm, "GET", path, "", DEADLINE_MS);
        match (status, json::parse(&body)) {
            (200, Some(body)) => body.text("state"),
            (status, _) => status.to_string(),
        }
    }

    /// How many tasks of a job run now.
    pub fn running(&self, id: &str) -> usize {
        let prefix = format!("{id}.");
        let all = self.runners.iter().flat_map(|runner| runner.running());
        all.filter(|(task, _)| task.starts_with(&prefix)).count()
    }
}

pub fn call(
    record: &Record,
    name: &str,
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit_ms: u64,
) -> (u16, String) {
    let deadline = limit_ms.to_string();
    let headers = [
        ("Host", HOST),
        ("Api-Key", KEY),
        ("Trefoilgauge-Request-Deadline", deadline.as_str()),
        ("Connection", "close"),
    ];
    let sent = record.seconds();
    let answer = http::call(
        addr,
        method,
        path,
        &headers,
        body.as_bytes(),
        Duration::from_millis(limit_ms),
    );
    let (status, body) = match answer {
        Ok((status, body)) => (status, String::from_utf8_lossy(&body).into_owned()),
        Err(error) => (0, error),
    };
    record.line(&format!(
        "client {method} {path} to {name} sent at {sent:.3}: {status} {body}"
    ));
    (status, body)
}
