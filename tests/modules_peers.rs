//! Heartbeats between processes over real sockets: invalid frames, dead connections, stale state.

#![expect(clippy::unwrap_used, reason = "helpers of tests")]

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use prost::Message;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;
use trefoilgauge::configs::Settings;
use trefoilgauge::context::Context;
use trefoilgauge::context::Process;
use trefoilgauge::modules::engine;
use trefoilgauge::modules::engine::DiscardEffects;
use trefoilgauge::modules::engine::Engine;
use trefoilgauge::modules::engine::Ports;
use trefoilgauge::modules::peers;
use trefoilgauge::modules::peers::Links;
use trefoilgauge::modules::wire;
use trefoilgauge::platform::Member;
use trefoilgauge::platform::Role;
use trefoilgauge::prelude::*;
use trefoilgauge::records::Batch;
use trefoilgauge::records::BatchId;
use trefoilgauge::records::CONTROL_SCHEMA;
use trefoilgauge::reducer::Event;
use trefoilgauge::reducer::State;

/// A process that exchanges heartbeats with peers.
struct Rig {
    engine: Engine,
    links: Links,
    list: watch::Sender<Vec<Member>>,
}

async fn rig() -> Rig {
    let mut settings = Settings::default();
    settings.peers.beat_ms = 20;
    settings.peers.silent_ms = 400;
    let ctx = Arc::new(Context::new(Process::Entry, settings, 1));
    let (engine, inbox) = engine::channel();
    let ports = Ports {
        append: Box::new(DiscardEffects),
        dispatch: Box::new(DiscardEffects),
        reply: Box::new(DiscardEffects),
        sync: Box::new(DiscardEffects),
        note: Box::new(DiscardEffects),
        checkpoint: Box::new(DiscardEffects),
    };
    engine::spawn(ctx.clone(), State::default(), inbox, ports, Arc::default());
    let (list, lists) = watch::channel(Vec::new());
    let links = peers::bind(ctx, "127.0.0.1:0", Role::Entry, engine.clone(), lists)
        .await
        .unwrap();
    Rig {
        engine,
        links,
        list,
    }
}

fn beat(boot: u64, seq: u64, cfg: u64) -> Bytes {
    let beat = wire::Heartbeat {
        from: "vm-2/entry".into(),
        boot,
        seq,
        cfg,
        ..wire::Heartbeat::default()
    };
    beat.encode_to_vec().into()
}

async fn connect(rig: &Rig) -> Framed<TcpStream, LengthDelimitedCodec> {
    let stream = TcpStream::connect(rig.links.addr).await.unwrap();
    Framed::new(stream, LengthDelimitedCodec::new())
}

async fn known_boot(rig: &Rig) -> Option<u64> {
    let look = |state: &State, _| {
        let peer = state.peers.all.get("vm-2/entry");
        peer.map(|peer| peer.beat.boot)
    };
    rig.engine.query(look).await.unwrap()
}

#[tokio::test]
async fn an_invalid_frame_closes_only_its_own_connection() {
    let rig = rig().await;
    let mut good = connect(&rig).await;
    let frames: [&[u8]; 3] = [
        &[0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff],
        &[0xff, 0xff, 0xff, 0xff, 1, 2, 3],
        b"GET / HTTP/1.1\r\n\r\n",
    ];
    for frame in frames {
        let mut stream = TcpStream::connect(rig.links.addr).await.unwrap();
        stream.write_all(frame).await.unwrap();
        let mut bytes = [0; 16];
        let closed = stream.read(&mut bytes);
        let limit = Duration::from_secs(10);
        let read = tokio::time::timeout(limit, closed).await.unwrap();
        assert!(matches!(read, Ok(0) | Err(_)), "{frame:?}");
    }
    good.send(beat(5, 9, 0)).await.unwrap();
    let ack = good.next().await.unwrap().unwrap();
    assert_eq!(wire::Ack { seq: 9 }, wire::Ack::decode(ack).unwrap());
    assert_eq!(Some(5), known_boot(&rig).await);
}

#[tokio::test]
async fn a_heartbeat_of_an_earlier_boot_is_ignored() {
    let rig = rig().await;
    let mut link = connect(&rig).await;
    for (seq, boot) in [(1, 7), (2, 6)] {
        link.send(beat(boot, seq, 0)).await.unwrap();
        link.next().await.unwrap().unwrap();
    }
    assert_eq!(Some(7), known_boot(&rig).await);
}

#[tokio::test]
async fn a_link_without_acknowledgements_is_reopened() {
    let rig = rig().await;
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    rig.list.send_replace(vec![Member {
        name: "vm-2".into(),
        role: Role::Entry,
        centre: "c".into(),
        addr: silent.local_addr().unwrap().to_string().into(),
        leaving: false,
    }]);
    let mut held = Vec::new();
    for _ in 0..3 {
        let limit = Duration::from_secs(10);
        let link = tokio::time::timeout(limit, silent.accept()).await;
        held.push(link.unwrap().unwrap());
    }
    assert_eq!(3, held.len());
}

#[tokio::test]
async fn a_peer_with_a_newer_configuration_makes_the_process_unready() {
    let rig = rig().await;
    rig.engine.send(Event::Log { up: true }).await;
    let ready = |state: &State, _| state.ready();
    assert_eq!(Some(true), rig.engine.query(ready).await);
    let mut link = connect(&rig).await;
    for seq in 1..2_000 {
        link.send(beat(1, seq, 3)).await.unwrap();
        link.next().await.unwrap().unwrap();
        if rig.engine.query(ready).await == Some(false) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(Some(false), rig.engine.query(ready).await);
    for offset in 0..3 {
        let data = b"{}".to_vec();
        rig.engine.send(Event::Config { offset, data }).await;
    }
    let batch = Batch {
        schema: CONTROL_SCHEMA,
        id: BatchId {
            writer: "vm-2/entry".into(),
            boot: 1,
            seq: 1,
        },
        at_ms: 1,
        cfg: 3,
        entries: Vec::new(),
    };
    rig.engine.send(Event::Control { offset: 0, batch }).await;
    rig.engine.send(Event::Tick).await;
    assert_eq!(Some(true), rig.engine.query(ready).await);
}

#[tokio::test]
async fn a_heartbeat_without_loads_keeps_those_of_the_last_full_one() {
    let rig = rig().await;
    let mut link = connect(&rig).await;
    let loads = vec![wire::Load {
        runner: "runner-1".into(),
        flight: 3,
    }];
    for (seq, same_loads) in [(1, false), (2, true)] {
        let beat = wire::Heartbeat {
            from: "vm-2/entry".into(),
            boot: 1,
            seq,
            same_loads,
            loads: if same_loads {
                Vec::new()
            } else {
                loads.clone()
            },
            ..wire::Heartbeat::default()
        };
        link.send(Bytes::from(beat.encode_to_vec())).await.unwrap();
        link.next().await.unwrap().unwrap();
    }
    let look = |state: &State, _| state.peers.all["vm-2/entry"].beat.loads[0].flight;
    assert_eq!(Some(3), rig.engine.query(look).await);
}
