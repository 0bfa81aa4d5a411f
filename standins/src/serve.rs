//! An HTTP server on an ephemeral port, with connection faults that tests inject.

use crate::connection::Connection;
use crate::connection::Connections;
use crate::connection::ControlledStream;
use crate::shared::Shared;
use axum::Router;
use axum::extract::connect_info::Connected;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::serve::IncomingStream;
use axum::serve::Listener;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// The delay before the next accept after one failed, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 20;

/// The result of starting a stand-in.
pub type Result<T> = io::Result<T>;

/// How a server treats its connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ConnectionMode {
    /// All connections are served.
    #[default]
    Open,
    /// New connections are accepted, but never read or answered.
    Silent,
    /// New connections are closed at once.
    Closed,
}

#[derive(Debug)]
struct ListenerState {
    connections: Connections,
    mode: ConnectionMode,
    max_connections: usize,
    refused: u64,
}

impl ListenerState {
    fn admit(&mut self) -> Option<Connection> {
        if self.mode == ConnectionMode::Closed || self.connections.count() >= self.max_connections {
            self.refused += 1;
            return None;
        }
        let connection = self.connections.add();
        if self.mode == ConnectionMode::Silent {
            connection.silence();
        }
        Some(connection)
    }
}

/// A listener whose connections can be silenced or closed.
struct FaultyListener {
    listener: TcpListener,
    state: Shared<ListenerState>,
}

impl Listener for FaultyListener {
    type Io = ControlledStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (ControlledStream, SocketAddr) {
        loop {
            let Ok((stream, addr)) = self.listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                continue;
            };
            if let Some(controlled) = self.wrap(stream) {
                return (controlled, addr);
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

impl FaultyListener {
    fn wrap(&self, stream: TcpStream) -> Option<ControlledStream> {
        stream.set_nodelay(true).ok()?;
        let connection = self.state.with(ListenerState::admit)?;
        Some(ControlledStream::new(stream, connection))
    }
}

impl Connected<IncomingStream<'_, FaultyListener>> for Connection {
    fn connect_info(stream: IncomingStream<'_, FaultyListener>) -> Self {
        stream.io().connection().clone()
    }
}

/// A running HTTP server.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    state: Shared<ListenerState>,
    task: JoinHandle<()>,
}

impl Server {
    /// Serves `router` on an ephemeral port of 127.0.0.1, with at most `max_connections` open at a
    /// time.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub async fn spawn(router: Router, max_connections: usize) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let state = Shared::new(ListenerState {
            connections: Connections::default(),
            mode: ConnectionMode::Open,
            max_connections,
            refused: 0,
        });
        let faulty = FaultyListener {
            listener,
            state: state.clone(),
        };
        let service = router.into_make_service_with_connect_info::<Connection>();
        let task = tokio::spawn(async move {
            if let Err(error) = axum::serve(faulty, service).await {
                log::error!("a stand-in's HTTP server failed: {error}");
            }
        });
        Ok(Self { addr, state, task })
    }

    /// Returns the address on which the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Silences every open connection permanently; new ones are served.
    pub fn silence_open(&self) {
        let connections = self.state.with(|state| state.connections.all());
        connections.iter().for_each(Connection::silence);
    }

    /// Closes every open connection; new ones are served.
    pub fn cut_open(&self) {
        let connections = self.state.with(|state| state.connections.all());
        connections.iter().for_each(Connection::cut);
    }

    /// Sets how connections are treated; `Silent` and `Closed` also apply to those already open.
    pub fn set_connection_mode(&self, mode: ConnectionMode) {
        self.state.with(|state| state.mode = mode);
        match mode {
            ConnectionMode::Open => {}
            ConnectionMode::Silent => self.silence_open(),
            ConnectionMode::Closed => self.cut_open(),
        }
    }

    /// Counts the open connections that are not silenced.
    pub fn connections(&self) -> usize {
        self.state.with(|state| state.connections.count())
    }

    /// Counts the connections that were closed on accept.
    pub fn refused(&self) -> u64 {
        self.state.with(|state| state.refused)
    }

    /// Stops listening and closes every connection.
    pub async fn stop(mut self) {
        self.task.abort();
        let _ended = (&mut self.task).await;
        self.cut_open();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
        self.cut_open();
    }
}

/// Closes the connection; the returned response is never written.
pub(crate) fn drop_connection(connection: &Connection) -> Response {
    connection.cut();
    StatusCode::INTERNAL_SERVER_ERROR.into_response()
}

/// Refuses a call with `status` and a `retry-after` of one second.
pub(crate) fn refused(status: StatusCode) -> Response {
    (status, [("retry-after", "1")]).into_response()
}
