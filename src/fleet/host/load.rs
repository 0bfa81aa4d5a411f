//! Loads the state that earlier leaders stored, page by page.

use super::Parts;
use super::declines::Declines;
use super::engine;
use super::watch::Discovery;
use crate::fleet::Scheduler;
use crate::fleet::clock::boot_ms;
use crate::fleet::clock::wall_ms;
use crate::fleet::leases::Takeover;
use crate::fleet::load::Loader;
use crate::fleet::mandate::MAX_ORDER_AGE_MS;
use crate::fleet::ports::Area;
use crate::fleet::ports::Error;
use crate::fleet::ports::Terms;
use crate::prelude::*;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// The state of a VM that is loading, as reported to other VMs.
#[derive(Debug, Clone)]
pub(super) struct Loading {
    /// The epoch that it has claimed.
    pub(super) epoch: u64,
    /// Whether the leader before had given up the lead, or there was none.
    ended: bool,
    /// When the store last responded (local clock).
    answered_at: Arc<AtomicU64>,
}

impl Loading {
    /// Makes the state of a VM that starts loading for `epoch`.
    pub(super) fn new(epoch: u64, ended: bool) -> Self {
        Self {
            epoch,
            ended,
            answered_at: Arc::new(AtomicU64::new(boot_ms())),
        }
    }

    /// Returns whether the store has responded lately.
    pub(super) fn is_confirmed(&self) -> bool {
        engine::age(&self.answered_at) < engine::MAX_CONFIRMED_AGE_MS
    }

    fn note_answer(&self) {
        self.answered_at.store(boot_ms(), Ordering::Relaxed);
    }
}

/// The state with which a VM starts to lead.
#[derive(Debug)]
pub(super) struct Loaded {
    pub(super) scheduler: Scheduler,
    /// When the append that fenced the earlier leaders was sent (local clock).
    pub(super) fenced_at: u64,
    /// When the configuration was read (local clock).
    pub(super) config_at: u64,
    /// Where to continue reading the operators' records.
    pub(super) directives: Offset,
    pub(super) discovery: Discovery,
}

/// Fences earlier leaders, then reads what they stored, the configuration and discovery.
///
/// # Errors
///
/// The store fails.
pub(super) async fn load(parts: &Parts, loading: &Loading) -> Result<Loaded, String> {
    let start = boot_ms();
    let text = |error: Error| error.to_string();
    let store = &*parts.store;
    let terms = Terms::Epoch {
        epoch: loading.epoch,
        sequence: 0,
    };
    // Not read: while loading, `note_answer` tracks whether the store responds.
    let declines = Declines::default();
    let fenced_at = engine::append(store, terms, &[], &declines)
        .await
        .map_err(text)?;
    loading.note_answer();
    let mut loader = Loader::default();
    let mut after = String::new();
    loop {
        let page = store.page(Area::Jobs, &after).await.map_err(text)?;
        loading.note_answer();
        let last = page.rows.last().map(|row| row.key.clone());
        loader.decode(page.rows);
        // Gives other tasks time to answer heartbeats between two pages.
        tokio::task::yield_now().await;
        match last {
            Some(last) if page.more => after = last,
            _ => break,
        }
    }
    let rows_ms = boot_ms().saturating_sub(start);
    let config_at = boot_ms();
    let (feed, sightings) = tokio::join!(store.directives(None, 0), store.discovery(None));
    let feed = feed.map_err(text)?;
    loading.note_answer();
    let takeover = Takeover {
        epoch: loading.epoch,
        order_ms: MAX_ORDER_AGE_MS,
        ended: loading.ended,
    };
    let (now, wall) = (boot_ms(), wall_ms());
    let mut scheduler = loader.finish(parts.timing.clone(), now, wall, takeover);
    for directive in feed.items {
        scheduler.step(now, directive.into());
    }
    let mut discovery = Discovery::default();
    match sightings {
        Ok(feed) => {
            for event in discovery.apply(feed) {
                scheduler.step(now, event);
            }
        }
        // Discovery is then read from the start once this VM leads.
        Err(error) => log::warn!(
            "TG1318 discovery cannot be read while loading, retrying once leading: {error}"
        ),
    }
    log::info!(
        "TG1317 epoch={} loaded jobs={} rows_ms={rows_ms} all_ms={}",
        loading.epoch,
        scheduler.counts().0,
        boot_ms().saturating_sub(start)
    );
    Ok(Loaded {
        scheduler,
        fenced_at,
        config_at,
        directives: feed.next,
        discovery,
    })
}
