//! When a leader may send orders, by what it knows of its lead.

use insta::assert_snapshot;
use std::fmt::Write;
use trefoilgauge::fleet::Effect;
use trefoilgauge::fleet::mandate::Mandate;
use trefoilgauge::fleet::model::RunId;
use trefoilgauge::fleet::model::TaskId;

fn run() -> RunId {
    RunId {
        task: TaskId {
            job: "00000000000000a1".into(),
            turn: 0,
            step: 0,
            index: 0,
        },
        number: 1,
    }
}

fn orders() -> [(&'static str, Effect); 3] {
    let start = Effect::Start {
        at: "upstream".into(),
        addr: "10.0.0.1:80".into(),
        life: 0,
        run: run(),
        text: "text".into(),
        until_ms: 0,
        saved: String::new(),
        ticket: "".into(),
    };
    let stop = Effect::Stop {
        at: "upstream".into(),
        addr: "10.0.0.1:80".into(),
        life: 0,
        run: run(),
    };
    let down = Effect::TakeDown {
        machine: "machine".into(),
        wave: 1,
    };
    [("start", start), ("stop", stop), ("take down", down)]
}

fn permits(mandate: Mandate, now: u64) -> String {
    orders()
        .map(|(name, order)| format!("{name} {:?}", mandate.permit(&order, now)))
        .join(", ")
}

/// Guards against TWICE: an order that was decided before a suspension is sent after it.
#[test]
fn orders_that_begin_something_wait_for_a_confirmation_after_a_suspension() {
    let mut lines = String::new();
    let mut line = |what: &str, mandate: Mandate, now| {
        let _infallible = writeln!(lines, "{what}: {}", permits(mandate, now));
    };
    let mut mandate = Mandate::new(1_000);
    line("a confirmed lead", mandate, 1_100);
    assert_eq!(mandate.note_awake(1_240), None);
    line("after a short pause", mandate, 1_240);
    assert_eq!(mandate.note_awake(5_040), Some(3_800));
    line("after a suspension of 3.8 s", mandate, 5_040);
    mandate.confirm(1_230);
    line("an append of before it is answered", mandate, 5_041);
    mandate.confirm(5_042);
    line("an append of after it is answered", mandate, 5_050);
    line("without an answer for 7 s", mandate, 12_042);
    line("without an answer for longer", mandate, 12_043);
    assert_snapshot!(lines, @r"
    a confirmed lead: start Send, stop Send, take down Send
    after a short pause: start Send, stop Send, take down Send
    after a suspension of 3.8 s: start Confirm, stop Send, take down Confirm
    an append of before it is answered: start Confirm, stop Send, take down Confirm
    an append of after it is answered: start Send, stop Send, take down Send
    without an answer for 7 s: start Send, stop Send, take down Send
    without an answer for longer: start Resign(7001), stop Resign(7001), take down Resign(7001)
    ");
}
