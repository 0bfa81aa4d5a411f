//! The executions of workers, and checks for violated guarantees.

use crate::shared::Shared;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;
use tokio::time::Instant;
use trefoilgauge::prelude::Name;
use trefoilgauge::prelude::Offset;

/// How an execution ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It ran to completion.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Its worker restarted.
    Restarted,
}

/// One execution of one member of a gang.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Span {
    /// The worker.
    pub worker: Name,
    /// The job of the gang.
    pub job: Name,
    /// The index of the member in the gang.
    pub index: u32,
    /// The fencing token of the placement.
    pub token: Offset,
    /// The accelerators that it holds, one bit each.
    pub mask: u64,
    /// The start time, in milliseconds since the start of the history.
    pub started_ms: u64,
    /// The stop time on the same clock, or `None` while it runs.
    pub stopped_ms: Option<u64>,
    /// How it ended, or `None` while it runs.
    pub end: Option<End>,
}

impl Span {
    fn overlaps(&self, other: &Self) -> bool {
        let before = |one: &Self, two: &Self| {
            one.stopped_ms
                .is_some_and(|stopped| stopped <= two.started_ms)
        };
        !before(self, other) && !before(other, self)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let stopped = self.stopped_ms.map(|ms| ms.to_string());
        write!(
            f,
            "{}#{} token {} on {} mask {:#x} from {} to {}",
            self.job,
            self.index,
            self.token,
            self.worker,
            self.mask,
            self.started_ms,
            stopped.as_deref().unwrap_or("now"),
        )
    }
}

/// A callback that updates the spans of one worker.
#[derive(Clone)]
struct Source {
    refresh: Arc<dyn Fn() + Send + Sync>,
}

impl fmt::Debug for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Source")
    }
}

/// The executions of all workers that share this history.
#[derive(Debug, Clone)]
pub struct History {
    start: Instant,
    spans: Shared<Vec<Span>>,
    sources: Shared<Vec<Source>>,
}

impl Default for History {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            spans: Shared::default(),
            sources: Shared::default(),
        }
    }
}

impl History {
    /// Converts an instant to milliseconds since the start of the history.
    pub fn stamp(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.start).as_millis() as u64
    }

    /// Registers a callback that runs before spans are read; a worker without calls does not end
    /// its spans by itself.
    pub fn add_source(&self, refresh: impl Fn() + Send + Sync + 'static) {
        let refresh = Arc::new(refresh);
        self.sources
            .with(|sources| sources.push(Source { refresh }));
    }

    /// Adds a span and returns its index.
    pub fn add(&self, span: Span) -> usize {
        self.spans.with(|spans| {
            spans.push(span);
            spans.len() - 1
        })
    }

    /// Ends a span.
    pub fn end(&self, index: usize, at: Instant, end: End) {
        let stamp_ms = self.stamp(at);
        self.spans.with(|spans| {
            let Some(span) = spans.get_mut(index) else {
                return;
            };
            span.stopped_ms = Some(stamp_ms.max(span.started_ms));
            span.end = Some(end);
        });
    }

    /// Returns all spans, in the order in which they started.
    pub fn all(&self) -> Vec<Span> {
        let sources = self.sources.with(|sources| sources.clone());
        sources.iter().for_each(|source| (source.refresh)());
        self.spans.with(|spans| spans.clone())
    }

    /// Returns the spans of a job.
    pub fn of_job(&self, job: &str) -> Vec<Span> {
        let all = self.all().into_iter();
        all.filter(|span| *span.job == *job).collect()
    }

    /// Describes each pair of spans that executed one gang under different tokens at the same time.
    pub fn overlaps(&self) -> Vec<String> {
        self.pairs(|one, two| one.job == two.job && one.token != two.token)
    }

    /// Describes each pair of spans that held the same accelerator at the same time.
    pub fn double_held(&self) -> Vec<String> {
        self.pairs(|one, two| one.worker == two.worker && one.mask & two.mask != 0)
    }

    /// Describes each placement of a gang of `members` that ran with only some of its members for
    /// more than `grace_ms` in total, or in which one member completed and another never started.
    ///
    /// Members start and stop through a separate call to each worker, so `grace_ms` must cover the
    /// time between the first and the last of these calls.
    pub fn partial(&self, job: &str, members: u32, grace_ms: u64) -> Vec<String> {
        let now_ms = self.stamp(Instant::now());
        let mut tokens: BTreeMap<Offset, Vec<Span>> = BTreeMap::new();
        for span in self.of_job(job) {
            tokens.entry(span.token).or_default().push(span);
        }
        let mut found = Vec::new();
        for (token, spans) in tokens {
            let partial_ms = partial_ms(&spans, members, now_ms);
            let started: BTreeSet<u32> = spans.iter().map(|span| span.index).collect();
            let done = spans.iter().any(|span| span.end == Some(End::Done));
            let incomplete = done && started.len() < members as usize;
            if incomplete || partial_ms > grace_ms {
                found.push(format!(
                    "{job} token {token}: {} of {members} started, partial for {partial_ms} ms",
                    started.len(),
                ));
            }
        }
        found
    }

    fn pairs(&self, predicate: impl Fn(&Span, &Span) -> bool) -> Vec<String> {
        let spans = self.all();
        let mut found = Vec::new();
        for (i, one) in spans.iter().enumerate() {
            for two in &spans[i + 1..] {
                if predicate(one, two) && one.overlaps(two) {
                    found.push(format!("{one}; {two}"));
                }
            }
        }
        found
    }
}

/// Returns how long some but not all members executed, in milliseconds. A completed member counts
/// as executing until the last span ends.
fn partial_ms(spans: &[Span], members: u32, now_ms: u64) -> u64 {
    let last_ms = spans
        .iter()
        .map(|span| span.stopped_ms.unwrap_or(now_ms))
        .max()
        .unwrap_or(now_ms);
    let until = |span: &Span| match span.end {
        Some(End::Done) => last_ms,
        _ => span.stopped_ms.unwrap_or(now_ms),
    };
    let mut edges: BTreeSet<u64> = BTreeSet::new();
    for span in spans {
        edges.insert(span.started_ms);
        edges.insert(until(span));
    }
    let edges: Vec<u64> = edges.into_iter().collect();
    let mut total_ms = 0;
    for pair in edges.windows(2) {
        let live = spans
            .iter()
            .filter(|span| span.started_ms <= pair[0] && until(span) >= pair[1]);
        let live = live.count();
        if live > 0 && live < members as usize {
            total_ms += pair[1] - pair[0];
        }
    }
    total_ms
}
