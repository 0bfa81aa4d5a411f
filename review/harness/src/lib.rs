//! Stand-ins of the users' platform for the cases of the review: the store, runners, the machines'
//! service, clients, and the processes of the system.

pub mod client;
pub mod machines;
pub mod record;
pub mod runner;
pub mod site;
pub mod store;
pub mod vm;
pub mod world;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::net::TcpListener;

/// Serves a router on a free port of the loopback address.
pub async fn serve(router: axum::Router) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        axum::serve(listener, router).await.unwrap();
    });
    addr
}

/// Returns the time of day in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(now.as_millis()).unwrap()
}

/// Returns whether the case is played with its disruption: `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
