//! Prints results as tables or as JSON.

use super::Error;
use super::Result;
use serde::Serialize;

const SECOND_MS: u64 = 1_000;
const DAY_S: u64 = 86_400;

/// Prints a value as indented JSON.
pub(super) fn json(value: &impl Serialize) -> Result<()> {
    let text = serde_json::to_string_pretty(value);
    let text = text.map_err(|error| Error::Refused(error.to_string()))?;
    println!("{text}");
    Ok(())
}

/// Prints rows in aligned columns under a header, or `none` if there are no rows.
pub(super) fn table(head: &[&str], rows: impl Iterator<Item = Vec<String>>) {
    let mut all = vec![head.iter().map(|cell| (*cell).to_owned()).collect()];
    all.extend(rows);
    if all.len() == 1 {
        println!("none");
        return;
    }
    let widths = widths(&all);
    for row in &all {
        let mut text = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            text.push_str(&format!("{cell:width$}  "));
        }
        println!("{}", text.trim_end());
    }
}

fn widths(rows: &[Vec<String>]) -> Vec<usize> {
    let mut widths: Vec<usize> = Vec::new();
    for row in rows {
        for (i, cell) in row.iter().enumerate() {
            let width = cell.chars().count();
            match widths.get_mut(i) {
                Some(widest) => *widest = width.max(*widest),
                None => widths.push(width),
            }
        }
    }
    widths
}

/// Formats milliseconds since 1970 as RFC 3339 in UTC, with the civil calendar algorithm of
/// Hinnant (2013).
pub(super) fn utc(at_ms: u64) -> String {
    let seconds = at_ms / SECOND_MS;
    let shifted = seconds / DAY_S + 719_468;
    let era = shifted / 146_097;
    let day_of_era = shifted % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = (shifted_month + 2) % 12 + 1;
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    let rest = seconds % DAY_S;
    format!(
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}.{:03}Z",
        rest / 3_600,
        rest / 60 % 60,
        rest % 60,
        at_ms % SECOND_MS
    )
}
