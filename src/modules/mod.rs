//! The I/O modules: they execute the reducer's effects and feed it events. Each has a file here and
//! its options in [`crate::configs`].

pub mod append;
pub mod audit;
pub mod callers;
pub mod checkpoint;
pub mod dispatch;
pub mod engine;
pub mod exchange;
pub mod http;
pub mod lifecycle;
pub mod log;
pub mod main;
pub mod members;
pub mod ops;
mod outbound;
pub mod peers;
mod pool;
pub mod process;
pub mod tail;
pub mod timings;
pub mod wire;
pub mod workers;
