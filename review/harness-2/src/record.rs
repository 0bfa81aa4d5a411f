//! The record of a case: what was sent, answered and run, one line each.

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// A handle of the record; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    path: PathBuf,
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    /// Makes an empty record that is written to `path`.
    pub(crate) fn new(path: PathBuf) -> Self {
        Self {
            path,
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Returns the milliseconds since the start of the case.
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap()
    }

    /// Adds a line with the time of the case.
    pub(crate) fn note(&self, line: impl AsRef<str>) {
        let line = format!("{:>8} ms  {}", self.now_ms(), line.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Writes the record.
    pub(crate) fn save(&self) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        fs::write(&self.path, text).unwrap();
    }
}
