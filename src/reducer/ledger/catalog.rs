//! The configuration in force: of two racing changes of an object, the log's first wins.

use super::StagedRecord;
use super::change;
use super::change::Change;
use super::change::Class;
use super::change::DecodeError;
use super::fleet::Fleet;
use super::gangs::Gangs;
use super::references;
use crate::model::Kind;
use crate::model::Object;
use crate::model::Pool;
use crate::model::Rack;
use crate::model::Weights;
use crate::model::Workspace;
use crate::prelude::*;
use crate::records::Void;
use crate::reducer::plan::guarantee;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::VecDeque;

/// The most verdicts on changes that are remembered.
pub const RULED_MAX: usize = 4_096;
/// The most findings of one record that are remembered.
pub const MAX_FINDINGS: usize = 16;

/// An object with its version: the configuration offset in force right after its last change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// The version.
    pub version: Offset,
    /// The object.
    pub value: T,
}

/// The verdict on a configuration record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeVerdict {
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
    pub workspaces: BTreeMap<Name, Versioned<Workspace>>,
    /// The kinds of work.
    pub kinds: BTreeMap<Name, Versioned<Kind>>,
    /// The pools of upstreams.
    pub pools: BTreeMap<Name, Versioned<Pool>>,
    /// The racks of workers.
    pub racks: BTreeMap<Name, Versioned<Rack>>,
    /// The policy's weights.
    pub weights: Option<Versioned<Weights>>,
    /// The last verdicts, the oldest first.
    pub ruled: VecDeque<ChangeVerdict>,
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
    ) -> ChangeVerdict {
        self.next = record.offset + 1;
        let mut ruled = ChangeVerdict {
            offset: record.offset,
            control,
            change: "".into(),
            object: "".into(),
            refused: Findings::default(),
            newer: None,
        };
        match change::decode(&record.data) {
            Err(DecodeError::Invalid(findings)) => ruled.refused = findings,
            Err(DecodeError::TooNew(schema)) => {
                ruled.newer = Some(schema);
                self.too_new = self.too_new.or(Some(record.offset));
            }
            Ok(change) => {
                ruled.change = change.id.clone();
                ruled.object = object_path(change.class, &change.name).into();
                ruled.refused = self
                    .accept(change, record.offset + 1, view)
                    .err()
                    .unwrap_or_default();
            }
        }
        ruled.refused.shorten(MAX_FINDINGS);
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
        let mut findings = references::check(self, &change, view);
        let Change {
            class,
            name,
            object,
            ..
        } = change;
        let before = self.get(class, &name);
        let counts = (self.rack_changes, self.shape_changes);
        self.set(class, &name, object, version);
        if !view.gangs.follows(self.shape_changes)
            && let Err(text) = guarantee::check_guarantees(self, view.fleet, view.gangs)
        {
            findings.add("guarantees", text);
        }
        if findings.is_empty() {
            return Ok(());
        }
        let (object, version) = match before {
            Some(held) => (Some(held.value), held.version),
            None => (None, 0),
        };
        self.set(class, &name, object, version);
        (self.rack_changes, self.shape_changes) = counts;
        Err(findings)
    }

    /// Returns a copy of an object.
    fn get(&self, class: Class, name: &str) -> Option<Versioned<Object>> {
        match class {
            Class::Workspace => copy(self.workspaces.get(name), Object::Workspace),
            Class::Kind => copy(self.kinds.get(name), Object::Kind),
            Class::Pool => copy(self.pools.get(name), Object::Pool),
            Class::Rack => copy(self.racks.get(name), Object::Rack),
            Class::Weights => copy(self.weights.as_ref(), Object::Weights),
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
            Some(Object::Weights(value)) => self.weights = Some(Versioned { version, value }),
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
}

fn copy<T: Clone>(
    held: Option<&Versioned<T>>,
    wrap: impl Fn(T) -> Object,
) -> Option<Versioned<Object>> {
    held.map(|held| Versioned {
        version: held.version,
        value: wrap(held.value.clone()),
    })
}

/// Returns the path of an object, such as `workspace/scoring`.
pub fn object_path(class: Class, name: &str) -> String {
    let class = match class {
        Class::Workspace => "workspace",
        Class::Kind => "kind",
        Class::Pool => "pool",
        Class::Rack => "rack",
        Class::Weights => "weights",
    };
    format!("{class}/{name}")
}

fn put<T>(map: &mut BTreeMap<Name, Versioned<T>>, name: &Name, value: T, version: Offset) {
    map.insert(name.clone(), Versioned { version, value });
}
