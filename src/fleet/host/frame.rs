//! The frames between VMs: length-delimited Protocol Buffers messages.

use super::CallError;
use super::CallResult;
use crate::fleet::election::Heartbeat;
use crate::fleet::election::Member;
use crate::fleet::event::Call;
use crate::fleet::event::Operation;
use crate::fleet::event::Phase;
use crate::fleet::event::Reply;
use crate::fleet::model::Spec;
use crate::prelude::*;
use tokio_util::codec::LengthDelimitedCodec;

/// The largest frame, in bytes: must fit the largest request body of a caller, decoded.
const MAX_FRAME_BYTES: usize = 2 * 1_048_576;

/// Makes the codec of a connection.
pub(super) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// One frame: a call, a reply, or a heartbeat.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Frame {
    /// A number that matches a reply to its call.
    #[prost(uint64, tag = "1")]
    pub(super) id: u64,
    /// A call.
    #[prost(message, optional, tag = "2")]
    pub(super) call: Option<CallFrame>,
    /// A reply.
    #[prost(message, optional, tag = "3")]
    pub(super) reply: Option<ReplyFrame>,
    /// The reply to a heartbeat, with the state of the VM that answers.
    #[prost(message, optional, tag = "4")]
    pub(super) heartbeat: Option<HeartbeatFrame>,
    /// What the connecting VM reports about itself: at first, and after each change.
    #[prost(message, optional, tag = "5")]
    pub(super) hello: Option<Hello>,
}

/// The reply to a heartbeat: what the accepting VM reports about itself.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct HeartbeatFrame {
    /// Whether it leads.
    #[prost(bool, tag = "1")]
    pub(super) leads: bool,
    /// Whether it answers calls.
    #[prost(bool, tag = "2")]
    pub(super) ready: bool,
    /// Whether the store has confirmed its lead lately, or responded to it while it loads.
    #[prost(bool, tag = "3")]
    pub(super) confirmed: bool,
    /// A number that identifies its process.
    #[prost(uint64, tag = "4")]
    pub(super) boot: u64,
    /// The epoch for which it is loading the stored state; 0 if it is not.
    #[prost(uint64, tag = "5")]
    pub(super) loading_epoch: u64,
    /// Whether the connecting VM is a deputy.
    #[prost(bool, tag = "6")]
    pub(super) deputy: bool,
    /// The largest CPU share of the VMs that could lead, in thousandths of a core.
    #[prost(uint64, tag = "7")]
    pub(super) best_milli: u64,
}

impl From<HeartbeatFrame> for Heartbeat {
    fn from(frame: HeartbeatFrame) -> Self {
        Self {
            boot: frame.boot,
            leads: frame.leads,
            loading_epoch: frame.loading_epoch,
            confirmed: frame.confirmed,
            deputy: frame.deputy,
            best_milli: frame.best_milli,
        }
    }
}

/// What the connecting VM reports about itself.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(super) struct Hello {
    /// Its name.
    #[prost(string, tag = "1")]
    pub(super) name: String,
    /// Its data centre.
    #[prost(string, tag = "2")]
    pub(super) centre: String,
    /// Its CPU share, in thousandths of a core.
    #[prost(uint64, tag = "3")]
    pub(super) cpu_milli: u64,
    /// Whether it could lead.
    #[prost(bool, tag = "4")]
    pub(super) eligible: bool,
    /// Where other VMs reach it.
    #[prost(string, tag = "5")]
    pub(super) addr: String,
    /// A number that identifies its process.
    #[prost(uint64, tag = "6")]
    pub(super) boot: u64,
}

impl From<Hello> for Member {
    fn from(hello: Hello) -> Self {
        Self {
            name: hello.name.into(),
            centre: hello.centre.into(),
            cpu_milli: hello.cpu_milli,
            eligible: hello.eligible,
            addr: hello.addr,
            boot: hello.boot,
        }
    }
}

/// A relayed call.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct CallFrame {
    /// 0: submit a job, 1: submit a body that cannot be decoded, 2: read the state, 3: cancel.
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
    /// The job to submit.
    #[prost(message, optional, tag = "5")]
    pub(super) spec: Option<Spec>,
    /// Why the body cannot be decoded.
    #[prost(string, tag = "6")]
    pub(super) fault: String,
    /// A number that identifies the call across leaders.
    #[prost(fixed64, tag = "7")]
    pub(super) nonce: u64,
}

/// The reply to a relayed call.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ReplyFrame {
    /// The kind of reply, in the order of [`Reply`]; 11 if the VM does not lead.
    #[prost(uint32, tag = "1")]
    pub(super) kind: u32,
    /// A wait in milliseconds, a state or a count, depending on the kind.
    #[prost(uint64, tag = "2")]
    pub(super) figure: u64,
    /// The reason of a refusal or of a bad call.
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

impl From<CallResult> for ReplyFrame {
    fn from(answer: CallResult) -> Self {
        let reply = match answer {
            Ok(reply) => reply,
            Err(CallError::NotHandled) => {
                return Self {
                    kind: 11,
                    ..Self::default()
                };
            }
            Err(CallError::OutcomeUnknown) => Reply::Unknown,
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

impl From<ReplyFrame> for CallResult {
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
            11 => return Err(CallError::NotHandled),
            _ => return Err(CallError::OutcomeUnknown),
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
