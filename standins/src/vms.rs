//! The platform's list of VMs, which lags and may go backwards.

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

/// The most connections.
const CONNECTIONS_MAX: usize = 4_096;

/// Options of the list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VmsOptions {
    /// The age that a change must have before the list shows it, in milliseconds.
    pub lag_ms: u64,
    /// The first members.
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
    back: Option<usize>,
    outage: bool,
    reads: u64,
}

impl Inner {
    fn newest(&self) -> &MemberList {
        &self.versions[self.versions.len() - 1].list
    }

    fn shown(&mut self) -> MemberList {
        self.reads += 1;
        let seen = self.versions.iter();
        let visible = seen.take_while(|version| version.at.elapsed() >= self.lag);
        let last = visible.count().saturating_sub(1);
        let back = self.back.take().unwrap_or(0);
        self.versions[last.saturating_sub(back)].list.clone()
    }
}

/// A running list of VMs.
#[derive(Debug)]
pub struct VmsHandle {
    server: Server,
    inner: Shared<Inner>,
}

impl VmsHandle {
    /// Starts a list.
    ///
    /// # Errors
    ///
    /// Passes on the error of the bind.
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
            back: None,
            outage: false,
            reads: 0,
        });
        let router = Router::new()
            .route("/v1/vms", get(list))
            .with_state(inner.clone());
        let server = Server::spawn(router, CONNECTIONS_MAX).await?;
        Ok(Self { server, inner })
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the server, whose connections can be made to fail.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Changes the members; the list shows it once it is old enough.
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

    /// Adds a member, in place of one with the same name and role.
    pub fn join(&self, member: Member) {
        self.change(|vms| {
            vms.retain(|other| other.name != member.name || other.role != member.role);
            vms.push(member);
        });
    }

    /// Marks the members of a name as leaving.
    pub fn leave(&self, name: &str) {
        self.change(|vms| {
            let named = vms.iter_mut().filter(|member| *member.name == *name);
            named.for_each(|member| member.leaving = true);
        });
    }

    /// Removes the members of a name.
    pub fn remove(&self, name: &str) {
        self.change(|vms| vms.retain(|member| *member.name != *name));
    }

    /// Sets the age that a change must have before the list shows it, in milliseconds.
    pub fn set_lag(&self, lag_ms: u64) {
        self.inner
            .with(|inner| inner.lag = Duration::from_millis(lag_ms));
    }

    /// Makes the next read show a list that is older by `versions` changes.
    pub fn go_back(&self, versions: usize) {
        self.inner.with(|inner| inner.back = Some(versions));
    }

    /// Sets whether reads are refused with 503.
    pub fn set_outage(&self, outage: bool) {
        self.inner.with(|inner| inner.outage = outage);
    }

    /// Returns the newest list, which the reads may not show yet.
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
    let shown = inner.with(|inner| match inner.outage {
        true => None,
        false => Some(inner.shown()),
    });
    match shown {
        Some(list) => Json(list).into_response(),
        None => refused(StatusCode::SERVICE_UNAVAILABLE),
    }
}
