//! Validates complete settings against the table of options.

use super::Settings;
use super::options;
use super::options::LEVELS;
use super::options::OPTIONS;
use super::options::Opt;
use super::options::Rule;
use super::source::escape;
use crate::fields::check_name;
use crate::prelude::*;
use serde_json::Map;
use serde_json::Value;
use std::net::SocketAddr;

/// The result of validation.
pub type Result<T> = std::result::Result<T, Findings>;

/// Validates `value` and returns the settings; options that are absent get their defaults.
///
/// # Errors
///
/// All findings, each with the JSON pointer of its place.
pub fn check(value: &Value) -> Result<Settings> {
    let Value::Object(root) = value else {
        return Err(Findings::one("", "must be an object"));
    };
    let mut findings = Findings::default();
    check_root(root, &mut findings);
    check_required(value, &mut findings);
    if !findings.is_empty() {
        return Err(findings);
    }
    let settings: Settings = serde_json::from_value(value.clone())
        .map_err(|error| Findings::one("", error.to_string()))?;
    check_constraints(&settings, &mut findings);
    match findings.is_empty() {
        true => Ok(settings),
        false => Err(findings),
    }
}

fn check_root(root: &Map<String, Value>, findings: &mut Findings) {
    let sections = options::sections();
    for (key, value) in root {
        let place = format!("/{}", escape(key));
        if !sections.contains(&key.as_str()) {
            check_option(None, key, &place, value, findings);
            continue;
        }
        let Value::Object(section) = value else {
            findings.add(place, "must be an object");
            continue;
        };
        for (inner, value) in section {
            let place = format!("{place}/{}", escape(inner));
            check_option(Some(key), inner, &place, value, findings);
        }
    }
}

fn check_option(
    section: Option<&str>,
    key: &str,
    place: &str,
    value: &Value,
    findings: &mut Findings,
) {
    match options::find(section, key) {
        Some(option) => check_value(option, place, value, findings),
        None => findings.add(place, "is not known here"),
    }
}

fn check_value(option: &Opt, place: &str, value: &Value, findings: &mut Findings) {
    if let Rule::Number(least, most) = option.rule {
        let fits = value.as_u64().is_some_and(|n| (least..=most).contains(&n));
        if !fits {
            let text = format!("must be a whole number from {least} to {most}");
            findings.add(place, text);
        }
        return;
    }
    let Some(text) = value.as_str() else {
        findings.add(place, "must be a text");
        return;
    };
    match option.rule {
        Rule::Name => check_name(text, place, findings),
        Rule::Level if !LEVELS.contains(&text) => {
            let text = format!("must be one of: {}", LEVELS.join(", "));
            findings.add(place, text);
        }
        Rule::Listen if text.parse::<SocketAddr>().is_err() => {
            findings.add(place, "must be IP:port");
        }
        Rule::Connect if !connectable(text) => {
            findings.add(
                place,
                "must be IP:port, with a specific IP and a port other than 0",
            );
        }
        _ => {}
    }
}

fn connectable(text: &str) -> bool {
    let addr = text.parse::<SocketAddr>();
    addr.is_ok_and(|addr| addr.port() != 0 && !addr.ip().is_unspecified())
}

fn check_required(value: &Value, findings: &mut Findings) {
    for option in OPTIONS.iter().filter(|option| option.required) {
        let pointer = option.pointer();
        if value.pointer(&pointer).is_none() {
            findings.add(pointer, "is missing");
        }
    }
}

/// A constraint on the values of two or more options.
struct Constraint {
    place: &'static str,
    holds: bool,
    text: String,
}

/// Checks the constraints between options.
fn check_constraints(settings: &Settings, findings: &mut Findings) {
    for constraint in constraints(settings) {
        if !constraint.holds {
            findings.add(constraint.place, constraint.text);
        }
    }
    check_listen_conflicts(settings, findings);
}

fn constraints(settings: &Settings) -> Vec<Constraint> {
    let keeper = &settings.keeper;
    let peers = &settings.peers;
    let requests = &settings.requests;
    let held_ms = keeper.isolated_ms + keeper.lease_ms;
    vec![
        less_than(
            "/keeper/lease_ms",
            keeper.lease_ms,
            "keeper.lapse_ms",
            keeper.lapse_ms,
        ),
        Constraint {
            place: "/keeper/isolated_ms",
            holds: held_ms <= keeper.lapse_ms,
            text: format!(
                "plus keeper.lease_ms gives {held_ms}, and must be at most keeper.lapse_ms ({})",
                keeper.lapse_ms
            ),
        },
        less_than(
            "/keeper/sync_ms",
            keeper.sync_ms,
            "keeper.lease_ms",
            keeper.lease_ms,
        ),
        less_than(
            "/keeper/call_ms",
            keeper.call_ms,
            "keeper.lease_ms",
            keeper.lease_ms,
        ),
        less_than(
            "/keeper/sync_ms",
            keeper.sync_ms,
            "keeper.lost_ms",
            keeper.lost_ms,
        ),
        less_than(
            "/keeper/idle_ms",
            keeper.idle_ms,
            "keeper.lost_ms",
            keeper.lost_ms,
        ),
        less_than(
            "/keeper/lost_ms",
            keeper.lost_ms,
            "keeper.lapse_ms",
            keeper.lapse_ms,
        ),
        less_than(
            "/peers/beat_ms",
            peers.beat_ms,
            "peers.silent_ms",
            peers.silent_ms,
        ),
        Constraint {
            place: "/requests/cool_ms",
            holds: requests.cool_ms <= requests.cool_most,
            text: format!(
                "must be at most requests.cool_most ({})",
                requests.cool_most
            ),
        },
    ]
}

fn less_than(place: &'static str, small: u64, name: &str, large: u64) -> Constraint {
    Constraint {
        place,
        holds: small < large,
        text: format!("must be below {name} ({large})"),
    }
}

fn check_listen_conflicts(settings: &Settings, findings: &mut Findings) {
    let value = serde_json::to_value(settings).unwrap_or_default();
    let mut taken: Vec<(&Opt, SocketAddr)> = Vec::new();
    for option in OPTIONS.iter().filter(|option| option.rule == Rule::Listen) {
        let text = value.pointer(&option.pointer()).and_then(Value::as_str);
        let Some(addr) = text.and_then(|text| text.parse::<SocketAddr>().ok()) else {
            continue;
        };
        if let Some((other, _)) = taken.iter().find(|(_, other)| conflicts(*other, addr)) {
            let text = format!("listens on the same port as {}", other.path);
            findings.add(option.pointer(), text);
        }
        taken.push((option, addr));
    }
}

fn conflicts(a: SocketAddr, b: SocketAddr) -> bool {
    let all = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && (all || a.ip() == b.ip())
}
