//! How far a connection is with its request, observed on its bytes and bodies, and
//! when it is closed for that.

use crate::clock::Instant;
use crate::net::server::limits::ConnectionLimits;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

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
    /// Whether bytes of the last answer may not be sent yet.
    has_unsent_response: Cell<bool>,
}

impl Progress {
    /// A connection that was just opened.
    pub fn new() -> Self {
        Self { phase: Cell::new(Phase::Idle), since: Cell::new(Instant::now()), has_unsent_response: Cell::new(false) }
    }

    /// Begins a phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
        if phase == Phase::Busy {
            self.has_unsent_response.set(true);
        }
    }

    /// What the connection is doing.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Takes in that all bytes so far were sent; says whether that ended an answer.
    pub fn record_flush(&self) -> bool {
        self.phase.get() != Phase::Busy && self.has_unsent_response.replace(false)
    }

    /// Whether the last request was answered and all of its answer sent.
    pub fn is_response_sent(&self) -> bool {
        self.phase.get() != Phase::Busy && !self.has_unsent_response.get()
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
