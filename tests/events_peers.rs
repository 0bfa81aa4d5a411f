//! Each loss and each return of a peer is reported once.

use trefoilgauge::configs::Settings;
use trefoilgauge::context::Context;
use trefoilgauge::context::Process;
use trefoilgauge::reducer::Effect;
use trefoilgauge::reducer::Event;
use trefoilgauge::reducer::State;
use trefoilgauge::reducer::event::Heartbeat;
use trefoilgauge::reducer::event::Now;
use trefoilgauge::reducer::step;

fn beat(boot: u64) -> Event {
    Event::Peer(Heartbeat {
        from: "vm-2/entry".into(),
        centre: "c".into(),
        boot,
        control: 0,
        cfg: 0,
        log_up: true,
        draining: false,
        loads: Vec::new(),
        digest: None,
    })
}

#[test]
fn a_peer_is_reported_once_each_time_it_is_seen_or_lost_and_is_removed_at_last() {
    let ctx = Context::new(Process::Entry, Settings::default(), 1);
    let mut state = State::default();
    let mut reported = Vec::new();
    let events = [
        (0, beat(1)),
        (250, beat(1)),
        (1_000, Event::Tick),
        (1_749, Event::Tick),
        (1_750, Event::Tick),
        (2_000, Event::Tick),
        (3_000, beat(2)),
        (3_100, beat(1)),
        (4_500, Event::Tick),
        (604_499, Event::Tick),
    ];
    for (mono_ms, event) in events {
        let now = Now {
            mono_ms,
            wall_ms: mono_ms,
        };
        for effect in step(&ctx, &mut state, now, event) {
            if let Effect::Note(note) = effect {
                reported.push((mono_ms, note.kind.name));
            }
        }
    }
    let expected = [
        (0, "peer seen"),
        (1_750, "peer lost"),
        (3_000, "peer seen"),
        (4_500, "peer lost"),
    ];
    assert_eq!(expected[..], reported[..]);
    assert_eq!(1, state.peers.all.len());
    let now = Now {
        mono_ms: 604_500,
        wall_ms: 0,
    };
    step(&ctx, &mut state, now, Event::Tick);
    assert!(state.peers.all.is_empty());
}
