//! Holds a stand-in's calls while it is frozen.

use tokio::sync::watch;

/// Whether a stand-in is frozen.
#[derive(Debug, Clone)]
pub(crate) struct Pause {
    frozen: watch::Sender<bool>,
}

impl Default for Pause {
    fn default() -> Self {
        Self {
            frozen: watch::Sender::new(false),
        }
    }
}

impl Pause {
    /// Freezes or thaws.
    pub(crate) fn set(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    /// Returns once nothing is frozen.
    pub(crate) async fn passed(&self) {
        let mut frozen = self.frozen.subscribe();
        drop(frozen.wait_for(|frozen| !frozen).await);
    }
}
