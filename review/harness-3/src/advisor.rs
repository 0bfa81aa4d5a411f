//! The advice service, as PROTOCOL.md describes it. It lets each worker run each step.

use crate::http;
use crate::json;
use crate::json::Json;
use crate::record::Record;
use crate::store::checked;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// How long the service takes, and how long its tickets are valid.
#[derive(Clone, Copy)]
pub struct Times {
    pub decide_ms: u64,
    pub each_ms: u64,
    pub valid_ms: u64,
}

/// The tickets by step and worker, with the time at which each was given last.
pub type Tickets = Arc<Mutex<HashMap<(String, String), Instant>>>;

/// Starts the service; all calls of a deployment come from one machine at a time here, so they are
/// handled in turn.
pub fn start(times: Times, tickets: &Tickets, record: &Arc<Record>) -> SocketAddr {
    let (tickets, record) = (tickets.clone(), record.clone());
    let turn = Mutex::new(());
    http::serve(Arc::new(move |request| {
        let body = json::parse(&String::from_utf8_lossy(&request.body))?;
        let step = body.text("step");
        let Some(Json::Arr(workers)) = body.get("workers") else {
            return Some((400, Vec::new()));
        };
        let _turn = turn.lock().unwrap();
        record.line(&format!(
            "advice asked for step {step} about {} workers",
            workers.len()
        ));
        std::thread::sleep(Duration::from_millis(
            times.decide_ms + times.each_ms * workers.len() as u64,
        ));
        let mut good = Vec::new();
        for worker in workers {
            let Json::Str(worker) = worker else { continue };
            tickets
                .lock()
                .unwrap()
                .insert((step.clone(), worker.clone()), Instant::now());
            good.push(format!("[\"{worker}\",\"{}\"]", ticket(&step, worker)));
        }
        record.line(&format!(
            "advice answers for step {step}: {} good",
            good.len()
        ));
        let text = format!(
            "{{\"good\":[{}],\"valid-ms\":{}}}",
            good.join(","),
            times.valid_ms
        );
        Some((200, checked(text).into_bytes()))
    }))
}

pub fn ticket(step: &str, worker: &str) -> String {
    format!("t-{step}-{worker}")
}
