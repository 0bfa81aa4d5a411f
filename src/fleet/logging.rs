//! The process's log on standard output. Logging never blocks and is limited in rate.
//!
//! Lines go through a bounded queue to a thread that writes them. A line is dropped if the queue
//! is full or the limit of lines per second is reached; the number of dropped lines is logged
//! later.

use log::LevelFilter;
use simplelog::ConfigBuilder;
use simplelog::WriteLogger;
use std::io::Write;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::Sender;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::channel;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::Instant;

/// The most lines that wait to be written.
const MAX_QUEUED_LINES: usize = 2_048;
/// The most lines per second: several times what decisions under heavy load produce.
const MAX_LINES_PER_S: u32 = 1_500;

/// Interval between two attempts to queue behind a full queue, in milliseconds.
const POLL_INTERVAL_MS: u64 = 5;

/// What the thread that writes the log receives.
#[derive(Debug)]
enum Entry {
    /// A line to write.
    Line(Vec<u8>),
    /// Is dropped once all lines before it are written.
    Mark(Sender<()>),
}

/// The running log.
#[derive(Debug)]
pub struct Log {
    tx: SyncSender<Entry>,
}

impl Log {
    /// Waits until the lines so far are written, for at most `limit_ms`: a reader of the log may
    /// have stopped. A process that exits without it loses the lines that are still queued.
    pub fn flush_within(&self, limit_ms: u64) {
        let end = Instant::now() + Duration::from_millis(limit_ms);
        let (mark, written) = channel();
        let mut entry = Entry::Mark(mark);
        while let Err(TrySendError::Full(unsent)) = self.tx.try_send(entry) {
            // A stopped reader may hold up standard error too: there is nowhere to report it.
            if Instant::now() >= end {
                return;
            }
            entry = unsent;
            std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
        let left = end.saturating_duration_since(Instant::now());
        match written.recv_timeout(left) {
            Ok(()) | Err(RecvTimeoutError::Disconnected | RecvTimeoutError::Timeout) => {}
        }
    }
}

/// Installs the logger; that of a second call stays without lines.
pub fn start() -> Log {
    let (tx, rx) = sync_channel::<Entry>(MAX_QUEUED_LINES);
    let writer = std::thread::Builder::new().name("log".to_owned());
    let spawned = writer.spawn(move || {
        let mut out = std::io::stdout();
        while let Ok(first) = rx.recv() {
            let mut lines = Vec::new();
            let mut marks = Vec::new();
            for entry in std::iter::once(first).chain(rx.try_iter()) {
                match entry {
                    Entry::Line(line) => lines.extend_from_slice(&line),
                    Entry::Mark(mark) => marks.push(mark),
                }
            }
            // Without standard output there is nowhere to report the error.
            if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
                return;
            }
            drop(marks);
        }
    });
    if let Err(error) = spawned {
        eprintln!("cannot start the log's thread: {error}");
    }
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("trefoil")
        .build();
    if WriteLogger::init(LevelFilter::Info, config, LineWriter::new(tx.clone())).is_err() {
        eprintln!("the logger is already installed");
    }
    Log { tx }
}

/// Splits what is written into lines, and queues them without blocking.
#[derive(Debug)]
struct LineWriter {
    tx: SyncSender<Entry>,
    line: Vec<u8>,
    window_start: Instant,
    sent: u32,
    dropped: u64,
}

impl LineWriter {
    /// Makes a writer that sends its lines to `tx`.
    fn new(tx: SyncSender<Entry>) -> Self {
        Self {
            tx,
            line: Vec::new(),
            window_start: Instant::now(),
            sent: 0,
            dropped: 0,
        }
    }

    fn send_line(&mut self) {
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            self.window_start = Instant::now();
            self.sent = 0;
        }
        let line = std::mem::take(&mut self.line);
        if self.sent >= MAX_LINES_PER_S {
            self.dropped += 1;
            return;
        }
        self.sent += 1;
        if self.dropped > 0 {
            let text = format!("TG1109 log lines left out={}\n", self.dropped);
            if self.tx.try_send(Entry::Line(text.into_bytes())).is_ok() {
                self.dropped = 0;
            }
        }
        match self.tx.try_send(Entry::Line(line)) {
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
                self.send_line();
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
