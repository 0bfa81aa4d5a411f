//! The fault matrix: the reducers of several processes, connected to small fakes of the platform.
//!
//! A fake turns effects into events. Time is virtual, and a seed determines the delays. Networks
//! are not modelled in detail: a message arrives, is duplicated, is delayed or is lost.

mod actions;
pub mod call;
pub mod checkers;
pub mod fault;
mod final_checks;
pub mod gangs;
pub mod log;
pub mod matrix;
pub mod network;
pub mod runner;
mod services;
pub mod steps;
pub mod vm;
pub mod worker;
pub mod workload;
pub mod world;
