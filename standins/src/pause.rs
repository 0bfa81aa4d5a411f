//! Blocks a stand-in's calls while it is frozen.

use tokio::sync::watch;

/// The frozen state of a stand-in, shared by its calls.
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
    /// Freezes the stand-in, or resumes it.
    pub(crate) fn set(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    /// Waits until the stand-in is not frozen.
    pub(crate) async fn resumed(&self) {
        let mut frozen = self.frozen.subscribe();
        drop(frozen.wait_for(|frozen| !frozen).await);
    }
}
