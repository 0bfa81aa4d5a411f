//! The planner's shortcuts on a loaded fleet: debug builds compare each result with a full scan.

use trefoilgauge::bench::fleet;

#[test]
fn rack_totals_exclude_no_feasible_placement_under_load() {
    let row = fleet::measure(100);
    assert!(row.jobs > 80, "{row:?}");
    assert!(row.starts > 1_000, "{row:?}");
}
