//! Heartbeats between processes of the same kind, over TCP.
//!
//! Each process sends heartbeats to every peer over a separate connection. If a heartbeat is not
//! acknowledged in time, the connection is closed and opened again, so that a dead connection does
//! not make a live peer look lost for long.

use super::engine::Engine;
use super::wire;
use crate::configs::PeersConfig;
use crate::context::Context;
use crate::platform::Member;
use crate::platform::Role;
use crate::prelude::*;
use crate::reducer::Event;
use crate::reducer::Now;
use crate::reducer::State;
use crate::reducer::event::Heartbeat;
use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use prost::Message;
use std::collections::HashMap;
use std::io;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

/// Every n-th heartbeat of a connection, from the first one on, includes the loads.
const LOADS_EVERY: u64 = 4;
/// The maximum number of peers, and of open incoming connections.
const PEERS_MAX: usize = 256;

/// The tasks that send and receive heartbeats; aborted when this is dropped.
#[derive(Debug)]
pub struct Links {
    /// The bound address.
    pub addr: std::net::SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Links {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Binds `listen` and starts exchanging heartbeats with the processes of `role` in the list.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn bind(
    ctx: Arc<Context>,
    listen: &str,
    role: Role,
    engine: Engine,
    list: watch::Receiver<Vec<Member>>,
) -> io::Result<Links> {
    let listener = TcpListener::bind(listen).await?;
    let addr = listener.local_addr()?;
    let accepting = accept(listener, ctx.settings.peers.clone(), engine.clone());
    let sending = maintain_links(ctx, role, engine, list);
    let tasks = vec![tokio::spawn(accepting), tokio::spawn(sending)];
    Ok(Links { addr, tasks })
}

/// Builds the heartbeat of this process from its state.
pub fn heartbeat(ctx: &Context, state: &State, _now: Now) -> Heartbeat {
    Heartbeat {
        from: ctx.writer.clone(),
        centre: ctx.settings.centre.clone(),
        boot: ctx.boot,
        control: state.ledger.next,
        cfg: state.staged.next.max(state.ledger.catalog.next),
        log_up: state.log_up,
        draining: state.leaving || state.ledger.catalog.too_new.is_some(),
        loads: state.requests.loads(),
        digest: state.digest,
    }
}

async fn accept(listener: TcpListener, config: PeersConfig, engine: Engine) {
    let mut links = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(config.beat_ms)).await;
            continue;
        };
        while links.try_join_next().is_some() {}
        if links.len() >= PEERS_MAX {
            continue;
        }
        links.spawn(receive_heartbeats(stream, config.silent_ms, engine.clone()));
    }
}

/// Receives heartbeats until the connection is silent or sends an invalid frame.
async fn receive_heartbeats(stream: TcpStream, silent_ms: u64, engine: Engine) {
    let mut frames = framed(stream);
    let limit = Duration::from_millis(silent_ms);
    let mut loads = Vec::new();
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(limit, frames.next()).await {
        let Ok(mut beat) = wire::Heartbeat::decode(frame) else {
            log::warn!("a peer sent a frame that is not a valid heartbeat; closing the connection");
            return;
        };
        match beat.same_loads {
            true => beat.loads.clone_from(&loads),
            false => loads.clone_from(&beat.loads),
        }
        let ack = wire::Ack { seq: beat.seq };
        if !engine.try_send(Event::Peer(beat.into())) {
            metrics::counter!("peer_beats_dropped").increment(1);
        }
        let ack = Bytes::from(ack.encode_to_vec());
        if frames.send(ack).await.is_err() {
            return;
        }
    }
}

/// Maintains one sending task for each peer in the list.
async fn maintain_links(
    ctx: Arc<Context>,
    role: Role,
    engine: Engine,
    mut list: watch::Receiver<Vec<Member>>,
) {
    let mut links: HashMap<Name, JoinHandle<()>> = HashMap::new();
    loop {
        let addrs = peer_addrs(&ctx, role, &list.borrow_and_update());
        links.retain(|addr, link| {
            let stays = addrs.contains(addr);
            if !stays {
                link.abort();
            }
            stays
        });
        for addr in addrs {
            links
                .entry(addr.clone())
                .or_insert_with(|| tokio::spawn(keep_link(ctx.clone(), addr, engine.clone())));
        }
        if list.changed().await.is_err() {
            return;
        }
    }
}

fn peer_addrs(ctx: &Context, role: Role, list: &[Member]) -> Vec<Name> {
    let others = list
        .iter()
        .filter(|vm| vm.role == role && vm.name != ctx.settings.vm);
    others.take(PEERS_MAX).map(|vm| vm.addr.clone()).collect()
}

async fn keep_link(ctx: Arc<Context>, addr: Name, engine: Engine) {
    loop {
        let limit = Duration::from_millis(ctx.settings.peers.silent_ms);
        if let Ok(Ok(stream)) = tokio::time::timeout(limit, TcpStream::connect(&*addr)).await {
            send_heartbeats(&ctx, stream, &engine).await;
        }
        tokio::time::sleep(Duration::from_millis(ctx.settings.peers.beat_ms)).await;
    }
}

async fn send_heartbeats(ctx: &Arc<Context>, stream: TcpStream, engine: &Engine) {
    let config = &ctx.settings.peers;
    let limit = Duration::from_millis(config.silent_ms);
    let mut frames = framed(stream);
    for seq in 1.. {
        let own = ctx.clone();
        let beat = engine.query(move |state, now| heartbeat(&own, state, now));
        let Some(beat) = beat.await else {
            return;
        };
        let mut frame = wire::Heartbeat::from(beat);
        frame.seq = seq;
        frame.same_loads = seq % LOADS_EVERY != 1;
        if frame.same_loads {
            frame.loads.clear();
        }
        let bytes = frame.encode_to_vec();
        metrics::counter!("peer_bytes").increment(bytes.len() as u64);
        let sent = frames.send(Bytes::from(bytes));
        if !matches!(tokio::time::timeout(limit, sent).await, Ok(Ok(()))) {
            return;
        }
        let Ok(Some(Ok(ack))) = tokio::time::timeout(limit, frames.next()).await else {
            return;
        };
        if !wire::Ack::decode(ack).is_ok_and(|ack| ack.seq == seq) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(config.beat_ms)).await;
    }
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    drop(stream.set_nodelay(true));
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(wire::FRAME_MAX_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}
