//! Follows the configuration and discovery while this VM leads.

use super::engine::Engine;
use crate::fleet::clock::boot_ms;
use crate::fleet::event::Event;
use crate::fleet::gauge;
use crate::fleet::ports::DiscoveryChange;
use crate::fleet::ports::Feed;
use crate::fleet::ports::Store;
use crate::prelude::*;
use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long the store may wait for a configuration, in milliseconds: several times within the
/// time in which one must be in force.
const CONFIG_WAIT_MS: u64 = 250;
/// The time between two looks at discovery, in milliseconds: a third of the time in which an
/// upstream that leaves must get no more work.
const LOOK_MS: u64 = 600;
/// The wait after a failed read, in milliseconds.
const AGAIN_MS: u64 = 200;

/// Follows what the operators write, from `next` on, until the engine ends.
pub(super) async fn directives(store: Arc<dyn Store>, engine: Engine, next: Offset) {
    let mut from = Some(next);
    let mut lost = false;
    loop {
        let sent = boot_ms();
        match store.directives(from, CONFIG_WAIT_MS).await {
            Ok(feed) => {
                if std::mem::take(&mut lost) {
                    log::info!("TG1405 configuration is followed again");
                }
                from = Some(feed.next);
                for directive in feed.items {
                    engine.tell(directive.into()).await;
                }
                engine.gauges.config_at.fetch_max(sent, Ordering::Relaxed);
            }
            Err(error) => {
                gauge::store_failed("directives");
                if !std::mem::replace(&mut lost, true) {
                    log::warn!("TG1404 configuration cannot be followed: {error}");
                }
                from = None;
                tokio::time::sleep(Duration::from_millis(AGAIN_MS)).await;
            }
        }
    }
}

/// Follows discovery, from what is known of it on, until the engine ends.
pub(super) async fn sightings(store: Arc<dyn Store>, engine: Engine, mut discovery: Discovery) {
    let mut lost = false;
    loop {
        match store.discovery(discovery.next).await {
            Ok(feed) => {
                if std::mem::take(&mut lost) {
                    log::info!("TG1407 discovery is followed again");
                }
                for event in discovery.apply(feed) {
                    engine.tell(event).await;
                }
                tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
            }
            Err(error) => {
                gauge::store_failed("sightings");
                if !std::mem::replace(&mut lost, true) {
                    log::warn!("TG1406 discovery cannot be followed: {error}");
                }
                discovery.next = None;
                tokio::time::sleep(Duration::from_millis(AGAIN_MS)).await;
            }
        }
    }
}

/// What is known of discovery.
#[derive(Debug, Default)]
pub(super) struct Discovery {
    /// Where it is read on; none for the start.
    next: Option<Offset>,
    /// Upstreams with an entry.
    known: HashSet<Name>,
}

impl Discovery {
    /// Applies what was read; returns what the scheduler is to be told.
    pub(super) fn apply(&mut self, feed: Feed<DiscoveryChange>) -> Vec<Event> {
        self.next = Some(feed.next);
        events(feed, &mut self.known)
    }
}

fn events(feed: Feed<DiscoveryChange>, known: &mut HashSet<Name>) -> Vec<Event> {
    let mut listed = Vec::new();
    let mut unlisted = Vec::new();
    let mut here = HashSet::new();
    for item in feed.items {
        match item {
            DiscoveryChange::Listed(listing) => {
                here.insert(listing.id.clone());
                known.insert(listing.id.clone());
                unlisted.retain(|name| *name != listing.id);
                listed.push(listing);
            }
            DiscoveryChange::Unlisted(name) => {
                known.remove(&name);
                listed.retain(|listing: &crate::fleet::model::Listing| listing.id != name);
                unlisted.push(name);
            }
        }
    }
    if feed.snapshot {
        let gone: Vec<Name> = known.difference(&here).cloned().collect();
        for name in gone {
            known.remove(&name);
            unlisted.push(name);
        }
    }
    let mut events = Vec::new();
    if !listed.is_empty() {
        events.push(Event::Listed(listed));
    }
    if !unlisted.is_empty() {
        events.push(Event::Unlisted(unlisted));
    }
    events
}
