//! The configuration in force. Of two concurrent changes to an object, the first in the log wins.

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
pub const MAX_VERDICTS: usize = 4_096;
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
    /// The control offset of the verdict; an accepted change is in force after it.
    pub control: Offset,
    /// The publisher's identifier of the change, empty if it could not be read.
    pub change: Name,
    /// The object, such as `workspace/scoring`.
    pub object: Name,
    /// Why it was refused; empty if it is in force.
    pub refused: Findings,
    /// The schema, if it is newer than this version supports; this VM then decides nothing more.
    pub newer: Option<u64>,
}

/// The state, besides the configuration, against which a change is checked.
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
    /// The weights of the scheduling policy.
    pub weights: Option<Versioned<Weights>>,
    /// The last verdicts, the oldest first.
    pub ruled: VecDeque<ChangeVerdict>,
    /// The offset of the first record whose schema is newer than this version supports.
    pub too_new: Option<Offset>,
    /// The number of changes to racks.
    pub rack_changes: u64,
    /// The number of changes to racks and guarantees.
    pub shape_changes: u64,
}

impl Catalog {
    /// Returns a workspace.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.get(name).map(|current| &current.value)
    }

    /// Returns a kind of work.
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        self.kinds.get(name).map(|current| &current.value)
    }

    /// Returns a pool.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.get(name).map(|current| &current.value)
    }

    /// Returns the weights of the scheduling policy.
    pub fn weights(&self) -> Weights {
        self.weights
            .as_ref()
            .map(|current| current.value)
            .unwrap_or_default()
    }

    /// Checks that a workspace may submit a kind of work, and returns the kind.
    ///
    /// # Errors
    ///
    /// [`Void::Unknown`] if one of them does not exist, else [`Void::Policy`].
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
    pub(super) fn apply(
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
        if self.ruled.len() >= MAX_VERDICTS {
            self.ruled.pop_front();
        }
        self.ruled.push_back(ruled.clone());
        ruled
    }

    /// Returns the version of an object, 0 if there is none.
    pub fn version(&self, class: Class, name: &str) -> Offset {
        let version = match class {
            Class::Workspace => self.workspaces.get(name).map(|current| current.version),
            Class::Kind => self.kinds.get(name).map(|current| current.version),
            Class::Pool => self.pools.get(name).map(|current| current.version),
            Class::Rack => self.racks.get(name).map(|current| current.version),
            Class::Weights => self.weights.as_ref().map(|current| current.version),
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
        if !view.gangs.standing_is_current(self.shape_changes)
            && let Err(text) = guarantee::check_guarantees(self, view.fleet, view.gangs)
        {
            findings.add("guarantees", text);
        }
        if findings.is_empty() {
            return Ok(());
        }
        let (object, version) = match before {
            Some(current) => (Some(current.value), current.version),
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
        if class == Class::Rack || self.changes_guarantees(class, name, object.as_ref()) {
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

    /// Returns whether setting an object changes the guarantees of a workspace.
    fn changes_guarantees(&self, class: Class, name: &str, object: Option<&Object>) -> bool {
        let next = match object {
            Some(Object::Workspace(next)) => next.guarantees.as_slice(),
            _ => &[],
        };
        let present = self
            .workspace(name)
            .map(|current| current.guarantees.as_slice());
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
    current: Option<&Versioned<T>>,
    wrap: impl Fn(T) -> Object,
) -> Option<Versioned<Object>> {
    current.map(|current| Versioned {
        version: current.version,
        value: wrap(current.value.clone()),
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
