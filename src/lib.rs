//! A scheduler for multi-accelerator jobs under workspace guarantees.
//!
//! Every decision is made by one deterministic reducer ([`reducer::step`]) over typed events;
//! everything that touches the outside is an effect, carried out by the [`modules`].
//! What must be agreed is a record in the platform's log, and is in force or void by a pure
//! function of the log's prefix ([`reducer::ledger`]).

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
