//! Durations of the reducer's steps, by kind of event.

use crate::reducer::Event;
use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

/// The longest duration that the histograms can represent, in microseconds.
const STEP_MAX_US: u64 = 60_000_000;

/// The step durations for one kind of event.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TimingRow {
    /// The kind of event.
    pub event: String,
    /// The number of steps.
    pub count: u64,
    /// The mean, in microseconds.
    pub mean_us: f64,
    /// The 99th percentile, in microseconds.
    pub p99_us: u64,
    /// The maximum, in microseconds.
    pub max_us: u64,
}

/// Histograms of step durations.
#[derive(Debug, Default)]
pub struct Timings {
    all: Mutex<BTreeMap<&'static str, Histogram<u64>>>,
}

impl Timings {
    /// Records the duration of a step.
    pub fn record(&self, event: &'static str, took: Duration) {
        let mut all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        if !all.contains_key(event) {
            let Ok(new) = Histogram::new_with_max(STEP_MAX_US, 2) else {
                return;
            };
            all.insert(event, new);
        }
        if let Some(histogram) = all.get_mut(event) {
            histogram.saturating_record(took.as_micros() as u64);
        }
    }

    /// Returns one row for each kind of event that occurred.
    pub fn rows(&self) -> Vec<TimingRow> {
        let all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        let rows = all.iter().map(|(event, histogram)| TimingRow {
            event: (*event).to_owned(),
            count: histogram.len(),
            mean_us: histogram.mean(),
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
        });
        rows.collect()
    }
}

/// Returns the name of an event's kind, as shown in `/ops/timings`.
pub fn name(event: &Event) -> &'static str {
    match event {
        Event::Tick => "tick",
        Event::Restore { .. } => "restore",
        Event::Config { .. } => "config",
        Event::Control { .. } => "control",
        Event::NewerSchema { .. } => "newer",
        Event::Garbled { .. } => "garbled",
        Event::Log { .. } => "log",
        Event::Arrive(_) => "arrive",
        Event::CallerGone { .. } => "gone",
        Event::TryEnd { .. } => "try_end",
        Event::Submit { .. } => "submit",
        Event::Cancel { .. } => "cancel",
        Event::Members { .. } => "members",
        Event::Peer(_) => "peer",
        Event::SyncEnded { .. } => "synced",
        Event::Leave => "leave",
        Event::Drain => "drain",
        Event::MaybeStale => "woke",
    }
}
