//! Held responses: responses that are kept in memory for callers that read slowly, so that they do
//! not occupy their targets. Outside the process they are called answers: the outcome
//! `held-answers`, the setting `large_answers` of a route and the event `answer_broken`.
//!
//! `reader` reads a response from its target in a task of its own, `shared` keeps the bytes in a
//! [`buffer`], and [`HeldResponse`] is the body that the caller's connection reads. If it is dropped
//! before its end, the held bytes are dropped and the task is aborted. The rule is
//! [`crate::decision::refusal::held_responses`].

pub mod buffer;
mod reader;
mod shared;
mod source;

pub use reader::Reader;
pub use shared::{ReadProgress, SharedResponse};
pub use source::{Endpoint, EndpointLabel, Source};

use crate::decision::refusal::held_responses::HeldResponseLimits;
use crate::net::buffered_bytes::BufferTotal;
use crate::net::request_body::BodyError;
use crate::platform::Platform;
use crate::state::Instance;
use crate::task;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use prometheus::IntCounterVec;
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::task::AbortHandle;

/// Limits and counters for the held responses of an instance.
#[derive(Clone, Debug)]
pub struct HeldResponseContext {
    /// Limits on the held bytes: of one response, and of all responses and buffered request bodies.
    pub limits: HeldResponseLimits,
    /// Bytes in memory of all held responses and buffered request bodies.
    pub total: Rc<BufferTotal>,
    /// Counts responses that their callers did not get completely, by cause.
    pub broken: IntCounterVec,
}

impl HeldResponseContext {
    /// The limits and counters of `instance`.
    pub fn new<P: Platform>(instance: &Instance<P>) -> Self {
        Self {
            limits: HeldResponseLimits::for_memory(instance.settings.borrow().memory),
            total: instance.requests.buffer_total().clone(),
            broken: instance.metrics.answers_broken.clone(),
        }
    }

    /// Whether a request on a route with large responses may begin.
    pub fn admits_large_responses(&self) -> bool {
        self.limits.admits_large_responses(self.total.get())
    }
}

/// The body of a held response, as the caller's connection reads it.
pub struct HeldResponse {
    shared: Rc<SharedResponse>,
    reader: Option<AbortHandle>,
}

impl HeldResponse {
    /// A response that is complete and in memory.
    pub fn buffered(bytes: Bytes, total: &Rc<BufferTotal>) -> Self {
        let shared = Rc::new(SharedResponse::new(total, ReadProgress::Complete));
        shared.push(bytes);
        Self { shared, reader: None }
    }

    /// A response that `reader` reads from its source in a new task.
    pub fn streamed<E: Endpoint>(reader: Reader<E>) -> Self {
        let shared = reader.shared.clone();
        let task = task::spawn_passing("response-reader", reader.run()).abort_handle();
        Self { shared, reader: Some(task) }
    }
}

impl HeldResponse {
    /// Count of the bytes that the caller's connection has not taken yet.
    pub fn held_count(&self) -> Rc<Cell<u64>> {
        self.shared.held_count()
    }
}

impl Drop for HeldResponse {
    fn drop(&mut self) {
        // Once the caller has the complete response, the reader ends by itself.
        if let Some(reader) = self.reader.as_ref().filter(|_| !self.shared.is_end_stream()) {
            reader.abort();
        }
    }
}

impl Body for HeldResponse {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.shared.poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.shared.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.shared.size_hint()
    }
}
