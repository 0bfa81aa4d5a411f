//! Schedules jobs of steps on upstreams: one VM decides, every decision is stored before it acts.
//!
//! The state lives in rows of a fenced store. The VM that leads holds it in memory, writes each
//! change ahead of the order that follows from it, and answers for all callers; the other VMs
//! relay to it. [`Scheduler`] is a deterministic reducer: it takes an [`Event`] and a time, and
//! returns rows to store and effects to carry out.

mod admit;
mod advice;
mod callers;
pub mod clock;
mod discovery;
pub mod effect;
pub mod election;
mod ends;
mod evacuate;
pub mod event;
mod evict;
pub mod gauge;
mod health;
pub mod host;
mod inherited;
mod learn;
pub mod load;
pub mod logging;
pub mod model;
mod pace;
mod place;
mod plan;
pub mod ports;
mod preempt;
pub mod row;
mod runs;
mod scheduler;
pub mod settings;
mod snapshot;
mod task;
pub mod timing;
mod upkeep;
mod upstream;
mod victims;
mod waiting;

pub use effect::Effect;
pub use effect::Output;
pub use event::Event;
pub use scheduler::Scheduler;
