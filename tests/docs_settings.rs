//! `docs/SETTINGS.md` is held to the table of options.

use trefoilgauge::configs::options::OPTIONS;

#[test]
fn the_page_has_one_row_for_each_option_and_no_other() {
    let page = include_str!("../docs/SETTINGS.md");
    let actual: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let expected: Vec<String> = OPTIONS.iter().map(|option| option.row()).collect();
    for (expected, actual) in expected.iter().zip(&actual) {
        assert_eq!(expected, actual, "print-config --table prints the rows");
    }
    assert_eq!(expected.len(), actual.len());
}
