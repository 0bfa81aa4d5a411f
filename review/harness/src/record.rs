//! The record of a case: what was sent, answered and run, one line each.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the milliseconds since the start of the case.
#[derive(Debug, Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the file, or empties it.
    pub fn create(path: &Path) -> Self {
        Self {
            file: Arc::new(Mutex::new(File::create(path).unwrap())),
            start: Instant::now(),
        }
    }

    /// Returns the milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap()
    }

    /// Adds a line.
    pub fn add(&self, line: impl AsRef<str>) {
        let ms = self.now_ms();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{ms:>7} ms  {}", line.as_ref()).unwrap();
    }

    /// Adds a line, and prints it as well.
    pub fn say(&self, line: impl AsRef<str>) {
        self.add(line.as_ref());
        println!("{:>7} ms  {}", self.now_ms(), line.as_ref());
    }
}
