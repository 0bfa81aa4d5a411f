//! The settings of a VM's process: JSON with comments; all findings are reported together.

use super::timing::Policy;
use super::timing::Timing;
use crate::configs::file;
use crate::configs::source::Source;
use crate::fields::Fields;
use crate::prelude::*;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// The result of loading settings.
pub type Result<T> = std::result::Result<T, Findings>;

/// The settings of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The name of this VM.
    pub vm: Name,
    /// Its data centre.
    pub centre: Name,
    /// Its share of a processor, in thousandths of a core.
    pub cpu_milli: u64,
    /// The address on which it accepts callers.
    pub callers: SocketAddr,
    /// The address of the readiness check for the load balancer.
    pub ready: SocketAddr,
    /// The address on which other VMs reach it.
    pub peers: SocketAddr,
    /// The address of the metrics endpoint, if there is one.
    pub metrics: Option<SocketAddr>,
    /// The address of the store.
    pub store: Name,
    /// The address of the platform's service for machines, if it has one.
    pub machines: Option<Name>,
    /// The address of the service that decides which upstreams may run a step, if there is one.
    pub advice: Option<Name>,
    /// The time from the order to stop until the process is killed, in milliseconds.
    pub grace_ms: u64,
    /// The age of the configuration from which calls with a key are refused, in milliseconds; 0 for
    /// no limit.
    pub config_age_ms: u64,
    /// The age of the configuration from which it is not used to answer calls, in milliseconds.
    pub config_fresh_ms: u64,
    /// The time limits and features that scheduling uses.
    pub timing: Timing,
}

/// Loads the settings in `path`.
///
/// # Errors
///
/// Returns every finding, each with `file:line:column` and the JSON pointer of the key.
pub fn load(path: impl AsRef<Path>) -> Result<Settings> {
    let path = path.as_ref();
    let text = file::read(path)?;
    parse(&path.display().to_string(), &text)
}

/// Parses settings; `file` is only named in findings.
///
/// # Errors
///
/// As [`load`].
pub fn parse(file: &str, text: &str) -> Result<Settings> {
    let source = Source::parse(file, text)?;
    check(&source.value()).map_err(|findings| source.locate(findings))
}

fn check(value: &Value) -> Result<Settings> {
    let mut findings = Findings::default();
    let Some(mut fields) = Fields::open(value, "", &mut findings) else {
        return Err(findings);
    };
    let strict = fields.flag_or("strict_revocation", true, &mut findings);
    let revoke_ms = fields.number_or("revoke_ms", 5_000, 1..=MAX_MS, &mut findings);
    let apply_ms = fields.number_or("config_apply_ms", 2_000, 1..=MAX_MS, &mut findings);
    let settings = Settings {
        vm: fields.name("vm", &mut findings),
        centre: fields.name("centre", &mut findings),
        cpu_milli: thousandths(&mut fields, "cpu_share", 1_000, &mut findings),
        callers: address(&mut fields, "callers", &mut findings),
        ready: address(&mut fields, "ready", &mut findings),
        peers: address(&mut fields, "peers", &mut findings),
        metrics: metrics(&mut fields, &mut findings),
        store: address(&mut fields, "store", &mut findings)
            .to_string()
            .into(),
        machines: service(&mut fields, "machines", &mut findings),
        advice: service(&mut fields, "advice", &mut findings),
        grace_ms: thousandths(&mut fields, "grace_s", 6_000, &mut findings),
        // The rest of the bound is left for delivering a revocation and for calls in progress.
        config_age_ms: if strict { revoke_ms * 3 / 5 } else { 0 },
        config_fresh_ms: apply_ms * 3 / 5,
        timing: Timing {
            max_lease_ms: fields.number_or("max_lease_ms", 6_000, 500..=MAX_MS, &mut findings),
            stop_ms: fields.number_or("stop_ms", 200, 0..=MAX_MS, &mut findings),
            keep_ms: thousandths(&mut fields, "keep_s", 120_000, &mut findings),
            restore_ms: fields.number_or("restore_ms", 600, 0..=MAX_MS, &mut findings),
            upkeep_ms: thousandths(&mut fields, "upkeep_s", 2_000, &mut findings),
            advice: fields.raw("advice").is_some(),
            reclaim_ms: fields.number_or("reclaim_ms", 2_700, 0..=MAX_MS, &mut findings),
            machine_lease_ms: fields.number_or(
                "machine_lease_ms",
                3_000,
                0..=MAX_MS,
                &mut findings,
            ),
            policy: policy(&mut fields, &mut findings),
        },
    };
    fields.finish(&mut findings);
    if findings.is_empty() {
        Ok(settings)
    } else {
        Err(findings)
    }
}

fn policy(fields: &mut Fields<'_>, findings: &mut Findings) -> Policy {
    let usual = Policy::default();
    Policy {
        duration_percentile: fields.number_or(
            "duration_percentile",
            usual.duration_percentile,
            0..=MAX_PERCENTILE,
            findings,
        ),
        learned_bytes_s: fields.number_or(
            "learned_bytes_s",
            usual.learned_bytes_s,
            0..=MAX_LEARNED_BYTES_S,
            findings,
        ),
        gang_reservations: fields.number_or(
            "gang_reservations",
            usual.gang_reservations,
            0..=MAX_RESERVATIONS,
            findings,
        ),
        share_half_life_ms: thousandths(
            fields,
            "share_half_life_s",
            usual.share_half_life_ms,
            findings,
        ),
    }
}

/// The highest quantile that can be asked for, in percent: a few tens of ends tell no higher one.
const MAX_PERCENTILE: u64 = 99;
/// The most bytes of learned rows in a second that a setting may allow.
const MAX_LEARNED_BYTES_S: u64 = 1_000_000;
/// The most reservations of a workspace that a setting may allow: each is planned anew in turn.
const MAX_RESERVATIONS: u64 = 100;
/// The longest duration that a setting may give, in milliseconds: a day.
const MAX_MS: u64 = 86_400_000;

fn metrics(fields: &mut Fields<'_>, findings: &mut Findings) -> Option<SocketAddr> {
    let given = fields.raw("metrics").is_some();
    given.then(|| address(fields, "metrics", findings))
}

/// Reads the address of a service that not every deployment has.
fn service(fields: &mut Fields<'_>, key: &'static str, findings: &mut Findings) -> Option<Name> {
    let given = fields.raw(key).is_some();
    given.then(|| address(fields, key, findings).to_string().into())
}

fn address(fields: &mut Fields<'_>, key: &'static str, findings: &mut Findings) -> SocketAddr {
    let text = fields.text(key, findings);
    text.parse().unwrap_or_else(|_| {
        findings.add(fields.place(key), "must be IP:PORT");
        SocketAddr::from(([0, 0, 0, 0], 0))
    })
}

/// Reads a number that may have a fraction.
fn number(
    fields: &mut Fields<'_>,
    key: &'static str,
    default: f64,
    findings: &mut Findings,
) -> f64 {
    let Some(value) = fields.raw(key) else {
        return default;
    };
    match value
        .as_f64()
        .filter(|number| (0.0..=86_400.0).contains(number))
    {
        Some(number) => number,
        None => {
            findings.add(fields.place(key), "must be a number from 0 to 86400");
            default
        }
    }
}

/// Reads a number that may have a fraction, and returns it in thousandths.
fn thousandths(
    fields: &mut Fields<'_>,
    key: &'static str,
    default: u64,
    findings: &mut Findings,
) -> u64 {
    let number = number(fields, key, -1.0, findings);
    let time = std::time::Duration::try_from_secs_f64(number);
    time.map_or(default, |time| {
        u64::try_from(time.as_millis()).unwrap_or(default)
    })
}
