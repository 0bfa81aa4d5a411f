//! The body of a request, which tells whether it was sent.
//!
//! A request may wait in the process for a connection, and the process may be suspended meanwhile. A
//! server that has not received the whole body does not act on the request, so the moment at which
//! the body is written decides whether the request was sent.

use crate::fleet::clock::boot_ms;
use crate::prelude::*;
use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use std::pin::Pin;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

const WAITING: u8 = 0;
const WRITTEN: u8 = 1;
const WITHDRAWN: u8 = 2;

/// Why a body is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub(super) enum Error {
    /// the request waited for a connection until it expired
    Expired,
    /// the request was withdrawn
    Withdrawn,
}

impl std::error::Error for Error {}

/// The result of writing a body.
type Result<T> = std::result::Result<T, Error>;

/// Whether a body was written; clones share it.
#[derive(Debug, Clone)]
pub(super) struct Delivery {
    state: Arc<AtomicU8>,
    expires_at: Option<u64>,
}

impl Delivery {
    /// Makes the state of a body before it is sent. An empty body counts as written, as nothing tells
    /// whether it is.
    pub(super) fn new(body: &Bytes, expires_at: Option<u64>) -> Self {
        let state = if body.is_empty() { WRITTEN } else { WAITING };
        Self {
            state: Arc::new(AtomicU8::new(state)),
            expires_at,
        }
    }

    /// Prevents the body from being written; returns false if it was, in whole or in part.
    pub(super) fn withdraw(&self) -> bool {
        self.replace(WITHDRAWN) != WRITTEN
    }

    /// Allows the body to be written now, unless it is too late.
    fn begin(&self) -> Result<()> {
        if self.expires_at.is_some_and(|at| boot_ms() > at) {
            self.replace(WITHDRAWN);
            return Err(Error::Expired);
        }
        match self.replace(WRITTEN) {
            WITHDRAWN => Err(Error::Withdrawn),
            _ => Ok(()),
        }
    }

    /// Replaces the state if the body still waits; returns the state before.
    fn replace(&self, state: u8) -> u8 {
        let order = Ordering::AcqRel;
        self.state
            .compare_exchange(WAITING, state, order, Ordering::Acquire)
            .unwrap_or_else(|before| before)
    }
}

/// A body in one piece.
#[derive(Debug)]
pub(super) struct Outbound {
    bytes: Option<Bytes>,
    delivery: Delivery,
}

impl Outbound {
    /// Makes a body that records in `delivery` that it is written.
    pub(super) fn new(bytes: Bytes, delivery: Delivery) -> Self {
        Self {
            bytes: Some(bytes).filter(|bytes| !bytes.is_empty()),
            delivery,
        }
    }
}

impl Body for Outbound {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        let Some(bytes) = self.bytes.take() else {
            return Poll::Ready(None);
        };
        Poll::Ready(Some(self.delivery.begin().map(|()| Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}
