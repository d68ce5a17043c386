//! Bodies of requests that are forwarded to a target: buffered or streamed.
//!
//! Owns the prefix of a streamed body, which was read before the request is sent, and the rest of it.
//! If the body is dropped early, reads and discards the rest for a limited time. Relies on hyper, and
//! on [`BufferedBytes`] to count the prefix.

use crate::clock::timeout;
use crate::net::buffered_bytes::BufferedBytes;
use crate::net::chunks::size_with_rest;
use crate::task;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::Cell;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use thiserror::Error;

/// How long the rest of a dropped body is read and discarded: long enough for a caller that is still
/// sending to receive the response instead of a reset, short enough not to occupy connections.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a body was aborted. The other side of the connection that carries the body learns of it only
/// by the close of the connection.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection that the body is read from failed.
    #[error("the connection of the body failed: {0}")]
    ConnectionFailed(#[from] hyper::Error),
    /// The body was not complete by its deadline.
    #[error("the body was not complete before its deadline")]
    TimedOut,
    /// The caller stopped reading it.
    #[error("the caller did not read the body for too long; check the caller's connection")]
    Unread,
    /// The body exceeds the limit on its size.
    #[error("the body exceeds the size limit")]
    TooLarge,
}

impl BodyError {
    /// Name of the error in log lines and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            BodyError::ConnectionFailed(_) => "broken",
            BodyError::TimedOut => "late",
            BodyError::Unread => "unread",
            BodyError::TooLarge => "too-large",
        }
    }
}

/// Body of a request that is sent to a target.
#[derive(Debug)]
pub enum RequestBody {
    /// Completely in memory, so that it can be sent again.
    Buffered(Full<Bytes>),
    /// Forwarded as it arrives; can be sent once at most.
    Streamed(StreamedBody),
}

/// A streamed body, with a flag that is set once it was sent. If it is dropped before, the rest is read and
/// discarded for a limited time: a caller that is still sending when its connection closes may never
/// receive the response.
#[derive(Debug)]
pub struct StreamedBody {
    prefix: VecDeque<Bytes>,
    /// Counts the prefix while it is in memory.
    buffered: BufferedBytes,
    rest: Option<Incoming>,
    /// Bytes of the rest that may still arrive.
    allowance: u64,
    sent: Rc<Cell<bool>>,
}

impl StreamedBody {
    /// A body of which `prefix` was already read, counted by `buffered`, and of which at most
    /// `allowance` further bytes may arrive.
    pub fn new(prefix: VecDeque<Bytes>, buffered: BufferedBytes, rest: Incoming, allowance: u64) -> Self {
        Self { prefix, buffered, rest: Some(rest), allowance, sent: Rc::new(Cell::new(false)) }
    }

    /// Flag that is set once the last byte was passed to the target's connection.
    pub fn sent(&self) -> Rc<Cell<bool>> {
        self.sent.clone()
    }

    /// Length of the body in bytes; `None` if the sender did not declare it.
    pub fn length(&self) -> Option<u64> {
        size_with_rest(&self.prefix, self.rest.as_ref().map_or_else(SizeHint::default, Body::size_hint)).exact()
    }

    /// The first bytes of the prefix, at most `max_bytes`, in chunks.
    pub fn prefix(&self, max_bytes: usize) -> impl Iterator<Item = &[u8]> {
        let mut remaining = max_bytes;
        self.prefix.iter().map(move |chunk| {
            let part = &chunk[..chunk.len().min(remaining)];
            remaining -= part.len();
            part
        })
    }

    fn is_rest_read(&self) -> bool {
        self.rest.as_ref().is_none_or(Body::is_end_stream)
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        if let Some(rest) = self.rest.take().filter(|rest| !rest.is_end_stream()) {
            task::spawn_passing("discard", timeout(DISCARD_TIMEOUT, discard(rest)));
        }
    }
}

/// Reads a body to its end or its first error, and discards it. The error is not reported, since
/// nothing waits for this body any more.
async fn discard(mut rest: Incoming) {
    while let Some(Ok(_)) = rest.frame().await {}
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            RequestBody::Buffered(full) => Pin::new(full).poll_frame(context).map_err(|never| match never {}),
            RequestBody::Streamed(streamed) => streamed.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RequestBody::Buffered(full) => full.is_end_stream(),
            RequestBody::Streamed(streamed) => streamed.prefix.is_empty() && streamed.is_rest_read(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Buffered(full) => full.size_hint(),
            RequestBody::Streamed(streamed) => {
                let rest = streamed.rest.as_ref().map_or_else(|| SizeHint::with_exact(0), Body::size_hint);
                size_with_rest(&streamed.prefix, rest)
            }
        }
    }
}

impl StreamedBody {
    fn poll_frame(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(chunk) = self.prefix.pop_front() {
            self.buffered.release(chunk.len() as u64);
            self.mark_if_sent();
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let Some(rest) = self.rest.as_mut() else { return Poll::Ready(None) };
        let polled = std::task::ready!(Pin::new(rest).poll_frame(context));
        let Some(frame) = polled else {
            self.sent.set(true);
            return Poll::Ready(None);
        };
        let frame = frame?;
        if let Some(chunk) = frame.data_ref() {
            let Some(left) = self.allowance.checked_sub(chunk.len() as u64) else {
                return Poll::Ready(Some(Err(BodyError::TooLarge)));
            };
            self.allowance = left;
        }
        self.mark_if_sent();
        Poll::Ready(Some(Ok(frame)))
    }

    fn mark_if_sent(&mut self) {
        if self.prefix.is_empty() && self.is_rest_read() {
            self.sent.set(true);
        }
    }
}
