//! Counts which requests upstreams executed, for the check that none ran twice.

use crate::shared::Shared;
use std::collections::BTreeMap;
use trefoilgauge::prelude::Name;

/// One execution of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Execution {
    /// The runner.
    pub runner: Name,
    /// The kind of work.
    pub kind: Name,
    /// The request's identifier, empty if none was sent.
    pub request: Name,
    /// The idempotency key, if one was sent.
    pub key: Option<Name>,
    /// The digest of the body.
    pub digest: Name,
}

/// All executions of the runners that share it.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    list: Shared<Vec<Execution>>,
}

impl Tally {
    /// Adds an execution.
    pub fn add(&self, execution: Execution) {
        self.list.with(|list| list.push(execution));
    }

    /// Returns all executions, in order.
    pub fn all(&self) -> Vec<Execution> {
        self.list.with(|list| list.clone())
    }

    /// Counts the executions of a request's identifier.
    pub fn of_request(&self, request: &str) -> usize {
        self.count(|one| *one.request == *request)
    }

    /// Counts the executions of an idempotency key.
    pub fn of_key(&self, key: &str) -> usize {
        self.count(|one| one.key.as_deref() == Some(key))
    }

    /// Counts the executions of a body.
    pub fn of_digest(&self, digest: &str) -> usize {
        self.count(|one| *one.digest == *digest)
    }

    /// Returns the idempotency keys of `kinds` that ran more than once.
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

    fn count(&self, test: impl Fn(&Execution) -> bool) -> usize {
        self.list
            .with(|list| list.iter().filter(|one| test(one)).count())
    }
}
