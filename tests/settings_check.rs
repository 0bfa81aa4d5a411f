//! Validation of settings: all findings are reported, each with its place.

use serde_json::Value;
use std::collections::BTreeSet;
use trefoilgauge::configs::Settings;
use trefoilgauge::configs::file;
use trefoilgauge::configs::options::OPTIONS;
use trefoilgauge::configs::options::Rule;

const MINIMAL: &str = r#"{"vm": "vm-1", "centre": "coast-1"}"#;

fn findings(text: &str) -> String {
    match file::parse("vm.jsonc", text) {
        Ok(_) => String::new(),
        Err(findings) => findings.to_string(),
    }
}

/// Returns the text of settings with one option set.
fn with(path: &str, value: &str) -> String {
    let base = r#""vm": "vm-1", "centre": "coast-1""#;
    match path.split_once('.') {
        Some((section, key)) => format!("{{{base}, \"{section}\": {{\"{key}\": {value}}}}}"),
        None => format!("{{\"{path}\": {value}}}"),
    }
}

#[test]
fn absent_options_get_their_defaults() {
    let expected = Settings {
        centre: "coast-1".into(),
        ..Settings::default()
    };
    assert_eq!(Ok(expected), file::parse("vm.jsonc", MINIMAL));
}

#[test]
fn all_findings_are_reported_with_file_line_column_and_key() {
    let text = r#"{
  // The name has capital letters.
  "vm": "VM-1",
  "centre": "coast-1",
  "callers": { "listen": "localhost:7000", "colour": 1 },
  "keeper": { "lease_ms": "10", "lapse_ms": 7200001 },
  "log": [],
  "ops": { "level": "loud" },
  "peers": { "vms_addr": "0.0.0.0:0" },
}"#;
    insta::assert_snapshot!(findings(text), @r"
    vm.jsonc:3:3 /vm: must be 1 to 64 lower-case letters, digits, '.', '_' or '-'
    vm.jsonc:5:16 /callers/listen: must be IP:port
    vm.jsonc:5:44 /callers/colour: is not known here
    vm.jsonc:6:15 /keeper/lease_ms: must be a whole number from 100 to 3600000
    vm.jsonc:6:33 /keeper/lapse_ms: must be a whole number from 100 to 3600000
    vm.jsonc:7:3 /log: must be an object
    vm.jsonc:8:12 /ops/level: must be one of: error, warn, info, debug, trace
    vm.jsonc:9:14 /peers/vms_addr: must be IP:port, with a specific IP and a port other than 0
    ");
}

#[test]
fn violated_constraints_between_options_are_reported() {
    let text = r#"{
  "vm": "vm-1", "centre": "coast-1",
  "callers": { "listen": "0.0.0.0:7100" },
  "keeper": { "lease_ms": 30000, "lost_ms": 30000, "sync_ms": 30000, "call_ms": 30000,
    "idle_ms": 30000 },
  "peers": { "beat_ms": 1500 },
  "requests": { "cool_ms": 30001 }
}"#;
    insta::assert_snapshot!(findings(text), @r"
    vm.jsonc:1:1 /ops/entry_listen: listens on the same port as callers.listen
    vm.jsonc:4:3 /keeper/isolated_ms: plus keeper.lease_ms gives 40000, and must be at most keeper.lapse_ms (30000)
    vm.jsonc:4:15 /keeper/lease_ms: must be below keeper.lapse_ms (30000)
    vm.jsonc:4:34 /keeper/lost_ms: must be below keeper.lapse_ms (30000)
    vm.jsonc:4:52 /keeper/sync_ms: must be below keeper.lease_ms (30000)
    vm.jsonc:4:52 /keeper/sync_ms: must be below keeper.lost_ms (30000)
    vm.jsonc:4:70 /keeper/call_ms: must be below keeper.lease_ms (30000)
    vm.jsonc:5:5 /keeper/idle_ms: must be below keeper.lost_ms (30000)
    vm.jsonc:6:14 /peers/beat_ms: must be below peers.silent_ms (1500)
    vm.jsonc:7:17 /requests/cool_ms: must be at most requests.cool_most (30000)
    ");
}

#[test]
fn syntax_errors_are_reported_with_their_place() {
    let cases = [
        ("", "vm.jsonc:1:1: is empty"),
        ("[]", "vm.jsonc:1:1: must be an object"),
        ("{\n  'vm': 1}", "vm.jsonc:2:3: "),
        ("{\n  \"vm\": 0x10}", "vm.jsonc:2:"),
        (
            "{\"vm\": \"a\",\n \"vm\": \"b\"}",
            "vm.jsonc:2:2 /vm: is a duplicate key",
        ),
        ("{}", "vm.jsonc:1:1 /vm: is missing"),
    ];
    for (text, expected) in cases {
        let actual = findings(text);
        assert!(actual.starts_with(expected), "{text}: {actual}");
    }
}

#[test]
fn an_unreadable_file_is_reported() {
    let folder = tempfile::tempdir().unwrap();
    let missing = file::load(folder.path().join("none.jsonc")).unwrap_err();
    assert!(missing.list[0].place.ends_with("none.jsonc"));
    let not_a_file = file::load(folder.path()).unwrap_err();
    assert_eq!("is not a regular file", not_a_file.list[0].text);
}

#[test]
fn numbers_outside_their_range_are_refused() {
    for option in OPTIONS {
        let Rule::Number(least, most) = option.rule else {
            continue;
        };
        let cases = [
            (least.to_string(), true),
            (most.to_string(), true),
            ((most + 1).to_string(), false),
            (format!("{least}.5"), false),
            ("-1".to_owned(), false),
            ("null".to_owned(), false),
            ("1e400".to_owned(), false),
        ];
        for (value, expected) in cases {
            let found = findings(&with(option.path, &value));
            let actual = !found.contains("must be a whole number");
            assert_eq!(expected, actual, "{} = {value}: {found}", option.path);
        }
    }
}

/// Collects the JSON pointer of each value that is not an object.
fn leaves(value: &Value, place: &str, into: &mut BTreeSet<String>) {
    let Value::Object(map) = value else {
        into.insert(place.to_owned());
        return;
    };
    for (key, value) in map {
        leaves(value, &format!("{place}/{key}"), into);
    }
}

#[test]
fn the_table_lists_exactly_the_options_of_the_structs() {
    let defaults = serde_json::to_value(Settings::default()).unwrap();
    let mut expected = BTreeSet::new();
    leaves(&defaults, "", &mut expected);
    let actual: BTreeSet<String> = OPTIONS.iter().map(|option| option.pointer()).collect();
    assert_eq!(expected, actual);
    assert_eq!(OPTIONS.len(), actual.len());
}

#[test]
fn the_defaults_are_valid() {
    let text = serde_json::to_string(&Settings::default()).unwrap();
    assert_eq!("", findings(&text));
}
