//! The connection of a VM to the one that leads.

use super::Answer;
use super::Missed;
use super::frame::CallFrame;
use super::frame::Frame;
use super::frame::Hello;
use super::frame::PulseFrame;
use super::frame::codec;
use crate::fleet::election::Lost;
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

/// The time between two signs of life of a deputy, in milliseconds.
const DEPUTY_PULSE_MS: u64 = 120;
/// The silence after which a deputy gives a connection up, in milliseconds: a leader with an eighth
/// of a core answers within three signs of life.
const DEPUTY_SILENT_MS: u64 = 420;
/// The time between two signs of life of other VMs, in milliseconds: the leader answers hundreds.
const PULSE_MS: u64 = 500;
/// The silence after which other VMs give a connection up, in milliseconds.
const SILENT_MS: u64 = 1_300;
/// The time in which a connection must be made, in milliseconds.
const CONNECT_MS: u64 = 600;
/// Calls that may wait to be written.
const MAX_QUEUED: usize = 1_024;

/// A call on its way, and who waits for the reply.
type Pending = (Call, oneshot::Sender<Answer>);

/// A handle for calls over the connection.
#[derive(Debug, Clone)]
pub(super) struct Link {
    tx: mpsc::Sender<Pending>,
    pulse: watch::Receiver<Option<PulseFrame>>,
}

impl Link {
    /// Passes a call on.
    ///
    /// # Errors
    ///
    /// The connection is gone, or the VM at its other end does not lead.
    pub(super) async fn call(&self, what: Call) -> Answer {
        let (tx, rx) = oneshot::channel();
        if self.tx.send((what, tx)).await.is_err() {
            return Err(Missed::Declined);
        }
        rx.await.unwrap_or(Err(Missed::Lost))
    }

    /// Tells whether the leader answers calls.
    pub(super) fn is_ready(&self) -> bool {
        self.pulse
            .borrow()
            .as_ref()
            .is_some_and(|pulse| pulse.ready)
    }

    /// Tells what the VM at the other end said of itself last.
    pub(super) fn pulse(&self) -> watch::Receiver<Option<PulseFrame>> {
        self.pulse.clone()
    }
}

/// A connection that is driven by whoever follows the leader.
#[derive(Debug)]
pub(super) struct Wire {
    framed: Framed<TcpStream, tokio_util::codec::LengthDelimitedCodec>,
    rx: mpsc::Receiver<Pending>,
    pulse: watch::Sender<Option<PulseFrame>>,
    hello: watch::Receiver<Hello>,
}

/// Connects to the leader at `addr`.
///
/// # Errors
///
/// The address declines, or nothing comes back.
pub(super) async fn open(addr: &str, hello: watch::Receiver<Hello>) -> Result<(Link, Wire), Lost> {
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
        hello,
    };
    Ok((Link { tx, pulse }, wire))
}

impl Wire {
    /// Carries calls and replies until the connection is lost.
    pub(super) async fn run(mut self) -> Lost {
        let mut waiting: HashMap<u64, oneshot::Sender<Answer>> = HashMap::new();
        let mut last_id = 0;
        // When the oldest sign of life that has no answer was sent.
        let mut asked: Option<Instant> = None;
        let mut beat = Instant::now();
        self.hello.mark_changed();
        loop {
            let (pulse, silence) = self.pace();
            let frame = tokio::select! {
                next = self.framed.next() => match next {
                    Some(Ok(bytes)) => {
                        asked = None;
                        if self.received(&bytes, &mut waiting) {
                            beat = Instant::now();
                        }
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
                () = sleep_until(beat) => {
                    if asked.is_some_and(|asked| asked.elapsed() > silence) {
                        return Lost::Silent;
                    }
                    let now = Instant::now();
                    asked.get_or_insert(now);
                    beat = now + pulse;
                    waiting.retain(|_, tx| !tx.is_closed());
                    let changed = self.hello.has_changed().unwrap_or(false);
                    let hello = changed.then(|| self.hello.borrow_and_update().clone());
                    Frame { hello, ..Frame::default() }
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

    /// Returns the time between two signs of life, and the silence that ends the connection.
    fn pace(&self) -> (Duration, Duration) {
        let deputy = self.pulse.borrow().is_some_and(|pulse| pulse.deputy);
        let (pulse, silence) = if deputy {
            (DEPUTY_PULSE_MS, DEPUTY_SILENT_MS)
        } else {
            (PULSE_MS, SILENT_MS)
        };
        (Duration::from_millis(pulse), Duration::from_millis(silence))
    }

    /// Handles a frame; returns whether this VM has just become a deputy.
    fn received(&self, bytes: &[u8], waiting: &mut HashMap<u64, oneshot::Sender<Answer>>) -> bool {
        let frame = match Frame::decode(bytes) {
            Ok(frame) => frame,
            Err(error) => {
                log::warn!("TG1312 a frame of the leader cannot be read: {error}");
                return false;
            }
        };
        let mut promoted = false;
        if let Some(pulse) = frame.pulse {
            let before = self.pulse.send_replace(Some(pulse));
            promoted = pulse.deputy && before.is_none_or(|before| !before.deputy);
        }
        let Some(reply) = frame.reply else {
            return promoted;
        };
        if let Some(tx) = waiting.remove(&frame.id)
            && tx.send(Answer::from(reply)).is_err()
        {
            log::debug!("a caller left before its reply");
        }
        promoted
    }
}
