//! The stored form of what was learned.

use super::MAX_AGE_MS;
use crate::fleet::decide::as_ms;
use crate::fleet::decide::learn::Knowledge;
use crate::fleet::decide::speed::Slowness;
use crate::fleet::decide::trust::Health;
use crate::fleet::row::KIND_PREFIX;
use crate::fleet::row::KindRow;
use crate::fleet::row::MACHINE_PREFIX;
use crate::fleet::row::MachineRow;
use crate::fleet::row::Row;
use crate::prelude::*;
use prost::Message;

/// The age assumed of a row from the future, in milliseconds: a half-life of what it says.
const FUTURE_SPEED_MS: u64 = 60_000;
/// The same for failures.
const FUTURE_HEALTH_MS: u64 = 8_000;
/// Limit on the stored numbers of failures and of successes: a false row decays within two minutes.
const MAX_ENDS: f64 = 100.0;

/// The learned rows that were read from the store.
#[derive(Debug, Default)]
pub(in crate::fleet) struct StoredKnowledge {
    pub(in crate::fleet) machines: Vec<(Name, MachineRow)>,
    pub(in crate::fleet) kinds: Vec<(String, KindRow)>,
    /// The number of rows that cannot be decoded, and the first one with its fault.
    pub(in crate::fleet) faults: usize,
    pub(in crate::fleet) first_fault: Option<(String, String)>,
}

impl StoredKnowledge {
    /// Keeps a row if it is a learned one; returns whether it is.
    pub(in crate::fleet) fn decode(&mut self, row: &Row) -> bool {
        let decoded = if let Some(machine) = row.key.strip_prefix(MACHINE_PREFIX) {
            MachineRow::decode(&*row.value).map(|row| self.machines.push((machine.into(), row)))
        } else if let Some(kind) = row.key.strip_prefix(KIND_PREFIX) {
            KindRow::decode(&*row.value).map(|row| self.kinds.push((kind.to_owned(), row)))
        } else {
            return false;
        };
        if let Err(error) = decoded {
            self.note_fault(&row.key, error.to_string());
        }
        true
    }

    /// Counts a row that cannot be decoded.
    pub(in crate::fleet) fn note_fault(&mut self, key: &str, error: String) {
        self.faults += 1;
        self.first_fault.get_or_insert((key.to_owned(), error));
    }
}

/// Returns the row of a machine that `upstream` runs on.
pub(super) fn machine_row(
    key: &Name,
    upstream: &Name,
    known: &Knowledge,
    now: u64,
    wall_ms: u64,
) -> MachineRow {
    let (failures, successes) = known.health.counts(now);
    MachineRow {
        wall_ms,
        upstream: if key == upstream {
            String::new()
        } else {
            upstream.to_string()
        },
        factor_milli: thousandths(known.slowness.factor(now)),
        samples: known.slowness.samples(),
        failures_milli: thousandths(failures.min(MAX_ENDS)),
        successes_milli: thousandths(successes.min(MAX_ENDS)),
    }
}

/// Returns when a row was stored, Unix milliseconds; one from the future counts as one half-life
/// old, as for its weight.
pub(super) fn assumed_time(row: &MachineRow, wall_ms: u64) -> u64 {
    if row.wall_ms <= wall_ms {
        row.wall_ms
    } else {
        wall_ms.saturating_sub(FUTURE_SPEED_MS)
    }
}

/// Returns what a row says as of now.
pub(super) fn knowledge(row: &MachineRow, now: u64, wall_ms: u64) -> Knowledge {
    let (speed_age, health_age) = match wall_ms.checked_sub(row.wall_ms) {
        Some(age_ms) => (age_ms, age_ms),
        None => (FUTURE_SPEED_MS, FUTURE_HEALTH_MS),
    };
    if speed_age > MAX_AGE_MS {
        return Knowledge::default();
    }
    let [factor, failures, successes] = [row.factor_milli, row.failures_milli, row.successes_milli]
        .map(|number| f64::from(number) / 1_000.0);
    let mut known = Knowledge {
        slowness: Slowness::default(),
        health: Health::restore(
            now,
            failures.min(MAX_ENDS),
            successes.min(MAX_ENDS),
            health_age,
        ),
    };
    if row.factor_milli > 0 && row.samples > 0 {
        known.slowness = Slowness::restore(now, factor, row.samples, speed_age);
    }
    known
}

/// Returns a number in thousandths, rounded down.
fn thousandths(number: f64) -> u32 {
    u32::try_from(as_ms(number * 1_000.0)).unwrap_or(u32::MAX)
}
