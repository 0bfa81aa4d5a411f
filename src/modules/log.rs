//! The platform's log service.

use super::http;
use super::http::Client;
use crate::configs::LogConfig;
use crate::platform::Appended;
use crate::platform::LogPage;
use crate::prelude::*;
use bytes::Bytes;
use futures_util::future::BoxFuture;

/// The operators' changes of configuration.
pub const CONFIG_STREAM: &str = "config";
/// The system's own agreed records.
pub const CONTROL_STREAM: &str = "control";
/// Checkpoints of the ledger.
pub const CHECKPOINT_STREAM: &str = "checkpoint";
/// What was decided, for auditors.
pub const AUDIT_STREAM: &str = "audit";

/// The result of a call to the log.
pub type Result<T> = http::Result<T>;

/// A log of streams with offsets.
pub trait Log: Send + Sync {
    /// Appends a record; after an error it may still have been appended.
    fn append<'a>(&'a self, stream: &'a str, data: Bytes) -> BoxFuture<'a, Result<Offset>>;

    /// Reads at most `most` records from `from`, waiting up to `wait_ms` for the first.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        most: u64,
        wait_ms: u64,
    ) -> BoxFuture<'a, Result<LogPage>>;
}

/// The log service over HTTP.
#[derive(Debug, Clone)]
pub struct HttpLog {
    client: Client,
    addr: Name,
}

/// Opens the log service that the settings name.
pub fn open(config: &LogConfig) -> HttpLog {
    HttpLog {
        client: Client::new(config.call_ms),
        addr: config.addr.clone(),
    }
}

impl Log for HttpLog {
    fn append<'a>(&'a self, stream: &'a str, data: Bytes) -> BoxFuture<'a, Result<Offset>> {
        Box::pin(async move {
            let path = format!("/v1/streams/{stream}");
            let done: Appended = self.client.post_bytes(&self.addr, &path, data).await?;
            Ok(done.offset)
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        most: u64,
        wait_ms: u64,
    ) -> BoxFuture<'a, Result<LogPage>> {
        Box::pin(async move {
            let path = format!("/v1/streams/{stream}?from={from}&max={most}&wait_ms={wait_ms}");
            self.client.get(&self.addr, &path, wait_ms).await
        })
    }
}
