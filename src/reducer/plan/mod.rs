//! Planning: where to place gangs, which gangs to stop for others, and which guarantees can be
//! given.

pub mod capacity;
pub mod guarantee;
pub mod pack;
pub mod queue;
mod repack;
mod reserve;
pub mod round;
pub mod standing;
pub mod victims;
