//! A scheduler for multi-accelerator jobs under workspace guarantees.
//!
//! One deterministic reducer ([`reducer::step`]) makes every decision in response to typed events.
//! All I/O is expressed as effects, which the [`modules`] execute.
//! State that all VMs must agree on is derived from records in the platform's log. Whether a record
//! is in force or void is a pure function of the log's prefix ([`reducer::ledger`]).

pub mod bench;
pub mod configs;
pub mod context;
pub mod ctl;
pub mod events;
pub mod fields;
pub mod findings;
pub mod fleet;
pub mod model;
pub mod modules;
pub mod platform;
pub mod prelude;
pub mod records;
pub mod reducer;
