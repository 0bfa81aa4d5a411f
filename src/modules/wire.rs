//! The wire format between peers: length-delimited Protocol Buffers messages.

use crate::reducer::event;

/// The maximum size of a frame, in bytes.
pub const FRAME_MAX_BYTES: usize = 1_048_576;

/// The number of a process's requests in flight at one runner.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Load {
    /// The runner.
    #[prost(string, tag = "1")]
    pub runner: String,
    /// The number of requests in flight.
    #[prost(uint32, tag = "2")]
    pub flight: u32,
}

/// The state of a process, as sent to its peers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// The sending process, such as `vm-3/entry`.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Its data centre.
    #[prost(string, tag = "2")]
    pub centre: String,
    /// Its start time, in milliseconds of wall time.
    #[prost(uint64, tag = "3")]
    pub boot: u64,
    /// The next control offset that it will apply.
    #[prost(uint64, tag = "4")]
    pub control: u64,
    /// The next configuration offset that it will read.
    #[prost(uint64, tag = "5")]
    pub cfg: u64,
    /// Whether it can reach the log.
    #[prost(bool, tag = "6")]
    pub log_up: bool,
    /// Whether it is leaving, or cannot decide because the configuration needs a newer version.
    #[prost(bool, tag = "7")]
    pub draining: bool,
    /// Its requests in flight, by runner.
    #[prost(message, repeated, tag = "8")]
    pub loads: Vec<Load>,
    /// The control offset of its last ledger hash; 0 if there is none.
    #[prost(uint64, tag = "9")]
    pub digest_at: u64,
    /// Its last ledger hash.
    #[prost(uint64, tag = "10")]
    pub digest: u64,
    /// The number of the heartbeat on its connection, from 1; echoed in the acknowledgement.
    #[prost(uint64, tag = "11")]
    pub seq: u64,
    /// Whether the loads are omitted and those of the connection's last full heartbeat still apply.
    #[prost(bool, tag = "12")]
    pub same_loads: bool,
}

/// The acknowledgement of a heartbeat, which proves that the connection is live.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ack {
    /// The number of the acknowledged heartbeat.
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
