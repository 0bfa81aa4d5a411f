//! `docs/API.md` matches the API, and links between pages are valid.

use std::path::Path;
use trefoilgauge::reducer::effect::Code;
use trefoilgauge::reducer::effect::Ran;

/// Returns the text of a table cell without its backquotes.
fn code(cell: &str) -> &str {
    cell.trim().trim_matches('`')
}

#[test]
fn each_documented_refusal_has_a_known_code_and_ran_value() {
    let page = include_str!("../docs/API.md");
    let rows = page
        .lines()
        .filter(|line| line.starts_with("| 4") || line.starts_with("| 5"));
    let mut codes = 0;
    for row in rows {
        let cells: Vec<&str> = row.trim_matches('|').split('|').collect();
        let name = code(cells[1]);
        if name == "bad_input" {
            continue;
        }
        codes += 1;
        let known = serde_json::from_value::<Code>(name.into());
        assert!(known.is_ok(), "{row}");
        for ran in cells[2].split(',') {
            let known = serde_json::from_value::<Ran>(ran.trim().into());
            assert!(known.is_ok(), "{row}");
        }
    }
    assert!(codes > 20, "{codes}");
}

#[test]
fn each_link_in_the_pages_points_to_an_existing_file() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let pages = ["docs/API.md", "docs/OPERATIONS.md", "docs/SETTINGS.md"];
    for page in pages {
        let text = std::fs::read_to_string(root.join(page)).expect(page);
        for link in text.split("](").skip(1) {
            let target = link.split(')').next().unwrap_or_default();
            let file = root.join("docs").join(target);
            assert!(file.is_file(), "{page}: {target}");
        }
    }
}
