//! Bodies of requests on their way to a target: buffered, or streamed.
//!
//! Owns the head and the rest of a streamed body, and reads the rest for a while where it is
//! given up. Relies on hyper, and on [`BufferedBytes`] for the count of the head.

use crate::clock::timeout;
use crate::net::buffered_bytes::BufferedBytes;
use crate::net::chunks::size_with_rest;
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

/// How long the rest of a body that was given up is read: long enough for a caller that is still
/// sending to see the answer instead of a reset, short enough not to hold connections.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a body broke off. The connection that carries it reports this to its other side
/// by closing; nothing else is sent.
#[derive(Debug, Error)]
pub enum BodyError {
    /// Its connection broke.
    #[error("the body's connection broke: {0}")]
    Broken(#[from] hyper::Error),
    /// It took too long.
    #[error("the body did not end in time")]
    TimedOut,
    /// Nobody read it.
    #[error("the body was not read for too long; look at the caller's connection")]
    Unread,
    /// It is larger than allowed.
    #[error("the body is larger than allowed")]
    TooLarge,
}

impl BodyError {
    /// Its name in log and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            BodyError::Broken(_) => "broken",
            BodyError::TimedOut => "late",
            BodyError::Unread => "unread",
            BodyError::TooLarge => "too-large",
        }
    }
}

/// A request's body for a target.
#[derive(Debug)]
pub enum RequestBody {
    /// Whole in memory, so that it can be sent again.
    Buffered(Full<Bytes>),
    /// Streamed as it arrives; sent once at most.
    Streamed(StreamedBody),
}

/// A streamed body, with a flag for its end. Where it is given up, the rest is read
/// and thrown away for a while: a caller that is still sending when its connection
/// closes may never see the answer.
#[derive(Debug)]
pub struct StreamedBody {
    prefix: VecDeque<Bytes>,
    /// Counts the head while it is in memory.
    prefix_bytes: BufferedBytes,
    rest: Option<Incoming>,
    allowance: u64,
    finished: Rc<Cell<bool>>,
}

impl StreamedBody {
    /// A body of which `head` was read already, counted by `held`, and of which at most
    /// `allowance` bytes may still arrive.
    pub fn new(prefix: VecDeque<Bytes>, prefix_bytes: BufferedBytes, rest: Incoming, allowance: u64) -> Self {
        Self { prefix, prefix_bytes, rest: Some(rest), allowance, finished: Rc::new(Cell::new(false)) }
    }

    /// Set once the last byte was handed to the connection.
    pub fn finished(&self) -> Rc<Cell<bool>> {
        self.finished.clone()
    }

    /// Its length, bytes, where its sender declared it.
    pub fn length(&self) -> Option<u64> {
        size_with_rest(&self.prefix, self.rest.as_ref().map_or_else(SizeHint::default, Body::size_hint)).exact()
    }

    /// The first bytes of what was read before it is sent, `most` of them.
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
            tokio::task::spawn_local(timeout(DISCARD_TIMEOUT, discard(rest)));
        }
    }
}

/// Reads a body to its end, or to its error: nobody waits for it any more.
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
            self.prefix_bytes.release(chunk.len() as u64);
            self.mark_finished();
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let Some(rest) = self.rest.as_mut() else { return Poll::Ready(None) };
        let polled = std::task::ready!(Pin::new(rest).poll_frame(context));
        let Some(frame) = polled else {
            self.finished.set(true);
            return Poll::Ready(None);
        };
        let frame = frame?;
        if let Some(chunk) = frame.data_ref() {
            let Some(left) = self.allowance.checked_sub(chunk.len() as u64) else {
                return Poll::Ready(Some(Err(BodyError::TooLarge)));
            };
            self.allowance = left;
        }
        self.mark_finished();
        Poll::Ready(Some(Ok(frame)))
    }

    fn mark_finished(&mut self) {
        if self.prefix.is_empty() && self.is_rest_read() {
            self.finished.set(true);
        }
    }
}
