//! Whether this process may still renew leases, and whether it may count one as lapsed.
//!
//! Without the log, a process renews leases only while it receives heartbeats from a quorum of the
//! VMs and none of them has read further. A process counts a lease as lapsed only if it receives
//! heartbeats from a quorum that has read that the gang stops. Two quorums share a VM, so in a
//! network partition no side renews a lease that the other side counts as lapsed.

use super::View;
use crate::prelude::*;

/// Since when this process has been cut off or behind.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Contact {
    /// Since when neither the log nor a quorum can be reached, in milliseconds of monotonic time.
    alone_ms: Option<u64>,
    behind: Option<Behind>,
}

/// The next control offset of a peer that had read further than this process.
#[derive(Debug, Clone, PartialEq)]
struct Behind {
    control: Offset,
    since_ms: u64,
}

impl Contact {
    /// Returns whether the log or a quorum was reached within `isolated_ms`, and whether this
    /// process has read all that a peer had read by then.
    pub(super) fn check(&mut self, view: &View<'_>) -> bool {
        let now_ms = view.now.mono_ms;
        let limit_ms = view.config().isolated_ms;
        let alone = !view.log_up && !quorum_has_read(view, 0);
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

/// Returns whether a quorum of live VMs, including this one, has read the control stream beyond
/// `offset`.
pub(super) fn quorum_has_read(view: &View<'_>, offset: Offset) -> bool {
    let live = view.peers.live(view.ctx, view.now);
    let peers = live.filter(|peer| peer.beat.control > offset).count() as u64;
    let own = u64::from(view.ledger.next > offset);
    peers + own >= view.ctx.settings.quorum()
}
