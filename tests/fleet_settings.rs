//! The settings of a VM are checked completely, and their documentation names every key.

use trefoilgauge::fleet::settings;

const REQUIRED: &str = r#"
  // The required keys.
  "vm": "vm-1", "centre": "a", "callers": "127.0.0.1:1", "ready": "127.0.0.1:2",
  "peers": "127.0.0.1:3", "store": "127.0.0.1:4",
"#;

#[test]
fn omitted_settings_get_their_documented_defaults() {
    let settings = settings::parse("vm.jsonc", &format!("{{{REQUIRED}}}")).unwrap();
    assert_eq!(settings.config_age_ms, 3_000);
    assert_eq!(settings.config_fresh_ms, 1_200);
    assert_eq!(settings.grace_ms, 6_000);
    assert_eq!(settings.timing.max_lease_ms, 6_000);
    assert_eq!(settings.metrics, None);
}

#[test]
fn fractions_are_accepted() {
    let text = format!("{{{REQUIRED} \"keep_s\": 1.5, \"cpu_share\": 0.12}}");
    let settings = settings::parse("vm.jsonc", &text).unwrap();
    assert_eq!(settings.timing.keep_ms, 1_500);
    assert_eq!(settings.cpu_milli, 120);
}

#[test]
fn every_finding_is_reported_with_its_place() {
    let text = "{\"vm\": \"vm-1\", \"callers\": \"nowhere\", \"revoke_ms\": -1, \"odd\": 1}";
    let findings = settings::parse("vm.jsonc", text).unwrap_err().to_string();
    for place in [
        "/callers",
        "/ready",
        "/peers",
        "/store",
        "/centre",
        "/revoke_ms",
        "/odd",
    ] {
        assert!(findings.contains(place), "{place} is not in {findings}");
    }
}

#[test]
fn the_documentation_names_every_key_of_the_template() {
    let page = include_str!("../docs/SETTINGS.md");
    let template = include_str!("../deploy/vm.jsonc.template");
    let keys = template.split('"').filter(|part| {
        !part.is_empty() && part.bytes().all(|b| b.is_ascii_lowercase() || b == b'_')
    });
    let mut count = 0;
    for key in keys {
        count += 1;
        assert!(
            page.contains(&format!("| {key} |")),
            "{key} is not on the page"
        );
    }
    assert!(count >= 16, "{count}");
}
