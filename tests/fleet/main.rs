//! The scheduler of jobs of steps, without a network.

#![expect(clippy::unwrap_used, clippy::panic, reason = "helpers of tests")]

mod guarantees;
mod load;
mod once;
mod steps;
mod world;
