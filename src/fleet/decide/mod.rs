//! The scheduler's decisions, each a function of values: no network, no clock, no open state.
//!
//! The planner gathers the values, asks the decisions in turn, and turns their results into
//! effects.

pub(super) mod admit;
pub(super) mod evict;
pub(super) mod order;
pub(super) mod place;
pub(super) mod predict;
pub(super) mod speed;
pub(super) mod trust;
pub(super) mod victims;
