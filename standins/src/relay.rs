//! A TCP relay that can be cut.

use crate::line::Gate;
use crate::line::Line;
use crate::line::Lines;
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

/// The bytes that are passed on at once.
const CHUNK_BYTES: usize = 16_384;
/// The wait after a failed accept, in milliseconds.
const ACCEPT_AGAIN_MS: u64 = 20;

/// Which directions a relay passes on; bytes of a direction that is cut wait, as in a network
/// that loses packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Passes {
    /// From the caller to the target.
    pub up: bool,
    /// From the target to the caller.
    pub down: bool,
    /// Whether new connections are accepted; others are closed at once.
    pub accept: bool,
}

impl Default for Passes {
    fn default() -> Self {
        Self {
            up: true,
            down: true,
            accept: true,
        }
    }
}

/// Where a relay leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayOptions {
    /// The address of the target.
    pub target: SocketAddr,
}

#[derive(Debug, Clone)]
struct Relay {
    target: SocketAddr,
    lines: Shared<Lines>,
    passes: watch::Sender<Passes>,
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
    /// Passes on the error of the bind.
    pub async fn spawn(options: RelayOptions) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let relay = Relay {
            target: options.target,
            lines: Shared::default(),
            passes: watch::Sender::new(Passes::default()),
        };
        let task = tokio::spawn(relay.clone().accept(listener));
        Ok(Self { addr, relay, task })
    }

    /// Returns the address for callers.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes which directions are passed on, for open connections and new ones.
    pub fn set(&self, change: impl FnOnce(&mut Passes)) {
        self.relay.passes.send_modify(change);
    }

    /// Makes every connection that is open now silent for good; new ones work.
    pub fn silence_open(&self) {
        let lines = self.relay.lines.with(|lines| lines.all());
        lines.iter().for_each(Line::silence);
    }

    /// Closes every connection that is open now.
    pub fn cut_open(&self) {
        let lines = self.relay.lines.with(|lines| lines.all());
        lines.iter().for_each(Line::cut);
    }

    /// Counts the open connections that are not silent.
    pub fn connections(&self) -> usize {
        self.relay.lines.with(|lines| lines.count())
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
                tokio::time::sleep(Duration::from_millis(ACCEPT_AGAIN_MS)).await;
                continue;
            };
            if !self.passes.borrow().accept {
                continue;
            }
            let line = self.lines.with(|lines| lines.add());
            tokio::spawn(self.clone().pass(stream, line));
        }
    }

    async fn pass(self, caller: TcpStream, line: Line) {
        let Ok(target) = TcpStream::connect(self.target).await else {
            return;
        };
        let nodelay = caller.set_nodelay(true).and(target.set_nodelay(true));
        if nodelay.is_err() {
            return;
        }
        let (from_caller, to_caller) = tokio::io::split(Gate::new(caller, line.clone()));
        let (from_target, to_target) = tokio::io::split(Gate::new(target, line.clone()));
        let up = pump(from_caller, to_target, &self.passes, |passes| passes.up);
        let down = pump(from_target, to_caller, &self.passes, |passes| passes.down);
        let _ended = tokio::try_join!(up, down);
        line.cut();
    }
}

/// Passes bytes on while the direction is open, and its end too.
async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    passes: &watch::Sender<Passes>,
    open: impl Fn(&Passes) -> bool,
) -> io::Result<()> {
    let mut passes = passes.subscribe();
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = from.read(&mut chunk).await?;
        drop(passes.wait_for(&open).await);
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&chunk[..count]).await?;
    }
}
