//! Accepts connections of other VMs, and answers their heartbeats and the calls that they relay.

use super::CallError;
use super::Leader;
use super::frame::Frame;
use super::frame::HeartbeatFrame;
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

/// The most frames of one connection that may wait to be written.
const MAX_QUEUED: usize = 1_024;
/// The silence after which the connection of another VM is closed: several heartbeats.
const PEER_TIMEOUT: Duration = Duration::from_secs(4);

/// What the connections of other VMs share.
#[derive(Debug)]
pub(super) struct Shared {
    members: Mutex<Members>,
    /// A number that identifies this process.
    boot: u64,
    /// This VM's CPU share, in thousandths of a core.
    cpu_milli: u64,
}

impl Shared {
    /// Locks and returns the VMs that are connected to this one.
    pub(super) fn members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The running listener for other VMs.
pub(super) struct Listener {
    /// What the connections share.
    pub(super) shared: Arc<Shared>,
    /// The task that accepts connections.
    pub(super) task: JoinHandle<()>,
}

/// Listens for other VMs at `addr`; `boot` and `cpu_milli` are reported to them.
///
/// # Errors
///
/// The address cannot be bound.
pub(super) async fn bind(
    addr: SocketAddr,
    leader: watch::Receiver<Leader>,
    boot: u64,
    cpu_milli: u64,
) -> std::io::Result<Listener> {
    let listener = TcpListener::bind(addr).await?;
    let shared = Arc::new(Shared {
        members: Mutex::default(),
        boot,
        cpu_milli,
    });
    let task_shared = shared.clone();
    let task = tokio::spawn(async move {
        let mut connection = 0;
        // Connections end with the listener.
        let mut connections = JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            match listener.accept().await {
                Ok((stream, _)) => {
                    connection += 1;
                    let (leader, shared) = (leader.clone(), task_shared.clone());
                    connections.spawn(async move {
                        serve(stream, connection, leader, &shared).await;
                        shared.members().leave(connection);
                    });
                }
                Err(error) => {
                    log::warn!("TG1314 a connection from another VM cannot be accepted: {error}");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
    });
    Ok(Listener { shared, task })
}

async fn serve(
    stream: TcpStream,
    connection: u64,
    mut leader: watch::Receiver<Leader>,
    shared: &Shared,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a peer's connection cannot disable Nagle's algorithm: {error}");
    }
    let mut framed = Framed::new(stream, codec());
    let (tx, mut rx) = mpsc::channel::<Frame>(MAX_QUEUED);
    loop {
        tokio::select! {
            next = timeout(PEER_TIMEOUT, framed.next()) => {
                let Ok(Some(Ok(bytes))) = next else { return };
                shared.members().note_contact(steady_ms());
                match Frame::decode(&*bytes) {
                    Ok(frame) => handle_frame(frame, connection, &leader, shared, &tx),
                    Err(error) => {
                        log::warn!("TG1313 a frame from another VM cannot be decoded: {error}");
                        return;
                    }
                }
            }
            // Reports at once that this VM starts or stops leading.
            Ok(()) = leader.changed() => {
                let heartbeat = heartbeat(&leader.borrow_and_update(), shared, connection);
                send_heartbeat(&tx, heartbeat);
            }
            Some(frame) = rx.recv() => {
                let sent = timeout(PEER_TIMEOUT, framed.send(Bytes::from(frame.encode_to_vec())));
                if !matches!(sent.await, Ok(Ok(()))) {
                    return;
                }
            }
        }
    }
}

fn handle_frame(
    frame: Frame,
    connection: u64,
    leader: &watch::Receiver<Leader>,
    shared: &Shared,
    tx: &mpsc::Sender<Frame>,
) {
    if let Some(hello) = frame.hello {
        shared.members().join(connection, hello.into(), steady_ms());
    }
    let Some(call) = frame.call else {
        send_heartbeat(tx, heartbeat(&leader.borrow(), shared, connection));
        return;
    };
    let engine = match &*leader.borrow() {
        Leader::Local(engine, _) => Some(engine.clone()),
        _ => None,
    };
    let tx = tx.clone();
    tokio::spawn(async move {
        let reply = match engine {
            Some(engine) => engine.call(Call::from(call)).await,
            None => Err(CallError::NotHandled),
        };
        let frame = Frame {
            id: frame.id,
            reply: Some(ReplyFrame::from(reply)),
            ..Frame::default()
        };
        if tx.send(frame).await.is_err() {
            log::debug!("the connection of a relayed call was lost before the reply");
        }
    });
}

fn send_heartbeat(tx: &mpsc::Sender<Frame>, heartbeat: HeartbeatFrame) {
    let frame = Frame {
        heartbeat: Some(heartbeat),
        ..Frame::default()
    };
    if tx.try_send(frame).is_err() {
        log::debug!("a heartbeat is not sent: the queue of the connection is full");
    }
}

/// Makes the heartbeat reply of this VM to the one at the other end of `connection`.
fn heartbeat(leader: &Leader, shared: &Shared, connection: u64) -> HeartbeatFrame {
    let members = shared.members();
    let heartbeat = HeartbeatFrame {
        boot: shared.boot,
        deputy: members.is_deputy(connection),
        best_milli: members.best_milli(shared.cpu_milli),
        ..HeartbeatFrame::default()
    };
    match leader {
        Leader::Local(engine, _) => HeartbeatFrame {
            leads: true,
            ready: engine.is_ready(),
            confirmed: engine.is_confirmed(),
            ..heartbeat
        },
        Leader::Loading(loading) => HeartbeatFrame {
            loading_epoch: loading.epoch,
            confirmed: loading.is_confirmed(),
            ..heartbeat
        },
        Leader::Unknown | Leader::StoreLost | Leader::Remote(..) => heartbeat,
    }
}
