//! Builds a scheduler from the stored rows, which arrive in pages.

use super::row::JobRow;
use super::row::Row;
use super::row::StateRow;
use super::row::WaveRow;
use super::scheduler::Scheduler;
use super::task::Job;
use super::timing::Timing;
use prost::Message;
use std::collections::HashMap;

/// The result of decoding rows; the error names the row and the cause.
pub type Result<T> = std::result::Result<T, String>;

/// The rows that were decoded so far.
#[derive(Debug, Default)]
pub struct Loader {
    jobs: Vec<(String, JobRow)>,
    states: HashMap<String, StateRow>,
    waves: Vec<(u64, WaveRow)>,
}

impl Loader {
    /// Decodes and keeps rows; keys of other kinds are ignored.
    ///
    /// # Errors
    ///
    /// Names the first row that cannot be decoded.
    pub fn decode(&mut self, rows: Vec<Row>) -> Result<()> {
        for row in rows {
            let invalid = |error| format!("row {}: {error}", row.key);
            if let Some(id) = row.key.strip_prefix("s.") {
                let state = StateRow::decode(&*row.value).map_err(invalid)?;
                self.states.insert(id.to_owned(), state);
            } else if let Some(id) = row.key.strip_prefix("j.") {
                let job = JobRow::decode(&*row.value).map_err(invalid)?;
                self.jobs.push((id.to_owned(), job));
            } else if let Some(wave) = row.key.strip_prefix("w.") {
                let state = WaveRow::decode(&*row.value).map_err(invalid)?;
                let number = wave
                    .parse()
                    .map_err(|error| format!("row {}: {error}", row.key))?;
                self.waves.push((number, state));
            }
        }
        Ok(())
    }

    /// Builds the scheduler; `inherited_ms` is the longest time from `now` for which a lease that
    /// another VM requested may still be valid.
    pub fn finish(
        mut self,
        timing: Timing,
        now: u64,
        wall_ms: u64,
        inherited_ms: u64,
    ) -> Scheduler {
        let mut scheduler = Scheduler::new(timing, now, wall_ms);
        for (number, state) in self.waves {
            scheduler.upkeep.load(number, state);
        }
        for (id, row) in self.jobs {
            let state = self.states.remove(&id).unwrap_or_default();
            let job = Job::load(&id, row, state, now, wall_ms);
            scheduler.adopt(job, now, now + inherited_ms);
        }
        scheduler
    }
}
