//! The platform's list of VMs, which lags behind changes and may return older revisions.

pub use crate::serve::Result;
use crate::serve::Server;
use crate::serve::refused;
use crate::shared::Shared;
use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use trefoilgauge::platform::Member;
use trefoilgauge::platform::MemberList;

/// The limit on open connections.
const MAX_CONNECTIONS: usize = 4_096;

/// Options of the list of VMs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VmsOptions {
    /// The delay until reads show a change, in milliseconds.
    pub lag_ms: u64,
    /// The members of the first revision.
    pub members: Vec<Member>,
}

#[derive(Debug)]
struct Version {
    at: Instant,
    list: MemberList,
}

#[derive(Debug)]
struct Inner {
    versions: Vec<Version>,
    lag: Duration,
    rollback: Option<usize>,
    outage: bool,
    reads: u64,
}

impl Inner {
    fn newest(&self) -> &MemberList {
        &self.versions[self.versions.len() - 1].list
    }

    fn read(&mut self) -> MemberList {
        self.reads += 1;
        let seen = self.versions.iter();
        let visible = seen.take_while(|version| version.at.elapsed() >= self.lag);
        let last = visible.count().saturating_sub(1);
        let rollback = self.rollback.take().unwrap_or(0);
        self.versions[last.saturating_sub(rollback)].list.clone()
    }
}

/// A running list of VMs.
#[derive(Debug)]
pub struct VmsHandle {
    server: Server,
    inner: Shared<Inner>,
}

impl VmsHandle {
    /// Starts a list of VMs.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub async fn spawn(options: VmsOptions) -> Result<Self> {
        let first = Version {
            at: Instant::now(),
            list: MemberList {
                revision: 1,
                vms: options.members,
            },
        };
        let inner = Shared::new(Inner {
            versions: vec![first],
            lag: Duration::from_millis(options.lag_ms),
            rollback: None,
            outage: false,
            reads: 0,
        });
        let router = Router::new()
            .route("/v1/vms", get(list))
            .with_state(inner.clone());
        let server = Server::spawn(router, MAX_CONNECTIONS).await?;
        Ok(Self { server, inner })
    }

    /// Returns the address on which the list is served.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the HTTP server, for injecting connection faults.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Changes the members; reads show the change after the lag.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Member>)) {
        self.inner.with(|inner| {
            let mut list = inner.newest().clone();
            list.revision += 1;
            change(&mut list.vms);
            inner.versions.push(Version {
                at: Instant::now(),
                list,
            });
        });
    }

    /// Adds a member, or replaces the one with the same name and role.
    pub fn join(&self, member: Member) {
        self.change(|vms| {
            vms.retain(|other| other.name != member.name || other.role != member.role);
            vms.push(member);
        });
    }

    /// Marks all members with this name as leaving.
    pub fn leave(&self, name: &str) {
        self.change(|vms| {
            let named = vms.iter_mut().filter(|member| *member.name == *name);
            named.for_each(|member| member.leaving = true);
        });
    }

    /// Removes all members with this name.
    pub fn remove(&self, name: &str) {
        self.change(|vms| vms.retain(|member| *member.name != *name));
    }

    /// Sets the age that a change must have before the list shows it, in milliseconds.
    pub fn set_lag(&self, lag_ms: u64) {
        self.inner
            .with(|inner| inner.lag = Duration::from_millis(lag_ms));
    }

    /// Makes the next read return a list that is `versions` changes older.
    pub fn go_back(&self, versions: usize) {
        self.inner.with(|inner| inner.rollback = Some(versions));
    }

    /// Sets whether reads are refused with 503.
    pub fn set_outage(&self, outage: bool) {
        self.inner.with(|inner| inner.outage = outage);
    }

    /// Returns the newest list, which reads may not show yet.
    pub fn newest(&self) -> MemberList {
        self.inner.with(|inner| inner.newest().clone())
    }

    /// Counts the reads that were answered.
    pub fn reads(&self) -> u64 {
        self.inner.with(|inner| inner.reads)
    }

    /// Stops the list.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

async fn list(State(inner): State<Shared<Inner>>) -> Response {
    let answer = inner.with(|inner| match inner.outage {
        true => None,
        false => Some(inner.read()),
    });
    match answer {
        Some(list) => Json(list).into_response(),
        None => refused(StatusCode::SERVICE_UNAVAILABLE),
    }
}
