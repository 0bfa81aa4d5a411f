//! Builds a scheduler from the stored rows, which arrive in pages.

use super::learned::StoredKnowledge;
use super::leases::EarlierLeaders;
use super::leases::Takeover;
use super::row::JobRow;
use super::row::LeadersRow;
use super::row::MAX_CLOSED;
use super::row::RESTART_PREFIX;
use super::row::RestartRow;
use super::row::Row;
use super::row::StateRow;
use super::row::WaveRow;
use super::row::job_key;
use super::row::leaders_key;
use super::scheduler::Scheduler;
use super::task::Job;
use super::timing::Timing;
use crate::prelude::*;
use prost::Message;
use std::collections::BTreeSet;
use std::collections::HashMap;

/// The result of decoding a row; the error is the cause.
pub type Result<T> = std::result::Result<T, String>;

/// Limit on the unreadable rows that are logged one by one.
const MAX_LOGGED: usize = 10;
/// Limit on the runs of a task: its counts can be increased without overflow.
const MAX_RUNS: u32 = u32::MAX / 2;

/// The rows that were decoded so far.
#[derive(Debug, Default)]
pub struct Loader {
    jobs: Vec<(String, JobRow)>,
    states: HashMap<String, StateRow>,
    waves: Vec<(u64, WaveRow)>,
    leaders: LeadersRow,
    /// Upstreams that an earlier leader saw restart.
    restarted: Vec<Name>,
    /// What earlier leaders have learned.
    learned: StoredKnowledge,
    /// Jobs with a row that cannot be decoded.
    unreadable: BTreeSet<Name>,
    /// Waves with a row that cannot be decoded.
    unreadable_waves: Vec<u64>,
    /// Number of rows that cannot be decoded.
    failures: usize,
}

impl Loader {
    /// Decodes and keeps rows; keys of other kinds are ignored. A row that cannot be decoded is
    /// logged, and makes its job or wave unreadable.
    pub fn decode(&mut self, rows: Vec<Row>) {
        // An empty value deletes the key.
        for row in rows.into_iter().filter(|row| !row.value.is_empty()) {
            if let Err(error) = self.decode_row(&row) {
                self.note_failure(&row.key, &error);
            }
        }
    }

    fn decode_row(&mut self, row: &Row) -> Result<()> {
        let invalid = |error: prost::DecodeError| error.to_string();
        if let Some(id) = row.key.strip_prefix("s.") {
            let state = StateRow::decode(&*row.value).map_err(invalid)?;
            self.states.insert(id.to_owned(), state);
        } else if let Some(id) = row.key.strip_prefix("j.") {
            let job = JobRow::decode(&*row.value).map_err(invalid)?;
            self.jobs.push((id.to_owned(), job));
        } else if let Some(wave) = row.key.strip_prefix("w.") {
            let number = wave.parse().map_err(|_| "its key names no wave")?;
            match WaveRow::decode(&*row.value) {
                Ok(state) => self.waves.push((number, state)),
                Err(error) => {
                    self.unreadable_waves.push(number);
                    return Err(invalid(error));
                }
            }
        } else if let Some(upstream) = row.key.strip_prefix(RESTART_PREFIX) {
            // Its key alone says what matters.
            self.restarted.push(upstream.into());
            RestartRow::decode(&*row.value).map_err(invalid)?;
        } else if self.learned.decode(row) {
            // Its faults cost only knowledge.
        } else if row.key == leaders_key() {
            self.leaders = LeadersRow::decode(&*row.value).map_err(invalid)?;
        }
        Ok(())
    }

    fn note_failure(&mut self, key: &str, error: &str) {
        self.failures += 1;
        if self.failures <= MAX_LOGGED {
            log::error!("TG1320 row={key:?} cannot be decoded: {error}");
        }
        if let Some(job) = key.strip_prefix("s.").or(key.strip_prefix("j.")) {
            self.unreadable.insert(job.into());
        }
    }

    /// Builds the scheduler of a new leader.
    pub fn finish(
        mut self,
        timing: Timing,
        now: u64,
        wall_ms: u64,
        takeover: Takeover,
    ) -> Scheduler {
        let mut scheduler = Scheduler::new(timing, now, wall_ms);
        scheduler.earlier = EarlierLeaders::new(takeover, self.leaders.ended_before, now);
        scheduler.load_learned(std::mem::take(&mut self.learned), now, wall_ms);
        for at in std::mem::take(&mut self.restarted) {
            log::info!("TG1522 upstream={at} restarted lately, as an earlier leader stored");
            scheduler.restarted.load(at, now, &scheduler.timing);
        }
        for (number, state) in std::mem::take(&mut self.waves) {
            scheduler.upkeep.load(number, state);
        }
        for number in std::mem::take(&mut self.unreadable_waves) {
            scheduler.upkeep.load_unreadable(number);
        }
        for (id, row) in std::mem::take(&mut self.jobs) {
            let state = self.states.remove(&id).unwrap_or_default();
            if self.unreadable.contains(&*id) {
                continue;
            }
            if let Some(why) = fault(&row, &state) {
                self.note_failure(&job_key(&id), why);
                continue;
            }
            let job = Job::load(&id, row, state, now, wall_ms);
            scheduler.adopt(job, now);
        }
        if !self.unreadable.is_empty() {
            log::error!(
                "TG1321 jobs={} rows={} cannot be decoded; these jobs are neither run nor taken as absent",
                self.unreadable.len(),
                self.failures
            );
        }
        scheduler.unreadable = self.unreadable;
        scheduler
    }
}

/// Returns why rows cannot be those of a job that a scheduler has stored.
fn fault(job: &JobRow, state: &StateRow) -> Option<&'static str> {
    let Some(spec) = &job.spec else {
        return Some("it has no specification");
    };
    if let Some(why) = spec.fault() {
        return Some(why);
    }
    if state.closed > MAX_CLOSED {
        return Some("its state is not known");
    }
    let count: usize = spec.steps.iter().map(|step| step.count as usize).sum();
    if state.turns.iter().any(|turn| turn.tasks.len() != count) {
        return Some("an occurrence has other tasks than the specification");
    }
    let mut tasks = state.turns.iter().flat_map(|turn| &turn.tasks);
    tasks.find_map(|task| {
        if task.at as usize > state.upstreams.len() {
            Some("a task runs on an upstream that is not named")
        } else if task.runs.max(task.fails) > MAX_RUNS {
            Some("a task has too many runs")
        } else {
            None
        }
    })
}
