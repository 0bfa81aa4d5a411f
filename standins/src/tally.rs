//! Records the requests that runners executed, to check that none ran twice.

use crate::shared::Shared;
use std::collections::BTreeMap;
use trefoilgauge::prelude::Name;

/// One execution of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Execution {
    /// The runner that executed it.
    pub runner: Name,
    /// The kind of work.
    pub kind: Name,
    /// The request's identifier, empty if none was sent.
    pub request: Name,
    /// The idempotency key, if one was sent.
    pub key: Option<Name>,
    /// The digest of the request body.
    pub digest: Name,
}

/// The executions of all runners that share this tally.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    list: Shared<Vec<Execution>>,
}

impl Tally {
    /// Records an execution.
    pub fn add(&self, execution: Execution) {
        self.list.with(|list| list.push(execution));
    }

    /// Returns all executions, in the order in which they started.
    pub fn all(&self) -> Vec<Execution> {
        self.list.with(|list| list.clone())
    }

    /// Counts the executions with this request identifier.
    pub fn of_request(&self, request: &str) -> usize {
        self.count(|one| *one.request == *request)
    }

    /// Counts the executions with this idempotency key.
    pub fn of_key(&self, key: &str) -> usize {
        self.count(|one| one.key.as_deref() == Some(key))
    }

    /// Counts the executions with this body digest.
    pub fn of_digest(&self, digest: &str) -> usize {
        self.count(|one| *one.digest == *digest)
    }

    /// Returns the idempotency keys that ran more than once, for requests of `kinds`.
    pub fn doubled(&self, kinds: &[&str]) -> Vec<Name> {
        let mut runs: BTreeMap<Name, u32> = BTreeMap::new();
        for one in self.all() {
            let Some(key) = one.key else {
                continue;
            };
            if kinds.contains(&&*one.kind) {
                *runs.entry(key).or_default() += 1;
            }
        }
        runs.retain(|_, count| *count > 1);
        runs.into_keys().collect()
    }

    fn count(&self, predicate: impl Fn(&Execution) -> bool) -> usize {
        self.list
            .with(|list| list.iter().filter(|one| predicate(one)).count())
    }
}
