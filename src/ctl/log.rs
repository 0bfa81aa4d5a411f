//! The platform's log, as the operators' commands use it.

use super::Error;
use super::Result;
use super::error::unreachable;
use crate::configs::LogConfig;
use crate::modules::checkpoint;
use crate::modules::http;
use crate::modules::log;
use crate::modules::log::HttpLog;
use crate::modules::log::Log as _;
use crate::platform::LogPage;
use crate::platform::LogRecord;
use crate::prelude::*;
use crate::reducer::ledger::Ledger;

/// The most records of one read.
const PAGE: u64 = 128;

/// How an append ended.
#[derive(Debug)]
pub(super) enum Append {
    /// The record has this offset.
    Done(Offset),
    /// The log says that it did not take the record.
    Refused(String),
    /// No answer came: the record may be in the log.
    Uncertain(String),
}

/// All records of a stream that are still kept.
#[derive(Debug)]
pub(super) struct Stream {
    /// The offset of the oldest record that is kept.
    pub(super) first: Offset,
    /// The records.
    pub(super) records: Vec<LogRecord>,
}

/// The log at one address.
#[derive(Debug)]
pub(super) struct Log {
    inner: HttpLog,
    addr: Name,
}

impl Log {
    /// Opens the log at `addr`, whose calls take at most `call_ms` milliseconds.
    pub(super) fn open(addr: Name, call_ms: u64) -> Self {
        let config = LogConfig {
            addr: addr.clone(),
            call_ms,
            ..LogConfig::default()
        };
        Self {
            inner: log::open(&config),
            addr,
        }
    }

    /// Appends one record, once.
    pub(super) async fn append(&self, stream: &str, data: String) -> Append {
        match self.inner.append(stream, data.into()).await {
            Ok(offset) => Append::Done(offset),
            Err(http::Error::Status(413, _)) => Append::Refused("the record is too large".into()),
            Err(http::Error::Status(429, _)) => {
                Append::Refused("the log takes no more appends for now".into())
            }
            Err(error) => Append::Uncertain(error.to_string()),
        }
    }

    /// Returns the offset that the next record of a stream will have.
    pub(super) async fn next(&self, stream: &str) -> Result<Offset> {
        Ok(self.page(stream, 0, 1).await?.next)
    }

    /// Returns the offset of the oldest record of a stream that is kept.
    pub(super) async fn oldest(&self, stream: &str) -> Result<Offset> {
        Ok(self.page(stream, 0, 1).await?.first)
    }

    /// Reads a stream from `from` to its end.
    pub(super) async fn read(&self, stream: &str, from: Offset) -> Result<Stream> {
        let mut records = Vec::new();
        let each = |record: LogRecord| records.push(record);
        let first = self.each(stream, from, each).await?;
        Ok(Stream { first, records })
    }

    /// Passes each record of a stream from `from` on to `take`, without keeping it, and returns
    /// the offset of the first: `from`, or that of the oldest record that is kept.
    pub(super) async fn each(
        &self,
        stream: &str,
        from: Offset,
        mut take: impl FnMut(LogRecord),
    ) -> Result<Offset> {
        let mut first = from;
        let mut at = from;
        loop {
            let page = self.page(stream, at, PAGE).await?;
            if at < page.first {
                first = page.first;
                at = page.first;
                continue;
            }
            let Some(last) = page.records.last() else {
                return Ok(first);
            };
            at = last.offset + 1;
            page.records.into_iter().for_each(&mut take);
            if at >= page.next {
                return Ok(first);
            }
        }
    }

    /// Reads the newest whole checkpoint; an empty ledger if there is none.
    pub(super) async fn checkpoint(&self) -> Result<Ledger> {
        let found = checkpoint::load(&self.inner).await;
        found.map_err(|error| unreachable(&self.addr, &error))
    }

    async fn page(&self, stream: &str, from: Offset, most: u64) -> Result<LogPage> {
        let page = self.inner.read(stream, from, most, 0).await;
        page.map_err(|error| match error {
            http::Error::Status(503, _) => {
                Error::Unreachable(format!("the log at {} has an outage", self.addr))
            }
            error => unreachable(&self.addr, &error),
        })
    }
}
