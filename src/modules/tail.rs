//! Follows the log: configuration and control records go to the reducer in order.

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

/// The wait after a failed read, in milliseconds.
const RETRY_MS: u64 = 100;
/// The wait for a configuration record after which the process counts as out of date.
const CONFIG_WAIT: Duration = Duration::from_secs(1);

/// How far a process has read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Position {
    /// The next configuration offset.
    pub config: Offset,
    /// The next control offset.
    pub control: Offset,
    /// The highest sequence number of this process's own batches that was read back.
    pub own_seq: u64,
    /// Whether the configuration stream was read up to its end once.
    pub config_read: bool,
    /// Whether records that were still needed are gone.
    pub passed: bool,
}

/// The tasks that follow the log.
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

/// What every schema of the control stream has.
#[derive(Debug, Deserialize)]
struct Head {
    schema: u32,
}

struct Follower {
    log: Arc<dyn Log>,
    engine: Engine,
    ctx: Arc<Context>,
    position: Arc<watch::Sender<Position>>,
}

/// Follows the log from the present position.
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
                if !self.engine.tell(event).await {
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
            let asked = Instant::now();
            let page = self.read(CONTROL_STREAM, next).await;
            let Some(page) = page else {
                self.engine.tell(Event::Log { up: false }).await;
                continue;
            };
            let end = page.next;
            for record in page.records {
                next = record.offset + 1;
                self.pass_on(record.offset, &record.data).await;
            }
            let fresh = asked.elapsed() <= self.patience();
            let known = self.position.borrow().config_read;
            if next >= end && fresh && known && !self.engine.tell(Event::Log { up: true }).await {
                return;
            }
        }
    }

    async fn pass_on(&self, offset: Offset, data: &str) {
        let head = serde_json::from_str::<Head>(data);
        let event = match serde_json::from_str::<Batch>(data) {
            _ if head.is_ok_and(|head| head.schema > CONTROL_SCHEMA) => {
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
        self.engine.tell(event).await;
        self.position.send_modify(|position| {
            position.control = offset + 1;
            position.own_seq = position.own_seq.max(own_seq);
        });
    }

    /// Waits until the configuration is read up to `cfg`; a long wait makes the process unready.
    async fn wait_for_config(&self, cfg: Offset) {
        let mut position = self.position.subscribe();
        loop {
            let reached = position.wait_for(|position| position.config >= cfg);
            if tokio::time::timeout(CONFIG_WAIT, reached).await.is_ok() {
                return;
            }
            log::warn!("a control record waits for configuration {cfg}");
            self.engine.tell(Event::MaybeStale).await;
        }
    }

    /// Returns the longest time of a read; an answer that took longer may have waited here while
    /// the process was paused, and its end of the log is not the present one.
    fn patience(&self) -> Duration {
        let config = &self.ctx.settings.log;
        Duration::from_millis(config.poll_ms + config.call_ms)
    }

    /// Reads a page; nothing if the log cannot be reached or no longer has the records.
    async fn read(&self, stream: &str, next: Offset) -> Option<LogPage> {
        let config = &self.ctx.settings.log;
        let page = self.log.read(stream, next, config.page, config.poll_ms);
        match page.await {
            Ok(page) if page.first > next => {
                log::error!("records {next} to {} of {stream} are gone", page.first);
                self.position.send_modify(|position| position.passed = true);
                self.engine.tell(Event::MaybeStale).await;
                pause().await;
                None
            }
            Ok(page) => Some(page),
            Err(error) => {
                log::debug!("{stream} cannot be read: {error}");
                pause().await;
                None
            }
        }
    }
}

async fn pause() {
    tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
}
