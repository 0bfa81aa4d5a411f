//! Orders to start a run that got no response. Such an order may be carried out seconds later, even
//! by a process that has taken the place of the one it was sent to, under the same identity. The new
//! process knows neither the fencing token nor that the run was stopped or has ended, so it has to be
//! told.

use super::model::RunId;
use super::timing::END_POLL_MS;
use super::timing::MAX_DELAY_MS;
use crate::prelude::*;
use std::collections::BTreeMap;

/// An order without a response.
#[derive(Debug)]
struct Order {
    run: RunId,
    /// When it cannot be carried out any more, local clock.
    until: u64,
    /// Whether the present process has to be told.
    bar: Bar,
}

/// Whether the present process of an upstream has to be told to stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Bar {
    /// No: the order was sent to it, or it was told.
    None,
    /// Yes, and it was not told yet.
    Wanted,
    /// It was told, and is told again at this time, local clock, if it does not confirm.
    Sent(u64),
}

/// The orders without a response, by upstream.
#[derive(Debug, Default)]
pub(super) struct Unanswered {
    orders: BTreeMap<Name, Vec<Order>>,
}

impl Unanswered {
    /// Adds an order.
    pub(super) fn add(&mut self, now: u64, at: &Name, run: &RunId) {
        let orders = self.orders.entry(at.clone()).or_default();
        let until = now + MAX_DELAY_MS;
        match orders.iter_mut().find(|order| order.run == *run) {
            Some(order) => order.until = until,
            None => orders.push(Order {
                run: run.clone(),
                until,
                bar: Bar::None,
            }),
        }
    }

    /// Adds an order for a run that is not live any more: whichever process carries it out must not
    /// start the run.
    pub(super) fn add_barred(&mut self, now: u64, at: &Name, run: &RunId) {
        self.add(now, at, run);
        for order in self.orders.get_mut(at).into_iter().flatten() {
            if order.run == *run && order.bar == Bar::None {
                order.bar = Bar::Wanted;
            }
        }
    }

    /// Records that the process of an upstream was replaced, or may have been: the present one has
    /// to be told to stop the runs of its orders.
    pub(super) fn replaced(&mut self, at: &Name) {
        for order in self.orders.get_mut(at).into_iter().flatten() {
            order.bar = Bar::Wanted;
        }
    }

    /// Records that the present process confirmed to stop a run, if it was told to.
    pub(super) fn barred(&mut self, at: &Name, run: &RunId) {
        for order in self.orders.get_mut(at).into_iter().flatten() {
            if order.run == *run && order.bar != Bar::Wanted {
                order.bar = Bar::None;
            }
        }
    }

    /// Returns whether the present process may still carry out an order for `run`.
    pub(super) fn is_open(&self, at: &Name, run: &RunId) -> bool {
        let orders = self.orders.get(at);
        let found = orders.and_then(|orders| orders.iter().find(|order| order.run == *run));
        found.is_some_and(|order| order.bar != Bar::None)
    }

    /// Forgets the orders that cannot be carried out any more, and returns the runs that are to be
    /// stopped now, each with its upstream and the age of its order in milliseconds.
    pub(super) fn due(&mut self, now: u64) -> Vec<(Name, RunId, u64)> {
        let mut due = Vec::new();
        self.orders.retain(|at, orders| {
            orders.retain(|order| now < order.until);
            for order in orders.iter_mut() {
                let is_due = match order.bar {
                    Bar::None => false,
                    Bar::Wanted => true,
                    Bar::Sent(again_at) => again_at <= now,
                };
                if is_due {
                    order.bar = Bar::Sent(now + END_POLL_MS);
                    let age_ms = MAX_DELAY_MS.saturating_sub(order.until.saturating_sub(now));
                    due.push((at.clone(), order.run.clone(), age_ms));
                }
            }
            !orders.is_empty()
        });
        due
    }
}
