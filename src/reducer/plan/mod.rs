//! Plans: which gang goes where, what must be reclaimed, and what can be promised.

pub mod guarantee;
pub mod pack;
pub mod round;
