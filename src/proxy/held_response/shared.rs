//! State shared by the reader of a response and the body for its caller.
//!
//! Owns the bytes of the response and how it ended at the target. Wakes the caller's side when
//! bytes or the end arrive, and the reader when the caller's side takes bytes or begins to wait.

use crate::decision::refusal::held_responses::HeldResponseLimits;
use crate::net::buffered_bytes::BufferTotal;
use crate::net::request_body::BodyError;
use crate::proxy::held_response::buffer::ResponseBuffer;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::body::{Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::sync::Notify;

/// How far the response was read from its target.
#[derive(Debug)]
pub enum ReadProgress {
    /// The body has not ended; size of the part that was not read yet.
    Reading(SizeHint),
    /// It was read completely.
    Complete,
    /// It was aborted; the error is taken when the caller's side reports it.
    Aborted(Option<BodyError>),
}

#[derive(Debug)]
struct State {
    buffer: ResponseBuffer,
    trailers: Option<HeaderMap>,
    /// Largest number of bytes that were held while the limits had room for more.
    max_held: u64,
    progress: ReadProgress,
    /// Waker of the caller's side while it waits for bytes.
    waker: Option<Waker>,
}

/// A response between its target and its caller.
#[derive(Debug)]
pub struct SharedResponse {
    state: RefCell<State>,
    caller_polled: Notify,
}

impl SharedResponse {
    /// A response without bytes yet, counted in `total`.
    pub fn new(total: &Rc<BufferTotal>, progress: ReadProgress) -> Self {
        let state = State { buffer: ResponseBuffer::new(total), trailers: None, max_held: 0, progress, waker: None };
        Self { state: RefCell::new(state), caller_polled: Notify::new() }
    }

    /// Appends bytes that were read.
    pub fn push(&self, chunk: Bytes) {
        let mut state = self.state.borrow_mut();
        state.buffer.push(chunk);
        wake(&mut state);
    }

    /// Sets the trailers, which follow the held bytes.
    pub fn add_trailers(&self, trailers: HeaderMap) {
        self.state.borrow_mut().trailers = Some(trailers);
    }

    /// Records the size of the part that was not read yet.
    pub fn set_remaining(&self, remaining: SizeHint) {
        self.state.borrow_mut().progress = ReadProgress::Reading(remaining);
    }

    /// Marks the response as complete.
    pub fn complete(&self) {
        let mut state = self.state.borrow_mut();
        state.progress = ReadProgress::Complete;
        wake(&mut state);
    }

    /// Marks the response as aborted. If the connection to the target failed, the caller still gets the
    /// held bytes. After a timeout, or if the caller has stopped reading, they are of no use any more
    /// and are dropped.
    pub fn abort(&self, error: BodyError) {
        let mut state = self.state.borrow_mut();
        if !matches!(error, BodyError::ConnectionFailed(_)) {
            state.buffer.clear();
        }
        state.progress = ReadProgress::Aborted(Some(error));
        wake(&mut state);
    }

    /// Count of the held bytes of this response, now and later.
    pub fn held_count(&self) -> Rc<Cell<u64>> {
        self.state.borrow().buffer.held().clone()
    }

    /// Held bytes of this response, and of all bodies in memory.
    pub fn held_bytes(&self) -> (u64, u64) {
        let state = self.state.borrow();
        (state.buffer.len(), state.buffer.total())
    }

    /// Whether more of the response may be read within these limits.
    pub fn may_read(&self, limits: &HeldResponseLimits) -> bool {
        let mut state = self.state.borrow_mut();
        let (own, total) = (state.buffer.len(), state.buffer.total());
        if limits.has_room(own, total) {
            state.max_held = state.max_held.max(own);
        }
        limits.may_read(own, total, state.max_held, state.waker.is_some())
    }

    /// Returns once the caller's side has polled for bytes, and has taken some or begun to wait.
    pub async fn caller_polled(&self) {
        self.caller_polled.notified().await;
    }

    /// The next frame for the caller.
    pub fn poll_frame(&self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut state = self.state.borrow_mut();
        if let Some(part) = state.buffer.take_part() {
            self.caller_polled.notify_one();
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        match &mut state.progress {
            ReadProgress::Reading(_) => {
                state.waker = Some(context.waker().clone());
                self.caller_polled.notify_one();
                Poll::Pending
            }
            ReadProgress::Complete => Poll::Ready(state.trailers.take().map(|trailers| Ok(Frame::trailers(trailers)))),
            ReadProgress::Aborted(error) => Poll::Ready(error.take().map(Err)),
        }
    }

    /// Whether the caller has the complete response, trailers included.
    pub fn is_end_stream(&self) -> bool {
        let state = self.state.borrow();
        matches!(state.progress, ReadProgress::Complete) && state.buffer.is_empty() && state.trailers.is_none()
    }

    /// Whether the caller has taken all bytes and no more will arrive.
    pub fn is_consumed(&self) -> bool {
        let state = self.state.borrow();
        !matches!(state.progress, ReadProgress::Reading(_)) && state.buffer.is_empty()
    }

    /// Size of the part that the caller does not have yet.
    pub fn size_hint(&self) -> SizeHint {
        let state = self.state.borrow();
        match &state.progress {
            ReadProgress::Reading(remaining) => remaining
                .exact()
                .map_or_else(SizeHint::default, |remaining| SizeHint::with_exact(remaining + state.buffer.len())),
            ReadProgress::Complete => SizeHint::with_exact(state.buffer.len()),
            ReadProgress::Aborted(_) => SizeHint::default(),
        }
    }
}

fn wake(state: &mut State) {
    if let Some(waker) = state.waker.take() {
        waker.wake();
    }
}
