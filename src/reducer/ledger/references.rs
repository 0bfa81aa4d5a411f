//! The references from and to a changed object; no other object is looked at.

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

/// The most users of an object that a refusal names.
const USERS_MAX: usize = 3;

/// Checks that what the change names exists, and that nothing uses what it removes.
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
        Class::Pool => kinds_of(catalog, name).collect(),
        Class::Kind => {
            let jobs = jobs(view, |gang| gang.job.kind == *name);
            workspaces_of(catalog, name).chain(jobs).collect()
        }
        Class::Workspace => jobs(view, |gang| gang.job.workspace == *name).collect(),
        Class::Rack | Class::Weights => Vec::new(),
    };
    if users.is_empty() {
        return;
    }
    let named = users.iter().take(USERS_MAX).cloned();
    let named = named.collect::<Vec<String>>().join(", ");
    let text = match users.len() {
        count if count > USERS_MAX => {
            format!("is in use by {named} and {} more", count - USERS_MAX)
        }
        _ => format!("is in use by {named}"),
    };
    findings.add("/object", text);
}

fn kinds_of<'a>(catalog: &'a Catalog, pool: &'a Name) -> impl Iterator<Item = String> + 'a {
    let kinds = catalog.kinds.values().map(|held| &held.value);
    let users = kinds.filter(move |kind| kind.pool == *pool);
    users.map(|kind| format!("kind/{}", kind.name))
}

fn workspaces_of<'a>(catalog: &'a Catalog, kind: &'a Name) -> impl Iterator<Item = String> + 'a {
    let workspaces = catalog.workspaces.values().map(|held| &held.value);
    let users = workspaces.filter(move |workspace| workspace.kinds.contains(kind));
    users.map(|workspace| format!("workspace/{}", workspace.name))
}

/// Iterates over the jobs that have not ended and satisfy `test`.
fn jobs<'a>(
    view: &View<'a>,
    test: impl Fn(&Gang) -> bool + 'a,
) -> impl Iterator<Item = String> + 'a {
    let live = view.gangs.all.values();
    let live = live.filter(|gang| !matches!(gang.phase, Phase::Ended(_)));
    let users = live.filter(move |gang| test(gang));
    users.map(|gang| format!("job {}", gang.job.id))
}
