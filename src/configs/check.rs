//! Checks settings whole against the table of options.

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

/// The result of a check.
pub type Result<T> = std::result::Result<T, Findings>;

/// Checks `value` and returns the settings, with defaults for what it leaves out.
///
/// # Errors
///
/// Every finding, each with the JSON pointer of its place.
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
    check_clashes(&settings, &mut findings);
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
            findings.add(place, "must be IP:port of one host, the port not 0");
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

/// One bound between two options.
struct Bound {
    place: &'static str,
    holds: bool,
    text: String,
}

/// Checks what no single option shows.
fn check_clashes(settings: &Settings, findings: &mut Findings) {
    for bound in bounds(settings) {
        if !bound.holds {
            findings.add(bound.place, bound.text);
        }
    }
    check_listens(settings, findings);
}

fn bounds(settings: &Settings) -> Vec<Bound> {
    let keeper = &settings.keeper;
    let peers = &settings.peers;
    let requests = &settings.requests;
    let held_ms = keeper.isolated_ms + keeper.lease_ms;
    vec![
        below(
            "/keeper/lease_ms",
            keeper.lease_ms,
            "keeper.lapse_ms",
            keeper.lapse_ms,
        ),
        Bound {
            place: "/keeper/isolated_ms",
            holds: held_ms <= keeper.lapse_ms,
            text: format!(
                "plus keeper.lease_ms gives {held_ms}, and must be at most keeper.lapse_ms ({})",
                keeper.lapse_ms
            ),
        },
        below(
            "/keeper/sync_ms",
            keeper.sync_ms,
            "keeper.lease_ms",
            keeper.lease_ms,
        ),
        below(
            "/keeper/call_ms",
            keeper.call_ms,
            "keeper.lease_ms",
            keeper.lease_ms,
        ),
        below(
            "/keeper/sync_ms",
            keeper.sync_ms,
            "keeper.lost_ms",
            keeper.lost_ms,
        ),
        below(
            "/keeper/idle_ms",
            keeper.idle_ms,
            "keeper.lost_ms",
            keeper.lost_ms,
        ),
        below(
            "/keeper/lost_ms",
            keeper.lost_ms,
            "keeper.lapse_ms",
            keeper.lapse_ms,
        ),
        below(
            "/peers/beat_ms",
            peers.beat_ms,
            "peers.silent_ms",
            peers.silent_ms,
        ),
        Bound {
            place: "/requests/cool_ms",
            holds: requests.cool_ms <= requests.cool_most,
            text: format!(
                "must be at most requests.cool_most ({})",
                requests.cool_most
            ),
        },
    ]
}

fn below(place: &'static str, small: u64, name: &str, large: u64) -> Bound {
    Bound {
        place,
        holds: small < large,
        text: format!("must be below {name} ({large})"),
    }
}

fn check_listens(settings: &Settings, findings: &mut Findings) {
    let value = serde_json::to_value(settings).unwrap_or_default();
    let mut taken: Vec<(&Opt, SocketAddr)> = Vec::new();
    for option in OPTIONS.iter().filter(|option| option.rule == Rule::Listen) {
        let text = value.pointer(&option.pointer()).and_then(Value::as_str);
        let Some(addr) = text.and_then(|text| text.parse::<SocketAddr>().ok()) else {
            continue;
        };
        if let Some((other, _)) = taken.iter().find(|(_, other)| clash(*other, addr)) {
            let text = format!("listens on the same port as {}", other.path);
            findings.add(option.pointer(), text);
        }
        taken.push((option, addr));
    }
}

fn clash(a: SocketAddr, b: SocketAddr) -> bool {
    let all = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && (all || a.ip() == b.ip())
}
