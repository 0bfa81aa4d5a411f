//! The fault matrix: the real reducer of several processes between small fakes of the platform.
//!
//! A fake takes an effect and gives an event; time is virtual, and a seed gives the delays. It is
//! no model of networks: a message arrives, comes twice, comes late or is lost.

mod acts;
pub mod call;
pub mod checkers;
mod closing;
pub mod fault;
pub mod gangs;
pub mod log;
pub mod matrix;
pub mod network;
pub mod plan;
pub mod runner;
mod services;
pub mod steps;
pub mod vm;
pub mod worker;
pub mod world;
