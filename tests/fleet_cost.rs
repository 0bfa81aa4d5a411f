//! The planner's shortcuts on a loaded fleet: debug builds compare each with the whole scan.

use trefoilgauge::bench::fleet;

#[test]
fn sums_of_racks_leave_out_no_place_under_load() {
    let row = fleet::measure(100);
    assert!(row.jobs > 80, "{row:?}");
    assert!(row.starts > 1_000, "{row:?}");
}
