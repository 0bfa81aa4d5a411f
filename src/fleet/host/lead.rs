//! Decides who leads.
//!
//! The row `leader` of its own area names the leader and its epoch. A VM claims the lead by a
//! conditional append, and fences the writes of earlier leaders with its epoch before it reads
//! their rows. A leader that cannot be reached is challenged in the same area first: one that
//! reaches the store and other VMs answers there, and stays.

use super::Desk;
use super::Parts;
use super::area::DOUBT_KEY;
use super::area::LEADER_KEY;
use super::area::Lead;
use super::area::LeadRow;
use super::area::read_lead;
use super::engine;
use super::frame::Pulse;
use super::link;
use super::link::Lost;
use super::watch;
use crate::fleet::Scheduler;
use crate::fleet::clock::boot_ms;
use crate::fleet::clock::wall_ms;
use crate::fleet::gauge;
use crate::fleet::ports::Area;
use crate::fleet::ports::Error;
use crate::fleet::ports::Terms;
use crate::fleet::row::Row;
use crate::fleet::timing::Timing;
use crate::prelude::*;
use prost::Message;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::watch as channel;
use tokio::time::sleep;

/// The wait before the store is asked again, in milliseconds.
const AGAIN_MS: u64 = 150;
/// How long the store may wait for a change of the lead, in milliseconds.
const LEAD_WAIT_MS: u64 = 10_000;
/// How long a challenged leader has to answer, in milliseconds: two appends of a slow store.
const CHALLENGE_MS: u64 = 700;
/// How long a leader is left alone after it has answered a challenge, in milliseconds.
const ANSWERED_MS: u64 = 500;
/// Signs of life of other VMs older than this do not speak for a leader, in milliseconds.
const HEARD_MS: u64 = 1_200;
/// How long the store's confirmation of a leader may be missing before others try to lead, in
/// milliseconds; beyond the slow answers of a store that serves nobody faster.
const UNPROVEN_MS: u64 = 400;
/// The wait before a store that serves neither the leader nor this VM is asked again, in
/// milliseconds.
const STORE_AWAY_MS: u64 = 500;
/// Attempts to connect to a leader whose address declines.
const DECLINED_TRIES: u32 = 2;

/// Reads of the lead that fail in a row before callers are refused at once: a store that serves
/// all but loses an answer fails one.
const LOST_FAILURES: u32 = 2;

/// Follows or takes the lead until the process ends.
pub(super) async fn run(
    parts: Parts,
    desk: channel::Sender<Desk>,
    leaving: channel::Receiver<bool>,
    heard: Arc<AtomicU64>,
) {
    let mut voter = Voter {
        parts,
        desk,
        leaving,
        heard,
        lead: Lead::default(),
        failures: 0,
    };
    loop {
        voter.round().await;
    }
}

struct Voter {
    parts: Parts,
    desk: channel::Sender<Desk>,
    leaving: channel::Receiver<bool>,
    heard: Arc<AtomicU64>,
    lead: Lead,
    /// Reads of the lead that failed in a row.
    failures: u32,
}

impl Voter {
    async fn round(&mut self) {
        let me = self.parts.name.to_string();
        if let Err(error) = self.refresh().await {
            log::debug!("lead cannot be read: {error}");
            sleep(Duration::from_millis(AGAIN_MS)).await;
            // Without the store the leader that was known last may still answer.
            let known = self.lead.row.clone();
            if let Some(row) = known.filter(|row| row.name != me && !row.vacant)
                && self.follow(&row).await
            {
                self.claim(Some(row)).await;
            }
            return;
        }
        match self.lead.row.clone() {
            Some(row) if row.name == me && row.boot == self.parts.boot && !row.vacant => {
                self.lead_on(row).await;
            }
            Some(row) if row.name != me && !row.vacant => {
                if self.follow(&row).await {
                    self.claim(Some(row)).await;
                }
            }
            vacant => {
                self.yield_to_others().await;
                self.claim(vacant).await;
            }
        }
    }

    async fn refresh(&mut self) -> Result<(), Error> {
        let read = self.parts.store.newest(Area::Lead).await;
        self.reached(read.is_ok());
        self.lead = read_lead(&read?, Lead::default());
        Ok(())
    }

    /// Notes whether the store was reached: without it no leader can be found, and callers need not
    /// wait for one.
    fn reached(&mut self, reached: bool) {
        self.failures = if reached { 0 } else { self.failures + 1 };
        let lost = self.failures >= LOST_FAILURES;
        self.desk.send_if_modified(|desk| match (&*desk, lost) {
            (Desk::None, true) => {
                *desk = Desk::Lost;
                true
            }
            (Desk::Lost, false) => {
                *desk = Desk::None;
                true
            }
            _ => false,
        });
    }

    /// Waits as long as VMs that are better suited need to claim a vacant lead.
    async fn yield_to_others(&self) {
        sleep(Duration::from_millis(self.parts.claim_delay_ms)).await;
    }

    /// Claims the lead, if nobody did since the area was read.
    async fn claim(&mut self, before: Option<LeadRow>) {
        if *self.leaving.borrow() {
            sleep(Duration::from_millis(AGAIN_MS)).await;
            return;
        }
        let row = LeadRow {
            epoch: before.map_or(0, |row| row.epoch) + 1,
            name: self.parts.name.to_string(),
            addr: self.parts.peer_addr.to_string(),
            boot: self.parts.boot,
            vacant: false,
            beat: 0,
        };
        let result = self.write(&row).await;
        log::info!(
            "TG1301 lead claimed epoch={} at={} result={result:?}",
            row.epoch,
            self.lead.end
        );
        if let Err(Error::Silent(_) | Error::Declined(_)) = result {
            sleep(Duration::from_millis(AGAIN_MS)).await;
        }
    }

    async fn write(&self, row: &LeadRow) -> Result<(), Error> {
        let rows = [Row {
            key: LEADER_KEY.to_owned(),
            value: row.encode_to_vec(),
        }];
        let terms = Terms::At(self.lead.end);
        self.parts.store.append(Area::Lead, terms, &rows).await
    }

    /// Follows a leader; returns whether its lead is to be claimed.
    async fn follow(&mut self, row: &LeadRow) -> bool {
        let mut declined = 0;
        loop {
            let lost = match link::open(&row.addr).await {
                Ok((link, wire)) => {
                    log::info!("TG1302 leader={} epoch={} connected", row.name, row.epoch);
                    declined = 0;
                    let pulse = link.pulse();
                    self.desk.send_replace(Desk::There(link));
                    tokio::select! {
                        lost = wire.run() => lost,
                        lead = self.unproven(pulse) => {
                            self.desk.send_replace(Desk::None);
                            log::warn!("TG1303 leader={} has lost the store or the lead", row.name);
                            self.lead = lead;
                            return self.names(row);
                        }
                        () = self.changed(row) => {
                            self.desk.send_replace(Desk::None);
                            return false;
                        }
                    }
                }
                Err(lost) => lost,
            };
            self.desk.send_replace(Desk::None);
            log::warn!(
                "TG1304 leader={} epoch={} lost: {lost:?}",
                row.name,
                row.epoch
            );
            match lost {
                Lost::Closed(_) if declined < DECLINED_TRIES => {
                    declined += 1;
                    sleep(Duration::from_millis(u64::from(declined) * 20)).await;
                }
                Lost::Closed(_) => {
                    self.yield_to_others().await;
                    if self.refresh().await.is_ok() {
                        return self.names(row);
                    }
                    sleep(Duration::from_millis(AGAIN_MS)).await;
                }
                Lost::Silent => match self.challenge(row).await {
                    Ok(_) if !self.names(row) => return false,
                    Ok(true) => sleep(Duration::from_millis(ANSWERED_MS)).await,
                    Ok(false) => return true,
                    Err(error) => {
                        log::debug!("leader={} cannot be challenged: {error}", row.name);
                        sleep(Duration::from_millis(AGAIN_MS)).await;
                    }
                },
            }
        }
    }

    /// Tells whether the area, as last read, names `row` as the leader.
    fn names(&self, row: &LeadRow) -> bool {
        let now = self.lead.row.as_ref();
        now.is_some_and(|now| now.epoch == row.epoch && now.boot == row.boot && !now.vacant)
    }

    /// Returns the area once the leader has lost the store for a while and this VM has not.
    async fn unproven(&self, mut pulse: channel::Receiver<Option<Pulse>>) -> Lead {
        loop {
            lose_proof(&mut pulse).await;
            match self.parts.store.newest(Area::Lead).await {
                Ok(rows) => return read_lead(&rows, Lead::default()),
                Err(error) => {
                    log::debug!("lead cannot be read: {error}");
                    sleep(Duration::from_millis(STORE_AWAY_MS)).await;
                }
            }
        }
    }

    /// Returns once the area names another leader or none.
    async fn changed(&self, row: &LeadRow) {
        let mut lead = self.lead.clone();
        loop {
            let read = self.parts.store.read(Area::Lead, lead.end, LEAD_WAIT_MS);
            match read.await {
                Ok(rows) => {
                    lead = read_lead(&rows, lead);
                    let other = lead.row.as_ref().is_none_or(|now| {
                        now.epoch != row.epoch || now.boot != row.boot || now.vacant
                    });
                    if other {
                        return;
                    }
                }
                Err(Error::Moved) => return,
                Err(error) => {
                    log::debug!("lead cannot be followed: {error}");
                    sleep(Duration::from_millis(LEAD_WAIT_MS / 10)).await;
                }
            }
        }
    }

    /// Asks a silent leader, through the store, whether it lives; returns whether it does.
    async fn challenge(&mut self, row: &LeadRow) -> Result<bool, Error> {
        self.refresh().await?;
        let beat = |lead: &Lead| lead.row.as_ref().map(|row| (row.epoch, row.beat));
        let before = beat(&self.lead);
        let doubt = [Row {
            key: DOUBT_KEY.to_owned(),
            value: self.parts.name.as_bytes().to_vec(),
        }];
        let store = self.parts.store.clone();
        let told = store.append(Area::Lead, Terms::Free, &doubt).await;
        self.reached(told.is_ok());
        told?;
        sleep(Duration::from_millis(CHALLENGE_MS)).await;
        self.refresh().await?;
        let answered = beat(&self.lead) != before;
        log::info!("TG1305 leader={} challenged answered={answered}", row.name);
        Ok(answered)
    }

    /// Leads under `row` until another VM does, the store is lost to this VM alone, or the
    /// process is to end.
    async fn lead_on(&mut self, row: LeadRow) {
        let (scheduler, sequence) = match self.load(row.epoch).await {
            Ok(loaded) => loaded,
            Err(error) => {
                log::warn!("TG1306 epoch={} lead cannot be taken: {error}", row.epoch);
                sleep(Duration::from_millis(AGAIN_MS)).await;
                return;
            }
        };
        let (engine, desk) = engine::new(self.parts.clone(), scheduler, row.epoch, sequence);
        let store = &self.parts.store;
        let configs = tokio::spawn(watch::directives(store.clone(), engine.clone()));
        let sightings = tokio::spawn(watch::sightings(store.clone(), engine.clone()));
        log::info!("TG1307 leading epoch={}", row.epoch);
        gauge::leads(true);
        self.desk.send_replace(Desk::Here(engine.clone()));
        let mut leaving = self.leaving.clone();
        let why = {
            let runs = desk.run();
            tokio::pin!(runs);
            let told = async {
                let told = leaving.wait_for(|leaving| *leaving).await.is_ok();
                if !told {
                    std::future::pending::<()>().await;
                }
            };
            tokio::select! {
                why = &mut runs => why,
                why = self.defend(&row) => why,
                () = told => {
                    engine.leave().await;
                    runs.await
                }
            }
        };
        self.desk.send_replace(Desk::None);
        gauge::leads(false);
        configs.abort();
        sightings.abort();
        log::info!("TG1308 epoch={} lead given up: {why}", row.epoch);
        self.vacate(row).await;
    }

    /// Fences earlier leaders, then reads what they stored.
    async fn load(&self, epoch: u64) -> Result<(Scheduler, u64), String> {
        let terms = Terms::Epoch { epoch, sequence: 0 };
        let text = |error: Error| error.to_string();
        let store = &*self.parts.store;
        engine::append(store, terms, &[]).await.map_err(text)?;
        let rows = store.newest(Area::Jobs).await.map_err(text)?;
        let inherited = engine::ORDERS_MS + Timing::slowest(self.parts.timing.lease_ms());
        let (now, wall) = (boot_ms(), wall_ms());
        let timing = self.parts.timing.clone();
        let mut scheduler = Scheduler::load(timing, rows.rows, now, wall, inherited)?;
        let feed = store.directives(None, 0).await.map_err(text)?;
        for directive in feed.items {
            scheduler.step(now, directive.into());
        }
        Ok((scheduler, 0))
    }

    /// Answers challenges; returns once another VM leads, or no other VM is heard.
    async fn defend(&self, row: &LeadRow) -> String {
        let mut lead = self.lead.clone();
        let mut beat = 0;
        // Other VMs take a while to find a new leader.
        let start = boot_ms();
        loop {
            let read = self.parts.store.read(Area::Lead, lead.end, LEAD_WAIT_MS);
            match read.await {
                Ok(rows) => {
                    lead = read_lead(
                        &rows,
                        Lead {
                            doubted: false,
                            ..lead
                        },
                    );
                    let now = lead.row.as_ref();
                    if now.is_none_or(|now| now.epoch != row.epoch || now.boot != row.boot) {
                        return "another VM has claimed the lead".to_owned();
                    }
                    if !lead.doubted {
                        continue;
                    }
                    let last = self.heard.load(Ordering::Relaxed).max(start);
                    let heard = boot_ms().saturating_sub(last);
                    if heard > HEARD_MS {
                        return format!("challenged, and no VM was heard for {heard} ms");
                    }
                    beat += 1;
                    let answer = LeadRow {
                        beat,
                        ..row.clone()
                    };
                    let rows = [Row {
                        key: LEADER_KEY.to_owned(),
                        value: answer.encode_to_vec(),
                    }];
                    let terms = Terms::At(lead.end);
                    let result = self.parts.store.append(Area::Lead, terms, &rows).await;
                    log::info!(
                        "TG1309 epoch={} challenge answered result={result:?}",
                        row.epoch
                    );
                }
                Err(Error::Moved) => {
                    if let Ok(rows) = self.parts.store.newest(Area::Lead).await {
                        lead = read_lead(&rows, Lead::default());
                    }
                }
                Err(error) => {
                    log::debug!("lead cannot be followed: {error}");
                    sleep(Duration::from_millis(AGAIN_MS)).await;
                }
            }
        }
    }

    /// Tells the others that the lead is vacant, if it is still this VM's.
    async fn vacate(&mut self, row: LeadRow) {
        if self.refresh().await.is_err() || !self.names(&row) {
            return;
        }
        let result = self
            .write(&LeadRow {
                vacant: true,
                ..row
            })
            .await;
        log::info!("TG1310 lead left vacant result={result:?}");
    }
}

/// Returns once the leader has lost the store, or the lead, for a while.
async fn lose_proof(pulse: &mut channel::Receiver<Option<Pulse>>) {
    let fine = |pulse: &Option<Pulse>| {
        pulse
            .as_ref()
            .is_none_or(|pulse| pulse.leads && pulse.proven)
    };
    loop {
        let closed = pulse.wait_for(|pulse| !fine(pulse)).await.is_err();
        if closed {
            std::future::pending::<()>().await;
        }
        let limit = Duration::from_millis(UNPROVEN_MS);
        let again = tokio::time::timeout(limit, pulse.wait_for(fine)).await;
        match again.map(|result| result.is_ok()) {
            Ok(true) => {}
            Ok(false) => std::future::pending().await,
            Err(_) => return,
        }
    }
}
