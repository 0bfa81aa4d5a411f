//! The connection of a VM to the one that leads.

use super::frame::CallFrame;
use super::frame::Frame;
use super::frame::Pulse;
use super::frame::codec;
use crate::fleet::event::Call;
use crate::fleet::event::Reply;
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
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// The time between two signs of life, in milliseconds.
const PULSE_MS: u64 = 300;
/// The silence after which a connection is given up, in milliseconds: a slow VM answers within
/// two signs of life.
const SILENT_MS: u64 = 900;
/// The time in which a connection must be made, in milliseconds.
const CONNECT_MS: u64 = 600;
/// Calls that may wait to be written.
const MAX_QUEUED: usize = 1_024;

/// How a connection ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Lost {
    /// The address declines connections, or closed this one: the process is gone.
    Closed(String),
    /// Nothing comes back.
    Silent,
}

/// A call on its way, and who waits for the reply.
type Pending = (Call, oneshot::Sender<Reply>);

/// A handle for calls over the connection.
#[derive(Debug, Clone)]
pub(super) struct Link {
    tx: mpsc::Sender<Pending>,
    pulse: watch::Receiver<Option<Pulse>>,
}

impl Link {
    /// Passes a call on; whether it took effect is unknown if the connection breaks.
    pub(super) async fn call(&self, what: Call) -> Reply {
        let (tx, rx) = oneshot::channel();
        if self.tx.send((what, tx)).await.is_err() {
            return Reply::Unavailable {
                wait_ms: super::LEADERLESS_WAIT_MS,
            };
        }
        rx.await.unwrap_or(Reply::Unknown)
    }

    /// Tells whether the leader answers calls.
    pub(super) fn is_ready(&self) -> bool {
        self.pulse
            .borrow()
            .as_ref()
            .is_some_and(|pulse| pulse.ready)
    }

    /// Tells what the leader said of itself last.
    pub(super) fn pulse(&self) -> watch::Receiver<Option<Pulse>> {
        self.pulse.clone()
    }
}

/// A connection that is driven by whoever follows the leader.
#[derive(Debug)]
pub(super) struct Wire {
    framed: Framed<TcpStream, tokio_util::codec::LengthDelimitedCodec>,
    rx: mpsc::Receiver<Pending>,
    pulse: watch::Sender<Option<Pulse>>,
}

/// Connects to the leader at `addr`.
///
/// # Errors
///
/// The address declines, or nothing comes back.
pub(super) async fn open(addr: &str) -> Result<(Link, Wire), Lost> {
    let stream = match timeout(Duration::from_millis(CONNECT_MS), TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(Lost::Closed(error.to_string())),
        Err(_) => return Err(Lost::Silent),
    };
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("peer={addr} cannot send at once: {error}");
    }
    let (tx, rx) = mpsc::channel(MAX_QUEUED);
    let (pulse_tx, pulse) = watch::channel(None);
    let wire = Wire {
        framed: Framed::new(stream, codec()),
        rx,
        pulse: pulse_tx,
    };
    Ok((Link { tx, pulse }, wire))
}

impl Wire {
    /// Carries calls and replies until the connection is lost.
    pub(super) async fn run(mut self) -> Lost {
        let mut waiting: HashMap<u64, oneshot::Sender<Reply>> = HashMap::new();
        let mut last_id = 0;
        let mut heard = Instant::now();
        let mut beat = tokio::time::interval(Duration::from_millis(PULSE_MS));
        beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let silence = Duration::from_millis(SILENT_MS);
        loop {
            let frame = tokio::select! {
                next = self.framed.next() => match next {
                    Some(Ok(bytes)) => {
                        heard = Instant::now();
                        self.received(&bytes, &mut waiting);
                        continue;
                    }
                    Some(Err(error)) => return Lost::Closed(error.to_string()),
                    None => return Lost::Closed("closed".to_owned()),
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
                _ = beat.tick() => {
                    if heard.elapsed() > silence {
                        return Lost::Silent;
                    }
                    waiting.retain(|_, tx| !tx.is_closed());
                    Frame::default()
                }
            };
            let bytes = Bytes::from(frame.encode_to_vec());
            match timeout(silence, self.framed.send(bytes)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => return Lost::Closed(error.to_string()),
                Err(_) => return Lost::Silent,
            }
        }
    }

    fn received(&self, bytes: &[u8], waiting: &mut HashMap<u64, oneshot::Sender<Reply>>) {
        let frame = match Frame::decode(bytes) {
            Ok(frame) => frame,
            Err(error) => {
                log::warn!("TG1312 a frame of the leader cannot be read: {error}");
                return;
            }
        };
        if let Some(pulse) = frame.pulse {
            self.pulse.send_replace(Some(pulse));
        }
        let Some(reply) = frame.reply else { return };
        if let Some(tx) = waiting.remove(&frame.id)
            && tx.send(Reply::from(reply)).is_err()
        {
            log::debug!("a caller left before its reply");
        }
    }
}
