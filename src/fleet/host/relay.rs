//! Answers the calls that other VMs relay.

use super::Desk;
use super::Missed;
use super::frame::Frame;
use super::frame::PulseFrame;
use super::frame::ReplyFrame;
use super::frame::codec;
use crate::fleet::clock::steady_ms;
use crate::fleet::election::Members;
use crate::fleet::event::Call;
use crate::prelude::*;
use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use prost::Message;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Replies of one connection that may wait to be written.
const MAX_QUEUED: usize = 1_024;
/// The silence after which a connection of another VM is dropped: several signs of life.
const PEER_SILENT: Duration = Duration::from_secs(4);

/// What connections of other VMs share.
#[derive(Debug)]
pub(super) struct Shared {
    members: Mutex<Members>,
    /// Identifies this process.
    boot: u64,
    /// This VM's share of a processor, in thousandths of a core.
    milli: u64,
}

impl Shared {
    /// Returns the VMs that are connected to this one.
    pub(super) fn members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The running listener.
pub(super) struct Relay {
    /// The VMs that are connected.
    pub(super) shared: Arc<Shared>,
    /// The task that accepts.
    pub(super) task: JoinHandle<()>,
}

/// Listens for other VMs at `addr`; `boot` and `milli` are told to them.
///
/// # Errors
///
/// The address cannot be bound.
pub(super) async fn bind(
    addr: SocketAddr,
    desk: watch::Receiver<Desk>,
    boot: u64,
    milli: u64,
) -> std::io::Result<Relay> {
    let listener = TcpListener::bind(addr).await?;
    let shared = Arc::new(Shared {
        members: Mutex::default(),
        boot,
        milli,
    });
    let used = shared.clone();
    let task = tokio::spawn(async move {
        let mut connection = 0;
        // Connections end with the listener.
        let mut served = JoinSet::new();
        loop {
            while served.try_join_next().is_some() {}
            match listener.accept().await {
                Ok((stream, _)) => {
                    connection += 1;
                    let (desk, shared) = (desk.clone(), used.clone());
                    served.spawn(async move {
                        serve(stream, connection, desk, &shared).await;
                        shared.members().part(connection);
                    });
                }
                Err(error) => {
                    log::warn!("TG1314 a connection of another VM cannot be accepted: {error}");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
    });
    Ok(Relay { shared, task })
}

async fn serve(
    stream: TcpStream,
    connection: u64,
    mut desk: watch::Receiver<Desk>,
    shared: &Shared,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a peer's connection cannot send at once: {error}");
    }
    let mut framed = Framed::new(stream, codec());
    let (tx, mut rx) = mpsc::channel::<Frame>(MAX_QUEUED);
    loop {
        tokio::select! {
            next = timeout(PEER_SILENT, framed.next()) => {
                let Ok(Some(Ok(bytes))) = next else { return };
                shared.members().hear(steady_ms());
                match Frame::decode(&*bytes) {
                    Ok(frame) => take(frame, connection, &desk, shared, &tx),
                    Err(error) => {
                        log::warn!("TG1313 a frame of another VM cannot be read: {error}");
                        return;
                    }
                }
            }
            // Others are told at once when this VM begins to lead, or ends.
            Ok(()) = desk.changed() => {
                let pulse = pulse(&desk.borrow_and_update(), shared, connection);
                push(&tx, pulse);
            }
            Some(frame) = rx.recv() => {
                let sent = timeout(PEER_SILENT, framed.send(Bytes::from(frame.encode_to_vec())));
                if !matches!(sent.await, Ok(Ok(()))) {
                    return;
                }
            }
        }
    }
}

fn take(
    frame: Frame,
    connection: u64,
    desk: &watch::Receiver<Desk>,
    shared: &Shared,
    tx: &mpsc::Sender<Frame>,
) {
    if let Some(hello) = frame.hello {
        shared.members().join(connection, hello.into(), steady_ms());
    }
    let Some(call) = frame.call else {
        push(tx, pulse(&desk.borrow(), shared, connection));
        return;
    };
    let engine = match &*desk.borrow() {
        Desk::Here(engine, _) => Some(engine.clone()),
        _ => None,
    };
    let tx = tx.clone();
    tokio::spawn(async move {
        let reply = match engine {
            Some(engine) => engine.call(Call::from(call)).await,
            None => Err(Missed::Declined),
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

fn push(tx: &mpsc::Sender<Frame>, pulse: PulseFrame) {
    let frame = Frame {
        pulse: Some(pulse),
        ..Frame::default()
    };
    if tx.try_send(frame).is_err() {
        log::debug!("a sign of life is not sent: the connection is full");
    }
}

/// Tells the state of this VM to the one at the other end of `connection`.
fn pulse(desk: &Desk, shared: &Shared, connection: u64) -> PulseFrame {
    let members = shared.members();
    let pulse = PulseFrame {
        boot: shared.boot,
        deputy: members.is_deputy(connection),
        best_milli: members.best_milli(shared.milli),
        ..PulseFrame::default()
    };
    match desk {
        Desk::Here(engine, _) => PulseFrame {
            leads: true,
            ready: engine.is_ready(),
            proven: engine.is_proven(),
            ..pulse
        },
        Desk::Loading(loading) => PulseFrame {
            loads: loading.epoch,
            proven: loading.is_proven(),
            ..pulse
        },
        Desk::None | Desk::Lost | Desk::There(..) => pulse,
    }
}
