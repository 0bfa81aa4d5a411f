//! A relay in front of a runner that can be cut: open connections are reset and new ones are closed
//! at once, until the cut ends.

use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// A handle of the running relay.
#[derive(Debug, Clone)]
pub(crate) struct Relay {
    pub(crate) addr: SocketAddr,
    cut: Arc<watch::Sender<bool>>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub(crate) async fn spawn(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let cut = Arc::new(watch::channel(false).0);
        let state = cut.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(forward(stream, target, state.subscribe()));
            }
        });
        Self { addr, cut }
    }

    /// Begins or ends the cut.
    pub(crate) fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

async fn forward(mut caller: TcpStream, target: SocketAddr, mut cut: watch::Receiver<bool>) {
    if *cut.borrow() {
        return;
    }
    let Ok(mut runner) = TcpStream::connect(target).await else {
        return;
    };
    let nodelay = caller.set_nodelay(true).and(runner.set_nodelay(true));
    if nodelay.is_err() {
        return;
    }
    tokio::select! {
        _ended = copy_bidirectional(&mut caller, &mut runner) => {}
        _cut = cut.wait_for(|cut| *cut) => {}
    }
}
