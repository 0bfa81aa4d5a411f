//! Answers the calls that other VMs relay.

use super::Desk;
use super::frame::Frame;
use super::frame::Pulse;
use super::frame::ReplyFrame;
use super::frame::codec;
use crate::fleet::clock::boot_ms;
use crate::fleet::event::Call;
use crate::fleet::event::Reply;
use crate::prelude::*;
use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use prost::Message;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::codec::Framed;

/// Replies of one connection that may wait to be written.
const MAX_QUEUED: usize = 1_024;

/// The running listener.
pub(super) struct Relay {
    /// The own time at which another VM was heard last, in milliseconds.
    pub(super) heard: Arc<AtomicU64>,
    /// The task that accepts.
    pub(super) task: JoinHandle<()>,
}

/// Listens for other VMs.
///
/// # Errors
///
/// The address cannot be bound.
pub(super) async fn bind(addr: SocketAddr, desk: watch::Receiver<Desk>) -> std::io::Result<Relay> {
    let listener = TcpListener::bind(addr).await?;
    let heard = Arc::new(AtomicU64::new(0));
    let shared = heard.clone();
    let task = tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(serve(stream, desk.clone(), shared.clone()));
                }
                Err(error) => {
                    log::warn!("TG1314 a connection of another VM cannot be accepted: {error}");
                    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
                }
            }
        }
    });
    Ok(Relay { heard, task })
}

async fn serve(stream: TcpStream, desk: watch::Receiver<Desk>, heard: Arc<AtomicU64>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a peer's connection cannot send at once: {error}");
    }
    let mut framed = Framed::new(stream, codec());
    let (tx, mut rx) = mpsc::channel::<Frame>(MAX_QUEUED);
    loop {
        tokio::select! {
            next = framed.next() => {
                let Some(Ok(bytes)) = next else { return };
                heard.store(boot_ms(), Ordering::Relaxed);
                match Frame::decode(&*bytes) {
                    Ok(frame) => take(frame, &desk, &tx),
                    Err(error) => {
                        log::warn!("TG1313 a frame of another VM cannot be read: {error}");
                        return;
                    }
                }
            }
            Some(frame) = rx.recv() => {
                if framed.send(Bytes::from(frame.encode_to_vec())).await.is_err() {
                    return;
                }
            }
        }
    }
}

fn take(frame: Frame, desk: &watch::Receiver<Desk>, tx: &mpsc::Sender<Frame>) {
    let engine = match &*desk.borrow() {
        Desk::Here(engine) => Some(engine.clone()),
        Desk::None | Desk::Lost | Desk::There(_) => None,
    };
    let Some(call) = frame.call else {
        let pulse = Pulse {
            leads: engine.is_some(),
            ready: engine.as_ref().is_some_and(super::Engine::is_ready),
            proven: engine.as_ref().is_some_and(super::Engine::is_proven),
        };
        let frame = Frame {
            pulse: Some(pulse),
            ..Frame::default()
        };
        if tx.try_send(frame).is_err() {
            log::debug!("a sign of life is not answered: the connection is full");
        }
        return;
    };
    let tx = tx.clone();
    tokio::spawn(async move {
        let reply = match engine {
            Some(engine) => engine.call(Call::from(call)).await,
            None => Reply::Unavailable {
                wait_ms: super::LEADERLESS_WAIT_MS,
            },
        };
        let frame = Frame {
            id: frame.id,
            reply: Some(ReplyFrame::from(reply)),
            ..Frame::default()
        };
        if tx.send(frame).await.is_err() {
            log::debug!("a relayed call's connection was lost before the reply");
        }
    });
}
