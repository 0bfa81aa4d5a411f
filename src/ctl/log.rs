//! The operators' commands' client of the platform's log.

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
const MAX_PAGE_RECORDS: u64 = 128;

/// The outcome of an append.
#[derive(Debug)]
pub(super) enum AppendOutcome {
    /// Appended at this offset.
    Done(Offset),
    /// The log refused the record and did not append it.
    Refused(String),
    /// No usable response: the record may be in the log.
    Uncertain(String),
}

/// The retained records of a stream.
#[derive(Debug)]
pub(super) struct Stream {
    /// The offset of the first record that was read: the requested one, or the oldest retained one.
    pub(super) first: Offset,
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

    /// Appends one record, without retries.
    pub(super) async fn append(&self, stream: &str, data: String) -> AppendOutcome {
        match self.inner.append(stream, data.into()).await {
            Ok(offset) => AppendOutcome::Done(offset),
            Err(http::Error::Status(413, _)) => {
                AppendOutcome::Refused("the record is too large".into())
            }
            Err(http::Error::Status(429, _)) => {
                AppendOutcome::Refused("the log accepts no more appends for now".into())
            }
            Err(error) => AppendOutcome::Uncertain(error.to_string()),
        }
    }

    /// Returns the offset that the next record of a stream will have.
    pub(super) async fn next_offset(&self, stream: &str) -> Result<Offset> {
        Ok(self.page(stream, 0, 1).await?.next)
    }

    /// Returns the offset of the oldest retained record of a stream.
    pub(super) async fn oldest_offset(&self, stream: &str) -> Result<Offset> {
        Ok(self.page(stream, 0, 1).await?.first)
    }

    /// Reads a stream from `from` to its end.
    pub(super) async fn read(&self, stream: &str, from: Offset) -> Result<Stream> {
        let mut records = Vec::new();
        let push = |record: LogRecord| records.push(record);
        let first = self.for_each(stream, from, push).await?;
        Ok(Stream { first, records })
    }

    /// Calls `visit` with each record of a stream from `from` on, without collecting them, and
    /// returns the offset of the first: `from`, or that of the oldest retained record.
    pub(super) async fn for_each(
        &self,
        stream: &str,
        from: Offset,
        mut visit: impl FnMut(LogRecord),
    ) -> Result<Offset> {
        let mut first = from;
        let mut at = from;
        loop {
            let page = self.page(stream, at, MAX_PAGE_RECORDS).await?;
            if at < page.first {
                first = page.first;
                at = page.first;
                continue;
            }
            let Some(last) = page.records.last() else {
                return Ok(first);
            };
            at = last.offset + 1;
            page.records.into_iter().for_each(&mut visit);
            if at >= page.next {
                return Ok(first);
            }
        }
    }

    /// Reads the latest complete checkpoint, or an empty ledger if there is none.
    pub(super) async fn checkpoint(&self) -> Result<Ledger> {
        let found = checkpoint::load(&self.inner).await;
        found.map_err(|error| unreachable(&self.addr, &error))
    }

    async fn page(&self, stream: &str, from: Offset, limit: u64) -> Result<LogPage> {
        let page = self.inner.read(stream, from, limit, 0).await;
        page.map_err(|error| match error {
            http::Error::Status(503, _) => Error::Unreachable(format!(
                "the log at {} is unavailable (status 503)",
                self.addr
            )),
            error => unreachable(&self.addr, &error),
        })
    }
}
