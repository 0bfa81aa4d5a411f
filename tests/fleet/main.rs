//! The scheduler of jobs of steps, without a network.

mod guarantees;
mod once;
mod steps;
mod world;
