//! A small HTTP/1.1 client, as callers and the load balancer use it.

use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The host of the only queue.
pub(crate) const HOST: &str = "host-1.example";
/// The path prefix of the only queue.
pub(crate) const PREFIX: &str = "/queue-1/";
/// The key of the only tenant.
pub(crate) const KEY: &str = "key-1";
/// How long a caller waits for the response, in milliseconds.
pub(crate) const DEADLINE_MS: u64 = 3_000;

/// A response.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: String,
}

impl Answer {
    /// Returns the state of a job in the body, empty if there is none.
    pub(crate) fn state(&self) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["state"].as_str().unwrap_or_default().to_owned()
    }
}

/// Writes a request to an open connection.
pub(crate) async fn send(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<()> {
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n\
         Content-Type: application/json\r\nTrefoilgauge-Request-Deadline: {DEADLINE_MS}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await
}

/// Reads a response from an open connection.
pub(crate) async fn receive(stream: &mut TcpStream) -> io::Result<Answer> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length")
                    .then(|| value.trim().parse().ok())?
            });
            if body.len() >= length.unwrap_or(0) {
                let status = head
                    .split(' ')
                    .nth(1)
                    .and_then(|status| status.parse().ok());
                return Ok(Answer {
                    status: status.ok_or(io::ErrorKind::InvalidData)?,
                    body: body.to_owned(),
                });
            }
        }
        let count = stream.read(&mut chunk).await?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&chunk[..count]);
    }
}

/// Sends a request on a new connection and returns the response, none if there is none in time.
pub(crate) async fn call(addr: SocketAddr, method: &str, path: &str, body: &str) -> Option<Answer> {
    let round_trip = async {
        let mut stream = TcpStream::connect(addr).await?;
        send(&mut stream, method, path, body).await?;
        receive(&mut stream).await
    };
    let limit = Duration::from_millis(DEADLINE_MS);
    timeout(limit, round_trip).await.ok()?.ok()
}
