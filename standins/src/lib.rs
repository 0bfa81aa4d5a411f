//! Stand-ins for the platform services that trefoilgauge's tests and demonstration use.
//!
//! Each has a handle that starts it on an ephemeral port, injects faults while it runs, and
//! returns its counters. `docs/PLATFORM.md` describes the calls that they serve.

pub mod client;
pub mod connection;
pub mod demo;
pub mod fault_rate;
pub mod log;
mod pause;
pub mod platform;
pub mod relay;
pub mod runner;
pub mod serve;
pub mod shared;
pub mod tally;
pub mod vms;
pub mod worker;
