//! The configuration in force: of two racing changes of an object, the log's first wins.

use super::StagedRecord;
use super::change;
use super::change::Change;
use super::change::Class;
use super::change::Rejected;
use super::fleet::Fleet;
use super::gangs::Gangs;
use crate::model::Kind;
use crate::model::Object;
use crate::model::Pool;
use crate::model::Rack;
use crate::model::Weights;
use crate::model::Workspace;
use crate::prelude::*;
use crate::records::Verdict;
use crate::records::Void;
use crate::reducer::plan::guarantee;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::VecDeque;

/// The most verdicts on changes that are remembered.
pub const RULED_MAX: usize = 4_096;

/// An object with its version: the configuration offset in force right after its last change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Held<T> {
    /// The version.
    pub version: Offset,
    /// The object.
    pub value: T,
}

/// The verdict on a configuration record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ruled {
    /// The record's configuration offset.
    pub offset: Offset,
    /// The control offset at which the verdict fell; the change is in force after it.
    pub control: Offset,
    /// The publisher's identifier of the change, empty if it could not be read.
    pub change: Name,
    /// The object, such as `workspace/scoring`.
    pub object: Name,
    /// Why it was refused; empty if it is in force.
    pub refused: Findings,
    /// The schema, if it is newer than this version knows; then this VM decides nothing more.
    pub newer: Option<u64>,
}

/// What a change is checked against besides the configuration.
#[derive(Debug)]
pub struct View<'a> {
    /// The workers.
    pub fleet: &'a Fleet,
    /// The gangs.
    pub gangs: &'a Gangs,
}

/// All objects in force.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The next configuration offset: all records below it are in force or refused.
    pub next: Offset,
    /// The workspaces.
    pub workspaces: BTreeMap<Name, Held<Workspace>>,
    /// The kinds of work.
    pub kinds: BTreeMap<Name, Held<Kind>>,
    /// The pools of upstreams.
    pub pools: BTreeMap<Name, Held<Pool>>,
    /// The racks of workers.
    pub racks: BTreeMap<Name, Held<Rack>>,
    /// The policy's weights.
    pub weights: Option<Held<Weights>>,
    /// The last verdicts, the oldest first.
    pub ruled: VecDeque<Ruled>,
    /// The offset of a record that is newer than this version knows.
    pub too_new: Option<Offset>,
    /// Counts the changes of racks.
    pub rack_changes: u64,
    /// Counts the changes of racks and of guarantees.
    pub shape_changes: u64,
}

impl Catalog {
    /// Returns a workspace.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.get(name).map(|held| &held.value)
    }

    /// Returns a kind of work.
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        self.kinds.get(name).map(|held| &held.value)
    }

    /// Returns a pool.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.get(name).map(|held| &held.value)
    }

    /// Returns the policy's weights.
    pub fn weights(&self) -> Weights {
        self.weights
            .as_ref()
            .map(|held| held.value)
            .unwrap_or_default()
    }

    /// Checks that a workspace may submit a kind of work, and returns the kind.
    ///
    /// # Errors
    ///
    /// [`Void::Unknown`] or [`Void::Policy`].
    pub fn allows(&self, workspace: &str, kind: &str) -> std::result::Result<&Kind, Void> {
        let Some(owner) = self.workspace(workspace) else {
            return Err(Void::Unknown(format!("workspace/{workspace}")));
        };
        let Some(found) = self.kind(kind) else {
            return Err(Void::Unknown(format!("kind/{kind}")));
        };
        if !owner.kinds.iter().any(|name| **name == *kind) {
            let text = format!("workspace {workspace} may not submit {kind}");
            return Err(Void::Policy(text));
        }
        Ok(found)
    }

    /// Puts the record in force, or refuses it with the reason.
    pub(super) fn rule(
        &mut self,
        record: &StagedRecord,
        control: Offset,
        view: &View<'_>,
    ) -> Ruled {
        self.next = record.offset + 1;
        let mut ruled = Ruled {
            offset: record.offset,
            control,
            change: "".into(),
            object: "".into(),
            refused: Findings::default(),
            newer: None,
        };
        match change::decode(&record.data) {
            Err(Rejected::Wrong(findings)) => ruled.refused = findings,
            Err(Rejected::TooNew(schema)) => {
                ruled.newer = Some(schema);
                self.too_new = self.too_new.or(Some(record.offset));
            }
            Ok(change) => {
                ruled.change = change.id.clone();
                ruled.object = path(change.class, &change.name).into();
                ruled.refused = self
                    .accept(change, record.offset + 1, view)
                    .err()
                    .unwrap_or_default();
            }
        }
        if self.ruled.len() >= RULED_MAX {
            self.ruled.pop_front();
        }
        self.ruled.push_back(ruled.clone());
        ruled
    }

    /// Returns the version of an object, 0 if there is none.
    pub fn version(&self, class: Class, name: &str) -> Offset {
        let version = match class {
            Class::Workspace => self.workspaces.get(name).map(|held| held.version),
            Class::Kind => self.kinds.get(name).map(|held| held.version),
            Class::Pool => self.pools.get(name).map(|held| held.version),
            Class::Rack => self.racks.get(name).map(|held| held.version),
            Class::Weights => self.weights.as_ref().map(|held| held.version),
        };
        version.unwrap_or(0)
    }

    fn accept(
        &mut self,
        change: Change,
        version: Offset,
        view: &View<'_>,
    ) -> std::result::Result<(), Findings> {
        let present = self.version(change.class, &change.name);
        if present != change.replaces {
            let text = format!(
                "names version {} but version {present} is in force: another change won",
                change.replaces
            );
            return Err(Findings::one("/replaces", text));
        }
        let before = self.held(change.class, &change.name);
        let counts = (self.rack_changes, self.shape_changes);
        self.set(change.class, &change.name, change.object, version);
        let checked = self.check(view);
        if checked.is_err() {
            self.restore(change.class, &change.name, before);
            (self.rack_changes, self.shape_changes) = counts;
        }
        checked
    }

    /// Copies one object with its version.
    fn held(&self, class: Class, name: &Name) -> Option<Held<Object>> {
        let value = match class {
            Class::Workspace => self.workspace(name).cloned().map(Object::Workspace),
            Class::Kind => self.kind(name).cloned().map(Object::Kind),
            Class::Pool => self.pool(name).cloned().map(Object::Pool),
            Class::Rack => {
                let rack = self.racks.get(name).map(|held| held.value.clone());
                rack.map(Object::Rack)
            }
            Class::Weights => {
                let weights = self.weights.as_ref().map(|held| held.value);
                weights.map(Object::Weights)
            }
        };
        let version = self.version(class, name);
        value.map(|value| Held { version, value })
    }

    /// Puts an object back as it was before a change that was refused.
    fn restore(&mut self, class: Class, name: &Name, before: Option<Held<Object>>) {
        match before {
            Some(held) => self.set(class, name, Some(held.value), held.version),
            None => self.remove(class, name),
        }
    }

    fn set(&mut self, class: Class, name: &Name, object: Option<Object>, version: Offset) {
        if class == Class::Rack {
            self.rack_changes += 1;
        }
        if class == Class::Rack || self.reshapes(class, name, object.as_ref()) {
            self.shape_changes += 1;
        }
        match object {
            Some(Object::Workspace(value)) => put(&mut self.workspaces, name, value, version),
            Some(Object::Kind(value)) => put(&mut self.kinds, name, value, version),
            Some(Object::Pool(value)) => put(&mut self.pools, name, value, version),
            Some(Object::Rack(value)) => put(&mut self.racks, name, value, version),
            Some(Object::Weights(value)) => self.weights = Some(Held { version, value }),
            None => self.remove(class, name),
        }
    }

    /// Tells whether an object changes what is guaranteed.
    fn reshapes(&self, class: Class, name: &str, object: Option<&Object>) -> bool {
        let next = match object {
            Some(Object::Workspace(next)) => next.guarantees.as_slice(),
            _ => &[],
        };
        let present = self.workspace(name).map(|held| held.guarantees.as_slice());
        class == Class::Workspace && present.unwrap_or_default() != next
    }

    fn remove(&mut self, class: Class, name: &Name) {
        match class {
            Class::Workspace => drop(self.workspaces.remove(name)),
            Class::Kind => drop(self.kinds.remove(name)),
            Class::Pool => drop(self.pools.remove(name)),
            Class::Rack => drop(self.racks.remove(name)),
            Class::Weights => self.weights = None,
        }
    }

    /// Checks what no single object shows: references, and that the guarantees can be held.
    fn check(&self, view: &View<'_>) -> std::result::Result<(), Findings> {
        let mut findings = Findings::default();
        for held in self.kinds.values() {
            let pool = &held.value.pool;
            if !self.pools.contains_key(pool) {
                let place = format!("kind/{}/pool", held.value.name);
                findings.add(place, format!("there is no pool {pool}"));
            }
        }
        for held in self.workspaces.values() {
            for kind in &held.value.kinds {
                if !self.kinds.contains_key(kind) {
                    let place = format!("workspace/{}/kinds", held.value.name);
                    findings.add(place, format!("there is no kind {kind}"));
                }
            }
        }
        if view.gangs.follows(self.shape_changes) {
            return finish(findings);
        }
        if let Err(text) = guarantee::can_promise(self, view.fleet, view.gangs) {
            findings.add("guarantees", text);
        }
        finish(findings)
    }
}

fn finish(findings: Findings) -> std::result::Result<(), Findings> {
    match findings.is_empty() {
        true => Ok(()),
        false => Err(findings),
    }
}

/// Returns the path of an object, such as `workspace/scoring`.
pub fn path(class: Class, name: &str) -> String {
    let class = match class {
        Class::Workspace => "workspace",
        Class::Kind => "kind",
        Class::Pool => "pool",
        Class::Rack => "rack",
        Class::Weights => "weights",
    };
    format!("{class}/{name}")
}

/// Checks that a claim or job names a kind that its workspace may submit.
///
/// # Errors
///
/// As [`Catalog::allows`].
pub fn check_allowed(catalog: &Catalog, workspace: &str, kind: &str) -> Verdict {
    catalog.allows(workspace, kind).map(|_| ())
}

fn put<T>(map: &mut BTreeMap<Name, Held<T>>, name: &Name, value: T, version: Offset) {
    map.insert(name.clone(), Held { version, value });
}
