//! What was sent, answered and run: one line each, with the seconds since the start.

use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

pub struct Record {
    start: Instant,
    file: Mutex<std::io::BufWriter<std::fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = std::fs::File::create(path)?;
        Ok(Self {
            start: Instant::now(),
            file: Mutex::new(std::io::BufWriter::new(file)),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.seconds();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
        let _ = file.flush();
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}
