//! One accepted connection, which can go silent for good or be cut.

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

/// A connection's switches.
#[derive(Debug, Clone, Default)]
pub struct Line {
    inner: Arc<Inner>,
}

impl Line {
    /// Closes the connection; nothing more is written to it.
    pub fn cut(&self) {
        self.inner.cut.cancel();
    }

    /// Makes the connection silent for good: no byte is read or written, and it stays open.
    pub fn silence(&self) {
        self.inner.silent.store(true, Ordering::SeqCst);
    }

    /// Tells whether the connection is silent.
    pub fn silent(&self) -> bool {
        self.inner.silent.load(Ordering::SeqCst)
    }

    /// Returns when the connection is cut.
    pub async fn closed(&self) {
        self.inner.cut.cancelled().await;
    }
}

/// All connections that one listener has open.
#[derive(Debug, Default)]
pub struct Lines {
    open: Vec<Weak<Inner>>,
}

impl Lines {
    /// Adds a connection.
    pub fn add(&mut self) -> Line {
        self.open.retain(|inner| inner.strong_count() > 0);
        let line = Line::default();
        self.open.push(Arc::downgrade(&line.inner));
        line
    }

    /// Returns the open connections.
    pub fn all(&self) -> Vec<Line> {
        let inner = self.open.iter().filter_map(Weak::upgrade);
        inner.map(|inner| Line { inner }).collect()
    }

    /// Counts the open connections that are not silent.
    pub fn count(&self) -> usize {
        self.all().iter().filter(|line| !line.silent()).count()
    }
}

/// The stream of a connection, which obeys its switches.
#[derive(Debug)]
pub struct Gate {
    stream: TcpStream,
    line: Line,
    cut: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl Gate {
    /// Puts a stream under its switches.
    pub fn new(stream: TcpStream, line: Line) -> Self {
        let cut = Box::pin(line.inner.cut.clone().cancelled_owned());
        Self { stream, line, cut }
    }

    /// Returns the switches.
    pub fn line(&self) -> &Line {
        &self.line
    }

    fn poll_open(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.cut.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        match self.line.silent() {
            true => Poll::Pending,
            false => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncRead for Gate {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_open(cx))?;
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Gate {
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
