//! What the scheduler's host needs of the outside: a store and the upstreams.

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

/// A future of a trait object.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A set of rows with its own order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Area {
    /// The jobs.
    Jobs,
    /// Who leads.
    Lead,
}

/// Why the store did not do what it was asked.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// a writer with a higher epoch has written
    Fenced,
    /// the area has moved on
    Moved,
    /// the store declined: {0}
    Declined(String),
    /// no response: {0}
    Silent(String),
    /// the response cannot be read: {0}
    Garbled(String),
}

impl std::error::Error for Error {}

/// The result of a call of the store.
pub type Result<T> = std::result::Result<T, Error>;

/// Under which condition rows are appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Terms {
    /// None.
    Free,
    /// The area ends here.
    At(Offset),
    /// No writer with a higher epoch has written; appends of an epoch are counted from 0, and one
    /// that is sent again takes effect once.
    Epoch {
        /// The writer's epoch.
        epoch: u64,
        /// Counts its appends.
        sequence: u64,
    },
}

/// Rows that were read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rows {
    /// The rows; of a key read twice the later counts.
    pub rows: Vec<Row>,
    /// The offset after the last one.
    pub end: Offset,
}

/// A part of the newest rows, in the order of their keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// The end of the area when they were read.
    pub end: Offset,
    /// Whether there are rows after these.
    pub more: bool,
}

/// What was read since the last time.
#[derive(Debug, Clone, PartialEq)]
pub struct Feed<T> {
    /// What is new, in order.
    pub items: Vec<T>,
    /// Where to read on.
    pub next: Offset,
    /// Whether `items` are all that there is, instead of what changed.
    pub snapshot: bool,
}

/// A change of what discovery knows.
#[derive(Debug, Clone, PartialEq)]
pub enum DiscoveryChange {
    /// An upstream has this entry now.
    Listed(Listing),
    /// An upstream has no entry any more.
    Unlisted(Name),
}

/// What the operators write.
#[derive(Debug, Clone, PartialEq)]
pub enum Directive {
    /// A configuration.
    Config(Arc<Config>),
    /// Maintenance.
    Wave(Wave),
    /// All data centres that are being evacuated.
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
    /// Reads the newest row of each key after `after`, as many as the store gives at once.
    ///
    /// # Errors
    ///
    /// The store declined, or did not respond.
    fn page<'a>(&'a self, area: Area, after: &'a str) -> BoxFuture<'a, Result<Page>>;

    /// Reads the newest row of each key. Rows that come meanwhile are read again from
    /// [`Rows::end`] on.
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

    /// Reads rows from `from` on, waiting up to `wait_ms` for a first one.
    ///
    /// # Errors
    ///
    /// As [`Store::page`]; [`Error::Moved`] if rows from there on were dropped.
    fn read(&self, area: Area, from: Offset, wait_ms: u64) -> BoxFuture<'_, Result<Rows>>;

    /// Appends rows, all or none.
    ///
    /// # Errors
    ///
    /// [`Error::Fenced`] and [`Error::Moved`] where the terms do not hold, and
    /// [`Error::Declined`]: nothing was done. [`Error::Silent`]: it may have been done, or be
    /// done yet.
    fn append<'a>(&'a self, area: Area, terms: Terms, rows: &'a [Row])
    -> BoxFuture<'a, Result<()>>;

    /// Reads what the operators wrote, all or from an offset on.
    ///
    /// # Errors
    ///
    /// As [`Store::page`].
    fn directives(
        &self,
        from: Option<Offset>,
        wait_ms: u64,
    ) -> BoxFuture<'_, Result<Feed<Directive>>>;

    /// Tells the operators whether a wave is completed or under way.
    ///
    /// # Errors
    ///
    /// As [`Store::append`].
    fn announce(&self, wave: u64, completed: bool) -> BoxFuture<'_, Result<()>>;

    /// Reads discovery, all or from an offset on.
    ///
    /// # Errors
    ///
    /// As [`Store::page`].
    fn discovery(&self, from: Option<Offset>) -> BoxFuture<'_, Result<Feed<DiscoveryChange>>>;
}

/// Whom an order goes to, and under which token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The upstream's identity.
    pub id: Name,
    /// Its address.
    pub addr: Name,
    /// The fencing token.
    pub token: u64,
}

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The run.
    pub run: RunId,
    /// The job's text.
    pub text: Arc<str>,
    /// The lease, on the upstream's clock, in milliseconds.
    pub until_ms: u64,
    /// What to resume from, empty for the beginning.
    pub saved: String,
    /// The ticket of a step that needs advice, else empty.
    pub ticket: Arc<str>,
}

/// An order to renew leases and report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldOrder {
    /// The lease, on the upstream's clock, in milliseconds; 0 to leave it.
    pub until_ms: u64,
    /// Ends up to this number are stored.
    pub seen: u64,
    /// How long the upstream may wait for an end, in milliseconds.
    pub wait_ms: u64,
}

/// The service that knows which upstreams may run a step.
pub trait Advisor: Send + Sync + Debug {
    /// Asks about upstreams, which is expected to take `call_ms`; none without a response.
    fn ask(
        &self,
        step: StepId,
        upstreams: Vec<Name>,
        call_ms: u64,
    ) -> BoxFuture<'_, Option<Advised>>;
}

/// The machines of the upstreams.
pub trait Machines: Send + Sync + Debug {
    /// Lists all machines; none if the platform did not answer.
    fn list(&self) -> BoxFuture<'_, Option<Vec<Machine>>>;

    /// Takes a machine down for maintenance, under a fencing token.
    fn take_down(&self, machine: Name, wave: u64, token: u64) -> BoxFuture<'_, Downed>;
}

/// Orders to upstreams.
pub trait Upstreams: Send + Sync + Debug {
    /// Orders a start.
    fn start(&self, target: Target, order: StartOrder)
    -> BoxFuture<'_, (Started, Option<Reading>)>;

    /// Orders a stop.
    fn stop(&self, target: Target, run: RunId) -> BoxFuture<'_, (OrderOutcome, Option<Reading>)>;

    /// Lets a run work at `percent` of its speed.
    fn pace(&self, target: Target, run: RunId, percent: u32) -> BoxFuture<'_, OrderOutcome>;

    /// Renews leases and asks for a report.
    fn hold(&self, target: Target, order: HoldOrder) -> BoxFuture<'_, (Held, Option<Reading>)>;
}
