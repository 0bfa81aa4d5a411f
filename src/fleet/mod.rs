//! Schedules multi-step jobs on upstreams. One VM leads and stores every decision before it
//! carries the decision out.
//!
//! The state is kept as rows of a fenced store. The leader holds it in memory, stores each change
//! before it sends the orders that follow from it, and replies to all callers; the other VMs relay
//! calls to it. [`Scheduler`] is a deterministic reducer: it takes an [`Event`] and a time, and
//! returns rows to store and effects to carry out. Unless stated otherwise, times in its state are
//! milliseconds of the VM's steady clock (the "local clock"): [`clock::boot_ms`], or
//! [`clock::steady_ms`] in the election.

mod admit;
mod advice;
mod cadence;
mod callers;
pub mod clock;
mod crashes;
mod decide;
mod discovery;
pub mod effect;
pub mod election;
mod ends;
mod evacuate;
pub mod event;
pub mod gauge;
pub mod host;
mod inherited;
mod learned;
pub mod leases;
pub mod load;
pub mod logging;
pub mod mandate;
pub mod model;
mod observe;
mod pace;
mod plan;
pub mod ports;
mod preempt;
mod reservations;
mod restart;
mod restarted;
pub mod row;
mod runs;
mod scheduler;
pub mod settings;
mod shares;
mod snapshot;
mod speeds;
mod starts;
mod stored;
mod task;
pub mod timing;
pub mod token;
mod unanswered;
mod upkeep;
mod upstream;
mod waiting;
mod watch;

pub use effect::Effect;
pub use effect::Output;
pub use event::Event;
pub use scheduler::Scheduler;
