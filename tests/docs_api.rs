//! The pages are held to the interfaces.

use std::path::Path;
use trefoilgauge::reducer::effect::Code;
use trefoilgauge::reducer::effect::Ran;

/// Returns the text between backquotes that begins at the start of a cell.
fn code(cell: &str) -> &str {
    cell.trim().trim_matches('`')
}

#[test]
fn each_refusal_of_the_page_has_a_code_of_the_interface_and_says_whether_it_ran() {
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
fn each_link_of_the_pages_leads_to_a_file_that_is_there() {
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
