//! `trefoilctl jobs`, `workspaces` and `duplicates`: what the ledger of one VM holds.

use super::Result;
use super::render;
use super::targets;
use crate::model::Workspace;
use crate::prelude::*;
use crate::reducer::ledger::catalog::Versioned;
use crate::reducer::ledger::claims::Duplicate;
use crate::reducer::ledger::gangs::Gang;
use crate::reducer::ledger::gangs::Phase;
use argh::FromArgs;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;

/// Print the gangs that wait, run or ended lately.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "jobs")]
pub(super) struct JobsArgs {
    /// the operators' address of the process, IP:port
    #[argh(option)]
    vm: Option<String>,
    /// a settings file to take the address from
    #[argh(option)]
    settings: Option<String>,
    /// the longest wait for an answer, in milliseconds
    #[argh(option, default = "5000")]
    call_ms: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Print each workspace with its guarantees and what it holds.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "workspaces")]
pub(super) struct WorkspacesArgs {
    /// the operators' address of the process, IP:port
    #[argh(option)]
    vm: Option<String>,
    /// a settings file to take the address from
    #[argh(option)]
    settings: Option<String>,
    /// the longest wait for an answer, in milliseconds
    #[argh(option, default = "5000")]
    call_ms: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Print the requests that came again under a key that was taken.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "duplicates")]
pub(super) struct DuplicatesArgs {
    /// the operators' address of the process, IP:port
    #[argh(option)]
    vm: Option<String>,
    /// a settings file to take the address from
    #[argh(option)]
    settings: Option<String>,
    /// the longest wait for an answer, in milliseconds
    #[argh(option, default = "5000")]
    call_ms: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// The duplicates that a VM lists.
#[derive(Debug, Serialize, Deserialize)]
struct Duplicates {
    /// How many were seen in all.
    seen: u64,
    /// The last of them, the oldest first.
    listed: Vec<Duplicate>,
}

type Jobs = BTreeMap<Name, Gang>;
type Workspaces = BTreeMap<Name, Versioned<Workspace>>;

pub(super) async fn jobs(args: &JobsArgs) -> Result<()> {
    let addr = targets::vm_addr(args.vm.as_deref(), args.settings.as_deref())?;
    let jobs: Jobs = targets::read(&addr, "/ops/ledger/jobs", args.call_ms).await?;
    if args.json {
        return render::json(&jobs);
    }
    let head = [
        "job",
        "workspace",
        "kind",
        "shape",
        "phase",
        "since",
        "placed",
        "config",
    ];
    render::table(&head, jobs.values().map(job_line));
    Ok(())
}

pub(super) async fn workspaces(args: &WorkspacesArgs) -> Result<()> {
    let addr = targets::vm_addr(args.vm.as_deref(), args.settings.as_deref())?;
    let workspaces: Workspaces =
        targets::read(&addr, "/ops/ledger/workspaces", args.call_ms).await?;
    if args.json {
        return render::json(&workspaces);
    }
    let jobs: Jobs = targets::read(&addr, "/ops/ledger/jobs", args.call_ms).await?;
    let head = [
        "workspace",
        "version",
        "guaranteed",
        "quota",
        "held",
        "waiting",
        "kinds",
    ];
    let lines = workspaces.values().map(|held| workspace_line(held, &jobs));
    render::table(&head, lines);
    Ok(())
}

pub(super) async fn duplicates(args: &DuplicatesArgs) -> Result<()> {
    let addr = targets::vm_addr(args.vm.as_deref(), args.settings.as_deref())?;
    let found: Duplicates = targets::read(&addr, "/ops/ledger/duplicates", args.call_ms).await?;
    if args.json {
        return render::json(&found);
    }
    println!("{} seen, {} listed", found.seen, found.listed.len());
    let head = [
        "time",
        "workspace",
        "kind",
        "key",
        "first",
        "again",
        "process",
        "content",
    ];
    render::table(&head, found.listed.iter().map(duplicate_line));
    Ok(())
}

fn job_line(gang: &Gang) -> Vec<String> {
    let job = &gang.job;
    vec![
        job.id.to_string(),
        job.workspace.to_string(),
        job.kind.to_string(),
        format!("{} x {}", job.members, job.accelerators),
        format!("{:?}", gang.phase),
        render::utc(gang.since_ms),
        gang.attempt.to_string(),
        gang.cfg.to_string(),
    ]
}

fn workspace_line(held: &Versioned<Workspace>, jobs: &Jobs) -> Vec<String> {
    let workspace = &held.value;
    let own = jobs.values();
    let own = own.filter(|gang| gang.job.workspace == workspace.name);
    let holding = own.clone().filter(|gang| gang.holds_slots());
    let waiting = own.filter(|gang| gang.phase == Phase::Queued);
    let guarantees = workspace.guarantees.iter().map(|one| {
        let shape = &one.shape;
        format!(
            "{} x {} {:?}",
            one.count, shape.accelerators, shape.adjacency
        )
    });
    vec![
        workspace.name.to_string(),
        held.version.to_string(),
        guarantees.collect::<Vec<String>>().join(", "),
        workspace.quota.to_string(),
        holding.map(Gang::accelerators).sum::<u32>().to_string(),
        waiting.count().to_string(),
        workspace.kinds.join(", "),
    ]
}

fn duplicate_line(found: &Duplicate) -> Vec<String> {
    let content = match found.differs {
        true => "differs",
        false => "same",
    };
    vec![
        render::utc(found.at_ms),
        found.workspace.to_string(),
        found.kind.to_string(),
        found.key.to_string(),
        found.first.to_string(),
        found.again.to_string(),
        found.writer.to_string(),
        content.to_owned(),
    ]
}
