//! The scheduler of jobs of steps, without a network.

#![expect(clippy::unwrap_used, clippy::panic, reason = "helpers of tests")]

mod advice;
mod advisor;
mod capacity;
mod cloud;
mod crashes;
mod evacuate;
mod fake;
mod flaky;
mod guarantees;
mod handover;
mod journal;
mod lasting;
mod learned;
mod load;
mod once;
mod pace;
mod predict;
mod preempt;
mod quarantine;
mod replaced;
mod reports;
mod reservations;
mod reserved;
mod restarts;
mod routes;
mod shares;
mod speed;
mod stale;
mod steps;
mod terms;
mod timed;
mod unreadable;
mod upkeep;
mod world;
