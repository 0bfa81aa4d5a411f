//! Applies configurations and the entries that discovery has of upstreams.

use super::advice;
use super::event::Reading;
use super::model::Config;
use super::model::Listing;
use super::scheduler::Scheduler;
use super::upstream::Upstream;
use crate::prelude::*;
use std::collections::BTreeSet;

impl Scheduler {
    /// Puts a configuration in force if it is newer than the present one.
    pub(super) fn configured(&mut self, config: Arc<Config>) {
        let newer = self
            .config
            .as_ref()
            .is_none_or(|held| held.version < config.version);
        if newer {
            log::info!(
                "TG1403 configuration version={} queues={} keys={} in force",
                config.version,
                config.queues.len(),
                config.keys.len()
            );
            advice::check_terms(&config);
            self.add_terms(&config);
            self.config = Some(config);
            self.changed = true;
        }
    }

    /// Gives the open jobs that an earlier build stored the terms that it would apply now, and stores
    /// them: the queue may be removed later.
    fn add_terms(&mut self, config: &Config) {
        let (mut added, mut missing) = (0, Vec::new());
        for id in &self.open {
            let Some(job) = self.jobs.get_mut(id).filter(|job| job.terms.is_none()) else {
                continue;
            };
            let Some(queue) = config.queue(&job.queue) else {
                missing.push(id);
                continue;
            };
            job.terms = Some(queue.clone());
            self.dirty.insert(id.clone());
            added += 1;
        }
        let version = config.version;
        if added > 0 {
            log::info!(
                "TG1211 jobs={added} of an earlier build keep their terms version={version}"
            );
        }
        if let Some(first) = missing.first() {
            log::warn!(
                "TG1212 jobs={} first={first} of an earlier build wait for a configuration with their queue version={version}",
                missing.len()
            );
        }
    }

    /// Replaces the set of evacuated data centres: upstreams in `centres` get no new work, all
    /// others may get it again.
    pub(super) fn evacuated(&mut self, centres: BTreeSet<Name>) {
        if self.evacuated == centres {
            return;
        }
        log::info!(
            "TG1410 evacuated data centres changed evacuated={centres:?} before={:?}",
            self.evacuated
        );
        for upstream in self.upstreams.values_mut() {
            upstream.evacuated = centres.contains(&upstream.listing.centre);
        }
        self.evacuated = centres;
        self.changed = true;
    }

    /// Adds and updates upstreams from their discovery entries.
    pub(super) fn listed(&mut self, now: u64, listings: Vec<Listing>) {
        self.near.clear();
        let mark = self.mark;
        for mut listing in listings {
            let evacuated = self.evacuated.contains(&listing.centre);
            self.check_losses_listed(now, &listing);
            let Some(known) = self.upstreams.get_mut(&listing.id) else {
                self.add_upstream(now, listing, evacuated);
                continue;
            };
            if known.listing.ready != listing.ready || !known.listed {
                log::info!(
                    "TG1502 upstream={} takes new work: {}",
                    listing.id,
                    listing.ready
                );
                self.changed = true;
            }
            let before = known.listing.born;
            known.entry_born = listing.born;
            if listing.born == 0 {
                listing.born = before;
            }
            if listing.born != before && before != 0 {
                log::info!(
                    "TG1516 upstream={} discovery shows another start born={} before={before} restarted={} runs={} ends_handled={} ends_stored={}",
                    listing.id,
                    listing.born,
                    listing.born > before,
                    known.runs.len(),
                    known.handled,
                    known.seen
                );
            }
            if known.has_replaced_holder(&listing) {
                log::info!(
                    "TG1521 upstream={} restarted under an earlier leader born={} before={} runs={}",
                    listing.id,
                    listing.born,
                    known.holder_born,
                    known.runs.len()
                );
                known.foreign_end = self.restarted.notice(&listing.id, now, &self.timing);
            }
            known.rack = listing.rack();
            known.listed = true;
            known.evacuated = evacuated;
            if listing.born < before {
                // Either an old entry, or the clock that dates the starts was set back.
                known.suspect(now);
                continue;
            }
            if listing.born > before && before != 0 {
                known.reset_process(mark);
                self.lives += 1;
                known.begin_life(self.lives, mark);
                known.foreign_end = self.restarted.notice(&listing.id, now, &self.timing);
                // The call for a report also tells the new process the fencing token.
                known.suspect(now);
                known.report_wanted = true;
                self.cadence.watch_now(now);
                self.unanswered.replaced(&listing.id);
            }
            if listing.born != before || known.clock.clock_ms == 0 {
                known.clock = Reading {
                    clock_ms: listing.clock_ms,
                    at: now,
                };
            }
            known.listing = listing;
            known.note_leaving();
        }
    }

    fn add_upstream(&mut self, now: u64, listing: Listing, evacuated: bool) {
        log::info!(
            "TG1501 upstream={} service={} rack={} listed",
            listing.id,
            listing.service,
            listing.rack()
        );
        // Whether its process is the one that earlier orders went to is not known any more.
        self.unanswered.replaced(&listing.id);
        let id = listing.id.clone();
        let mut upstream = Upstream::new(listing, now);
        self.learned.apply(now, &mut upstream);
        upstream.foreign_end = self.restarted.lease_end(&id);
        // Not lower than before: it may have been removed meanwhile.
        upstream.begin_life(self.lives, self.mark);
        upstream.evacuated = evacuated;
        upstream.note_leaving();
        // Not all at once: a small VM that takes the lead has other calls to make.
        upstream.look_at = Some(self.cadence.take_look(now));
        self.upstreams.insert(id, upstream);
        self.changed = true;
    }

    /// Marks upstreams that discovery lists no longer; those without runs and renewals are removed.
    pub(super) fn unlisted(&mut self, names: &[Name]) {
        self.near.clear();
        for name in names {
            let Some(known) = self.upstreams.get_mut(name) else {
                continue;
            };
            log::info!(
                "TG1503 upstream={name} no longer in discovery runs={}",
                known.runs.len()
            );
            known.listed = false;
            if known.runs.is_empty() && known.holds == 0 {
                self.upstreams.remove(name);
            }
        }
    }
}
