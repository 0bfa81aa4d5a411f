//! Follows the log and sends configuration and control records to the reducer in order.

use super::engine::Engine;
use super::log::CONFIG_STREAM;
use super::log::CONTROL_STREAM;
use super::log::Log;
use crate::context::Context;
use crate::platform::LogPage;
use crate::prelude::*;
use crate::records::Batch;
use crate::records::CONTROL_SCHEMA;
use crate::reducer::Event;
use serde::Deserialize;
use std::time::Duration;
use std::time::Instant;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The delay after a failed read, in milliseconds.
const RETRY_DELAY_MS: u64 = 100;
/// How long a control record waits for the configuration that it refers to before the process counts
/// as out of date.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(1);

/// How far a process has read the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Position {
    /// The next configuration offset to read.
    pub config: Offset,
    /// The next control offset to read.
    pub control: Offset,
    /// The highest sequence number among this process's own batches read from the log.
    pub own_seq: u64,
    /// Whether the configuration stream was read to its end at least once.
    pub config_read: bool,
    /// Whether the log's retention removed records that were not yet read.
    pub truncated: bool,
}

/// The tasks that follow the log; aborted when this is dropped.
#[derive(Debug)]
pub struct Tail {
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Tail {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// The field that all schema versions of the control stream have in common.
#[derive(Debug, Deserialize)]
struct SchemaHeader {
    schema: u32,
}

struct Follower {
    log: Arc<dyn Log>,
    engine: Engine,
    ctx: Arc<Context>,
    position: Arc<watch::Sender<Position>>,
}

/// Starts following the log at the current position.
pub fn spawn(
    log: Arc<dyn Log>,
    engine: Engine,
    ctx: &Arc<Context>,
    position: Arc<watch::Sender<Position>>,
) -> Tail {
    let start = *position.borrow();
    let follower = Arc::new(Follower {
        log,
        engine,
        ctx: ctx.clone(),
        position,
    });
    let changes = follower.clone();
    let tasks = vec![
        tokio::spawn(async move { changes.follow_config(start.config).await }),
        tokio::spawn(async move { follower.follow_control(start.control).await }),
    ];
    Tail { tasks }
}

impl Follower {
    async fn follow_config(&self, mut next: Offset) {
        loop {
            let Some(page) = self.read(CONFIG_STREAM, next).await else {
                continue;
            };
            let end = page.next;
            for record in page.records {
                next = record.offset + 1;
                let event = Event::Config {
                    offset: record.offset,
                    data: record.data.into_bytes(),
                };
                if !self.engine.send(event).await {
                    return;
                }
                self.position.send_modify(|position| position.config = next);
            }
            if next >= end {
                self.position
                    .send_modify(|position| position.config_read = true);
            }
        }
    }

    async fn follow_control(&self, mut next: Offset) {
        loop {
            let started = Instant::now();
            let page = self.read(CONTROL_STREAM, next).await;
            let Some(page) = page else {
                self.engine.send(Event::Log { up: false }).await;
                continue;
            };
            let end = page.next;
            for record in page.records {
                next = record.offset + 1;
                self.deliver(record.offset, &record.data).await;
            }
            let fresh = started.elapsed() <= self.max_read_time();
            let config_known = self.position.borrow().config_read;
            if next >= end
                && fresh
                && config_known
                && !self.engine.send(Event::Log { up: true }).await
            {
                return;
            }
        }
    }

    async fn deliver(&self, offset: Offset, data: &str) {
        let header = serde_json::from_str::<SchemaHeader>(data);
        let event = match serde_json::from_str::<Batch>(data) {
            _ if header.is_ok_and(|header| header.schema > CONTROL_SCHEMA) => {
                Event::NewerSchema { offset }
            }
            Ok(batch) => {
                self.wait_for_config(batch.cfg).await;
                Event::Control { offset, batch }
            }
            Err(_) => Event::Garbled { offset },
        };
        let own_seq = match &event {
            Event::Control { batch, .. }
                if batch.id.writer == self.ctx.writer && batch.id.boot == self.ctx.boot =>
            {
                batch.id.seq
            }
            _ => 0,
        };
        self.engine.send(event).await;
        self.position.send_modify(|position| {
            position.control = offset + 1;
            position.own_seq = position.own_seq.max(own_seq);
        });
    }

    /// Waits until the configuration stream is read up to `cfg`; a long wait makes the process
    /// unready.
    async fn wait_for_config(&self, cfg: Offset) {
        let mut position = self.position.subscribe();
        loop {
            let reached = position.wait_for(|position| position.config >= cfg);
            if tokio::time::timeout(CONFIG_TIMEOUT, reached).await.is_ok() {
                return;
            }
            log::warn!(
                "a control record needs configuration up to offset {cfg}, which is not read yet"
            );
            self.engine.send(Event::MaybeStale).await;
        }
    }

    /// Returns the maximum duration of a read. A response that took longer may have been pending
    /// while the process was paused, so the end of the log that it states may be out of date.
    fn max_read_time(&self) -> Duration {
        let config = &self.ctx.settings.log;
        Duration::from_millis(config.poll_ms + config.call_ms)
    }

    /// Reads a page; returns `None` if the log is unreachable or no longer has the records.
    async fn read(&self, stream: &str, next: Offset) -> Option<LogPage> {
        let config = &self.ctx.settings.log;
        let page = self.log.read(stream, next, config.page, config.poll_ms);
        match page.await {
            Ok(page) if page.first > next => {
                log::error!(
                    "records {next} to {} of stream {stream} were removed before they were read",
                    page.first
                );
                self.position
                    .send_modify(|position| position.truncated = true);
                self.engine.send(Event::MaybeStale).await;
                retry_delay().await;
                None
            }
            Ok(page) => Some(page),
            Err(error) => {
                log::debug!("cannot read stream {stream}: {error}");
                retry_delay().await;
                None
            }
        }
    }
}

async fn retry_delay() {
    tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
}
