//! Answers that are held for callers that read slowly.
//!
//! `reader` takes an answer off its target in a task of its own, `shared` has its bytes in a [`buffer`],
//! and [`HeldAnswer`] is the body that the caller's connection reads. Dropped before its end, it drops what is
//! held and ends the task. The rule is [`crate::decision::refusal::held_answers`].
//!
//! Owns the answer's count among those under way, on which a planned stop waits.

pub mod buffer;
mod reader;
mod shared;

pub use reader::Reader;
pub use shared::{Progress, Shared};

use crate::decision::refusal::held_answers::HeldAnswerLimits;
use crate::net::buffered_bytes::BufferTotal;
use crate::net::request_body::BodyError;
use crate::platform::Platform;
use crate::state::{InFlightGuard, Instance};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use prometheus::IntCounterVec;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::task::AbortHandle;

/// What an instance holds answers by.
#[derive(Clone, Debug)]
pub struct Holding {
    /// Bounds.
    pub limits: HeldAnswerLimits,
    /// Bytes held of all answers and request bodies.
    pub total: Rc<BufferTotal>,
    /// Counts answers that their callers did not get whole.
    pub broken: IntCounterVec,
}

impl Holding {
    /// That of an instance.
    pub fn new<P: Platform>(instance: &Instance<P>) -> Self {
        Self {
            limits: HeldAnswerLimits::for_memory(instance.settings.borrow().memory),
            total: instance.requests.buffer_counter().clone(),
            broken: instance.metrics.answers_broken.clone(),
        }
    }

    /// Whether a request with a large answer may begin.
    pub fn takes_large_answers(&self) -> bool {
        self.limits.admits_large_answers(self.total.get())
    }
}

/// An answer's body for its caller.
pub struct HeldAnswer {
    shared: Rc<Shared>,
    reader: Option<AbortHandle>,
    /// Counts one without a reader.
    _counted: Option<InFlightGuard>,
}

impl HeldAnswer {
    /// An answer that is whole in memory.
    pub fn whole(bytes: Bytes, total: &Rc<BufferTotal>, counted: InFlightGuard) -> Self {
        let shared = Rc::new(Shared::new(total, Progress::Whole));
        shared.push(bytes);
        Self { shared, reader: None, _counted: Some(counted) }
    }

    /// An answer that a reader takes off its target.
    pub fn read_by(reader: Reader) -> Self {
        let shared = reader.shared.clone();
        let task = tokio::task::spawn_local(reader.run()).abort_handle();
        Self { shared, reader: Some(task), _counted: None }
    }
}

impl Drop for HeldAnswer {
    fn drop(&mut self) {
        // Where the caller has all of it, the reader ends by itself.
        if let Some(reader) = self.reader.as_ref().filter(|_| !self.shared.is_end()) {
            reader.abort();
        }
    }
}

impl Body for HeldAnswer {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.shared.poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.shared.is_end()
    }

    fn size_hint(&self) -> SizeHint {
        self.shared.size_hint()
    }
}
