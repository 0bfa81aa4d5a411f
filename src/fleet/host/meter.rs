//! Measures how far the leader is behind: how late its task wakes up, and what takes its time.

use crate::fleet::clock::boot_ms;
use crate::fleet::gauge;
use std::time::Duration;
use std::time::Instant;

/// The lateness from which on a line is logged each second, in milliseconds: the objective of quick
/// checks leaves them 250 ms beside their work.
const LATE_MS: u64 = 100;
/// The time between two lines while the leader is behind, in milliseconds.
const BEHIND_LOG_MS: u64 = 1_000;
/// The time between two lines otherwise, in milliseconds.
const CALM_LOG_MS: u64 = 5_000;

/// The parts of the leader's work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Part {
    /// Handling events.
    Events,
    /// Placing tasks, renewing leases and making rows.
    Decisions,
    /// Handing orders and replies to those that send them.
    Orders,
}

/// What was measured since the last line.
#[derive(Debug, Default)]
struct Window {
    late_ms: u64,
    queued: usize,
    orders: u64,
    parts: [Duration; 3],
}

/// The leader's load.
#[derive(Debug)]
pub(super) struct Meter {
    window: Window,
    since: u64,
    tick: u64,
    tick_ms: u64,
}

impl Meter {
    /// Makes the measure of a task that wakes up each `tick_ms` milliseconds.
    pub(super) fn new(tick_ms: u64) -> Self {
        let now = boot_ms();
        Self {
            window: Window::default(),
            since: now,
            tick: now,
            tick_ms,
        }
    }

    /// Measures `work` as a part; returns its result and how long it took.
    pub(super) fn time<T>(&mut self, part: Part, work: impl FnOnce() -> T) -> (T, Duration) {
        let start = Instant::now();
        let result = work();
        let took = start.elapsed();
        self.window.parts[part as usize] += took;
        (result, took)
    }

    /// Counts an order that was handed out.
    pub(super) fn sent(&mut self) {
        self.window.orders += 1;
    }

    /// Notes a tick, with the number of events that wait; logs the load when it is due.
    pub(super) fn tick(&mut self, queued: usize) {
        let now = boot_ms();
        let late = now.saturating_sub(self.tick + self.tick_ms);
        self.tick = now;
        gauge::late(late);
        self.window.late_ms = self.window.late_ms.max(late);
        self.window.queued = self.window.queued.max(queued);
        let behind = self.window.late_ms >= LATE_MS;
        let pause = if behind { BEHIND_LOG_MS } else { CALM_LOG_MS };
        let passed = now.saturating_sub(self.since);
        if passed < pause {
            return;
        }
        let window = std::mem::take(&mut self.window);
        self.since = now;
        let [events, decisions, orders] = window.parts.map(|part| part.as_millis());
        gauge::busy(window.parts);
        log::info!(
            "TG1319 leader's load over_ms={passed} late_ms={} queued={} events_ms={events} decisions_ms={decisions} orders_ms={orders} orders={}",
            window.late_ms,
            window.queued,
            window.orders
        );
    }
}
