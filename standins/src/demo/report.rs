//! The table of outcomes, and the guarantees that were violated.

use super::load::GangOutcome;
use super::load::Outcome;
use super::load::Outcomes;
use super::load::Seen;
use crate::platform::PlatformHandle;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use trefoilgauge::prelude::Name;

/// The time that a gang may run with only some members while it starts or stops, in milliseconds.
const PARTIAL_GRACE_MS: u64 = 2_000;
/// The largest reply time in the histogram, in milliseconds; longer ones count as this.
const MAX_TOOK_MS: u64 = 600_000;

/// The outcomes of one kind of work.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// The kind.
    pub kind: Name,
    /// The number of calls.
    pub calls: u64,
    /// Calls with a complete reply.
    pub answered: u64,
    /// Calls that were refused, with the statement that they did not run.
    pub refused: u64,
    /// Calls that may have run.
    pub unknown: u64,
    /// Calls without a final reply.
    pub lost: u64,
    /// Calls with a reply that belongs to another call or cannot be interpreted.
    pub wrong: u64,
    /// The median time of complete replies, in milliseconds.
    pub p50_ms: u64,
    /// The 99th percentile of the same times, in milliseconds.
    pub p99_ms: u64,
}

/// The results of the demonstration.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The deployment.
    pub deployment: Name,
    /// The requests, by kind.
    pub rows: Vec<Row>,
    /// The gangs.
    pub gangs: Vec<GangOutcome>,
    /// The appends to the log, over all streams and processes.
    pub appends: u64,
    /// The bytes that were appended.
    pub bytes: u64,
    /// The guarantees that were violated; empty if all held.
    pub broken: Vec<String>,
}

impl Report {
    /// Compares the outcomes with the executions that the platform recorded.
    pub fn new(platform: &PlatformHandle, outcomes: Outcomes) -> Self {
        let mut kinds: BTreeMap<Name, Vec<Outcome>> = BTreeMap::new();
        for call in outcomes.calls {
            kinds.entry(call.kind.clone()).or_default().push(call);
        }
        let counts = platform.log.counts();
        let mut broken = Vec::new();
        check_calls(platform, &kinds, &mut broken);
        check_gangs(platform, &outcomes.gangs, &mut broken);
        Self {
            deployment: platform.deployment.name.clone(),
            rows: kinds.iter().map(|(kind, calls)| row(kind, calls)).collect(),
            gangs: outcomes.gangs,
            appends: counts.appends,
            bytes: counts.bytes,
            broken,
        }
    }
}

fn check_calls(
    platform: &PlatformHandle,
    kinds: &BTreeMap<Name, Vec<Outcome>>,
    broken: &mut Vec<String>,
) {
    for key in platform.tally.doubled(&platform.non_idempotent_kinds()) {
        broken.push(format!(
            "the non-idempotent request {key} ran more than once"
        ));
    }
    for call in kinds.values().flatten() {
        let kind = &call.kind;
        match call.seen {
            Seen::Lost => broken.push(format!("a caller of {kind} got no final answer")),
            Seen::Wrong => broken.push(format!("a caller of {kind} got a wrong answer")),
            Seen::Refused if platform.tally.of_digest(&call.digest) > 0 => {
                broken.push(format!("a {kind} that was said not to have run did run"));
            }
            _ => {}
        }
    }
}

fn check_gangs(platform: &PlatformHandle, gangs: &[GangOutcome], broken: &mut Vec<String>) {
    for gang in gangs {
        if gang.phase.get("ended").is_none() {
            broken.push(format!("{} did not end: {}", gang.job, gang.phase));
        }
        broken.extend(
            platform
                .history
                .partial(&gang.job, gang.members, PARTIAL_GRACE_MS),
        );
    }
    broken.extend(platform.history.overlaps());
    broken.extend(platform.history.double_held());
}

fn row(kind: &Name, calls: &[Outcome]) -> Row {
    let count = |seen: Seen| calls.iter().filter(|call| call.seen == seen).count() as u64;
    let quantile = |at: f64| {
        let Ok(mut histogram) = Histogram::<u64>::new_with_max(MAX_TOOK_MS, 2) else {
            return 0;
        };
        for call in calls.iter().filter(|call| call.seen == Seen::Answered) {
            histogram.saturating_record(call.took_ms);
        }
        histogram.value_at_quantile(at)
    };
    Row {
        kind: kind.clone(),
        calls: calls.len() as u64,
        answered: count(Seen::Answered),
        refused: count(Seen::Refused),
        unknown: count(Seen::Unknown),
        lost: count(Seen::Lost),
        wrong: count(Seen::Wrong),
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<20} {:>6} {:>8} {:>7} {:>7} {:>4} {:>5} {:>7} {:>7}",
            "kind", "calls", "answered", "refused", "unknown", "lost", "wrong", "p50 ms", "p99 ms"
        )?;
        for row in &self.rows {
            writeln!(
                f,
                "{:<20} {:>6} {:>8} {:>7} {:>7} {:>4} {:>5} {:>7} {:>7}",
                row.kind,
                row.calls,
                row.answered,
                row.refused,
                row.unknown,
                row.lost,
                row.wrong,
                row.p50_ms,
                row.p99_ms
            )?;
        }
        writeln!(f)?;
        for gang in &self.gangs {
            writeln!(
                f,
                "{}: {} members, {} after {} ms",
                gang.job, gang.members, gang.phase, gang.took_ms
            )?;
        }
        writeln!(f)?;
        writeln!(
            f,
            "{} appends to the log, {} bytes",
            self.appends, self.bytes
        )?;
        if self.broken.is_empty() {
            return writeln!(f, "every promise held");
        }
        for promise in &self.broken {
            writeln!(f, "BROKEN: {promise}")?;
        }
        Ok(())
    }
}
