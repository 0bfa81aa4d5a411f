//! Client of the platform's log service.

use super::http;
use super::http::Client;
use crate::configs::LogConfig;
use crate::platform::Appended;
use crate::platform::LogPage;
use crate::prelude::*;
use bytes::Bytes;
use futures_util::future::BoxFuture;

/// The stream of the operators' configuration changes.
pub const CONFIG_STREAM: &str = "config";
/// The stream of the records that all VMs apply in the same order.
pub const CONTROL_STREAM: &str = "control";
/// The stream of the ledger's checkpoints.
pub const CHECKPOINT_STREAM: &str = "checkpoint";
/// The stream of decisions, for auditors.
pub const AUDIT_STREAM: &str = "audit";

/// The result of a call to the log.
pub type Result<T> = http::Result<T>;

/// A log of append-only streams, with consecutive offsets within each.
pub trait Log: Send + Sync {
    /// Appends a record and returns its offset; after an error the record may still have been
    /// appended.
    fn append<'a>(&'a self, stream: &'a str, data: Bytes) -> BoxFuture<'a, Result<Offset>>;

    /// Reads at most `most` records starting at `from`, waiting up to `wait_ms` for the first.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        most: u64,
        wait_ms: u64,
    ) -> BoxFuture<'a, Result<LogPage>>;
}

/// The HTTP client of the log service.
#[derive(Debug, Clone)]
pub struct HttpLog {
    client: Client,
    addr: Name,
}

/// Creates a client for the log service in the settings; does not connect yet.
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
