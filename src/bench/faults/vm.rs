//! One simulated process: the reducer with a reader and an appender of the log.

use super::log::MemoryLog;
use crate::context::Context;
use crate::prelude::*;
use crate::records::Batch;
use crate::records::BatchId;
use crate::records::CONTROL_SCHEMA;
use crate::records::Entry;
use crate::reducer::Event;
use crate::reducer::State;
use std::collections::BTreeMap;
use std::collections::VecDeque;

/// The wait before the outcome of an uncertain append is looked up in the log, in milliseconds.
const RETRY_MS: u64 = 200;

/// Whether a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Life {
    /// It runs.
    Up,
    /// It is paused until a time in milliseconds.
    Frozen(u64),
    /// It is down until a time in milliseconds.
    Down(u64),
}

/// For each connection and direction, until when messages are lost, in milliseconds.
#[derive(Debug, Clone, Default)]
pub struct Cuts {
    /// Reads of the log.
    pub reads: u64,
    /// Appends to the log.
    pub appends: u64,
    /// Heartbeats to this process.
    pub peers_in: u64,
    /// Heartbeats from this process.
    pub peers_out: u64,
    /// Calls of workers.
    pub workers_out: u64,
    /// Responses of workers.
    pub workers_in: u64,
    /// Requests to runners.
    pub runners_out: u64,
    /// Responses of runners.
    pub runners_in: u64,
}

/// Appends batches one at a time; the outcome of an uncertain append is looked up in the log.
#[derive(Debug, Clone, Default)]
pub struct Appender {
    /// The waiting entries; `None` asks for a batch even if there is no entry.
    pub queue: VecDeque<Option<Entry>>,
    /// The number of the last batch.
    pub seq: u64,
    /// The batch that is being appended.
    pub flight: Option<Batch>,
    /// When the batch is next sent, in milliseconds; `None` while a response is awaited.
    pub due_ms: Option<u64>,
    /// Whether the log must be searched for the batch before it is sent again.
    pub uncertain: bool,
}

/// One attempt at a runner that has not ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TryId {
    /// The request.
    pub req: Name,
    /// The number of the attempt.
    pub attempt: u32,
}

/// A simulated process.
#[derive(Debug, Clone)]
pub struct Vm {
    /// Its identity and settings.
    pub ctx: Context,
    /// The state of its reducer.
    pub state: State,
    /// Whether it runs.
    pub life: Life,
    /// Its lost connections.
    pub cuts: Cuts,
    /// Its appender.
    pub appender: Appender,
    /// Events that arrived while it was paused.
    pub backlog: Vec<Event>,
    /// The attempts that have not ended.
    pub tries: BTreeMap<TryId, Name>,
    /// Bodies of complete answers that await the reducer's decision.
    pub answers: BTreeMap<TryId, String>,
    /// When its planned stop began, in milliseconds.
    pub drain_ms: Option<u64>,
    /// The highest revision of the list of VMs that it received.
    pub revision: u64,
    /// How often it reloaded a checkpoint because retention had removed records it had not read.
    pub reloads: u32,
    config_next: Offset,
    control_next: Offset,
    read_seq: u64,
    load_ms: u64,
}

impl Vm {
    /// Creates a process that starts at `now_ms`.
    pub fn new(ctx: Context, now_ms: u64) -> Self {
        Self {
            ctx,
            state: State::default(),
            life: Life::Up,
            cuts: Cuts::default(),
            appender: Appender::default(),
            backlog: Vec::new(),
            tries: BTreeMap::new(),
            answers: BTreeMap::new(),
            drain_ms: None,
            revision: 0,
            reloads: 0,
            config_next: 0,
            control_next: 0,
            read_seq: 0,
            load_ms: now_ms + 50,
        }
    }

    /// Returns whether it can handle events now.
    pub fn is_up(&self) -> bool {
        self.life == Life::Up
    }

    /// Reads the log, and returns the resulting events.
    pub fn read(&mut self, now_ms: u64, log: &MemoryLog) -> Vec<Event> {
        if now_ms < self.load_ms {
            return Vec::new();
        }
        if log.is_down(now_ms) || now_ms < self.cuts.reads {
            return match self.state.log_up {
                true => vec![Event::Log { up: false }],
                false => Vec::new(),
            };
        }
        let expired = self.control_next < log.first || self.config_next < log.first_cfg;
        if !self.state.restored || expired {
            self.reloads += u32::from(expired && self.state.restored);
            return vec![self.load_checkpoint(log)];
        }
        self.read_records(now_ms, log)
    }

    /// Returns the batch to append now, if there is one.
    pub fn next_batch(&mut self, now_ms: u64, wall_ms: u64, log: &MemoryLog) -> Option<Batch> {
        if self.appender.flight.is_none() && !self.appender.queue.is_empty() {
            self.appender.seq += 1;
            let entries = self.appender.queue.drain(..).flatten().collect();
            self.appender.flight = Some(Batch {
                schema: CONTROL_SCHEMA,
                id: BatchId {
                    writer: self.ctx.writer.clone(),
                    boot: self.ctx.boot,
                    seq: self.appender.seq,
                },
                at_ms: wall_ms,
                cfg: self.config_next,
                entries,
            });
            self.appender.due_ms = Some(now_ms);
            self.appender.uncertain = false;
        }
        let due = self.appender.due_ms.is_some_and(|due_ms| now_ms >= due_ms);
        if !due {
            return None;
        }
        if self.appender.uncertain {
            if self.read_seq >= self.appender.seq {
                self.appender.flight = None;
                self.appender.due_ms = None;
                return None;
            }
            let readable = !log.is_down(now_ms) && now_ms >= self.cuts.reads;
            if !readable || (self.control_next as usize) < log.control.len() {
                return None;
            }
        }
        self.appender.due_ms = None;
        self.appender.flight.clone()
    }

    /// Records how the append of batch `seq` ended.
    pub fn appended(&mut self, now_ms: u64, seq: u64, done: bool) {
        if self.appender.seq != seq || self.appender.flight.is_none() {
            return;
        }
        if done {
            self.appender.flight = None;
            self.appender.due_ms = None;
            return;
        }
        self.appender.uncertain = true;
        self.appender.due_ms = Some(now_ms + RETRY_MS);
    }

    /// Returns whether it has no open call and nothing to append.
    pub fn is_idle(&self) -> bool {
        self.state.open_calls() == 0
            && self.appender.queue.is_empty()
            && self.appender.flight.is_none()
    }

    fn load_checkpoint(&mut self, log: &MemoryLog) -> Event {
        let ledger = log.checkpoints.last().cloned().unwrap_or_default();
        self.config_next = ledger.catalog.next;
        self.control_next = ledger.next;
        Event::Restore {
            ledger: Box::new(ledger),
        }
    }

    fn read_records(&mut self, now_ms: u64, log: &MemoryLog) -> Vec<Event> {
        let mut events = Vec::new();
        let lag_ms = match now_ms < log.slow_ms {
            true => 700,
            false => 2,
        };
        let seen = |at_ms: u64| at_ms + lag_ms <= now_ms;
        while let Some(record) = log.config.get(self.config_next as usize) {
            if !seen(record.at_ms) {
                break;
            }
            events.push(Event::Config {
                offset: self.config_next,
                data: record.text.clone().into_bytes(),
            });
            self.config_next += 1;
        }
        while let Some(record) = log.control.get(self.control_next as usize) {
            if !seen(record.at_ms) || record.batch.cfg > self.config_next {
                break;
            }
            let id = &record.batch.id;
            if id.writer == self.ctx.writer && id.boot == self.ctx.boot {
                self.read_seq = self.read_seq.max(id.seq);
            }
            events.push(Event::Control {
                offset: self.control_next,
                batch: record.batch.clone(),
            });
            self.control_next += 1;
        }
        let unseen = log.control.get(self.control_next as usize);
        let current = self.state.log_up && self.state.caught_up;
        if !unseen.is_some_and(|record| seen(record.at_ms)) && !current {
            events.push(Event::Log { up: true });
        }
        events
    }
}
