//! Whether this process may still renew leases, and whether it may count one as lapsed.
//!
//! Without the log a process goes on renewing only while it hears a quorum of the VMs and none of
//! them has read further. A lease is counted as lapsed only by a process that hears a quorum
//! which has read that the gang stops. Two quorums share a VM, so of the two sides of a cut never
//! one renews what the other counts as lapsed.

use super::View;
use crate::prelude::*;

/// Since when this process has been cut off or behind.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Contact {
    /// Since when neither the log nor a quorum is heard, in milliseconds of monotonic time.
    alone_ms: Option<u64>,
    behind: Option<Behind>,
}

/// A control offset that a peer had read and this process had not.
#[derive(Debug, Clone, PartialEq)]
struct Behind {
    control: Offset,
    since_ms: u64,
}

impl Contact {
    /// Tells whether the log or a quorum was heard lately, and whether this process has read what
    /// a peer had read a while ago.
    pub(super) fn check(&mut self, view: &View<'_>) -> bool {
        let now_ms = view.now.mono_ms;
        let limit_ms = view.config().isolated_ms;
        let alone = !view.log_up && !hears_quorum(view, 0);
        let live = view.peers.live(view.ctx, view.now);
        let control = live.map(|peer| peer.beat.control).max().unwrap_or(0);
        if !alone {
            self.alone_ms = None;
        }
        let alone_ms = alone.then(|| *self.alone_ms.get_or_insert(now_ms));
        let next = view.ledger.next;
        self.behind.take_if(|behind| behind.control <= next);
        if self.behind.is_none() && control > next {
            let since_ms = now_ms;
            self.behind = Some(Behind { control, since_ms });
        }
        let behind_ms = self.behind.as_ref().map(|behind| behind.since_ms);
        let long = |since_ms: Option<u64>| since_ms.is_some_and(|ms| now_ms >= ms + limit_ms);
        !long(alone_ms) && !long(behind_ms)
    }
}

/// Tells whether a quorum of the VMs, this one among them, is heard and has read the control
/// stream beyond `offset`.
pub(super) fn hears_quorum(view: &View<'_>, offset: Offset) -> bool {
    let live = view.peers.live(view.ctx, view.now);
    let peers = live.filter(|peer| peer.beat.control > offset).count() as u64;
    let own = u64::from(view.ledger.next > offset);
    peers + own >= view.ctx.settings.quorum()
}
