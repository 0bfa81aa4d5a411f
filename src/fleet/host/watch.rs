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

/// How long a read may wait for a new configuration, in milliseconds: a fraction of the time within
/// which one must be in force.
const CONFIG_WAIT_MS: u64 = 250;
/// The time between two reads of discovery, in milliseconds: a third of the time within which an
/// upstream that leaves must stop getting work.
const DISCOVERY_POLL_MS: u64 = 600;
/// The delay before a failed read is retried, in milliseconds.
const RETRY_MS: u64 = 200;

/// Passes what the operators write from `next` on to the engine, until aborted.
pub(super) async fn follow_directives(store: Arc<dyn Store>, engine: Engine, next: Offset) {
    let mut from = Some(next);
    let mut lost = false;
    loop {
        let sent = boot_ms();
        match store.directives(from, CONFIG_WAIT_MS).await {
            Ok(feed) => {
                if std::mem::take(&mut lost) {
                    log::info!("TG1405 configuration can be read again");
                }
                from = Some(feed.next);
                for directive in feed.items {
                    engine.send(directive.into()).await;
                }
                engine.status.config_at.fetch_max(sent, Ordering::Relaxed);
            }
            Err(error) => {
                gauge::store_failed("directives");
                if !std::mem::replace(&mut lost, true) {
                    log::warn!("TG1404 configuration cannot be read, retrying: {error}");
                }
                from = None;
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

/// Passes the changes to `discovery` on to the engine, until aborted.
pub(super) async fn follow_sightings(
    store: Arc<dyn Store>,
    engine: Engine,
    mut discovery: Discovery,
) {
    let mut lost = false;
    loop {
        match store.discovery(discovery.next).await {
            Ok(feed) => {
                if std::mem::take(&mut lost) {
                    log::info!("TG1407 discovery can be read again");
                }
                for event in discovery.apply(feed) {
                    engine.send(event).await;
                }
                tokio::time::sleep(Duration::from_millis(DISCOVERY_POLL_MS)).await;
            }
            Err(error) => {
                gauge::store_failed("sightings");
                if !std::mem::replace(&mut lost, true) {
                    log::warn!("TG1406 discovery cannot be read, retrying: {error}");
                }
                discovery.next = None;
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

/// The state of discovery as last read.
#[derive(Debug, Default)]
pub(super) struct Discovery {
    /// Where to continue reading; none for the start.
    next: Option<Offset>,
    /// The upstreams that have an entry.
    known: HashSet<Name>,
}

impl Discovery {
    /// Applies what was read; returns the events for the scheduler.
    pub(super) fn apply(&mut self, feed: Feed<DiscoveryChange>) -> Vec<Event> {
        self.next = Some(feed.next);
        events(feed, &mut self.known)
    }
}

fn events(feed: Feed<DiscoveryChange>, known: &mut HashSet<Name>) -> Vec<Event> {
    let mut listed = Vec::new();
    let mut unlisted = Vec::new();
    let mut present = HashSet::new();
    for item in feed.items {
        match item {
            DiscoveryChange::Listed(listing) => {
                present.insert(listing.id.clone());
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
        let gone: Vec<Name> = known.difference(&present).cloned().collect();
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
