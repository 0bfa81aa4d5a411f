//! The numbered events that are logged, and their catalogue, which `docs/EVENTS.md` documents.

use crate::prelude::*;
use log::Level;

/// A kind of logged event.
#[derive(Debug, PartialEq, Eq)]
pub struct NoteKind {
    /// The number; printed with a prefix and four digits, such as `TG0101`.
    pub code: u16,
    /// The name that is printed after the number.
    pub name: &'static str,
    /// The log level.
    pub level: Level,
    /// Whether it is a decision, which is also appended to the audit stream.
    pub audit: bool,
}

/// A `key=value` field of an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoteField {
    /// The key.
    pub key: &'static str,
    /// The value.
    pub value: String,
}

/// One occurrence of an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Note {
    /// The kind of event.
    pub kind: &'static NoteKind,
    /// The identifier of the request, job, worker or VM that it concerns.
    pub id: Name,
    /// The configuration offset in force.
    pub cfg: Offset,
    /// Additional fields.
    pub fields: Vec<NoteField>,
}

impl Note {
    /// Creates an event without additional fields.
    pub fn new(kind: &'static NoteKind, id: &Name, cfg: Offset) -> Self {
        Self {
            kind,
            id: id.clone(),
            cfg,
            fields: Vec::new(),
        }
    }

    /// Adds a field.
    #[must_use]
    pub fn with(mut self, key: &'static str, value: impl ToString) -> Self {
        self.fields.push(NoteField {
            key,
            value: value.to_string(),
        });
        self
    }

    /// Writes the event to the process's log.
    pub fn log(&self) {
        let mut line = format!("TG{:04} {}", self.kind.code, self.kind.name);
        line.push_str(&format!(" id={} cfg={}", self.id, self.cfg));
        for field in &self.fields {
            line.push_str(&format!(" {}={:?}", field.key, field.value));
        }
        log::log!(self.kind.level, "{line}");
    }
}

macro_rules! catalogue {
    ($($name:ident = $code:literal $text:literal $level:ident $audit:literal,)*) => {
        $(
            #[doc = concat!("Event ", $code, ": ", $text, ".")]
            pub static $name: NoteKind = NoteKind {
                code: $code,
                name: $text,
                level: Level::$level,
                audit: $audit,
            };
        )*

        /// All kinds of events, ordered by number.
        pub static CATALOGUE: &[&NoteKind] = &[$(&$name,)*];
    };
}

catalogue! {
    PROCESS_STARTED = 101 "process started" Info false,
    PROCESS_READY = 102 "process ready" Info false,
    PROCESS_DRAINING = 103 "process draining" Info false,
    PROCESS_STOPPED = 104 "process stopped" Info false,
    LOG_DOWN = 201 "log unreachable" Warn false,
    LOG_UP = 202 "log reachable" Info false,
    APPEND_UNCERTAIN = 203 "append outcome uncertain" Warn false,
    RECORD_GARBLED = 204 "record passed over" Error false,
    CHECKPOINT_WRITTEN = 205 "checkpoint written" Info false,
    CHECKPOINT_LOADED = 206 "checkpoint loaded" Info false,
    LEDGER_DIVERGED = 207 "ledger differs from a peer's" Error false,
    AUDIT_DROPPED = 208 "audit records dropped" Error false,
    CONFIG_IN_FORCE = 301 "configuration change in force" Info true,
    CONFIG_REFUSED = 302 "configuration change refused" Warn true,
    CONFIG_TOO_NEW = 303 "configuration schema too new" Error false,
    PEER_SEEN = 401 "peer seen" Info false,
    PEER_LOST = 402 "peer lost" Warn false,
    UPSTREAM_LEAVING = 403 "upstream leaving" Info false,
    UPSTREAM_COOLED = 404 "upstream cooled down" Warn false,
    UPSTREAM_BACK = 405 "upstream back" Info false,
    REQUEST_ACCEPTED = 501 "request accepted" Info true,
    REQUEST_CLAIMED = 502 "request claimed its key" Info true,
    REQUEST_DISPATCHED = 503 "request dispatched" Info true,
    REQUEST_TRY_ENDED = 504 "request try ended" Info true,
    REQUEST_ANSWERED = 505 "request answered" Info true,
    REQUEST_REFUSED = 506 "request refused" Info true,
    REQUEST_DUPLICATE = 507 "duplicate request" Warn true,
    JOB_SUBMITTED = 601 "job submitted" Info true,
    JOB_PLACED = 602 "job placed" Info true,
    JOB_RUNNING = 603 "job running" Info true,
    JOB_STOPPING = 604 "job stopping" Info true,
    JOB_QUEUED = 605 "job queued again" Info true,
    JOB_ENDED = 606 "job ended" Info true,
    JOB_VOID = 607 "job record void" Warn true,
    WORKER_STATE = 701 "worker state changed" Warn true,
}
