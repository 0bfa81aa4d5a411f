//! Accepted connections that can be silenced or closed to inject faults.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::WaitForCancellationFutureOwned;

#[derive(Debug, Default)]
struct Inner {
    cut: CancellationToken,
    silent: AtomicBool,
}

/// A handle that controls one accepted connection.
#[derive(Debug, Clone, Default)]
pub struct Connection {
    inner: Arc<Inner>,
}

impl Connection {
    /// Closes the connection; no further bytes are written to it.
    pub fn cut(&self) {
        self.inner.cut.cancel();
    }

    /// Permanently stops all reads and writes, but leaves the connection open.
    pub fn silence(&self) {
        self.inner.silent.store(true, Ordering::SeqCst);
    }

    /// Returns whether the connection has been silenced.
    pub fn is_silent(&self) -> bool {
        self.inner.silent.load(Ordering::SeqCst)
    }

    /// Waits until the connection is closed by [`Connection::cut`].
    pub async fn closed(&self) {
        self.inner.cut.cancelled().await;
    }
}

/// The open connections of one listener.
#[derive(Debug, Default)]
pub struct Connections {
    open: Vec<Weak<Inner>>,
}

impl Connections {
    /// Registers a new connection, and removes those that have ended.
    pub fn add(&mut self) -> Connection {
        self.open.retain(|inner| inner.strong_count() > 0);
        let connection = Connection::default();
        self.open.push(Arc::downgrade(&connection.inner));
        connection
    }

    /// Returns the open connections, silenced ones included.
    pub fn all(&self) -> Vec<Connection> {
        let inner = self.open.iter().filter_map(Weak::upgrade);
        inner.map(|inner| Connection { inner }).collect()
    }

    /// Counts the open connections that are not silenced.
    pub fn count(&self) -> usize {
        self.all()
            .iter()
            .filter(|connection| !connection.is_silent())
            .count()
    }
}

/// A TCP stream that its [`Connection`] handle can silence or close.
#[derive(Debug)]
pub struct ControlledStream {
    stream: TcpStream,
    connection: Connection,
    cut: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl ControlledStream {
    /// Wraps `stream` so that `connection` controls it.
    pub fn new(stream: TcpStream, connection: Connection) -> Self {
        let cut = Box::pin(connection.inner.cut.clone().cancelled_owned());
        Self {
            stream,
            connection,
            cut,
        }
    }

    /// Returns the handle that controls the stream.
    pub fn connection(&self) -> &Connection {
        &self.connection
    }

    fn poll_open(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.cut.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        match self.connection.is_silent() {
            true => Poll::Pending,
            false => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncRead for ControlledStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_open(cx))?;
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ControlledStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_open(cx))?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_open(cx))?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_open(cx))?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
