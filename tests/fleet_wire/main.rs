//! Rows and frames between VMs in the form of an earlier build: this build reads what the earlier one
//! writes, and the earlier one what this build writes.

#![expect(
    clippy::unwrap_used,
    clippy::panic,
    reason = "helpers of tests may panic"
)]

mod earlier;
mod parts;

use bytes::Bytes;
use earlier::bytes;
use earlier::extended;
use earlier::field;
use earlier::hex;
use futures_util::SinkExt;
use futures_util::StreamExt;
use parts::MemoryStore;
use parts::call;
use parts::free_addr;
use parts::listen;
use parts::spawn;
use parts::wait_until;
use prost::Message;
use std::fmt::Debug;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;
use trefoilgauge::fleet::clock::wall_ms;
use trefoilgauge::fleet::election::EpochCount;
use trefoilgauge::fleet::election::LeadState;
use trefoilgauge::fleet::election::LeaderRow;
use trefoilgauge::fleet::event::Operation;
use trefoilgauge::fleet::event::Phase;
use trefoilgauge::fleet::event::Reply;
use trefoilgauge::fleet::model::Spec;
use trefoilgauge::fleet::model::Step;
use trefoilgauge::fleet::ports::Area;
use trefoilgauge::fleet::ports::Rows;
use trefoilgauge::fleet::row::JobRow;
use trefoilgauge::fleet::row::Row;
use trefoilgauge::fleet::row::StateRow;
use trefoilgauge::fleet::row::TaskRow;
use trefoilgauge::fleet::row::WaveRow;
use trefoilgauge::fleet::token::EPOCH_STEP;
use trefoilgauge::prelude::*;

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// A scheduled job whose second step sets every field.
const JOB_ROW: &str = "0a017112017418fbd095ffbc31224f0a04746578741205080110e8071234080210e807186420\
    01289003320100380140014a0472312d335201615803600168017205696d616765780180010188013290010118\
    80d095ffbc312088272803290807060504030201";
/// A job with one step of two tasks.
const ONE_STEP_ROW: &str =
    "0a017112017418fbd095ffbc31220d0a04746578741205080210e807290700000000000000";
/// A task in its third run after a failure, with a checkpoint.
const TASK_ROW: &str = "0803100122043030626228023002";
/// An open job with that task and another that is done.
const STATE_ROW: &str =
    "1a1d10fbd095ffbc311a0e08031001220430306262280230021a0408011801200128013203692d313203692d32";
const COMPLETED_ROW: &str = "0801108f9e96ffbc3120012801";
const FAILED_ROW: &str = "0802108f9e96ffbc3120012801";
const CANCELLED_ROW: &str = "0803108f9e96ffbc3120012801";
const WAVE_ROW: &str = "0a036d2d3112036d2d3212036d2d3318012001";
const LEADER_ROW: &str = "08071204766d2d311a0e3132372e302e302e313a39303030206328013a04766d2d32";
const EPOCH_COUNT: &str = "08071003";

const SUBMIT: &str = "0801123a1204686f73741a132f712f3030303030303030303030303030616122056b65792d31\
    2a0d0a04746578741205080210e807390900000000000000";
const MALFORMED: &str = "0802123708011204686f73741a132f712f3030303030303030303030303030616122056b65\
    792d3132086e6f207374657073390900000000000000";
const READ: &str = "0803122d08021204686f73741a132f712f3030303030303030303030303030616122056b65792d31\
    390900000000000000";
const CANCEL: &str = "0804122d08031204686f73741a132f712f3030303030303030303030303030616122056b65792d\
    31390900000000000000";
const HELLO: &str = "2a140a04766d2d391207636f6173742d3918fa012001";
/// The reply to a heartbeat of a leader that is ready.
const HEARTBEAT: &str = "220d0801100118012063300138e807";

/// The tag of the time at which a job was closed.
const CLOSED_MS_TAG: u32 = 2;
/// The tags of the messages in a frame.
const CALL_TAG: u8 = 2;
const REPLY_TAG: u8 = 3;
const HEARTBEAT_TAG: u8 = 4;
const HELLO_TAG: u8 = 5;

/// The replies of a leader, each with what the caller gets.
fn replies() -> Vec<(&'static str, Reply)> {
    vec![
        ("", Reply::Accepted),
        (
            "080110dc0b",
            Reply::Refused {
                wait_ms: 1_500,
                why: "refused by the leader",
            },
        ),
        ("08021003", Reply::State(Phase::Failed)),
        ("0803100c", Reply::Waiting(12)),
        ("0804", Reply::Cancelled),
        ("0805", Reply::Gone),
        ("0806", Reply::NoQueue),
        ("0807", Reply::BadKey),
        (
            "08081a086e6f207374657073",
            Reply::Bad("no steps".to_owned()),
        ),
        ("080a10bc05", Reply::Unavailable { wait_ms: 700 }),
    ]
}

/// Checks that a message decodes, with and without fields that are not declared yet, and is encoded
/// again in the same form.
fn check_message<T: Message + Debug + Default + PartialEq>(golden: &str) -> T {
    let message = T::decode(&*bytes(golden)).unwrap();
    assert_eq!(hex(&message.encode_to_vec()), golden);
    let later = T::decode(&*extended(bytes(golden))).unwrap();
    assert_eq!(later, message);
    message
}

#[test]
fn rows_of_an_earlier_build_decode_and_are_encoded_in_the_same_form() {
    let job: JobRow = check_message(JOB_ROW);
    let spec = job.spec.unwrap();
    let full = Step {
        count: 2,
        cpu: 1_000,
        memory: 100,
        accelerators: 1,
        estimate_ms: 400,
        after: vec![0],
        gang: true,
        one_rack: true,
        data_rack: "r1-3".to_owned(),
        label: "a".to_owned(),
        upstream_limit: 3,
        checkpointing: true,
        long_running: true,
        image: "image".to_owned(),
        fills: true,
        speculative: true,
        target_ms: 50,
        may_miss: 1,
    };
    assert_eq!(spec.steps[1], full);
    assert_eq!(
        (&*spec.text, spec.times, spec.interval_ms),
        ("text", 3, 5_000)
    );
    assert_eq!((&*job.queue, &*job.workspace), ("q", "t"));
    assert_eq!(job.nonce, 0x0102_0304_0506_0708);

    let state: StateRow = check_message(STATE_ROW);
    let task: TaskRow = check_message(TASK_ROW);
    assert_eq!(
        (task.runs, task.fails, task.at, task.failed_run),
        (3, 1, 2, 2)
    );
    assert_eq!((&*task.saved, task.done), ("00bb", false));
    assert_eq!(state.turns[0].tasks[0], task);
    assert!(state.turns[0].tasks[1].done && state.begun);
    assert_eq!(state.upstreams, ["i-1", "i-2"]);
    for (golden, closed) in [(COMPLETED_ROW, 1), (FAILED_ROW, 2), (CANCELLED_ROW, 3)] {
        assert_eq!(check_message::<StateRow>(golden).closed, closed);
    }

    let wave: WaveRow = check_message(WAVE_ROW);
    assert_eq!((wave.ordered.len(), wave.done.len()), (1, 2));
    assert!(wave.completed && wave.announced);
    let leader: LeaderRow = check_message(LEADER_ROW);
    assert_eq!((leader.epoch, leader.boot, leader.vacant), (7, 99, true));
    assert_eq!(
        (&*leader.addr, &*leader.successor),
        ("127.0.0.1:9000", "vm-2")
    );
    let count: EpochCount = check_message(EPOCH_COUNT);
    assert_eq!((count.epoch, count.number), (7, 3));
}

#[test]
fn undeclared_fields_of_a_task_are_skipped() {
    let task = field(3, &extended(bytes(TASK_ROW)));
    let turn = field(3, &extended(task));
    let state = StateRow::decode(&*extended(turn)).unwrap();
    let task = TaskRow::decode(&*bytes(TASK_ROW)).unwrap();
    assert_eq!(state.turns[0].tasks, [task]);
}

#[test]
fn the_lead_area_of_an_earlier_build_is_read() {
    let row = |key: &str, value: Vec<u8>| Row {
        key: key.to_owned(),
        value,
    };
    let rows = vec![
        row("leader", extended(bytes(LEADER_ROW))),
        row("doubt", bytes(EPOCH_COUNT)),
        row("answer", extended(bytes(EPOCH_COUNT))),
        row("later", b"kind of row that is not known yet".to_vec()),
    ];
    let lead = LeadState::read(&Rows { rows, end: 4 });
    assert_eq!((lead.epoch(), lead.answers(), lead.end), (7, 3, 4));
    assert!(lead.is_challenged());
}

#[tokio::test]
async fn jobs_that_an_earlier_build_stored_are_loaded() {
    let store = Arc::new(MemoryStore::default());
    let states = [
        (STATE_ROW, Phase::Running),
        (COMPLETED_ROW, Phase::Completed),
        (FAILED_ROW, Phase::Failed),
        (CANCELLED_ROW, Phase::Cancelled),
    ];
    for (id, (state, _)) in (1..).zip(states) {
        let key = format!("{id:016x}");
        // A closed job is shown for some time; the last value of a field counts.
        let mut state = bytes(state);
        prost::encoding::uint64::encode(CLOSED_MS_TAG, &wall_ms(), &mut state);
        store.put(
            Area::Jobs,
            &format!("j.{key}"),
            extended(bytes(ONE_STEP_ROW)),
        );
        store.put(Area::Jobs, &format!("s.{key}"), extended(state));
    }
    store.put(Area::Jobs, "w.4", extended(bytes(WAVE_ROW)));
    store.put(
        Area::Jobs,
        "later",
        b"kind of row that is not known yet".to_vec(),
    );
    store.put(Area::Lead, "leader", bytes(LEADER_ROW));
    let vm = spawn("vm-2", &store, free_addr()).await;
    wait_until(|| vm.is_ready()).await;
    assert_eq!(store.lead().epoch(), 7 + EPOCH_STEP);
    for (id, (_, phase)) in (1..).zip(states) {
        let reply = vm.call(call(id, Operation::State), 1_000).await;
        assert_eq!(reply, Reply::State(phase), "job {id}");
    }
}

#[tokio::test]
async fn rows_of_this_build_are_read_by_an_earlier_one() {
    let store = Arc::new(MemoryStore::default());
    let vm = spawn("vm-2", &store, free_addr()).await;
    wait_until(|| vm.is_ready()).await;
    let spec = Spec {
        text: "text".to_owned(),
        steps: vec![Step {
            count: 2,
            ..Step::default()
        }],
        ..Spec::default()
    };
    let submit = Operation::Submit(Arc::new(spec.clone()));
    assert_eq!(vm.call(call(1, submit), 2_000).await, Reply::Accepted);
    assert_eq!(
        vm.call(call(1, Operation::Cancel), 2_000).await,
        Reply::Cancelled
    );
    let newest = |area, key: &str| store.newest(area, key).unwrap();
    let job = newest(Area::Jobs, "j.0000000000000001");
    let job = earlier::JobRow::decode(&*job).unwrap();
    assert_eq!((&*job.queue, job.spec), ("q", Some(spec)));
    let state = newest(Area::Jobs, "s.0000000000000001");
    let state = earlier::StateRow::decode(&*state).unwrap();
    assert_eq!((state.closed, state.begun), (3, false));
    let leader = newest(Area::Lead, "leader");
    let leader = earlier::LeaderRow::decode(&*leader).unwrap();
    assert_eq!(
        (leader.epoch, &*leader.name, leader.vacant),
        (EPOCH_STEP, "vm-2", false)
    );
}

/// Receives the next frame for which `select` returns something.
async fn receive<T>(frames: &mut Frames, select: impl Fn(earlier::Frame) -> Option<T>) -> T {
    let next = async {
        loop {
            let bytes = frames.next().await.unwrap().unwrap();
            if let Some(found) = select(earlier::Frame::decode(&*bytes).unwrap()) {
                return found;
            }
        }
    };
    timeout(Duration::from_secs(4), next).await.unwrap()
}

async fn send(frames: &mut Frames, frame: Vec<u8>) {
    frames.send(Bytes::from(frame)).await.unwrap();
}

/// Relays the calls of an earlier build to a VM of this build; `alter` changes each frame.
async fn relay_calls(alter: impl Fn(&str, u8) -> Vec<u8>) {
    let store = Arc::new(MemoryStore::default());
    let addr = free_addr();
    let vm = spawn("vm-2", &store, addr).await;
    wait_until(|| vm.is_ready()).await;
    let stream = TcpStream::connect(addr).await.unwrap();
    let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
    send(&mut frames, alter(HELLO, HELLO_TAG)).await;
    let heartbeat = receive(&mut frames, |frame| frame.heartbeat).await;
    assert!(heartbeat.leads && heartbeat.ready, "{heartbeat:?}");
    assert_eq!((heartbeat.boot, heartbeat.best_milli), (1, 1_000));
    let expected = [
        (SUBMIT, 0, 0, ""),
        (MALFORMED, 8, 0, "no steps"),
        (READ, 2, 0, ""),
        (CANCEL, 4, 0, ""),
    ];
    for (id, (call, kind, figure, text)) in (1..).zip(expected) {
        send(&mut frames, alter(call, CALL_TAG)).await;
        let of_call = |frame: earlier::Frame| frame.reply.filter(|_| frame.id == id);
        let reply = receive(&mut frames, of_call).await;
        assert_eq!(
            (reply.kind, reply.figure, &*reply.text),
            (kind, figure, text)
        );
    }
}

#[tokio::test]
async fn calls_that_an_earlier_build_relays_are_answered() {
    relay_calls(|frame, _| bytes(frame)).await;
}

#[tokio::test]
async fn undeclared_fields_of_relayed_calls_are_skipped() {
    // A second message under one tag is merged into the first one.
    relay_calls(|frame, tag| extended([bytes(frame), field(tag, &extended(Vec::new()))].concat()))
        .await;
}

/// Relays calls of this build to a leader of an earlier build; `alter` changes each frame.
async fn answer_calls(alter: impl Fn(Vec<u8>, u8) -> Vec<u8>) {
    let (listener, addr) = listen();
    let leader = earlier::LeaderRow {
        epoch: 7,
        name: "vm-1".to_owned(),
        addr: addr.to_string(),
        boot: 99,
        ..earlier::LeaderRow::default()
    };
    let store = Arc::new(MemoryStore::default());
    store.put(Area::Lead, "leader", leader.encode_to_vec());
    let vm = spawn("vm-2", &store, free_addr()).await;
    let accepted = timeout(Duration::from_secs(4), listener.accept()).await;
    let (stream, _) = accepted.unwrap().unwrap();
    let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
    let hello = receive(&mut frames, |frame| frame.hello).await;
    assert_eq!((&*hello.name, &*hello.centre), ("vm-2", "coast-1"));
    assert_eq!((hello.cpu_milli, hello.eligible), (1_000, true));
    send(&mut frames, alter(bytes(HEARTBEAT), HEARTBEAT_TAG)).await;
    wait_until(|| vm.is_ready()).await;
    let spec = Spec {
        text: "text".to_owned(),
        ..Spec::default()
    };
    let operations = [
        (Operation::Submit(Arc::new(spec.clone())), 0),
        (Operation::Malformed("no steps".to_owned()), 1),
        (Operation::State, 2),
        (Operation::Cancel, 3),
    ];
    for (number, (reply, expected)) in replies().into_iter().enumerate() {
        let (operation, kind) = operations[number % operations.len()].clone();
        let answer = async {
            let (id, call) =
                receive(&mut frames, |frame| frame.call.map(|call| (frame.id, call))).await;
            assert_eq!((call.kind, &*call.host), (kind, "host"));
            assert_eq!(call.path, "/q/0000000000000001");
            assert_eq!(call.spec, (kind == 0).then(|| spec.clone()));
            assert_eq!(call.fault, if kind == 1 { "no steps" } else { "" });
            assert!(call.nonce != 0);
            let id = earlier::Frame {
                id,
                ..earlier::Frame::default()
            };
            let reply = [id.encode_to_vec(), field(REPLY_TAG, &bytes(reply))].concat();
            send(&mut frames, alter(reply, REPLY_TAG)).await;
        };
        let call = vm.call(call(1, operation), 2_000);
        let (reply, ()) = tokio::join!(call, answer);
        assert_eq!(reply, expected);
    }
}

#[tokio::test]
async fn replies_of_an_earlier_build_are_understood() {
    answer_calls(|frame, _| frame).await;
}

#[tokio::test]
async fn undeclared_fields_of_replies_are_skipped() {
    answer_calls(|frame, tag| extended([frame, field(tag, &extended(Vec::new()))].concat())).await;
}
