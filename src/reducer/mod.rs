//! The reducer: one function over all events, whose effects are data.

pub mod effect;
pub mod event;
pub mod jobs;
pub mod keeper;
pub mod ledger;
mod notes;
pub mod peers;
pub mod plan;
mod proposals;
pub mod requests;
mod step;

pub use effect::Effect;
pub use event::Event;
pub use event::Now;
pub use step::State;
pub use step::step;
