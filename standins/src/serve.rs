//! Serves HTTP on an ephemeral port, over connections that can be made to fail.

use crate::line::Gate;
use crate::line::Line;
use crate::line::Lines;
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

/// The wait after a failed accept, in milliseconds.
const ACCEPT_AGAIN_MS: u64 = 20;

/// The result of starting a stand-in.
pub type Result<T> = io::Result<T>;

/// How a server treats its connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ConnectionMode {
    /// It serves them.
    #[default]
    Open,
    /// New ones are accepted and stay silent for good.
    Silent,
    /// New ones are closed at once.
    Closed,
}

#[derive(Debug)]
struct Door {
    lines: Lines,
    reach: ConnectionMode,
    most: usize,
    refused: u64,
}

impl Door {
    fn admit(&mut self) -> Option<Line> {
        if self.reach == ConnectionMode::Closed || self.lines.count() >= self.most {
            self.refused += 1;
            return None;
        }
        let line = self.lines.add();
        if self.reach == ConnectionMode::Silent {
            line.silence();
        }
        Some(line)
    }
}

/// A listener that hands out connections under switches.
struct Doors {
    listener: TcpListener,
    door: Shared<Door>,
}

impl Listener for Doors {
    type Io = Gate;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Gate, SocketAddr) {
        loop {
            let Ok((stream, addr)) = self.listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(ACCEPT_AGAIN_MS)).await;
                continue;
            };
            if let Some(gate) = self.gate(stream) {
                return (gate, addr);
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

impl Doors {
    fn gate(&self, stream: TcpStream) -> Option<Gate> {
        stream.set_nodelay(true).ok()?;
        let line = self.door.with(Door::admit)?;
        Some(Gate::new(stream, line))
    }
}

impl Connected<IncomingStream<'_, Doors>> for Line {
    fn connect_info(stream: IncomingStream<'_, Doors>) -> Self {
        stream.io().line().clone()
    }
}

/// A running HTTP server.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    door: Shared<Door>,
    task: JoinHandle<()>,
}

impl Server {
    /// Serves `router` on an ephemeral port of 127.0.0.1, over at most `most` connections.
    ///
    /// # Errors
    ///
    /// Passes on the error of the bind.
    pub async fn spawn(router: Router, most: usize) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let door = Shared::new(Door {
            lines: Lines::default(),
            reach: ConnectionMode::Open,
            most,
            refused: 0,
        });
        let doors = Doors {
            listener,
            door: door.clone(),
        };
        let service = router.into_make_service_with_connect_info::<Line>();
        let task = tokio::spawn(async move {
            if let Err(error) = axum::serve(doors, service).await {
                log::error!("a stand-in's server ended: {error}");
            }
        });
        Ok(Self { addr, door, task })
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Makes every connection that is open now silent for good; new ones work.
    pub fn silence_open(&self) {
        let lines = self.door.with(|door| door.lines.all());
        lines.iter().for_each(Line::silence);
    }

    /// Closes every connection that is open now.
    pub fn cut_open(&self) {
        let lines = self.door.with(|door| door.lines.all());
        lines.iter().for_each(Line::cut);
    }

    /// Sets how connections are treated from now on, those that are open now included.
    pub fn set_connection_mode(&self, reach: ConnectionMode) {
        self.door.with(|door| door.reach = reach);
        match reach {
            ConnectionMode::Open => {}
            ConnectionMode::Silent => self.silence_open(),
            ConnectionMode::Closed => self.cut_open(),
        }
    }

    /// Counts the open connections that are not silent.
    pub fn connections(&self) -> usize {
        self.door.with(|door| door.lines.count())
    }

    /// Counts the connections that were closed at once.
    pub fn refused(&self) -> u64 {
        self.door.with(|door| door.refused)
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

/// Cuts the connection and returns an answer that is never written.
pub(crate) fn broken(line: &Line) -> Response {
    line.cut();
    StatusCode::INTERNAL_SERVER_ERROR.into_response()
}

/// Refuses a call and asks to be tried again after a second.
pub(crate) fn refused(status: StatusCode) -> Response {
    (status, [("retry-after", "1")]).into_response()
}
