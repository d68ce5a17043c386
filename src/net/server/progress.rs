//! Tracks the phase of a connection from its bytes and response bodies, and the deadline at which it is
//! closed.

use crate::clock::Instant;
use crate::net::server::connections::PassingGuard;
use crate::net::server::limits::ConnectionLimits;
use crate::net::server::output::Output;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Between requests.
    Idle,
    /// The head of a request is arriving.
    ReadingHead,
    /// A request is processed, or its response body is not finished.
    Busy,
}

/// Phase of one connection and when the phase began.
#[derive(Debug)]
pub struct Progress {
    phase: Cell<Phase>,
    since: Cell<Instant>,
    /// Whether some bytes of the last response may still be unsent.
    has_unsent_response: Cell<bool>,
    /// Whether the end of the connection would be taken for that of a response body which has not ended.
    has_open_body: Cell<bool>,
}

impl Progress {
    /// Progress of a connection that was just opened.
    pub fn new() -> Self {
        Self {
            phase: Cell::new(Phase::Idle),
            since: Cell::new(Instant::now()),
            has_unsent_response: Cell::new(false),
            has_open_body: Cell::new(false),
        }
    }

    /// Begins a phase; its duration counts from now.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
        if phase == Phase::Busy {
            self.has_unsent_response.set(true);
        }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Records that all bytes written so far were sent. Returns whether that completed a response; the
    /// connection is idle from then on.
    pub fn record_flush(&self) -> bool {
        let completes = self.phase.get() != Phase::Busy && self.has_unsent_response.replace(false);
        if completes {
            self.since.set(Instant::now());
        }
        completes
    }

    /// Records whether the end of the connection would be taken for that of a response body.
    pub fn set_open_body(&self, is_open: bool) {
        self.has_open_body.set(is_open);
    }

    /// Whether the end of the connection would be taken for that of a response body which has not ended.
    pub fn has_open_body(&self) -> bool {
        self.has_open_body.get()
    }

    /// Whether the response to the last request is complete and all of its bytes were sent.
    pub fn is_response_sent(&self) -> bool {
        self.phase.get() != Phase::Busy && !self.has_unsent_response.get()
    }

    /// When the connection is closed unless its phase changes; `None` while it is busy or a response is unsent.
    pub fn deadline(&self, limits: &ConnectionLimits) -> Option<Instant> {
        match self.phase.get() {
            Phase::Idle if self.has_unsent_response.get() => None,
            Phase::Idle => Some(self.since.get() + limits.idle_time),
            Phase::ReadingHead => Some(self.since.get() + limits.head_time),
            Phase::Busy => None,
        }
    }
}

/// Response body that reports its end: when it is dropped, the connection becomes idle.
pub struct ObservedBody<B: Body> {
    body: B,
    progress: Rc<Progress>,
    output: Rc<Output>,
    has_ended: bool,
    _passing: PassingGuard,
}

impl<B: Body> ObservedBody<B> {
    /// Wraps the body of a response on the connection that has this progress and output.
    pub fn new(body: B, progress: Rc<Progress>, output: Rc<Output>, passing: PassingGuard) -> Self {
        Self { body, progress, output, has_ended: false, _passing: passing }
    }
}

impl<B: Body> Drop for ObservedBody<B> {
    fn drop(&mut self) {
        self.progress.enter(Phase::Idle);
        if self.has_ended || self.body.is_end_stream() {
            self.progress.set_open_body(false);
            self.output.complete();
        }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for ObservedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        self.has_ended = matches!(polled, Poll::Ready(None));
        if self.has_ended {
            self.progress.set_open_body(false);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
