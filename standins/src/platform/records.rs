//! The configuration records of a deployment, in both schema versions.

use super::deployment::Deployment;
use super::deployment::KindProfile;
use super::deployment::POOL;
use serde_json::Value;
use serde_json::json;
use trefoilgauge::model::Guarantee;
use trefoilgauge::model::Rack;
use trefoilgauge::model::Runner;
use trefoilgauge::model::Workspace;

/// Returns the records in the order in which they must be published.
pub fn records(deployment: &Deployment, runners: &[Runner], racks: &[Rack]) -> Vec<String> {
    let mut records = vec![pool(runners)];
    records.extend(deployment.kinds.iter().map(kind));
    records.extend(racks.iter().map(rack));
    let last = deployment.workspaces.len().saturating_sub(1);
    let workspaces = deployment.workspaces.iter().enumerate();
    records.extend(
        workspaces.map(|(i, one)| match i == last && one.guarantees.len() == 1 {
            true => workspace_v1(one, &one.guarantees[0]),
            false => workspace_v2(one),
        }),
    );
    records.push(record(
        2,
        "weights/main",
        json!({"completion": deployment.completion}),
    ));
    records
}

/// Returns a record that creates an object.
pub fn record(schema: u64, object: &str, body: Value) -> String {
    change(schema, object, "first", 0, body)
}

/// Returns a record that replaces version `replaces` of an object; `id` makes the change's name
/// unique.
pub fn change(schema: u64, object: &str, id: &str, replaces: u64, body: Value) -> String {
    let change = format!("{}-{id}", object.replace('/', "-"));
    json!({
        "schema": schema,
        "change": change,
        "object": object,
        "replaces": replaces,
        "body": body,
    })
    .to_string()
}

fn pool(runners: &[Runner]) -> String {
    let body = json!({"slots": 8, "connections": 60, "runners": runners});
    record(1, &format!("pool/{POOL}"), body)
}

/// Uses schema version 1 unless the kind has checkpoints, which need version 2.
fn kind(profile: &KindProfile) -> String {
    let kind = &profile.kind;
    let mut body = json!({
        "pool": kind.pool,
        "priority": kind.priority,
        "idempotent": kind.idempotent,
        "deadline_ms": kind.deadline_ms,
        "attempts": kind.attempts,
        "service_ms": kind.service_ms,
    });
    let object = format!("kind/{}", kind.name);
    if !kind.checkpoint {
        return record(1, &object, body);
    }
    body["checkpoint"] = json!(true);
    record(2, &object, body)
}

fn rack(rack: &Rack) -> String {
    let body = json!({"centre": rack.centre, "workers": rack.workers});
    record(2, &format!("rack/{}", rack.name), body)
}

/// Uses schema version 1, which allows one adjacent shape of at most one worker.
fn workspace_v1(workspace: &Workspace, guarantee: &Guarantee) -> String {
    let body = json!({
        "guaranteed": {
            "accelerators": guarantee.shape.accelerators,
            "adjacent": true,
            "count": guarantee.count,
        },
        "quota": workspace.quota,
        "kinds": workspace.kinds,
    });
    record(1, &format!("workspace/{}", workspace.name), body)
}

fn workspace_v2(workspace: &Workspace) -> String {
    let guarantees = workspace.guarantees.iter().map(|one| {
        json!({
            "accelerators": one.shape.accelerators,
            "adjacency": one.shape.adjacency,
            "count": one.count,
        })
    });
    let body = json!({
        "guarantees": guarantees.collect::<Vec<Value>>(),
        "quota": workspace.quota,
        "kinds": workspace.kinds,
    });
    record(2, &format!("workspace/{}", workspace.name), body)
}
