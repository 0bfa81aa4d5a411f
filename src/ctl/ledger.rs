//! `trefoilctl jobs`, `workspaces` and `duplicates`: the content of one VM's ledger.

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

/// Print the gangs that are waiting, running or ended recently.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "jobs")]
pub(super) struct JobsArgs {
    /// the operators' address of the process, IP:port
    #[argh(option)]
    vm: Option<String>,
    /// a settings file to read the address from
    #[argh(option)]
    settings: Option<String>,
    /// the response timeout, in milliseconds
    #[argh(option, default = "5000")]
    call_ms: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Print each workspace with its guarantees and the accelerators it holds.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "workspaces")]
pub(super) struct WorkspacesArgs {
    /// the operators' address of the process, IP:port
    #[argh(option)]
    vm: Option<String>,
    /// a settings file to read the address from
    #[argh(option)]
    settings: Option<String>,
    /// the response timeout, in milliseconds
    #[argh(option, default = "5000")]
    call_ms: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Print the requests that repeated an idempotency key already in use.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "duplicates")]
pub(super) struct DuplicatesArgs {
    /// the operators' address of the process, IP:port
    #[argh(option)]
    vm: Option<String>,
    /// a settings file to read the address from
    #[argh(option)]
    settings: Option<String>,
    /// the response timeout, in milliseconds
    #[argh(option, default = "5000")]
    call_ms: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// The duplicates that a VM lists.
#[derive(Debug, Serialize, Deserialize)]
struct Duplicates {
    /// The total number seen.
    seen: u64,
    /// The most recent ones, oldest first.
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
    render::table(&head, jobs.values().map(job_row));
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
    let rows = workspaces
        .values()
        .map(|workspace| workspace_row(workspace, &jobs));
    render::table(&head, rows);
    Ok(())
}

pub(super) async fn duplicates(args: &DuplicatesArgs) -> Result<()> {
    let addr = targets::vm_addr(args.vm.as_deref(), args.settings.as_deref())?;
    let duplicates: Duplicates =
        targets::read(&addr, "/ops/ledger/duplicates", args.call_ms).await?;
    if args.json {
        return render::json(&duplicates);
    }
    println!(
        "{} seen, {} listed",
        duplicates.seen,
        duplicates.listed.len()
    );
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
    render::table(&head, duplicates.listed.iter().map(duplicate_row));
    Ok(())
}

fn job_row(gang: &Gang) -> Vec<String> {
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

fn workspace_row(versioned: &Versioned<Workspace>, jobs: &Jobs) -> Vec<String> {
    let workspace = &versioned.value;
    let gangs = jobs.values();
    let gangs = gangs.filter(|gang| gang.job.workspace == workspace.name);
    let holding = gangs.clone().filter(|gang| gang.holds_slots());
    let waiting = gangs.filter(|gang| gang.phase == Phase::Queued);
    let guarantees = workspace.guarantees.iter().map(|guarantee| {
        let shape = &guarantee.shape;
        format!(
            "{} x {} {:?}",
            guarantee.count, shape.accelerators, shape.adjacency
        )
    });
    vec![
        workspace.name.to_string(),
        versioned.version.to_string(),
        guarantees.collect::<Vec<String>>().join(", "),
        workspace.quota.to_string(),
        holding.map(Gang::accelerators).sum::<u32>().to_string(),
        waiting.count().to_string(),
        workspace.kinds.join(", "),
    ]
}

fn duplicate_row(duplicate: &Duplicate) -> Vec<String> {
    let content = match duplicate.differs {
        true => "differs",
        false => "same",
    };
    vec![
        render::utc(duplicate.at_ms),
        duplicate.workspace.to_string(),
        duplicate.kind.to_string(),
        duplicate.key.to_string(),
        duplicate.first.to_string(),
        duplicate.again.to_string(),
        duplicate.writer.to_string(),
        content.to_owned(),
    ]
}
