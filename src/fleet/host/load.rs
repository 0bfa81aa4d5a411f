//! Loads what earlier leaders stored, page by page.

use super::Parts;
use super::declines::Declines;
use super::engine;
use super::watch::Discovery;
use crate::fleet::Scheduler;
use crate::fleet::clock::boot_ms;
use crate::fleet::clock::wall_ms;
use crate::fleet::load::Loader;
use crate::fleet::ports::Area;
use crate::fleet::ports::Error;
use crate::fleet::ports::Terms;
use crate::fleet::timing::Timing;
use crate::prelude::*;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// The state of a VM that loads, as other VMs are told.
#[derive(Debug, Clone)]
pub(super) struct Loading {
    /// The epoch that it has claimed.
    pub(super) epoch: u64,
    /// When the store answered last, own time.
    reached: Arc<AtomicU64>,
}

impl Loading {
    /// Makes the state of a VM that begins to load for `epoch`.
    pub(super) fn new(epoch: u64) -> Self {
        Self {
            epoch,
            reached: Arc::new(AtomicU64::new(boot_ms())),
        }
    }

    /// Tells whether the store has answered lately.
    pub(super) fn is_proven(&self) -> bool {
        engine::age(&self.reached) < engine::PROVEN_MS
    }

    fn reach(&self) {
        self.reached.store(boot_ms(), Ordering::Relaxed);
    }
}

/// What a VM begins to lead with.
#[derive(Debug)]
pub(super) struct Loaded {
    pub(super) scheduler: Scheduler,
    /// When the configuration was read, own time.
    pub(super) config_at: u64,
    /// Where the operators' records are read on.
    pub(super) directives: Offset,
    pub(super) discovery: Discovery,
}

/// Fences earlier leaders, then reads what they stored, the configuration and discovery.
///
/// # Errors
///
/// The store fails, or names a row that cannot be decoded.
pub(super) async fn load(parts: &Parts, loading: &Loading) -> Result<Loaded, String> {
    let start = boot_ms();
    let text = |error: Error| error.to_string();
    let store = &*parts.store;
    let terms = Terms::Epoch {
        epoch: loading.epoch,
        sequence: 0,
    };
    // A VM that loads tells by `reach` how the store serves it.
    let declines = Declines::default();
    engine::append(store, terms, &[], &declines)
        .await
        .map_err(text)?;
    loading.reach();
    let mut loader = Loader::default();
    let mut after = String::new();
    loop {
        let page = store.page(Area::Jobs, &after).await.map_err(text)?;
        loading.reach();
        let last = page.rows.last().map(|row| row.key.clone());
        loader.decode(page.rows)?;
        // Other VMs are answered between two pages.
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
    loading.reach();
    let inherited = engine::ORDERS_MS + Timing::max_local_ms(parts.timing.lease_ms());
    let (now, wall) = (boot_ms(), wall_ms());
    let mut scheduler = loader.finish(parts.timing.clone(), now, wall, inherited);
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
        // It is followed from the start then.
        Err(error) => log::warn!("TG1318 discovery cannot be read while loading: {error}"),
    }
    log::info!(
        "TG1317 epoch={} loaded jobs={} rows_ms={rows_ms} all_ms={}",
        loading.epoch,
        scheduler.counts().0,
        boot_ms().saturating_sub(start)
    );
    Ok(Loaded {
        scheduler,
        config_at,
        directives: feed.next,
        discovery,
    })
}
