//! `docs/EVENTS.md` and `docs/OPERATIONS.md` must match the log events and metrics of `trefoil-vm`.

#![expect(clippy::unwrap_used, clippy::panic, reason = "helpers of tests")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;
use std::path::PathBuf;

const LEVELS: [&str; 3] = ["info", "warn", "error"];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|kind| kind == "rs") {
            found.push(path);
        }
    }
}

/// Returns the source code of the program.
fn code() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join("src/fleet"), &mut files);
    sources(&root.join("platform/src"), &mut files);
    let texts = files
        .iter()
        .map(|file| std::fs::read_to_string(file).unwrap());
    texts.collect()
}

/// Returns the level and the start of the text of each log call.
fn logged(code: &str) -> Vec<(&'static str, String)> {
    let mut found = Vec::new();
    for level in LEVELS {
        for call in code.split(&format!("log::{level}!(")).skip(1) {
            let text = call.trim_start().strip_prefix('"');
            let text = text.unwrap_or_else(|| panic!("no text first in {call:.60}"));
            found.push((level, text.chars().take(80).collect()));
        }
    }
    // The one line that does not go through the `log` crate: it counts the lines that were dropped.
    let direct = code.matches("\"TG1109 ").count();
    assert_eq!(direct, 1);
    found.push(("warn", "TG1109 ".to_owned()));
    found
}

fn number(text: &str) -> Option<&str> {
    let (number, _) = text.split_once(' ')?;
    let digits = number.strip_prefix("TG")?;
    (digits.len() == 4 && digits.bytes().all(|b| b.is_ascii_digit())).then_some(number)
}

#[test]
fn each_log_event_has_a_unique_number_and_a_row_in_the_docs() {
    let mut written = BTreeMap::new();
    for (level, text) in logged(&code()) {
        let number = number(&text).unwrap_or_else(|| panic!("{text:?} has no number"));
        let duplicate = written.insert(number.to_owned(), level);
        assert!(duplicate.is_none(), "{number} is used twice");
    }
    let page = include_str!("../docs/EVENTS.md");
    let mut documented = BTreeMap::new();
    for row in page.lines().filter(|line| line.starts_with("| TG1")) {
        let cells: Vec<&str> = row.trim_matches('|').split('|').map(str::trim).collect();
        let [number, level, event, meaning, advice] = cells[..] else {
            panic!("{row}");
        };
        assert!(
            !event.is_empty() && !meaning.is_empty() && !advice.is_empty(),
            "{row}"
        );
        documented.insert(number.to_owned(), level);
    }
    assert_eq!(written, documented);
}

/// Returns the words of `text` that begin with `start`.
fn words<'a>(text: &'a str, start: &str) -> BTreeSet<&'a str> {
    let part = |c: char| !(c.is_ascii_alphanumeric() || c == '_');
    let found = text.split(part).filter(|word| word.starts_with(start));
    found.collect()
}

#[test]
fn the_guide_lists_exactly_the_metrics_that_exist() {
    let code = include_str!("../src/fleet/gauge.rs");
    let page = include_str!("../docs/OPERATIONS.md");
    assert_eq!(words(code, "fleet_"), words(page, "fleet_"));
}

#[test]
fn the_guide_names_only_events_that_exist() {
    let page = include_str!("../docs/OPERATIONS.md");
    let events = include_str!("../docs/EVENTS.md");
    let known = words(events, "TG");
    let named = words(page, "TG");
    assert!(named.iter().any(|number| number.starts_with("TG1")));
    let unknown: Vec<_> = named.difference(&known).collect();
    assert!(unknown.is_empty(), "{unknown:?}");
}
