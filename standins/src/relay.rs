//! A TCP relay that can block each direction, to simulate network faults.

use crate::connection::Connection;
use crate::connection::Connections;
use crate::connection::ControlledStream;
pub use crate::serve::Result;
use crate::shared::Shared;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The buffer size of one read, in bytes.
const CHUNK_BYTES: usize = 16_384;
/// The delay before the next accept after one failed, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 20;

/// Which directions a relay forwards. Bytes of a blocked direction are held back, as in a network
/// that loses packets and retransmits them later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forwarding {
    /// From the caller to the target.
    pub up: bool,
    /// From the target to the caller.
    pub down: bool,
    /// Whether new connections are accepted; otherwise they are closed at once.
    pub accept: bool,
}

impl Default for Forwarding {
    fn default() -> Self {
        Self {
            up: true,
            down: true,
            accept: true,
        }
    }
}

/// Options of a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayOptions {
    /// The address to which connections are forwarded.
    pub target: SocketAddr,
}

#[derive(Debug, Clone)]
struct Relay {
    target: SocketAddr,
    connections: Shared<Connections>,
    forwarding: watch::Sender<Forwarding>,
}

/// A running relay.
#[derive(Debug)]
pub struct RelayHandle {
    addr: SocketAddr,
    relay: Relay,
    task: JoinHandle<()>,
}

impl RelayHandle {
    /// Starts a relay on an ephemeral port of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub async fn spawn(options: RelayOptions) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let relay = Relay {
            target: options.target,
            connections: Shared::default(),
            forwarding: watch::Sender::new(Forwarding::default()),
        };
        let task = tokio::spawn(relay.clone().accept(listener));
        Ok(Self { addr, relay, task })
    }

    /// Returns the address to which callers connect.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes which directions are forwarded, for open and new connections.
    pub fn set(&self, change: impl FnOnce(&mut Forwarding)) {
        self.relay.forwarding.send_modify(change);
    }

    /// Silences every open connection permanently; new ones are forwarded.
    pub fn silence_open(&self) {
        let connections = self.relay.connections.with(|connections| connections.all());
        connections.iter().for_each(Connection::silence);
    }

    /// Closes every open connection.
    pub fn cut_open(&self) {
        let connections = self.relay.connections.with(|connections| connections.all());
        connections.iter().for_each(Connection::cut);
    }

    /// Counts the open connections that are not silenced.
    pub fn connections(&self) -> usize {
        self.relay
            .connections
            .with(|connections| connections.count())
    }

    /// Stops listening and closes every connection.
    pub async fn stop(mut self) {
        self.task.abort();
        let _ended = (&mut self.task).await;
    }
}

impl Drop for RelayHandle {
    fn drop(&mut self) {
        self.task.abort();
        self.cut_open();
    }
}

impl Relay {
    async fn accept(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                continue;
            };
            if !self.forwarding.borrow().accept {
                continue;
            }
            let connection = self.connections.with(|connections| connections.add());
            tokio::spawn(self.clone().forward(stream, connection));
        }
    }

    async fn forward(self, caller: TcpStream, connection: Connection) {
        let Ok(target) = TcpStream::connect(self.target).await else {
            return;
        };
        let nodelay = caller.set_nodelay(true).and(target.set_nodelay(true));
        if nodelay.is_err() {
            return;
        }
        let (from_caller, to_caller) =
            tokio::io::split(ControlledStream::new(caller, connection.clone()));
        let (from_target, to_target) =
            tokio::io::split(ControlledStream::new(target, connection.clone()));
        let up = forward_bytes(from_caller, to_target, &self.forwarding, |open| open.up);
        let down = forward_bytes(from_target, to_caller, &self.forwarding, |open| open.down);
        let _ended = tokio::try_join!(up, down);
        connection.cut();
    }
}

/// Copies bytes while the direction is open, and then forwards the end of the stream.
async fn forward_bytes(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    forwarding: &watch::Sender<Forwarding>,
    is_open: impl Fn(&Forwarding) -> bool,
) -> io::Result<()> {
    let mut forwarding = forwarding.subscribe();
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = from.read(&mut chunk).await?;
        drop(forwarding.wait_for(&is_open).await);
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&chunk[..count]).await?;
    }
}
