//! The figures of the small sites that a process of the system or a runner is given.

/// A site.
#[derive(Debug, Clone, Copy)]
pub struct Site {
    /// Its zones.
    pub zones: [&'static str; 3],
    /// Its service.
    pub service: &'static str,
    /// `max-hold-ms`.
    pub max_hold_ms: u64,
    /// `stop-ms`.
    pub stop_ms: u64,
    /// `restore-ms`.
    pub restore_ms: u64,
    /// `reclaim-ms`.
    pub reclaim_ms: u64,
}

/// `arena-juicio`.
pub const ARENA: Site = Site {
    zones: ["monterrico", "champerico", "puerto-san-jose"],
    service: "puntaje-arena",
    max_hold_ms: 6_000,
    stop_ms: 200,
    restore_ms: 600,
    reclaim_ms: 2_700,
};

/// `jugnu-sched`, where the platform does not check fencing tokens.
pub const JUGNU: Site = Site {
    zones: ["gujarat-west-a", "gujarat-west-b", "gujarat-west-c"],
    service: "glowbox",
    max_hold_ms: 10_000,
    stop_ms: 400,
    restore_ms: 250,
    reclaim_ms: 2_900,
};
