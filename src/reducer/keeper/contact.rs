//! Whether this process may still renew leases.

use super::View;
use crate::prelude::*;

/// Since when this process has been cut off or behind.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Contact {
    /// Since when neither log nor peer is heard, in milliseconds of monotonic time.
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
    /// Tells whether the log or a peer was heard lately, and whether this process has read what
    /// a peer had read a while ago.
    pub(super) fn check(&mut self, view: &View<'_>) -> bool {
        let now_ms = view.now.mono_ms;
        let limit_ms = view.config().isolated_ms;
        let mut alone = !view.log_up;
        let mut control = 0;
        for peer in view.peers.live(view.ctx, view.now) {
            alone = false;
            control = control.max(peer.beat.control);
        }
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
