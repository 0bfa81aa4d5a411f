//! The planner's shortcuts under load: debug builds compare each one with a full scan, so a
//! shortcut that misses a placement panics here.

use trefoilgauge::bench::fleet;

#[test]
fn rack_sums_miss_no_placement_under_load() {
    let row = fleet::measure(100);
    assert!(row.jobs > 80, "{row:?}");
    assert!(row.starts > 1_000, "{row:?}");
}
