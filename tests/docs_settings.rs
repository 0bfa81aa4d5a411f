//! `docs/SETTINGS.md` matches the table of options.

use trefoilgauge::configs::options::OPTIONS;

#[test]
fn the_page_has_exactly_one_row_per_option() {
    let page = include_str!("../docs/SETTINGS.md");
    let actual: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let expected: Vec<String> = OPTIONS.iter().map(|option| option.row()).collect();
    for (expected, actual) in expected.iter().zip(&actual) {
        assert_eq!(
            expected, actual,
            "the expected rows are printed by print-config --table"
        );
    }
    assert_eq!(expected.len(), actual.len());
}
