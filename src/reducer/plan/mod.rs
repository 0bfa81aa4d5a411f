//! Plans: which gang goes where, what must be reclaimed, and what can be promised.

pub mod capacity;
pub mod guarantee;
pub mod pack;
pub mod queue;
mod repack;
mod reserve;
pub mod round;
pub mod standing;
pub mod victims;
