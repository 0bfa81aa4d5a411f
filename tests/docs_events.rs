//! `docs/EVENTS.md` matches the catalogue of events.

use trefoilgauge::events::CATALOGUE;

/// Returns the cells of each table row for an event of the catalogue. Events of `trefoil-vm` (TG1...)
/// have a separate test.
fn rows(page: &str) -> Vec<Vec<&str>> {
    let rows = page.lines().filter(|line| line.starts_with("| TG0"));
    rows.map(|row| row.trim_matches('|').split('|').map(str::trim).collect())
        .collect()
}

#[test]
fn the_page_has_exactly_one_row_per_event() {
    let rows = rows(include_str!("../docs/EVENTS.md"));
    for (row, kind) in rows.iter().zip(CATALOGUE) {
        let audit = if kind.audit { "yes" } else { "no" };
        let expected = [
            format!("TG{:04}", kind.code),
            kind.name.to_owned(),
            kind.level.as_str().to_lowercase(),
            audit.to_owned(),
        ];
        assert_eq!(expected[..], row[..4]);
        assert!(
            row.len() == 7 && !row[5].is_empty() && !row[6].is_empty(),
            "{row:?}"
        );
    }
    assert_eq!(CATALOGUE.len(), rows.len());
}

#[test]
fn event_numbers_are_unique_and_ascending() {
    assert!(CATALOGUE.is_sorted_by(|a, b| a.code < b.code));
}
