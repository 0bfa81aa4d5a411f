//! A client of the system: one call on a connection of its own.

use crate::record::Record;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a client waits for a response, in milliseconds.
pub const DEADLINE_MS: u64 = 3_000;

/// A response: its status and body.
pub type Answer = Option<(u16, String)>;

/// A client with a key.
#[derive(Debug, Clone)]
pub struct Client {
    /// The host of the route.
    pub host: String,
    /// The key.
    pub key: String,
    /// Where calls and responses are noted.
    pub record: Record,
}

impl Client {
    /// Sends a call to a machine; none if there is no complete response in time.
    pub async fn call(
        &self,
        name: &str,
        addr: SocketAddr,
        method: &str,
        path: &str,
        body: &str,
    ) -> Answer {
        self.record
            .add(format!("client -> {name}: {method} {path} {body}"));
        let limit = Duration::from_millis(DEADLINE_MS);
        let answer = match timeout(limit, self.exchange(addr, method, path, body)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => None,
        };
        match &answer {
            Some((status, body)) => self.record.add(format!(
                "client <- {name}: {method} {path}: {status} {body}"
            )),
            None => self
                .record
                .add(format!("client <- {name}: {method} {path}: no response")),
        }
        answer
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        body: &str,
    ) -> std::io::Result<Answer> {
        let mut stream = TcpStream::connect(addr).await?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nApi-Key: {}\r\nContent-Type: application/json\r\n\
             Trefoilgauge-Request-Deadline: {DEADLINE_MS}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            self.host,
            self.key,
            body.len()
        );
        stream.write_all(head.as_bytes()).await?;
        let mut all = Vec::new();
        stream.read_to_end(&mut all).await?;
        let text = String::from_utf8_lossy(&all);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            return Ok(None);
        };
        let status = head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        Ok(status.map(|status| (status, body.to_owned())))
    }
}
