//! The reducer: one function over all events, whose effects are data.

pub mod effect;
pub mod event;
pub mod keeper;
pub mod ledger;
pub mod peers;
pub mod plan;
pub mod requests;
mod step;

pub use effect::Effect;
pub use event::Event;
pub use event::Now;
pub use step::State;
pub use step::step;
