//! The frames between VMs: length-delimited Protocol Buffers messages.

use super::Answer;
use super::Missed;
use crate::fleet::election::Member;
use crate::fleet::election::Pulse;
use crate::fleet::event::Call;
use crate::fleet::event::Operation;
use crate::fleet::event::Phase;
use crate::fleet::event::Reply;
use crate::fleet::model::Spec;
use crate::prelude::*;
use tokio_util::codec::LengthDelimitedCodec;

/// The largest frame, in bytes: the largest body of a caller, decoded.
const FRAME_MAX_BYTES: usize = 2 * 1_048_576;

/// Makes the codec of a connection.
pub(super) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_MAX_BYTES)
        .new_codec()
}

/// One frame: a call, a reply, or a sign of life.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Frame {
    /// Pairs a reply with its call.
    #[prost(uint64, tag = "1")]
    pub(super) id: u64,
    /// A call.
    #[prost(message, optional, tag = "2")]
    pub(super) call: Option<CallFrame>,
    /// A reply.
    #[prost(message, optional, tag = "3")]
    pub(super) reply: Option<ReplyFrame>,
    /// The state of the VM that answers a sign of life.
    #[prost(message, optional, tag = "4")]
    pub(super) pulse: Option<PulseFrame>,
    /// What the VM that connects says of itself: first, and when it has changed.
    #[prost(message, optional, tag = "5")]
    pub(super) hello: Option<Hello>,
}

/// What the VM that is connected to says of itself.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct PulseFrame {
    /// Whether it leads.
    #[prost(bool, tag = "1")]
    pub(super) leads: bool,
    /// Whether it answers calls.
    #[prost(bool, tag = "2")]
    pub(super) ready: bool,
    /// Whether the store has answered it lately.
    #[prost(bool, tag = "3")]
    pub(super) proven: bool,
    /// Identifies its process.
    #[prost(uint64, tag = "4")]
    pub(super) boot: u64,
    /// The epoch that it loads, else 0.
    #[prost(uint64, tag = "5")]
    pub(super) loads: u64,
    /// Whether the VM that connected is to watch it closely.
    #[prost(bool, tag = "6")]
    pub(super) deputy: bool,
    /// The largest share of a processor among VMs that could lead, in thousandths of a core.
    #[prost(uint64, tag = "7")]
    pub(super) best_milli: u64,
}

impl From<PulseFrame> for Pulse {
    fn from(frame: PulseFrame) -> Self {
        Self {
            boot: frame.boot,
            leads: frame.leads,
            loads: frame.loads,
            proven: frame.proven,
            deputy: frame.deputy,
            best_milli: frame.best_milli,
        }
    }
}

/// What a VM that connects says of itself.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(super) struct Hello {
    /// Its name.
    #[prost(string, tag = "1")]
    pub(super) name: String,
    /// Its data centre.
    #[prost(string, tag = "2")]
    pub(super) centre: String,
    /// Its share of a processor, in thousandths of a core.
    #[prost(uint64, tag = "3")]
    pub(super) milli: u64,
    /// Whether it could lead.
    #[prost(bool, tag = "4")]
    pub(super) fit: bool,
}

impl From<Hello> for Member {
    fn from(hello: Hello) -> Self {
        Self {
            name: hello.name.into(),
            centre: hello.centre.into(),
            milli: hello.milli,
            fit: hello.fit,
        }
    }
}

/// A call of a caller.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct CallFrame {
    /// 0 submit, 1 submit a body that cannot be read, 2 state, 3 cancel.
    #[prost(uint32, tag = "1")]
    pub(super) kind: u32,
    /// The host that the caller named.
    #[prost(string, tag = "2")]
    pub(super) host: String,
    /// The path that the caller named.
    #[prost(string, tag = "3")]
    pub(super) path: String,
    /// The caller's key.
    #[prost(string, tag = "4")]
    pub(super) key: String,
    /// The job.
    #[prost(message, optional, tag = "5")]
    pub(super) spec: Option<Spec>,
    /// Why the body cannot be read.
    #[prost(string, tag = "6")]
    pub(super) fault: String,
    /// Identifies the call across leaders.
    #[prost(fixed64, tag = "7")]
    pub(super) nonce: u64,
}

/// A reply.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ReplyFrame {
    /// The kind of reply, in the order of [`Reply`]; 11 where the VM does not lead.
    #[prost(uint32, tag = "1")]
    pub(super) kind: u32,
    /// A wait, a state or a count.
    #[prost(uint64, tag = "2")]
    pub(super) figure: u64,
    /// A reason.
    #[prost(string, tag = "3")]
    pub(super) text: String,
}

impl From<Call> for CallFrame {
    fn from(call: Call) -> Self {
        let (kind, spec, fault) = match call.operation {
            Operation::Submit(spec) => (0, Some(Arc::unwrap_or_clone(spec)), String::new()),
            Operation::Malformed(fault) => (1, None, fault),
            Operation::State => (2, None, String::new()),
            Operation::Cancel => (3, None, String::new()),
        };
        Self {
            kind,
            host: call.host,
            path: call.path,
            key: call.key,
            spec,
            fault,
            nonce: call.nonce,
        }
    }
}

impl From<CallFrame> for Call {
    fn from(frame: CallFrame) -> Self {
        let ask = match frame.kind {
            0 => Operation::Submit(Arc::new(frame.spec.unwrap_or_default())),
            1 => Operation::Malformed(frame.fault),
            3 => Operation::Cancel,
            _ => Operation::State,
        };
        Self {
            host: frame.host,
            path: frame.path,
            key: frame.key,
            operation: ask,
            nonce: frame.nonce,
        }
    }
}

impl From<Answer> for ReplyFrame {
    fn from(answer: Answer) -> Self {
        let reply = match answer {
            Ok(reply) => reply,
            Err(Missed::Declined) => {
                return Self {
                    kind: 11,
                    ..Self::default()
                };
            }
            Err(Missed::Lost) => Reply::Unknown,
        };
        let (kind, figure, text) = match reply {
            Reply::Accepted => (0, 0, String::new()),
            Reply::Refused { wait_ms, why } => (1, wait_ms, why.to_owned()),
            Reply::State(phase) => (2, phase_code(phase), String::new()),
            Reply::Waiting(count) => (3, count, String::new()),
            Reply::Cancelled => (4, 0, String::new()),
            Reply::Gone => (5, 0, String::new()),
            Reply::NoQueue => (6, 0, String::new()),
            Reply::BadKey => (7, 0, String::new()),
            Reply::Bad(text) => (8, 0, text),
            Reply::Unknown => (9, 0, String::new()),
            Reply::Unavailable { wait_ms } => (10, wait_ms, String::new()),
        };
        Self { kind, figure, text }
    }
}

impl From<ReplyFrame> for Answer {
    fn from(frame: ReplyFrame) -> Self {
        Ok(match frame.kind {
            0 => Reply::Accepted,
            1 => Reply::Refused {
                wait_ms: frame.figure,
                why: "refused by the leader",
            },
            2 => Reply::State(phase_of(frame.figure)),
            3 => Reply::Waiting(frame.figure),
            4 => Reply::Cancelled,
            5 => Reply::Gone,
            6 => Reply::NoQueue,
            7 => Reply::BadKey,
            8 => Reply::Bad(frame.text),
            10 => Reply::Unavailable {
                wait_ms: frame.figure,
            },
            11 => return Err(Missed::Declined),
            _ => return Err(Missed::Lost),
        })
    }
}

fn phase_code(phase: Phase) -> u64 {
    match phase {
        Phase::Queued => 0,
        Phase::Running => 1,
        Phase::Completed => 2,
        Phase::Failed => 3,
        Phase::Cancelled => 4,
    }
}

fn phase_of(code: u64) -> Phase {
    match code {
        1 => Phase::Running,
        2 => Phase::Completed,
        3 => Phase::Failed,
        4 => Phase::Cancelled,
        _ => Phase::Queued,
    }
}
