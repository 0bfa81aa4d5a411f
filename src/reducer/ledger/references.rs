//! Checks the references from and to a changed object; other objects are not checked again.

use super::catalog::Catalog;
use super::catalog::View;
use super::change::Change;
use super::change::Class;
use super::gangs::Gang;
use super::gangs::Phase;
use crate::model::Kind;
use crate::model::Object;
use crate::model::Rack;
use crate::model::Workspace;
use crate::prelude::*;

/// The most users of an object that a refusal lists.
const MAX_USERS: usize = 3;

/// Checks that the objects a change refers to exist, that no object in use is removed, that the
/// guarantees are within the quota, and that no worker is in two racks.
pub(super) fn check(catalog: &Catalog, change: &Change, view: &View<'_>) -> Findings {
    let mut findings = Findings::default();
    match &change.object {
        Some(Object::Kind(kind)) => check_kind(catalog, kind, &mut findings),
        Some(Object::Workspace(workspace)) => check_workspace(catalog, workspace, &mut findings),
        Some(Object::Rack(rack)) => check_rack(rack, view, &mut findings),
        Some(Object::Pool(_) | Object::Weights(_)) => {}
        None => check_removal(catalog, change, view, &mut findings),
    }
    findings
}

fn check_kind(catalog: &Catalog, kind: &Kind, findings: &mut Findings) {
    if catalog.pool(&kind.pool).is_none() {
        findings.add("/body/pool", format!("there is no pool {}", kind.pool));
    }
}

fn check_workspace(catalog: &Catalog, workspace: &Workspace, findings: &mut Findings) {
    for (i, kind) in workspace.kinds.iter().enumerate() {
        if catalog.kind(kind).is_none() {
            let place = format!("/body/kinds/{i}");
            findings.add(place, format!("there is no kind {kind}"));
        }
    }
    let guaranteed: u64 = workspace
        .guarantees
        .iter()
        .map(|one| u64::from(one.count) * u64::from(one.shape.accelerators))
        .sum();
    if guaranteed > u64::from(workspace.quota) {
        let text = format!("must be at least {guaranteed}, which is guaranteed");
        findings.add("/body/quota", text);
    }
}

fn check_rack(rack: &Rack, view: &View<'_>, findings: &mut Findings) {
    for (i, worker) in rack.workers.iter().enumerate() {
        let Some(host) = view.fleet.hosts.get(&worker.name) else {
            continue;
        };
        if host.rack != rack.name && !host.retired {
            let place = format!("/body/workers/{i}/name");
            findings.add(place, format!("{} is in rack {}", worker.name, host.rack));
        }
    }
}

fn check_removal(catalog: &Catalog, change: &Change, view: &View<'_>, findings: &mut Findings) {
    let name = &change.name;
    if catalog.version(change.class, name) == 0 {
        findings.add("/object", "there is nothing to remove");
        return;
    }
    let users: Vec<String> = match change.class {
        Class::Pool => kinds_of_pool(catalog, name).collect(),
        Class::Kind => {
            let jobs = live_jobs(view, |gang| gang.job.kind == *name);
            workspaces_with_kind(catalog, name).chain(jobs).collect()
        }
        Class::Workspace => live_jobs(view, |gang| gang.job.workspace == *name).collect(),
        Class::Rack | Class::Weights => Vec::new(),
    };
    if users.is_empty() {
        return;
    }
    let named = users.iter().take(MAX_USERS).cloned();
    let named = named.collect::<Vec<String>>().join(", ");
    let text = match users.len() {
        count if count > MAX_USERS => {
            format!("is in use by {named} and {} more", count - MAX_USERS)
        }
        _ => format!("is in use by {named}"),
    };
    findings.add("/object", text);
}

fn kinds_of_pool<'a>(catalog: &'a Catalog, pool: &'a Name) -> impl Iterator<Item = String> + 'a {
    let kinds = catalog.kinds.values().map(|current| &current.value);
    let users = kinds.filter(move |kind| kind.pool == *pool);
    users.map(|kind| format!("kind/{}", kind.name))
}

fn workspaces_with_kind<'a>(
    catalog: &'a Catalog,
    kind: &'a Name,
) -> impl Iterator<Item = String> + 'a {
    let workspaces = catalog.workspaces.values().map(|current| &current.value);
    let users = workspaces.filter(move |workspace| workspace.kinds.contains(kind));
    users.map(|workspace| format!("workspace/{}", workspace.name))
}

/// Iterates over the jobs that have not ended and for which `test` holds.
fn live_jobs<'a>(
    view: &View<'a>,
    test: impl Fn(&Gang) -> bool + 'a,
) -> impl Iterator<Item = String> + 'a {
    let live = view.gangs.all.values();
    let live = live.filter(|gang| !matches!(gang.phase, Phase::Ended(_)));
    let users = live.filter(move |gang| test(gang));
    users.map(|gang| format!("job {}", gang.job.id))
}
