//! Tests of gangs: guarantees, planning and faults, through the ledger and the planner.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod guarantee;
mod interleave;
mod keeper;
mod log;
