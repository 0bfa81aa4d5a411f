//! The reducer: a deterministic state machine whose inputs are events and whose outputs are
//! effects, which the runtime carries out.

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
