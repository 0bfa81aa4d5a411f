//! The process's log on standard output: bounded, and never waited for.
//!
//! Lines go through a bounded queue to a thread that writes them. A line that finds the queue
//! full, or the budget of the second spent, is counted instead, and the count is logged later.

use log::LevelFilter;
use simplelog::ConfigBuilder;
use simplelog::WriteLogger;
use std::io::Write;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::Instant;

/// Lines that may wait to be written.
const MAX_QUEUED: usize = 2_048;
/// Lines a second that are written at the most: several times what a heavy day's decisions make.
const BUDGET_LINES: u32 = 1_500;

/// Starts the log; a second start changes nothing.
pub fn start() {
    let (tx, rx) = sync_channel::<Vec<u8>>(MAX_QUEUED);
    let writer = std::thread::Builder::new().name("log".to_owned());
    let spawned = writer.spawn(move || {
        let mut out = std::io::stdout();
        while let Ok(mut lines) = rx.recv() {
            while let Ok(line) = rx.try_recv() {
                lines.extend_from_slice(&line);
            }
            // Nobody is left to tell when standard output is gone.
            if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
                return;
            }
        }
    });
    if let Err(error) = spawned {
        eprintln!("the log's thread cannot be started: {error}");
    }
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("trefoil")
        .build();
    if WriteLogger::init(LevelFilter::Info, config, LineWriter::new(tx)).is_err() {
        eprintln!("the log was started before");
    }
}

/// Gathers what is written into lines, and passes them on without waiting.
#[derive(Debug)]
pub struct LineWriter {
    tx: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    since: Instant,
    spent: u32,
    dropped: u64,
}

impl LineWriter {
    /// Makes a writer whose lines go to `tx`.
    pub fn new(tx: SyncSender<Vec<u8>>) -> Self {
        Self {
            tx,
            line: Vec::new(),
            since: Instant::now(),
            spent: 0,
            dropped: 0,
        }
    }

    fn pass(&mut self) {
        if self.since.elapsed() >= Duration::from_secs(1) {
            self.since = Instant::now();
            self.spent = 0;
        }
        let line = std::mem::take(&mut self.line);
        if self.spent >= BUDGET_LINES {
            self.dropped += 1;
            return;
        }
        self.spent += 1;
        if self.dropped > 0 {
            let text = format!("TG1109 log lines left out={}\n", self.dropped);
            if self.tx.try_send(text.into_bytes()).is_ok() {
                self.dropped = 0;
            }
        }
        match self.tx.try_send(line) {
            Ok(()) | Err(TrySendError::Disconnected(_)) => {}
            Err(TrySendError::Full(_)) => self.dropped += 1,
        }
    }
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.line.extend_from_slice(part);
            if part.ends_with(b"\n") {
                self.pass();
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
