//! The service that manages the machines, as PROTOCOL.md describes it, with checked fences.

use crate::http;
use crate::json;
use crate::record::Record;
use crate::runner::Runner;
use crate::store::checked;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

const UPKEEP_MS: u64 = 2_000;

/// An order for a machine.
#[derive(Clone)]
pub struct Order {
    pub at: Instant,
    pub machine: String,
    pub holder: String,
    pub token: u64,
}

struct Machine {
    runner: Arc<Runner>,
    /// Until when it is down for its upkeep.
    down_until: Option<Instant>,
    token: u64,
    /// The waves for which it had its upkeep.
    done: Vec<u64>,
}

pub struct Cloud {
    machines: Mutex<Vec<Machine>>,
    pub orders: Mutex<Vec<Order>>,
    /// The machines of each wave.
    pub waves: Mutex<HashMap<u64, Vec<String>>>,
    record: Arc<Record>,
}

pub fn name(at: usize) -> String {
    format!("m-{at:04x}")
}

impl Cloud {
    pub fn new(record: &Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            machines: Mutex::default(),
            orders: Mutex::default(),
            waves: Mutex::default(),
            record: record.clone(),
        })
    }

    /// Serves; the machines are told later.
    pub fn serve(self: &Arc<Self>) -> SocketAddr {
        let cloud = self.clone();
        http::serve(Arc::new(move |request| {
            Some(match (request.method.as_str(), request.path.as_str()) {
                ("GET", "/api/machines") => (200, cloud.list().into_bytes()),
                ("POST", "/api/machine-upkeep") => cloud.upkeep(request),
                _ => (404, Vec::new()),
            })
        }))
    }

    pub fn set_machines(&self, runners: &[Arc<Runner>]) {
        let machine = |runner: &Arc<Runner>| Machine {
            runner: runner.clone(),
            down_until: None,
            token: 0,
            done: Vec::new(),
        };
        *self.machines.lock().unwrap() = runners.iter().map(machine).collect();
    }

    /// Ends the upkeep of machines whose time has come.
    fn advance(machines: &mut [Machine]) {
        for machine in machines {
            if machine
                .down_until
                .is_some_and(|until| until <= Instant::now())
            {
                machine.down_until = None;
                machine.runner.restart();
                machine.runner.set_cut(false);
            }
        }
    }

    fn list(&self) -> String {
        let mut machines = self.machines.lock().unwrap();
        Self::advance(&mut machines);
        let items = machines.iter().enumerate().map(|(at, machine)| {
            let state = if machine.down_until.is_some() { "upkeep" } else { "up" };
            format!(
                "{{\"machine\":\"{}\",\"pool\":\"service\",\"state\":\"{state}\",\"zone\":\"z\",\"labels\":[\"a\",\"r1-0\"],\"capacity\":{{\"cpu\":128000,\"mem-mb\":262144,\"gpu\":8}},\"id\":\"{}\"}}",
                name(at),
                machine.runner.id
            )
        });
        let items: Vec<String> = items.collect();
        checked(format!(
            "{{\"machines\":[{}],\"next-page-token\":null}}",
            items.join(",")
        ))
    }

    fn upkeep(&self, request: &http::Request) -> http::Response {
        let Some(body) = json::parse(&String::from_utf8_lossy(&request.body)) else {
            return (400, Vec::new());
        };
        let (id, wave) = (body.text("machine"), body.number("wave"));
        let holder = request
            .header("Trefoilgauge-Lease-Holder")
            .unwrap_or_default()
            .to_owned();
        let token = request
            .header("Trefoilgauge-Fencing-Token")
            .and_then(|t| t.parse().ok())
            .unwrap_or(0);
        self.orders.lock().unwrap().push(Order {
            at: Instant::now(),
            machine: id.clone(),
            holder: holder.clone(),
            token,
        });
        let mut machines = self.machines.lock().unwrap();
        Self::advance(&mut machines);
        let answer = match machines
            .iter_mut()
            .enumerate()
            .find(|(at, _)| name(*at) == id)
        {
            None => (400, ""),
            Some((_, machine)) if token < machine.token => (409, "fence"),
            Some(_)
                if !self
                    .waves
                    .lock()
                    .unwrap()
                    .get(&wave)
                    .is_some_and(|all| all.contains(&id)) =>
            {
                (409, "wave")
            }
            Some((_, machine)) => {
                machine.token = token;
                if machine.done.contains(&wave) {
                    (200, "")
                } else if machine.down_until.is_some() {
                    (409, "busy")
                } else {
                    machine.done.push(wave);
                    machine.down_until = Some(Instant::now() + Duration::from_millis(UPKEEP_MS));
                    machine.runner.set_cut(true);
                    machine.runner.crash();
                    (200, "")
                }
            }
        };
        self.record.line(&format!(
            "platform gets upkeep machine={id} wave={wave} holder={holder} token={token}: {} {}",
            answer.0, answer.1
        ));
        (
            answer.0,
            format!("{{\"reason\":\"{}\"}}", answer.1).into_bytes(),
        )
    }
}
