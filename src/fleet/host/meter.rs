//! Measures the load of the leader's task: how late it wakes up, and what it spends its time on.

use crate::fleet::clock::boot_ms;
use crate::fleet::gauge;
use std::time::Duration;
use std::time::Instant;

/// The lateness from which on the load is logged each second, in milliseconds: the latency
/// objective of quick checks leaves 250 ms beside their work.
const LATE_MS: u64 = 100;
/// The time between two log lines while the task is late, in milliseconds.
const LATE_LOG_MS: u64 = 1_000;
/// The time between two log lines otherwise, in milliseconds.
const USUAL_LOG_MS: u64 = 5_000;

/// The parts of the work of the leader's task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Part {
    /// Handling events.
    Events,
    /// Placing tasks, renewing leases and making rows.
    Decisions,
    /// Dispatching orders.
    Orders,
}

/// The measurements since the last log line.
#[derive(Debug, Default)]
struct Window {
    late_ms: u64,
    queued: usize,
    orders: u64,
    parts: [Duration; 3],
}

/// Measures one task and logs its load.
#[derive(Debug)]
pub(super) struct Meter {
    window: Window,
    /// When the window began (local clock).
    since: u64,
    /// When the last tick was handled (local clock).
    last_tick: u64,
    tick_ms: u64,
}

impl Meter {
    /// Makes the meter of a task that wakes up every `tick_ms` milliseconds.
    pub(super) fn new(tick_ms: u64) -> Self {
        let now = boot_ms();
        Self {
            window: Window::default(),
            since: now,
            last_tick: now,
            tick_ms,
        }
    }

    /// Runs `work`, and counts its time towards `part`; returns the result and the time.
    pub(super) fn time<T>(&mut self, part: Part, work: impl FnOnce() -> T) -> (T, Duration) {
        let start = Instant::now();
        let result = work();
        let took = start.elapsed();
        self.window.parts[part as usize] += took;
        (result, took)
    }

    /// Counts an order that is dispatched.
    pub(super) fn count_order(&mut self) {
        self.window.orders += 1;
    }

    /// Records a tick and the number of queued inputs; logs the load when it is due.
    pub(super) fn tick(&mut self, queued: usize) {
        let now = boot_ms();
        let late = now.saturating_sub(self.last_tick + self.tick_ms);
        self.last_tick = now;
        gauge::late(late);
        self.window.late_ms = self.window.late_ms.max(late);
        self.window.queued = self.window.queued.max(queued);
        let is_late = self.window.late_ms >= LATE_MS;
        let interval = if is_late { LATE_LOG_MS } else { USUAL_LOG_MS };
        let passed = now.saturating_sub(self.since);
        if passed < interval {
            return;
        }
        let window = std::mem::take(&mut self.window);
        self.since = now;
        let [events, decisions, orders] = window.parts.map(|part| part.as_millis());
        gauge::busy(window.parts);
        log::info!(
            "TG1319 leader load over_ms={passed} late_ms={} queued={} events_ms={events} decisions_ms={decisions} orders_ms={orders} orders={}",
            window.late_ms,
            window.queued,
            window.orders
        );
    }
}
