//! How far a connection is with its request, observed on its bytes and bodies, and
//! when it is closed for that.

use crate::clock::Instant;
use crate::net::server::limits::ConnectionLimits;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Between requests.
    Idle,
    /// A head has begun to arrive.
    ReadingHead,
    /// A request is processed, or its answer sent.
    Busy,
}

/// The phase of one connection and when it began.
#[derive(Debug)]
pub struct Progress {
    phase: Cell<Phase>,
    since: Cell<Instant>,
}

impl Progress {
    /// A connection that was just opened.
    pub fn new() -> Self {
        Self { phase: Cell::new(Phase::Idle), since: Cell::new(Instant::now()) }
    }

    /// Begins a phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// When the connection is closed if its phase lasts; `None` while it is busy.
    pub fn deadline(&self, limits: &ConnectionLimits) -> Option<Instant> {
        match self.phase.get() {
            Phase::Idle => Some(self.since.get() + limits.idle_time),
            Phase::ReadingHead => Some(self.since.get() + limits.head_time),
            Phase::Busy => None,
        }
    }
}

/// A stream that reports when a head begins.
pub struct ObservedStream {
    /// The stream.
    pub io: TokioIo<TcpStream>,
    /// Where it reports.
    pub progress: Rc<Progress>,
}

impl Read for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let polled = Pin::new(&mut self.io).poll_read(context, buffer);
        if polled.is_ready() && self.progress.phase.get() == Phase::Idle {
            self.progress.enter(Phase::ReadingHead);
        }
        polled
    }
}

impl Write for ObservedStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}

/// An answer's body that reports its end.
pub struct ObservedBody<B> {
    /// The body.
    pub body: B,
    /// Where it reports.
    pub progress: Rc<Progress>,
}

impl<B> Drop for ObservedBody<B> {
    fn drop(&mut self) {
        self.progress.enter(Phase::Idle);
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for ObservedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
