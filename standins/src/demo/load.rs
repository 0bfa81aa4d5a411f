//! The load of the demonstration: requests of every kind and a few gangs.

use super::Options;
use super::fleet::Entries;
use crate::client::Answer;
use crate::client::Client;
use crate::platform::Deployment;
use crate::platform::PlatformHandle;
use crate::runner::WorkAnswer;
use crate::runner::digest;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use trefoilgauge::model::Priority;
use trefoilgauge::prelude::Name;

/// The mean time between two requests of the demonstration, in milliseconds.
const MEAN_GAP_MS: u64 = 10;
/// The timeout of a caller, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 60_000;
/// The deadline in the requests of callers, in milliseconds.
const DEADLINE_MS: u64 = 20_000;
/// The interval between status queries for a gang, in milliseconds.
const POLL_MS: u64 = 100;
/// The number of gangs submitted.
const GANGS: u32 = 6;
/// The actual run time of a gang, in milliseconds.
pub const GANG_RUN_MS: u64 = 1_500;

/// The outcome of a call, as its caller observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Seen {
    /// The complete reply to this call arrived.
    Answered,
    /// It was refused, with the statement that it did not run.
    Refused,
    /// It failed, with the statement that it may have run.
    Unknown,
    /// No final reply arrived.
    Lost,
    /// The reply belongs to another call or cannot be interpreted.
    Wrong,
}

/// One call of the demonstration.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The kind of work.
    pub kind: Name,
    /// The outcome that the caller observed.
    pub seen: Seen,
    /// The digest of the request body.
    pub digest: Name,
    /// The time until the reply, in milliseconds.
    pub took_ms: u64,
}

/// One gang of the demonstration.
#[derive(Debug, Clone, Serialize)]
pub struct GangOutcome {
    /// Its identifier.
    pub job: String,
    /// The number of members.
    pub members: u32,
    /// The last phase observed.
    pub phase: Value,
    /// The time until it ended, in milliseconds.
    pub took_ms: u64,
}

/// The outcomes of all calls and gangs.
#[derive(Debug, Default)]
pub struct Outcomes {
    /// The requests.
    pub calls: Vec<Outcome>,
    /// The gangs.
    pub gangs: Vec<GangOutcome>,
}

/// A running load.
#[derive(Debug)]
pub struct Load {
    calls: JoinSet<Vec<Outcome>>,
    gangs: JoinSet<GangOutcome>,
}

impl Load {
    /// Starts the load on the VMs in `entries`.
    pub fn spawn(platform: &PlatformHandle, entries: Entries, options: &Options) -> Self {
        let client = Client::new(Duration::from_millis(CALLER_TIMEOUT_MS));
        let deployment = platform.deployment.clone();
        let mut gangs = JoinSet::new();
        for number in 0..GANGS {
            let gang = gang(client.clone(), entries.clone(), deployment.clone(), number);
            gangs.spawn(gang);
        }
        let mut calls = JoinSet::new();
        calls.spawn(send_all(client, entries, deployment, options.clone()));
        Self { calls, gangs }
    }

    /// Waits for all calls, then at most `limit` for the gangs.
    pub async fn finish(mut self, limit: Duration) -> Outcomes {
        let mut outcomes = Outcomes::default();
        while let Some(calls) = self.calls.join_next().await {
            outcomes.calls.extend(calls.unwrap_or_default());
        }
        let end = Instant::now() + limit;
        while let Ok(Some(gang)) = tokio::time::timeout_at(end, self.gangs.join_next()).await {
            outcomes.gangs.extend(gang);
        }
        outcomes
    }
}

async fn send_all(
    client: Client,
    entries: Entries,
    deployment: Deployment,
    options: Options,
) -> Vec<Outcome> {
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let end = Instant::now() + Duration::from_secs(options.seconds);
    let mut calls = JoinSet::new();
    let mut number = 0_u64;
    while Instant::now() < end {
        let Some(addr) = pick_entry(&entries, &mut rng) else {
            break;
        };
        let kind = pick_kind(&deployment, &mut rng);
        let workspace = &deployment.workspaces[number as usize % deployment.workspaces.len()];
        let url = format!(
            "http://{addr}/v1/workspaces/{}/requests/{kind}",
            workspace.name
        );
        calls.spawn(call(client.clone(), url, kind, options.seed, number));
        number += 1;
        let gap_ms = rng.random_range(0..=2 * MEAN_GAP_MS);
        tokio::time::sleep(Duration::from_millis(gap_ms)).await;
    }
    let mut outcomes = Vec::new();
    while let Some(outcome) = calls.join_next().await {
        outcomes.extend(outcome);
    }
    outcomes
}

fn pick_entry(entries: &Entries, rng: &mut Pcg64Mcg) -> Option<SocketAddr> {
    entries.with(|entries| match entries.len() {
        0 => None,
        count => Some(entries[rng.random_range(0..count)]),
    })
}

/// Picks a random kind, weighted towards quick ones.
fn pick_kind(deployment: &Deployment, rng: &mut Pcg64Mcg) -> Name {
    let weight = |priority: Priority, idempotent: bool| match (priority, idempotent) {
        (Priority::Urgent, _) => 12,
        (Priority::Normal, true) => 1,
        _ => 4,
    };
    let sizes = deployment.kinds.iter();
    let weighted: Vec<(u32, &Name)> = sizes
        .map(|size| {
            (
                weight(size.kind.priority, size.kind.idempotent),
                &size.kind.name,
            )
        })
        .collect();
    let total: u32 = weighted.iter().map(|(weight, _)| weight).sum();
    let mut left = rng.random_range(0..total);
    for (weight, name) in &weighted {
        if left < *weight {
            return (*name).clone();
        }
        left -= weight;
    }
    deployment.kinds[0].kind.name.clone()
}

async fn call(client: Client, url: String, kind: Name, seed: u64, number: u64) -> Outcome {
    let body = format!("{{\"seed\":{seed},\"number\":{number}}}");
    let own = digest(body.as_bytes());
    let key = format!("demo-{seed}-{number}");
    let deadline = DEADLINE_MS.to_string();
    let headers = [
        ("idempotency-key", key.as_str()),
        ("deadline-ms", deadline.as_str()),
    ];
    let start = Instant::now();
    let answer = client.post(&url, &headers, body).await;
    Outcome {
        kind,
        seen: answer.map_or(Seen::Lost, |answer| classify(&answer, &own)),
        digest: own,
        took_ms: start.elapsed().as_millis() as u64,
    }
}

fn classify(answer: &Answer, own: &Name) -> Seen {
    if answer.status == 200 {
        let work = answer.json::<WorkAnswer>();
        return match work.is_ok_and(|work| work.digest == *own) {
            true => Seen::Answered,
            false => Seen::Wrong,
        };
    }
    let body: Value = answer.json().unwrap_or_default();
    match body["ran"].as_str() {
        Some("no") => Seen::Refused,
        Some("unknown") => Seen::Unknown,
        _ => Seen::Wrong,
    }
}

async fn gang(
    client: Client,
    entries: Entries,
    deployment: Deployment,
    number: u32,
) -> GangOutcome {
    let workspace = &deployment.workspaces[number as usize % 2].name;
    let kind = &deployment.kinds[0].kind.name;
    let members = 2 + number % 3;
    let job = format!("gang-{number}");
    let body = json!({
        "id": job,
        "kind": kind,
        "members": members,
        "accelerators": 8,
        "cores": 8,
        "memory_gb": 16,
        "adjacency": "rack",
        "run_ms": GANG_RUN_MS,
    });
    let start = Instant::now();
    let mut rng = Pcg64Mcg::seed_from_u64(u64::from(number));
    let mut phase = Value::Null;
    let path = format!("/v1/workspaces/{workspace}/jobs");
    while start.elapsed() < Duration::from_millis(CALLER_TIMEOUT_MS) {
        if let Some(addr) = pick_entry(&entries, &mut rng) {
            let base = format!("http://{addr}{path}");
            if phase.is_null() {
                let sent = client.post(&base, &[], body.to_string()).await;
                let accepted = sent.is_ok_and(|answer| answer.status == 201);
                phase = if accepted {
                    json!("submitted")
                } else {
                    Value::Null
                };
            } else if let Ok(answer) = client.get(&format!("{base}/{job}")).await {
                let found: Value = answer.json().unwrap_or_default();
                phase = found["job"]["phase"].clone();
            }
        }
        if phase.get("ended").is_some() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
    GangOutcome {
        job,
        members,
        phase,
        took_ms: start.elapsed().as_millis() as u64,
    }
}
