//! The interfaces between the scheduler's host and the outside: store, upstreams, machines and
//! advice service.

use super::event::Advised;
use super::event::Downed;
use super::event::Event;
use super::event::Held;
use super::event::OrderOutcome;
use super::event::Reading;
use super::event::Started;
use super::model::Config;
use super::model::Listing;
use super::model::Machine;
use super::model::RunId;
use super::model::StepId;
use super::model::Wave;
use super::row::Row;
use crate::prelude::*;
use std::fmt::Debug;
use std::future::Future;
use std::pin::Pin;

/// A boxed future, which a method of a trait object can return.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A separate set of rows, with offsets of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Area {
    /// The scheduler's state.
    Jobs,
    /// The election's rows: which VM leads.
    Lead,
}

/// Why a call of the store failed.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// a writer with a higher epoch has appended rows
    Fenced,
    /// the area does not end at, or no longer holds, the expected offset
    Moved,
    /// the store declined: {0}
    Declined(String),
    /// no response: {0}
    Silent(String),
    /// unreadable response: {0}
    Garbled(String),
}

impl std::error::Error for Error {}

/// The result of a call of the store.
pub type Result<T> = std::result::Result<T, Error>;

/// The condition under which rows are appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Terms {
    /// None.
    Free,
    /// The area ends at this offset.
    At(Offset),
    /// No writer with a higher epoch has appended. The appends of an epoch are numbered from 0, and
    /// one that is sent again takes effect once.
    Epoch {
        /// The writer's epoch.
        epoch: u64,
        /// The number of this append within the epoch.
        sequence: u64,
    },
}

/// Rows that were read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rows {
    /// The rows; if a key occurs twice, the later row counts.
    pub rows: Vec<Row>,
    /// The offset after the last one.
    pub end: Offset,
}

/// A page of the newest rows, in the order of their keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// The offset after the last row of the area when the page was read.
    pub end: Offset,
    /// Whether further pages follow.
    pub more: bool,
}

/// A response of a feed that is read incrementally.
#[derive(Debug, Clone, PartialEq)]
pub struct Feed<T> {
    /// The items, in order.
    pub items: Vec<T>,
    /// The offset to read from next.
    pub next: Offset,
    /// Whether `items` are the complete state instead of changes to it.
    pub snapshot: bool,
}

/// A change in service discovery.
#[derive(Debug, Clone, PartialEq)]
pub enum DiscoveryChange {
    /// An upstream has a new or changed entry.
    Listed(Listing),
    /// An upstream no longer has an entry.
    Unlisted(Name),
}

/// An instruction from the operators.
#[derive(Debug, Clone, PartialEq)]
pub enum Directive {
    /// A configuration.
    Config(Arc<Config>),
    /// Maintenance of some machines.
    Wave(Wave),
    /// The complete list of data centres that are being evacuated.
    Evacuated(Vec<Name>),
    /// Whether a data centre is being evacuated from now on.
    Evacuate(Name, bool),
}

impl From<Directive> for Event {
    fn from(directive: Directive) -> Self {
        match directive {
            Directive::Config(config) => Self::Config(config),
            Directive::Wave(wave) => Self::Wave(wave),
            Directive::Evacuated(centres) => Self::Evacuated(centres),
            Directive::Evacuate(centre, on) => Self::Evacuate(centre, on),
        }
    }
}

/// The fenced store of rows, the operators' configuration and the discovery of upstreams.
pub trait Store: Send + Sync + Debug {
    /// Reads the newest row of each key after `after`, up to the store's page size.
    ///
    /// # Errors
    ///
    /// The store declined, or did not respond.
    fn page<'a>(&'a self, area: Area, after: &'a str) -> BoxFuture<'a, Result<Page>>;

    /// Reads the newest row of each key. Rows appended meanwhile may be missing; they can be read
    /// from [`Rows::end`] on.
    ///
    /// # Errors
    ///
    /// As [`Store::page`].
    fn newest(&self, area: Area) -> BoxFuture<'_, Result<Rows>> {
        Box::pin(async move {
            let mut all = Rows {
                rows: Vec::new(),
                end: 0,
            };
            let mut after = String::new();
            loop {
                let page = self.page(area, &after).await?;
                if after.is_empty() {
                    all.end = page.end;
                }
                let last = page.rows.last().map(|row| row.key.clone());
                all.rows.extend(page.rows);
                match last {
                    Some(last) if page.more => after = last,
                    _ => return Ok(all),
                }
            }
        })
    }

    /// Reads rows from the offset `from` on; if there are none, waits up to `wait_ms` for one.
    ///
    /// # Errors
    ///
    /// As [`Store::page`]; [`Error::Moved`] if the store has discarded rows from `from` on.
    fn read(&self, area: Area, from: Offset, wait_ms: u64) -> BoxFuture<'_, Result<Rows>>;

    /// Appends all the rows or none.
    ///
    /// # Errors
    ///
    /// With [`Error::Fenced`] and [`Error::Moved`], returned where the terms do not hold, and
    /// [`Error::Declined`], nothing was appended. With [`Error::Silent`] or [`Error::Garbled`], the
    /// append may have taken effect or may still do so.
    fn append<'a>(&'a self, area: Area, terms: Terms, rows: &'a [Row])
    -> BoxFuture<'a, Result<()>>;

    /// Reads the operators' instructions: the complete state, or the changes from an offset on.
    ///
    /// # Errors
    ///
    /// As [`Store::page`].
    fn directives(
        &self,
        from: Option<Offset>,
        wait_ms: u64,
    ) -> BoxFuture<'_, Result<Feed<Directive>>>;

    /// Announces to the operators that a wave is completed, or that it is under way.
    ///
    /// # Errors
    ///
    /// As [`Store::append`].
    fn announce(&self, wave: u64, completed: bool) -> BoxFuture<'_, Result<()>>;

    /// Reads service discovery: the complete state, or the changes from an offset on.
    ///
    /// # Errors
    ///
    /// As [`Store::page`].
    fn discovery(&self, from: Option<Offset>) -> BoxFuture<'_, Result<Feed<DiscoveryChange>>>;
}

/// The upstream that an order is for, and the token that it carries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The upstream's identity.
    pub id: Name,
    /// Its address.
    pub addr: Name,
    /// The fencing token.
    pub token: u64,
    /// When the order must not be sent any more, by [`boot_ms`](super::clock::boot_ms): the leader
    /// may have been replaced since it decided on the order.
    pub expires_at: u64,
}

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The run.
    pub run: RunId,
    /// The job's text.
    pub text: Arc<str>,
    /// The end of the lease, on the upstream's clock, in milliseconds.
    pub until_ms: u64,
    /// The checkpoint to resume from, empty to start from the beginning.
    pub saved: String,
    /// The ticket for a step that needs advice, else empty.
    pub ticket: Arc<str>,
}

/// An order to renew the lease of an upstream's runs and to report on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldOrder {
    /// The end of the lease, on the upstream's clock, in milliseconds; 0 to leave it unchanged.
    pub until_ms: u64,
    /// Acknowledges the ends up to this number: they are stored.
    pub seen: u64,
    /// How long the upstream may wait for a run to end before it responds, in milliseconds.
    pub wait_ms: u64,
}

/// The advice service, which decides which upstreams may run a step.
pub trait Advisor: Send + Sync + Debug {
    /// Asks which of `upstreams` may run a step; none without a response. The service is given
    /// `call_ms` to respond.
    fn ask(
        &self,
        step: StepId,
        upstreams: Vec<Name>,
        call_ms: u64,
    ) -> BoxFuture<'_, Option<Advised>>;
}

/// The platform's interface to the machines that upstreams run on.
pub trait Machines: Send + Sync + Debug {
    /// Lists all machines; none if the platform did not respond.
    fn list(&self) -> BoxFuture<'_, Option<Vec<Machine>>>;

    /// Takes a machine down for maintenance, under a fencing token. The order must not be sent after
    /// `expires_at`, by [`boot_ms`](super::clock::boot_ms).
    fn take_down(
        &self,
        machine: Name,
        wave: u64,
        token: u64,
        expires_at: u64,
    ) -> BoxFuture<'_, Downed>;
}

/// The interface for orders to upstreams.
pub trait Upstreams: Send + Sync + Debug {
    /// Orders an upstream to start a run.
    fn start(&self, target: Target, order: StartOrder)
    -> BoxFuture<'_, (Started, Option<Reading>)>;

    /// Orders an upstream to stop a run.
    fn stop(&self, target: Target, run: RunId) -> BoxFuture<'_, (OrderOutcome, Option<Reading>)>;

    /// Orders an upstream to run a task at `percent` of its full speed.
    fn pace(&self, target: Target, run: RunId, percent: u32) -> BoxFuture<'_, OrderOutcome>;

    /// Renews the lease of an upstream's runs and asks for a report.
    fn hold(&self, target: Target, order: HoldOrder) -> BoxFuture<'_, (Held, Option<Reading>)>;
}
