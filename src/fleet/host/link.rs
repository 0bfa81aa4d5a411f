//! The connection of a follower to the leader.

use super::CallError;
use super::CallResult;
use super::frame::CallFrame;
use super::frame::Frame;
use super::frame::HeartbeatFrame;
use super::frame::Hello;
use super::frame::codec;
use crate::fleet::election::LinkError;
use crate::fleet::event::Call;
use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use prost::Message;
use std::collections::HashMap;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// The time between two heartbeats of a deputy, in milliseconds.
const DEPUTY_HEARTBEAT_MS: u64 = 120;
/// How long a deputy waits for the reply to a heartbeat before it closes the connection, in
/// milliseconds: a leader with an eighth of a core answers within three heartbeats.
const DEPUTY_TIMEOUT_MS: u64 = 420;
/// The time between two heartbeats of other VMs, in milliseconds: the leader answers hundreds of
/// VMs.
const HEARTBEAT_MS: u64 = 500;
/// How long other VMs wait for the reply to a heartbeat before they close the connection, in
/// milliseconds.
const HEARTBEAT_TIMEOUT_MS: u64 = 1_300;
/// The time-out for opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 600;
/// The most calls that may wait to be written.
const MAX_QUEUED: usize = 1_024;

/// A call, and where its reply is sent.
type Pending = (Call, oneshot::Sender<CallResult>);

/// A handle for calls to the leader over the connection.
#[derive(Debug, Clone)]
pub(super) struct Link {
    tx: mpsc::Sender<Pending>,
    heartbeat: watch::Receiver<Option<HeartbeatFrame>>,
}

impl Link {
    /// Relays a call.
    ///
    /// # Errors
    ///
    /// The connection is lost, or the VM at its other end does not lead.
    pub(super) async fn call(&self, call: Call) -> CallResult {
        let (tx, rx) = oneshot::channel();
        if self.tx.send((call, tx)).await.is_err() {
            return Err(CallError::NotHandled);
        }
        rx.await.unwrap_or(Err(CallError::OutcomeUnknown))
    }

    /// Returns whether the leader answers calls.
    pub(super) fn is_ready(&self) -> bool {
        self.heartbeat
            .borrow()
            .as_ref()
            .is_some_and(|heartbeat| heartbeat.ready)
    }

    /// Returns a receiver for the last heartbeat reply of the VM at the other end.
    pub(super) fn heartbeat(&self) -> watch::Receiver<Option<HeartbeatFrame>> {
        self.heartbeat.clone()
    }
}

/// The connection itself, run by [`Connection::run`].
#[derive(Debug)]
pub(super) struct Connection {
    framed: Framed<TcpStream, tokio_util::codec::LengthDelimitedCodec>,
    rx: mpsc::Receiver<Pending>,
    heartbeat: watch::Sender<Option<HeartbeatFrame>>,
    hello: watch::Receiver<Hello>,
}

/// Connects to the leader at `addr`.
///
/// # Errors
///
/// The connection is refused, or not answered in time.
pub(super) async fn connect(
    addr: &str,
    hello: watch::Receiver<Hello>,
) -> Result<(Link, Connection), LinkError> {
    let stream = match timeout(
        Duration::from_millis(CONNECT_TIMEOUT_MS),
        TcpStream::connect(addr),
    )
    .await
    {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(LinkError::Closed(error.to_string())),
        Err(_) => return Err(LinkError::Silent),
    };
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("peer={addr} cannot disable Nagle's algorithm: {error}");
    }
    let (tx, rx) = mpsc::channel(MAX_QUEUED);
    let (heartbeat_tx, heartbeat) = watch::channel(None);
    let connection = Connection {
        framed: Framed::new(stream, codec()),
        rx,
        heartbeat: heartbeat_tx,
        hello,
    };
    Ok((Link { tx, heartbeat }, connection))
}

impl Connection {
    /// Transmits calls, replies and heartbeats until the connection is lost.
    pub(super) async fn run(mut self) -> LinkError {
        let mut waiting: HashMap<u64, oneshot::Sender<CallResult>> = HashMap::new();
        let mut last_id = 0;
        // When the oldest unanswered heartbeat was sent.
        let mut unanswered: Option<Instant> = None;
        let mut next_beat = Instant::now();
        self.hello.mark_changed();
        loop {
            let (interval, silence) = self.intervals();
            let frame = tokio::select! {
                next = self.framed.next() => match next {
                    Some(Ok(bytes)) => {
                        unanswered = None;
                        if self.handle_frame(&bytes, &mut waiting) {
                            next_beat = Instant::now();
                        }
                        continue;
                    }
                    Some(Err(error)) => return LinkError::Closed(error.to_string()),
                    None => return LinkError::Closed("closed".to_owned()),
                },
                Some((call, tx)) = self.rx.recv() => {
                    last_id += 1;
                    waiting.insert(last_id, tx);
                    Frame {
                        id: last_id,
                        call: Some(CallFrame::from(call)),
                        ..Frame::default()
                    }
                }
                () = sleep_until(next_beat) => {
                    if unanswered.is_some_and(|sent| sent.elapsed() > silence) {
                        return LinkError::Silent;
                    }
                    let now = Instant::now();
                    unanswered.get_or_insert(now);
                    next_beat = now + interval;
                    waiting.retain(|_, tx| !tx.is_closed());
                    let changed = self.hello.has_changed().unwrap_or(false);
                    let hello = changed.then(|| self.hello.borrow_and_update().clone());
                    Frame { hello, ..Frame::default() }
                }
            };
            let bytes = Bytes::from(frame.encode_to_vec());
            match timeout(silence, self.framed.send(bytes)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => return LinkError::Closed(error.to_string()),
                Err(_) => return LinkError::Silent,
            }
        }
    }

    /// Returns the time between two heartbeats, and the silence after which the connection is lost.
    fn intervals(&self) -> (Duration, Duration) {
        let deputy = self
            .heartbeat
            .borrow()
            .is_some_and(|heartbeat| heartbeat.deputy);
        let (interval, silence) = if deputy {
            (DEPUTY_HEARTBEAT_MS, DEPUTY_TIMEOUT_MS)
        } else {
            (HEARTBEAT_MS, HEARTBEAT_TIMEOUT_MS)
        };
        (
            Duration::from_millis(interval),
            Duration::from_millis(silence),
        )
    }

    /// Handles a frame; returns whether it makes this VM a deputy.
    fn handle_frame(
        &self,
        bytes: &[u8],
        waiting: &mut HashMap<u64, oneshot::Sender<CallResult>>,
    ) -> bool {
        let frame = match Frame::decode(bytes) {
            Ok(frame) => frame,
            Err(error) => {
                log::warn!("TG1312 a frame from the leader cannot be decoded: {error}");
                return false;
            }
        };
        let mut promoted = false;
        if let Some(heartbeat) = frame.heartbeat {
            let before = self.heartbeat.send_replace(Some(heartbeat));
            promoted = heartbeat.deputy && before.is_none_or(|before| !before.deputy);
        }
        let Some(reply) = frame.reply else {
            return promoted;
        };
        if let Some(tx) = waiting.remove(&frame.id)
            && tx.send(CallResult::from(reply)).is_err()
        {
            log::debug!("a caller has gone before its reply");
        }
        promoted
    }
}
