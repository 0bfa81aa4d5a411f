//! The frames between processes of the system: length-delimited Protocol Buffers messages.

use crate::reducer::event;

/// The largest frame, in bytes.
pub const FRAME_MAX_BYTES: usize = 1_048_576;

/// One process's requests in flight at one runner.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Load {
    /// The runner.
    #[prost(string, tag = "1")]
    pub runner: String,
    /// Requests in flight.
    #[prost(uint32, tag = "2")]
    pub flight: u32,
}

/// What a process says of itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// The process, such as `vm-3/entry`.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Its data centre.
    #[prost(string, tag = "2")]
    pub centre: String,
    /// Its boot.
    #[prost(uint64, tag = "3")]
    pub boot: u64,
    /// The next control offset that it will read.
    #[prost(uint64, tag = "4")]
    pub control: u64,
    /// The highest configuration offset that it has seen.
    #[prost(uint64, tag = "5")]
    pub cfg: u64,
    /// Whether it reaches the log.
    #[prost(bool, tag = "6")]
    pub log_up: bool,
    /// Whether it is leaving.
    #[prost(bool, tag = "7")]
    pub draining: bool,
    /// Its requests in flight.
    #[prost(message, repeated, tag = "8")]
    pub loads: Vec<Load>,
    /// The offset of its last ledger hash, 0 if there is none.
    #[prost(uint64, tag = "9")]
    pub digest_at: u64,
    /// Its last ledger hash.
    #[prost(uint64, tag = "10")]
    pub digest: u64,
    /// Counts the heartbeats of a connection; the other side sends it back.
    #[prost(uint64, tag = "11")]
    pub seq: u64,
    /// Whether the loads are left out and those of the connection's last full heartbeat hold on.
    #[prost(bool, tag = "12")]
    pub same_loads: bool,
}

/// The answer to a heartbeat, which proves that the connection is live.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ack {
    /// The heartbeat's number.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
}

impl From<Heartbeat> for event::Heartbeat {
    fn from(wire: Heartbeat) -> Self {
        let loads = wire.loads.into_iter().map(|load| event::Load {
            runner: load.runner.into(),
            flight: load.flight,
        });
        let digest = (wire.digest_at > 0).then_some(event::Digest {
            at: wire.digest_at,
            hash: wire.digest,
        });
        Self {
            from: wire.from.into(),
            centre: wire.centre.into(),
            boot: wire.boot,
            control: wire.control,
            cfg: wire.cfg,
            log_up: wire.log_up,
            draining: wire.draining,
            loads: loads.collect(),
            digest,
        }
    }
}

impl From<event::Heartbeat> for Heartbeat {
    fn from(beat: event::Heartbeat) -> Self {
        let loads = beat.loads.iter().map(|load| Load {
            runner: load.runner.to_string(),
            flight: load.flight,
        });
        Self {
            from: beat.from.to_string(),
            centre: beat.centre.to_string(),
            boot: beat.boot,
            control: beat.control,
            cfg: beat.cfg,
            log_up: beat.log_up,
            draining: beat.draining,
            loads: loads.collect(),
            digest_at: beat.digest.map_or(0, |digest| digest.at),
            digest: beat.digest.map_or(0, |digest| digest.hash),
            seq: 0,
            same_loads: false,
        }
    }
}
